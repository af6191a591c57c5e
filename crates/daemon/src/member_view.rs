//! The platform's list of members as this daemon last read it.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};

use ids::{Incarnation, InstanceId};
use policy::rate_shares::ListedMember;
use policy::rendezvous;
use ports::{Member, MemberState};

/// The last list that was read; kept while the platform is unavailable. Empty before the first.
#[derive(Debug)]
pub(crate) struct MemberView {
    instance_id: InstanceId,
    members: Mutex<Vec<Member>>,
}

impl MemberView {
    pub(crate) fn new(instance_id: InstanceId) -> MemberView {
        MemberView { instance_id, members: Mutex::default() }
    }

    pub(crate) fn replace(&self, members: Vec<Member>) {
        *self.lock() = members;
    }

    pub(crate) fn members(&self) -> Vec<Member> {
        self.lock().clone()
    }

    /// The members as the planning of rate shares takes them.
    pub(crate) fn listed_members(&self) -> Vec<ListedMember> {
        let members = self.lock();
        members
            .iter()
            .map(|it| ListedMember {
                id: it.id.clone(),
                incarnation: it.incarnation,
                leaving: it.state == MemberState::Leaving,
            })
            .collect()
    }

    /// The peer addresses of all listed members but this daemon.
    pub(crate) fn peer_addresses(&self) -> Vec<(InstanceId, SocketAddr)> {
        let members = self.lock();
        let peers = members.iter().filter(|it| it.id != self.instance_id);
        peers.map(|it| (it.id.clone(), it.peer_address)).collect()
    }

    /// The first `count` live instances by rendezvous on `name`. Daemons with the same list get the
    /// same result.
    pub(crate) fn first_homes(&self, name: &str, count: usize) -> Vec<InstanceId> {
        let members = self.lock();
        let live: Vec<&Member> =
            members.iter().filter(|it| it.state == MemberState::Live).collect();
        let hashes: Vec<u64> =
            live.iter().map(|it| rendezvous::hash_member(it.id.as_str())).collect();
        let homes = rendezvous::homes(rendezvous::hash_member(name), &hashes, count);
        homes.into_iter().map(|it| live[it].id.clone()).collect()
    }

    /// The peer address and incarnation of a listed instance.
    pub(crate) fn peer_address(&self, id: &InstanceId) -> Option<(SocketAddr, Incarnation)> {
        let members = self.lock();
        members.iter().find(|it| it.id == *id).map(|it| (it.peer_address, it.incarnation))
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Member>> {
        self.members.lock().unwrap_or_else(|it| it.into_inner())
    }
}

//! The daemons that this one knows, and when it last heard them.

use std::net::IpAddr;
use std::time::Duration;

use ids::{CustomerId, InstanceId};
use indexmap::IndexMap;
use policy::rendezvous;

use crate::directory::MemberEntry;

/// A daemon not heard for this long is taken to be out of reach.
const SILENT_AFTER: Duration = Duration::from_millis(1_000);
/// A daemon not heard for this long is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(15);

#[derive(Debug)]
struct Known {
    entry: MemberEntry,
    heard_at: Option<Duration>,
    added_at: Duration,
    leaving: bool,
}

/// Daemons by id.
#[derive(Debug)]
pub struct MemberTable {
    own: MemberEntry,
    seeds: Vec<IpAddr>,
    known: IndexMap<InstanceId, Known>,
}

impl MemberTable {
    /// Knows only itself and the addresses of seeds.
    pub fn new(own: MemberEntry, seeds: Vec<IpAddr>) -> MemberTable {
        MemberTable { own, seeds, known: IndexMap::new() }
    }

    /// A daemon was named by the store or a peer.
    pub fn add(&mut self, now: Duration, entry: &MemberEntry) {
        if entry.id == self.own.id {
            return;
        }
        match self.known.get_mut(&entry.id) {
            Some(it) if it.entry.incarnation >= entry.incarnation => {}
            Some(it) => it.entry = entry.clone(),
            None => {
                let known =
                    Known { entry: entry.clone(), heard_at: None, added_at: now, leaving: false };
                self.known.insert(entry.id.clone(), known);
            }
        }
    }

    /// A daemon spoke.
    pub fn hear(&mut self, now: Duration, entry: &MemberEntry, leaving: bool) {
        self.add(now, entry);
        let Some(it) = self.known.get_mut(&entry.id) else { return };
        if it.entry.incarnation == entry.incarnation {
            it.heard_at = Some(now);
            it.leaving = leaving;
        }
    }

    /// Forgets daemons not heard for long.
    pub fn sweep(&mut self, now: Duration) {
        self.known.retain(|_, it| now < it.heard_at.unwrap_or(it.added_at) + FORGET_AFTER);
    }

    /// All entries, this daemon's own first.
    pub fn entries(&self) -> Vec<MemberEntry> {
        let known = self.known.values().filter(|it| it.heard_at.is_some());
        std::iter::once(self.own.clone()).chain(known.map(|it| it.entry.clone())).collect()
    }

    /// Where to send: everyone known, and the seeds.
    pub fn addresses(&self) -> Vec<IpAddr> {
        let mut all: Vec<IpAddr> = self.known.values().map(|it| it.entry.address).collect();
        all.extend(self.seeds.iter().copied());
        all.retain(|it| *it != self.own.address);
        all.sort();
        all.dedup();
        all
    }

    /// Daemons that may run, whether they can be reached or not, with this one.
    pub fn most(&self) -> usize {
        self.known.len() + 1
    }

    /// The share of all daemons that this one reaches, with itself.
    pub fn reachable_share(&self, now: Duration) -> f64 {
        let reached = self.known.values().filter(|it| it.is_near(now)).count() + 1;
        reached as f64 / self.most() as f64
    }

    /// This daemon's place among those that can be reached and stay; 0 is the first.
    pub fn rank(&self, now: Duration) -> usize {
        let near = self.known.values().filter(|it| it.is_near(now) && !it.leaving);
        near.filter(|it| it.entry.id < self.own.id).count()
    }

    /// The daemon that keeps a customer's bucket: `None` if it is this one.
    pub fn home(&self, now: Duration, customer: &CustomerId) -> Option<MemberEntry> {
        let near = self.known.values().filter(|it| it.is_near(now) && !it.leaving);
        let all: Vec<&MemberEntry> =
            std::iter::once(&self.own).chain(near.map(|it| &it.entry)).collect();
        let hashes: Vec<u64> =
            all.iter().map(|it| rendezvous::member_hash(it.id.as_str())).collect();
        let key = rendezvous::member_hash(customer.as_str());
        let home = rendezvous::homes(key, &hashes, 1).first().copied().unwrap_or(0);
        (home != 0).then(|| all[home].clone())
    }

    /// A daemon did not answer: it is taken to be out of reach until it speaks again.
    pub fn miss(&mut self, id: &InstanceId) {
        if let Some(it) = self.known.get_mut(id) {
            it.heard_at = it.heard_at.map(|at| at.saturating_sub(SILENT_AFTER));
        }
    }
}

impl Known {
    fn is_near(&self, now: Duration) -> bool {
        self.heard_at.is_some_and(|it| now < it + SILENT_AFTER)
    }
}

//! Tells other hubs what this daemon takes for the hubs of the fleet.

use std::net::IpAddr;

use policy::rendezvous;

use crate::dialect::Dialect;
use crate::directory::Directory;
use crate::gateway::{Gateway, lock};
use crate::gossip_peers::GossipPeers;
use crate::peer_message::PeerMessage;

/// The number of rounds in which a change is sent: datagrams get lost.
const CHANGE_ROUNDS: u32 = 2;

/// What this daemon told other hubs last.
#[derive(Debug, Default)]
pub(crate) struct SentHubs {
    hubs: Box<[u64]>,
    to: Vec<IpAddr>,
    /// The number of rounds since the last change.
    rounds: u32,
}

impl SentHubs {
    /// The addresses to send the hubs to in this round. After a change these include the hubs of
    /// before, which otherwise go on as keepers for daemons that ask others by now.
    fn begin_round(&mut self, peers: &GossipPeers, full: bool) -> &[IpAddr] {
        if self.hubs != peers.hub_hashes {
            self.hubs = peers.hub_hashes.clone();
            self.to.extend(&peers.hubs);
            self.to.sort();
            self.to.dedup();
            self.rounds = 0;
        } else {
            self.rounds = self.rounds.saturating_add(1);
        }
        if self.rounds >= CHANGE_ROUNDS {
            self.to.clone_from(&peers.hubs);
        }
        if self.rounds < CHANGE_ROUNDS || full { &self.to } else { &[] }
    }
}

/// Sends the hubs to the others, if this daemon is one: after a change, and with full reports.
pub(crate) fn send<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    peers: &GossipPeers,
    full: bool,
) {
    let mut sent = lock(&gateway.gossip_relay.sent_hubs);
    let to = sent.begin_round(peers, full);
    if !to.is_empty() && !peers.hub_hashes.is_empty() {
        let sender = rendezvous::hash_member(gateway.own.id.as_str());
        let hubs = peers.hub_hashes.clone();
        gateway.peer_socket.send(gateway.now(), to, &PeerMessage::Hubs { sender, hubs });
    }
}

//! The daemons that one daemon sends its reports to.

use std::net::IpAddr;

/// The addresses to which a daemon sends its reports, by direction.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct GossipPeers {
    /// The hub of this daemon; empty if it is a hub itself.
    pub parent: Vec<IpAddr>,
    /// The other hubs, if this daemon is one. Seeds too, while it reaches no other daemon.
    pub hubs: Vec<IpAddr>,
    /// The hashes of all hubs' ids, if this daemon is one.
    pub hub_hashes: Box<[u64]>,
    /// Some of the daemons that would be hubs if all known ones were reachable, but are not.
    pub lost_hubs: Vec<IpAddr>,
    /// Daemons that report to this one as their hub.
    pub children: Vec<IpAddr>,
    /// The hashes of the ids of `children`, in the same order.
    pub child_hashes: Vec<u64>,
}

impl GossipPeers {
    /// The addresses to which a change is forwarded that came from `source`, or arose here if
    /// `None`. What a hub sent goes to children only, since hubs send it to each other directly.
    pub fn forward_targets(&self, source: Option<IpAddr>) -> Vec<IpAddr> {
        let from_hub =
            source.is_some_and(|it| self.hubs.contains(&it) || self.parent.contains(&it));
        let hubs = self.parent.iter().chain(&self.hubs).filter(|_| !from_hub);
        let all = hubs.chain(&self.children).copied();
        let mut all: Vec<IpAddr> = all.filter(|it| Some(*it) != source).collect();
        all.sort();
        all.dedup();
        all
    }
}

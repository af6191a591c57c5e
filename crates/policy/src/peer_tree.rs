//! Who tells whom: a few hubs that all tell each other, and one hub for each other daemon.
//!
//! A daemon sends a number of messages that does not grow with the fleet, a hub one that grows
//! with its square root. Small fleets are all hubs. The most capable daemons become hubs.

use serde::{Deserialize, Serialize};

use crate::rendezvous;

/// Fleets up to this size are all hubs.
const FLAT_FLEET: usize = 12;

/// How much a daemon's instance can carry; the greater one becomes a hub first.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct InstanceCapacity {
    /// Thousandths of a core.
    pub millicores: u32,
    /// Megabits a second of its link.
    pub link_mbps: u32,
}

/// A daemon that may become a hub.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TreeMember {
    /// The hash of its id.
    pub member: u64,
    /// How much its instance can carry.
    pub capacity: InstanceCapacity,
    /// It is in the failure domain of the daemon that asks.
    pub same_domain: bool,
}

/// Hubs of a fleet of this size.
pub fn hub_count(fleet: usize) -> usize {
    if fleet <= FLAT_FLEET { fleet } else { (fleet as f64).sqrt().ceil() as usize }
}

/// Indices of all daemons, the first hubs first. The same on every daemon.
pub fn rank_members(members: &[TreeMember]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..members.len()).collect();
    order.sort_by_key(|it| (std::cmp::Reverse(members[*it].capacity), members[*it].member));
    order
}

/// Indices of the hubs in the order in which `own` turns to them: near ones first.
pub fn rank_parents(members: &[TreeMember], hubs: &[usize], own: u64) -> Vec<usize> {
    let mut parents = hubs.to_vec();
    parents.sort_by_key(|it| {
        let hub = &members[*it];
        (!hub.same_domain, std::cmp::Reverse(rendezvous::weight(own, hub.member)))
    });
    parents
}

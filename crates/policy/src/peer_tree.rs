//! The gossip topology: hubs exchange reports with each other, and every other daemon reports to
//! one hub, its parent.
//!
//! The number of messages that a daemon sends does not grow with the fleet, and that of a hub grows
//! with the fleet's square root. In small fleets all daemons are hubs. The daemons with the
//! greatest capacity become hubs.

use serde::{Deserialize, Serialize};

use crate::rendezvous;

/// Largest fleet in which every daemon is a hub.
const MAX_FLAT_FLEET: usize = 12;

/// An instance with this many times the cores is much more capable.
const MUCH_MORE_CAPABLE: u32 = 2;
/// How many times as many children hubs may have so that all of them are capable.
const MOST_CHILDREN_FACTOR: usize = 2;

/// The capacity of a daemon's instance. Instances are compared by cores first, then by link; the
/// greater one becomes a hub first.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct InstanceCapacity {
    /// CPU, in thousandths of a core.
    pub millicores: u32,
    /// Bandwidth of its network link, in megabits per second.
    pub link_mbps: u32,
}

/// A daemon that may become a hub.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TreeMember {
    /// The hash of the daemon's id (see [`rendezvous::hash_member`]).
    pub member: u64,
    /// The capacity of its instance.
    pub capacity: InstanceCapacity,
    /// Whether it is in the failure domain of the daemon that computes the topology.
    pub same_domain: bool,
}

/// The number of hubs in a fleet of this size.
pub fn hub_count(fleet: usize) -> usize {
    if fleet <= MAX_FLAT_FLEET { fleet } else { (fleet as f64).sqrt().ceil() as usize }
}

/// The number of hubs among these daemons, of which `order` is the order in which they become hubs.
/// Fewer than for a fleet of equal instances if only so many are much more capable than the others:
/// the load of a hub exhausts a weak instance, and the customers whose buckets it keeps are refused.
pub fn count_hubs(members: &[TreeMember], order: &[usize]) -> usize {
    let count = hub_count(members.len());
    let millicores = |rank: usize| members[order[rank]].capacity.millicores;
    if count == members.len() {
        return count;
    }
    let is_weak = |rank: usize| millicores(rank) * MUCH_MORE_CAPABLE <= millicores(0);
    let strong = (0..count).find(|rank| is_weak(*rank)).unwrap_or(count);
    if strong * MOST_CHILDREN_FACTOR >= count { strong } else { count }
}

/// Returns the indices of all daemons in the order in which they become hubs: greatest capacity
/// first, ties by the hash of the id. Every daemon with the same list computes the same order.
pub fn rank_members(members: &[TreeMember]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..members.len()).collect();
    order.sort_by_key(|it| (std::cmp::Reverse(members[*it].capacity), members[*it].member));
    order
}

/// Returns the indices `hubs` in the order in which the daemon `own` tries them as its parent:
/// those in its failure domain first, then by rendezvous hashing.
pub fn rank_parents(members: &[TreeMember], hubs: &[usize], own: u64) -> Vec<usize> {
    let mut parents = hubs.to_vec();
    parents.sort_by_key(|it| {
        let hub = &members[*it];
        (!hub.same_domain, std::cmp::Reverse(rendezvous::weight(own, hub.member)))
    });
    parents
}

//! Chooses the replica of a plain service for a call: the one with the least load per slot.

/// Load added to a replica in another failure domain, as a share of its slots.
const REMOTE_LOAD: f64 = 0.2;

/// The state of one replica, as the placing daemon knows it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlainView {
    /// Calls that the replica handles at once.
    pub slots: u32,
    /// Calls on the replica, from all daemons.
    pub running: u32,
    /// Whether it is in the daemon's own failure domain.
    pub same_domain: bool,
    /// Further load from the caller, such as for a suspected fault, as a share of its slots.
    pub penalty: f64,
}

/// Returns the index of the least loaded replica, or `None` if there are none. `random` breaks
/// ties, so that daemons do not all choose the same replica.
pub fn choose(views: &[PlainView], random: u64) -> Option<usize> {
    let count = views.len();
    let load = |it: &PlainView| {
        let remote_load = if it.same_domain { 0.0 } else { REMOTE_LOAD };
        f64::from(it.running) / f64::from(it.slots.max(1)) + remote_load + it.penalty
    };
    let first = random as usize % count.max(1);
    let rotated = (0..count).map(|it| (it + first) % count);
    rotated.min_by(|left, right| load(&views[*left]).total_cmp(&load(&views[*right])))
}

//! Which engines load new weights next.
//!
//! Loading takes an engine out for as long as its requests take to end and the load itself.
//! A few at a time keep the rest serving, and idle engines go first, since they wait for nothing.

/// Share of the engines that may be out at once.
const OUT_SHARE: f64 = 0.34;

/// An engine whose weights are older than the newest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LaggingTarget {
    /// Requests on it.
    pub running: u32,
    /// It was ordered to load and has not confirmed.
    pub under_order: bool,
}

/// Indices of the engines to order now, out of `total` engines.
pub fn next_orders(lagging: &[LaggingTarget], total: usize) -> Vec<usize> {
    let most = ((total as f64 * OUT_SHARE) as usize).max(1);
    let out = lagging.iter().filter(|it| it.under_order).count();
    let mut idle: Vec<usize> =
        (0..lagging.len()).filter(|index| !lagging[*index].under_order).collect();
    idle.sort_by_key(|index| lagging[*index].running);
    idle.truncate(most.saturating_sub(out));
    idle
}

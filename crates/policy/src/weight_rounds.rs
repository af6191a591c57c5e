//! Which engines load new weights next.
//!
//! An ordered engine takes no new requests, lets those on it end and then loads, with an empty
//! cache. Answers the pattern of weights that move under load: most engines serve at any moment,
//! and the prompts that all have to be prefilled anew come a few at a time. Engines on the oldest
//! weights go first, so that none is passed over again and again when versions follow fast, and
//! among them those with the least to finish.

/// Share of the engines that are out of service at most.
const OUT_SHARE: f64 = 0.34;

/// An engine whose weights are older than the newest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LaggingTarget {
    /// The version that it has.
    pub weights: u64,
    /// Requests on it.
    pub running: u32,
    /// It was ordered to load and has not confirmed.
    pub under_order: bool,
    /// It serves, and must not be ordered yet.
    pub deferred: bool,
    /// It answers requests, so that its leave takes capacity.
    pub reachable: bool,
}

/// Indices of the engines to order now; `ready` engines have the newest weights. `overdue`: the
/// engines that lag get no requests any more, so that nothing is lost by ordering all of them.
pub fn next_orders(lagging: &[LaggingTarget], ready: usize, overdue: bool) -> Vec<usize> {
    let reachable = lagging.iter().filter(|it| it.reachable);
    let total = reachable.clone().count() + ready;
    let share = if overdue { 1.0 } else { OUT_SHARE };
    let most = ((total as f64 * share) as usize).max(1);
    let out = reachable.filter(|it| it.under_order).count();
    let free = |it: &LaggingTarget| !it.under_order && !it.deferred;
    let mut idle: Vec<usize> = (0..lagging.len()).filter(|index| free(&lagging[*index])).collect();
    idle.sort_by_key(|index| {
        let it = &lagging[*index];
        (!it.reachable, it.weights, it.running)
    });
    idle.truncate(most.saturating_sub(out));
    idle
}

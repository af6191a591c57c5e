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
pub struct OutdatedTarget {
    /// The version that it has.
    pub weights: u64,
    /// Requests on it.
    pub running: u32,
    /// It was ordered to load and has not confirmed: it gets no requests.
    pub loading: bool,
    /// Somebody sees to it that it loads.
    pub command_active: bool,
    /// It serves, and must not be ordered yet.
    pub deferred: bool,
    /// It answers requests, so that its leave takes capacity.
    pub reachable: bool,
}

/// Indices of the engines to order now; `ready` engines have the newest weights. One whose order may
/// have been lost is ordered again: it serves nothing meanwhile. `overdue`: the
/// engines that lag get no requests any more, so that nothing is lost by ordering all of them.
pub fn choose_targets(lagging: &[OutdatedTarget], ready: usize, overdue: bool) -> Vec<usize> {
    let reachable = lagging.iter().filter(|it| it.reachable);
    let total = reachable.clone().count() + ready;
    let share = if overdue { 1.0 } else { OUT_SHARE };
    let most = ((total as f64 * share) as usize).max(1);
    let out = reachable.filter(|it| it.loading).count();
    let free = |it: &OutdatedTarget| !it.command_active && !it.deferred;
    let free: Vec<usize> = (0..lagging.len()).filter(|index| free(&lagging[*index])).collect();
    let is_loading = |index: &usize| lagging[*index].loading;
    let (mut orders, mut serving): (Vec<usize>, Vec<usize>) =
        free.into_iter().partition(is_loading);
    serving.sort_by_key(|index| {
        let it = &lagging[*index];
        (!it.reachable, it.weights, it.running)
    });
    serving.truncate(most.saturating_sub(out));
    orders.extend(serving);
    orders
}

//! Which engines load new weights next.
//!
//! An ordered engine takes no new requests, lets those on it end and then loads. Answers the
//! pattern of weights that move under load: the first wave leaves enough engines serving; as
//! soon as enough serve on the new weights, all others go, since requests go to the new ones.
//! Engines on the oldest weights go first, so that none is passed over again and again when
//! versions follow fast, and among them those with the least to finish.

/// Share of the engines in the first wave.
const FIRST_WAVE: f64 = 0.5;
/// Share of the engines on the new weights from which all others are ordered.
const ENOUGH_READY: f64 = 0.34;

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
}

/// Indices of the engines to order now; `ready` engines have the newest weights.
pub fn next_orders(lagging: &[LaggingTarget], ready: usize) -> Vec<usize> {
    let total = (lagging.len() + ready) as f64;
    let share = if ready as f64 >= total * ENOUGH_READY { 1.0 } else { FIRST_WAVE };
    let most = ((total * share) as usize).max(1);
    let out = lagging.iter().filter(|it| it.under_order).count();
    let free = |it: &LaggingTarget| !it.under_order && !it.deferred;
    let mut idle: Vec<usize> = (0..lagging.len()).filter(|index| free(&lagging[*index])).collect();
    idle.sort_by_key(|index| (lagging[*index].weights, lagging[*index].running));
    idle.truncate(most.saturating_sub(out));
    idle
}

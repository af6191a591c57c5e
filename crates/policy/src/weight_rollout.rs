//! Chooses the engines that load new weights next: a rolling update under load.
//!
//! An engine that is commanded to load takes no new requests, finishes those on it and then loads,
//! after which its cache is empty. Updating a few engines at a time keeps most of them serving and
//! limits how many prompts have to be prefilled again at a time. Engines on the oldest
//! weights go first, so that none is passed over again and again when versions follow fast, and
//! among them those with the least to finish.

use std::time::Duration;

/// Greatest share of the reachable engines that may be out of service at once.
const MAX_UNAVAILABLE_SHARE: f64 = 0.34;
/// How much longer each further rank waits before it tries to take the lease on commands.
const RANK_DELAY: Duration = Duration::from_millis(400);
/// How long a daemon waits that reaches half of the others or fewer.
const PARTITIONED_DELAY: Duration = Duration::from_millis(3_200);

/// An engine whose weights are older than the newest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LaggingTarget {
    /// The version that it has.
    pub weights: u64,
    /// Requests on it.
    pub running: u32,
    /// Whether it was commanded to load and has not confirmed; it gets no requests meanwhile.
    pub loading: bool,
    /// Whether a command to load is being carried out, so that it needs no other.
    pub command_active: bool,
    /// Whether it serves and must not be commanded yet.
    pub deferred: bool,
    /// Whether it did not report when it was to be commanded last, so that others go first.
    pub unreported: bool,
    /// Whether it answers requests, so that taking it out of service costs capacity.
    pub reachable: bool,
}

/// How long a daemon waits, from when it learned of newer weights, before it tries to take the lease
/// on commands. `reachable_share` is the share of all daemons that it reaches, itself included.
///
/// Daemons that are cut off from their peers, but not from the store, are each first in rank among
/// those they reach. Peers would not hear which engines such a holder takes out of service, and
/// would go on sending them requests, so it lets the daemons that reach most others go first.
pub fn lease_delay(rank: usize, reachable_share: f64) -> Duration {
    let delay = RANK_DELAY * u32::try_from(rank).unwrap_or(u32::MAX).min(1_000);
    if reachable_share > 0.5 { delay } else { delay.max(PARTITIONED_DELAY) }
}

/// Returns the indices of the lagging engines to command now, beside `ready` engines that have the
/// newest weights. An engine whose command may have been lost is commanded again at once, as it
/// serves nothing meanwhile. `overdue` means that lagging engines get no requests any more, so all
/// of them can be commanded at no loss of capacity.
pub fn choose_targets(lagging: &[LaggingTarget], ready: usize, overdue: bool) -> Vec<usize> {
    let reachable = lagging.iter().filter(|it| it.reachable);
    let total = reachable.clone().count() + ready;
    let share = if overdue { 1.0 } else { MAX_UNAVAILABLE_SHARE };
    let max_out = ((total as f64 * share) as usize).max(1);
    let out = reachable.filter(|it| it.loading).count();
    let free = |it: &LaggingTarget| !it.command_active && !it.deferred;
    let free: Vec<usize> = (0..lagging.len()).filter(|index| free(&lagging[*index])).collect();
    let is_loading = |index: &usize| lagging[*index].loading;
    let (mut chosen, mut serving): (Vec<usize>, Vec<usize>) =
        free.into_iter().partition(is_loading);
    serving.sort_by_key(|index| {
        let it = &lagging[*index];
        (!it.reachable, it.unreported, it.weights, it.running)
    });
    serving.truncate(max_out.saturating_sub(out));
    chosen.extend(serving);
    chosen
}

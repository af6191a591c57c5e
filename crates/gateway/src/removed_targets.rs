//! Replicas that were taken off the list and that a store may list again, because it came back from
//! a copy that is older than their removal.

use std::time::Duration;

use ids::{StoreEra, TargetId};
use indexmap::IndexMap;

use crate::config::TargetEntry;

/// How long a removal is remembered. Entries that no replica writes any more expire well before.
const REMOVAL_MEMORY: Duration = Duration::from_secs(15);

/// The replicas that were removed recently.
#[derive(Debug, Default)]
pub(crate) struct RemovedTargets {
    removed: IndexMap<TargetId, Removal>,
}

#[derive(Debug)]
struct Removal {
    incarnation: u64,
    era: StoreEra,
    at: Duration,
}

impl RemovedTargets {
    /// Records which entries a list of this era no longer holds.
    pub(crate) fn record(
        &mut self,
        now: Duration,
        era: StoreEra,
        before: &[TargetEntry],
        after: &[TargetEntry],
    ) {
        self.removed.retain(|_, it| now < it.at + REMOVAL_MEMORY);
        let mut gone: IndexMap<&TargetId, &TargetEntry> =
            before.iter().map(|it| (&it.id, it)).collect();
        for it in after {
            gone.swap_remove(&it.id);
        }
        self.removed.extend(
            gone.into_values()
                .map(|it| (it.id.clone(), Removal { incarnation: it.incarnation, era, at: now })),
        );
    }

    /// Whether an entry in a list of this era was removed in an earlier one. Removals within an era
    /// are taken back by a newer list.
    pub(crate) fn contains(&self, now: Duration, era: StoreEra, entry: &TargetEntry) -> bool {
        self.removed.get(&entry.id).is_some_and(|it| {
            it.incarnation == entry.incarnation && it.era < era && now < it.at + REMOVAL_MEMORY
        })
    }
}

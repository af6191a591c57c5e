//! Changes of the list of replicas, so that daemons need not send each other the whole list.

use std::time::Duration;

use ids::TargetId;
use indexmap::IndexMap;

use crate::cluster_view::{self, TargetListing};
use crate::config::TargetEntry;
use crate::peer_message::ListingChange;

/// The whole list is sent if more than one in this many of its entries changed.
const CHANGED_DIVISOR: usize = 3;

/// What a newly read list changes, and so what peers are to be told.
#[derive(Debug, Clone, PartialEq)]
pub enum ListingUpdate {
    /// Nothing: its entries are the known ones, or it is older.
    Unchanged,
    /// Some entries.
    Partial(ListingChange),
    /// So much that peers are to get the whole list.
    Whole,
}

/// Compares two lists, of which the later one was current `age` ago.
pub fn compare(before: &TargetListing, after: &TargetListing, age: Duration) -> ListingUpdate {
    if before.hash == after.hash {
        return ListingUpdate::Unchanged;
    }
    let known: IndexMap<&TargetId, &TargetEntry> =
        before.entries.iter().map(|it| (&it.id, it)).collect();
    let left: IndexMap<&TargetId, &TargetEntry> =
        after.entries.iter().map(|it| (&it.id, it)).collect();
    let changed = after.entries.iter().filter(|it| known.get(&it.id) != Some(it));
    let changed: Vec<TargetEntry> = changed.cloned().collect();
    let removed = before.entries.iter().filter(|it| !left.contains_key(&it.id));
    let removed: Vec<TargetId> = removed.map(|it| it.id.clone()).collect();
    if (changed.len() + removed.len()) * CHANGED_DIVISOR > after.entries.len() {
        return ListingUpdate::Whole;
    }
    let (base, hash, revision) = (before.hash, after.hash, after.revision);
    ListingUpdate::Partial(ListingChange { base, hash, revision, age, changed, removed })
}

/// The list after a change; `None` if the change belongs to another list than the known one.
pub fn apply(known: &TargetListing, change: &ListingChange) -> Option<Vec<TargetEntry>> {
    if known.hash != change.base {
        return None;
    }
    let mut entries: IndexMap<&TargetId, &TargetEntry> =
        known.entries.iter().map(|it| (&it.id, it)).collect();
    entries.extend(change.changed.iter().map(|it| (&it.id, it)));
    for it in &change.removed {
        entries.swap_remove(it);
    }
    let mut entries: Vec<TargetEntry> = entries.into_values().cloned().collect();
    entries.sort_by(|left, right| left.id.as_str().cmp(right.id.as_str()));
    (cluster_view::hash_listing(&entries) == change.hash).then_some(entries)
}

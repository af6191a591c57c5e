//! Which releases of a pool requests may run on, apart from the one on trial: those that were found
//! bad, or whose rollout was replaced by another one before its end, get none.
//!
//! Load pattern: operators order the next release while the replicas of a bad one are still listed.
//! All traffic that is not on trial would be spread over these too.

use ids::Revision;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Releases that are remembered of one pool, those that were ordered last.
const MAX_RELEASES: usize = 16;

/// What came of the rollout to a release. Of two findings about one order, the greater one holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutOutcome {
    /// It was rolled back, or another order replaced it.
    Rejected,
    /// It was completed. A daemon that does not know this yet may take it for replaced.
    Completed,
}

/// The releases of one pool that were ordered, each with its last order. Daemons and the store merge
/// their histories in any order.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ReleaseHistory {
    releases: IndexMap<Box<str>, (Revision, RolloutOutcome)>,
}

impl ReleaseHistory {
    /// Whether the last rollout to this release did not end well.
    pub fn is_rejected(&self, release: &str) -> bool {
        self.releases.get(release).is_some_and(|it| it.1 == RolloutOutcome::Rejected)
    }

    /// Whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.releases.is_empty()
    }

    /// Records the outcome of an order; returns whether this is news.
    pub fn record(&mut self, release: &str, order: Revision, outcome: RolloutOutcome) -> bool {
        let known = self.releases.get(release);
        if known.is_some_and(|it| *it >= (order, outcome)) {
            return false;
        }
        self.releases.insert(release.into(), (order, outcome));
        self.drop_oldest();
        true
    }

    /// Merges what another daemon or the store knows of orders up to the current one; returns whether
    /// there is news. Later orders can only come from damaged bytes.
    pub fn merge(&mut self, other: &ReleaseHistory, current: Revision) -> bool {
        let before = self.clone();
        let ended = other.releases.iter().filter(|it| it.1.0 <= current);
        for (release, (order, outcome)) in ended {
            self.record(release, *order, *outcome);
        }
        *self != before
    }

    fn drop_oldest(&mut self) {
        while self.releases.len() > MAX_RELEASES {
            let oldest = (0..self.releases.len()).min_by_key(|it| self.releases[*it].0);
            oldest.and_then(|it| self.releases.swap_remove_index(it));
        }
    }
}

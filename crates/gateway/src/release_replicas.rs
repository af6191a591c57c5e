//! The replicas of a pool by the release of their software.

use std::time::Duration;

use ids::PoolId;
use policy::home_areas::HomeAreas;
use policy::release_history::ReleaseHistory;
use policy::rollout_stage::{self, TrafficShare};

use crate::config::PoolRollout;
use crate::fleet::FleetTable;
use crate::placement::ReleaseFilter;

impl FleetTable {
    /// Whether a pool has an active replica of a release that may get requests.
    pub(crate) fn has_release(&self, pool: &PoolId, releases: ReleaseFilter<'_>) -> bool {
        let mut active = self.active_replicas(pool, &HomeAreas::Everywhere);
        active.any(|it| releases.allows(it))
    }

    /// Number of replicas that accept requests, of the release that a rollout moves to and of
    /// others that did not fail their last rollout.
    pub(crate) fn count_by_release(
        &self,
        now: Duration,
        rollout: &PoolRollout,
        history: &ReleaseHistory,
    ) -> (usize, usize) {
        let pool = self.replicas.values().filter(|it| it.entry.pool == rollout.pool);
        let open = pool.filter(|it| it.accepts_requests(now));
        let (new, others): (Vec<_>, Vec<_>) = open.partition(|it| it.entry.release == rollout.to);
        let old = others.iter().filter(|it| !history.is_rejected(&it.entry.release));
        (new.len(), old.count())
    }

    /// Whether any request runs on another release than the one that a rollout moves to.
    pub fn runs_other_release(&self, now: Duration, rollout: &PoolRollout) -> bool {
        let mut pool = self.replicas.values().filter(|it| it.entry.pool == rollout.pool);
        pool.any(|it| it.entry.release != rollout.to && self.load(now, it).running > 0)
    }

    /// The hashes of the ids of replicas of this release that get its requests at this share. All
    /// daemons select the same ones.
    pub fn trial_members(&self, pool: &PoolId, release: &str, share: TrafficShare) -> Vec<u64> {
        let active = self.active_replicas(pool, &HomeAreas::Everywhere);
        let mut members: Vec<u64> =
            active.filter(|it| *it.entry.release == *release).map(|it| it.member).collect();
        members.sort_unstable();
        members.truncate(rollout_stage::trial_replicas(share, members.len()));
        members
    }
}

//! The replicas of a pool by the release of their software.

use std::time::Duration;

use ids::PoolId;
use policy::home_areas::HomeAreas;
use policy::rollout_stage::{self, TrafficShare};

use crate::config::PoolRollout;
use crate::fleet::FleetTable;

impl FleetTable {
    /// Whether a pool has an active replica of another release.
    pub fn has_other_release(&self, pool: &PoolId, release: &str) -> bool {
        let mut active = self.active_replicas(pool, &HomeAreas::Everywhere);
        active.any(|it| *it.entry.release != *release)
    }

    /// Number of replicas that accept requests, of the release that a rollout moves to and of
    /// others.
    pub fn count_by_release(&self, now: Duration, rollout: &PoolRollout) -> (usize, usize) {
        let pool = self.replicas.values().filter(|it| it.entry.pool == rollout.pool);
        let open = pool.filter(|it| it.accepts_requests(now));
        let (new, old): (Vec<_>, Vec<_>) = open.partition(|it| it.entry.release == rollout.to);
        (new.len(), old.len())
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

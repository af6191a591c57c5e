//! The replicas of a pool that accept a request now or soon.

use std::time::Duration;

use ids::PoolId;
use policy::home_areas::HomeAreas;

use crate::fleet::FleetTable;
use crate::replica::Replica;

impl FleetTable {
    /// Whether a pool has an active replica in these areas. Without one, a request that waits for a
    /// replica waits in vain.
    pub fn has_active_replica(&self, pool: &PoolId, areas: &HomeAreas) -> bool {
        self.active_replicas(pool, areas).next().is_some()
    }

    /// When the first active replica of a pool in these areas wants requests again; `None` if one
    /// does now, or if none is active.
    pub fn held_off_until(
        &self,
        now: Duration,
        pool: &PoolId,
        areas: &HomeAreas,
    ) -> Option<Duration> {
        let active = self.active_replicas(pool, areas);
        let ends: Option<Vec<Duration>> = active.map(|it| it.wants_requests_at(now)).collect();
        ends?.into_iter().min()
    }

    /// The replicas of a pool in these areas that are neither leaving nor in an evacuated domain.
    pub(crate) fn active_replicas(
        &self,
        pool: &PoolId,
        areas: &HomeAreas,
    ) -> impl Iterator<Item = &Replica> {
        self.replicas.values().filter(move |it| {
            it.entry.pool == *pool && !it.leaving && !it.evacuated && areas.allows(&it.entry.domain)
        })
    }
}

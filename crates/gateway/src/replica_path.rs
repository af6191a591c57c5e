//! Watches this daemon's own path to the replicas of each pool (`policy::replica_path`): checks it when
//! several replicas cannot be connected to, and probes it while it is cut.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future;
use ids::PoolId;
use policy::replica_path::{self, PeerAnswers};
use policy::silence::RecentAnswers;
use rand::seq::SliceRandom;

use crate::dialect::Dialect;
use crate::directory::Directory;
use crate::fleet::FleetTable;
use crate::gateway::{Gateway, lock};
use crate::replica::Replica;

/// Replicas that a check tries to connect to, all at once.
const CHECKED_REPLICAS: usize = 3;
/// The time between two probes while the path is cut.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);

/// Records that a connection to a replica of a pool, by the hash of its id, could not be opened.
pub(crate) fn record_failure<D: Dialect, S: Directory>(
    gateway: &Arc<Gateway<D, S>>,
    pool: &PoolId,
    replica: u64,
) {
    let known = lock(&gateway.fleet).pool_orders.get(pool).map_or(0, Vec::len);
    let mut paths = lock(&gateway.relay.paths);
    let path = paths.entry(pool.clone()).or_default();
    if path.record_failure(gateway.now(), replica, known) {
        tokio::spawn(check(gateway.clone(), pool.clone()));
    }
}

/// Whether requests to a pool are to go on through another daemon: this one reaches no replica, or
/// has just begun to reach them again, and peers may reach them.
pub(crate) fn prefers_relay<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    pool: &PoolId,
) -> bool {
    let now = gateway.now();
    let share = lock(&gateway.relay.paths).get(pool).map_or(1.0, |it| it.direct_share(now));
    share < 1.0 && !rand::random_bool(share) && peers_may_reach(gateway, pool)
}

/// Whether a request that found no replica of a pool here may find one through another daemon.
pub(crate) fn may_relay<D: Dialect, S: Directory>(gateway: &Gateway<D, S>, pool: &PoolId) -> bool {
    gateway.relay.is_path_suspect(gateway.now(), pool) && peers_may_reach(gateway, pool)
}

fn peers_may_reach<D: Dialect, S: Directory>(gateway: &Gateway<D, S>, pool: &PoolId) -> bool {
    replica_path::peers_may_reach(lock(&gateway.fleet).peer_answers(pool))
}

/// Whether a failure at a replica of a pool is not this daemon's own path's: others of the pool are
/// reached, or no peer gets answers from them either.
pub(crate) async fn is_replica_at_fault<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    pool: &PoolId,
    replica: u64,
) -> bool {
    if gateway.relay.is_path_cut(pool) {
        return false;
    }
    let addresses = lock(&gateway.fleet).draw_addresses(pool, CHECKED_REPLICAS, |it| it == replica);
    reaches_any(gateway, &addresses).await || lock(&gateway.fleet).peer_answers(pool).answered == 0
}

async fn reaches_any<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    addresses: &[SocketAddr],
) -> bool {
    let connecting = addresses.iter().map(|it| gateway.connections.accepts_connections(*it));
    future::join_all(connecting).await.into_iter().any(|it| it)
}

/// Tells a cut path from replicas that are down, by connections to others.
async fn check<D: Dialect, S: Directory>(gateway: Arc<Gateway<D, S>>, pool: PoolId) {
    let path = lock(&gateway.relay.paths).get(&pool).cloned().unwrap_or_default();
    let has_failed = |replica| path.has_failed(replica);
    let addresses = lock(&gateway.fleet).draw_addresses(&pool, CHECKED_REPLICAS, has_failed);
    let reached = addresses.is_empty() || reaches_any(&gateway, &addresses).await;
    let is_cut = lock(&gateway.relay.paths).entry(pool.clone()).or_default().record_check(reached);
    if is_cut {
        tracing::warn!(%pool, "replica path: cut, requests go on through other daemons");
        lock(&gateway.fleet).set_path_cut(&pool, true);
        probe(&gateway, &pool).await;
    }
}

/// Connects to a replica now and then until the path is open again.
async fn probe<D: Dialect, S: Directory>(gateway: &Arc<Gateway<D, S>>, pool: &PoolId) {
    loop {
        tokio::time::sleep(PROBE_INTERVAL).await;
        let addresses = lock(&gateway.fleet).draw_addresses(pool, 1, |_| false);
        // A pool may be gone by now.
        let succeeded = addresses.is_empty() || reaches_any(gateway, &addresses).await;
        let now = gateway.now();
        let mut paths = lock(&gateway.relay.paths);
        if paths.entry(pool.clone()).or_default().record_probe(now, succeeded) {
            break;
        }
    }
    lock(&gateway.fleet).set_path_cut(pool, false);
    gateway.capacity_freed.notify_waiters();
    tracing::info!(%pool, "replica path: open again, requests return in steps");
}

impl FleetTable {
    /// What peers report of the replicas of a pool: requests answered and failed lately.
    fn peer_answers(&self, pool: &PoolId) -> PeerAnswers {
        let members = self.pool_orders.get(pool).map_or(&[][..], |it| it);
        let counts = members.iter().map(|it| self.peer_loads.sum(*it).answers);
        counts.fold(PeerAnswers::default(), |sum, it| PeerAnswers {
            answered: sum.answered + u64::from(it.answered),
            failed: sum.failed + u64::from(it.failed),
        })
    }

    /// Draws addresses of replicas of a pool that are not leaving; those that are `last_resort`, by
    /// the hash of the id, only if there are no others.
    fn draw_addresses(
        &self,
        pool: &PoolId,
        count: usize,
        last_resort: impl Fn(u64) -> bool,
    ) -> Vec<SocketAddr> {
        let in_pool = |it: &&Replica| it.entry.pool == *pool && !it.leaving;
        let mut replicas: Vec<_> = self.replicas.values().filter(in_pool).collect();
        if replicas.iter().any(|it| !last_resort(it.member)) {
            replicas.retain(|it| !last_resort(it.member));
        }
        let (drawn, _) = replicas.partial_shuffle(&mut rand::rng(), count);
        drawn.iter().map(|it| it.entry.address).collect()
    }

    /// Discards the failures that the path explains, so that neither this daemon nor its peers keep
    /// requests away from replicas because of them.
    fn set_path_cut(&mut self, pool: &PoolId, is_cut: bool) {
        match is_cut {
            true => drop(self.cut_pools.insert(pool.clone())),
            false => drop(self.cut_pools.swap_remove(pool)),
        }
        for replica in self.replicas.values_mut().filter(|it| it.entry.pool == *pool) {
            replica.recent_answers = RecentAnswers::default();
            replica.health.record_success(None);
        }
    }
}

//! Watches this daemon's own path to the replicas of each pool (`policy::replica_path`): checks it when
//! several replicas cannot be connected to, with the help of other daemons, and probes it while it is
//! cut.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future;
use ids::PoolId;
use policy::replica_path::{CheckFinding, ReplicaPath};
use policy::silence::RecentAnswers;
use rand::seq::SliceRandom;

use crate::dialect::Dialect;
use crate::directory::Directory;
use crate::fleet::FleetTable;
use crate::gateway::{Gateway, lock};
use crate::relay;
use crate::replica::Replica;

/// Replicas that a check tries to connect to, all at once.
const CHECKED_REPLICAS: usize = 3;
/// How long a request waits for the end of a check.
const CHECK_WAIT: Duration = Duration::from_millis(300);
/// How long a daemon that is asked whether it reaches replicas waits for an answer of one.
const ANSWER_WAIT: Duration = Duration::from_millis(250);
/// The time between two looks at whether a check has ended.
const CHECK_POLL_INTERVAL: Duration = Duration::from_millis(10);
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
/// has just begun to reach them again.
pub(crate) fn prefers_relay<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    pool: &PoolId,
) -> bool {
    let now = gateway.now();
    let share = lock(&gateway.relay.paths).get(pool).map_or(1.0, |it| it.direct_share(now));
    share < 1.0 && !rand::random_bool(share)
}

/// Whether a request that found no replica of a pool here is to go on through another daemon. Waits
/// for the end of a check that is under way.
pub(crate) async fn may_relay<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    pool: &PoolId,
    deadline: Duration,
) -> bool {
    let give_up_at = deadline.min(gateway.now() + CHECK_WAIT);
    let is_checked = || lock(&gateway.relay.paths).get(pool).is_some_and(ReplicaPath::is_checked);
    while is_checked() && gateway.now() < give_up_at {
        tokio::time::sleep(CHECK_POLL_INTERVAL).await;
    }
    gateway.relay.is_path_cut(pool)
}

/// Whether a failure at a replica of a pool is not due to this daemon's own path.
pub(crate) async fn is_replica_at_fault<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    pool: &PoolId,
    replica: u64,
) -> bool {
    if gateway.relay.is_path_cut(pool) {
        return false;
    }
    find_reach(gateway, pool, |it| it == replica).await != CheckFinding::ReachedByOthers
}

/// Whether this daemon can connect to any of a few replicas of a pool now.
pub(crate) async fn reaches_pool<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    pool: &PoolId,
    last_resort: impl Fn(u64) -> bool,
) -> bool {
    let addresses = lock(&gateway.fleet).draw_addresses(pool, CHECKED_REPLICAS, last_resort);
    let connecting = addresses.iter().map(|it| gateway.connections.accepts_connections(*it));
    future::join_all(connecting).await.into_iter().any(|it| it)
}

/// Whether this daemon reaches replicas of a pool, by new connections or by those that are open: an
/// answer that comes from now on. Earlier ones say nothing of replicas that have just ended.
pub(crate) async fn serves_pool<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    pool: &PoolId,
) -> bool {
    let asked_at = gateway.now();
    if reaches_pool(gateway, pool, |_| false).await {
        return true;
    }
    let has_answered = || lock(&gateway.fleet).has_answered_since(pool, asked_at);
    while gateway.now() < asked_at + ANSWER_WAIT && !has_answered() {
        tokio::time::sleep(CHECK_POLL_INTERVAL).await;
    }
    has_answered()
}

/// Finds who reaches replicas of a pool; those that are `last_resort` are tried only if there are no
/// others.
async fn find_reach<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    pool: &PoolId,
    last_resort: impl Fn(u64) -> bool,
) -> CheckFinding {
    if reaches_pool(gateway, pool, last_resort).await {
        return CheckFinding::Reached;
    }
    if !relay::is_reached_by_others(gateway, pool).await {
        return CheckFinding::Down;
    }
    // Replicas that were down for all may have come back meanwhile.
    match reaches_pool(gateway, pool, |_| false).await {
        true => CheckFinding::Reached,
        false => CheckFinding::ReachedByOthers,
    }
}

/// Tells a cut path from replicas that are down.
async fn check<D: Dialect, S: Directory>(gateway: Arc<Gateway<D, S>>, pool: PoolId) {
    let path = lock(&gateway.relay.paths).get(&pool).cloned().unwrap_or_default();
    let finding = find_reach(&gateway, &pool, |it| path.has_failed(it)).await;
    tracing::info!(%pool, ?finding, "replica path: checked");
    let now = gateway.now();
    let is_cut =
        lock(&gateway.relay.paths).entry(pool.clone()).or_default().record_check(now, finding);
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
        let succeeded = match addresses.first() {
            Some(it) => gateway.connections.accepts_connections(*it).await,
            // The pool is gone.
            None => true,
        };
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
    /// Whether a replica of a pool has answered this daemon since then.
    fn has_answered_since(&self, pool: &PoolId, since: Duration) -> bool {
        let mut replicas = self.replicas.values().filter(|it| it.entry.pool == *pool);
        replicas.any(|it| it.answered_at.is_some_and(|at| at > since))
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

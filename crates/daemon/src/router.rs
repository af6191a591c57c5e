//! The state that all requests and tasks of a daemon share.

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use catalog::CatalogState;
use control::{CatalogStore, ClaimStore, MoveController, ShareHolder};
use ids::{Incarnation, InstanceId, KeyDigest, PoolId, RequestId};
use indexmap::{IndexMap, IndexSet};
use peers::{PeerClient, PeerRequest};
use policy::isolation::IsolationTable;
use policy::placement::PlacementCosts;
use policy::quarantine::{QuarantineTable, Strike};
use ports::{Clock, SystemClock};
use settings::Settings;
use table_service::PlatformClient;
use targets::TargetClient;
use tokio::sync::Notify;

use crate::member_view::MemberView;
use crate::metrics::Metrics;
use crate::pool::PoolScheduler;

/// A pool's scheduler on the daemon's clock.
pub(crate) type Scheduler = PoolScheduler<SystemClock>;

/// The shared state of one daemon.
#[derive(Debug)]
pub(crate) struct Router {
    pub(crate) settings: Settings,
    pub(crate) instance_id: InstanceId,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: SystemClock,
    pub(crate) platform: PlatformClient,
    pub(crate) catalog: CatalogStore<PlatformClient>,
    pub(crate) claims: ClaimStore<PlatformClient>,
    pub(crate) shares: ShareHolder<PlatformClient, SystemClock>,
    pub(crate) moves: MoveController<PlatformClient, SystemClock>,
    pub(crate) peers: PeerClient,
    pub(crate) members: MemberView,
    /// Sends requests to engines and services.
    pub(crate) target_client: TargetClient,
    pub(crate) metrics: Metrics,
    /// Wakes the task that reads the platform.
    pub(crate) poll_wakeup: Notify,
    pub(crate) quarantine: Mutex<QuarantineTable>,
    isolation: Mutex<IsolationTable>,
    pools: Mutex<IndexMap<PoolId, Arc<Scheduler>>>,
    /// Withdrawn keys that the catalog in use may still admit.
    blocked_keys: Mutex<IndexSet<KeyDigest>>,
    /// When the table or a majority of the instances last confirmed the catalog, in microseconds
    /// on the daemon's clock.
    catalog_confirmed_at: AtomicU64,
    /// When the table last answered, in microseconds on the daemon's clock.
    table_answered_at: AtomicU64,
    /// Number of requests being handled.
    in_flight: AtomicUsize,
    leaving: AtomicBool,
}

/// Unix time in seconds by the wall clock, for ages of days, where clock differences do not matter.
pub(crate) fn unix_time_s() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs()
}

/// A client of the platform's services; each call fails after `deadline`.
pub(crate) fn platform_client(settings: &Settings, deadline: Duration) -> PlatformClient {
    let services = &settings.platform;
    let address = table_service::PlatformAddress {
        list: services.list,
        table: services.table,
        objects: services.objects,
        weights: services.weights,
    };
    PlatformClient::new(address, deadline)
}

/// Counts a request as in flight until this is dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    router: Arc<Router>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let before = self.router.in_flight.fetch_sub(1, Ordering::Relaxed);
        self.router.metrics.open_requests.set(before as i64 - 1);
    }
}

impl Router {
    pub(crate) fn new(settings: Settings, incarnation: Incarnation) -> Router {
        let instance_id = settings.instance.id.clone();
        let clock = SystemClock;
        let deadline = settings.platform.deadline_ms.duration();
        let platform = platform_client(&settings, deadline);
        let peers = PeerClient::new(
            instance_id.clone(),
            incarnation,
            settings.secrets.peer.clone(),
            settings.peers.deadline_ms.duration(),
        );
        Router {
            catalog: CatalogStore::new(platform.clone()),
            claims: ClaimStore::new(platform.clone(), instance_id.clone(), incarnation),
            shares: ShareHolder::new(platform.clone(), clock, instance_id.clone(), incarnation),
            moves: MoveController::new(platform.clone(), clock, instance_id.clone(), incarnation),
            peers,
            members: MemberView::new(instance_id.clone()),
            target_client: TargetClient::new(&settings.secrets.target),
            metrics: Metrics::new(),
            poll_wakeup: Notify::new(),
            quarantine: Mutex::default(),
            isolation: Mutex::default(),
            pools: Mutex::default(),
            blocked_keys: Mutex::default(),
            catalog_confirmed_at: AtomicU64::new(0),
            table_answered_at: AtomicU64::new(0),
            in_flight: AtomicUsize::new(0),
            leaving: AtomicBool::new(false),
            platform,
            settings,
            instance_id,
            incarnation,
            clock,
        }
    }

    /// The scheduler of a pool; `None` if the catalog has no such pool.
    pub(crate) fn scheduler(&self, id: &PoolId) -> Option<Arc<Scheduler>> {
        self.lock_pools().get(id).cloned()
    }

    /// The schedulers of all pools.
    pub(crate) fn schedulers(&self) -> Vec<Arc<Scheduler>> {
        self.lock_pools().values().cloned().collect()
    }

    /// Applies a newer catalog: creates, updates and removes pools, and unblocks keys that the
    /// catalog no longer lists.
    pub(crate) fn update_pools(&self, catalog: &CatalogState) {
        self.metrics.catalog_revision.set(catalog.revision.0 as i64);
        // The catalog itself refuses keys that it no longer lists.
        self.lock_blocked_keys().retain(|it| catalog.keys.contains_key(it));
        let costs = self.placement_costs();
        let limit = self.settings.limits.queue_length;
        let mut pools = self.lock_pools();
        pools.retain(|id, _| catalog.pools.contains_key(id));
        for (id, pool) in &catalog.pools {
            let scheduler = pools.entry(id.clone()).or_insert_with(|| {
                Arc::new(PoolScheduler::new(pool.clone(), costs, limit, self.clock))
            });
            scheduler.apply_catalog(pool, catalog);
        }
    }

    /// A random 128-bit id for an attempt, in hexadecimal: unique in the fleet and valid in a
    /// header.
    pub(crate) fn new_attempt_id(&self) -> RequestId {
        let text = format!("{:016x}{:016x}", rand::random::<u64>(), rand::random::<u64>());
        text.parse().expect("hexadecimal digits are a valid id")
    }

    /// Time on the daemon's clock.
    pub(crate) fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Whether this daemon takes no new requests.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Refuses new requests from now on; cannot be undone.
    pub(crate) fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Counts one more request in flight until the guard is dropped.
    pub(crate) fn track_request(self: &Arc<Self>) -> InFlightGuard {
        let before = self.in_flight.fetch_add(1, Ordering::Relaxed);
        self.metrics.open_requests.set(before as i64 + 1);
        InFlightGuard { router: self.clone() }
    }

    /// The number of requests in flight, including streams that are still relayed.
    pub(crate) fn in_flight_count(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Records that the table answered a query sent at `asked_at`, so the catalog was the newest
    /// at that time.
    pub(crate) fn record_table_answer(&self, asked_at: Duration) {
        self.table_answered_at.fetch_max(asked_at.as_micros() as u64, Ordering::Relaxed);
        self.record_majority_answer(asked_at);
    }

    /// Records that a majority of the instances answered queries sent at `asked_at`, so the catalog
    /// is the newest that any operator was told is in force.
    pub(crate) fn record_majority_answer(&self, asked_at: Duration) {
        self.catalog_confirmed_at.fetch_max(asked_at.as_micros() as u64, Ordering::Relaxed);
    }

    /// The time since the table last answered.
    pub(crate) fn table_silence(&self) -> Duration {
        let at = Duration::from_micros(self.table_answered_at.load(Ordering::Relaxed));
        self.now().saturating_sub(at)
    }

    /// Whether the catalog was confirmed within the grace time of the settings.
    pub(crate) fn is_catalog_confirmed(&self) -> bool {
        let at = Duration::from_micros(self.catalog_confirmed_at.load(Ordering::Relaxed));
        let grace = self.settings.timeouts.catalog_grace_ms.duration();
        self.now().saturating_sub(at) <= grace
    }

    /// Whether this daemon can serve all callers: it has a confirmed catalog and is not leaving.
    pub(crate) fn is_ready(&self) -> bool {
        self.catalog.current().is_some() && self.is_catalog_confirmed() && !self.is_leaving()
    }

    /// Refuses a key until a catalog without it is applied.
    pub(crate) fn block_key(&self, digest: KeyDigest) {
        self.lock_blocked_keys().insert(digest);
    }

    /// Whether a key is refused although the catalog may still list it.
    pub(crate) fn is_key_blocked(&self, digest: &KeyDigest) -> bool {
        self.lock_blocked_keys().contains(digest)
    }

    /// The keys that are refused although the catalog may still list them.
    pub(crate) fn blocked_keys(&self) -> Vec<KeyDigest> {
        self.lock_blocked_keys().iter().cloned().collect()
    }

    /// Records a crash against a request, here and on every peer.
    pub(crate) async fn record_strike(&self, strike: Strike) {
        let new = self.lock_quarantine().record_strike(self.now(), strike);
        if !new {
            return;
        }
        self.metrics.strikes.inc();
        self.broadcast(&PeerRequest::Strikes(vec![strike])).await;
    }

    /// Sends a message to all peers and waits until each has answered or missed the deadline.
    /// Returns the number of answers and the number of peers.
    pub(crate) async fn broadcast(&self, message: &PeerRequest) -> (usize, usize) {
        let peers = self.members.peer_addresses();
        let calls = peers.iter().map(|(_, address)| self.peers.call(*address, message));
        let answers = futures::future::join_all(calls).await;
        (answers.iter().filter(|it| it.is_ok()).count(), peers.len())
    }

    pub(crate) fn lock_quarantine(&self) -> MutexGuard<'_, QuarantineTable> {
        self.quarantine.lock().unwrap_or_else(|it| it.into_inner())
    }

    /// Locks the isolation reservations that this daemon makes for suspect requests.
    pub(crate) fn lock_isolation(&self) -> MutexGuard<'_, IsolationTable> {
        self.isolation.lock().unwrap_or_else(|it| it.into_inner())
    }

    fn lock_blocked_keys(&self) -> MutexGuard<'_, IndexSet<KeyDigest>> {
        self.blocked_keys.lock().unwrap_or_else(|it| it.into_inner())
    }

    fn lock_pools(&self) -> MutexGuard<'_, IndexMap<PoolId, Arc<Scheduler>>> {
        self.pools.lock().unwrap_or_else(|it| it.into_inner())
    }

    fn placement_costs(&self) -> PlacementCosts {
        let traffic = &self.settings.traffic;
        PlacementCosts {
            piece_tokens: traffic.piece_tokens,
            prefill_s: traffic.prefill_us / 1e6,
            slot_s: traffic.slot_ms.duration().as_secs_f64(),
        }
    }
}

//! The state that all requests and tasks of one daemon share.
//!
//! Lock order, where two locks are held at once: view, members, fleet, speed, quotas,
//! retry_budgets. The rollouts, the settings, the suspects and the unanswered requests are never locked
//! together with another one. No lock
//! is held across an await.

use std::fmt;
use std::net::IpAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use ids::PoolId;
use indexmap::IndexMap;
use policy::buffer_budget::BufferBudget;
use policy::crash_suspects::SuspectTable;
use policy::customer_quota::{QuotaAllowance, QuotaTable};
use policy::engine_choice::PrefillSpeed;
use policy::request_limit::RequestLimitTable;
use policy::retry::RetryBudget;
use policy::unanswered::UnansweredTable;
use ports::{Clock, SystemClock};
use tokio::sync::{Notify, watch};

use crate::buffer_share::SharedBudget;
use crate::cluster_view::{ClusterView, TargetListing, UnseenVersion, ViewChange};
use crate::cold_replicas;
use crate::config::{ControlState, SiteConfig, TargetEntry};
use crate::connections::ConnectionTable;
use crate::crash_reports;
use crate::dialect::Dialect;
use crate::directory::{Directory, MemberEntry, Snapshot};
use crate::fleet::FleetTable;
use crate::gossip::GossipRelay;
use crate::listing_change::{self, ListingUpdate};
use crate::members::MemberTable;
use crate::metrics::{GaugeSample, Metrics};
use crate::peer_message::ListingChange;
use crate::peer_socket::PeerSocket;
use crate::relay::RelayState;
use crate::replica::ReplicaTimeouts;
use crate::rollout_table::RolloutTable;
use crate::settings::{GatewayBounds, GatewaySettings};

/// Share of the configured retry ratio that a daemon uses, so that the sum over all daemons stays
/// within the ratio.
const RETRY_RATIO_SHARE: f64 = 0.8;
/// Share of the configured retry slack that all daemons together use.
const RETRY_SLACK_SHARE: f64 = 0.6;

/// Share of the contact time (`GatewayBounds::contact`) for which a daemon that has just started
/// still places requests on older weights, as it does not know when newer ones were published.
const STARTUP_SHARE: f64 = 0.7;

/// Retries of a daemon that does not know yet how many daemons share the slack.
const INITIAL_RETRIES: f64 = 1.0;
/// Share of the bound for new weights after which requests are no longer sent to older ones; the
/// rest is for requests that wait on their replica before they start.
const OLD_WEIGHTS_AGE_SHARE: f64 = 0.7;

/// The tables, sockets and adapters of one daemon.
pub struct Gateway<D, S> {
    pub(crate) dialect: D,
    pub(crate) directory: S,
    pub(crate) clock: SystemClock,
    /// This daemon's own entry, as its peers see it.
    pub(crate) own: MemberEntry,
    /// When this daemon started, on its clock.
    pub(crate) started_at: Duration,
    pub(crate) connections: ConnectionTable<SystemClock>,
    pub(crate) peer_socket: PeerSocket,
    pub(crate) gossip_relay: GossipRelay,
    pub(crate) metrics: Metrics,
    /// Wakes tasks that act on the configuration or the listing of replicas.
    pub(crate) view_changed: Notify,
    /// Wakes requests that wait for capacity on a replica.
    pub(crate) capacity_freed: Notify,
    pub(crate) view: Mutex<ClusterView>,
    pub(crate) members: Mutex<MemberTable>,
    pub(crate) fleet: Mutex<FleetTable>,
    pub(crate) quotas: Mutex<QuotaTable>,
    pub(crate) request_limits: Mutex<RequestLimitTable>,
    pub(crate) suspects: Mutex<SuspectTable>,
    pub(crate) unanswered: Mutex<UnansweredTable>,
    pub(crate) rollouts: Mutex<RolloutTable>,
    pub(crate) speed: Mutex<PrefillSpeed>,
    pub(crate) relay: RelayState,
    settings: Mutex<Arc<GatewaySettings>>,
    retry_budgets: Mutex<IndexMap<PoolId, RetryBudget>>,
    pub(crate) in_flight: AtomicUsize,
    /// The memory of message bodies that are read.
    pub(crate) buffers: SharedBudget,
    /// The memory of whole answers that their callers have not read yet.
    pub(crate) waiting_answers: SharedBudget,
    /// Callers' connections that are open.
    pub(crate) open_connections: Arc<AtomicUsize>,
    leaving: AtomicBool,
    closed: AtomicBool,
    drain_ended: watch::Sender<bool>,
}

/// Where a daemon got shared state from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StateSource {
    Store,
    /// The daemon at this address.
    Peer(IpAddr),
}

impl fmt::Display for StateSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StateSource::Store => f.write_str("store"),
            StateSource::Peer(address) => write!(f, "peer {address}"),
        }
    }
}

impl<D: Dialect, S: Directory> Gateway<D, S> {
    /// A daemon without any knowledge of configuration, replicas or peers, with the incarnation of
    /// its socket.
    pub fn new(
        settings: GatewaySettings,
        dialect: D,
        directory: S,
        peer_socket: PeerSocket,
        metrics: Metrics,
    ) -> Gateway<D, S> {
        let own = MemberEntry {
            id: settings.instance.clone(),
            incarnation: peer_socket.incarnation(),
            address: settings.peer_address,
            domain: settings.domain.clone(),
            capacity: settings.capacity,
        };
        let clock = SystemClock;
        let allowance = quota_allowance(&settings);
        Gateway {
            dialect,
            directory,
            clock,
            connections: ConnectionTable::new(clock),
            peer_socket,
            gossip_relay: GossipRelay::default(),
            metrics,
            view_changed: Notify::new(),
            capacity_freed: Notify::new(),
            view: Mutex::default(),
            members: Mutex::new(MemberTable::new(own.clone(), settings.seeds.clone())),
            fleet: Mutex::new(FleetTable::new(
                settings.domain.clone(),
                replica_timeouts(&settings.bounds),
            )),
            quotas: Mutex::new(QuotaTable::new(allowance)),
            request_limits: Mutex::default(),
            suspects: Mutex::default(),
            unanswered: Mutex::default(),
            rollouts: Mutex::default(),
            speed: Mutex::default(),
            relay: RelayState::default(),
            retry_budgets: Mutex::default(),
            in_flight: AtomicUsize::new(0),
            buffers: Arc::new(Mutex::new(BufferBudget::new(settings.memory_bytes))),
            waiting_answers: Arc::new(Mutex::new(BufferBudget::new(settings.memory_bytes))),
            open_connections: Arc::default(),
            leaving: AtomicBool::new(false),
            closed: AtomicBool::new(false),
            drain_ended: watch::Sender::new(false),
            own,
            started_at: clock.now(),
            settings: Mutex::new(Arc::new(settings)),
        }
    }

    pub(crate) fn now(&self) -> Duration {
        self.clock.now()
    }

    /// The settings in force.
    pub(crate) fn settings(&self) -> Arc<GatewaySettings> {
        lock(&self.settings).clone()
    }

    /// Applies those settings that may change while the daemon runs; the log field `later` says
    /// whether others differ, which take effect at the next start.
    pub(crate) fn apply_settings(&self, fresh: &GatewaySettings) {
        let current = self.settings();
        let next = current.reloaded(fresh);
        if next == *current {
            return;
        }
        let later = next != *fresh;
        tracing::info!(
            bounds = ?next.bounds, seeds = ?next.seeds, later,
            "daemon: settings reloaded"
        );
        lock(&self.members).set_seeds(next.seeds.clone());
        lock(&self.fleet).set_timeouts(replica_timeouts(&next.bounds));
        lock(&self.quotas).set_allowance(quota_allowance(&next));
        *lock(&self.settings) = Arc::new(next);
    }

    /// How long engines with older weights still get requests after newer weights were published.
    pub(crate) fn max_old_weights_age(&self) -> Duration {
        self.settings().bounds.version.mul_f64(OLD_WEIGHTS_AGE_SHARE)
    }

    /// Whether this daemon's address is a seed, which new daemons contact first.
    pub(crate) fn is_seed(&self) -> bool {
        self.settings().seeds.contains(&self.own.address)
    }

    /// The configuration in force; `None` before one is known.
    pub(crate) fn config(&self) -> Option<Arc<SiteConfig>> {
        lock(&self.view).config().cloned()
    }

    /// Whether this daemon is ready for callers: it knows a configuration and a listing of
    /// replicas, and is not leaving.
    pub(crate) fn is_ready(&self) -> bool {
        let view = lock(&self.view);
        !self.is_leaving() && view.config().is_some() && view.listing().is_some()
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Marks this daemon as leaving, which cannot be undone.
    pub(crate) fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Whether requests are refused, since they may not end before this daemon does.
    pub(crate) fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Relaxed)
    }

    /// Refuses requests from now on, which cannot be undone.
    pub(crate) fn close(&self) {
        self.closed.store(true, Ordering::Relaxed);
    }

    /// Waits for [`Gateway::end_drain`].
    pub(crate) async fn wait_drain_end(&self) {
        let mut drain_ended = self.drain_ended.subscribe();
        // The sender lives as long as this gateway.
        let _ = drain_ended.wait_for(|it| *it).await;
    }

    /// Gives up all requests that have no answer yet, right before the daemon ends.
    pub(crate) fn end_drain(&self) {
        self.drain_ended.send_replace(true);
    }

    /// Whether callers have open connections or requests in flight.
    pub(crate) fn has_callers(&self) -> bool {
        self.in_flight_count() > 0 || self.open_connections.load(Ordering::Relaxed) > 0
    }

    /// The number of requests in flight.
    pub(crate) fn in_flight_count(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// The current values of the gauges, with ages as of now.
    pub(crate) fn sample_gauges(&self) -> GaugeSample {
        let now = self.now();
        let replicas = lock(&self.fleet).count_replicas(now, None);
        let members = lock(&self.members).reachable(now).count() + 1;
        let prefill_speed = lock(&self.speed).tokens_per_s();
        let view = lock(&self.view);
        let age = |at: Duration| now.saturating_sub(at);
        GaugeSample {
            in_flight: self.in_flight_count(),
            config_revision: view.config().map_or(0, |it| it.revision.0),
            config_age: view.config().and(view.control_confirmed_at()).map(age),
            listing_age: view.listing().map(|it| age(it.read_at)),
            members,
            replicas,
            evacuated_domains: view.evacuated().len(),
            is_path_cut: self.relay.is_any_path_cut(),
            prefill_speed,
        }
    }

    /// A time on this daemon's clock at which something was true that a peer reports to be of this
    /// age. `sent_at` is the earliest time at which the message may have been sent; if that is not
    /// known, the message may have waited since the start of this daemon.
    pub(crate) fn evidence_time(&self, sent_at: Option<Duration>, age: Duration) -> Duration {
        sent_at.unwrap_or(self.started_at).saturating_sub(age)
    }

    /// Applies what operators configured, as read at `read_at`, if it is newer. Ages in the state are
    /// as of `stated_at`.
    pub(crate) fn apply_control(
        &self,
        read_at: Duration,
        stated_at: Duration,
        snapshot: Snapshot<ControlState>,
        source: StateSource,
    ) -> ViewChange {
        // A daemon that has just started may use older weights for the time that it needs to learn
        // of newer ones, however long ago those were published.
        let startup_time = self.settings().bounds.contact.mul_f64(STARTUP_SHARE);
        let unseen = UnseenVersion {
            initial_age: self.max_old_weights_age().saturating_sub(startup_time),
            max_gap: self.settings().bounds.config_apply,
        };
        let now = self.now();
        let (confirmed_before, change) = {
            let mut view = lock(&self.view);
            let confirmed_before = view.control_confirmed_at();
            let change = view.apply_control(stated_at, read_at, unseen, snapshot);
            if change.evacuated {
                self.use_evacuations(&view, read_at, source);
            }
            if change.rollouts {
                let mut rollouts = lock(&self.rollouts);
                rollouts.renumber(now, &view.take_renumbered());
                for (it, _) in view.rollouts(now) {
                    rollouts.begin(&it.pool, it.revision, &it.to);
                }
            }
            if let Some(config) = view.config().filter(|_| change.config) {
                lock(&self.fleet).set_cold_rules(now, config.cold_rules());
            }
            (confirmed_before, change)
        };
        if change.any() {
            let config = self.config().map_or(0, |it| it.revision.0);
            let age_ms = |at: Duration| now.saturating_sub(at).as_millis() as u64;
            tracing::info!(
                config,
                %source,
                age_ms = age_ms(read_at),
                previous_age_ms = confirmed_before.map(age_ms),
                weights = change.weights,
                "control: newer operator state applied"
            );
            self.view_changed.notify_waiters();
        }
        if change.evacuated {
            self.warn_unknown_domains();
            self.capacity_freed.notify_waiters();
        }
        if change.config {
            self.warn_unknown_regions();
        }
        change
    }

    /// Applies a listing of replicas that was read at `read_at`, if it is newer. Returns what peers
    /// are to be told of it.
    pub(crate) fn apply_listing(
        &self,
        read_at: Duration,
        mut snapshot: Snapshot<Vec<TargetEntry>>,
        source: StateSource,
    ) -> ListingUpdate {
        let cold_rows = cold_replicas::take_rows(&mut snapshot.value);
        let update = self.update_listing(read_at, snapshot, source);
        lock(&self.fleet).record_cold_rows(self.now(), read_at, &cold_rows);
        update
    }

    fn update_listing(
        &self,
        read_at: Duration,
        snapshot: Snapshot<Vec<TargetEntry>>,
        source: StateSource,
    ) -> ListingUpdate {
        let mut view = lock(&self.view);
        let before = view.listing().cloned();
        let change = view.apply_listing(read_at, snapshot.revision, snapshot.value);
        let Some(after) = view.listing().filter(|_| change.listing).cloned() else {
            return ListingUpdate::Unchanged;
        };
        self.use_listing(view, &after, source);
        let age = self.now().saturating_sub(read_at);
        before.map_or(ListingUpdate::Whole, |it| listing_change::compare(&it, &after, age))
    }

    /// Applies a change of the listing that a peer reports, if it fits the known listing.
    pub(crate) fn apply_listing_change(
        &self,
        read_at: Duration,
        change: &ListingChange,
        source: StateSource,
    ) -> bool {
        let mut view = lock(&self.view);
        let known = view.listing().filter(|it| it.revision <= change.revision);
        let Some(entries) = known.and_then(|it| listing_change::apply(it, change)) else {
            return false;
        };
        if !view.apply_listing(read_at, change.revision, entries).listing {
            return false;
        }
        let Some(after) = view.listing().cloned() else { return false };
        self.use_listing(view, &after, source);
        true
    }

    /// Updates the replicas to a new listing. Takes the lock of the view, so that a later listing
    /// cannot be overtaken.
    fn use_listing(
        &self,
        view: MutexGuard<'_, ClusterView>,
        listing: &TargetListing,
        source: StateSource,
    ) {
        let count = listing.entries.len();
        let leaving = listing.entries.iter().filter(|it| it.leaving).count();
        lock(&self.fleet).apply_listing(self.now(), &listing.entries);
        tracing::info!(
            revision = listing.revision.0,
            count,
            leaving,
            %source,
            "targets: newer listing applied"
        );
        drop(view);
        self.warn_unknown_domains();
        crash_reports::record_replaced(self);
        self.view_changed.notify_waiters();
        self.capacity_freed.notify_waiters();
    }

    /// Adds the share of a retry that a request to a pool earns to the pool's budget.
    pub(crate) fn earn_retry(&self, pool: &PoolId) {
        self.with_retry_budget(pool, RetryBudget::earn);
    }

    /// Takes one retry from the pool's budget; false if it is exhausted.
    pub(crate) fn spend_retry(&self, pool: &PoolId) -> bool {
        self.with_retry_budget(pool, RetryBudget::spend)
    }

    /// Changes a pool's retry budget, after adapting its share and reserve to the current number of
    /// daemons.
    fn with_retry_budget<T>(&self, pool: &PoolId, change: impl Fn(&mut RetryBudget) -> T) -> T {
        let settings = self.settings();
        let bounds = &settings.bounds;
        let (daemons, known) = {
            let members = lock(&self.members);
            (members.fleet_size() as f64, members.knows_fleet_size(self.now()))
        };
        let share = bounds.retry_ratio * RETRY_RATIO_SHARE;
        let reserve = (bounds.retry_slack * RETRY_SLACK_SHARE / daemons).max(1.0);
        let mut retry_budgets = lock(&self.retry_budgets);
        let budget = retry_budgets.entry(pool.clone()).or_insert_with(|| {
            RetryBudget::new(share, if known { reserve } else { INITIAL_RETRIES })
        });
        budget.resize(share, reserve);
        change(budget)
    }
}

fn replica_timeouts(bounds: &GatewayBounds) -> ReplicaTimeouts {
    ReplicaTimeouts { load: bounds.version, drain: bounds.drain }
}

fn quota_allowance(settings: &GatewaySettings) -> QuotaAllowance {
    QuotaAllowance {
        window: settings.bounds.quota_window,
        overage: settings.bounds.quota_overage,
        slack: settings.bounds.quota_slack,
    }
}

/// Locks a table, also after a panic of a thread that held the lock.
pub(crate) fn lock<T>(table: &Mutex<T>) -> MutexGuard<'_, T> {
    table.lock().unwrap_or_else(|it| it.into_inner())
}

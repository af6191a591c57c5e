//! Brings the engines to the newest weights: one daemon at a time, under a lease in the store.
//!
//! A holder sends orders only while its lease is proven; another daemon takes over when it has
//! lapsed. Orders of different holders to one replica keep their distance: until that time has
//! passed since it took over, a holder orders only replicas that the one before surely has not
//! ordered, by when peers told of their last order and by the number of orders they accepted.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::{Request, StatusCode};
use ids::TargetId;
use indexmap::IndexMap;
use policy::health::HealthState;
use policy::weight_rollout::{self, LaggingTarget};
use ports::{CommitResult, StoreError};
use web::client::CallError;

use crate::dialect::{Dialect, TargetReport, WeightCommand};
use crate::directory::{CommandLease, Directory};
use crate::gateway::{Gateway, lock};
use crate::gossip;
use crate::peer_message::WeightStatus;
use crate::target_client;

/// Another daemon waits for this part of a lapsed lease more, for clocks that differ in speed.
const LAPSE_MARGIN: u32 = 5;
/// The lease lasts for this part of the distance between holders.
const LEASE_PART: u32 = 3;
/// The time between two looks while weights are to be moved.
const ROUND: Duration = Duration::from_millis(60);
/// The time between two looks while nothing is to do.
const IDLE_ROUND: Duration = Duration::from_secs(1);
/// How long each place in line waits before it offers itself.
const PLACE_WAIT: Duration = Duration::from_millis(400);
/// How long a replica may take to answer an order or a question.
const CALL_TIME: Duration = Duration::from_millis(600);
/// The first pause between two questions whether an order is done.
const REPORT_PAUSE: Duration = Duration::from_millis(150);
/// By how much that pause grows: each question is priced.
const PAUSE_GROWTH: f64 = 1.2;
/// The longest such pause.
const LONGEST_PAUSE: Duration = Duration::from_millis(600);
/// The pause before a replica that did not answer is ordered again.
const AGAIN_PAUSE: Duration = Duration::from_millis(500);

/// The lease as this daemon holds it.
#[derive(Debug, Clone)]
struct HeldLease {
    lease: CommandLease,
    proved_at: Duration,
    /// When orders of earlier holders are far enough back.
    settled_at: Duration,
}

/// What this daemon does about a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OrderState {
    /// Orders it, until then at most.
    UnderWay(Duration),
    /// Must not order it before then.
    Deferred(Duration),
}

/// Replicas that this daemon orders or must not order yet.
#[derive(Debug, Default)]
struct OrderTable {
    states: IndexMap<TargetId, OrderState>,
    /// Replicas that it has ordered, and under which fencing token last.
    ordered: IndexMap<TargetId, u64>,
}

type OrderBook = Mutex<OrderTable>;

/// A replica whose weights are older than the newest, with the order it needs.
#[derive(Debug, Clone)]
struct NeededOrder {
    target: TargetId,
    model: Box<str>,
    version: u64,
    view: LaggingTarget,
}

/// A pool some of whose engines lag behind.
#[derive(Debug)]
struct LaggingPool {
    needed: Vec<NeededOrder>,
    /// Engines on the newest weights.
    ready: usize,
    /// Engines that lag get no requests any more.
    overdue: bool,
}

/// Moves weights while this daemon holds the lease.
pub(crate) async fn drive<D: Dialect, S: Directory>(gateway: Arc<Gateway<D, S>>) {
    let mut held: Option<HeldLease> = None;
    let mut needed_since: Option<Duration> = None;
    let book = Arc::new(OrderBook::default());
    loop {
        // Made before the look, so that nothing learned after it is missed.
        let view_changed = gateway.view_changed.notified();
        forget_unlisted(&gateway, &book);
        let needed = needed_orders(&gateway, &book);
        if needed.is_empty() || gateway.is_leaving() {
            needed_since = None;
            let _ = tokio::time::timeout(IDLE_ROUND, view_changed).await;
            continue;
        }
        let now = gateway.now();
        let since = *needed_since.get_or_insert(now);
        // The last holder knows its lease and comes first.
        let place = if held.is_some() { 0 } else { lock(&gateway.members).rank(now) as u32 };
        if now < since + PLACE_WAIT * place {
            tokio::time::sleep(ROUND).await;
            continue;
        }
        if held.as_ref().is_none_or(|it| is_due(&gateway, it)) {
            held = match take_lease(&gateway, held.take()).await {
                Ok(it) => it,
                Err(error) => {
                    tracing::warn!("weights: the lease is not renewed: {error}");
                    None
                }
            };
            if held.is_none() {
                tokio::time::sleep(AGAIN_PAUSE).await;
                continue;
            }
        }
        if let Some(held) = &held {
            for pool in &needed {
                send_orders(&gateway, &book, held, pool);
            }
        }
        tokio::time::sleep(ROUND).await;
    }
}

/// Forgets replicas that are not listed any more.
fn forget_unlisted<D: Dialect, S: Directory>(gateway: &Gateway<D, S>, book: &OrderBook) {
    let fleet = lock(&gateway.fleet);
    let mut book = lock(book);
    book.states.retain(|id, _| fleet.get(id).is_some());
    book.ordered.retain(|id, _| fleet.get(id).is_some());
}

fn lease_time<D: Dialect, S: Directory>(gateway: &Gateway<D, S>) -> Duration {
    gateway.settings().bounds.lease / LEASE_PART
}

/// Whether the lease surely holds now.
fn is_proven<D: Dialect, S: Directory>(gateway: &Gateway<D, S>, held: &HeldLease) -> bool {
    gateway.now() < held.proved_at + lease_time(gateway)
}

/// Whether the lease is to be renewed: half of its time has passed.
fn is_due<D: Dialect, S: Directory>(gateway: &Gateway<D, S>, held: &HeldLease) -> bool {
    gateway.now() >= held.proved_at + lease_time(gateway) / 2
}

/// Renews the lease or takes a lapsed one; `None` if another daemon holds it.
async fn take_lease<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    held: Option<HeldLease>,
) -> Result<Option<HeldLease>, StoreError> {
    let asked_at = gateway.now();
    let read = gateway.directory.read_lease().await;
    let took = gateway.now().saturating_sub(asked_at);
    gateway.metrics.record_store_call("lease", took, read.is_err());
    let snapshot = read?;
    let lapse = lease_time(gateway) + lease_time(gateway) / LAPSE_MARGIN;
    let (token, expected) = match &snapshot.value {
        None => (1, None),
        Some((lease, revision)) if lease.holder == gateway.own => {
            (lease.fencing_token, Some(*revision))
        }
        Some((lease, revision)) if snapshot.store_time >= lease.renewed_at + lapse => {
            (lease.fencing_token + 1, Some(*revision))
        }
        Some((lease, _)) => {
            if held.is_some() {
                tracing::info!(holder = %lease.holder.id, "weights: the lease is lost");
            }
            return Ok(None);
        }
    };
    let lease = CommandLease {
        holder: gateway.own.clone(),
        fencing_token: token,
        renewed_at: snapshot.store_time,
    };
    let asked_at = gateway.now();
    let written = gateway.directory.write_lease(&lease, expected).await;
    let took = gateway.now().saturating_sub(asked_at);
    gateway.metrics.record_store_call("lease-write", took, written.is_err());
    match written? {
        CommitResult::Done(_) => {
            if held.is_none() {
                tracing::info!(token, "weights: the lease is held");
            }
            // A lease that was lost for a while may have been in other hands.
            let settled_at =
                held.map_or(gateway.now() + gateway.settings().bounds.lease, |it| it.settled_at);
            Ok(Some(HeldLease { lease, proved_at: asked_at, settled_at }))
        }
        CommitResult::Conflict => Ok(None),
    }
}

/// Replicas that are to load newer weights, by pool.
fn needed_orders<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    book: &OrderBook,
) -> Vec<LaggingPool> {
    let now = gateway.now();
    let due = gateway.oldest_weights_age();
    let book = lock(book).states.clone();
    let view = lock(&gateway.view);
    let Some(config) = view.config() else { return Vec::new() };
    let fleet = lock(&gateway.fleet);
    let mut pools = Vec::new();
    for (pool, engine) in config.engine_pools() {
        for model in &engine.models {
            let Some((version, named_at)) = view.newest_weights_of(model) else { continue };
            let mut needed = Vec::new();
            let mut ready = 0;
            for replica in fleet.replicas().filter(|it| it.entry.pool == *pool && !it.leaving) {
                if replica.weights >= version {
                    ready += 1;
                    continue;
                }
                let loading = replica.is_loading(now);
                let state = book.get(&replica.entry.id);
                let under_way = matches!(state, Some(OrderState::UnderWay(it)) if now < *it);
                needed.push(NeededOrder {
                    target: replica.entry.id.clone(),
                    model: model.clone(),
                    version,
                    view: LaggingTarget {
                        weights: replica.weights,
                        running: fleet.load(now, replica).running,
                        loading: under_way || loading,
                        command_active: under_way
                            || (loading && replica.was_commanded_recently(now)),
                        deferred: matches!(state, Some(OrderState::Deferred(it)) if now < *it),
                        reachable: replica.health.state(now) != HealthState::Paused,
                    },
                });
            }
            if !needed.is_empty() {
                let overdue = now >= named_at + due;
                pools.push(LaggingPool { needed, ready, overdue });
            }
        }
    }
    pools
}

fn send_orders<D: Dialect, S: Directory>(
    gateway: &Arc<Gateway<D, S>>,
    book: &Arc<OrderBook>,
    held: &HeldLease,
    pool: &LaggingPool,
) {
    let views: Vec<LaggingTarget> = pool.needed.iter().map(|it| it.view).collect();
    let chosen = weight_rollout::choose_targets(&views, pool.ready, pool.overdue);
    for index in chosen {
        let order = pool.needed[index].clone();
        let until = gateway.now() + gateway.settings().bounds.version;
        lock(book).states.insert(order.target.clone(), OrderState::UnderWay(until));
        let (gateway, book, held) = (gateway.clone(), book.clone(), held.clone());
        tokio::spawn(async move {
            let deferred = match carry_out(&gateway, &book, &held, &order).await {
                OrderEnd::Loaded => gateway.now(),
                OrderEnd::Unknown => gateway.now() + AGAIN_PAUSE,
                OrderEnd::TooEarly => held.settled_at,
            };
            lock(&book).states.insert(order.target, OrderState::Deferred(deferred));
            gateway.view_changed.notify_waiters();
        });
    }
}

/// Tells peers that an order goes out: they keep requests away from the replica, and the next
/// holder its distance.
fn mark_sent<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    order: &NeededOrder,
    accepted: u64,
) {
    spread(gateway, &order.target, |news| {
        news.ordered = order.version;
        news.accepted = accepted;
    });
}

/// Tells peers what changed about one replica.
fn spread<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    target: &TargetId,
    change: impl Fn(&mut WeightStatus),
) {
    let news = lock(&gateway.fleet).get(target).map(|it| it.weight_status());
    if let Some(mut news) = news {
        change(&mut news);
        gossip::spread_weights(gateway, &[news], None);
    }
}

/// How an order ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OrderEnd {
    /// The replica has the weights.
    Loaded,
    /// Whether it has them is not known.
    Unknown,
    /// It may have been ordered by the holder before, too short a time ago.
    TooEarly,
}

/// Orders one replica to load and waits until it has.
async fn carry_out<D: Dialect, S: Directory>(
    gateway: &Arc<Gateway<D, S>>,
    book: &OrderBook,
    held: &HeldLease,
    order: &NeededOrder,
) -> OrderEnd {
    let began = gateway.now();
    // Its longest stream may delay the load for most of that time.
    let until = began + gateway.settings().bounds.version;
    let mut sent = false;
    let mut pause = REPORT_PAUSE;
    while gateway.now() < until {
        let Some(report) = report_request(gateway, &order.target).await else {
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
            continue;
        };
        let loaded = report.weights.iter().find(|it| it.0 == order.model).map_or(0, |it| it.1);
        if loaded >= order.version {
            if sent {
                gateway.metrics.record_order(gateway.now().saturating_sub(began));
            }
            confirm(gateway, order, loaded);
            return OrderEnd::Loaded;
        }
        let token = held.lease.fencing_token;
        let own = lock(book).ordered.get(&order.target) == Some(&token);
        if !sent && !own && !is_settled(gateway, held, &order.target, report.accepted) {
            return OrderEnd::TooEarly;
        }
        if !report.busy && !sent {
            if !is_proven(gateway, held) {
                return OrderEnd::Unknown;
            }
            lock(book).ordered.insert(order.target.clone(), token);
            sent = send_order(gateway, held, order, report.accepted).await;
        }
        tokio::time::sleep(pause).await;
        pause = pause.mul_f64(PAUSE_GROWTH).min(LONGEST_PAUSE);
    }
    OrderEnd::Unknown
}

/// Whether no earlier holder has ordered a replica within the distance between holders.
fn is_settled<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    held: &HeldLease,
    target: &TargetId,
    accepted: u64,
) -> bool {
    let now = gateway.now();
    if now >= held.settled_at {
        return true;
    }
    let fleet = lock(&gateway.fleet);
    let Some(replica) = fleet.get(target) else { return false };
    let distance = gateway.settings().bounds.lease;
    let last = replica.last_command_at;
    replica.accepted_commands == accepted && last.is_none_or(|at| now >= at + distance)
}

/// Sends an order; false if the replica is not known to have accepted it.
async fn send_order<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    held: &HeldLease,
    order: &NeededOrder,
    accepted_before: u64,
) -> bool {
    let message = WeightCommand {
        target: order.target.clone(),
        model: order.model.clone(),
        version: order.version,
        holder: held.lease.holder.id.as_str().into(),
        fencing_token: held.lease.fencing_token,
        accepted_before,
    };
    mark_sent(gateway, order, accepted_before + 1);
    let answer = call(gateway, &order.target, gateway.dialect.command_request(&message)).await;
    let (target, version) = (&order.target, order.version);
    let token = held.lease.fencing_token;
    match answer {
        Ok((status, _)) if status.is_success() => {
            let status = status.as_u16();
            tracing::info!(%target, version, status, token, accepted_before, "weights: ordered");
            true
        }
        Ok((status, _)) => {
            tracing::warn!(%target, version, %status, token, "weights: order refused");
            false
        }
        Err(CallError::NotSent(error)) => {
            tracing::warn!(%target, version, token, "weights: order not sent: {error}");
            false
        }
        Err(error) => {
            // It may be carried out yet. The next one names the same number of accepted orders, so
            // that the replica carries out one of the two.
            tracing::warn!(%target, version, token, "weights: no answer to an order: {error}");
            false
        }
    }
}

fn confirm<D: Dialect, S: Directory>(gateway: &Gateway<D, S>, order: &NeededOrder, loaded: u64) {
    tracing::info!(target = %order.target, version = loaded, "weights: loaded");
    spread(gateway, &order.target, |news| news.loaded = loaded);
}

async fn report_request<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    target: &TargetId,
) -> Option<TargetReport> {
    let request = gateway.dialect.report_request();
    let incarnation = lock(&gateway.fleet).get(target)?.entry.incarnation;
    let (status, body) = call(gateway, target, request).await.ok()?;
    let report = status.is_success().then(|| gateway.dialect.parse_report(&body))??;
    // A report of another start says nothing of this one.
    report.incarnation.is_none_or(|it| it == incarnation).then_some(report)
}

async fn call<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    target: &TargetId,
    request: Request<bytes::Bytes>,
) -> Result<(StatusCode, bytes::Bytes), CallError> {
    let address = lock(&gateway.fleet).get(target).map(|it| it.entry.address);
    let address = address.ok_or(CallError::NotSent("the replica is not listed".into()))?;
    target_client::send_request(gateway, address, target.as_str(), request, CALL_TIME).await
}

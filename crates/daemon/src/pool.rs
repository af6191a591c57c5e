//! One pool at run time: its replicas, the queue before them, beliefs and the running trial.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use catalog::{CatalogState, Pool, PoolKind, Target, VersionMove};
use ids::{CustomerId, ErrorKind, Incarnation, MoveId, PoolId, Refusal, TargetId, VersionNumber};
use indexmap::IndexMap;
use policy::chain::ChainHash;
use policy::fair_queue::FairQueue;
use policy::health::{HealthState, ReplicaHealth};
use policy::placement::{Choice, PlacementCosts, PlacementTable, ReplicaView};
use policy::rendezvous;
use policy::retry::RetryBudget;
use policy::version_trial::{TrialFault, TrialSample, VersionTrial};
use ports::Clock;
use targets::AnswerLabels;
use tokio::sync::oneshot;

/// Share of traffic that a version on trial gets.
const TRIAL_SHARE: f64 = 0.05;
/// Load beyond its slots that a replica is given, so that its queue does not run dry.
const SLOT_SLACK: f64 = 1.25;

/// What placement needs to know of a request.
#[derive(Debug, Clone)]
pub(crate) struct PlaceRequest {
    pub(crate) customer: Option<CustomerId>,
    pub(crate) weight: u32,
    pub(crate) deferrable: bool,
    /// Tokens it will cost, for fairness.
    pub(crate) cost: f64,
    /// Prompt tokens.
    pub(crate) tokens: u64,
    /// The chain of the prompt under the version given.
    pub(crate) chains: IndexMap<VersionNumber, Vec<ChainHash>>,
    /// No other request of this daemon runs beside it.
    pub(crate) apart: bool,
    /// It runs on this version or not at all.
    pub(crate) only_version: Option<VersionNumber>,
    /// It runs on this replica or not at all: its turn apart was given there.
    pub(crate) only_target: Option<TargetId>,
    /// Replicas it failed on before.
    pub(crate) avoid: Vec<TargetId>,
}

/// A replica chosen for one attempt.
#[derive(Debug, Clone)]
pub(crate) struct Placed {
    pub(crate) target: TargetId,
    pub(crate) address: SocketAddr,
    pub(crate) incarnation: Option<Incarnation>,
    pub(crate) echoes: bool,
    pub(crate) version: VersionNumber,
    pub(crate) was_home: bool,
}

#[derive(Debug)]
struct Replica {
    target: Target,
    member: u64,
    health: ReplicaHealth,
    version: Option<VersionNumber>,
    outstanding: u32,
    reported: u32,
    reported_at: Duration,
    apart: bool,
    /// It said itself that it leaves.
    leaving: bool,
    /// The platform's list says that it leaves.
    listed_leaving: bool,
}

#[derive(Debug)]
struct Waiting<C: Clock> {
    request: PlaceRequest,
    answer: oneshot::Sender<PlacedSlot<C>>,
}

#[derive(Debug)]
struct PoolState<C: Clock> {
    pool: Pool,
    open_move: Option<VersionMove>,
    replicas: IndexMap<TargetId, Replica>,
    queue: FairQueue<Option<CustomerId>, Waiting<C>>,
    placement: PlacementTable,
    budget: RetryBudget,
    trial: VersionTrial,
    /// The move whose new version gets nothing more, by own evidence or a peer's.
    condemned: Option<MoveId>,
}

/// One pool, shared by all requests.
#[derive(Debug)]
pub(crate) struct PoolDesk<C: Clock> {
    pub(crate) id: PoolId,
    clock: C,
    queue_limit: usize,
    state: Mutex<PoolState<C>>,
}

/// A slot on a replica, freed when dropped.
#[derive(Debug)]
pub(crate) struct PlacedSlot<C: Clock> {
    pub(crate) placed: Placed,
    desk: Arc<PoolDesk<C>>,
    apart: bool,
}

impl<C: Clock> Drop for PlacedSlot<C> {
    fn drop(&mut self) {
        self.desk.release(&self.placed.target, self.apart);
        self.desk.pump();
    }
}

/// One line of a pool's state for operators.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
pub struct ReplicaStatus {
    /// The replica.
    pub target: Box<str>,
    /// Its pool.
    pub pool: Box<str>,
    /// Where it listens.
    pub address: Box<str>,
    /// `good`, `paused`, `crash_loop` or `leaving`.
    pub health: Box<str>,
    /// Its life, if known.
    pub incarnation: Option<u64>,
    /// The version it runs, if known.
    pub version: Option<u64>,
    /// This daemon's requests on it.
    pub outstanding: u32,
    /// Requests it reported last.
    pub reported: u32,
}

impl<C: Clock> PoolDesk<C> {
    pub(crate) fn new(
        pool: Pool,
        costs: PlacementCosts,
        queue_limit: usize,
        clock: C,
    ) -> PoolDesk<C> {
        let state = PoolState {
            pool: pool.clone(),
            open_move: None,
            replicas: IndexMap::new(),
            queue: FairQueue::default(),
            placement: PlacementTable::new(costs),
            budget: RetryBudget::default(),
            trial: VersionTrial::default(),
            condemned: None,
        };
        PoolDesk { id: pool.id, clock, queue_limit, state: Mutex::new(state) }
    }

    /// Takes over what a newer catalog says.
    pub(crate) fn update(&self, pool: &Pool, catalog: &CatalogState) {
        let mut state = self.lock();
        state.pool = pool.clone();
        let open_move = catalog.open_move(&pool.id).cloned();
        if open_move.as_ref().map(|it| &it.id) != state.open_move.as_ref().map(|it| &it.id) {
            state.trial = VersionTrial::default();
        }
        state.open_move = open_move;
        let wanted: IndexMap<&TargetId, &Target> =
            catalog.pool_targets(&pool.id).map(|it| (&it.id, it)).collect();
        state
            .replicas
            .retain(|id, it| wanted.get(id).is_some_and(|new| new.address == it.target.address));
        for (id, target) in wanted {
            match state.replicas.get_mut(id) {
                Some(it) => it.target = target.clone(),
                None => {
                    state.replicas.insert(id.clone(), Replica::new(target.clone()));
                }
            }
        }
    }

    /// Waits for a slot on the replica that suits the request best.
    pub(crate) async fn place(
        self: &Arc<Self>,
        request: PlaceRequest,
        wait: Duration,
    ) -> Result<PlacedSlot<C>, Refusal> {
        let receiver = {
            let mut state = self.lock();
            if state.replicas.values().all(Replica::leaves) {
                return Err(Refusal::not_run(ErrorKind::NoTarget).retry_after(1));
            }
            if state.queue.len() >= self.queue_limit {
                return Err(Refusal::not_run(ErrorKind::QueueFull).retry_after(1));
            }
            let (sender, receiver) = oneshot::channel();
            let id = request.customer.clone();
            let (weight, deferrable, cost) = (request.weight, request.deferrable, request.cost);
            let waiting = Waiting { request, answer: sender };
            state.queue.push(id, weight, deferrable, cost, waiting);
            receiver
        };
        self.pump();
        match tokio::time::timeout(wait, receiver).await {
            Ok(Ok(slot)) => Ok(slot),
            _ => {
                let alive = self.lock().any_good(self.clock.now());
                let kind = if alive { ErrorKind::QueueFull } else { ErrorKind::NoTarget };
                Err(Refusal::not_run(kind).retry_after(1))
            }
        }
    }

    /// Gives waiting requests the room there is.
    pub(crate) fn pump(self: &Arc<Self>) {
        let now = self.clock.now();
        loop {
            let next = self.lock().next(now);
            let Some((waiting, placed)) = next else { return };
            let apart = waiting.request.apart;
            let slot = PlacedSlot { placed, desk: self.clone(), apart };
            // A receiver that gave up drops the slot, which frees it and pumps again.
            let _ = waiting.answer.send(slot);
        }
    }

    /// Earns retry budget for a first attempt.
    pub(crate) fn earn_retry(&self) {
        self.lock().budget.earn();
    }

    /// Takes one retry of the budget.
    pub(crate) fn spend_retry(&self) -> bool {
        self.lock().budget.spend()
    }

    /// A replica answered.
    pub(crate) fn learn(
        &self,
        placed: &Placed,
        labels: AnswerLabels,
        request: &PlaceRequest,
        first_token: Option<Duration>,
    ) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.see(now, &placed.target, labels.incarnation, labels.version);
        let piece_tokens = state.placement.piece_tokens();
        let slots = state.pool.concurrency;
        let Some(replica) = state.replicas.get_mut(&placed.target) else { return };
        replica.reported = labels.running.unwrap_or(replica.reported);
        replica.reported_at = now;
        replica.leaving = labels.leaving;
        let computed = request.tokens.saturating_sub(labels.cached_tokens.unwrap_or(0)).max(1_000);
        let speed = first_token.map(|it| it.as_secs_f64() * 1_000.0 / computed as f64);
        replica.health.succeed(speed);
        let view = replica.view(slots);
        let version = labels.version.unwrap_or(placed.version);
        if let (Some(chain), Some(cached)) = (request.chains.get(&version), labels.cached_tokens) {
            let nodes = (cached / piece_tokens.max(1)) as usize;
            state.placement.learn(now, chain, nodes, &view, placed.was_home);
        }
    }

    /// A replica failed an attempt. `hard`: it is surely down.
    pub(crate) fn fail(&self, target: &TargetId, hard: bool) {
        let now = self.clock.now();
        let mut state = self.lock();
        if let Some(replica) = state.replicas.get_mut(target) {
            replica.health.fail(now, hard);
        }
    }

    /// What a failed answer told about its replica.
    pub(crate) fn see_labels(&self, target: &TargetId, labels: AnswerLabels) {
        let now = self.clock.now();
        self.lock().see(now, target, labels.incarnation, labels.version);
    }

    /// What a look at a replica found.
    pub(crate) fn look(&self, target: &TargetId, status: targets::EngineStatus) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.see(now, target, Some(status.incarnation), Some(status.version));
        if let Some(replica) = state.replicas.get_mut(target) {
            replica.reported = status.running;
            replica.leaving = status.leaving;
            replica.reported_at = now;
        }
    }

    /// Tells how many daemons place requests.
    pub(crate) fn set_daemons(&self, count: usize) {
        self.lock().placement.set_daemons(count);
    }

    /// Takes over which targets the platform's list says are leaving.
    pub(crate) fn mark_leaving(&self, leaving: &[&str]) {
        let mut state = self.lock();
        for replica in state.replicas.values_mut() {
            replica.listed_leaving = leaving.contains(&replica.target.id.as_str());
        }
    }

    /// The life in which a replica was last seen.
    pub(crate) fn life(&self, target: &TargetId) -> Option<Incarnation> {
        self.lock().replicas.get(target).and_then(|it| it.health.life())
    }

    /// The versions that requests may run on now.
    pub(crate) fn versions(&self) -> Vec<VersionNumber> {
        let state = self.lock();
        let mut versions = vec![state.pool.version];
        if let Some(it) = &state.open_move {
            versions.extend([it.from, it.to]);
        }
        versions.extend(state.replicas.values().filter_map(|it| it.version));
        versions.sort();
        versions.dedup();
        versions
    }

    /// One request's evidence about the running move. Returns the move and its fault when the
    /// fault is first found.
    pub(crate) fn try_version(
        &self,
        route: &str,
        version: VersionNumber,
        failed: bool,
        latency: Option<Duration>,
    ) -> Option<(VersionMove, TrialFault)> {
        let mut state = self.lock();
        let open_move = state.open_move.clone()?;
        if version != open_move.from && version != open_move.to {
            return None;
        }
        let sample = TrialSample {
            new: version == open_move.to,
            failed,
            latency_s: latency.map(|it| it.as_secs_f64()),
        };
        let fault = state.trial.see(route, sample)?;
        let first = state.condemned.as_ref() != Some(&open_move.id);
        state.condemned = Some(open_move.id.clone());
        first.then_some((open_move, fault))
    }

    /// Gives the new version of a move nothing more.
    pub(crate) fn condemn(&self, id: MoveId) {
        self.lock().condemned = Some(id);
    }

    /// Requests this daemon saw on the new version of the running move.
    pub(crate) fn trial_requests(&self) -> u64 {
        self.lock().trial.new_count()
    }

    /// Engines to look at, with their addresses.
    pub(crate) fn targets(&self) -> Vec<(TargetId, SocketAddr)> {
        let state = self.lock();
        let replicas = state.replicas.values();
        replicas.map(|it| (it.target.id.clone(), it.target.address)).collect()
    }

    /// Whether the pool's replicas are engines.
    pub(crate) fn is_engine(&self) -> bool {
        self.lock().pool.kind == PoolKind::Engine
    }

    /// The hottest prefixes.
    pub(crate) fn hottest(&self, count: usize) -> Vec<(ChainHash, f64)> {
        let now = self.clock.now();
        self.lock().placement.hottest(now, count)
    }

    /// Takes a peer's hottest prefixes.
    pub(crate) fn adopt(&self, hottest: &[(ChainHash, f64)]) {
        let now = self.clock.now();
        self.lock().placement.adopt(now, hottest);
    }

    /// Replicas that may get a struck request now, by the hashes of their ids.
    pub(crate) fn workable(&self) -> Vec<u64> {
        self.lock().workable(self.clock.now())
    }

    /// The replica with this hash.
    pub(crate) fn target_of(&self, member: u64) -> Option<TargetId> {
        let state = self.lock();
        let found = state.replicas.values().find(|it| it.member == member);
        found.map(|it| it.target.id.clone())
    }

    /// Every replica, for operators.
    pub(crate) fn status(&self) -> Vec<ReplicaStatus> {
        let now = self.clock.now();
        let state = self.lock();
        state.replicas.values().map(|it| it.status(now)).collect()
    }

    fn release(&self, target: &TargetId, apart: bool) {
        let mut state = self.lock();
        if let Some(replica) = state.replicas.get_mut(target) {
            replica.outstanding = replica.outstanding.saturating_sub(1);
            replica.apart &= !apart;
        }
    }

    fn lock(&self) -> MutexGuard<'_, PoolState<C>> {
        self.state.lock().unwrap_or_else(|it| it.into_inner())
    }
}

impl Replica {
    fn new(target: Target) -> Replica {
        let member = rendezvous::member_hash(target.id.as_str());
        Replica {
            target,
            member,
            health: ReplicaHealth::default(),
            version: None,
            outstanding: 0,
            reported: 0,
            reported_at: Duration::ZERO,
            apart: false,
            leaving: false,
            listed_leaving: false,
        }
    }

    fn leaves(&self) -> bool {
        self.leaving || self.listed_leaving || self.target.leaving
    }

    fn view(&self, slots: u32) -> ReplicaView {
        ReplicaView {
            member: self.member,
            incarnation: self.health.life().unwrap_or_default(),
            slots,
            outstanding: self.outstanding,
            reported: self.reported,
            reported_at: self.reported_at,
        }
    }

    fn may_work(&self, now: Duration) -> bool {
        !self.leaves() && !self.apart && self.health.state(now) == HealthState::Good
    }

    fn has_room(&self, now: Duration, slots: u32) -> bool {
        self.may_work(now) && self.view(slots).load(now) < f64::from(slots) * SLOT_SLACK
    }

    fn status(&self, now: Duration) -> ReplicaStatus {
        let health = match self.health.state(now) {
            _ if self.leaves() => "leaving",
            HealthState::Good => "good",
            HealthState::Paused => "paused",
            HealthState::CrashLoop => "crash_loop",
        };
        ReplicaStatus {
            target: self.target.id.as_str().into(),
            pool: self.target.pool.as_str().into(),
            address: self.target.address.to_string().into(),
            health: health.into(),
            incarnation: self.health.life().map(|it| it.0),
            version: self.version.map(|it| it.0),
            outstanding: self.outstanding,
            reported: self.reported,
        }
    }
}

impl<C: Clock> PoolState<C> {
    fn any_good(&self, now: Duration) -> bool {
        self.replicas.values().any(|it| it.may_work(now))
    }

    fn has_room(&self, now: Duration) -> bool {
        self.replicas.values().any(|it| it.has_room(now, self.pool.concurrency))
    }

    /// A replica was seen in a life and at a version; an earlier life's cache is gone.
    fn see(
        &mut self,
        now: Duration,
        target: &TargetId,
        life: Option<Incarnation>,
        version: Option<VersionNumber>,
    ) {
        let Some(replica) = self.replicas.get_mut(target) else { return };
        replica.version = version.or(replica.version);
        if let Some(life) = life.filter(|it| replica.health.see_life(now, *it)) {
            self.placement.forget_before(replica.member, life);
        }
    }

    /// The next request in turn that some replica can take.
    fn next(&mut self, now: Duration) -> Option<(Waiting<C>, Placed)> {
        let mut aside = Vec::new();
        let mut found = None;
        while found.is_none() && self.has_room(now) {
            let Some((id, waiting)) = self.queue.pop() else { break };
            if waiting.answer.is_closed() {
                continue;
            }
            match self.choose(now, &waiting.request) {
                Some(placed) => {
                    self.occupy(&placed.target, waiting.request.apart);
                    found = Some((waiting, placed));
                }
                // What it waits for is not there yet; others may go ahead.
                None => aside.push((id, waiting)),
            }
        }
        for (id, waiting) in aside {
            let (weight, deferrable) = (waiting.request.weight, waiting.request.deferrable);
            self.queue.push(id, weight, deferrable, 0.0, waiting);
        }
        found
    }

    /// Replicas that may get a struck request now.
    fn workable(&self, now: Duration) -> Vec<u64> {
        let replicas = self.replicas.values();
        replicas.filter(|it| it.may_work(now)).map(|it| it.member).collect()
    }

    fn occupy(&mut self, target: &TargetId, apart: bool) {
        if let Some(replica) = self.replicas.get_mut(target) {
            replica.outstanding += 1;
            replica.apart |= apart;
        }
    }

    fn choose(&mut self, now: Duration, request: &PlaceRequest) -> Option<Placed> {
        let slots = self.pool.concurrency;
        let version = request.only_version.unwrap_or_else(|| self.draw_version());
        let avoided = |it: &Replica| request.avoid.contains(&it.target.id);
        let mut open: Vec<usize> = (0..self.replicas.len())
            .filter(|index| self.replicas[*index].has_room(now, slots))
            .filter(|index| {
                let only = request.only_target.as_ref();
                only.is_none_or(|it| *it == self.replicas[*index].target.id)
            })
            .collect();
        if open.iter().any(|index| !avoided(&self.replicas[*index])) {
            open.retain(|index| !avoided(&self.replicas[*index]));
        }
        let runs = |index: &usize| self.replicas[*index].version.is_none_or(|it| it == version);
        if open.iter().any(runs) || request.only_version.is_some() {
            open.retain(runs);
        } else if let Some(bad) = self.condemned_version() {
            // Nothing runs on a version whose fault shows, not even when the rest is busy.
            open.retain(|index| self.replicas[*index].version != Some(bad));
        }
        let views: Vec<ReplicaView> =
            open.iter().map(|index| self.replicas[*index].view(slots)).collect();
        let empty = Vec::new();
        let chain = request.chains.get(&version).unwrap_or(&empty);
        let spread = rand::random();
        let Choice { index, .. } =
            self.placement.choose(now, chain, request.tokens, &views, spread)?;
        let was_home = self.placement.is_home(now, chain, &views, index);
        let replica = &self.replicas[open[index]];
        Some(Placed {
            target: replica.target.id.clone(),
            address: replica.target.address,
            incarnation: replica.health.life(),
            echoes: replica.target.echoes_request_id,
            version: replica.version.unwrap_or(version),
            was_home,
        })
    }

    /// The new version of the running move, if its fault shows or it is being taken back.
    fn condemned_version(&self) -> Option<VersionNumber> {
        let it = self.open_move.as_ref()?;
        let back = it.stage == catalog::MoveStage::TakingBack;
        (back || self.condemned.as_ref() == Some(&it.id)).then_some(it.to)
    }

    /// The version a request is to run on: a small share goes to a version on trial.
    fn draw_version(&self) -> VersionNumber {
        let Some(it) = &self.open_move else { return self.pool.version };
        let on_new =
            self.replicas.values().filter(|replica| replica.version == Some(it.to)).count() as f64;
        let all = self.replicas.len().max(1) as f64;
        let share = match it.stage {
            _ if self.condemned_version().is_some() => 0.0,
            catalog::MoveStage::Trial => TRIAL_SHARE.min(on_new),
            catalog::MoveStage::Rollout => on_new / all,
            catalog::MoveStage::Done => 1.0,
            catalog::MoveStage::TakingBack | catalog::MoveStage::TakenBack => 0.0,
        };
        if rand::random::<f64>() < share { it.to } else { it.from }
    }
}

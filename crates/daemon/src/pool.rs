//! One pool at run time: its replicas, the queue before them, beliefs and the running trial.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use catalog::{CatalogState, Pool, PoolKind, Target, VersionMove};
use ids::{CustomerId, ErrorKind, Incarnation, MoveId, PoolId, Refusal, TargetId, VersionNumber};
use indexmap::IndexMap;
use policy::chain::ChainHash;
use policy::fair_queue::FairQueue;
use policy::placement::{Choice, PlacementCosts, PlacementTable, ReplicaView};
use policy::retry::RetryBudget;
use policy::version_trial::{TrialFault, TrialSample, VersionTrial};
use ports::Clock;
use targets::AnswerLabels;
use tokio::sync::oneshot;

use crate::placement_query::{PlacedTarget, PlacementQuery};
use crate::replica::{Replica, ReplicaStatus};
use crate::slot::Placement;

/// Answers between two looks at the replicas' speeds.
const ANSWERS_PER_SPEED_UPDATE: u64 = 32;
/// Share of requests that may go to a slow replica, to see whether it is still slow.
const SLOW_PROBE_SHARE: f64 = 0.05;
/// Share of traffic that a version on trial gets.
const TRIAL_SHARE: f64 = 0.05;

/// A request that waits for room.
#[derive(Debug)]
struct WaitingRequest<C: Clock> {
    request: PlacementQuery,
    answer: oneshot::Sender<Placement<C>>,
}

#[derive(Debug)]
struct PoolState<C: Clock> {
    pool: Pool,
    open_move: Option<VersionMove>,
    replicas: IndexMap<TargetId, Replica>,
    queue: FairQueue<Option<CustomerId>, WaitingRequest<C>>,
    placement: PlacementTable,
    retry_budget: RetryBudget,
    trial: VersionTrial,
    /// The middle of the replicas' first-token times, for a thousand computed tokens.
    median_first_token_s: f64,
    answers: u64,
    /// The move whose new version gets nothing more, by own evidence or a peer's.
    rejected_move: Option<MoveId>,
}

/// One pool, shared by all requests.
#[derive(Debug)]
pub(crate) struct PoolScheduler<C: Clock> {
    pub(crate) id: PoolId,
    clock: C,
    queue_limit: usize,
    state: Mutex<PoolState<C>>,
}

impl<C: Clock> PoolScheduler<C> {
    pub(crate) fn new(
        pool: Pool,
        costs: PlacementCosts,
        queue_limit: usize,
        clock: C,
    ) -> PoolScheduler<C> {
        let state = PoolState {
            pool: pool.clone(),
            open_move: None,
            replicas: IndexMap::new(),
            queue: FairQueue::default(),
            placement: PlacementTable::new(costs),
            retry_budget: RetryBudget::default(),
            trial: VersionTrial::default(),
            median_first_token_s: 0.0,
            answers: 0,
            rejected_move: None,
        };
        PoolScheduler { id: pool.id, clock, queue_limit, state: Mutex::new(state) }
    }

    /// Takes over what a newer catalog says.
    pub(crate) fn apply_catalog(&self, pool: &Pool, catalog: &CatalogState) {
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
        request: PlacementQuery,
        wait: Duration,
    ) -> Result<Placement<C>, Refusal> {
        let receiver = {
            let mut state = self.lock();
            if state.replicas.values().all(Replica::is_leaving) {
                return Err(Refusal::not_run(ErrorKind::NoTarget).retry_after(1));
            }
            if state.queue.len() >= self.queue_limit {
                return Err(Refusal::not_run(ErrorKind::QueueFull).retry_after(1));
            }
            let (sender, receiver) = oneshot::channel();
            let id = request.customer.clone();
            let (weight, deferrable, cost) = (request.weight, request.deferrable, request.cost);
            let waiting = WaitingRequest { request, answer: sender };
            state.queue.push(id, weight, deferrable, cost, waiting);
            receiver
        };
        self.dispatch_waiting();
        match tokio::time::timeout(wait, receiver).await {
            Ok(Ok(slot)) => Ok(slot),
            _ => {
                let alive = self.lock().has_active_replica(self.clock.now());
                let kind = if alive { ErrorKind::QueueFull } else { ErrorKind::NoTarget };
                Err(Refusal::not_run(kind).retry_after(1))
            }
        }
    }

    /// Gives waiting requests the room there is.
    pub(crate) fn dispatch_waiting(self: &Arc<Self>) {
        let now = self.clock.now();
        loop {
            let next = self.lock().next_placement(now);
            let Some((waiting, placed)) = next else { return };
            let isolated = waiting.request.isolated;
            let slot = Placement::new(placed, self.clone(), isolated);
            // A receiver that gave up drops the slot, which frees it and pumps again.
            let _ = waiting.answer.send(slot);
        }
    }

    /// Earns retry budget for a first attempt.
    pub(crate) fn earn_retry(&self) {
        self.lock().retry_budget.earn();
    }

    /// Takes one retry of the budget.
    pub(crate) fn spend_retry(&self) -> bool {
        self.lock().retry_budget.spend()
    }

    /// A replica answered.
    pub(crate) fn record_success(
        &self,
        placed: &PlacedTarget,
        labels: AnswerLabels,
        request: &PlacementQuery,
        first_token: Option<Duration>,
    ) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.observe_replica(now, &placed.id, labels.incarnation, labels.version);
        let piece_tokens = state.placement.piece_tokens();
        let slots = state.pool.concurrency;
        let Some(replica) = state.replicas.get_mut(&placed.id) else { return };
        replica.reported = labels.running.unwrap_or(replica.reported);
        replica.reported_at = now;
        replica.leaving = labels.leaving;
        let computed = request.tokens.saturating_sub(labels.cached_tokens.unwrap_or(0)).max(1_000);
        let speed = first_token.map(|it| it.as_secs_f64() * 1_000.0 / computed as f64);
        replica.health.record_success(speed);
        let view = replica.view(slots);
        state.update_median_speed();
        let version = labels.version.unwrap_or(placed.version);
        if let (Some(chain), Some(cached)) = (request.chains.get(&version), labels.cached_tokens) {
            let nodes = (cached / piece_tokens.max(1)) as usize;
            state.placement.record_answer(now, chain, nodes, &view, placed.was_home);
        }
    }

    /// A replica failed an attempt. `hard`: it is surely down.
    pub(crate) fn record_failure(&self, target: &TargetId, hard: bool) {
        let now = self.clock.now();
        let mut state = self.lock();
        if let Some(replica) = state.replicas.get_mut(target) {
            replica.health.record_failure(now, hard);
        }
    }

    /// What a failed answer told about its replica.
    pub(crate) fn record_labels(&self, target: &TargetId, labels: AnswerLabels) {
        let now = self.clock.now();
        self.lock().observe_replica(now, target, labels.incarnation, labels.version);
    }

    /// What a look at a replica found.
    pub(crate) fn record_status(&self, target: &TargetId, status: targets::EngineStatus) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.observe_replica(now, target, Some(status.incarnation), Some(status.version));
        if let Some(replica) = state.replicas.get_mut(target) {
            replica.reported = status.running;
            replica.leaving = status.leaving;
            replica.reported_at = now;
        }
    }

    /// Tells how many daemons place requests.
    pub(crate) fn set_daemon_count(&self, count: usize) {
        self.lock().placement.set_daemon_count(count);
    }

    /// Takes over which targets the platform's list says are leaving.
    pub(crate) fn mark_leaving(&self, leaving: &[&str]) {
        let mut state = self.lock();
        for replica in state.replicas.values_mut() {
            replica.listed_leaving = leaving.contains(&replica.target.id.as_str());
        }
    }

    /// The incarnation in which a replica was last seen.
    pub(crate) fn incarnation(&self, target: &TargetId) -> Option<Incarnation> {
        self.lock().replicas.get(target).and_then(|it| it.health.incarnation())
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
    pub(crate) fn record_version_sample(
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
            on_new_version: version == open_move.to,
            failed,
            latency_s: latency.map(|it| it.as_secs_f64()),
        };
        let fault = state.trial.record(route, sample)?;
        let first = state.rejected_move.as_ref() != Some(&open_move.id);
        state.rejected_move = Some(open_move.id.clone());
        first.then_some((open_move, fault))
    }

    /// Gives the new version of a move nothing more.
    pub(crate) fn reject_move(&self, id: MoveId) {
        self.lock().rejected_move = Some(id);
    }

    /// Requests this daemon saw on the new version of the running move.
    pub(crate) fn trial_requests(&self) -> u64 {
        self.lock().trial.new_version_requests()
    }

    /// Engines to look at, with their addresses.
    pub(crate) fn target_addresses(&self) -> Vec<(TargetId, SocketAddr)> {
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
    pub(crate) fn merge_hottest(&self, hottest: &[(ChainHash, f64)]) {
        let now = self.clock.now();
        self.lock().placement.merge_hottest(now, hottest);
    }

    /// Replicas that may get a struck request now, by the hashes of their ids.
    pub(crate) fn available_members(&self) -> Vec<u64> {
        self.lock().available_members(self.clock.now())
    }

    /// The replica with this hash.
    pub(crate) fn find_target(&self, member: u64) -> Option<TargetId> {
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

    /// Frees a slot.
    pub(crate) fn release_slot(&self, target: &TargetId, isolated: bool) {
        let mut state = self.lock();
        if let Some(replica) = state.replicas.get_mut(target) {
            replica.outstanding = replica.outstanding.saturating_sub(1);
            replica.isolated &= !isolated;
        }
    }

    fn lock(&self) -> MutexGuard<'_, PoolState<C>> {
        self.state.lock().unwrap_or_else(|it| it.into_inner())
    }
}

impl<C: Clock> PoolState<C> {
    /// Every few answers, the middle of the replicas' speeds.
    fn update_median_speed(&mut self) {
        self.answers += 1;
        if !self.answers.is_multiple_of(ANSWERS_PER_SPEED_UPDATE) {
            return;
        }
        let mut speeds: Vec<f64> =
            self.replicas.values().filter_map(|it| it.health.first_token_s()).collect();
        speeds.sort_by(f64::total_cmp);
        self.median_first_token_s = speeds.get(speeds.len() / 2).copied().unwrap_or(0.0);
    }

    /// Leaves out replicas that are slow against the middle, but for a few probes.
    fn exclude_slow(&self, open: &mut Vec<usize>) {
        let slow = |index: &usize| {
            self.median_first_token_s > 0.0
                && self.replicas[*index].health.is_slow(self.median_first_token_s)
        };
        let probe = rand::random::<f64>() < SLOW_PROBE_SHARE;
        if !probe && open.iter().any(|it| !slow(it)) {
            open.retain(|it| !slow(it));
        }
    }

    fn has_active_replica(&self, now: Duration) -> bool {
        self.replicas.values().any(|it| it.accepts_requests(now))
    }

    fn has_room(&self, now: Duration) -> bool {
        self.replicas.values().any(|it| it.has_room(now, self.pool.concurrency))
    }

    /// A replica was seen in an incarnation and at a version; an earlier incarnation's cache is gone.
    fn observe_replica(
        &mut self,
        now: Duration,
        target: &TargetId,
        incarnation: Option<Incarnation>,
        version: Option<VersionNumber>,
    ) {
        let Some(replica) = self.replicas.get_mut(target) else { return };
        replica.version = version.or(replica.version);
        if let Some(incarnation) =
            incarnation.filter(|it| replica.health.observe_incarnation(now, *it))
        {
            self.placement.drop_older_incarnations(replica.member, incarnation);
        }
    }

    /// The next request in turn that some replica can take.
    fn next_placement(&mut self, now: Duration) -> Option<(WaitingRequest<C>, PlacedTarget)> {
        let mut aside = Vec::new();
        let mut found = None;
        while found.is_none() && self.has_room(now) {
            let Some((id, waiting)) = self.queue.pop() else { break };
            if waiting.answer.is_closed() {
                continue;
            }
            match self.choose(now, &waiting.request) {
                Some(placed) => {
                    self.occupy_slot(&placed.id, waiting.request.isolated);
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
    fn available_members(&self, now: Duration) -> Vec<u64> {
        let replicas = self.replicas.values();
        replicas.filter(|it| it.accepts_requests(now)).map(|it| it.member).collect()
    }

    fn occupy_slot(&mut self, target: &TargetId, isolated: bool) {
        if let Some(replica) = self.replicas.get_mut(target) {
            replica.outstanding += 1;
            replica.isolated |= isolated;
        }
    }

    fn choose(&mut self, now: Duration, request: &PlacementQuery) -> Option<PlacedTarget> {
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
        self.exclude_slow(&mut open);
        let runs = |index: &usize| self.replicas[*index].version.is_none_or(|it| it == version);
        if open.iter().any(runs) || request.only_version.is_some() {
            open.retain(runs);
        } else if let Some(bad) = self.rejected_version() {
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
        Some(PlacedTarget {
            id: replica.target.id.clone(),
            address: replica.target.address,
            incarnation: replica.health.incarnation(),
            echoes_request_id: replica.target.echoes_request_id,
            version: replica.version.unwrap_or(version),
            was_home,
        })
    }

    /// The new version of the running move, if its fault shows or it is being taken back.
    fn rejected_version(&self) -> Option<VersionNumber> {
        let it = self.open_move.as_ref()?;
        let back = it.stage == catalog::MoveStage::TakingBack;
        (back || self.rejected_move.as_ref() == Some(&it.id)).then_some(it.to)
    }

    /// The version a request is to run on: a small share goes to a version on trial.
    fn draw_version(&self) -> VersionNumber {
        let Some(it) = &self.open_move else { return self.pool.version };
        let on_new =
            self.replicas.values().filter(|replica| replica.version == Some(it.to)).count() as f64;
        let all = self.replicas.len().max(1) as f64;
        let share = match it.stage {
            _ if self.rejected_version().is_some() => 0.0,
            catalog::MoveStage::Trial => TRIAL_SHARE.min(on_new),
            catalog::MoveStage::Rollout => on_new / all,
            catalog::MoveStage::Done => 1.0,
            catalog::MoveStage::TakingBack | catalog::MoveStage::TakenBack => 0.0,
        };
        if rand::random::<f64>() < share { it.to } else { it.from }
    }
}

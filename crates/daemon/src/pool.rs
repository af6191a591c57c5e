//! The scheduler of one pool: keeps the replicas' state, the fair queue of waiting requests, the
//! placement table (which estimates what each replica has cached) and a trial's samples.

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
use targets::AnswerHead;
use tokio::sync::oneshot;

use crate::place::{PlacedTarget, PlacementQuery};
use crate::replica::{Replica, ReplicaStatus};
use crate::slot::Placement;

/// Number of successful answers after which the median first-token time is computed anew.
const ANSWERS_PER_SPEED_UPDATE: u64 = 32;
/// Fraction of requests for which slow replicas stay eligible, to measure whether they still are.
const SLOW_PROBE_SHARE: f64 = 0.05;
/// Fraction of requests that run on a version on trial.
const TRIAL_SHARE: f64 = 0.05;

/// A queued request and the channel on which it receives its slot.
#[derive(Debug)]
struct WaitingRequest<C: Clock> {
    request: PlacementQuery,
    sender: oneshot::Sender<Placement<C>>,
}

/// The state behind the scheduler's lock.
#[derive(Debug)]
struct PoolState<C: Clock> {
    pool: Pool,
    open_move: Option<VersionMove>,
    replicas: IndexMap<TargetId, Replica>,
    queue: FairQueue<Option<CustomerId>, WaitingRequest<C>>,
    placement: PlacementTable,
    retry_budget: RetryBudget,
    trial: VersionTrial,
    /// Median of the replicas' first-token times, in seconds per 1000 computed tokens; 0 at first.
    median_speed_s: f64,
    /// Number of successful answers since the daemon started.
    answers: u64,
    /// The move whose new version gets no more requests: this daemon or a peer found it faulty.
    rejected_move: Option<MoveId>,
}

/// Schedules the requests of one pool; shared by all request tasks.
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
            median_speed_s: 0.0,
            answers: 0,
            rejected_move: None,
        };
        PoolScheduler { id: pool.id, clock, queue_limit, state: Mutex::new(state) }
    }

    /// Applies a newer catalog: settings of the pool, its open move and its targets. A replica
    /// whose address changed starts without history, and a new move resets the trial.
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

    /// Queues a request and waits up to `wait` for a slot on the replica that suits it best.
    /// Fails with `NoTarget` if no replica accepts requests and with `QueueFull` otherwise.
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
            let waiting = WaitingRequest { request, sender };
            state.queue.push(id, weight, deferrable, cost, waiting);
            receiver
        };
        self.dispatch_waiting();
        match tokio::time::timeout(wait, receiver).await {
            Ok(Ok(placement)) => Ok(placement),
            _ => {
                let has_active = self.lock().has_active_replica(self.clock.now());
                let kind = if has_active { ErrorKind::QueueFull } else { ErrorKind::NoTarget };
                Err(Refusal::not_run(kind).retry_after(1))
            }
        }
    }

    /// Places waiting requests until the queue is empty or no replica has room.
    pub(crate) fn dispatch_waiting(self: &Arc<Self>) {
        let now = self.clock.now();
        loop {
            let next = self.lock().next_placement(now);
            let Some((waiting, placed)) = next else { return };
            let isolated = waiting.request.isolated;
            let placement = Placement::new(placed, self.clone(), isolated);
            // If the receiver has timed out, this drops the placement, which frees the slot.
            let _ = waiting.sender.send(placement);
        }
    }

    /// Adds to the retry budget; called once for each request.
    pub(crate) fn earn_retry(&self) {
        self.lock().retry_budget.earn();
    }

    /// Takes one retry from the budget; false if none is left.
    pub(crate) fn spend_retry(&self) -> bool {
        self.lock().retry_budget.spend()
    }

    /// Updates load, health, speed and the cached prefix of a replica from a successful answer.
    pub(crate) fn record_success(
        &self,
        placed: &PlacedTarget,
        head: AnswerHead,
        request: &PlacementQuery,
        first_token: Option<Duration>,
    ) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.observe_replica(now, &placed.id, head.incarnation, head.version);
        let piece_tokens = state.placement.piece_tokens();
        let slots = state.pool.concurrency;
        let Some(replica) = state.replicas.get_mut(&placed.id) else { return };
        replica.reported = head.running.unwrap_or(replica.reported);
        replica.reported_at = now;
        replica.leaving = head.leaving;
        let computed = request.tokens.saturating_sub(head.cached_tokens.unwrap_or(0)).max(1_000);
        let speed = first_token.map(|it| it.as_secs_f64() * 1_000.0 / computed as f64);
        replica.health.record_success(speed);
        let view = replica.view(slots);
        state.update_median_speed();
        let version = head.version.unwrap_or(placed.version);
        if let (Some(chain), Some(cached)) = (request.chains.get(&version), head.cached_tokens) {
            let nodes = (cached / piece_tokens.max(1)) as usize;
            state.placement.record_answer(now, chain, nodes, &view, placed.was_home);
        }
    }

    /// Records a failed attempt. `hard`: the replica is certainly down, so it is paused at once.
    pub(crate) fn record_failure(&self, target: &TargetId, hard: bool) {
        let now = self.clock.now();
        let mut state = self.lock();
        if let Some(replica) = state.replicas.get_mut(target) {
            replica.health.record_failure(now, hard);
        }
    }

    /// Records the incarnation and version that a failed answer's headers report.
    pub(crate) fn record_answer_head(&self, target: &TargetId, head: AnswerHead) {
        let now = self.clock.now();
        self.lock().observe_replica(now, target, head.incarnation, head.version);
    }

    /// Records the answer of a replica's status endpoint.
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

    /// Sets the number of live daemons, by which the placement table scales its request rates.
    pub(crate) fn set_daemon_count(&self, count: usize) {
        self.lock().placement.set_daemon_count(count);
    }

    /// Marks the targets that the platform lists as leaving, by their ids, and clears all others.
    pub(crate) fn mark_leaving(&self, leaving: &[&str]) {
        let mut state = self.lock();
        for replica in state.replicas.values_mut() {
            replica.listed_leaving = leaving.contains(&replica.target.id.as_str());
        }
    }

    /// The last incarnation that a replica reported.
    pub(crate) fn incarnation(&self, target: &TargetId) -> Option<Incarnation> {
        self.lock().replicas.get(target).and_then(|it| it.health.incarnation())
    }

    /// The pool's version, both of an open move and those that replicas reported; sorted, unique.
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

    /// Adds one request's result to the trial of the running move. When the trial first finds a
    /// fault, returns it with the move; the new version gets no more requests from then on.
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
        let on_new_version = version == open_move.to;
        let sample = TrialSample { on_new_version, failed, ended_at: self.clock.now(), latency };
        let fault = state.trial.record(route, sample)?;
        let newly_found = state.rejected_move.as_ref() != Some(&open_move.id);
        state.rejected_move = Some(open_move.id.clone());
        newly_found.then_some((open_move, fault))
    }

    /// Stops sending requests to the new version of a move, because a peer found a fault in it.
    pub(crate) fn reject_move(&self, id: MoveId) {
        self.lock().rejected_move = Some(id);
    }

    /// Number of samples that this daemon has of the new version of the running move.
    pub(crate) fn trial_requests(&self) -> u64 {
        self.lock().trial.new_version_requests()
    }

    /// All replicas with their addresses.
    pub(crate) fn target_addresses(&self) -> Vec<(TargetId, SocketAddr)> {
        let state = self.lock();
        let replicas = state.replicas.values();
        replicas.map(|it| (it.target.id.clone(), it.target.address)).collect()
    }

    /// Whether the replicas are engines, which report their status, rather than plain services.
    pub(crate) fn has_engines(&self) -> bool {
        self.lock().pool.kind == PoolKind::Engine
    }

    /// Up to `count` most requested prefixes with their request rates.
    pub(crate) fn hottest(&self, count: usize) -> Vec<(ChainHash, f64)> {
        let now = self.clock.now();
        self.lock().placement.hottest(now, count)
    }

    /// Merges a peer's most requested prefixes into the placement table.
    pub(crate) fn merge_hottest(&self, hottest: &[(ChainHash, f64)]) {
        let now = self.clock.now();
        self.lock().placement.merge_hottest(now, hottest);
    }

    /// Hashes of the ids of the replicas that accept requests; isolated ones do not.
    pub(crate) fn available_members(&self) -> Vec<u64> {
        self.lock().available_members(self.clock.now())
    }

    /// The replica whose id has this hash.
    pub(crate) fn find_target(&self, member: u64) -> Option<TargetId> {
        let state = self.lock();
        let found = state.replicas.values().find(|it| it.member == member);
        found.map(|it| it.target.id.clone())
    }

    /// The state of every replica, for the status page.
    pub(crate) fn status(&self) -> Vec<ReplicaStatus> {
        let now = self.clock.now();
        let state = self.lock();
        state.replicas.values().map(|it| it.status(now)).collect()
    }

    /// Frees a request's slot; ends the replica's isolation if the request was the isolated one.
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
    /// Recomputes the median first-token time every [`ANSWERS_PER_SPEED_UPDATE`] answers.
    fn update_median_speed(&mut self) {
        self.answers += 1;
        if !self.answers.is_multiple_of(ANSWERS_PER_SPEED_UPDATE) {
            return;
        }
        let mut speeds: Vec<f64> =
            self.replicas.values().filter_map(|it| it.health.first_token_s()).collect();
        speeds.sort_by(f64::total_cmp);
        self.median_speed_s = speeds.get(speeds.len() / 2).copied().unwrap_or(0.0);
    }

    /// Removes slow replicas from `eligible`, unless all are slow or this request is a probe.
    fn exclude_slow(&self, eligible: &mut Vec<usize>) {
        let slow = |index: &usize| {
            self.median_speed_s > 0.0 && self.replicas[*index].health.is_slow(self.median_speed_s)
        };
        let probe = rand::random::<f64>() < SLOW_PROBE_SHARE;
        if !probe && eligible.iter().any(|it| !slow(it)) {
            eligible.retain(|it| !slow(it));
        }
    }

    /// Whether any replica accepts requests, with or without room.
    fn has_active_replica(&self, now: Duration) -> bool {
        self.replicas.values().any(|it| it.accepts_requests(now))
    }

    /// Whether any replica has room for one more request.
    fn has_room(&self, now: Duration) -> bool {
        self.replicas.values().any(|it| it.has_room(now, self.pool.concurrency))
    }

    /// Records a replica's incarnation and version; a new incarnation starts with an empty cache.
    fn observe_replica(
        &mut self,
        now: Duration,
        target: &TargetId,
        incarnation: Option<Incarnation>,
        version: Option<VersionNumber>,
    ) {
        let Some(replica) = self.replicas.get_mut(target) else { return };
        replica.version = version.or(replica.version);
        if let Some(new) = incarnation.filter(|it| replica.health.observe_incarnation(now, *it)) {
            self.placement.drop_older_incarnations(replica.member, new);
        }
    }

    /// Takes the next request of the fair queue that some replica can run, and occupies a slot.
    fn next_placement(&mut self, now: Duration) -> Option<(WaitingRequest<C>, PlacedTarget)> {
        let mut skipped = Vec::new();
        let mut found = None;
        while found.is_none() && self.has_room(now) {
            let Some((id, waiting)) = self.queue.pop() else { break };
            if waiting.sender.is_closed() {
                continue;
            }
            match self.choose(now, &waiting.request) {
                Some(placed) => {
                    self.occupy_slot(&placed.id, waiting.request.isolated);
                    found = Some((waiting, placed));
                }
                // No eligible replica has room for this request; others may go ahead.
                None => skipped.push((id, waiting)),
            }
        }
        for (id, waiting) in skipped {
            let (weight, deferrable) = (waiting.request.weight, waiting.request.deferrable);
            self.queue.push(id, weight, deferrable, 0.0, waiting); // The cost is already charged.
        }
        found
    }

    /// Hashes of the ids of the replicas that accept requests; isolated ones do not.
    fn available_members(&self, now: Duration) -> Vec<u64> {
        let replicas = self.replicas.values();
        replicas.filter(|it| it.accepts_requests(now)).map(|it| it.member).collect()
    }

    /// Counts a request in a replica's load, and isolates the replica if the request is isolated.
    fn occupy_slot(&mut self, target: &TargetId, isolated: bool) {
        if let Some(replica) = self.replicas.get_mut(target) {
            replica.outstanding += 1;
            replica.isolated |= isolated;
        }
    }

    /// Chooses a replica for a request: one with room, if possible not one to avoid or a slow one,
    /// and of the drawn version if any such is left. `None` if no eligible replica has room.
    fn choose(&mut self, now: Duration, request: &PlacementQuery) -> Option<PlacedTarget> {
        let slots = self.pool.concurrency;
        let version = request.only_version.unwrap_or_else(|| self.draw_version());
        let avoided = |it: &Replica| request.avoid.contains(&it.target.id);
        let mut eligible: Vec<usize> = (0..self.replicas.len())
            .filter(|index| self.replicas[*index].has_room(now, slots))
            .filter(|index| {
                let only = request.only_target.as_ref();
                only.is_none_or(|it| *it == self.replicas[*index].target.id)
            })
            .collect();
        if eligible.iter().any(|index| !avoided(&self.replicas[*index])) {
            eligible.retain(|index| !avoided(&self.replicas[*index]));
        }
        self.exclude_slow(&mut eligible);
        let runs = |index: &usize| self.replicas[*index].version.is_none_or(|it| it == version);
        if eligible.iter().any(runs) || request.only_version.is_some() {
            eligible.retain(runs);
        } else if let Some(bad) = self.rejected_version() {
            // A version with a known fault gets no requests, even when all other replicas are busy.
            eligible.retain(|index| self.replicas[*index].version != Some(bad));
        }
        let views: Vec<ReplicaView> =
            eligible.iter().map(|index| self.replicas[*index].view(slots)).collect();
        let empty = Vec::new();
        let chain = request.chains.get(&version).unwrap_or(&empty);
        let random = rand::random();
        let Choice { index, .. } =
            self.placement.choose(now, chain, request.tokens, &views, random)?;
        let was_home = self.placement.is_home(now, chain, &views, index);
        let replica = &self.replicas[eligible[index]];
        Some(PlacedTarget {
            id: replica.target.id.clone(),
            address: replica.target.address,
            incarnation: replica.health.incarnation(),
            echoes_request_id: replica.target.echoes_request_id,
            version: replica.version.unwrap_or(version),
            was_home,
        })
    }

    /// The new version of the running move, if a fault was found or the move is rolled back.
    fn rejected_version(&self) -> Option<VersionNumber> {
        let it = self.open_move.as_ref()?;
        let rolling_back = it.stage == catalog::MoveStage::TakingBack;
        (rolling_back || self.rejected_move.as_ref() == Some(&it.id)).then_some(it.to)
    }

    /// Draws the version for a request: the new one for [`TRIAL_SHARE`] of the requests during a
    /// trial if a replica runs it, and in proportion to the replicas that run it during a rollout.
    fn draw_version(&self) -> VersionNumber {
        let Some(it) = &self.open_move else { return self.pool.version };
        let on_new = self.replicas.values().filter(|one| one.version == Some(it.to)).count() as f64;
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

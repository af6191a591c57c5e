//! Carries out version moves. One daemon at a time does so, under a lease; its commands name the
//! version to reach and are confirmed by reading the targets' state.

use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use catalog::{CatalogState, ChangeSet, MoveStage, Operation, Target, VersionMove};
use ids::{Incarnation, InstanceId, MoveId, PoolId};
use indexmap::IndexMap;
use policy::move_plan::{self, MoveStep, MoveView, ReplicaVersion};
use ports::{Clock, StoreError, TableStore, TargetCommands};
use serde::{Deserialize, Serialize};

use crate::lease::{HeldLease, LEASE_DURATION, LeaseClient};

/// The key of the lease's row.
const LEASE_KEY: &str = "lease/moves";
/// The longest time that a command may take to reach its target. No command is sent with less than
/// this left of the lease, and a new holder waits this long before its first command, because some
/// targets ignore fencing numbers.
pub const COMMAND_LIFETIME: Duration = Duration::from_millis(1_500);
/// The load time of a replica that is assumed until a load was measured.
const INITIAL_LOAD_TIME: Duration = Duration::from_secs(2);
/// How long a replica may run another version than its pool before it is commanded back.
const DRIFT_GRACE: Duration = Duration::from_secs(3);

/// What the lease holder stores for its successor: how long each open move has run.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct HandoverNote {
    elapsed_ms: IndexMap<MoveId, u64>,
}

#[derive(Debug, Clone)]
struct MoveProgress {
    started_at: Duration,
    /// Replicas that run the new version.
    moved_count: usize,
    /// When `moved_count` last changed.
    count_changed_at: Duration,
}

#[derive(Debug)]
struct ControllerState {
    fencing: u64,
    progress: IndexMap<MoveId, MoveProgress>,
    /// When each running load was first seen.
    load_starts: IndexMap<ids::TargetId, Duration>,
    /// When each drifted replica was first seen at another version than its pool.
    drift_starts: IndexMap<ids::TargetId, Duration>,
    /// Replicas loading in each pool, as last read, and commanded since.
    loading_counts: IndexMap<PoolId, usize>,
    /// The estimated load time of a replica, a moving average of the loads seen.
    load_time: Duration,
}

/// A change of the catalog that the controller asks its caller to submit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MoveChange {
    /// The operations that set the new stage of the move.
    pub change: ChangeSet,
    /// The change's id. It depends on move and stage only, so that daemons that submit the same
    /// change have it accepted once.
    pub change_id: Box<str>,
}

/// Carries out version moves while this daemon holds the lease.
#[derive(Debug)]
pub struct MoveController<T, C> {
    lease: LeaseClient<T, C>,
    clock: C,
    state: Mutex<ControllerState>,
}

impl<T: TableStore, C: Clock + Clone> MoveController<T, C> {
    /// Creates a controller that does not hold the lease.
    pub fn new(
        store: T,
        clock: C,
        own: InstanceId,
        incarnation: Incarnation,
    ) -> MoveController<T, C> {
        let state = ControllerState {
            fencing: 0,
            progress: IndexMap::new(),
            load_starts: IndexMap::new(),
            drift_starts: IndexMap::new(),
            loading_counts: IndexMap::new(),
            load_time: INITIAL_LOAD_TIME,
        };
        MoveController {
            lease: LeaseClient::new(store, clock.clone(), LEASE_KEY, own, incarnation),
            clock,
            state: Mutex::new(state),
        }
    }

    /// Whether this daemon holds the move lease now.
    pub fn holds_lease(&self) -> bool {
        self.lease.held().is_some()
    }

    /// Runs one round: acquires or renews the lease, reads the replicas of open moves and sends
    /// commands. Returns the changes to submit; none without the lease. `trial_requests_of` gives
    /// the number of requests that this daemon saw on a pool's new version.
    pub async fn run_round<O: TargetCommands>(
        &self,
        catalog: &CatalogState,
        commands: &O,
        trial_requests_of: impl Fn(&PoolId) -> u64,
    ) -> Result<Vec<MoveChange>, StoreError> {
        let note = serde_json::to_string(&self.handover_note()).unwrap_or_default();
        let Some(held) = self.lease.acquire_or_renew(&note).await? else { return Ok(Vec::new()) };
        self.restore_progress(&held);
        if self.clock.now() < held.since + COMMAND_LIFETIME {
            return Ok(Vec::new());
        }
        let mut changes = Vec::new();
        let open_moves = catalog.moves.values().filter(|it| !it.stage.is_finished());
        for it in open_moves.clone() {
            let trial_requests = trial_requests_of(&it.pool);
            changes.extend(self.advance_move(catalog, it, commands, trial_requests).await);
        }
        for pool in catalog.pools.values() {
            if open_moves.clone().all(|it| it.pool != pool.id) {
                self.correct_drift(catalog, &pool.id, commands).await;
            }
        }
        let mut state = self.lock();
        state
            .progress
            .retain(|id, _| catalog.moves.get(id).is_some_and(|it| !it.stage.is_finished()));
        Ok(changes)
    }

    async fn advance_move<O: TargetCommands>(
        &self,
        catalog: &CatalogState,
        version_move: &VersionMove,
        commands: &O,
        trial_requests: u64,
    ) -> Option<MoveChange> {
        let targets: Vec<&Target> =
            catalog.pool_targets(&version_move.pool).filter(|it| !it.leaving).collect();
        let replicas = fetch_replicas(&targets, commands).await;
        let step = self.plan_step(version_move, &targets, &replicas, trial_requests);
        self.lock().record_loading(&version_move.pool, &replicas, step.commands.len());
        for (index, version) in step.commands {
            self.send_command(targets[index], version, commands).await;
        }
        let (stage, reason) = step.stage?;
        tracing::info!(
            "moves: move {} should enter stage {stage:?}, submitting the change",
            version_move.id
        );
        Some(build_stage_change(version_move, stage, reason))
    }

    fn plan_step(
        &self,
        version_move: &VersionMove,
        targets: &[&Target],
        replicas: &[ReplicaVersion],
        trial_requests: u64,
    ) -> MoveStep {
        let now = self.clock.now();
        let mut state = self.lock();
        state.measure_loads(now, targets, replicas);
        let moved_count = replicas.iter().filter(|it| it.version == Some(version_move.to)).count();
        let progress = state.progress.entry(version_move.id.clone()).or_insert(MoveProgress {
            started_at: now,
            moved_count,
            count_changed_at: now,
        });
        if progress.moved_count != moved_count {
            (progress.moved_count, progress.count_changed_at) = (moved_count, now);
        }
        let view = MoveView {
            stage: version_move.stage,
            from: version_move.from,
            to: version_move.to,
            elapsed: now.saturating_sub(progress.started_at),
            deadline: Duration::from_secs(version_move.deadline_s),
            stable_time: now.saturating_sub(progress.count_changed_at),
            replicas,
            trial_requests,
            load_time: state.load_time,
            loading_in_other_pools: state.loading_in_other_pools(&version_move.pool),
        };
        move_plan::plan_move(view)
    }

    /// Commands drifted replicas, which run another version than their pool while no move is open,
    /// to run the pool's version. Replicas drift when a command of an earlier holder arrives late,
    /// or when they were unreachable during a move.
    async fn correct_drift<O: TargetCommands>(
        &self,
        catalog: &CatalogState,
        pool: &PoolId,
        commands: &O,
    ) {
        let Some(pool) = catalog.pools.get(pool) else { return };
        let known =
            catalog.versions.iter().any(|it| it.pool == pool.id && it.number == pool.version);
        if pool.kind != catalog::PoolKind::Engine || !known {
            return;
        }
        let targets: Vec<&Target> = catalog.pool_targets(&pool.id).collect();
        let replicas = fetch_replicas(&targets, commands).await;
        let now = self.clock.now();
        let mut free_slots = {
            let mut state = self.lock();
            state.record_loading(&pool.id, &replicas, 0);
            move_plan::MAX_LOADING_REPLICAS.saturating_sub(state.loading_counts.values().sum())
        };
        for (target, replica) in targets.iter().zip(&replicas) {
            let drifted = replica.version.is_some_and(|it| it != pool.version) && !replica.loading;
            let overdue = self.lock().drift_duration(now, target, drifted) >= DRIFT_GRACE;
            if drifted && overdue && free_slots > 0 {
                free_slots -= 1;
                *self.lock().loading_counts.entry(pool.id.clone()).or_default() += 1;
                self.send_command(target, pool.version, commands).await;
            }
        }
    }

    /// Sends one command if the lease lasts longer than the command may take.
    async fn send_command<O: TargetCommands>(
        &self,
        target: &Target,
        version: ids::VersionNumber,
        commands: &O,
    ) {
        let Some(held) = self.lease.held() else { return };
        if held.until.saturating_sub(self.clock.now()) < COMMAND_LIFETIME {
            return;
        }
        match commands.set_version(target, version, held.fencing).await {
            Ok(()) => {
                tracing::info!("moves: commanded target {} to run version {version}", target.id)
            }
            Err(error) => {
                tracing::info!(
                    "moves: command to target {} not confirmed, will check again: {error}",
                    target.id
                )
            }
        }
    }

    /// Takes over the ages of open moves from the predecessor's note, if this daemon just acquired
    /// the lease.
    fn restore_progress(&self, held: &HeldLease) {
        let now = self.clock.now();
        let mut state = self.lock();
        if state.fencing == held.fencing {
            return;
        }
        state.fencing = held.fencing;
        state.progress.clear();
        let note: HandoverNote = serde_json::from_str(&held.note).unwrap_or_default();
        for (id, elapsed_ms) in note.elapsed_ms {
            // How long ago the note was stored is not known, but at least a whole lease has passed;
            // two are added.
            let elapsed = Duration::from_millis(elapsed_ms) + 2 * LEASE_DURATION;
            let progress = MoveProgress {
                started_at: now.saturating_sub(elapsed),
                moved_count: 0,
                count_changed_at: now,
            };
            state.progress.insert(id, progress);
        }
    }

    fn handover_note(&self) -> HandoverNote {
        let now = self.clock.now();
        let state = self.lock();
        let age = |it: &MoveProgress| now.saturating_sub(it.started_at).as_millis() as u64;
        HandoverNote {
            elapsed_ms: state.progress.iter().map(|(id, it)| (id.clone(), age(it))).collect(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, ControllerState> {
        self.state.lock().unwrap_or_else(|it| it.into_inner())
    }
}

impl ControllerState {
    /// Updates the estimated load time from when replicas are seen to start and finish loads.
    fn measure_loads(&mut self, now: Duration, targets: &[&Target], replicas: &[ReplicaVersion]) {
        for (target, replica) in targets.iter().zip(replicas) {
            if replica.loading {
                self.load_starts.entry(target.id.clone()).or_insert(now);
            } else if let Some(started_at) = self.load_starts.swap_remove(&target.id) {
                let took = now.saturating_sub(started_at);
                self.load_time = (self.load_time + took) / 2;
            }
        }
    }

    fn record_loading(&mut self, pool: &PoolId, replicas: &[ReplicaVersion], commanded: usize) {
        let loading = replicas.iter().filter(|it| it.loading).count();
        self.loading_counts.insert(pool.clone(), loading + commanded);
    }

    fn loading_in_other_pools(&self, pool: &PoolId) -> usize {
        self.loading_counts.iter().filter(|it| it.0 != pool).map(|it| it.1).sum()
    }

    fn drift_duration(&mut self, now: Duration, target: &Target, drifted: bool) -> Duration {
        if !drifted {
            self.drift_starts.swap_remove(&target.id);
            return Duration::ZERO;
        }
        now.saturating_sub(*self.drift_starts.entry(target.id.clone()).or_insert(now))
    }
}

/// Builds the change that sets the stage of a move. Without `reason` the move's earlier reason
/// stays.
pub fn build_stage_change(
    version_move: &VersionMove,
    stage: MoveStage,
    reason: Option<&str>,
) -> MoveChange {
    let next = VersionMove {
        stage,
        reason: reason.map(Into::into).or(version_move.reason.clone()),
        ..version_move.clone()
    };
    let stage_name = serde_json::to_value(stage).unwrap_or_default();
    MoveChange {
        change: ChangeSet { operations: vec![Operation::PutMove(next)] },
        change_id: format!("move-{}-{}", version_move.id, stage_name.as_str().unwrap_or_default())
            .into(),
    }
}

async fn fetch_replicas<O: TargetCommands>(
    targets: &[&Target],
    commands: &O,
) -> Vec<ReplicaVersion> {
    let requests = targets.iter().map(|it| commands.fetch_state(it));
    let states = futures::future::join_all(requests).await;
    states
        .into_iter()
        .map(|it| ReplicaVersion {
            version: it.map(|state| state.version),
            loading: it.is_some_and(|state| state.loading),
        })
        .collect()
}

//! Drives version moves: one daemon at a time, under a lease, by absolute orders that are
//! confirmed by reading the targets back.

use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use catalog::{CatalogState, ChangeSet, MoveStage, Operation, Target, VersionMove};
use ids::{Incarnation, InstanceId, MoveId, PoolId};
use indexmap::IndexMap;
use policy::move_plan::{self, MoveStep, MoveView, ReplicaVersion};
use ports::{Clock, StoreError, TableStore, TargetCommands};
use serde::{Deserialize, Serialize};

use crate::lease::{HeldLease, LEASE_DURATION, LeaseClient};

/// The row of the lease.
const LEASE_KEY: &str = "lease/moves";
/// The longest an order may live on its way. With less than this left of the lease no order is
/// given, and a new holder waits this long: there are targets that ignore fencing numbers.
pub const COMMAND_LIFETIME: Duration = Duration::from_millis(1_500);
/// How long a replica is expected to load before any load was seen.
const FIRST_LOAD_TIME: Duration = Duration::from_secs(2);
/// How long a replica may run another version than its pool before it is ordered back.
const DRIFT_GRACE: Duration = Duration::from_secs(3);

/// What the driver leaves for its successor: how old each open move is.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct DriverNote {
    elapsed_ms: IndexMap<MoveId, u64>,
}

#[derive(Debug, Clone)]
struct MoveClock {
    began: Duration,
    moved: usize,
    moved_at: Duration,
}

#[derive(Debug)]
struct DriverState {
    fencing: u64,
    clocks: IndexMap<MoveId, MoveClock>,
    loads: IndexMap<ids::TargetId, Duration>,
    strays: IndexMap<ids::TargetId, Duration>,
    /// Loads running in each pool, as last seen or ordered.
    loading: IndexMap<PoolId, usize>,
    load_time: Duration,
}

/// A change that the driver wants accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MoveChange {
    /// The change.
    pub change: ChangeSet,
    /// Its id: the same for every daemon that wants the same.
    pub change_id: Box<str>,
}

/// One daemon's part in driving moves.
#[derive(Debug)]
pub struct MoveController<T, C> {
    lease: LeaseClient<T, C>,
    clock: C,
    state: Mutex<DriverState>,
}

impl<T: TableStore, C: Clock + Clone> MoveController<T, C> {
    /// A driver that does not hold the lease yet.
    pub fn new(
        store: T,
        clock: C,
        own: InstanceId,
        incarnation: Incarnation,
    ) -> MoveController<T, C> {
        let state = DriverState {
            fencing: 0,
            clocks: IndexMap::new(),
            loads: IndexMap::new(),
            strays: IndexMap::new(),
            loading: IndexMap::new(),
            load_time: FIRST_LOAD_TIME,
        };
        MoveController {
            lease: LeaseClient::new(store, clock.clone(), LEASE_KEY, own, incarnation),
            clock,
            state: Mutex::new(state),
        }
    }

    /// Whether this daemon drives now.
    pub fn holds_lease(&self) -> bool {
        self.lease.held().is_some()
    }

    /// One round: keeps the lease, looks at the replicas of open moves, gives orders. Returns
    /// the changes to be accepted. `trial` tells how many requests this daemon saw on a pool's
    /// new version.
    pub async fn run_round<O: TargetCommands>(
        &self,
        catalog: &CatalogState,
        orders: &O,
        trial: impl Fn(&PoolId) -> u64,
    ) -> Result<Vec<MoveChange>, StoreError> {
        let note = serde_json::to_string(&self.note()).unwrap_or_default();
        let Some(held) = self.lease.acquire_or_renew(&note).await? else { return Ok(Vec::new()) };
        self.take_over(&held);
        if self.clock.now() < held.since + COMMAND_LIFETIME {
            return Ok(Vec::new());
        }
        let mut changes = Vec::new();
        let open = catalog.moves.values().filter(|it| !it.stage.is_over());
        for it in open.clone() {
            let trial_requests = trial(&it.pool);
            changes.extend(self.step_move(catalog, it, orders, trial_requests).await);
        }
        for pool in catalog.pools.values() {
            if open.clone().all(|it| it.pool != pool.id) {
                self.correct_drift(catalog, &pool.id, orders).await;
            }
        }
        let mut state = self.lock();
        state.clocks.retain(|id, _| catalog.moves.get(id).is_some_and(|it| !it.stage.is_over()));
        Ok(changes)
    }

    async fn step_move<O: TargetCommands>(
        &self,
        catalog: &CatalogState,
        open: &VersionMove,
        orders: &O,
        trial_requests: u64,
    ) -> Option<MoveChange> {
        let targets: Vec<&Target> =
            catalog.pool_targets(&open.pool).filter(|it| !it.leaving).collect();
        let replicas = look_at(&targets, orders).await;
        let step = self.plan(open, &targets, &replicas, trial_requests);
        self.lock().note_loading(&open.pool, &replicas, step.commands.len());
        for (index, version) in step.commands {
            self.order(targets[index], version, orders).await;
        }
        let (stage, reason) = step.stage?;
        tracing::info!("moves: {} goes to {stage:?}", open.id);
        Some(build_stage_change(open, stage, reason))
    }

    fn plan(
        &self,
        open: &VersionMove,
        targets: &[&Target],
        replicas: &[ReplicaVersion],
        trial_requests: u64,
    ) -> MoveStep {
        let now = self.clock.now();
        let mut state = self.lock();
        state.watch_loads(now, targets, replicas);
        let moved = replicas.iter().filter(|it| it.version == Some(open.to)).count();
        let clock = state.clocks.entry(open.id.clone()).or_insert(MoveClock {
            began: now,
            moved,
            moved_at: now,
        });
        if clock.moved != moved {
            (clock.moved, clock.moved_at) = (moved, now);
        }
        let view = MoveView {
            stage: open.stage,
            from: open.from,
            to: open.to,
            elapsed: now.saturating_sub(clock.began),
            deadline: Duration::from_secs(open.deadline_s),
            stable_time: now.saturating_sub(clock.moved_at),
            replicas,
            trial_requests,
            load_time: state.load_time,
            loading_in_other_pools: state.loading_in_other_pools(&open.pool),
        };
        move_plan::plan_move(view)
    }

    /// Commands back replicas that run another version than their pool without a move: a late
    /// order of an earlier holder, or a replica that was away.
    async fn correct_drift<O: TargetCommands>(
        &self,
        catalog: &CatalogState,
        pool: &PoolId,
        orders: &O,
    ) {
        let Some(pool) = catalog.pools.get(pool) else { return };
        let known =
            catalog.versions.iter().any(|it| it.pool == pool.id && it.number == pool.version);
        if pool.kind != catalog::PoolKind::Engine || !known {
            return;
        }
        let targets: Vec<&Target> = catalog.pool_targets(&pool.id).collect();
        let replicas = look_at(&targets, orders).await;
        let now = self.clock.now();
        let mut room = {
            let mut state = self.lock();
            state.note_loading(&pool.id, &replicas, 0);
            move_plan::MAX_LOADING_REPLICAS.saturating_sub(state.loading.values().sum())
        };
        for (target, replica) in targets.iter().zip(&replicas) {
            let strays = replica.version.is_some_and(|it| it != pool.version) && !replica.loading;
            let long = self.lock().stray_for(now, target, strays) >= DRIFT_GRACE;
            if strays && long && room > 0 {
                room -= 1;
                *self.lock().loading.entry(pool.id.clone()).or_default() += 1;
                self.order(target, pool.version, orders).await;
            }
        }
    }

    /// Gives one order, if the lease outlives it.
    async fn order<O: TargetCommands>(
        &self,
        target: &Target,
        version: ids::VersionNumber,
        orders: &O,
    ) {
        let Some(held) = self.lease.held() else { return };
        if held.until.saturating_sub(self.clock.now()) < COMMAND_LIFETIME {
            return;
        }
        match orders.set_version(target, version, held.fencing).await {
            Ok(()) => tracing::info!("moves: {} ordered to version {version}", target.id),
            Err(error) => tracing::info!("moves: {} not ordered: {error}", target.id),
        }
    }

    /// A new holder takes the ages of moves from its predecessor's note.
    fn take_over(&self, held: &HeldLease) {
        let now = self.clock.now();
        let mut state = self.lock();
        if state.fencing == held.fencing {
            return;
        }
        state.fencing = held.fencing;
        state.clocks.clear();
        let note: DriverNote = serde_json::from_str(&held.note).unwrap_or_default();
        for (id, elapsed_ms) in note.elapsed_ms {
            // Nobody knows how long the row stood; at least a whole lease.
            let elapsed = Duration::from_millis(elapsed_ms) + 2 * LEASE_DURATION;
            let clock = MoveClock { began: now.saturating_sub(elapsed), moved: 0, moved_at: now };
            state.clocks.insert(id, clock);
        }
    }

    fn note(&self) -> DriverNote {
        let now = self.clock.now();
        let state = self.lock();
        let age = |it: &MoveClock| now.saturating_sub(it.began).as_millis() as u64;
        DriverNote {
            elapsed_ms: state.clocks.iter().map(|(id, it)| (id.clone(), age(it))).collect(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, DriverState> {
        self.state.lock().unwrap_or_else(|it| it.into_inner())
    }
}

impl DriverState {
    /// Learns how long loads take from when replicas are seen to begin and end them.
    fn watch_loads(&mut self, now: Duration, targets: &[&Target], replicas: &[ReplicaVersion]) {
        for (target, replica) in targets.iter().zip(replicas) {
            if replica.loading {
                self.loads.entry(target.id.clone()).or_insert(now);
            } else if let Some(began) = self.loads.swap_remove(&target.id) {
                let took = now.saturating_sub(began);
                self.load_time = (self.load_time + took) / 2;
            }
        }
    }

    fn note_loading(&mut self, pool: &PoolId, replicas: &[ReplicaVersion], ordered: usize) {
        let loading = replicas.iter().filter(|it| it.loading).count();
        self.loading.insert(pool.clone(), loading + ordered);
    }

    fn loading_in_other_pools(&self, pool: &PoolId) -> usize {
        self.loading.iter().filter(|it| it.0 != pool).map(|it| it.1).sum()
    }

    fn stray_for(&mut self, now: Duration, target: &Target, strays: bool) -> Duration {
        if !strays {
            self.strays.swap_remove(&target.id);
            return Duration::ZERO;
        }
        now.saturating_sub(*self.strays.entry(target.id.clone()).or_insert(now))
    }
}

/// The change that takes a move to a stage.
pub fn build_stage_change(
    open: &VersionMove,
    stage: MoveStage,
    reason: Option<&str>,
) -> MoveChange {
    let next = VersionMove {
        stage,
        reason: reason.map(Into::into).or(open.reason.clone()),
        ..open.clone()
    };
    let name = serde_json::to_value(stage).unwrap_or_default();
    MoveChange {
        change: ChangeSet { operations: vec![Operation::PutMove(next)] },
        change_id: format!("move-{}-{}", open.id, name.as_str().unwrap_or_default()).into(),
    }
}

async fn look_at<O: TargetCommands>(targets: &[&Target], orders: &O) -> Vec<ReplicaVersion> {
    let looks = targets.iter().map(|it| orders.fetch_state(it));
    let states = futures::future::join_all(looks).await;
    states
        .into_iter()
        .map(|it| ReplicaVersion {
            version: it.map(|state| state.version),
            loading: it.is_some_and(|state| state.loading),
        })
        .collect()
}

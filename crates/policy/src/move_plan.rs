//! Plans the next step of a version move.
//!
//! A few replicas load the new version and get a small share of the traffic. If no fault shows, the
//! others follow, a few at a time. The last old replica stays for a while, so that a fault that
//! shows late can still be compared with the old version. The time to roll everything back is kept
//! in reserve: a move that cannot finish by its deadline is rolled back before the deadline.

use std::time::Duration;

use catalog::MoveStage;
use ids::VersionNumber;

/// Most replicas that load at once; more slow each other down.
pub const MAX_LOADING_REPLICAS: usize = 3;
/// Requests that the new version must have served before the trial ends early.
pub const MIN_TRIAL_REQUESTS: u64 = 50;
/// The shortest time that a trial runs, even with enough requests.
pub const MIN_TRIAL_TIME: Duration = Duration::from_secs(5);
/// The longest time that a trial runs, and that the last old replica is kept.
pub const MAX_TRIAL_TIME: Duration = Duration::from_secs(30);
/// Time reserved for a rollback besides the loads themselves.
const ROLLBACK_MARGIN: Duration = Duration::from_secs(5);
/// How many times the expected time a load may take.
const LOAD_TIME_FACTOR: f64 = 2.0;

/// The version of one replica, as the controller last saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplicaVersion {
    /// The version it runs; `None` if it does not answer.
    pub version: Option<VersionNumber>,
    /// Whether a version is loading on it.
    pub loading: bool,
}

/// The state of a move and of its pool's replicas.
#[derive(Debug, Clone, Copy)]
pub struct MoveView<'a> {
    /// The stage recorded in the catalog.
    pub stage: MoveStage,
    /// The old version, to which a rollback returns.
    pub from: VersionNumber,
    /// The new version.
    pub to: VersionNumber,
    /// Time since the move began.
    pub elapsed: Duration,
    /// Time from the beginning of the move to its deadline.
    pub deadline: Duration,
    /// Time since the number of replicas on the new version last changed.
    pub stable_time: Duration,
    /// The replicas of the pool; commands refer to them by index.
    pub replicas: &'a [ReplicaVersion],
    /// Requests that this daemon saw the new version serve.
    pub trial_requests: u64,
    /// Expected time for one replica to load.
    pub load_time: Duration,
    /// Replicas that load in other pools. They count against the limit, as all pools load from the
    /// same weight store.
    pub loading_in_other_pools: usize,
}

/// Commands to replicas and the change of stage that follow from a [`MoveView`].
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct MoveStep {
    /// Replicas to command, by index, and the version that each is to run.
    pub commands: Vec<(usize, VersionNumber)>,
    /// The stage to change to, with a reason if a rollback begins.
    pub stage: Option<(MoveStage, Option<&'static str>)>,
}

/// Plans the next step of a move. A step without commands and stage means to wait, or that the move
/// has ended.
pub fn plan_move(view: MoveView<'_>) -> MoveStep {
    match view.stage {
        MoveStage::Trial | MoveStage::Rollout if must_roll_back(view) => {
            change_stage(MoveStage::TakingBack, Some("it cannot be done by its deadline"))
        }
        MoveStage::Trial => plan_trial(view),
        MoveStage::Rollout => plan_rollout(view),
        MoveStage::TakingBack => plan_rollback(view),
        MoveStage::Done | MoveStage::TakenBack => MoveStep::default(),
    }
}

/// Upper estimate of the time to roll `count` replicas back: rounds of [`MAX_LOADING_REPLICAS`]
/// loads, each taking twice the expected time, plus a margin.
pub fn rollback_time(count: usize, load_time: Duration) -> Duration {
    let rounds = count.div_ceil(MAX_LOADING_REPLICAS) as u32;
    (load_time * rounds).mul_f64(LOAD_TIME_FACTOR) + ROLLBACK_MARGIN
}

/// How long a trial, and the wait with one old replica, may last: a sixth of the move's deadline,
/// within [`MIN_TRIAL_TIME`] and [`MAX_TRIAL_TIME`].
pub fn max_trial_time(deadline: Duration) -> Duration {
    (deadline / 6).clamp(MIN_TRIAL_TIME, MAX_TRIAL_TIME)
}

fn plan_trial(view: MoveView<'_>) -> MoveStep {
    let wanted = trial_count(view.replicas.len());
    let moved = count_on_version(view, view.to);
    if moved < wanted {
        return command_replicas(view, view.to, wanted - moved);
    }
    let has_evidence =
        view.trial_requests >= MIN_TRIAL_REQUESTS && view.stable_time >= MIN_TRIAL_TIME;
    if has_evidence || view.stable_time >= max_trial_time(view.deadline) {
        return change_stage(MoveStage::Rollout, None);
    }
    MoveStep::default()
}

fn plan_rollout(view: MoveView<'_>) -> MoveStep {
    let old = count_answering(view) - count_on_version(view, view.to);
    if old == 0 {
        return change_stage(MoveStage::Done, None);
    }
    // The last old replica follows once the others have run the new version for a while.
    let keeps_last = view.stable_time < max_trial_time(view.deadline);
    let keep = usize::from(keeps_last && view.replicas.len() > 1);
    command_replicas(view, view.to, old.saturating_sub(keep))
}

fn plan_rollback(view: MoveView<'_>) -> MoveStep {
    let remaining = count_answering(view) - count_on_version(view, view.from);
    if remaining == 0 {
        return change_stage(MoveStage::TakenBack, None);
    }
    command_replicas(view, view.from, remaining)
}

/// Commands replicas that answer to load `version`, so that up to `count` load it, within the limit
/// on replicas that load at once in all pools.
fn command_replicas(view: MoveView<'_>, version: VersionNumber, count: usize) -> MoveStep {
    let loading = view.replicas.iter().filter(|it| it.loading).count();
    let free_slots = MAX_LOADING_REPLICAS.saturating_sub(loading + view.loading_in_other_pools);
    let candidates = view
        .replicas
        .iter()
        .enumerate()
        .filter(|(_, it)| it.version.is_some_and(|current| current != version) && !it.loading)
        .map(|(index, _)| (index, version));
    let count = count.saturating_sub(loading).min(free_slots);
    MoveStep { commands: candidates.take(count).collect(), stage: None }
}

/// Whether the time left to the deadline is less than a rollback from here may need.
fn must_roll_back(view: MoveView<'_>) -> bool {
    let moved = count_on_version(view, view.to);
    let loading = view.replicas.iter().filter(|it| it.loading).count();
    let left = view.deadline.saturating_sub(view.elapsed);
    left < rollback_time(moved + loading, view.load_time)
}

/// The number of replicas that run the new version in the trial: one in twenty, rounded up, but at
/// most [`MAX_LOADING_REPLICAS`].
fn trial_count(replicas: usize) -> usize {
    replicas.div_ceil(20).min(MAX_LOADING_REPLICAS)
}

fn count_answering(view: MoveView<'_>) -> usize {
    view.replicas.iter().filter(|it| it.version.is_some()).count()
}

fn count_on_version(view: MoveView<'_>, version: VersionNumber) -> usize {
    view.replicas.iter().filter(|it| it.version == Some(version)).count()
}

fn change_stage(stage: MoveStage, reason: Option<&'static str>) -> MoveStep {
    MoveStep { commands: Vec::new(), stage: Some((stage, reason)) }
}

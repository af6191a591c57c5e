//! What a version move does next.
//!
//! A few replicas load the new version and get a small share. If no fault shows, the others
//! follow, a few at a time; the last old replica stays for a while, so that a fault that comes
//! late still has something to be compared with. The time to take everything back is kept in
//! reserve: a move that cannot be done by its deadline is taken back before it.

use std::time::Duration;

use catalog::MoveStage;
use ids::VersionNumber;

/// Replicas that load at once; more make each other slow.
pub const MAX_LOADING_REPLICAS: usize = 3;
/// Requests the new version must have served before the others follow early.
pub const MIN_TRIAL_REQUESTS: u64 = 50;
/// The shortest trial.
pub const MIN_TRIAL_TIME: Duration = Duration::from_secs(5);
/// The longest trial, and the longest wait with one old replica left.
pub const MAX_TRIAL_TIME: Duration = Duration::from_secs(30);
/// Time kept besides the loads themselves when a move is taken back.
const RESERVE: Duration = Duration::from_secs(5);
/// How much longer than expected a load may take.
const LOAD_SLACK: f64 = 2.0;

/// What is known of one replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplicaVersion {
    /// The version it runs; `None` if it does not answer.
    pub version: Option<VersionNumber>,
    /// A version is loading.
    pub loading: bool,
}

/// What is known of a move.
#[derive(Debug, Clone, Copy)]
pub struct MoveView<'a> {
    /// How far it is.
    pub stage: MoveStage,
    /// The version before.
    pub from: VersionNumber,
    /// The version after.
    pub to: VersionNumber,
    /// Time since it began.
    pub elapsed: Duration,
    /// Time from its beginning to its deadline.
    pub deadline: Duration,
    /// Time since as many replicas ran the new version as do now.
    pub stable_time: Duration,
    /// Its pool's replicas.
    pub replicas: &'a [ReplicaVersion],
    /// Requests this daemon saw the new version serve.
    pub trial_requests: u64,
    /// How long one replica is expected to load.
    pub load_time: Duration,
    /// Replicas that load in other pools; the weight store serves all.
    pub loading_in_other_pools: usize,
}

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct MoveStep {
    /// Replicas to order, by index, and the version each is to be at.
    pub commands: Vec<(usize, VersionNumber)>,
    /// The stage to go to, and why if it is not the expected one.
    pub stage: Option<(MoveStage, Option<&'static str>)>,
}

/// Plans the next step of a move.
pub fn plan_move(view: MoveView<'_>) -> MoveStep {
    match view.stage {
        MoveStage::Trial | MoveStage::Rollout if out_of_time(view) => {
            to_stage(MoveStage::TakingBack, Some("it cannot be done by its deadline"))
        }
        MoveStage::Trial => trial(view),
        MoveStage::Rollout => rollout(view),
        MoveStage::TakingBack => take_back(view),
        MoveStage::Done | MoveStage::TakenBack => MoveStep::default(),
    }
}

/// The time that taking back `count` replicas may need.
pub fn rollback_time(count: usize, load_time: Duration) -> Duration {
    let rounds = count.div_ceil(MAX_LOADING_REPLICAS) as u32;
    (load_time * rounds).mul_f64(LOAD_SLACK) + RESERVE
}

/// How long a trial, and the wait with one old replica, may last within this deadline.
pub fn max_trial_time(deadline: Duration) -> Duration {
    (deadline / 6).clamp(MIN_TRIAL_TIME, MAX_TRIAL_TIME)
}

fn trial(view: MoveView<'_>) -> MoveStep {
    let wanted = trial_count(view.replicas.len());
    let moved = on_version(view, view.to);
    if moved < wanted {
        return command_replicas(view, view.to, wanted - moved);
    }
    let enough = view.trial_requests >= MIN_TRIAL_REQUESTS && view.stable_time >= MIN_TRIAL_TIME;
    if enough || view.stable_time >= max_trial_time(view.deadline) {
        return to_stage(MoveStage::Rollout, None);
    }
    MoveStep::default()
}

fn rollout(view: MoveView<'_>) -> MoveStep {
    let old = answering(view) - on_version(view, view.to);
    if old == 0 {
        return to_stage(MoveStage::Done, None);
    }
    // The last old replica follows when the others have run the new version for a while.
    let last_waits = view.stable_time < max_trial_time(view.deadline);
    let keep = usize::from(last_waits && view.replicas.len() > 1);
    command_replicas(view, view.to, old.saturating_sub(keep))
}

fn take_back(view: MoveView<'_>) -> MoveStep {
    let left = answering(view) - on_version(view, view.from);
    if left == 0 {
        return to_stage(MoveStage::TakenBack, None);
    }
    command_replicas(view, view.from, left)
}

/// Orders up to `count` replicas to `version`, as far as others are not loading.
fn command_replicas(view: MoveView<'_>, version: VersionNumber, count: usize) -> MoveStep {
    let loading = view.replicas.iter().filter(|it| it.loading).count();
    let room = MAX_LOADING_REPLICAS.saturating_sub(loading + view.loading_in_other_pools);
    let wanting = view
        .replicas
        .iter()
        .enumerate()
        .filter(|(_, it)| it.version.is_some_and(|at| at != version) && !it.loading)
        .map(|(index, _)| (index, version));
    let count = count.saturating_sub(loading).min(room);
    MoveStep { commands: wanting.take(count).collect(), stage: None }
}

fn out_of_time(view: MoveView<'_>) -> bool {
    let moved = on_version(view, view.to);
    let loading = view.replicas.iter().filter(|it| it.loading).count();
    let left = view.deadline.saturating_sub(view.elapsed);
    left < rollback_time(moved + loading, view.load_time)
}

fn trial_count(replicas: usize) -> usize {
    replicas.div_ceil(20).min(MAX_LOADING_REPLICAS)
}

fn answering(view: MoveView<'_>) -> usize {
    view.replicas.iter().filter(|it| it.version.is_some()).count()
}

fn on_version(view: MoveView<'_>, version: VersionNumber) -> usize {
    view.replicas.iter().filter(|it| it.version == Some(version)).count()
}

fn to_stage(stage: MoveStage, reason: Option<&'static str>) -> MoveStep {
    MoveStep { commands: Vec::new(), stage: Some((stage, reason)) }
}

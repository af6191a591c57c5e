//! Commands engines to load the newest weights; one daemon at a time does so, under a lease in the
//! store.
//!
//! A holder sends commands only while its lease is valid; another daemon takes over when it has
//! expired. Commands of different holders to one replica are separated by a handover time. Until
//! that has passed since it took over, a holder commands only replicas that its predecessor has
//! surely not commanded recently, by the time at which peers reported their last command and by the
//! number of commands that they accepted.

use std::sync::Arc;
use std::time::Duration;

use http::{Request, StatusCode};
use ids::TargetId;
use policy::admission::{ReplicaUse, WithholdReason};
use policy::health::HealthState;
use policy::rendezvous;
use policy::weight_rollout::{self, LaggingTarget};
use web::client::CallError;

use crate::command_lease::{self, HeldLease};
use crate::command_table::{CommandState, SharedCommands};
use crate::dialect::{Dialect, TargetReport, WeightCommand};
use crate::directory::Directory;
use crate::gateway::{Gateway, lock};
use crate::notice_table::AnswerNotice;
use crate::peer_message::{ModelWeightStatus, WeightStatus};
use crate::target_client::{self, AnswerLimits};
use crate::weight_gossip;

/// The time between two rounds while engines have old weights.
const ROUND_PERIOD: Duration = Duration::from_millis(60);
/// The longest time between two rounds while there is nothing to do.
const IDLE_PERIOD: Duration = Duration::from_secs(1);
/// What a replica's answer to a command and its report may take.
const ANSWER_LIMITS: AnswerLimits =
    AnswerLimits { timeout: Duration::from_millis(600), max_bytes: 64 << 10 };
/// The first pause between two reports that are fetched to see whether a command is done.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(150);
/// The factor by which that pause grows, since each report has a cost.
const REPORT_INTERVAL_GROWTH: f64 = 1.2;
/// The longest pause between two reports.
const MAX_REPORT_INTERVAL: Duration = Duration::from_millis(600);
/// The pause before a replica that did not answer is commanded again, and before the lease is tried
/// again.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// A replica whose weights are older than the newest, with the command that it needs.
#[derive(Debug, Clone)]
struct NeededCommand {
    target: TargetId,
    model: Box<str>,
    version: u64,
    state: LaggingTarget,
}

/// A pool with engines on old weights, for one model.
#[derive(Debug)]
struct LaggingPool {
    needed: Vec<NeededCommand>,
    /// Number of engines on the newest weights.
    ready: usize,
    /// The engines on old weights get no requests now.
    overdue: bool,
}

/// Commands engines with old weights while this daemon holds the lease; runs until the process
/// ends.
pub(crate) async fn run<D: Dialect, S: Directory>(gateway: Arc<Gateway<D, S>>) {
    let mut held: Option<HeldLease> = None;
    let mut era_start = None;
    let mut lagging_since: Option<Duration> = None;
    let commands = Arc::new(SharedCommands::default());
    loop {
        // Created before the state is read, so that no later change is missed.
        let view_changed = gateway.view_changed.notified();
        forget_unlisted(&gateway, &commands);
        let needed = find_lagging_pools(&gateway, &commands);
        if needed.is_empty() || gateway.is_leaving() {
            lagging_since = None;
            let _ = tokio::time::timeout(IDLE_PERIOD, view_changed).await;
            continue;
        }
        let now = gateway.now();
        let since = *lagging_since.get_or_insert(now);
        let delay = {
            let members = lock(&gateway.members);
            weight_rollout::lease_delay(members.rank(now), members.reachable_share(now))
        };
        // The last holder knows its lease and does not wait.
        if held.is_none() && now < since + delay {
            tokio::time::sleep(ROUND_PERIOD).await;
            continue;
        }
        if held.as_ref().is_none_or(|it| command_lease::is_renewal_due(&gateway, it)) {
            held = match command_lease::take(&gateway, held.take(), &mut era_start).await {
                Ok(it) => it,
                Err(error) => {
                    tracing::warn!("weights: lease not renewed, no commands are started: {error}");
                    None
                }
            };
            if held.is_none() {
                tokio::time::sleep(RETRY_PAUSE).await;
                continue;
            }
        }
        if let Some(held) = &held {
            for pool in &needed {
                start_commands(&gateway, &commands, held, pool);
            }
        }
        tokio::time::sleep(ROUND_PERIOD).await;
    }
}

/// Drops the state of replicas that are not listed any more.
fn forget_unlisted<D: Dialect, S: Directory>(gateway: &Gateway<D, S>, commands: &SharedCommands) {
    let fleet = lock(&gateway.fleet);
    let mut commands = lock(commands);
    commands.states.retain(|id, _| fleet.get(id).is_some());
    commands.last_tokens.retain(|id, _| fleet.get(id).is_some());
}

/// The pools and models with replicas that are to load newer weights.
fn find_lagging_pools<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    commands: &SharedCommands,
) -> Vec<LaggingPool> {
    let now = gateway.now();
    let max_age = gateway.max_old_weights_age();
    let commands = lock(commands).states.clone();
    let view = lock(&gateway.view);
    let Some(config) = view.config() else { return Vec::new() };
    let fleet = lock(&gateway.fleet);
    let mut pools = Vec::new();
    // Of pools that this daemon does not reach, another one commands the engines.
    let reached = config.engine_pools().filter(|it| !gateway.relay.is_path_cut(it.0));
    for (pool, engine) in reached {
        for model in &engine.models {
            let Some((version, published_at)) = view.latest_weights(model) else { continue };
            let (mut needed, mut evacuated) = (Vec::new(), Vec::new());
            let mut ready = 0;
            let serving = fleet
                .replicas()
                .filter(|it| it.entry.pool == *pool && !it.leaving && it.weights.serves(model));
            for replica in serving {
                let loaded = replica.weights.loaded(model);
                if loaded >= version {
                    ready += usize::from(!replica.evacuated);
                    continue;
                }
                let state = commands.get(&replica.entry.id);
                let in_progress = state.and_then(|it| it.model_in_progress(now));
                // A replica that loads another model serves this one, and takes no command meanwhile.
                let loading = in_progress == Some(&**model) || replica.is_loading(now, model);
                let is_commanded =
                    replica.is_any_loading(now) && replica.was_commanded_recently(now);
                let lagging = if replica.evacuated { &mut evacuated } else { &mut needed };
                lagging.push(NeededCommand {
                    target: replica.entry.id.clone(),
                    model: model.clone(),
                    version,
                    state: LaggingTarget {
                        weights: loaded,
                        running: fleet.load(now, replica).running,
                        loading,
                        command_active: in_progress.is_some() || is_commanded,
                        deferred: state.is_some_and(|it| it.is_deferred(now)),
                        unreported: matches!(state, Some(CommandState::Unreported(_))),
                        reachable: replica.health.state(now) != HealthState::Paused,
                    },
                });
            }
            let overdue = now >= published_at + max_age;
            let serving = LaggingPool { needed, ready, overdue };
            // They get no requests either way, so that their loads take no capacity.
            let evacuated = LaggingPool { needed: evacuated, ready: 0, overdue: true };
            pools.extend([serving, evacuated].into_iter().filter(|it| !it.needed.is_empty()));
        }
    }
    pools
}

fn start_commands<D: Dialect, S: Directory>(
    gateway: &Arc<Gateway<D, S>>,
    commands: &Arc<SharedCommands>,
    held: &HeldLease,
    pool: &LaggingPool,
) {
    // Commands to load another model may have begun in this round.
    let is_commanded = |it: &NeededCommand| {
        let now = gateway.now();
        lock(commands).states.get(&it.target).is_some_and(|it| it.model_in_progress(now).is_some())
    };
    let states = pool.needed.iter().map(|it| LaggingTarget {
        command_active: it.state.command_active || is_commanded(it),
        ..it.state
    });
    let states: Vec<LaggingTarget> = states.collect();
    let chosen = weight_rollout::choose_targets(&states, pool.ready, pool.overdue);
    for index in chosen {
        let command = pool.needed[index].clone();
        let until = gateway.now() + gateway.settings().bounds.version;
        let in_progress = CommandState::InProgress(command.model.clone(), until);
        lock(commands).states.insert(command.target.clone(), in_progress);
        let (gateway, commands, held) = (gateway.clone(), commands.clone(), held.clone());
        tokio::spawn(async move {
            let state = match run_command(&gateway, &commands, &held, &command).await {
                CommandOutcome::Loaded | CommandOutcome::Restarted => {
                    CommandState::Deferred(gateway.now())
                }
                CommandOutcome::Unreported => CommandState::Unreported(gateway.now() + RETRY_PAUSE),
                CommandOutcome::Unknown => CommandState::Deferred(gateway.now() + RETRY_PAUSE),
                CommandOutcome::TooEarly(safe_at) => CommandState::Deferred(safe_at),
            };
            lock(&commands).states.insert(command.target, state);
            gateway.view_changed.notify_waiters();
        });
    }
}

/// Reports to peers that a command is about to be sent: they keep requests away from the replica,
/// and the next lease holder observes the handover time.
fn publish_command<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    command: &NeededCommand,
    accepted: u64,
) {
    let version = command.version;
    publish_model(gateway, command, |status| status.commanded = version);
    publish_status(gateway, &command.target, |status| {
        status.commanded = status.commanded.max(version);
        status.accepted = accepted;
    });
}

/// Reports a change of one replica's weights to peers.
fn publish_status<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    target: &TargetId,
    change: impl Fn(&mut WeightStatus),
) {
    let status = lock(&gateway.fleet).get(target).map(|it| it.weight_status());
    if let Some(mut status) = status {
        change(&mut status);
        weight_gossip::publish(gateway, &[status], None);
    }
}

/// The same for the commanded model, if the replica has several.
fn publish_model<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    command: &NeededCommand,
    change: impl Fn(&mut ModelWeightStatus),
) {
    let status = lock(&gateway.fleet)
        .get(&command.target)
        .and_then(|it| it.model_statuses().find(|it| it.model == command.model));
    if let Some(mut status) = status {
        change(&mut status);
        weight_gossip::publish_models(gateway, &[status], None);
    }
}

/// How a command ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CommandOutcome {
    /// The replica has loaded the weights.
    Loaded,
    /// Another process is listed in the place of the commanded one, so that it is commanded anew.
    Restarted,
    /// The replica did not report, so that it was not commanded.
    Unreported,
    /// It is not known whether the replica has loaded them.
    Unknown,
    /// The previous lease holder may have commanded the replica within the handover time, which has
    /// passed at this time.
    TooEarly(Duration),
}

/// Commands one replica to load weights and waits until it has loaded them.
async fn run_command<D: Dialect, S: Directory>(
    gateway: &Arc<Gateway<D, S>>,
    commands: &SharedCommands,
    held: &HeldLease,
    command: &NeededCommand,
) -> CommandOutcome {
    let started_at = gateway.now();
    // The longest stream on the replica may delay the load for most of that time.
    let until = started_at + gateway.settings().bounds.version;
    let mut sent = false;
    let mut pause = MIN_REPORT_INTERVAL;
    let incarnation = || lock(&gateway.fleet).get(&command.target).map(|it| it.entry.incarnation);
    let commanded = incarnation();
    while gateway.now() < until {
        if incarnation().is_some_and(|it| Some(it) != commanded) {
            return CommandOutcome::Restarted;
        }
        let Some(report) = fetch_report(gateway, &command.target).await else {
            if !sent {
                return CommandOutcome::Unreported;
            }
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(MAX_REPORT_INTERVAL);
            continue;
        };
        let loaded = report.weights.iter().find(|it| it.0 == command.model).map_or(0, |it| it.1);
        if loaded >= command.version {
            if sent {
                gateway.metrics.record_command(gateway.now().saturating_sub(started_at));
            }
            confirm_loaded(gateway, command, loaded);
            return CommandOutcome::Loaded;
        }
        let token = held.lease.fencing_token;
        let sent_before = lock(commands).last_tokens.get(&command.target) == Some(&token);
        let safe_at = handover_safe_at(gateway, held, &command.target, report.accepted);
        if !sent && !sent_before && gateway.now() < safe_at {
            return CommandOutcome::TooEarly(safe_at);
        }
        if !report.busy && !sent {
            if !command_lease::is_valid(gateway, held) {
                return CommandOutcome::Unknown;
            }
            lock(commands).last_tokens.insert(command.target.clone(), token);
            sent = send_command(gateway, held, command, report.accepted).await;
        }
        tokio::time::sleep(pause).await;
        pause = pause.mul_f64(REPORT_INTERVAL_GROWTH).min(MAX_REPORT_INTERVAL);
    }
    CommandOutcome::Unknown
}

/// From when on it is certain that no earlier lease holder has commanded the replica within the
/// handover time. Without a report of all `accepted` commands, the last one may have been sent just
/// before this daemon took over.
fn handover_safe_at<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    held: &HeldLease,
    target: &TargetId,
    accepted: u64,
) -> Duration {
    let fleet = lock(&gateway.fleet);
    let known = fleet.get(target).filter(|it| it.accepted_commands == accepted);
    let Some(replica) = known else { return held.handover_ends_at };
    let handover_time = gateway.settings().bounds.lease;
    let last_command_at = replica.last_command_at;
    let safe_at = last_command_at.map_or(Duration::ZERO, |it| it + handover_time);
    safe_at.min(held.handover_ends_at)
}

/// Sends a command; false if the replica is not known to have accepted it.
async fn send_command<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    held: &HeldLease,
    command: &NeededCommand,
    accepted_before: u64,
) -> bool {
    let message = WeightCommand {
        target: command.target.clone(),
        model: command.model.clone(),
        version: command.version,
        holder: held.lease.holder.id.as_str().into(),
        fencing_token: held.lease.fencing_token,
        accepted_before,
    };
    publish_command(gateway, command, accepted_before + 1);
    let answer = call(gateway, &command.target, gateway.dialect.command_request(&message)).await;
    let NeededCommand { target, model, version, .. } = command;
    let token = held.lease.fencing_token;
    match answer {
        Ok((status, _)) if status.is_success() => {
            let status = status.as_u16();
            tracing::info!(
                %target, %model, version, status, token, accepted_before, "weights: command accepted"
            );
            true
        }
        Ok((status, _)) => {
            tracing::warn!(
                %target, %model, version, %status, token, "weights: command refused, will retry"
            );
            false
        }
        Err(CallError::NotSent(error)) => {
            tracing::warn!(
                %target, %model, version, token, "weights: command not sent, will retry: {error}"
            );
            false
        }
        Err(error) => {
            // The command may still be carried out. The next one names the same number of accepted
            // commands, so that the replica carries out only one of the two.
            tracing::warn!(
                %target, %model, version, token, "weights: command not answered, will retry: {error}"
            );
            false
        }
    }
}

fn confirm_loaded<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    command: &NeededCommand,
    loaded: u64,
) {
    tracing::info!(
        target = %command.target, model = %command.model, version = loaded,
        "weights: replica has loaded the new version"
    );
    publish_model(gateway, command, |status| status.loaded = loaded);
    publish_status(gateway, &command.target, |status| status.loaded = status.loaded.max(loaded));
}

async fn fetch_report<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    target: &TargetId,
) -> Option<TargetReport> {
    let request = gateway.dialect.report_request();
    let incarnation = lock(&gateway.fleet).get(target)?.entry.incarnation;
    let (status, body) = call(gateway, target, request).await.ok()?;
    let report = status.is_success().then(|| gateway.dialect.parse_report(&body))??;
    // A report of another incarnation says nothing about this one.
    report.incarnation.is_none_or(|it| it == incarnation).then_some(report)
}

/// Sends a request of the daemon's own to a replica if that may get one.
async fn call<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    target: &TargetId,
    request: Request<bytes::Bytes>,
) -> Result<(StatusCode, bytes::Bytes), CallError> {
    let (address, incarnation) = {
        let fleet = lock(&gateway.fleet);
        let unlisted = || CallError::NotSent("the replica is not listed".into());
        let replica = fleet.get(target).ok_or_else(unlisted)?;
        (replica.entry.address, replica.entry.incarnation)
    };
    let admit = || admit_command(gateway, target);
    let (id, limits) = (target.as_str(), ANSWER_LIMITS);
    let answer = target_client::send_request(gateway, address, id, request, limits, admit).await?;
    let head = gateway.dialect.parse_answer(answer.headers());
    let notice = AnswerNotice::new(answer.status(), &head);
    let now = gateway.now();
    let mut fleet = lock(&gateway.fleet);
    fleet.record_notice(now, target, incarnation, notice);
    if let Some(left_ms) = head.cold_left_ms {
        let member = rendezvous::hash_member(target.as_str());
        fleet.record_cold_answer(now, member, incarnation, left_ms);
    }
    drop(fleet);
    Ok((answer.status(), answer.into_body()))
}

fn admit_command<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    target: &TargetId,
) -> Result<(), WithholdReason> {
    let now = gateway.now();
    let state = lock(&gateway.fleet).get(target).map(|it| it.state(now, None));
    let reason = state.and_then(|it| it.withhold_reason(now, ReplicaUse::Command));
    reason.inspect(|it| gateway.metrics.record_withheld(*it)).map_or(Ok(()), Err)
}

//! Moves pools to new releases as operators order: shares evidence with peers, and, on the first
//! daemons in rank, decides about the stages and writes the state to the store.
//!
//! Each daemon stops sending requests to a release as soon as it finds a fault. A rollout is
//! completed only by a write on condition that the row has not changed, so that of two daemons that
//! both decide one fails.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use ids::{PoolId, Revision};
use indexmap::IndexMap;
use policy::release_history::{ReleaseHistory, RolloutOutcome};
use policy::rendezvous;
use policy::rollout_stage::{self, RolloutStage, RolloutView};
use ports::{CommitResult, StoreError};

use crate::config::PoolRollout;
use crate::dialect::Dialect;
use crate::directory::{Directory, RolloutState, RolloutStatus, StoredRollouts};
use crate::gateway::{Gateway, lock};
use crate::members::GOSSIP_PERIOD;
use crate::peer_message::{GossipDirection, PeerMessage, RolloutReport};
use crate::rollout_table::ReleaseVerdict;

/// Share of all daemons that one must reach to decide for them.
const MIN_REACHABLE_SHARE: f64 = 0.5;
/// Periods between two daemons' looks at their peers' reports, beyond the time that these take.
const SETTLE_PERIODS: u32 = 2;
/// Times that a stage and the answer to it travel, in units of the delay of a report.
const SETTLE_DELAYS: u32 = 4;
/// The pause after a failed call to the store.
const STORE_PAUSE: Duration = Duration::from_millis(500);

/// What this daemon knows of the row that holds a rollout's state.
#[derive(Debug, Clone, Copy, Default)]
struct StatusRow {
    /// The rollout's own revision.
    order: Revision,
    /// The revision of the state's row, once this daemon has read or written it.
    revision: Option<Revision>,
    /// Whether the row holds the final state.
    is_final: bool,
    /// No call to the store is made before this time.
    retry_at: Duration,
}

/// Follows the rollouts until the process ends.
pub(crate) async fn run<D: Dialect, S: Directory>(gateway: Arc<Gateway<D, S>>) {
    let mut rows: IndexMap<PoolId, StatusRow> = IndexMap::new();
    loop {
        // Created before the state is read, so that no later change is missed.
        let view_changed = gateway.view_changed.notified();
        let active = active_rollouts(&gateway);
        if active.is_empty() {
            view_changed.await;
            continue;
        }
        for (rollout, age) in &active {
            let verdict = judge(&gateway, rollout);
            let row = rows.entry(rollout.pool.clone()).or_default();
            if row.order != rollout.revision {
                *row = StatusRow { order: rollout.revision, ..StatusRow::default() };
            }
            if may_decide(&gateway, rollout, *age) {
                lead(&gateway, rollout, *age, verdict, row).await;
            } else {
                row.revision = None;
            }
        }
        send_reports(&gateway, &active);
        tokio::time::sleep(GOSSIP_PERIOD).await;
    }
}

/// The rollouts that are not over or that ended recently, with the time since this daemon learned
/// of each.
fn active_rollouts<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
) -> Vec<(PoolRollout, Duration)> {
    let now = gateway.now();
    let known = lock(&gateway.view).rollouts(now);
    let rollouts = lock(&gateway.rollouts);
    known.into_iter().filter(|it| rollouts.is_active(now, &it.0.pool, it.0.revision)).collect()
}

/// Whether this daemon decides for all about a rollout that it learned of `age` ago.
fn may_decide<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    rollout: &PoolRollout,
    age: Duration,
) -> bool {
    let now = gateway.now();
    let unheard = lock(&gateway.rollouts).unheard(now, &rollout.pool, rollout.revision);
    let members = lock(&gateway.members);
    !gateway.is_leaving()
        && members.reachable_share(now) > MIN_REACHABLE_SHARE
        && rollout_stage::may_decide(members.rank(now), unheard.unwrap_or(age))
}

/// Takes the new release back here if the evidence shows a fault.
fn judge<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    rollout: &PoolRollout,
) -> ReleaseVerdict {
    let now = gateway.now();
    let from_hub = lock(&gateway.members).parent();
    let mut rollouts = lock(&gateway.rollouts);
    let (pool, order) = (&rollout.pool, rollout.revision);
    let verdict = rollouts.judge(now, pool, order, from_hub);
    let is_running = matches!(rollouts.stage(pool, order), Some(RolloutStage::Running(_)));
    if let Some(fault) = verdict.fault.filter(|_| is_running) {
        let requests = verdict.new_requests;
        tracing::warn!(%pool, release = %rollout.to, requests, ?fault, "rollout: fault found");
        rollouts.advance(now, pool, order, RolloutStage::RolledBack);
    }
    verdict
}

/// Decides about the next stage of a rollout, and keeps its row in the store up to date.
async fn lead<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    rollout: &PoolRollout,
    age: Duration,
    verdict: ReleaseVerdict,
    row: &mut StatusRow,
) {
    if row.is_final || gateway.now() < row.retry_at {
        return;
    }
    let done = match row.revision {
        None => open_row(gateway, rollout, row).await,
        Some(revision) => {
            let stage = lock(&gateway.rollouts).stage(&rollout.pool, rollout.revision);
            let next = stage.map(|it| next_stage(gateway, rollout, it, age, verdict));
            match next {
                Some(RolloutStage::Running(_)) | None => {
                    advance(gateway, rollout, next);
                    Ok(())
                }
                Some(end) => close_row(gateway, rollout, end, revision, row).await,
            }
        }
    };
    if let Err(error) = done {
        row.retry_at = gateway.now() + STORE_PAUSE;
        tracing::warn!(pool = %rollout.pool, "rollout: state not stored, will retry: {error}");
    }
}

fn advance<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    rollout: &PoolRollout,
    stage: Option<RolloutStage>,
) {
    if let Some(stage) = stage {
        let now = gateway.now();
        lock(&gateway.rollouts).advance(now, &rollout.pool, rollout.revision, stage);
    }
}

fn next_stage<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    rollout: &PoolRollout,
    stage: RolloutStage,
    age: Duration,
    verdict: ReleaseVerdict,
) -> RolloutStage {
    let now = gateway.now();
    let gossip_delay = lock(&gateway.members).gossip_delay();
    let (replicas, busy) = {
        let history = lock(&gateway.rollouts).history(&rollout.pool);
        let fleet = lock(&gateway.fleet);
        (fleet.count_by_release(now, rollout, &history), fleet.runs_other_release(now, rollout))
    };
    let old_idle =
        lock(&gateway.rollouts).observe_old_release(now, &rollout.pool, rollout.revision, busy);
    rollout_stage::next_stage(RolloutView {
        stage,
        age,
        duration: rollout.duration,
        period: GOSSIP_PERIOD,
        exposure: gateway.settings().bounds.rollout_exposure,
        new_requests: verdict.new_requests,
        suspect: verdict.suspect,
        replicas,
        old_idle,
        settle_time: GOSSIP_PERIOD * SETTLE_PERIODS + gossip_delay * SETTLE_DELAYS,
    })
}

/// Reads the row of a rollout's state, and writes that it runs unless the row says so already.
async fn open_row<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    rollout: &PoolRollout,
    row: &mut StatusRow,
) -> Result<(), StoreError> {
    let asked_at = gateway.now();
    let read = gateway.directory.read_rollouts(&rollout.pool).await;
    record_call(gateway, "rollout", asked_at, read.is_err());
    let StoredRollouts { status: stored, history } = read?.value;
    // A row that is older than the order is about an earlier one.
    let is_current = |status: &RolloutStatus, revision: Revision| {
        revision > rollout.revision && status.to == rollout.to
    };
    let first = rollout_stage::first_stage(gateway.settings().bounds.rollout_exposure);
    let mut stored_history = history.clone();
    let expected = stored.as_ref().map(|it| it.1);
    let current = match stored {
        Some((status, revision)) if is_current(&status, revision) => Some((status, revision)),
        Some((status, revision)) => {
            // The state may have been written after the order that replaces it.
            let order = revision.min(rollout.revision);
            stored_history.record(&status.to, order, outcome(status.state));
            None
        }
        None => None,
    };
    let known_history = {
        let mut rollouts = lock(&gateway.rollouts);
        rollouts.merge_history(&rollout.pool, rollout.revision, &stored_history);
        rollouts.history(&rollout.pool)
    };
    if let Some((status, revision)) = &current {
        let stage = match status.state {
            RolloutState::Running => first,
            RolloutState::Completed => RolloutStage::Completed,
            RolloutState::RolledBack => RolloutStage::RolledBack,
        };
        advance(gateway, rollout, Some(stage));
        if *known_history == history {
            row.revision = Some(*revision);
            row.is_final = status.state != RolloutState::Running;
            return Ok(());
        }
    }
    // A store that came back from an older copy may have lost how far the rollout is.
    let known = lock(&gateway.rollouts).stage(&rollout.pool, rollout.revision).unwrap_or(first);
    let state = current.map_or(stored_state(known), |it| it.0.state);
    let status = RolloutStatus { to: rollout.to.clone(), state };
    let written = write_row(gateway, rollout, &status, &known_history, expected).await?;
    if let CommitResult::Done(revision) = written {
        row.revision = Some(revision);
        row.is_final = status.state != RolloutState::Running;
        advance(gateway, rollout, Some(known));
    }
    Ok(())
}

/// What came of a rollout that another order has replaced in this state.
fn outcome(state: RolloutState) -> RolloutOutcome {
    match state {
        RolloutState::Completed => RolloutOutcome::Completed,
        RolloutState::Running | RolloutState::RolledBack => RolloutOutcome::Rejected,
    }
}

fn stored_state(stage: RolloutStage) -> RolloutState {
    match stage {
        RolloutStage::Running(_) => RolloutState::Running,
        RolloutStage::Completed => RolloutState::Completed,
        RolloutStage::RolledBack => RolloutState::RolledBack,
    }
}

/// Writes the end of a rollout. Completion takes effect only with the row, since the platform then
/// stops the old replicas.
async fn close_row<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    rollout: &PoolRollout,
    end: RolloutStage,
    revision: Revision,
    row: &mut StatusRow,
) -> Result<(), StoreError> {
    let state = stored_state(end);
    // Read again after each write, also after one without an answer.
    row.revision = None;
    let status = RolloutStatus { to: rollout.to.clone(), state };
    let mut history = lock(&gateway.rollouts).history(&rollout.pool).as_ref().clone();
    history.record(&rollout.to, rollout.revision, outcome(state));
    if let CommitResult::Done(revision) =
        write_row(gateway, rollout, &status, &history, Some(revision)).await?
    {
        tracing::info!(pool = %rollout.pool, release = %rollout.to, ?state, "rollout: ended");
        *row = StatusRow { revision: Some(revision), is_final: true, ..*row };
        advance(gateway, rollout, Some(end));
    }
    Ok(())
}

async fn write_row<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    rollout: &PoolRollout,
    status: &RolloutStatus,
    history: &ReleaseHistory,
    expected: Option<Revision>,
) -> Result<CommitResult, StoreError> {
    let asked_at = gateway.now();
    let written = gateway.directory.write_rollout(&rollout.pool, status, history, expected).await;
    record_call(gateway, "rollout-write", asked_at, written.is_err());
    written
}

fn record_call<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    name: &'static str,
    asked_at: Duration,
    failed: bool,
) {
    gateway.metrics.record_store_call(name, gateway.now().saturating_sub(asked_at), failed);
}

fn send_reports<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    active: &[(PoolRollout, Duration)],
) {
    let peers = lock(&gateway.members).gossip_peers(gateway.now());
    let children = &peers.child_hashes;
    send_report(gateway, active, &peers.parent, GossipDirection::ToParent, children);
    send_report(gateway, active, &peers.hubs, GossipDirection::BetweenHubs, children);
    for (address, child) in peers.children.iter().zip(children) {
        send_report(gateway, active, &[*address], GossipDirection::ToChild(*child), children);
    }
}

fn send_report<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    active: &[(PoolRollout, Duration)],
    to: &[IpAddr],
    direction: GossipDirection,
    children: &[u64],
) {
    if to.is_empty() {
        return;
    }
    let now = gateway.now();
    let sender = rendezvous::hash_member(gateway.own.id.as_str());
    let reports = {
        let rollouts = lock(&gateway.rollouts);
        let report =
            |it: &PoolRollout| rollouts.report(now, &it.pool, it.revision, direction, children);
        active.iter().map(|it| report(&it.0)).collect()
    };
    gateway.peer_socket.send(now, to, &PeerMessage::Rollouts { sender, reports });
}

/// Handles the reports of a peer; tells it the stages that it lacks.
pub(crate) fn handle_reports<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    from: IpAddr,
    sender: u64,
    reports: &[RolloutReport],
) {
    let now = gateway.now();
    let known = |it: &RolloutReport| lock(&gateway.view).rollout(&it.pool).map(|it| it.revision);
    // Whether an order of a later era is a known one is seen in the control state, which follows.
    let is_known_era =
        |it: &&RolloutReport| known(it).is_none_or(|known| known.era() >= it.order.era());
    let reports: Vec<&RolloutReport> = reports.iter().filter(is_known_era).collect();
    let mut rollouts = lock(&gateway.rollouts);
    let mut lacking = Vec::new();
    for report in reports {
        if rollouts.merge(now, sender, report) && report.stage.is_none() {
            let RolloutReport { pool, order, .. } = report;
            let stage = rollouts.stage(pool, *order);
            let history = rollouts.history(pool).as_ref().clone();
            let evidence = Vec::new();
            lacking.push(RolloutReport {
                pool: pool.clone(),
                order: *order,
                stage,
                evidence,
                history,
            });
        }
    }
    drop(rollouts);
    if !lacking.is_empty() {
        let sender = rendezvous::hash_member(gateway.own.id.as_str());
        let message = PeerMessage::Rollouts { sender, reports: lacking };
        gateway.peer_socket.send(now, &[from], &message);
    }
}

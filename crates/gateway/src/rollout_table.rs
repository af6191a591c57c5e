//! What this daemon knows of rollouts: their stages, its own evidence and that of its peers.

use std::sync::Arc;
use std::time::Duration;

use ids::{PoolId, Revision};
use indexmap::IndexMap;
use policy::release_history::{ReleaseHistory, RolloutOutcome};
use policy::rollout_stage::RolloutStage;
use policy::rollout_trial::{AttemptOutcome, RolloutEvidence, RolloutTrial, RouteEvidence};
use policy::version_trial::TrialFault;

use crate::cluster_view::RenumberedOrder;
use crate::peer_message::{GossipDirection, RolloutReport};

/// Evidence of a peer that has sent nothing for this long no longer counts: it may now come by way
/// of another hub.
const EVIDENCE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long peers are told of a rollout that has ended; later ones ask for it.
const END_REPORT_TIME: Duration = Duration::from_secs(10);

/// One rollout.
#[derive(Debug, Default)]
struct PoolTrial {
    /// The revision of the operator's row.
    order: Revision,
    /// The release that it moves to; `None` while only peers have named the order.
    to: Option<Box<str>>,
    /// `None` until the store or a peer says how far it is.
    stage: Option<RolloutStage>,
    /// When a peer last moved it on.
    heard_at: Option<Duration>,
    /// When it reached a stage in which nothing is left to do.
    ended_at: Option<Duration>,
    own: RolloutEvidence,
    /// The evidence of each peer, by the hash of its id; a hub's is that of its children too.
    peers: IndexMap<u64, (Duration, RolloutEvidence)>,
    trial: RolloutTrial,
    /// When requests last ran on an older release, or the new one did not have all traffic.
    old_busy_at: Duration,
}

/// What the evidence says about a new release.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReleaseVerdict {
    /// Requests that ended on it.
    pub new_requests: u64,
    /// The evidence leans against it, if not enough for a fault.
    pub suspect: bool,
    /// The fault found.
    pub fault: Option<TrialFault>,
}

/// The rollouts known to this daemon, by pool.
#[derive(Debug, Default)]
pub struct RolloutTable {
    pools: IndexMap<PoolId, PoolTrial>,
    /// What came of earlier rollouts.
    histories: IndexMap<PoolId, Arc<ReleaseHistory>>,
}

impl RolloutTable {
    /// Begins a rollout to this release, unless it is known or a later one is. The one before is over,
    /// however far it was.
    pub fn begin(&mut self, pool: &PoolId, order: Revision, to: &str) {
        if let Some(trial) = self.trial_mut(pool, order) {
            trial.to = Some(to.into());
            self.record_end(pool);
        }
    }

    /// What is known of earlier rollouts of a pool.
    pub fn history(&self, pool: &PoolId) -> Arc<ReleaseHistory> {
        self.histories.get(pool).cloned().unwrap_or_default()
    }

    /// Merges what a peer or the store knows of rollouts up to this order.
    pub fn merge_history(&mut self, pool: &PoolId, order: Revision, history: &ReleaseHistory) {
        if history.is_empty() {
            return;
        }
        let known = Arc::make_mut(self.histories.entry(pool.clone()).or_default());
        if known.merge(history, order) {
            tracing::info!(%pool, releases = ?known, "rollout: earlier releases learned");
        }
    }

    /// How far this rollout is; `None` if that is not known yet.
    pub fn stage(&self, pool: &PoolId, order: Revision) -> Option<RolloutStage> {
        self.pools.get(pool).filter(|it| it.order == order)?.stage
    }

    /// The time since a peer last moved the rollout on; `None` if none has.
    pub fn unheard(&self, now: Duration, pool: &PoolId, order: Revision) -> Option<Duration> {
        let trial = self.pools.get(pool).filter(|it| it.order == order)?;
        trial.heard_at.map(|at| now.saturating_sub(at))
    }

    /// Whether there is still something to do or to tell peers about this rollout.
    pub fn is_active(&self, now: Duration, pool: &PoolId, order: Revision) -> bool {
        let trial = self.pools.get(pool).filter(|it| it.order == order);
        trial.and_then(|it| it.ended_at).is_none_or(|at| now < at + END_REPORT_TIME)
    }

    /// Moves a rollout on; an earlier stage than the known one changes nothing.
    pub fn advance(&mut self, now: Duration, pool: &PoolId, order: Revision, stage: RolloutStage) {
        let Some(trial) = self.trial_mut(pool, order) else { return };
        if trial.stage.is_some_and(|it| it >= stage) {
            return;
        }
        trial.stage = Some(stage);
        trial.old_busy_at = now;
        if !matches!(stage, RolloutStage::Running(_)) {
            trial.ended_at = Some(now);
        }
        tracing::info!(%pool, order = order.0, ?stage, "rollout: stage");
        self.record_end(pool);
    }

    /// Records the outcome of the current rollout of a pool, if it has ended.
    fn record_end(&mut self, pool: &PoolId) {
        let Some(PoolTrial { order, to: Some(to), stage, .. }) = self.pools.get(pool) else {
            return;
        };
        let outcome = match stage {
            Some(RolloutStage::RolledBack) => RolloutOutcome::Rejected,
            Some(RolloutStage::Completed) => RolloutOutcome::Completed,
            Some(RolloutStage::Running(_)) | None => return,
        };
        let history = self.histories.entry(pool.clone()).or_default();
        Arc::make_mut(history).record(to, *order, outcome);
    }

    /// Continues rollouts under the revisions that their orders have since the store came back from
    /// an older copy. The store may have lost how far they are, so peers are told again.
    pub fn renumber(&mut self, now: Duration, orders: &[RenumberedOrder]) {
        for it in orders {
            let trial = self.pools.get_mut(&it.pool).filter(|trial| trial.order == it.before);
            if let Some(trial) = trial {
                trial.order = it.after;
                trial.ended_at = trial.ended_at.map(|_| now);
            }
        }
    }

    /// Records how a request of this pool ended here.
    pub fn record(
        &mut self,
        pool: &PoolId,
        order: Revision,
        route: u64,
        on_new: bool,
        outcome: AttemptOutcome,
    ) {
        if let Some(trial) = self.trial_mut(pool, order) {
            trial.own.record(route, on_new, outcome);
        }
    }

    /// Merges the report of a peer with the hash `sender`. Returns whether the peer lacks a stage
    /// that is known here.
    pub fn merge(&mut self, now: Duration, sender: u64, report: &RolloutReport) -> bool {
        self.merge_history(&report.pool, report.order, &report.history);
        let before = self.stage(&report.pool, report.order);
        if let Some(stage) = report.stage {
            self.advance(now, &report.pool, report.order, stage);
        }
        let Some(trial) = self.trial_mut(&report.pool, report.order) else { return false };
        if trial.stage > before {
            trial.heard_at = Some(now);
        }
        let evidence = RolloutEvidence::from_routes(&report.evidence);
        trial.peers.insert(sender, (now, evidence));
        trial.stage > report.stage
    }

    /// The report of one rollout to send in this direction, by a daemon with these children.
    pub fn report(
        &self,
        now: Duration,
        pool: &PoolId,
        order: Revision,
        direction: GossipDirection,
        children: &[u64],
    ) -> RolloutReport {
        let trial = self.pools.get(pool).filter(|it| it.order == order);
        let evidence = trial.map(|it| match direction {
            GossipDirection::ToParent => it.own.clone(),
            GossipDirection::BetweenHubs => it.sum(now, |peer| children.contains(&peer)),
            GossipDirection::ToChild(_) => it.sum(now, |_| true),
        });
        let evidence: Vec<RouteEvidence> =
            evidence.iter().flat_map(RolloutEvidence::routes).copied().collect();
        let stage = trial.and_then(|it| it.stage);
        let history = self.history(pool).as_ref().clone();
        RolloutReport { pool: pool.clone(), order, stage, evidence, history }
    }

    /// Judges the new release by the evidence of all daemons. `from_hub` is the hash of this
    /// daemon's hub, if it has one, whose evidence covers all daemons.
    pub fn judge(
        &mut self,
        now: Duration,
        pool: &PoolId,
        order: Revision,
        from_hub: Option<u64>,
    ) -> ReleaseVerdict {
        let Some(trial) = self.trial_mut(pool, order) else { return ReleaseVerdict::default() };
        trial.peers.retain(|_, it| now < it.0 + EVIDENCE_TIMEOUT);
        let total = match from_hub.and_then(|it| trial.peers.get(&it)) {
            Some((_, evidence)) => evidence.clone(),
            None => trial.sum(now, |_| true),
        };
        let fault = trial.trial.observe(&total);
        let suspect = trial.trial.is_suspect();
        ReleaseVerdict { new_requests: total.new_requests(), suspect, fault }
    }

    /// Records whether requests run on older releases, and returns for how long none has.
    pub fn observe_old_release(
        &mut self,
        now: Duration,
        pool: &PoolId,
        order: Revision,
        busy: bool,
    ) -> Duration {
        let Some(trial) = self.trial_mut(pool, order) else { return Duration::ZERO };
        if busy {
            trial.old_busy_at = now;
        }
        now.saturating_sub(trial.old_busy_at)
    }

    /// The state of this rollout, begun anew if the known one is older; `None` if it is newer.
    fn trial_mut(&mut self, pool: &PoolId, order: Revision) -> Option<&mut PoolTrial> {
        let trial = self.pools.entry(pool.clone()).or_default();
        if trial.order > order {
            return None;
        }
        if trial.order < order {
            let replaced = std::mem::replace(trial, PoolTrial { order, ..PoolTrial::default() });
            let is_completed = replaced.stage == Some(RolloutStage::Completed);
            if let Some(to) = replaced.to.filter(|_| !is_completed) {
                let history = Arc::make_mut(self.histories.entry(pool.clone()).or_default());
                if history.record(&to, replaced.order, RolloutOutcome::Rejected) {
                    tracing::info!(%pool, release = %to, "rollout: replaced before its end");
                }
            }
        }
        Some(trial)
    }
}

impl PoolTrial {
    /// This daemon's evidence and that of the peers which are selected.
    fn sum(&self, now: Duration, selected: impl Fn(u64) -> bool) -> RolloutEvidence {
        let mut sum = self.own.clone();
        for (peer, (at, evidence)) in &self.peers {
            if selected(*peer) && now < *at + EVIDENCE_TIMEOUT {
                sum.add(evidence);
            }
        }
        sum
    }
}

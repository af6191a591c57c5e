//! Chooses the software releases that a request may run on, and records how it ended there.

use std::sync::Arc;

use ids::{PoolId, Revision};
use policy::release_history::ReleaseHistory;
use policy::rendezvous;
use policy::rollout_stage::{ALL_TRAFFIC, RolloutStage, TrafficShare};
use policy::rollout_trial::AttemptOutcome;

use crate::call::Call;
use crate::call_placement::Placement;
use crate::config::PoolRollout;
use crate::dialect::Dialect;
use crate::directory::Directory;
use crate::fleet::FleetTable;
use crate::gateway::lock;
use crate::placement::ReleaseFilter;

/// The draw that decides whether a request runs on the new release: it does if the share of its
/// traffic exceeds the draw.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ReleaseDraw(u16);

impl ReleaseDraw {
    /// A draw for a new request.
    pub(crate) fn random() -> ReleaseDraw {
        ReleaseDraw(rand::random_range(0..ALL_TRAFFIC.0))
    }

    /// The draw of a request that has failed on the new release.
    pub(crate) fn old_release() -> ReleaseDraw {
        ReleaseDraw(ALL_TRAFFIC.0)
    }

    fn selects_new(self, share: TrafficShare) -> bool {
        self.0 < share.0
    }
}

/// A rollout as a request finds it.
#[derive(Debug, Clone)]
pub(crate) struct ReleaseChoice {
    rollout: PoolRollout,
    /// `None` if it is not known how far the rollout is.
    stage: Option<RolloutStage>,
    /// What came of earlier rollouts.
    history: Arc<ReleaseHistory>,
    /// The replicas of the new release that may get the request; `None` if it stays on others.
    new_members: Option<Vec<u64>>,
}

/// Evidence about a release that a request on a replica will give.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ReleaseEvidence {
    order: Revision,
    on_new: bool,
}

impl ReleaseChoice {
    pub(crate) fn new(
        fleet: &FleetTable,
        pool: &PoolId,
        rollout: PoolRollout,
        stage: Option<RolloutStage>,
        history: Arc<ReleaseHistory>,
        draw: ReleaseDraw,
    ) -> ReleaseChoice {
        let share = match stage {
            Some(RolloutStage::Running(share)) if draw.selects_new(share) => Some(share),
            Some(RolloutStage::Completed) => Some(ALL_TRAFFIC),
            _ => None,
        };
        let new_members = share.map(|it| fleet.trial_members(pool, &rollout.to, it));
        ReleaseChoice { rollout, stage, history, new_members }
    }

    /// The releases that the request may run on, the preferred ones first.
    pub(crate) fn filters(&self, fleet: &FleetTable) -> Vec<ReleaseFilter<'_>> {
        let to = &*self.rollout.to;
        let new = self.new_members.as_ref().map(|it| ReleaseFilter::Only(to, it));
        let is_moved = matches!(
            self.stage,
            Some(RolloutStage::Running(ALL_TRAFFIC) | RolloutStage::Completed)
        );
        // A release that was rejected gets requests only if the pool has no replica of another one.
        let others = ReleaseFilter::Accepted(&self.history, Some(to));
        let accepted = ReleaseFilter::Accepted(&self.history, None);
        let mut candidates = [others, accepted].into_iter().skip(usize::from(is_moved));
        let other = candidates.find(|it| fleet.has_release(&self.rollout.pool, *it));
        let other = other.unwrap_or(ReleaseFilter::Any);
        new.into_iter().chain([other]).collect()
    }

    /// The evidence that a request on a replica of this release gives; `None` if no release is on
    /// trial. Failures of a rejected release say nothing of the old one.
    pub(crate) fn evidence(&self, release: &str) -> Option<ReleaseEvidence> {
        let on_trial = matches!(self.stage, Some(RolloutStage::Running(_)));
        let order = self.rollout.revision;
        let on_new = *self.rollout.to == *release;
        let counts = on_trial && (on_new || !self.history.is_rejected(release));
        counts.then_some(ReleaseEvidence { order, on_new })
    }
}

impl<D: Dialect, S: Directory> Call<D, S> {
    /// Records how the request ended on a replica, if a release is on trial in its pool.
    pub(crate) fn record_outcome(&mut self, placement: &Placement<D, S>, outcome: AttemptOutcome) {
        let Some(evidence) = placement.evidence else { return };
        if outcome == AttemptOutcome::Failed
            && self.gateway.relay.is_path_suspect(self.gateway.now(), &self.pool)
        {
            return;
        }
        if evidence.on_new && outcome == AttemptOutcome::Failed {
            self.release_draw = ReleaseDraw::old_release();
        }
        let route = rendezvous::hash_member(self.route.id.as_str());
        lock(&self.gateway.rollouts).record(
            &self.pool,
            evidence.order,
            route,
            evidence.on_new,
            outcome,
        );
    }
}

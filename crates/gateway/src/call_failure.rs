//! What a failed attempt means: for the replica, for a retry, and for what the caller is told.

use http::StatusCode;
use ids::{ErrorKind, RunState};
use policy::cold_pace::ColdEvidence;
use policy::retry::RetryReason;
use policy::rollout_trial::AttemptOutcome;
use web::client::CallError;

use crate::attempt_error::AttemptError;
use crate::call::{Call, MAX_UNSENT_ATTEMPTS};
use crate::call_placement::Placement;
use crate::cold_replicas;
use crate::crash_reports;
use crate::dialect::Dialect;
use crate::directory::Directory;
use crate::gateway::lock;
use crate::placement::PlacedTarget;
use crate::refusal::CallRefusal;
use crate::replica_path;

impl<D: Dialect, S: Directory> Call<D, S> {
    /// Records a failed attempt; fails with a refusal if the request is not to be sent again.
    pub(crate) fn handle_failure(
        &mut self,
        placement: &mut Placement<D, S>,
        error: &AttemptError,
    ) -> Result<(), CallRefusal> {
        placement.is_answered = matches!(
            error,
            AttemptError::Connection(CallError::NotSent(_))
                | AttemptError::Withheld(_)
                | AttemptError::NotRun(..)
        );
        if let AttemptError::Connection(CallError::NotSent(_)) = error {
            replica_path::record_failure(&self.gateway, &self.pool, placement.target.member);
        }
        let (reason, kind) = self.record_failure(placement, error);
        cold_replicas::publish(&self.gateway);
        if !placement.is_answered {
            self.record_outcome(placement, AttemptOutcome::Failed);
        }
        if let AttemptError::Connection(CallError::Broken(_) | CallError::TooLong(_)) = error {
            self.report_crash(placement);
        }
        self.excluded.push(placement.target.id.clone());
        tracing::info!(
            request = %self.head.attempt_id, target = %placement.target.id, reason = reason.code(),
            "call: attempt failed: {error}"
        );
        let refusal = CallRefusal { run: self.run, ..CallRefusal::not_run(kind) };
        let refusal = refusal.retry_after(self.retry_delay());
        let deadline_passed = self.gateway.now() >= self.deadline;
        let may_retry = match error {
            AttemptError::Connection(CallError::NotSent(_)) | AttemptError::Withheld(_) => {
                self.unsent_attempts += 1;
                self.unsent_attempts < MAX_UNSENT_ATTEMPTS
            }
            AttemptError::NotRun(..) => {
                self.unsent_attempts += 1;
                self.unsent_attempts < MAX_UNSENT_ATTEMPTS && self.gateway.spend_retry(&self.pool)
            }
            AttemptError::TooSlow => true,
            _ => self.may_run_again() && self.gateway.spend_retry(&self.pool),
        };
        if deadline_passed || !may_retry {
            return Err(self.qualify_refusal(refusal));
        }
        self.gateway.metrics.record_retry(reason.code());
        Ok(())
    }

    /// Applies a failed attempt to the replica's health and to the run state. Returns the reason
    /// for a retry, and the error for the caller if there is no retry.
    fn record_failure(
        &mut self,
        placement: &Placement<D, S>,
        error: &AttemptError,
    ) -> (RetryReason, ErrorKind) {
        let now = self.gateway.now();
        let mut fleet = lock(&self.gateway.fleet);
        match error {
            AttemptError::Connection(CallError::NotSent(_)) => {
                self.attempts -= 1;
                fleet.record_failure(now, &placement.target, true);
                (RetryReason::ConnectFailed, ErrorKind::NoTarget)
            }
            AttemptError::Withheld(reason) => {
                self.attempts -= 1;
                self.gateway.metrics.record_withheld(*reason);
                (RetryReason::TargetBusy, ErrorKind::NoTarget)
            }
            AttemptError::NotRun(status, head) => {
                self.attempts -= 1;
                let is_other =
                    head.target.as_deref().is_some_and(|it| it != placement.target.id.as_str());
                if *status == StatusCode::MISDIRECTED_REQUEST && is_other {
                    fleet.mark_leaving(&placement.target);
                    drop(fleet);
                    crash_reports::record_ended(&self.gateway, placement.target.process());
                } else if let (StatusCode::MISDIRECTED_REQUEST, Some(version), Some(prompt)) =
                    (*status, head.version, &self.prompt)
                {
                    fleet.record_weights(&placement.target, &prompt.model, version);
                } else {
                    fleet.mark_full(now, &placement.target);
                }
                (RetryReason::TargetBusy, ErrorKind::QueueFull)
            }
            AttemptError::Connection(CallError::Timeout(_)) | AttemptError::TooSlow => {
                self.run = RunState::MaybeRun;
                fleet.record_failure(now, &placement.target, false);
                (RetryReason::FirstByteTimeout, ErrorKind::TargetTimeout)
            }
            AttemptError::Connection(CallError::Broken(_) | CallError::TooLong(_)) => {
                self.run = RunState::MaybeRun;
                fleet.record_failure(now, &placement.target, false);
                let PlacedTarget { member, incarnation, .. } = placement.target;
                // It may have crashed, and be back before anybody is refused.
                fleet.record_cold(now, member, incarnation, ColdEvidence::Stopped);
                (RetryReason::BrokeEarly, ErrorKind::TargetFailed)
            }
            AttemptError::WrongAttempt
            | AttemptError::Encoded
            | AttemptError::InvalidStatus(_)
            | AttemptError::Unsealed => {
                self.run = RunState::MaybeRun;
                (RetryReason::CrossedAnswer, ErrorKind::TargetFailed)
            }
        }
    }

    /// Adapts a refusal to the run state: it must not claim that the request did not run if it may
    /// have.
    pub(crate) fn qualify_refusal(&self, refusal: CallRefusal) -> CallRefusal {
        let kind = match (self.run, refusal.kind) {
            (RunState::NotRun, kind) => kind,
            // These two kinds tell callers that the request did not run.
            (_, ErrorKind::NoTarget | ErrorKind::QueueFull) => ErrorKind::TargetFailed,
            (_, kind) => kind,
        };
        CallRefusal { kind, run: self.run, ..refusal }
    }
}

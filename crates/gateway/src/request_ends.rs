//! Records how requests to replicas ended: in their health, their recent answers and their pace.

use std::time::Duration;

use policy::cold_pace::ColdEvidence;
use policy::health::HealthState;
use policy::replica_pace::{PaceEvent, SentRequest};

use crate::fleet::FleetTable;
use crate::placement::PlacedTarget;

/// How a request ended that was sent to a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestEnd {
    Answered,
    Rejected,
    Failed,
}

impl FleetTable {
    /// Records that a replica refused a request because it is full.
    pub fn mark_full(&mut self, now: Duration, placed: &PlacedTarget) {
        if let Some(it) = self.same_incarnation(placed) {
            it.recent_answers.record(now, true);
            it.answered_at = Some(now);
            it.mark_full(now);
            self.record_cold(now, placed.member, placed.incarnation, ColdEvidence::Answered);
        }
        self.record_request_end(now, placed, RequestEnd::Rejected);
    }

    /// Records a failed request. `not_listening`: the replica is known to refuse connections.
    pub fn record_failure(&mut self, now: Duration, placed: &PlacedTarget, not_listening: bool) {
        let replica = self.replicas.get(&placed.member);
        if replica.is_some_and(|it| self.cut_pools.contains(&it.entry.pool)) {
            return;
        }
        if let Some(it) = self.same_incarnation(placed) {
            it.recent_answers.record(now, false);
            it.health.record_failure(now, not_listening);
            let is_paused = it.health.state(now) == HealthState::Paused;
            // Under overload one daemon sees time-outs while others get answers.
            if not_listening || (is_paused && self.answers_nobody(now, placed.member)) {
                self.record_cold(now, placed.member, placed.incarnation, ColdEvidence::Stopped);
            }
        }
        self.record_request_end(now, placed, RequestEnd::Failed);
    }

    /// Records an answer that shows the replica to be healthy.
    pub fn record_success(&mut self, now: Duration, placed: &PlacedTarget) {
        if let Some(it) = self.same_incarnation(placed) {
            it.recent_answers.record(now, true);
            it.answered_at = Some(now);
            it.health.record_success(None);
            self.record_cold(now, placed.member, placed.incarnation, ColdEvidence::Answered);
        }
        self.record_request_end(now, placed, RequestEnd::Answered);
    }

    /// Whether no daemon got an answer of a replica lately.
    fn answers_nobody(&self, now: Duration, member: u64) -> bool {
        let replica = self.replicas.get(&member);
        replica.is_some_and(|it| self.load(now, it).answers.answered == 0)
    }

    /// Records how a request ended. A failure that pauses an unpaced replica starts its pace.
    fn record_request_end(&mut self, now: Duration, placed: &PlacedTarget, end: RequestEnd) {
        if !self.is_pacing() {
            return;
        }
        let replica = self.replicas.get_mut(&placed.member);
        let Some(replica) = replica.filter(|it| it.entry.incarnation == placed.incarnation) else {
            return;
        };
        let request =
            SentRequest { sent_at: placed.placed_at, running: placed.load_before.running + 1 };
        let was_paced = replica.pace.allowance(now).is_some();
        let took = now.saturating_sub(placed.placed_at);
        let event = match end {
            RequestEnd::Answered => {
                let typical = self.typical_times.entry(replica.entry.pool.clone()).or_default();
                let is_plain = placed.idle_time.is_zero();
                if is_plain && !was_paced {
                    typical.record(took);
                }
                // Without an expected time only rejections and failures lower the pace.
                let plain_time = typical.expected().unwrap_or(took);
                let expected = if is_plain { plain_time } else { placed.idle_time };
                PaceEvent::Answered { request, took, expected }
            }
            RequestEnd::Rejected => PaceEvent::Rejected(request),
            RequestEnd::Failed => PaceEvent::Failed(request),
        };
        replica.pace.observe(now, event);
        if !was_paced && replica.health.state(now) == HealthState::Paused {
            replica.pace.observe(now, PaceEvent::Started);
        }
        let is_paced = replica.pace.allowance(now).is_some();
        let target = &placed.id;
        match (was_paced, is_paced) {
            (false, true) => tracing::info!(%target, ?end, "targets: replica is paced"),
            (true, false) => tracing::info!(%target, "targets: replica is no longer paced"),
            _ => {}
        }
    }
}

//! Records how requests to replicas ended: in their health, their recent answers and their pace.

use std::time::Duration;

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
            it.mark_full(now);
        }
        self.record_request_end(now, placed, RequestEnd::Rejected);
    }

    /// Records a failed request. `not_listening`: the replica is known to refuse connections.
    pub fn record_failure(&mut self, now: Duration, placed: &PlacedTarget, not_listening: bool) {
        if let Some(it) = self.same_incarnation(placed) {
            it.recent_answers.record(now, false);
            it.health.record_failure(now, not_listening);
        }
        self.record_request_end(now, placed, RequestEnd::Failed);
    }

    /// Records an answer that shows the replica to be healthy.
    pub fn record_success(&mut self, now: Duration, placed: &PlacedTarget) {
        if let Some(it) = self.same_incarnation(placed) {
            it.recent_answers.record(now, true);
            it.health.record_success(None);
        }
        self.record_request_end(now, placed, RequestEnd::Answered);
    }

    /// Records how a request ended. A failure that pauses an unpaced replica starts its pace.
    fn record_request_end(&mut self, now: Duration, placed: &PlacedTarget, end: RequestEnd) {
        if !self.is_pacing() {
            return;
        }
        let Some(replica) = self.same_incarnation(placed) else { return };
        let request =
            SentRequest { sent_at: placed.placed_at, running: placed.load_before.running + 1 };
        let was_paced = replica.pace.allowance(now).is_some();
        let took = now.saturating_sub(placed.placed_at);
        let event = match end {
            // Plain services state no expected time: only rejections and failures slow them down.
            RequestEnd::Answered if placed.idle_time.is_zero() => {
                PaceEvent::Answered { request, took, expected: took }
            }
            RequestEnd::Answered => {
                PaceEvent::Answered { request, took, expected: placed.idle_time }
            }
            RequestEnd::Rejected => PaceEvent::Rejected(request),
            RequestEnd::Failed => PaceEvent::Failed(request),
        };
        replica.pace.observe(now, event);
        if !was_paced && replica.health.state(now) == HealthState::Paused {
            replica.pace.observe(now, PaceEvent::Started);
        }
    }
}

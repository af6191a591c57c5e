//! Log lines of a request: why it got its replica, and how it was answered.

use std::time::Duration;

use http::StatusCode;
use ids::FailureDomain;
use policy::home_areas::HomeAreas;

use crate::call::Call;
use crate::dialect::Dialect;
use crate::directory::Directory;
use crate::gateway::lock;
use crate::placement::PlacedTarget;
use crate::prompt_spec::PromptSpec;

impl<D: Dialect, S: Directory> Call<D, S> {
    /// Logs what the placement was based on. The loads sum up all daemons; `load_age` is the age of
    /// the oldest peer report among them.
    pub(crate) fn log_placement(&self, target: &PlacedTarget, load_age: Duration) {
        tracing::info!(
            request = %self.head.attempt_id, target = %target.id, weights = target.weights,
            prompt = self.prompt.as_ref().map(|it| it.prompt_tokens),
            prefix = self.prompt.as_ref().and_then(PromptSpec::affinity_key),
            cached = target.cached_tokens,
            fetch_from = target.fetch_from.map(tracing::field::display),
            running = target.load_before.running, pending = target.load_before.pending_tokens,
            load_age_ms = load_age.as_millis() as u64,
            expected_ms = target.expected.as_millis() as u64, "call: placed"
        );
    }

    /// Logs how many replicas of the pool are listed, and what excludes the others.
    pub(crate) fn log_no_replica(&self, now: Duration, areas: &HomeAreas) {
        let counts = lock(&self.gateway.fleet).count_replicas(now, Some(&self.pool));
        tracing::info!(
            request = %self.head.attempt_id, pool = %self.pool, listed = counts.listed,
            open = counts.available, leaving = counts.leaving, loading = counts.loading,
            paused = counts.paused, held_off = counts.held_off, evacuated = counts.evacuated,
            paced = counts.paced,
            sent_before = self.unsent_attempts, "call: no replica available"
        );
        let HomeAreas::Only(domains) = areas else { return };
        let text = match domains.is_empty() {
            true => "call: no failure domain is in a region that its route and its customer allow",
            false => {
                "call: no replica available in the regions that its route and its customer allow"
            }
        };
        tracing::info!(
            request = %self.head.attempt_id, route = %self.route.id,
            customer = self.customer.as_ref().map(tracing::field::display),
            domains = ?domains.iter().map(FailureDomain::as_str).collect::<Vec<_>>(), "{text}"
        );
    }

    /// Logs and counts a replica's answer, with the time since the request arrived.
    pub(crate) fn log_answer(&self, target: &PlacedTarget, status: StatusCode) {
        let after = self.gateway.now().saturating_sub(self.started_at);
        self.gateway.metrics.record_answer(status.as_u16(), after);
        tracing::info!(
            request = %self.head.attempt_id, route = %self.route.id, target = %target.id,
            status = status.as_u16(), ms = after.as_millis() as u64, "call: answered"
        );
    }
}

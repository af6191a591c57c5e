//! The log lines of a request: what decided on its replica, and how it was answered.

use std::time::Duration;

use http::StatusCode;

use crate::call::Call;
use crate::dialect::Dialect;
use crate::directory::Directory;
use crate::gateway::lock;
use crate::placement::PlacedTarget;
use crate::prompt_spec::PromptSpec;

impl<D: Dialect, S: Directory> Call<D, S> {
    /// What decided on a place: loads of all daemons and how old the peers' part may be.
    pub(crate) fn log_place(&self, target: &PlacedTarget, load_age: Duration) {
        tracing::info!(
            request = %self.head.attempt_id, target = %target.id, weights = target.weights,
            prompt = self.prompt.as_ref().map(|it| it.prompt_tokens),
            prefix = self.prompt.as_ref().and_then(PromptSpec::home_key),
            cached = target.cached_tokens, fetch_from = target.fetch_from.map(tracing::field::display),
            running = target.load_before.running, pending = target.load_before.pending_tokens,
            load_age_ms = load_age.as_millis() as u64,
            expected_ms = target.expected.as_millis() as u64, "call: placed"
        );
    }

    /// Why no replica could take the request.
    pub(crate) fn log_no_replica(&self, now: Duration) {
        let state = lock(&self.gateway.fleet).pool_state(now, &self.pool);
        tracing::info!(
            request = %self.head.attempt_id, pool = %self.pool, listed = state.listed,
            open = state.available, leaving = state.leaving, loading = state.loading,
            paused = state.paused, sent_before = self.unsent, "call: no replica"
        );
    }

    pub(crate) fn log_answer(&self, target: &PlacedTarget, status: StatusCode) {
        let after = self.gateway.now().saturating_sub(self.began);
        self.gateway.metrics.record_answer(status.as_u16(), after);
        tracing::info!(
            request = %self.head.attempt_id, route = %self.route.id, target = %target.id,
            status = status.as_u16(), ms = after.as_millis() as u64, "call: answered"
        );
    }
}

//! Handles a model request up to the start of its answer: checks, rate limit and attempts.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use catalog::{CatalogState, Customer, Route, TrafficClass};
use dropshot::Body;
use http::{Response, StatusCode};
use ids::{
    CustomerId, ErrorKind, Incarnation, KeyDigest, Refusal, RequestId, RouteId, RunState,
    TokenCount, VersionNumber,
};
use policy::chain::{self, ChainScope};
use policy::quarantine::{Fingerprint, QuarantineState, Strike};
use policy::rendezvous;
use policy::retry::RetryReason;
use targets::{AnswerHead, ExchangeError};
use xxhash_rust::xxh3;

use crate::caller_key;
use crate::front::CallerRequest;
use crate::isolation::{self, IsolationReservation};
use crate::model_body::{self, ModelApi, ModelBody};
use crate::model_exchange::{AttemptError, StartedAnswer, StartedStream};
use crate::model_stream;
use crate::moves;
use crate::place::{PlacedTarget, PlacementQuery};
use crate::rate_limit::{self, RateGrant};
use crate::router::{Router, Scheduler};

/// Maximum attempts of one request, including those that replay its stream.
const MAX_ATTEMPTS: u32 = 4;

/// A model request in progress.
#[derive(Debug)]
pub(crate) struct ModelRequest {
    pub(crate) router: Arc<Router>,
    pub(crate) scheduler: Arc<Scheduler>,
    pub(crate) id: RequestId,
    pub(crate) body: ModelBody,
    pub(crate) engine_body: Bytes,
    pub(crate) customer: Option<CustomerId>,
    pub(crate) key: Option<KeyDigest>,
    pub(crate) route: RouteId,
    pub(crate) query: PlacementQuery,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) started_at: Instant,
    /// Whether an engine may have run it.
    pub(crate) run: RunState,
    /// The replica reserved for its current attempt; only if a replica crashed while running it.
    reservation: Option<IsolationReservation>,
    attempt_count: u32,
}

/// Answers a model request: checks it, takes its tokens from the customer's rate and runs it.
pub(crate) async fn handle(
    router: &Arc<Router>,
    catalog: &CatalogState,
    api: ModelApi,
    request: CallerRequest,
) -> Result<Response<Body>, Refusal> {
    let limit = router.settings.limits.default_max_tokens;
    let body = model_body::parse_body(api, &request.body, limit)?;
    let route = catalog.model_route(&body.model);
    let route = route.ok_or_else(|| {
        let detail = format!("no model {:?}", body.model);
        Refusal::not_run(ErrorKind::RouteUnknown).detail(detail)
    })?;
    let customer = caller_key::resolve_customer(catalog, route, request.key.as_ref())?;
    let scheduler = router.scheduler(&route.pool).ok_or(Refusal::not_run(ErrorKind::NoTarget))?;
    let fingerprint = request_fingerprint(customer, route, &request.body);
    check_quarantine(router, fingerprint, RunState::NotRun)?;
    let prompt_tokens = chain::estimate_tokens(body.prompt.len());
    let cost = TokenCount(prompt_tokens + body.max_tokens);
    let grant = match customer {
        Some(it) => Some(rate_limit::take_tokens(router, it, cost.0).await?),
        None => None,
    };
    let query = placement_query(router, &scheduler, route, customer, &body, cost);
    let customer = customer.map(|it| it.id.clone());
    let engine_body = body.engine_body(customer.as_ref(), query.deferrable);
    let model = ModelRequest {
        router: router.clone(),
        scheduler,
        id: request.id,
        engine_body,
        body,
        customer,
        key: request.key,
        route: route.id.clone(),
        query,
        fingerprint,
        started_at: request.started_at,
        run: RunState::NotRun,
        reservation: None,
        attempt_count: 0,
    };
    let res = if model.body.stream {
        model.answer_stream(grant).await
    } else {
        model.answer_buffered(grant).await
    };
    let outcome = if res.is_ok() { "answered" } else { "refused" };
    router.metrics.record_request(route.id.as_str(), outcome);
    res
}

impl ModelRequest {
    async fn answer_stream(mut self, grant: Option<RateGrant>) -> Result<Response<Body>, Refusal> {
        self.scheduler.earn_retry();
        match self.start_stream().await {
            Ok(started) => {
                self.record_first_token(&started.placement.target, started.head);
                Ok(model_stream::stream_response(self, started, grant))
            }
            Err(refusal) => Err(self.refund_refused(refusal, grant).await),
        }
    }

    async fn answer_buffered(
        mut self,
        grant: Option<RateGrant>,
    ) -> Result<Response<Body>, Refusal> {
        self.scheduler.earn_retry();
        match self.run_attempts(ModelRequest::call_buffered).await {
            Ok(started) => {
                self.record_first_token(&started.placement.target, started.head);
                self.finish(&started.placement.target);
                let used = parse_used_tokens(&started.answer);
                self.refund_unused(grant, used).await;
                Ok(buffered_response(&self, &started))
            }
            Err(refusal) => Err(self.refund_refused(refusal, grant).await),
        }
    }

    /// Opens a stream on a replica and waits for its first event; retries on other replicas.
    pub(crate) async fn start_stream(&mut self) -> Result<StartedAnswer<StartedStream>, Refusal> {
        self.run_attempts(ModelRequest::open_stream).await
    }

    /// Makes attempts with `send` until a replica starts an answer, or until no retry is allowed.
    async fn run_attempts<A>(
        &mut self,
        send: impl AsyncFn(
            &ModelRequest,
            &PlacedTarget,
            &RequestId,
        ) -> Result<(AnswerHead, A), AttemptError>,
    ) -> Result<StartedAnswer<A>, Refusal> {
        loop {
            let timeout = self.queue_timeout();
            let state = check_quarantine(&self.router, self.fingerprint, self.run)?;
            self.query.isolated = state == QuarantineState::Isolated;
            self.reservation = None;
            if self.query.isolated {
                let reservation = isolation::reserve_replica(
                    &self.router,
                    &self.scheduler,
                    self.fingerprint,
                    timeout,
                );
                self.reservation =
                    Some(reservation.await.map_err(|it| Refusal { run: self.run, ..it })?);
            }
            self.query.only_target = self.reservation.as_ref().map(|it| it.target.clone());
            let placement = self.scheduler.place(self.query.clone(), timeout).await;
            let placement = placement.map_err(|it| Refusal { run: self.run, ..it })?;
            let attempt = self.router.new_attempt_id();
            tracing::debug!(
                request = %self.id, %attempt, target = %placement.target.id,
                "model: sending attempt"
            );
            self.attempt_count += 1;
            let sent_at = Instant::now();
            match send(self, &placement.target, &attempt).await {
                Ok((head, answer)) => {
                    let first_token = Some(sent_at.elapsed());
                    self.scheduler.record_success(
                        &placement.target,
                        head,
                        &self.query,
                        first_token,
                    );
                    let version = head.version.unwrap_or(placement.target.version);
                    self.record_version_sample(version, false, first_token);
                    return Ok(StartedAnswer { placement, attempt, head, answer });
                }
                Err(error) => self.handle_failure(&placement.target, &attempt, error).await?,
            }
        }
    }

    /// Records a failed attempt. Fails with a refusal if the request must not be retried.
    async fn handle_failure(
        &mut self,
        target: &PlacedTarget,
        attempt: &RequestId,
        error: AttemptError,
    ) -> Result<(), Refusal> {
        let (reason, kind) = match &error {
            AttemptError::Exchange(ExchangeError::NotSent(_)) => {
                self.scheduler.record_failure(&target.id, true);
                (RetryReason::ConnectFailed, ErrorKind::TargetFailed)
            }
            AttemptError::Exchange(error) => {
                self.run = RunState::MaybeRun;
                self.handle_broken_answer(target, attempt, error).await;
                match error {
                    ExchangeError::Timeout => {
                        (RetryReason::FirstByteTimeout, ErrorKind::TargetTimeout)
                    }
                    ExchangeError::WrongAttempt => {
                        (RetryReason::CrossedAnswer, ErrorKind::TargetFailed)
                    }
                    _ => (RetryReason::BrokeEarly, ErrorKind::TargetFailed),
                }
            }
            AttemptError::Status(status, body, _) if is_caller_error(*status) => {
                let detail = String::from_utf8_lossy(body).chars().take(500).collect::<String>();
                return Err(Refusal::not_run(ErrorKind::BadRequest).detail(detail));
            }
            AttemptError::Status(status, _, head) => {
                self.scheduler.record_answer_head(&target.id, *head);
                let busy = matches!(status.as_u16(), 429 | 503);
                if !busy {
                    self.run = RunState::MaybeRun;
                    self.record_version_sample(head.version.unwrap_or(target.version), true, None);
                }
                self.scheduler.record_failure(&target.id, false);
                let reason = if busy { RetryReason::TargetBusy } else { RetryReason::TargetError };
                (reason, ErrorKind::TargetFailed)
            }
        };
        self.query.avoid.push(target.id.clone());
        if self.attempt_count >= MAX_ATTEMPTS || !self.scheduler.spend_retry() {
            return Err(Refusal { run: self.run, ..Refusal::not_run(kind).retry_after(1) });
        }
        self.router.metrics.record_retry(reason);
        tracing::info!(
            request = %self.id, target = %target.id, reason = reason.code(),
            "model: attempt failed, retrying"
        );
        Ok(())
    }

    /// Records an attempt's result for the version that it ran on, and reports a fault of the
    /// version that this reveals.
    fn record_version_sample(
        &self,
        version: VersionNumber,
        failed: bool,
        latency: Option<Duration>,
    ) {
        let fault =
            self.scheduler.record_version_sample(self.route.as_str(), version, failed, latency);
        moves::report_fault(&self.router, fault);
    }

    /// Checks a replica whose answer broke off. If it is down or has restarted, records a crash
    /// against the request; otherwise cancels the attempt there.
    pub(crate) async fn handle_broken_answer(
        &self,
        target: &PlacedTarget,
        attempt: &RequestId,
        error: &ExchangeError,
    ) {
        let incarnation = target.incarnation.or_else(|| self.scheduler.incarnation(&target.id));
        let status = self.router.target_client.status(target.address).await;
        if !matches!(error, ExchangeError::WrongAttempt) {
            // The replica may have switched versions since the request was placed.
            let version = status.as_ref().map_or(target.version, |it| it.version);
            self.record_version_sample(version, true, None);
        }
        match status {
            Err(ExchangeError::NotSent(_)) => {
                self.scheduler.record_failure(&target.id, true);
                self.record_crash(target).await;
            }
            Ok(status) if has_restarted(incarnation, status.incarnation) => {
                self.scheduler.record_status(&target.id, status);
                self.record_crash(target).await;
            }
            _ => {
                self.scheduler.record_failure(&target.id, false);
                self.cancel(target, attempt).await;
            }
        }
    }

    /// Asks the engine to stop an attempt whose answer is no longer needed.
    pub(crate) async fn cancel(&self, target: &PlacedTarget, attempt: &RequestId) {
        if let Err(error) = self.router.target_client.cancel(target.address, attempt).await {
            tracing::debug!(
                request = %self.id,
                "model: attempt not cancelled, the engine may still run it: {error}"
            );
        }
    }

    /// Records that the request completed: a suspect that ran in isolation is cleared.
    pub(crate) fn finish(&self, target: &PlacedTarget) {
        if self.query.isolated {
            self.router.lock_quarantine().clear(self.fingerprint);
        }
        tracing::debug!(request = %self.id, target = %target.id, "model: completed");
    }

    /// Refunds the tokens that were granted but not used; nothing if the use is not known.
    pub(crate) async fn refund_unused(&self, grant: Option<RateGrant>, used: Option<u64>) {
        if let (Some(grant), Some(used)) = (grant, used) {
            rate_limit::refund_unused(&self.router, grant, used).await;
        }
    }

    /// Refunds all tokens if nothing ran, and passes the refusal on.
    async fn refund_refused(&self, refusal: Refusal, grant: Option<RateGrant>) -> Refusal {
        let used = (refusal.run == RunState::NotRun).then_some(0);
        self.refund_unused(grant, used).await;
        refusal
    }

    /// Records that the replica crashed while running this request.
    async fn record_crash(&self, target: &PlacedTarget) {
        let member = rendezvous::hash_member(target.id.as_str());
        let strike = Strike { fingerprint: self.fingerprint, member };
        tracing::warn!(
            request = %self.id, target = %target.id,
            "model: target crashed while running the request"
        );
        self.router.record_strike(strike).await;
    }

    /// The longest wait for a slot, by the route's traffic class.
    fn queue_timeout(&self) -> Duration {
        let timeouts = &self.router.settings.timeouts;
        match self.query.deferrable {
            true => timeouts.deferrable_queue_ms.duration(),
            false => timeouts.counter_queue_ms.duration(),
        }
    }

    /// Records the time to the first token and the cached share of the prompt.
    fn record_first_token(&self, target: &PlacedTarget, head: AnswerHead) {
        let customer = self.customer.as_ref().map_or("-", |it| it.as_str());
        let metrics = &self.router.metrics;
        metrics.record_first_token(customer, self.route.as_str(), self.started_at.elapsed());
        let cached = head.cached_tokens.unwrap_or(0);
        metrics.record_prompt(self.scheduler.id.as_str(), self.query.tokens, cached);
        tracing::debug!(request = %self.id, target = %target.id, cached, "model: first token");
    }
}

/// Refuses a request that is quarantined, with `run` as its run state; else returns its state.
fn check_quarantine(
    router: &Router,
    fingerprint: Fingerprint,
    run: RunState,
) -> Result<QuarantineState, Refusal> {
    let state = router.lock_quarantine().state(router.now(), fingerprint);
    if state == QuarantineState::Quarantined {
        return Err(Refusal { run, ..Refusal::not_run(ErrorKind::Quarantined) });
    }
    Ok(state)
}

/// Builds the placement query, with the prompt hashed under each version that may run it.
fn placement_query(
    router: &Router,
    scheduler: &Scheduler,
    route: &Route,
    customer: Option<&Customer>,
    body: &ModelBody,
    cost: TokenCount,
) -> PlacementQuery {
    let piece_bytes = router.settings.traffic.piece_tokens as usize * chain::BYTES_PER_TOKEN;
    let scope =
        |version| ChainScope { customer: customer.map(|it| &it.id), pool: &scheduler.id, version };
    let chains = scheduler
        .versions()
        .into_iter()
        .map(|it| (it, chain::hash_prefixes(scope(it), body.prompt.as_bytes(), piece_bytes)))
        .collect();
    PlacementQuery {
        customer: customer.map(|it| it.id.clone()),
        weight: customer.map_or(1, |it| it.weight),
        deferrable: route.class == TrafficClass::Deferrable,
        cost: cost.0 as f64,
        tokens: chain::estimate_tokens(body.prompt.len()),
        chains,
        isolated: false,
        only_version: None,
        only_target: None,
        avoid: Vec::new(),
    }
}

/// Hashes the body, customer and route, so that a request that is sent again is recognized.
fn request_fingerprint(customer: Option<&Customer>, route: &Route, body: &[u8]) -> Fingerprint {
    let scope = customer.map_or("", |it| it.id.as_str());
    let seed =
        xxh3::xxh3_64_with_seed(scope.as_bytes(), xxh3::xxh3_64(route.id.as_str().as_bytes()));
    Fingerprint(xxh3::xxh3_64_with_seed(body, seed))
}

/// Whether a replica is known to have restarted since the incarnation `before`.
fn has_restarted(before: Option<Incarnation>, now: Incarnation) -> bool {
    before.is_some_and(|it| it != now)
}

/// Whether an engine's error status is due to the caller's request, so that no retry helps.
fn is_caller_error(status: StatusCode) -> bool {
    status.is_client_error() && !matches!(status.as_u16(), 401 | 403 | 408 | 429)
}

/// The total tokens that a buffered answer reports as its usage.
fn parse_used_tokens(answer: &[u8]) -> Option<u64> {
    let value: serde_json::Value = serde_json::from_slice(answer).ok()?;
    value.get("usage")?.get("total_tokens")?.as_u64()
}

/// The caller's answer: the engine's under the caller's request id.
fn buffered_response(model: &ModelRequest, started: &StartedAnswer<Bytes>) -> Response<Body> {
    let body = match serde_json::from_slice::<serde_json::Value>(&started.answer) {
        Ok(mut value) => {
            value["id"] = model.id.as_str().into();
            serde_json::to_vec(&value).unwrap_or_default().into()
        }
        Err(_) => started.answer.clone(),
    };
    let mut response = Response::new(Body::with_content(body));
    let headers = response.headers_mut();
    let json = http::HeaderValue::from_static("application/json");
    headers.insert(http::header::CONTENT_TYPE, json);
    model_stream::add_target_headers(headers, &started.placement.target, started.head);
    response
}

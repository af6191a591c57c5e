//! One model request: from the caller's body to the first piece of an answer.

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
use targets::{AnswerLabels, ExchangeError};
use xxhash_rust::xxh3;

use crate::caller_key;
use crate::front::CallerRequest;
use crate::isolation::{self, IsolationReservation};
use crate::model_body::{self, ModelApi, ModelBody};
use crate::model_exchange::{AttemptError, StartedAnswer, StartedStream};
use crate::model_stream;
use crate::moves;
use crate::placement_query::{PlacedTarget, PlacementQuery};
use crate::rate_limit::{self, RateGrant};
use crate::router::{Router, Scheduler};

/// Most attempts of one request before its first piece.
const MAX_ATTEMPTS: u32 = 4;

/// A model request under way.
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
    pub(crate) place: PlacementQuery,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) began: Instant,
    pub(crate) run: RunState,
    /// Its turn on a replica without other suspects, once it was struck.
    turn: Option<IsolationReservation>,
    attempts: u32,
}

/// Serves a model request.
pub(crate) async fn handle(
    router: &Arc<Router>,
    catalog: &CatalogState,
    api: ModelApi,
    request: CallerRequest,
) -> Result<Response<Body>, Refusal> {
    let limit = router.settings.limits.default_max_tokens;
    let body = model_body::read_body(api, &request.body, limit)?;
    let route = catalog.model_route(&body.model);
    let route = route.ok_or_else(|| {
        let detail = format!("no model {:?}", body.model);
        Refusal::not_run(ErrorKind::RouteUnknown).detail(detail)
    })?;
    let customer = caller_key::resolve_customer(catalog, route, request.key.as_ref())?;
    let scheduler = router.scheduler(&route.pool).ok_or(Refusal::not_run(ErrorKind::NoTarget))?;
    let fingerprint = fingerprint(customer, route, &request.body);
    check_standing(router, fingerprint, RunState::NotRun)?;
    let prompt_tokens = chain::estimate_tokens(body.prompt.len());
    let cost = TokenCount(prompt_tokens + body.max_tokens);
    let ticket = match customer {
        Some(it) => Some(rate_limit::take_tokens(router, it, cost.0).await?),
        None => None,
    };
    let place = place_request(router, &scheduler, route, customer, &body, cost);
    let customer = customer.map(|it| it.id.clone());
    let engine_body = body.engine_body(customer.as_ref(), place.deferrable);
    let model = ModelRequest {
        router: router.clone(),
        scheduler,
        id: request.id,
        engine_body,
        body,
        customer,
        key: request.key,
        route: route.id.clone(),
        place,
        fingerprint,
        began: request.began,
        run: RunState::NotRun,
        turn: None,
        attempts: 0,
    };
    let res = if model.body.stream {
        model.answer_stream(ticket).await
    } else {
        model.answer_whole(ticket).await
    };
    let outcome = if res.is_ok() { "answered" } else { "refused" };
    router.metrics.record_request(route.id.as_str(), outcome);
    res
}

impl ModelRequest {
    async fn answer_stream(mut self, ticket: Option<RateGrant>) -> Result<Response<Body>, Refusal> {
        self.scheduler.earn_retry();
        match self.begin_stream().await {
            Ok(begun) => {
                self.observe_first(&begun.slot.target, begun.labels);
                Ok(model_stream::stream_answer(self, begun, ticket))
            }
            Err(refusal) => Err(self.refuse(refusal, ticket).await),
        }
    }

    async fn answer_whole(mut self, ticket: Option<RateGrant>) -> Result<Response<Body>, Refusal> {
        self.scheduler.earn_retry();
        match self.attempts(ModelRequest::call_whole).await {
            Ok(begun) => {
                self.observe_first(&begun.slot.target, begun.labels);
                self.finish(&begun.slot.target);
                let used = used_tokens(&begun.answer);
                self.settle(ticket, used).await;
                Ok(whole_response(&self, &begun))
            }
            Err(refusal) => Err(self.refuse(refusal, ticket).await),
        }
    }

    /// Opens a stream on some replica and waits for its first event.
    pub(crate) async fn begin_stream(&mut self) -> Result<StartedAnswer<StartedStream>, Refusal> {
        self.attempts(ModelRequest::open_stream).await
    }

    /// Tries replicas until one begins an answer.
    async fn attempts<A>(
        &mut self,
        run: impl AsyncFn(
            &ModelRequest,
            &PlacedTarget,
            &RequestId,
        ) -> Result<(AnswerLabels, A), AttemptError>,
    ) -> Result<StartedAnswer<A>, Refusal> {
        loop {
            let wait = self.queue_wait();
            let standing = check_standing(&self.router, self.fingerprint, self.run)?;
            self.place.isolated = standing == QuarantineState::Isolated;
            self.turn = None;
            if self.place.isolated {
                let turn = isolation::reserve_replica(
                    &self.router,
                    &self.scheduler,
                    self.fingerprint,
                    wait,
                );
                self.turn = Some(turn.await.map_err(|it| Refusal { run: self.run, ..it })?);
            }
            self.place.only_target = self.turn.as_ref().map(|it| it.target.clone());
            let slot = self.scheduler.place(self.place.clone(), wait).await;
            let slot = slot.map_err(|it| Refusal { run: self.run, ..it })?;
            let attempt = self.router.new_attempt_id();
            tracing::debug!(
                request = %self.id, %attempt, target = %slot.target.id, "model: attempt"
            );
            self.attempts += 1;
            let began = Instant::now();
            match run(self, &slot.target, &attempt).await {
                Ok((labels, answer)) => {
                    let first = Some(began.elapsed());
                    self.scheduler.record_success(&slot.target, labels, &self.place, first);
                    let version = labels.version.unwrap_or(slot.target.version);
                    self.see_version(version, false, first);
                    return Ok(StartedAnswer { slot, attempt, labels, answer });
                }
                Err(fault) => self.after_fault(&slot.target, &attempt, fault).await?,
            }
        }
    }

    /// Records a failed attempt; an error if the request is not to be tried again.
    async fn after_fault(
        &mut self,
        placed: &PlacedTarget,
        attempt: &RequestId,
        fault: AttemptError,
    ) -> Result<(), Refusal> {
        let (reason, kind) = match &fault {
            AttemptError::Exchange(ExchangeError::NotSent(_)) => {
                self.scheduler.record_failure(&placed.id, true);
                (RetryReason::ConnectFailed, ErrorKind::TargetFailed)
            }
            AttemptError::Exchange(error) => {
                self.run = RunState::MaybeRun;
                self.after_break(placed, attempt, error).await;
                match error {
                    ExchangeError::Timeout => {
                        (RetryReason::FirstByteTimeout, ErrorKind::TargetTimeout)
                    }
                    ExchangeError::Crossed => (RetryReason::CrossedAnswer, ErrorKind::TargetFailed),
                    _ => (RetryReason::BrokeEarly, ErrorKind::TargetFailed),
                }
            }
            AttemptError::Status(status, body, _) if is_callers_fault(*status) => {
                let detail = String::from_utf8_lossy(body).chars().take(500).collect::<String>();
                return Err(Refusal::not_run(ErrorKind::BadRequest).detail(detail));
            }
            AttemptError::Status(status, _, labels) => {
                self.scheduler.record_labels(&placed.id, *labels);
                let busy = matches!(status.as_u16(), 429 | 503);
                if !busy {
                    self.run = RunState::MaybeRun;
                    self.see_version(labels.version.unwrap_or(placed.version), true, None);
                }
                self.scheduler.record_failure(&placed.id, false);
                let reason = if busy { RetryReason::TargetBusy } else { RetryReason::TargetError };
                (reason, ErrorKind::TargetFailed)
            }
        };
        self.place.avoid.push(placed.id.clone());
        if self.attempts >= MAX_ATTEMPTS || !self.scheduler.spend_retry() {
            return Err(Refusal { run: self.run, ..Refusal::not_run(kind).retry_after(1) });
        }
        self.router.metrics.record_retry(reason);
        tracing::info!(
            request = %self.id, target = %placed.id, reason = reason.code(), "model: retry"
        );
        Ok(())
    }

    /// Evidence about the version that an attempt ran on.
    fn see_version(&self, version: VersionNumber, failed: bool, latency: Option<Duration>) {
        let found =
            self.scheduler.record_version_sample(self.route.as_str(), version, failed, latency);
        moves::report_fault(&self.router, found);
    }

    /// Looks at a replica whose answer broke: a crash is charged to the request.
    pub(crate) async fn after_break(
        &self,
        placed: &PlacedTarget,
        attempt: &RequestId,
        error: &ExchangeError,
    ) {
        let before = placed.incarnation.or_else(|| self.scheduler.incarnation(&placed.id));
        let status = self.router.engines.status(placed.address).await;
        if !matches!(error, ExchangeError::Crossed) {
            // The replica may have changed its version since the request was placed.
            let version = status.as_ref().map_or(placed.version, |it| it.version);
            self.see_version(version, true, None);
        }
        match status {
            Err(ExchangeError::NotSent(_)) => {
                self.scheduler.record_failure(&placed.id, true);
                self.strike(placed).await;
            }
            Ok(status) if is_new_life(before, status.incarnation) => {
                self.scheduler.record_status(&placed.id, status);
                self.strike(placed).await;
            }
            _ => {
                self.scheduler.record_failure(&placed.id, false);
                self.cancel(placed, attempt).await;
            }
        }
    }

    /// Tells the engine that nobody waits for an attempt any more.
    pub(crate) async fn cancel(&self, placed: &PlacedTarget, attempt: &RequestId) {
        if let Err(error) = self.router.engines.cancel(placed.address, attempt).await {
            tracing::debug!(request = %self.id, "model: not cancelled: {error}");
        }
    }

    /// The request ran to its end.
    pub(crate) fn finish(&self, placed: &PlacedTarget) {
        if self.place.isolated {
            self.router.lock_quarantine().clear(self.fingerprint);
        }
        tracing::debug!(request = %self.id, target = %placed.id, "model: done");
    }

    /// Gives back the tokens that were not used.
    pub(crate) async fn settle(&self, ticket: Option<RateGrant>, used: Option<u64>) {
        if let (Some(ticket), Some(used)) = (ticket, used) {
            rate_limit::refund_unused(&self.router, ticket, used).await;
        }
    }

    async fn refuse(&self, refusal: Refusal, ticket: Option<RateGrant>) -> Refusal {
        let used = (refusal.run == RunState::NotRun).then_some(0);
        self.settle(ticket, used).await;
        refusal
    }

    async fn strike(&self, placed: &PlacedTarget) {
        let member = rendezvous::hash_member(placed.id.as_str());
        let strike = Strike { fingerprint: self.fingerprint, member };
        tracing::warn!(request = %self.id, target = %placed.id, "model: target crashed");
        self.router.record_strike(strike).await;
    }

    fn queue_wait(&self) -> Duration {
        let timeouts = &self.router.settings.timeouts;
        match self.place.deferrable {
            true => timeouts.deferrable_queue_ms.duration(),
            false => timeouts.counter_queue_ms.duration(),
        }
    }

    fn observe_first(&self, placed: &PlacedTarget, labels: AnswerLabels) {
        let customer = self.customer.as_ref().map_or("-", |it| it.as_str());
        let metrics = &self.router.metrics;
        metrics.record_first_token(customer, self.route.as_str(), self.began.elapsed());
        let cached = labels.cached_tokens.unwrap_or(0);
        metrics.record_prompt(self.scheduler.id.as_str(), self.place.tokens, cached);
        tracing::debug!(request = %self.id, target = %placed.id, cached, "model: first token");
    }
}

fn check_standing(
    router: &Router,
    fingerprint: Fingerprint,
    run: RunState,
) -> Result<QuarantineState, Refusal> {
    let standing = router.lock_quarantine().state(router.now(), fingerprint);
    if standing == QuarantineState::Quarantined {
        return Err(Refusal { run, ..Refusal::not_run(ErrorKind::Quarantined) });
    }
    Ok(standing)
}

fn place_request(
    router: &Router,
    scheduler: &Scheduler,
    route: &Route,
    customer: Option<&Customer>,
    body: &ModelBody,
    cost: TokenCount,
) -> PlacementQuery {
    let piece = router.settings.traffic.piece_tokens as usize * chain::BYTES_PER_TOKEN;
    let scope =
        |version| ChainScope { customer: customer.map(|it| &it.id), pool: &scheduler.id, version };
    let chains = scheduler
        .versions()
        .into_iter()
        .map(|it| (it, chain::hash_prefixes(scope(it), body.prompt.as_bytes(), piece)))
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

fn fingerprint(customer: Option<&Customer>, route: &Route, body: &[u8]) -> Fingerprint {
    let scope = customer.map_or("", |it| it.id.as_str());
    let seed =
        xxh3::xxh3_64_with_seed(scope.as_bytes(), xxh3::xxh3_64(route.id.as_str().as_bytes()));
    Fingerprint(xxh3::xxh3_64_with_seed(body, seed))
}

fn is_new_life(before: Option<Incarnation>, now: Incarnation) -> bool {
    before.is_some_and(|it| it != now)
}

fn is_callers_fault(status: StatusCode) -> bool {
    status.is_client_error() && !matches!(status.as_u16(), 401 | 403 | 408 | 429)
}

/// The tokens an answer says it used.
fn used_tokens(answer: &[u8]) -> Option<u64> {
    let value: serde_json::Value = serde_json::from_slice(answer).ok()?;
    value.get("usage")?.get("total_tokens")?.as_u64()
}

fn whole_response(model: &ModelRequest, begun: &StartedAnswer<Bytes>) -> Response<Body> {
    let body = match serde_json::from_slice::<serde_json::Value>(&begun.answer) {
        Ok(mut value) => {
            value["id"] = model.id.as_str().into();
            serde_json::to_vec(&value).unwrap_or_default().into()
        }
        Err(_) => begun.answer.clone(),
    };
    let mut response = Response::new(Body::with_content(body));
    let headers = response.headers_mut();
    let json = http::HeaderValue::from_static("application/json");
    headers.insert(http::header::CONTENT_TYPE, json);
    model_stream::label_answer(headers, &begun.slot.target, begun.labels);
    response
}

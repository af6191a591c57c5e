//! One call of a plain service: at most one run if it may not be repeated.

use std::sync::Arc;

use bytes::Bytes;
use catalog::{Customer, Route, RouteKind, TrafficClass};
use control::{ClaimHandle, ClaimResult};
use dropshot::Body;
use http::{HeaderValue, Request, Response, StatusCode};
use ids::{ErrorKind, Refusal, RequestId, RunState};
use indexmap::IndexMap;
use peers::{PeerRequest, PeerResponse};
use policy::claim::{AttemptStatus, ClaimRow, ClaimStage, KeptAnswer};
use policy::retry::RetryReason;
use ports::SystemClock;
use sha2::{Digest, Sha256};
use targets::{AnswerLabels, ExchangeError};
use web::client::Connection;

use crate::front::CallerRequest;
use crate::placement_query::PlacementQuery;
use crate::rate_limit;
use crate::router::{Router, Scheduler, unix_time_s};
use crate::slot::Placement;

/// Most targets tried for one call.
const MAX_ATTEMPTS: usize = 4;
/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// A call under way.
struct ServiceCall {
    router: Arc<Router>,
    scheduler: Arc<Scheduler>,
    request: CallerRequest,
    place: PlacementQuery,
    repeatable: bool,
}

/// Serves a call of a plain service.
pub(crate) async fn handle(
    router: &Arc<Router>,
    route: &Route,
    customer: Option<Customer>,
    idempotency: Option<HeaderValue>,
    request: CallerRequest,
) -> Result<Response<Body>, Refusal> {
    let RouteKind::Service { repeatable, cost, .. } = &route.kind else {
        return Err(Refusal::not_run(ErrorKind::Internal));
    };
    let key = idempotency_key(idempotency.as_ref())?;
    let repeatable = repeatable.iter().any(|it| **it == *request.parts.method.as_str());
    let key = key.filter(|_| !repeatable);
    let unread = |it: Refusal| if key.is_some() { it.claim_unread() } else { it };
    let scheduler = router.scheduler(&route.pool);
    let scheduler = scheduler.ok_or_else(|| unread(Refusal::not_run(ErrorKind::NoTarget)))?;
    let ticket = match &customer {
        Some(it) => {
            let taken = rate_limit::take_tokens(router, it, cost.0).await;
            Some(taken.map_err(unread)?)
        }
        None => None,
    };
    let place = place_request(route, customer.as_ref(), cost.0);
    let call = ServiceCall { router: router.clone(), scheduler, request, place, repeatable };
    let res = match key {
        Some(key) => call.run_claimed(route, customer.as_ref(), key).await,
        None => call.run().await.map(|it| call.response(it)),
    };
    if let (Err(refusal), Some(ticket)) = (&res, ticket)
        && refusal.run == RunState::NotRun
    {
        rate_limit::refund_unused(router, ticket, 0).await;
    }
    let outcome = if res.is_ok() { "answered" } else { "refused" };
    router.metrics.record_request(route.id.as_str(), outcome);
    res
}

impl ServiceCall {
    async fn run_claimed(
        &self,
        route: &Route,
        customer: Option<&Customer>,
        key: &str,
    ) -> Result<Response<Body>, Refusal> {
        let router = &self.router;
        let row = control::claim_key(customer.map(|it| &it.id), &route.id, key);
        let fingerprint = self.fingerprint();
        let attempt = router.new_attempt_id();
        let ask = |row| ask_owner(router, row);
        let start =
            router.claims.acquire(&row, &fingerprint, attempt.as_str(), unix_time_s(), ask).await;
        let result = match &start {
            ClaimResult::Acquired(_) => "own",
            ClaimResult::Replay(_) => "replayed",
            ClaimResult::Refused(_) => "refused",
        };
        router.metrics.claims.with_label_values(&[result]).inc();
        match start {
            ClaimResult::Refused(refusal) => Err(refusal),
            ClaimResult::Replay(answer) => replay(answer),
            ClaimResult::Acquired(handle) => {
                let res = self.run().await;
                self.record(handle, &res).await;
                res.map(|it| self.response(it))
            }
        }
    }

    /// Records how a claimed call ended; what cannot be written now is written later.
    async fn record(&self, handle: ClaimHandle, res: &Result<Response<Bytes>, Refusal>) {
        let stage = match res {
            Ok(answer) => ClaimStage::Done(self.kept(answer)),
            Err(refusal) if refusal.run == RunState::NotRun => ClaimStage::NotRun,
            Err(_) => ClaimStage::MaybeRun,
        };
        if let Err(error) = self.router.claims.record_outcome(&handle, stage.clone()).await {
            tracing::warn!(request = %self.request.id, "claims: outcome not written yet: {error}");
            let router = self.router.clone();
            tokio::spawn(async move { router.claims.record_with_retries(handle, stage).await });
        }
    }

    /// Sends the call to a target. It goes to another only if no byte of it was sent before, or
    /// if it may be repeated.
    async fn run(&self) -> Result<Response<Bytes>, Refusal> {
        let mut place = self.place.clone();
        let mut run = RunState::NotRun;
        self.scheduler.earn_retry();
        loop {
            let wait = self.router.settings.timeouts.counter_queue_ms.duration();
            let slot = self.scheduler.place(place.clone(), wait).await;
            let slot = slot.map_err(|it| Refusal { run, ..it })?;
            let attempt = self.router.new_attempt_id();
            let error = match self.send(&slot, &attempt).await {
                Ok(answer) => {
                    let labels = AnswerLabels::read(answer.headers());
                    self.scheduler.record_success(&slot.target, labels, &place, None);
                    return Ok(answer);
                }
                Err(error) => error,
            };
            let sent = !matches!(error, ExchangeError::NotSent(_));
            self.scheduler.record_failure(&slot.target.id, !sent);
            tracing::info!(
                request = %self.request.id, target = %slot.target.id, "service: {error}"
            );
            if sent {
                run = RunState::MaybeRun;
            }
            place.avoid.push(slot.target.id.clone());
            let refusal = Refusal { run, ..Refusal::not_run(kind_of(&error)) };
            let last = place.avoid.len() >= MAX_ATTEMPTS || (sent && !self.repeatable);
            if last || !self.scheduler.spend_retry() {
                return Err(refusal);
            }
            self.router.metrics.record_retry(reason_of(&error));
        }
    }

    async fn send(
        &self,
        slot: &Placement<SystemClock>,
        attempt: &RequestId,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let mut outward = Request::new(self.request.body.clone());
        *outward.method_mut() = self.request.parts.method.clone();
        let path = self.request.parts.uri.path_and_query().map_or("/", |it| it.as_str());
        let uri = format!("http://{}{path}", slot.target.address);
        *outward.uri_mut() =
            uri.parse().map_err(|_| ExchangeError::NotSent("the path makes no URI".into()))?;
        *outward.headers_mut() = self.request.parts.headers.clone();
        // A connection from the pool may have gone silent; what may not be repeated does not
        // go out on one.
        let connection = if self.repeatable { Connection::Pooled } else { Connection::Fresh };
        let time = self.router.settings.timeouts.service_ms.duration();
        let limit = self.router.settings.limits.answer_bytes;
        let echoes = slot.target.echoes_request_id;
        self.router.engines.call(outward, attempt, connection, time, limit, echoes).await
    }

    fn kept(&self, answer: &Response<Bytes>) -> KeptAnswer {
        let content_type = answer.headers().get(http::header::CONTENT_TYPE);
        let short = answer.body().len() <= self.router.settings.limits.kept_answer_bytes;
        KeptAnswer {
            status: answer.status().as_u16(),
            content_type: content_type.and_then(|it| it.to_str().ok()).map(Into::into),
            body: std::str::from_utf8(answer.body()).ok().filter(|_| short).map(Into::into),
        }
    }

    fn response(&self, answer: Response<Bytes>) -> Response<Body> {
        let (parts, body) = answer.into_parts();
        let mut response = Response::new(Body::with_content(body));
        *response.status_mut() = parts.status;
        *response.headers_mut() = targets::caller_headers(&parts.headers);
        response
    }

    fn fingerprint(&self) -> String {
        let mut hasher = Sha256::new();
        let path = self.request.parts.uri.path_and_query().map_or("", |it| it.as_str());
        for part in [self.request.parts.method.as_str(), path] {
            hasher.update(part.as_bytes());
            hasher.update([0]);
        }
        hasher.update(&self.request.body);
        hasher.finalize().iter().take(16).map(|it| format!("{it:02x}")).collect()
    }
}

async fn ask_owner(router: &Router, row: ClaimRow) -> AttemptStatus {
    let Some((address, life)) = router.members.peer_address(&row.owner) else {
        return AttemptStatus::Unknown;
    };
    if life != row.incarnation {
        return AttemptStatus::Unknown;
    }
    let request = PeerRequest::AskAttempt { attempt: row.attempt, incarnation: row.incarnation };
    match router.peers.call(address, &request).await {
        Ok(PeerResponse::Attempt(word)) => word,
        _ => AttemptStatus::Unknown,
    }
}

fn replay(answer: KeptAnswer) -> Result<Response<Body>, Refusal> {
    let Some(body) = answer.body else {
        let refusal = Refusal::not_run(ErrorKind::OutcomeUnknown);
        let refusal = refusal.detail("it ran; its answer was too long to keep");
        return Err(Refusal { run: RunState::Ran, ..refusal });
    };
    let mut response = Response::new(Body::with_content(body.into_string()));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or_default();
    let headers = response.headers_mut();
    if let Some(value) = answer.content_type.and_then(|it| HeaderValue::from_str(&it).ok()) {
        headers.insert(http::header::CONTENT_TYPE, value);
    }
    headers.insert("idempotency-replayed", HeaderValue::from_static("true"));
    Ok(response)
}

fn idempotency_key(value: Option<&HeaderValue>) -> Result<Option<&str>, Refusal> {
    let Some(value) = value else { return Ok(None) };
    let text = value.to_str().ok().filter(|it| !it.is_empty() && it.len() <= MAX_KEY_BYTES);
    let refusal = || {
        let detail = "idempotency-key: allowed: 1 to 255 visible ASCII characters";
        Refusal::not_run(ErrorKind::BadRequest).detail(detail)
    };
    text.map(Some).ok_or_else(refusal)
}

fn place_request(route: &Route, customer: Option<&Customer>, cost: u64) -> PlacementQuery {
    PlacementQuery {
        customer: customer.map(|it| it.id.clone()),
        weight: customer.map_or(1, |it| it.weight),
        deferrable: route.class == TrafficClass::Deferrable,
        cost: cost as f64,
        tokens: 0,
        chains: IndexMap::new(),
        isolated: false,
        only_version: None,
        only_target: None,
        avoid: Vec::new(),
    }
}

fn kind_of(error: &ExchangeError) -> ErrorKind {
    match error {
        ExchangeError::Timeout => ErrorKind::TargetTimeout,
        _ => ErrorKind::TargetFailed,
    }
}

fn reason_of(error: &ExchangeError) -> RetryReason {
    match error {
        ExchangeError::NotSent(_) => RetryReason::ConnectFailed,
        ExchangeError::Timeout => RetryReason::FirstByteTimeout,
        ExchangeError::Crossed => RetryReason::CrossedAnswer,
        _ => RetryReason::BrokeEarly,
    }
}

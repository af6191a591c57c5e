//! Handles a call of a plain service. A call that is not repeatable runs at most once: this daemon
//! does not resend it once a byte was sent, and the claim of its idempotency key keeps all
//! instances from running it when the caller sends it again.

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
use targets::{AnswerHead, ExchangeError};
use web::client::Connection;

use crate::front::CallerRequest;
use crate::place::PlacementQuery;
use crate::rate_limit;
use crate::router::{Router, Scheduler, unix_time_s};
use crate::slot::Placement;

/// Maximum attempts of one call, each on another target if one has room.
const MAX_ATTEMPTS: usize = 4;
/// Maximum length of an idempotency key.
const MAX_KEY_BYTES: usize = 255;

/// A call in progress.
struct ServiceCall {
    router: Arc<Router>,
    scheduler: Arc<Scheduler>,
    request: CallerRequest,
    query: PlacementQuery,
    /// Whether the route allows its method to run more than once.
    repeatable: bool,
}

/// Answers a call: takes its cost from the customer's rate, claims it if it has a key, and runs it.
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
    let key = parse_idempotency_key(idempotency.as_ref())?;
    let repeatable = repeatable.iter().any(|it| **it == *request.parts.method.as_str());
    let key = key.filter(|_| !repeatable);
    // Until the key's claim is read, an earlier attempt under it may have run.
    let assume_earlier_run = |it: Refusal| if key.is_some() { it.assume_maybe_run() } else { it };
    let scheduler = router.scheduler(&route.pool);
    let scheduler =
        scheduler.ok_or_else(|| assume_earlier_run(Refusal::not_run(ErrorKind::NoTarget)))?;
    let grant = match &customer {
        Some(it) => {
            let grant = rate_limit::take_tokens(router, it, cost.0).await;
            Some(grant.map_err(assume_earlier_run)?)
        }
        None => None,
    };
    let query = placement_query(route, customer.as_ref(), cost.0);
    let call = ServiceCall { router: router.clone(), scheduler, request, query, repeatable };
    let res = match key {
        Some(key) => call.run_claimed(route, customer.as_ref(), key).await,
        None => call.run_attempts().await.map(|it| call.response(it)),
    };
    if let (Err(refusal), Some(grant)) = (&res, grant)
        && refusal.run == RunState::NotRun
    {
        rate_limit::refund_unused(router, grant, 0).await;
    }
    let outcome = if res.is_ok() { "answered" } else { "refused" };
    router.metrics.record_request(route.id.as_str(), outcome);
    res
}

impl ServiceCall {
    /// Runs the call under the claim of its key, or answers from an earlier run.
    async fn run_claimed(
        &self,
        route: &Route,
        customer: Option<&Customer>,
        key: &str,
    ) -> Result<Response<Body>, Refusal> {
        let router = &self.router;
        let claim_key = control::claim_key(customer.map(|it| &it.id), &route.id, key);
        let fingerprint = self.request_fingerprint();
        let attempt = router.new_attempt_id();
        let ask_owner = |row| ask_owner(router, row);
        let claim = router
            .claims
            .acquire(&claim_key, &fingerprint, attempt.as_str(), unix_time_s(), ask_owner)
            .await;
        let result = match &claim {
            ClaimResult::Acquired(_) => "own",
            ClaimResult::Replay(_) => "replayed",
            ClaimResult::Refused(_) => "refused",
        };
        router.metrics.claims.with_label_values(&[result]).inc();
        match claim {
            ClaimResult::Refused(refusal) => Err(refusal),
            ClaimResult::Replay(answer) => replay_answer(answer),
            ClaimResult::Acquired(handle) => {
                let res = self.run_attempts().await;
                self.record_outcome(handle, &res).await;
                res.map(|it| self.response(it))
            }
        }
    }

    /// Records the outcome of a claimed call; a failed write is retried in the background.
    async fn record_outcome(&self, handle: ClaimHandle, res: &Result<Response<Bytes>, Refusal>) {
        let stage = match res {
            Ok(answer) => ClaimStage::Done(self.kept_answer(answer)),
            Err(refusal) if refusal.run == RunState::NotRun => ClaimStage::NotRun,
            Err(_) => ClaimStage::MaybeRun,
        };
        if let Err(error) = self.router.claims.record_outcome(&handle, stage.clone()).await {
            tracing::warn!(
                request = %self.request.id, "claims: outcome not stored, retrying: {error}"
            );
            let router = self.router.clone();
            tokio::spawn(async move { router.claims.record_with_retries(handle, stage).await });
        }
    }

    /// Sends the call to a target. Retries on another one only if no byte of the call was sent, or
    /// if it is repeatable.
    async fn run_attempts(&self) -> Result<Response<Bytes>, Refusal> {
        let mut query = self.query.clone();
        let mut run = RunState::NotRun;
        self.scheduler.earn_retry();
        loop {
            let timeout = self.router.settings.timeouts.counter_queue_ms.duration();
            let placement = self.scheduler.place(query.clone(), timeout).await;
            let placement = placement.map_err(|it| Refusal { run, ..it })?;
            let attempt = self.router.new_attempt_id();
            let error = match self.send_attempt(&placement, &attempt).await {
                Ok(answer) => {
                    let head = AnswerHead::parse(answer.headers());
                    self.scheduler.record_success(&placement.target, head, &query, None);
                    return Ok(answer);
                }
                Err(error) => error,
            };
            let sent = !matches!(error, ExchangeError::NotSent(_));
            self.scheduler.record_failure(&placement.target.id, !sent);
            tracing::info!(
                request = %self.request.id, target = %placement.target.id,
                "service: attempt failed: {error}"
            );
            if sent {
                run = RunState::MaybeRun;
            }
            query.avoid.push(placement.target.id.clone());
            let refusal = Refusal { run, ..Refusal::not_run(error_kind(&error)) };
            let last = query.avoid.len() >= MAX_ATTEMPTS || (sent && !self.repeatable);
            if last || !self.scheduler.spend_retry() {
                return Err(refusal);
            }
            self.router.metrics.record_retry(retry_reason(&error));
        }
    }

    /// Sends the call once to the placed target and waits for its whole answer.
    async fn send_attempt(
        &self,
        placement: &Placement<SystemClock>,
        attempt: &RequestId,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let mut request = Request::new(self.request.body.clone());
        *request.method_mut() = self.request.parts.method.clone();
        let path = self.request.parts.uri.path_and_query().map_or("/", |it| it.as_str());
        let uri = format!("http://{}{path}", placement.target.address);
        *request.uri_mut() = uri
            .parse()
            .map_err(|_| ExchangeError::NotSent("the path is not a valid URI".into()))?;
        *request.headers_mut() = self.request.parts.headers.clone();
        // A pooled connection may be dead without notice, which would lose the call after it was
        // sent; a call that is not repeatable uses a new connection.
        let connection = if self.repeatable { Connection::Pooled } else { Connection::Fresh };
        let timeout = self.router.settings.timeouts.service_ms.duration();
        let limit = self.router.settings.limits.answer_bytes;
        let echoes = placement.target.echoes_request_id;
        self.router.target_client.call(request, attempt, connection, timeout, limit, echoes).await
    }

    /// The answer to store with the claim; without its body if that is too long or not text.
    fn kept_answer(&self, answer: &Response<Bytes>) -> KeptAnswer {
        let content_type = answer.headers().get(http::header::CONTENT_TYPE);
        let fits = answer.body().len() <= self.router.settings.limits.kept_answer_bytes;
        KeptAnswer {
            status: answer.status().as_u16(),
            content_type: content_type.and_then(|it| it.to_str().ok()).map(Into::into),
            body: std::str::from_utf8(answer.body()).ok().filter(|_| fits).map(Into::into),
        }
    }

    /// The caller's answer: the target's, with only the headers that may pass.
    fn response(&self, answer: Response<Bytes>) -> Response<Body> {
        let (parts, body) = answer.into_parts();
        let mut response = Response::new(Body::with_content(body));
        *response.status_mut() = parts.status;
        *response.headers_mut() = targets::caller_headers(&parts.headers);
        response
    }

    /// Hashes method, path, query and body; a key that returns with another fingerprint is refused.
    fn request_fingerprint(&self) -> String {
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

/// Asks the owner of a claim for the status of its attempt; unknown if the owner has restarted,
/// is not listed or does not answer.
async fn ask_owner(router: &Router, row: ClaimRow) -> AttemptStatus {
    let Some((address, incarnation)) = router.members.peer_address(&row.owner) else {
        return AttemptStatus::Unknown;
    };
    if incarnation != row.incarnation {
        return AttemptStatus::Unknown;
    }
    let request =
        PeerRequest::GetAttemptStatus { attempt: row.attempt, incarnation: row.incarnation };
    match router.peers.call(address, &request).await {
        Ok(PeerResponse::Attempt(status)) => status,
        _ => AttemptStatus::Unknown,
    }
}

/// Answers with the stored answer of an earlier run under the same key.
fn replay_answer(answer: KeptAnswer) -> Result<Response<Body>, Refusal> {
    let Some(body) = answer.body else {
        let refusal = Refusal::not_run(ErrorKind::OutcomeUnknown);
        let refusal = refusal
            .detail("the call ran; its answer is not stored, because it was too long or not text");
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

fn parse_idempotency_key(value: Option<&HeaderValue>) -> Result<Option<&str>, Refusal> {
    let Some(value) = value else { return Ok(None) };
    let text = value.to_str().ok().filter(|it| !it.is_empty() && it.len() <= MAX_KEY_BYTES);
    let refusal = || {
        let detail = "header idempotency-key: allowed: 1 to 255 visible ASCII characters";
        Refusal::not_run(ErrorKind::BadRequest).detail(detail)
    };
    text.map(Some).ok_or_else(refusal)
}

fn placement_query(route: &Route, customer: Option<&Customer>, cost: u64) -> PlacementQuery {
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

fn error_kind(error: &ExchangeError) -> ErrorKind {
    match error {
        ExchangeError::Timeout => ErrorKind::TargetTimeout,
        _ => ErrorKind::TargetFailed,
    }
}

fn retry_reason(error: &ExchangeError) -> RetryReason {
    match error {
        ExchangeError::NotSent(_) => RetryReason::ConnectFailed,
        ExchangeError::Timeout => RetryReason::FirstByteTimeout,
        ExchangeError::WrongAttempt => RetryReason::CrossedAnswer,
        _ => RetryReason::BrokeEarly,
    }
}

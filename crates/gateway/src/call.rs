//! Handles one request of a caller: places it on replicas, retries it and forwards the answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, Uri, header};
use http_body_util::Full;
use ids::{CustomerId, ErrorKind, PoolId, RunState, TargetId};
use policy::retry::RetryReason;
use policy::rollout_trial::AttemptOutcome;
use web::client::{self, Connection};

use crate::attempt_error::AttemptError;
use crate::buffer_share::BufferShare;
use crate::buffered::{self, BufferedAnswer};
use crate::call_placement::Placement;
use crate::caller_request::{self, CallerRequest};
use crate::cold_replicas;
use crate::config::{RouteKind, RouteRule, SiteConfig};
use crate::connections::{CallerResponse, OpenAnswer};
use crate::crash_reports::{self, CrashKeys};
use crate::dialect::{AnswerHead, Dialect, EngineParams, ForwardParams, RequestHead};
use crate::directory::Directory;
use crate::gateway::{Gateway, lock};
use crate::in_flight::InFlightGuard;
use crate::notice_table::AnswerNotice;
use crate::placement::PlacedTarget;
use crate::prompt_spec::PromptSpec;
use crate::rate_limit;
use crate::refusal::CallRefusal;
use crate::relay::{RelayOutcome, RequestOrigin};
use crate::replica_path;
use crate::request_limits;
use crate::rollout_choice::ReleaseDraw;
use crate::stream;

/// Attempts of one request that reached no replica or were rejected unrun, before it is refused.
pub(crate) const MAX_UNSENT_ATTEMPTS: u32 = 6;
/// The retry delay sent with a refusal, as a share of the objective.
const RETRY_AFTER_SHARE: f64 = 0.5;
/// Time reserved before the caller's deadline for the answer to reach the caller.
const ANSWER_MARGIN: Duration = Duration::from_millis(20);
/// How long the headers of a stream may take before another replica is tried, as a multiple of the
/// objective.
const STREAM_TIMEOUT_FACTOR: f64 = 1.0;
/// How long the headers of any other answer may take before another replica is tried, as a multiple
/// of the objective.
const PLAIN_TIMEOUT_FACTOR: f64 = 1.5;
/// The same as a multiple of the time expected on the replica; the longer limit applies.
const EXPECTED_TIMEOUT_FACTOR: f64 = 2.5;

/// A request in flight.
pub(crate) struct Call<D: Dialect, S: Directory> {
    pub(crate) gateway: Arc<Gateway<D, S>>,
    pub(crate) head: RequestHead,
    pub(crate) route: RouteRule,
    pub(crate) config: Arc<SiteConfig>,
    /// When its headers arrived, on the daemon's clock.
    pub(crate) started_at: Duration,
    /// When the answer must be ready to send, on the daemon's clock.
    pub(crate) deadline: Duration,
    /// When it was last sent to a replica.
    pub(crate) sent_at: Duration,
    /// Whether a replica has run it, as far as known.
    pub(crate) run: RunState,
    /// Attempts that may have run it.
    pub(crate) attempts: u32,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// The memory of the body.
    _body_share: BufferShare,
    origin: RequestOrigin,
    pub(crate) customer: Option<CustomerId>,
    urgency: u8,
    pub(crate) pool: PoolId,
    pub(crate) prompt: Option<PromptSpec>,
    pub(crate) crash_keys: CrashKeys,
    /// Decides whether it runs on a release that is rolled out.
    pub(crate) release_draw: ReleaseDraw,
    /// Replicas on which an attempt of this request failed.
    pub(crate) excluded: Vec<TargetId>,
    /// Attempts that surely did not run it.
    pub(crate) unsent_attempts: u32,
    /// Whether it was offered to other daemons, none of which took it.
    is_relay_refused: bool,
    _in_flight: InFlightGuard<D, S>,
}

/// Handles a request up to its answer: checks quarantine and quota, then sends it to replicas of
/// one pool.
pub(crate) async fn handle<D: Dialect, S: Directory>(
    gateway: &Arc<Gateway<D, S>>,
    config: Arc<SiteConfig>,
    route: RouteRule,
    customer: Option<CustomerId>,
    request: CallerRequest,
) -> Result<CallerResponse, CallRefusal> {
    let rule = customer.as_ref().and_then(|it| config.customers.get(it));
    let started_at = request.started_at;
    let timeout = request.head.deadline.map_or(route.timeout, |it| it.min(route.timeout));
    let pool =
        caller_request::choose_pool(&route).ok_or(CallRefusal::not_run(ErrorKind::NoTarget))?;
    let crash_keys = caller_request::crash_keys(customer.as_ref(), &pool, &request);
    crash_reports::check(gateway, &crash_keys)?;
    let is_callers = matches!(request.origin, RequestOrigin::Caller);
    // A daemon that passes a request on has charged it.
    if let (Some(id), Some(rule), true) = (&customer, rule, is_callers) {
        let tokens = rule.cost(request.head.tokens.map(|it| it.0.0 + it.1.0));
        rate_limit::take(gateway, &request.head.attempt_id, id, rule, tokens).await?;
    }
    if let RequestOrigin::Daemon(from) = &request.origin {
        if gateway.relay.is_path_cut(&pool) {
            return Err(CallRefusal::not_run(ErrorKind::NoTarget));
        }
        tracing::info!(request = %request.head.attempt_id, from = %from.sender, "relay: taken");
    }
    let prefers_relay = is_callers && replica_path::prefers_relay(gateway, &pool);
    // The daemon that sends it to replicas may send it again.
    if !prefers_relay {
        gateway.earn_retry(&pool);
    }
    let prompt = caller_request::prompt_spec(&config, &pool, customer.as_ref(), &request.head);
    let mut call = Call {
        gateway: gateway.clone(),
        urgency: rule.and_then(|it| it.priority).unwrap_or(route.priority),
        head: request.head,
        route,
        config,
        started_at,
        deadline: started_at + timeout.saturating_sub(ANSWER_MARGIN),
        sent_at: started_at,
        run: RunState::NotRun,
        attempts: 0,
        method: request.method,
        uri: request.uri,
        headers: request.headers,
        body: request.body,
        _body_share: request.body_share,
        origin: request.origin,
        customer,
        pool,
        prompt,
        crash_keys,
        release_draw: ReleaseDraw::random(),
        excluded: Vec::new(),
        unsent_attempts: 0,
        is_relay_refused: false,
        _in_flight: gateway.track_request(),
    };
    if prefers_relay {
        match call.relay().await {
            RelayOutcome::Answered(response) => return Ok(response),
            RelayOutcome::Failed(refusal) => return Err(refusal),
            RelayOutcome::NotTaken => call.is_relay_refused = true,
        }
    }
    call.answer().await
}

impl<D: Dialect, S: Directory> Call<D, S> {
    /// Sends the request to replicas until one answers. If all retries fail, the caller gets the
    /// last server error that a replica answered, or else the refusal.
    async fn answer(mut self) -> Result<CallerResponse, CallRefusal> {
        let mut failure = None;
        let refusal = loop {
            let mut placement = match self.acquire_placement().await {
                Ok(placement) => placement,
                Err(refusal) => break refusal,
            };
            let outcome = match self.send_attempt(&mut placement, self.head.last_event_id).await {
                Ok(answer) if self.is_stream() && answer.status.is_success() => {
                    return Ok(stream::answer(self, placement, answer));
                }
                Ok(answer) => buffered::collect(&self, &placement.target, answer).await,
                Err(error) => Err(error),
            };
            if let Ok(answer) = &outcome {
                placement.is_answered = true;
                self.record_answer(&placement, answer.status);
            }
            match outcome {
                Ok(answer) if self.retries_failure(answer.status) => {
                    tracing::info!(
                        request = %self.head.attempt_id, target = %placement.target.id,
                        status = answer.status.as_u16(),
                        "call: server error, retrying on another replica"
                    );
                    self.gateway.metrics.record_retry(RetryReason::TargetError.code());
                    self.excluded.push(placement.target.id.clone());
                    failure = Some((placement.target.clone(), answer));
                }
                Ok(answer) => return self.forward_answer(&placement.target, answer),
                Err(error) => {
                    if let Err(refusal) = self.handle_failure(&mut placement, &error) {
                        break refusal;
                    }
                }
            }
        };
        if let Some((target, answer)) = failure {
            return self.forward_answer(&target, answer);
        }
        if self.may_relay(&refusal).await {
            match self.relay().await {
                RelayOutcome::Answered(response) => return Ok(response),
                RelayOutcome::Failed(refusal) => return Err(refusal),
                RelayOutcome::NotTaken => {}
            }
        }
        Err(refusal)
    }

    /// Whether a request that this daemon has to refuse may be served through another one.
    async fn may_relay(&self, refusal: &CallRefusal) -> bool {
        matches!(self.origin, RequestOrigin::Caller)
            && !self.is_relay_refused
            && refusal.run == RunState::NotRun
            && refusal.kind == ErrorKind::NoTarget
            && replica_path::may_relay(&self.gateway, &self.pool, self.deadline).await
    }

    fn record_answer(&mut self, placement: &Placement<D, S>, status: StatusCode) {
        let elapsed = self.gateway.now().saturating_sub(self.sent_at);
        let outcome = match status.is_server_error() {
            true => AttemptOutcome::Failed,
            false => AttemptOutcome::Answered(elapsed),
        };
        self.record_outcome(placement, outcome);
        if status.is_success() {
            self.clear_crash_suspects();
        }
    }

    fn forward_answer(
        &self,
        target: &PlacedTarget,
        answer: BufferedAnswer,
    ) -> Result<CallerResponse, CallRefusal> {
        lock(&self.gateway.fleet).record_success(self.gateway.now(), target);
        cold_replicas::publish(&self.gateway);
        self.log_answer(target, answer.status);
        answer.into_response(&self.gateway.waiting_answers).map_err(|error| {
            tracing::warn!(request = %self.head.attempt_id, "call: answer dropped: {error}");
            CallRefusal { run: self.run, ..CallRefusal::not_run(ErrorKind::Internal) }
        })
    }

    fn is_stream(&self) -> bool {
        matches!(self.route.kind, RouteKind::Stream { .. })
    }

    /// Whether a server error is retried on another replica; spends a retry if so.
    fn retries_failure(&self, status: StatusCode) -> bool {
        status.is_server_error() && self.may_run_again() && self.gateway.spend_retry(&self.pool)
    }

    /// Whether the route allows that the request runs once more.
    pub(crate) fn may_run_again(&self) -> bool {
        self.route.kind.is_repeatable() && self.attempts < self.route.max_attempts
    }

    pub(crate) fn retry_delay(&self) -> Duration {
        self.route.objective.mul_f64(RETRY_AFTER_SHARE)
    }

    /// Sends the request to a replica and waits for the answer's headers. `last_event_id` is the
    /// event after which a stream resumes.
    pub(crate) async fn send_attempt(
        &mut self,
        placement: &mut Placement<D, S>,
        last_event_id: Option<u64>,
    ) -> Result<OpenAnswer, AttemptError> {
        self.sent_at = self.gateway.now();
        placement.is_sent = true;
        let left = self.deadline.saturating_sub(self.sent_at);
        let request = self.target_request(placement, last_event_id, left);
        let target = &placement.target;
        // A pooled connection may have stopped carrying data, which would leave the outcome
        // unknown; a request that must not run twice gets a fresh one.
        let connection = match self.route.kind {
            it if it.is_repeatable() => Connection::Pooled,
            _ => Connection::Fresh,
        };
        self.attempts += 1;
        let connections = &self.gateway.connections;
        let fleet = &self.gateway.fleet;
        let admit = || lock(fleet).admit_placed(self.gateway.now(), target);
        let sending =
            connections.send(target.address, target.id.as_str(), request, connection, left, admit);
        tokio::pin!(sending);
        let timeout = self.attempt_timeout(target);
        let sent = match tokio::time::timeout(timeout, &mut sending).await {
            Ok(sent) => sent,
            Err(_) if self.abandons_attempt() => return Err(AttemptError::TooSlow),
            Err(_) => sending.await,
        };
        let answer = sent?;
        if answer.is_on_new_connection() {
            let mut paths = lock(&self.gateway.relay.paths);
            paths.entry(self.pool.clone()).or_default().record_success();
        }
        let head = self.gateway.dialect.parse_answer(&answer.headers);
        self.record_notice(target, answer.status, &head);
        // A faulty replica may write the refusal of an earlier request once more.
        if head.attempt_id.as_deref() != Some(self.head.attempt_id.as_str()) {
            return Err(AttemptError::WrongAttempt);
        }
        if head.not_run || answer.status == StatusCode::MISDIRECTED_REQUEST {
            return Err(AttemptError::NotRun(answer.status, head));
        }
        if !client::is_valid_status(answer.status) {
            return Err(AttemptError::InvalidStatus(answer.status));
        }
        if answer.headers.contains_key(header::CONTENT_ENCODING) {
            return Err(AttemptError::Encoded);
        }
        if answer.status.is_success() && !head.sealed {
            return Err(AttemptError::Unsealed);
        }
        self.run = RunState::Ran;
        Ok(answer)
    }

    /// Records what a replica says of itself, unless the answer is that to another request and so
    /// may be of an earlier process.
    fn record_notice(&self, target: &PlacedTarget, status: StatusCode, head: &AnswerHead) {
        let own_id = self.head.attempt_id.as_str();
        if head.attempt_id.as_deref() == Some(own_id) {
            let now = self.gateway.now();
            let news =
                lock(&self.gateway.fleet).record_request_limit(now, target, head.request_limit);
            request_limits::forward(&self.gateway, None, news.into_iter().collect());
            if let Some(left_ms) = head.cold_left_ms {
                let PlacedTarget { member, incarnation, .. } = *target;
                lock(&self.gateway.fleet).record_cold_answer(now, member, incarnation, left_ms);
            }
        }
        if head.attempt_id.as_deref().is_none_or(|it| it == own_id) {
            let notice = AnswerNotice::new(status, head);
            let now = self.gateway.now();
            lock(&self.gateway.fleet).record_notice(now, &target.id, target.incarnation, notice);
        }
    }

    /// How long the headers of an answer may take before another replica is tried.
    fn attempt_timeout(&self, target: &PlacedTarget) -> Duration {
        let objective = match self.route.kind {
            RouteKind::Stream { .. } => self.route.objective.mul_f64(STREAM_TIMEOUT_FACTOR),
            _ => self.route.objective.mul_f64(PLAIN_TIMEOUT_FACTOR),
        };
        objective.max(target.expected.mul_f64(EXPECTED_TIMEOUT_FACTOR))
    }

    /// Whether to give up an attempt that may still be answered and try another replica; spends a
    /// retry if so.
    fn abandons_attempt(&self) -> bool {
        let now = self.gateway.now();
        now < self.deadline && self.may_run_again() && self.gateway.spend_retry(&self.pool)
    }

    fn target_request(
        &self,
        placement: &Placement<D, S>,
        last_event_id: Option<u64>,
        left: Duration,
    ) -> Request<Full<Bytes>> {
        let target = &placement.target;
        let engine = self.prompt.as_ref().map(|prompt| EngineParams {
            version: target.weights,
            salt: prompt.cache_scope.salt(target.weights),
            urgency: self.urgency,
            fetch_from: target.fetch_from,
            save_to: target.save_to.map(|it| it.address),
        });
        let params = ForwardParams {
            target: target.id.clone(),
            time_left: left,
            customer: self.customer.clone(),
            last_event_id,
            engine,
        };
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.gateway.dialect.forward_headers(&self.headers, &params);
        request
    }

    /// Records the first token, which came `elapsed` after the request was sent: the replica has
    /// prefilled the prompt and now caches its prefixes.
    pub(crate) fn record_first_token(
        &mut self,
        placement: &mut Placement<D, S>,
        elapsed: Duration,
    ) {
        placement.prefilled = true;
        self.record_outcome(placement, AttemptOutcome::Answered(elapsed));
        let target = &placement.target;
        let gateway = &self.gateway;
        let now = gateway.now();
        let mut fleet = lock(&gateway.fleet);
        fleet.record_prefilled(target);
        fleet.record_success(now, target);
        let Some(prompt) = &self.prompt else { return };
        let salted = prompt.salted_prefixes(target.weights);
        let digests: Vec<u64> = salted.iter().map(|it| it.digest).collect();
        fleet.prefixes.record_use(now, &digests, target.member, target.incarnation);
        if let Some(copy) = target.save_to {
            fleet.record_copy(now, copy, &salted[..prompt.shared_prefixes]);
        }
        if target.load_before.running == 0 && target.fetch_from.is_none() {
            let pending = prompt.prompt_tokens.saturating_sub(target.cached_tokens);
            lock(&gateway.speed).record_first_token(pending, elapsed.as_secs_f64());
        }
    }
}

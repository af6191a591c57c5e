//! One request of a caller, from its headers to its answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, Uri};
use http_body_util::Full;
use ids::{CustomerId, ErrorKind, PoolId, RunState, TargetId};
use policy::quarantine::Fingerprint;
use policy::retry::RetryReason;
use web::client::{CallError, Connection};

use crate::attempt_error::AttemptError;
use crate::buffered::{self, BufferedAnswer};
use crate::caller_request::{self, CallerRequest};
use crate::config::{RouteKind, RouteRule, SiteConfig};
use crate::connections::{CallerResponse, OpenAnswer};
use crate::crash_reports;
use crate::dialect::{Dialect, EngineParams, ForwardParams, RequestHead};
use crate::directory::Directory;
use crate::gateway::{Gateway, InFlightGuard, lock};
use crate::placement::{PlacedTarget, PlacementQuery, PromptQuery};
use crate::prompt_spec::PromptSpec;
use crate::rate_limit;
use crate::refusal::CallRefusal;
use crate::stream;

/// Sendings of one request that no replica took, before it is refused.
const MAX_UNSENT: u32 = 6;
/// How long a request waits for a replica when none can take it, as a share of its objective.
const WAIT_SHARE: f64 = 0.5;
/// The longest time between two looks for a replica: pauses of replicas end without notice.
const PLACE_PAUSE: Duration = Duration::from_millis(60);
/// When a caller is told to come back if no replica took its request, as a share of its objective.
const COME_BACK_SHARE: f64 = 0.5;
/// Time kept for the way of a last answer to the caller.
const ANSWER_MARGIN: Duration = Duration::from_millis(20);
/// How many times its objective the first event of a stream is waited for.
const STREAM_PATIENCE: f64 = 1.0;
/// How many times its objective a plain call is waited for.
const PLAIN_PATIENCE: f64 = 1.5;
/// How many times the expected time an answer is waited for.
const EXPECTED_PATIENCE: f64 = 2.5;
/// What a request on older weights is taken to lose, as a share of its objective.
const OLD_WEIGHTS_SHARE: f64 = 0.2;

/// A request under way.
pub(crate) struct Call<D: Dialect, S: Directory> {
    pub(crate) gateway: Arc<Gateway<D, S>>,
    pub(crate) head: RequestHead,
    pub(crate) route: RouteRule,
    pub(crate) config: Arc<SiteConfig>,
    pub(crate) began: Duration,
    /// When the caller must have its answer, on the daemon's clock.
    pub(crate) until: Duration,
    /// When it was last sent to a replica.
    pub(crate) sent_at: Duration,
    /// What is known of whether it ran.
    pub(crate) run: RunState,
    /// Replicas it was sent to and that may have run it.
    pub(crate) attempts: u32,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
    customer: Option<CustomerId>,
    urgency: u8,
    pub(crate) pool: PoolId,
    pub(crate) prompt: Option<PromptSpec>,
    pub(crate) fingerprint: Option<Fingerprint>,
    avoid: Vec<TargetId>,
    pub(crate) unsent: u32,
    _open: InFlightGuard<D, S>,
}

/// A request's place on a replica; gives the place back when dropped.
pub(crate) struct Placement<D: Dialect, S: Directory> {
    gateway: Arc<Gateway<D, S>>,
    pub(crate) target: PlacedTarget,
    prefilled: bool,
}

/// Serves a request.
pub(crate) async fn handle<D: Dialect, S: Directory>(
    gateway: &Arc<Gateway<D, S>>,
    config: Arc<SiteConfig>,
    route: RouteRule,
    customer: Option<CustomerId>,
    request: CallerRequest,
) -> Result<CallerResponse, CallRefusal> {
    let rule = customer.as_ref().and_then(|it| config.customers.get(it));
    let began = request.began;
    let wait = request.head.deadline.map_or(route.timeout, |it| it.min(route.timeout));
    let fingerprint = caller_request::fingerprint(customer.as_ref(), &request);
    if crash_reports::is_crash_suspect(gateway, fingerprint) {
        return Err(CallRefusal::not_run(ErrorKind::CrashSuspect));
    }
    if let (Some(id), Some(rule)) = (&customer, rule) {
        let tokens = rule.cost(request.head.tokens.map(|it| it.0.0 + it.1.0));
        rate_limit::take(gateway, &request.head.attempt_id, id, rule, tokens).await?;
    }
    let pool =
        caller_request::choose_pool(&route).ok_or(CallRefusal::not_run(ErrorKind::NoTarget))?;
    gateway.earn_retry(&pool);
    let prompt =
        caller_request::prompt_spec(&config, &pool, customer.as_ref(), rule, &request.head);
    let call = Call {
        gateway: gateway.clone(),
        urgency: rule.and_then(|it| it.priority).unwrap_or(route.priority),
        head: request.head,
        route,
        config,
        began,
        until: began + wait.saturating_sub(ANSWER_MARGIN),
        sent_at: began,
        run: RunState::NotRun,
        attempts: 0,
        method: request.method,
        uri: request.uri,
        headers: request.headers,
        body: request.body,
        customer,
        pool,
        prompt,
        fingerprint,
        avoid: Vec::new(),
        unsent: 0,
        _open: gateway.track_request(),
    };
    call.answer().await
}

impl<D: Dialect, S: Directory> Call<D, S> {
    /// The answer of a replica, or why there is none. A failure of a replica's own stands if no
    /// other replica does better.
    async fn answer(mut self) -> Result<CallerResponse, CallRefusal> {
        let mut failure = None;
        let refusal = loop {
            let place = match self.acquire_placement().await {
                Ok(place) => place,
                Err(refusal) => break refusal,
            };
            let exchanged = match self.exchange(&place, self.head.last_event_id).await {
                Ok(answer) if self.is_stream() && answer.status.is_success() => {
                    return Ok(stream::answer(self, place, answer));
                }
                Ok(answer) => buffered::collect(&self, answer).await,
                Err(fault) => Err(fault),
            };
            match exchanged {
                Ok(whole) if self.is_worth_another(whole.status) => {
                    tracing::info!(
                        request = %self.head.attempt_id, target = %place.target.id,
                        status = whole.status.as_u16(), "call: failed on the replica, sent again"
                    );
                    self.gateway.metrics.record_retry(RetryReason::TargetError.code());
                    self.avoid.push(place.target.id.clone());
                    failure = Some((place.target.clone(), whole));
                }
                Ok(whole) => return Ok(self.forward_answer(&place.target, whole)),
                Err(fault) => {
                    if let Err(refusal) = self.after_fault(&place, &fault) {
                        break refusal;
                    }
                }
            }
        };
        match failure {
            Some((target, whole)) => Ok(self.forward_answer(&target, whole)),
            None => Err(refusal),
        }
    }

    fn forward_answer(&self, target: &PlacedTarget, whole: BufferedAnswer) -> CallerResponse {
        lock(&self.gateway.fleet).record_success(self.gateway.now(), target);
        self.log_answer(target, whole.status);
        whole.into_response()
    }

    fn is_stream(&self) -> bool {
        matches!(self.route.kind, RouteKind::Stream { .. })
    }

    /// Whether a failure of the replica's own is tried on another one.
    fn is_worth_another(&self, status: StatusCode) -> bool {
        status.is_server_error() && self.may_repeat() && self.gateway.spend_retry(&self.pool)
    }

    /// Whether the request may run once more.
    pub(crate) fn may_repeat(&self) -> bool {
        self.route.kind.is_repeatable() && self.attempts < self.route.max_attempts
    }

    fn come_back_after(&self) -> Duration {
        self.route.objective.mul_f64(COME_BACK_SHARE)
    }

    /// Takes a place on a replica, waiting for one shortly if need be.
    pub(crate) async fn acquire_placement(&mut self) -> Result<Placement<D, S>, CallRefusal> {
        let asked_at = self.gateway.now();
        let placed = self.wait_for_placement().await;
        let waited = self.gateway.now().saturating_sub(asked_at);
        self.gateway.metrics.record_placement_wait(waited);
        placed
    }

    async fn wait_for_placement(&mut self) -> Result<Placement<D, S>, CallRefusal> {
        let patience = self.gateway.now() + self.route.objective.mul_f64(WAIT_SHARE);
        loop {
            let freed = self.gateway.capacity_freed.notified();
            if let Some(place) = self.try_place() {
                return Ok(place);
            }
            // A replica that this request was sent to before is better than none.
            if !self.avoid.is_empty() && self.unsent < MAX_UNSENT {
                self.avoid.clear();
                continue;
            }
            let now = self.gateway.now();
            let alive = lock(&self.gateway.fleet).has_active_replica(&self.pool);
            let left = patience.min(self.until).saturating_sub(now);
            if !alive || left.is_zero() {
                self.log_no_replica(now);
                let refusal = CallRefusal::not_run(ErrorKind::NoTarget);
                return Err(self.refused(refusal.retry_after(self.come_back_after())));
            }
            let pause = left.min(PLACE_PAUSE);
            let _ = tokio::time::timeout(pause, freed).await;
        }
    }

    fn try_place(&self) -> Option<Placement<D, S>> {
        let gateway = &self.gateway;
        let now = gateway.now();
        let speed = *lock(&gateway.speed);
        let (rollout, min_weights) = {
            let view = lock(&gateway.view);
            let age = gateway.oldest_weights_age();
            let least = |prompt: &PromptSpec| view.min_weights(&prompt.model, now, age);
            (view.rollout(&self.pool).cloned(), self.prompt.as_ref().map_or(0, least))
        };
        let (peers, news_delay) = {
            let members = lock(&gateway.members);
            (members.reachable(now).count(), members.gossip_delay())
        };
        let mut fleet = lock(&gateway.fleet);
        // FIXME: a rollout is never tried; its release gets nothing while another one runs.
        let barred = rollout.filter(|it| fleet.has_other_release(&self.pool, &it.to));
        let query = PlacementQuery {
            pool: &self.pool,
            excluded_release: barred.as_ref().map(|it| &*it.to),
            avoid: &self.avoid,
            min_weights,
        };
        let engine = self.config.pools.get(&self.pool).and_then(|it| it.engine.as_ref());
        let target = match (&self.prompt, engine) {
            (Some(prompt), Some(engine)) => {
                let old_weights_s = self.route.objective.as_secs_f64() * OLD_WEIGHTS_SHARE;
                let prompt_query =
                    PromptQuery { prompt, engine, speed, old_weights_s, peers, news_delay };
                fleet.place_prompt(now, query, prompt_query)?
            }
            _ => fleet.place_plain(now, query)?,
        };
        let load_age = fleet.load_age(now);
        drop(fleet);
        self.log_place(&target, load_age);
        Some(Placement { gateway: gateway.clone(), target, prefilled: false })
    }

    /// Sends the request to a replica, after the event given if it is a stream that goes on.
    pub(crate) async fn exchange(
        &mut self,
        place: &Placement<D, S>,
        last_event_id: Option<u64>,
    ) -> Result<OpenAnswer, AttemptError> {
        self.sent_at = self.gateway.now();
        let left = self.until.saturating_sub(self.sent_at);
        let request = self.target_request(place, last_event_id, left);
        let target = &place.target;
        // A kept connection may have gone silent; what may not be repeated does not risk it.
        let which = match self.route.kind {
            it if it.is_repeatable() => Connection::Pooled,
            _ => Connection::Fresh,
        };
        self.attempts += 1;
        let connections = &self.gateway.connections;
        let sending = connections.send(target.address, target.id.as_str(), request, which, left);
        tokio::pin!(sending);
        let patience = self.patience(target);
        let sent = match tokio::time::timeout(patience, &mut sending).await {
            Ok(sent) => sent,
            Err(_) if self.gives_up_early() => return Err(AttemptError::Impatient),
            Err(_) => sending.await,
        };
        let answer = sent.map_err(AttemptError::Exchange)?;
        let head = self.gateway.dialect.parse_answer(&answer.headers);
        if head.not_run || answer.status == StatusCode::MISDIRECTED_REQUEST {
            return Err(AttemptError::NotRun(answer.status, head));
        }
        if head.attempt_id.as_deref() != Some(self.head.attempt_id.as_str()) {
            return Err(AttemptError::Crossed);
        }
        if answer.status.is_success() && !head.sealed {
            return Err(AttemptError::Unsealed);
        }
        self.run = RunState::Ran;
        Ok(answer)
    }

    /// How long the beginning of an answer is waited for before another replica is tried.
    fn patience(&self, target: &PlacedTarget) -> Duration {
        let objective = match self.route.kind {
            RouteKind::Stream { .. } => self.route.objective.mul_f64(STREAM_PATIENCE),
            _ => self.route.objective.mul_f64(PLAIN_PATIENCE),
        };
        objective.max(target.expected.mul_f64(EXPECTED_PATIENCE))
    }

    /// Whether the request goes to another replica though this one may still answer; if so, the
    /// retry is paid.
    fn gives_up_early(&self) -> bool {
        let now = self.gateway.now();
        now < self.until && self.may_repeat() && self.gateway.spend_retry(&self.pool)
    }

    fn target_request(
        &self,
        place: &Placement<D, S>,
        last_event_id: Option<u64>,
        left: Duration,
    ) -> Request<Full<Bytes>> {
        let target = &place.target;
        let engine = self.prompt.as_ref().map(|prompt| EngineParams {
            version: target.weights,
            salt: prompt.salt(target.weights),
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

    /// Records a sending without an answer; an error if the request is not to be sent again.
    pub(crate) fn after_fault(
        &mut self,
        place: &Placement<D, S>,
        fault: &AttemptError,
    ) -> Result<(), CallRefusal> {
        let (reason, kind) = self.judge(place, fault);
        if let AttemptError::Exchange(CallError::Broken(_) | CallError::TooLong(_)) = fault {
            crash_reports::report_crash(&self.gateway, self.fingerprint, &place.target);
        }
        self.avoid.push(place.target.id.clone());
        tracing::info!(
            request = %self.head.attempt_id, target = %place.target.id, reason = reason.code(),
            "call: no answer: {fault}"
        );
        let refusal = CallRefusal { run: self.run, ..CallRefusal::not_run(kind) };
        let refusal = refusal.retry_after(self.come_back_after());
        let ended = self.gateway.now() >= self.until;
        let again = match fault {
            AttemptError::Exchange(CallError::NotSent(_)) => {
                self.unsent += 1;
                self.unsent < MAX_UNSENT
            }
            AttemptError::NotRun(..) => {
                self.unsent += 1;
                self.unsent < MAX_UNSENT && self.gateway.spend_retry(&self.pool)
            }
            AttemptError::Impatient => true,
            _ => self.may_repeat() && self.gateway.spend_retry(&self.pool),
        };
        if ended || !again {
            return Err(self.refused(refusal));
        }
        self.gateway.metrics.record_retry(reason.code());
        Ok(())
    }

    fn judge(&mut self, place: &Placement<D, S>, fault: &AttemptError) -> (RetryReason, ErrorKind) {
        let now = self.gateway.now();
        let mut fleet = lock(&self.gateway.fleet);
        match fault {
            AttemptError::Exchange(CallError::NotSent(_)) => {
                self.attempts -= 1;
                fleet.record_failure(now, &place.target, true);
                (RetryReason::ConnectFailed, ErrorKind::NoTarget)
            }
            AttemptError::NotRun(status, head) => {
                self.attempts -= 1;
                let other = head.target.as_deref().is_some_and(|it| it != place.target.id.as_str());
                if *status == StatusCode::MISDIRECTED_REQUEST && other {
                    fleet.mark_leaving(&place.target);
                } else if let (StatusCode::MISDIRECTED_REQUEST, Some(version)) =
                    (*status, head.version)
                {
                    fleet.record_weights(&place.target, version);
                } else {
                    fleet.mark_full(now, &place.target);
                }
                (RetryReason::TargetBusy, ErrorKind::QueueFull)
            }
            AttemptError::Exchange(CallError::Timeout(_)) | AttemptError::Impatient => {
                self.run = RunState::MaybeRun;
                fleet.record_failure(now, &place.target, false);
                (RetryReason::FirstByteTimeout, ErrorKind::TargetTimeout)
            }
            AttemptError::Exchange(CallError::Broken(_) | CallError::TooLong(_)) => {
                self.run = RunState::MaybeRun;
                fleet.record_failure(now, &place.target, false);
                (RetryReason::BrokeEarly, ErrorKind::TargetFailed)
            }
            AttemptError::Crossed | AttemptError::Unsealed => {
                self.run = RunState::MaybeRun;
                (RetryReason::CrossedAnswer, ErrorKind::TargetFailed)
            }
        }
    }

    /// A refusal that says what is known of the request's run.
    pub(crate) fn refused(&self, refusal: CallRefusal) -> CallRefusal {
        let kind = match (self.run, refusal.kind) {
            (RunState::NotRun, kind) => kind,
            // What may have run must not be answered as if it had not.
            (_, ErrorKind::NoTarget | ErrorKind::QueueFull) => ErrorKind::TargetFailed,
            (_, kind) => kind,
        };
        CallRefusal { kind, run: self.run, ..refusal }
    }

    /// The first token came: what the replica now holds is known.
    pub(crate) fn prefilled(&self, place: &mut Placement<D, S>, after: Duration) {
        place.prefilled = true;
        let target = &place.target;
        let gateway = &self.gateway;
        let now = gateway.now();
        let mut fleet = lock(&gateway.fleet);
        fleet.record_prefilled(target);
        fleet.record_success(now, target);
        let Some(prompt) = &self.prompt else { return };
        let salted = prompt.salted(target.weights);
        let digests: Vec<u64> = salted.iter().map(|it| it.digest).collect();
        fleet.prefixes.record_use(now, &digests, target.member, target.incarnation);
        if let Some(copy) = target.save_to {
            fleet.note_copy(now, copy, &salted[..prompt.shared]);
        }
        if target.load_before.running == 0 && target.fetch_from.is_none() {
            let pending = prompt.prompt_tokens.saturating_sub(target.cached_tokens);
            lock(&gateway.speed).record_first_token(pending, after.as_secs_f64());
        }
    }
}

impl<D: Dialect, S: Directory> Drop for Placement<D, S> {
    fn drop(&mut self) {
        lock(&self.gateway.fleet).release(&self.target, self.prefilled);
        self.gateway.capacity_freed.notify_one();
    }
}

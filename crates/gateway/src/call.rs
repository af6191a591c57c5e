//! Handles one request of a caller: places it on replicas, retries it and forwards the answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, Uri, header};
use http_body_util::Full;
use ids::{CustomerId, ErrorKind, PoolId, RunState, TargetId};
use policy::crash_suspects::{AnswerProgress, SuspectVerdict};
use policy::retry::RetryReason;
use policy::rollout_trial::AttemptOutcome;
use web::client::Connection;

use crate::attempt_error::AttemptError;
use crate::buffer_share::BufferShare;
use crate::buffered::{self, BufferedAnswer};
use crate::caller_request::{self, CallerRequest};
use crate::config::{RouteKind, RouteRule, SiteConfig};
use crate::connections::{CallerResponse, OpenAnswer};
use crate::crash_reports::{self, CrashKeys};
use crate::dialect::{AnswerHead, Dialect, EngineParams, ForwardParams, RequestHead};
use crate::directory::Directory;
use crate::fleet::FleetTable;
use crate::gateway::{Gateway, InFlightGuard, lock};
use crate::notice_table::AnswerNotice;
use crate::placement::{PlacedTarget, PlacementQuery, PromptQuery, ReleaseFilter};
use crate::prompt_spec::PromptSpec;
use crate::rate_limit;
use crate::refusal::CallRefusal;
use crate::request_limits;
use crate::rollout_choice::{ReleaseChoice, ReleaseDraw, ReleaseEvidence};
use crate::stream;

/// Attempts of one request that reached no replica or were rejected unrun, before it is refused.
pub(crate) const MAX_UNSENT_ATTEMPTS: u32 = 6;
/// How long a request waits for a replica when none can take it, as a share of its objective.
const PLACEMENT_WAIT_SHARE: f64 = 0.5;
/// Longest time between two searches for a replica: nothing signals the end of a replica's pause.
const PLACEMENT_RETRY_INTERVAL: Duration = Duration::from_millis(60);
/// The retry delay sent with a refusal, as a share of the objective.
const RETRY_AFTER_SHARE: f64 = 0.5;
/// When all replicas of a pool want no requests for a while, callers return within this multiple of
/// that time, so that they do not all return at once.
const HELD_OFF_SPREAD: f64 = 1.25;
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
/// Cost of running on older weights in the choice of an engine, as a share of the objective.
const OLD_WEIGHTS_COST_SHARE: f64 = 0.2;

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
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
    /// The memory of the body.
    _body_share: BufferShare,
    customer: Option<CustomerId>,
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
    _in_flight: InFlightGuard<D, S>,
}

/// A request counted in a replica's load, until this is dropped.
pub(crate) struct Placement<D: Dialect, S: Directory> {
    gateway: Arc<Gateway<D, S>>,
    pub(crate) target: PlacedTarget,
    /// Set while a release is on trial in the pool.
    pub(crate) evidence: Option<ReleaseEvidence>,
    /// Whether its prompt no longer counts as pending.
    prefilled: bool,
    crash_keys: CrashKeys,
    /// Whether the request may have reached the replica.
    is_sent: bool,
    pub(crate) progress: AnswerProgress,
    /// Whether the replica answered to the end, or said that it did not run the request.
    pub(crate) is_answered: bool,
}

/// A replica that limits its requests takes none now.
struct TokenMissing;

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
    if let (Some(id), Some(rule)) = (&customer, rule) {
        let tokens = rule.cost(request.head.tokens.map(|it| it.0.0 + it.1.0));
        rate_limit::take(gateway, &request.head.attempt_id, id, rule, tokens).await?;
    }
    gateway.earn_retry(&pool);
    let prompt =
        caller_request::prompt_spec(&config, &pool, customer.as_ref(), rule, &request.head);
    let call = Call {
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
        customer,
        pool,
        prompt,
        crash_keys,
        release_draw: ReleaseDraw::random(),
        excluded: Vec::new(),
        unsent_attempts: 0,
        _in_flight: gateway.track_request(),
    };
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
                Ok(answer) => buffered::collect(&self, answer).await,
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
                Ok(answer) => return Ok(self.forward_answer(&placement.target, answer)),
                Err(error) => {
                    if let Err(refusal) = self.handle_failure(&mut placement, &error) {
                        break refusal;
                    }
                }
            }
        };
        match failure {
            Some((target, answer)) => Ok(self.forward_answer(&target, answer)),
            None => Err(refusal),
        }
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

    fn forward_answer(&self, target: &PlacedTarget, answer: BufferedAnswer) -> CallerResponse {
        lock(&self.gateway.fleet).record_success(self.gateway.now(), target);
        self.log_answer(target, answer.status);
        answer.into_response()
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

    /// Reserves capacity on a replica, waiting for a share of the objective if none is available.
    pub(crate) async fn acquire_placement(&mut self) -> Result<Placement<D, S>, CallRefusal> {
        let verdict = self.check_crash_suspect()?;
        let asked_at = self.gateway.now();
        let res = self.wait_for_placement().await;
        let waited = self.gateway.now().saturating_sub(asked_at);
        self.gateway.metrics.record_placement_wait(waited);
        // Crashes may have become known while it waited.
        let is_suspect = || crash_reports::check(&self.gateway, &self.crash_keys) != Ok(verdict);
        if verdict == SuspectVerdict::Allowed && res.is_ok() && is_suspect() {
            return Err(self.qualify_refusal(CallRefusal::not_run(ErrorKind::CrashSuspect)));
        }
        res
    }

    async fn wait_for_placement(&mut self) -> Result<Placement<D, S>, CallRefusal> {
        let give_up_at = self.gateway.now() + self.route.objective.mul_f64(PLACEMENT_WAIT_SHARE);
        loop {
            let freed = self.gateway.capacity_freed.notified();
            if let Some(placement) = self.try_placement() {
                match self.take_limit_token(&placement.target).await {
                    Ok(()) => {
                        self.record_placement(&placement.target);
                        return Ok(placement);
                    }
                    Err(TokenMissing) => continue,
                }
            }
            // No other replica is available: allow those on which an attempt failed.
            if !self.excluded.is_empty() && self.unsent_attempts < MAX_UNSENT_ATTEMPTS {
                self.excluded.clear();
                continue;
            }
            let now = self.gateway.now();
            let (has_active, held_off_until) = {
                let fleet = lock(&self.gateway.fleet);
                (fleet.has_active_replica(&self.pool), fleet.held_off_until(now, &self.pool))
            };
            let give_up_at = give_up_at.min(self.deadline);
            if let Some(until) = held_off_until.filter(|it| *it >= give_up_at) {
                self.log_no_replica(now);
                let delay = (until - now).mul_f64(rand::random_range(1.0..HELD_OFF_SPREAD));
                let refusal = CallRefusal::not_run(ErrorKind::NoTarget);
                return Err(self.qualify_refusal(refusal.retry_after(delay)));
            }
            let left = give_up_at.saturating_sub(now);
            if !has_active || left.is_zero() {
                self.log_no_replica(now);
                let refusal = CallRefusal::not_run(ErrorKind::NoTarget);
                return Err(self.qualify_refusal(refusal.retry_after(self.retry_delay())));
            }
            let pause = left.min(PLACEMENT_RETRY_INTERVAL);
            let _ = tokio::time::timeout(pause, freed).await;
        }
    }

    /// Records that the request is about to be sent to a replica.
    fn record_placement(&self, target: &PlacedTarget) {
        let now = self.gateway.now();
        let speed = *lock(&self.gateway.speed);
        let mut fleet = lock(&self.gateway.fleet);
        if let Some(prompt) = &self.prompt {
            fleet.record_placed_prompt(now, target, prompt, speed);
        }
        let load_age = fleet.load_age(now);
        drop(fleet);
        self.log_placement(target, load_age);
    }

    /// Takes a token of a replica that limits its requests; without one the replica is closed here
    /// until there may be one.
    async fn take_limit_token(&self, target: &PlacedTarget) -> Result<(), TokenMissing> {
        let Some(rate) = target.request_limit else { return Ok(()) };
        let taken = request_limits::take(&self.gateway, &self.head.attempt_id, target, rate).await;
        taken.map_err(|wait| {
            lock(&self.gateway.fleet).close_until(target, self.gateway.now() + wait);
            TokenMissing
        })
    }

    fn try_placement(&self) -> Option<Placement<D, S>> {
        let gateway = &self.gateway;
        let now = gateway.now();
        let speed = *lock(&gateway.speed);
        let (rollout, min_weights) = {
            let view = lock(&gateway.view);
            let age = gateway.max_old_weights_age();
            let min_version = |prompt: &PromptSpec| view.min_weights(&prompt.model, now, age);
            (view.rollout(&self.pool).cloned(), self.prompt.as_ref().map_or(0, min_version))
        };
        let rollout = rollout.map(|it| {
            let stage = lock(&gateway.rollouts).stage(&self.pool, it.revision);
            (it, stage)
        });
        let (peers, gossip_delay) = {
            let members = lock(&gateway.members);
            (members.reachable(now).count(), members.gossip_delay())
        };
        let mut fleet = lock(&gateway.fleet);
        let choice = rollout.map(|(rollout, stage)| {
            ReleaseChoice::new(&fleet, &self.pool, rollout, stage, self.release_draw)
        });
        let engine = self.config.pools.get(&self.pool).and_then(|it| it.engine.as_ref());
        let place = |fleet: &mut FleetTable, releases: ReleaseFilter<'_>| {
            let query = PlacementQuery {
                pool: &self.pool,
                releases,
                excluded_targets: &self.excluded,
                min_weights,
            };
            match (&self.prompt, engine) {
                (Some(prompt), Some(engine)) => {
                    let old_weights_s = self.route.objective.as_secs_f64() * OLD_WEIGHTS_COST_SHARE;
                    let prompt_query =
                        PromptQuery { prompt, engine, speed, old_weights_s, peers, gossip_delay };
                    fleet.place_prompt(now, query, prompt_query)
                }
                _ => fleet.place_plain(now, query),
            }
        };
        let (target, evidence) = match &choice {
            None => (place(&mut fleet, ReleaseFilter::Any)?, None),
            Some(choice) => {
                let filters = choice.filters(&fleet);
                let target = filters.into_iter().find_map(|it| place(&mut fleet, it))?;
                let release = fleet.get(&target.id).map(|it| &it.entry.release);
                (target, release.and_then(|it| choice.evidence(it)))
            }
        };
        drop(fleet);
        Some(Placement {
            gateway: gateway.clone(),
            target,
            evidence,
            prefilled: false,
            crash_keys: self.crash_keys.clone(),
            is_sent: false,
            progress: AnswerProgress::default(),
            is_answered: false,
        })
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
        let sending =
            connections.send(target.address, target.id.as_str(), request, connection, left);
        tokio::pin!(sending);
        let timeout = self.attempt_timeout(target);
        let sent = match tokio::time::timeout(timeout, &mut sending).await {
            Ok(sent) => sent,
            Err(_) if self.abandons_attempt() => return Err(AttemptError::TooSlow),
            Err(_) => sending.await,
        };
        let answer = sent.map_err(AttemptError::Connection)?;
        let head = self.gateway.dialect.parse_answer(&answer.headers);
        self.record_notice(target, answer.status, &head);
        // A faulty replica may write the refusal of an earlier request once more.
        if head.attempt_id.as_deref() != Some(self.head.attempt_id.as_str()) {
            return Err(AttemptError::WrongAttempt);
        }
        if head.not_run || answer.status == StatusCode::MISDIRECTED_REQUEST {
            return Err(AttemptError::NotRun(answer.status, head));
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

impl<D: Dialect, S: Directory> Drop for Placement<D, S> {
    fn drop(&mut self) {
        if self.is_sent && !self.is_answered {
            crash_reports::record_unanswered(&self.gateway, self, &self.crash_keys);
        }
        lock(&self.gateway.fleet).release(&self.target, self.prefilled);
        self.gateway.capacity_freed.notify_one();
    }
}

//! Relays event streams to callers: whole events, in order, each once, also when another replica
//! continues the stream.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use http::{Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use policy::retry::RetryReason;
use web::client::CallError;

use crate::answer_end;
use crate::attempt_error::AttemptError;
use crate::body::{BodyAborted, CallerBody};
use crate::buffer_share::BufferShare;
use crate::buffered;
use crate::call::Call;
use crate::call_placement::Placement;
use crate::connections::{CallerResponse, OpenAnswer, ReusableConnection};
use crate::dialect::Dialect;
use crate::directory::Directory;
use crate::events::EventSplitter;
use crate::gateway::lock;
use crate::refusal::CallRefusal;

/// Produces a stream's events from one replica after the other.
struct StreamRelay<D: Dialect, S: Directory> {
    call: Call<D, S>,
    placement: Placement<D, S>,
    body: Incoming,
    connection: Option<ReusableConnection>,
    splitter: EventSplitter,
    /// The memory of the part of an event that has arrived.
    share: BufferShare,
    /// Events that the caller has not got yet.
    ready: VecDeque<Bytes>,
    last_event_id: Option<u64>,
    /// Whether the current replica continues what another one began.
    is_resumed: bool,
    /// Whether the current replica has sent an event.
    has_first_event: bool,
    /// Time from the request's arrival to its first event.
    first_event_after: Option<Duration>,
    /// When the latest events arrived, on the daemon's clock.
    last_events_at: Option<Duration>,
}

/// Result of reading one frame of the replica's stream.
enum StreamStep {
    Events,
    End,
}

/// Answers with the stream of `answer`, continued on other replicas if the route allows it.
pub(crate) fn answer<D: Dialect, S: Directory>(
    call: Call<D, S>,
    placement: Placement<D, S>,
    answer: OpenAnswer,
) -> CallerResponse {
    let (status, headers, body, connection) = answer.split();
    call.log_answer(&placement.target, status);
    let relay = StreamRelay {
        last_event_id: call.head.last_event_id,
        share: BufferShare::new(&call.gateway.buffers),
        call,
        placement,
        body,
        connection: Some(connection),
        splitter: EventSplitter::default(),
        ready: VecDeque::new(),
        is_resumed: false,
        has_first_event: false,
        first_event_after: None,
        last_events_at: None,
    };
    let chunks = stream::unfold(Some(relay), |relay| async move {
        let mut relay = relay?;
        match relay.next().await {
            Ok(Some(bytes)) => Some((Ok(bytes), Some(relay))),
            Ok(None) => None,
            Err(aborted) => Some((Err(aborted), None)),
        }
    });
    let mut response = Response::new(CallerBody::Chunks(Box::pin(chunks)));
    *response.status_mut() = status;
    *response.headers_mut() = buffered::end_to_end(headers);
    response
}

impl<D: Dialect, S: Directory> StreamRelay<D, S> {
    /// The next event; `None` at the regular end of the stream.
    async fn next(&mut self) -> Result<Option<Bytes>, BodyAborted> {
        loop {
            if let Some(bytes) = self.ready.pop_front() {
                return Ok(Some(bytes));
            }
            let left = self.call.deadline.saturating_sub(self.call.gateway.now());
            let error = match self.step_within(left).await {
                Ok(StreamStep::Events) => continue,
                Ok(StreamStep::End) => {
                    self.finish();
                    return Ok(None);
                }
                Err(error) => AttemptError::Connection(error),
            };
            self.resume(error).await?;
        }
    }

    async fn step_within(&mut self, left: Duration) -> Result<StreamStep, CallError> {
        // A timer has a resolution of a millisecond: one for each frame never fires while frames
        // come faster than that.
        if left.is_zero() {
            return Err(CallError::Timeout(left));
        }
        let step = tokio::time::timeout(left, self.step()).await;
        step.unwrap_or(Err(CallError::Timeout(left)))
    }

    /// Reads one frame, and queues its events without those that the caller already has.
    async fn step(&mut self) -> Result<StreamStep, CallError> {
        let broken = |text: String| CallError::Broken(text.into());
        let Some(frame) = self.body.frame().await else {
            if !self.splitter.is_at_boundary() {
                return Err(broken("the stream ended in the middle of an event".into()));
            }
            if let Some(connection) = &self.connection {
                let target = &self.placement.target;
                answer_end::check(&self.call.gateway, target, connection).await?;
            }
            return Ok(StreamStep::End);
        };
        let frame = frame.map_err(|error| broken(error.to_string()))?;
        if let Some(data) = frame.data_ref() {
            let wanted = self.splitter.capacity_with(data.len());
            self.share.resize(wanted).map_err(|error| broken(error.to_string()))?;
            self.splitter.push(data).map_err(|error| broken(error.to_string()))?;
        }
        let ready_before = self.ready.len();
        while let Some(event) = self.splitter.next_event() {
            if self.is_resumed && event.id.is_none() && !event.is_comment() {
                return Err(broken("a resumed stream has an event without an id".into()));
            }
            if let (Some(id), Some(last)) = (event.id, self.last_event_id)
                && id <= last
            {
                continue;
            }
            self.last_event_id = event.id.or(self.last_event_id);
            self.record_first_event();
            self.ready.push_back(event.bytes);
        }
        if self.ready.len() > ready_before {
            let now = self.call.gateway.now();
            self.placement.progress.record(now);
            if let Some(before) = self.last_events_at.replace(now) {
                self.call.gateway.metrics.record_event_gap(now.saturating_sub(before));
            }
        }
        Ok(StreamStep::Events)
    }

    /// On the first event of a replica, records the times and that the prompt is prefilled.
    fn record_first_event(&mut self) {
        if !self.has_first_event {
            self.has_first_event = true;
            let now = self.call.gateway.now();
            let after = now.saturating_sub(self.call.sent_at);
            if self.first_event_after.is_none() {
                let after = now.saturating_sub(self.call.started_at);
                self.call.gateway.metrics.record_first_event(after);
                self.first_event_after = Some(after);
            }
            self.call.record_first_token(&mut self.placement, after);
        }
    }

    /// Returns the connection to the pool and logs the end of the stream.
    fn finish(&mut self) {
        self.placement.is_answered = true;
        self.call.clear_crash_suspects();
        if let Some(connection) = self.connection.take() {
            self.call.gateway.connections.put_back(connection);
        }
        let ms = self.call.gateway.now().saturating_sub(self.call.started_at).as_millis() as u64;
        let first_ms = self.first_event_after.map(|it| it.as_millis() as u64);
        tracing::info!(
            request = %self.call.head.attempt_id, target = %self.placement.target.id, first_ms, ms,
            "stream: ended"
        );
    }

    /// Resumes the stream on another replica after the last event delivered; fails if that is not
    /// possible.
    async fn resume(&mut self, mut error: AttemptError) -> Result<(), BodyAborted> {
        // Closing the connection first cancels the request on the old replica.
        self.connection = None;
        self.drop_unfinished_event();
        tracing::info!(
            request = %self.call.head.attempt_id, target = %self.placement.target.id,
            event = self.last_event_id, "stream: failed on the replica: {error}"
        );
        loop {
            if let Err(refusal) = self.call.handle_failure(&mut self.placement, &error) {
                return Err(self.abort(&refusal));
            }
            let placement = match self.call.acquire_placement().await {
                Ok(placement) => placement,
                Err(refusal) => return Err(self.abort(&refusal)),
            };
            self.placement = placement;
            error = match self.call.send_attempt(&mut self.placement, self.last_event_id).await {
                Ok(answer) if answer.status == StatusCode::OK => {
                    self.continue_with(answer);
                    return Ok(());
                }
                Ok(answer) => {
                    let text = format!("status {}", answer.status);
                    AttemptError::Connection(CallError::Broken(text.into()))
                }
                Err(error) => error,
            };
        }
    }

    /// Frees the memory of an event whose rest is not going to arrive.
    fn drop_unfinished_event(&mut self) {
        self.splitter = EventSplitter::default();
        self.share = BufferShare::new(&self.call.gateway.buffers);
    }

    /// Counts and logs a stream that ends without its regular end.
    fn abort(&self, refusal: &CallRefusal) -> BodyAborted {
        self.call.gateway.metrics.record_refusal(refusal.kind.code());
        tracing::warn!(
            request = %self.call.head.attempt_id, kind = %refusal.kind, "stream: aborted"
        );
        BodyAborted
    }

    /// Reads from the answer of another replica from now on.
    fn continue_with(&mut self, answer: OpenAnswer) {
        let (_, _, body, connection) = answer.split();
        self.body = body;
        self.connection = Some(connection);
        self.is_resumed = true;
        self.has_first_event = false;
        self.call.gateway.metrics.record_retry(RetryReason::StreamReplayed.code());
        let now = self.call.gateway.now();
        lock(&self.call.gateway.fleet).record_success(now, &self.placement.target);
        tracing::info!(
            request = %self.call.head.attempt_id, target = %self.placement.target.id,
            event = self.last_event_id, "stream: resumed on another replica"
        );
    }
}

//! The event stream of a replica to its caller: whole events, in order, once each.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use http::{Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use policy::retry::RetryReason;
use web::client::CallError;

use crate::attempt_error::AttemptError;
use crate::body::{BodyAborted, CallerBody};
use crate::buffered;
use crate::call::{Call, Placement};
use crate::connections::{CallerResponse, OpenAnswer, ReusableConnection};
use crate::dialect::Dialect;
use crate::directory::Directory;
use crate::events::EventSplitter;
use crate::gateway::lock;
use crate::refusal::CallRefusal;

/// The source of a stream's events: one replica after the other.
struct StreamPump<D: Dialect, S: Directory> {
    call: Call<D, S>,
    place: Placement<D, S>,
    body: Incoming,
    rest: Option<ReusableConnection>,
    splitter: EventSplitter,
    ready: VecDeque<Bytes>,
    last_event: Option<u64>,
    begun: bool,
    /// When the caller's first event came, since the request began.
    first_after: Option<Duration>,
    /// When events came last.
    came_at: Option<Duration>,
}

/// What the replica's stream gave.
enum StreamStep {
    Events,
    End,
}

/// Answers with the stream of `answer`, continued on other replicas if it may be.
pub(crate) fn answer<D: Dialect, S: Directory>(
    call: Call<D, S>,
    place: Placement<D, S>,
    answer: OpenAnswer,
) -> CallerResponse {
    let (status, headers, body, rest) = answer.split();
    call.log_answer(&place.target, status);
    let pump = StreamPump {
        last_event: call.head.last_event_id,
        call,
        place,
        body,
        rest: Some(rest),
        splitter: EventSplitter::default(),
        ready: VecDeque::new(),
        begun: false,
        first_after: None,
        came_at: None,
    };
    let pieces = stream::unfold(Some(pump), |pump| async move {
        let mut pump = pump?;
        match pump.next().await {
            Ok(Some(bytes)) => Some((Ok(bytes), Some(pump))),
            Ok(None) => None,
            Err(broken) => Some((Err(broken), None)),
        }
    });
    let mut response = Response::new(CallerBody::Chunks(Box::pin(pieces)));
    *response.status_mut() = status;
    *response.headers_mut() = buffered::end_to_end(headers);
    response
}

impl<D: Dialect, S: Directory> StreamPump<D, S> {
    /// The next events as one piece; `None` at the proper end.
    async fn next(&mut self) -> Result<Option<Bytes>, BodyAborted> {
        loop {
            if let Some(bytes) = self.ready.pop_front() {
                return Ok(Some(bytes));
            }
            let left = self.call.until.saturating_sub(self.call.gateway.now());
            let step = tokio::time::timeout(left, self.step()).await;
            let fault = match step {
                Ok(Ok(StreamStep::Events)) => continue,
                Ok(Ok(StreamStep::End)) => {
                    self.finish();
                    return Ok(None);
                }
                Ok(Err(fault)) => AttemptError::Exchange(fault),
                Err(_) => AttemptError::Exchange(CallError::Timeout(left)),
            };
            self.go_on(fault).await?;
        }
    }

    async fn step(&mut self) -> Result<StreamStep, CallError> {
        let broken = |text: String| CallError::Broken(text.into());
        let Some(frame) = self.body.frame().await else {
            return match self.splitter.is_at_boundary() {
                true => Ok(StreamStep::End),
                false => Err(broken("the stream ended inside an event".into())),
            };
        };
        let frame = frame.map_err(|error| broken(error.to_string()))?;
        if let Some(data) = frame.data_ref() {
            self.splitter.push(data).map_err(|error| broken(error.to_string()))?;
        }
        let ready_before = self.ready.len();
        while let Some(event) = self.splitter.next_event() {
            if let (Some(id), Some(last)) = (event.id, self.last_event)
                && id <= last
            {
                continue;
            }
            self.last_event = event.id.or(self.last_event);
            self.begin();
            self.ready.push_back(event.bytes);
        }
        if self.ready.len() > ready_before {
            let now = self.call.gateway.now();
            if let Some(before) = self.came_at.replace(now) {
                self.call.gateway.metrics.record_event_gap(now.saturating_sub(before));
            }
        }
        Ok(StreamStep::Events)
    }

    /// The first event of a replica came.
    fn begin(&mut self) {
        if !self.begun {
            self.begun = true;
            let now = self.call.gateway.now();
            let after = now.saturating_sub(self.call.sent_at);
            if self.first_after.is_none() {
                let after = now.saturating_sub(self.call.began);
                self.call.gateway.metrics.record_first_event(after);
                self.first_after = Some(after);
            }
            self.call.prefilled(&mut self.place, after);
        }
    }

    fn finish(&mut self) {
        if let Some(rest) = self.rest.take() {
            self.call.gateway.connections.put_back(rest);
        }
        let ms = self.call.gateway.now().saturating_sub(self.call.began).as_millis() as u64;
        let first_ms = self.first_after.map(|it| it.as_millis() as u64);
        tracing::info!(
            request = %self.call.head.attempt_id, target = %self.place.target.id, first_ms, ms,
            "stream: ended"
        );
    }

    /// Goes on at another replica after the last event delivered, or breaks the answer off.
    async fn go_on(&mut self, mut fault: AttemptError) -> Result<(), BodyAborted> {
        // Closing the connection first ends what the replica may still do.
        self.rest = None;
        tracing::info!(
            request = %self.call.head.attempt_id, target = %self.place.target.id,
            event = self.last_event, "stream: broke: {fault}"
        );
        loop {
            if let Err(refusal) = self.call.after_fault(&self.place, &fault) {
                return Err(self.break_off(&refusal));
            }
            let place = match self.call.acquire_placement().await {
                Ok(place) => place,
                Err(refusal) => return Err(self.break_off(&refusal)),
            };
            self.place = place;
            fault = match self.call.exchange(&self.place, self.last_event).await {
                Ok(answer) if answer.status == StatusCode::OK => {
                    self.take_over(answer);
                    return Ok(());
                }
                Ok(answer) => {
                    let text = format!("status {}", answer.status);
                    AttemptError::Exchange(CallError::Broken(text.into()))
                }
                Err(fault) => fault,
            };
        }
    }

    fn break_off(&self, refusal: &CallRefusal) -> BodyAborted {
        self.call.gateway.metrics.record_refusal(refusal.kind.code());
        tracing::warn!(
            request = %self.call.head.attempt_id, kind = %refusal.kind, "stream: broken off"
        );
        BodyAborted
    }

    fn take_over(&mut self, answer: OpenAnswer) {
        let (_, _, body, rest) = answer.split();
        self.body = body;
        self.rest = Some(rest);
        self.splitter = EventSplitter::default();
        self.begun = false;
        self.call.gateway.metrics.record_retry(RetryReason::StreamReplayed.code());
        let now = self.call.gateway.now();
        lock(&self.call.gateway.fleet).record_success(now, &self.place.target);
        tracing::info!(
            request = %self.call.head.attempt_id, target = %self.place.target.id,
            event = self.last_event, "stream: goes on"
        );
    }
}

//! Relays the stream of a model's answer to its caller: every piece in order and once, or an error
//! event at the end.

use std::collections::BTreeMap;
use std::io;
use std::time::Instant;

use bytes::Bytes;
use dropshot::Body;
use futures::stream;
use http::{HeaderMap, HeaderValue, Response};
use ids::{ErrorKind, Refusal, RunState};
use policy::retry::RetryReason;
use policy::stream_order::{PieceCheck, StreamOrder};
use serde_json::Value;
use targets::{AnswerHead, ExchangeError, StreamEvent};
use tokio::sync::mpsc;

use crate::model_call::ModelRequest;
use crate::model_exchange::{StartedAnswer, StartedStream};
use crate::place::PlacedTarget;
use crate::rate_limit::RateGrant;
use crate::refusal::refusal_json;

/// Maximum events that are buffered for a slow caller.
const MAX_BUFFERED_EVENTS: usize = 64;
/// Maximum distance by which a piece may arrive ahead of the next one due.
const MAX_PIECES_AHEAD: u64 = 8;
/// Maximum recoveries of one stream.
const MAX_RECOVERIES: u32 = 3;

/// Why a stream ended.
enum StreamEnd {
    Complete,
    /// The caller disconnected or read too slowly.
    CallerLeft,
    Failed(Refusal),
}

/// Result of handling one event of the stream.
enum StreamStep {
    Continue,
    Broken(ExchangeError),
    End(StreamEnd),
}

/// Relays one answer, from one attempt after the other.
struct StreamRelay {
    model: ModelRequest,
    started: StartedAnswer<StartedStream>,
    order: StreamOrder,
    /// Pieces that arrived before one with a lower number.
    early_pieces: BTreeMap<u64, Value>,
    caller: mpsc::Sender<io::Result<Bytes>>,
    /// Total tokens as the engine reported them.
    used_tokens: Option<u64>,
    recoveries: u32,
    last_piece_at: Instant,
}

/// The answer to the caller, which a new task fills from the attempt's stream.
pub(crate) fn stream_response(
    model: ModelRequest,
    started: StartedAnswer<StartedStream>,
    grant: Option<RateGrant>,
) -> Response<Body> {
    let (sender, mut receiver) = mpsc::channel(MAX_BUFFERED_EVENTS);
    let pieces = stream::poll_fn(move |context| receiver.poll_recv(context));
    let mut response = Response::new(web::stream_body(pieces));
    let headers = response.headers_mut();
    headers.insert(http::header::CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(http::header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    add_target_headers(headers, &started.placement.target, started.head);
    let in_flight = model.router.track_request();
    let relay = StreamRelay {
        model,
        started,
        order: StreamOrder::default(),
        early_pieces: BTreeMap::new(),
        caller: sender,
        used_tokens: None,
        recoveries: 0,
        last_piece_at: Instant::now(),
    };
    tokio::spawn(async move {
        relay.run(grant).await;
        drop(in_flight);
    });
    response
}

/// Adds headers with the target, its cached prompt tokens and the version that ran.
pub(crate) fn add_target_headers(headers: &mut HeaderMap, target: &PlacedTarget, head: AnswerHead) {
    if let Ok(value) = HeaderValue::from_str(target.id.as_str()) {
        headers.insert("x-kingcupshift-target", value);
    }
    if let Some(cached) = head.cached_tokens {
        headers.insert("x-kingcupshift-cached-tokens", cached.into());
    }
    if let Some(version) = head.version {
        headers.insert("x-kingcupshift-version", version.0.into());
    }
}

impl StreamRelay {
    /// Relays the stream to its end, then refunds the granted tokens that were not used.
    async fn run(mut self, grant: Option<RateGrant>) {
        let end = self.relay_events().await;
        let metrics = &self.model.router.metrics;
        match &end {
            StreamEnd::Complete => self.model.finish(&self.started.placement.target),
            StreamEnd::CallerLeft => {
                metrics.cancelled.inc();
                self.model.cancel(&self.started.placement.target, &self.started.attempt).await;
            }
            StreamEnd::Failed(refusal) => {
                metrics.record_refusal(refusal);
                tracing::warn!(
                    request = %self.model.id, kind = %refusal.kind,
                    "stream: ended with an error event"
                );
                let text = refusal_json(refusal, &self.model.id);
                let event = format!("event: error\ndata: {text}\n\n");
                let _ = self.caller.send(Ok(event.into())).await;
                self.model.cancel(&self.started.placement.target, &self.started.attempt).await;
            }
        }
        let used = self.used_tokens.unwrap_or(self.model.query.tokens + self.order.delivered());
        self.model.refund_unused(grant, Some(used)).await;
    }

    /// Relays events until the stream ends, the caller leaves or its key is withdrawn.
    async fn relay_events(&mut self) -> StreamEnd {
        let mut catalogs = self.model.router.catalog.subscribe();
        let mut next = Ok(self.started.answer.first.clone());
        let timeout = self.model.router.settings.timeouts.next_token_ms.duration();
        loop {
            let step = match next {
                Ok(event) => self.handle_event(event).await,
                Err(error) => StreamStep::Broken(error),
            };
            match step {
                StreamStep::Continue => {}
                StreamStep::End(end) => return end,
                StreamStep::Broken(error) => {
                    if let Some(end) = self.recover(error).await {
                        return end;
                    }
                }
            }
            next = loop {
                tokio::select! {
                    event = self.started.answer.reader.next(timeout) => break event,
                    () = self.caller.closed() => return StreamEnd::CallerLeft,
                    _ = catalogs.changed() => if self.is_key_withdrawn() {
                        let refusal = Refusal::not_run(ErrorKind::KeyRefused);
                        return StreamEnd::Failed(Refusal { run: RunState::Ran, ..refusal });
                    },
                }
            };
        }
    }

    /// Handles one event of the engine: a piece, the usage or the end mark.
    async fn handle_event(&mut self, event: StreamEvent) -> StreamStep {
        match event {
            StreamEvent::Piece { number, data } => self.handle_piece(number, &data).await,
            StreamEvent::Other(data) => {
                let value: Value = serde_json::from_slice(&data).unwrap_or_default();
                self.used_tokens = value["usage"]["total_tokens"].as_u64().or(self.used_tokens);
                self.send(format!("data: {}\n\n", self.with_request_id(value))).await
            }
            StreamEvent::End if !self.early_pieces.is_empty() => StreamStep::Broken(
                ExchangeError::Broken("pieces before the end mark are missing".into()),
            ),
            StreamEvent::End => {
                self.order.end();
                match self.send("data: [DONE]\n\n".into()).await {
                    StreamStep::Continue => StreamStep::End(StreamEnd::Complete),
                    step => step,
                }
            }
        }
    }

    /// Delivers a piece, and early pieces that follow it; keeps it if it is early itself.
    async fn handle_piece(&mut self, number: u64, data: &[u8]) -> StreamStep {
        let Ok(value) = serde_json::from_slice::<Value>(data) else {
            return StreamStep::Broken(ExchangeError::Broken("a piece is not valid JSON".into()));
        };
        let next = self.order.delivered() + 1;
        if number > next && number <= next + MAX_PIECES_AHEAD {
            self.early_pieces.insert(number, value);
            return StreamStep::Continue;
        }
        let mut step = self.deliver_piece(number, value).await;
        while let StreamStep::Continue = step {
            let next = self.order.delivered() + 1;
            let Some(value) = self.early_pieces.remove(&next) else { break };
            step = self.deliver_piece(next, value).await;
        }
        step
    }

    /// Sends a piece to the caller if it is the next one; drops a duplicate.
    async fn deliver_piece(&mut self, number: u64, value: Value) -> StreamStep {
        let content = value["choices"].to_string();
        match self.order.check(number, content.as_bytes()) {
            PieceCheck::Drop => StreamStep::Continue,
            PieceCheck::Gap => {
                StreamStep::Broken(ExchangeError::Broken("a piece is missing".into()))
            }
            PieceCheck::Differs => StreamStep::End(StreamEnd::Failed(stream_cut(
                "the replay on another replica gave a different answer",
            ))),
            PieceCheck::Deliver => {
                self.model.run = RunState::Ran;
                if number > 1 {
                    self.record_token_gap();
                }
                self.last_piece_at = Instant::now();
                self.send(format!("id: {number}\ndata: {}\n\n", self.with_request_id(value))).await
            }
        }
    }

    /// Recovers a broken stream: resumes it on the same replica, or replays it on another. Returns
    /// the end of the stream if neither is possible.
    async fn recover(&mut self, error: ExchangeError) -> Option<StreamEnd> {
        self.recoveries += 1;
        self.early_pieces.clear();
        tracing::info!(request = %self.model.id, "stream: broken, recovering if allowed: {error}");
        if self.recoveries > MAX_RECOVERIES {
            return Some(StreamEnd::Failed(stream_cut("the stream broke too often")));
        }
        let target = self.started.placement.target.clone();
        let delivered = self.order.delivered();
        if let Some(reader) =
            self.model.resume_stream(&target, &self.started.attempt, delivered).await
        {
            self.model.router.metrics.record_retry(RetryReason::StreamResumed);
            self.started.answer.reader = reader;
            return None;
        }
        self.model.handle_broken_answer(&target, &self.started.attempt, &error).await;
        if delivered > 0 && !self.model.body.is_repeatable {
            return Some(StreamEnd::Failed(stream_cut(
                "the stream broke, and the answer is not repeatable",
            )));
        }
        if !self.model.scheduler.spend_retry() {
            return Some(StreamEnd::Failed(stream_cut(
                "the stream broke, and the pool has no retries left",
            )));
        }
        self.model.query.avoid.push(target.id);
        self.model.query.only_version = self.started.head.version.filter(|_| delivered > 0);
        match self.model.start_stream().await {
            Ok(started) => {
                self.model.router.metrics.record_retry(RetryReason::StreamReplayed);
                self.started = started;
                match self.handle_event(self.started.answer.first.clone()).await {
                    StreamStep::Continue => None,
                    StreamStep::End(end) => Some(end),
                    StreamStep::Broken(_) => {
                        Some(StreamEnd::Failed(stream_cut("the replay on another replica broke")))
                    }
                }
            }
            Err(refusal) => Some(StreamEnd::Failed(Refusal { run: self.model.run, ..refusal })),
        }
    }

    /// Sends an event to the caller, waiting at most for the read timeout of the settings.
    async fn send(&mut self, text: String) -> StreamStep {
        let timeout = self.model.router.settings.timeouts.caller_read_ms.duration();
        match tokio::time::timeout(timeout, self.caller.send(Ok(text.into()))).await {
            Ok(Ok(())) => StreamStep::Continue,
            // Disconnected, or reading so slowly that it is treated as disconnected.
            _ => StreamStep::End(StreamEnd::CallerLeft),
        }
    }

    /// Replaces an attempt's id in an event by the request's id, which is the same over all
    /// attempts.
    fn with_request_id(&self, mut value: Value) -> Value {
        if let Some(id) = value.get_mut("id") {
            *id = self.model.id.as_str().into();
        }
        value
    }

    fn record_token_gap(&self) {
        let customer = self.model.customer.as_ref().map_or("-", |it| it.as_str());
        let metrics = &self.model.router.metrics;
        metrics.record_token_gap(customer, self.model.route.as_str(), self.last_piece_at.elapsed());
    }

    /// Whether the caller's key was withdrawn since the stream started.
    fn is_key_withdrawn(&self) -> bool {
        let Some(key) = &self.model.key else { return false };
        let router = &self.model.router;
        if router.is_key_blocked(key) {
            return true;
        }
        let catalog = router.catalog.current();
        catalog.is_some_and(|it| !it.keys.contains_key(key))
    }
}

/// The refusal that ends a stream whose rest cannot be delivered.
fn stream_cut(detail: &str) -> Refusal {
    let refusal = Refusal::not_run(ErrorKind::StreamCut).detail(detail);
    Refusal { run: RunState::Ran, ..refusal }
}

//! The stream of a model's answer to its caller: whole, in order, once, or ended by an error.

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
use targets::{AnswerLabels, ExchangeError, StreamEvent};
use tokio::sync::mpsc;

use crate::model_call::ModelRequest;
use crate::model_exchange::{StartedAnswer, StartedStream};
use crate::placement_query::PlacedTarget;
use crate::rate_limit::RateGrant;
use crate::refusal::refusal_json;

/// Pieces that may wait for a slow caller.
const WAITING_PIECES: usize = 64;
/// Pieces that may come ahead of their turn.
const PIECES_AHEAD: u64 = 8;
/// Times one stream is mended.
const MAX_MENDS: u32 = 3;

/// Why a stream ended.
enum StreamEnd {
    Whole,
    CallerLeft,
    Failed(Refusal),
}

/// What a piece did to the stream.
enum PieceStep {
    Go,
    Broken(ExchangeError),
    End(StreamEnd),
}

struct Pump {
    model: ModelRequest,
    begun: StartedAnswer<StartedStream>,
    order: StreamOrder,
    /// Pieces that came ahead of their turn.
    ahead: BTreeMap<u64, Value>,
    out: mpsc::Sender<io::Result<Bytes>>,
    used: Option<u64>,
    mends: u32,
    last_piece: Instant,
}

/// The answer that streams what the attempt gives.
pub(crate) fn stream_answer(
    model: ModelRequest,
    begun: StartedAnswer<StartedStream>,
    ticket: Option<RateGrant>,
) -> Response<Body> {
    let (sender, mut receiver) = mpsc::channel(WAITING_PIECES);
    let pieces = stream::poll_fn(move |context| receiver.poll_recv(context));
    let mut response = Response::new(web::piece_body(pieces));
    let headers = response.headers_mut();
    headers.insert(http::header::CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(http::header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    label_answer(headers, &begun.slot.target, begun.labels);
    let open = model.router.track_request();
    let pump = Pump {
        model,
        begun,
        order: StreamOrder::default(),
        ahead: BTreeMap::new(),
        out: sender,
        used: None,
        mends: 0,
        last_piece: Instant::now(),
    };
    tokio::spawn(async move {
        pump.run(ticket).await;
        drop(open);
    });
    response
}

/// Tells the caller which target served, and what it found cached.
pub(crate) fn label_answer(headers: &mut HeaderMap, placed: &PlacedTarget, labels: AnswerLabels) {
    if let Ok(value) = HeaderValue::from_str(placed.id.as_str()) {
        headers.insert("x-kingcupshift-target", value);
    }
    if let Some(cached) = labels.cached_tokens {
        headers.insert("x-kingcupshift-cached-tokens", cached.into());
    }
    if let Some(version) = labels.version {
        headers.insert("x-kingcupshift-version", version.0.into());
    }
}

impl Pump {
    async fn run(mut self, ticket: Option<RateGrant>) {
        let end = self.carry().await;
        let metrics = &self.model.router.metrics;
        match &end {
            StreamEnd::Whole => self.model.finish(&self.begun.slot.target),
            StreamEnd::CallerLeft => {
                metrics.cancelled.inc();
                self.model.cancel(&self.begun.slot.target, &self.begun.attempt).await;
            }
            StreamEnd::Failed(refusal) => {
                metrics.record_refusal(refusal);
                tracing::warn!(request = %self.model.id, kind = %refusal.kind, "stream: ended");
                let text = refusal_json(refusal, &self.model.id);
                let event = format!("event: error\ndata: {text}\n\n");
                let _ = self.out.send(Ok(event.into())).await;
                self.model.cancel(&self.begun.slot.target, &self.begun.attempt).await;
            }
        }
        let used = self.used.unwrap_or(self.model.place.tokens + self.order.delivered());
        self.model.settle(ticket, Some(used)).await;
    }

    async fn carry(&mut self) -> StreamEnd {
        let mut catalogs = self.model.router.catalog.subscribe();
        let mut next = Ok(self.begun.answer.first.clone());
        let time = self.model.router.settings.timeouts.next_token_ms.duration();
        loop {
            let step = match next {
                Ok(event) => self.take(event).await,
                Err(error) => PieceStep::Broken(error),
            };
            match step {
                PieceStep::Go => {}
                PieceStep::End(end) => return end,
                PieceStep::Broken(error) => {
                    if let Some(end) = self.mend(error).await {
                        return end;
                    }
                }
            }
            next = loop {
                tokio::select! {
                    event = self.begun.answer.reader.next(time) => break event,
                    () = self.out.closed() => return StreamEnd::CallerLeft,
                    _ = catalogs.changed() => if self.is_withdrawn() {
                        let refusal = Refusal::not_run(ErrorKind::KeyRefused);
                        return StreamEnd::Failed(Refusal { run: RunState::Ran, ..refusal });
                    },
                }
            };
        }
    }

    async fn take(&mut self, event: StreamEvent) -> PieceStep {
        match event {
            StreamEvent::Piece { number, data } => self.take_piece(number, &data).await,
            StreamEvent::Note(data) => {
                let value: Value = serde_json::from_slice(&data).unwrap_or_default();
                self.used = value["usage"]["total_tokens"].as_u64().or(self.used);
                self.send(format!("data: {}\n\n", self.own_id(value))).await
            }
            StreamEvent::End if !self.ahead.is_empty() => {
                PieceStep::Broken(ExchangeError::Broken("a piece is missing at the end".into()))
            }
            StreamEvent::End => {
                self.order.end();
                match self.send("data: [DONE]\n\n".into()).await {
                    PieceStep::Go => PieceStep::End(StreamEnd::Whole),
                    step => step,
                }
            }
        }
    }

    async fn take_piece(&mut self, number: u64, data: &[u8]) -> PieceStep {
        let Ok(value) = serde_json::from_slice::<Value>(data) else {
            return PieceStep::Broken(ExchangeError::Broken("a piece is no JSON".into()));
        };
        let next = self.order.delivered() + 1;
        if number > next && number <= next + PIECES_AHEAD {
            self.ahead.insert(number, value);
            return PieceStep::Go;
        }
        let mut step = self.take_in_turn(number, value).await;
        while let PieceStep::Go = step {
            let next = self.order.delivered() + 1;
            let Some(value) = self.ahead.remove(&next) else { break };
            step = self.take_in_turn(next, value).await;
        }
        step
    }

    async fn take_in_turn(&mut self, number: u64, value: Value) -> PieceStep {
        let content = value["choices"].to_string();
        match self.order.check(number, content.as_bytes()) {
            PieceCheck::Drop => PieceStep::Go,
            PieceCheck::Gap => {
                PieceStep::Broken(ExchangeError::Broken("a piece is missing".into()))
            }
            PieceCheck::Differs => PieceStep::End(StreamEnd::Failed(cut("the replay differs"))),
            PieceCheck::Deliver => {
                self.model.run = RunState::Ran;
                if number > 1 {
                    self.observe_between();
                }
                self.last_piece = Instant::now();
                self.send(format!("id: {number}\ndata: {}\n\n", self.own_id(value))).await
            }
        }
    }

    /// Mends a broken stream, on the same replica or by a replay on another; an end if it can't.
    async fn mend(&mut self, error: ExchangeError) -> Option<StreamEnd> {
        self.mends += 1;
        self.ahead.clear();
        tracing::info!(request = %self.model.id, "stream: broke: {error}");
        if self.mends > MAX_MENDS {
            return Some(StreamEnd::Failed(cut("it broke too often")));
        }
        let placed = self.begun.slot.target.clone();
        let delivered = self.order.delivered();
        if let Some(reader) = self.model.resume(&placed, &self.begun.attempt, delivered).await {
            self.model.router.metrics.record_retry(RetryReason::StreamResumed);
            self.begun.answer.reader = reader;
            return None;
        }
        self.model.after_break(&placed, &self.begun.attempt, &error).await;
        if delivered > 0 && !self.model.body.repeats {
            return Some(StreamEnd::Failed(cut("the answer cannot be repeated")));
        }
        if !self.model.scheduler.spend_retry() {
            return Some(StreamEnd::Failed(cut("too many retries under way")));
        }
        self.model.place.avoid.push(placed.id);
        self.model.place.only_version = self.begun.labels.version.filter(|_| delivered > 0);
        match self.model.begin_stream().await {
            Ok(begun) => {
                self.model.router.metrics.record_retry(RetryReason::StreamReplayed);
                self.begun = begun;
                match self.take(self.begun.answer.first.clone()).await {
                    PieceStep::Go => None,
                    PieceStep::End(end) => Some(end),
                    PieceStep::Broken(_) => Some(StreamEnd::Failed(cut("the replay broke"))),
                }
            }
            Err(refusal) => Some(StreamEnd::Failed(Refusal { run: self.model.run, ..refusal })),
        }
    }

    async fn send(&mut self, text: String) -> PieceStep {
        let time = self.model.router.settings.timeouts.caller_read_ms.duration();
        match tokio::time::timeout(time, self.out.send(Ok(text.into()))).await {
            Ok(Ok(())) => PieceStep::Go,
            // It left, or reads so slowly that it is taken to have left.
            _ => PieceStep::End(StreamEnd::CallerLeft),
        }
    }

    /// The chunk under the caller's request id: attempts have ids of their own.
    fn own_id(&self, mut value: Value) -> Value {
        if let Some(id) = value.get_mut("id") {
            *id = self.model.id.as_str().into();
        }
        value
    }

    fn observe_between(&self) {
        let customer = self.model.customer.as_ref().map_or("-", |it| it.as_str());
        let metrics = &self.model.router.metrics;
        metrics.record_token_gap(customer, self.model.route.as_str(), self.last_piece.elapsed());
    }

    fn is_withdrawn(&self) -> bool {
        let Some(key) = &self.model.key else { return false };
        let router = &self.model.router;
        if router.is_key_blocked(key) {
            return true;
        }
        let catalog = router.catalog.current();
        catalog.is_some_and(|it| !it.keys.contains_key(key))
    }
}

fn cut(detail: &str) -> Refusal {
    let refusal = Refusal::not_run(ErrorKind::StreamCut).detail(detail);
    Refusal { run: RunState::Ran, ..refusal }
}

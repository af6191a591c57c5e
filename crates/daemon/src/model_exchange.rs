//! One exchange with an engine: a stream opened or resumed, or a whole answer.

use std::time::Instant;

use bytes::Bytes;
use http::{Request, StatusCode};
use ids::RequestId;
use ports::SystemClock;
use targets::{AnswerHead, EventReader, ExchangeError, StreamEvent};
use web::client::Connection;

use crate::model_call::ModelRequest;
use crate::placement_query::PlacedTarget;
use crate::slot::Placement;

/// An attempt whose answer has begun.
#[derive(Debug)]
pub(crate) struct StartedAnswer<A> {
    pub(crate) slot: Placement<SystemClock>,
    pub(crate) attempt: RequestId,
    pub(crate) labels: AnswerHead,
    pub(crate) answer: A,
}

/// A stream whose first event has come.
#[derive(Debug)]
pub(crate) struct StartedStream {
    pub(crate) reader: EventReader,
    pub(crate) first: StreamEvent,
}

/// Why an attempt gave no answer.
#[derive(Debug)]
pub(crate) enum AttemptError {
    /// What happened on the wire.
    Exchange(ExchangeError),
    /// The engine refused, with this status and body.
    Status(StatusCode, Bytes, AnswerHead),
}

impl From<ExchangeError> for AttemptError {
    fn from(error: ExchangeError) -> AttemptError {
        AttemptError::Exchange(error)
    }
}

impl ModelRequest {
    fn engine_request(&self, placed: &PlacedTarget, after: Option<u64>) -> Request<Bytes> {
        let mut request = Request::new(self.engine_body.clone());
        *request.method_mut() = http::Method::POST;
        let uri = format!("http://{}{}", placed.address, self.body.api.path());
        *request.uri_mut() = uri.parse().expect("an address and a fixed path make a URI");
        let json = http::HeaderValue::from_static("application/json");
        request.headers_mut().insert(http::header::CONTENT_TYPE, json);
        if let Some(number) = after {
            request.headers_mut().insert("last-event-id", number.into());
        }
        request
    }

    pub(crate) async fn open_stream(
        &self,
        placed: &PlacedTarget,
        attempt: &RequestId,
    ) -> Result<(AnswerHead, StartedStream), AttemptError> {
        let deadline = self.router.settings.timeouts.first_token_ms.duration();
        let until = Instant::now() + deadline;
        let request = self.engine_request(placed, None);
        let pooled = Connection::Pooled;
        let engines = &self.router.engines;
        let answer = engines
            .send_request(request, attempt, pooled, deadline, placed.echoes_request_id)
            .await?;
        let labels = AnswerHead::parse(answer.headers());
        if !answer.status().is_success() {
            let status = answer.status();
            let body = http_body_util::BodyExt::collect(answer.into_body()).await;
            let body = body.unwrap_or_default().to_bytes();
            return Err(AttemptError::Status(status, body, labels));
        }
        let mut reader = EventReader::new(answer.into_body(), 0);
        let first = reader.next(until.saturating_duration_since(Instant::now())).await?;
        Ok((labels, StartedStream { reader, first }))
    }

    /// Opens the stream of a running attempt again, after the pieces delivered.
    pub(crate) async fn resume(
        &self,
        placed: &PlacedTarget,
        attempt: &RequestId,
        delivered: u64,
    ) -> Option<EventReader> {
        let deadline = self.router.settings.timeouts.next_token_ms.duration();
        let request = self.engine_request(placed, Some(delivered));
        let fresh = Connection::Fresh;
        let engines = &self.router.engines;
        let answer = engines
            .send_request(request, attempt, fresh, deadline, placed.echoes_request_id)
            .await
            .ok()?;
        answer.status().is_success().then(|| EventReader::new(answer.into_body(), delivered))
    }

    pub(crate) async fn call_whole(
        &self,
        placed: &PlacedTarget,
        attempt: &RequestId,
    ) -> Result<(AnswerHead, Bytes), AttemptError> {
        let timeouts = &self.router.settings.timeouts;
        let tokens = u32::try_from(self.body.max_tokens).unwrap_or(u32::MAX);
        // An answer that comes in one piece takes as long as all its tokens.
        let deadline = timeouts.first_token_ms.duration()
            + (timeouts.next_token_ms.duration() / 20).saturating_mul(tokens);
        let limit = self.router.settings.limits.answer_bytes;
        let request = self.engine_request(placed, None);
        let pooled = Connection::Pooled;
        let engines = &self.router.engines;
        let answer = engines
            .call(request, attempt, pooled, deadline, limit, placed.echoes_request_id)
            .await?;
        let labels = AnswerHead::parse(answer.headers());
        if !answer.status().is_success() {
            return Err(AttemptError::Status(answer.status(), answer.into_body(), labels));
        }
        Ok((labels, answer.into_body()))
    }
}

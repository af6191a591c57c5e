//! Sends one attempt of a model request to an engine: opens or resumes a stream, or gets a
//! buffered answer.

use std::time::Instant;

use bytes::Bytes;
use http::{Request, StatusCode};
use ids::RequestId;
use ports::SystemClock;
use targets::{AnswerHead, EventReader, ExchangeError, StreamEvent};
use web::body_reader;
use web::client::{CallError, Connection};

use crate::model_call::ModelRequest;
use crate::place::PlacedTarget;
use crate::slot::Placement;

/// An attempt whose answer has started, with the slot that it occupies.
#[derive(Debug)]
pub(crate) struct StartedAnswer<A> {
    pub(crate) placement: Placement<SystemClock>,
    pub(crate) attempt: RequestId,
    pub(crate) head: AnswerHead,
    pub(crate) answer: A,
}

/// A stream whose first event has arrived.
#[derive(Debug)]
pub(crate) struct StartedStream {
    pub(crate) reader: EventReader,
    pub(crate) first: StreamEvent,
}

/// Why an attempt failed.
#[derive(Debug)]
pub(crate) enum AttemptError {
    /// The exchange failed, or the answer could not be read.
    Exchange(ExchangeError),
    /// The engine answered with an error status; with its body and headers.
    Status(StatusCode, Bytes, AnswerHead),
}

impl From<ExchangeError> for AttemptError {
    fn from(error: ExchangeError) -> AttemptError {
        AttemptError::Exchange(error)
    }
}

impl ModelRequest {
    /// Builds the request to an engine; `last_event_id` resumes the stream after that event.
    fn build_request(&self, target: &PlacedTarget, last_event_id: Option<u64>) -> Request<Bytes> {
        let mut request = Request::new(self.engine_body.clone());
        *request.method_mut() = http::Method::POST;
        let uri = format!("http://{}{}", target.address, self.body.api.path());
        *request.uri_mut() = uri.parse().expect("an address and a fixed path are a valid URI");
        let json = http::HeaderValue::from_static("application/json");
        request.headers_mut().insert(http::header::CONTENT_TYPE, json);
        if let Some(number) = last_event_id {
            request.headers_mut().insert("last-event-id", number.into());
        }
        request
    }

    /// Opens a stream and waits for its first event, up to the first-token timeout.
    pub(crate) async fn open_stream(
        &self,
        target: &PlacedTarget,
        attempt: &RequestId,
    ) -> Result<(AnswerHead, StartedStream), AttemptError> {
        let deadline = self.router.settings.timeouts.first_token_ms.duration();
        let first_event_by = Instant::now() + deadline;
        let request = self.build_request(target, None);
        let pooled = Connection::Pooled;
        let client = &self.router.target_client;
        let answer = client
            .send_request(request, attempt, pooled, deadline, target.echoes_request_id)
            .await?;
        let head = AnswerHead::parse(answer.headers());
        if !answer.status().is_success() {
            let status = answer.status();
            let limit = self.router.settings.limits.answer_bytes;
            let left = first_event_by.saturating_duration_since(Instant::now());
            let body = body_reader::read_body(answer.into_body(), limit);
            let body =
                tokio::time::timeout(left, body).await.map_err(|_| ExchangeError::Timeout)?;
            let body = body.map_err(CallError::from).map_err(ExchangeError::from)?;
            return Err(AttemptError::Status(status, body, head));
        }
        let mut reader = EventReader::new(answer.into_body(), 0);
        let first = reader.next(first_event_by.saturating_duration_since(Instant::now())).await?;
        Ok((head, StartedStream { reader, first }))
    }

    /// Reconnects to the stream of a running attempt after the pieces that were delivered; `None`
    /// if the engine refuses or does not answer.
    pub(crate) async fn resume_stream(
        &self,
        target: &PlacedTarget,
        attempt: &RequestId,
        delivered: u64,
    ) -> Option<EventReader> {
        let deadline = self.router.settings.timeouts.next_token_ms.duration();
        let request = self.build_request(target, Some(delivered));
        let fresh = Connection::Fresh;
        let client = &self.router.target_client;
        let answer = client
            .send_request(request, attempt, fresh, deadline, target.echoes_request_id)
            .await
            .ok()?;
        answer.status().is_success().then(|| EventReader::new(answer.into_body(), delivered))
    }

    /// Gets an answer in one body.
    pub(crate) async fn call_buffered(
        &self,
        target: &PlacedTarget,
        attempt: &RequestId,
    ) -> Result<(AnswerHead, Bytes), AttemptError> {
        let timeouts = &self.router.settings.timeouts;
        let tokens = u32::try_from(self.body.max_tokens).unwrap_or(u32::MAX);
        // A buffered answer arrives once all its tokens are generated; each token is allowed a
        // twentieth of the time that a stream may pause.
        let deadline = timeouts.first_token_ms.duration()
            + (timeouts.next_token_ms.duration() / 20).saturating_mul(tokens);
        let limit = self.router.settings.limits.answer_bytes;
        let request = self.build_request(target, None);
        let pooled = Connection::Pooled;
        let client = &self.router.target_client;
        let answer = client
            .call(request, attempt, pooled, deadline, limit, target.echoes_request_id)
            .await?;
        let head = AnswerHead::parse(answer.headers());
        if !answer.status().is_success() {
            return Err(AttemptError::Status(answer.status(), answer.into_body(), head));
        }
        Ok((head, answer.into_body()))
    }
}

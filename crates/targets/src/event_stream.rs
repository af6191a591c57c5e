//! Reads the server-sent events in which an engine streams an answer.

use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use eventsource_stream::{EventStream, EventStreamError, Eventsource};
use futures::{Stream, StreamExt};
use http_body_util::BodyDataStream;
use hyper::body::Incoming;

use crate::target_client::ExchangeError;

/// The data of the end mark, the last event of a complete stream.
const END_MARK: &str = "[DONE]";
/// Longest event accepted, in bytes, so that an engine that never ends one cannot exhaust the memory.
const MAX_EVENT_BYTES: usize = 64 << 10;
/// Text in an event's JSON which shows that the event carries no piece of the answer.
const NO_CHOICES: &str = "\"choices\":[]";

/// One event of an engine's stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamEvent {
    /// A piece of the answer.
    Piece {
        /// The piece's number in the stream, from 1.
        number: u64,
        /// The event's JSON text.
        data: Bytes,
    },
    /// The JSON text of an event without a piece of the answer, such as the token usage.
    Other(Bytes),
    /// The end mark: the stream is complete.
    End,
}

/// Reads events from the body of an answer. If the engine does not number its pieces, they are
/// counted here.
pub struct EventReader {
    events: EventStream<LimitedBody>,
    /// Bytes received since the last event.
    received: Arc<AtomicUsize>,
    last_number: u64,
}

/// The bytes of a body; ends with an error if too many come without an event.
struct LimitedBody {
    body: BodyDataStream<Incoming>,
    received: Arc<AtomicUsize>,
}

impl Stream for LimitedBody {
    type Item = Result<Bytes, ExchangeError>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.body.poll_next_unpin(context).map(|it| {
            let bytes = match it? {
                Ok(bytes) => bytes,
                Err(error) => return Some(Err(ExchangeError::Broken(error.to_string().into()))),
            };
            // The bytes before these hold no whole event.
            if self.received.fetch_add(bytes.len(), Ordering::Relaxed) > MAX_EVENT_BYTES {
                return Some(Err(ExchangeError::TooLong(MAX_EVENT_BYTES)));
            }
            Some(Ok(bytes))
        })
    }
}

impl fmt::Debug for EventReader {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "EventReader({})", self.last_number)
    }
}

impl EventReader {
    /// A reader of `body`. A piece without a number gets the number after the previous one, the
    /// first the number after `after`.
    pub fn new(body: Incoming, after: u64) -> EventReader {
        let received = Arc::default();
        let body = LimitedBody { body: BodyDataStream::new(body), received: Arc::clone(&received) };
        EventReader { events: body.eventsource(), received, last_number: after }
    }

    /// Waits up to `deadline` for the next event. A stream that ends before its end mark is
    /// an error.
    pub async fn next(&mut self, deadline: Duration) -> Result<StreamEvent, ExchangeError> {
        let event = match tokio::time::timeout(deadline, self.events.next()).await {
            Err(_) => return Err(ExchangeError::Timeout),
            Ok(None) => return Err(ExchangeError::Broken("ended before its end mark".into())),
            Ok(Some(Err(EventStreamError::Transport(error)))) => return Err(error),
            Ok(Some(Err(error))) => return Err(ExchangeError::Broken(error.to_string().into())),
            Ok(Some(Ok(event))) => event,
        };
        self.received.store(0, Ordering::Relaxed);
        if event.data == END_MARK {
            return Ok(StreamEvent::End);
        }
        if event.data.contains(NO_CHOICES) {
            return Ok(StreamEvent::Other(event.data.into()));
        }
        self.last_number = event.id.parse().unwrap_or(self.last_number + 1);
        Ok(StreamEvent::Piece { number: self.last_number, data: event.data.into() })
    }
}

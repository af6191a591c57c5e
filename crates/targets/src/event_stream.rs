//! Server-sent events of an engine's stream.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use eventsource_stream::{EventStream, Eventsource};
use futures::StreamExt;
use http_body_util::BodyDataStream;
use hyper::body::Incoming;

use crate::target_client::ExchangeError;

/// The text of the end mark.
const END_MARK: &str = "[DONE]";
/// What a note has in place of a piece of the answer.
const NO_CHOICES: &str = "\"choices\":[]";

/// One event of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamEvent {
    /// A numbered piece of the answer.
    Piece {
        /// Its number, from 1.
        number: u64,
        /// Its JSON text.
        data: Bytes,
    },
    /// An event that is no piece, such as the usage.
    Other(Bytes),
    /// The end mark.
    End,
}

/// Reads events from a body. Engines that do not number their pieces are counted for.
pub struct EventReader {
    events: EventStream<BodyDataStream<Incoming>>,
    counted: u64,
}

impl fmt::Debug for EventReader {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "EventReader({})", self.counted)
    }
}

impl EventReader {
    /// A reader of `body`; pieces without a number count on from `after`.
    pub fn new(body: Incoming, after: u64) -> EventReader {
        EventReader { events: BodyDataStream::new(body).eventsource(), counted: after }
    }

    /// The next event within `deadline`. A stream that ends before its end mark is an error.
    pub async fn next(&mut self, deadline: Duration) -> Result<StreamEvent, ExchangeError> {
        let event = match tokio::time::timeout(deadline, self.events.next()).await {
            Err(_) => return Err(ExchangeError::Timeout),
            Ok(None) => return Err(ExchangeError::Broken("ended before its end mark".into())),
            Ok(Some(Err(error))) => return Err(ExchangeError::Broken(error.to_string().into())),
            Ok(Some(Ok(event))) => event,
        };
        if event.data == END_MARK {
            return Ok(StreamEvent::End);
        }
        if event.data.contains(NO_CHOICES) {
            return Ok(StreamEvent::Other(event.data.into()));
        }
        self.counted = event.id.parse().unwrap_or(self.counted + 1);
        Ok(StreamEvent::Piece { number: self.counted, data: event.data.into() })
    }
}

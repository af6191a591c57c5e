//! Server-sent events of an engine's stream.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::engine_client::ExchangeError;

/// Longest event.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// The text of the end mark.
const END_MARK: &[u8] = b"[DONE]";

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
    /// A note without a number, such as the usage.
    Note(Bytes),
    /// The end mark.
    End,
}

/// Reads events from a body. Engines that do not number their pieces are counted for.
#[derive(Debug)]
pub struct EventReader {
    body: Incoming,
    buffer: BytesMut,
    counted: u64,
}

impl EventReader {
    /// A reader of `body`; pieces without a number count on from `after`.
    pub fn new(body: Incoming, after: u64) -> EventReader {
        EventReader { body, buffer: BytesMut::new(), counted: after }
    }

    /// The next event within `deadline`. A stream that ends before its end mark is an error.
    pub async fn next(&mut self, deadline: Duration) -> Result<StreamEvent, ExchangeError> {
        loop {
            if let Some(block) = self.take_block() {
                match self.parse(&block) {
                    Some(event) => return Ok(event),
                    None => continue,
                }
            }
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err(ExchangeError::Broken("an event is too long".into()));
            }
            let frame = tokio::time::timeout(deadline, self.body.frame()).await;
            match frame {
                Err(_) => return Err(ExchangeError::Timeout),
                Ok(None) => return Err(ExchangeError::Broken("ended before its end mark".into())),
                Ok(Some(Err(error))) => {
                    return Err(ExchangeError::Broken(error.to_string().into()));
                }
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        self.buffer.extend_from_slice(&data);
                    }
                }
            }
        }
    }

    fn take_block(&mut self) -> Option<Bytes> {
        let end = self.buffer.windows(2).position(|it| it == b"\n\n")?;
        let block = self.buffer.split_to(end + 2).freeze();
        Some(block.slice(..end))
    }

    fn parse(&mut self, block: &Bytes) -> Option<StreamEvent> {
        let mut number = None;
        let mut data = None;
        for line in block.split(|it| *it == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if let Some(value) = line.strip_prefix(b"id:") {
                number = std::str::from_utf8(value).ok().and_then(|it| it.trim().parse().ok());
            } else if let Some(value) = line.strip_prefix(b"data:") {
                data = Some(block.slice_ref(value.strip_prefix(b" ").unwrap_or(value)));
            }
        }
        let data = data?;
        if data.as_ref() == END_MARK {
            return Some(StreamEvent::End);
        }
        if number.is_none() && is_note(&data) {
            return Some(StreamEvent::Note(data));
        }
        self.counted = number.unwrap_or(self.counted + 1);
        Some(StreamEvent::Piece { number: self.counted, data })
    }
}

fn is_note(data: &[u8]) -> bool {
    const EMPTY: &[u8] = b"\"choices\":[]";
    data.windows(EMPTY.len()).any(|it| it == EMPTY)
}

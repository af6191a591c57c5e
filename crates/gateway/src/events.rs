//! Splits the bytes of an event stream into whole events.

use bytes::{Buf, Bytes, BytesMut};

/// Longest event accepted, so that a replica that never ends an event cannot exhaust the memory.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// One event of a server-sent event stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// Its bytes unchanged, with the empty line that ends it.
    pub bytes: Bytes,
    /// Its id; `None` if it has none or one that is no number.
    pub id: Option<u64>,
}

impl StreamEvent {
    /// Whether it has nothing but comments and empty lines, as replicas send to keep connections open.
    pub fn is_comment(&self) -> bool {
        let mut lines = self.bytes.split(|it| *it == b'\n');
        lines.all(|it| it.starts_with(b":") || it.iter().all(u8::is_ascii_whitespace))
    }
}

/// An event exceeds the limit of 1 MiB.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("an event is longer than {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLong;

/// Buffers the bytes of a stream until they form whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Number of buffered bytes already searched for the end of an event.
    scanned: usize,
}

impl EventSplitter {
    /// Appends bytes; fails if more than the longest event is buffered.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLong> {
        let capacity = self.capacity_with(bytes.len());
        self.buffer.reserve(capacity - self.buffer.len());
        self.buffer.extend_from_slice(bytes);
        if self.buffer.len() > MAX_EVENT_BYTES { Err(EventTooLong) } else { Ok(()) }
    }

    /// Takes the next whole event out of the buffer.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let from = self.scanned.saturating_sub(3);
        let Some(end) = event_end(&self.buffer[from..]) else {
            self.scanned = self.buffer.len();
            return None;
        };
        let bytes = self.buffer.split_to(from + end).freeze();
        self.scanned = 0;
        Some(StreamEvent { id: event_id(&bytes), bytes })
    }

    /// The memory that the buffer takes once `more` bytes are appended, in bytes.
    pub fn capacity_with(&self, more: usize) -> usize {
        let needed = self.buffer.len() + more;
        match needed > self.buffer.capacity() {
            true => needed.max(2 * self.buffer.capacity()),
            false => self.buffer.capacity(),
        }
    }

    /// Whether the buffer holds no part of an event, so that the stream may end here.
    pub fn is_at_boundary(&self) -> bool {
        self.buffer.chunk().iter().all(|it| it.is_ascii_whitespace())
    }
}

/// The length of the first event, with the empty line that ends it. Looks at each byte once, also if
/// many events have arrived together.
fn event_end(bytes: &[u8]) -> Option<usize> {
    memchr::memchr_iter(b'\n', bytes).find_map(|at| match &bytes[at + 1..] {
        [b'\n', ..] => Some(at + 2),
        [b'\r', b'\n', ..] if at > 0 && bytes[at - 1] == b'\r' => Some(at + 3),
        _ => None,
    })
}

fn event_id(bytes: &[u8]) -> Option<u64> {
    let mut lines = bytes.split(|it| *it == b'\n');
    let value = lines.find_map(|it| it.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

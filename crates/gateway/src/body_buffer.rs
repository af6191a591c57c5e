//! The bytes of a message that is read whole.
//!
//! The load pattern that this answers: many long messages that arrive at the same time, in small
//! pieces. One buffer a message that moves whenever it grows leaves gaps between those of other
//! messages, which none of the longer buffers fits into, so that the process takes much more memory
//! than it holds. Segments stay where they are, and those of messages that are gone are used again.

use bytes::{Bytes, BytesMut};

use crate::buffer_share::{BufferExhausted, BufferShare};

/// The size of all segments of a long message but the first few, in bytes.
const SEGMENT_BYTES: usize = 16 << 10;

/// The bytes of a message, in segments.
#[derive(Debug, Default)]
pub(crate) struct BodyBuffer {
    segments: Vec<BytesMut>,
    len: usize,
}

impl BodyBuffer {
    /// Appends to the message; fails before it allocates if `share` gets no memory for it.
    pub(crate) fn extend(
        &mut self,
        mut data: &[u8],
        share: &mut BufferShare,
    ) -> Result<(), BufferExhausted> {
        while !data.is_empty() {
            match self.segments.last_mut() {
                Some(segment) if segment.len() < segment.capacity() => {
                    let room = segment.capacity() - segment.len();
                    let (fitting, rest) = data.split_at(room.min(data.len()));
                    segment.extend_from_slice(fitting);
                    self.len += fitting.len();
                    data = rest;
                }
                _ => {
                    let capacity = data.len().max(self.len).min(SEGMENT_BYTES);
                    share.resize(share.held() + capacity)?;
                    self.segments.push(BytesMut::with_capacity(capacity));
                }
            }
        }
        Ok(())
    }

    /// The length of the message in bytes.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// The message in one piece. Copies it if it has several segments.
    pub(crate) fn into_bytes(mut self) -> Bytes {
        if self.segments.len() <= 1 {
            return self.segments.pop().map_or(Bytes::new(), BytesMut::freeze);
        }
        Bytes::from(self.segments.concat())
    }

    /// The segments in order, none of them empty.
    pub(crate) fn into_segments(self) -> impl Iterator<Item = Bytes> {
        self.segments.into_iter().map(BytesMut::freeze)
    }
}

//! Splits messages that are longer than a datagram into parts, and joins them again.
//!
//! Parts get lost like any datagram. A message with a part missing is dropped after a while; the
//! sender finds out from later reports that the receiver lacks its content.

use std::net::IpAddr;
use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::message_stamp::MAX_STAMP_BYTES;
use crate::peer_message::MAX_DATAGRAM_BYTES;

/// Longest message in bytes that is sent or accepted in parts.
pub const MAX_MESSAGE_BYTES: usize = 4 << 20;
/// Bytes of a message in one part; the rest of the datagram is for its other fields and the stamp.
const PART_BYTES: usize = MAX_DATAGRAM_BYTES - 64 - MAX_STAMP_BYTES;
/// How long the parts of a message are kept while others are missing.
const PART_TIMEOUT: Duration = Duration::from_secs(1);
/// Most messages of which some parts are kept; the one begun first is dropped for a further one.
const MAX_OPEN_MESSAGES: usize = 8;

/// A part of an encoded message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MessagePart {
    /// A random number, the same in all parts of a message.
    pub message_id: u64,
    /// The position of this part, from 0.
    pub index: u32,
    /// The number of parts.
    pub count: u32,
    /// The bytes of this part.
    pub bytes: Vec<u8>,
}

/// Splits an encoded message; `None` if it is longer than [`MAX_MESSAGE_BYTES`].
pub fn split(message_id: u64, message: &[u8]) -> Option<Vec<MessagePart>> {
    if message.len() > MAX_MESSAGE_BYTES {
        return None;
    }
    let chunks = message.chunks(PART_BYTES);
    let count = chunks.len() as u32;
    let part = |(index, bytes): (usize, &[u8])| MessagePart {
        message_id,
        index: index as u32,
        count,
        bytes: bytes.into(),
    };
    Some(chunks.enumerate().map(part).collect())
}

/// The parts received of messages that are not complete yet.
#[derive(Debug, Default)]
pub struct PartTable {
    /// By sender and message id, the one begun first in front.
    open: IndexMap<(IpAddr, u64), OpenMessage>,
}

#[derive(Debug)]
struct OpenMessage {
    begun_at: Duration,
    parts: Vec<Option<Vec<u8>>>,
}

impl PartTable {
    /// Adds a part that was received at `now`; returns the message if it was the last one missing.
    /// Parts that contradict each other or the limits are ignored.
    pub fn insert(&mut self, now: Duration, from: IpAddr, part: MessagePart) -> Option<Vec<u8>> {
        self.open.retain(|_, it| now < it.begun_at + PART_TIMEOUT);
        let MessagePart { message_id, index, count, bytes } = part;
        let (index, count) = (index as usize, count as usize);
        if index >= count || count > MAX_MESSAGE_BYTES.div_ceil(PART_BYTES) {
            return None;
        }
        let key = (from, message_id);
        if !self.open.contains_key(&key) && self.open.len() >= MAX_OPEN_MESSAGES {
            self.open.shift_remove_index(0);
        }
        let begun = || OpenMessage { begun_at: now, parts: vec![None; count] };
        let open = self.open.entry(key).or_insert_with(begun);
        if open.parts.len() != count {
            return None;
        }
        open.parts[index] = Some(bytes);
        if open.parts.iter().any(Option::is_none) {
            return None;
        }
        let message = self.open.shift_remove(&key)?;
        Some(message.parts.into_iter().flatten().flatten().collect())
    }
}

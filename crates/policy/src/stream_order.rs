//! Checks the order of a stream's pieces, so that a caller gets each exactly once and knows whether
//! the stream ended.

use xxhash_rust::xxh3;

/// The result of checking one piece of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PieceCheck {
    /// The piece is the next one: deliver it.
    Deliver,
    /// The piece was delivered before with the same content: drop it.
    Drop,
    /// A piece before this one is missing: the stream is broken.
    Gap,
    /// The piece was delivered before with other content: the replay is another answer.
    Differs,
}

/// The pieces of one stream delivered so far, numbered from 1.
#[derive(Debug, Clone, Default)]
pub struct StreamOrder {
    digests: Vec<u64>,
    ended: bool,
}

impl StreamOrder {
    /// The number of pieces delivered so far.
    pub fn delivered(&self) -> u64 {
        self.digests.len() as u64
    }

    /// Whether the end mark was recorded.
    pub fn is_complete(&self) -> bool {
        self.ended
    }

    /// Checks the piece with this number and content, and records it as delivered if it is next.
    pub fn check(&mut self, number: u64, content: &[u8]) -> PieceCheck {
        let digest = xxh3::xxh3_64(content);
        if number == 0 || number > self.delivered() + 1 {
            return PieceCheck::Gap;
        }
        if number <= self.delivered() {
            let same = self.digests[number as usize - 1] == digest;
            return if same { PieceCheck::Drop } else { PieceCheck::Differs };
        }
        self.digests.push(digest);
        PieceCheck::Deliver
    }

    /// Records that the end mark of the stream arrived.
    pub fn end(&mut self) {
        self.ended = true;
    }
}

//! The order of a stream's pieces: each once, none missing, an end mark last.

use xxhash_rust::xxh3;

/// What to do with one piece.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PieceCheck {
    /// Deliver it.
    Deliver,
    /// It was delivered before.
    Drop,
    /// A piece before it is missing: the stream is broken.
    Gap,
    /// A replayed piece differs from the one delivered: the replay is another answer.
    Differs,
}

/// Checks pieces numbered from 1.
#[derive(Debug, Clone, Default)]
pub struct StreamOrder {
    digests: Vec<u64>,
    ended: bool,
}

impl StreamOrder {
    /// Pieces delivered so far.
    pub fn delivered(&self) -> u64 {
        self.digests.len() as u64
    }

    /// Whether the end mark was seen.
    pub fn is_complete(&self) -> bool {
        self.ended
    }

    /// Judges the piece numbered `number` with this content, and records it if it is next.
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

    /// Records the end mark.
    pub fn end(&mut self) {
        self.ended = true;
    }
}

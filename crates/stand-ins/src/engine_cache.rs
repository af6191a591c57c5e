//! A bounded prefix cache, least recently used first out.

use indexmap::IndexMap;
use xxhash_rust::xxh3;

/// The pieces an engine holds.
#[derive(Debug)]
pub(crate) struct EngineCache {
    capacity: usize,
    piece_bytes: usize,
    pieces: IndexMap<u64, ()>,
}

impl EngineCache {
    pub(crate) fn new(capacity: usize, piece_bytes: usize) -> EngineCache {
        EngineCache { capacity, piece_bytes, pieces: IndexMap::new() }
    }

    /// Runs a prompt: returns how many of its bytes were cached, and caches all full pieces.
    pub(crate) fn run(&mut self, scope: u64, prompt: &[u8]) -> usize {
        let mut last = scope;
        let mut cached = 0;
        let mut missed = false;
        for piece in prompt.chunks_exact(self.piece_bytes) {
            last = xxh3::xxh3_64_with_seed(piece, last);
            let held = self.pieces.shift_remove(&last).is_some();
            self.pieces.insert(last, ());
            missed |= !held;
            if !missed {
                cached += piece.len();
            }
        }
        while self.pieces.len() > self.capacity {
            self.pieces.shift_remove_index(0);
        }
        cached
    }

    pub(crate) fn clear(&mut self) {
        self.pieces.clear();
    }
}

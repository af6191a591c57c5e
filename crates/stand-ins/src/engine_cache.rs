//! A bounded prefix cache with least-recently-used eviction.

use indexmap::IndexMap;
use xxhash_rust::xxh3;

/// Chain hashes of the prompt pieces that an engine has cached, least recently used first.
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

    /// Caches all full pieces of a prompt. Returns how many bytes at its start were cached before.
    /// Only prompts with the same `scope` share pieces.
    pub(crate) fn lookup_and_insert(&mut self, scope: u64, prompt: &[u8]) -> usize {
        let mut chain_hash = scope;
        let mut cached_bytes = 0;
        let mut missed = false;
        for piece in prompt.chunks_exact(self.piece_bytes) {
            chain_hash = xxh3::xxh3_64_with_seed(piece, chain_hash);
            let hit = self.pieces.shift_remove(&chain_hash).is_some();
            self.pieces.insert(chain_hash, ());
            missed |= !hit;
            if !missed {
                cached_bytes += piece.len();
            }
        }
        while self.pieces.len() > self.capacity {
            self.pieces.shift_remove_index(0);
        }
        cached_bytes
    }

    pub(crate) fn clear(&mut self) {
        self.pieces.clear();
    }
}

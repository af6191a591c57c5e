//! Chain hashes of a prompt's pieces.
//!
//! A prompt is cut into pieces of fixed length. The hash of a piece covers all pieces before it and
//! the scope, so the cache of another customer or of an older version never matches.

use std::fmt;

use ids::{CustomerId, PoolId, VersionNumber};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

/// Assumed bytes of prompt text per model token, for estimates made without a tokenizer.
pub const BYTES_PER_TOKEN: usize = 4;

/// The hash of a prompt up to the end of one piece; it identifies a cached prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ChainHash(pub u64);

impl fmt::Display for ChainHash {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{:016x}", self.0)
    }
}

/// What a chain hash covers besides the text, so that equal prompts in two scopes differ.
#[derive(Debug, Clone, Copy)]
pub struct ChainScope<'a> {
    /// The customer that sent the prompt; `None` on open routes.
    pub customer: Option<&'a CustomerId>,
    /// The pool whose model reads the prompt.
    pub pool: &'a PoolId,
    /// The version of the model's weights.
    pub version: VersionNumber,
}

impl ChainScope<'_> {
    fn seed(&self) -> u64 {
        let mut hasher = xxh3::Xxh3::new();
        hasher.update(self.customer.map_or("", |it| it.as_str()).as_bytes());
        hasher.update(&[0]);
        hasher.update(self.pool.as_str().as_bytes());
        hasher.update(&[0]);
        hasher.update(&self.version.0.to_le_bytes());
        hasher.digest()
    }
}

/// Returns the chain hashes of a prompt's full pieces, shortest prefix first. A last piece that is
/// shorter than `piece_bytes` has no hash.
pub fn hash_prefixes(scope: ChainScope<'_>, prompt: &[u8], piece_bytes: usize) -> Vec<ChainHash> {
    let mut last = scope.seed();
    let pieces = prompt.chunks_exact(piece_bytes.max(1));
    pieces
        .map(|piece| {
            last = xxh3::xxh3_64_with_seed(piece, last);
            ChainHash(last)
        })
        .collect()
}

/// Estimates the tokens in `bytes` of text, rounded up.
pub fn estimate_tokens(bytes: usize) -> u64 {
    bytes.div_ceil(BYTES_PER_TOKEN) as u64
}

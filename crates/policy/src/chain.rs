//! Chain hashes of a prompt's pieces.
//!
//! The hash of a piece covers all pieces before it and the scope, so another customer's or an
//! older version's cache cannot match by construction.

use std::fmt;

use ids::{CustomerId, PoolId, VersionNumber};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

/// Bytes of prompt text in one model token, for estimates.
pub const BYTES_PER_TOKEN: usize = 4;

/// The hash of a prompt up to the end of one piece.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ChainHash(pub u64);

impl fmt::Display for ChainHash {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{:016x}", self.0)
    }
}

/// What keeps equal texts apart.
#[derive(Debug, Clone, Copy)]
pub struct ChainScope<'a> {
    /// Whose prompt it is; `None` on open routes.
    pub customer: Option<&'a CustomerId>,
    /// The model.
    pub pool: &'a PoolId,
    /// The weights.
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

/// The chain hashes of a prompt's full pieces, the shortest prefix first.
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

/// About how many tokens `bytes` of text are, rounded up.
pub fn estimate_tokens(bytes: usize) -> u64 {
    bytes.div_ceil(BYTES_PER_TOKEN) as u64
}

//! Tracks which replicas are believed to hold which prompt prefixes in their cache.

use std::time::Duration;

use indexmap::IndexMap;

/// Most prefixes in the table; a full table drops expired entries and then the oldest.
const MAX_PREFIXES: usize = 20_000;
/// Most holders recorded per prefix.
const MAX_HOLDERS: usize = 4;
/// How long a prefix is assumed to stay cached after its last use.
const LIFETIME: Duration = Duration::from_secs(20);

/// A prefix of a prompt that ends with one of its parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPrefix {
    /// Digest of the cache salt and all parts of the prefix.
    pub digest: u64,
    /// Length of the prefix in tokens.
    pub tokens: u64,
}

/// A replica or KV store that is believed to hold a prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PrefixHolder {
    /// The hash of the holder's id.
    pub member: u64,
    /// The holder's incarnation that cached it; a restart loses the cache.
    pub incarnation: u64,
    /// When the holder last used the prefix.
    pub used_at: Duration,
}

/// One daemon's estimate of what replicas cache, by digest of the prefix.
#[derive(Debug, Default)]
pub struct PrefixTable {
    prefixes: IndexMap<u64, Vec<PrefixHolder>>,
}

impl PrefixTable {
    /// Records that a replica, in this incarnation, has just used the prefixes with these digests
    /// or is about to.
    pub fn record_use(&mut self, now: Duration, digests: &[u64], member: u64, incarnation: u64) {
        for digest in digests {
            let holders = self.prefixes.entry(*digest).or_default();
            holders.retain(|it| it.member != member);
            if holders.len() == MAX_HOLDERS {
                holders.remove(0);
            }
            holders.push(PrefixHolder { member, incarnation, used_at: now });
        }
        if self.prefixes.len() > MAX_PREFIXES {
            self.prefixes.retain(|_, it| it.iter().any(|holder| now < holder.used_at + LIFETIME));
            let excess = self.prefixes.len().saturating_sub(MAX_PREFIXES / 2);
            self.prefixes.drain(..excess);
        }
    }

    /// Returns the length in tokens of the longest of `prefixes` believed to be cached on a
    /// replica; 0 if none is. `prefixes` are ordered, shortest first.
    pub fn cached_tokens(
        &self,
        now: Duration,
        prefixes: &[PromptPrefix],
        member: u64,
        incarnation: u64,
    ) -> u64 {
        let held = prefixes.iter().rev().find(|it| {
            let holders = self.prefixes.get(&it.digest).map_or(&[][..], |it| it);
            holders.iter().any(|it| {
                it.member == member && it.incarnation == incarnation && now < it.used_at + LIFETIME
            })
        });
        held.map_or(0, |it| it.tokens)
    }

    /// Returns who is believed to hold the prefix with this digest.
    pub fn holders(&self, now: Duration, digest: u64) -> impl Iterator<Item = PrefixHolder> {
        let holders = self.prefixes.get(&digest).map_or(&[][..], |it| it);
        holders.iter().copied().filter(move |it| now < it.used_at + LIFETIME)
    }

    /// The number of prefixes in the table, expired ones included.
    pub fn len(&self) -> usize {
        self.prefixes.len()
    }

    /// Whether the table holds no prefix.
    pub fn is_empty(&self) -> bool {
        self.prefixes.is_empty()
    }
}

//! Which replicas are believed to hold which beginnings of prompts.

use std::time::Duration;

use indexmap::IndexMap;

/// Most beginnings on record.
const MAX_PREFIXES: usize = 20_000;
/// Most replicas believed to hold one.
const MAX_HOLDERS: usize = 4;
/// How long a beginning is believed to stay cached after its last use.
const LIFETIME: Duration = Duration::from_secs(20);

/// The beginning of a prompt up to some part: its digest and its length in tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPrefix {
    /// Digest of the salt and all parts up to this one.
    pub digest: u64,
    /// Tokens of these parts.
    pub tokens: u64,
}

/// A replica or store that is believed to hold a beginning.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PrefixHolder {
    /// The hash of its id.
    pub member: u64,
    /// Its life.
    pub incarnation: u64,
    /// When it last used the beginning.
    pub used_at: Duration,
}

/// Beliefs of one daemon about cached prompts, from the answers it saw.
#[derive(Debug, Default)]
pub struct PrefixTable {
    prefixes: IndexMap<u64, Vec<PrefixHolder>>,
}

impl PrefixTable {
    /// A replica, in this life, has just read prompts with these digests, or will at once.
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
            self.prefixes.retain(|_, it| it.iter().any(|one| now < one.used_at + LIFETIME));
            let half = self.prefixes.len().saturating_sub(MAX_PREFIXES / 2);
            self.prefixes.drain(..half);
        }
    }

    /// Tokens of a prompt believed to be cached on a replica.
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

    /// Who is believed to hold a beginning.
    pub fn holders(&self, now: Duration, digest: u64) -> impl Iterator<Item = PrefixHolder> {
        let holders = self.prefixes.get(&digest).map_or(&[][..], |it| it);
        holders.iter().copied().filter(move |it| now < it.used_at + LIFETIME)
    }

    /// Beginnings on record.
    pub fn len(&self) -> usize {
        self.prefixes.len()
    }

    /// Whether nothing is on record.
    pub fn is_empty(&self) -> bool {
        self.prefixes.is_empty()
    }
}

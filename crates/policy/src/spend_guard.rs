//! When a holder may spend its parts.
//!
//! A holder spends while it has lately proved, by a transaction on the row's revision, that it
//! still holds them; a read proves nothing, as it may be stale.
//! In an outage of the table nobody can take parts, so a holder goes on while more than half of
//! the listed instances see the same outage. Cut off from the others, it stops. A pause needs no
//! care of its own: proofs run out by a clock that runs on through it.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How often a holder proves that it holds its parts.
pub const PROOF_INTERVAL: Duration = Duration::from_secs(8);
/// How long a proof lasts; shorter than the wait before parts are taken.
pub const PROOF_VALIDITY: Duration = Duration::from_secs(12);
/// A peer's proof or reading this old still counts when it is asked.
pub const REPORT_MAX_AGE: Duration = Duration::from_secs(4);

/// What a peer says about the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerReport {
    /// It proved lately that the row names the asker as holder.
    StillHolder,
    /// The asker lost its parts, or is about to.
    NotHolder,
    /// It reads the table, but has proved nothing lately.
    Unsure,
    /// It cannot read the table either.
    OutageToo,
}

/// What one holder knows about its right to spend.
#[derive(Debug, Clone, Default)]
pub struct SpendGuard {
    proved_at: Option<Duration>,
    vouched_at: Option<Duration>,
    /// Proofs and vouches from before this do not count.
    void_before: Duration,
}

impl SpendGuard {
    /// A transaction on the row's revision was done; `asked_at` is when it began.
    pub fn record_proof(&mut self, asked_at: Duration) {
        self.proved_at = self.proved_at.max(Some(asked_at));
    }

    /// Peers answered a round of questions that began at `asked_at`; `listed` instances are
    /// known, this one among them.
    pub fn record_reports(&mut self, asked_at: Duration, words: &[PeerReport], listed: usize) {
        if words.contains(&PeerReport::NotHolder) {
            self.void_before = self.void_before.max(asked_at);
            self.vouched_at = None;
            return;
        }
        if words.contains(&PeerReport::StillHolder) {
            self.record_proof(asked_at.saturating_sub(REPORT_MAX_AGE));
            return;
        }
        // The others cannot be the ones that take parts if they are not the majority.
        let outages = words.iter().filter(|it| **it == PeerReport::OutageToo).count();
        // A right that has lapsed may have been taken meanwhile by someone who is silent now.
        let unbroken = self.may_spend(asked_at);
        if unbroken && 2 * (outages + 1) > listed {
            self.vouched_at = self.vouched_at.max(Some(asked_at));
        }
    }

    /// Whether a proof is due.
    pub fn needs_proof(&self, now: Duration) -> bool {
        let due = |at: Duration| at < self.void_before || now.saturating_sub(at) >= PROOF_INTERVAL;
        self.proved_at.is_none_or(due)
    }

    /// Whether parts may be spent at `now`.
    pub fn may_spend(&self, now: Duration) -> bool {
        let fresh = |at: Duration| now.saturating_sub(at) <= PROOF_VALIDITY;
        let Some(proved_at) = self.proved_at.filter(|it| *it >= self.void_before) else {
            return false;
        };
        fresh(proved_at) || self.vouched_at.is_some_and(fresh)
    }
}

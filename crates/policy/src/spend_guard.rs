//! When a holder of rate shares may spend them.
//!
//! A holder may spend while it has lately proved, by a transaction conditional on the row's
//! revision, that it still holds its shares. A read proves nothing, as it may be stale.
//!
//! In an outage of the table store nobody can take shares over, so a holder goes on while more than
//! half of the listed instances report the same outage. If it is cut off from the others, it stops.
//! A process that was suspended needs no special handling: proofs expire by a clock that also runs
//! during the suspension.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Age of a proof from which a holder makes a new one.
pub const PROOF_INTERVAL: Duration = Duration::from_secs(8);
/// How long a proof is valid; shorter than `UNLISTED_WAIT`, after which shares may be taken over.
pub const PROOF_VALIDITY: Duration = Duration::from_secs(12);
/// Age up to which a peer's own proof or read of the row still counts when it reports.
pub const REPORT_MAX_AGE: Duration = Duration::from_secs(4);

/// What a peer reports about the shares of the instance that asks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerReport {
    /// The peer proved lately that the row names the asker as holder.
    StillHolder,
    /// The asker has lost its shares, or is about to.
    NotHolder,
    /// The peer reads the table store, but has proved nothing lately.
    Unsure,
    /// The peer cannot read the table store either.
    OutageToo,
}

/// The proofs and reports on which one holder's right to spend rests.
#[derive(Debug, Clone, Default)]
pub struct SpendGuard {
    proved_at: Option<Duration>,
    outage_confirmed_at: Option<Duration>,
    /// Proofs from before this time do not count: a peer reported that the shares are lost.
    invalid_before: Duration,
}

impl SpendGuard {
    /// Records a transaction conditional on the row's revision that was committed; `asked_at` is
    /// when it began.
    pub fn record_proof(&mut self, asked_at: Duration) {
        self.proved_at = self.proved_at.max(Some(asked_at));
    }

    /// Records the peers' reports of a round of queries that began at `asked_at`. `listed` is the
    /// number of instances known, this one included.
    pub fn record_reports(&mut self, asked_at: Duration, reports: &[PeerReport], listed: usize) {
        if reports.contains(&PeerReport::NotHolder) {
            self.invalid_before = self.invalid_before.max(asked_at);
            self.outage_confirmed_at = None;
            return;
        }
        if reports.contains(&PeerReport::StillHolder) {
            self.record_proof(asked_at.saturating_sub(REPORT_MAX_AGE));
            return;
        }
        // The instances that did not report an outage are no majority, so they cannot take shares.
        let outages = reports.iter().filter(|it| **it == PeerReport::OutageToo).count();
        // Once the right has lapsed, an instance that does not answer may have taken the shares.
        let still_valid = self.may_spend(asked_at);
        if still_valid && 2 * (outages + 1) > listed {
            self.outage_confirmed_at = self.outage_confirmed_at.max(Some(asked_at));
        }
    }

    /// Whether a new proof is due.
    pub fn needs_proof(&self, now: Duration) -> bool {
        let due =
            |at: Duration| at < self.invalid_before || now.saturating_sub(at) >= PROOF_INTERVAL;
        self.proved_at.is_none_or(due)
    }

    /// Whether the shares may be spent at `now`.
    pub fn may_spend(&self, now: Duration) -> bool {
        let fresh = |at: Duration| now.saturating_sub(at) <= PROOF_VALIDITY;
        let Some(proved_at) = self.proved_at.filter(|it| *it >= self.invalid_before) else {
            return false;
        };
        fresh(proved_at) || self.outage_confirmed_at.is_some_and(fresh)
    }
}

//! When a holder may spend its parts.
//!
//! A holder spends while it has lately confirmed, by reading the row, that it still holds them.
//! In an outage of the table nobody can take parts, so a holder goes on if a peer sees the same
//! outage. After a pause it confirms again first; cut off from everything, it stops.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How long a confirmation lasts; shorter than the wait before parts are taken.
pub const CONFIRM_FOR: Duration = Duration::from_secs(5);
/// A longer gap between two ticks means the process was paused.
pub const PAUSE_GAP: Duration = Duration::from_secs(1);

/// What a peer says about the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerWord {
    /// It reads the table, and the row names the asker as holder.
    StillHolder,
    /// It reads the table, and the row does not name the asker.
    NotHolder,
    /// It cannot read the table either.
    OutageToo,
}

/// What one holder knows about its right to spend.
#[derive(Debug, Clone)]
pub struct SpendGuard {
    confirmed_at: Option<Duration>,
    vouched_at: Option<Duration>,
    ticked_at: Duration,
    unsure_since: Duration,
    alone: bool,
}

impl SpendGuard {
    /// A guard that lets nothing through before the first confirmation.
    pub fn new(now: Duration) -> SpendGuard {
        SpendGuard {
            confirmed_at: None,
            vouched_at: None,
            ticked_at: now,
            unsure_since: now,
            alone: false,
        }
    }

    /// Marks that the process runs; called several times a second.
    pub fn tick(&mut self, now: Duration) {
        if now.saturating_sub(self.ticked_at) > PAUSE_GAP {
            self.unsure_since = now;
        }
        self.ticked_at = now;
    }

    /// The row was read; `asked_at` is when the read began. `alone`: nobody else is listed.
    pub fn confirm(&mut self, asked_at: Duration, alone: bool) {
        self.confirmed_at = self.confirmed_at.max(Some(asked_at));
        self.alone = alone;
    }

    /// A peer answered, asked at `asked_at`.
    pub fn hear(&mut self, asked_at: Duration, word: PeerWord) {
        match word {
            PeerWord::StillHolder => self.confirm(asked_at, false),
            PeerWord::OutageToo => self.vouched_at = self.vouched_at.max(Some(asked_at)),
            PeerWord::NotHolder => {
                self.unsure_since = self.unsure_since.max(asked_at);
                self.vouched_at = None;
            }
        }
    }

    /// Whether parts may be spent at `now`.
    pub fn may_spend(&self, now: Duration) -> bool {
        if now.saturating_sub(self.ticked_at) > PAUSE_GAP {
            return false;
        }
        let Some(confirmed_at) = self.confirmed_at else { return false };
        if confirmed_at < self.unsure_since {
            return false;
        }
        let fresh = |at: Duration| now.saturating_sub(at) <= CONFIRM_FOR;
        fresh(confirmed_at) || self.alone || self.vouched_at.is_some_and(fresh)
    }
}

//! Which replica a struck request may run on: one where no other suspect runs, on any daemon.
//!
//! If two suspects shared a replica, a crash would strike both again, and the innocent one would
//! be quarantined with the guilty. One daemon, the first home of the pool, gives the turns.

use std::time::Duration;

use indexmap::IndexMap;

use crate::quarantine::Fingerprint;

/// A turn that was not given back ends by itself.
const LONGEST_TURN: Duration = Duration::from_secs(60);

/// The turns under way.
#[derive(Debug, Default)]
pub struct IsolationTable {
    turns: IndexMap<u64, (Fingerprint, Duration)>,
}

impl IsolationTable {
    /// Gives a turn on one of `members`; `None` if a suspect runs on each of them, or if another
    /// copy of the request has a turn.
    pub fn reserve(
        &mut self,
        now: Duration,
        fingerprint: Fingerprint,
        members: &[u64],
    ) -> Option<u64> {
        self.turns.retain(|_, it| now.saturating_sub(it.1) < LONGEST_TURN);
        if self.turns.values().any(|it| it.0 == fingerprint) {
            return None;
        }
        let free = members.iter().find(|it| !self.turns.contains_key(*it))?;
        self.turns.insert(*free, (fingerprint, now));
        Some(*free)
    }

    /// Ends a turn.
    pub fn release(&mut self, member: u64, fingerprint: Fingerprint) {
        if self.turns.get(&member).is_some_and(|it| it.0 == fingerprint) {
            self.turns.swap_remove(&member);
        }
    }
}

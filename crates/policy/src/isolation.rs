//! Reserves a replica for one suspect request, so that no other suspect runs there at that time.
//!
//! If two suspects shared a replica, a crash would count against both again, and the innocent one
//! would be quarantined with the guilty one. One daemon, the first home of the pool, makes the
//! reservations for all daemons.

use std::time::Duration;

use indexmap::IndexMap;

use crate::quarantine::Fingerprint;

/// Age at which a reservation that was not released expires.
const RESERVATION_TIMEOUT: Duration = Duration::from_secs(60);

/// The reservations of replicas, by member, with the request's fingerprint and the start time.
#[derive(Debug, Default)]
pub struct IsolationTable {
    reservations: IndexMap<u64, (Fingerprint, Duration)>,
}

impl IsolationTable {
    /// Reserves one of `members` and returns it; `None` if all of them are reserved, or if another
    /// copy of the request holds a reservation.
    pub fn reserve(
        &mut self,
        now: Duration,
        fingerprint: Fingerprint,
        members: &[u64],
    ) -> Option<u64> {
        self.reservations.retain(|_, it| now.saturating_sub(it.1) < RESERVATION_TIMEOUT);
        if self.reservations.values().any(|it| it.0 == fingerprint) {
            return None;
        }
        let free = members.iter().find(|it| !self.reservations.contains_key(*it))?;
        self.reservations.insert(*free, (fingerprint, now));
        Some(*free)
    }

    /// Releases `member` if it is reserved for this request; a reservation that has expired and
    /// passed to another request stays.
    pub fn release(&mut self, member: u64, fingerprint: Fingerprint) {
        if self.reservations.get(&member).is_some_and(|it| it.0 == fingerprint) {
            self.reservations.swap_remove(&member);
        }
    }
}

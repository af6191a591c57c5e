//! Who may send commands to replicas: a lease in the store with a fencing token.
//!
//! Tokens never repeat and never fall, also when the store comes back from an older copy: those of a
//! later era of the store are greater than all earlier ones. The copy may lack the latest holder, so
//! a lease of an earlier era is taken over only when any holder of then has lost it.

use std::time::Duration;

use ids::StoreEra;

/// Bits of a fencing token that count within an era. JSON numbers are exact up to 53 bits.
const COUNT_BITS: u32 = 32;

/// The lease as a row of the store states it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoredLease {
    /// Whether the daemon that reads it is the holder.
    pub is_own: bool,
    /// The holder's fencing token.
    pub token: u64,
    /// The time since the last renewal, on the store's clock.
    pub age: Duration,
}

/// What a daemon knows when it wants the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseRequest {
    /// The row; `None` if there is none.
    pub stored: Option<StoredLease>,
    /// The era of the store that the row was read in.
    pub era: StoreEra,
    /// The time since this daemon first read the lease in that era.
    pub era_age: Duration,
    /// How long after its last renewal a lease has certainly ended.
    pub expiry: Duration,
}

/// The token with which the daemon may write itself down as the holder; `None` if another daemon may
/// still hold the lease.
pub fn claim_token(request: LeaseRequest) -> Option<u64> {
    let first = request.era.0 << COUNT_BITS | 1;
    match request.stored {
        Some(it) if it.token >= first && it.is_own => Some(it.token),
        Some(it) if it.token >= first => (it.age >= request.expiry).then_some(it.token + 1),
        // In the first era, a row that is missing was never written.
        None if request.era == StoreEra::default() => Some(first),
        _ => (request.era_age >= request.expiry).then_some(first),
    }
}

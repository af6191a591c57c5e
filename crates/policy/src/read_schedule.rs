//! When a daemon reads shared state on behalf of all daemons: once its copy is older than a limit.
//!
//! The limit grows with a daemon's rank among those it reaches, so that the first one reads and the
//! next one takes over when it gets no newer copy from the first.

use std::time::Duration;

/// Number of reads by the first daemon within the bound.
const READS_PER_BOUND: u32 = 5;
/// The second daemon reads after this many read periods of the first.
const TAKEOVER_PERIODS: f64 = 1.7;
/// Read periods that each further rank adds.
const PERIODS_PER_RANK: f64 = 0.35;
/// Upper limit of the age, for the last ranks, as a ratio of the bound.
const MAX_BOUND_RATIO: f64 = 0.6;

/// How long a new daemon that is no seed waits for a copy from others before it reads.
const FIRST_READ_DELAY: Duration = Duration::from_millis(800);

/// How long after its start a daemon without a copy reads. Seeds read at once and pass their copies
/// on. If all daemons of a large fleet start at the same moment, reads of all of them would be more
/// than the store serves, so further ranks wait as long as for a newer copy.
pub fn first_read_delay(bound: Duration, rank: usize, is_seed: bool) -> Duration {
    if is_seed { Duration::ZERO } else { FIRST_READ_DELAY.max(age_limit(bound, rank)) }
}

/// The age of its copy from which the daemon of a rank, 0 the first, reads state that must be in
/// force everywhere within `bound`.
pub fn age_limit(bound: Duration, rank: usize) -> Duration {
    let period = bound / READS_PER_BOUND;
    let Some(behind) = rank.checked_sub(1) else { return period };
    let limit = period.mul_f64(TAKEOVER_PERIODS + PERIODS_PER_RANK * behind as f64);
    limit.min(bound.mul_f64(MAX_BOUND_RATIO))
}

/// Whether a copy of this age shows that something does not exist: what was added before the copy
/// must be in force by then. An older copy only shows what existed.
pub fn shows_absence(bound: Duration, age: Duration) -> bool {
    age <= bound
}

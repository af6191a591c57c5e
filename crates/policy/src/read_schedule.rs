//! When a daemon reads for all: as soon as what it knows is older than its own limit.
//!
//! Limits grow with a daemon's place among those it reaches, so that the first one reads and the
//! next takes over when it hears nothing.

use std::time::Duration;

/// The first reads this many times within the bound of what it reads.
const READS_IN_BOUND: u32 = 5;
/// The next in line waits for this many periods of the first.
const TAKE_OVER_PERIODS: f64 = 1.7;
/// Each further place in line waits for this many periods more.
const PLACE_PERIODS: f64 = 0.35;
/// The last in line waits for this share of the bound.
const LONGEST_SHARE: f64 = 0.6;

/// The age from which the daemon at a place in line, 0 the first, reads what is to be in force
/// within `bound`.
pub fn age_limit(bound: Duration, place: usize) -> Duration {
    let period = bound / READS_IN_BOUND;
    let Some(behind) = place.checked_sub(1) else { return period };
    let limit = period.mul_f64(TAKE_OVER_PERIODS + PLACE_PERIODS * behind as f64);
    limit.min(bound.mul_f64(LONGEST_SHARE))
}

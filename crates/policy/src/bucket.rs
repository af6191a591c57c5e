//! A token bucket, sized for a share of a customer's rate and burst.

use std::time::Duration;

/// A bucket that admits at most `capacity + rate * length` tokens in any window of `length`
/// seconds; `take_with_debt` may exceed this by the debt that it leaves.
///
/// Times are those of one monotonic clock; an earlier `now` than the last one counts as no time.
#[derive(Debug, Clone, PartialEq)]
pub struct TokenBucket {
    capacity: f64,
    rate: f64,
    /// Negative while tokens are owed.
    level: f64,
    refilled_at: Duration,
}

impl TokenBucket {
    /// An empty bucket of `capacity` tokens that refills at `rate` tokens a second: for a share
    /// whose last holder spent an unknown amount.
    pub fn empty(now: Duration, capacity: f64, rate: f64) -> TokenBucket {
        TokenBucket { capacity, rate, level: 0.0, refilled_at: now }
    }

    /// A full bucket: only for a share that nobody has held before.
    pub fn full(now: Duration, capacity: f64, rate: f64) -> TokenBucket {
        TokenBucket { capacity, rate, level: capacity, refilled_at: now }
    }

    /// Takes up to `tokens`, but at least `minimum` or nothing; returns the whole number taken.
    pub fn take(&mut self, now: Duration, tokens: f64, minimum: f64) -> f64 {
        self.refill(now);
        let taken = tokens.min(self.level).floor();
        if taken < minimum || taken <= 0.0 {
            return 0.0;
        }
        self.level -= taken;
        taken
    }

    /// Takes all of `tokens` if the level is at least `minimum`, and says whether it did. The level
    /// may become negative; the refill pays off this debt first.
    pub fn take_with_debt(&mut self, now: Duration, tokens: f64, minimum: f64) -> bool {
        self.refill(now);
        let taken = self.level >= minimum;
        if taken {
            self.level -= tokens;
        }
        taken
    }

    /// Returns tokens that were taken from this bucket and not used; the level stays within the
    /// capacity.
    pub fn refund(&mut self, now: Duration, tokens: f64) {
        self.refill(now);
        self.level = (self.level + tokens).min(self.capacity);
    }

    /// Time until the level reaches `tokens`; `None` if they exceed the capacity or the bucket does
    /// not refill.
    pub fn wait_for(&mut self, now: Duration, tokens: f64) -> Option<Duration> {
        self.refill(now);
        if tokens > self.capacity || self.rate <= 0.0 {
            return None;
        }
        let wait = Duration::try_from_secs_f64((tokens - self.level).max(0.0) / self.rate);
        // A debt may be so large that no clock runs as long.
        Some(wait.unwrap_or(Duration::MAX))
    }

    /// The tokens available at `now`; negative while some are owed.
    pub fn level(&mut self, now: Duration) -> f64 {
        self.refill(now);
        self.level
    }

    /// Sets another capacity and rate. Tokens above the new capacity are lost; none are gained.
    pub fn resize(&mut self, now: Duration, capacity: f64, rate: f64) {
        self.refill(now);
        self.capacity = capacity;
        self.rate = rate;
        self.level = self.level.min(capacity);
    }

    /// Drops the tokens above `max`.
    pub fn limit_level(&mut self, now: Duration, max: f64) {
        self.refill(now);
        self.level = self.level.min(max);
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at);
        self.level = (self.level + self.rate * elapsed.as_secs_f64()).min(self.capacity);
        self.refilled_at = self.refilled_at.max(now);
    }
}

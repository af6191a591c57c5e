//! A token bucket over a part of a customer's rate and burst.

use std::time::Duration;

/// A bucket whose admitted tokens over any window stay within `capacity + rate * length`.
#[derive(Debug, Clone, PartialEq)]
pub struct TokenBucket {
    capacity: f64,
    rate: f64,
    level: f64,
    at: Duration,
}

impl TokenBucket {
    /// An empty bucket: what its last holder spent is not known.
    pub fn empty(now: Duration, capacity: f64, rate: f64) -> TokenBucket {
        TokenBucket { capacity, rate, level: 0.0, at: now }
    }

    /// A full bucket: only for a part that nobody ever held.
    pub fn full(now: Duration, capacity: f64, rate: f64) -> TokenBucket {
        TokenBucket { capacity, rate, level: capacity, at: now }
    }

    /// Takes up to `tokens`, but at least `least` or nothing; returns what was taken.
    pub fn take(&mut self, now: Duration, tokens: f64, least: f64) -> f64 {
        self.fill(now);
        let taken = tokens.min(self.level).floor();
        if taken < least || taken <= 0.0 {
            return 0.0;
        }
        self.level -= taken;
        taken
    }

    /// Takes all of `tokens` if at least `least` are there; what is missing is owed and fills
    /// up first.
    pub fn take_with_debt(&mut self, now: Duration, tokens: f64, least: f64) -> bool {
        self.fill(now);
        let taken = self.level >= least;
        if taken {
            self.level -= tokens;
        }
        taken
    }

    /// Puts back tokens that were taken from this bucket and not used.
    pub fn refund(&mut self, now: Duration, tokens: f64) {
        self.fill(now);
        self.level = (self.level + tokens).min(self.capacity);
    }

    /// Time until `tokens` are there; `None` if they never will be.
    pub fn wait_for(&mut self, now: Duration, tokens: f64) -> Option<Duration> {
        self.fill(now);
        if tokens > self.capacity || self.rate <= 0.0 {
            return None;
        }
        Some(Duration::from_secs_f64((tokens - self.level).max(0.0) / self.rate))
    }

    /// The tokens there at `now`.
    pub fn level(&mut self, now: Duration) -> f64 {
        self.fill(now);
        self.level
    }

    /// Takes a new size and rate; never gains tokens by it.
    pub fn resize(&mut self, now: Duration, capacity: f64, rate: f64) {
        self.fill(now);
        self.capacity = capacity;
        self.rate = rate;
        self.level = self.level.min(capacity);
    }

    fn fill(&mut self, now: Duration) {
        let length = now.saturating_sub(self.at);
        self.level = (self.level + self.rate * length.as_secs_f64()).min(self.capacity);
        self.at = self.at.max(now);
    }
}

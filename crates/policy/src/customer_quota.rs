//! Customers' rates over all daemons: each customer's bucket lies on one daemon, its home.
//!
//! The home's bucket fills at the share of daemons that reach it; a daemon that hears no home spends
//! from a bucket of its own, which fills at one daemon's share. So the sum stays within the rate,
//! whoever is cut off from whom. What comes beside it, when homes change, is taken from what the
//! deployment allows beyond rate and burst.

use std::time::Duration;

use ids::CustomerId;
use indexmap::IndexMap;

use crate::bucket::TokenBucket;

/// Most of its burst that a new home starts with: it does not know what was spent before.
const START_FILL: f64 = 0.25;
/// Share of the allowance that a new home starts with at most.
const START_SHARE: f64 = 0.25;
/// Share of the allowance that all substitutes of one home grant in a window.
const SUBSTITUTE_SHARE: f64 = 0.5;
/// Daemons that are asked in place of one home at the same time, by daemons whose views differ.
const SUBSTITUTES: f64 = 3.0;
/// Questions whose answers are remembered: one that comes again is not charged again.
const REMEMBERED: usize = 256;
/// The wait told when the tokens will never be there.
const NO_WAIT_KNOWN: Duration = Duration::from_secs(1);

/// A customer's rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CustomerRate {
    /// Tokens a second; zero is no limit.
    pub per_s: f64,
    /// Tokens that may come at once.
    pub burst: f64,
}

/// By how much customers may exceed their rates in a window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaAllowance {
    /// The window.
    pub window: Duration,
    /// As a share of rate and burst.
    pub overage: f64,
    /// In tokens besides.
    pub slack: f64,
}

/// Where tokens come from.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum QuotaSource {
    /// The customer's home, for this share of all daemons.
    Home(f64),
    /// A daemon in place of the home, which some daemon found silent.
    Substitute,
    /// The asking daemon itself, for this share of all daemons.
    Local(f64),
}

/// Buckets of one daemon.
#[derive(Debug)]
pub struct QuotaTable {
    allowance: QuotaAllowance,
    home: IndexMap<CustomerId, TokenBucket>,
    substitute: IndexMap<CustomerId, TokenBucket>,
    alone: IndexMap<CustomerId, TokenBucket>,
    answered: IndexMap<u64, Result<(), Duration>>,
}

/// The size of one bucket, in tokens and tokens a second.
struct BucketSize {
    capacity: f64,
    rate: f64,
    start: f64,
}

impl QuotaTable {
    /// No bucket yet.
    pub fn new(allowance: QuotaAllowance) -> QuotaTable {
        QuotaTable {
            allowance,
            home: IndexMap::new(),
            substitute: IndexMap::new(),
            alone: IndexMap::new(),
            answered: IndexMap::new(),
        }
    }

    /// Customers may exceed their rates by another allowance from now on.
    pub fn set_allowance(&mut self, allowance: QuotaAllowance) {
        self.allowance = allowance;
    }

    /// Takes tokens for the question with this ticket; the same answer if it comes again.
    pub fn take_once(
        &mut self,
        now: Duration,
        ticket: u64,
        customer: &CustomerId,
        rate: CustomerRate,
        tokens: u64,
        source: QuotaSource,
    ) -> Result<(), Duration> {
        if let Some(answer) = self.answered.get(&ticket) {
            return *answer;
        }
        let answer = self.take(now, customer, rate, tokens, source);
        if self.answered.len() == REMEMBERED {
            self.answered.shift_remove_index(0);
        }
        self.answered.insert(ticket, answer);
        answer
    }

    /// Takes tokens of a customer, or tells how long to wait for them.
    pub fn take(
        &mut self,
        now: Duration,
        customer: &CustomerId,
        rate: CustomerRate,
        tokens: u64,
        source: QuotaSource,
    ) -> Result<(), Duration> {
        if rate.per_s == 0.0 {
            return Ok(());
        }
        let size = self.size(rate, source);
        let buckets = match source {
            QuotaSource::Home(_) => &mut self.home,
            QuotaSource::Substitute => &mut self.substitute,
            QuotaSource::Local(_) => &mut self.alone,
        };
        let bucket = buckets.entry(customer.clone()).or_insert_with(|| {
            let mut bucket = TokenBucket::empty(now, size.capacity, size.rate);
            bucket.refund(now, size.start);
            bucket
        });
        bucket.resize(now, size.capacity, size.rate);
        let tokens = tokens as f64;
        let least = match source {
            // Many daemons alone would each overdraw their small buckets.
            QuotaSource::Local(_) => tokens,
            // A request beyond the whole bucket passes when it is full, and is paid off then.
            QuotaSource::Home(_) | QuotaSource::Substitute => tokens.min(size.capacity.floor()),
        };
        if bucket.take_with_debt(now, tokens, least) {
            return Ok(());
        }
        Err(bucket.wait_for(now, least).unwrap_or(NO_WAIT_KNOWN))
    }

    /// A customer's home answered: what this daemon may spend alone begins anew.
    pub fn reset_local(&mut self, customer: &CustomerId) {
        self.alone.swap_remove(customer);
    }

    fn size(&self, rate: CustomerRate, source: QuotaSource) -> BucketSize {
        let window_s = self.allowance.window.as_secs_f64();
        let owed = rate.per_s * window_s + rate.burst;
        let beside = owed * self.allowance.overage + self.allowance.slack;
        match source {
            QuotaSource::Home(share) => {
                let start = (rate.burst * START_FILL).min(beside * START_SHARE);
                BucketSize {
                    capacity: rate.burst * share,
                    rate: rate.per_s * share,
                    start: start * share,
                }
            }
            QuotaSource::Substitute => {
                // Half of it at once, half over the window.
                let half = beside * SUBSTITUTE_SHARE / SUBSTITUTES / 2.0;
                BucketSize { capacity: half, rate: half / window_s, start: half }
            }
            // The home may have granted all until a moment ago.
            QuotaSource::Local(share) => {
                BucketSize { capacity: rate.burst * share, rate: rate.per_s * share, start: 0.0 }
            }
        }
    }
}

//! Customers' rates over all daemons: each customer's bucket lies on one daemon, its home.
//!
//! The home's bucket refills in proportion to the daemons that reach it and take it for the home
//! (`hub_views`). A daemon that gets no answer from any home takes tokens from a local bucket, which
//! refills at the fraction of the rate for a single daemon. So the sum stays within the rate however
//! the network is partitioned. What is granted in addition when homes change counts against the
//! allowance that the deployment sets beyond rate and burst.
//!
//! Load pattern: customers above their rate while homes stand still, are cut off or restart; a home
//! that returns has no more than a new one, since another granted the rate meanwhile.

use std::time::Duration;

use ids::CustomerId;
use indexmap::IndexMap;

use crate::bucket::TokenBucket;
use crate::repeated_query::AnsweredQueries;

/// Upper limit of a new home's initial tokens, as a ratio of the burst: the new home does not know
/// what was spent before.
const INITIAL_BURST_RATIO: f64 = 0.25;
/// Upper limit of a new home's initial tokens, as a ratio of the allowance.
const INITIAL_ALLOWANCE_RATIO: f64 = 0.25;
/// What all substitutes of one home grant in a window, as a ratio of the allowance.
const SUBSTITUTE_ALLOWANCE_RATIO: f64 = 0.5;
/// Number of daemons that are asked in place of one home at the same time, by daemons whose views
/// of the fleet differ.
const SUBSTITUTES_PER_HOME: f64 = 3.0;
/// A home that reaches a smaller share of the daemons than this leaves no debt: in a large fleet many
/// daemons that hear nobody, as after they stood still, would each overdraw a small bucket.
const MIN_DEBT_SHARE: f64 = 0.1;
/// A daemon that did nothing for longer than this may have been replaced as a home meanwhile. Its
/// peers take it for lost a little later.
const MAX_PAUSE: Duration = Duration::from_millis(1_000);
/// The wait returned for tokens that the bucket will never hold.
const FALLBACK_WAIT: Duration = Duration::from_secs(1);

/// A customer's rate limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CustomerRate {
    /// Tokens a second; zero means no limit.
    pub per_s: f64,
    /// Tokens that may be spent at once.
    pub burst: f64,
}

/// By how much each customer may exceed its rate and burst in a window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaAllowance {
    /// Length of the window.
    pub window: Duration,
    /// The excess as a ratio of what rate and burst give in the window.
    pub overage: f64,
    /// Further excess, in tokens.
    pub slack: f64,
}

/// The bucket that tokens are taken from.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum QuotaSource {
    /// That of the customer's home, sized for this fraction of all daemons.
    Home(f64),
    /// That of a daemon asked in place of the home, because the home did not answer some daemon.
    Substitute,
    /// The asking daemon's own, sized for this fraction of all daemons.
    Local(f64),
}

/// The buckets that one daemon keeps, by customer.
#[derive(Debug)]
pub struct QuotaTable {
    allowance: QuotaAllowance,
    home: IndexMap<CustomerId, HomeBucket>,
    substitute: IndexMap<CustomerId, TokenBucket>,
    local: IndexMap<CustomerId, TokenBucket>,
    answered: AnsweredQueries,
    /// When the daemon was last known to run.
    alive_at: Duration,
}

/// The bucket of a customer whose home this daemon is, or was.
#[derive(Debug)]
struct HomeBucket {
    tokens: TokenBucket,
    /// What a new home would begin with.
    initial: f64,
}

/// Capacity, refill rate and initial level of one bucket, in tokens and tokens a second.
struct BucketSize {
    capacity: f64,
    rate: f64,
    initial: f64,
}

impl QuotaTable {
    /// A table without buckets; `take` creates each with its first use.
    pub fn new(allowance: QuotaAllowance) -> QuotaTable {
        QuotaTable {
            allowance,
            home: IndexMap::new(),
            substitute: IndexMap::new(),
            local: IndexMap::new(),
            answered: AnsweredQueries::default(),
            alive_at: Duration::ZERO,
        }
    }

    /// Applies another allowance from now on; buckets are resized when they are next used.
    pub fn set_allowance(&mut self, allowance: QuotaAllowance) {
        self.allowance = allowance;
    }

    /// Like `take`, for a query of another daemon. If the query is repeated, it gets the same
    /// answer and is not charged again.
    pub fn take_once(
        &mut self,
        now: Duration,
        query_id: u64,
        customer: &CustomerId,
        rate: CustomerRate,
        tokens: u64,
        source: QuotaSource,
    ) -> Result<(), Duration> {
        if let Some(answer) = self.answered.get(query_id) {
            return answer;
        }
        let answer = self.take(now, customer, rate, tokens, source);
        self.answered.record(query_id, answer);
        answer
    }

    /// Takes a customer's tokens, or returns how long to wait for them. Always succeeds for a rate
    /// of zero.
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
        self.record_alive(now);
        let size = self.size(rate, source);
        let new_bucket = || {
            let mut bucket = TokenBucket::empty(now, size.capacity, size.rate);
            bucket.refund(now, size.initial);
            bucket
        };
        let bucket = match source {
            QuotaSource::Home(_) => {
                let home = self
                    .home
                    .entry(customer.clone())
                    .or_insert_with(|| HomeBucket { tokens: new_bucket(), initial: size.initial });
                home.initial = size.initial;
                &mut home.tokens
            }
            QuotaSource::Substitute => {
                self.substitute.entry(customer.clone()).or_insert_with(new_bucket)
            }
            QuotaSource::Local(_) => self.local.entry(customer.clone()).or_insert_with(new_bucket),
        };
        bucket.resize(now, size.capacity, size.rate);
        let tokens = tokens as f64;
        let minimum = match source {
            // No debt: many cut-off daemons would each overdraw their small buckets.
            QuotaSource::Local(_) => tokens,
            QuotaSource::Home(share) if share < MIN_DEBT_SHARE => tokens,
            // A request larger than the bucket passes when the bucket is full and leaves a debt.
            QuotaSource::Home(_) | QuotaSource::Substitute => tokens.min(size.capacity.floor()),
        };
        if bucket.take_with_debt(now, tokens, minimum) {
            return Ok(());
        }
        Err(bucket.wait_for(now, minimum).unwrap_or(FALLBACK_WAIT))
    }

    /// Records that the daemon runs; to be called more often than `MAX_PAUSE`. After a longer pause
    /// it has no more of any customer's tokens than a new home.
    pub fn record_alive(&mut self, now: Duration) {
        let paused = now.saturating_sub(self.alive_at);
        self.alive_at = self.alive_at.max(now);
        if paused > MAX_PAUSE {
            for it in self.home.values_mut() {
                it.tokens.limit_level(now, it.initial);
            }
        }
    }

    /// Records that another daemon answered as the customer's home.
    pub fn record_other_home(&mut self, now: Duration, customer: &CustomerId) {
        if let Some(it) = self.home.get_mut(customer) {
            it.tokens.limit_level(now, it.initial);
        }
    }

    /// Drops the customer's local bucket after its home answered; a new one starts empty.
    pub fn reset_local(&mut self, customer: &CustomerId) {
        self.local.swap_remove(customer);
    }

    fn size(&self, rate: CustomerRate, source: QuotaSource) -> BucketSize {
        let window_s = self.allowance.window.as_secs_f64();
        let entitled = rate.per_s * window_s + rate.burst;
        let excess = entitled * self.allowance.overage + self.allowance.slack;
        match source {
            QuotaSource::Home(fraction) => {
                let initial =
                    (rate.burst * INITIAL_BURST_RATIO).min(excess * INITIAL_ALLOWANCE_RATIO);
                BucketSize {
                    capacity: rate.burst * fraction,
                    rate: rate.per_s * fraction,
                    initial: initial * fraction,
                }
            }
            QuotaSource::Substitute => {
                // Half of the tokens at once, half over the window.
                let half = excess * SUBSTITUTE_ALLOWANCE_RATIO / SUBSTITUTES_PER_HOME / 2.0;
                BucketSize { capacity: half, rate: half / window_s, initial: half }
            }
            // Starts empty: the home may have granted the whole rate until a moment ago.
            QuotaSource::Local(fraction) => BucketSize {
                capacity: rate.burst * fraction,
                rate: rate.per_s * fraction,
                initial: 0.0,
            },
        }
    }
}

//! Customers' rates over all daemons: each customer's bucket lies on one daemon, its home.
//!
//! The home's bucket fills at the share of daemons that reach it; a daemon that does not hear
//! its home spends from a bucket of its own, which fills at one daemon's share. So the sum stays
//! within the rate, whoever is cut off from whom.

use std::time::Duration;

use ids::CustomerId;
use indexmap::IndexMap;
use policy::bucket::PartBucket;

use crate::config::CustomerRule;

/// How full a home's bucket starts: a new home does not know what was spent before.
const START_FILL: f64 = 0.25;

/// Share of the burst that a substitute for a silent home holds.
const SUBSTITUTE_FILL: f64 = 0.25;
/// Share of the rate at which it fills: the home may be silent to some daemons only.
const SUBSTITUTE_RATE: f64 = 0.1;

/// Buckets of one daemon.
#[derive(Debug, Default)]
pub struct QuotaTable {
    home: IndexMap<CustomerId, PartBucket>,
    substitute: IndexMap<CustomerId, PartBucket>,
    alone: IndexMap<CustomerId, PartBucket>,
}

/// Where tokens come from.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum QuotaSource {
    /// As the customer's home, for this share of all daemons.
    Home(f64),
    /// In place of the customer's home, which some daemon found silent.
    Substitute,
    /// Without the home, for this share of all daemons.
    Alone(f64),
}

impl QuotaTable {
    /// A customer's home answered: what this daemon may spend alone begins anew.
    pub fn hear_home(&mut self, customer: &CustomerId) {
        self.alone.swap_remove(customer);
    }

    /// Takes tokens of a customer, or tells how long to wait for them.
    pub fn take(
        &mut self,
        now: Duration,
        customer: &CustomerId,
        rule: &CustomerRule,
        tokens: u64,
        source: QuotaSource,
    ) -> Result<(), Duration> {
        if rule.rate.0 == 0 {
            return Ok(());
        }
        let (burst, rate) = (rule.burst.0 as f64, rule.rate.0 as f64);
        let (buckets, capacity, rate, start) = match source {
            QuotaSource::Home(share) => {
                (&mut self.home, burst * share, rate * share, burst * share * START_FILL)
            }
            QuotaSource::Substitute => {
                let capacity = burst * SUBSTITUTE_FILL;
                (&mut self.substitute, capacity, rate * SUBSTITUTE_RATE, capacity)
            }
            // The home may have granted all until a moment ago.
            QuotaSource::Alone(share) => (&mut self.alone, burst * share, rate * share, 0.0),
        };
        let bucket = buckets.entry(customer.clone()).or_insert_with(|| {
            let mut bucket = PartBucket::empty(now, capacity, rate);
            bucket.put_back(now, start);
            bucket
        });
        bucket.resize(now, capacity, rate);
        let tokens = tokens as f64;
        // A request beyond the whole burst passes when the bucket is full, and is paid off then.
        let least = tokens.min(capacity.floor());
        if bucket.take_or_owe(now, tokens, least) {
            return Ok(());
        }
        Err(bucket.wait_for(now, least).unwrap_or(Duration::from_secs(1)))
    }
}

//! Requests that a replica takes from all daemons together, as it names in its answers.
//!
//! One daemon keeps the tokens of each such replica, the others ask it before each request. One that
//! reaches no keeper has a bucket of its own, which fills at one daemon's share. Buckets are small
//! and start empty, so that keepers which change grant little more than the rate.
//!
//! Load pattern: a replica in need, to which all daemons would send more than it can take.

use std::time::Duration;

use ids::RequestRate;
use indexmap::IndexMap;

use crate::bucket::TokenBucket;
use crate::repeated_query::AnsweredQueries;

/// What a bucket holds at most, as the time in which it fills.
const BURST_TIME: Duration = Duration::from_millis(500);
/// Upper limit of buckets. At the limit the one made first is dropped.
const MAX_BUCKETS: usize = 10_000;
/// How long a request waits at least that gets no token, so that a replica is not asked for again
/// and again.
const MIN_WAIT: Duration = Duration::from_millis(5);
/// The wait for a token of a replica that takes no requests.
const CLOSED_WAIT: Duration = Duration::from_secs(1);

/// The buckets that one daemon keeps, by the digest of the replica's process.
#[derive(Debug, Default)]
pub struct RequestLimitTable {
    buckets: IndexMap<u64, TokenBucket>,
    answered: AnsweredQueries,
}

impl RequestLimitTable {
    /// Like `take`, for a query of another daemon; a repeated query gets the same answer.
    pub fn take_once(
        &mut self,
        now: Duration,
        query_id: u64,
        process: u64,
        rate: RequestRate,
        share: f64,
    ) -> Result<(), Duration> {
        if let Some(answer) = self.answered.get(query_id) {
            return answer;
        }
        let answer = self.take(now, process, rate, share);
        self.answered.record(query_id, answer);
        answer
    }

    /// Takes a token for one request to a replica that takes `rate` requests a second, of which
    /// `share` are granted here; or returns how long to wait for it.
    pub fn take(
        &mut self,
        now: Duration,
        process: u64,
        rate: RequestRate,
        share: f64,
    ) -> Result<(), Duration> {
        let per_s = rate.per_s() * share;
        let capacity = (per_s * BURST_TIME.as_secs_f64()).max(1.0);
        if !self.buckets.contains_key(&process) && self.buckets.len() == MAX_BUCKETS {
            self.buckets.shift_remove_index(0);
        }
        let new_bucket = || TokenBucket::empty(now, capacity, per_s);
        let bucket = self.buckets.entry(process).or_insert_with(new_bucket);
        bucket.resize(now, capacity, per_s);
        if bucket.take_with_debt(now, 1.0, 1.0) {
            return Ok(());
        }
        Err(bucket.wait_for(now, 1.0).map_or(CLOSED_WAIT, |it| it.max(MIN_WAIT)))
    }
}

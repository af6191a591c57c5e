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
use crate::cold_pace;
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
/// Below this share of the daemons, the bucket of a cold replica is one of many that nobody
/// coordinates.
const LONE_SHARE: f64 = 0.2;
/// What all such buckets grant of the rate. Their grants add up at random, and 85 of them would exceed
/// 17 grants in some second at the whole rate of 8 a second.
const LONE_RATIO: f64 = 0.7;
/// Longest wait for a token of a cold replica: a daemon that is asked before it knows that it is the
/// keeper grants only its own share, and is asked again after this.
const MAX_COLD_WAIT: Duration = Duration::from_millis(500);
/// How long a token of such a bucket is kept: the tokens of many would else be used at once by the
/// first burst.
const LONE_TOKEN_TIME: Duration = Duration::from_millis(500);

/// The buckets that one daemon keeps, by the digest of the replica's process.
#[derive(Debug, Default)]
pub struct RequestLimitTable {
    buckets: IndexMap<u64, TokenBucket>,
    cold_buckets: IndexMap<u64, ColdBucket>,
    answered: AnsweredQueries,
}

/// The bucket of a cold replica.
#[derive(Debug)]
struct ColdBucket {
    tokens: TokenBucket,
    /// When it holds a whole token, by what was taken last.
    opens_at: Duration,
    asked_at: Duration,
    /// Since when another keeper may have granted from a bucket of its own.
    handover_at: Duration,
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

    /// Like `take_once`, for a cold replica.
    pub fn take_cold_once(
        &mut self,
        now: Duration,
        query_id: u64,
        key: u64,
        rate: RequestRate,
        share: f64,
        draw: f64,
    ) -> Result<(), Duration> {
        if let Some(answer) = self.answered.get(query_id) {
            return answer;
        }
        let answer = self.take_cold(now, key, rate, share, draw);
        self.answered.record(query_id, answer);
        answer
    }

    /// Like `take`, for a cold replica: its bucket is smaller, and `draw`, a random number from 0 to
    /// below 1, is the part of a token that a new bucket begins with. Daemons without a keeper would
    /// else all get their first token at the same time.
    pub fn take_cold(
        &mut self,
        now: Duration,
        key: u64,
        rate: RequestRate,
        share: f64,
        draw: f64,
    ) -> Result<(), Duration> {
        let is_lone = share < LONE_SHARE;
        let is_current = |it: &&ColdBucket| now <= it.asked_at + cold_pace::HANDOVER_TIME;
        let handover_at =
            self.cold_buckets.get(&key).filter(is_current).map_or(now, |it| it.handover_at);
        let ratio = match is_lone {
            true => LONE_RATIO,
            false if now < handover_at + cold_pace::HANDOVER_TIME => cold_pace::HANDOVER_RATIO,
            false => 1.0,
        };
        let per_s = rate.per_s() * share * ratio;
        let capacity = if is_lone { 1.0 } else { cold_pace::BUCKET_CAPACITY };
        if !self.cold_buckets.contains_key(&key) && self.cold_buckets.len() == MAX_BUCKETS {
            self.cold_buckets.shift_remove_index(0);
        }
        let new_tokens = || {
            let mut tokens = TokenBucket::empty(now, capacity, per_s);
            tokens.refund(now, draw);
            tokens
        };
        let new_bucket =
            || ColdBucket { tokens: new_tokens(), opens_at: now, asked_at: now, handover_at };
        let is_new = !self.cold_buckets.contains_key(&key);
        let bucket = self.cold_buckets.entry(key).or_insert_with(new_bucket);
        if is_lone && !is_new && now.saturating_sub(LONE_TOKEN_TIME) > bucket.opens_at {
            bucket.tokens = new_tokens();
        }
        (bucket.asked_at, bucket.handover_at) = (now, handover_at);
        bucket.tokens.resize(now, capacity, per_s);
        let is_granted = bucket.tokens.take_with_debt(now, 1.0, 1.0);
        let wait = bucket.tokens.wait_for(now, 1.0);
        bucket.opens_at = now.saturating_add(wait.unwrap_or(CLOSED_WAIT));
        if is_granted {
            return Ok(());
        }
        Err(wait.unwrap_or(CLOSED_WAIT).clamp(MIN_WAIT, MAX_COLD_WAIT))
    }
}

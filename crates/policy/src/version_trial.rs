//! Compares a new version with the old one while both serve.
//!
//! Both versions run at the same time on the same routes, so load and time of day affect both.
//! Failures are tested by a sequential probability ratio test of the new version against the old
//! one's failure rate. Slowness is tested the same way, by the share of the new version's requests
//! that are slower than the old one's 95th percentile. Each route is tested alone, and all routes
//! together.
//!
//! The load pattern that this answers: load changes for both versions while a trial runs. A stalled
//! machine delays all requests that run at the same time, so overlapping slow requests are one
//! observation unless the old version answered in time meanwhile, and the old version's recent
//! requests tell what share is slow just now.

use std::time::Duration;

use indexmap::IndexMap;

/// Two tests, for a version whose failure rate exceeds the old one's by these shares: the greater
/// one needs fewer requests, the smaller one finds faults that show in few of them.
const EXTRA_FAILURE_SHARES: [f64; 2] = [0.10, 0.02];
/// The old version's failure rate is assumed to lie this many standard errors above the observed
/// one, for each of these tests. A smaller difference needs a better estimate.
const RATE_STANDARD_ERRORS: [f64; 2] = [1.0, 2.0];
/// Requests of the old version needed before the smaller share is tested.
const MIN_OLD_REQUESTS: f64 = 100.0;
/// Share of slow requests of a good version, by the definition of the 95th percentile.
const GOOD_SLOW_SHARE: f64 = 0.05;
/// By how much the share of slow requests of a slow version exceeds that of a good one.
const EXTRA_SLOW_SHARE: f64 = 0.20;
/// The greatest share of slow requests that is assumed of a good version.
const MAX_GOOD_SLOW_SHARE: f64 = 0.75;
/// Smoothing factor of the old version's recent share of slow requests.
const RECENT_SLOW_SMOOTHING: f64 = 0.05;
/// Log-likelihood ratio at which a version is found bad: one false alarm in 10,000 tests.
const BAD_RATIO: f64 = 9.21;
/// Lower bound of the log-likelihood ratio, so that a fault that sets in late is still found soon.
const MIN_RATIO: f64 = -4.0;
/// Latencies of the old version kept per route.
const MAX_LATENCIES: usize = 256;
/// Latencies of the old version needed before slowness is tested.
const MIN_LATENCIES: usize = 20;
/// Latencies of the old version after which the limit of slow requests is computed anew.
const LATENCIES_PER_LIMIT: usize = 10;

/// The result of one request, as evidence about the version that served it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TrialSample {
    /// Whether it ran on the new version rather than the old one.
    pub on_new_version: bool,
    /// Whether it failed and the version is to blame.
    pub failed: bool,
    /// When it failed or got its first token.
    pub ended_at: Duration,
    /// The time to its first token, if it got one.
    pub latency: Option<Duration>,
}

/// The fault found in a new version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrialFault {
    /// It fails more often than the old version.
    Failing,
    /// It is slower than the old version.
    Slow,
}

/// The evidence on one route, or on all routes together. `failing` and `slow` are log-likelihood
/// ratios.
#[derive(Debug, Clone, Default)]
struct RouteTrial {
    old_count: f64,
    old_failures: f64,
    old_latencies: Vec<Duration>,
    next_latency: usize,
    /// The latency above which a request counts as slow: 1.05 times the old version's 95th
    /// percentile. `None` while there are too few samples.
    slow_limit: Option<Duration>,
    /// Recent share of the old version's requests that were slow, by the limit at their time.
    old_slow_share: f64,
    /// For each of `EXTRA_FAILURE_SHARES`.
    failing: [f64; EXTRA_FAILURE_SHARES.len()],
    slow: f64,
    /// When the last slow request that counted ended.
    slow_until: Duration,
    /// When a request of the old version last ended that was not slow.
    old_in_time_at: Duration,
    /// When one last ended that was slow.
    old_slow_at: Duration,
}

/// The evidence that one daemon has about the new version of one move.
#[derive(Debug, Clone, Default)]
pub struct VersionTrial {
    routes: IndexMap<Box<str>, RouteTrial>,
    all: RouteTrial,
    new_version_requests: u64,
    fault: Option<TrialFault>,
}

impl VersionTrial {
    /// Requests recorded on the new version.
    pub fn new_version_requests(&self) -> u64 {
        self.new_version_requests
    }

    /// The fault found, if any. A fault once found stays.
    pub fn fault(&self) -> Option<TrialFault> {
        self.fault
    }

    /// Records the result of one request on `route`, and returns the fault found so far.
    pub fn record(&mut self, route: &str, sample: TrialSample) -> Option<TrialFault> {
        self.new_version_requests += u64::from(sample.on_new_version);
        let on_route = self.routes.entry(route.into()).or_default().record(sample);
        let on_all = self.all.record(sample);
        self.fault = self.fault.or(on_route).or(on_all);
        self.fault
    }
}

impl RouteTrial {
    fn record(&mut self, sample: TrialSample) -> Option<TrialFault> {
        if !sample.on_new_version {
            self.record_old(sample);
            return None;
        }
        self.record_failure(sample.failed);
        if let Some(latency) = sample.latency {
            self.record_latency(sample.ended_at, latency);
        }
        if self.failing.iter().any(|it| *it >= BAD_RATIO) {
            return Some(TrialFault::Failing);
        }
        (self.slow >= BAD_RATIO).then_some(TrialFault::Slow)
    }

    fn record_failure(&mut self, failed: bool) {
        // One failure in 100 requests is added to the old version's counts, so that an old version
        // without failures does not count as one that never fails.
        let count = self.old_count + 100.0;
        let rate = (self.old_failures + 1.0) / count;
        let error = (rate * (1.0 - rate) / count).sqrt();
        for (index, ratio) in self.failing.iter_mut().enumerate() {
            if index > 0 && self.old_count < MIN_OLD_REQUESTS {
                continue;
            }
            let good = (rate + RATE_STANDARD_ERRORS[index] * error).min(0.5);
            let bad = (good + EXTRA_FAILURE_SHARES[index]).min(0.95);
            *ratio = update_ratio(*ratio, good, bad, failed);
        }
    }

    fn record_latency(&mut self, ended_at: Duration, latency: Duration) {
        let Some(limit) = self.slow_limit else { return };
        let is_slow = latency > limit;
        if is_slow {
            let started_at = ended_at.saturating_sub(latency);
            let old_was_in_time =
                self.old_in_time_at > started_at + limit && self.old_slow_at <= started_at;
            if started_at < self.slow_until && !old_was_in_time {
                return;
            }
            self.slow_until = ended_at;
        }
        let good = self.old_slow_share.clamp(GOOD_SLOW_SHARE, MAX_GOOD_SLOW_SHARE);
        self.slow = update_ratio(self.slow, good, good + EXTRA_SLOW_SHARE, is_slow);
    }

    fn record_old(&mut self, sample: TrialSample) {
        self.old_count += 1.0;
        self.old_failures += if sample.failed { 1.0 } else { 0.0 };
        let Some(latency) = sample.latency else { return };
        if let Some(limit) = self.slow_limit {
            let slow = if latency > limit { 1.0 } else { 0.0 };
            self.old_slow_share += RECENT_SLOW_SMOOTHING * (slow - self.old_slow_share);
            let last =
                if latency > limit { &mut self.old_slow_at } else { &mut self.old_in_time_at };
            *last = sample.ended_at;
        }
        if self.old_latencies.len() < MAX_LATENCIES {
            self.old_latencies.push(latency);
        } else {
            self.old_latencies[self.next_latency % MAX_LATENCIES] = latency;
        }
        self.next_latency += 1;
        let count = self.old_latencies.len();
        if count >= MIN_LATENCIES && self.next_latency.is_multiple_of(LATENCIES_PER_LIMIT) {
            let mut sorted = self.old_latencies.clone();
            sorted.sort_unstable();
            self.slow_limit = Some(sorted[count * 95 / 100].mul_f64(1.05));
        }
    }
}

/// Adds one observation to a log-likelihood ratio; `good` and `bad` are its probabilities under a
/// good and a bad version.
fn update_ratio(ratio: f64, good: f64, bad: f64, happened: bool) -> f64 {
    let gain = if happened { (bad / good).ln() } else { ((1.0 - bad) / (1.0 - good)).ln() };
    (ratio + gain).max(MIN_RATIO)
}

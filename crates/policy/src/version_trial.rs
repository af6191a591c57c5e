//! Compares a new version with the old one while both serve.
//!
//! Both versions run at the same time on the same routes, so load and time of day affect both.
//! Failures are tested by a sequential probability ratio test of the new version against the old
//! one's failure rate. Slowness is tested the same way, by the share of the new version's requests
//! that are slower than the old one's 95th percentile. Each route is tested alone, and all routes
//! together.

use indexmap::IndexMap;

/// The test detects a version whose failure rate exceeds the old one's by this much.
const BAD_EXTRA_FAILURES: f64 = 0.10;
/// Share of slow requests of a good version, by the definition of the 95th percentile.
const GOOD_SLOW_SHARE: f64 = 0.05;
/// Share of slow requests of a slow version.
const BAD_SLOW_SHARE: f64 = 0.25;
/// Log-likelihood ratio at which a version is found bad: one false alarm in 10,000 tests.
const BAD_RATIO: f64 = 9.21;
/// Lower bound of the log-likelihood ratio, so that a fault that sets in late is still found soon.
const MIN_RATIO: f64 = -4.0;
/// Latencies of the old version kept per route.
const MAX_LATENCIES: usize = 256;
/// Latencies of the old version needed before slowness is tested.
const MIN_LATENCIES: usize = 20;

/// The result of one request, as evidence about the version that served it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TrialSample {
    /// Whether it ran on the new version rather than the old one.
    pub on_new_version: bool,
    /// Whether it failed and the version is to blame.
    pub failed: bool,
    /// Seconds to its first token, if it got one.
    pub latency_s: Option<f64>,
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
    old_latencies: Vec<f64>,
    next_latency: usize,
    failing: f64,
    slow: f64,
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
        // One failure in 100 requests is added to the old version's counts, so that an old version
        // without failures does not count as one that never fails.
        let good = ((self.old_failures + 1.0) / (self.old_count + 100.0)).min(0.5);
        let bad = (good + BAD_EXTRA_FAILURES).min(0.95);
        self.failing = update_ratio(self.failing, good, bad, sample.failed);
        if let (Some(limit), Some(latency_s)) = (self.slow_limit(), sample.latency_s) {
            self.slow = update_ratio(self.slow, GOOD_SLOW_SHARE, BAD_SLOW_SHARE, latency_s > limit);
        }
        if self.failing >= BAD_RATIO {
            return Some(TrialFault::Failing);
        }
        (self.slow >= BAD_RATIO).then_some(TrialFault::Slow)
    }

    fn record_old(&mut self, sample: TrialSample) {
        self.old_count += 1.0;
        self.old_failures += if sample.failed { 1.0 } else { 0.0 };
        let Some(latency_s) = sample.latency_s else { return };
        if self.old_latencies.len() < MAX_LATENCIES {
            self.old_latencies.push(latency_s);
        } else {
            self.old_latencies[self.next_latency % MAX_LATENCIES] = latency_s;
        }
        self.next_latency += 1;
    }

    /// The latency above which a request counts as slow, in seconds: 1.05 times the old version's
    /// 95th percentile. `None` while there are too few samples.
    fn slow_limit(&self) -> Option<f64> {
        if self.old_latencies.len() < MIN_LATENCIES {
            return None;
        }
        let mut sorted = self.old_latencies.clone();
        sorted.sort_by(f64::total_cmp);
        Some(sorted[(sorted.len() * 95) / 100] * 1.05)
    }
}

/// Adds one observation to a log-likelihood ratio; `good` and `bad` are its probabilities under a
/// good and a bad version.
fn update_ratio(ratio: f64, good: f64, bad: f64, happened: bool) -> f64 {
    let gain = if happened { (bad / good).ln() } else { ((1.0 - bad) / (1.0 - good)).ln() };
    (ratio + gain).max(MIN_RATIO)
}

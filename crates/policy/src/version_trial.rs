//! Whether a new version is as good as the old one beside it.
//!
//! Both versions run at the same time on the same routes, so load and time of day strike both.
//! Failures: a sequential probability ratio test of the new version's failures against the old
//! one's rate. Slowness: the share of the new version's requests slower than the old one's
//! 95th percentile, tested the same way. Each route is judged alone and all together.

use indexmap::IndexMap;

/// A version that fails this much more often than the old one is bad.
const BAD_EXTRA_FAILURES: f64 = 0.10;
/// A good version's share of slow requests, by the definition of the 95th percentile.
const GOOD_SLOW_SHARE: f64 = 0.05;
/// A slow version's share of slow requests.
const BAD_SLOW_SHARE: f64 = 0.25;
/// Log-likelihood ratio at which a version is called bad: one false alarm in 10,000 tests.
const BAD_AT: f64 = 9.21;
/// The ratio is not let below this, so that late faults are still seen soon.
const FLOOR: f64 = -4.0;
/// Old-version latencies kept per route.
const KEPT_LATENCIES: usize = 256;
/// Old-version latencies needed before slowness is judged.
const LEAST_LATENCIES: usize = 20;

/// What one request told about its version.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TrialSample {
    /// It ran on the new version.
    pub on_new_version: bool,
    /// It failed through the version's fault.
    pub failed: bool,
    /// Seconds to its first token, if it got one.
    pub latency_s: Option<f64>,
}

/// Why a version is called bad.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrialFault {
    /// It fails more often.
    Failing,
    /// It is slower.
    Slow,
}

#[derive(Debug, Clone, Default)]
struct RouteTrial {
    old_count: f64,
    old_failures: f64,
    old_latencies: Vec<f64>,
    next_latency: usize,
    failing: f64,
    slow: f64,
}

/// The evidence of one daemon about one move.
#[derive(Debug, Clone, Default)]
pub struct VersionTrial {
    routes: IndexMap<Box<str>, RouteTrial>,
    all: RouteTrial,
    new_version_requests: u64,
    fault: Option<TrialFault>,
}

impl VersionTrial {
    /// Requests seen on the new version.
    pub fn new_version_requests(&self) -> u64 {
        self.new_version_requests
    }

    /// The fault found, if any; it stays.
    pub fn fault(&self) -> Option<TrialFault> {
        self.fault
    }

    /// Takes one request's result; returns the fault found so far.
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
            self.see_old(sample);
            return None;
        }
        // One failure is added to the old rate, so that no old failure does not mean never.
        let good = ((self.old_failures + 1.0) / (self.old_count + 100.0)).min(0.5);
        let bad = (good + BAD_EXTRA_FAILURES).min(0.95);
        self.failing = step(self.failing, good, bad, sample.failed);
        if let (Some(limit), Some(seen)) = (self.slow_limit(), sample.latency_s) {
            self.slow = step(self.slow, GOOD_SLOW_SHARE, BAD_SLOW_SHARE, seen > limit);
        }
        if self.failing >= BAD_AT {
            return Some(TrialFault::Failing);
        }
        (self.slow >= BAD_AT).then_some(TrialFault::Slow)
    }

    fn see_old(&mut self, sample: TrialSample) {
        self.old_count += 1.0;
        self.old_failures += if sample.failed { 1.0 } else { 0.0 };
        let Some(seen) = sample.latency_s else { return };
        if self.old_latencies.len() < KEPT_LATENCIES {
            self.old_latencies.push(seen);
        } else {
            self.old_latencies[self.next_latency % KEPT_LATENCIES] = seen;
        }
        self.next_latency += 1;
    }

    fn slow_limit(&self) -> Option<f64> {
        if self.old_latencies.len() < LEAST_LATENCIES {
            return None;
        }
        let mut sorted = self.old_latencies.clone();
        sorted.sort_by(f64::total_cmp);
        Some(sorted[(sorted.len() * 95) / 100] * 1.05)
    }
}

fn step(ratio: f64, good: f64, bad: f64, seen: bool) -> f64 {
    let gain = if seen { (bad / good).ln() } else { ((1.0 - bad) / (1.0 - good)).ln() };
    (ratio + gain).max(FLOOR)
}

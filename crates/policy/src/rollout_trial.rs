//! Judges a new release of a pool's software by counts that all daemons have summed up.
//!
//! The load pattern that this answers: a few requests in a hundred run on the new release, spread
//! over hundreds of daemons, so that no daemon alone sees enough of them. Counts need no clock in
//! common, may arrive late or twice, and take the same space for any number of requests. The tests
//! are those of `version_trial`, applied to what was counted since the last look: a fault that sets
//! in late is found as soon as one that was there from the start.

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::version_trial::TrialFault;

/// Number of classes of latencies.
const LATENCY_CLASSES: usize = 26;
/// Upper limit of the first class.
const FIRST_CLASS_LIMIT: Duration = Duration::from_millis(1);
/// Ratio of the limits of two classes in succession.
const CLASS_GROWTH: f64 = 1.5;
/// By these shares a failing release fails more often than the old one. The greater one needs fewer
/// requests, the smaller one finds faults that show in few of them.
const EXTRA_FAILURE_SHARES: [f64; 2] = [0.10, 0.02];
/// The old release's failure rate is assumed to lie this many standard errors above the observed
/// one, for each of these tests.
const RATE_STANDARD_ERRORS: [f64; 2] = [1.0, 2.0];
/// Requests on the old release needed before the smaller share is tested.
const MIN_OLD_REQUESTS: f64 = 100.0;
/// Share of slow requests of a good release: slow is what exceeds the 95th percentile by far.
const GOOD_SLOW_SHARE: f64 = 0.05;
/// By how much the share of slow requests of a slow release exceeds that of a good one.
const EXTRA_SLOW_SHARE: f64 = 0.20;
/// The greatest share of slow requests that is assumed of a good release.
const MAX_GOOD_SLOW_SHARE: f64 = 0.75;
/// Smoothing factor of the old release's recent share of slow requests, for each request.
const RECENT_SLOW_SMOOTHING: f64 = 0.05;
/// Latencies of the old release needed before slowness is tested.
const MIN_LATENCIES: u32 = 20;
/// Log-likelihood ratio at which a release is found bad: one false alarm in 10,000 tests.
const BAD_RATIO: f64 = 9.21;
/// Lower bound of the log-likelihood ratio, so that a fault that sets in late is still found soon.
const MIN_RATIO: f64 = -4.0;
/// What one look adds to a log-likelihood ratio, for a release to be suspect.
const SUSPECT_GAIN: f64 = 1.0;
/// The most that one look adds to a log-likelihood ratio: the requests that one stalled or lost
/// replica delays at the same time are one observation.
const MAX_GAIN_PER_LOOK: f64 = BAD_RATIO / 2.5;

/// How a request on a replica ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// It got its answer, or its first token, after this time.
    Answered(Duration),
    /// It failed, and the replica is to blame.
    Failed,
}

/// Outcomes of the requests on one release.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeCounts {
    failed: u32,
    /// Answered requests by class of latency.
    latencies: [u32; LATENCY_CLASSES],
}

/// Outcomes on one route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteEvidence {
    /// The hash of the route's name.
    pub route: u64,
    /// On the releases that served before.
    pub old: OutcomeCounts,
    /// On the new release.
    pub new: OutcomeCounts,
}

/// The outcomes of requests to one pool since its rollout began, by route.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RolloutEvidence {
    routes: IndexMap<u64, RouteEvidence>,
}

impl RolloutEvidence {
    /// Evidence that a peer sent.
    pub fn from_routes(routes: &[RouteEvidence]) -> RolloutEvidence {
        let mut evidence = RolloutEvidence::default();
        routes.iter().for_each(|it| evidence.add_route(it));
        evidence
    }

    /// The evidence on each route.
    pub fn routes(&self) -> impl Iterator<Item = &RouteEvidence> {
        self.routes.values()
    }

    /// Records how a request ended.
    pub fn record(&mut self, route: u64, on_new: bool, outcome: AttemptOutcome) {
        let evidence =
            self.routes.entry(route).or_insert(RouteEvidence { route, ..Default::default() });
        let counts = if on_new { &mut evidence.new } else { &mut evidence.old };
        match outcome {
            AttemptOutcome::Failed => counts.failed = counts.failed.saturating_add(1),
            AttemptOutcome::Answered(latency) => {
                let class = &mut counts.latencies[latency_class(latency)];
                *class = class.saturating_add(1);
            }
        }
    }

    /// Adds the evidence of another daemon.
    pub fn add(&mut self, other: &RolloutEvidence) {
        other.routes().for_each(|it| self.add_route(it));
    }

    /// Requests that ended on the new release.
    pub fn new_requests(&self) -> u64 {
        self.routes().map(|it| u64::from(it.new.answered()) + u64::from(it.new.failed)).sum()
    }

    fn add_route(&mut self, other: &RouteEvidence) {
        let route = other.route;
        let evidence =
            self.routes.entry(route).or_insert(RouteEvidence { route, ..Default::default() });
        evidence.old.add(&other.old);
        evidence.new.add(&other.new);
    }
}

/// What is known about a new release of one pool.
#[derive(Debug, Clone, Default)]
pub struct RolloutTrial {
    routes: IndexMap<u64, RouteTrial>,
    all: RouteTrial,
    fault: Option<TrialFault>,
}

impl RolloutTrial {
    /// Compares the evidence with that of the last look, and returns the fault found so far. A
    /// fault once found stays.
    pub fn observe(&mut self, total: &RolloutEvidence) -> Option<TrialFault> {
        let mut all = RouteEvidence::default();
        for evidence in total.routes() {
            all.old.add(&evidence.old);
            all.new.add(&evidence.new);
            let found = self.routes.entry(evidence.route).or_default().observe(evidence);
            self.fault = self.fault.or(found);
        }
        let found = self.all.observe(&all);
        self.fault = self.fault.or(found);
        self.fault
    }

    /// Whether what the last look found speaks against the release, if not enough for a verdict.
    pub fn is_suspect(&self) -> bool {
        self.routes.values().chain([&self.all]).any(|it| it.suspect)
    }
}

/// The tests on one route, or on all routes together. `failing` and `slow` are log-likelihood
/// ratios.
#[derive(Debug, Clone, Default)]
struct RouteTrial {
    last: RouteEvidence,
    /// For each of `EXTRA_FAILURE_SHARES`.
    failing: [f64; EXTRA_FAILURE_SHARES.len()],
    slow: f64,
    /// Recent share of the old release's requests that were slow.
    old_slow_share: f64,
    /// See [`RolloutTrial::is_suspect`].
    suspect: bool,
}

impl RouteTrial {
    fn observe(&mut self, total: &RouteEvidence) -> Option<TrialFault> {
        let last = std::mem::replace(&mut self.last, *total);
        let before = self.worst_ratio();
        self.test_failures(&total.old, total.new.since(&last.new));
        self.test_latencies(&total.old, total.old.since(&last.old), total.new.since(&last.new));
        self.suspect =
            self.worst_ratio() > before.max(MIN_RATIO) + SUSPECT_GAIN || self.worst_ratio() > 0.0;
        if self.failing.iter().any(|it| *it >= BAD_RATIO) {
            return Some(TrialFault::Failing);
        }
        (self.slow >= BAD_RATIO).then_some(TrialFault::Slow)
    }

    fn worst_ratio(&self) -> f64 {
        self.failing.iter().fold(self.slow, |worst, it| worst.max(*it))
    }

    fn test_failures(&mut self, old: &OutcomeCounts, new: OutcomeCounts) {
        // One failure in 100 requests is added to the old release's counts, so that one without
        // failures does not count as one that never fails.
        let old_requests = f64::from(old.answered()) + f64::from(old.failed);
        let count = old_requests + 100.0;
        let rate = (f64::from(old.failed) + 1.0) / count;
        let error = (rate * (1.0 - rate) / count).sqrt();
        for (index, ratio) in self.failing.iter_mut().enumerate() {
            if index > 0 && old_requests < MIN_OLD_REQUESTS {
                continue;
            }
            let good = (rate + RATE_STANDARD_ERRORS[index] * error).min(0.5);
            let bad = (good + EXTRA_FAILURE_SHARES[index]).min(0.95);
            *ratio = update_ratio(*ratio, good, bad, new.failed, new.answered());
        }
    }

    /// `old_total` defines what is slow; `old` and `new` are the outcomes since the last look.
    fn test_latencies(
        &mut self,
        old_total: &OutcomeCounts,
        old: OutcomeCounts,
        new: OutcomeCounts,
    ) {
        let Some(first_slow) = old_total.first_slow_class() else { return };
        let old_slow = old.answered_from(first_slow);
        let mut good = self.old_slow_share;
        if old.answered() > 0 {
            let share = f64::from(old_slow) / f64::from(old.answered());
            let keep = (1.0 - RECENT_SLOW_SMOOTHING).powf(f64::from(old.answered()));
            self.old_slow_share = keep * self.old_slow_share + (1.0 - keep) * share;
            // A stalled machine delays requests to both releases at the same time.
            good = self.old_slow_share.max(share);
        }
        let good = good.clamp(GOOD_SLOW_SHARE, MAX_GOOD_SLOW_SHARE);
        let new_slow = new.answered_from(first_slow);
        let in_time = new.answered() - new_slow;
        self.slow = update_ratio(self.slow, good, good + EXTRA_SLOW_SHARE, new_slow, in_time);
    }
}

impl OutcomeCounts {
    fn answered(&self) -> u32 {
        self.answered_from(0)
    }

    /// Answered requests whose latency is of this class or a longer one.
    fn answered_from(&self, class: usize) -> u32 {
        self.latencies[class..].iter().fold(0, |sum, it| sum.saturating_add(*it))
    }

    fn add(&mut self, other: &OutcomeCounts) {
        self.failed = self.failed.saturating_add(other.failed);
        for (sum, count) in self.latencies.iter_mut().zip(other.latencies) {
            *sum = sum.saturating_add(count);
        }
    }

    /// The outcomes since `last`. Counts that fell are those of a daemon that has gone or
    /// restarted; what remains was looked at before.
    fn since(&self, last: &OutcomeCounts) -> OutcomeCounts {
        let mut delta = *self;
        delta.failed = self.failed.saturating_sub(last.failed);
        for (count, before) in delta.latencies.iter_mut().zip(last.latencies) {
            *count = count.saturating_sub(before);
        }
        delta
    }

    /// The class from which a latency is slow: at least one class above that of the 95th
    /// percentile. `None` while there are too few requests.
    fn first_slow_class(&self) -> Option<usize> {
        let answered = self.answered();
        if answered < MIN_LATENCIES {
            return None;
        }
        let allowed = f64::from(answered) * GOOD_SLOW_SHARE;
        let above = (0..LATENCY_CLASSES).find(|it| f64::from(self.answered_from(*it)) <= allowed);
        above.map(|it| it + 1).filter(|it| *it < LATENCY_CLASSES)
    }
}

/// The class of latencies up to the limit of which this one lies.
fn latency_class(latency: Duration) -> usize {
    let mut limit = FIRST_CLASS_LIMIT;
    for class in 0..LATENCY_CLASSES - 1 {
        if latency <= limit {
            return class;
        }
        limit = limit.mul_f64(CLASS_GROWTH);
    }
    LATENCY_CLASSES - 1
}

/// Adds observations to a log-likelihood ratio; `good` and `bad` are the probabilities of what
/// `happened` under a good and a bad release.
fn update_ratio(ratio: f64, good: f64, bad: f64, happened: u32, not_happened: u32) -> f64 {
    let gain = f64::from(happened) * (bad / good).ln()
        + f64::from(not_happened) * ((1.0 - bad) / (1.0 - good)).ln();
    (ratio + gain.min(MAX_GAIN_PER_LOOK)).max(MIN_RATIO)
}

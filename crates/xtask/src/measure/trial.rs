//! How soon a faulty version is detected, how many requests it harms until then, and how often a
//! good one is rolled back.

use std::time::Duration;

use policy::version_trial::{TrialFault, TrialSample, VersionTrial};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::fleet::ChoreError;
use crate::measure::report::ResultTable;

/// Requests a second that one daemon sees.
const ARRIVALS_PER_S: f64 = 13.0;
/// Fraction of them on the new version during the trial.
const TRIAL_SHARE: f64 = 0.05;
/// Fraction of requests that fail on a version without a fault.
const BASE_FAILURE_RATE: f64 = 0.002;
/// How long the trial and the rollout after it last, in seconds.
const DURATION_S: f64 = 120.0;
/// When late faults set in, in seconds from the start of the trial.
const LATE_FAULT_AT_S: f64 = 60.0;
const ROUTES: [&str; 4] = ["counter", "catalogue", "tariff", "drafts"];
/// Trials of each kind for each seed.
const TRIALS_PER_SEED: u64 = 200;

/// A fault of the new version. Numbers are the fraction of requests that fail, or the factor by
/// which first tokens take longer.
#[derive(Debug, Clone, Copy, PartialEq)]
enum InjectedFault {
    None,
    Fails(f64),
    FailsLate(f64),
    /// On one of the four routes only.
    FailsOnOneRoute(f64),
    /// Only once the new version gets enough traffic.
    FailsUnderLoad(f64),
    Slow(f64),
    SlowLate(f64),
}

/// Measures a good version and versions with each fault.
pub(crate) fn run(seeds: u64) -> Result<(), ChoreError> {
    let columns = ["found_percent", "seconds_to_find", "harmed_requests"];
    let mut table = ResultTable::new("trial", &columns);
    let cases = [
        ("good", InjectedFault::None),
        ("fails always", InjectedFault::Fails(1.0)),
        ("fails 3 in 10", InjectedFault::Fails(0.3)),
        ("fails 1 in 10", InjectedFault::Fails(0.1)),
        ("fails always, late", InjectedFault::FailsLate(1.0)),
        ("fails 3 in 10 on one route", InjectedFault::FailsOnOneRoute(0.3)),
        ("fails 3 in 10 under load", InjectedFault::FailsUnderLoad(0.3)),
        ("twice as slow", InjectedFault::Slow(2.0)),
        ("1.3 times as slow", InjectedFault::Slow(1.3)),
        ("three times as slow, late", InjectedFault::SlowLate(3.0)),
    ];
    for (name, fault) in cases {
        let runs: Vec<Vec<f64>> = (0..seeds).map(|it| run_trials(fault, it)).collect();
        table.push_median(name, &runs);
    }
    table.print_and_save()
}

/// Percentage of trials in which a fault was reported, mean seconds until then, and mean number of
/// requests harmed.
fn run_trials(fault: InjectedFault, seed: u64) -> Vec<f64> {
    let outcomes: Vec<(Option<f64>, u64)> =
        (0..TRIALS_PER_SEED).map(|it| simulate(fault, seed * TRIALS_PER_SEED + it)).collect();
    let detected: Vec<f64> = outcomes.iter().filter_map(|it| it.0).collect();
    let harmed_requests: u64 = outcomes.iter().map(|it| it.1).sum();
    let mean_s = detected.iter().sum::<f64>() / (detected.len().max(1)) as f64;
    vec![
        100.0 * detected.len() as f64 / TRIALS_PER_SEED as f64,
        mean_s,
        harmed_requests as f64 / TRIALS_PER_SEED as f64,
    ]
}

/// Seconds from the start of the fault until a fault was reported, if one was, and the number of
/// requests harmed until then.
fn simulate(fault: InjectedFault, seed: u64) -> (Option<f64>, u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut trial = VersionTrial::default();
    let fault_at_s = match fault {
        InjectedFault::FailsLate(_) | InjectedFault::SlowLate(_) => LATE_FAULT_AT_S,
        _ => 0.0,
    };
    let (mut now, mut harmed_requests) = (0.0, 0);
    // Requests that the old version served before the trial.
    for _ in 0..200 {
        let route = ROUTES[random.random_range(0..ROUTES.len())];
        trial.record(route, draw_sample(&mut random, 0.0));
    }
    while now < DURATION_S {
        now += -random.random::<f64>().ln() / ARRIVALS_PER_S;
        let route = ROUTES[random.random_range(0..ROUTES.len())];
        // After the trial of 30 s the share grows with each replica that gets the new version.
        let share = if now < 30.0 { TRIAL_SHARE } else { TRIAL_SHARE + 0.9 * (now - 30.0) / 90.0 };
        let is_new = random.random::<f64>() < share;
        let mut sample = draw_sample(&mut random, now);
        if is_new {
            sample.on_new_version = true;
            harmed_requests += u64::from(inject_fault(fault, now, route, &mut sample, &mut random));
        }
        let detected: Option<TrialFault> = trial.record(route, sample);
        if detected.is_some() {
            return (Some((now - fault_at_s).max(0.0)), harmed_requests);
        }
    }
    (None, harmed_requests)
}

/// A sample of the old version at `now`, in seconds from the start of the trial.
fn draw_sample(random: &mut StdRng, now: f64) -> TrialSample {
    // First-token times have a long tail: they vary with prompt length and cache hits.
    let latency = 0.2 * (1.0 - random.random::<f64>()).recip().powf(0.4);
    TrialSample {
        on_new_version: false,
        failed: random.random::<f64>() < BASE_FAILURE_RATE,
        ended_at: Duration::from_secs_f64(now),
        latency: Some(Duration::from_secs_f64(latency)),
    }
}

/// Applies the fault to a sample of the new version; returns whether the request was harmed.
fn inject_fault(
    fault: InjectedFault,
    now: f64,
    route: &str,
    sample: &mut TrialSample,
    random: &mut StdRng,
) -> bool {
    let (failure_rate, slowdown): (f64, f64) = match fault {
        InjectedFault::None => (0.0, 1.0),
        InjectedFault::Fails(it) => (it, 1.0),
        InjectedFault::FailsLate(it) if now >= LATE_FAULT_AT_S => (it, 1.0),
        InjectedFault::FailsOnOneRoute(it) if route == ROUTES[2] => (it, 1.0),
        // The version's load counts as high from 45 s on, when its share of the traffic has grown.
        InjectedFault::FailsUnderLoad(it) if now >= 45.0 => (it, 1.0),
        InjectedFault::Slow(it) => (0.0, it),
        InjectedFault::SlowLate(it) if now >= LATE_FAULT_AT_S => (0.0, it),
        _ => (0.0, 1.0),
    };
    let failed = random.random::<f64>() < failure_rate;
    sample.failed |= failed;
    sample.latency = sample.latency.map(|it| it.mul_f64(slowdown));
    failed || slowdown > 1.0
}

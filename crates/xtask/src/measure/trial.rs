//! How soon a bad version is found, how many requests it harms, and how often a good one is
//! taken back.

use policy::version_trial::{TrialFault, TrialSample, VersionTrial};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::fleet::ChoreError;
use crate::measure::report::FigureTable;

/// Requests a second that one daemon sees.
const ARRIVALS: f64 = 13.0;
/// The share of them on the new version.
const SHARE: f64 = 0.05;
/// Failures of a good version.
const STRAY_FAILURES: f64 = 0.002;
/// How long a trial and rollout last.
const LENGTH_S: f64 = 120.0;
/// When late faults begin.
const LATE_S: f64 = 60.0;
const ROUTES: [&str; 4] = ["counter", "catalogue", "tariff", "drafts"];
/// Trials of each kind; seeds multiply them.
const TRIALS: u64 = 200;

#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    None,
    Fails(f64),
    FailsLate(f64),
    FailsOnOneRoute(f64),
    FailsUnderLoad(f64),
    Slow(f64),
    SlowLate(f64),
}

pub(crate) fn run(seeds: u64) -> Result<(), ChoreError> {
    let columns = ["found_percent", "seconds_to_find", "harmed_requests"];
    let mut table = FigureTable::new("trial", &columns);
    let cases = [
        ("good", Fault::None),
        ("fails always", Fault::Fails(1.0)),
        ("fails 3 in 10", Fault::Fails(0.3)),
        ("fails 1 in 10", Fault::Fails(0.1)),
        ("fails always, late", Fault::FailsLate(1.0)),
        ("fails 3 in 10 on one route", Fault::FailsOnOneRoute(0.3)),
        ("fails 3 in 10 under load", Fault::FailsUnderLoad(0.3)),
        ("twice as slow", Fault::Slow(2.0)),
        ("1.3 times as slow", Fault::Slow(1.3)),
        ("three times as slow, late", Fault::SlowLate(3.0)),
    ];
    for (name, fault) in cases {
        let runs: Vec<Vec<f64>> = (0..seeds).map(|it| many(fault, it)).collect();
        table.push_runs(name, &runs);
    }
    table.finish()
}

fn many(fault: Fault, seed: u64) -> Vec<f64> {
    let results: Vec<(Option<f64>, u64)> =
        (0..TRIALS).map(|it| simulate(fault, seed * TRIALS + it)).collect();
    let found: Vec<f64> = results.iter().filter_map(|it| it.0).collect();
    let harmed: u64 = results.iter().map(|it| it.1).sum();
    let mean = found.iter().sum::<f64>() / (found.len().max(1)) as f64;
    vec![100.0 * found.len() as f64 / TRIALS as f64, mean, harmed as f64 / TRIALS as f64]
}

/// Seconds from the fault's beginning until it is found, and requests that it harmed.
fn simulate(fault: Fault, seed: u64) -> (Option<f64>, u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut trial = VersionTrial::default();
    let begins = match fault {
        Fault::FailsLate(_) | Fault::SlowLate(_) => LATE_S,
        _ => 0.0,
    };
    let (mut now, mut harmed) = (0.0, 0);
    // The old version has served for a while.
    for _ in 0..200 {
        let route = ROUTES[random.random_range(0..ROUTES.len())];
        trial.record(route, old_sample(&mut random));
    }
    while now < LENGTH_S {
        now += -random.random::<f64>().ln() / ARRIVALS;
        let route = ROUTES[random.random_range(0..ROUTES.len())];
        // After the trial the share grows, as replicas follow.
        let share = if now < 30.0 { SHARE } else { SHARE + 0.9 * (now - 30.0) / 90.0 };
        let new = random.random::<f64>() < share;
        let mut sample = old_sample(&mut random);
        if new {
            sample.on_new_version = true;
            harmed += u64::from(worsen(fault, now, route, &mut sample, &mut random));
        }
        let found: Option<TrialFault> = trial.record(route, sample);
        if found.is_some() {
            return (Some((now - begins).max(0.0)), harmed);
        }
    }
    (None, harmed)
}

fn old_sample(random: &mut StdRng) -> TrialSample {
    // First-token times vary by prompt and cache.
    let latency = 0.2 * (1.0 - random.random::<f64>()).recip().powf(0.4);
    TrialSample {
        on_new_version: false,
        failed: random.random::<f64>() < STRAY_FAILURES,
        latency_s: Some(latency),
    }
}

/// Makes a sample of the new version bad as the fault says; true if it was harmed.
fn worsen(
    fault: Fault,
    now: f64,
    route: &str,
    sample: &mut TrialSample,
    random: &mut StdRng,
) -> bool {
    let (fails, slower): (f64, f64) = match fault {
        Fault::None => (0.0, 1.0),
        Fault::Fails(it) => (it, 1.0),
        Fault::FailsLate(it) if now >= LATE_S => (it, 1.0),
        Fault::FailsOnOneRoute(it) if route == ROUTES[2] => (it, 1.0),
        // Load rises as the version gets more of the traffic.
        Fault::FailsUnderLoad(it) if now >= 45.0 => (it, 1.0),
        Fault::Slow(it) => (0.0, it),
        Fault::SlowLate(it) if now >= LATE_S => (0.0, it),
        _ => (0.0, 1.0),
    };
    let failed = random.random::<f64>() < fails;
    sample.failed |= failed;
    sample.latency_s = sample.latency_s.map(|it| it * slower);
    failed || slower > 1.0
}

//! Retries in an outage, and how soon and how falsely replicas are called bad.

use std::time::Duration;

use policy::health::{HealthState, ReplicaHealth};
use policy::retry::RetryBudget;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::fleet::ChoreError;
use crate::measure::report::FigureTable;

const REPLICAS: usize = 18;
const REQUESTS: usize = 20_000;
const MAX_ATTEMPTS: usize = 4;
/// Requests a second.
const ARRIVALS: f64 = 100.0;
/// Failures of a replica that is well.
const STRAY_FAILURES: f64 = 0.002;

pub(crate) fn run(seeds: u64) -> Result<(), ChoreError> {
    let columns = ["added_load_percent", "failed_percent", "false_pauses_percent"];
    let mut table = FigureTable::new("retry", &columns);
    let cases = [
        ("budget and health, all well", 0, true),
        ("budget and health, 1 of 18 down", 1, true),
        ("budget and health, 9 of 18 down", 9, true),
        ("budget and health, all down", 18, true),
        ("3 retries always, 1 of 18 down", 1, false),
        ("3 retries always, 9 of 18 down", 9, false),
        ("3 retries always, all down", 18, false),
    ];
    for (name, down, ours) in cases {
        let runs: Vec<Vec<f64>> = (0..seeds).map(|it| simulate(down, ours, it)).collect();
        table.push_runs(name, &runs);
    }
    table.finish()
}

fn simulate(down: usize, ours: bool, seed: u64) -> Vec<f64> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut budget = RetryBudget::default();
    let mut healths = vec![ReplicaHealth::default(); REPLICAS];
    let (mut attempts, mut failed, mut false_pauses) = (0.0, 0.0, 0.0);
    for number in 0..REQUESTS {
        let now = Duration::from_secs_f64(1.0 + number as f64 / ARRIVALS);
        budget.earn();
        let mut avoid = Vec::new();
        let mut served = false;
        for tried in 0..MAX_ATTEMPTS {
            if tried > 0 && ours && !budget.spend() {
                break;
            }
            let Some(replica) = pick(&mut random, &healths, now, &avoid, ours) else { break };
            attempts += 1.0;
            let fails = replica < down || random.random::<f64>() < STRAY_FAILURES;
            if !fails {
                healths[replica].record_success(None);
                served = true;
                break;
            }
            healths[replica].record_failure(now, false);
            let paused = healths[replica].state(now) == HealthState::Paused;
            false_pauses += f64::from(u8::from(paused && replica >= down));
            avoid.push(replica);
        }
        failed += f64::from(u8::from(!served));
    }
    let requests = REQUESTS as f64;
    vec![
        100.0 * (attempts - requests).max(0.0) / requests,
        100.0 * failed / requests,
        100.0 * false_pauses / requests,
    ]
}

fn pick(
    random: &mut StdRng,
    healths: &[ReplicaHealth],
    now: Duration,
    avoid: &[usize],
    ours: bool,
) -> Option<usize> {
    let good = |it: &usize| !ours || healths[*it].state(now) == HealthState::Healthy;
    let open: Vec<usize> = (0..REPLICAS).filter(good).filter(|it| !avoid.contains(it)).collect();
    if open.is_empty() {
        return None;
    }
    Some(open[random.random_range(0..open.len())])
}

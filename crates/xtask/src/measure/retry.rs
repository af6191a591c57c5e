//! The load that retries add while replicas are down, and how often replicas that are up get
//! paused. Retries within the retry budget and by replica health are compared with a fixed number
//! of retries.

use std::time::Duration;

use policy::health::{HealthState, ReplicaHealth};
use policy::retry::RetryBudget;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::fleet::ChoreError;
use crate::measure::report::ResultTable;

const REPLICAS: usize = 18;
/// Requests in one run.
const REQUEST_COUNT: usize = 20_000;
/// Attempts of one request: the first and 3 retries.
const MAX_ATTEMPTS: usize = 4;
/// Requests a second.
const ARRIVALS_PER_S: f64 = 100.0;
/// Fraction of requests that fail on a replica that is up.
const HEALTHY_FAILURE_RATE: f64 = 0.002;

/// Measures outages of several sizes, with budget and health and without.
pub(crate) fn run(seeds: u64) -> Result<(), ChoreError> {
    let columns = ["added_load_percent", "failed_percent", "false_pauses_percent"];
    let mut table = ResultTable::new("retry", &columns);
    let cases = [
        ("budget and health, all well", 0, true),
        ("budget and health, 1 of 18 down", 1, true),
        ("budget and health, 9 of 18 down", 9, true),
        ("budget and health, all down", 18, true),
        ("3 retries always, 1 of 18 down", 1, false),
        ("3 retries always, 9 of 18 down", 9, false),
        ("3 retries always, all down", 18, false),
    ];
    for (name, down_count, limited) in cases {
        let runs: Vec<Vec<f64>> = (0..seeds).map(|it| simulate(down_count, limited, it)).collect();
        table.push_median(name, &runs);
    }
    table.print_and_save()
}

/// Values for the columns of the table from one run. The first `down_count` replicas fail every
/// request. Without `limited`, neither the retry budget nor replica health limits the attempts.
fn simulate(down_count: usize, limited: bool, seed: u64) -> Vec<f64> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut budget = RetryBudget::default();
    let mut healths = vec![ReplicaHealth::default(); REPLICAS];
    let (mut attempts, mut failed, mut false_pauses) = (0.0, 0.0, 0.0);
    for request_number in 0..REQUEST_COUNT {
        let now = Duration::from_secs_f64(1.0 + request_number as f64 / ARRIVALS_PER_S);
        budget.earn();
        let mut tried = Vec::new();
        let mut served = false;
        for attempt in 0..MAX_ATTEMPTS {
            if attempt > 0 && limited && !budget.spend() {
                break;
            }
            let Some(replica) = pick(&mut random, &healths, now, &tried, limited) else { break };
            attempts += 1.0;
            let attempt_fails =
                replica < down_count || random.random::<f64>() < HEALTHY_FAILURE_RATE;
            if !attempt_fails {
                healths[replica].record_success(None);
                served = true;
                break;
            }
            healths[replica].record_failure(now, false);
            let is_paused = healths[replica].state(now) == HealthState::Paused;
            false_pauses += f64::from(u8::from(is_paused && replica >= down_count));
            tried.push(replica);
        }
        failed += f64::from(u8::from(!served));
    }
    let requests = REQUEST_COUNT as f64;
    vec![
        100.0 * (attempts - requests).max(0.0) / requests,
        100.0 * failed / requests,
        100.0 * false_pauses / requests,
    ]
}

/// A random replica not yet tried; with `limited`, only one that counts as healthy. `None` if
/// there is none.
fn pick(
    random: &mut StdRng,
    healths: &[ReplicaHealth],
    now: Duration,
    tried: &[usize],
    limited: bool,
) -> Option<usize> {
    let is_eligible = |it: &usize| !limited || healths[*it].state(now) == HealthState::Healthy;
    let candidates: Vec<usize> =
        (0..REPLICAS).filter(is_eligible).filter(|it| !tried.contains(it)).collect();
    if candidates.is_empty() {
        return None;
    }
    Some(candidates[random.random_range(0..candidates.len())])
}

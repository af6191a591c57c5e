//! Measurements: each prints a table and writes it to docs/measurements as a CSV file and a chart.
//!
//! Decisions are made by the daemon's own code and compared with baselines in the same run, over
//! several seeds.

mod fairness;
mod overhead;
mod placement;
mod rate;
mod replica_model;
mod report;
mod retry;
mod slopes;
mod trial;

use crate::fleet::ChoreError;

/// Runs the measurement called `name`. `seeds` is the number of runs of each simulated case;
/// `slopes` and `overhead` measure real time and ignore it.
pub(crate) async fn run(name: &str, seeds: u64) -> Result<(), ChoreError> {
    match name {
        "slopes" => slopes::run(),
        "overhead" => overhead::run().await,
        "placement" => placement::run(seeds),
        "fairness" => fairness::run(seeds),
        "rate" => rate::run(seeds),
        "retry" => retry::run(seeds),
        "trial" => trial::run(seeds),
        other => {
            let known = "slopes, overhead, placement, fairness, rate, retry, trial";
            Err(format!("unknown measurement {other:?}; known are: {known}").into())
        }
    }
}

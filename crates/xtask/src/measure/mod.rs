//! Measurements: each prints a table, and keeps it as CSV and SVG under docs/measurements.
//!
//! Decisions are measured by the very code that the daemon runs, against baselines in the same
//! run, over several seeds.

mod desk_model;
mod fairness;
mod overhead;
mod placement;
mod rate;
mod report;
mod retry;
mod slopes;
mod trial;

use crate::fleet::ChoreError;

/// Runs one measurement by name.
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
            Err(format!("no measurement {other:?}; there are: {known}").into())
        }
    }
}

//! Development chores: the demo, measurements, mutation and soak tests, and the test run of CI. Not
//! part of a release.

mod demo;
mod fleet;
mod known_red;
mod measure;
mod mutant_table;
mod mutants;
mod play;
mod regress;
mod regression_table;
mod soak;
mod test_run;

use std::path::PathBuf;
use std::process;
use std::time::Duration;

use argh::FromArgs;

use crate::regress::RegressionRun;

/// Run one development chore.
#[derive(FromArgs)]
struct XtaskArgs {
    #[argh(subcommand)]
    chore: Chore,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Chore {
    Demo(DemoArgs),
    Measure(MeasureArgs),
    Mutants(MutantsArgs),
    Play(PlayArgs),
    Regress(RegressArgs),
    Soak(SoakArgs),
    Test(TestArgs),
}

/// Start a small fleet, send prompts and an order through it, print the answers and stop the fleet.
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
struct DemoArgs {}

/// Run one measurement: slopes, overhead, placement, fairness, rate, retry or trial. Print a table
/// and write it below docs/measurements.
#[derive(FromArgs)]
#[argh(subcommand, name = "measure")]
struct MeasureArgs {
    /// name of the measurement
    #[argh(positional)]
    what: String,
    /// number of seeds to run; the table gives the median and the spread of the first column
    #[argh(option, default = "3")]
    seeds: u64,
}

/// Check that the test of each promise fails once its mechanism is removed.
#[derive(FromArgs)]
#[argh(subcommand, name = "mutants")]
struct MutantsArgs {
    /// run only mutants whose name contains this text
    #[argh(option, default = "String::new()")]
    only: String,
}

/// Replay days of a deployment on an external bench program.
#[derive(FromArgs)]
#[argh(subcommand, name = "play")]
struct PlayArgs {
    /// path of the bench program
    #[argh(positional)]
    bench: PathBuf,
    /// arguments passed on to the bench, such as `score SITE --jobs 3`
    #[argh(positional, greedy)]
    words: Vec<String>,
}

/// Score sites on an external bench program, and print one table: score, gate and the worth of each
/// day, and how each differs from the score before in the journal.
#[derive(FromArgs)]
#[argh(subcommand, name = "regress")]
struct RegressArgs {
    /// path of the bench program
    #[argh(positional)]
    bench: PathBuf,
    /// paths of the site files
    #[argh(positional)]
    sites: Vec<PathBuf>,
    /// days to play at the same time
    #[argh(option, default = "3")]
    jobs: u32,
    /// a line for the journal
    #[argh(option)]
    why: String,
    /// play only the days that are quick to play
    #[argh(switch)]
    quick: bool,
}

/// Run a small fleet of processes under faults drawn from seeds and check the calls' outcomes.
/// Without a seed, repeat the recorded seeds that once failed.
#[derive(FromArgs)]
#[argh(subcommand, name = "soak")]
struct SoakArgs {
    /// the first seed
    #[argh(option)]
    seed: Option<u64>,
    /// number of consecutive seeds to run, one after the other
    #[argh(option, default = "1")]
    runs: u64,
    /// seconds of each run in which callers send calls and faults start
    #[argh(option, default = "10")]
    seconds: u64,
    /// run the soak of the users' platform's interface instead of that of our own
    #[argh(switch)]
    platform: bool,
}

/// Run all tests of the workspace except those listed in KNOWN-RED.txt, and print the entries.
#[derive(FromArgs)]
#[argh(subcommand, name = "test")]
struct TestArgs {}

#[tokio::main]
async fn main() {
    let args: XtaskArgs = argh::from_env();
    let result = match args.chore {
        Chore::Demo(_) => demo::run().await,
        Chore::Measure(it) => measure::run(&it.what, it.seeds).await,
        Chore::Mutants(it) => mutants::run(&it.only),
        Chore::Play(it) => play::run(&it.bench, &it.words),
        Chore::Regress(it) => regress::run(&RegressionRun {
            bench: &it.bench,
            sites: &it.sites,
            jobs: it.jobs,
            why: &it.why,
            quick: it.quick,
        }),
        Chore::Soak(it) if it.platform => {
            soak::run_on_platform(it.seed.unwrap_or(1), it.runs, it.seconds)
        }
        Chore::Soak(it) => {
            let seeds = match it.seed {
                Some(first) => (first..first + it.runs).collect(),
                None => soak::regression_seeds(),
            };
            soak::run(&seeds, Duration::from_secs(it.seconds)).await
        }
        Chore::Test(_) => test_run::run(),
    };
    if let Err(error) = result {
        eprintln!("xtask: {error}");
        process::exit(1);
    }
}

//! Chores of the project: the demo and the measurements. Never shipped.

mod demo;
mod fleet;
mod known_red;
mod measure;
mod mutant_table;
mod mutants;
mod play;
mod soak;
mod test_run;

use std::path::PathBuf;
use std::process;
use std::time::Duration;

use argh::FromArgs;

/// Chores of the project.
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
    Soak(SoakArgs),
    Test(TestArgs),
}

/// Start a small fleet, send prompts and an order through it, print what came, stop the fleet.
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
struct DemoArgs {}

/// Measure one thing: slopes, overhead, placement, fairness, rate, retry or trial. Prints a table
/// and keeps it under docs/measurements.
#[derive(FromArgs)]
#[argh(subcommand, name = "measure")]
struct MeasureArgs {
    /// what to measure
    #[argh(positional)]
    what: String,
    /// seeds to run; the table gives the middle and the spread of the first column
    #[argh(option, default = "3")]
    seeds: u64,
}

/// Show that each promise's test fails without its mechanism.
#[derive(FromArgs)]
#[argh(subcommand, name = "mutants")]
struct MutantsArgs {
    /// run only mutants whose name holds this
    #[argh(option, default = "String::new()")]
    only: String,
}

/// Play days of a deployment on a bench that is given by its path; all else goes to the bench.
#[derive(FromArgs)]
#[argh(subcommand, name = "play")]
struct PlayArgs {
    /// the bench's program
    #[argh(positional)]
    bench: PathBuf,
    /// what it is told, such as `score SITE --jobs 3`
    #[argh(positional, greedy)]
    words: Vec<String>,
}

/// Run a small fleet of processes under faults drawn from seeds, and check what callers and targets
/// see. Without a seed, play those that failed once.
#[derive(FromArgs)]
#[argh(subcommand, name = "soak")]
struct SoakArgs {
    /// the first seed
    #[argh(option)]
    seed: Option<u64>,
    /// how many seeds to play, one after the other
    #[argh(option, default = "1")]
    runs: u64,
    /// for how many seconds faults begin in each run
    #[argh(option, default = "10")]
    seconds: u64,
}

/// Run all tests but those that KNOWN-RED.txt names, and print these.
#[derive(FromArgs)]
#[argh(subcommand, name = "test")]
struct TestArgs {}

#[tokio::main]
async fn main() {
    let args: XtaskArgs = argh::from_env();
    let res = match args.chore {
        Chore::Demo(_) => demo::run().await,
        Chore::Measure(it) => measure::run(&it.what, it.seeds).await,
        Chore::Mutants(it) => mutants::run(&it.only),
        Chore::Play(it) => play::run(&it.bench, &it.words),
        Chore::Soak(it) => {
            let seeds = match it.seed {
                Some(first) => (first..first + it.runs).collect(),
                None => soak::regression_seeds(),
            };
            soak::run(&seeds, Duration::from_secs(it.seconds)).await
        }
        Chore::Test(_) => test_run::run(),
    };
    if let Err(error) = res {
        eprintln!("xtask: {error}");
        process::exit(1);
    }
}

//! The soak test: runs a fleet of processes under external faults drawn from a seed, and checks the
//! outcomes that callers observe against the calls that the targets executed.

mod callers;
mod outcomes;
mod plan;
mod seeds;

use std::env;
use std::process::Command;
use std::time::Duration;

use rustix::process::Signal;
use serde_json::json;
use stand_ins::relay::RelayMode;
use tokio::time::Instant;
use web::client::{Connection, HttpClient};

use crate::fleet::{ChoreError, Fleet, FleetConfig};
use callers::SoakCaller;
use outcomes::{CallOutcome, CallOutcomes, ExecutedCall, StreamOutcome};
use plan::{Fault, PlannedFault};

/// Number of concurrent callers in a run.
const CALLER_COUNT: usize = 12;
/// Time within which all daemons must serve again, once all faults have ended and all daemons
/// report that they are healthy.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of orders, and of prompts, that each daemon must serve in a row to count as recovered.
const RECOVERY_CALLS: u64 = 5;
/// Timeout of one direct call to the order service.
const SERVICE_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest list of executions that is read, in bytes.
const MAX_LIST_BYTES: usize = 64 << 20;

/// Runs the soak test once for each seed, starting faults over `length`.
///
/// # Errors
///
/// The seeds of the runs that violated a guarantee, or an error of the fleet.
pub(crate) async fn run(seeds: &[u64], length: Duration) -> Result<(), ChoreError> {
    let mut failed = Vec::new();
    for seed in seeds {
        let violations = run_seed(*seed, length).await?;
        for line in &violations {
            println!("seed {seed}: BROKEN: {line}");
        }
        if !violations.is_empty() {
            failed.push(*seed);
        }
    }
    println!("{} passed, {} failed", seeds.len() - failed.len(), failed.len());
    if failed.is_empty() {
        Ok(())
    } else {
        Err(format!("seeds with violations: {failed:?}").into())
    }
}

/// Runs the soak of the users' platform's interface, which is a program of its own.
///
/// # Errors
///
/// The program cannot be started, or a seed violated a guarantee.
pub(crate) fn run_on_platform(seed: u64, runs: u64, seconds: u64) -> Result<(), ChoreError> {
    let cargo = env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut command = Command::new(cargo);
    command.args(["run", "--quiet", "--package", "platform-soak", "--"]);
    for (option, value) in [("--seed", seed), ("--runs", runs), ("--seconds", seconds)] {
        command.args([option, &value.to_string()]);
    }
    if command.status()?.success() { Ok(()) } else { Err("a seed failed".into()) }
}

/// The recorded seeds that once failed.
pub(crate) fn regression_seeds() -> Vec<u64> {
    seeds::REGRESSION_SEEDS.iter().map(|it| it.0).collect()
}

async fn run_seed(seed: u64, length: Duration) -> Result<Vec<String>, ChoreError> {
    let config = FleetConfig {
        daemons: 3,
        engines: 3,
        engine_slots: 16,
        release_build: false,
        use_relays: true,
        extra_settings: Vec::new(),
    };
    let mut fleet = Fleet::start(config).await?;
    let key = fleet.add_customer("soak", 100_000_000).await?;
    let faults = plan::draw_faults(seed, fleet.caller_addresses.len(), fleet.links.len(), length);
    let deadline = Instant::now() + length;
    let tasks: Vec<_> = (0..CALLER_COUNT)
        .map(|number| {
            let caller = SoakCaller {
                name: format!("seed-{seed}-caller-{number}"),
                daemons: fleet.caller_addresses.clone(),
                key: key.clone(),
                seed: seed ^ number as u64,
            };
            tokio::spawn(caller.run_until(deadline))
        })
        .collect();
    inject_faults(&mut fleet, &faults).await?;
    let mut outcomes = CallOutcomes::default();
    for task in tasks {
        let finished = task.await??;
        outcomes.orders.extend(finished.orders);
        outcomes.streams.extend(finished.streams);
    }
    let mut violations = check_recovery(&fleet, &key, seed, &mut outcomes).await?;
    let executed = fetch_executed_calls(&fleet).await?;
    violations.extend(outcomes.find_violations(&executed));
    print_summary(seed, &faults, &outcomes, &executed);
    if !violations.is_empty() {
        faults.iter().for_each(|it| println!("  {it}"));
        let links = fleet.links.iter().enumerate();
        links.for_each(|(index, it)| println!("  link {} leads to {}", index + 1, it.destination));
    }
    Ok(violations)
}

/// Starts and ends the faults on schedule.
///
/// Returns once all daemons run again: those still suspended are resumed, those killed or stopped
/// are restarted.
async fn inject_faults(fleet: &mut Fleet, faults: &[PlannedFault]) -> Result<(), ChoreError> {
    let started_at = Instant::now();
    let starts = faults.iter().map(|it| (it.starts_at, true, it.fault));
    let ends = faults.iter().map(|it| (it.starts_at + it.duration, false, it.fault));
    let mut steps: Vec<(Duration, bool, Fault)> = starts.chain(ends).collect();
    steps.sort_by_key(|it| it.0);
    let mut terminated = vec![false; fleet.caller_addresses.len()];
    for (at, starts, fault) in steps {
        tokio::time::sleep_until(started_at + at).await;
        match (fault, starts) {
            (Fault::Suspend(it), true) => fleet.signal_daemon(it.0, Signal::STOP)?,
            (Fault::Suspend(it), false) => fleet.signal_daemon(it.0, Signal::CONT)?,
            (Fault::Kill(it), true) => {
                fleet.signal_daemon(it.0, Signal::KILL)?;
                terminated[it.0] = true;
            }
            (Fault::Stop(it), true) => {
                fleet.signal_daemon(it.0, Signal::TERM)?;
                terminated[it.0] = true;
            }
            (Fault::Kill(it) | Fault::Stop(it), false) => {
                // A daemon that is still shutting down is restarted later, at the latest after the
                // last fault.
                if fleet.has_exited(it.0)? {
                    fleet.restart_daemon(it.0).await?;
                    terminated[it.0] = false;
                }
            }
            (Fault::Network(it, mode), true) => fleet.links[it.0].relay.set_mode(mode),
            (Fault::Network(it, _), false) => fleet.links[it.0].relay.set_mode(RelayMode::Forward),
            (Fault::LostAnswers(count), true) => {
                set_service_faults(fleet, json!({ "drop_answers": count })).await?;
            }
            (Fault::WrongIdAnswers(count), true) => {
                set_service_faults(fleet, json!({ "cross_answers": count })).await?;
            }
            (Fault::LostAnswers(_) | Fault::WrongIdAnswers(_), false) => {
                set_service_faults(fleet, json!({})).await?;
            }
        }
    }
    for (index, terminated) in terminated.into_iter().enumerate() {
        // A suspended daemon cannot handle SIGTERM.
        fleet.signal_daemon(index, Signal::CONT)?;
        if terminated {
            fleet.restart_daemon(index).await?;
        }
    }
    Ok(())
}

async fn set_service_faults(fleet: &Fleet, faults: serde_json::Value) -> Result<(), ChoreError> {
    let request = http::Request::post(format!("http://{}/stand-in/faults", fleet.service_address));
    let request = request.body(bytes::Bytes::from(faults.to_string()).into())?;
    fleet.client.call(request, Connection::Fresh, SERVICE_TIMEOUT, MAX_LIST_BYTES).await?;
    Ok(())
}

/// Waits until each daemon has served `RECOVERY_CALLS` pairs of an order and a prompt in a row;
/// returns a violation for each that does not within `RECOVERY_TIMEOUT`, which all daemons share.
/// Appends the calls to `outcomes`.
async fn check_recovery(
    fleet: &Fleet,
    key: &str,
    seed: u64,
    outcomes: &mut CallOutcomes,
) -> Result<Vec<String>, ChoreError> {
    fleet.wait_for_daemons().await?;
    let deadline = Instant::now() + RECOVERY_TIMEOUT;
    let mut violations = Vec::new();
    for daemon in 0..fleet.caller_addresses.len() {
        let caller = SoakCaller {
            name: format!("seed-{seed}-proof-{daemon}"),
            daemons: fleet.caller_addresses.clone(),
            key: key.into(),
            seed,
        };
        let client = HttpClient::new(SERVICE_TIMEOUT);
        let (mut number, mut served) = (0, 0);
        while served < RECOVERY_CALLS {
            if Instant::now() > deadline {
                violations.push(format!(
                    "daemon {} did not recover within {RECOVERY_TIMEOUT:?} after the faults ended",
                    daemon + 1
                ));
                break;
            }
            number += 1;
            caller.send_order(&client, daemon, number, false, outcomes).await?;
            caller.send_prompt(&client, daemon, number, outcomes).await?;
            let order = outcomes.orders.last().map(|it| it.outcome);
            let stream = outcomes.streams.last();
            let both_served = matches!(order, Some(CallOutcome::Accepted(_)))
                && matches!(stream, Some(StreamOutcome::Complete));
            served = if both_served { served + 1 } else { 0 };
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
    Ok(violations)
}

async fn fetch_executed_calls(fleet: &Fleet) -> Result<Vec<ExecutedCall>, ChoreError> {
    let request =
        http::Request::get(format!("http://{}/stand-in/executions", fleet.service_address));
    let request = request.body(bytes::Bytes::new().into())?;
    let answer =
        fleet.client.call(request, Connection::Fresh, SERVICE_TIMEOUT, MAX_LIST_BYTES).await?;
    Ok(serde_json::from_slice(answer.body())?)
}

fn print_summary(
    seed: u64,
    faults: &[PlannedFault],
    all: &CallOutcomes,
    executed: &[ExecutedCall],
) {
    let count = |is: fn(CallOutcome) -> bool| all.orders.iter().filter(|it| is(it.outcome)).count();
    let accepted = count(|it| matches!(it, CallOutcome::Accepted(_)));
    let not_run = count(|it| it == CallOutcome::NotRun);
    let complete = all.streams.iter().filter(|it| **it == StreamOutcome::Complete).count();
    println!(
        "seed {seed}: {} faults; {} orders sent, {accepted} accepted, {not_run} reported \
         as not run, {} executed; {} streams, {complete} complete",
        faults.len(),
        all.orders.len(),
        executed.len(),
        all.streams.len(),
    );
}

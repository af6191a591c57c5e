//! The fault soak: a fleet of processes under faults from outside, drawn from a seed, and checks of
//! what callers and targets see.

mod callers;
mod ledger;
mod plan;
mod seeds;

use std::time::Duration;

use rustix::process::Signal;
use serde_json::json;
use stand_ins::relay::RelayMode;
use tokio::time::Instant;
use web::client::{Connection, HttpClient};

use crate::fleet::{ChoreError, Fleet, FleetConfig};
use callers::SoakCaller;
use ledger::{CallEnd, CallLedger, RanCall, StreamEnd};
use plan::{Fault, PlannedFault};

/// Callers of one run.
const CALLERS: usize = 12;
/// How long a fleet may take to serve as before once all faults have ended.
const RECOVERY: Duration = Duration::from_secs(30);
/// Calls of each kind that every daemon must serve in a row after that.
const PROOF_CALLS: u64 = 5;
/// How long one call to the service itself may take.
const CALL_TIME: Duration = Duration::from_secs(10);
/// Longest list of calls read.
const MAX_LIST_BYTES: usize = 64 << 20;

/// Plays one run a seed, each with faults over `length`; an error if a promise was broken.
pub(crate) async fn run(seeds: &[u64], length: Duration) -> Result<(), ChoreError> {
    let mut failed = Vec::new();
    for seed in seeds {
        let broken = play(*seed, length).await?;
        for line in &broken {
            println!("seed {seed}: BROKEN: {line}");
        }
        if !broken.is_empty() {
            failed.push(*seed);
        }
    }
    println!("{} passed, {} failed", seeds.len() - failed.len(), failed.len());
    if failed.is_empty() { Ok(()) } else { Err(format!("seeds that failed: {failed:?}").into()) }
}

/// Seeds that failed once.
pub(crate) fn regression_seeds() -> Vec<u64> {
    seeds::REGRESSIONS.iter().map(|it| it.0).collect()
}

async fn play(seed: u64, length: Duration) -> Result<Vec<String>, ChoreError> {
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
    let faults = plan::draw(seed, fleet.caller_addresses.len(), fleet.links.len(), length);
    let until = Instant::now() + length;
    let tasks: Vec<_> = (0..CALLERS)
        .map(|number| {
            let caller = SoakCaller {
                name: format!("seed-{seed}-caller-{number}"),
                daemons: fleet.caller_addresses.clone(),
                key: key.clone(),
                seed: seed ^ number as u64,
            };
            tokio::spawn(caller.call_until(until))
        })
        .collect();
    inject(&mut fleet, &faults).await?;
    let mut seen = CallLedger::default();
    for task in tasks {
        let one = task.await??;
        seen.orders.extend(one.orders);
        seen.streams.extend(one.streams);
    }
    let mut broken = prove_recovery(&fleet, &key, seed, &mut seen).await?;
    let ran = calls_that_ran(&fleet).await?;
    broken.extend(seen.broken_promises(&ran));
    print_summary(seed, &faults, &seen, &ran);
    if !broken.is_empty() {
        faults.iter().for_each(|it| println!("  {it}"));
        let links = fleet.links.iter().enumerate();
        links.for_each(|(index, it)| println!("  link {} leads to {}", index + 1, it.to));
    }
    Ok(broken)
}

/// Lets the faults begin and end at their times. A daemon that was killed or stopped is started
/// again at the end.
async fn inject(fleet: &mut Fleet, faults: &[PlannedFault]) -> Result<(), ChoreError> {
    let began = Instant::now();
    let begins = faults.iter().map(|it| (it.at, true, it.fault));
    let ends = faults.iter().map(|it| (it.at + it.lasts, false, it.fault));
    let mut steps: Vec<(Duration, bool, Fault)> = begins.chain(ends).collect();
    steps.sort_by_key(|it| it.0);
    let mut ending = vec![false; fleet.caller_addresses.len()];
    for (at, begins, fault) in steps {
        tokio::time::sleep_until(began + at).await;
        match (fault, begins) {
            (Fault::Pause(it), true) => fleet.signal_daemon(it.0, Signal::STOP)?,
            (Fault::Pause(it), false) => fleet.signal_daemon(it.0, Signal::CONT)?,
            (Fault::Kill(it), true) => {
                fleet.signal_daemon(it.0, Signal::KILL)?;
                ending[it.0] = true;
            }
            (Fault::Stop(it), true) => {
                fleet.signal_daemon(it.0, Signal::TERM)?;
                ending[it.0] = true;
            }
            (Fault::Kill(it) | Fault::Stop(it), false) => {
                if fleet.has_ended(it.0)? {
                    fleet.restart_daemon(it.0).await?;
                    ending[it.0] = false;
                }
            }
            (Fault::Network(it, mode), true) => fleet.links[it.0].relay.set_mode(mode),
            (Fault::Network(it, _), false) => fleet.links[it.0].relay.set_mode(RelayMode::Forward),
            (Fault::LostAnswers(count), true) => {
                set_service_faults(fleet, json!({ "drop_answers": count })).await?;
            }
            (Fault::CrossedAnswers(count), true) => {
                set_service_faults(fleet, json!({ "cross_answers": count })).await?;
            }
            (Fault::LostAnswers(_) | Fault::CrossedAnswers(_), false) => {
                set_service_faults(fleet, json!({})).await?;
            }
        }
    }
    for (index, ending) in ending.into_iter().enumerate() {
        // A daemon that stands still cannot end.
        fleet.signal_daemon(index, Signal::CONT)?;
        if ending {
            fleet.restart_daemon(index).await?;
        }
    }
    Ok(())
}

async fn set_service_faults(fleet: &Fleet, faults: serde_json::Value) -> Result<(), ChoreError> {
    let request = http::Request::post(format!("http://{}/stand-in/faults", fleet.service_address));
    let request = request.body(bytes::Bytes::from(faults.to_string()).into())?;
    fleet.client.call(request, Connection::Fresh, CALL_TIME, MAX_LIST_BYTES).await?;
    Ok(())
}

/// Waits until every daemon serves orders and prompts in a row; tells which does not.
async fn prove_recovery(
    fleet: &Fleet,
    key: &str,
    seed: u64,
    seen: &mut CallLedger,
) -> Result<Vec<String>, ChoreError> {
    fleet.wait_for_daemons().await?;
    let until = Instant::now() + RECOVERY;
    let mut broken = Vec::new();
    for daemon in 0..fleet.caller_addresses.len() {
        let caller = SoakCaller {
            name: format!("seed-{seed}-proof-{daemon}"),
            daemons: fleet.caller_addresses.clone(),
            key: key.into(),
            seed,
        };
        let connections = HttpClient::new(CALL_TIME);
        let (mut number, mut served) = (0, 0);
        while served < PROOF_CALLS {
            if Instant::now() > until {
                broken.push(format!("daemon {} does not serve after {RECOVERY:?}", daemon + 1));
                break;
            }
            number += 1;
            caller.order(&connections, daemon, number, false, seen).await?;
            caller.prompt(&connections, daemon, number, seen).await?;
            let order = seen.orders.last().map(|it| it.end);
            let stream = seen.streams.last();
            let both = matches!(order, Some(CallEnd::Accepted(_)))
                && matches!(stream, Some(StreamEnd::Whole));
            served = if both { served + 1 } else { 0 };
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
    Ok(broken)
}

async fn calls_that_ran(fleet: &Fleet) -> Result<Vec<RanCall>, ChoreError> {
    let request =
        http::Request::get(format!("http://{}/stand-in/executions", fleet.service_address));
    let request = request.body(bytes::Bytes::new().into())?;
    let answer = fleet.client.call(request, Connection::Fresh, CALL_TIME, MAX_LIST_BYTES).await?;
    Ok(serde_json::from_slice(answer.body())?)
}

fn print_summary(seed: u64, faults: &[PlannedFault], seen: &CallLedger, ran: &[RanCall]) {
    let orders = |end: fn(CallEnd) -> bool| seen.orders.iter().filter(|it| end(it.end)).count();
    let accepted = orders(|it| matches!(it, CallEnd::Accepted(_)));
    let not_run = orders(|it| it == CallEnd::NotRun);
    let whole = seen.streams.iter().filter(|it| **it == StreamEnd::Whole).count();
    println!(
        "seed {seed}: {} faults; {} orders sent, {accepted} accepted, {not_run} said not to have \
         run, {} ran; {} streams, {whole} whole",
        faults.len(),
        seen.orders.len(),
        ran.len(),
        seen.streams.len(),
    );
}

//! A restarted daemon serves at once with good placement, a graceful stop interrupts no request,
//! and a leaving target gets no new requests.

mod fleet;

use std::time::{Duration, Instant};

use fleet::{Fleet, REACTION_LIMIT, chat, expected_text, streamed_text};
use http::StatusCode;
use rstest::rstest;
use rustix::process::Signal;
use serde_json::json;
use stand_ins::engine::{EngineConfig, EngineFaults};
use stand_ins::platform::{PlatformFault, PlatformService};

const CHAT: &str = "/v1/chat/completions";

/// A prompt whose long prefix is the same for all questions of a family.
fn family_prompt(family: usize, question: usize) -> String {
    let terms: String = (0..1_500).map(|it| format!("{family} term {it:05}; ")).collect();
    format!("{terms}question {question}")
}

/// The fraction of prompt tokens found cached in 40 requests of eight families to one daemon.
async fn measure_hit_rate(fleet: &Fleet, daemon: usize, from: usize) -> f64 {
    let (mut asked, mut cached) = (0.0, 0.0);
    for number in from..from + 40 {
        let prompt = family_prompt(number % 8, number);
        let answer = fleet.call(daemon, CHAT, &[], &chat(&prompt, 1, true)).await.unwrap();
        assert_eq!(answer.status, StatusCode::OK, "{}", answer.body);
        let found = answer.headers["x-kingcupshift-cached-tokens"].to_str().unwrap();
        asked += prompt.len() as f64 / 4.0;
        cached += found.parse::<f64>().unwrap();
    }
    cached / asked
}

#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_daemon_serves_its_first_request_and_places_as_well_as_before() {
    let config = EngineConfig { cache_pieces: 12, ..EngineConfig::default() };
    let mut fleet = Fleet::start_with(2, 6, config, &[]).await;
    measure_hit_rate(&fleet, 0, 0).await;
    measure_hit_rate(&fleet, 1, 100).await;
    let before = measure_hit_rate(&fleet, 1, 200).await;
    fleet.restart(1);
    fleet.wait_ready(1).await;
    let started_at = Instant::now();
    let after = measure_hit_rate(&fleet, 1, 300).await;
    println!(
        "hit rate {before:.3} before, {after:.3} after, 40 requests in {:?}",
        started_at.elapsed()
    );
    assert!(after >= before - 0.05, "hit rate {after} after the restart, {before} before");
}

#[rstest]
#[case::healthy(None)]
#[case::stores_slow(Some(PlatformFault::Slow { delay_ms: 700 }))]
#[case::stores_down(Some(PlatformFault::Down))]
#[tokio::test(flavor = "multi_thread")]
async fn all_daemons_restarted_at_once_serve_within_seconds(#[case] fault: Option<PlatformFault>) {
    let mut fleet = Fleet::start(4, 2).await;
    if let Some(fault) = fault {
        fleet.set_platform_fault(PlatformService::Table, fault);
        // The object store works while the table is down; in the slow case both are slow.
        if fault != PlatformFault::Down {
            fleet.set_platform_fault(PlatformService::Objects, fault);
        }
    }
    let before = fleet.platform.app_private().stats();
    let started_at = Instant::now();
    for daemon in 0..4 {
        fleet.restart(daemon);
    }
    for daemon in 0..4 {
        fleet.wait_ready(daemon).await;
    }
    println!("all ready after {:?}", started_at.elapsed());
    assert!(started_at.elapsed() < REACTION_LIMIT, "ready only after {:?}", started_at.elapsed());
    let after = fleet.platform.app_private().stats();
    let reads = after.table_reads + after.object_reads - before.table_reads - before.object_reads;
    println!("{reads} reads of table and objects by four daemons");
    assert!(reads < 400, "too many reads at the restart: {reads}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_graceful_stop_interrupts_no_request() {
    let config =
        EngineConfig { token_interval: Duration::from_millis(20), ..EngineConfig::default() };
    let mut fleet = Fleet::start_with(2, 2, config, &[]).await;
    let streams = (0..30).map(|number| {
        let fleet = &fleet;
        async move {
            // They start before, during and after the signal to stop.
            tokio::time::sleep(Duration::from_millis(number * 30)).await;
            let question = format!("stop {number}");
            let body = chat(&question, 40, number % 2 == 0);
            let res = fleet.call(0, CHAT, &[], &body).await;
            let Ok(answer) = res else { return "no connection" };
            if answer.error_kind() == "leaving" {
                assert_eq!(answer.run_state(), "not_run");
                return "leaving";
            }
            let expected = expected_text(&question, 1, 40);
            match number % 2 {
                0 => assert_eq!(streamed_text(&answer.body), Some(expected), "{}", answer.body),
                _ => {
                    let text = answer.json()["choices"][0]["message"]["content"].clone();
                    assert_eq!(text, json!(expected), "{}", answer.body);
                }
            }
            "complete"
        }
    });
    let stop = async {
        tokio::time::sleep(Duration::from_millis(450)).await;
        fleet.daemons[0].signal(Signal::TERM);
    };
    let (results, ()) = tokio::join!(futures::future::join_all(streams), stop);
    let complete = results.iter().filter(|it| **it == "complete").count();
    println!("{complete} of 30 complete, the others refused or not connected: {results:?}");
    // Those that started at least 200 ms before the signal were certainly in flight.
    assert!(results[..9].iter().all(|it| *it == "complete"), "{results:?}");
    fleet.daemons[0].wait();
    // Its rate shares went to the other daemon, which goes on serving.
    let answer = fleet.call(1, CHAT, &[], &chat("the other", 2, true)).await.unwrap();
    assert_eq!(answer.status, StatusCode::OK, "{}", answer.body);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_in_flight_when_its_daemon_stops_is_answered() {
    let mut fleet = Fleet::start(1, 0).await;
    let faults = stand_ins::service::ServiceFaults { delay_before_ms: 800, ..Default::default() };
    fleet.service.context().set_faults(faults);
    let stop = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        fleet.daemons[0].signal(Signal::TERM);
    };
    let body = json!({ "order": 1 });
    let call = fleet.call(0, "/orders", &[("idempotency-key", "k")], &body);
    let (answer, ()) = tokio::join!(call, stop);
    assert_eq!(answer.unwrap().status, StatusCode::OK);
    fleet.daemons[0].wait();
    let row = fleet.platform.app_private().rows("claim/").pop().unwrap();
    assert!(row.value.contains("done"), "the outcome was not recorded: {}", row.value);
}

/// How the daemons learn that a target is leaving; with `Gone` it stops without notice.
#[derive(Debug, Clone, Copy)]
enum Leaving {
    ByCatalog,
    ByItself,
    ByList,
    Gone,
}

#[rstest]
#[case(Leaving::ByCatalog)]
#[case(Leaving::ByItself)]
#[case(Leaving::ByList)]
#[case(Leaving::Gone)]
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_target_gets_no_new_requests_after_seconds(#[case] leaving: Leaving) {
    let mut fleet = Fleet::start(2, 2).await;
    let target = fleet.engine_relays[0].address();
    match leaving {
        Leaving::ByCatalog => {
            fleet
                .submit_change(json!([{ "put_target": {
                    "id": "desk-1", "pool": "desk", "address": target, "failure_domain": "north",
                    "echoes_request_id": true, "leaving": true,
                } }]))
                .await;
        }
        Leaving::ByItself => {
            let faults = EngineFaults { leaving: true, ..EngineFaults::default() };
            fleet.engines[0].context().set_faults(faults);
        }
        Leaving::ByList => {
            let member = json!({
                "id": "desk-1", "incarnation": 1, "peer_address": target,
                "failure_domain": "north", "state": "leaving",
            });
            let body = bytes::Bytes::from(member.to_string());
            let address = fleet.platform_address;
            let headers = [("content-type", "application/json")];
            let path = "/v1/instances";
            fleet.send(http::Method::PUT, address, path, &headers, body).await.unwrap();
        }
        Leaving::Gone => drop(fleet.engines.remove(0)),
    }
    tokio::time::sleep(REACTION_LIMIT).await;
    let at = usize::from(matches!(leaving, Leaving::Gone));
    let before = if at == 0 { fleet.engines[0].context().stats().requests } else { 0 };
    for number in 0..30 {
        let body = chat(&format!("question {number}"), 1, true);
        let answer = fleet.call(number % 2, CHAT, &[], &body).await.unwrap();
        assert_eq!(answer.status, StatusCode::OK, "{}", answer.body);
    }
    if at == 0 {
        assert_eq!(fleet.engines[0].context().stats().requests, before, "{leaving:?}");
    }
}

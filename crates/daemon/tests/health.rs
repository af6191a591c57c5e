//! Slow replicas get few requests, and replicas in a crash loop get none.

mod fleet;

use std::time::Duration;

use fleet::{Fleet, chat};
use http::StatusCode;
use serde_json::json;
use stand_ins::engine::EngineFaults;

const CHAT: &str = "/v1/chat/completions";

/// Sends `count` requests one after another, numbered from `from`; all must be answered.
async fn send_requests(fleet: &Fleet, from: usize, count: usize) {
    for number in from..from + count {
        let body = chat(&format!("question {number}"), 1, true);
        let answer = fleet.call(0, CHAT, &[], &body).await.unwrap();
        assert_eq!(answer.status, StatusCode::OK, "{}", answer.body);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_slow_replica_gets_only_probes() {
    let fleet = Fleet::start(1, 4).await;
    let slow = fleet.engines[0].context();
    slow.set_faults(EngineFaults { delay_first_ms: 150, ..EngineFaults::default() });
    send_requests(&fleet, 0, 160).await;
    let before = slow.stats().requests;
    send_requests(&fleet, 200, 100).await;
    let share = slow.stats().requests - before;
    println!("{share} of 100 requests to the slow replica, after {before} of 160");
    assert!(share <= 10, "{share} of 100");
    // Once it is fast again, the probes show it, and it gets its share of the requests.
    slow.set_faults(EngineFaults::default());
    send_requests(&fleet, 400, 1_400).await;
    let before = slow.stats().requests;
    send_requests(&fleet, 2_000, 100).await;
    let share = slow.stats().requests - before;
    println!("{share} of 100 requests after it recovered");
    assert!(share >= 12, "{share} of 100");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_replica_in_a_crash_loop_gets_no_requests() {
    let fleet = Fleet::start(1, 2).await;
    for _ in 0..6 {
        tokio::time::sleep(Duration::from_millis(2_200)).await;
        fleet.engines[0].context().crash();
    }
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let status = fleet.fetch_status(fleet.daemons[0].admin_address).await.unwrap();
    let replicas = status["replicas"].as_array().unwrap().clone();
    let health = replicas.iter().find(|it| it["target"] == "desk-1").unwrap()["health"].clone();
    assert_eq!(health, json!("crash_loop"));
    let before = fleet.engines[0].context().stats().requests;
    send_requests(&fleet, 0, 20).await;
    assert_eq!(fleet.engines[0].context().stats().requests, before);
}

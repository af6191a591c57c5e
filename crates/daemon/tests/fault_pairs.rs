//! Two concurrent faults: guarantees that hold under each fault alone also hold under both.

mod fleet;

use std::time::Duration;

use fleet::{Fleet, REACTION_LIMIT, WAIT_LIMIT, chat, expected_text, streamed_text, wait_until};
use http::StatusCode;
use serde_json::json;
use stand_ins::engine::{EngineConfig, EngineFaults};
use stand_ins::platform::{PlatformFault, PlatformService};
use stand_ins::service::ServiceFaults;

const CHAT: &str = "/v1/chat/completions";

#[tokio::test(flavor = "multi_thread")]
async fn table_down_and_a_daemon_killed_during_an_order() {
    let settings = ["platform.deadline_ms=800"];
    let mut fleet = Fleet::start_with(3, 1, EngineConfig::default(), &settings).await;
    wait_until(WAIT_LIMIT, "two daemons hold the customer's rate", async || {
        let row = fleet.platform.app_private().row("rate/parts").unwrap_or_default();
        row.matches("holder").count() >= 2
    })
    .await;
    let faults = ServiceFaults { delay_before_ms: 600, ..ServiceFaults::default() };
    fleet.service.context().set_faults(faults);
    let body = json!({ "order": "pair" });
    let first = fleet.spawn_order(0, "k1", &body);
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.set_platform_fault(PlatformService::Table, PlatformFault::Down);
    fleet.daemons[0].kill();
    assert!(first.await.unwrap().is_err());
    let during = fleet.call(1, "/orders", &[("idempotency-key", "k1")], &body).await.unwrap();
    assert_eq!(
        (during.error_kind(), during.run_state()),
        ("claim_unavailable".into(), "maybe_run".into())
    );
    // The other daemons still answer model requests.
    let answer = fleet.call(2, CHAT, &[], &chat("meanwhile", 3, true)).await.unwrap();
    assert_eq!(answer.status, StatusCode::OK, "{}", answer.body);
    fleet.set_platform_fault(PlatformService::Table, PlatformFault::Healthy);
    wait_until(WAIT_LIMIT, "the order's outcome is reported as unknown", async || {
        let headers = [("idempotency-key", "k1")];
        let answer = fleet.call(1, "/orders", &headers, &body).await.unwrap();
        answer.error_kind() == "outcome_unknown"
    })
    .await;
    assert!(fleet.service.context().count_executions(&body.to_string()) <= 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_hot_prefix_changes_and_its_engine_crashes() {
    let config =
        EngineConfig { token_interval: Duration::from_millis(5), ..EngineConfig::default() };
    let fleet = Fleet::start_with(2, 4, config, &[]).await;
    let requests = (0..160_u64).map(|number| {
        let fleet = &fleet;
        async move {
            tokio::time::sleep(Duration::from_millis(number * 15)).await;
            // The second half of the requests has another prefix.
            let family = if number < 80 { "paper" } else { "sieves" };
            let prompt = format!("{}{number}", format!("{family} terms; ").repeat(6_000));
            let body = chat(&prompt, 8, true);
            let answer = fleet.call(number as usize % 2, CHAT, &[], &body).await.unwrap();
            assert_eq!(answer.status, StatusCode::OK, "{}", answer.body);
            assert_eq!(streamed_text(&answer.body), Some(expected_text(&prompt, 1, 8)));
        }
    });
    let crash = async {
        tokio::time::sleep(Duration::from_millis(1_350)).await;
        let busiest = fleet.engines.iter().max_by_key(|it| it.context().stats().running);
        busiest.unwrap().context().crash();
    };
    tokio::join!(futures::future::join_all(requests), crash);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_withdrawn_while_all_daemons_restart() {
    let mut fleet = Fleet::start(3, 1).await;
    for daemon in 1..3 {
        fleet.restart(daemon);
    }
    let withdrawn = fleet.post_admin(0, "/v1/keys/shop-key/withdraw", json!({})).await;
    assert_eq!(withdrawn.status, StatusCode::OK, "{}", withdrawn.body);
    fleet.restart(0);
    for daemon in 0..3 {
        fleet.wait_ready(daemon).await;
    }
    tokio::time::sleep(REACTION_LIMIT).await;
    for daemon in 0..3 {
        let answer = fleet.call(daemon, CHAT, &[], &chat("?", 1, true)).await.unwrap();
        assert_eq!(answer.error_kind(), "key_refused", "{}", answer.body);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_withdrawn_while_the_table_is_down_and_a_daemon_restarts() {
    let mut fleet = Fleet::start(3, 1).await;
    fleet.set_platform_fault(PlatformService::Table, PlatformFault::Down);
    let withdrawn = fleet.post_admin(0, "/v1/keys/shop-key/withdraw", json!({})).await;
    assert_eq!(withdrawn.json()["peers_told"], json!(2));
    fleet.restart(2);
    fleet.wait_ready(2).await;
    tokio::time::sleep(REACTION_LIMIT).await;
    for daemon in 0..3 {
        let answer = fleet.call(daemon, CHAT, &[], &chat("?", 1, true)).await.unwrap();
        assert_eq!(answer.error_kind(), "key_refused", "daemon {daemon}: {}", answer.body);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_crashes_and_the_table_is_down() {
    let config =
        EngineConfig { token_interval: Duration::from_millis(10), ..EngineConfig::default() };
    let fleet = Fleet::start_with(2, 3, config, &[]).await;
    fleet.set_platform_fault(PlatformService::Table, PlatformFault::Silent);
    fleet.set_platform_fault(PlatformService::List, PlatformFault::Silent);
    let requests = (0..60_u64).map(|number| {
        let fleet = &fleet;
        async move {
            tokio::time::sleep(Duration::from_millis(number * 100)).await;
            let question = format!("outage {number}");
            let body = chat(&question, 20, true);
            let answer = fleet.call(number as usize % 2, CHAT, &[], &body).await.unwrap();
            assert_eq!(answer.status, StatusCode::OK, "{number}: {}", answer.body);
            assert_eq!(streamed_text(&answer.body), Some(expected_text(&question, 1, 20)));
        }
    });
    let crashes = async {
        for engine in &fleet.engines {
            tokio::time::sleep(Duration::from_millis(1_500)).await;
            engine.context().crash();
        }
    };
    tokio::join!(futures::future::join_all(requests), crashes);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_bad_version_and_its_controller_killed() {
    let mut fleet = Fleet::start(3, 4).await;
    let bad = EngineFaults { fail_status: Some(500), bad_version: Some(2), ..Default::default() };
    fleet.engines.iter().for_each(|it| it.context().set_faults(bad.clone()));
    fleet
        .submit_change(json!([
            { "put_version": { "pool": "desk", "number": 2, "weights": "d2" } },
            { "put_move": {
                "id": "m1", "pool": "desk", "from": 1, "to": 2, "stage": "trial",
                "deadline_s": 60,
            } },
        ]))
        .await;
    wait_until(WAIT_LIMIT, "a replica runs the new version", async || {
        fleet.engines.iter().any(|it| it.context().stats().version == 2)
    })
    .await;
    let row = fleet.platform.app_private().row("lease/moves").unwrap();
    let controller = fleet.daemons.iter().position(|it| row.contains(&format!("\"{}\"", it.id)));
    let controller = controller.expect("a daemon holds the lease");
    fleet.daemons[controller].kill();
    let others: Vec<usize> = (0..3).filter(|it| *it != controller).collect();
    let killed_at = std::time::Instant::now();
    let mut number = 0;
    while fleet.engines.iter().any(|it| it.context().stats().version == 2) {
        assert!(killed_at.elapsed() < Duration::from_secs(60), "not rolled back by the deadline");
        number += 1;
        let body = chat(&format!("question {number}"), 2, true);
        let answer = fleet.call(others[number % 2], CHAT, &[], &body).await.unwrap();
        assert_eq!(answer.status, StatusCode::OK, "{}", answer.body);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    println!("rolled back after {:?}", killed_at.elapsed());
}

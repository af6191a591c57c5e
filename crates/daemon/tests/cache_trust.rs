//! No request relies on the cache of a crashed engine, of another customer or of older weights.

mod fleet;

use std::time::Duration;

use fleet::{Fleet, WAIT_LIMIT, chat, expected_text, streamed_text, wait_until};
use http::StatusCode;
use serde_json::json;
use stand_ins::engine::EngineConfig;

const CHAT: &str = "/v1/chat/completions";

/// A prompt whose first pieces are the same for every question.
fn long_prompt(question: &str) -> String {
    let terms: String = (0..2_000).map(|it| format!("term {it:05}, price; ")).collect();
    format!("{terms}{question}")
}

/// Sends a prompt; returns the number of cached tokens and the target that the answer names.
async fn send_prompt(fleet: &Fleet, key: &str, prompt: &str) -> (u64, String) {
    let answer = fleet.call_with_key(key, 0, CHAT, &[], &chat(prompt, 2, true)).await.unwrap();
    assert_eq!(answer.status, StatusCode::OK, "{}", answer.body);
    let header = |name: &str| answer.headers[name].to_str().unwrap().to_string();
    (header("x-kingcupshift-cached-tokens").parse().unwrap(), header("x-kingcupshift-target"))
}

#[tokio::test(flavor = "multi_thread")]
async fn another_customers_cache_is_never_used() {
    let fleet = Fleet::start(1, 1).await;
    let rival = fleet.add_customer("rival", 1_000_000, 10_000_000).await;
    let prompt = long_prompt("mine?");
    assert_eq!(send_prompt(&fleet, &fleet.key, &prompt).await.0, 0);
    assert!(
        send_prompt(&fleet, &fleet.key, &prompt).await.0 > 0,
        "the customer's own cache was not used"
    );
    assert_eq!(
        send_prompt(&fleet, &rival, &prompt).await.0,
        0,
        "the rival's prompt was found cached"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crashed_replica_counts_as_having_an_empty_cache() {
    let fleet = Fleet::start(1, 3).await;
    let prompt = long_prompt("first");
    let (_, home) = send_prompt(&fleet, &fleet.key, &prompt).await;
    assert!(send_prompt(&fleet, &fleet.key, &long_prompt("second")).await.0 > 0);
    let index: usize = home.strip_prefix("desk-").unwrap().parse().unwrap();
    let engine = fleet.engines[index - 1].context();
    engine.crash();
    let incarnation = engine.stats().incarnation;
    wait_until(WAIT_LIMIT, "the daemon saw the new incarnation", async || {
        let status = fleet.fetch_status(fleet.daemons[0].admin_address).await.unwrap();
        let replicas = status["replicas"].as_array().unwrap().clone();
        replicas.iter().any(|it| it["incarnation"] == json!(incarnation))
    })
    .await;
    // Cached tokens are counted only from what the replica itself reports.
    let (found, target) = send_prompt(&fleet, &fleet.key, &long_prompt("third")).await;
    if target == home {
        assert_eq!(found, 0, "the restarted replica has an empty cache");
    }
    assert!(send_prompt(&fleet, &fleet.key, &long_prompt("fourth")).await.0 > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_interrupted_by_a_version_move_never_mixes_two_versions() {
    let config = EngineConfig {
        token_interval: Duration::from_millis(20),
        load_time: Duration::from_millis(50),
        ..EngineConfig::default()
    };
    let fleet = Fleet::start_with(1, 2, config, &["timeouts.next_token_ms=500"]).await;
    fleet
        .submit_change(json!([{ "put_version": { "pool": "desk", "number": 2, "weights": "d2" } }]))
        .await;
    let crash_engines = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        // Both replicas load the new weights before the stream is interrupted.
        for engine in &fleet.engines {
            let command = json!({ "id": "o", "fencing": 9, "version": 2 });
            let body = bytes::Bytes::from(command.to_string());
            let address = engine.local_addr();
            let headers = [("content-type", "application/json")];
            fleet.send(http::Method::POST, address, "/v1/orders", &headers, body).await.unwrap();
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
        fleet.engines.iter().for_each(|it| it.context().crash());
    };
    let body = chat("two versions", 60, true);
    let (answer, ()) = tokio::join!(fleet.call(0, CHAT, &[], &body), crash_engines);
    let answer = answer.unwrap();
    match streamed_text(&answer.body) {
        Some(text) => {
            let complete = [1, 2].map(|it| expected_text("two versions", it, 60));
            assert!(complete.contains(&text), "text of two versions: {text}");
        }
        None => assert!(answer.body.contains("event: error"), "{}", answer.body),
    }
}

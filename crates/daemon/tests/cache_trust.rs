//! No request relies on cache from a dead engine, another customer or older weights.

mod fleet;

use std::time::Duration;

use fleet::{Fleet, WAIT_LIMIT, chat, expected_text, streamed_text, wait_until};
use http::StatusCode;
use serde_json::json;
use stand_ins::engine::EngineConfig;

const CHAT: &str = "/v1/chat/completions";

/// A prompt of several pieces.
fn long_prompt(question: &str) -> String {
    let terms: String = (0..2_000).map(|it| format!("term {it:05}, price; ")).collect();
    format!("{terms}{question}")
}

async fn cached(fleet: &Fleet, key: &str, prompt: &str) -> (u64, String) {
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
    assert_eq!(cached(&fleet, &fleet.key, &prompt).await.0, 0);
    assert!(cached(&fleet, &fleet.key, &prompt).await.0 > 0, "one's own cache is used");
    assert_eq!(cached(&fleet, &rival, &prompt).await.0, 0, "the rival found it cached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crashed_replica_is_not_expected_to_hold_anything() {
    let fleet = Fleet::start(1, 3).await;
    let prompt = long_prompt("first");
    let (_, home) = cached(&fleet, &fleet.key, &prompt).await;
    assert!(cached(&fleet, &fleet.key, &long_prompt("second")).await.0 > 0);
    let index: usize = home.strip_prefix("desk-").unwrap().parse().unwrap();
    let engine = fleet.engines[index - 1].context();
    engine.crash();
    let life = engine.stats().incarnation;
    wait_until(WAIT_LIMIT, "the daemon saw the new life", async || {
        let status = fleet.fetch_status(fleet.daemons[0].admin_address).await.unwrap();
        let replicas = status["replicas"].as_array().unwrap().clone();
        replicas.iter().any(|it| it["incarnation"] == json!(life))
    })
    .await;
    // Whoever serves it finds it cached only by what it says itself.
    let (found, target) = cached(&fleet, &fleet.key, &long_prompt("third")).await;
    if target == home {
        assert_eq!(found, 0, "it came back empty");
    }
    assert!(cached(&fleet, &fleet.key, &long_prompt("fourth")).await.0 > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_broken_by_a_version_move_is_never_pieced_together_from_two_versions() {
    let config = EngineConfig {
        token_interval: Duration::from_millis(20),
        load_time: Duration::from_millis(50),
        ..EngineConfig::default()
    };
    let fleet = Fleet::start_with(1, 2, config, &["timeouts.next_token_ms=500"]).await;
    fleet
        .submit_change(json!([{ "put_version": { "pool": "desk", "number": 2, "weights": "d2" } }]))
        .await;
    let strike = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        // Both replicas are at the new weights when the stream breaks.
        for engine in &fleet.engines {
            let order = json!({ "id": "o", "fencing": 9, "version": 2 });
            let body = bytes::Bytes::from(order.to_string());
            let address = engine.local_addr();
            let headers = [("content-type", "application/json")];
            fleet.send(http::Method::POST, address, "/v1/orders", &headers, body).await.unwrap();
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
        fleet.engines.iter().for_each(|it| it.context().crash());
    };
    let body = chat("two versions", 60, true);
    let (answer, ()) = tokio::join!(fleet.call(0, CHAT, &[], &body), strike);
    let answer = answer.unwrap();
    match streamed_text(&answer.body) {
        Some(text) => {
            let whole = [1, 2].map(|it| expected_text("two versions", it, 60));
            assert!(whole.contains(&text), "pieced together: {text}");
        }
        None => assert!(answer.body.contains("event: error"), "{}", answer.body),
    }
}

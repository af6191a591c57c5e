//! Requests from callers through daemons to targets and back, with daemons as separate processes.

mod fleet;

use fleet::{Fleet, chat, expected_text, streamed_text};
use http::StatusCode;
use serde_json::json;

#[tokio::test(flavor = "multi_thread")]
async fn both_daemons_stream_a_complete_answer() {
    let fleet = Fleet::start(2, 3).await;
    for daemon in 0..2 {
        let body = chat("Is red tissue in stock?", 8, true);
        let answer = fleet.call(daemon, "/v1/chat/completions", &[], &body).await.unwrap();
        assert_eq!(answer.status, StatusCode::OK, "{}", answer.body);
        let expected = expected_text("Is red tissue in stock?", 1, 8);
        assert_eq!(streamed_text(&answer.body), Some(expected));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn buffered_answers_and_service_calls_are_relayed() {
    let fleet = Fleet::start(1, 1).await;
    let body = chat("How long are spines?", 4, false);
    let answer = fleet.call(0, "/v1/chat/completions", &[], &body).await.unwrap();
    let text = answer.json()["choices"][0]["message"]["content"].clone();
    assert_eq!(text, json!(expected_text("How long are spines?", 1, 4)));
    let order = json!({ "order": "40 reams" });
    let answer = fleet.call(0, "/orders/new", &[], &order).await.unwrap();
    assert_eq!(answer.status, StatusCode::OK, "{}", answer.body);
    assert_eq!(fleet.service.context().count_executions(&order.to_string()), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_requests_are_refused_with_the_kind_of_their_error() {
    let fleet = Fleet::start(1, 1).await;
    let good = chat("?", 1, false);
    let cases = [
        ("wrong", "/v1/chat/completions", good.clone(), 401, "key_refused"),
        (
            &fleet.key,
            "/v1/chat/completions",
            json!({ "model": "other", "messages": [] }),
            400,
            "bad_request",
        ),
        (&fleet.key, "/v1/chat/completions", json!([1]), 400, "bad_request"),
        (&fleet.key, "/v1/chat/completions", json!({ "messages": [] }), 400, "bad_request"),
        (
            &fleet.key,
            "/v1/completions",
            json!({ "model": "none", "prompt": "x" }),
            404,
            "route_unknown",
        ),
        (&fleet.key, "/nowhere", good, 404, "route_unknown"),
    ];
    for (key, path, body, status, kind) in cases {
        let answer = fleet.call_with_key(key, 0, path, &[], &body).await.unwrap();
        let found = (answer.status.as_u16(), answer.error_kind(), answer.run_state());
        assert_eq!(found, (status, kind.into(), "not_run".into()), "{path} {body}");
    }
}

//! The demo: sends prompts with a long shared prefix and an order through two daemons.

use bytes::Bytes;
use http::Response;
use serde_json::{Value, json};

use crate::fleet::{ChoreError, Fleet, FleetConfig};

/// The prompts' questions, sent to both daemons in turn.
const QUESTIONS: [&str; 6] = [
    "Is 17 g tissue in stock in red?",
    "Which glassine holds batik dye?",
    "How long are bamboo spines of grade 2?",
    "What does a ream of 20 g tissue cost?",
    "Can order 1182 still be changed?",
    "When does the next barge come?",
];

/// Starts a fleet, sends the calls and prints their answers.
///
/// # Errors
///
/// A process of the fleet does not start, or an answer is not whole.
pub(crate) async fn run() -> Result<(), ChoreError> {
    println!("building and starting: platform, 3 engines, order service, 2 daemons");
    let config = FleetConfig {
        daemons: 2,
        engines: 3,
        engine_slots: 16,
        release_build: false,
        use_relays: false,
        extra_settings: Vec::new(),
    };
    let fleet = Fleet::start(config).await?;
    let key = fleet.add_customer("shop-obando", 100_000).await?;
    let (mut prompt_tokens, mut cached_tokens) = (0, 0);
    for (number, question) in QUESTIONS.iter().enumerate() {
        let daemon = number % 2;
        let body = chat_request(question);
        let path = "/v1/chat/completions";
        let answer = fleet.call(fleet.caller_addresses[daemon], path, &key, &[], &body).await?;
        let text = join_streamed_text(&answer)?;
        let cached = parse_header(&answer, "x-kingcupshift-cached-tokens");
        prompt_tokens += estimate_tokens(&body);
        cached_tokens += cached;
        let target = header_text(&answer, "x-kingcupshift-target");
        println!("daemon {} -> {target}, {cached} tokens cached: {text}", daemon + 1);
    }
    let hit_rate = 100.0 * cached_tokens as f64 / prompt_tokens as f64;
    println!("prefix hit rate: {hit_rate:.0}% of {prompt_tokens} prompt tokens");
    send_order_twice(&fleet, &key).await?;
    let answer = fleet
        .call(fleet.caller_addresses[0], "/v1/chat/completions", "wrong", &[], &chat_request("?"))
        .await?;
    println!("wrong key -> {} {}", answer.status(), String::from_utf8_lossy(answer.body()));
    println!("stopping all processes");
    Ok(())
}

/// Sends one order through each daemon under one idempotency key; the second answer is a replay.
async fn send_order_twice(fleet: &Fleet, key: &str) -> Result<(), ChoreError> {
    let body = json!({ "order": "40 reams of red tissue" });
    let headers = [("idempotency-key", "obando-2026-001")];
    for address in &fleet.caller_addresses {
        let answer = fleet.call(*address, "/orders", key, &headers, &body).await?;
        let replayed = header_text(&answer, "idempotency-replayed");
        let text = String::from_utf8_lossy(answer.body()).into_owned();
        println!("order -> {} {text} replayed: {replayed}", answer.status());
    }
    Ok(())
}

fn chat_request(question: &str) -> Value {
    json!({
        "model": "desk", "stream": true, "max_tokens": 12,
        "messages": [
            { "role": "system", "content": shared_terms() },
            { "role": "user", "content": question },
        ],
    })
}

/// The system message that all prompts share, about 10,000 tokens.
fn shared_terms() -> String {
    (0..1_000).map(|it| format!("{it:04}: tissue, glassine, spines; prices ")).collect()
}

/// Estimates the prompt's length as one token for every four bytes.
fn estimate_tokens(body: &Value) -> u64 {
    let messages = body["messages"].as_array().into_iter().flatten();
    messages.map(|it| it["content"].as_str().map_or(0, str::len) as u64 / 4).sum()
}

/// Joins the text of a streamed answer.
fn join_streamed_text(answer: &Response<Bytes>) -> Result<String, ChoreError> {
    let text = String::from_utf8_lossy(answer.body()).into_owned();
    if !answer.status().is_success() {
        return Err(format!("a chat request failed with {}: {text}", answer.status()).into());
    }
    if !text.trim_end().ends_with("data: [DONE]") {
        return Err("a chat stream ended without [DONE]".into());
    }
    let events = text.lines().filter_map(|it| it.strip_prefix("data: "));
    let values = events.filter_map(|it| serde_json::from_str::<Value>(it).ok());
    Ok(values
        .filter_map(|it| it["choices"][0]["delta"]["content"].as_str().map(String::from))
        .collect())
}

fn header_text(answer: &Response<Bytes>, name: &str) -> String {
    let value = answer.headers().get(name).and_then(|it| it.to_str().ok());
    value.unwrap_or("-").into()
}

fn parse_header(answer: &Response<Bytes>, name: &str) -> u64 {
    header_text(answer, name).parse().unwrap_or(0)
}

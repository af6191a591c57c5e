//! The demo: prompts that share a long prefix, and an order, through two daemons.

use bytes::Bytes;
use http::Response;
use serde_json::{Value, json};

use crate::fleet::{ChoreError, Fleet, FleetConfig};

/// Questions asked by each daemon's callers.
const QUESTIONS: [&str; 6] = [
    "Is 17 g tissue in stock in red?",
    "Which glassine holds batik dye?",
    "How long are bamboo spines of grade 2?",
    "What does a ream of 20 g tissue cost?",
    "Can order 1182 still be changed?",
    "When does the next barge come?",
];

/// Runs the demo.
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
    let (mut asked, mut cached) = (0, 0);
    for (number, question) in QUESTIONS.iter().enumerate() {
        let daemon = number % 2;
        let body = chat(question);
        let path = "/v1/chat/completions";
        let answer = fleet.call(fleet.caller_addresses[daemon], path, &key, &[], &body).await?;
        let text = streamed_text(&answer)?;
        let found = number_header(&answer, "x-kingcupshift-cached-tokens");
        asked += prompt_tokens(&body);
        cached += found;
        let target = text_header(&answer, "x-kingcupshift-target");
        println!("daemon {} -> {target}, {found} tokens cached: {text}", daemon + 1);
    }
    let rate = 100.0 * cached as f64 / asked as f64;
    println!("prefix hit rate: {rate:.0}% of {asked} prompt tokens");
    order(&fleet, &key).await?;
    let answer = fleet
        .call(fleet.caller_addresses[0], "/v1/chat/completions", "wrong", &[], &chat("?"))
        .await?;
    println!("wrong key -> {} {}", answer.status(), String::from_utf8_lossy(answer.body()));
    println!("stopping all");
    Ok(())
}

/// Sends one order twice, through both daemons, under one idempotency key.
async fn order(fleet: &Fleet, key: &str) -> Result<(), ChoreError> {
    let body = json!({ "order": "40 reams of red tissue" });
    let headers = [("idempotency-key", "obando-2026-001")];
    for address in &fleet.caller_addresses {
        let answer = fleet.call(*address, "/orders", key, &headers, &body).await?;
        let replayed = text_header(&answer, "idempotency-replayed");
        let text = String::from_utf8_lossy(answer.body()).into_owned();
        println!("order -> {} {text} replayed: {replayed}", answer.status());
    }
    Ok(())
}

fn chat(question: &str) -> Value {
    json!({
        "model": "desk", "stream": true, "max_tokens": 12,
        "messages": [
            { "role": "system", "content": terms() },
            { "role": "user", "content": question },
        ],
    })
}

/// Terms that every prompt begins with, about 10,000 tokens.
fn terms() -> String {
    (0..1_000).map(|it| format!("{it:04}: tissue, glassine, spines; prices ")).collect()
}

fn prompt_tokens(body: &Value) -> u64 {
    let messages = body["messages"].as_array().into_iter().flatten();
    messages.map(|it| it["content"].as_str().map_or(0, str::len) as u64 / 4).sum()
}

fn streamed_text(answer: &Response<Bytes>) -> Result<String, ChoreError> {
    let text = String::from_utf8_lossy(answer.body()).into_owned();
    if !answer.status().is_success() {
        return Err(format!("{}: {text}", answer.status()).into());
    }
    if !text.trim_end().ends_with("data: [DONE]") {
        return Err("the stream has no end mark".into());
    }
    let data = text.lines().filter_map(|it| it.strip_prefix("data: "));
    let values = data.filter_map(|it| serde_json::from_str::<Value>(it).ok());
    Ok(values
        .filter_map(|it| it["choices"][0]["delta"]["content"].as_str().map(String::from))
        .collect())
}

fn text_header(answer: &Response<Bytes>, name: &str) -> String {
    let value = answer.headers().get(name).and_then(|it| it.to_str().ok());
    value.unwrap_or("-").into()
}

fn number_header(answer: &Response<Bytes>, name: &str) -> u64 {
    text_header(answer, name).parse().unwrap_or(0)
}

//! The outcomes that callers observed, checked against the calls that the service executed.

use std::collections::HashMap;

use bytes::Bytes;
use http::Response;
use serde::Deserialize;
use serde_json::Value;
use stand_ins::engine;
use web::client::CallError;

/// The outcome of one attempt to place an order, as its caller was told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallOutcome {
    /// The order was executed; holds the execution's number, which counts from 1.
    Accepted(usize),
    /// The attempt was refused with the run state `not_run`.
    NotRun,
    /// Any other answer or a connection error: the order may have been executed.
    Unknown,
}

/// One attempt to place an order. Attempts for the same order have equal bodies.
#[derive(Debug, Clone)]
pub(crate) struct SentOrder {
    pub(crate) body: String,
    /// The order was sent more than once, under one idempotency key.
    pub(crate) keyed: bool,
    pub(crate) outcome: CallOutcome,
}

/// The outcome of one streamed answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum StreamOutcome {
    /// The whole text arrived, with the end mark.
    Complete,
    /// The request was refused or the stream broke off, in a way that the caller could detect.
    Failed,
    /// The answer seemed to succeed, but lacks its end mark or has the wrong text; holds a
    /// description.
    Wrong(String),
}

/// The outcomes of all calls of one or more callers.
#[derive(Debug, Default)]
pub(crate) struct CallOutcomes {
    pub(crate) orders: Vec<SentOrder>,
    pub(crate) streams: Vec<StreamOutcome>,
}

/// A call that the order service executed, as its list of executions reports it.
#[derive(Debug, Deserialize)]
pub(crate) struct ExecutedCall {
    pub(crate) body: String,
}

/// Determines an order's outcome from the answer to one attempt.
pub(crate) fn parse_order_answer(answer: &Result<Response<Bytes>, CallError>) -> CallOutcome {
    let Ok(answer) = answer else { return CallOutcome::Unknown };
    let body: Value = serde_json::from_slice(answer.body()).unwrap_or_default();
    match (answer.status().is_success(), body["accepted"].as_u64()) {
        (true, Some(number)) => CallOutcome::Accepted(number as usize),
        _ if body["error"]["run"] == "not_run" => CallOutcome::NotRun,
        _ => CallOutcome::Unknown,
    }
}

/// Compares one streamed answer with the text that the engine stand-in generates for it.
///
/// `prompt` is the prompt's text as the engine flattens it, `tokens` the number of tokens
/// requested.
pub(crate) fn check_stream(
    answer: &Result<Response<Bytes>, CallError>,
    prompt: &str,
    tokens: u64,
) -> StreamOutcome {
    let Ok(answer) = answer else { return StreamOutcome::Failed };
    let text = String::from_utf8_lossy(answer.body());
    if !answer.status().is_success() || text.contains("\"error\"") {
        return StreamOutcome::Failed;
    }
    if !text.trim_end().ends_with("data: [DONE]") {
        return StreamOutcome::Wrong(format!("the stream ended without [DONE]: {text}"));
    }
    let events = text.lines().filter_map(|it| it.strip_prefix("data: "));
    let values = events.filter_map(|it| serde_json::from_str::<Value>(it).ok());
    let pieces =
        values.filter_map(|it| it["choices"][0]["delta"]["content"].as_str().map(String::from));
    let found: String = pieces.collect();
    let expected: String =
        (1..=tokens).map(|it| engine::token_text(prompt.as_bytes(), 1, it).into_string()).collect();
    if found == expected {
        StreamOutcome::Complete
    } else {
        StreamOutcome::Wrong(format!("expected text {expected:?}, found {found:?}"))
    }
}

impl CallOutcomes {
    /// Describes each violated guarantee: an order executed twice, executed although reported as
    /// not run, or answered with another call's answer, and a wrong stream.
    ///
    /// `executed` lists the service's executions in their order.
    pub(crate) fn find_violations(&self, executed: &[ExecutedCall]) -> Vec<String> {
        let mut counts: HashMap<&str, usize> = HashMap::new();
        for call in executed {
            *counts.entry(call.body.as_str()).or_default() += 1;
        }
        let repeated = counts.iter().filter(|it| *it.1 > 1);
        let mut violations: Vec<String> = repeated
            .map(|(body, count)| format!("order {body} was executed {count} times"))
            .collect();
        for order in &self.orders {
            let count = counts.get(order.body.as_str()).copied().unwrap_or(0);
            match order.outcome {
                // Another attempt with the same idempotency key may have been executed.
                CallOutcome::NotRun if count > 0 && !order.keyed => {
                    violations.push(format!(
                        "order {} was reported as not run, but was executed",
                        order.body
                    ));
                }
                CallOutcome::Accepted(number) => {
                    let execution = number.checked_sub(1).and_then(|it| executed.get(it));
                    if execution.is_none_or(|it| it.body != order.body) {
                        violations
                            .push(format!("order {} got the answer of another call", order.body));
                    }
                }
                CallOutcome::NotRun | CallOutcome::Unknown => {}
            }
        }
        violations.extend(self.streams.iter().filter_map(|it| match it {
            StreamOutcome::Wrong(text) => Some(format!("wrong stream: {text}")),
            StreamOutcome::Complete | StreamOutcome::Failed => None,
        }));
        violations
    }
}

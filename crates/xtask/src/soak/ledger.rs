//! What callers saw, held against what targets ran.

use std::collections::HashMap;

use bytes::Bytes;
use http::Response;
use serde::Deserialize;
use serde_json::Value;
use stand_ins::engine;
use web::client::CallError;

/// What a caller was told of one sending.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallEnd {
    /// The service's answer, which names the run by its number.
    Accepted(usize),
    /// A refusal that says that the call has not run.
    NotRun,
    /// It may have run.
    Unknown,
}

/// One sending of an order.
#[derive(Debug, Clone)]
pub(crate) struct SentOrder {
    pub(crate) body: String,
    /// It was sent under a key, and more than once.
    pub(crate) keyed: bool,
    pub(crate) end: CallEnd,
}

/// How a stream ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum StreamEnd {
    /// With all of its text.
    Whole,
    /// It broke off, or was refused, and the caller could see that.
    Broken,
    /// It looked whole and was not, or had another prompt's text.
    Wrong(String),
}

/// All that callers saw.
#[derive(Debug, Default)]
pub(crate) struct CallLedger {
    pub(crate) orders: Vec<SentOrder>,
    pub(crate) streams: Vec<StreamEnd>,
}

/// A call that the service ran.
#[derive(Debug, Deserialize)]
pub(crate) struct RanCall {
    pub(crate) body: String,
}

/// What one answer to an order says.
pub(crate) fn read_order(answer: &Result<Response<Bytes>, CallError>) -> CallEnd {
    let Ok(answer) = answer else { return CallEnd::Unknown };
    let body: Value = serde_json::from_slice(answer.body()).unwrap_or_default();
    match (answer.status().is_success(), body["accepted"].as_u64()) {
        (true, Some(number)) => CallEnd::Accepted(number as usize),
        _ if body["error"]["run"] == "not_run" => CallEnd::NotRun,
        _ => CallEnd::Unknown,
    }
}

/// What one answer to a prompt says; `prompt` is its text as the engine reads it.
pub(crate) fn read_stream(
    answer: &Result<Response<Bytes>, CallError>,
    prompt: &str,
    pieces: u64,
) -> StreamEnd {
    let Ok(answer) = answer else { return StreamEnd::Broken };
    let text = String::from_utf8_lossy(answer.body());
    if !answer.status().is_success() || text.contains("\"error\"") {
        return StreamEnd::Broken;
    }
    if !text.trim_end().ends_with("data: [DONE]") {
        return StreamEnd::Wrong(format!("ended without an end mark: {text}"));
    }
    let events = text.lines().filter_map(|it| it.strip_prefix("data: "));
    let values = events.filter_map(|it| serde_json::from_str::<Value>(it).ok());
    let parts =
        values.filter_map(|it| it["choices"][0]["delta"]["content"].as_str().map(String::from));
    let found: String = parts.collect();
    let wanted: String =
        (1..=pieces).map(|it| engine::token_text(prompt.as_bytes(), 1, it).into_string()).collect();
    if found == wanted {
        StreamEnd::Whole
    } else {
        StreamEnd::Wrong(format!("expected {wanted:?}, found {found:?}"))
    }
}

impl CallLedger {
    /// Promises that were broken, by what the service ran.
    pub(crate) fn broken_promises(&self, ran: &[RanCall]) -> Vec<String> {
        let mut runs: HashMap<&str, usize> = HashMap::new();
        for call in ran {
            *runs.entry(call.body.as_str()).or_default() += 1;
        }
        let twice = runs.iter().filter(|it| *it.1 > 1);
        let mut broken: Vec<String> =
            twice.map(|(body, count)| format!("{body} ran {count} times")).collect();
        for order in &self.orders {
            let count = runs.get(order.body.as_str()).copied().unwrap_or(0);
            match order.end {
                // Under a key, another sending of the same order may have run.
                CallEnd::NotRun if count > 0 && !order.keyed => {
                    broken.push(format!("{} was said not to have run, and ran", order.body));
                }
                CallEnd::Accepted(number) => {
                    let named = number.checked_sub(1).and_then(|it| ran.get(it));
                    if named.is_none_or(|it| it.body != order.body) {
                        broken.push(format!("{} got the answer of another call", order.body));
                    }
                }
                CallEnd::NotRun | CallEnd::Unknown => {}
            }
        }
        broken.extend(self.streams.iter().filter_map(|it| match it {
            StreamEnd::Wrong(text) => Some(format!("a stream is wrong: {text}")),
            StreamEnd::Whole | StreamEnd::Broken => None,
        }));
        broken
    }
}

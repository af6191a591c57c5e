//! HTTP client of targets: model engines, plain services and KV-cache stores.
//!
//! This crate sends one request and reports what happened on the connection. It never retries and
//! never chooses a target. It selects the headers that are forwarded, so that no caller's key
//! reaches a target.

mod event_stream;
mod headers;
mod target_client;

pub use event_stream::{EventReader, StreamEvent};
pub use headers::{caller_headers, target_headers};
pub use target_client::{AnswerHead, EngineStatus, ExchangeError, TargetClient};

//! Adapters to targets: model engines, plain services and KV-cache stores over HTTP.
//!
//! This crate sends one request and says what happened on the wire. It never retries and never
//! chooses a target. Requests are built here from parts the daemon allows, so that no header of
//! a caller passes unless it is on the list.

mod event_stream;
mod headers;
mod target_client;

pub use event_stream::{EventReader, StreamEvent};
pub use headers::{caller_headers, target_headers};
pub use target_client::{AnswerHead, EngineStatus, ExchangeError, TargetClient};

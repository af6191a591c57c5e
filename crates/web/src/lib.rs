//! HTTP client, HTTP servers and logging, shared by all programs of the workspace.
//!
//! The client wraps hyper-util; servers run on dropshot or directly on hyper. This crate classifies
//! connection errors and nothing more: it decides no retry and does not know what a request means.

pub mod body_reader;
pub mod client;
pub mod hop_by_hop;
pub mod hyper_server;
pub mod logs;
pub mod server;
mod stream_body;

pub use stream_body::stream_body;

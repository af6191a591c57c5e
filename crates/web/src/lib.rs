//! HTTP plumbing that every program here shares: one client wrapper over hyper-util, one way to
//! start a dropshot server, one log set-up.
//!
//! This crate classifies what happened on the wire and nothing more; it decides no retry and
//! knows no kind of request.

pub mod client;
pub mod hop_by_hop;
pub mod hyper_server;
pub mod logs;
pub mod server;
mod stream_body;

pub use stream_body::stream_body;

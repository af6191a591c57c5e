//! The request path for requests that carry their own description, and what daemons know
//! together to serve it.
//!
//! How requests and answers are spelled, and how the users' store is called, lies behind the
//! ports `dialect` and `directory`. Decisions come from `policy`; this crate owns the sockets,
//! the tasks and the shared tables.

mod attempt_error;
mod body;
mod buffered;
mod call;
mod call_log;
mod caller_request;
pub mod cluster_view;
pub mod config;
mod connections;
mod crash_reports;
pub mod dialect;
pub mod directory;
pub mod events;
pub mod fleet;
mod front;
mod gateway;
mod gossip;
mod kv_store;
pub mod members;
pub mod metrics;
pub mod peer_message;
mod peer_socket;
mod placement;
mod prompt_spec;
mod rate_limit;
mod readiness;
mod refusal;
pub mod replica;
mod serve;
pub mod settings;
mod store_reader;
mod stream;
mod target_client;
mod weight_commands;

pub use serve::serve;

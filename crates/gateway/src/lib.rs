//! The request path for requests that carry their own description, and what daemons know
//! together to serve it.
//!
//! How requests and answers are spelled, and how the users' store is called, lies behind the
//! ports `dialect` and `directory`. Decisions come from `policy`; this crate owns the sockets,
//! the tasks and the shared tables.

mod attempt_error;
pub mod belief;
mod body;
mod buffered;
mod call;
mod call_log;
mod caller_request;
pub mod config;
mod connections;
mod crashes;
pub mod dialect;
pub mod digest;
pub mod directory;
pub mod events;
pub mod fleet;
mod front;
mod gateway;
mod kv_store;
pub mod members;
pub mod metrics;
mod peer_link;
mod peers;
mod placement;
mod prompt_spec;
mod quota_desk;
mod reader;
mod readiness;
mod refusal;
pub mod replica;
mod serve;
pub mod settings;
mod stream;
mod target_client;
mod weights;

pub use serve::serve;

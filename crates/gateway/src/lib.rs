//! The request path for requests that carry their own description, and what daemons know
//! together to serve it.
//!
//! How requests and answers are spelled, and how the users' store is called, lies behind the
//! ports `dialect` and `directory`. Decisions come from `policy`; this crate owns the sockets,
//! the tasks and the shared tables.

pub mod belief;
mod body;
mod call;
mod call_fault;
mod call_log;
mod call_target;
pub mod config;
mod crashes;
mod described;
pub mod dialect;
pub mod digest;
pub mod directory;
pub mod events;
mod exchange;
pub mod fleet;
mod front;
mod gateway;
mod kv_store;
pub mod members;
pub mod metrics;
mod peer_link;
mod peers;
mod placing;
mod prompt_need;
mod quota_desk;
mod reader;
mod readiness;
mod refusal;
pub mod replica;
mod serve;
pub mod settings;
mod stream;
mod weights;
mod whole;

pub use serve::serve;

//! The daemon: connects the policy with the adapters, and serves callers, operators and peers.
//!
//! This crate makes no policy decisions: placement, limits, claims and quarantine are decided in
//! `policy`, and shared state is read and written through `control`. It owns the sockets, the
//! tasks and the tables in memory.
//!
//! Lock order, when two locks are held at once: a pool's state, then the quarantine table, then
//! the metrics. No lock is held across an await.

mod admin;
mod background;
mod caller_key;
mod front;
mod isolation;
mod member_view;
mod metrics;
mod model_body;
mod model_call;
mod model_exchange;
mod model_stream;
mod moves;
mod peer_handler;
mod place;
mod pool;
mod rate_limit;
mod refusal;
mod replica;
mod router;
mod serve;
mod service_call;
mod slot;
mod status;

pub use serve::{ServeError, serve};

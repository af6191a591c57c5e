//! The daemon: wires the roles, the policy and the adapters, and serves callers, operators and
//! peers.
//!
//! This crate decides no policy: placement, limits, claims and verdicts come from `policy`, what
//! is kept or agreed goes through `control`. It owns the sockets, the tasks and the shared
//! tables.
//!
//! Lock order, where two are held at once: a pool's state, then the quarantine table, then the
//! metrics. No lock is held across an await.

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
mod placement_query;
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

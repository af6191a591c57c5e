//! Every decision of the router: placement, rate sharing, claims, retries, quarantine, health,
//! queueing and version moves.
//!
//! This crate is plain data in, decision out. It never does IO, never reads a clock and never
//! spawns: time and random numbers are passed in, so that a measurement drives the very code
//! that the daemon runs.

pub mod bucket;
pub mod chain;
pub mod claim;
pub mod customer_quota;
pub mod demand;
pub mod engine_choice;
pub mod fair_queue;
pub mod fetch_source;
pub mod health;
pub mod isolation;
pub mod move_plan;
pub mod peer_tree;
pub mod placement;
pub mod plain_choice;
pub mod prefix_table;
pub mod quarantine;
pub mod rate_shares;
pub mod read_schedule;
pub mod rendezvous;
pub mod retry;
pub mod silence;
pub mod spend_guard;
pub mod stream_order;
pub mod version_trial;
pub mod weight_rollout;

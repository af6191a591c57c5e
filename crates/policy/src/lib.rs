//! Routing decisions as pure functions and state machines: placement, rate sharing, claims,
//! retries, quarantine, health, queueing and version moves.
//!
//! This crate does no IO, reads no clock and spawns no tasks. Callers pass in the time and random
//! numbers, so that tests and simulations exercise the same code as the daemon.

pub mod admission;
pub mod bucket;
pub mod buffer_budget;
pub mod cache_scope;
pub mod chain;
pub mod claim;
pub mod cold_pace;
pub mod command_lease;
mod crash_record;
pub mod crash_suspects;
pub mod customer_quota;
pub mod demand;
pub mod engine_choice;
pub mod engine_room;
pub mod engine_weights;
pub mod fair_queue;
pub mod fetch_source;
pub mod health;
pub mod hold_off;
pub mod home_areas;
pub mod hub_views;
pub mod isolation;
pub mod move_plan;
pub mod peer_clock;
pub mod peer_tree;
pub mod placement;
pub mod plain_choice;
pub mod prefix_table;
pub mod quarantine;
pub mod rate_shares;
pub mod read_schedule;
pub mod release_history;
pub mod rendezvous;
pub mod repeated_query;
pub mod replica_pace;
pub mod replica_path;
pub mod request_limit;
pub mod retry;
pub mod rollout_stage;
pub mod rollout_trial;
pub mod silence;
pub mod spend_guard;
pub mod stream_order;
pub mod unanswered;
pub mod version_trial;
pub mod weight_rollout;

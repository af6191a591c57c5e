//! Forwards callers' requests to replicas, and keeps the state that daemons share to choose them.
//!
//! Requests describe themselves in their headers. Their encoding and the users' store lie behind
//! the traits [`dialect::Dialect`] and [`directory::Directory`]. The `policy` crate makes the
//! decisions; this crate owns the sockets, the tasks and the tables that requests share.

mod active_replicas;
mod answer_end;
mod attempt_error;
mod body;
mod body_buffer;
mod body_reader;
mod buffer_share;
mod buffered;
mod call;
mod call_failure;
mod call_log;
mod call_placement;
mod caller_request;
pub mod cluster_view;
mod cold_replicas;
mod command_lease;
mod command_table;
pub mod config;
pub mod connections;
mod crash_reports;
pub mod dialect;
pub mod directory;
pub mod evacuation;
pub mod events;
pub mod fleet;
mod front;
mod gateway;
mod gossip;
pub mod gossip_peers;
mod hub_reports;
mod in_flight;
mod known_daemon;
mod kv_store;
pub mod listing_change;
mod load_table;
pub mod members;
pub mod message_parts;
pub mod message_stamp;
pub mod metrics;
pub mod notice_table;
pub mod peer_message;
mod peer_socket;
mod placed_admission;
pub mod placement;
pub mod prompt_spec;
mod rate_limit;
mod readiness;
pub mod recovery_pace;
mod refusal;
mod relay;
mod release_replicas;
mod removed_targets;
pub mod replica;
mod replica_path;
mod reported_weights;
mod request_ends;
mod request_limits;
pub mod resend_limit;
mod rollout_choice;
pub mod rollout_table;
mod rollouts;
mod serve;
pub mod settings;
mod store_reader;
mod stream;
pub mod supervisor;
mod suspect_store;
mod target_client;
mod token_query;
mod weight_commands;
mod weight_gossip;

pub use serve::{serve, serve_until};

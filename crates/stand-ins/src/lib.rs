//! Stand-ins for the systems that kingcupshift depends on: the platform, model engines, plain
//! services, a KV-cache store and an unreliable network.
//!
//! They speak the published protocols over real sockets and fail on request. The daemon never uses
//! this crate; tests, the demo and measurements do.

pub mod engine;
mod engine_answer;
mod engine_cache;
mod engine_run;
mod faulty_body;
pub mod kv_store;
pub mod loopback;
pub mod platform;
pub mod relay;
pub mod service;

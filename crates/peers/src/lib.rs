//! Messages between daemons: h2 streams carrying bincode.
//!
//! This crate connects, authenticates and carries one message each way on each stream. It knows
//! what messages look like and nothing of what they decide. A connection that misses a deadline
//! is dropped, so the next message goes on a new one.

mod auth;
mod client;
mod codec;
mod message;
mod server;

pub use client::{PeerClient, PeerError};
pub use message::{Hello, PROTOCOL_VERSION, PeerRequest, PeerResponse, PeerSnapshot};
pub use server::{PeerHandler, serve};

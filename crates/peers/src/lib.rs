//! Messages between daemons, encoded with bincode on h2 streams.
//!
//! Each stream carries one request and its answer. This crate connects, authenticates and defines
//! the messages; the handler of the daemon decides how they are answered. A connection on which an
//! answer misses its deadline is dropped, so that the next message goes out on a new one.

mod auth;
mod client;
mod codec;
mod message;
mod server;

pub use client::{PeerClient, PeerError};
pub use message::{Hello, PROTOCOL_VERSION, PeerRequest, PeerResponse, PeerSnapshot};
pub use server::{PeerHandler, serve};

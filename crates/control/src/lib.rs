//! The roles that keep or agree something through the platform's table and objects: the
//! catalog, claims on calls that may not be repeated, and parts of customers' rates.
//!
//! Every role is generic over the ports, so that a test drives it with a table that fails as
//! told. This crate speaks no HTTP, opens no socket and reads time only through the clock port.

mod catalog_store;
mod claim_store;
mod lease;
mod move_controller;
mod share_holder;
mod ticket_history;

pub use catalog_store::{CatalogHead, CatalogStore, SubmitError, change_key};
pub use claim_store::{CLAIM_RETENTION, ClaimHandle, ClaimResult, ClaimStore, claim_key};
pub use lease::{HeldLease, LEASE_DURATION, LeaseClient, RENEW_INTERVAL};
pub use move_controller::{COMMAND_LIFETIME, MoveChange, MoveController, build_stage_change};
pub use share_holder::{ShareHolder, SyncInput, TakeResult};

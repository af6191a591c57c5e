//! State that daemons share through the platform's table and objects: the catalog, claims on
//! requests that must not be repeated, shares of customers' rates, and the lease for version moves.
//!
//! Every type is generic over the traits of `ports`, so that tests run it with a table that fails
//! on request. This crate does no network I/O and reads time only through the clock trait.

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

//! The roles that keep or agree something through the platform's table and objects: the
//! catalog, claims on calls that may not be repeated, and parts of customers' rates.
//!
//! Every role is generic over the ports, so that a test drives it with a table that fails as
//! told. This crate speaks no HTTP, opens no socket and reads time only through the clock port.

mod catalog_store;
mod claim_store;
mod lease;
mod move_driver;
mod part_holder;
mod ticket_book;

pub use catalog_store::{CatalogHead, CatalogStore, SubmitError, change_key};
pub use claim_store::{CLAIM_LIFE, ClaimHandle, ClaimStart, ClaimStore, claim_key};
pub use lease::{HeldLease, LEASE_TIME, Lease, RENEW_EVERY};
pub use move_driver::{MoveChange, MoveDriver, ORDER_LIFE, stage_change};
pub use part_holder::{HolderView, PartHolder, TakeResult};

//! The configuration that operators change at run time: customers, keys, routes, targets,
//! versions and moves, as plain data with checked changes.
//!
//! This crate never does IO. It says what a valid catalog is and what a change makes of it; the
//! daemon decides where catalogs and changes are kept.

mod change;
mod document;
mod entity;
mod state;

pub use change::{ChangeError, ChangeSet, Operation};
pub use document::CatalogDocument;
pub use entity::{
    CallerKey, Customer, MoveStage, Pool, PoolKind, Route, RouteAccess, RouteKind, Target,
    TrafficClass, Version, VersionMove,
};
pub use state::CatalogState;

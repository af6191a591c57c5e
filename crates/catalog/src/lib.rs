//! The configuration that operators change at run time: customers, keys, routes, targets,
//! versions and moves, as plain data with validated changes.
//!
//! This crate does no IO. It defines which catalogs are valid and how a change is applied; the
//! daemon decides where catalogs and changes are stored.

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

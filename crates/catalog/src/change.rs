//! The operations that change a catalog, and why a change is refused.

use ids::{CustomerId, KeyId, MoveId, PoolId, RouteId, TargetId, VersionNumber};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::entity::{CallerKey, Customer, Pool, Route, Target, Version, VersionMove};

/// One operation of a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Operation {
    /// Creates or replaces a customer.
    PutCustomer(Customer),
    /// Deletes a customer and its keys; refused while a route refers to it.
    DropCustomer(CustomerId),
    /// Creates a key, or replaces the one with the same id.
    PutKey(CallerKey),
    /// Withdraws a key.
    DropKey(KeyId),
    /// Creates or replaces a pool.
    PutPool(Pool),
    /// Deletes a pool with its versions and moves; refused while a route or a target refers to it.
    DropPool(PoolId),
    /// Creates or replaces a route.
    PutRoute(Route),
    /// Deletes a route.
    DropRoute(RouteId),
    /// Creates or replaces a target.
    PutTarget(Target),
    /// Deletes a target.
    DropTarget(TargetId),
    /// Creates or replaces a version.
    PutVersion(Version),
    /// Deletes a version; refused while its pool runs it or an unfinished move refers to it.
    DropVersion {
        /// The pool whose version it is.
        pool: PoolId,
        /// The version's number within the pool.
        number: VersionNumber,
    },
    /// Creates a move or advances its stage.
    PutMove(VersionMove),
    /// Deletes a finished move.
    DropMove(MoveId),
}

/// Operations that take effect together or not at all.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ChangeSet {
    /// Applied in this order; each is checked against the result of those before it.
    pub operations: Vec<Operation>,
}

/// Why a change is refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ChangeError {
    /// An operation refers to an entity that does not exist.
    #[error("{kind} {id} does not exist")]
    Missing {
        /// The kind of entity, such as `customer`.
        kind: &'static str,
        /// The id that was looked up; `pool/number` for a version.
        id: Box<str>,
    },
    /// An operation removes or reuses something that another entity refers to.
    #[error("{kind} {id} is still used by {user}")]
    InUse {
        /// The kind of entity, such as `pool`.
        kind: &'static str,
        /// The id of the entity in use; `pool/number` for a version.
        id: Box<str>,
        /// The kind and id of the entity that refers to it.
        user: Box<str>,
    },
    /// A value is out of bounds.
    #[error("{field} of {id}: {value} is not allowed; {allowed}")]
    Invalid {
        /// The name of the field.
        field: &'static str,
        /// The id of the entity that has the field.
        id: Box<str>,
        /// The refused value.
        value: Box<str>,
        /// Describes the allowed values.
        allowed: &'static str,
    },
}

//! Changes to a catalog.

use ids::{CustomerId, KeyId, MoveId, PoolId, RouteId, TargetId, VersionNumber};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::entity::{CallerKey, Customer, Pool, Route, Target, Version, VersionMove};

/// One step of a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Operation {
    /// Creates or replaces a customer.
    PutCustomer(Customer),
    /// Removes a customer and its keys.
    DropCustomer(CustomerId),
    /// Creates or replaces a key.
    PutKey(CallerKey),
    /// Withdraws a key.
    DropKey(KeyId),
    /// Creates or replaces a pool.
    PutPool(Pool),
    /// Removes a pool that nothing names.
    DropPool(PoolId),
    /// Creates or replaces a route.
    PutRoute(Route),
    /// Removes a route.
    DropRoute(RouteId),
    /// Creates or replaces a target.
    PutTarget(Target),
    /// Removes a target.
    DropTarget(TargetId),
    /// Creates or replaces a version.
    PutVersion(Version),
    /// Removes a version no pool runs.
    DropVersion {
        /// The pool.
        pool: PoolId,
        /// The version.
        number: VersionNumber,
    },
    /// Creates a move or records its progress.
    PutMove(VersionMove),
    /// Forgets a move that is over.
    DropMove(MoveId),
}

/// Operations that take effect together.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ChangeSet {
    /// The steps, in order.
    pub operations: Vec<Operation>,
}

/// Why a change is refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ChangeError {
    /// It names something that does not exist.
    #[error("{what} {name} does not exist")]
    Missing {
        /// What kind of thing.
        what: &'static str,
        /// Its id.
        name: Box<str>,
    },
    /// It removes something still named elsewhere.
    #[error("{what} {name} is still used by {by}")]
    InUse {
        /// What kind of thing.
        what: &'static str,
        /// Its id.
        name: Box<str>,
        /// Who uses it.
        by: Box<str>,
    },
    /// A value is out of bounds.
    #[error("{field} of {name}: {found} is not allowed; {allowed}")]
    Invalid {
        /// The field.
        field: &'static str,
        /// Whose field.
        name: Box<str>,
        /// The value found.
        found: Box<str>,
        /// What is allowed.
        allowed: &'static str,
    },
}

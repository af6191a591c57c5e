//! What is placed, and where it was placed.

use std::net::SocketAddr;

use ids::{CustomerId, Incarnation, TargetId, VersionNumber};
use indexmap::IndexMap;
use policy::chain::ChainHash;

/// What placement needs to know of a request.
#[derive(Debug, Clone)]
pub(crate) struct PlacementQuery {
    pub(crate) customer: Option<CustomerId>,
    pub(crate) weight: u32,
    pub(crate) deferrable: bool,
    /// Tokens it will cost, for fairness.
    pub(crate) cost: f64,
    /// Prompt tokens.
    pub(crate) tokens: u64,
    /// The chain of the prompt under the version given.
    pub(crate) chains: IndexMap<VersionNumber, Vec<ChainHash>>,
    /// No other request of this daemon runs beside it.
    pub(crate) isolated: bool,
    /// It runs on this version or not at all.
    pub(crate) only_version: Option<VersionNumber>,
    /// It runs on this replica or not at all: its turn apart was given there.
    pub(crate) only_target: Option<TargetId>,
    /// Replicas it failed on before.
    pub(crate) avoid: Vec<TargetId>,
}

/// A replica chosen for one attempt.
#[derive(Debug, Clone)]
pub(crate) struct PlacedTarget {
    pub(crate) id: TargetId,
    pub(crate) address: SocketAddr,
    pub(crate) incarnation: Option<Incarnation>,
    pub(crate) echoes_request_id: bool,
    pub(crate) version: VersionNumber,
    pub(crate) was_home: bool,
}

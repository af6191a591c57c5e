//! The input and the result of placing a request on a replica.

use std::net::SocketAddr;

use ids::{CustomerId, Incarnation, TargetId, VersionNumber};
use indexmap::IndexMap;
use policy::chain::ChainHash;

/// The properties of a request that determine its placement.
#[derive(Debug, Clone)]
pub(crate) struct PlacementQuery {
    pub(crate) customer: Option<CustomerId>,
    /// The customer's weight in the fair queue.
    pub(crate) weight: u32,
    pub(crate) deferrable: bool,
    /// Estimated tokens that it costs, for the fair queue.
    pub(crate) cost: f64,
    /// Estimated tokens of the prompt.
    pub(crate) tokens: u64,
    /// The chain hashes of the prompt's pieces, for each version that may run it.
    pub(crate) chains: IndexMap<VersionNumber, Vec<ChainHash>>,
    /// Whether it must be the only request of this daemon on its replica.
    pub(crate) isolated: bool,
    /// If set, it runs on this version or not at all.
    pub(crate) only_version: Option<VersionNumber>,
    /// If set, it runs on this replica or not at all: the one reserved for it in isolation.
    pub(crate) only_target: Option<TargetId>,
    /// Replicas on which it failed; used only if no other has room.
    pub(crate) avoid: Vec<TargetId>,
}

/// A replica chosen for one attempt.
#[derive(Debug, Clone)]
pub(crate) struct PlacedTarget {
    pub(crate) id: TargetId,
    pub(crate) address: SocketAddr,
    /// The incarnation last observed; `None` before the first answer.
    pub(crate) incarnation: Option<Incarnation>,
    /// Whether its answers repeat the attempt's id, which is then checked.
    pub(crate) echoes_request_id: bool,
    /// The version that it runs, as last observed.
    pub(crate) version: VersionNumber,
    /// Whether rendezvous hashing of the prompt's prefix selects this replica.
    pub(crate) was_home: bool,
}

//! The state page of one daemon.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::replica::ReplicaStatus;
use crate::router::Router;

/// One instance as the platform lists it.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
pub struct InstanceStatus {
    /// The instance.
    pub id: Box<str>,
    /// Its failure domain.
    pub failure_domain: Box<str>,
    /// Its life.
    pub incarnation: u64,
    /// `live` or `leaving`.
    pub state: Box<str>,
}

/// The state of one daemon.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
pub struct DaemonStatus {
    /// The instance that answers.
    pub instance: Box<str>,
    /// Its life.
    pub incarnation: u64,
    /// The catalog's revision in force here; none before the first reading.
    pub catalog_revision: Option<u64>,
    /// Whether it takes requests.
    pub ready: bool,
    /// Whether it holds parts of customers' rates.
    pub holds_parts: bool,
    /// Whether it may spend the parts that it holds.
    pub may_spend: bool,
    /// Requests being handled.
    pub open_requests: u64,
    /// The instances listed.
    pub instances: Vec<InstanceStatus>,
    /// All replicas.
    pub replicas: Vec<ReplicaStatus>,
}

/// Reads the state.
pub(crate) fn daemon_status(router: &Router) -> DaemonStatus {
    let catalog = router.catalog.current();
    let members = router.members.members();
    DaemonStatus {
        instance: router.instance_id.as_str().into(),
        incarnation: router.incarnation.0,
        catalog_revision: catalog.as_ref().map(|it| it.revision.0),
        ready: router.is_ready(),
        holds_parts: router.shares.holds_any(),
        may_spend: router.shares.may_spend(),
        open_requests: router.in_flight_count() as u64,
        instances: members
            .iter()
            .map(|it| InstanceStatus {
                id: it.id.as_str().into(),
                failure_domain: it.failure_domain.as_str().into(),
                incarnation: it.incarnation.0,
                state: format!("{:?}", it.state).to_lowercase().into(),
            })
            .collect(),
        replicas: router.schedulers().iter().flat_map(|it| it.status()).collect(),
    }
}

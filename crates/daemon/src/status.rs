//! The status page of one daemon.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::replica::ReplicaStatus;
use crate::router::Router;

/// One instance as the platform's list last showed it.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
pub struct InstanceStatus {
    /// Id of the instance.
    pub id: Box<str>,
    /// Its failure domain.
    pub failure_domain: Box<str>,
    /// The incarnation it announced; greater than those before its restarts.
    pub incarnation: u64,
    /// `live` or `leaving`.
    pub state: Box<str>,
}

/// The state of one daemon.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
pub struct DaemonStatus {
    /// Id of the instance that answers.
    pub instance: Box<str>,
    /// Its incarnation; greater than those before its restarts.
    pub incarnation: u64,
    /// The catalog's revision in force here; none before the first reading.
    pub catalog_revision: Option<u64>,
    /// Whether it accepts requests: it has a confirmed catalog and is not leaving.
    pub ready: bool,
    /// Whether it holds shares of customers' rates.
    pub holds_parts: bool,
    /// Whether it may give out tokens of the shares that it holds.
    pub may_spend: bool,
    /// Requests in flight.
    pub open_requests: u64,
    /// The instances in the platform's list.
    pub instances: Vec<InstanceStatus>,
    /// The replicas of all pools.
    pub replicas: Vec<ReplicaStatus>,
}

/// Collects the state of this daemon.
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

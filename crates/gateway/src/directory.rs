//! The port to the users' store: what operators order, which replicas run, what must last.

use std::future::Future;
use std::net::IpAddr;
use std::time::Duration;

use ids::{FailureDomain, Incarnation, InstanceId, Revision};
use policy::peer_tree::InstanceCapacity;
use ports::{CommitResult, StoreError};
use serde::{Deserialize, Serialize};

use crate::config::{ControlState, TargetEntry};

/// A value as the store held it at one moment.
#[derive(Debug, Clone, PartialEq)]
pub struct Snapshot<T> {
    /// The store's newest revision at that moment.
    pub revision: Revision,
    /// The store's own steady clock.
    pub store_time: Duration,
    /// What it held.
    pub value: T,
}

/// A daemon of this system.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberEntry {
    /// The daemon.
    pub id: InstanceId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Where its peers reach it.
    pub address: IpAddr,
    /// Where it fails together with others.
    pub domain: FailureDomain,
    /// How much its instance can carry.
    pub capacity: InstanceCapacity,
}

/// The lease on giving orders to replicas.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommandLease {
    /// Who holds it.
    pub holder: MemberEntry,
    /// Grows with every change of holder.
    pub fencing_token: u64,
    /// The store's clock when it was last renewed.
    pub renewed_at: Duration,
}

/// The users' store as this system needs it. A call either says what the store held, or why not.
pub trait Directory: Send + Sync + 'static {
    /// What operators ordered.
    fn read_control(
        &self,
    ) -> impl Future<Output = Result<Snapshot<ControlState>, StoreError>> + Send;

    /// The replicas listed.
    fn read_targets(
        &self,
    ) -> impl Future<Output = Result<Snapshot<Vec<TargetEntry>>, StoreError>> + Send;

    /// The daemons that announced themselves.
    fn read_members(
        &self,
    ) -> impl Future<Output = Result<Snapshot<Vec<MemberEntry>>, StoreError>> + Send;

    /// Announces a daemon.
    fn announce(&self, member: &MemberEntry)
    -> impl Future<Output = Result<(), StoreError>> + Send;

    /// The lease on orders with its row's revision.
    fn read_lease(
        &self,
    ) -> impl Future<Output = Result<Snapshot<Option<(CommandLease, Revision)>>, StoreError>> + Send;

    /// Writes the lease if its row still has the revision `expected`; `None`: if there is none.
    fn write_lease(
        &self,
        lease: &CommandLease,
        expected: Option<Revision>,
    ) -> impl Future<Output = Result<CommitResult, StoreError>> + Send;
}

//! The port to the site's store: control state, list of replicas, announced daemons, refused
//! suspects and the command lease.

use std::future::Future;
use std::net::IpAddr;
use std::time::Duration;

use ids::{FailureDomain, Incarnation, InstanceId, PoolId, Revision};
use policy::crash_suspects::SuspectReport;
use policy::peer_tree::InstanceCapacity;
use policy::release_history::ReleaseHistory;
use ports::{CommitResult, StoreError};
use serde::{Deserialize, Serialize};

use crate::config::{ControlState, TargetEntry};

/// A value as the store held it at one revision.
#[derive(Debug, Clone, PartialEq)]
pub struct Snapshot<T> {
    /// The store's newest revision when the value was read.
    pub revision: Revision,
    /// The time of the read on the store's own monotonic clock.
    pub store_time: Duration,
    /// The value read.
    pub value: T,
}

/// A daemon, as announced in the store and passed on by peers.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberEntry {
    /// The daemon's instance, whose id outlives restarts.
    pub id: InstanceId,
    /// Distinguishes restarts under the same id; grows with each start.
    pub incarnation: Incarnation,
    /// The IP address for datagrams of its peers; the port is the same for all.
    pub address: IpAddr,
    /// The failure domain that it runs in.
    pub domain: FailureDomain,
    /// The capacity of its instance; daemons with more become hubs first.
    pub capacity: InstanceCapacity,
}

/// The lease on sending load commands to replicas, a row in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommandLease {
    /// The daemon that holds it.
    pub holder: MemberEntry,
    /// Fencing token: grows with every change of holder and is sent with each command.
    pub fencing_token: u64,
    /// The time of the last renewal on the store's clock.
    pub renewed_at: Duration,
}

/// The requests and prompt parts that are refused because they crash replicas, a row in the store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredSuspects {
    /// The time on the store's clock as of which the ages in the reports are.
    pub stated_at: Duration,
    /// What was known of each of them.
    pub reports: Vec<SuspectReport>,
}

/// How far a rollout is, as the platform is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RolloutState {
    /// The new release is on trial, or its traffic grows.
    Running,
    /// All traffic has moved: the platform stops the old replicas at once.
    Completed,
    /// The new release was found bad: the platform stops its replicas.
    RolledBack,
}

/// The state of a pool's rollout, a row in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutStatus {
    /// The release that the pool moves to.
    pub to: Box<str>,
    /// How far it is.
    pub state: RolloutState,
}

/// What the store holds of a pool's rollouts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StoredRollouts {
    /// The state of the last one that a daemon has taken up, with its row's revision; `None` if
    /// there is no row.
    pub status: Option<(RolloutStatus, Revision)>,
    /// What came of those before. Daemons of the version before neither read nor write it.
    pub history: ReleaseHistory,
}

/// The site's store. A call returns what the store held, or why it is not known.
pub trait Directory: Send + Sync + 'static {
    /// Reads the control state: configuration, weight versions and rollouts.
    fn read_control(
        &self,
    ) -> impl Future<Output = Result<Snapshot<ControlState>, StoreError>> + Send;

    /// Reads the list of replicas.
    fn read_targets(
        &self,
    ) -> impl Future<Output = Result<Snapshot<Vec<TargetEntry>>, StoreError>> + Send;

    /// Reads the announced daemons.
    fn read_members(
        &self,
    ) -> impl Future<Output = Result<Snapshot<Vec<MemberEntry>>, StoreError>> + Send;

    /// Adds a daemon to the announced ones.
    fn announce(&self, member: &MemberEntry)
    -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Reads the refused suspects with their row's revision; `None` if there is no row. A row that
    /// cannot be parsed names none.
    fn read_suspects(
        &self,
    ) -> impl Future<Output = Result<Snapshot<Option<(StoredSuspects, Revision)>>, StoreError>> + Send;

    /// Writes the refused suspects if their row still has the revision `expected`, or if there is
    /// no row and `expected` is `None`.
    fn write_suspects(
        &self,
        suspects: &StoredSuspects,
        expected: Option<Revision>,
    ) -> impl Future<Output = Result<CommitResult, StoreError>> + Send;

    /// Reads what the store holds of a pool's rollouts.
    fn read_rollouts(
        &self,
        pool: &PoolId,
    ) -> impl Future<Output = Result<Snapshot<StoredRollouts>, StoreError>> + Send;

    /// Writes the state of a pool's rollout and, unless it is empty, the history of those before, if
    /// the state's row still has the revision `expected`, or if there is no row and `expected` is
    /// `None`.
    fn write_rollout(
        &self,
        pool: &PoolId,
        status: &RolloutStatus,
        history: &ReleaseHistory,
        expected: Option<Revision>,
    ) -> impl Future<Output = Result<CommitResult, StoreError>> + Send;

    /// Reads the lease with its row's revision; `None` if there is no row.
    fn read_lease(
        &self,
    ) -> impl Future<Output = Result<Snapshot<Option<(CommandLease, Revision)>>, StoreError>> + Send;

    /// Writes the lease if its row still has the revision `expected`, or if there is no row and
    /// `expected` is `None`.
    fn write_lease(
        &self,
        lease: &CommandLease,
        expected: Option<Revision>,
    ) -> impl Future<Output = Result<CommitResult, StoreError>> + Send;
}

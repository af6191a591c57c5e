//! Interfaces of the platform: member list, transactional table, object store, weight store.

use std::future::Future;
use std::net::SocketAddr;

use bytes::Bytes;
use ids::{FailureDomain, Incarnation, InstanceId, Revision};
use serde::{Deserialize, Serialize};

/// Why a store call failed, and whether it may have taken effect.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The call did not take effect: nothing was sent, or the store refused it.
    #[error("the store is unavailable: {0}")]
    Unavailable(Box<str>),
    /// The call was sent and its answer is lost, or is a server error; it may have taken effect.
    #[error("the store's answer is lost: {0}")]
    AnswerLost(Box<str>),
    /// The store answered with data that cannot be parsed, or with a status that is neither success
    /// nor a server error; the error then holds the status.
    #[error("the store's answer is malformed: {0}")]
    Malformed(Box<str>),
}

/// A row of the table with the revision of its last write.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The key, unique in the table.
    pub key: Box<str>,
    /// The table's revision at the row's last write.
    pub revision: Revision,
    /// The stored text, in most rows JSON.
    pub value: Box<str>,
}

/// A precondition of a transaction on one row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowCondition {
    /// The key of the row that is checked.
    pub key: Box<str>,
    /// The revision that the row must have; `None` requires that the row does not exist.
    pub revision: Option<Revision>,
}

/// A write or deletion of one row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowChange {
    /// The key of the row that is written or deleted.
    pub key: Box<str>,
    /// The new text; `None` deletes the row.
    pub value: Option<Box<str>>,
}

/// Row changes that are applied atomically if all conditions hold.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// Preconditions; if one does not hold, nothing is changed.
    pub conditions: Vec<RowCondition>,
    /// The changes, applied together.
    pub changes: Vec<RowChange>,
}

impl Transaction {
    /// Requires that the row `key` has this revision, or does not exist if `None`.
    pub fn require(mut self, key: &str, revision: Option<Revision>) -> Transaction {
        self.conditions.push(RowCondition { key: key.into(), revision });
        self
    }

    /// Writes `value` to the row `key`.
    pub fn put(mut self, key: &str, value: String) -> Transaction {
        self.changes.push(RowChange { key: key.into(), value: Some(value.into()) });
        self
    }

    /// Deletes the row `key`.
    pub fn delete(mut self, key: &str) -> Transaction {
        self.changes.push(RowChange { key: key.into(), value: None });
        self
    }
}

/// The definite result of a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CommitResult {
    /// It took effect at this revision of the table.
    Done(Revision),
    /// A condition did not hold; nothing changed.
    Conflict,
}

/// The platform's table with conditional, atomic transactions.
pub trait TableStore: Send + Sync + 'static {
    /// Reads one row; `None` if it does not exist.
    fn read(&self, key: &str) -> impl Future<Output = Result<Option<Row>, StoreError>> + Send;

    /// Reads, in key order, up to `limit` rows whose key starts with `prefix` and sorts after
    /// `after`.
    fn scan(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> impl Future<Output = Result<Vec<Row>, StoreError>> + Send;

    /// Runs a transaction. After `AnswerLost` it may have taken effect; callers find out by
    /// reading back a value that only this transaction writes.
    fn commit(
        &self,
        txn: Transaction,
    ) -> impl Future<Output = Result<CommitResult, StoreError>> + Send;
}

/// The platform's store of whole objects by name.
pub trait ObjectStore: Send + Sync + 'static {
    /// Reads an object; `None` if it does not exist.
    fn get(&self, name: &str) -> impl Future<Output = Result<Option<Bytes>, StoreError>> + Send;

    /// Writes an object, replacing any earlier content.
    fn put(&self, name: &str, data: Bytes) -> impl Future<Output = Result<(), StoreError>> + Send;
}

/// The platform's store of model weights.
pub trait WeightStore: Send + Sync + 'static {
    /// Whether the store currently holds the weights of this name.
    fn has(&self, name: &str) -> impl Future<Output = Result<bool, StoreError>> + Send;
}

/// Whether an instance accepts new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// It runs and accepts new work.
    Live,
    /// It finishes its in-flight requests and accepts no new work.
    Leaving,
}

/// An entry of the platform's member list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The instance that announced itself.
    pub id: InstanceId,
    /// Its process; greater after each restart.
    pub incarnation: Incarnation,
    /// The address on which it accepts messages of its peers.
    pub peer_address: SocketAddr,
    /// The group of instances that are likely to fail together with it.
    pub failure_domain: FailureDomain,
    /// Whether it accepts new work.
    pub state: MemberState,
}

/// The platform's list of instances. It lags behind their starts and stops.
pub trait MemberList: Send + Sync + 'static {
    /// Reads all listed instances.
    fn members(&self) -> impl Future<Output = Result<Vec<Member>, StoreError>> + Send;

    /// Reports to the platform whether this instance is live or leaving, as `member.state` says.
    fn announce(&self, member: &Member) -> impl Future<Output = Result<(), StoreError>> + Send;
}

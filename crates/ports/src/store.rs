//! The platform's list, table, objects and weight store.

use std::future::Future;
use std::net::SocketAddr;

use bytes::Bytes;
use ids::{FailureDomain, Incarnation, InstanceId, Revision};
use serde::{Deserialize, Serialize};

/// Why a store did not answer as asked.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The call did not take effect: nothing was sent, or the store refused it.
    #[error("the store is unavailable: {0}")]
    Unavailable(Box<str>),
    /// The call was sent and its answer is lost; it may have taken effect.
    #[error("the store's answer is lost: {0}")]
    AnswerLost(Box<str>),
    /// The store's answer cannot be read.
    #[error("the store's answer is malformed: {0}")]
    Malformed(Box<str>),
}

/// One row of the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The row's key.
    pub key: Box<str>,
    /// The table's revision at which the row was last written.
    pub revision: Revision,
    /// The row's text.
    pub value: Box<str>,
}

/// What a transaction requires of one row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowCondition {
    /// The row's key.
    pub key: Box<str>,
    /// The revision the row must have; `None`: the row must not exist.
    pub revision: Option<Revision>,
}

/// What a transaction does to one row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowChange {
    /// The row's key.
    pub key: Box<str>,
    /// The new text; `None` deletes the row.
    pub value: Option<Box<str>>,
}

/// Conditions and changes that take effect together or not at all.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// All must hold.
    pub conditions: Vec<RowCondition>,
    /// All are done.
    pub changes: Vec<RowChange>,
}

impl Transaction {
    /// Adds a condition.
    pub fn require(mut self, key: &str, revision: Option<Revision>) -> Transaction {
        self.conditions.push(RowCondition { key: key.into(), revision });
        self
    }

    /// Adds a write.
    pub fn put(mut self, key: &str, value: String) -> Transaction {
        self.changes.push(RowChange { key: key.into(), value: Some(value.into()) });
        self
    }

    /// Adds a deletion.
    pub fn delete(mut self, key: &str) -> Transaction {
        self.changes.push(RowChange { key: key.into(), value: None });
        self
    }
}

/// How a transaction ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CommitResult {
    /// It took effect at this revision.
    Done(Revision),
    /// A condition did not hold; nothing changed.
    Conflict,
}

/// The transactional table service.
pub trait TableStore: Send + Sync + 'static {
    /// Reads one row.
    fn read(&self, key: &str) -> impl Future<Output = Result<Option<Row>, StoreError>> + Send;

    /// Reads up to `limit` rows whose key starts with `prefix` and sorts after `after`.
    fn scan(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> impl Future<Output = Result<Vec<Row>, StoreError>> + Send;

    /// Runs a transaction. `AnswerLost` means it may have taken effect: callers settle that by
    /// reading back a value that only this transaction writes.
    fn commit(
        &self,
        txn: Transaction,
    ) -> impl Future<Output = Result<CommitResult, StoreError>> + Send;
}

/// The object store.
pub trait ObjectStore: Send + Sync + 'static {
    /// Reads an object.
    fn get(&self, name: &str) -> impl Future<Output = Result<Option<Bytes>, StoreError>> + Send;

    /// Writes an object whole.
    fn put(&self, name: &str, data: Bytes) -> impl Future<Output = Result<(), StoreError>> + Send;
}

/// The weight store.
pub trait WeightStore: Send + Sync + 'static {
    /// Whether the store holds these weights now.
    fn has(&self, name: &str) -> impl Future<Output = Result<bool, StoreError>> + Send;
}

/// Whether an instance may get work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// It runs.
    Live,
    /// It finishes what it has.
    Leaving,
}

/// One instance in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The instance.
    pub id: InstanceId,
    /// Its life, greater after a restart.
    pub incarnation: Incarnation,
    /// Where its peers reach it.
    pub peer_address: SocketAddr,
    /// Where it fails together with others.
    pub failure_domain: FailureDomain,
    /// Whether it may get work.
    pub state: MemberState,
}

/// The platform's lagging list of instances.
pub trait MemberList: Send + Sync + 'static {
    /// All listed instances.
    fn members(&self) -> impl Future<Output = Result<Vec<Member>, StoreError>> + Send;

    /// Tells the platform that this instance runs or leaves.
    fn announce(&self, member: &Member) -> impl Future<Output = Result<(), StoreError>> + Send;
}

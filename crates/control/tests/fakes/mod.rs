//! An in-memory table and object store with injected faults, and a clock set by the test.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use ids::Revision;
use ports::{Clock, CommitResult, ObjectStore, Row, StoreError, TableStore, Transaction};

#[derive(Debug, Clone, Default)]
pub struct FakeClock(Arc<AtomicU64>);

impl FakeClock {
    pub fn advance(&self, time: Duration) {
        self.0.fetch_add(time.as_micros() as u64, Ordering::Relaxed);
    }
}

impl Clock for FakeClock {
    fn now(&self) -> Duration {
        Duration::from_micros(self.0.load(Ordering::Relaxed))
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum StoreFault {
    #[default]
    Healthy,
    /// Every call is refused.
    Down,
    /// Writes take effect, but their answers are lost.
    LoseAnswers,
    /// Writes are lost before they take effect; the caller sees the same error as for a lost
    /// answer.
    LoseWrites,
    /// Reads return the rows from before the last write.
    StaleReads,
}

#[derive(Debug, Default)]
struct SharedState {
    rows: BTreeMap<Box<str>, Row>,
    previous_rows: BTreeMap<Box<str>, Row>,
    revision: u64,
    objects: BTreeMap<String, Bytes>,
    writes: u64,
}

/// One instance's client of the shared store, with its own fault.
#[derive(Debug, Clone, Default)]
pub struct FakeStore {
    shared: Arc<Mutex<SharedState>>,
    fault: Arc<Mutex<StoreFault>>,
}

impl FakeStore {
    /// Creates another instance's client of the same store, without a fault.
    pub fn new_client(&self) -> FakeStore {
        FakeStore { shared: self.shared.clone(), fault: Arc::default() }
    }

    pub fn set_fault(&self, fault: StoreFault) {
        *self.fault.lock().unwrap() = fault;
    }

    pub fn writes(&self) -> u64 {
        self.lock().writes
    }

    pub fn value(&self, key: &str) -> Option<Box<str>> {
        self.lock().rows.get(key).map(|it| it.value.clone())
    }

    fn fault(&self) -> StoreFault {
        *self.fault.lock().unwrap()
    }

    fn lock(&self) -> MutexGuard<'_, SharedState> {
        self.shared.lock().unwrap()
    }

    fn rows(&self) -> Result<BTreeMap<Box<str>, Row>, StoreError> {
        let shared = self.lock();
        match self.fault() {
            StoreFault::Down => Err(StoreError::Unavailable("down".into())),
            StoreFault::StaleReads => Ok(shared.previous_rows.clone()),
            _ => Ok(shared.rows.clone()),
        }
    }
}

impl TableStore for FakeStore {
    async fn read(&self, key: &str) -> Result<Option<Row>, StoreError> {
        Ok(self.rows()?.get(key).cloned())
    }

    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, StoreError> {
        let rows = self.rows()?;
        let found = rows.values().filter(|it| it.key.starts_with(prefix) && &*it.key > after);
        Ok(found.take(limit).cloned().collect())
    }

    async fn commit(&self, txn: Transaction) -> Result<CommitResult, StoreError> {
        let fault = self.fault();
        match fault {
            StoreFault::Down => return Err(StoreError::Unavailable("down".into())),
            StoreFault::LoseWrites => return Err(StoreError::AnswerLost("lost".into())),
            _ => {}
        }
        let mut shared = self.lock();
        shared.writes += 1;
        let holds = txn
            .conditions
            .iter()
            .all(|it| shared.rows.get(&it.key).map(|row| row.revision) == it.revision);
        let commit = if holds {
            shared.revision += 1;
            let revision = Revision(shared.revision);
            shared.previous_rows = shared.rows.clone();
            for change in txn.changes {
                match change.value {
                    Some(value) => {
                        let row = Row { key: change.key.clone(), revision, value };
                        shared.rows.insert(change.key, row);
                    }
                    None => {
                        shared.rows.remove(&change.key);
                    }
                }
            }
            CommitResult::Done(revision)
        } else {
            CommitResult::Conflict
        };
        if fault == StoreFault::LoseAnswers {
            return Err(StoreError::AnswerLost("lost".into()));
        }
        Ok(commit)
    }
}

impl ObjectStore for FakeStore {
    async fn get(&self, name: &str) -> Result<Option<Bytes>, StoreError> {
        if self.fault() == StoreFault::Down {
            return Err(StoreError::Unavailable("down".into()));
        }
        Ok(self.lock().objects.get(name).cloned())
    }

    async fn put(&self, name: &str, data: Bytes) -> Result<(), StoreError> {
        if self.fault() == StoreFault::Down {
            return Err(StoreError::Unavailable("down".into()));
        }
        self.lock().objects.insert(name.into(), data);
        Ok(())
    }
}

//! A lease stored in one table row, with a fencing number.
//!
//! Clocks of different hosts are not synchronized. The holder counts the lease on its own clock
//! from before it sent the write; others count from when they first saw the row unchanged, and
//! wait a margin longer. Each acquisition raises the fencing number; renewals keep it.

use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use ids::{Incarnation, InstanceId, Revision};
use ports::{Clock, CommitResult, StoreError, TableStore, Transaction};
use serde::{Deserialize, Serialize};

/// How long a lease lasts without renewal.
pub const LEASE_DURATION: Duration = Duration::from_secs(6);
/// How often the holder renews its lease.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(2);
/// How much longer than the lease others wait before they acquire it, because clocks may run at
/// different speeds.
const CLOCK_DRIFT_MARGIN: Duration = Duration::from_secs(1);

/// The content of the lease's row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct LeaseRow {
    holder: InstanceId,
    incarnation: Incarnation,
    fencing: u64,
    renewals: u64,
    /// Text that the holder hands on to its successor.
    note: Box<str>,
}

#[derive(Debug, Default)]
struct LeaseState {
    row: Option<(LeaseRow, Revision)>,
    /// When `row` was first seen at its revision.
    unchanged_since: Duration,
    held: Option<HeldLease>,
}

/// The terms of a lease held by this daemon. Times are those of its clock.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldLease {
    /// The fencing number, greater than that of every earlier holder.
    pub fencing: u64,
    /// When it was acquired.
    pub since: Duration,
    /// When it expires unless it is renewed.
    pub until: Duration,
    /// The text that the previous holder left, empty if there was none.
    pub note: Box<str>,
}

/// Acquires and renews one lease for a daemon.
#[derive(Debug)]
pub struct LeaseClient<T, C> {
    store: T,
    clock: C,
    key: Box<str>,
    own: InstanceId,
    incarnation: Incarnation,
    state: Mutex<LeaseState>,
}

impl<T: TableStore, C: Clock> LeaseClient<T, C> {
    /// Creates a client for the lease in the row `key`, without acquiring it.
    pub fn new(
        store: T,
        clock: C,
        key: &str,
        own: InstanceId,
        incarnation: Incarnation,
    ) -> LeaseClient<T, C> {
        LeaseClient { store, clock, key: key.into(), own, incarnation, state: Mutex::default() }
    }

    /// The lease, if it is held now. Check it again right before each action that it protects.
    pub fn held(&self) -> Option<HeldLease> {
        let now = self.clock.now();
        self.lock().held.clone().filter(|it| now < it.until)
    }

    /// Renews the lease if it is held and due, or acquires it if it has expired. `note` is stored
    /// for the successor.
    pub async fn acquire_or_renew(&self, note: &str) -> Result<Option<HeldLease>, StoreError> {
        let asked_at = self.clock.now();
        if let Some(held) = self.held() {
            if asked_at + LEASE_DURATION < held.until + RENEW_INTERVAL {
                return Ok(Some(held));
            }
            return self.renew(asked_at, held, note).await;
        }
        self.read(asked_at).await?;
        let (row, unchanged_since) = {
            let state = self.lock();
            (state.row.clone(), state.unchanged_since)
        };
        let Some((row, revision)) = row else { return self.acquire(asked_at, None, None).await };
        // The holder was an earlier process of this instance, which has ended since this one runs.
        let predecessor = row.holder == self.own && row.incarnation < self.incarnation;
        if !predecessor
            && asked_at.saturating_sub(unchanged_since) < LEASE_DURATION + CLOCK_DRIFT_MARGIN
        {
            return Ok(None);
        }
        self.acquire(asked_at, Some(row), Some(revision)).await
    }

    async fn renew(
        &self,
        asked_at: Duration,
        held: HeldLease,
        note: &str,
    ) -> Result<Option<HeldLease>, StoreError> {
        let Some((row, revision)) = self.lock().row.clone() else { return Ok(None) };
        let next = LeaseRow { renewals: row.renewals + 1, note: note.into(), ..row };
        let until = asked_at + LEASE_DURATION;
        self.write(next, Some(revision), HeldLease { until, ..held }).await
    }

    async fn acquire(
        &self,
        asked_at: Duration,
        previous: Option<LeaseRow>,
        revision: Option<Revision>,
    ) -> Result<Option<HeldLease>, StoreError> {
        let next = LeaseRow {
            holder: self.own.clone(),
            incarnation: self.incarnation,
            fencing: previous.as_ref().map_or(1, |it| it.fencing + 1),
            renewals: 0,
            note: previous.map_or("".into(), |it| it.note),
        };
        let held = HeldLease {
            fencing: next.fencing,
            since: asked_at,
            until: asked_at + LEASE_DURATION,
            note: next.note.clone(),
        };
        self.write(next, revision, held).await
    }

    async fn write(
        &self,
        next: LeaseRow,
        revision: Option<Revision>,
        held: HeldLease,
    ) -> Result<Option<HeldLease>, StoreError> {
        let text = serde_json::to_string(&next).unwrap_or_default();
        let txn = Transaction::default().require(&self.key, revision).put(&self.key, text);
        let written = match self.store.commit(txn).await {
            Ok(CommitResult::Done(revision)) => Some(revision),
            Ok(CommitResult::Conflict) => None,
            // The answer may be lost: the row shows whether the write took effect.
            Err(_) => {
                let found = self.store.read(&self.key).await?;
                let is_written = |it: &ports::Row| parse(&it.value).as_ref() == Some(&next);
                found.filter(is_written).map(|it| it.revision)
            }
        };
        let mut state = self.lock();
        match written {
            Some(revision) => {
                state.row = Some((next, revision));
                state.held = Some(held.clone());
                Ok(Some(held))
            }
            None => {
                state.held = None;
                Ok(None)
            }
        }
    }

    async fn read(&self, asked_at: Duration) -> Result<(), StoreError> {
        let found = self.store.read(&self.key).await?;
        let found = found.and_then(|it| Some((parse(&it.value)?, it.revision)));
        let mut state = self.lock();
        let known = state.row.as_ref().map(|it| it.1);
        if found.as_ref().map(|it| it.1) > known {
            state.row = found;
            state.unchanged_since = asked_at;
        }
        Ok(())
    }

    fn lock(&self) -> MutexGuard<'_, LeaseState> {
        self.state.lock().unwrap_or_else(|it| it.into_inner())
    }
}

fn parse(text: &str) -> Option<LeaseRow> {
    serde_json::from_str(text).ok()
}

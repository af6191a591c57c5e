//! A lease on one row, with a fencing number.
//!
//! Clocks are not synchronized. A holder counts its lease from before it asked, on its own clock;
//! a taker counts from when it first saw the row unchanged, and waits a margin longer. Each
//! taking raises the fencing number.

use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use ids::{Incarnation, InstanceId, Revision};
use ports::{Clock, CommitResult, StoreError, TableStore, Transaction};
use serde::{Deserialize, Serialize};

/// How long a lease lasts without renewal.
pub const LEASE_DURATION: Duration = Duration::from_secs(6);
/// How often a holder renews.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(2);
/// What a taker waits longer than the lease: for clocks that run at other speeds.
const DRIFT_MARGIN: Duration = Duration::from_secs(1);

/// The row of a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct LeaseRow {
    holder: InstanceId,
    incarnation: Incarnation,
    fencing: u64,
    renewals: u64,
    /// What the holder leaves for its successor.
    note: Box<str>,
}

#[derive(Debug, Default)]
struct LeaseState {
    row: Option<(LeaseRow, Revision)>,
    seen_at: Duration,
    held: Option<HeldLease>,
}

/// A lease that is held.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldLease {
    /// Greater than that of every holder before.
    pub fencing: u64,
    /// When it was taken.
    pub since: Duration,
    /// When it ends unless it is renewed.
    pub until: Duration,
    /// What the holder before left.
    pub note: Box<str>,
}

/// One daemon's view of a lease.
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
    /// A lease on the row `key`, not held.
    pub fn new(
        store: T,
        clock: C,
        key: &str,
        own: InstanceId,
        incarnation: Incarnation,
    ) -> LeaseClient<T, C> {
        LeaseClient { store, clock, key: key.into(), own, incarnation, state: Mutex::default() }
    }

    /// The lease, if it is held now. To be asked again at the moment of acting.
    pub fn held(&self) -> Option<HeldLease> {
        let now = self.clock.now();
        self.lock().held.clone().filter(|it| now < it.until)
    }

    /// Renews a lease that is held, or takes one that has run out. `note` is left for a
    /// successor.
    pub async fn acquire_or_renew(&self, note: &str) -> Result<Option<HeldLease>, StoreError> {
        let asked_at = self.clock.now();
        if let Some(held) = self.held() {
            if asked_at + LEASE_DURATION < held.until + RENEW_INTERVAL {
                return Ok(Some(held));
            }
            return self.renew(asked_at, held, note).await;
        }
        self.read(asked_at).await?;
        let (row, seen_at) = {
            let state = self.lock();
            (state.row.clone(), state.seen_at)
        };
        let Some((row, revision)) = row else { return self.take(asked_at, None, None).await };
        // The same place: this process is the proof that the life before it ended.
        let own = row.holder == self.own && row.incarnation < self.incarnation;
        if !own && asked_at.saturating_sub(seen_at) < LEASE_DURATION + DRIFT_MARGIN {
            return Ok(None);
        }
        self.take(asked_at, Some(row), Some(revision)).await
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

    async fn take(
        &self,
        asked_at: Duration,
        before: Option<LeaseRow>,
        revision: Option<Revision>,
    ) -> Result<Option<HeldLease>, StoreError> {
        let next = LeaseRow {
            holder: self.own.clone(),
            incarnation: self.incarnation,
            fencing: before.as_ref().map_or(1, |it| it.fencing + 1),
            renewals: 0,
            note: before.map_or("".into(), |it| it.note),
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
            // The answer is lost: the row says whether it took effect.
            Err(_) => {
                let found = self.store.read(&self.key).await?;
                let own = |it: &ports::Row| parse(&it.value).as_ref() == Some(&next);
                found.filter(own).map(|it| it.revision)
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
        let old = state.row.as_ref().map(|it| it.1);
        if found.as_ref().map(|it| it.1) > old {
            state.row = found;
            state.seen_at = asked_at;
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

//! The daemon's copy of the catalog and its replication through the platform.
//!
//! A change is accepted by compare-and-swap on one head row. Daemons read the changes after their
//! own revision; the copy never goes back to an older revision.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use catalog::{CatalogState, ChangeError, ChangeSet};
use ids::Revision;
use ports::{CommitResult, ObjectStore, Row, StoreError, TableStore, Transaction};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

/// The key of the row with the newest revision.
const HEAD_KEY: &str = "catalog/head";
// FIXME: rows of changes and of change ids are never removed; at 11,000 changes a day the table
// grows by about 5 MB a day.
/// Key prefix of the rows that hold accepted changes.
const CHANGE_PREFIX: &str = "catalog/change/";
/// The name of the object that holds a snapshot of the whole catalog.
const SNAPSHOT_NAME: &str = "catalog-latest";
/// A snapshot is written at revision 1 and at every multiple of this.
const SNAPSHOT_INTERVAL: u64 = 32;
/// Changes read in one scan.
const SCAN_ROWS: usize = 500;
/// Attempts to commit one submission before it fails.
const MAX_SUBMIT_ATTEMPTS: u32 = 40;
/// The longest pause between two attempts.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// The content of the head row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogHead {
    /// The newest revision.
    pub revision: Revision,
    /// The id of the change that led to this revision.
    pub change_id: Box<str>,
}

/// The content of a change's row and of its object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct ChangeRecord {
    revision: Revision,
    change_id: Box<str>,
    change: ChangeSet,
}

/// Why a change was not accepted.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SubmitError {
    /// The change is not valid for the current catalog.
    #[error("{0}")]
    Invalid(#[from] ChangeError),
    /// The catalog is no longer at the revision that the operator expected.
    #[error("not accepted: the catalog is at revision {0}, not at the expected one")]
    StaleRevision(Revision),
    /// The change was not accepted: the table is unavailable, or other changes were committed
    /// first in every attempt.
    #[error("not accepted: {0}")]
    Unavailable(Box<str>),
    /// The change may have been accepted; sending it again under the same id is safe.
    #[error("not known whether the change was accepted, send it again under the same id: {0}")]
    OutcomeUnknown(Box<str>),
}

/// The key of the row of the change that led to `revision`; keys sort by revision.
pub fn change_key(revision: Revision) -> String {
    format!("{CHANGE_PREFIX}{:020}", revision.0)
}

/// One daemon's catalog, read from and submitted to the platform.
#[derive(Debug)]
pub struct CatalogStore<P> {
    platform: P,
    state: watch::Sender<Option<Arc<CatalogState>>>,
}

impl<P: TableStore + ObjectStore> CatalogStore<P> {
    /// Creates a store without a catalog; `refresh` or `load_from_objects` fills it.
    pub fn new(platform: P) -> CatalogStore<P> {
        CatalogStore { platform, state: watch::Sender::new(None) }
    }

    /// The catalog; `None` until one was read.
    pub fn current(&self) -> Option<Arc<CatalogState>> {
        self.state.borrow().clone()
    }

    /// The revision of the catalog; 0 until one was read.
    pub fn revision(&self) -> Revision {
        self.state.borrow().as_ref().map_or(Revision(0), |it| it.revision)
    }

    /// Returns a receiver that is notified of every newer catalog.
    pub fn subscribe(&self) -> watch::Receiver<Option<Arc<CatalogState>>> {
        self.state.subscribe()
    }

    /// Notifies all subscribers although the catalog is the same, so that they check again whether
    /// a key is blocked.
    pub fn wake_watchers(&self) {
        self.state.send_modify(|_| {});
    }

    /// Replaces the catalog if `next` is newer; returns whether it was.
    pub fn replace_if_newer(&self, next: CatalogState) -> bool {
        self.state.send_if_modified(|it| {
            let newer = it.as_ref().is_none_or(|old| old.revision < next.revision);
            if newer {
                *it = Some(Arc::new(next));
            }
            newer
        })
    }

    /// Applies the change if it leads to the next revision; returns whether it was applied.
    pub fn apply_next_change(&self, revision: Revision, change: &ChangeSet) -> bool {
        let Some(old) = self.current() else { return false };
        if revision.0 != old.revision.0 + 1 {
            return false;
        }
        match old.with_changes(change, revision) {
            Ok(next) => self.replace_if_newer(next),
            Err(_) => false,
        }
    }

    /// Reads the head row and all changes that are missing here. Returns the revision reached.
    pub async fn refresh(&self) -> Result<Revision, StoreError> {
        let head = self.read_head().await?.map(|(it, _)| it);
        let Some(head) = head else {
            // The table is empty: this is the first daemon of a new fleet.
            self.replace_if_newer(CatalogState::default());
            return Ok(self.revision());
        };
        if self.state.borrow().is_none() {
            self.load_from_objects().await;
            if self.state.borrow().is_none() {
                self.replace_if_newer(CatalogState::default());
            }
        }
        while self.revision() < head.revision {
            let before = self.revision();
            let after = change_key(before);
            for row in self.platform.scan(CHANGE_PREFIX, &after, SCAN_ROWS).await? {
                let record: ChangeRecord = decode(&row)?;
                self.apply_next_change(record.revision, &record.change);
            }
            if self.revision() == before {
                return Err(StoreError::Malformed(
                    format!(
                        "the table's head is newer, but it has no change after revision {before}"
                    )
                    .into(),
                ));
            }
        }
        Ok(self.revision())
    }

    /// Reads the newest catalog from the object store, for a start while the table is down.
    /// Returns whether it was newer than the current one.
    pub async fn load_from_objects(&self) -> bool {
        let Ok(Some(data)) = self.platform.get(SNAPSHOT_NAME).await else { return false };
        let Ok(state) = serde_json::from_slice::<CatalogState>(&data) else { return false };
        let mut replaced = self.replace_if_newer(state);
        loop {
            let next = Revision(self.revision().0 + 1);
            let Ok(Some(data)) = self.platform.get(&change_object_name(next)).await else {
                return replaced;
            };
            let Ok(record) = serde_json::from_slice::<ChangeRecord>(&data) else {
                return replaced;
            };
            if !self.apply_next_change(record.revision, &record.change) {
                return replaced;
            }
            replaced = true;
        }
    }

    /// Submits a change under its unique id. With `expected` it is refused if the catalog is at
    /// another revision. The change is accepted once the transaction on the head row took effect.
    pub async fn submit(
        &self,
        change: &ChangeSet,
        change_id: &str,
        expected: Option<Revision>,
    ) -> Result<Revision, SubmitError> {
        // The error of a commit that may have taken effect, as its answer was lost.
        let mut lost = None;
        for attempt in 0..MAX_SUBMIT_ATTEMPTS {
            if attempt > 0 {
                // A random pause keeps concurrent submitters from colliding again.
                let pause = MAX_RETRY_PAUSE.min(Duration::from_millis(2) * attempt);
                tokio::time::sleep(pause.mul_f64(rand::random())).await;
            }
            if let Some(revision) = self.find_accepted(change_id).await {
                return Ok(revision);
            }
            let head = match self.read_head().await {
                Ok(it) => it,
                Err(error) => return Err(submit_error(&error, lost)),
            };
            if let Err(error) = self.refresh().await {
                return Err(submit_error(&error, lost));
            }
            let row_revision = head.as_ref().map(|(_, row)| row.revision);
            let head_revision = head.map_or(Revision(0), |(it, _)| it.revision);
            if self.revision() != head_revision {
                continue;
            }
            if expected.is_some_and(|it| it != head_revision) {
                return Err(SubmitError::StaleRevision(head_revision));
            }
            let old = self.current().unwrap_or_default();
            let next = old.with_changes(change, Revision(head_revision.0 + 1))?;
            match self
                .platform
                .commit(build_transaction(&next, change, change_id, row_revision))
                .await
            {
                Ok(CommitResult::Done(_)) => {
                    let revision = next.revision;
                    self.write_objects(&next, change, change_id).await;
                    self.replace_if_newer(next);
                    return Ok(revision);
                }
                Ok(CommitResult::Conflict) => {}
                Err(error @ StoreError::Unavailable(_)) => return Err(submit_error(&error, lost)),
                Err(error) => lost = Some(error),
            }
        }
        match lost {
            Some(error) => Err(SubmitError::OutcomeUnknown(error.to_string().into())),
            None => Err(SubmitError::Unavailable(
                "other changes were committed first in every attempt".into(),
            )),
        }
    }

    /// The revision at which a change of this id was accepted, by any daemon.
    async fn find_accepted(&self, change_id: &str) -> Option<Revision> {
        let row = self.platform.read(&change_id_key(change_id)).await.ok()??;
        // Catch up, so that this daemon does not go on with a catalog older than the change.
        let _ = self.refresh().await;
        row.value.parse().ok()
    }

    async fn read_head(&self) -> Result<Option<(CatalogHead, Row)>, StoreError> {
        match self.platform.read(HEAD_KEY).await? {
            None => Ok(None),
            Some(row) => Ok(Some((decode(&row)?, row))),
        }
    }

    async fn write_objects(&self, next: &CatalogState, change: &ChangeSet, change_id: &str) {
        let record = ChangeRecord {
            revision: next.revision,
            change_id: change_id.into(),
            change: change.clone(),
        };
        let mut writes = vec![(change_object_name(next.revision), encode(&record))];
        if next.revision.0.is_multiple_of(SNAPSHOT_INTERVAL) || next.revision.0 == 1 {
            writes.push((SNAPSHOT_NAME.into(), encode(next)));
        }
        for (name, data) in writes {
            if let Err(error) = self.platform.put(&name, data).await {
                tracing::warn!(
                    "catalog: object {name} not written; a daemon that starts while the table is \
                     down may load an older catalog: {error}"
                );
            }
        }
    }
}

fn build_transaction(
    next: &CatalogState,
    change: &ChangeSet,
    change_id: &str,
    row_revision: Option<Revision>,
) -> Transaction {
    let head = CatalogHead { revision: next.revision, change_id: change_id.into() };
    let record = ChangeRecord {
        revision: next.revision,
        change_id: change_id.into(),
        change: change.clone(),
    };
    let text = |it: Bytes| String::from_utf8_lossy(&it).into_owned();
    Transaction::default()
        .require(HEAD_KEY, row_revision)
        .require(&change_id_key(change_id), None)
        .put(&change_id_key(change_id), next.revision.to_string())
        .put(HEAD_KEY, text(encode(&head)))
        .put(&change_key(next.revision), text(encode(&record)))
}

/// The error of a submission that ends with `error`, after the commit error `lost` of an earlier
/// attempt that may have taken effect.
fn submit_error(error: &StoreError, lost: Option<StoreError>) -> SubmitError {
    match lost {
        Some(it) => SubmitError::OutcomeUnknown(it.to_string().into()),
        None => SubmitError::Unavailable(error.to_string().into()),
    }
}

fn change_id_key(change_id: &str) -> String {
    format!("catalog/id/{change_id}")
}

fn change_object_name(revision: Revision) -> String {
    format!("catalog-change-{revision}")
}

fn encode(value: &impl Serialize) -> Bytes {
    serde_json::to_vec(value).unwrap_or_default().into()
}

fn decode<T: serde::de::DeserializeOwned>(row: &Row) -> Result<T, StoreError> {
    serde_json::from_str(&row.value)
        .map_err(|error| StoreError::Malformed(error.to_string().into()))
}

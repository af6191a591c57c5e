//! The catalog: accepted by compare-and-swap on one head row, read by deltas, only ever newer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use catalog::{CatalogState, ChangeError, ChangeSet};
use ids::Revision;
use ports::{CommitResult, ObjectStore, Row, StoreError, TableStore, Transaction};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

/// The row that names the newest revision.
const HEAD_KEY: &str = "catalog/head";
/// Rows of changes start with this.
const CHANGE_PREFIX: &str = "catalog/change/";
// FIXME: rows of changes and of their ids are never removed; at 11,000 changes a day the table
// gains about 5 MB a day.
/// The object that holds a whole catalog.
const SNAPSHOT_NAME: &str = "catalog-latest";
/// A snapshot object is written when the revision is a multiple of this.
const SNAPSHOT_EVERY: u64 = 32;
/// Changes read at once.
const SCAN_LIMIT: usize = 500;
/// Tries of one submission.
const SUBMIT_TRIES: u32 = 40;
/// The longest pause between two of them.
const LONGEST_PAUSE: Duration = Duration::from_millis(100);

/// The head row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogHead {
    /// The newest revision.
    pub revision: Revision,
    /// The change that made it.
    pub change_id: Box<str>,
}

/// The row or object of one change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct ChangeRecord {
    revision: Revision,
    change_id: Box<str>,
    change: ChangeSet,
}

/// Why a change was not accepted.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SubmitError {
    /// It does not fit the catalog.
    #[error("{0}")]
    Invalid(#[from] ChangeError),
    /// The catalog has moved on since the revision the operator looked at.
    #[error("the catalog is at revision {0} by now")]
    StaleRevision(Revision),
    /// It was not accepted: the table is unavailable.
    #[error("not accepted, the table is unavailable: {0}")]
    Unavailable(Box<str>),
    /// Whether it was accepted is not known yet; sending it again with the same id is safe.
    #[error("not known whether it was accepted: {0}")]
    OutcomeUnknown(Box<str>),
}

/// The key of a change's row; keys sort by revision.
pub fn change_key(revision: Revision) -> String {
    format!("{CHANGE_PREFIX}{:020}", revision.0)
}

/// One daemon's catalog and its way to the platform.
#[derive(Debug)]
pub struct CatalogStore<P> {
    platform: P,
    state: watch::Sender<Option<Arc<CatalogState>>>,
}

impl<P: TableStore + ObjectStore> CatalogStore<P> {
    /// A store that has read nothing yet.
    pub fn new(platform: P) -> CatalogStore<P> {
        CatalogStore { platform, state: watch::Sender::new(None) }
    }

    /// The catalog; `None` before the first reading.
    pub fn current(&self) -> Option<Arc<CatalogState>> {
        self.state.borrow().clone()
    }

    /// The revision of the catalog; 0 before the first reading.
    pub fn revision(&self) -> Revision {
        self.state.borrow().as_ref().map_or(Revision(0), |it| it.revision)
    }

    /// Tells of every newer catalog.
    pub fn subscribe(&self) -> watch::Receiver<Option<Arc<CatalogState>>> {
        self.state.subscribe()
    }

    /// Wakes everyone that watches, without a newer catalog.
    pub fn wake_watchers(&self) {
        self.state.send_modify(|_| {});
    }

    /// Takes a whole catalog if it is newer; true if it was.
    pub fn replace_if_newer(&self, next: CatalogState) -> bool {
        self.state.send_if_modified(|it| {
            let newer = it.as_ref().is_none_or(|old| old.revision < next.revision);
            if newer {
                *it = Some(Arc::new(next));
            }
            newer
        })
    }

    /// Takes the change that follows the catalog; true if it did.
    pub fn apply_next_change(&self, revision: Revision, change: &ChangeSet) -> bool {
        let Some(old) = self.current() else { return false };
        if revision.0 != old.revision.0 + 1 {
            return false;
        }
        match old.changed(change, revision) {
            Ok(next) => self.replace_if_newer(next),
            Err(_) => false,
        }
    }

    /// Reads the head row and what is newer. Returns the revision reached.
    pub async fn refresh(&self) -> Result<Revision, StoreError> {
        let head = self.read_head().await?.map(|(it, _)| it);
        let Some(head) = head else {
            // An empty table: the first daemon of a new fleet.
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
            for row in self.platform.scan(CHANGE_PREFIX, &after, SCAN_LIMIT).await? {
                let record: ChangeRecord = decode(&row)?;
                self.apply_next_change(record.revision, &record.change);
            }
            if self.revision() == before {
                return Err(StoreError::Malformed(
                    format!("no change after revision {before} in the table").into(),
                ));
            }
        }
        Ok(self.revision())
    }

    /// Reads the newest catalog of the object store, for a start while the table is down.
    pub async fn load_from_objects(&self) -> bool {
        let Ok(Some(data)) = self.platform.get(SNAPSHOT_NAME).await else { return false };
        let Ok(state) = serde_json::from_slice::<CatalogState>(&data) else { return false };
        let mut adopted = self.replace_if_newer(state);
        loop {
            let next = Revision(self.revision().0 + 1);
            let Ok(Some(data)) = self.platform.get(&change_object(next)).await else {
                return adopted;
            };
            let Ok(record) = serde_json::from_slice::<ChangeRecord>(&data) else {
                return adopted;
            };
            if !self.apply_next_change(record.revision, &record.change) {
                return adopted;
            }
            adopted = true;
        }
    }

    /// Submits a change under an id unique to it. `expected`: refuse if the catalog is not at
    /// this revision. Accepted means that the transaction on the head row took effect.
    pub async fn submit(
        &self,
        change: &ChangeSet,
        change_id: &str,
        expected: Option<Revision>,
    ) -> Result<Revision, SubmitError> {
        let mut unsure = None;
        for tried in 0..SUBMIT_TRIES {
            if tried > 0 {
                // Racing operators fall out of step.
                let pause = LONGEST_PAUSE.min(Duration::from_millis(2) * tried);
                tokio::time::sleep(pause.mul_f64(rand::random())).await;
            }
            if let Some(revision) = self.accepted_before(change_id).await {
                return Ok(revision);
            }
            let head = match self.read_head().await {
                Ok(it) => it,
                Err(error) => return Err(not_read(&error, unsure)),
            };
            if let Err(error) = self.refresh().await {
                return Err(not_read(&error, unsure));
            }
            let row = head.as_ref().map(|(_, row)| row.revision);
            let at = head.map_or(Revision(0), |(it, _)| it.revision);
            if self.revision() != at {
                continue;
            }
            if expected.is_some_and(|it| it != at) {
                return Err(SubmitError::StaleRevision(at));
            }
            let old = self.current().unwrap_or_default();
            let next = old.changed(change, Revision(at.0 + 1))?;
            match self.platform.commit(head_transaction(&next, change, change_id, row)).await {
                Ok(CommitResult::Done(_)) => {
                    let revision = next.revision;
                    self.keep_objects(&next, change, change_id).await;
                    self.replace_if_newer(next);
                    return Ok(revision);
                }
                Ok(CommitResult::Conflict) => {}
                Err(error @ StoreError::Unavailable(_)) => return Err(not_read(&error, unsure)),
                Err(error) => unsure = Some(error),
            }
        }
        match unsure {
            Some(error) => Err(SubmitError::OutcomeUnknown(error.to_string().into())),
            None => Err(SubmitError::Unavailable("too many other changes".into())),
        }
    }

    /// The revision at which a change of this id was accepted, whoever it was sent through.
    async fn accepted_before(&self, change_id: &str) -> Option<Revision> {
        let row = self.platform.read(&id_key(change_id)).await.ok()??;
        // Its own daemon must not answer from an older catalog.
        let _ = self.refresh().await;
        row.value.parse().ok()
    }

    async fn read_head(&self) -> Result<Option<(CatalogHead, Row)>, StoreError> {
        match self.platform.read(HEAD_KEY).await? {
            None => Ok(None),
            Some(row) => Ok(Some((decode(&row)?, row))),
        }
    }

    async fn keep_objects(&self, next: &CatalogState, change: &ChangeSet, change_id: &str) {
        let record = ChangeRecord {
            revision: next.revision,
            change_id: change_id.into(),
            change: change.clone(),
        };
        let mut writes = vec![(change_object(next.revision), encode(&record))];
        if next.revision.0.is_multiple_of(SNAPSHOT_EVERY) || next.revision.0 == 1 {
            writes.push((SNAPSHOT_NAME.into(), encode(next)));
        }
        for (name, data) in writes {
            if let Err(error) = self.platform.put(&name, data).await {
                tracing::warn!("catalog: object {name} not written: {error}");
            }
        }
    }
}

fn head_transaction(
    next: &CatalogState,
    change: &ChangeSet,
    change_id: &str,
    row: Option<Revision>,
) -> Transaction {
    let head = CatalogHead { revision: next.revision, change_id: change_id.into() };
    let record = ChangeRecord {
        revision: next.revision,
        change_id: change_id.into(),
        change: change.clone(),
    };
    let text = |it: Bytes| String::from_utf8_lossy(&it).into_owned();
    Transaction::default()
        .require(HEAD_KEY, row)
        .require(&id_key(change_id), None)
        .put(&id_key(change_id), next.revision.to_string())
        .put(HEAD_KEY, text(encode(&head)))
        .put(&change_key(next.revision), text(encode(&record)))
}

fn not_read(error: &StoreError, unsure: Option<StoreError>) -> SubmitError {
    match unsure {
        Some(it) => SubmitError::OutcomeUnknown(it.to_string().into()),
        None => SubmitError::Unavailable(error.to_string().into()),
    }
}

fn id_key(change_id: &str) -> String {
    format!("catalog/id/{change_id}")
}

fn change_object(revision: Revision) -> String {
    format!("catalog-change-{revision}")
}

fn encode(value: &impl Serialize) -> Bytes {
    serde_json::to_vec(value).unwrap_or_default().into()
}

fn decode<T: serde::de::DeserializeOwned>(row: &Row) -> Result<T, StoreError> {
    serde_json::from_str(&row.value)
        .map_err(|error| StoreError::Malformed(error.to_string().into()))
}

//! Keeps the refused suspects in the store, so that they stay refused when all daemons are lost.
//!
//! The first daemon in rank writes them when they change; the next ones do if it has not. It reads
//! them when it starts. All others learn them from their peers.

use std::sync::Arc;
use std::time::Duration;

use ids::StoreEra;
use indexmap::IndexSet;
use policy::crash_suspects::{self, SuspectKey};
use ports::{CommitResult, StoreError};

use crate::crash_reports;
use crate::dialect::Dialect;
use crate::directory::{Directory, StoredSuspects};
use crate::gateway::{Gateway, lock};

/// The time between two comparisons of what is refused with what is stored.
const CHECK_PERIOD: Duration = Duration::from_secs(1);
/// For how long after its start a daemon that has become the first in rank still reads what is
/// stored.
const START_TIME: Duration = Duration::from_secs(15);
/// The pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Stores the refused suspects until the process ends.
pub(crate) async fn run<D: Dialect, S: Directory>(gateway: Arc<Gateway<D, S>>) {
    // What the row held when it was last read or written; `None` before.
    let mut stored: Option<IndexSet<SuspectKey>> = None;
    let mut era = StoreEra::default();
    let mut changed_at = None;
    loop {
        tokio::time::sleep(CHECK_PERIOD).await;
        let now = gateway.now();
        let refused = refused_keys(&gateway);
        let era_before = std::mem::replace(&mut era, lock(&gateway.view).control_revision().era());
        if era_before < era {
            // A store that came back from an older copy may have lost the row.
            stored = None;
        }
        let is_current = match &stored {
            Some(stored) => *stored == refused,
            // A daemon that has run for a while knows from its peers what the row holds.
            None => refused.is_empty() && now >= gateway.started_at + START_TIME,
        };
        if is_current {
            changed_at = None;
            continue;
        }
        let rank = lock(&gateway.members).rank(now);
        let since = now.saturating_sub(*changed_at.get_or_insert(now));
        let is_due = crash_suspects::store_delay(rank).is_some_and(|it| it <= since);
        if !is_due || (refused.is_empty() && rank > 0) {
            continue;
        }
        match synchronize(&gateway).await {
            Ok(keys) => stored = keys.or(stored),
            Err(error) => {
                tracing::warn!("store: refused suspects not stored, will retry: {error}");
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

fn refused_keys<D: Dialect, S: Directory>(gateway: &Gateway<D, S>) -> IndexSet<SuspectKey> {
    let reports = lock(&gateway.suspects).refused_reports(gateway.now());
    reports.iter().map(|it| it.key).collect()
}

/// Merges the stored suspects with the known ones, and writes these if others are stored. Returns
/// what is stored then; `None` if another daemon wrote at the same time.
async fn synchronize<D: Dialect, S: Directory>(
    gateway: &Arc<Gateway<D, S>>,
) -> Result<Option<IndexSet<SuspectKey>>, StoreError> {
    let asked_at = gateway.now();
    let read = gateway.directory.read_suspects().await;
    record_call(gateway, asked_at, read.is_err());
    let snapshot = read?;
    let (row, revision) = match snapshot.value {
        Some((row, revision)) => (row, Some(revision)),
        None => (StoredSuspects::default(), None),
    };
    let row_age = snapshot.store_time.saturating_sub(row.stated_at);
    crash_reports::merge_stored(gateway, asked_at, row_age, &row.reports);
    let stored: IndexSet<SuspectKey> = row.reports.iter().map(|it| it.key).collect();
    let refused = refused_keys(gateway);
    if refused == stored {
        return Ok(Some(stored));
    }
    let written_at = gateway.now();
    let reports = lock(&gateway.suspects).refused_reports(asked_at);
    let fresh = StoredSuspects { stated_at: snapshot.store_time, reports };
    let written = gateway.directory.write_suspects(&fresh, revision).await;
    record_call(gateway, written_at, written.is_err());
    match written? {
        CommitResult::Done(_) => {
            tracing::info!(count = refused.len(), "store: refused suspects stored");
            Ok(Some(refused))
        }
        CommitResult::Conflict => Ok(None),
    }
}

fn record_call<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    asked_at: Duration,
    has_failed: bool,
) {
    let took = gateway.now().saturating_sub(asked_at);
    gateway.metrics.record_store_call("suspects", took, has_failed);
}

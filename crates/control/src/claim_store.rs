//! Claims on calls that may not be repeated.

use std::future::Future;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use ids::{CustomerId, ErrorKind, Incarnation, InstanceId, Refusal, Revision, RouteId, RunState};
use indexmap::IndexSet;
use policy::claim::{self, AttemptStatus, ClaimRow, ClaimStage, ClaimVerdict, KeptAnswer};
use ports::{CommitResult, StoreError, TableStore, Transaction};
use sha2::{Digest, Sha256};

/// Rows of claims start with this.
const CLAIM_PREFIX: &str = "claim/";
/// Rounds of claiming, reading and judging before a claim is given up.
const CLAIM_ROUNDS: u32 = 4;
/// How long a claim is kept. A resend under its key after that would run again.
pub const CLAIM_RETENTION: Duration = Duration::from_secs(7 * 24 * 3_600);
/// Rows looked at in one step of a sweep.
const SWEEP_ROWS: usize = 200;
/// Tries to record an outcome before it is left to the background.
const RECORD_TRIES: u32 = 40;
/// The pause between them.
const RECORD_PAUSE: Duration = Duration::from_secs(3);

/// A claim this daemon holds.
#[derive(Debug, Clone)]
pub struct ClaimHandle {
    key: Box<str>,
    row: ClaimRow,
    revision: Revision,
}

/// How claiming ended.
#[derive(Debug)]
pub enum ClaimResult {
    /// This attempt alone may run the request.
    Acquired(ClaimHandle),
    /// It ran before; this is its answer.
    Replay(KeptAnswer),
    /// It may not run.
    Refused(Refusal),
}

/// The row key of an idempotency key. Keys of different customers and routes never meet.
pub fn claim_key(customer: Option<&CustomerId>, route: &RouteId, key: &str) -> String {
    let digest = Sha256::digest(key.as_bytes());
    let digest: String = digest.iter().take(16).map(|it| format!("{it:02x}")).collect();
    format!("{CLAIM_PREFIX}{}/{route}/{digest}", customer.map_or("-", |it| it.as_str()))
}

/// One daemon's claims.
#[derive(Debug)]
pub struct ClaimStore<T> {
    table: T,
    own: InstanceId,
    incarnation: Incarnation,
    /// Attempts that may yet be sent, or were sent and are not recorded.
    open: Mutex<IndexSet<Box<str>>>,
}

impl<T: TableStore> ClaimStore<T> {
    /// A store of the claims of this life of `own`.
    pub fn new(table: T, own: InstanceId, incarnation: Incarnation) -> ClaimStore<T> {
        ClaimStore { table, own, incarnation, open: Mutex::default() }
    }

    /// What this daemon knows of an attempt it is said to have claimed in `life`.
    pub fn attempt_status(&self, attempt: &str, life: Incarnation) -> AttemptStatus {
        if life != self.incarnation {
            return AttemptStatus::Unknown;
        }
        if self.lock().contains(attempt) {
            AttemptStatus::InFlight
        } else {
            AttemptStatus::NeverSent
        }
    }

    /// Removes claims older than their life, from some rows after `after` on, in one transaction.
    /// Returns where to go on; empty at the end.
    pub async fn delete_expired(&self, now_s: u64, after: &str) -> Result<Box<str>, StoreError> {
        let rows = self.table.scan(CLAIM_PREFIX, after, SWEEP_ROWS).await?;
        let next: Box<str> = match rows.last() {
            Some(it) if rows.len() == SWEEP_ROWS => it.key.clone(),
            _ => "".into(),
        };
        let old = rows.iter().filter(|row| {
            let claimed_at_s = decode(&row.value).map_or(now_s, |it| it.claimed_at_s);
            now_s.saturating_sub(claimed_at_s) > CLAIM_RETENTION.as_secs()
        });
        let txn = old.fold(Transaction::default(), |txn, row| {
            txn.require(&row.key, Some(row.revision)).delete(&row.key)
        });
        if !txn.changes.is_empty() {
            // A conflict leaves all of them for the next round.
            self.table.commit(txn).await?;
        }
        Ok(next)
    }

    /// Claims `key` for `attempt` at `claimed_at_s` of the wall clock. `ask` asks the owner of a claim that stands in the way.
    pub async fn acquire<F, Fut>(
        &self,
        key: &str,
        fingerprint: &str,
        attempt: &str,
        claimed_at_s: u64,
        ask: F,
    ) -> ClaimResult
    where
        F: Fn(ClaimRow) -> Fut,
        Fut: Future<Output = AttemptStatus>,
    {
        let row = ClaimRow {
            fingerprint: fingerprint.into(),
            attempt: attempt.into(),
            owner: self.own.clone(),
            incarnation: self.incarnation,
            stage: ClaimStage::Claimed,
            claimed_at_s,
        };
        self.lock().insert(attempt.into());
        let start = self.settle(key, row, ask).await;
        if !matches!(start, ClaimResult::Acquired(_)) {
            // Never sent: whoever finds the row of this attempt, should a lost write still
            // land, learns so by asking.
            self.lock().swap_remove(attempt);
        }
        start
    }

    /// Records how the claimed request ended. Until it is recorded, the attempt counts as open.
    pub async fn record_outcome(
        &self,
        handle: &ClaimHandle,
        stage: ClaimStage,
    ) -> Result<(), StoreError> {
        let row = ClaimRow { stage, ..handle.row.clone() };
        let mut revision = handle.revision;
        loop {
            let txn = Transaction::default()
                .require(&handle.key, Some(revision))
                .put(&handle.key, encode(&row));
            match self.table.commit(txn).await {
                Ok(CommitResult::Done(_)) => break,
                Ok(CommitResult::Conflict) => {}
                Err(error) => {
                    if !self.is_recorded(handle, &row).await? {
                        return Err(error);
                    }
                    break;
                }
            }
            // A conflict: an earlier try of this record landed, or another took the row over.
            match self.table.read(&handle.key).await? {
                Some(found) => match decode(&found.value) {
                    Some(it) if it == row => break,
                    Some(it) if it.attempt == row.attempt => revision = found.revision,
                    _ => break,
                },
                None => break,
            }
        }
        self.lock().swap_remove(&*row.attempt);
        Ok(())
    }

    /// Records an outcome however long the table is away, up to some minutes.
    pub async fn record_with_retries(&self, handle: ClaimHandle, stage: ClaimStage) {
        for _ in 0..RECORD_TRIES {
            if self.record_outcome(&handle, stage.clone()).await.is_ok() {
                return;
            }
            tokio::time::sleep(RECORD_PAUSE).await;
        }
        tracing::error!("claims: outcome of attempt {} was never recorded", handle.row.attempt);
    }

    async fn settle<F, Fut>(&self, key: &str, row: ClaimRow, ask: F) -> ClaimResult
    where
        F: Fn(ClaimRow) -> Fut,
        Fut: Future<Output = AttemptStatus>,
    {
        let (attempt, fingerprint) = (row.attempt.clone(), row.fingerprint.clone());
        let mut over = None;
        for _ in 0..CLAIM_ROUNDS {
            let txn = Transaction::default().require(key, over).put(key, encode(&row));
            match self.table.commit(txn).await {
                Ok(CommitResult::Done(revision)) => {
                    return ClaimResult::Acquired(ClaimHandle { key: key.into(), row, revision });
                }
                Ok(CommitResult::Conflict) | Err(_) => {}
            }
            let found = match self.table.read(key).await {
                Ok(it) => it,
                Err(_) => return unavailable(RunState::MaybeRun),
            };
            let Some(found) = found else {
                // Not claimed by anyone, so never sent; perhaps our own claim did not land.
                over = None;
                continue;
            };
            let Some(other) = decode(&found.value) else {
                return ClaimResult::Refused(Refusal::not_run(ErrorKind::Internal));
            };
            let mut verdict = claim::resolve_claim(&other, &attempt, &fingerprint, None);
            if verdict == ClaimVerdict::AskOwner {
                let word = if other.owner == self.own {
                    self.attempt_status(&other.attempt, other.incarnation)
                } else {
                    ask(other.clone()).await
                };
                verdict = claim::resolve_claim(&other, &attempt, &fingerprint, Some(word));
            }
            match verdict {
                ClaimVerdict::Own => {
                    let revision = found.revision;
                    return ClaimResult::Acquired(ClaimHandle { key: key.into(), row, revision });
                }
                ClaimVerdict::Replay(answer) => return ClaimResult::Replay(answer),
                ClaimVerdict::Refuse(refusal) => return ClaimResult::Refused(refusal),
                ClaimVerdict::TakeOver => over = Some(found.revision),
                ClaimVerdict::AskOwner => return unavailable(RunState::MaybeRun),
            }
        }
        // Every row read on the way said that no sending has run.
        unavailable(RunState::NotRun)
    }

    async fn is_recorded(&self, handle: &ClaimHandle, row: &ClaimRow) -> Result<bool, StoreError> {
        let found = self.table.read(&handle.key).await?;
        Ok(found.and_then(|it| decode(&it.value)).is_some_and(|it| it == *row))
    }

    fn lock(&self) -> MutexGuard<'_, IndexSet<Box<str>>> {
        self.open.lock().unwrap_or_else(|it| it.into_inner())
    }
}

/// A refusal while the claim cannot be written. Unless the row was read, an earlier sending under
/// the same key may have run.
fn unavailable(run: RunState) -> ClaimResult {
    let refusal = Refusal::not_run(ErrorKind::ClaimUnavailable).retry_after(2);
    ClaimResult::Refused(Refusal { run, ..refusal })
}

fn encode(row: &ClaimRow) -> String {
    serde_json::to_string(row).unwrap_or_default()
}

fn decode(text: &str) -> Option<ClaimRow> {
    serde_json::from_str(text).ok()
}

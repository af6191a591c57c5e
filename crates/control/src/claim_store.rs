//! Claims on requests that must not be repeated: rows that let at most one attempt run a request.

use std::future::Future;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use ids::{CustomerId, ErrorKind, Incarnation, InstanceId, Refusal, Revision, RouteId, RunState};
use indexmap::IndexSet;
use policy::claim::{self, AttemptStatus, ClaimRow, ClaimStage, ClaimVerdict, KeptAnswer};
use ports::{CommitResult, StoreError, TableStore, Transaction};
use sha2::{Digest, Sha256};

/// Key prefix of claim rows.
const CLAIM_PREFIX: &str = "claim/";
/// Rounds of committing, reading and resolving a claim before it is refused.
const MAX_CLAIM_ROUNDS: u32 = 4;
/// How long a claim is kept after it was made. A resend under its key after that would run again.
pub const CLAIM_RETENTION: Duration = Duration::from_secs(7 * 24 * 3_600);
/// Rows checked for expiry in one step.
const EXPIRY_SCAN_ROWS: usize = 200;
/// Attempts to record an outcome in the background before it is given up.
const MAX_RECORD_ATTEMPTS: u32 = 40;
/// The pause between these attempts.
const RECORD_PAUSE: Duration = Duration::from_secs(3);

/// A claim held by this daemon, needed to record the outcome of its request.
#[derive(Debug, Clone)]
pub struct ClaimHandle {
    key: Box<str>,
    row: ClaimRow,
    revision: Revision,
}

/// The result of trying to claim a request.
#[derive(Debug)]
pub enum ClaimResult {
    /// This attempt holds the claim, and it alone may run the request.
    Acquired(ClaimHandle),
    /// The request ran before; this is its stored answer.
    Replay(KeptAnswer),
    /// The request must not run; the refusal tells the caller why.
    Refused(Refusal),
}

/// The row key of an idempotency key. Keys of different customers and routes never collide.
pub fn claim_key(customer: Option<&CustomerId>, route: &RouteId, key: &str) -> String {
    let digest = Sha256::digest(key.as_bytes());
    let digest: String = digest.iter().take(16).map(|it| format!("{it:02x}")).collect();
    format!("{CLAIM_PREFIX}{}/{route}/{digest}", customer.map_or("-", |it| it.as_str()))
}

/// Makes, resolves and records the claims of one daemon.
#[derive(Debug)]
pub struct ClaimStore<T> {
    table: T,
    own: InstanceId,
    incarnation: Incarnation,
    /// Attempts that may yet be sent, or were sent without their outcome being recorded.
    in_flight: Mutex<IndexSet<Box<str>>>,
}

impl<T: TableStore> ClaimStore<T> {
    /// Creates a store for the claims of the instance `own` in this incarnation.
    pub fn new(table: T, own: InstanceId, incarnation: Incarnation) -> ClaimStore<T> {
        ClaimStore { table, own, incarnation, in_flight: Mutex::default() }
    }

    /// What this daemon knows about an attempt that it claimed in `incarnation`.
    pub fn attempt_status(&self, attempt: &str, incarnation: Incarnation) -> AttemptStatus {
        if incarnation != self.incarnation {
            return AttemptStatus::Unknown;
        }
        if self.lock().contains(attempt) {
            AttemptStatus::InFlight
        } else {
            AttemptStatus::NeverSent
        }
    }

    /// Deletes expired claims among the next rows after the key `after`, in one transaction.
    /// Returns the key to continue after; empty at the end of the table.
    pub async fn delete_expired(&self, now_s: u64, after: &str) -> Result<Box<str>, StoreError> {
        let rows = self.table.scan(CLAIM_PREFIX, after, EXPIRY_SCAN_ROWS).await?;
        let next: Box<str> = match rows.last() {
            Some(it) if rows.len() == EXPIRY_SCAN_ROWS => it.key.clone(),
            _ => "".into(),
        };
        let expired = rows.iter().filter(|row| {
            let claimed_at_s = decode(&row.value).map_or(now_s, |it| it.claimed_at_s);
            now_s.saturating_sub(claimed_at_s) > CLAIM_RETENTION.as_secs()
        });
        let txn = expired.fold(Transaction::default(), |txn, row| {
            txn.require(&row.key, Some(row.revision)).delete(&row.key)
        });
        if !txn.changes.is_empty() {
            // After a conflict nothing is deleted; the next pass over the rows tries again.
            self.table.commit(txn).await?;
        }
        Ok(next)
    }

    /// Claims the row `key` for `attempt`. `claimed_at_s` is the wall-clock time in seconds. If
    /// another attempt already holds the claim, `ask_owner` asks its owner for the attempt's
    /// status.
    pub async fn acquire<F, Fut>(
        &self,
        key: &str,
        fingerprint: &str,
        attempt: &str,
        claimed_at_s: u64,
        ask_owner: F,
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
        let result = self.resolve(key, row, ask_owner).await;
        if !matches!(result, ClaimResult::Acquired(_)) {
            // The attempt is not sent. If a lost write still takes effect, whoever finds the row
            // learns that by asking this daemon.
            self.lock().swap_remove(attempt);
        }
        result
    }

    /// Records the outcome of the claimed request. Until then the attempt counts as in flight.
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
            // A conflict: an earlier try already wrote this outcome, or another attempt took the
            // row over.
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

    /// Records an outcome, retrying for some minutes while the table is unavailable.
    pub async fn record_with_retries(&self, handle: ClaimHandle, stage: ClaimStage) {
        for _ in 0..MAX_RECORD_ATTEMPTS {
            if self.record_outcome(&handle, stage.clone()).await.is_ok() {
                return;
            }
            tokio::time::sleep(RECORD_PAUSE).await;
        }
        tracing::error!(
            "claims: outcome of attempt {} not recorded, its resends stay refused",
            handle.row.attempt
        );
    }

    async fn resolve<F, Fut>(&self, key: &str, row: ClaimRow, ask_owner: F) -> ClaimResult
    where
        F: Fn(ClaimRow) -> Fut,
        Fut: Future<Output = AttemptStatus>,
    {
        let (attempt, fingerprint) = (row.attempt.clone(), row.fingerprint.clone());
        let mut takeover_revision = None;
        for _ in 0..MAX_CLAIM_ROUNDS {
            let txn = Transaction::default().require(key, takeover_revision).put(key, encode(&row));
            match self.table.commit(txn).await {
                Ok(CommitResult::Done(revision)) => {
                    return ClaimResult::Acquired(ClaimHandle { key: key.into(), row, revision });
                }
                Ok(CommitResult::Conflict) | Err(_) => {}
            }
            let found = match self.table.read(key).await {
                Ok(it) => it,
                Err(_) => return refuse_unavailable(RunState::MaybeRun),
            };
            let Some(found) = found else {
                // Nobody holds the claim, so nothing was sent; our own write may be lost.
                takeover_revision = None;
                continue;
            };
            let Some(existing) = decode(&found.value) else {
                return ClaimResult::Refused(Refusal::not_run(ErrorKind::Internal));
            };
            let mut verdict = claim::resolve_claim(&existing, &attempt, &fingerprint, None);
            if verdict == ClaimVerdict::AskOwner {
                let status = if existing.owner == self.own {
                    self.attempt_status(&existing.attempt, existing.incarnation)
                } else {
                    ask_owner(existing.clone()).await
                };
                verdict = claim::resolve_claim(&existing, &attempt, &fingerprint, Some(status));
            }
            match verdict {
                ClaimVerdict::Own => {
                    let revision = found.revision;
                    return ClaimResult::Acquired(ClaimHandle { key: key.into(), row, revision });
                }
                ClaimVerdict::Replay(answer) => return ClaimResult::Replay(answer),
                ClaimVerdict::Refuse(refusal) => return ClaimResult::Refused(refusal),
                ClaimVerdict::TakeOver => takeover_revision = Some(found.revision),
                ClaimVerdict::AskOwner => return refuse_unavailable(RunState::MaybeRun),
            }
        }
        // Every row that was read showed an attempt that had not run.
        refuse_unavailable(RunState::NotRun)
    }

    async fn is_recorded(&self, handle: &ClaimHandle, row: &ClaimRow) -> Result<bool, StoreError> {
        let found = self.table.read(&handle.key).await?;
        Ok(found.and_then(|it| decode(&it.value)).is_some_and(|it| it == *row))
    }

    fn lock(&self) -> MutexGuard<'_, IndexSet<Box<str>>> {
        self.in_flight.lock().unwrap_or_else(|it| it.into_inner())
    }
}

/// Refuses a request whose claim could not be written. `run` is `MaybeRun` unless the row was
/// read: an earlier attempt under the same key may have run.
fn refuse_unavailable(run: RunState) -> ClaimResult {
    let refusal = Refusal::not_run(ErrorKind::ClaimUnavailable).retry_after(2);
    ClaimResult::Refused(Refusal { run, ..refusal })
}

fn encode(row: &ClaimRow) -> String {
    serde_json::to_string(row).unwrap_or_default()
}

fn decode(text: &str) -> Option<ClaimRow> {
    serde_json::from_str(text).ok()
}

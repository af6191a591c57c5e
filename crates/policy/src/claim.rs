//! Claims: at most one run of a request that must not be repeated.
//!
//! A claim row that names the attempt is written before the request is sent to a target. An attempt
//! that finds another attempt's claim does not run the request unless the row, or the instance that
//! owns it, shows that it was never run; otherwise it answers from what these say.

use ids::{ErrorKind, Incarnation, InstanceId, Refusal};
use serde::{Deserialize, Serialize};

/// The progress of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimStage {
    /// Claimed; it may run at any moment.
    Claimed,
    /// It was sent and its answer was lost.
    MaybeRun,
    /// It was not run and will not be run under this attempt.
    NotRun,
    /// It ran, and its answer is kept.
    Done(KeptAnswer),
}

/// An answer kept to be replayed to requests that are sent again with the same key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The `content-type` header, if the answer had one.
    pub content_type: Option<Box<str>>,
    /// The body as text; `None` if it was too long to keep or not text.
    pub body: Option<Box<str>>,
}

/// One claim row of the table store, as JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// Digest of the request's customer, route, method, path and body.
    pub fingerprint: Box<str>,
    /// Id of the attempt, unique in the fleet.
    pub attempt: Box<str>,
    /// The instance that handles the attempt.
    pub owner: InstanceId,
    /// The owner's incarnation; a later one knows nothing of the attempt.
    pub incarnation: Incarnation,
    /// The progress of the request.
    pub stage: ClaimStage,
    /// When it was claimed, in Unix seconds of the owner's wall clock. That clock is exact enough
    /// for expiry after days.
    #[serde(rename = "made_s")]
    #[serde(default)]
    pub claimed_at_s: u64,
}

/// What the owner of a claim says about an attempt when another instance asks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptStatus {
    /// The owner is handling it.
    InFlight,
    /// It was never sent and will not be.
    NeverSent,
    /// The owner has restarted since, or does not answer.
    Unknown,
}

/// What to do with a request whose key is already claimed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// This attempt made the claim, and the store's answer to the write was lost: continue.
    Own,
    /// Answer the caller with the kept answer.
    Replay(KeptAnswer),
    /// Overwrite the row with a claim of this attempt, on condition of the row's revision.
    TakeOver,
    /// Ask the owner for the attempt's status, then resolve again with it.
    AskOwner,
    /// Refuse the request.
    Refuse(Refusal),
}

/// Decides what an attempt does when it finds a claim row in place of an absent one. `status` is
/// what the owner answered, `None` if it has not been asked.
pub fn resolve_claim(
    row: &ClaimRow,
    attempt: &str,
    fingerprint: &str,
    status: Option<AttemptStatus>,
) -> ClaimVerdict {
    if *row.attempt == *attempt {
        return ClaimVerdict::Own;
    }
    if *row.fingerprint != *fingerprint {
        return ClaimVerdict::Refuse(Refusal::not_run(ErrorKind::ClaimMismatch));
    }
    match (&row.stage, status) {
        (ClaimStage::Done(answer), _) => ClaimVerdict::Replay(answer.clone()),
        (ClaimStage::NotRun, _) => ClaimVerdict::TakeOver,
        (ClaimStage::MaybeRun, _) => {
            ClaimVerdict::Refuse(Refusal::maybe_run(ErrorKind::OutcomeUnknown))
        }
        (ClaimStage::Claimed, None) => ClaimVerdict::AskOwner,
        (ClaimStage::Claimed, Some(AttemptStatus::NeverSent)) => ClaimVerdict::TakeOver,
        (ClaimStage::Claimed, Some(AttemptStatus::InFlight)) => {
            ClaimVerdict::Refuse(Refusal::maybe_run(ErrorKind::ClaimBusy).retry_after(1))
        }
        (ClaimStage::Claimed, Some(AttemptStatus::Unknown)) => {
            ClaimVerdict::Refuse(Refusal::maybe_run(ErrorKind::OutcomeUnknown))
        }
    }
}

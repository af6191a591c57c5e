//! Claims: at most one run of a request that may not be repeated.
//!
//! A claim row is written before dispatch and names the attempt. Whoever finds a claim that is
//! not its own never runs the request; it answers from what the row and the claim's owner say.

use ids::{ErrorKind, Incarnation, InstanceId, Refusal};
use serde::{Deserialize, Serialize};

/// How far a claimed request is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimStage {
    /// Claimed; it may run at any moment.
    Claimed,
    /// It was sent and its answer is lost.
    MaybeRun,
    /// It was not run and will not be under this attempt.
    NotRun,
    /// It ran; the answer is kept.
    Done(KeptAnswer),
}

/// An answer kept for resends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The content type, if any.
    pub content_type: Option<Box<str>>,
    /// The body as text; `None` if it was too long to keep or not text.
    pub body: Option<Box<str>>,
}

/// One claim row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// The request: its customer, route, method, path and body, digested.
    pub fingerprint: Box<str>,
    /// The attempt, unique in the fleet.
    pub attempt: Box<str>,
    /// The instance that handles it.
    pub owner: InstanceId,
    /// The owner's life.
    pub incarnation: Incarnation,
    /// How far it is.
    pub stage: ClaimStage,
    /// When it was claimed, in seconds of the owner's wall clock; good enough to tell days.
    #[serde(default)]
    pub made_s: u64,
}

/// What the owner of a claim says about an attempt, asked by another instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptStatus {
    /// It is being handled.
    InFlight,
    /// It was never sent and will not be.
    NeverSent,
    /// The owner's life has ended, or it does not answer.
    Unknown,
}

/// What to do with a request whose key is already claimed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// The claim is this attempt's own: its answer was lost. Go on.
    Own,
    /// Answer as kept.
    Replay(KeptAnswer),
    /// Claim anew over this row, conditional on its revision.
    TakeOver,
    /// Ask the owner, then judge again.
    AskOwner,
    /// Refuse.
    Refuse(Refusal),
}

/// Judges a claim row found instead of an absent one. `word` is the owner's, if it was asked.
pub fn resolve_claim(
    row: &ClaimRow,
    attempt: &str,
    fingerprint: &str,
    word: Option<AttemptStatus>,
) -> ClaimVerdict {
    if *row.attempt == *attempt {
        return ClaimVerdict::Own;
    }
    if *row.fingerprint != *fingerprint {
        return ClaimVerdict::Refuse(Refusal::not_run(ErrorKind::ClaimMismatch));
    }
    match (&row.stage, word) {
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

//! The closed list of error kinds, and the one table from kind to answer.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Why a request was refused or failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// No caller key came with a request to a keyed route.
    KeyMissing,
    /// The caller key is unknown or withdrawn.
    KeyRefused,
    /// The key's customer may not use this route.
    RouteForbidden,
    /// No route matches the path, or no model has the name.
    RouteUnknown,
    /// The request is malformed.
    BadRequest,
    /// The body is longer than the limit.
    BodyTooLarge,
    /// The headers are longer than the limit.
    HeadersTooLarge,
    /// The caller sent its body too slowly.
    CallerTimeout,
    /// The customer is over its rate and burst.
    RateExceeded,
    /// No holder of the customer's rate answered.
    RateUnavailable,
    /// The queue before the targets is full, or the wait in it too long.
    QueueFull,
    /// No target can take the request now.
    NoTarget,
    /// The claim on an idempotency key cannot be written now.
    ClaimUnavailable,
    /// Another request with this idempotency key is being handled.
    ClaimBusy,
    /// The idempotency key was used before with another request.
    ClaimMismatch,
    /// A request with this idempotency key may have run; its answer is lost.
    OutcomeUnknown,
    /// The target refused the connection or failed before any answer.
    TargetFailed,
    /// The target's answer did not come in time.
    TargetTimeout,
    /// The stream broke and could not be resumed.
    StreamCut,
    /// Requests like this one crashed targets; it is kept apart.
    Quarantined,
    /// Requests like this one crashed targets; it is not sent to another.
    CrashSuspect,
    /// This instance is leaving.
    Leaving,
    /// This instance has no configuration yet.
    ConfigMissing,
    /// This instance cannot confirm that its configuration is the newest.
    ConfigStale,
    /// A fault of the daemon itself.
    Internal,
}

/// Whether the request ran on a target. With an idempotency key this speaks of all sendings
/// under the key, without one of this sending.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// No byte of it reached a target, or the target proved it did not run it.
    NotRun,
    /// It was sent, and whether it ran is not known.
    MaybeRun,
    /// It ran, at least in part.
    Ran,
}

/// How one error kind is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ErrorAnswer {
    /// The kind.
    pub kind: ErrorKind,
    /// The HTTP status.
    pub status: u16,
    /// The kind's name in answers, metrics and logs.
    pub code: &'static str,
    /// What the caller is told.
    pub message: &'static str,
}

const fn row(
    kind: ErrorKind,
    status: u16,
    code: &'static str,
    message: &'static str,
) -> ErrorAnswer {
    ErrorAnswer { kind, status, code, message }
}

const ANSWER_TABLE: &[ErrorAnswer] = &[
    row(ErrorKind::KeyMissing, 401, "key_missing", "this route needs a caller key"),
    row(ErrorKind::KeyRefused, 401, "key_refused", "the caller key is unknown or withdrawn"),
    row(ErrorKind::RouteForbidden, 403, "route_forbidden", "the customer may not use this route"),
    row(ErrorKind::RouteUnknown, 404, "route_unknown", "no route or model has this name"),
    row(ErrorKind::BadRequest, 400, "bad_request", "the request is malformed"),
    row(ErrorKind::BodyTooLarge, 413, "body_too_large", "the body is longer than the limit"),
    row(
        ErrorKind::HeadersTooLarge,
        431,
        "headers_too_large",
        "the headers are longer than the limit",
    ),
    row(ErrorKind::CallerTimeout, 408, "caller_timeout", "the body came too slowly"),
    row(ErrorKind::RateExceeded, 429, "rate_exceeded", "the customer is over its rate"),
    row(ErrorKind::RateUnavailable, 503, "rate_unavailable", "the rate cannot be checked now"),
    row(ErrorKind::QueueFull, 503, "queue_full", "too many requests wait"),
    row(ErrorKind::NoTarget, 503, "no_target", "no target can take the request now"),
    row(ErrorKind::ClaimUnavailable, 503, "claim_unavailable", "the claim cannot be written now"),
    row(ErrorKind::ClaimBusy, 409, "claim_busy", "a request with this key is being handled"),
    row(ErrorKind::ClaimMismatch, 422, "claim_mismatch", "this key came with another request"),
    row(
        ErrorKind::OutcomeUnknown,
        409,
        "outcome_unknown",
        "the request may have run; its answer is lost",
    ),
    row(ErrorKind::TargetFailed, 502, "target_failed", "the target failed"),
    row(ErrorKind::TargetTimeout, 504, "target_timeout", "the target did not answer in time"),
    row(ErrorKind::StreamCut, 502, "stream_cut", "the stream broke and could not be resumed"),
    row(ErrorKind::Quarantined, 422, "quarantined", "requests like this crashed targets"),
    row(ErrorKind::CrashSuspect, 503, "crash_suspect", "requests like this crash targets"),
    row(ErrorKind::Leaving, 503, "leaving", "this instance is leaving"),
    row(ErrorKind::ConfigMissing, 503, "config_missing", "no configuration has been read yet"),
    row(
        ErrorKind::ConfigStale,
        503,
        "config_stale",
        "this instance is cut off and cannot tell whether the key still holds",
    ),
    row(ErrorKind::Internal, 500, "internal", "a fault of the router"),
];

/// The answer of `kind`.
pub fn error_answer(kind: ErrorKind) -> &'static ErrorAnswer {
    ANSWER_TABLE.iter().find(|it| it.kind == kind).unwrap_or(&ANSWER_TABLE[ANSWER_TABLE.len() - 1])
}

impl ErrorKind {
    /// Every kind, in the table's order.
    pub fn all() -> impl Iterator<Item = ErrorKind> {
        ANSWER_TABLE.iter().map(|it| it.kind)
    }

    /// The kind's name in answers, metrics and logs.
    pub fn code(self) -> &'static str {
        error_answer(self).code
    }
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(self.code())
    }
}

impl RunState {
    /// The state's name in answers.
    pub fn code(self) -> &'static str {
        match self {
            RunState::NotRun => "not_run",
            RunState::MaybeRun => "maybe_run",
            RunState::Ran => "ran",
        }
    }
}

/// A refusal: the kind, whether the request ran, and when to try again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub kind: ErrorKind,
    /// Whether the request ran on a target.
    pub run: RunState,
    /// Whole seconds to wait before trying again, if that can help.
    pub retry_after_s: Option<u32>,
    /// More about this case, safe to show to the caller.
    pub detail: Option<Box<str>>,
}

impl Refusal {
    /// A refusal of a request that did not run.
    pub fn not_run(kind: ErrorKind) -> Refusal {
        Refusal { kind, run: RunState::NotRun, retry_after_s: None, detail: None }
    }

    /// A failure of a request that may have run.
    pub fn maybe_run(kind: ErrorKind) -> Refusal {
        Refusal { run: RunState::MaybeRun, ..Refusal::not_run(kind) }
    }

    /// A refusal before the claim of an idempotency key was read: this sending did not run, but
    /// an earlier one may have.
    pub fn assume_maybe_run(self) -> Refusal {
        match self.run {
            RunState::NotRun => Refusal { run: RunState::MaybeRun, ..self },
            _ => self,
        }
    }

    /// Adds a detail.
    pub fn detail(self, text: impl Into<Box<str>>) -> Refusal {
        Refusal { detail: Some(text.into()), ..self }
    }

    /// Adds the seconds to wait.
    pub fn retry_after(self, seconds: u32) -> Refusal {
        Refusal { retry_after_s: Some(seconds), ..self }
    }
}

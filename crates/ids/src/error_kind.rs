//! The closed list of error kinds, and the table that maps each kind to its answer.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Why a request was refused or failed. Names are written out in snake case.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// A request to a route that needs a caller key came without one.
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
    /// The caller did not send its body in time.
    CallerTimeout,
    /// The customer has used up its rate and burst.
    RateExceeded,
    /// No instance that holds a share of the customer's rate answered.
    RateUnavailable,
    /// The queue for the targets is full, or the request waited in it too long.
    QueueFull,
    /// No target accepts the request at present.
    NoTarget,
    /// The claim on an idempotency key cannot be written at present.
    ClaimUnavailable,
    /// Another request with this idempotency key is in flight.
    ClaimBusy,
    /// The idempotency key was used before with another request.
    ClaimMismatch,
    /// A request with this idempotency key may have run; its answer is lost.
    OutcomeUnknown,
    /// The target refused the connection or failed before it answered.
    TargetFailed,
    /// The target's answer did not come in time.
    TargetTimeout,
    /// The stream broke and could not be resumed.
    StreamCut,
    /// Requests with this fingerprint crashed two targets; it is not run again for now.
    Quarantined,
    /// Requests with this fingerprint crashed a target; it is not sent to another one.
    CrashSuspect,
    /// This instance is shutting down.
    Leaving,
    /// This instance has no configuration yet.
    ConfigMissing,
    /// This instance cannot confirm that its configuration is the newest.
    ConfigStale,
    /// An internal error of the daemon.
    Internal,
}

/// Whether the request ran on a target. With an idempotency key this covers all attempts under the
/// key, without one only this attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// No byte of it reached a target, or the target confirmed that it did not run it.
    NotRun,
    /// It was sent, and it is not known whether it ran.
    MaybeRun,
    /// It ran, at least partly.
    Ran,
}

/// The answer to requests that fail with one error kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ErrorAnswer {
    /// The kind that this row answers.
    pub kind: ErrorKind,
    /// The HTTP status.
    pub status: u16,
    /// The kind's name in answers, metrics and logs.
    pub code: &'static str,
    /// The text that the caller gets, without details of the case.
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

/// The row of `kind` in the table of answers.
pub fn error_answer(kind: ErrorKind) -> &'static ErrorAnswer {
    ANSWER_TABLE.iter().find(|it| it.kind == kind).unwrap_or(&ANSWER_TABLE[ANSWER_TABLE.len() - 1])
}

impl ErrorKind {
    /// All kinds, in the order of the table of answers.
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

/// An error answer to one request: the kind, whether the request ran, and when to retry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request was refused or failed.
    pub kind: ErrorKind,
    /// Whether the request ran on a target.
    pub run: RunState,
    /// Whole seconds to wait before a retry; `None` if a retry does not help.
    pub retry_after_s: Option<u32>,
    /// Details of this case, safe to show to the caller.
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

    /// Turns `NotRun` into `MaybeRun`. For refusals before the claim of an idempotency key was
    /// read: this attempt did not run, but an earlier one may have.
    pub fn assume_maybe_run(self) -> Refusal {
        match self.run {
            RunState::NotRun => Refusal { run: RunState::MaybeRun, ..self },
            _ => self,
        }
    }

    /// Sets the details that the caller gets.
    pub fn detail(self, text: impl Into<Box<str>>) -> Refusal {
        Refusal { detail: Some(text.into()), ..self }
    }

    /// Sets the seconds to wait before a retry.
    pub fn retry_after(self, seconds: u32) -> Refusal {
        Refusal { retry_after_s: Some(seconds), ..self }
    }
}

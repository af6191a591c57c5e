//! Why an attempt at a replica failed.

use http::StatusCode;
use policy::admission::WithholdReason;
use web::client::CallError;

use crate::connections::SendError;
use crate::dialect::AnswerHead;

/// Why an attempt at a replica brought no usable answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum AttemptError {
    /// The connection failed or the time ran out.
    #[error(transparent)]
    Connection(#[from] CallError),
    /// The request was not sent, as the replica may not get it any more.
    #[error("not sent to the replica: {0}")]
    Withheld(WithholdReason),
    /// The replica said that it did not run the request.
    #[error("the replica did not run the request, status {0}")]
    NotRun(StatusCode, AnswerHead),
    /// The answer takes so long that the request is sent to another replica.
    #[error("no answer within the time allowed for this replica")]
    TooSlow,
    /// The answer belongs to another request.
    #[error("the answer belongs to another request")]
    WrongAttempt,
    /// The body is encoded, which no replica does on its own: it is not the replica's body.
    #[error("the answer has a content encoding")]
    Encoded,
    /// The status is none of HTTP (RFC 9110, section 15), so that nothing else can be relied on.
    #[error("the answer has the invalid status {0}")]
    InvalidStatus(StatusCode),
    /// A successful status without the header that replicas set on every answer.
    #[error("the answer lacks the replica's seal header")]
    Unsealed,
}

impl From<SendError> for AttemptError {
    fn from(error: SendError) -> AttemptError {
        match error {
            SendError::Withheld(reason) => AttemptError::Withheld(reason),
            SendError::Call(error) => AttemptError::Connection(error),
        }
    }
}

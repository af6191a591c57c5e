//! Why a sending brought no answer.

use http::StatusCode;
use web::client::CallError;

use crate::dialect::AnswerHead;

/// Why a sending brought no answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum AttemptError {
    /// What happened on the connection.
    #[error(transparent)]
    Exchange(#[from] CallError),
    /// The replica said that it did not run the request.
    #[error("not run, status {0}")]
    NotRun(StatusCode, AnswerHead),
    /// It takes so long that another replica is tried.
    #[error("it takes too long")]
    Impatient,
    /// The answer belongs to another request.
    #[error("the answer belongs to another request")]
    Crossed,
    /// A success without the replica's seal.
    #[error("the answer bears no seal")]
    Unsealed,
}

//! Answers that the daemon gives itself: refusals and failures.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode};
use ids::{ErrorKind, RunState};

use crate::body::CallerBody;
use crate::connections::CallerResponse;

/// Why a request gets no answer from a replica.
#[derive(Debug, Clone, PartialEq)]
pub struct CallRefusal {
    /// The reason; decides on the status and error code.
    pub kind: ErrorKind,
    /// Whether a replica may have run the request.
    pub run: RunState,
    /// When a retry makes sense, if it does.
    pub retry_after: Option<Duration>,
}

impl CallRefusal {
    /// A refusal of a request that did not run.
    pub fn not_run(kind: ErrorKind) -> CallRefusal {
        CallRefusal { kind, run: RunState::NotRun, retry_after: None }
    }

    /// Sets the time after which the caller may retry.
    pub fn retry_after(self, delay: Duration) -> CallRefusal {
        CallRefusal { retry_after: Some(delay), ..self }
    }

    /// Builds the JSON answer. `Retry-After`, in seconds with three decimals, is set only if the
    /// request did not run.
    pub fn into_response(self) -> CallerResponse {
        let row = ids::error_answer(self.kind);
        let text = format!("{{\"error\":\"{}\",\"run\":\"{}\"}}\n", row.code, self.run.code());
        let mut response = Response::new(CallerBody::full(Bytes::from(text)));
        *response.status_mut() =
            StatusCode::from_u16(row.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let headers = response.headers_mut();
        let json = HeaderValue::from_static("application/json");
        headers.insert(http::header::CONTENT_TYPE, json);
        if let Some(delay) = self.retry_after.filter(|_| self.run == RunState::NotRun) {
            let text = format!("{:.3}", delay.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&text) {
                headers.insert(http::header::RETRY_AFTER, value);
            }
        }
        response
    }
}

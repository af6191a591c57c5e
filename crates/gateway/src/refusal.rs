//! Answers of the daemon's own: refusals and failures.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode};
use ids::{ErrorKind, RunState};

use crate::body::CallerBody;
use crate::connections::CallerResponse;

/// Why a request is not answered by a replica.
#[derive(Debug, Clone, PartialEq)]
pub struct CallRefusal {
    /// Why.
    pub kind: ErrorKind,
    /// Whether it ran.
    pub run: RunState,
    /// When to come back, if that can help.
    pub retry_after: Option<Duration>,
}

impl CallRefusal {
    /// A refusal of a request that did not run.
    pub fn not_run(kind: ErrorKind) -> CallRefusal {
        CallRefusal { kind, run: RunState::NotRun, retry_after: None }
    }

    /// Tells when to come back.
    pub fn retry_after(self, time: Duration) -> CallRefusal {
        CallRefusal { retry_after: Some(time), ..self }
    }

    /// The answer.
    pub fn into_response(self) -> CallerResponse {
        let row = ids::answer_row(self.kind);
        let text = format!("{{\"error\":\"{}\",\"run\":\"{}\"}}\n", row.code, self.run.code());
        let mut response = Response::new(CallerBody::full(Bytes::from(text)));
        *response.status_mut() =
            StatusCode::from_u16(row.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let headers = response.headers_mut();
        let json = HeaderValue::from_static("application/json");
        headers.insert(http::header::CONTENT_TYPE, json);
        if let Some(time) = self.retry_after.filter(|_| self.run == RunState::NotRun) {
            let text = format!("{:.3}", time.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&text) {
                headers.insert(http::header::RETRY_AFTER, value);
            }
        }
        response
    }
}

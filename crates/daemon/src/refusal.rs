//! Converts refusals to HTTP answers.

use dropshot::Body;
use http::{HeaderValue, Response, StatusCode};
use ids::{Refusal, RequestId};

/// The JSON body of a refusal: one object under `error`.
pub(crate) fn refusal_json(refusal: &Refusal, request_id: &RequestId) -> serde_json::Value {
    let row = ids::error_answer(refusal.kind);
    let mut error = serde_json::json!({
        "kind": row.code,
        "type": row.code,
        "message": row.message,
        "run": refusal.run.code(),
        "request_id": request_id,
    });
    if let Some(detail) = &refusal.detail {
        error["detail"] = serde_json::Value::String(detail.to_string());
    }
    if let Some(seconds) = refusal.retry_after_s {
        error["retry_after_s"] = seconds.into();
    }
    serde_json::json!({ "error": error })
}

/// The answer to a refused request: the status of its kind, the JSON body and `retry-after`.
pub(crate) fn refusal_answer(refusal: &Refusal, request_id: &RequestId) -> Response<Body> {
    let status = StatusCode::from_u16(ids::error_answer(refusal.kind).status)
        .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut answer = web::server::json_answer(status, &refusal_json(refusal, request_id));
    if let Some(seconds) = refusal.retry_after_s {
        answer.headers_mut().insert(http::header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    answer
}

//! Answers that are read whole before they are forwarded, so that a failure on the way can still be
//! retried.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, Response, StatusCode};
use web::client::CallError;
use web::hop_by_hop;

use crate::answer_end;
use crate::attempt_error::AttemptError;
use crate::body::CallerBody;
use crate::body_buffer::BodyBuffer;
use crate::body_reader;
use crate::buffer_share::{BufferExhausted, BufferShare, SharedBudget};
use crate::call::Call;
use crate::connections::{CallerResponse, OpenAnswer};
use crate::dialect::Dialect;
use crate::directory::Directory;
use crate::placement::PlacedTarget;

/// Longest answer that is buffered; a longer one is a failure of the replica.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// A replica's answer, read whole.
pub(crate) struct BufferedAnswer {
    pub(crate) status: StatusCode,
    headers: HeaderMap,
    body: BodyBuffer,
}

/// Reads an answer to its end, within the caller's deadline, and returns the connection to the pool
/// after a success.
pub(crate) async fn collect<D: Dialect, S: Directory>(
    call: &Call<D, S>,
    target: &PlacedTarget,
    answer: OpenAnswer,
) -> Result<BufferedAnswer, AttemptError> {
    let left = call.deadline.saturating_sub(call.gateway.now());
    let (status, headers, mut body, connection) = answer.split();
    let mut share = BufferShare::new(&call.gateway.buffers);
    let read = async {
        let bytes = body_reader::read_body(&mut body, &mut share, MAX_ANSWER_BYTES).await?;
        answer_end::check(&call.gateway, target, &connection).await?;
        Ok(bytes)
    };
    let body = tokio::time::timeout(left, read).await.unwrap_or(Err(CallError::Timeout(left)))?;
    // After a failure the replica may not have read the whole request, so the connection cannot be
    // reused.
    if status.is_success() {
        call.gateway.connections.put_back(connection);
    }
    Ok(BufferedAnswer { status, headers, body })
}

impl BufferedAnswer {
    /// An answer that was read from another daemon.
    pub(crate) fn new(status: StatusCode, headers: HeaderMap, body: BodyBuffer) -> BufferedAnswer {
        BufferedAnswer { status, headers, body }
    }

    /// The answer to the caller: end-to-end headers only. Counts as memory of `budget` until it is sent;
    /// fails if there is none left for a long one.
    pub(crate) fn into_response(
        self,
        budget: &SharedBudget,
    ) -> Result<CallerResponse, BufferExhausted> {
        let mut share = BufferShare::new(budget);
        share.resize(self.body.len())?;
        let share = Arc::new(share);
        let segments = self
            .body
            .into_segments()
            .map(|bytes| Bytes::from_owner(WaitingSegment { bytes, _share: share.clone() }));
        let mut response = Response::new(CallerBody::Full(segments.collect()));
        *response.status_mut() = self.status;
        *response.headers_mut() = end_to_end(self.headers);
        Ok(response)
    }
}

/// A part of an answer's body until it is sent. All of them share the memory of the answer.
struct WaitingSegment {
    bytes: Bytes,
    _share: Arc<BufferShare>,
}

impl AsRef<[u8]> for WaitingSegment {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Removes the hop-by-hop headers and `Content-Length`, which the server sets anew.
pub(crate) fn end_to_end(mut headers: HeaderMap) -> HeaderMap {
    hop_by_hop::remove(&mut headers);
    headers.remove(http::header::CONTENT_LENGTH);
    headers
}

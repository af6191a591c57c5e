//! Reads the bodies of replicas' answers within limits of length and memory.

use http_body_util::BodyExt;
use hyper::body::Incoming;
use web::client::CallError;

use crate::body_buffer::BodyBuffer;
use crate::buffer_share::BufferShare;

/// Reads a body to its end; fails if it is longer than `max_bytes`, or if `share` gets no memory for
/// the rest of it.
pub(crate) async fn read_body(
    body: &mut Incoming,
    share: &mut BufferShare,
    max_bytes: usize,
) -> Result<BodyBuffer, CallError> {
    let mut buffer = BodyBuffer::default();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| CallError::Broken(error.to_string().into()))?;
        let Some(data) = frame.data_ref() else { continue };
        if data.len() > max_bytes - buffer.len() {
            return Err(CallError::TooLong(max_bytes));
        }
        // A frame keeps the whole read buffer that it is a part of, so its bytes are copied.
        buffer.extend(data, share).map_err(|_| CallError::TooLong(buffer.len()))?;
    }
    Ok(buffer)
}

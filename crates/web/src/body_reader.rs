//! Reads message bodies whole, within a limit of length.

use std::fmt::Display;
use std::pin::pin;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;

/// Why a body was not read whole.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// It is longer than the limit. Holds the limit in bytes.
    #[error("the body is longer than {0} bytes")]
    TooLong(usize),
    /// It ended early, or is malformed.
    #[error("the body broke off: {0}")]
    Broken(Box<str>),
}

/// Reads a body of at most `max_bytes` to its end. Holds little more memory than its bytes take,
/// however small the pieces are in which they arrive.
pub async fn read_body<B>(body: B, max_bytes: usize) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes>,
    B::Error: Display,
{
    let mut body = pin!(body);
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| BodyError::Broken(error.to_string().into()))?;
        let Some(data) = frame.data_ref() else { continue };
        if data.len() > max_bytes - bytes.len() {
            return Err(BodyError::TooLong(max_bytes));
        }
        // A frame keeps the whole read buffer that it is a part of, so its bytes are copied.
        bytes.extend_from_slice(data);
    }
    Ok(bytes.freeze())
}

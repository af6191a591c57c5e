//! Bincode on h2 streams.

use bytes::{Bytes, BytesMut};
use h2::{RecvStream, SendStream};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Longest message.
const MAX_MESSAGE_BYTES: usize = 64 << 20;

/// Why a message could not be carried.
#[derive(Debug, Clone, thiserror::Error)]
pub(crate) enum CodecError {
    #[error("stream: {0}")]
    Stream(Box<str>),
    #[error("malformed message: {0}")]
    Malformed(Box<str>),
}

impl From<h2::Error> for CodecError {
    fn from(error: h2::Error) -> CodecError {
        CodecError::Stream(error.to_string().into())
    }
}

pub(crate) fn send(
    stream: &mut SendStream<Bytes>,
    message: &impl Serialize,
) -> Result<(), CodecError> {
    let bytes = bincode::serde::encode_to_vec(message, bincode::config::standard())
        .map_err(|error| CodecError::Malformed(error.to_string().into()))?;
    Ok(stream.send_data(bytes.into(), true)?)
}

pub(crate) async fn receive<T: DeserializeOwned>(stream: &mut RecvStream) -> Result<T, CodecError> {
    let mut whole = BytesMut::new();
    while let Some(chunk) = stream.data().await {
        let chunk = chunk?;
        if whole.len() + chunk.len() > MAX_MESSAGE_BYTES {
            return Err(CodecError::Malformed("longer than the limit".into()));
        }
        stream.flow_control().release_capacity(chunk.len())?;
        whole.extend_from_slice(&chunk);
    }
    bincode::serde::decode_from_slice(&whole, bincode::config::standard())
        .map(|(message, _)| message)
        .map_err(|error| CodecError::Malformed(error.to_string().into()))
}

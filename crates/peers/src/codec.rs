//! Encodes messages with bincode and sends each as the body of one h2 stream.

use bytes::{Bytes, BytesMut};
use h2::{RecvStream, SendStream};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The longest message that is accepted from a peer, in bytes.
pub(crate) const MAX_MESSAGE_BYTES: usize = 64 << 20;

/// Why a message was not sent or received.
#[derive(Debug, Clone, thiserror::Error)]
pub(crate) enum CodecError {
    /// The connection or its stream failed.
    #[error("the connection failed: {0}")]
    Stream(Box<str>),
    /// The message cannot be encoded or decoded, or the peer did not follow the handshake.
    #[error("malformed message or failed handshake: {0}")]
    Malformed(Box<str>),
}

impl From<h2::Error> for CodecError {
    fn from(error: h2::Error) -> CodecError {
        CodecError::Stream(error.to_string().into())
    }
}

/// Encodes a message, sends it and closes this direction of the stream.
pub(crate) fn send(
    stream: &mut SendStream<Bytes>,
    message: &impl Serialize,
) -> Result<(), CodecError> {
    let bytes = bincode::serde::encode_to_vec(message, bincode::config::standard())
        .map_err(|error| CodecError::Malformed(error.to_string().into()))?;
    Ok(stream.send_data(bytes.into(), true)?)
}

/// Reads the stream to its end and decodes the message, of at most `max_bytes`.
pub(crate) async fn receive<T: DeserializeOwned>(
    stream: &mut RecvStream,
    max_bytes: usize,
) -> Result<T, CodecError> {
    let mut buffer = BytesMut::new();
    while let Some(chunk) = stream.data().await {
        let chunk = chunk?;
        if buffer.len() + chunk.len() > max_bytes {
            let text = format!("the message is longer than {max_bytes} bytes");
            return Err(CodecError::Malformed(text.into()));
        }
        stream.flow_control().release_capacity(chunk.len())?;
        buffer.extend_from_slice(&chunk);
    }
    // Without a limit the decoder reserves memory for any length that the message claims, and the
    // process is aborted if there is not as much.
    let config = bincode::config::standard().with_limit::<MAX_MESSAGE_BYTES>();
    bincode::serde::decode_from_slice(&buffer, config)
        .map(|(message, _)| message)
        .map_err(|error| CodecError::Malformed(error.to_string().into()))
}

//! Bodies of answers to callers.

use std::collections::VecDeque;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures::stream::BoxStream;
use http_body::{Body, Frame, SizeHint};

/// Makes the server close the connection without the final chunk, so that the caller does not take
/// a cut stream for a whole one.
#[derive(Debug, Clone, Copy, thiserror::Error)]
#[error("the answer was aborted before its end")]
pub struct BodyAborted;

/// The body of an answer: buffered, or streamed.
pub enum CallerBody {
    /// The parts that are not sent yet, none of them empty.
    Full(VecDeque<Bytes>),
    /// Chunks that are sent as they arrive.
    Chunks(BoxStream<'static, Result<Bytes, BodyAborted>>),
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        match self.get_mut() {
            CallerBody::Full(parts) => Poll::Ready(parts.pop_front().map(|it| Ok(Frame::data(it)))),
            CallerBody::Chunks(chunks) => {
                let chunk = chunks.as_mut().poll_next(context);
                chunk.map(|it| it.map(|it| it.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, CallerBody::Full(parts) if parts.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            CallerBody::Full(parts) => {
                SizeHint::with_exact(parts.iter().map(|it| it.len() as u64).sum())
            }
            CallerBody::Chunks(_) => SizeHint::default(),
        }
    }
}

impl CallerBody {
    /// A body that is sent with a known length.
    pub fn full(bytes: Bytes) -> CallerBody {
        CallerBody::Full(Some(bytes).filter(|it| !it.is_empty()).into_iter().collect())
    }
}

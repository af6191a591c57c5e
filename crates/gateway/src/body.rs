//! Bodies of answers to callers.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures::stream::BoxStream;
use http_body::{Body, Frame, SizeHint};

/// Why a stream is broken off: the connection ends without its proper end.
#[derive(Debug, Clone, Copy, thiserror::Error)]
#[error("the answer was broken off")]
pub struct BodyAborted;

/// The body of an answer: whole, or a stream of pieces.
pub enum CallerBody {
    /// All bytes at once.
    Full(Option<Bytes>),
    /// Pieces as they come.
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
            CallerBody::Full(bytes) => Poll::Ready(bytes.take().map(|it| Ok(Frame::data(it)))),
            CallerBody::Chunks(pieces) => {
                let piece = pieces.as_mut().poll_next(context);
                piece.map(|it| it.map(|it| it.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, CallerBody::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            CallerBody::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |it| it.len() as u64))
            }
            CallerBody::Chunks(_) => SizeHint::default(),
        }
    }
}

impl CallerBody {
    /// A body of these bytes.
    pub fn full(bytes: Bytes) -> CallerBody {
        CallerBody::Full(Some(bytes).filter(|it| !it.is_empty()))
    }
}

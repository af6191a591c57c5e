//! Bodies of answers to callers.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures::stream::BoxStream;
use http_body::{Body, Frame, SizeHint};

/// Why a stream is broken off: the connection ends without its proper end.
#[derive(Debug, Clone, Copy, thiserror::Error)]
#[error("the answer was broken off")]
pub struct BrokenOff;

/// The body of an answer: whole, or a stream of pieces.
pub enum CallerBody {
    /// All bytes at once.
    Whole(Option<Bytes>),
    /// Pieces as they come.
    Pieces(BoxStream<'static, Result<Bytes, BrokenOff>>),
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        match self.get_mut() {
            CallerBody::Whole(bytes) => Poll::Ready(bytes.take().map(|it| Ok(Frame::data(it)))),
            CallerBody::Pieces(pieces) => {
                let piece = pieces.as_mut().poll_next(context);
                piece.map(|it| it.map(|it| it.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, CallerBody::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            CallerBody::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |it| it.len() as u64))
            }
            CallerBody::Pieces(_) => SizeHint::default(),
        }
    }
}

impl CallerBody {
    /// A body of these bytes.
    pub fn whole(bytes: Bytes) -> CallerBody {
        CallerBody::Whole(Some(bytes).filter(|it| !it.is_empty()))
    }
}

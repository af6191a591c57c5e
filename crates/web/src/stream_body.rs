//! A body made of a stream of pieces.

use std::io;
use std::pin::Pin;
use std::sync::Mutex;
use std::task::{Context, Poll};

use bytes::Bytes;
use dropshot::Body;
use futures::Stream;
use hyper::body::Frame;

/// A body from a stream of pieces; an error among them breaks the connection. The stream is
/// dropped when the other side goes.
pub fn stream_body<S>(pieces: S) -> Body
where
    S: Stream<Item = io::Result<Bytes>> + Send + Unpin + 'static,
{
    Body::wrap(StreamBody { pieces: Mutex::new(pieces) })
}

/// The mutex is never locked: it makes the body shareable between threads, as dropshot asks.
struct StreamBody<S> {
    pieces: Mutex<S>,
}

impl<S> hyper::body::Body for StreamBody<S>
where
    S: Stream<Item = io::Result<Bytes>> + Unpin,
{
    type Data = Bytes;
    type Error = Box<dyn std::error::Error + Send + Sync>;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let pieces = self.pieces.get_mut().unwrap_or_else(|it| it.into_inner());
        let polled = Pin::new(pieces).poll_next(context);
        polled.map(|it| it.map(|piece| piece.map(Frame::data).map_err(Into::into)))
    }
}

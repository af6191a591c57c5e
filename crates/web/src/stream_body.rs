//! A body whose data comes from a stream of chunks.

use std::io;
use std::pin::Pin;
use std::sync::Mutex;
use std::task::{Context, Poll};

use bytes::Bytes;
use dropshot::Body;
use futures::Stream;
use hyper::body::Frame;

/// A body that sends the chunks of a stream as they come. An error in the stream breaks the
/// connection. The stream is dropped when the other side closes the connection.
pub fn stream_body<S>(chunks: S) -> Body
where
    S: Stream<Item = io::Result<Bytes>> + Send + Unpin + 'static,
{
    Body::wrap(StreamBody { chunks: Mutex::new(chunks) })
}

/// The mutex is never locked. It makes the body `Sync`, which dropshot requires.
struct StreamBody<S> {
    chunks: Mutex<S>,
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
        let chunks = self.chunks.get_mut().unwrap_or_else(|it| it.into_inner());
        let polled = Pin::new(chunks).poll_next(context);
        polled.map(|it| it.map(|chunk| chunk.map(Frame::data).map_err(Into::into)))
    }
}

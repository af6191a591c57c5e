//! Answers whose connection is reset before the body is complete.

use std::io;

use bytes::Bytes;
use dropshot::Body;
use futures::stream;
use http::Response;

/// An answer with status 200 whose connection is reset after one byte of its body.
pub(crate) fn truncated_answer() -> Response<Body> {
    let chunks = vec![Ok(Bytes::from_static(b"{")), Err(reset_error())];
    Response::new(web::stream_body(stream::iter(chunks)))
}

/// The error that makes the server close the connection in the middle of a body.
pub(crate) fn reset_error() -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionReset, "connection reset by an injected fault")
}

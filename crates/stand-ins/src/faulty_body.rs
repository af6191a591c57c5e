//! Answers that break.

use std::io;

use bytes::Bytes;
use dropshot::Body;
use futures::stream;
use http::Response;

/// An answer whose headers come and whose body breaks.
pub(crate) fn broken_answer() -> Response<Body> {
    let pieces = vec![Ok(Bytes::from_static(b"{")), Err(cut())];
    Response::new(web::stream_body(stream::iter(pieces)))
}

/// The error that breaks a connection.
pub(crate) fn cut() -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionReset, "cut by a fault")
}

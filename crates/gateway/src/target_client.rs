//! The daemon's own requests to replicas and KV stores: probes, reports and commands.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response};
use http_body_util::Full;
use policy::admission::WithholdReason;
use web::client::{CallError, Connection};

use crate::body_reader;
use crate::buffer_share::BufferShare;
use crate::connections::SendError;
use crate::dialect::Dialect;
use crate::directory::Directory;
use crate::gateway::Gateway;

/// What the answer to such a request may take.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AnswerLimits {
    /// The time until its headers have arrived, and then until its body has.
    pub(crate) timeout: Duration,
    /// The longest body, in bytes.
    pub(crate) max_bytes: usize,
}

/// Sends a request to the target `id` at `address` and reads the whole answer within `limits`. `admit`
/// is asked right before it is written.
pub(crate) async fn send_request<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    address: SocketAddr,
    id: &str,
    mut request: Request<Bytes>,
    limits: AnswerLimits,
    admit: impl Fn() -> Result<(), WithholdReason>,
) -> Result<Response<Bytes>, SendError> {
    let timeout = limits.timeout;
    if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
        request.headers_mut().insert(http::header::HOST, host);
    }
    // Only reads use a pooled connection: it may have stopped carrying data, and a command would
    // time out without its outcome being known.
    let which = match *request.method() {
        Method::GET => Connection::Pooled,
        _ => Connection::Fresh,
    };
    let request = request.map(Full::new);
    let answer = gateway.connections.send(address, id, request, which, timeout, admit);
    let (status, headers, mut body, connection) = answer.await?.split();
    let mut share = BufferShare::new(&gateway.buffers);
    let body = body_reader::read_body(&mut body, &mut share, limits.max_bytes);
    let body = tokio::time::timeout(timeout, body).await;
    let body = body.map_err(|_| CallError::Timeout(timeout))??;
    gateway.connections.put_back(connection);
    let mut response = Response::new(body.into_bytes());
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    Ok(response)
}

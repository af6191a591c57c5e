//! The daemon's own requests to replicas and KV stores: probes, reports and commands.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response};
use http_body_util::{BodyExt, Full};
use policy::admission::WithholdReason;
use web::client::{CallError, Connection};

use crate::connections::SendError;
use crate::dialect::Dialect;
use crate::directory::Directory;
use crate::gateway::Gateway;

/// Sends a request to the target `id` at `address` and reads the whole answer. The headers and then
/// the body must arrive within `timeout` each. `admit` is asked right before it is written.
pub(crate) async fn send_request<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    address: SocketAddr,
    id: &str,
    mut request: Request<Bytes>,
    timeout: Duration,
    admit: impl Fn() -> Result<(), WithholdReason>,
) -> Result<Response<Bytes>, SendError> {
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
    let (status, headers, body, connection) = answer.await?.split();
    let body = tokio::time::timeout(timeout, body.collect()).await;
    let body = body.map_err(|_| CallError::Timeout(timeout))?;
    let body = body.map_err(|error| CallError::Broken(error.to_string().into()))?;
    gateway.connections.put_back(connection);
    let mut response = Response::new(body.to_bytes());
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    Ok(response)
}

//! Calls of the daemon's own to replicas and KV stores.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use web::client::{CallError, Connection};

use crate::dialect::Dialect;
use crate::directory::Directory;
use crate::gateway::Gateway;

/// Sends a request and reads the whole answer, each within `time`.
pub(crate) async fn send_request<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    address: SocketAddr,
    id: &str,
    mut request: Request<Bytes>,
    time: Duration,
) -> Result<(StatusCode, Bytes), CallError> {
    if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
        request.headers_mut().insert(http::header::HOST, host);
    }
    // What changes something must not meet a connection that has gone silent.
    let which = match *request.method() {
        Method::GET => Connection::Pooled,
        _ => Connection::Fresh,
    };
    let request = request.map(Full::new);
    let answer = gateway.connections.send(address, id, request, which, time);
    let (status, _, body, rest) = answer.await?.split();
    let body = tokio::time::timeout(time, body.collect()).await;
    let body = body.map_err(|_| CallError::Timeout(time))?;
    let body = body.map_err(|error| CallError::Broken(error.to_string().into()))?;
    gateway.connections.put_back(rest);
    Ok((status, body.to_bytes()))
}

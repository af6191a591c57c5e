//! Serves callers' connections: enforces limits, and finds each request's route and customer.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt::{TokioIo, TokioTimer};
use ids::{CustomerId, ErrorKind, RunState};
use policy::read_schedule;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time;

use crate::body_buffer::BodyBuffer;
use crate::buffer_share::BufferShare;
use crate::call;
use crate::caller_request::{self, CallerRequest};
use crate::config::{RouteRule, SiteConfig};
use crate::connections::CallerResponse;
use crate::dialect::{Dialect, RequestHead};
use crate::directory::Directory;
use crate::gateway::{Gateway, lock};
use crate::refusal::CallRefusal;
use crate::relay::{self, RequestOrigin};

/// Size of a connection's read buffer; the server refuses headers that exceed it.
const READ_BUFFER_BYTES: usize = 64 << 10;
/// How long a caller may take to send the body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// When a caller may send again that was refused because the memory for bodies was used up.
const BUFFER_RETRY_DELAY: Duration = Duration::from_millis(500);
/// When a caller may send again that was refused because this daemon is about to end: other daemons
/// take the request at once.
const LEAVING_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Delay after a failed accept, because it keeps failing while file descriptors are exhausted.
pub(crate) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// When a caller may send again whose route or key is not known here, by a copy that is too old.
/// Other daemons may know them.
const STALE_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Idle connections are kept this many times longer than the limit, so that a caller that observes
/// the limit never sends a request on a closed one.
const IDLE_FACTOR: u32 = 2;
/// Idle limit of connections that are opened before a configuration is known.
const DEFAULT_IDLE_TIME: Duration = Duration::from_secs(15);

/// How long connections stay open after the listener is closed, for requests that callers have sent
/// by then.
pub(crate) const CLOSE_LINGER: Duration = Duration::from_millis(250);

/// Who connects to a listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ListenerSide {
    /// Callers.
    Callers,
    /// Daemons that pass requests on (`relay`).
    Daemons,
}

/// Accepts connections until `stop` is true; then serves those that the kernel has accepted, and
/// closes each one after its current request.
pub(crate) async fn serve<D: Dialect, S: Directory>(
    gateway: Arc<Gateway<D, S>>,
    listener: TcpListener,
    side: ListenerSide,
    mut stop: watch::Receiver<bool>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = async { drop(stop.wait_for(|it| *it).await) } => break,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!("front: accept failed, retrying: {error}");
                time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        tokio::spawn(serve_connection(gateway.clone(), stream, side, stop.clone()));
    }
    // Callers consider these connections open, and may have sent a request.
    while let Ok(Ok((stream, _))) = time::timeout(Duration::ZERO, listener.accept()).await {
        tokio::spawn(serve_connection(gateway.clone(), stream, side, stop.clone()));
    }
}

async fn serve_connection<D: Dialect, S: Directory>(
    gateway: Arc<Gateway<D, S>>,
    stream: TcpStream,
    side: ListenerSide,
    mut stop: watch::Receiver<bool>,
) {
    let _open = gateway.track_connection();
    // An error is ignored: without this option answers are only slower.
    let _ = stream.set_nodelay(true);
    let idle = gateway.config().map_or(DEFAULT_IDLE_TIME, |it| it.limits.idle_time);
    let handler = service::service_fn(|request| {
        let gateway = gateway.clone();
        async move { Ok::<_, Infallible>(answer(&gateway, side, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle * IDLE_FACTOR)
        .max_buf_size(READ_BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), handler);
    tokio::pin!(connection);
    let closing = async {
        drop(stop.wait_for(|it| *it).await);
        time::sleep(CLOSE_LINGER).await;
    };
    // The connection is polled first, so that a request which has arrived is read before it closes.
    let ended = tokio::select! {
        biased;
        ended = connection.as_mut() => ended,
        () = closing => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        tracing::debug!("front: connection closed with an error: {error}");
    }
}

/// Answers a request; asks the caller to close the connection if this daemon is leaving.
async fn answer<D: Dialect, S: Directory>(
    gateway: &Arc<Gateway<D, S>>,
    side: ListenerSide,
    mut request: Request<Incoming>,
) -> CallerResponse {
    if side == ListenerSide::Daemons
        && let Some(answer) = relay::answer_check(gateway, request.headers()).await
    {
        return answer;
    }
    let max_sockets = gateway.settings().max_sockets;
    let origin = match side {
        ListenerSide::Callers => Some(RequestOrigin::Caller),
        ListenerSide::Daemons => {
            let from = request.headers_mut().remove(relay::RELAY_HEADER);
            let from = from.as_ref().and_then(|it| it.to_str().ok());
            gateway.relay.take(max_sockets, from.unwrap_or_default()).map(RequestOrigin::Daemon)
        }
    };
    let answered = match origin {
        Some(origin) => route_request(gateway, origin, request).await,
        None => Err(CallRefusal::not_run(ErrorKind::NoTarget)),
    };
    let mut response = match answered {
        Ok(response) => response,
        Err(refusal) => {
            let (kind, run) = (refusal.kind, refusal.run);
            let mut response = refusal.into_response();
            if side == ListenerSide::Daemons {
                relay::mark_refusal(&mut response, kind, run);
            }
            response
        }
    };
    if gateway.is_leaving() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(http::header::CONNECTION, close);
    }
    response
}

/// Reads a request, finds its route and customer, and handles it. Refusals are counted and logged.
async fn route_request<D: Dialect, S: Directory>(
    gateway: &Arc<Gateway<D, S>>,
    origin: RequestOrigin,
    request: Request<Incoming>,
) -> Result<CallerResponse, CallRefusal> {
    let started_at = gateway.now();
    let (parts, body) = request.into_parts();
    let head = gateway.dialect.parse_request(&parts).map_err(|error| {
        gateway.metrics.record_refusal(ErrorKind::BadRequest.code());
        caller_request::refuse_head(error)
    })?;
    let attempt_id = head.attempt_id.clone();
    let log_refusal = |refusal: CallRefusal| {
        gateway.metrics.record_refusal(refusal.kind.code());
        let run = refusal.run.code();
        tracing::info!(request = %attempt_id, kind = %refusal.kind, run, "call: refused");
        refusal
    };
    let res = async {
        check_framing(&parts.headers)?;
        let config = gateway.config();
        let config = config.ok_or(CallRefusal::not_run(ErrorKind::ConfigMissing))?;
        if header_bytes(&parts.headers) > config.limits.header_bytes {
            return Err(CallRefusal::not_run(ErrorKind::HeadersTooLarge));
        }
        let mut share = BufferShare::new(&gateway.buffers);
        let time_limit = head.deadline.map_or(BODY_TIMEOUT, |it| it.min(BODY_TIMEOUT));
        let limit = config.limits.body_bytes;
        let body = read_body(body, limit, time_limit, &mut share).await?;
        // Parts of it may have arrived before the listener was closed.
        if gateway.is_closed() {
            let refusal = CallRefusal::not_run(ErrorKind::Leaving);
            return Err(refusal.retry_after(LEAVING_RETRY_DELAY));
        }
        // A newer configuration may have been applied while the body was read.
        let config = gateway.config().unwrap_or(config);
        let resolved = resolve_route(&config, &head, parts.uri.path());
        let (route, customer) = resolved.map_err(|it| qualify_denial(gateway, it))?;
        let request = CallerRequest {
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
            head,
            body,
            body_share: share,
            origin,
            started_at,
        };
        tokio::select! {
            biased;
            res = call::handle(gateway, config, route, customer, request) => res,
            () = gateway.wait_drain_end() => Err(CallRefusal {
                run: RunState::MaybeRun,
                ..CallRefusal::not_run(ErrorKind::TargetTimeout)
            }),
        }
    };
    res.await.map_err(log_refusal)
}

/// Finds the route of a request, and the customer if its key is known.
fn resolve_route(
    config: &SiteConfig,
    head: &RequestHead,
    path: &str,
) -> Result<(RouteRule, Option<CustomerId>), CallRefusal> {
    let route = config.route(&head.host, path).cloned();
    let route = route.ok_or(CallRefusal::not_run(ErrorKind::RouteUnknown))?;
    let customer = caller_request::resolve_customer(config, &route, head)?;
    Ok((route, customer))
}

/// A route or key that is not known here may have been added since the configuration was last known
/// to be current; then the request is refused for now instead of for good.
fn qualify_denial<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    denial: CallRefusal,
) -> CallRefusal {
    let confirmed_at = lock(&gateway.view).control_confirmed_at();
    let age = gateway.now().saturating_sub(confirmed_at.unwrap_or_default());
    if read_schedule::shows_absence(gateway.settings().bounds.config_apply, age) {
        return denial;
    }
    CallRefusal::not_run(ErrorKind::ConfigStale).retry_after(STALE_RETRY_DELAY)
}

/// Rejects a body with two lengths, which could smuggle a second request past this daemon.
fn check_framing(headers: &HeaderMap) -> Result<(), CallRefusal> {
    let chunked = headers.contains_key(http::header::TRANSFER_ENCODING);
    let lengths = headers.get_all(http::header::CONTENT_LENGTH).into_iter().count();
    if (chunked && lengths > 0) || lengths > 1 {
        return Err(CallRefusal::not_run(ErrorKind::BadRequest));
    }
    Ok(())
}

/// Reads a body of at most `limit` bytes within `time_limit`. A caller that sends a long one while the memory for
/// bodies is used up is refused.
async fn read_body(
    mut body: Incoming,
    limit: usize,
    time_limit: Duration,
    share: &mut BufferShare,
) -> Result<Bytes, CallRefusal> {
    let refuse = |kind| Err(CallRefusal::not_run(kind));
    let read = async {
        let mut buffer = BodyBuffer::default();
        while let Some(frame) = body.frame().await {
            // After an error the caller has disconnected, so this answer is not delivered.
            let Ok(frame) = frame else { return refuse(ErrorKind::BadRequest) };
            let Some(data) = frame.data_ref() else { continue };
            if buffer.len() + data.len() > limit {
                return refuse(ErrorKind::BodyTooLarge);
            }
            if buffer.extend(data, share).is_err() {
                let refusal = CallRefusal::not_run(ErrorKind::QueueFull);
                return Err(refusal.retry_after(BUFFER_RETRY_DELAY));
            }
        }
        Ok(buffer.into_bytes())
    };
    let read = time::timeout(time_limit, read).await;
    read.unwrap_or_else(|_| refuse(ErrorKind::CallerTimeout))
}

/// The size of the headers as sent in HTTP/1: name, value, colon, space and line end.
fn header_bytes(headers: &HeaderMap) -> usize {
    headers.iter().map(|(name, value)| name.as_str().len() + value.len() + 4).sum()
}

//! Passes a request on through another daemon, when this one reaches no replica. The other daemon
//! handles it like one of its own callers', except that it neither charges the customer again nor
//! passes it on once more.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use futures::{future, stream};
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Body;
use ids::{ErrorKind, PoolId, RunState};
use indexmap::IndexMap;
use policy::replica_path::{self as path_policy, ReplicaPath};
use rand::seq::SliceRandom;
use web::client::{CallError, Connection};

use crate::body::{BodyAborted, CallerBody};
use crate::body_reader;
use crate::buffer_share::BufferShare;
use crate::buffered::{self, BufferedAnswer};
use crate::call::Call;
use crate::connections::{CallerResponse, OpenAnswer, SendError};
use crate::dialect::Dialect;
use crate::directory::{Directory, MemberEntry};
use crate::gateway::{Gateway, lock};
use crate::refusal::CallRefusal;
use crate::replica_path;

/// On a request: the daemon that passes it on. On an answer: the error code with which the other
/// daemon refused the request itself.
pub(crate) const RELAY_HEADER: &str = "x-kingcupshift-relay";
/// On a request that asks whether another daemon reaches replicas of the pool that it names.
const CHECK_HEADER: &str = "x-kingcupshift-check";
/// How long other daemons may take to answer that; their connections take most of it.
const CHECK_TIMEOUT: Duration = Duration::from_millis(800);
/// Daemons that a request is offered to.
const MAX_HELPERS: usize = 5;
/// With less time left, a request is not passed on: it could not be answered.
const MIN_TIME_LEFT: Duration = Duration::from_millis(50);
/// For how long a daemon that refused or could not be reached is asked last.
const UNFIT_TIME: Duration = Duration::from_secs(2);
/// Longest answer that is buffered.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// Refusals of a daemon that knows less or reaches less than others; the request did not run.
const LOCAL_REFUSALS: [ErrorKind; 8] = [
    ErrorKind::NoTarget,
    ErrorKind::Leaving,
    ErrorKind::ConfigMissing,
    ErrorKind::ConfigStale,
    ErrorKind::RouteUnknown,
    ErrorKind::KeyMissing,
    ErrorKind::KeyRefused,
    ErrorKind::QueueFull,
];

/// What a daemon keeps to pass requests on, and to take those of others.
#[derive(Debug, Default)]
pub(crate) struct RelayState {
    /// The path to the replicas of each pool.
    pub(crate) paths: Mutex<IndexMap<PoolId, ReplicaPath>>,
    /// Daemons that refused or could not be reached, and until when they are asked last.
    unfit_helpers: Mutex<IndexMap<SocketAddr, Duration>>,
    /// Cloned for each request that another daemon passed on and that is in flight.
    taken: Arc<()>,
}

/// Who sent a request to this daemon.
#[derive(Debug, Clone)]
pub(crate) enum RequestOrigin {
    /// A caller.
    Caller,
    /// Another daemon that passes it on.
    Daemon(RelayedGuard),
}

/// Counts a request that another daemon passed on until this is dropped.
#[derive(Debug, Clone)]
pub(crate) struct RelayedGuard {
    /// The id of the other daemon, for the log.
    pub(crate) sender: Box<str>,
    _count: Arc<()>,
}

impl RelayState {
    /// Takes a request that another daemon passes on; `None` if there is no room for it.
    pub(crate) fn take(&self, max_sockets: usize, sender: &str) -> Option<RelayedGuard> {
        let taken = Arc::strong_count(&self.taken) - 1;
        let has_room = path_policy::takes_relayed(taken, max_sockets);
        has_room.then(|| RelayedGuard { sender: sender.into(), _count: self.taken.clone() })
    }

    /// Whether the replicas of any pool are out of reach.
    pub(crate) fn is_any_path_cut(&self) -> bool {
        lock(&self.paths).values().any(ReplicaPath::is_cut)
    }

    /// Whether the replicas of this pool are out of reach.
    pub(crate) fn is_path_cut(&self, pool: &PoolId) -> bool {
        lock(&self.paths).get(pool).is_some_and(ReplicaPath::is_cut)
    }

    /// Whether failures at replicas of this pool may be due to the path.
    pub(crate) fn is_path_suspect(&self, now: Duration, pool: &PoolId) -> bool {
        lock(&self.paths).get(pool).is_some_and(|it| it.is_suspect(now))
    }
}

/// What became of a request that was to be passed on.
pub(crate) enum RelayOutcome {
    /// The other daemon's answer.
    Answered(CallerResponse),
    /// It may have run, and its answer is lost.
    Failed(CallRefusal),
    /// No other daemon took it.
    NotTaken,
}

impl<D: Dialect, S: Directory> Call<D, S> {
    /// Passes the request on through another daemon. It is sent to further ones only as long as it
    /// certainly did not run.
    pub(crate) async fn relay(&mut self) -> RelayOutcome {
        for (helper, address) in helpers(&self.gateway) {
            let left = self.deadline.saturating_sub(self.gateway.now());
            if left < MIN_TIME_LEFT {
                break;
            }
            let request = self.relay_request();
            let key = format!("relay/{}", helper.id);
            let connections = &self.gateway.connections;
            let sent =
                connections.send(address, &key, request, Connection::Fresh, left, || Ok(())).await;
            let id = &self.head.attempt_id;
            match sent {
                Ok(answer) if is_local_refusal(&answer.headers) => {
                    tracing::info!(request = %id, helper = %helper.id, "relay: not taken");
                    self.mark_unfit(address);
                    self.gateway.metrics.record_relay("not_taken");
                }
                Ok(answer) => {
                    let status = answer.status.as_u16();
                    tracing::info!(request = %id, helper = %helper.id, status, "relay: answered");
                    self.gateway.metrics.record_relay("answered");
                    return self.take_answer(answer).await;
                }
                Err(SendError::Call(CallError::NotSent(error))) => {
                    tracing::info!(request = %id, helper = %helper.id, "relay: not sent: {error}");
                    self.mark_unfit(address);
                    self.gateway.metrics.record_relay("not_sent");
                }
                Err(error) => {
                    tracing::warn!(request = %id, helper = %helper.id, "relay: failed: {error}");
                    self.mark_unfit(address);
                    return self.fail(ErrorKind::TargetFailed);
                }
            }
        }
        RelayOutcome::NotTaken
    }

    fn mark_unfit(&self, address: SocketAddr) {
        let until = self.gateway.now() + UNFIT_TIME;
        lock(&self.gateway.relay.unfit_helpers).insert(address, until);
    }

    fn relay_request(&self) -> Request<Full<Bytes>> {
        let left = self.deadline.saturating_sub(self.gateway.now());
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.gateway.dialect.relay_headers(&self.headers, left);
        if let Ok(own) = HeaderValue::from_str(self.gateway.own.id.as_str()) {
            request.headers_mut().insert(RELAY_HEADER, own);
        }
        request
    }

    /// Forwards the answer: whole if its length is known, otherwise as it arrives.
    async fn take_answer(&mut self, answer: OpenAnswer) -> RelayOutcome {
        let (status, mut headers, mut body, connection) = answer.split();
        headers.remove(RELAY_HEADER);
        if body.size_hint().exact().is_some() {
            let left = self.deadline.saturating_sub(self.gateway.now());
            let mut share = BufferShare::new(&self.gateway.buffers);
            let read = body_reader::read_body(&mut body, &mut share, MAX_ANSWER_BYTES);
            let body = match tokio::time::timeout(left, read).await {
                Ok(Ok(body)) => body,
                Ok(Err(_)) => return self.fail(ErrorKind::TargetFailed),
                Err(_) => return self.fail(ErrorKind::TargetTimeout),
            };
            let answer = BufferedAnswer::new(status, headers, body);
            return match answer.into_response(&self.gateway.waiting_answers) {
                Ok(response) => RelayOutcome::Answered(response),
                Err(_) => self.fail(ErrorKind::Internal),
            };
        }
        // The connection is closed when the caller leaves, which cancels the request.
        let frames = stream::unfold(Some((body, connection)), |state| async move {
            let (mut body, connection) = state?;
            match body.frame().await? {
                Ok(frame) => {
                    let data = frame.into_data().unwrap_or_default();
                    Some((Ok(data), Some((body, connection))))
                }
                Err(_) => Some((Err(BodyAborted), None)),
            }
        });
        let mut response = Response::new(CallerBody::Chunks(Box::pin(frames)));
        *response.status_mut() = status;
        *response.headers_mut() = buffered::end_to_end(headers);
        RelayOutcome::Answered(response)
    }

    fn fail(&mut self, kind: ErrorKind) -> RelayOutcome {
        self.run = RunState::MaybeRun;
        self.gateway.metrics.record_relay("failed");
        RelayOutcome::Failed(CallRefusal { run: self.run, ..CallRefusal::not_run(kind) })
    }
}

/// Whether any of a few other daemons can connect to replicas of a pool now.
pub(crate) async fn is_reached_by_others<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    pool: &PoolId,
) -> bool {
    let Ok(value) = HeaderValue::from_str(pool.as_str()) else { return false };
    let asking = helpers(gateway).into_iter().map(|(helper, address)| {
        let mut request = Request::new(Full::new(Bytes::new()));
        request.headers_mut().insert(CHECK_HEADER, value.clone());
        let host = HeaderValue::from_static("daemon");
        request.headers_mut().insert(http::header::HOST, host);
        async move {
            let key = format!("relay/{}", helper.id);
            let connections = &gateway.connections;
            let (which, admit) = (Connection::Fresh, || Ok(()));
            let sent = connections.send(address, &key, request, which, CHECK_TIMEOUT, admit).await;
            sent.is_ok_and(|it| it.status.is_success())
        }
    });
    future::join_all(asking).await.into_iter().any(|it| it)
}

/// Answers another daemon that asks whether this one reaches replicas of a pool; `None` if it does
/// not ask.
pub(crate) async fn answer_check<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    headers: &HeaderMap,
) -> Option<CallerResponse> {
    let pool: PoolId = headers.get(CHECK_HEADER)?.to_str().ok()?.parse().ok()?;
    let is_reached = replica_path::serves_pool(gateway, &pool).await;
    let mut response = Response::new(CallerBody::full(Bytes::new()));
    if !is_reached {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    Some(response)
}

/// The daemons to offer a request to.
fn helpers<D: Dialect, S: Directory>(gateway: &Gateway<D, S>) -> Vec<(MemberEntry, SocketAddr)> {
    let now = gateway.now();
    let port = gateway.settings().peer_port;
    let mut helpers: Vec<_> = lock(&gateway.members)
        .helpers(now)
        .map(|it| (it.clone(), SocketAddr::new(it.address, port)))
        .collect();
    helpers.shuffle(&mut rand::rng());
    let mut known_unfit = lock(&gateway.relay.unfit_helpers);
    known_unfit.retain(|_, until| now < *until);
    let (unfit, fit): (Vec<_>, Vec<_>) =
        helpers.into_iter().partition(|it| known_unfit.contains_key(&it.1));
    let (own_domain, others) = fit.into_iter().partition(|it| it.0.domain == gateway.own.domain);
    path_policy::order_helpers(own_domain, others, unfit, MAX_HELPERS)
}

/// Whether another daemon refused the request for a reason of its own.
fn is_local_refusal(headers: &HeaderMap) -> bool {
    let code = headers.get(RELAY_HEADER).and_then(|it| it.to_str().ok());
    code.is_some_and(|code| LOCAL_REFUSALS.iter().any(|it| it.code() == code))
}

/// Tells the daemon that passed a request on that this one refused it itself.
pub(crate) fn mark_refusal(response: &mut CallerResponse, kind: ErrorKind, run: RunState) {
    if run == RunState::NotRun {
        let code = HeaderValue::from_static(kind.code());
        response.headers_mut().insert(RELAY_HEADER, code);
    }
}

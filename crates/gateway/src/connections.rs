//! HTTP/1 connections to replicas, with a pool of idle ones.
//!
//! A connection serves one request at a time and is reused only after its answer was read to the
//! end. Dropping a request or answer before that closes the connection, which cancels the request
//! on the replica.

use std::io;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use policy::admission::WithholdReason;
use ports::Clock;
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::AbortHandle;
use web::client::{self, CallError, Connection};

/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// A connection fails if sent bytes stay unacknowledged this long (`TCP_USER_TIMEOUT`).
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Idle time before the first TCP keepalive probe, and between probes. Without probes, a replica
/// whose host disappears while a stream is awaited would go unnoticed.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keepalive probes after which a connection fails.
const MAX_KEEPALIVE_PROBES: u32 = 2;
/// Longest idle time of a connection that is reused: firewalls and NAT may drop idle ones.
const MAX_IDLE_TIME: Duration = Duration::from_millis(4_000);
/// Subtracted from the idle time that a replica announces, for the time a request travels.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Most idle connections to one replica.
const MAX_IDLE_CONNECTIONS: usize = 8;
/// Size of a connection's read buffer.
const READ_BUFFER_BYTES: usize = 16 << 10;

#[derive(Debug)]
struct OpenConnection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    /// When it becomes too old for reuse, on the daemon's clock.
    idle_until: Duration,
    /// Whether it has carried a request before.
    is_reused: bool,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Address and id of a replica: a later replica may get the same address.
type ReplicaKey = (SocketAddr, Box<str>);

/// Why a request brought no answer.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// It was not sent, as the replica may not get it any more.
    #[error("not sent to the replica: {0}")]
    Withheld(WithholdReason),
    /// The connection failed or the time ran out.
    #[error(transparent)]
    Call(#[from] CallError),
}

impl From<SendError> for CallError {
    fn from(error: SendError) -> CallError {
        match error {
            SendError::Withheld(_) => CallError::NotSent(error.to_string().into()),
            SendError::Call(error) => error,
        }
    }
}

/// Idle connections by replica.
type IdleConnections = IndexMap<ReplicaKey, Vec<OpenConnection>>;

/// Opens connections to replicas and pools the idle ones.
#[derive(Debug)]
pub struct ConnectionTable<C> {
    clock: C,
    idle: Mutex<IdleConnections>,
}

/// An answer whose headers have arrived and whose body has not been read.
#[derive(Debug)]
pub struct OpenAnswer {
    /// The status code.
    pub status: StatusCode,
    /// The headers as the replica sent them.
    pub headers: HeaderMap,
    /// The body, still on the connection.
    pub body: Incoming,
    connection: OpenConnection,
    key: ReplicaKey,
}

impl<C: Clock> ConnectionTable<C> {
    /// An empty pool.
    pub fn new(clock: C) -> ConnectionTable<C> {
        ConnectionTable { clock, idle: Mutex::default() }
    }

    /// Sends a request to `address`, where the replica `id` is expected, and waits up to `timeout`
    /// for the answer's headers. `which` says whether an idle connection may be reused. `admit` is
    /// asked once a connection is open, right before the request is written to it: much may have
    /// become known since the replica was chosen.
    pub async fn send(
        &self,
        address: SocketAddr,
        id: &str,
        request: Request<Full<Bytes>>,
        which: Connection,
        timeout: Duration,
        admit: impl Fn() -> Result<(), WithholdReason>,
    ) -> Result<OpenAnswer, SendError> {
        let exchange = self.exchange(address, id, request, which, admit);
        let res = tokio::time::timeout(timeout, exchange).await;
        res.unwrap_or(Err(SendError::Call(CallError::Timeout(timeout))))
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        id: &str,
        mut request: Request<Full<Bytes>>,
        which: Connection,
        admit: impl Fn() -> Result<(), WithholdReason>,
    ) -> Result<OpenAnswer, SendError> {
        let key = (address, Box::from(id));
        loop {
            let kept = match which {
                Connection::Pooled => self.take_idle(&key),
                Connection::Fresh => None,
            };
            let mut connection = match kept {
                Some(it) => it,
                None => open(address).await?,
            };
            admit().map_err(SendError::Withheld)?;
            match connection.sender.try_send_request(request).await {
                Ok(answer) => {
                    let (parts, body) = answer.into_parts();
                    return Ok(OpenAnswer {
                        status: parts.status,
                        headers: parts.headers,
                        body,
                        connection,
                        key,
                    });
                }
                Err(mut error) => match error.take_message() {
                    // The replica closed the idle connection before the request was sent.
                    Some(unsent) if connection.is_reused => request = unsent,
                    Some(_) => {
                        let causes = client::join_causes(error.error());
                        return Err(CallError::NotSent(causes).into());
                    }
                    None => {
                        let causes = client::join_causes(error.error());
                        return Err(CallError::Broken(causes).into());
                    }
                },
            }
        }
    }

    /// Whether connections to an address are refused, as after a crash. A timeout is no refusal.
    pub async fn refuses_connections(&self, address: SocketAddr) -> bool {
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, connect(address)).await;
        let refused = |error: io::Error| error.kind() == io::ErrorKind::ConnectionRefused;
        connecting.is_ok_and(|it| it.is_err_and(refused))
    }

    /// Whether a connection to an address can be opened now. It carries no request.
    pub async fn accepts_connections(&self, address: SocketAddr) -> bool {
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, connect(address)).await;
        connecting.is_ok_and(|it| it.is_ok())
    }

    /// Fails if the body that ended on this connection may have been cut short by a crash of the
    /// replica: nothing but the end of the connection marked its end, and the replica is gone.
    /// Otherwise the new connection that shows this is kept in place of the ended one.
    pub async fn check_end(&self, ended: &ReusableConnection) -> Result<(), CallError> {
        if !ended.is_unframed {
            return Ok(());
        }
        match tokio::time::timeout(CONNECT_TIMEOUT, connect(ended.key.0)).await {
            Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
                let text = "the answer ended with its connection, and the replica refuses new ones";
                Err(CallError::Broken(text.into()))
            }
            Ok(Ok(stream)) => {
                if let Ok(connection) = handshake(stream).await {
                    self.keep(ended.key.clone(), connection, MAX_IDLE_TIME);
                }
                Ok(())
            }
            Ok(Err(_)) | Err(_) => Ok(()),
        }
    }

    /// Returns the connection of an answer that was read to its end to the pool.
    pub fn put_back(&self, returned: ReusableConnection) {
        if let Some(idle_time) = returned.idle_time {
            self.keep(returned.key, returned.connection, idle_time);
        }
    }

    fn keep(&self, key: ReplicaKey, mut connection: OpenConnection, idle_time: Duration) {
        connection.idle_until = self.clock.now() + idle_time;
        connection.is_reused = true;
        let mut idle = self.lock();
        let kept = idle.entry(key).or_default();
        if kept.len() < MAX_IDLE_CONNECTIONS {
            kept.push(connection);
        }
    }

    /// Closes idle connections that are closed by the replica or too old for reuse.
    pub fn close_expired(&self) {
        let now = self.clock.now();
        let mut idle = self.lock();
        for kept in idle.values_mut() {
            kept.retain(|it| now < it.idle_until && !it.sender.is_closed());
        }
        idle.retain(|_, it| !it.is_empty());
    }

    fn take_idle(&self, key: &ReplicaKey) -> Option<OpenConnection> {
        let now = self.clock.now();
        let mut idle = self.lock();
        let kept = idle.get_mut(key)?;
        while let Some(connection) = kept.pop() {
            if now < connection.idle_until && connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    fn lock(&self) -> MutexGuard<'_, IdleConnections> {
        self.idle.lock().unwrap_or_else(|it| it.into_inner())
    }
}

/// The connection of an answer, for [`ConnectionTable::put_back`] once the answer is read.
#[derive(Debug)]
pub struct ReusableConnection {
    connection: OpenConnection,
    key: ReplicaKey,
    idle_time: Option<Duration>,
    /// Whether the answer has neither a length nor chunks and ends with the connection.
    is_unframed: bool,
}

impl ReusableConnection {
    /// Whether nothing but the end of the connection marks the end of its answer.
    pub fn is_unframed(&self) -> bool {
        self.is_unframed
    }
}

impl OpenAnswer {
    /// Whether the connection was opened for this request.
    pub fn is_on_new_connection(&self) -> bool {
        !self.connection.is_reused
    }

    /// Splits off the connection, which can be reused once the body is read.
    pub fn split(self) -> (StatusCode, HeaderMap, Incoming, ReusableConnection) {
        let idle_time = idle_time(&self.headers);
        let has_length = self.body.size_hint().exact().is_some();
        let is_unframed = !has_length && !is_chunked(&self.headers);
        let reusable = ReusableConnection {
            connection: self.connection,
            key: self.key,
            idle_time,
            is_unframed,
        };
        (self.status, self.headers, self.body, reusable)
    }
}

/// How long a connection may stay idle according to the answer's headers; `None` if it must not
/// be reused.
fn idle_time(headers: &HeaderMap) -> Option<Duration> {
    if announces_close(headers) {
        return None;
    }
    let text = headers.get("keep-alive").and_then(|it| it.to_str().ok());
    let seconds = text.and_then(|it| {
        let parts = it.split(',').map(str::trim);
        parts.filter_map(|it| it.strip_prefix("timeout=")).find_map(|it| it.parse::<u64>().ok())
    });
    let Some(seconds) = seconds else { return Some(MAX_IDLE_TIME) };
    let left = Duration::from_secs(seconds).checked_sub(IDLE_MARGIN)?;
    Some(left.min(MAX_IDLE_TIME))
}

/// Whether an answer has `Connection: close`.
pub fn announces_close(headers: &HeaderMap) -> bool {
    lists_token(headers, http::header::CONNECTION, "close")
}

fn is_chunked(headers: &HeaderMap) -> bool {
    lists_token(headers, http::header::TRANSFER_ENCODING, "chunked")
}

/// Whether a comma-separated header contains a token.
fn lists_token(headers: &HeaderMap, name: HeaderName, token: &str) -> bool {
    let values = headers.get_all(name).into_iter();
    values
        .filter_map(|it| it.to_str().ok())
        .any(|it| it.split(',').any(|one| one.trim().eq_ignore_ascii_case(token)))
}

async fn open(address: SocketAddr) -> Result<OpenConnection, CallError> {
    let not_sent = |error: io::Error| CallError::NotSent(error.to_string().into());
    match tokio::time::timeout(CONNECT_TIMEOUT, connect(address)).await {
        Ok(stream) => handshake(stream.map_err(not_sent)?).await,
        Err(_) => Err(CallError::NotSent("the connection was not opened in time".into())),
    }
}

async fn handshake(stream: TcpStream) -> Result<OpenConnection, CallError> {
    let handshake = http1::Builder::new()
        .max_buf_size(READ_BUFFER_BYTES)
        .handshake::<_, Full<Bytes>>(TokioIo::new(stream))
        .await;
    let (sender, connection) =
        handshake.map_err(|error| CallError::NotSent(client::join_causes(&error)))?;
    // The error of a failed connection is reported to the request on it.
    let task = tokio::spawn(async move { drop(connection.await) }).abort_handle();
    Ok(OpenConnection { sender, task, idle_until: Duration::MAX, is_reused: false })
}

async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    let options = socket2::SockRef::from(&socket);
    options.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    let probes = socket2::TcpKeepalive::new();
    let probes = probes
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(MAX_KEEPALIVE_PROBES);
    options.set_tcp_keepalive(&probes)?;
    socket.set_nodelay(true)?;
    socket.connect(address).await
}

/// The type of all answers to callers.
pub type CallerResponse = Response<crate::body::CallerBody>;

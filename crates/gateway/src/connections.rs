//! Connections to replicas, and one exchange on one of them.
//!
//! A connection serves one request at a time and is kept only after an answer that was read to
//! its end. Dropping an exchange before that closes its connection, which ends the replica's work.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use ports::Clock;
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::AbortHandle;
use web::client::{self, CallError, Connection};

/// Longest time for a connection to open.
const CONNECT_TIME: Duration = Duration::from_millis(400);
/// Bytes that stay unacknowledged this long fail a connection.
const SILENCE: Duration = Duration::from_millis(3_000);
/// Idle time after which a connection is probed, and the time between two probes: a replica that
/// is gone without a word says nothing while a stream is awaited.
const PROBE_TIME: Duration = Duration::from_secs(1);
/// Probes without an answer that fail a connection.
const PROBES: u32 = 2;
/// A kept connection is not used once it was idle this long: a network may have lost track of it.
const IDLE_TIME: Duration = Duration::from_millis(4_000);
/// What a kept connection's announced idle time is shortened by, for the way of a request.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Most idle connections kept to one replica.
const MAX_IDLE: usize = 8;
/// Bytes read from a replica at once.
const READ_BYTES: usize = 16 << 10;

#[derive(Debug)]
struct OpenConnection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    /// When it must not be used any more.
    idle_until: Duration,
    /// Whether it carried a request before.
    used: bool,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A replica at an address; another one may have the address later.
type ReplicaKey = (SocketAddr, Box<str>);

/// Idle connections by replica.
type IdleTable = IndexMap<ReplicaKey, Vec<OpenConnection>>;

/// Connections to all replicas.
#[derive(Debug)]
pub struct ConnectionTable<C> {
    clock: C,
    idle: Mutex<IdleTable>,
}

/// An answer whose headers have come.
#[derive(Debug)]
pub struct OpenAnswer {
    /// Status and headers.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Incoming,
    connection: OpenConnection,
    key: ReplicaKey,
}

impl<C: Clock> ConnectionTable<C> {
    /// No connections yet.
    pub fn new(clock: C) -> ConnectionTable<C> {
        ConnectionTable { clock, idle: Mutex::default() }
    }

    /// Sends a request to `address`, where the replica `id` is expected, and waits for the
    /// answer's headers. Returns whether a kept connection was used.
    pub async fn send(
        &self,
        address: SocketAddr,
        id: &str,
        request: Request<Full<Bytes>>,
        which: Connection,
        time: Duration,
    ) -> Result<OpenAnswer, CallError> {
        let exchange = self.exchange(address, id, request, which);
        tokio::time::timeout(time, exchange).await.unwrap_or(Err(CallError::Timeout(time)))
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        id: &str,
        mut request: Request<Full<Bytes>>,
        which: Connection,
    ) -> Result<OpenAnswer, CallError> {
        let key = (address, Box::from(id));
        loop {
            let kept = match which {
                Connection::Pooled => self.take(&key),
                Connection::Fresh => None,
            };
            let mut connection = match kept {
                Some(it) => it,
                None => open(address).await?,
            };
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
                    // The kept connection had ended before the request went out.
                    Some(unsent) if connection.used => request = unsent,
                    Some(_) => return Err(CallError::NotSent(client::causes(error.error()))),
                    None => return Err(CallError::Broken(client::causes(error.error()))),
                },
            }
        }
    }

    /// Whether nothing listens at an address, as after a crash. A silent address does not tell.
    pub async fn refuses_connections(&self, address: SocketAddr) -> bool {
        let connecting = tokio::time::timeout(CONNECT_TIME, connect(address)).await;
        let refused = |error: std::io::Error| error.kind() == std::io::ErrorKind::ConnectionRefused;
        connecting.is_ok_and(|it| it.is_err_and(refused))
    }

    /// Keeps the connection of an answer that was read to its end.
    pub fn put_back(&self, answer: ReusableConnection) {
        let Some(idle_time) = answer.idle_time else { return };
        let now = self.clock.now();
        let mut connection = answer.connection;
        connection.idle_until = now + idle_time;
        connection.used = true;
        let mut idle = self.lock();
        let kept = idle.entry(answer.key).or_default();
        if kept.len() < MAX_IDLE {
            kept.push(connection);
        }
    }

    /// Closes idle connections that have outlived their time.
    pub fn close_expired(&self) {
        let now = self.clock.now();
        let mut idle = self.lock();
        for kept in idle.values_mut() {
            kept.retain(|it| now < it.idle_until && !it.sender.is_closed());
        }
        idle.retain(|_, it| !it.is_empty());
    }

    fn take(&self, key: &ReplicaKey) -> Option<OpenConnection> {
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

    fn lock(&self) -> MutexGuard<'_, IdleTable> {
        self.idle.lock().unwrap_or_else(|it| it.into_inner())
    }
}

/// What is left of an answer that was read to its end.
#[derive(Debug)]
pub struct ReusableConnection {
    connection: OpenConnection,
    key: ReplicaKey,
    idle_time: Option<Duration>,
}

impl OpenAnswer {
    /// Splits the body from what is needed to keep the connection.
    pub fn split(self) -> (StatusCode, HeaderMap, Incoming, ReusableConnection) {
        let idle_time = idle_time(&self.headers);
        let rest = ReusableConnection { connection: self.connection, key: self.key, idle_time };
        (self.status, self.headers, self.body, rest)
    }
}

/// How long a connection may be kept, by the answer's headers; `None`: not at all.
fn idle_time(headers: &HeaderMap) -> Option<Duration> {
    if announces_close(headers) {
        return None;
    }
    let text = headers.get("keep-alive").and_then(|it| it.to_str().ok());
    let seconds = text.and_then(|it| {
        let parts = it.split(',').map(str::trim);
        parts.filter_map(|it| it.strip_prefix("timeout=")).find_map(|it| it.parse::<u64>().ok())
    });
    let Some(seconds) = seconds else { return Some(IDLE_TIME) };
    let left = Duration::from_secs(seconds).checked_sub(IDLE_MARGIN)?;
    Some(left.min(IDLE_TIME))
}

/// Whether an answer says that its connection ends.
pub fn announces_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(http::header::CONNECTION).into_iter();
    values
        .filter_map(|it| it.to_str().ok())
        .any(|it| it.split(',').any(|one| one.trim().eq_ignore_ascii_case("close")))
}

async fn open(address: SocketAddr) -> Result<OpenConnection, CallError> {
    let not_sent = |error: std::io::Error| CallError::NotSent(error.to_string().into());
    let connecting = connect(address);
    let stream = match tokio::time::timeout(CONNECT_TIME, connecting).await {
        Ok(stream) => stream.map_err(not_sent)?,
        Err(_) => return Err(CallError::NotSent("the connection did not open".into())),
    };
    let handshake = http1::Builder::new()
        .max_buf_size(READ_BYTES)
        .handshake::<_, Full<Bytes>>(TokioIo::new(stream))
        .await;
    let (sender, connection) =
        handshake.map_err(|error| CallError::NotSent(client::causes(&error)))?;
    // How a connection ended is told to the request that was on it.
    let task = tokio::spawn(async move { drop(connection.await) }).abort_handle();
    Ok(OpenConnection { sender, task, idle_until: Duration::MAX, used: false })
}

async fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    let options = socket2::SockRef::from(&socket);
    options.set_tcp_user_timeout(Some(SILENCE))?;
    let probes = socket2::TcpKeepalive::new();
    let probes = probes.with_time(PROBE_TIME).with_interval(PROBE_TIME).with_retries(PROBES);
    options.set_tcp_keepalive(&probes)?;
    socket.set_nodelay(true)?;
    socket.connect(address).await
}

/// The answer's type, for callers of this crate.
pub type CallerResponse = Response<crate::body::CallerBody>;

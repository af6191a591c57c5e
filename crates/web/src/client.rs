//! HTTP calls whose failures say whether the request may have reached the other side.

use std::error::Error;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::{self, connect};
use hyper_util::rt;

use crate::body_reader::{self, BodyError};

/// The longest time that opening a TCP connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Idle time after which TCP probes a connection, and the interval of the probes.
const TCP_KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum number of idle connections in the pool for one address.
const MAX_IDLE_CONNECTIONS: usize = 64;
/// Idle time after which a pooled connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Why a call has no complete answer, and whether the request may have been sent.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// No connection could be opened: no byte of the request was sent.
    #[error("request not sent: {0}")]
    NotSent(Box<str>),
    /// The connection broke after the request may have been sent.
    #[error("the connection broke after the request may have been sent: {0}")]
    Broken(Box<str>),
    /// The deadline passed; the request may have been sent. Holds the deadline.
    #[error("no answer within {0:?}")]
    Timeout(Duration),
    /// The answer is longer than the limit. Holds the limit in bytes.
    #[error("the answer is longer than {0} bytes")]
    TooLong(usize),
}

impl From<BodyError> for CallError {
    fn from(error: BodyError) -> CallError {
        match error {
            BodyError::TooLong(limit) => CallError::TooLong(limit),
            BodyError::Broken(text) => CallError::Broken(text),
        }
    }
}

type PooledClient = legacy::Client<connect::HttpConnector, Full<Bytes>>;

/// An HTTP client with a connection pool. It never sends a request twice by itself. Clones share
/// the pool.
#[derive(Debug, Clone)]
pub struct HttpClient {
    pooled: PooledClient,
    fresh: PooledClient,
}

/// The connection that a request is sent on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Connection {
    /// An idle one from the pool, otherwise a new one.
    Pooled,
    /// A new one, closed afterwards. A pooled connection may have stopped carrying data without an
    /// error; a new one has not.
    Fresh,
}

impl HttpClient {
    /// Creates a client that closes a connection when sent bytes stay unacknowledged for
    /// `unacked_timeout` (on Linux only).
    pub fn new(unacked_timeout: Duration) -> HttpClient {
        HttpClient {
            pooled: build_client(unacked_timeout, MAX_IDLE_CONNECTIONS),
            fresh: build_client(unacked_timeout, 0),
        }
    }

    /// Sends a request and returns when the answer's headers have arrived, within `deadline`.
    pub async fn send_request(
        &self,
        request: Request<Full<Bytes>>,
        connection: Connection,
        deadline: Duration,
    ) -> Result<Response<Incoming>, CallError> {
        let client = match connection {
            Connection::Pooled => &self.pooled,
            Connection::Fresh => &self.fresh,
        };
        match tokio::time::timeout(deadline, client.request(request)).await {
            Err(_) => Err(CallError::Timeout(deadline)),
            Ok(Ok(answer)) if !is_valid_status(answer.status()) => {
                Err(CallError::Broken(format!("invalid status {}", answer.status()).into()))
            }
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(error)) if error.is_connect() => Err(CallError::NotSent(join_causes(&error))),
            Ok(Err(error)) => Err(CallError::Broken(join_causes(&error))),
        }
    }

    /// Sends a request and reads the answer, of at most `max_bytes`, together within `deadline`.
    pub async fn call(
        &self,
        request: Request<Full<Bytes>>,
        connection: Connection,
        deadline: Duration,
        max_bytes: usize,
    ) -> Result<Response<Bytes>, CallError> {
        let buffered = async {
            let answer = self.send_request(request, connection, deadline).await?;
            let (parts, body) = answer.into_parts();
            let body =
                body_reader::read_body(body, max_bytes).await.map_err(|error| match error {
                    BodyError::TooLong(limit) => CallError::TooLong(limit),
                    BodyError::Broken(text) => CallError::Broken(text),
                })?;
            Ok(Response::from_parts(parts, body))
        };
        match tokio::time::timeout(deadline, buffered).await {
            Ok(res) => res,
            Err(_) => Err(CallError::Timeout(deadline)),
        }
    }
}

fn build_client(unacked_timeout: Duration, max_idle: usize) -> PooledClient {
    let mut connector = connect::HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector.set_keepalive(Some(TCP_KEEPALIVE_INTERVAL));
    connector.set_keepalive_interval(Some(TCP_KEEPALIVE_INTERVAL));
    connector.set_keepalive_retries(Some(2));
    #[cfg(target_os = "linux")]
    connector.set_tcp_user_timeout(Some(unacked_timeout));
    legacy::Client::builder(rt::TokioExecutor::new())
        .pool_timer(rt::TokioTimer::new())
        .pool_max_idle_per_host(max_idle)
        .pool_idle_timeout(IDLE_TIMEOUT)
        // hyper must not resend a request: only the code that makes the call knows whether it may
        // be repeated.
        .retry_canceled_requests(false)
        .build(connector)
}

/// Whether a status is one of HTTP (RFC 9110, section 15). Smaller ones are not parsed.
pub fn is_valid_status(status: StatusCode) -> bool {
    status.as_u16() < 600
}

/// The texts of an error and of all its causes, on one line.
pub fn join_causes(error: &dyn Error) -> Box<str> {
    let mut text = error.to_string();
    let mut next = error.source();
    while let Some(cause) = next {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        next = cause.source();
    }
    text.into()
}

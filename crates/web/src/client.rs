//! HTTP calls whose failures say whether the request may have reached the other side.

use std::error::Error;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::{self, connect};
use hyper_util::rt;

/// How long a TCP connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Idle time after which TCP probes a connection.
const TCP_KEEPALIVE: Duration = Duration::from_secs(5);
/// Idle connections kept to one address.
const MAX_IDLE: usize = 64;
/// How long an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Why a call has no whole answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// No connection: no byte of the request was sent.
    #[error("not sent: {0}")]
    NotSent(Box<str>),
    /// The connection broke after the request may have been sent.
    #[error("broken: {0}")]
    Broken(Box<str>),
    /// No answer came in time; the request may have been sent.
    #[error("no answer within {0:?}")]
    Timeout(Duration),
    /// The answer is longer than the limit.
    #[error("the answer is longer than {0} bytes")]
    TooLong(usize),
}

type Legacy = legacy::Client<connect::HttpConnector, Full<Bytes>>;

/// A client for one purpose. It never sends a request twice by itself.
#[derive(Debug, Clone)]
pub struct HttpClient {
    pooled: Legacy,
    fresh: Legacy,
}

/// Which connection a request goes out on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Connection {
    /// One from the pool, if there is any.
    Pooled,
    /// A new one, closed afterwards: it cannot have gone silent before.
    Fresh,
}

impl HttpClient {
    /// A client whose unacknowledged bytes fail a connection after `silence`.
    pub fn new(silence: Duration) -> HttpClient {
        HttpClient { pooled: legacy_client(silence, MAX_IDLE), fresh: legacy_client(silence, 0) }
    }

    /// Sends a request and returns when the answer's headers came, within `deadline`.
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
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(error)) if error.is_connect() => Err(CallError::NotSent(format_causes(&error))),
            Ok(Err(error)) => Err(CallError::Broken(format_causes(&error))),
        }
    }

    /// Sends a request and reads the whole answer, both within `deadline`.
    pub async fn call(
        &self,
        request: Request<Full<Bytes>>,
        connection: Connection,
        deadline: Duration,
        max_bytes: usize,
    ) -> Result<Response<Bytes>, CallError> {
        let whole = async {
            let answer = self.send_request(request, connection, deadline).await?;
            let (parts, body) = answer.into_parts();
            let body = Limited::new(body, max_bytes).collect().await.map_err(|error| {
                let long = error.downcast_ref::<http_body_util::LengthLimitError>().is_some();
                if long {
                    CallError::TooLong(max_bytes)
                } else {
                    CallError::Broken(error.to_string().into())
                }
            })?;
            Ok(Response::from_parts(parts, body.to_bytes()))
        };
        match tokio::time::timeout(deadline, whole).await {
            Ok(res) => res,
            Err(_) => Err(CallError::Timeout(deadline)),
        }
    }
}

fn legacy_client(silence: Duration, max_idle: usize) -> Legacy {
    let mut connector = connect::HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector.set_keepalive(Some(TCP_KEEPALIVE));
    connector.set_keepalive_interval(Some(TCP_KEEPALIVE));
    connector.set_keepalive_retries(Some(2));
    #[cfg(target_os = "linux")]
    connector.set_tcp_user_timeout(Some(silence));
    legacy::Client::builder(rt::TokioExecutor::new())
        .pool_timer(rt::TokioTimer::new())
        .pool_max_idle_per_host(max_idle)
        .pool_idle_timeout(IDLE_TIMEOUT)
        // A resend is never hidden from the caller: only the caller knows if it is allowed.
        .retry_canceled_requests(false)
        .build(connector)
}

/// An error with all its format_causes, as one line.
pub fn format_causes(error: &dyn Error) -> Box<str> {
    let mut text = error.to_string();
    let mut next = error.source();
    while let Some(cause) = next {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        next = cause.source();
    }
    text.into()
}

//! Requests, orders and looks at one target.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use catalog::Target;
use http::header::{AUTHORIZATION, CONTENT_TYPE};
use http::{HeaderMap, HeaderValue, Method, Request, Response};
use hyper::body::Incoming;
use ids::{Incarnation, RequestId, VersionNumber};
use ports::{CommandError, TargetCommands, TargetState};
use serde::{Deserialize, Serialize};
use web::client::{CallError, Connection, HttpClient};

/// Longest answer to a look or an order.
const MAX_STATUS_BYTES: usize = 64 << 10;
/// How long a look or an order may take.
const STATUS_DEADLINE: Duration = Duration::from_secs(1);
/// Connections with bytes unacknowledged for this long are given up.
const SILENCE: Duration = Duration::from_secs(3);

/// Why an exchange has no whole answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ExchangeError {
    /// No byte of the request was sent.
    #[error("not sent: {0}")]
    NotSent(Box<str>),
    /// The connection broke after the request may have been sent.
    #[error("broken: {0}")]
    Broken(Box<str>),
    /// No answer, or no next piece, in time.
    #[error("no answer in time")]
    Timeout,
    /// The answer is another request's.
    #[error("the answer carries another request's id")]
    WrongAttempt,
    /// The answer is longer than the limit.
    #[error("the answer is longer than {0} bytes")]
    TooLong(usize),
}

impl From<CallError> for ExchangeError {
    fn from(error: CallError) -> ExchangeError {
        match error {
            CallError::NotSent(text) => ExchangeError::NotSent(text),
            CallError::Broken(text) => ExchangeError::Broken(text),
            CallError::Timeout(_) => ExchangeError::Timeout,
            CallError::TooLong(limit) => ExchangeError::TooLong(limit),
        }
    }
}

/// What an answer tells about the engine that gave it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AnswerHead {
    /// The engine's life.
    pub incarnation: Option<Incarnation>,
    /// The weights it ran on.
    pub version: Option<VersionNumber>,
    /// Requests on it now.
    pub running: Option<u32>,
    /// Prompt tokens it found cached.
    pub cached_tokens: Option<u64>,
    /// It finishes what it has and takes nothing new.
    pub leaving: bool,
}

impl AnswerHead {
    /// Reads the labels of an answer.
    pub fn parse(headers: &HeaderMap) -> AnswerHead {
        let number = |name: &str| -> Option<u64> { headers.get(name)?.to_str().ok()?.parse().ok() };
        AnswerHead {
            incarnation: number("x-engine-incarnation").map(Incarnation),
            version: number("x-engine-version").map(VersionNumber),
            running: number("x-engine-running").and_then(|it| u32::try_from(it).ok()),
            cached_tokens: number("x-engine-cached"),
            leaving: headers.get("x-engine-leaving").is_some_and(|it| it == "true"),
        }
    }
}

/// What an engine says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct EngineStatus {
    /// Its life.
    pub incarnation: Incarnation,
    /// The version loaded.
    pub version: VersionNumber,
    /// A version is loading.
    pub loading: bool,
    /// Requests on it now.
    pub running: u32,
    /// It finishes what it has and takes nothing new.
    #[serde(default)]
    pub leaving: bool,
}

/// An order to be at a version, as engines take it.
#[derive(Debug, Serialize)]
struct VersionCommand<'a> {
    id: &'a str,
    fencing: u64,
    version: VersionNumber,
}

/// A client of all targets.
#[derive(Debug, Clone)]
pub struct TargetClient {
    caller: HttpClient,
    credential: HeaderValue,
}

impl TargetClient {
    /// A client that shows targets `credential` as a bearer token. A credential that is no
    /// header text is sent empty.
    pub fn new(credential: &str) -> TargetClient {
        let mut value = HeaderValue::from_str(&format!("Bearer {credential}"))
            .unwrap_or(HeaderValue::from_static(""));
        value.set_sensitive(true);
        TargetClient { caller: HttpClient::new(SILENCE), credential: value }
    }

    /// Sends a request and returns when its answer began, within `deadline`.
    pub async fn send_request(
        &self,
        request: Request<Bytes>,
        attempt: &RequestId,
        connection: Connection,
        deadline: Duration,
        echoes: bool,
    ) -> Result<Response<Incoming>, ExchangeError> {
        let request = self.signed(request, attempt);
        let answer = self.caller.send_request(request, connection, deadline).await?;
        check_echo(answer.headers(), attempt, echoes)?;
        Ok(answer)
    }

    /// Sends a request and reads its whole answer, within `deadline`.
    pub async fn call(
        &self,
        request: Request<Bytes>,
        attempt: &RequestId,
        connection: Connection,
        deadline: Duration,
        max_bytes: usize,
        echoes: bool,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let request = self.signed(request, attempt);
        let answer = self.caller.call(request, connection, deadline, max_bytes).await?;
        check_echo(answer.headers(), attempt, echoes)?;
        Ok(answer)
    }

    /// Reads what an engine says of itself.
    pub async fn status(&self, address: SocketAddr) -> Result<EngineStatus, ExchangeError> {
        let answer = self.small(Method::GET, address, "/v1/state", Bytes::new()).await?;
        serde_json::from_slice(answer.body())
            .map_err(|error| ExchangeError::Broken(error.to_string().into()))
    }

    /// Tells an engine that nobody waits for this attempt any more.
    pub async fn cancel(
        &self,
        address: SocketAddr,
        attempt: &RequestId,
    ) -> Result<(), ExchangeError> {
        let body = serde_json::json!({ "request_id": attempt }).to_string();
        self.small(Method::POST, address, "/v1/cancel", body.into()).await.map(drop)
    }

    async fn small(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(CONTENT_TYPE, "application/json")
            .header(AUTHORIZATION, self.credential.clone())
            .body(body.into())
            .map_err(|error| ExchangeError::NotSent(error.to_string().into()))?;
        // A look is worth nothing on a connection that went silent.
        let call = self.caller.call(request, Connection::Fresh, STATUS_DEADLINE, MAX_STATUS_BYTES);
        Ok(call.await?)
    }

    fn signed(
        &self,
        request: Request<Bytes>,
        attempt: &RequestId,
    ) -> Request<http_body_util::Full<Bytes>> {
        let (mut parts, body) = request.into_parts();
        parts.headers.insert(AUTHORIZATION, self.credential.clone());
        if let Ok(value) = HeaderValue::from_str(attempt.as_str()) {
            parts.headers.insert("x-request-id", value);
        }
        Request::from_parts(parts, body.into())
    }
}

impl TargetCommands for TargetClient {
    async fn fetch_state(&self, target: &Target) -> Option<TargetState> {
        let status = self.status(target.address).await.ok()?;
        Some(TargetState {
            incarnation: status.incarnation,
            version: status.version,
            loading: status.loading,
        })
    }

    async fn set_version(
        &self,
        target: &Target,
        version: VersionNumber,
        fencing: u64,
    ) -> Result<(), CommandError> {
        let id = format!("{}-{version}-{fencing}", target.id);
        let body = serde_json::to_vec(&VersionCommand { id: &id, fencing, version });
        let body = body.unwrap_or_default().into();
        let res = self.small(Method::POST, target.address, "/v1/orders", body).await;
        let answer = res.map_err(|error| CommandError::Unconfirmed(error.to_string().into()))?;
        match answer.status() {
            http::StatusCode::CONFLICT => Err(CommandError::StaleFencing),
            it if it.is_success() => Ok(()),
            it => Err(CommandError::Unconfirmed(it.as_str().into())),
        }
    }
}

fn check_echo(headers: &HeaderMap, attempt: &RequestId, echoes: bool) -> Result<(), ExchangeError> {
    let echo = headers.get("x-request-id").map(HeaderValue::as_bytes);
    if echoes && echo != Some(attempt.as_str().as_bytes()) {
        return Err(ExchangeError::WrongAttempt);
    }
    Ok(())
}

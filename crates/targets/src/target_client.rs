//! The HTTP client of targets: requests of callers, commands to run a version, and state queries.

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

/// The longest answer to a state query, command or cancellation, in bytes.
const MAX_CONTROL_BYTES: usize = 64 << 10;
/// The longest time that a state query, command or cancellation may take.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);
/// A connection whose sent bytes stay unacknowledged for this long is closed.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(3);

/// Why a request to a target has no complete answer, and whether it may have been sent.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ExchangeError {
    /// No byte of the request was sent.
    #[error("request not sent to the target: {0}")]
    NotSent(Box<str>),
    /// The connection broke after the request may have been sent, or the answer to a state query is
    /// malformed.
    #[error("the connection to the target broke: {0}")]
    Broken(Box<str>),
    /// No answer, or no next event of a stream, arrived in time.
    #[error("the target sent no answer in time")]
    Timeout,
    /// The answer does not echo the attempt's id, so it may belong to another request.
    #[error("the target's answer does not echo the id of the request")]
    WrongAttempt,
    /// The answer is longer than the limit. Holds the limit in bytes.
    #[error("the target's answer is longer than {0} bytes")]
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

/// The headers of an answer that describe the engine. Absent or malformed headers are `None`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AnswerHead {
    /// The incarnation of the engine's process.
    pub incarnation: Option<Incarnation>,
    /// The version of the weights that the request ran on.
    pub version: Option<VersionNumber>,
    /// Requests that the engine runs at present.
    pub running: Option<u32>,
    /// Prompt tokens that the engine found in its cache.
    pub cached_tokens: Option<u64>,
    /// Whether the engine drains: it finishes its requests and accepts no new ones.
    pub leaving: bool,
}

impl AnswerHead {
    /// Parses the headers of an answer.
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

/// The state that an engine reports in answer to a query.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct EngineStatus {
    /// The incarnation of the engine's process.
    pub incarnation: Incarnation,
    /// The version of the weights that are loaded.
    pub version: VersionNumber,
    /// Whether the engine is loading a version.
    pub loading: bool,
    /// Requests that the engine runs at present.
    pub running: u32,
    /// Whether the engine drains: it finishes its requests and accepts no new ones.
    #[serde(default)]
    pub leaving: bool,
}

/// The JSON body of a command to run a version. `fencing` is the fencing number of the move
/// lease; engines refuse a command with a smaller number than an earlier one.
#[derive(Debug, Serialize)]
struct VersionCommand<'a> {
    id: &'a str,
    fencing: u64,
    version: VersionNumber,
}

/// A client of all targets, engines and plain services.
#[derive(Debug, Clone)]
pub struct TargetClient {
    client: HttpClient,
    credential: HeaderValue,
}

impl TargetClient {
    /// A client that sends `credential` to targets as a bearer token. If it has characters that a
    /// header cannot hold, the header is sent empty.
    pub fn new(credential: &str) -> TargetClient {
        let mut value = HeaderValue::from_str(&format!("Bearer {credential}"))
            .unwrap_or(HeaderValue::from_static(""));
        value.set_sensitive(true);
        TargetClient { client: HttpClient::new(UNACKED_TIMEOUT), credential: value }
    }

    /// Sends a request and returns when the headers of its answer have arrived, within `deadline`.
    /// With `expects_echo`, the answer must echo the attempt's id.
    pub async fn send_request(
        &self,
        request: Request<Bytes>,
        attempt: &RequestId,
        connection: Connection,
        deadline: Duration,
        expects_echo: bool,
    ) -> Result<Response<Incoming>, ExchangeError> {
        let request = self.add_identity(request, attempt);
        let answer = self.client.send_request(request, connection, deadline).await?;
        check_echo(answer.headers(), attempt, expects_echo)?;
        Ok(answer)
    }

    /// Sends a request and reads its complete answer of at most `max_bytes`, within `deadline`.
    /// With `expects_echo`, the answer must echo the attempt's id.
    pub async fn call(
        &self,
        request: Request<Bytes>,
        attempt: &RequestId,
        connection: Connection,
        deadline: Duration,
        max_bytes: usize,
        expects_echo: bool,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let request = self.add_identity(request, attempt);
        let answer = self.client.call(request, connection, deadline, max_bytes).await?;
        check_echo(answer.headers(), attempt, expects_echo)?;
        Ok(answer)
    }

    /// Queries the state of the engine at `address`.
    pub async fn status(&self, address: SocketAddr) -> Result<EngineStatus, ExchangeError> {
        let answer = self.send_control(Method::GET, address, "/v1/state", Bytes::new()).await?;
        serde_json::from_slice(answer.body())
            .map_err(|error| ExchangeError::Broken(error.to_string().into()))
    }

    /// Asks an engine to cancel an attempt whose answer is no longer needed.
    pub async fn cancel(
        &self,
        address: SocketAddr,
        attempt: &RequestId,
    ) -> Result<(), ExchangeError> {
        let body = serde_json::json!({ "request_id": attempt }).to_string();
        self.send_control(Method::POST, address, "/v1/cancel", body.into()).await.map(drop)
    }

    /// Sends a state query, command or cancellation.
    async fn send_control(
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
        // A pooled connection may have stopped carrying data without an error, and the call would
        // only time out. A new connection cannot.
        let call = self.client.call(request, Connection::Fresh, CONTROL_TIMEOUT, MAX_CONTROL_BYTES);
        Ok(call.await?)
    }

    /// Adds the credential and the attempt's id to a request.
    fn add_identity(
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
        let res = self.send_control(Method::POST, target.address, "/v1/orders", body).await;
        let answer = res.map_err(|error| CommandError::Unconfirmed(error.to_string().into()))?;
        match answer.status() {
            http::StatusCode::CONFLICT => Err(CommandError::StaleFencing),
            it if it.is_success() => Ok(()),
            it => Err(CommandError::Unconfirmed(it.as_str().into())),
        }
    }
}

/// Refuses an answer that may belong to another request.
fn check_echo(
    headers: &HeaderMap,
    attempt: &RequestId,
    expects_echo: bool,
) -> Result<(), ExchangeError> {
    let echo = headers.get("x-request-id").map(HeaderValue::as_bytes);
    if expects_echo && echo != Some(attempt.as_str().as_bytes()) {
        return Err(ExchangeError::WrongAttempt);
    }
    Ok(())
}

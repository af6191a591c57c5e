//! The client of the administration API, and the errors of the tool.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use catalog::{CatalogState, ChangeSet};
use http::header::{AUTHORIZATION, CONTENT_TYPE};
use http::{Method, Request};
use serde_json::Value;
use web::client::{CallError, Connection, HttpClient};

/// Maximum size of an answer; a catalog is returned whole.
const MAX_ANSWER_BYTES: usize = 64 << 20;
/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);
/// Attempts to submit a change whose answer was lost. The daemon applies a change id only once, so
/// a repeated submission is safe.
const MAX_SUBMIT_ATTEMPTS: u32 = 3;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ToolError {
    /// The command line or the environment is invalid.
    #[error("{0}")]
    Usage(String),
    /// A catalog file cannot be read or parsed; line 0 if it cannot be read at all.
    #[error("{}:{line}: {message}", path.display())]
    File { path: PathBuf, line: usize, message: String },
    /// A log file cannot be read.
    #[error("{}: {cause}", path.display())]
    Log { path: PathBuf, cause: io::Error },
    /// No log file names the request.
    #[error("{0}")]
    NotFound(String),
    /// The daemon refused the call, or the catalog does not allow the command.
    #[error("refused: {0}")]
    Refused(String),
    /// The call failed without a complete answer; a change may still have been applied.
    #[error("no answer from {address}: {cause}")]
    Unreachable { address: SocketAddr, cause: CallError },
    /// The answer is not the expected JSON.
    #[error("the daemon's answer is not the expected JSON: {0}")]
    Malformed(String),
}

impl ToolError {
    /// The exit code: 2 for the operator's input, 1 for all else.
    pub(crate) fn exit_code(&self) -> i32 {
        match self {
            ToolError::Usage(_) | ToolError::File { .. } | ToolError::Log { .. } => 2,
            _ => 1,
        }
    }
}

/// A client of one daemon's administration API.
pub(crate) struct AdminClient {
    client: HttpClient,
    address: SocketAddr,
    token: String,
}

impl AdminClient {
    /// Makes a client of the daemon at `address`; `token` is sent as a bearer token.
    pub(crate) fn new(address: SocketAddr, token: String) -> AdminClient {
        AdminClient { client: HttpClient::new(CALL_TIMEOUT), address, token }
    }

    /// Fetches the catalog that the daemon has in effect.
    pub(crate) async fn fetch_catalog(&self) -> Result<CatalogState, ToolError> {
        let value = self.call(Method::GET, "/v1/catalog", None).await?;
        serde_json::from_value(value).map_err(|error| ToolError::Malformed(error.to_string()))
    }

    /// Submits a change under a new random id, and again with the same id if no answer came.
    pub(crate) async fn submit(&self, change: &ChangeSet) -> Result<Value, ToolError> {
        let change_id = format!("{:016x}{:016x}", rand::random::<u64>(), rand::random::<u64>());
        let body = serde_json::json!({ "change_id": change_id, "operations": change.operations });
        let mut attempts = 0;
        loop {
            attempts += 1;
            let res = self.call(Method::POST, "/v1/changes", Some(body.clone())).await;
            match res {
                Err(ToolError::Unreachable { .. }) if attempts < MAX_SUBMIT_ATTEMPTS => {}
                res => return res,
            }
        }
    }

    /// Makes one call and returns the JSON of the answer; any status but 2xx is an error.
    pub(crate) async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<Value>,
    ) -> Result<Value, ToolError> {
        let body = body.map(|it| it.to_string()).unwrap_or_default();
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(AUTHORIZATION, format!("Bearer {}", self.token))
            .header(CONTENT_TYPE, "application/json")
            .body(bytes::Bytes::from(body).into())
            .map_err(|error| ToolError::Usage(error.to_string()))?;
        let call = self.client.call(request, Connection::Fresh, CALL_TIMEOUT, MAX_ANSWER_BYTES);
        let answer =
            call.await.map_err(|cause| ToolError::Unreachable { address: self.address, cause })?;
        let value: Value = serde_json::from_slice(answer.body())
            .map_err(|error| ToolError::Malformed(error.to_string()))?;
        if answer.status().is_success() {
            return Ok(value);
        }
        let message = value["message"].as_str().unwrap_or("no reason given");
        Err(ToolError::Refused(format!("{message} ({})", answer.status().as_u16())))
    }
}

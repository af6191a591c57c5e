//! Calls of the administration API.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use catalog::{CatalogState, ChangeSet};
use http::header::{AUTHORIZATION, CONTENT_TYPE};
use http::{Method, Request};
use serde_json::Value;
use web::client::{CallError, Connection, HttpClient};

/// Longest answer read.
const MAX_ANSWER_BYTES: usize = 64 << 20;
/// How long one call may take.
const DEADLINE: Duration = Duration::from_secs(15);
/// Tries of a change whose answer was lost; its id makes that safe.
const CHANGE_TRIES: u32 = 3;

/// Why a command did not do what was asked.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ToolError {
    /// The command line does not make sense.
    #[error("{0}")]
    Usage(String),
    /// A file cannot be read as what it should be.
    #[error("{}:{line}: {fault}", path.display())]
    File { path: PathBuf, line: usize, fault: String },
    /// A log cannot be read.
    #[error("{}: {cause}", path.display())]
    Log { path: PathBuf, cause: io::Error },
    /// What was asked for is not there.
    #[error("{0}")]
    NotFound(String),
    /// The daemon refused.
    #[error("refused: {0}")]
    Refused(String),
    /// The daemon did not answer.
    #[error("no answer from {address}: {cause}")]
    Unreachable { address: SocketAddr, cause: CallError },
    /// The answer cannot be read.
    #[error("the answer cannot be read: {0}")]
    Malformed(String),
}

impl ToolError {
    pub(crate) fn exit_code(&self) -> i32 {
        match self {
            ToolError::Usage(_) | ToolError::File { .. } | ToolError::Log { .. } => 2,
            _ => 1,
        }
    }
}

/// A client of one daemon's administration API.
pub(crate) struct AdminClient {
    caller: HttpClient,
    address: SocketAddr,
    token: String,
}

impl AdminClient {
    pub(crate) fn new(address: SocketAddr, token: String) -> AdminClient {
        AdminClient { caller: HttpClient::new(DEADLINE), address, token }
    }

    /// The catalog in force.
    pub(crate) async fn catalog(&self) -> Result<CatalogState, ToolError> {
        let value = self.call(Method::GET, "/v1/catalog", None).await?;
        serde_json::from_value(value).map_err(|error| ToolError::Malformed(error.to_string()))
    }

    /// Submits a change under an id of its own; a lost answer is settled by sending it again.
    pub(crate) async fn submit(&self, change: &ChangeSet) -> Result<Value, ToolError> {
        let change_id = format!("{:016x}{:016x}", rand::random::<u64>(), rand::random::<u64>());
        let body = serde_json::json!({ "change_id": change_id, "operations": change.operations });
        let mut tries = 0;
        loop {
            tries += 1;
            let res = self.call(Method::POST, "/v1/changes", Some(body.clone())).await;
            match res {
                Err(ToolError::Unreachable { .. }) if tries < CHANGE_TRIES => {}
                res => return res,
            }
        }
    }

    /// One call.
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
        let call = self.caller.call(request, Connection::Fresh, DEADLINE, MAX_ANSWER_BYTES);
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

//! The wire format of requests and answers, as a trait that the platform implements.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, request};
use ids::{CustomerId, RequestId, RequestRate, TargetId, TokenCount};

/// What the headers of a caller's request say.
#[derive(Debug, Clone)]
pub struct RequestHead {
    /// The id that the caller gave this attempt; the answer must carry the same one.
    pub attempt_id: RequestId,
    /// The host that the request is addressed to, without a port.
    pub host: Box<str>,
    /// How long the caller waits, from the arrival of the request.
    pub deadline: Option<Duration>,
    /// The caller's secret key, as sent.
    pub key: Option<Box<str>>,
    /// The model asked for; without one, the first of the pool's models is used.
    pub model: Option<Box<str>>,
    /// The parts of the prompt in order.
    pub parts: Vec<PromptPart>,
    /// The number of prompt tokens and the limit of output tokens.
    pub tokens: Option<(TokenCount, TokenCount)>,
    /// The id of the last event that the caller already has of a stream it resumes.
    pub last_event_id: Option<u64>,
}

impl RequestHead {
    /// The parts that other prompts may share: all but the last.
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |it| it.1)
    }
}

/// A part of a prompt that other prompts may share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptPart {
    /// Equal ids mean equal content.
    pub id: Box<str>,
    /// Its length in tokens.
    pub tokens: u32,
}

/// Why the headers of a request are rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum HeadError {
    /// It has no attempt id, or an invalid one.
    #[error("the request has no valid attempt id")]
    InvalidAttemptId,
    /// It has neither a `Host` header nor a host in its URI.
    #[error("the request names no host")]
    MissingHost,
    /// The value of the named header is malformed.
    #[error("the value of the header {0} is malformed")]
    UnreadableHeader(&'static str),
}

/// What the daemon adds to a request when it forwards it to a replica.
#[derive(Debug, Clone)]
pub struct ForwardParams {
    /// The only replica that may run it; another one at the same address rejects it.
    pub target: TargetId,
    /// The time until the caller's deadline.
    pub time_left: Duration,
    /// The owner of the caller's key; `None` on a public route without a known key.
    pub customer: Option<CustomerId>,
    /// The id of the last event delivered, if the request resumes a stream.
    pub last_event_id: Option<u64>,
    /// Set if the replica is a model engine.
    pub engine: Option<EngineParams>,
}

/// The parameters of a request that only model engines get.
#[derive(Debug, Clone)]
pub struct EngineParams {
    /// The only version of the weights that the request may run on.
    pub version: u64,
    /// Separates caches: a part is found only under the salt that it was stored with.
    pub salt: Box<str>,
    /// Priority; 0 is the most urgent.
    pub urgency: u8,
    /// A replica or KV store from which cached parts of the prompt can be fetched.
    pub fetch_from: Option<SocketAddr>,
    /// A KV store to which the cached prompt is copied after prefill.
    pub save_to: Option<SocketAddr>,
}

/// What the headers of a replica's answer say.
#[derive(Debug, Clone, Default)]
pub struct AnswerHead {
    /// The attempt that it answers.
    pub attempt_id: Option<Box<str>>,
    /// It has the header that a replica sets on every answer of its own; an answer without one
    /// comes from something else on the way.
    pub sealed: bool,
    /// The replica states that it did not run the request.
    pub not_run: bool,
    /// The replica will stop and takes no more requests.
    pub leaving: bool,
    /// How long the replica wants no requests, if it turned this one away.
    pub retry_after: Option<Duration>,
    /// The requests that the replica takes from all daemons together; `None` if it names no limit.
    pub request_limit: Option<RequestRate>,
    /// How long the replica states that it stays cold, in milliseconds and unchecked.
    pub cold_left_ms: Option<f64>,
    /// The replica that answered.
    pub target: Option<Box<str>>,
    /// The version of the replica's weights.
    pub version: Option<u64>,
}

/// A command to a replica to load weights once the requests on it have ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightCommand {
    /// The replica that the command is for.
    pub target: TargetId,
    /// The model whose weights change.
    pub model: Box<str>,
    /// The version to load.
    pub version: u64,
    /// The daemon that holds the command lease.
    pub holder: Box<str>,
    /// Grows with every change of the lease's holder, so that a replica can reject commands of an
    /// earlier one.
    pub fencing_token: u64,
    /// How many commands the replica accepted before this one. A command that arrives late, after
    /// newer ones, finds another number there and is rejected.
    pub accepted_before: u64,
}

/// A replica's report on itself.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TargetReport {
    /// The start of its process in Unix milliseconds; differs between restarts.
    pub incarnation: Option<u64>,
    /// It is executing a command.
    pub busy: bool,
    /// How many commands it has accepted since its start.
    pub accepted: u64,
    /// The loaded version of each model's weights.
    pub weights: Vec<(Box<str>, u64)>,
}

/// Encodes and decodes requests and answers. Makes no decisions.
pub trait Dialect: Send + Sync + 'static {
    /// Parses the head of a caller's request.
    fn parse_request(&self, parts: &request::Parts) -> Result<RequestHead, HeadError>;

    /// Builds the headers of the request to a replica from the caller's headers and `params`.
    fn forward_headers(&self, caller: &HeaderMap, params: &ForwardParams) -> HeaderMap;

    /// Builds the headers of a caller's request that another daemon is to handle within `time_left`.
    fn relay_headers(&self, caller: &HeaderMap, time_left: Duration) -> HeaderMap;

    /// Parses the headers of a replica's answer.
    fn parse_answer(&self, headers: &HeaderMap) -> AnswerHead;

    /// Builds the request that commands a replica to load weights.
    fn command_request(&self, command: &WeightCommand) -> Request<Bytes>;

    /// Builds the request for a replica's report on itself.
    fn report_request(&self) -> Request<Bytes>;

    /// Builds the request that probes a KV store.
    fn kv_store_request(&self) -> Request<Bytes>;

    /// The boot epoch of a KV store, which differs between restarts, from its answer to a probe;
    /// `None` if the answer is malformed.
    fn parse_kv_store(&self, body: &[u8]) -> Option<u64>;

    /// Parses a replica's report; `None` if it is malformed.
    fn parse_report(&self, body: &[u8]) -> Option<TargetReport>;
}

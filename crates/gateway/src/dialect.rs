//! The port to callers and replicas: how a request and an answer are spelled on the wire.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, request};
use ids::{CustomerId, RequestId, TargetId, TokenCount};

/// A request as its caller described it.
#[derive(Debug, Clone)]
pub struct RequestHead {
    /// The id of this attempt of the caller.
    pub attempt_id: RequestId,
    /// The host named.
    pub host: Box<str>,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// The caller's key.
    pub key: Option<Box<str>>,
    /// The model asked for.
    pub model: Option<Box<str>>,
    /// The prompt's parts in order: their ids and tokens.
    pub parts: Vec<PromptPart>,
    /// Prompt tokens and most output tokens.
    pub tokens: Option<(TokenCount, TokenCount)>,
    /// The last event of a stream that the caller has.
    pub last_event_id: Option<u64>,
}

/// A part of a prompt that other prompts may share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptPart {
    /// What tells it from other parts.
    pub id: Box<str>,
    /// Its length.
    pub tokens: u32,
}

/// Why a request cannot be described.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum HeadError {
    /// It has no id, or one that cannot be used.
    #[error("the request has no usable id")]
    InvalidAttemptId,
    /// It names no host.
    #[error("the request names no host")]
    MissingHost,
    /// A header cannot be read.
    #[error("the header {0} cannot be read")]
    UnreadableHeader(&'static str),
}

/// What the system adds when it passes a request on.
#[derive(Debug, Clone)]
pub struct ForwardParams {
    /// The only replica that may run it.
    pub target: TargetId,
    /// Time left.
    pub time_left: Duration,
    /// Whom the key belongs to.
    pub customer: Option<CustomerId>,
    /// The last event of the stream that was delivered.
    pub last_event_id: Option<u64>,
    /// How an engine is to treat it.
    pub engine: Option<EngineParams>,
}

/// What an engine is told.
#[derive(Debug, Clone)]
pub struct EngineParams {
    /// The version of the weights that it may run on.
    pub version: u64,
    /// Cached parts are found only under the same salt.
    pub salt: Box<str>,
    /// Rank of urgency, 0 is the most urgent.
    pub urgency: u8,
    /// A replica or a KV store that may hold parts of the prompt.
    pub fetch_from: Option<SocketAddr>,
    /// A KV store that is to get the prompt once it is read.
    pub save_to: Option<SocketAddr>,
}

/// What an answer's headers say.
#[derive(Debug, Clone, Default)]
pub struct AnswerHead {
    /// The attempt it answers.
    pub attempt_id: Option<Box<str>>,
    /// It bears the replica's seal.
    pub sealed: bool,
    /// The replica did not run the request.
    pub not_run: bool,
    /// The replica that answered.
    pub target: Option<Box<str>>,
    /// The version of the weights that made it.
    pub version: Option<u64>,
}

/// An order to a replica to load weights once the requests on it have ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightCommand {
    /// The replica.
    pub target: TargetId,
    /// The model.
    pub model: Box<str>,
    /// The version to load.
    pub version: u64,
    /// Who orders.
    pub holder: Box<str>,
    /// Grows with every change of holder.
    pub fencing_token: u64,
    /// Orders that the replica has accepted before. An order that arrives late, after newer
    /// ones, finds another number and is not carried out.
    pub accepted_before: u64,
}

/// What a replica reports of itself.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TargetReport {
    /// When its process started, in Unix milliseconds.
    pub incarnation: Option<u64>,
    /// It carries out an order now.
    pub busy: bool,
    /// Orders it has accepted since its start.
    pub accepted: u64,
    /// The versions of its weights by model.
    pub weights: Vec<(Box<str>, u64)>,
}

/// Spelling of requests and answers. Decides nothing.
pub trait Dialect: Send + Sync + 'static {
    /// Reads what a caller sent.
    fn parse_request(&self, parts: &request::Parts) -> Result<RequestHead, HeadError>;

    /// Writes the headers of a request to a replica from those of its caller.
    fn forward_headers(&self, caller: &HeaderMap, params: &ForwardParams) -> HeaderMap;

    /// Reads an answer's headers.
    fn parse_answer(&self, headers: &HeaderMap) -> AnswerHead;

    /// The request that orders a replica to load weights.
    fn command_request(&self, command: &WeightCommand) -> Request<Bytes>;

    /// The request for a replica's report on itself.
    fn report_request(&self) -> Request<Bytes>;

    /// The request that asks a KV store whether it lives.
    fn kv_store_request(&self) -> Request<Bytes>;

    /// The life of a KV store, by its answer.
    fn parse_kv_store(&self, body: &[u8]) -> Option<u64>;

    /// Reads a replica's report.
    fn parse_report(&self, body: &[u8]) -> Option<TargetReport>;
}

//! The entities that a catalog holds.

use std::net::SocketAddr;

use ids::{
    CustomerId, FailureDomain, KeyDigest, KeyId, MoveId, PoolId, RouteId, TargetId, TokenCount,
    TokenRate, VersionNumber,
};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A customer and its rate limit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Identifies the customer in routes and keys.
    pub id: CustomerId,
    /// Tokens per second over the whole fleet; above 0.
    pub rate: TokenRate,
    /// Capacity of its token bucket: tokens it may take at once after an idle time; above 0.
    pub burst: TokenCount,
    /// Its weight against other customers when targets are scarce; above 0.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

fn default_weight() -> u32 {
    1
}

/// A caller key. Only a digest of the secret is stored, never the secret itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct CallerKey {
    /// The name that operators use for the key.
    pub id: KeyId,
    /// SHA-256 of the secret.
    pub digest: KeyDigest,
    /// The customer that requests with this key are charged to.
    pub customer: CustomerId,
}

/// The kind of a pool's replicas.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum PoolKind {
    /// Engines that serve a language model.
    Engine,
    /// Replicas of a plain service.
    Service,
    /// Stores from which engines fetch saved KV cache.
    KvStore,
}

/// Replicas that serve one model or one plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// The pool's id; for engines the name of the model.
    pub id: PoolId,
    /// The kind of its replicas.
    pub kind: PoolKind,
    /// The version that new requests run on; set to the new one when a move is done.
    #[serde(default)]
    pub version: VersionNumber,
    /// Requests that one replica runs concurrently; above 0.
    #[serde(default = "default_concurrency")]
    pub concurrency: u32,
}

fn default_concurrency() -> u32 {
    16
}

/// Who may use a route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum RouteAccess {
    /// Callers with a valid key.
    #[default]
    Keyed,
    /// All callers, without a key.
    Open,
}

/// Whether requests are interactive or may wait in the queue for longer.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum TrafficClass {
    /// Interactive: a person is waiting for the answer.
    #[default]
    Counter,
    /// May wait: interactive requests go first, without starving these.
    Deferrable,
}

/// How requests are matched to a route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case", tag = "kind", deny_unknown_fields)]
pub enum RouteKind {
    /// Model requests, by the `model` field of their body.
    Model {
        /// The model's name as callers write it.
        model: PoolId,
    },
    /// Requests to a plain service, by the prefix of their path.
    Service {
        /// The path prefix, such as `/orders`; not under `/v1`.
        prefix: Box<str>,
        /// Methods whose calls may be repeated; calls with any other method run at most once.
        #[serde(default = "default_repeatable")]
        repeatable: Vec<Box<str>>,
        /// Tokens of the customer's rate charged for each call.
        #[serde(default = "default_call_cost")]
        cost: TokenCount,
    },
}

fn default_repeatable() -> Vec<Box<str>> {
    vec!["GET".into(), "HEAD".into(), "OPTIONS".into()]
}

fn default_call_cost() -> TokenCount {
    TokenCount(1)
}

/// A route from callers to a pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Route {
    /// Identifies the route to operators.
    pub id: RouteId,
    /// How requests are matched to it.
    #[serde(flatten)]
    pub kind: RouteKind,
    /// The pool that serves it.
    pub pool: PoolId,
    /// Whether callers need a key.
    #[serde(default)]
    pub access: RouteAccess,
    /// Whether its requests may wait.
    #[serde(default)]
    pub class: TrafficClass,
    /// The customers that may use it; if empty, all may.
    #[serde(default)]
    pub customers: Vec<CustomerId>,
}

/// One replica of a pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Identifies the replica over its restarts.
    pub id: TargetId,
    /// The pool it belongs to.
    pub pool: PoolId,
    /// Where it listens: an IP address and a port.
    pub address: SocketAddr,
    /// The failure domain it runs in.
    pub failure_domain: FailureDomain,
    /// It returns the `x-request-id` of a request on the answer.
    #[serde(default)]
    pub echoes_request_id: bool,
    /// It refuses version commands with a stale fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
    /// It is draining: requests in flight finish, and it gets no new ones.
    #[serde(default)]
    pub leaving: bool,
}

/// A version of a pool's weights.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// The pool whose version it is.
    pub pool: PoolId,
    /// The version's number within the pool.
    pub number: VersionNumber,
    /// The name of the weights in the weight store.
    pub weights: Box<str>,
}

/// The stage of a version move.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum MoveStage {
    /// A few replicas run the new version and get a small share of the requests.
    Trial,
    /// The remaining replicas load the new version.
    Rollout,
    /// The move is rolled back: replicas load the old version again.
    TakingBack,
    /// All replicas run the new version.
    Done,
    /// Rolled back: all replicas run the old version.
    TakenBack,
}

impl MoveStage {
    /// Whether a move may go from this stage to `next`. A rollback never turns into a rollout
    /// again, so that a daemon that found a fault prevails over one that has not seen it yet.
    pub fn can_transition_to(self, next: MoveStage) -> bool {
        match self {
            MoveStage::Trial => matches!(next, MoveStage::Rollout | MoveStage::TakingBack),
            MoveStage::Rollout => matches!(next, MoveStage::Done | MoveStage::TakingBack),
            MoveStage::TakingBack => next == MoveStage::TakenBack,
            MoveStage::Done | MoveStage::TakenBack => false,
        }
    }

    /// Whether the move is done or rolled back.
    pub fn is_finished(self) -> bool {
        matches!(self, MoveStage::Done | MoveStage::TakenBack)
    }
}

/// A move of a pool from one version to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct VersionMove {
    /// Chosen by the operator who starts the move.
    pub id: MoveId,
    /// The pool that changes its version.
    pub pool: PoolId,
    /// The version that the pool runs when the move starts.
    pub from: VersionNumber,
    /// The version that the pool is to run.
    pub to: VersionNumber,
    /// The current stage.
    pub stage: MoveStage,
    /// Seconds from its start to its deadline.
    pub deadline_s: u64,
    /// Why it was rolled back; `None` otherwise.
    #[serde(default)]
    pub reason: Option<Box<str>>,
}

//! What a catalog holds.

use std::net::SocketAddr;

use ids::{
    CustomerId, FailureDomain, KeyDigest, KeyId, MoveId, PoolId, RouteId, TargetId, TokenCount,
    TokenRate, VersionNumber,
};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A customer and its share.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Its id.
    pub id: CustomerId,
    /// Tokens a second over the whole fleet.
    pub rate: TokenRate,
    /// Tokens it may take at once after a quiet time.
    pub burst: TokenCount,
    /// Its weight when targets are scarce.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

fn default_weight() -> u32 {
    1
}

/// A caller key; the secret is never kept.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct CallerKey {
    /// Its name.
    pub id: KeyId,
    /// SHA-256 of the secret.
    pub digest: KeyDigest,
    /// Whose requests it carries.
    pub customer: CustomerId,
}

/// What a pool's replicas are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum PoolKind {
    /// Model engines.
    Engine,
    /// A plain service.
    Service,
    /// A store of kept KV cache.
    KvStore,
}

/// Replicas that serve one model or one plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Its id; for engines the model's name.
    pub id: PoolId,
    /// What its replicas are.
    pub kind: PoolKind,
    /// The version that new requests run on.
    #[serde(default)]
    pub version: VersionNumber,
    /// Requests one replica runs at once.
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
    /// Only callers with a key.
    #[default]
    Keyed,
    /// Everyone.
    Open,
}

/// Whether traffic may wait.
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
    /// Someone stands at a counter.
    #[default]
    Counter,
    /// It may wait.
    Deferrable,
}

/// What a route leads to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case", tag = "kind", deny_unknown_fields)]
pub enum RouteKind {
    /// A model, by the `model` field of the request.
    Model {
        /// The model's name as callers write it.
        model: PoolId,
    },
    /// A plain service under a path prefix.
    Service {
        /// The path prefix, such as `/orders`.
        prefix: Box<str>,
        /// Methods that may be repeated; all others run at most once.
        #[serde(default = "default_repeatable")]
        repeatable: Vec<Box<str>>,
        /// Tokens charged for each call.
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
    /// Its id.
    pub id: RouteId,
    /// What it leads to.
    #[serde(flatten)]
    pub kind: RouteKind,
    /// The pool that serves it.
    pub pool: PoolId,
    /// Who may use it.
    #[serde(default)]
    pub access: RouteAccess,
    /// Whether its traffic may wait.
    #[serde(default)]
    pub class: TrafficClass,
    /// The customers that may use it; empty: all.
    #[serde(default)]
    pub customers: Vec<CustomerId>,
}

/// One replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Its id.
    pub id: TargetId,
    /// Its pool.
    pub pool: PoolId,
    /// Where it listens, an IP number and a port.
    pub address: SocketAddr,
    /// Where it fails together with others.
    pub failure_domain: FailureDomain,
    /// It repeats the `x-request-id` of a request on the answer.
    #[serde(default)]
    pub echoes_request_id: bool,
    /// It refuses orders with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// It finishes what it has and gets no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// A version of a pool's weights.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// The pool.
    pub pool: PoolId,
    /// Its number.
    pub number: VersionNumber,
    /// The weights' name in the weight store.
    pub weights: Box<str>,
}

/// How far a version move is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum MoveStage {
    /// A few replicas run the new version; they get a small share.
    Trial,
    /// The remaining replicas load the new version.
    Rollout,
    /// Replicas load the old version again.
    TakingBack,
    /// All replicas run the new version.
    Done,
    /// All replicas run the old version.
    TakenBack,
}

impl MoveStage {
    /// Whether a move may go from this stage to `next`. A move that is being taken back never
    /// goes on: whoever found the fault wins over whoever has not seen it yet.
    pub fn can_transition_to(self, next: MoveStage) -> bool {
        match self {
            MoveStage::Trial => matches!(next, MoveStage::Rollout | MoveStage::TakingBack),
            MoveStage::Rollout => matches!(next, MoveStage::Done | MoveStage::TakingBack),
            MoveStage::TakingBack => next == MoveStage::TakenBack,
            MoveStage::Done | MoveStage::TakenBack => false,
        }
    }

    /// Whether the move has ended.
    pub fn is_finished(self) -> bool {
        matches!(self, MoveStage::Done | MoveStage::TakenBack)
    }
}

/// A move of a pool from one version to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct VersionMove {
    /// Its id.
    pub id: MoveId,
    /// The pool.
    pub pool: PoolId,
    /// The version before.
    pub from: VersionNumber,
    /// The version after.
    pub to: VersionNumber,
    /// How far it is.
    pub stage: MoveStage,
    /// Seconds from its start to its deadline.
    pub deadline_s: u64,
    /// Why it was taken back, if it was.
    #[serde(default)]
    pub reason: Option<Box<str>>,
}

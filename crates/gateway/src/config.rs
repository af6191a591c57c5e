//! The configuration in force: routes, pools, customers and their keys.

use std::net::SocketAddr;
use std::time::Duration;

use ids::{CustomerId, FailureDomain, KeyDigest, PoolId, Revision, RouteId, TokenCount, TokenRate};
use indexmap::IndexMap;
use policy::customer_quota::CustomerRate;
use serde::{Deserialize, Serialize};

/// One revision of the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SiteConfig {
    /// Grows with every change.
    pub revision: Revision,
    /// All routes.
    pub routes: Vec<RouteRule>,
    /// All pools by id.
    pub pools: IndexMap<PoolId, PoolRule>,
    /// All customers by id.
    pub customers: IndexMap<CustomerId, CustomerRule>,
    /// The customer of each caller key. Empty if callers need no keys.
    pub keys: IndexMap<KeyDigest, CustomerId>,
    /// What callers may send.
    pub limits: CallerLimits,
}

/// Where requests with a host and path prefix go.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteRule {
    /// The route.
    pub id: RouteId,
    /// The host that callers name.
    pub host: Box<str>,
    /// The path prefix, with a slash at both ends.
    pub prefix: Box<str>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest time a caller is kept waiting.
    pub timeout: Duration,
    /// The latency objective; for streams, of the first event.
    pub objective: Duration,
    /// The longest pause between events of a stream that is still on time.
    pub gap: Option<Duration>,
    /// Rank of urgency, 0 is the most urgent.
    pub priority: u8,
    /// Pools with their weights.
    pub pools: Vec<(PoolId, u32)>,
    /// Most replicas that one request may be sent to.
    pub max_attempts: u32,
    /// Callers need no key.
    pub public: bool,
}

/// What may be repeated on a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// Requests may run more than once.
    Idempotent,
    /// Requests run at most once.
    NonIdempotent,
    /// Answers are event streams, which may be continued on another replica if `resumable`.
    Stream {
        /// Whether a stream may be continued elsewhere.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request may run again after it may have run.
    pub fn is_repeatable(self) -> bool {
        matches!(self, RouteKind::Idempotent | RouteKind::Stream { resumable: true })
    }
}

/// A pool of replicas.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PoolRule {
    /// Set if the replicas are model engines.
    pub engine: Option<EngineRule>,
    /// Set if the pool is a KV store.
    pub kv_store: Option<SocketAddr>,
}

/// What is known of a pool's engines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineRule {
    /// Requests in one batch.
    pub batch: u32,
    /// Tokens of KV memory.
    pub kv_tokens: u64,
    /// The models served.
    pub models: Vec<Box<str>>,
}

/// A customer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CustomerRule {
    /// Rank of urgency, which goes before the route's.
    pub priority: Option<u8>,
    /// What its rate counts.
    pub unit: QuotaUnit,
    /// Units a second over all daemons; zero is no limit.
    pub rate: TokenRate,
    /// Units that may come at once.
    pub burst: TokenCount,
    /// What a request costs that states no token counts.
    pub default_cost: TokenCount,
    /// Its cached prompts are kept apart from other customers'.
    pub isolated: bool,
}

/// What a customer's rate counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaUnit {
    /// Each request counts one.
    Requests,
    /// A request counts the tokens it states.
    Tokens,
}

impl CustomerRule {
    /// What a request counts that states so many tokens.
    pub fn cost(&self, stated: Option<u64>) -> u64 {
        match self.unit {
            QuotaUnit::Requests => 1,
            QuotaUnit::Tokens => stated.unwrap_or(self.default_cost.0),
        }
    }

    /// Its rate, as decisions take it.
    pub fn quota_rate(&self) -> CustomerRate {
        CustomerRate { per_s: self.rate.0 as f64, burst: self.burst.0 as f64 }
    }
}

/// What callers may send.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Bytes of headers.
    pub header_bytes: usize,
    /// Bytes of a body.
    pub body_bytes: usize,
    /// Time a connection may stay idle.
    pub idle_time: Duration,
}

/// A version of a pool that traffic is to move to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PoolRollout {
    /// The pool.
    pub pool: PoolId,
    /// The release to move to.
    pub to: Box<str>,
    /// The revision of the order itself.
    pub revision: Revision,
}

/// A replica as the platform lists it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetEntry {
    /// The replica.
    pub id: ids::TargetId,
    /// When its process started, in Unix milliseconds; tells restarts under one id apart.
    pub incarnation: u64,
    /// Its pool.
    pub pool: PoolId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it fails together with others.
    pub domain: FailureDomain,
    /// The release of its software.
    pub release: Box<str>,
    /// Requests it handles at once.
    pub slots: u32,
    /// It has announced that it will stop.
    pub leaving: bool,
    /// The versions of the weights it has loaded, by model.
    pub weights: IndexMap<Box<str>, u64>,
}

/// A version of a model's weights that an operator has named.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightVersion {
    /// The version.
    pub version: u64,
    /// How long ago it was named, at least; `None` if the teller does not know.
    pub age: Option<Duration>,
}

/// All that operators have ordered.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ControlState {
    /// The newest configuration.
    pub config: Option<SiteConfig>,
    /// The newest version of each model's weights.
    pub weights: IndexMap<Box<str>, WeightVersion>,
    /// Rollouts by pool.
    pub rollouts: IndexMap<PoolId, PoolRollout>,
}

impl SiteConfig {
    /// The route of a host and path: the longest prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&RouteRule> {
        let routes = self.routes.iter();
        routes
            .filter(|it| it.host.eq_ignore_ascii_case(host) && path.starts_with(&*it.prefix))
            .max_by_key(|it| it.prefix.len())
    }

    /// The shortest pause between events that some stream of a pool is allowed.
    pub fn shortest_gap(&self, pool: &PoolId) -> Option<Duration> {
        let routes = self.routes.iter().filter(|it| it.pools.iter().any(|one| one.0 == *pool));
        routes.filter_map(|it| it.gap).min()
    }

    /// The KV store, if there is one.
    pub fn kv_store(&self) -> Option<SocketAddr> {
        self.pools.values().find_map(|it| it.kv_store)
    }

    /// Pools of engines.
    pub fn engine_pools(&self) -> impl Iterator<Item = (&PoolId, &EngineRule)> {
        self.pools.iter().filter_map(|(id, it)| Some((id, it.engine.as_ref()?)))
    }
}

//! The site's state as operators and the platform set it: configuration, versions, rollouts and
//! replicas.

use std::net::SocketAddr;
use std::time::Duration;

use ids::{CustomerId, FailureDomain, KeyDigest, PoolId, Revision, RouteId, TokenCount, TokenRate};
use indexmap::IndexMap;
use policy::cache_scope::{CacheScope, SharingGroup};
use policy::cold_pace::ColdRule;
use policy::customer_quota::CustomerRate;
use policy::home_areas::{DomainRegions, HomeAreas, Region};
use serde::{Deserialize, Serialize};

/// One revision of the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SiteConfig {
    /// The revision number; grows with every change.
    pub revision: Revision,
    /// All routes; the longest matching prefix decides.
    pub routes: Vec<RouteRule>,
    /// All pools by id.
    pub pools: IndexMap<PoolId, PoolRule>,
    /// All customers by id.
    pub customers: IndexMap<CustomerId, CustomerRule>,
    /// The customer of each caller key, by the key's digest. Empty if callers need no keys.
    pub keys: IndexMap<KeyDigest, CustomerId>,
    /// Limits on what callers send.
    pub limits: CallerLimits,
    /// The regions in which requests run. Sent behind the message, where daemons that do not know
    /// them ignore them.
    #[serde(skip)]
    pub regions: RegionRules,
}

/// The regions in which requests run, and where the KV store is.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RegionRules {
    /// The allowed regions of routes that state any.
    pub routes: IndexMap<RouteId, Vec<Region>>,
    /// The allowed regions of customers that state any.
    pub customers: IndexMap<CustomerId, Vec<Region>>,
    /// The failure domains of the pools that are KV stores, as far as stated.
    pub kv_domains: IndexMap<PoolId, FailureDomain>,
}

impl RegionRules {
    /// Whether all requests may run everywhere.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty() && self.customers.is_empty()
    }

    /// All regions that routes and customers name.
    pub fn named(&self) -> impl Iterator<Item = &Region> {
        self.routes.values().chain(self.customers.values()).flatten()
    }
}

/// How requests with a host and path prefix are handled.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteRule {
    /// The route's id.
    pub id: RouteId,
    /// The host that callers name.
    pub host: Box<str>,
    /// The path prefix, with a slash at both ends.
    pub prefix: Box<str>,
    /// Which requests may run again.
    pub kind: RouteKind,
    /// The longest time that a caller waits for an answer.
    pub timeout: Duration,
    /// The latency objective; for streams, of the first event.
    pub objective: Duration,
    /// The longest time between two events of a stream that still meets the objective.
    pub gap: Option<Duration>,
    /// Priority, 0 is the most urgent.
    pub priority: u8,
    /// The pools that share the route's traffic, with their weights.
    pub pools: Vec<(PoolId, u32)>,
    /// The maximum number of replicas that one request is sent to.
    pub max_attempts: u32,
    /// Callers need no key on this route.
    pub public: bool,
}

/// Which requests of a route may run again.
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

/// A pool of replicas over which requests are spread.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PoolRule {
    /// Set if the replicas are model engines.
    pub engine: Option<EngineRule>,
    /// Set if the pool is a KV store.
    pub kv_store: Option<SocketAddr>,
    /// Set if the pool's replicas are cold after their start. Sent behind the message and its stamp,
    /// where daemons that do not know it ignore it.
    #[serde(skip)]
    pub cold: Option<ColdRule>,
}

/// The properties of a pool's engines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineRule {
    /// Maximum number of requests in one batch.
    pub batch: u32,
    /// Size of an engine's KV cache in tokens.
    pub kv_tokens: u64,
    /// The models that each engine serves.
    pub models: Vec<Box<str>>,
}

/// A customer's rate and isolation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CustomerRule {
    /// Priority of its requests, which takes precedence over the route's; 0 is the most urgent.
    pub priority: Option<u8>,
    /// The unit of its rate.
    pub unit: QuotaUnit,
    /// Units per second over all daemons; zero is no limit.
    pub rate: TokenRate,
    /// Units that may be used at once after a pause.
    pub burst: TokenCount,
    /// The cost of a request that states no token counts.
    pub default_cost: TokenCount,
    /// Its cached prompts are not shared with other customers.
    pub isolated: bool,
}

/// The unit of a customer's rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaUnit {
    /// Each request counts one.
    Requests,
    /// A request counts the tokens that it states.
    Tokens,
}

impl CustomerRule {
    /// The units charged for a request that states this number of tokens.
    pub fn cost(&self, stated: Option<u64>) -> u64 {
        match self.unit {
            QuotaUnit::Requests => 1,
            QuotaUnit::Tokens => stated.unwrap_or(self.default_cost.0),
        }
    }

    /// The rate in the form that `policy::customer_quota` takes.
    pub fn quota_rate(&self) -> CustomerRate {
        CustomerRate { per_s: self.rate.0 as f64, burst: self.burst.0 as f64 }
    }
}

/// Limits on what callers send.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a request's headers in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request's body in bytes.
    pub body_bytes: usize,
    /// Time for which callers may reuse an idle connection; the daemon closes it after twice that.
    pub idle_time: Duration,
}

/// A move of a pool's traffic to another release.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PoolRollout {
    /// The pool whose traffic moves.
    pub pool: PoolId,
    /// The release to move to.
    pub to: Box<str>,
    /// The revision of the row that holds the rollout.
    pub revision: Revision,
    /// The time within which the move is to end.
    pub duration: Duration,
}

/// A replica as the platform lists it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetEntry {
    /// The replica's id, which outlives restarts.
    pub id: ids::TargetId,
    /// Start of its process in Unix milliseconds; differs between restarts under one id.
    pub incarnation: u64,
    /// The pool that it belongs to.
    pub pool: PoolId,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// The failure domain that it runs in.
    pub domain: FailureDomain,
    /// The release of its software.
    pub release: Box<str>,
    /// The number of requests that it handles at once.
    pub slots: u32,
    /// It has announced that it will stop.
    pub leaving: bool,
    /// The versions of the weights it has loaded, by model.
    pub weights: IndexMap<Box<str>, u64>,
    /// How long it states that it stays cold, in milliseconds and unchecked; only as read from the
    /// store. Daemons send it to each other in messages of its own.
    #[serde(skip)]
    pub cold_left_ms: Option<f64>,
}

/// A version of a model's weights that an operator has published.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightVersion {
    /// The version number; later versions have greater ones.
    pub version: u64,
    /// The least time since it was published; `None` if it is not known.
    pub age: Option<Duration>,
}

/// The state that operators set. Daemons read it from the store and pass it on to each other.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ControlState {
    /// The newest configuration; `None` if there is none yet.
    pub config: Option<SiteConfig>,
    /// The newest published version of each model's weights.
    pub weights: IndexMap<Box<str>, WeightVersion>,
    /// The newest rollout of each pool.
    pub rollouts: IndexMap<PoolId, PoolRollout>,
    /// Versions of each model's weights before the newest one. The store does not hold them. Sent
    /// behind the message, where daemons that do not know them ignore them.
    #[serde(skip)]
    pub superseded_weights: SupersededWeights,
    /// The evacuated failure domains in ascending order, as of the revision of the state. `None` if
    /// it is not known whether there are any. Sent behind the message like the versions.
    #[serde(skip)]
    pub evacuated: Option<Vec<FailureDomain>>,
}

/// Published versions of each model's weights that have been followed by newer ones.
pub type SupersededWeights = IndexMap<Box<str>, Vec<WeightVersion>>;

impl SiteConfig {
    /// The pools whose replicas are cold after their start.
    pub fn cold_rules(&self) -> Vec<(PoolId, ColdRule)> {
        self.pools.iter().filter_map(|(id, it)| Some((id.clone(), it.cold?))).collect()
    }

    /// Sets the rules that `cold_rules` returned. Invalid ones, as in a damaged message, are dropped.
    pub fn set_cold_rules(&mut self, rules: Vec<(PoolId, ColdRule)>) {
        for (id, rule) in rules {
            if let Some(it) = self.pools.get_mut(&id) {
                it.cold = ColdRule::new(rule.time.as_secs_f64(), rule.per_s);
            }
        }
    }

    /// Selects the route of a host and path: of those whose prefix begins the path, the one with
    /// the longest prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&RouteRule> {
        let routes = self.routes.iter();
        routes
            .filter(|it| it.host.eq_ignore_ascii_case(host) && path.starts_with(&*it.prefix))
            .max_by_key(|it| it.prefix.len())
    }

    /// The strictest objective for the time between two events, over all streaming routes of a
    /// pool.
    pub fn min_event_gap(&self, pool: &PoolId) -> Option<Duration> {
        let routes = self.routes.iter().filter(|it| it.pools.iter().any(|one| one.0 == *pool));
        routes.filter_map(|it| it.gap).min()
    }

    /// Whose cached prompts a request may use. A customer that is not configured shares none, nor does
    /// one that is isolated; all others share theirs, also on open routes.
    pub fn cache_scope(&self, customer: Option<&CustomerId>) -> CacheScope {
        let is_sharing = |it: &CustomerId| self.customers.get(it).is_some_and(|it| !it.isolated);
        match customer {
            Some(id) if !is_sharing(id) => CacheScope::Customer(id.as_str().into()),
            _ => {
                let sharing = self.customers.iter().filter(|it| !it.1.isolated);
                CacheScope::Group(SharingGroup::new(sharing.map(|it| it.0.as_str())))
            }
        }
    }

    /// The address of the KV store, if the site has one.
    pub fn kv_store(&self) -> Option<SocketAddr> {
        self.pools.values().find_map(|it| it.kv_store)
    }

    /// The failure domains that a request may use.
    pub fn home_areas(
        &self,
        domains: &DomainRegions,
        route: &RouteId,
        customer: Option<&CustomerId>,
    ) -> HomeAreas {
        let RegionRules { routes, customers, .. } = &self.regions;
        let of_route = routes.get(route).map_or(&[][..], |it| it);
        let of_customer = customer.and_then(|it| customers.get(it)).map_or(&[][..], |it| it);
        HomeAreas::new(domains, of_route, of_customer)
    }

    /// The address of the KV store, if it is known to be in these areas.
    pub fn home_store(&self, areas: &HomeAreas) -> Option<SocketAddr> {
        let (pool, address) = self.pools.iter().find_map(|it| Some((it.0, it.1.kv_store?)))?;
        let domain = self.regions.kv_domains.get(pool)?;
        areas.allows(domain).then_some(address)
    }

    /// The pools whose replicas are model engines.
    pub fn engine_pools(&self) -> impl Iterator<Item = (&PoolId, &EngineRule)> {
        self.pools.iter().filter_map(|(id, it)| Some((id, it.engine.as_ref()?)))
    }
}

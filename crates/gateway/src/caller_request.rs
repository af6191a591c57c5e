//! Derives a request's customer, pool, prompt and fingerprint from what its caller sent.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use ids::{CustomerId, ErrorKind, KeyDigest, PoolId};
use policy::crash_suspects::SuspectKey;
use policy::prefix_table::PromptPrefix;
use policy::quarantine::Fingerprint;
use policy::rendezvous;
use xxhash_rust::xxh3;

use crate::buffer_share::BufferShare;
use crate::config::{RouteRule, SiteConfig};
use crate::crash_reports::CrashKeys;
use crate::dialect::{HeadError, PromptPart, RequestHead};
use crate::prompt_spec::PromptSpec;
use crate::refusal::CallRefusal;
use crate::relay::RequestOrigin;

/// A caller's request, read whole.
pub(crate) struct CallerRequest {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) head: RequestHead,
    pub(crate) body: Bytes,
    /// The memory of its body.
    pub(crate) body_share: BufferShare,
    pub(crate) origin: RequestOrigin,
    /// When its headers had arrived, on the daemon's clock.
    pub(crate) started_at: Duration,
}

/// The customer that the request's key belongs to; `None` on a public route without a known key, or
/// if no customers are configured. Fails if the route requires a key and there is no known one.
pub(crate) fn resolve_customer(
    config: &SiteConfig,
    route: &RouteRule,
    head: &RequestHead,
) -> Result<Option<CustomerId>, CallRefusal> {
    if config.customers.is_empty() {
        return Ok(None);
    }
    let known = head.key.as_deref().and_then(|it| config.keys.get(&KeyDigest::from_secret(it)));
    match (known, route.public) {
        (Some(customer), _) => Ok(Some(customer.clone())),
        (None, true) => Ok(None),
        (None, false) if head.key.is_none() => Err(CallRefusal::not_run(ErrorKind::KeyMissing)),
        (None, false) => Err(CallRefusal::not_run(ErrorKind::KeyRefused)),
    }
}

/// Logs that the headers of a request are rejected, and returns the refusal.
pub(crate) fn refuse_head(error: HeadError) -> CallRefusal {
    tracing::info!("call: refused before routing: {error}");
    CallRefusal::not_run(ErrorKind::BadRequest)
}

/// Draws a pool of the route at random, in proportion to the weights; the first one if all weights
/// are 0, `None` if the route has no pool.
pub(crate) fn choose_pool(route: &RouteRule) -> Option<PoolId> {
    let total: u32 = route.pools.iter().map(|it| it.1).sum();
    let mut drawn = rand::random_range(0..total.max(1));
    for (pool, weight) in &route.pools {
        if drawn < *weight {
            return Some(pool.clone());
        }
        drawn -= weight;
    }
    route.pools.first().map(|it| it.0.clone())
}

/// The prompt of a request; `None` if its pool runs no engines or has no model.
pub(crate) fn prompt_spec(
    config: &SiteConfig,
    pool: &PoolId,
    customer: Option<&CustomerId>,
    head: &RequestHead,
) -> Option<PromptSpec> {
    let engine = config.pools.get(pool)?.engine.as_ref()?;
    let model = head.model.clone().or_else(|| engine.models.first().cloned())?;
    let mut digest = 0;
    let mut tokens = 0;
    let prefixes = head.parts.iter().map(|part| {
        digest = xxh3::xxh3_64_with_seed(part.id.as_bytes(), digest);
        tokens += u64::from(part.tokens);
        PromptPrefix { digest, tokens }
    });
    let prefixes: Vec<PromptPrefix> = prefixes.collect();
    let (prompt, output) = head.tokens.map_or((tokens, 0), |it| (it.0.0, it.1.0));
    Some(PromptSpec {
        model,
        shared_prefixes: prefixes.len().saturating_sub(1),
        prefixes,
        prompt_tokens: prompt,
        output_tokens: output,
        token_gap_s: config.min_event_gap(pool).map(|it| it.as_secs_f64()),
        cache_scope: config.cache_scope(customer),
    })
}

/// What of a request to a pool may crash replicas: the request itself and its shared prompt parts.
pub(crate) fn crash_keys(
    customer: Option<&CustomerId>,
    pool: &PoolId,
    request: &CallerRequest,
) -> CrashKeys {
    let mut keys = CrashKeys::default();
    keys.add(request_key(customer, request), None);
    let seed = rendezvous::hash_member(pool.as_str());
    let hash = |part: &PromptPart| xxh3::xxh3_64_with_seed(part.id.as_bytes(), seed);
    for pair in request.head.parts.windows(2) {
        keys.add(SuspectKey::Shared(hash(&pair[0])), Some(hash(&pair[1])));
    }
    keys
}

/// The key by which a request is recognised when it is sent again: a hash of its customer, host, path
/// and body. Without a body it is taken from all that else tells requests apart.
fn request_key(customer: Option<&CustomerId>, request: &CallerRequest) -> SuspectKey {
    let hash = |seed: u64, text: &[u8]| xxh3::xxh3_64_with_seed(text, seed);
    let seed = rendezvous::hash_member(customer.map_or("", |it| it.as_str()));
    let seed = hash(seed, request.head.host.to_ascii_lowercase().as_bytes());
    if !request.body.is_empty() {
        let seed = hash(seed, request.uri.path().as_bytes());
        return SuspectKey::Request(Fingerprint(hash(seed, &request.body)));
    }
    let path = request.uri.path_and_query().map_or("", |it| it.as_str());
    let seed = hash(hash(seed, request.method.as_str().as_bytes()), path.as_bytes());
    let parts = request.head.parts.iter();
    let digest = parts.fold(seed, |seed, part| hash(seed, part.id.as_bytes()));
    SuspectKey::Request(Fingerprint(digest))
}

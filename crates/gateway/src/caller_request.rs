//! What a caller's request is: whose, for which pool, with which prompt.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use ids::{CustomerId, ErrorKind, KeyDigest, PoolId};
use policy::prefix_table::PromptPrefix;
use policy::quarantine::Fingerprint;
use policy::rendezvous;
use xxhash_rust::xxh3;

use crate::config::{CustomerRule, RouteRule, SiteConfig};
use crate::dialect::{HeadError, RequestHead};
use crate::prompt_spec::PromptSpec;
use crate::refusal::CallRefusal;

/// A caller's request as it was read.
pub(crate) struct CallerRequest {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) head: RequestHead,
    pub(crate) body: Bytes,
    pub(crate) began: Duration,
}

/// The customer of a request's key, if the route asks for one.
pub(crate) fn customer_of(
    config: &SiteConfig,
    route: &RouteRule,
    head: &RequestHead,
) -> Result<Option<CustomerId>, CallRefusal> {
    if config.customers.is_empty() {
        return Ok(None);
    }
    let known = head.key.as_deref().and_then(|it| config.keys.get(&KeyDigest::of_secret(it)));
    match (known, route.public) {
        (Some(customer), _) => Ok(Some(customer.clone())),
        (None, true) => Ok(None),
        (None, false) if head.key.is_none() => Err(CallRefusal::not_run(ErrorKind::KeyMissing)),
        (None, false) => Err(CallRefusal::not_run(ErrorKind::KeyRefused)),
    }
}

/// What a request without a usable description is told.
pub(crate) fn head_refusal(error: HeadError) -> CallRefusal {
    tracing::info!("call: refused: {error}");
    CallRefusal::not_run(ErrorKind::BadRequest)
}

/// A pool of the route, drawn by weight.
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

/// The prompt of a request, if its pool runs engines.
pub(crate) fn prompt_spec(
    config: &SiteConfig,
    pool: &PoolId,
    customer: Option<&CustomerId>,
    rule: Option<&CustomerRule>,
    head: &RequestHead,
) -> Option<PromptSpec> {
    let engine = config.pools.get(pool)?.engine.as_ref()?;
    let model = head.model.clone().or_else(|| engine.models.first().cloned())?;
    let mut digest = 0;
    let mut tokens = 0;
    let parts = head.parts.iter().map(|part| {
        digest = xxh3::xxh3_64_with_seed(part.id.as_bytes(), digest);
        tokens += u64::from(part.tokens);
        PromptPrefix { digest, tokens }
    });
    let parts: Vec<PromptPrefix> = parts.collect();
    let (prompt, output) = head.tokens.map_or((tokens, 0), |it| (it.0.0, it.1.0));
    let cache_scope = customer.filter(|_| rule.is_some_and(|it| it.isolated));
    Some(PromptSpec {
        model,
        shared: parts.len().saturating_sub(1),
        parts,
        prompt_tokens: prompt,
        output_tokens: output,
        token_gap_s: config.min_event_gap(pool).map(|it| it.as_secs_f64()),
        cache_scope: cache_scope.map(|it| it.as_str().into()),
    })
}

/// What a request is recognised by when it comes again. A request without a body is like many
/// others, and is not told from them.
pub(crate) fn fingerprint(
    customer: Option<&CustomerId>,
    request: &CallerRequest,
) -> Option<Fingerprint> {
    if request.body.is_empty() {
        return None;
    }
    let seed = rendezvous::hash_member(customer.map_or("", |it| it.as_str()));
    let seed = xxh3::xxh3_64_with_seed(request.uri.path().as_bytes(), seed);
    Some(Fingerprint(xxh3::xxh3_64_with_seed(&request.body, seed)))
}

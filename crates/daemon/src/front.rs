//! The callers' side: one handler for every method and path.
//!
//! It stands on hyper-util and not on dropshot, which would hold back each piece of a stream
//! (docs/design/overhead.md).

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use catalog::{CatalogState, Customer, Route};
use dropshot::Body;
use http::header::CONNECTION;
use http::request::Parts;
use http::{HeaderValue, Method, Request, Response};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use ids::{ErrorKind, KeyDigest, Refusal, RequestId};
use web::hyper_server::{self, HyperServer};
use web::server::StartError;

use crate::caller_key::{self, CallerKeyText};
use crate::model_body::ModelApi;
use crate::refusal::refusal_answer;
use crate::router::{InFlightGuard, Router};
use crate::{model_call, service_call};

/// A caller's request, read whole.
#[derive(Debug)]
pub(crate) struct CallerRequest {
    pub(crate) id: RequestId,
    pub(crate) parts: Parts,
    pub(crate) body: Bytes,
    pub(crate) key: Option<KeyDigest>,
    pub(crate) began: Instant,
}

/// Starts the callers' side.
pub(crate) fn start(router: &Arc<Router>) -> Result<HyperServer<Router>, StartError> {
    hyper_server::start_streaming(router.settings.instance.callers, router.clone(), handle)
}

async fn handle(router: Arc<Router>, request: Request<Incoming>) -> Response<Body> {
    let id = router.new_attempt_id();
    let leaving = router.is_leaving();
    // A task of its own: a claimed call records its outcome even when its caller is gone.
    let work = tokio::spawn(answer(router, id.clone(), request));
    let mut answer = work.await.unwrap_or_else(|_| {
        let refusal = Refusal::maybe_run(ErrorKind::Internal);
        refusal_answer(&refusal, &id)
    });
    if let Ok(value) = HeaderValue::from_str(id.as_str()) {
        answer.headers_mut().insert("x-request-id", value);
    }
    if leaving {
        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    answer
}

async fn answer(router: Arc<Router>, id: RequestId, request: Request<Incoming>) -> Response<Body> {
    let (parts, body) = request.into_parts();
    if parts.uri.path() == "/healthz" {
        return health(&router);
    }
    let keyed = parts.headers.contains_key("idempotency-key");
    let res = match receive(&router, parts, body).await {
        Ok(received) => received.answer(&router, &id).await,
        // The claim of the key was not read yet.
        Err(refusal) => Err(if keyed { refusal.assume_maybe_run() } else { refusal }),
    };
    res.unwrap_or_else(|refusal| {
        router.metrics.record_refusal(&refusal);
        tracing::info!(
            request = %id, kind = %refusal.kind, run = refusal.run.code(), "front: refused"
        );
        refusal_answer(&refusal, &id)
    })
}

/// A request that was read, with what it leads to.
struct Received {
    _open: InFlightGuard,
    catalog: Arc<CatalogState>,
    lead: Lead,
    parts: Parts,
    body: Bytes,
    key: Option<KeyDigest>,
    began: Instant,
}

enum Lead {
    Model(ModelApi),
    Service { route: Route, customer: Option<Customer>, idempotency: Option<HeaderValue> },
}

impl Received {
    async fn answer(self, router: &Arc<Router>, id: &RequestId) -> Result<Response<Body>, Refusal> {
        let Received { _open, catalog, lead, parts, body, key, began } = self;
        let request = CallerRequest { id: id.clone(), parts, body, key, began };
        match lead {
            Lead::Model(api) => model_call::handle(router, &catalog, api, request).await,
            Lead::Service { route, customer, idempotency } => {
                service_call::handle(router, &route, customer, idempotency, request).await
            }
        }
    }
}

/// Checks a request and reads its body.
async fn receive(
    router: &Arc<Router>,
    mut parts: Parts,
    body: Incoming,
) -> Result<Received, Refusal> {
    let began = Instant::now();
    if router.is_leaving() {
        return Err(Refusal::not_run(ErrorKind::Leaving).retry_after(1));
    }
    let open = router.track_request();
    check_headers(router, &parts)?;
    let catalog = router.catalog.current();
    let catalog = catalog.ok_or(Refusal::not_run(ErrorKind::ConfigMissing).retry_after(1))?;
    let CallerKeyText(key) = caller_key::caller_key(&parts.headers)?;
    check_no_key_in_uri(&parts, key)?;
    check_no_climbing(&parts)?;
    let digest = key.map(KeyDigest::from_secret);
    if digest.as_ref().is_some_and(|it| router.is_key_blocked(it)) {
        return Err(Refusal::not_run(ErrorKind::KeyRefused));
    }
    if digest.is_some() && !router.is_catalog_confirmed() {
        return Err(Refusal::not_run(ErrorKind::ConfigStale).retry_after(1));
    }
    let lead = lead(&catalog, &parts, digest.as_ref())?;
    parts.headers = targets::target_headers(&parts.headers, key);
    let body = read_body(router, body).await?;
    Ok(Received { _open: open, catalog, lead, parts, body, key: digest, began })
}

/// What a request leads to, and whether its key may go there.
fn lead(
    catalog: &CatalogState,
    parts: &Parts,
    digest: Option<&KeyDigest>,
) -> Result<Lead, Refusal> {
    let path = parts.uri.path();
    let model = ModelApi::of_path(path).filter(|_| parts.method == Method::POST);
    if let Some(api) = model {
        // A wrong key is told before the body is read; which route it is, only the body says.
        if digest.is_some_and(|it| !catalog.keys.contains_key(it)) {
            return Err(Refusal::not_run(ErrorKind::KeyRefused));
        }
        return Ok(Lead::Model(api));
    }
    let route = catalog.service_route(path).ok_or(Refusal::not_run(ErrorKind::RouteUnknown))?;
    let customer = caller_key::resolve_customer(catalog, route, digest)?.cloned();
    let idempotency = parts.headers.get("idempotency-key").cloned();
    Ok(Lead::Service { route: route.clone(), customer, idempotency })
}

fn health(router: &Router) -> Response<Body> {
    let ready = router.is_ready();
    let status = if ready { 200 } else { 503 };
    let status = http::StatusCode::from_u16(status).unwrap_or_default();
    web::server::json_answer(status, &serde_json::json!({ "ready": ready }))
}

fn check_headers(router: &Router, parts: &Parts) -> Result<(), Refusal> {
    let bytes: usize =
        parts.headers.iter().map(|(name, value)| name.as_str().len() + value.len() + 4).sum();
    let limit = router.settings.limits.header_bytes;
    if bytes > limit {
        let detail = format!("found {bytes} bytes; allowed: {limit}");
        return Err(Refusal::not_run(ErrorKind::HeadersTooLarge).detail(detail));
    }
    Ok(())
}

/// A key in the path or query would reach the target and logs, however it is encoded.
fn check_no_key_in_uri(parts: &Parts, key: Option<&str>) -> Result<(), Refusal> {
    let uri = parts.uri.path_and_query().map_or("", |it| it.as_str());
    let plain = percent_encoding::percent_decode_str(uri).decode_utf8_lossy();
    if key.is_some_and(|it| uri.contains(it) || plain.contains(it)) {
        let refusal = Refusal::not_run(ErrorKind::BadRequest);
        return Err(refusal.detail("the caller key stands in the path or query"));
    }
    Ok(())
}

/// A path that climbs out of its route's prefix would reach what another route guards.
fn check_no_climbing(parts: &Parts) -> Result<(), Refusal> {
    let plain = percent_encoding::percent_decode_str(parts.uri.path()).decode_utf8_lossy();
    if plain.split(['/', '\\']).any(|it| it == ".." || it == ".") {
        let refusal = Refusal::not_run(ErrorKind::BadRequest);
        return Err(refusal.detail("the path holds a '.' or '..' segment"));
    }
    Ok(())
}

async fn read_body(router: &Router, body: Incoming) -> Result<Bytes, Refusal> {
    let limit = router.settings.limits.body_bytes;
    let time = router.settings.timeouts.caller_body_ms.duration();
    let whole = Limited::new(body, limit).collect();
    match tokio::time::timeout(time, whole).await {
        Err(_) => Err(Refusal::not_run(ErrorKind::CallerTimeout)),
        Ok(Ok(it)) => Ok(it.to_bytes()),
        Ok(Err(error)) if error.downcast_ref::<LengthLimitError>().is_some() => {
            let detail = format!("allowed: {limit} bytes");
            Err(Refusal::not_run(ErrorKind::BodyTooLarge).detail(detail))
        }
        Ok(Err(error)) => Err(Refusal::not_run(ErrorKind::BadRequest).detail(error.to_string())),
    }
}

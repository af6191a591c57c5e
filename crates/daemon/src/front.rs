//! Serves callers: one handler checks every request and hands it, by its path, to the handler of
//! model requests or of service calls.
//!
//! It is built on hyper-util, because dropshot would delay each piece of a stream
//! (docs/design/overhead.md).

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use catalog::{CatalogState, Customer, Route};
use dropshot::Body;
use http::header::CONNECTION;
use http::request::Parts;
use http::{HeaderValue, Method, Request, Response};
use hyper::body::Incoming;
use ids::{ErrorKind, KeyDigest, Refusal, RequestId};
use web::body_reader::{self, BodyError};
use web::hyper_server::{self, HyperServer};
use web::server::StartError;

use crate::caller_key::{self, BearerKey};
use crate::model_body::ModelApi;
use crate::refusal::refusal_answer;
use crate::router::{InFlightGuard, Router};
use crate::{model_call, service_call};

/// A caller's request with its whole body.
#[derive(Debug)]
pub(crate) struct CallerRequest {
    pub(crate) id: RequestId,
    pub(crate) parts: Parts,
    pub(crate) body: Bytes,
    pub(crate) key: Option<KeyDigest>,
    pub(crate) started_at: Instant,
}

/// Starts the callers' server.
pub(crate) fn start(router: &Arc<Router>) -> Result<HyperServer<Router>, StartError> {
    hyper_server::start_streaming(router.settings.instance.callers, router.clone(), handle)
}

/// Answers a request; tells the caller to close the connection if this daemon is leaving.
async fn handle(router: Arc<Router>, request: Request<Incoming>) -> Response<Body> {
    let id = router.new_attempt_id();
    let leaving = router.is_leaving();
    // A separate task: a claimed call records its outcome also when the caller disconnects.
    let task = tokio::spawn(answer(router, id.clone(), request));
    let mut answer = task.await.unwrap_or_else(|_| {
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

/// Checks and handles a request. Refusals are counted and logged.
async fn answer(router: Arc<Router>, id: RequestId, request: Request<Incoming>) -> Response<Body> {
    let (parts, body) = request.into_parts();
    if parts.uri.path() == "/healthz" {
        return health_answer(&router);
    }
    let keyed = parts.headers.contains_key("idempotency-key");
    let res = match receive(&router, parts, body).await {
        Ok(checked) => checked.answer(&router, &id).await,
        // Refused before the key's claim was read.
        Err(refusal) => Err(if keyed { refusal.assume_maybe_run() } else { refusal }),
    };
    res.unwrap_or_else(|refusal| {
        router.metrics.record_refusal(&refusal);
        tracing::info!(
            request = %id, kind = %refusal.kind, run = refusal.run.code(), "front: request refused"
        );
        refusal_answer(&refusal, &id)
    })
}

/// A request that passed the checks, with its destination.
struct CheckedRequest {
    _in_flight: InFlightGuard,
    catalog: Arc<CatalogState>,
    destination: RequestDestination,
    parts: Parts,
    body: Bytes,
    key: Option<KeyDigest>,
    started_at: Instant,
}

/// Where a request goes. A model request's route is known only once its body is parsed.
enum RequestDestination {
    Model(ModelApi),
    Service { route: Route, customer: Option<Customer>, idempotency: Option<HeaderValue> },
}

impl CheckedRequest {
    async fn answer(self, router: &Arc<Router>, id: &RequestId) -> Result<Response<Body>, Refusal> {
        let CheckedRequest { _in_flight, catalog, destination, parts, body, key, started_at } =
            self;
        let request = CallerRequest { id: id.clone(), parts, body, key, started_at };
        match destination {
            RequestDestination::Model(api) => {
                model_call::handle(router, &catalog, api, request).await
            }
            RequestDestination::Service { route, customer, idempotency } => {
                service_call::handle(router, &route, customer, idempotency, request).await
            }
        }
    }
}

/// Checks a request's headers, key and path, then reads its body. The key is removed from the
/// headers.
async fn receive(
    router: &Arc<Router>,
    mut parts: Parts,
    body: Incoming,
) -> Result<CheckedRequest, Refusal> {
    let started_at = Instant::now();
    if router.is_leaving() {
        return Err(Refusal::not_run(ErrorKind::Leaving).retry_after(1));
    }
    let in_flight = router.track_request();
    check_headers(router, &parts)?;
    let catalog = router.catalog.current();
    let catalog = catalog.ok_or(Refusal::not_run(ErrorKind::ConfigMissing).retry_after(1))?;
    let BearerKey(key) = caller_key::parse_bearer_key(&parts.headers)?;
    check_no_key_in_uri(&parts, key)?;
    check_no_dot_segments(&parts)?;
    let digest = key.map(KeyDigest::from_secret);
    if digest.as_ref().is_some_and(|it| router.is_key_blocked(it)) {
        return Err(Refusal::not_run(ErrorKind::KeyRefused));
    }
    if digest.is_some() && !router.is_catalog_confirmed() {
        return Err(Refusal::not_run(ErrorKind::ConfigStale).retry_after(1));
    }
    let destination = find_destination(&catalog, &parts, digest.as_ref())?;
    parts.headers = targets::target_headers(&parts.headers, key);
    let body = read_body(router, body).await?;
    Ok(CheckedRequest {
        _in_flight: in_flight,
        catalog,
        destination,
        parts,
        body,
        key: digest,
        started_at,
    })
}

/// Finds a request's destination and checks that its key is admitted there.
fn find_destination(
    catalog: &CatalogState,
    parts: &Parts,
    digest: Option<&KeyDigest>,
) -> Result<RequestDestination, Refusal> {
    let path = parts.uri.path();
    let model = ModelApi::from_path(path).filter(|_| parts.method == Method::POST);
    if let Some(api) = model {
        // Refuse an unknown key before the body is read; the route depends on the body.
        if digest.is_some_and(|it| !catalog.keys.contains_key(it)) {
            return Err(Refusal::not_run(ErrorKind::KeyRefused));
        }
        return Ok(RequestDestination::Model(api));
    }
    let route = catalog.service_route(path).ok_or(Refusal::not_run(ErrorKind::RouteUnknown))?;
    let customer = caller_key::resolve_customer(catalog, route, digest)?.cloned();
    let idempotency = parts.headers.get("idempotency-key").cloned();
    Ok(RequestDestination::Service { route: route.clone(), customer, idempotency })
}

/// The answer to a health check: 200 if this daemon can serve all callers, else 503.
fn health_answer(router: &Router) -> Response<Body> {
    let ready = router.is_ready();
    let status = if ready { 200 } else { 503 };
    let status = http::StatusCode::from_u16(status).unwrap_or_default();
    web::server::json_answer(status, &serde_json::json!({ "ready": ready }))
}

/// Refuses headers over the limit of bytes, counting 4 bytes of separators for each.
fn check_headers(router: &Router, parts: &Parts) -> Result<(), Refusal> {
    let bytes: usize =
        parts.headers.iter().map(|(name, value)| name.as_str().len() + value.len() + 4).sum();
    let limit = router.settings.limits.header_bytes;
    if bytes > limit {
        let detail = format!("found {bytes} bytes; allowed: {limit} bytes");
        return Err(Refusal::not_run(ErrorKind::HeadersTooLarge).detail(detail));
    }
    Ok(())
}

/// Refuses a request whose path or query contains the key, also percent-encoded, because it would
/// reach the target and its logs.
fn check_no_key_in_uri(parts: &Parts, key: Option<&str>) -> Result<(), Refusal> {
    let uri = parts.uri.path_and_query().map_or("", |it| it.as_str());
    let decoded = percent_encoding::percent_decode_str(uri).decode_utf8_lossy();
    if key.is_some_and(|it| uri.contains(it) || decoded.contains(it)) {
        let refusal = Refusal::not_run(ErrorKind::BadRequest);
        return Err(refusal.detail("the path or query contains the caller key"));
    }
    Ok(())
}

/// Refuses dot segments: they could lead out of the route's prefix, past another route's access
/// check.
fn check_no_dot_segments(parts: &Parts) -> Result<(), Refusal> {
    let decoded = percent_encoding::percent_decode_str(parts.uri.path()).decode_utf8_lossy();
    if decoded.split(['/', '\\']).any(|it| it == ".." || it == ".") {
        let refusal = Refusal::not_run(ErrorKind::BadRequest);
        return Err(refusal.detail("the path contains a '.' or '..' segment"));
    }
    Ok(())
}

/// Reads the body; refuses it if it exceeds the limits of size or time.
async fn read_body(router: &Router, body: Incoming) -> Result<Bytes, Refusal> {
    let limit = router.settings.limits.body_bytes;
    let timeout = router.settings.timeouts.caller_body_ms.duration();
    let body = body_reader::read_body(body, limit);
    match tokio::time::timeout(timeout, body).await {
        Err(_) => Err(Refusal::not_run(ErrorKind::CallerTimeout)),
        Ok(Ok(body)) => Ok(body),
        Ok(Err(BodyError::TooLong(limit))) => {
            let detail = format!("allowed: {limit} bytes");
            Err(Refusal::not_run(ErrorKind::BodyTooLarge).detail(detail))
        }
        Ok(Err(error)) => Err(Refusal::not_run(ErrorKind::BadRequest).detail(error.to_string())),
    }
}

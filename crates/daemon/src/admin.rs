//! The administration API: catalog changes, caller keys, status and metrics.

use std::sync::Arc;
use std::time::Duration;

use catalog::{CallerKey, ChangeSet, Operation};
use control::SubmitError;
use dropshot::{
    ApiDescription, Body, ClientErrorStatusCode, HttpError, HttpResponseOk, Path, RequestContext,
    TypedBody, endpoint,
};
use http::header::{AUTHORIZATION, CONTENT_TYPE};
use http::{HeaderValue, Response, StatusCode};
use ids::{CustomerId, KeyDigest, KeyId, Revision};
use peers::PeerRequest;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::router::Router;
use crate::status::{DaemonStatus, daemon_status};

/// Time between two attempts to submit a key withdrawal.
const WITHDRAW_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Number of attempts to submit a key withdrawal in the background.
const MAX_WITHDRAW_RETRIES: u32 = 3_600;

type Context = RequestContext<Arc<Router>>;

/// A change as operators submit it.
#[derive(Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ChangeSubmission {
    /// Unique id of this change; a change sent again with the same id takes effect once. Random if
    /// left out.
    #[serde(default)]
    pub change_id: Option<String>,
    /// The revision that the catalog must be at; the change is refused at any other.
    #[serde(default)]
    pub expected_revision: Option<u64>,
    /// The operations, applied in order, all or none.
    pub operations: Vec<Operation>,
}

/// An accepted change.
#[derive(Debug, Serialize, Deserialize, JsonSchema)]
pub struct ChangeAccepted {
    /// The catalog's revision after the change.
    pub revision: u64,
    /// Id of the change.
    pub change_id: String,
    /// Number of peers that acknowledged it.
    pub peers_told: usize,
    /// Number of peers in the platform's list.
    pub peers: usize,
}

/// A caller key to create.
#[derive(Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct KeyCreation {
    /// Id of the key, unique in the catalog.
    pub id: KeyId,
    /// The customer whose requests carry it.
    pub customer: CustomerId,
}

/// A created key; the secret is shown only here.
#[derive(Debug, Serialize, Deserialize, JsonSchema)]
pub struct KeyCreated {
    /// Id of the key.
    pub id: KeyId,
    /// The customer whose requests carry it.
    pub customer: CustomerId,
    /// The bearer token that callers send.
    pub secret: String,
    /// The catalog's revision after the key was added.
    pub revision: u64,
}

/// A withdrawn caller key.
#[derive(Debug, Serialize, Deserialize, JsonSchema)]
pub struct KeyWithdrawn {
    /// Id of the key.
    pub id: KeyId,
    /// The catalog's revision without the key; none if the table has not accepted the change yet.
    pub revision: Option<u64>,
    /// Number of peers that acknowledged that they refuse the key.
    pub peers_told: usize,
    /// Number of peers in the platform's list.
    pub peers: usize,
}

/// The key id in a path.
#[derive(Debug, Deserialize, JsonSchema)]
struct KeyPath {
    id: KeyId,
}

/// The API with all endpoints registered.
pub(crate) fn api() -> ApiDescription<Arc<Router>> {
    let mut api = ApiDescription::new();
    let registered = [
        api.register(read_catalog),
        api.register(submit_change),
        api.register(check_change),
        api.register(create_key),
        api.register(withdraw_key),
        api.register(read_status),
        api.register(read_metrics),
    ];
    for it in registered {
        it.expect("the endpoints have different paths or methods");
    }
    api
}

/// The whole catalog that this daemon uses.
#[endpoint { method = GET, path = "/v1/catalog" }]
async fn read_catalog(rqctx: Context) -> Result<Response<Body>, HttpError> {
    let router = authorized(&rqctx)?;
    let catalog = router.catalog.current();
    let catalog = catalog.ok_or_else(|| unavailable("no catalog has been read yet".into()))?;
    Ok(web::server::json_answer(StatusCode::OK, &*catalog))
}

/// Submits a change of the catalog.
#[endpoint { method = POST, path = "/v1/changes" }]
async fn submit_change(
    rqctx: Context,
    body: TypedBody<ChangeSubmission>,
) -> Result<HttpResponseOk<ChangeAccepted>, HttpError> {
    let router = authorized(&rqctx)?;
    let submission = body.into_inner();
    let expected = submission.expected_revision.map(Revision);
    let change = ChangeSet { operations: submission.operations };
    let change_id = submission.change_id.unwrap_or_else(random_hex);
    publish_change(router, &change, &change_id, expected).await.map(HttpResponseOk)
}

/// Applies a change to a copy of the catalog that this daemon uses, and returns the result.
#[endpoint { method = POST, path = "/v1/changes/check" }]
async fn check_change(
    rqctx: Context,
    body: TypedBody<ChangeSubmission>,
) -> Result<Response<Body>, HttpError> {
    let router = authorized(&rqctx)?;
    let catalog = router.catalog.current().unwrap_or_default();
    let change = ChangeSet { operations: body.into_inner().operations };
    let next = catalog.with_changes(&change, Revision(catalog.revision.0 + 1));
    let next = next.map_err(|error| conflict(error.to_string()))?;
    Ok(web::server::json_answer(StatusCode::OK, &next))
}

/// Creates a caller key; its secret is only in this answer.
#[endpoint { method = POST, path = "/v1/keys" }]
async fn create_key(
    rqctx: Context,
    body: TypedBody<KeyCreation>,
) -> Result<HttpResponseOk<KeyCreated>, HttpError> {
    let router = authorized(&rqctx)?;
    let KeyCreation { id, customer } = body.into_inner();
    let known = router.catalog.current().is_some_and(|it| it.key_by_id(&id).is_some());
    if known {
        return Err(conflict(format!("key {id} exists")));
    }
    let secret = random_hex();
    let digest = KeyDigest::from_secret(&secret);
    let key = CallerKey { id: id.clone(), digest, customer: customer.clone() };
    let change = ChangeSet { operations: vec![Operation::PutKey(key)] };
    let accepted = publish_change(router, &change, &random_hex(), None).await?;
    let revision = accepted.revision;
    Ok(HttpResponseOk(KeyCreated { id, customer, secret, revision }))
}

/// Withdraws a key. This daemon and every peer it reaches refuse it at once, even if the table is
/// down; the catalog follows when the table accepts the change.
#[endpoint { method = POST, path = "/v1/keys/{id}/withdraw" }]
async fn withdraw_key(
    rqctx: Context,
    path: Path<KeyPath>,
) -> Result<HttpResponseOk<KeyWithdrawn>, HttpError> {
    let router = authorized(&rqctx)?;
    let id = path.into_inner().id;
    let catalog = router.catalog.current().unwrap_or_default();
    let digest = catalog.key_by_id(&id).map(|it| it.digest.clone());
    let digest = digest.ok_or_else(|| not_found(format!("key {id} does not exist")))?;
    router.block_key(digest.clone());
    router.catalog.wake_watchers();
    let (peers_told, peers) = router.broadcast(&PeerRequest::BlockKey(digest)).await;
    let change = ChangeSet { operations: vec![Operation::DropKey(id.clone())] };
    let change_id = random_hex();
    let revision = match publish_change(router, &change, &change_id, None).await {
        Ok(it) => Some(it.revision),
        Err(error) => {
            tracing::warn!("keys: withdrawal of {id} not accepted yet, will be retried: {error}");
            let router = router.clone();
            tokio::spawn(async move { retry_withdrawal(&router, &change, &change_id).await });
            None
        }
    };
    Ok(HttpResponseOk(KeyWithdrawn { id, revision, peers_told, peers }))
}

/// The status of this daemon.
#[endpoint { method = GET, path = "/status" }]
async fn read_status(rqctx: Context) -> Result<HttpResponseOk<DaemonStatus>, HttpError> {
    let router = authorized(&rqctx)?;
    Ok(HttpResponseOk(daemon_status(router)))
}

/// All metrics in the Prometheus text format; needs no token.
#[endpoint { method = GET, path = "/metrics" }]
async fn read_metrics(rqctx: Context) -> Result<Response<Body>, HttpError> {
    let text = rqctx.context().metrics.encode();
    let mut answer = Response::new(Body::with_content(text));
    let kind = HeaderValue::from_static("text/plain; version=0.0.4");
    answer.headers_mut().insert(CONTENT_TYPE, kind);
    Ok(answer)
}

/// Submits a change to the catalog and sends it to the peers once it is accepted.
pub(crate) async fn publish_change(
    router: &Router,
    change: &ChangeSet,
    change_id: &str,
    expected: Option<Revision>,
) -> Result<ChangeAccepted, HttpError> {
    let revision = router.catalog.submit(change, change_id, expected).await;
    let revision = revision.map_err(|error| match error {
        SubmitError::Invalid(_) | SubmitError::StaleRevision(_) => conflict(error.to_string()),
        SubmitError::Unavailable(_) | SubmitError::OutcomeUnknown(_) => {
            unavailable(error.to_string())
        }
    })?;
    tracing::info!("catalog: change {change_id} accepted at revision {revision}");
    let change = serde_json::to_string(change).unwrap_or_default();
    let message = PeerRequest::CatalogChanged { revision, change: change.into() };
    let (peers_told, peers) = router.broadcast(&message).await;
    Ok(ChangeAccepted { revision: revision.0, change_id: change_id.into(), peers_told, peers })
}

/// Retries a withdrawal until the catalog accepts it or the key no longer exists.
async fn retry_withdrawal(router: &Router, change: &ChangeSet, change_id: &str) {
    for _ in 0..MAX_WITHDRAW_RETRIES {
        tokio::time::sleep(WITHDRAW_RETRY_INTERVAL).await;
        match router.catalog.submit(change, change_id, None).await {
            Ok(_) | Err(SubmitError::Invalid(_)) => return,
            Err(_) => {}
        }
    }
    tracing::error!(
        "keys: a withdrawal was never accepted and is no longer retried; withdraw the key again"
    );
}

/// The router, if the request carries the operators' token.
fn authorized(rqctx: &Context) -> Result<&Arc<Router>, HttpError> {
    let router = rqctx.context();
    let given = rqctx.request.headers().get(AUTHORIZATION).and_then(|it| it.to_str().ok());
    let given = given.and_then(|it| it.strip_prefix("Bearer ")).unwrap_or_default();
    // Digests are compared, so that the time of the comparison reveals nothing of the token.
    let wanted = Sha256::digest(router.settings.secrets.admin.as_bytes());
    if Sha256::digest(given.as_bytes()) == wanted {
        return Ok(router);
    }
    let status = ClientErrorStatusCode::UNAUTHORIZED;
    Err(HttpError::for_client_error(
        None,
        status,
        "the operator's token is missing or wrong".into(),
    ))
}

fn conflict(text: String) -> HttpError {
    HttpError::for_client_error(None, ClientErrorStatusCode::CONFLICT, text)
}

fn not_found(text: String) -> HttpError {
    HttpError::for_client_error(None, ClientErrorStatusCode::NOT_FOUND, text)
}

fn unavailable(text: String) -> HttpError {
    let mut error = HttpError::for_unavail(None, text.clone());
    error.external_message = text;
    error
}

/// 192 random bits as hexadecimal digits, for key secrets and change ids.
fn random_hex() -> String {
    let words: [u64; 3] = rand::random();
    words.iter().map(|it| format!("{it:016x}")).collect()
}

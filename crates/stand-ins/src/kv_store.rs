//! An in-memory store of KV-cache blobs by name; each call is answered after a fixed delay.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use dropshot::{
    ApiDescription, Body, HttpError, HttpServer, Path, RequestContext, UntypedBody, endpoint,
};
use http::{Response, StatusCode};
use indexmap::IndexMap;
use schemars::JsonSchema;
use serde::Deserialize;
use web::server::{StartError, json_answer};

/// Largest blob accepted; larger bodies are refused by the server.
const MAX_BLOB_BYTES: usize = 16 << 20;
/// Blobs kept; the blob written first is evicted.
const MAX_BLOBS: usize = 10_000;

/// The blobs and the delay of one store, shared by its handlers.
#[derive(Debug, Default)]
pub struct KvStoreStandIn {
    blobs: Mutex<IndexMap<String, Bytes>>,
    delay: Duration,
}

type Context = RequestContext<Arc<KvStoreStandIn>>;

/// Starts an empty store that answers each call after `delay`.
pub fn start(
    address: SocketAddr,
    delay: Duration,
) -> Result<HttpServer<Arc<KvStoreStandIn>>, StartError> {
    let mut api = ApiDescription::new();
    api.register(get_blob).expect("the endpoints do not clash");
    api.register(put_blob).expect("the endpoints do not clash");
    let context = Arc::new(KvStoreStandIn { delay, ..KvStoreStandIn::default() });
    web::server::start(address, api, context, MAX_BLOB_BYTES)
}

/// The path parameter of a blob: its name.
#[derive(Deserialize, JsonSchema)]
struct BlobPath {
    name: String,
}

#[endpoint { method = GET, path = "/v1/blocks/{name}" }]
async fn get_blob(rqctx: Context, path: Path<BlobPath>) -> Result<Response<Body>, HttpError> {
    let store = rqctx.context();
    tokio::time::sleep(store.delay).await;
    let blobs = store.blobs.lock().unwrap_or_else(|it| it.into_inner());
    let blob = blobs.get(&path.into_inner().name).cloned();
    let blob = blob
        .ok_or_else(|| HttpError::for_not_found(None, "no blob of this name is stored".into()))?;
    Ok(Response::new(Body::with_content(blob)))
}

#[endpoint { method = PUT, path = "/v1/blocks/{name}" }]
async fn put_blob(
    rqctx: Context,
    path: Path<BlobPath>,
    body: UntypedBody,
) -> Result<Response<Body>, HttpError> {
    let store = rqctx.context();
    tokio::time::sleep(store.delay).await;
    let mut blobs = store.blobs.lock().unwrap_or_else(|it| it.into_inner());
    if blobs.len() == MAX_BLOBS {
        blobs.shift_remove_index(0);
    }
    blobs.insert(path.into_inner().name, Bytes::copy_from_slice(body.as_bytes()));
    Ok(json_answer(StatusCode::OK, &serde_json::json!({})))
}

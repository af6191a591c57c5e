//! The platform: instance list, transactional table, object store and weight store, all in memory,
//! with faults that a call or a test sets for each of them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use bytes::Bytes;
use dropshot::{
    ApiDescription, Body, HttpError, HttpServer, Path, RequestContext, TypedBody, UntypedBody,
    endpoint,
};
use http::{Response, StatusCode};
use ids::Revision;
use indexmap::IndexMap;
use ports::{CommitResult, Member, Row, RowChange, RowCondition, Transaction};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use web::server::{StartError, json_answer};

use crate::faulty_body;

/// Largest request body accepted.
const MAX_BODY_BYTES: usize = 64 << 20;
/// How long a call to a silent service hangs; longer than any caller waits.
const HANG_TIME: Duration = Duration::from_secs(3_600);

/// A service of the platform.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum PlatformService {
    /// The instance list.
    List,
    /// The transactional table.
    Table,
    /// The object store.
    Objects,
    /// The weight store.
    Weights,
}

/// The fault of one service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case", tag = "mode")]
pub enum PlatformFault {
    /// No fault.
    #[default]
    Healthy,
    /// Every call is refused with status 503.
    Down,
    /// Every call is delayed.
    Slow {
        /// The delay in milliseconds.
        delay_ms: u64,
    },
    /// Writes take effect, but the connection is reset before their answer is complete;
    /// announcements to the instance list are answered.
    LoseAnswers {
        /// How many of the next writes are affected.
        calls: u32,
    },
    /// Calls hang and have no effect.
    Silent,
}

/// Sets the fault of one service; the body of a `POST` to `/stand-in/faults`.
#[derive(Debug, Serialize, Deserialize, JsonSchema)]
pub struct FaultSetting {
    /// The service to change.
    #[serde(rename = "part")]
    pub service: PlatformService,
    /// Its fault from now on.
    #[serde(flatten)]
    pub fault: PlatformFault,
}

/// Counts of the calls served since the start.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize, JsonSchema)]
pub struct PlatformStats {
    /// Reads and scans of the table.
    pub table_reads: u64,
    /// Transactions, committed or not.
    pub table_writes: u64,
    /// Reads of the object store.
    pub object_reads: u64,
    /// Writes to the object store.
    pub object_writes: u64,
    /// Reads of the instance list.
    pub list_reads: u64,
}

#[derive(Debug)]
struct PlatformState {
    rows: BTreeMap<Box<str>, Row>,
    revision: u64,
    /// The listed instances by id, with the time of their last announcement.
    members: IndexMap<String, (Member, Instant)>,
    member_timeout: Duration,
    objects: BTreeMap<String, Bytes>,
    faults: BTreeMap<PlatformService, PlatformFault>,
    stats: PlatformStats,
}

/// The data, faults and call counts of one platform, shared by its handlers.
#[derive(Debug)]
pub struct PlatformStandIn {
    state: Mutex<PlatformState>,
}

impl PlatformStandIn {
    fn lock(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().unwrap_or_else(|it| it.into_inner())
    }

    /// Sets the fault of one service.
    pub fn set_fault(&self, service: PlatformService, fault: PlatformFault) {
        self.lock().faults.insert(service, fault);
    }

    /// Counts of the calls served since the start.
    pub fn stats(&self) -> PlatformStats {
        self.lock().stats
    }

    /// The value of a table row, if it exists; faults do not apply.
    pub fn row(&self, key: &str) -> Option<Box<str>> {
        self.lock().rows.get(key).map(|it| it.value.clone())
    }

    /// All table rows whose key starts with `prefix`, by key; faults do not apply.
    pub fn rows(&self, prefix: &str) -> Vec<Row> {
        let state = self.lock();
        state.rows.values().filter(|it| it.key.starts_with(prefix)).cloned().collect()
    }

    /// Removes an instance from the list until it is announced again.
    pub fn remove_member(&self, id: &str) {
        self.lock().members.shift_remove(id);
    }

    /// Delays or refuses a call as the fault of its service says. Returns whether the answer is to
    /// be lost, which only happens to calls that write.
    async fn apply_fault(&self, service: PlatformService, writes: bool) -> Result<bool, HttpError> {
        let fault = self.lock().faults.get(&service).copied().unwrap_or_default();
        match fault {
            PlatformFault::Healthy => Ok(false),
            PlatformFault::Down => {
                Err(HttpError::for_unavail(None, "service is down by an injected fault".into()))
            }
            PlatformFault::Slow { delay_ms } => {
                tokio::time::sleep(Duration::from_millis(delay_ms)).await;
                Ok(false)
            }
            PlatformFault::Silent => {
                tokio::time::sleep(HANG_TIME).await;
                Err(HttpError::for_unavail(
                    None,
                    "service is silent by an injected fault; the call had no effect".into(),
                ))
            }
            PlatformFault::LoseAnswers { calls } if writes && calls > 0 => {
                let remaining = PlatformFault::LoseAnswers { calls: calls - 1 };
                self.lock().faults.insert(service, remaining);
                Ok(true)
            }
            PlatformFault::LoseAnswers { .. } => Ok(false),
        }
    }
}

impl PlatformState {
    /// Whether the row still has the revision that the condition names, or is still absent.
    fn condition_holds(&self, condition: &RowCondition) -> bool {
        self.rows.get(&condition.key).map(|it| it.revision) == condition.revision
    }

    /// Writes or deletes one row at the current revision.
    fn apply(&mut self, change: &RowChange) {
        match &change.value {
            None => {
                self.rows.remove(&change.key);
            }
            Some(value) => {
                let row = Row {
                    key: change.key.clone(),
                    revision: Revision(self.revision),
                    value: value.clone(),
                };
                self.rows.insert(change.key.clone(), row);
            }
        }
    }
}

type Context = RequestContext<Arc<PlatformStandIn>>;

/// Starts an empty platform without faults. Instances not announced for `member_timeout` are
/// removed from the list.
pub fn start(
    address: SocketAddr,
    member_timeout: Duration,
) -> Result<HttpServer<Arc<PlatformStandIn>>, StartError> {
    let state = PlatformState {
        rows: BTreeMap::new(),
        revision: 0,
        members: IndexMap::new(),
        member_timeout,
        objects: BTreeMap::new(),
        faults: BTreeMap::new(),
        stats: PlatformStats::default(),
    };
    let context = Arc::new(PlatformStandIn { state: Mutex::new(state) });
    web::server::start(address, api(), context, MAX_BODY_BYTES)
}

fn api() -> ApiDescription<Arc<PlatformStandIn>> {
    let mut api = ApiDescription::new();
    let registered = [
        api.register(table_read),
        api.register(table_scan),
        api.register(table_commit),
        api.register(list_members),
        api.register(announce_member),
        api.register(get_object),
        api.register(put_object),
        api.register(get_weights),
        api.register(switch_fault),
        api.register(read_stats),
    ];
    for it in registered {
        it.expect("the endpoints do not clash");
    }
    api
}

#[endpoint { method = POST, path = "/v1/table/read" }]
async fn table_read(rqctx: Context, body: UntypedBody) -> Result<Response<Body>, HttpError> {
    let platform = rqctx.context();
    platform.apply_fault(PlatformService::Table, false).await?;
    let request: table_service::wire::ReadRequest = parse(&body)?;
    let mut state = platform.lock();
    state.stats.table_reads += 1;
    let rows = state.rows.get(&request.key).cloned().into_iter().collect();
    Ok(rows_answer(rows, state.revision))
}

#[endpoint { method = POST, path = "/v1/table/scan" }]
async fn table_scan(rqctx: Context, body: UntypedBody) -> Result<Response<Body>, HttpError> {
    let platform = rqctx.context();
    platform.apply_fault(PlatformService::Table, false).await?;
    let request: table_service::wire::ScanRequest = parse(&body)?;
    let mut state = platform.lock();
    state.stats.table_reads += 1;
    let rows = state
        .rows
        .values()
        .filter(|it| it.key.starts_with(&*request.prefix) && it.key > request.after)
        .take(request.limit)
        .cloned()
        .collect();
    Ok(rows_answer(rows, state.revision))
}

#[endpoint { method = POST, path = "/v1/table/commit" }]
async fn table_commit(rqctx: Context, body: UntypedBody) -> Result<Response<Body>, HttpError> {
    let platform = rqctx.context();
    let lost = platform.apply_fault(PlatformService::Table, true).await?;
    let txn: Transaction = parse(&body)?;
    let commit = {
        let mut state = platform.lock();
        state.stats.table_writes += 1;
        if txn.conditions.iter().all(|it| state.condition_holds(it)) {
            state.revision += 1;
            for change in &txn.changes {
                state.apply(change);
            }
            CommitResult::Done(Revision(state.revision))
        } else {
            CommitResult::Conflict
        }
    };
    if lost {
        return Ok(faulty_body::truncated_answer());
    }
    Ok(json_answer(StatusCode::OK, &table_service::wire::CommitAnswer { commit }))
}

#[endpoint { method = GET, path = "/v1/instances" }]
async fn list_members(rqctx: Context) -> Result<Response<Body>, HttpError> {
    let platform = rqctx.context();
    platform.apply_fault(PlatformService::List, false).await?;
    let mut state = platform.lock();
    state.stats.list_reads += 1;
    let timeout = state.member_timeout;
    state.members.retain(|_, (_, announced_at)| announced_at.elapsed() < timeout);
    let members = state.members.values().map(|(it, _)| it.clone()).collect();
    Ok(json_answer(StatusCode::OK, &table_service::wire::MembersAnswer { members }))
}

#[endpoint { method = PUT, path = "/v1/instances" }]
async fn announce_member(rqctx: Context, body: UntypedBody) -> Result<Response<Body>, HttpError> {
    let platform = rqctx.context();
    platform.apply_fault(PlatformService::List, true).await?;
    let member: Member = parse(&body)?;
    platform.lock().members.insert(member.id.to_string(), (member, Instant::now()));
    Ok(json_answer(StatusCode::OK, &serde_json::json!({})))
}

/// The path parameter of an object or of weights: its name.
#[derive(Deserialize, JsonSchema)]
struct ObjectPath {
    name: String,
}

#[endpoint { method = GET, path = "/v1/objects/{name}" }]
async fn get_object(rqctx: Context, path: Path<ObjectPath>) -> Result<Response<Body>, HttpError> {
    let platform = rqctx.context();
    platform.apply_fault(PlatformService::Objects, false).await?;
    let mut state = platform.lock();
    state.stats.object_reads += 1;
    let data = state.objects.get(&path.into_inner().name).cloned();
    let data = data
        .ok_or_else(|| HttpError::for_not_found(None, "no object of this name is stored".into()))?;
    Ok(Response::new(Body::with_content(data)))
}

#[endpoint { method = PUT, path = "/v1/objects/{name}" }]
async fn put_object(
    rqctx: Context,
    path: Path<ObjectPath>,
    body: UntypedBody,
) -> Result<Response<Body>, HttpError> {
    let platform = rqctx.context();
    let lost = platform.apply_fault(PlatformService::Objects, true).await?;
    let data = Bytes::copy_from_slice(body.as_bytes());
    let mut state = platform.lock();
    state.stats.object_writes += 1;
    state.objects.insert(path.into_inner().name, data);
    if lost {
        return Ok(faulty_body::truncated_answer());
    }
    Ok(json_answer(StatusCode::OK, &serde_json::json!({})))
}

#[endpoint { method = GET, path = "/v1/weights/{name}" }]
async fn get_weights(rqctx: Context, path: Path<ObjectPath>) -> Result<Response<Body>, HttpError> {
    let platform = rqctx.context();
    platform.apply_fault(PlatformService::Weights, false).await?;
    let name = path.into_inner().name;
    if name.starts_with("missing") {
        return Err(HttpError::for_not_found(
            None,
            "the weight store does not hold these weights".into(),
        ));
    }
    Ok(json_answer(StatusCode::OK, &serde_json::json!({ "name": name })))
}

#[endpoint { method = POST, path = "/stand-in/faults" }]
async fn switch_fault(
    rqctx: Context,
    body: TypedBody<FaultSetting>,
) -> Result<Response<Body>, HttpError> {
    let setting = body.into_inner();
    rqctx.context().set_fault(setting.service, setting.fault);
    Ok(json_answer(StatusCode::OK, &serde_json::json!({})))
}

#[endpoint { method = GET, path = "/stand-in/stats" }]
async fn read_stats(rqctx: Context) -> Result<Response<Body>, HttpError> {
    Ok(json_answer(StatusCode::OK, &rqctx.context().stats()))
}

fn rows_answer(rows: Vec<Row>, revision: u64) -> Response<Body> {
    let answer = table_service::wire::RowsAnswer { rows, revision: Revision(revision) };
    json_answer(StatusCode::OK, &answer)
}

fn parse<T: serde::de::DeserializeOwned>(body: &UntypedBody) -> Result<T, HttpError> {
    serde_json::from_slice(body.as_bytes())
        .map_err(|error| HttpError::for_bad_request(None, error.to_string()))
}

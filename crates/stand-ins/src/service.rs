//! A plain service that records each call it executed, so that tests can count repetitions.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use dropshot::Body;
use http::request::Parts;
use http::{Response, StatusCode};
use serde::{Deserialize, Serialize};
use web::hyper_server::{self, HyperServer};
use web::server::{StartError, json_answer};

use crate::faulty_body;

/// Largest request body accepted.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Faults to inject, as posted to `/stand-in/faults`; the default has none.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Delay before a call is executed, in milliseconds.
    pub delay_before_ms: u64,
    /// Delay between the execution of a call and its answer, in milliseconds.
    pub delay_after_ms: u64,
    /// How many of the next calls are executed and get a reset connection instead of an answer.
    pub drop_answers: u32,
    /// Refuses calls with status 503 without executing them.
    pub refuse: bool,
    /// How many of the next answers carry the id of another request.
    pub cross_answers: u32,
}

/// A call that was executed.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Execution {
    /// Its HTTP method.
    pub method: String,
    /// Its path and query.
    pub path: String,
    /// Its body; bytes that are not UTF-8 are replaced.
    pub body: String,
    /// All its headers, each as `name: value` with the value quoted.
    pub headers: Vec<String>,
}

/// The faults and the executed calls of one service, shared by its handlers.
#[derive(Debug, Default)]
pub struct ServiceStandIn {
    name: String,
    faults: Mutex<ServiceFaults>,
    executions: Mutex<Vec<Execution>>,
}

impl ServiceStandIn {
    /// The calls executed so far, in order.
    pub fn executions(&self) -> Vec<Execution> {
        lock(&self.executions).clone()
    }

    /// How many calls with this body were executed.
    pub fn count_executions(&self, body: &str) -> usize {
        lock(&self.executions).iter().filter(|it| it.body == body).count()
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: ServiceFaults) {
        *lock(&self.faults) = faults;
    }

    /// Decrements a fault counter; returns whether the fault applies now.
    fn consume_fault(&self, select: impl Fn(&mut ServiceFaults) -> &mut u32) -> bool {
        let mut faults = lock(&self.faults);
        let remaining = select(&mut faults);
        let applies = *remaining > 0;
        *remaining = remaining.saturating_sub(1);
        applies
    }
}

/// A running service; its context gives access to the faults and the executed calls.
pub type ServiceServer = HyperServer<ServiceStandIn>;

/// Starts a service without faults; its answers contain `name`.
pub fn start(address: SocketAddr, name: &str) -> Result<ServiceServer, StartError> {
    let context = ServiceStandIn { name: name.into(), ..ServiceStandIn::default() };
    hyper_server::start(address, Arc::new(context), MAX_BODY_BYTES, handle)
}

async fn handle(service: Arc<ServiceStandIn>, parts: Parts, body: Bytes) -> Response<Body> {
    let body = String::from_utf8_lossy(&body).into_owned();
    match (parts.method.as_str(), parts.uri.path()) {
        ("GET", "/stand-in/executions") => json_answer(StatusCode::OK, &service.executions()),
        ("POST", "/stand-in/faults") => match serde_json::from_str(&body) {
            Ok(faults) => {
                service.set_faults(faults);
                json_answer(StatusCode::OK, &serde_json::json!({}))
            }
            Err(error) => json_answer(StatusCode::BAD_REQUEST, &error.to_string()),
        },
        _ => execute(&service, &parts, body).await,
    }
}

/// Executes a call unless it is to be refused, and answers with its number.
async fn execute(service: &ServiceStandIn, parts: &Parts, body: String) -> Response<Body> {
    let faults = lock(&service.faults).clone();
    if faults.refuse {
        return json_answer(
            StatusCode::SERVICE_UNAVAILABLE,
            &"refused by an injected fault; the call was not executed",
        );
    }
    tokio::time::sleep(Duration::from_millis(faults.delay_before_ms)).await;
    let number = record_execution(service, parts, body);
    tokio::time::sleep(Duration::from_millis(faults.delay_after_ms)).await;
    if service.consume_fault(|it| &mut it.drop_answers) {
        return faulty_body::truncated_answer();
    }
    let answer = serde_json::json!({ "accepted": number, "by": service.name });
    let mut answer = json_answer(StatusCode::OK, &answer);
    let id = parts.headers.get("x-request-id").cloned();
    let wrong_id = service.consume_fault(|it| &mut it.cross_answers);
    let id = if wrong_id { Some(http::HeaderValue::from_static("another")) } else { id };
    if let Some(id) = id {
        answer.headers_mut().insert("x-request-id", id);
    }
    answer
}

/// Records a call as executed; returns how many calls were executed so far.
fn record_execution(service: &ServiceStandIn, parts: &Parts, body: String) -> usize {
    let headers = parts.headers.iter();
    let execution = Execution {
        method: parts.method.to_string(),
        path: parts.uri.to_string(),
        body,
        headers: headers.map(|(name, it)| format!("{name}: {it:?}")).collect(),
    };
    let mut executions = lock(&service.executions);
    executions.push(execution);
    executions.len()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|it| it.into_inner())
}

//! A plain service that counts what it ran.

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

/// Longest body taken.
const MAX_BODY_BYTES: usize = 16 << 20;

/// How the service behaves.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Waits before it runs a call.
    pub delay_before_ms: u64,
    /// Waits after it ran a call, before it answers.
    pub delay_after_ms: u64,
    /// Runs calls and breaks the connection instead of answering, this many times.
    pub drop_answers: u32,
    /// Refuses calls without running them.
    pub refuse: bool,
    /// Answers with another request's id, this many times.
    pub cross_answers: u32,
}

/// One call that ran.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Execution {
    /// The method.
    pub method: String,
    /// The path and query.
    pub path: String,
    /// The body.
    pub body: String,
    /// All headers, as text lines.
    pub headers: Vec<String>,
}

/// What the handler shares.
#[derive(Debug, Default)]
pub struct ServiceStandIn {
    name: String,
    faults: Mutex<ServiceFaults>,
    executions: Mutex<Vec<Execution>>,
}

impl ServiceStandIn {
    /// The calls that ran.
    pub fn executions(&self) -> Vec<Execution> {
        lock(&self.executions).clone()
    }

    /// How many calls with this body ran.
    pub fn count_executions(&self, body: &str) -> usize {
        lock(&self.executions).iter().filter(|it| it.body == body).count()
    }

    /// Switches faults.
    pub fn set_faults(&self, faults: ServiceFaults) {
        *lock(&self.faults) = faults;
    }

    fn take_one(&self, pick: impl Fn(&mut ServiceFaults) -> &mut u32) -> bool {
        let mut faults = lock(&self.faults);
        let left = pick(&mut faults);
        let any = *left > 0;
        *left = left.saturating_sub(1);
        any
    }
}

/// A running service.
pub type ServiceServer = HyperServer<ServiceStandIn>;

/// Starts a service; `name` comes back in its answers.
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
        _ => run(&service, &parts, body).await,
    }
}

async fn run(service: &ServiceStandIn, parts: &Parts, body: String) -> Response<Body> {
    let faults = lock(&service.faults).clone();
    if faults.refuse {
        return json_answer(StatusCode::SERVICE_UNAVAILABLE, &"refused by a fault");
    }
    tokio::time::sleep(Duration::from_millis(faults.delay_before_ms)).await;
    let number = record(service, parts, body);
    tokio::time::sleep(Duration::from_millis(faults.delay_after_ms)).await;
    if service.take_one(|it| &mut it.drop_answers) {
        return faulty_body::broken_answer();
    }
    let answer = serde_json::json!({ "accepted": number, "by": service.name });
    let mut answer = json_answer(StatusCode::OK, &answer);
    let id = parts.headers.get("x-request-id").cloned();
    let crossed = service.take_one(|it| &mut it.cross_answers);
    let id = if crossed { Some(http::HeaderValue::from_static("another")) } else { id };
    if let Some(id) = id {
        answer.headers_mut().insert("x-request-id", id);
    }
    answer
}

fn record(service: &ServiceStandIn, parts: &Parts, body: String) -> usize {
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

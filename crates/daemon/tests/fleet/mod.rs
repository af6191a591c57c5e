//! A small fleet for tests: stand-ins for platform, engines and service in the test's process,
//! and real daemon processes.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use dropshot::HttpServer;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use rustix::process::{Pid, Signal};
use serde_json::{Value, json};
use stand_ins::engine::{self, EngineConfig, EngineServer};
use stand_ins::loopback;
use stand_ins::platform::{self, PlatformFault, PlatformService, PlatformStandIn};
use stand_ins::relay::Relay;
use stand_ins::service::{self, ServiceServer};
use tokio::task::JoinHandle;
use web::client::{CallError, Connection, HttpClient};

/// The operators' token of all daemons.
pub const ADMIN_TOKEN: &str = "test-operator-token";
const TARGET_SECRET: &str = "test-target-secret";
/// How long [`wait_until`] waits for what has no promised bound; long enough for a busy machine.
pub const WAIT_LIMIT: Duration = Duration::from_secs(15);
/// The bound that the product's promises mean by "within seconds".
pub const REACTION_LIMIT: Duration = Duration::from_secs(5);

/// The stand-ins and daemons of one test.
pub struct Fleet {
    pub platform: HttpServer<Arc<PlatformStandIn>>,
    pub platform_address: SocketAddr,
    pub engines: Vec<EngineServer>,
    pub service: ServiceServer,
    /// Relays through which the daemons reach each engine, by the engine's index.
    pub engine_relays: Vec<Relay>,
    /// The relay through which the daemons reach the order service.
    pub service_relay: Relay,
    pub daemons: Vec<DaemonProcess>,
    pub client: HttpClient,
    /// The secret of the key of customer `shop`.
    pub key: String,
    /// Settings (`name=value`) that all daemons get besides the base file.
    settings: Vec<String>,
}

/// A running daemon; killed when dropped.
pub struct DaemonProcess {
    child: Child,
    log: Arc<Mutex<String>>,
    pub id: String,
    pub caller_address: SocketAddr,
    pub admin_address: SocketAddr,
    /// Where it listens for peers, behind `peer_relay`.
    pub peer_listen_address: SocketAddr,
    /// The relay through which its peers reach it.
    pub peer_relay: Arc<Relay>,
    platform_address: SocketAddr,
}

/// An HTTP answer with its whole body.
#[derive(Debug)]
pub struct CallAnswer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: String,
}

impl CallAnswer {
    /// The body as JSON; null if it is not valid JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }

    /// The kind of the error in the body; empty if there is none.
    pub fn error_kind(&self) -> String {
        self.json()["error"]["kind"].as_str().unwrap_or_default().into()
    }

    /// The run state that the error reports, such as `not_run`; empty if there is none.
    pub fn run_state(&self) -> String {
        self.json()["error"]["run"].as_str().unwrap_or_default().into()
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl DaemonProcess {
    pub fn signal(&self, signal: Signal) {
        let id = Pid::from_child(&self.child);
        rustix::process::kill_process(id, signal).expect("the process was started here");
    }

    /// All log lines that the daemon has written so far.
    pub fn log(&self) -> String {
        self.log.lock().unwrap().clone()
    }

    /// Kills the process without a chance to leave.
    pub fn kill(&mut self) {
        self.child.kill().expect("the process was started here");
        self.child.wait().expect("the process was started here");
    }

    /// Waits until the process ends by itself, after a signal to stop.
    pub fn wait(&mut self) {
        self.child.wait().expect("the process was started here");
    }

    fn start(
        id: &str,
        ports: [SocketAddr; 3],
        peer_relay: Arc<Relay>,
        platform_address: SocketAddr,
        settings: &[String],
    ) -> DaemonProcess {
        let base = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples/base.json");
        let [caller_address, admin_address, peer_listen_address] = ports;
        let mut command = Command::new(env!("CARGO_BIN_EXE_kingcupshiftd"));
        command.arg("serve").arg("--base").arg(base).stdin(Stdio::null());
        let mut values = vec![
            format!("instance.id={id}"),
            "instance.failure_domain=north".into(),
            format!("instance.callers={caller_address}"),
            format!("instance.admin={admin_address}"),
            format!("instance.peers={}", peer_relay.address()),
            format!("instance.peers_listen={peer_listen_address}"),
            "secrets.peer=test-peer-secret-x".into(),
            format!("secrets.admin={ADMIN_TOKEN}"),
            format!("secrets.target={TARGET_SECRET}"),
            format!("log.filter={}", std::env::var("TEST_LOG").unwrap_or("info".into())),
        ];
        let services = ["list", "table", "objects", "weights"];
        values.extend(services.map(|it| format!("platform.{it}={platform_address}")));
        values.extend(settings.iter().cloned());
        for value in values {
            command.arg("--set").arg(value);
        }
        command.stderr(Stdio::piped());
        let mut child = command.spawn().expect("the daemon was built with this test");
        let log = Arc::new(Mutex::new(String::new()));
        let stderr = child.stderr.take().expect("it was piped");
        std::thread::spawn({
            let log = log.clone();
            move || collect_log(stderr, &log)
        });
        DaemonProcess {
            child,
            log,
            id: id.into(),
            caller_address,
            admin_address,
            peer_listen_address,
            peer_relay,
            platform_address,
        }
    }
}

impl Fleet {
    /// Starts `daemons` daemons in front of `engines` engines and one order service, with one
    /// customer, whose key is `key`. Returns when the catalog and the rate shares are in use.
    pub async fn start(daemons: usize, engines: usize) -> Fleet {
        Fleet::start_with(daemons, engines, EngineConfig::default(), &[]).await
    }

    /// Starts a fleet as [`Fleet::start`] does, with engines of `config` and more settings
    /// (`name=value`).
    pub async fn start_with(
        daemons: usize,
        engines: usize,
        config: EngineConfig,
        settings: &[&str],
    ) -> Fleet {
        let loopback: SocketAddr = ([127, 0, 0, 1], 0).into();
        let member_timeout = Duration::from_secs(9);
        let platform = platform::start(loopback, member_timeout).expect("a free port");
        let platform_address = platform.local_addr();
        let engines: Vec<EngineServer> = (0..engines)
            .map(|_| engine::start(loopback, config.clone()).expect("a free port"))
            .collect();
        let service = service::start(loopback, "orders").expect("a free port");
        let mut engine_relays = Vec::new();
        for engine in &engines {
            engine_relays.push(Relay::start(engine.local_addr()).await.expect("a free port"));
        }
        let service_relay = Relay::start(service.local_addr()).await.expect("a free port");
        let mut fleet = Fleet {
            platform,
            platform_address,
            engines,
            service,
            engine_relays,
            service_relay,
            daemons: Vec::new(),
            client: HttpClient::new(Duration::from_secs(60)),
            key: String::new(),
            settings: settings.iter().map(|it| it.to_string()).collect(),
        };
        for number in 1..=daemons {
            fleet.add_daemon(&format!("entry-{number}")).await;
        }
        for daemon in 0..daemons {
            fleet.wait_ready(daemon).await;
        }
        fleet.create_catalog().await;
        fleet.key = fleet.add_customer("shop", 1_000_000, 10_000_000).await;
        fleet.wait_until_synced().await;
        fleet
    }

    /// Sets the fault of one service of the platform.
    pub fn set_platform_fault(&self, service: PlatformService, fault: PlatformFault) {
        self.platform.app_private().set_fault(service, fault);
    }

    /// Starts one more daemon, without waiting until it is ready.
    pub async fn add_daemon(&mut self, id: &str) {
        self.add_daemon_with_platform(id, self.platform_address).await;
    }

    /// Starts one more daemon that reaches the platform at another address.
    pub async fn add_daemon_with_platform(&mut self, id: &str, platform: SocketAddr) {
        let ports = std::array::from_fn(|_| loopback::free_address());
        let relay = Arc::new(Relay::start(ports[2]).await.expect("a free port"));
        self.daemons.push(DaemonProcess::start(id, ports, relay, platform, &self.settings));
    }

    /// Kills a daemon if it still runs, and starts it again with the same id and addresses.
    pub fn restart(&mut self, index: usize) {
        let old = &mut self.daemons[index];
        let _ = old.child.kill();
        let _ = old.child.wait();
        let ports = [old.caller_address, old.admin_address, old.peer_listen_address];
        let (id, relay, platform) = (old.id.clone(), old.peer_relay.clone(), old.platform_address);
        self.daemons[index] = DaemonProcess::start(&id, ports, relay, platform, &self.settings);
    }

    /// Waits until a daemon accepts requests of callers and of operators.
    pub async fn wait_ready(&self, index: usize) {
        let daemon = &self.daemons[index];
        let ready = holds_within(WAIT_LIMIT, async || {
            let answer =
                self.send(Method::GET, daemon.caller_address, "/healthz", &[], Bytes::new()).await;
            // The daemon opens the operators' port after the callers' port.
            answer.is_ok_and(|it| it.status == StatusCode::OK)
                && self.fetch_status(daemon.admin_address).await.is_ok()
        })
        .await;
        let (id, log) = (&daemon.id, daemon.log());
        assert!(ready, "{id} is not ready after {WAIT_LIMIT:?}; its errors: {log:?}");
    }

    /// Waits until all daemons have the same catalog, list each other and may spend the rate
    /// shares that they hold.
    pub async fn wait_until_synced(&self) {
        wait_until(WAIT_LIMIT, "all daemons agree and may spend", async || {
            let mut revisions = Vec::new();
            for daemon in &self.daemons {
                let Ok(state) = self.fetch_status(daemon.admin_address).await else { return false };
                let listed = state["instances"].as_array().map_or(0, Vec::len);
                let spends = state["may_spend"] == state["holds_parts"];
                if listed < self.daemons.len() || !spends {
                    return false;
                }
                revisions.push(state["catalog_revision"].as_u64());
            }
            revisions.dedup();
            revisions.len() == 1 && self.platform.app_private().row("rate/parts").is_some()
        })
        .await;
    }

    /// The status page of the daemon with this admin address.
    pub async fn fetch_status(&self, admin: SocketAddr) -> Result<Value, CallError> {
        let token = format!("Bearer {ADMIN_TOKEN}");
        let headers = [("authorization", token.as_str())];
        let answer = self.send(Method::GET, admin, "/status", &headers, Bytes::new()).await?;
        Ok(answer.json())
    }

    /// The value of a metric by the start of its line (name and labels); 0 if there is none.
    pub async fn read_metric(&self, index: usize, line: &str) -> f64 {
        let admin = self.daemons[index].admin_address;
        let answer = self.send(Method::GET, admin, "/metrics", &[], Bytes::new()).await;
        let text = answer.expect("the daemon answers").body;
        let value = text.lines().find_map(|it| it.strip_prefix(line));
        value.and_then(|it| it.trim().parse().ok()).unwrap_or(0.0)
    }

    /// Posts an operator's request to a daemon, with the admin token.
    pub async fn post_admin(&self, index: usize, path: &str, body: Value) -> CallAnswer {
        let token = format!("Bearer {ADMIN_TOKEN}");
        let headers = [("authorization", token.as_str()), ("content-type", "application/json")];
        let admin = self.daemons[index].admin_address;
        let body = Bytes::from(body.to_string());
        let answer = self.send(Method::POST, admin, path, &headers, body).await;
        answer.expect("the daemon answers operators")
    }

    /// Submits a change of the catalog to the first daemon, which must accept it.
    pub async fn submit_change(&self, operations: Value) {
        let answer = self.post_admin(0, "/v1/changes", json!({ "operations": operations })).await;
        assert_eq!(answer.status, StatusCode::OK, "{}", answer.body);
    }

    /// Adds a customer with a rate in tokens a second, and a key; returns the key's secret.
    pub async fn add_customer(&self, id: &str, rate: u64, burst: u64) -> String {
        let customer = json!({ "id": id, "rate": rate, "burst": burst });
        self.submit_change(json!([{ "put_customer": customer }])).await;
        let key = json!({ "id": format!("{id}-key"), "customer": id });
        let answer = self.post_admin(0, "/v1/keys", key).await;
        assert_eq!(answer.status, StatusCode::OK, "{}", answer.body);
        answer.json()["secret"].as_str().unwrap_or_default().into()
    }

    /// Posts a caller's request with the fleet's key.
    pub async fn call(
        &self,
        index: usize,
        path: &str,
        headers: &[(&str, &str)],
        body: &Value,
    ) -> Result<CallAnswer, CallError> {
        self.call_with_key(&self.key, index, path, headers, body).await
    }

    /// Posts a caller's request with the given key.
    pub async fn call_with_key(
        &self,
        key: &str,
        index: usize,
        path: &str,
        headers: &[(&str, &str)],
        body: &Value,
    ) -> Result<CallAnswer, CallError> {
        let token = format!("Bearer {key}");
        let mut all_headers =
            vec![("authorization", token.as_str()), ("content-type", "application/json")];
        all_headers.extend_from_slice(headers);
        let address = self.daemons[index].caller_address;
        self.send(Method::POST, address, path, &all_headers, Bytes::from(body.to_string())).await
    }

    /// Sends an order with an idempotency key in its own task, for tests that kill the daemon
    /// while the order runs.
    pub fn spawn_order(
        &self,
        index: usize,
        key: &str,
        body: &Value,
    ) -> JoinHandle<Result<Response<Bytes>, CallError>> {
        let request =
            Request::post(format!("http://{}/orders", self.daemons[index].caller_address))
                .header("authorization", format!("Bearer {}", self.key))
                .header("idempotency-key", key)
                .body(Bytes::from(body.to_string()).into())
                .expect("a valid request");
        let client = self.client.clone();
        tokio::spawn(async move {
            let time = Duration::from_secs(10);
            client.call(request, Connection::Fresh, time, 1 << 20).await
        })
    }

    /// Sends any request on a fresh connection and reads the whole answer.
    pub async fn send(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<CallAnswer, CallError> {
        let mut request = Request::builder().method(method).uri(format!("http://{address}{path}"));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(body.into()).expect("a valid request");
        let fresh = Connection::Fresh;
        let time = Duration::from_secs(60);
        let answer = self.client.call(request, fresh, time, 64 << 20).await?;
        let (parts, body) = answer.into_parts();
        let body = String::from_utf8_lossy(&body).into_owned();
        Ok(CallAnswer { status: parts.status, headers: parts.headers, body })
    }

    /// Creates the pools, routes and targets that all tests use.
    async fn create_catalog(&self) {
        let mut operations = vec![
            json!({ "put_pool": { "id": "desk", "kind": "engine", "version": 1 } }),
            json!({ "put_pool": { "id": "ordering", "kind": "service" } }),
            json!({ "put_version": { "pool": "desk", "number": 1, "weights": "desk-1" } }),
            json!({ "put_route": {
                "id": "counter", "kind": "model", "model": "desk", "pool": "desk",
            } }),
            json!({ "put_route": {
                "id": "orders", "kind": "service", "prefix": "/orders", "pool": "ordering",
            } }),
        ];
        let engines = self.engine_relays.iter().map(|it| ("desk", it.address()));
        let service = ("ordering", self.service_relay.address());
        operations.extend(engines.chain([service]).enumerate().map(|(number, it)| {
            json!({ "put_target": {
                "id": format!("{}-{}", it.0, number + 1), "pool": it.0, "address": it.1,
                "failure_domain": "north", "echoes_request_id": true, "checks_fencing": true,
            } })
        }));
        self.submit_change(json!(operations)).await;
    }
}

/// The body of a chat request for the model `desk`.
pub fn chat(prompt: &str, max_tokens: u64, stream: bool) -> Value {
    json!({
        "model": "desk", "stream": stream, "max_tokens": max_tokens, "temperature": 0,
        "messages": [{ "role": "user", "content": prompt }],
    })
}

/// The text of `count` tokens that an engine at `version` answers to [`chat`] with this prompt.
pub fn expected_text(prompt: &str, version: u64, count: u64) -> String {
    let prompt = format!("user\n{prompt}\n");
    (1..=count).map(|it| String::from(engine::token_text(prompt.as_bytes(), version, it))).collect()
}

/// The text of a streamed answer; `None` if the stream has no end mark.
pub fn streamed_text(body: &str) -> Option<String> {
    if !body.trim_end().ends_with("data: [DONE]") {
        return None;
    }
    let data = body.lines().filter_map(|it| it.strip_prefix("data: "));
    let values = data.filter_map(|it| serde_json::from_str::<Value>(it).ok());
    let pieces =
        values.filter_map(|it| it["choices"][0]["delta"]["content"].as_str().map(String::from));
    Some(pieces.collect())
}

/// Waits until `check` returns true; fails the test, naming `what`, if it does not within `time`.
pub async fn wait_until(time: Duration, what: &str, check: impl AsyncFn() -> bool) {
    assert!(holds_within(time, check).await, "timed out after {time:?} waiting until {what}");
}

/// Waits until `check` returns true; returns false if it does not within `time`.
async fn holds_within(time: Duration, check: impl AsyncFn() -> bool) -> bool {
    let end = tokio::time::Instant::now() + time;
    while !check().await {
        if tokio::time::Instant::now() >= end {
            return false;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    true
}

/// Collects the lines that a daemon logs; prints them too if `TEST_LOG` is set.
fn collect_log(stderr: ChildStderr, log: &Mutex<String>) {
    for line in BufReader::new(stderr).lines().map_while(Result::ok) {
        if std::env::var_os("TEST_LOG").is_some() {
            eprintln!("{line}");
        }
        let mut log = log.lock().unwrap();
        log.push_str(&line);
        log.push('\n');
    }
}

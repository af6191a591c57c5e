//! A small fleet of processes on loopback, stopped when dropped.

use std::env;
use std::error::Error;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response};
use rustix::process::{Pid, Signal};
use serde_json::{Value, json};
use stand_ins::relay::Relay;
use web::client::{Connection, HttpClient};

/// The operator's token of the fleet.
const ADMIN_TOKEN: &str = "demo-operator-token";
/// How long a process may take to serve.
const START_TIME: Duration = Duration::from_secs(10);
/// How long a process that was told to stop may take to end.
const END_TIME: Duration = Duration::from_secs(40);
/// How long one call may take.
const CALL_TIME: Duration = Duration::from_secs(30);
/// Longest answer read.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Any error of a chore.
pub(crate) type ChoreError = Box<dyn Error + Send + Sync>;

/// The shape of a fleet.
pub(crate) struct FleetConfig {
    pub(crate) daemons: usize,
    pub(crate) engines: usize,
    /// Requests one engine runs at once.
    pub(crate) engine_slots: usize,
    pub(crate) release_build: bool,
    /// Daemons reach the platform and targets through relays, which can break the network.
    pub(crate) use_relays: bool,
    /// Further settings, as `path=value`.
    pub(crate) extra_settings: Vec<String>,
}

/// A daemon's process, and how it is started again.
struct DaemonProcess {
    child: Child,
    program: PathBuf,
    args: Vec<String>,
}

/// A relay that stands between daemons and one other process.
pub(crate) struct FleetLink {
    /// The process that daemons reach by it.
    pub(crate) to: Box<str>,
    pub(crate) relay: Relay,
}

/// Running processes.
pub(crate) struct Fleet {
    children: Vec<Child>,
    daemons: Vec<DaemonProcess>,
    pub(crate) links: Vec<FleetLink>,
    pub(crate) caller_addresses: Vec<SocketAddr>,
    pub(crate) admin_addresses: Vec<SocketAddr>,
    pub(crate) engine_addresses: Vec<SocketAddr>,
    pub(crate) service_address: SocketAddr,
    pub(crate) daemon_pids: Vec<u32>,
    pub(crate) client: HttpClient,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let daemons = self.daemons.iter_mut().map(|it| &mut it.child);
        for child in self.children.iter_mut().chain(daemons) {
            // Each is a process this fleet started; one that ended already is no fault.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Fleet {
    /// Builds the programs and starts platform, engines, order service and daemons.
    pub(crate) async fn start(config: FleetConfig) -> Result<Fleet, ChoreError> {
        let programs = build(config.release_build)?;
        let mut fleet = Fleet {
            children: Vec::new(),
            daemons: Vec::new(),
            links: Vec::new(),
            caller_addresses: Vec::new(),
            admin_addresses: Vec::new(),
            engine_addresses: Vec::new(),
            service_address: free_address()?,
            daemon_pids: Vec::new(),
            client: HttpClient::new(CALL_TIME),
        };
        let platform = free_address()?;
        let stand_ins = programs.join("stand-ins");
        fleet.spawn(&stand_ins, &["platform", "--listen", &platform.to_string()])?;
        for _ in 0..config.engines {
            let address = free_address()?;
            let (listen, slots) = (address.to_string(), config.engine_slots.to_string());
            let args = ["engine", "--listen", &listen, "--slots", &slots];
            fleet.spawn(&stand_ins, &args)?;
            fleet.engine_addresses.push(address);
        }
        let service = fleet.service_address.to_string();
        fleet.spawn(&stand_ins, &["service", "--listen", &service])?;
        fleet.wait_for(platform, "/v1/instances").await?;
        let platform = fleet.link(config.use_relays, "platform", platform).await?;
        for number in 1..=config.daemons {
            fleet.start_daemon(&programs, platform, number, &config.extra_settings)?;
        }
        fleet.wait_for_daemons().await?;
        fleet.fill_catalog(&config).await?;
        Ok(fleet)
    }

    /// The address by which daemons reach a process: its own, or that of a relay before it.
    async fn link(
        &mut self,
        relayed: bool,
        name: &str,
        to: SocketAddr,
    ) -> Result<SocketAddr, ChoreError> {
        if !relayed {
            return Ok(to);
        }
        let relay = Relay::start(to).await?;
        let address = relay.address();
        self.links.push(FleetLink { to: name.into(), relay });
        Ok(address)
    }

    /// Sends a signal to a daemon that runs.
    pub(crate) fn signal_daemon(&mut self, index: usize, signal: Signal) -> Result<(), ChoreError> {
        let child = &mut self.daemons[index].child;
        if child.try_wait()?.is_none() {
            let pid = Pid::from_child(child);
            rustix::process::kill_process(pid, signal)?;
        }
        Ok(())
    }

    /// Whether a daemon's process has ended.
    pub(crate) fn has_ended(&mut self, index: usize) -> Result<bool, ChoreError> {
        Ok(self.daemons[index].child.try_wait()?.is_some())
    }

    /// Starts a daemon again, after its process has ended.
    pub(crate) async fn restart_daemon(&mut self, index: usize) -> Result<(), ChoreError> {
        let until = tokio::time::Instant::now() + END_TIME;
        while !self.has_ended(index)? {
            if tokio::time::Instant::now() > until {
                return Err(format!("daemon {} does not end", index + 1).into());
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let daemon = &mut self.daemons[index];
        let args: Vec<&str> = daemon.args.iter().map(String::as_str).collect();
        daemon.child = start(&daemon.program, &args)?;
        Ok(())
    }

    /// Waits until all daemons serve.
    pub(crate) async fn wait_for_daemons(&self) -> Result<(), ChoreError> {
        for address in &self.caller_addresses {
            self.wait_for(*address, "/healthz").await?;
        }
        Ok(())
    }

    /// One administration call to the first daemon.
    pub(crate) async fn post_admin(&self, path: &str, body: Value) -> Result<Value, ChoreError> {
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}{path}", self.admin_addresses[0]))
            .header("authorization", format!("Bearer {ADMIN_TOKEN}"))
            .header("content-type", "application/json")
            .body(Bytes::from(body.to_string()).into())?;
        let answer = self.send(request).await?;
        if !answer.status().is_success() {
            let text = String::from_utf8_lossy(answer.body()).into_owned();
            return Err(format!("{path}: {}: {text}", answer.status()).into());
        }
        Ok(serde_json::from_slice(answer.body())?)
    }

    /// Creates a customer with a key; returns the secret.
    pub(crate) async fn add_customer(&self, id: &str, rate: u64) -> Result<String, ChoreError> {
        let customer = json!({ "id": id, "rate": rate, "burst": rate * 10 });
        let change = json!({ "operations": [{ "put_customer": customer }] });
        self.post_admin("/v1/changes", change).await?;
        let key = json!({ "id": format!("{id}-key"), "customer": id });
        let key = self.post_admin("/v1/keys", key).await?;
        Ok(key["secret"].as_str().unwrap_or_default().into())
    }

    /// One call of a caller, read whole.
    pub(crate) async fn call(
        &self,
        address: SocketAddr,
        path: &str,
        key: &str,
        headers: &[(&str, &str)],
        body: &Value,
    ) -> Result<Response<Bytes>, ChoreError> {
        let mut request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{address}{path}"))
            .header("authorization", format!("Bearer {key}"))
            .header("content-type", "application/json");
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        self.send(request.body(Bytes::from(body.to_string()).into())?).await
    }

    async fn send(
        &self,
        request: Request<http_body_util::Full<Bytes>>,
    ) -> Result<Response<Bytes>, ChoreError> {
        let pooled = Connection::Pooled;
        Ok(self.client.call(request, pooled, CALL_TIME, MAX_ANSWER_BYTES).await?)
    }

    fn start_daemon(
        &mut self,
        programs: &Path,
        platform: SocketAddr,
        number: usize,
        settings: &[String],
    ) -> Result<(), ChoreError> {
        let (callers, admin, peers) = (free_address()?, free_address()?, free_address()?);
        let mut args: Vec<String> =
            vec!["serve".into(), "--base".into(), base_settings().display().to_string()];
        let mut values = vec![
            format!("instance.id=entry-{number}"),
            format!("instance.failure_domain=domain-{}", number % 3),
            format!("instance.callers={callers}"),
            format!("instance.admin={admin}"),
            format!("instance.peers={peers}"),
            "secrets.peer=demo-peer-secret".into(),
            format!("secrets.admin={ADMIN_TOKEN}"),
            "secrets.target=demo-target-secret".into(),
            "log.filter=warn".into(),
        ];
        let parts = ["list", "table", "objects", "weights"];
        values.extend(parts.map(|it| format!("platform.{it}={platform}")));
        values.extend(settings.iter().cloned());
        for value in values {
            args.extend(["--set".into(), value]);
        }
        let program = programs.join("kingcupshiftd");
        let words: Vec<&str> = args.iter().map(String::as_str).collect();
        let child = start(&program, &words)?;
        self.daemon_pids.push(child.id());
        self.daemons.push(DaemonProcess { child, program, args });
        self.caller_addresses.push(callers);
        self.admin_addresses.push(admin);
        Ok(())
    }

    fn spawn(&mut self, program: &Path, args: &[&str]) -> Result<(), ChoreError> {
        self.children.push(start(program, args)?);
        Ok(())
    }

    async fn wait_for(&self, address: SocketAddr, path: &str) -> Result<(), ChoreError> {
        let until = tokio::time::Instant::now() + START_TIME;
        while tokio::time::Instant::now() < until {
            let request =
                Request::get(format!("http://{address}{path}")).body(Bytes::new().into())?;
            if self.send(request).await.is_ok_and(|it| it.status().is_success()) {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        Err(format!("nothing serves on {address}").into())
    }

    async fn fill_catalog(&mut self, config: &FleetConfig) -> Result<(), ChoreError> {
        let mut targets = Vec::new();
        for (number, address) in self.engine_addresses.clone().into_iter().enumerate() {
            let name = format!("engine-{}", number + 1);
            targets.push(("desk", self.link(config.use_relays, &name, address).await?));
        }
        let service = self.link(config.use_relays, "service", self.service_address).await?;
        targets.push(("ordering", service));
        let mut operations = vec![
            json!({ "put_pool": {
                "id": "desk", "kind": "engine", "version": 1, "concurrency": config.engine_slots,
            } }),
            json!({ "put_pool": { "id": "ordering", "kind": "service" } }),
            json!({ "put_version": { "pool": "desk", "number": 1, "weights": "desk-1" } }),
        ];
        operations.extend(targets.iter().enumerate().map(|(number, (pool, address))| {
            json!({ "put_target": {
                "id": format!("{pool}-{}", number + 1), "pool": pool, "address": address,
                "failure_domain": format!("domain-{}", number % 3), "echoes_request_id": true,
            } })
        }));
        operations.extend([
            json!({ "put_route": {
                "id": "counter", "kind": "model", "model": "desk", "pool": "desk",
            } }),
            json!({ "put_route": {
                "id": "orders", "kind": "service", "prefix": "/orders", "pool": "ordering",
            } }),
        ]);
        self.post_admin("/v1/changes", json!({ "operations": operations })).await?;
        Ok(())
    }
}

fn start(program: &Path, args: &[&str]) -> Result<Child, ChoreError> {
    let started = Command::new(program).args(args).stdin(Stdio::null()).spawn();
    started.map_err(|error| format!("{}: {error}", program.display()).into())
}

/// Builds the programs; returns the folder that holds them.
fn build(release: bool) -> Result<PathBuf, ChoreError> {
    let cargo = env::var("CARGO").unwrap_or_else(|_| "cargo".into());
    let mut command = Command::new(cargo);
    command.args(["build", "--quiet", "-p", "daemon", "-p", "cli", "-p", "stand-ins"]);
    if release {
        command.arg("--release");
    }
    if !command.status()?.success() {
        return Err("the programs do not build".into());
    }
    let own = env::current_exe()?;
    let target = own.parent().and_then(|it| it.parent()).ok_or("no target folder")?;
    Ok(target.join(if release { "release" } else { "debug" }))
}

fn base_settings() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples/base.json")
}

/// An address below the ports that outgoing connections get, so that none of them takes it
/// before its process does.
fn free_address() -> Result<SocketAddr, ChoreError> {
    for _ in 0..1_000 {
        let port = rand::random_range(12_000..30_000);
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err("no free port".into())
}

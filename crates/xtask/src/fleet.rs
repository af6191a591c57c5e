//! A small fleet of processes on loopback, killed when dropped.

use std::env;
use std::error::Error;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response};
use rustix::process::{Pid, Signal};
use serde_json::{Value, json};
use stand_ins::loopback;
use stand_ins::relay::Relay;
use web::client::{Connection, HttpClient};

/// Token of the administration API of all daemons.
const ADMIN_TOKEN: &str = "demo-operator-token";
/// Time within which a started process must serve.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Time within which a process must exit after a signal to stop.
const EXIT_TIMEOUT: Duration = Duration::from_secs(40);
/// Timeout of one call, until its whole answer is read.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Any error that ends a chore; `main` prints it.
pub(crate) type ChoreError = Box<dyn Error + Send + Sync>;

/// Size and build of a fleet.
pub(crate) struct FleetConfig {
    pub(crate) daemons: usize,
    pub(crate) engines: usize,
    /// Number of requests that one engine runs concurrently.
    pub(crate) engine_slots: usize,
    /// Whether the programs are built with optimizations.
    pub(crate) release_build: bool,
    /// Whether daemons reach the platform and the targets through relays that can inject network
    /// faults.
    pub(crate) use_relays: bool,
    /// Settings of all daemons besides those that the fleet needs, as `path=value`.
    pub(crate) extra_settings: Vec<String>,
}

/// A daemon's process with the command line that restarts it.
struct DaemonProcess {
    child: Child,
    program: PathBuf,
    args: Vec<String>,
}

/// A relay between the daemons and one other process.
pub(crate) struct FleetLink {
    /// Name of the process that the relay forwards to.
    pub(crate) destination: Box<str>,
    pub(crate) relay: Relay,
}

/// The running processes, their addresses and an HTTP client.
pub(crate) struct Fleet {
    /// The stand-ins of the platform, engines and order service.
    stand_ins: Vec<Child>,
    daemons: Vec<DaemonProcess>,
    /// The relays: platform, engines, order service; empty without `use_relays`.
    pub(crate) links: Vec<FleetLink>,
    /// Listening addresses of the daemons for callers, by the daemon's index.
    pub(crate) caller_addresses: Vec<SocketAddr>,
    /// Listening addresses of the administration APIs, by the daemon's index.
    pub(crate) admin_addresses: Vec<SocketAddr>,
    /// The engines' own addresses, also with `use_relays`.
    pub(crate) engine_addresses: Vec<SocketAddr>,
    /// The order service's own address, also with `use_relays`.
    pub(crate) service_address: SocketAddr,
    /// Process ids of the daemons as first started.
    pub(crate) daemon_pids: Vec<u32>,
    pub(crate) client: HttpClient,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let daemons = self.daemons.iter_mut().map(|it| &mut it.child);
        for child in self.stand_ins.iter_mut().chain(daemons) {
            // Errors are ignored: a process that has already exited needs no signal.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Fleet {
    /// Builds the programs, starts platform, engines, order service and daemons, and creates the
    /// catalog.
    ///
    /// # Errors
    ///
    /// The build fails or a process does not serve within `START_TIMEOUT`.
    pub(crate) async fn start(config: FleetConfig) -> Result<Fleet, ChoreError> {
        let programs = build_programs(config.release_build)?;
        let mut fleet = Fleet {
            stand_ins: Vec::new(),
            daemons: Vec::new(),
            links: Vec::new(),
            caller_addresses: Vec::new(),
            admin_addresses: Vec::new(),
            engine_addresses: Vec::new(),
            service_address: loopback::free_address(),
            daemon_pids: Vec::new(),
            client: HttpClient::new(CALL_TIMEOUT),
        };
        let platform = loopback::free_address();
        let program = programs.join("stand-ins");
        fleet.spawn_stand_in(&program, &["platform", "--listen", &platform.to_string()])?;
        for _ in 0..config.engines {
            let address = loopback::free_address();
            let (listen, slots) = (address.to_string(), config.engine_slots.to_string());
            let args = ["engine", "--listen", &listen, "--slots", &slots];
            fleet.spawn_stand_in(&program, &args)?;
            fleet.engine_addresses.push(address);
        }
        let service = fleet.service_address.to_string();
        fleet.spawn_stand_in(&program, &["service", "--listen", &service])?;
        fleet.wait_until_serving(platform, "/v1/instances").await?;
        let platform = fleet.add_link(config.use_relays, "platform", platform).await?;
        for number in 1..=config.daemons {
            fleet.start_daemon(&programs, platform, number, &config.extra_settings)?;
        }
        fleet.wait_for_daemons().await?;
        fleet.create_catalog(&config).await?;
        Ok(fleet)
    }

    /// Starts a relay in front of a process if `use_relay`; returns the address by which daemons
    /// reach the process.
    async fn add_link(
        &mut self,
        use_relay: bool,
        name: &str,
        address: SocketAddr,
    ) -> Result<SocketAddr, ChoreError> {
        if !use_relay {
            return Ok(address);
        }
        let relay = Relay::start(address).await?;
        let address = relay.address();
        self.links.push(FleetLink { destination: name.into(), relay });
        Ok(address)
    }

    /// Sends a signal to a daemon; does nothing if it has exited.
    pub(crate) fn signal_daemon(&mut self, index: usize, signal: Signal) -> Result<(), ChoreError> {
        let child = &mut self.daemons[index].child;
        if child.try_wait()?.is_none() {
            let pid = Pid::from_child(child);
            rustix::process::kill_process(pid, signal)?;
        }
        Ok(())
    }

    /// Whether a daemon's process has exited.
    pub(crate) fn has_exited(&mut self, index: usize) -> Result<bool, ChoreError> {
        Ok(self.daemons[index].child.try_wait()?.is_some())
    }

    /// Waits until a daemon's process exits, then starts it with the same settings.
    ///
    /// # Errors
    ///
    /// The process does not exit within `EXIT_TIMEOUT`.
    pub(crate) async fn restart_daemon(&mut self, index: usize) -> Result<(), ChoreError> {
        let deadline = tokio::time::Instant::now() + EXIT_TIMEOUT;
        while !self.has_exited(index)? {
            if tokio::time::Instant::now() > deadline {
                return Err(
                    format!("daemon {} did not exit within {EXIT_TIMEOUT:?}", index + 1).into()
                );
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let daemon = &mut self.daemons[index];
        let args: Vec<&str> = daemon.args.iter().map(String::as_str).collect();
        daemon.child = start_process(&daemon.program, &args)?;
        Ok(())
    }

    /// Waits until all daemons report that they are healthy, up to `START_TIMEOUT` each.
    pub(crate) async fn wait_for_daemons(&self) -> Result<(), ChoreError> {
        for address in &self.caller_addresses {
            self.wait_until_serving(*address, "/healthz").await?;
        }
        Ok(())
    }

    /// Sends an administration call to the first daemon; any status but success is an error.
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
            return Err(format!("POST {path} failed with {}: {text}", answer.status()).into());
        }
        Ok(serde_json::from_slice(answer.body())?)
    }

    /// Creates a customer with `rate` tokens a second and ten times that as burst; returns the
    /// secret of its API key.
    pub(crate) async fn add_customer(&self, id: &str, rate: u64) -> Result<String, ChoreError> {
        let customer = json!({ "id": id, "rate": rate, "burst": rate * 10 });
        let change = json!({ "operations": [{ "put_customer": customer }] });
        self.post_admin("/v1/changes", change).await?;
        let key = json!({ "id": format!("{id}-key"), "customer": id });
        let key = self.post_admin("/v1/keys", key).await?;
        Ok(key["secret"].as_str().unwrap_or_default().into())
    }

    /// Posts JSON to a caller-facing address and reads the whole answer, whatever its status.
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
        let connection = Connection::Pooled;
        Ok(self.client.call(request, connection, CALL_TIMEOUT, MAX_ANSWER_BYTES).await?)
    }

    fn start_daemon(
        &mut self,
        programs: &Path,
        platform: SocketAddr,
        number: usize,
        settings: &[String],
    ) -> Result<(), ChoreError> {
        let (caller_address, admin_address, peer_address) =
            (loopback::free_address(), loopback::free_address(), loopback::free_address());
        let mut args: Vec<String> =
            vec!["serve".into(), "--base".into(), base_settings_path().display().to_string()];
        let mut values = vec![
            format!("instance.id=entry-{number}"),
            format!("instance.failure_domain=domain-{}", number % 3),
            format!("instance.callers={caller_address}"),
            format!("instance.admin={admin_address}"),
            format!("instance.peers={peer_address}"),
            "secrets.peer=demo-peer-secret".into(),
            format!("secrets.admin={ADMIN_TOKEN}"),
            "secrets.target=demo-target-secret".into(),
            "log.filter=warn".into(),
        ];
        let services = ["list", "table", "objects", "weights"];
        values.extend(services.map(|it| format!("platform.{it}={platform}")));
        values.extend(settings.iter().cloned());
        for value in values {
            args.extend(["--set".into(), value]);
        }
        let program = programs.join("kingcupshiftd");
        let borrowed: Vec<&str> = args.iter().map(String::as_str).collect();
        let child = start_process(&program, &borrowed)?;
        self.daemon_pids.push(child.id());
        self.daemons.push(DaemonProcess { child, program, args });
        self.caller_addresses.push(caller_address);
        self.admin_addresses.push(admin_address);
        Ok(())
    }

    fn spawn_stand_in(&mut self, program: &Path, args: &[&str]) -> Result<(), ChoreError> {
        self.stand_ins.push(start_process(program, args)?);
        Ok(())
    }

    async fn wait_until_serving(&self, address: SocketAddr, path: &str) -> Result<(), ChoreError> {
        let deadline = tokio::time::Instant::now() + START_TIMEOUT;
        while tokio::time::Instant::now() < deadline {
            let request =
                Request::get(format!("http://{address}{path}")).body(Bytes::new().into())?;
            if self.send(request).await.is_ok_and(|it| it.status().is_success()) {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        Err(format!("GET {address}{path} did not succeed within {START_TIMEOUT:?}").into())
    }

    async fn create_catalog(&mut self, config: &FleetConfig) -> Result<(), ChoreError> {
        let mut targets = Vec::new();
        for (number, address) in self.engine_addresses.clone().into_iter().enumerate() {
            let name = format!("engine-{}", number + 1);
            targets.push(("desk", self.add_link(config.use_relays, &name, address).await?));
        }
        let service = self.add_link(config.use_relays, "service", self.service_address).await?;
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

fn start_process(program: &Path, args: &[&str]) -> Result<Child, ChoreError> {
    let spawned = Command::new(program).args(args).stdin(Stdio::null()).spawn();
    spawned.map_err(|error| format!("cannot start {}: {error}", program.display()).into())
}

/// Builds the programs with cargo; returns the directory that contains them.
fn build_programs(release: bool) -> Result<PathBuf, ChoreError> {
    let cargo = env::var("CARGO").unwrap_or_else(|_| "cargo".into());
    let mut command = Command::new(cargo);
    command.args(["build", "--quiet", "-p", "daemon", "-p", "cli", "-p", "stand-ins"]);
    if release {
        command.arg("--release");
    }
    if !command.status()?.success() {
        return Err("cargo build of daemon, cli and stand-ins failed".into());
    }
    let xtask_path = env::current_exe()?;
    let target = xtask_path
        .parent()
        .and_then(|it| it.parent())
        .ok_or("the xtask program is not inside a cargo target directory")?;
    Ok(target.join(if release { "release" } else { "debug" }))
}

fn base_settings_path() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples/base.json")
}

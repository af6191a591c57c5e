//! A small fleet of processes on loopback, stopped when dropped.

use std::env;
use std::error::Error;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response};
use serde_json::{Value, json};
use web::client::{Connection, HttpCaller};

/// The operator's token of the fleet.
const ADMIN_TOKEN: &str = "demo-operator-token";
/// How long a process may take to serve.
const START_TIME: Duration = Duration::from_secs(10);
/// How long one call may take.
const CALL_TIME: Duration = Duration::from_secs(30);
/// Longest answer read.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Any error of a chore.
pub(crate) type ChoreError = Box<dyn Error + Send + Sync>;

/// The shape of a fleet.
pub(crate) struct FleetShape {
    pub(crate) daemons: usize,
    pub(crate) engines: usize,
    /// Requests one engine runs at once.
    pub(crate) slots: usize,
    pub(crate) release: bool,
    /// Further settings, as `path=value`.
    pub(crate) settings: Vec<String>,
}

/// Running processes.
pub(crate) struct Fleet {
    children: Vec<Child>,
    pub(crate) callers: Vec<SocketAddr>,
    pub(crate) admins: Vec<SocketAddr>,
    pub(crate) engines: Vec<SocketAddr>,
    pub(crate) service: SocketAddr,
    pub(crate) daemon_pids: Vec<u32>,
    pub(crate) caller: HttpCaller,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in &mut self.children {
            // Each is a process this fleet started; one that ended already is no fault.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Fleet {
    /// Builds the programs and starts platform, engines, order service and daemons.
    pub(crate) async fn start(shape: FleetShape) -> Result<Fleet, ChoreError> {
        let programs = build(shape.release)?;
        let mut fleet = Fleet {
            children: Vec::new(),
            callers: Vec::new(),
            admins: Vec::new(),
            engines: Vec::new(),
            service: free_address()?,
            daemon_pids: Vec::new(),
            caller: HttpCaller::new(CALL_TIME),
        };
        let platform = free_address()?;
        let stand_ins = programs.join("stand-ins");
        fleet.spawn(&stand_ins, &["platform", "--listen", &platform.to_string()])?;
        for _ in 0..shape.engines {
            let address = free_address()?;
            let (listen, slots) = (address.to_string(), shape.slots.to_string());
            let args = ["engine", "--listen", &listen, "--slots", &slots];
            fleet.spawn(&stand_ins, &args)?;
            fleet.engines.push(address);
        }
        let service = fleet.service.to_string();
        fleet.spawn(&stand_ins, &["service", "--listen", &service])?;
        fleet.wait_for(platform, "/v1/instances").await?;
        for number in 1..=shape.daemons {
            fleet.start_daemon(&programs, platform, number, &shape.settings)?;
        }
        for address in fleet.callers.clone() {
            fleet.wait_for(address, "/healthz").await?;
        }
        fleet.fill_catalog(shape.slots).await?;
        Ok(fleet)
    }

    /// One administration call to the first daemon.
    pub(crate) async fn admin(&self, path: &str, body: Value) -> Result<Value, ChoreError> {
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}{path}", self.admins[0]))
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
        self.admin("/v1/changes", change).await?;
        let key = json!({ "id": format!("{id}-key"), "customer": id });
        let key = self.admin("/v1/keys", key).await?;
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
        Ok(self.caller.call(request, pooled, CALL_TIME, MAX_ANSWER_BYTES).await?)
    }

    fn start_daemon(
        &mut self,
        programs: &std::path::Path,
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
        let args: Vec<&str> = args.iter().map(String::as_str).collect();
        let id = self.spawn(&programs.join("kingcupshiftd"), &args)?;
        self.daemon_pids.push(id);
        self.callers.push(callers);
        self.admins.push(admin);
        Ok(())
    }

    fn spawn(&mut self, program: &std::path::Path, args: &[&str]) -> Result<u32, ChoreError> {
        let child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .spawn()
            .map_err(|error| format!("{}: {error}", program.display()))?;
        let id = child.id();
        self.children.push(child);
        Ok(id)
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

    async fn fill_catalog(&self, slots: usize) -> Result<(), ChoreError> {
        let mut operations = vec![
            json!({ "put_pool": {
                "id": "desk", "kind": "engine", "version": 1, "concurrency": slots,
            } }),
            json!({ "put_pool": { "id": "ordering", "kind": "service" } }),
            json!({ "put_version": { "pool": "desk", "number": 1, "weights": "desk-1" } }),
        ];
        let engines = self.engines.iter().map(|it| ("desk", it));
        let targets = engines.chain([("ordering", &self.service)]).enumerate();
        operations.extend(targets.map(|(number, (pool, address))| {
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
        self.admin("/v1/changes", json!({ "operations": operations })).await?;
        Ok(())
    }
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

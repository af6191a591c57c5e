//! Stand-ins for the platform: its store, its replicas, and the processes of the system.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message, Then};
use crate::json::{self, Json};

/// The ports of each daemon, on an address of its own.
const FRONT_PORT: u16 = 18_606;
const READY_PORT: u16 = 18_605;
const CONTROL_PORT: u16 = 18_608;
const PEER_PORT: u16 = 17_600;
/// What each call to the store takes.
const STORE_TIME: Duration = Duration::from_millis(4);
/// The program and its argument as in `deploy/system.toml`.
const PROGRAM: &str = "target/release/kingcupshiftd";

/// Writes what happens, with the time since the start, to `record.txt`.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started_at: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Record> {
        Ok(Record { file: Arc::new(Mutex::new(File::create(path)?)), started_at: Instant::now() })
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    pub fn add(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        // A line that cannot be written is missed by no check.
        let _ = writeln!(file, "{:8.3} {text}", self.now());
    }
}

type StoredRows = BTreeMap<(String, String), (Vec<u8>, u64)>;

/// The platform's store.
#[derive(Clone)]
pub struct Store {
    rows: Arc<Mutex<(StoredRows, u64)>>,
    pub address: SocketAddr,
    record: Record,
}

impl Store {
    pub fn start(ip: Ipv4Addr, record: &Record) -> io::Result<Store> {
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        let store = Store { rows: Arc::default(), address, record: record.clone() };
        let served = store.clone();
        http::serve(listener, move |request, writer| {
            thread::sleep(STORE_TIME);
            let (status, body) = served.answer(request);
            let json = ("Content-Type", "application/json");
            http::write_answer(writer, status, &[json], body.as_bytes())?;
            Ok(Then::Keep)
        });
        Ok(store)
    }

    /// Writes a row, as the operator or a replica does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut rows = self.rows.lock().unwrap();
        rows.1 += 1;
        let revision = rows.1;
        rows.0.insert((table.into(), key.into()), (value.into(), revision));
    }

    pub fn remove(&self, table: &str, key: &str) {
        let mut rows = self.rows.lock().unwrap();
        rows.1 += 1;
        rows.0.remove(&(table.into(), key.into()));
    }

    /// The value of a row; empty if there is none.
    pub fn get(&self, table: &str, key: &str) -> String {
        let rows = self.rows.lock().unwrap();
        let row = rows.0.get(&(table.into(), key.into()));
        row.map_or(String::new(), |it| String::from_utf8_lossy(&it.0).into_owned())
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let (path, query) = request.path().split_once('?').unwrap_or((request.path(), ""));
        match path {
            "/rows-get" => self.read(query),
            "/rows-tx" => self.transact(request),
            _ => (404, "{}".into()),
        }
    }

    fn read(&self, query: &str) -> (u16, String) {
        let parameter = |name: &str| {
            let mut all = query.split('&').filter_map(|it| it.split_once('='));
            all.find_map(|it| (it.0 == name).then_some(it.1)).unwrap_or_default()
        };
        let table = parameter("table");
        let rows = self.rows.lock().unwrap();
        let found = rows.0.iter().filter(|it| it.0.0 == table);
        let found: Vec<String> = found
            .map(|((table, key), (value, revision))| {
                let value = json::to_base64(value);
                format!(
                    "{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"value\":\"{value}\",\"ver\":{revision}}}"
                )
            })
            .collect();
        let now_ms = (self.record.now() * 1_000.0) as u64;
        let rows_text = found.join(",");
        let revision = rows.1;
        (
            200,
            format!("{{\"rows\":[{rows_text}],\"hasMore\":false,\"ver\":{revision},\"nowMs\":{now_ms}}}"),
        )
    }

    fn transact(&self, request: &Message) -> (u16, String) {
        let Some(body) = Json::parse(&request.text()) else { return (400, "{}".into()) };
        let key = |it: &Json| (it.get("table").text().to_string(), it.get("key").text().to_string());
        let mut rows = self.rows.lock().unwrap();
        for row in body.get("expectedRev").list() {
            let found = rows.0.get(&key(row)).map_or(0, |it| it.1);
            if found != row.get("ver").number() {
                return (412, "{\"rows\":[]}".into());
            }
        }
        rows.1 += 1;
        let revision = rows.1;
        for row in body.get("setKeys").list() {
            let value = json::from_base64(row.get("value").text());
            if row.get("table").text() == "status" {
                let text = String::from_utf8_lossy(&value).into_owned();
                self.record.add(&format!("store: {} is {text}", row.get("key").text()));
            }
            rows.0.insert(key(row), (value, revision));
        }
        for row in body.get("remove").list() {
            rows.0.remove(&key(row));
        }
        (200, format!("{{\"ver\":{revision}}}"))
    }
}

/// Milliseconds since the Unix epoch.
fn unix_ms() -> u128 {
    std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).map_or(0, |it| it.as_millis())
}

/// What a replica does with requests that it runs.
pub type Run = dyn Fn(&Replica, &Message, &mut TcpStream) -> io::Result<Then> + Send + Sync;

/// The weights and orders of a replica.
#[derive(Debug, Default)]
pub struct Weights {
    /// Names and versions of its models.
    pub models: Vec<(String, u64)>,
    accepted: u64,
    busy: bool,
}

/// A replica of a service.
pub struct Replica {
    pub id: String,
    pub service: String,
    pub release: String,
    pub address: SocketAddr,
    pub weights: Mutex<Weights>,
    /// How long new weights take.
    load_time: Duration,
    born: u128,
    is_stopped: AtomicBool,
    store: Store,
    record: Record,
}

impl Replica {
    /// Starts a replica and registers it.
    pub fn start(
        store: &Store,
        record: &Record,
        ip: Ipv4Addr,
        names: (&str, &str, &str),
        models: &[&str],
        run: Arc<Run>,
    ) -> io::Result<Arc<Replica>> {
        let listener = TcpListener::bind((ip, 0))?;
        let replica = Replica::register_new(store, record, listener.local_addr()?, names, models);
        let served = replica.clone();
        http::serve(listener, move |request, writer| served.handle(request, writer, &*run));
        Ok(replica)
    }

    /// Registers a new process of a replica, which others serve with `handle`. The names are those of
    /// the replica, its service and its release.
    pub fn register_new(
        store: &Store,
        record: &Record,
        address: SocketAddr,
        (id, service, release): (&str, &str, &str),
        models: &[&str],
    ) -> Arc<Replica> {
        let models = models.iter().map(|it| (it.to_string(), 1)).collect();
        let replica = Arc::new(Replica {
            id: id.into(),
            service: service.into(),
            release: release.into(),
            address,
            weights: Mutex::new(Weights { models, ..Weights::default() }),
            load_time: Duration::from_millis(400),
            born: unix_ms(),
            is_stopped: AtomicBool::new(false),
            store: store.clone(),
            record: record.clone(),
        });
        replica.register("ready");
        replica
    }

    fn models_json(&self) -> String {
        let weights = self.weights.lock().unwrap();
        let model = |it: &(String, u64)| {
            format!("{{\"name\":\"{}\",\"version\":{},\"adapters\":[]}}", it.0, it.1)
        };
        weights.models.iter().map(model).collect::<Vec<_>>().join(",")
    }

    /// Writes its entry into the list of replicas.
    pub fn register(&self, state: &str) {
        let Replica { service, release, address, born, .. } = self;
        let models = self.models_json();
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"a\",\"version\":\"{release}\",\
             \"concurrency\":8,\"state\":\"{state}\",\"coldLeftMs\":0,\"stage\":\"colocated\",\
             \"models\":[{models}],\"seq\":1,\"born\":{born}}}"
        );
        self.store.put("servers", &self.id, &entry);
    }

    /// Removes its entry from the list.
    pub fn unregister(&self) {
        self.store.remove("servers", &self.id);
    }

    /// Ends without draining: it answers nothing from now on and is not listed any more.
    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::Relaxed);
        self.unregister();
    }

    /// Answers one request.
    pub fn handle(
        self: &Arc<Self>,
        request: &Message,
        writer: &mut TcpStream,
        run: &Run,
    ) -> io::Result<Then> {
        if self.is_stopped.load(Ordering::Relaxed) {
            return Ok(Then::Close);
        }
        let named = [("Kingcupshift-Instance-Id", self.id.as_str())];
        let expected = request.header("kingcupshift-expect-instance");
        if expected.is_some_and(|it| it != self.id) {
            http::write_answer(writer, 421, &named, b"")?;
            return Ok(Then::Keep);
        }
        match request.path() {
            "/report" => {
                let models = self.models_json();
                let (busy, accepted) = {
                    let weights = self.weights.lock().unwrap();
                    (weights.busy, weights.accepted)
                };
                let born = self.born;
                let body = format!(
                    "{{\"stage\":\"colocated\",\"models\":[{models}],\"busy\":{busy},\"seq\":{accepted},\
                     \"queued\":0,\"running\":0,\"kvUsed\":0,\"kvTotal\":90000,\"born\":{born}}}"
                );
                let json = ("Content-Type", "application/json");
                http::write_answer(writer, 200, &[json], body.as_bytes())?;
                Ok(Then::Keep)
            }
            "/health" => {
                http::write_answer(writer, 200, &named, b"")?;
                Ok(Then::Keep)
            }
            "/order" => {
                let status = self.order(&request.text());
                http::write_answer(writer, status, &named, b"")?;
                Ok(Then::Keep)
            }
            _ => self.take_request(request, writer, run),
        }
    }

    fn take_request(
        &self,
        request: &Message,
        writer: &mut TcpStream,
        run: &Run,
    ) -> io::Result<Then> {
        let Some(attempt) = request.header("kingcupshift-attempt-id") else {
            http::write_answer(writer, 400, &[("Kingcupshift-Not-Executed", "1")], b"")?;
            return Ok(Then::Keep);
        };
        let model = request.header("kingcupshift-model").unwrap_or_default();
        let loaded = self.version(model);
        let expected = request.header("kingcupshift-expect-version").and_then(|it| it.parse().ok());
        if let (Some(loaded), Some(expected)) = (loaded, expected)
            && loaded != expected
        {
            let version = loaded.to_string();
            let headers = [
                ("Kingcupshift-Attempt-Id", attempt),
                ("Kingcupshift-Not-Executed", "1"),
                ("Kingcupshift-Weight-Versions", version.as_str()),
                ("Kingcupshift-Instance-Id", self.id.as_str()),
            ];
            self.record.add(&format!("{attempt} rejected 421 by {}: {model} has {loaded}, {expected} asked", self.id));
            http::write_answer(writer, 421, &headers, b"")?;
            return Ok(Then::Keep);
        }
        run(self, request, writer)
    }

    /// The version of a model's weights; `None` if it does not serve the model.
    pub fn version(&self, model: &str) -> Option<u64> {
        let weights = self.weights.lock().unwrap();
        weights.models.iter().find(|it| it.0 == model).map(|it| it.1)
    }

    /// Takes an order to load weights; returns the status of the answer.
    fn order(self: &Arc<Self>, text: &str) -> u16 {
        self.record.add(&format!("order at {}: {text}", self.id));
        let Some(order) = Json::parse(text) else { return 400 };
        let (model, version) = (order.get("model").text(), order.get("version").number());
        if order.get("op").text() != "version"
            || order.get("holder").text().is_empty()
            || *order.get("fencingToken") == Json::Null
        {
            return 400;
        }
        let named = Json::parse(&self.store.get("op", &format!("version/{model}")));
        if named.is_none_or(|it| it.get("version").number() < version) {
            return 400;
        }
        let mut weights = self.weights.lock().unwrap();
        let Some(loaded) = weights.models.iter().find(|it| it.0 == model) else { return 400 };
        if loaded.1 == version {
            return 200;
        }
        let expected = order.get("expectedRev");
        if weights.busy || (*expected != Json::Null && expected.number() != weights.accepted) {
            return 409;
        }
        weights.accepted += 1;
        weights.busy = true;
        drop(weights);
        let (replica, model) = (self.clone(), model.to_string());
        thread::spawn(move || {
            thread::sleep(replica.load_time);
            {
                let mut weights = replica.weights.lock().unwrap();
                weights.busy = false;
                let found = weights.models.iter_mut().find(|it| it.0 == model);
                if let Some(it) = found {
                    it.1 = version;
                }
            }
            replica.record.add(&format!("{} has loaded {model} version {version}", replica.id));
            replica.register("ready");
        });
        202
    }
}

/// A small deployment's settings for one daemon.
fn settings(ips: &[Ipv4Addr], number: usize, store: SocketAddr) -> String {
    let ip = ips[number];
    let seeds: Vec<String> =
        ips.iter().take(3).map(|it| format!("\"{it}:{CONTROL_PORT}\"")).collect();
    let seeds = seeds.join(",");
    let last_port = PEER_PORT + 15;
    format!(
        r#"{{"nodeName":"edge-a-{number}","role":"gateway","machineClass":"edge",
"serves":["edge","control_plane"],"ip":"{ip}","zone":"a","region":"r","zones":{{"a":"r"}},
"listen":{{"front":"{ip}:{FRONT_PORT}","readyAddr":"{ip}:{READY_PORT}","control":"{ip}:{CONTROL_PORT}"}},
"portRange":[{PEER_PORT},{last_port}],"seedAddrs":[{seeds}],"bootstrap":true,"lossCounts":false,
"limits":{{"cpuShare":0.25,"cpuCores":1,"memoryMb":110,"maxFds":4100,"linkMbps":1000.0,"diskMb":0}},
"dataPath":null,"discoverySource":"platform","entryKind":"virtual_ip","heartbeatMs":1200,
"ruleSet":["base","drain","config","cost","retry","recover","kvcache","stream","engine","tenants","quota","rollout","platform"],
"faultTolerance":{{"machines":2,"zones":0,"regions":0}},
"bounds":{{"seedLagS":3,"reuseAfterS":2,"contactMs":3000,"ackMs":4000,"catchUpS":4,"drainMs":2000,"graceS":8,
"lossSlackMs":200,"configApplyMs":2000,"rollbackSlackMs":250,"outerMs":5000,"revokeStrict":false,"revokeMs":5000,
"budgetRatio":0.2,"budgetWindowS":10,"retrySlack":56,"quotaWindowS":8,"quotaOverage":0.1,"quotaSlack":72000,
"canaryShare":0.1,"canarySlack":50,"rollbackMs":5000,"recoveryS":12,"transitMs":120,"reuseWindowS":10,
"requireFence":false,"leaseMs":3000,"thawMs":300,"versionMs":8000,"versionAllMs":11000}},
"platform":{{"address":"{store}","form":"table","writesPerS":400,"readsPerS":2000,"txMs":5.0,
"partWritesPerS":200,"rowBytes":65536,"across":false,"historyS":20,"blobBytes":8388608,"blobMs":25.0,"blobMbPerS":80.0}}}}
"#
    )
}

/// The processes of the system; they are killed when this is dropped.
pub struct Fleet {
    folder: PathBuf,
    pub fronts: Vec<SocketAddr>,
    ready: Vec<SocketAddr>,
    children: Vec<Child>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in &mut self.children {
            // A process that has ended by itself needs no signal.
            let _ = child.kill();
            let _ = child.wait();
        }
        // Left behind, the folder does no harm.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Fleet {
    /// Starts `count` daemons and waits until all are ready.
    pub fn start(network: &Network, count: usize, store: SocketAddr) -> io::Result<Fleet> {
        let ips: Vec<Ipv4Addr> = (0..count).map(|_| network.next_ip()).collect();
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let addresses = |port: u16| ips.iter().map(|it| SocketAddr::from((*it, port))).collect();
        let (fronts, ready) = (addresses(FRONT_PORT), addresses(READY_PORT));
        let mut fleet = Fleet { folder, fronts, ready, children: Vec::new() };
        for number in 0..count {
            let path = fleet.folder.join(format!("edge-a-{number}.json"));
            fs::write(&path, settings(&ips, number, store))?;
            let log = File::create(fleet.folder.join(format!("edge-a-{number}.log")))?;
            let mut command = Command::new(PROGRAM);
            command.arg("serve").env("KINGCUPSHIFT_BOOT", &path).stdin(Stdio::null());
            fleet.children.push(command.stderr(log.try_clone()?).stdout(log).spawn()?);
        }
        fleet.wait_ready()?;
        Ok(fleet)
    }

    fn wait_ready(&self) -> io::Result<()> {
        let deadline = Instant::now() + Duration::from_secs(20);
        for address in &self.ready {
            let timeout = Duration::from_secs(1);
            let headers = [("Host", "ready")];
            let asks = || http::send(*address, "GET /ready", &headers, b"", timeout);
            while !asks().is_ok_and(|it| it.status() == 200) {
                if Instant::now() > deadline {
                    return Err(io::Error::other("a daemon does not become ready"));
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        Ok(())
    }

    /// Whether all processes still run.
    pub fn is_running(&mut self) -> bool {
        self.children.iter_mut().all(|it| matches!(it.try_wait(), Ok(None)))
    }

    /// Copies the logs of the daemons into the folder that `KEEP_LOGS` names, if it does.
    pub fn keep_logs(&self) {
        let Ok(folder) = std::env::var("KEEP_LOGS") else { return };
        let to = Path::new(&folder);
        for number in 0..self.children.len() {
            let name = format!("edge-a-{number}.log");
            // The logs only help to explain a result.
            let _ = fs::copy(self.folder.join(&name), to.join(&name));
        }
    }
}

/// Loopback addresses that no other run uses.
pub struct Network {
    next: AtomicU64,
}

impl Network {
    pub fn new() -> Network {
        Network { next: AtomicU64::new(1) }
    }

    pub fn next_ip(&self) -> Ipv4Addr {
        let [.., high, low] = std::process::id().to_be_bytes();
        loop {
            let number = self.next.fetch_add(1, Ordering::Relaxed) as u8;
            let ip = Ipv4Addr::new(127, 128 | (high & 63), low, number.max(1));
            if UdpSocket::bind((ip, PEER_PORT)).is_ok() {
                return ip;
            }
        }
    }
}

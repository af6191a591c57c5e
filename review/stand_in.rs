//! Stand-ins for the users' platform, replicas and callers, and the scripts of the cases.
//!
//! Starts `target/release/kingcupshiftd serve` as separate processes on loopback addresses, each
//! with a settings file of a small deployment. Uses only the standard library, so that
//! `review/build.sh` needs no network.
//!
//! Usage: `review_stand_in CASE RECORD`. Exit status: 1 if the rule was broken, 0 if it held, 2 if the
//! case could not run. With `TROUBLE=0` in the environment the disruption is left out.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs;
use std::io::{self, Read, Write};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

mod engine;
mod flooded_report;
mod foreign_rows;
mod isolated_tenant;
mod late_crash;
mod unframed_crash;

/// `limits.memoryMb` of the settings.
pub const MEMORY_MB: u64 = 110;
/// `limits.linkMbps` of the settings, in bytes a second.
pub const LINK_BYTES_PER_S: f64 = 1_000.0 * 1e6 / 8.0;
/// `heartbeatMs` of the settings.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// `platform.rowBytes` of the settings.
pub const ROW_BYTES: usize = 65_536;
/// The platform's limits on one answer about rows.
const PAGE_ROWS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;
/// How long the platform waits before it starts an ended process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// The longest time that a case may take.
const MAX_RUN_TIME: Duration = Duration::from_secs(100);
/// How often the platform looks at the memory of a process.
const MEMORY_PERIOD: Duration = Duration::from_millis(5);

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|it| it.into_inner())
}

/// What was sent, answered and run, in the order in which it was recorded.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    fn new() -> Record {
        Record { started: Instant::now(), lines: Arc::default() }
    }

    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn add(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}", self.now().as_secs_f64(), text.as_ref());
        lock(&self.lines).push(line);
    }

    fn write(&self, path: &Path) -> io::Result<()> {
        fs::write(path, lock(&self.lines).join("\n") + "\n")
    }
}

/// A request or an answer as read from a connection.
pub struct Message {
    /// The first line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body came to its end.
    pub complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|it| it.0.eq_ignore_ascii_case(name));
        found.map(|it| it.1.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads one message; `None` if the connection ends before its head is complete.
pub fn read_message(stream: &mut TcpStream, rest: &mut Vec<u8>) -> Option<Message> {
    let mut block = [0; 65_536];
    let end = loop {
        if let Some(at) = rest.windows(4).position(|it| it == b"\r\n\r\n") {
            break at;
        }
        match stream.read(&mut block) {
            Ok(0) | Err(_) => return None,
            Ok(count) => rest.extend_from_slice(&block[..count]),
        }
    };
    let head = String::from_utf8_lossy(&rest[..end]).into_owned();
    rest.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let start = lines.next()?.to_string();
    let headers = lines
        .filter_map(|it| it.split_once(':'))
        .map(|(name, value)| (name.trim().to_string(), value.trim().to_string()))
        .collect();
    let mut message = Message { start, headers, body: Vec::new(), complete: false };
    let mut more = |rest: &mut Vec<u8>| match stream.read(&mut block) {
        Ok(0) | Err(_) => false,
        Ok(count) => {
            rest.extend_from_slice(&block[..count]);
            true
        }
    };
    if message.header("transfer-encoding").is_some_and(|it| it.eq_ignore_ascii_case("chunked")) {
        loop {
            let Some(at) = rest.windows(2).position(|it| it == b"\r\n") else {
                if more(rest) {
                    continue;
                }
                return Some(message);
            };
            let size = String::from_utf8_lossy(&rest[..at]).trim().to_string();
            let Ok(size) = usize::from_str_radix(&size, 16) else { return Some(message) };
            while rest.len() < at + 2 + size + 2 {
                if !more(rest) {
                    return Some(message);
                }
            }
            message.body.extend_from_slice(&rest[at + 2..at + 2 + size]);
            rest.drain(..at + 2 + size + 2);
            if size == 0 {
                message.complete = true;
                return Some(message);
            }
        }
    }
    let length = message.header("content-length").and_then(|it| it.parse::<usize>().ok());
    let length = length.unwrap_or(0);
    while rest.len() < length {
        if !more(rest) {
            return Some(message);
        }
    }
    message.body = rest.drain(..length).collect();
    message.complete = true;
    Some(message)
}

/// Answers with a body of known length; false if the connection is gone.
pub fn write_answer(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> bool {
    let mut head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).is_ok()
}

/// Serves connections until the process ends, each in a thread of its own.
pub fn serve(
    address: SocketAddr,
    handle: impl Fn(TcpStream) + Send + Sync + 'static,
) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            let _ = stream.set_nodelay(true);
            thread::spawn(move || handle(stream));
        }
    });
    Ok(())
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode_base64(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for block in bytes.chunks(3) {
        let value = (u32::from(block[0]) << 16)
            | (u32::from(*block.get(1).unwrap_or(&0)) << 8)
            | u32::from(*block.get(2).unwrap_or(&0));
        for index in 0..4 {
            let digit = (value >> (18 - 6 * index)) as usize & 63;
            text.push(if index <= block.len() { BASE64[digit] as char } else { '=' });
        }
    }
    text
}

pub fn decode_base64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut value, mut bits) = (0_u32, 0);
    for digit in text.bytes().filter_map(|it| BASE64.iter().position(|one| *one == it)) {
        value = (value << 6) | digit as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((value >> bits) as u8);
            value &= (1 << bits) - 1;
        }
    }
    bytes
}

/// A JSON value, as far as the stand-ins read it.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(bytes: &[u8]) -> Json {
        JsonReader { bytes, at: 0 }.value()
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(fields) => {
                fields.iter().find(|it| it.0 == name).map_or(&Json::Null, |it| &it.1)
            }
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        if let Json::Text(it) = self { it } else { "" }
    }

    pub fn number(&self) -> u64 {
        if let Json::Number(it) = self { *it as u64 } else { 0 }
    }

    pub fn list(&self) -> &[Json] {
        if let Json::List(it) = self { it } else { &[] }
    }
}

struct JsonReader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl JsonReader<'_> {
    fn peek(&mut self) -> u8 {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
        self.bytes.get(self.at).copied().unwrap_or(0)
    }

    fn value(&mut self) -> Json {
        match self.peek() {
            b'{' => {
                self.at += 1;
                let mut fields = Vec::new();
                while !matches!(self.peek(), b'}' | 0) {
                    let name = self.string();
                    self.peek();
                    self.at += 1;
                    fields.push((name, self.value()));
                    if self.peek() == b',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Json::Table(fields)
            }
            b'[' => {
                self.at += 1;
                let mut items = Vec::new();
                while !matches!(self.peek(), b']' | 0) {
                    items.push(self.value());
                    if self.peek() == b',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Json::List(items)
            }
            b'"' => Json::Text(self.string()),
            0 => Json::Null,
            _ => {
                let from = self.at;
                while self.bytes.get(self.at).is_some_and(|it| !b",]} \n\r\t".contains(it)) {
                    self.at += 1;
                }
                match std::str::from_utf8(&self.bytes[from..self.at]).unwrap_or("") {
                    "true" => Json::Bool(true),
                    "false" => Json::Bool(false),
                    it => it.parse().map_or(Json::Null, Json::Number),
                }
            }
        }
    }

    fn string(&mut self) -> String {
        self.peek();
        self.at += 1;
        let mut text = Vec::new();
        while let Some(byte) = self.bytes.get(self.at).copied().filter(|it| *it != b'"') {
            self.at += 1;
            if byte != b'\\' {
                text.push(byte);
                continue;
            }
            let escaped = self.bytes.get(self.at).copied().unwrap_or(b'"');
            self.at += 1;
            match escaped {
                b'n' => text.push(b'\n'),
                b't' => text.push(b'\t'),
                b'r' => text.push(b'\r'),
                b'u' => {
                    let digits = self.bytes.get(self.at..self.at + 4).unwrap_or(b"003f");
                    let digits = std::str::from_utf8(digits).unwrap_or("003f");
                    let code = u32::from_str_radix(digits, 16).unwrap_or(63);
                    let mut buffer = [0; 4];
                    let symbol = char::from_u32(code).unwrap_or('?');
                    text.extend_from_slice(symbol.encode_utf8(&mut buffer).as_bytes());
                    self.at += 4;
                }
                other => text.push(other),
            }
        }
        self.at += 1;
        String::from_utf8_lossy(&text).into_owned()
    }
}

pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for symbol in text.chars() {
        match symbol {
            '"' | '\\' => {
                quoted.push('\\');
                quoted.push(symbol);
            }
            it if (it as u32) < 32 => {
                let _ = write!(quoted, "\\u{:04x}", it as u32);
            }
            it => quoted.push(it),
        }
    }
    quoted + "\""
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let digits = bytes.get(at + 1..at + 3).and_then(|it| std::str::from_utf8(it).ok());
        let value = digits.and_then(|it| u8::from_str_radix(it, 16).ok());
        match (bytes[at], value) {
            (b'%', Some(value)) => {
                decoded.push(value);
                at += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

#[derive(Default)]
struct Rows {
    rows: BTreeMap<(String, String), (Vec<u8>, u64)>,
    revision: u64,
}

/// The platform's store: rows of the empty part, and transactions.
#[derive(Clone)]
pub struct Store {
    rows: Arc<Mutex<Rows>>,
    started: Instant,
    pub reads: Arc<AtomicUsize>,
}

impl Store {
    pub fn start(address: SocketAddr) -> io::Result<Store> {
        let store = Store { rows: Arc::default(), started: Instant::now(), reads: Arc::default() };
        let served = store.clone();
        serve(address, move |stream| served.serve_connection(stream))?;
        Ok(store)
    }

    /// Writes a row as the operator or a replica does.
    pub fn put(&self, table: &str, key: &str, value: &[u8]) {
        let mut rows = lock(&self.rows);
        rows.revision += 1;
        let revision = rows.revision;
        rows.rows.insert((table.into(), key.into()), (value.into(), revision));
    }

    pub fn remove(&self, table: &str, key: &str) {
        let mut rows = lock(&self.rows);
        rows.revision += 1;
        rows.rows.remove(&(table.into(), key.into()));
    }

    fn now_ms(&self) -> u128 {
        self.started.elapsed().as_millis()
    }

    fn serve_connection(&self, mut stream: TcpStream) {
        let mut rest = Vec::new();
        while let Some(request) = read_message(&mut stream, &mut rest) {
            // `txMs` of the settings, and about as long for a read.
            thread::sleep(Duration::from_millis(4));
            let (path, query) = request.path().split_once('?').unwrap_or((request.path(), ""));
            let (status, body) = match path {
                "/rows-get" => {
                    self.reads.fetch_add(1, Ordering::Relaxed);
                    ("200 OK", self.read_rows(query))
                }
                "/rows-tx" => self.transact(&Json::parse(&request.body)),
                _ => ("404 Not Found", "{}".to_string()),
            };
            let json = [("Content-Type", "application/json")];
            if !write_answer(&mut stream, status, &json, body.as_bytes()) {
                return;
            }
        }
    }

    /// Rows in ascending order of their keys, at most 500 or 1 MB of values in one answer.
    fn read_rows(&self, query: &str) -> String {
        let parameter = |name: &str| {
            let found =
                query.split('&').filter_map(|it| it.split_once('=')).find(|it| it.0 == name);
            found.map(|it| percent_decode(it.1))
        };
        let table = parameter("table").unwrap_or_default();
        let from = parameter("from").unwrap_or_default();
        let rows = lock(&self.rows);
        let mut text = String::from("{\"rows\":[");
        let (mut count, mut bytes, mut has_more) = (0, 0, false);
        for ((_, key), (value, ver)) in rows.rows.range((table.clone(), from)..) {
            if !rows.rows.contains_key(&(table.clone(), key.clone())) {
                break;
            }
            if count > 0 && (count == PAGE_ROWS || bytes + value.len() > PAGE_BYTES) {
                has_more = true;
                break;
            }
            count += 1;
            bytes += value.len();
            let comma = if count > 1 { "," } else { "" };
            let (table, key, value) = (quote(&table), quote(key), encode_base64(value));
            let _ = write!(
                text,
                "{comma}{{\"table\":{table},\"part\":\"\",\"key\":{key},\"value\":\"{value}\",\"ver\":{ver}}}"
            );
        }
        let _ = write!(
            text,
            "],\"hasMore\":{has_more},\"ver\":{},\"nowMs\":{}}}",
            rows.revision,
            self.now_ms()
        );
        text
    }

    fn transact(&self, body: &Json) -> (&'static str, String) {
        let mut rows = lock(&self.rows);
        let key =
            |row: &Json| (row.get("table").text().to_string(), row.get("key").text().to_string());
        for row in body.get("expectedRev").list() {
            if rows.rows.get(&key(row)).map_or(0, |it| it.1) != row.get("ver").number() {
                return ("412 Precondition Failed", "{\"rows\":[]}".into());
            }
        }
        rows.revision += 1;
        let revision = rows.revision;
        for row in body.get("setKeys").list() {
            rows.rows.insert(key(row), (decode_base64(row.get("value").text()), revision));
        }
        for row in body.get("remove").list() {
            rows.rows.remove(&key(row));
        }
        ("200 OK", format!("{{\"ver\":{revision},\"nowMs\":{}}}", self.now_ms()))
    }
}

/// The deployment: addresses, the store, and a folder for settings and logs.
pub struct Site {
    pub record: Record,
    pub store: Store,
    pub trouble: bool,
    pub folder: PathBuf,
    store_address: SocketAddr,
    ports: u16,
    next_replica: AtomicUsize,
}

/// Replicas' listeners; daemons use 127.0.0.11 and following.
const REPLICA_IP: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 2);

impl Site {
    fn start(record: &Record) -> io::Result<Site> {
        let trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
        let ports = free_ports()?;
        let store_address = SocketAddr::from((Ipv4Addr::new(127, 0, 0, 3), ports + 9));
        let stamp = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let name = format!("kingcupshift-review-{}-{}", std::process::id(), stamp.subsec_nanos());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder)?;
        let store = Store::start(store_address)?;
        let record = record.clone();
        record.add(format!("trouble {trouble}"));
        Ok(Site { record, store, trouble, folder, store_address, ports, next_replica: 0.into() })
    }

    /// An unused address for a replica.
    pub fn replica_address(&self) -> SocketAddr {
        let index = self.next_replica.fetch_add(1, Ordering::Relaxed) as u16;
        SocketAddr::from((REPLICA_IP, self.ports + 20 + index))
    }

    pub fn write_config(&self, text: &str) {
        self.store.put("op", "config", text.as_bytes());
        self.record.add(format!("operator writes op/config {text}"));
    }

    pub fn name_version(&self, model: &str, version: u64) {
        let text = format!("{{\"model\":\"{model}\",\"version\":{version}}}");
        self.store.put("op", &format!("version/{model}"), text.as_bytes());
        self.record.add(format!("operator names weights {version} of {model}"));
    }

    fn settings(&self, index: usize) -> String {
        let ip = daemon_ip(index);
        let (front, ready, control) = (self.ports, self.ports + 1, self.ports + 2);
        let seeds: Vec<String> =
            (0..3).map(|it| format!("\"{}:{control}\"", daemon_ip(it))).collect();
        let seeds = seeds.join(",");
        let store = self.store_address;
        let (first, last) = (self.ports + 3, self.ports + 8);
        format!(
            r#"{{"nodeName":"edge-north-{number}","role":"gateway","machineClass":"edge",
"serves":["edge","control_plane"],"ip":"{ip}","zone":"north","region":"land","zones":{{"north":"land"}},
"listen":{{"front":"{ip}:{front}","readyAddr":"{ip}:{ready}","control":"{ip}:{control}"}},
"portRange":[{first},{last}],"seedAddrs":[{seeds}],"bootstrap":true,"lossCounts":false,
"limits":{{"cpuShare":0.25,"cpuCores":1,"memoryMb":{MEMORY_MB},"maxFds":4100,"linkMbps":1000.0,"diskMb":0}},
"dataPath":null,"discoverySource":"platform","entryKind":"virtual_ip","heartbeatMs":1200,
"ruleSet":["base","drain","config","cost","retry","recover","kvcache","stream","engine","tenants","quota","rollout","platform"],
"faultTolerance":{{"machines":2,"zones":0,"regions":0}},
"bounds":{{"seedLagS":3,"reuseAfterS":2,"contactMs":3000,"ackMs":4000,"catchUpS":4,"drainMs":2000,"graceS":8,
"lossSlackMs":200,"configApplyMs":2000,"rollbackSlackMs":250,"outerMs":5000,"revokeStrict":false,"revokeMs":5000,
"budgetRatio":0.2,"budgetWindowS":10,"retrySlack":56,"quotaWindowS":8,"quotaOverage":0.1,"quotaSlack":72000,
"canaryShare":0.1,"canarySlack":50,"rollbackMs":5000,"recoveryS":12,"transitMs":120,"reuseWindowS":10,
"requireFence":false,"leaseMs":3000,"thawMs":300,"versionMs":8000,"versionAllMs":11000}},
"platform":{{"address":"{store}","form":"table","writesPerS":400,"readsPerS":2000,"txMs":5.0,"partWritesPerS":200,
"rowBytes":{ROW_BYTES},"across":false,"historyS":20,"blobBytes":8388608,"blobMs":25.0,"blobMbPerS":80.0}}}}"#,
            number = index + 1,
        )
    }

    pub fn front(&self, index: usize) -> SocketAddr {
        SocketAddr::new(daemon_ip(index), self.ports)
    }

    fn ready_address(&self, index: usize) -> SocketAddr {
        SocketAddr::new(daemon_ip(index), self.ports + 1)
    }

    /// Whether the daemon answers the platform's question with 200.
    pub fn is_ready(&self, index: usize) -> bool {
        let Ok(mut stream) =
            TcpStream::connect_timeout(&self.ready_address(index), Duration::from_millis(500))
        else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let request = b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        if stream.write_all(request).is_err() {
            return false;
        }
        read_message(&mut stream, &mut Vec::new()).is_some_and(|it| it.status() == 200)
    }
}

pub fn daemon_ip(index: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 0, 0, 11 + index as u8))
}

/// The first of 60 ports that are free on all addresses that the case uses.
fn free_ports() -> io::Result<u16> {
    let seed = u64::from(std::process::id()) * 7_919
        + u64::from(
            SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().subsec_micros(),
        );
    let ips = [2, 3, 11, 12, 13, 14].map(|it| Ipv4Addr::new(127, 0, 0, it));
    for attempt in 0..200_u64 {
        let base = 20_000 + ((seed + attempt * 61) % 180) as u16 * 60;
        let is_free = |ip: &Ipv4Addr, port: u16| {
            TcpListener::bind((*ip, port)).is_ok() && std::net::UdpSocket::bind((*ip, port)).is_ok()
        };
        if ips.iter().all(|ip| (base..base + 60).all(|port| is_free(ip, port))) {
            return Ok(base);
        }
    }
    Err(io::Error::other("no free ports"))
}

/// How a daemon's process ended.
#[derive(Debug, Clone)]
pub struct ProcessEnd {
    pub daemon: usize,
    pub at: Duration,
    /// The platform killed it because it held more than `memoryMb`.
    pub over_memory: bool,
}

/// Runs the daemons as the platform does: starts an ended process again, and kills one that holds
/// more memory than its limit.
pub struct Daemons {
    pub ends: Arc<Mutex<Vec<ProcessEnd>>>,
    peaks: Vec<Arc<AtomicU64>>,
    stop: Arc<AtomicBool>,
    keepers: Vec<thread::JoinHandle<()>>,
}

impl Daemons {
    pub fn start(site: &Site, count: usize) -> io::Result<Daemons> {
        let program = std::env::current_dir()?.join("target/release/kingcupshiftd");
        if !program.is_file() {
            return Err(io::Error::other("target/release/kingcupshiftd is not built"));
        }
        let mut daemons = Daemons {
            ends: Arc::default(),
            peaks: Vec::new(),
            stop: Arc::default(),
            keepers: Vec::new(),
        };
        for index in 0..count {
            let settings = site.folder.join(format!("settings-{}.json", index + 1));
            fs::write(&settings, site.settings(index))?;
            let log = site.folder.join(format!("daemon-{}.log", index + 1));
            let peak = Arc::new(AtomicU64::new(0));
            daemons.peaks.push(peak.clone());
            let (record, ends, stop) =
                (site.record.clone(), daemons.ends.clone(), daemons.stop.clone());
            let program = program.clone();
            daemons.keepers.push(thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let Ok(child) = spawn_daemon(&program, &settings, &log) else {
                        record.add(format!("daemon {} could not be started", index + 1));
                        return;
                    };
                    record.add(format!("daemon {} started", index + 1));
                    let process = child.id();
                    lock(&PROCESSES).push(process);
                    watch(index, child, &record, &peak, &ends, &stop);
                    lock(&PROCESSES).retain(|it| *it != process);
                    thread::sleep(RESTART_DELAY);
                }
            }));
        }
        Ok(daemons)
    }

    /// The most memory that each daemon held, in MiB.
    pub fn peaks_mb(&self) -> Vec<u64> {
        self.peaks.iter().map(|it| it.load(Ordering::Relaxed) >> 20).collect()
    }

    pub fn ends(&self) -> Vec<ProcessEnd> {
        lock(&self.ends).clone()
    }

    /// Ends all processes that were started.
    pub fn stop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for keeper in self.keepers.drain(..) {
            let _ = keeper.join();
        }
    }
}

impl Drop for Daemons {
    fn drop(&mut self) {
        self.stop();
    }
}

fn spawn_daemon(program: &Path, settings: &Path, log: &Path) -> io::Result<Child> {
    let log = fs::OpenOptions::new().create(true).append(true).open(log)?;
    let mut command = Command::new(program);
    command.arg("serve").env_clear().env("KINGCUPSHIFT_BOOT", settings);
    for name in ["PATH", "HOME", "LANG"] {
        if let Some(value) = std::env::var_os(name) {
            command.env(name, value);
        }
    }
    command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log).spawn()
}

/// Resident memory of a process in bytes.
fn resident_bytes(process: u32) -> Option<u64> {
    let text = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = text.lines().find_map(|it| it.strip_prefix("VmRSS:"))?;
    line.trim().strip_suffix(" kB")?.trim().parse::<u64>().ok().map(|it| it << 10)
}

fn watch(
    index: usize,
    mut child: Child,
    record: &Record,
    peak: &AtomicU64,
    ends: &Mutex<Vec<ProcessEnd>>,
    stop: &AtomicBool,
) {
    let mut over_memory = false;
    loop {
        if stop.load(Ordering::Relaxed) {
            let _ = child.kill();
            let _ = child.wait();
            return;
        }
        match child.try_wait() {
            Ok(None) => {}
            ended => {
                record.add(format!("daemon {} ended: {ended:?}", index + 1));
                lock(ends).push(ProcessEnd { daemon: index, at: record.now(), over_memory });
                return;
            }
        }
        if let Some(bytes) = resident_bytes(child.id()) {
            peak.fetch_max(bytes, Ordering::Relaxed);
            if bytes > MEMORY_MB << 20 && !over_memory {
                over_memory = true;
                record.add(format!("daemon {} holds {} MiB: killed", index + 1, bytes >> 20));
                let _ = child.kill();
            }
        }
        thread::sleep(MEMORY_PERIOD);
    }
}

/// What became of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The status and whether the body is complete.
    Answered(u16, bool),
    /// The channel ended without an answer.
    Closed,
    /// No answer within the deadline.
    Silent,
    /// The channel could not be opened.
    NotConnected,
}

/// A caller with one kept channel to one daemon.
pub struct Caller {
    address: SocketAddr,
    channel: Option<(TcpStream, Vec<u8>)>,
}

impl Caller {
    pub fn new(address: SocketAddr) -> Caller {
        Caller { address, channel: None }
    }

    /// Sends a request on the kept channel, or on a new one if there is none.
    pub fn send(
        &mut self,
        head: &str,
        body: &[u8],
        deadline: Duration,
    ) -> (Outcome, Option<Message>) {
        if self.channel.is_none() {
            match TcpStream::connect_timeout(&self.address, Duration::from_secs(1)) {
                Ok(stream) => {
                    let _ = stream.set_nodelay(true);
                    self.channel = Some((stream, Vec::new()));
                }
                Err(_) => return (Outcome::NotConnected, None),
            }
        }
        let Some((mut stream, mut rest)) = self.channel.take() else {
            return (Outcome::NotConnected, None);
        };
        let _ = stream.set_read_timeout(Some(deadline));
        let mut bytes = head.as_bytes().to_vec();
        bytes.extend_from_slice(body);
        let sent_at = Instant::now();
        if stream.write_all(&bytes).is_err() {
            return (Outcome::Closed, None);
        }
        let Some(answer) = read_message(&mut stream, &mut rest) else {
            let outcome =
                if sent_at.elapsed() >= deadline { Outcome::Silent } else { Outcome::Closed };
            let _ = stream.shutdown(Shutdown::Both);
            return (outcome, None);
        };
        let closes = answer.header("connection").is_some_and(|it| it.eq_ignore_ascii_case("close"));
        if answer.complete && !closes {
            self.channel = Some((stream, rest));
        }
        (Outcome::Answered(answer.status(), answer.complete), Some(answer))
    }

    /// Whether the next request goes out on a channel that was used before.
    pub fn has_channel(&self) -> bool {
        self.channel.is_some()
    }
}

/// A replica's row in the store, written again with every heartbeat.
pub struct Listing {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub concurrency: u32,
    pub born: u64,
    /// `"models":[..],` or nothing.
    pub models: Mutex<String>,
    seq: AtomicU64,
}

impl Listing {
    pub fn new(id: &str, service: &str, address: SocketAddr, concurrency: u32) -> Listing {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        Listing {
            id: id.into(),
            service: service.into(),
            address,
            concurrency,
            born: born as u64,
            models: Mutex::default(),
            seq: AtomicU64::new(0),
        }
    }

    pub fn write(&self, store: &Store) {
        let seq = self.seq.fetch_add(1, Ordering::Relaxed);
        let Listing { id, service, address, concurrency, born, .. } = self;
        let models = lock(&self.models).clone();
        let text = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"north\",\"version\":\"v1\",\
             \"concurrency\":{concurrency},\"state\":\"ready\",\"coldLeftMs\":0,{models}\"seq\":{seq},\"born\":{born}}}"
        );
        store.put("servers", id, text.as_bytes());
    }
}

/// Registers a replica and keeps its row up to date.
pub fn keep_listed(listing: Arc<Listing>, store: Store) {
    listing.write(&store);
    thread::spawn(move || {
        loop {
            thread::sleep(HEARTBEAT);
            listing.write(&store);
        }
    });
}

/// Orders that reached a plain service, by the request's id.
#[derive(Clone, Default)]
pub struct Runs(pub Arc<Mutex<BTreeMap<String, usize>>>);

/// A sound replica of a plain service, which works for `work` on each request.
pub fn start_plain_replica(
    site: &Site,
    id: &str,
    service: &str,
    work: Duration,
    runs: &Runs,
) -> io::Result<()> {
    let address = site.replica_address();
    let listing = Arc::new(Listing::new(id, service, address, 16));
    let (record, runs, own_id) = (site.record.clone(), runs.clone(), id.to_string());
    serve(address, move |mut stream| {
        let mut rest = Vec::new();
        while let Some(request) = read_message(&mut stream, &mut rest) {
            let attempt = request.header("kingcupshift-attempt-id").unwrap_or("").to_string();
            if request.path() == "/health" {
                let id = [("Kingcupshift-Instance-Id", own_id.as_str())];
                if !write_answer(&mut stream, "200 OK", &id, b"") {
                    return;
                }
                continue;
            }
            if request.header("kingcupshift-expect-instance").is_some_and(|it| it != own_id) {
                let headers = [
                    ("Kingcupshift-Instance-Id", own_id.as_str()),
                    ("Kingcupshift-Attempt-Id", attempt.as_str()),
                ];
                if !write_answer(&mut stream, "421 Misdirected Request", &headers, b"") {
                    return;
                }
                continue;
            }
            *lock(&runs.0).entry(attempt.clone()).or_default() += 1;
            record.add(format!("{own_id} runs {attempt}"));
            thread::sleep(work);
            let seal = format!("3e1b.07.5a2.600.0.{attempt}");
            let headers = [
                ("Kingcupshift-Attempt-Id", attempt.as_str()),
                ("Kingcupshift-Response-Seal", &seal),
            ];
            if !write_answer(&mut stream, "200 OK", &headers, b"confirmed\n") {
                return;
            }
        }
    })?;
    keep_listed(listing, site.store.clone());
    Ok(())
}

/// A configuration with one streaming route to the engines of `desk` and one route for orders to the
/// plain service `orders`. `tenants` is the list of tenants in JSON.
pub fn config_text(version: u64, tenants: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[
{{"name":"r-ask","hostname":"desk.example","prefix":"/ask/","kind":"streaming","timeoutMs":5000,"targetLatencyMs":1000,"priority":0,"service":"desk","maxAttempts":2,"public":false,"sticky":true,"resumable":true,"gapTargetMs":500}},
{{"name":"r-order","hostname":"orders.example","prefix":"/order/","kind":"non_idempotent","timeoutMs":800,"targetLatencyMs":100,"priority":2,"service":"orders","maxAttempts":1,"public":false}}],
"services":[{{"name":"desk","healthPath":"/health","maxConns":300,"protocol":"h1","tlsMode":false,"engine":{{"concurrency":48,"kvCapacityTokens":69174,"kvTokenBytes":131072,"linkMbps":1100000.0,"moves":true,"backups":true,"stride":5,"maxInflight":12,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,"models":[{{"name":"m0"}}]}}}},
{{"name":"orders","healthPath":"/health","maxConns":110,"protocol":"h1","tlsMode":false}}],
"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},
"tenants":[{tenants}]}}"#
    )
    .replace('\n', "")
}

/// One order of a caller, for the check of rule LOST.
#[derive(Debug, Clone)]
pub struct Order {
    pub attempt: String,
    pub kept_channel: bool,
    pub sent_at: Duration,
    pub ended_at: Duration,
    pub outcome: Outcome,
}

/// Callers that send orders on kept channels, one after the other, until `stop` is set.
pub struct OrderDesk {
    pub orders: Arc<Mutex<Vec<Order>>>,
    pub stop: Arc<AtomicBool>,
    callers: Vec<thread::JoinHandle<()>>,
}

impl OrderDesk {
    pub fn start(site: &Site, daemons: usize, callers_each: usize, key: &str) -> OrderDesk {
        let desk = OrderDesk { orders: Arc::default(), stop: Arc::default(), callers: Vec::new() };
        let mut callers = Vec::new();
        for index in 0..daemons * callers_each {
            let (orders, stop) = (desk.orders.clone(), desk.stop.clone());
            let (record, key) = (site.record.clone(), key.to_string());
            let daemon = index % daemons;
            let mut caller = Caller::new(site.front(daemon));
            callers.push(thread::spawn(move || {
                let mut number = 0;
                while !stop.load(Ordering::Relaxed) {
                    number += 1;
                    let attempt = format!("{:04x}{number:012x}", index + 1);
                    let head = format!(
                        "POST /order/{index}/{number} HTTP/1.1\r\nHost: orders.example\r\n\
                         Kingcupshift-Attempt-Id: {attempt}\r\nKingcupshift-Deadline-Ms: 1500\r\n\
                         Authorization: Bearer {key}\r\nContent-Length: 5\r\n\r\n"
                    );
                    let kept_channel = caller.has_channel();
                    let sent_at = record.now();
                    record.add(format!(
                        "caller {} sends {attempt} to daemon {}",
                        index + 1,
                        daemon + 1
                    ));
                    let (outcome, _) = caller.send(&head, b"order", Duration::from_millis(1_500));
                    record.add(format!("{attempt} {outcome:?}"));
                    let is_served = matches!(outcome, Outcome::Answered(200, true));
                    let ended_at = record.now();
                    lock(&orders).push(Order { attempt, kept_channel, sent_at, ended_at, outcome });
                    if !is_served {
                        thread::sleep(Duration::from_millis(300));
                    }
                }
            }));
        }
        OrderDesk { callers, ..desk }
    }

    pub fn stop(&mut self) -> Vec<Order> {
        self.stop.store(true, Ordering::Relaxed);
        for caller in self.callers.drain(..) {
            let _ = caller.join();
        }
        lock(&self.orders).clone()
    }
}

/// Rule LOST: orders that a daemon took from a kept channel and passed on to a sound replica, and
/// whose channel it closed without an answer.
pub fn lost_orders<'a>(orders: &'a [Order], runs: &Runs) -> Vec<&'a Order> {
    let runs = lock(&runs.0);
    let is_lost = |it: &&Order| {
        let is_cut = matches!(it.outcome, Outcome::Closed | Outcome::Answered(_, false));
        it.kept_channel && is_cut && runs.contains_key(&it.attempt)
    };
    orders.iter().filter(is_lost).collect()
}

/// The processes that run now, for the watchdog.
pub static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the case, and what it has started, if it takes too long.
fn start_watchdog() {
    thread::spawn(|| {
        thread::sleep(MAX_RUN_TIME);
        eprintln!("the case took too long");
        for process in lock(&PROCESSES).iter() {
            let _ = Command::new("kill").args(["-KILL", &process.to_string()]).status();
        }
        std::process::exit(2);
    });
}

/// Waits until all daemons are ready; false if that takes longer than ten seconds.
pub fn wait_ready(site: &Site, daemons: usize) -> bool {
    let until = Instant::now() + Duration::from_secs(10);
    while Instant::now() < until {
        if (0..daemons).all(|it| site.is_ready(it)) {
            return true;
        }
        thread::sleep(Duration::from_millis(100));
    }
    false
}

fn main() {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(path)) = (args.next(), args.next()) else {
        eprintln!("usage: review_stand_in CASE RECORD");
        std::process::exit(2);
    };
    if case == "replica-process" {
        let status = i32::from(unframed_crash::serve_inherited(&path).is_err());
        std::process::exit(status);
    }
    start_watchdog();
    let record = Record::new();
    let site = match Site::start(&record) {
        Ok(site) => site,
        Err(error) => {
            eprintln!("the case could not run: {error}");
            std::process::exit(2);
        }
    };
    let res = match case.as_str() {
        "flooded-report" => flooded_report::run(&site),
        "foreign-rows" => foreign_rows::run(&site),
        "isolated-tenant" => isolated_tenant::run(&site),
        "late-crash" => late_crash::run(&site),
        "unframed-crash" => unframed_crash::run(&site),
        _ => Err(io::Error::other("no such case")),
    };
    let status = match res {
        Ok(broken) => {
            for line in &broken {
                record.add(format!("BROKEN: {line}"));
                println!("{line}");
            }
            i32::from(!broken.is_empty())
        }
        Err(error) => {
            record.add(format!("could not run: {error}"));
            eprintln!("the case could not run: {error}");
            2
        }
    };
    record.add(format!("exit status {status}"));
    if let Err(error) = record.write(Path::new(&path)) {
        eprintln!("the record could not be written: {error}");
        std::process::exit(2);
    }
    if std::env::var_os("KEEP_LOGS").is_none() {
        let _ = fs::remove_dir_all(&site.folder);
    } else {
        println!("logs in {}", site.folder.display());
    }
    std::process::exit(status);
}

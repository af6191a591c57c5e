//! A request crashes each replica that runs it, some time after the first events of its answer. Its
//! caller sends it again.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::engine::MODEL;
use crate::{Caller, Daemons, Listing, Message, Outcome, Record, Site, Store};
use crate::{config_text, lock, read_message, wait_ready, write_answer};

const DAEMONS: usize = 3;
const REPLICAS: usize = 6;
const CALLERS: usize = 6;
const KEY: &str = "wu3fexd9dnn2ctnfzs98";
/// How long a crashed replica is away ("some seconds").
const DOWN_TIME: Duration = Duration::from_millis(2_000);
/// Status report intervals of silence after which the platform removes an entry.
const SILENT_HEARTBEATS: u32 = 3;
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// An answer has an event every 100 ms.
const EVENT_GAP: Duration = Duration::from_millis(100);
const EVENTS: u64 = 25;
/// The event before which a replica crashes under the bad request.
const CRASH_EVENT: u64 = 16;
/// The pause of the bad request's caller before it sends it again.
const RESEND_PAUSE: Duration = Duration::from_millis(1_000);
/// `contactMs` of the settings.
const CONTACT_TIME: Duration = Duration::from_millis(3_000);
/// The crash from which on the rule counts, and the retries that it allows then.
const COUNTED_CRASH: usize = 3;
const MAX_RETRIES: usize = 3;
const RUN_TIME: Duration = Duration::from_secs(45);

/// One machine with a replica, which starts again after each crash under a new id.
struct Replica {
    name: String,
    address: SocketAddr,
    record: Record,
    store: Store,
    crashes: Arc<Mutex<Vec<Duration>>>,
    arrivals: Arc<Mutex<Vec<(String, Duration)>>>,
    is_up: AtomicBool,
    starts: AtomicUsize,
    channels: Mutex<Vec<TcpStream>>,
}

impl Replica {
    fn id(&self) -> String {
        format!("{}-{}", self.name, self.starts.load(Ordering::Relaxed))
    }

    /// Runs the replica's processes one after the other.
    fn run(self: Arc<Self>) -> io::Result<()> {
        loop {
            self.starts.fetch_add(1, Ordering::Relaxed);
            let listener = TcpListener::bind(self.address)?;
            listener.set_nonblocking(true)?;
            self.is_up.store(true, Ordering::Relaxed);
            let listing = Listing::new(&self.id(), "desk", self.address, 48);
            *lock(&listing.models) = format!(
                "\"stage\":\"colocated\",\"models\":[{{\"name\":\"{MODEL}\",\"version\":1,\"adapters\":[]}}],"
            );
            let mut next_heartbeat = Instant::now();
            while self.is_up.load(Ordering::Relaxed) {
                if Instant::now() >= next_heartbeat {
                    listing.write(&self.store);
                    next_heartbeat += HEARTBEAT;
                }
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        lock(&self.channels).extend(stream.try_clone());
                        let replica = self.clone();
                        thread::spawn(move || replica.serve_connection(stream));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
            drop(listener);
            for channel in lock(&self.channels).drain(..) {
                let _ = channel.shutdown(Shutdown::Both);
            }
            let (store, id) = (self.store.clone(), self.id());
            thread::spawn(move || {
                thread::sleep(HEARTBEAT * SILENT_HEARTBEATS);
                store.remove("servers", &id);
            });
            thread::sleep(DOWN_TIME);
        }
    }

    fn crash(&self, attempt: &str) {
        if self.is_up.swap(false, Ordering::Relaxed) {
            self.record.add(format!("{} crashes under {attempt}", self.id()));
            lock(&self.crashes).push(self.record.now());
        }
    }

    fn serve_connection(&self, mut stream: TcpStream) {
        let id = self.id();
        let mut rest = Vec::new();
        while let Some(request) = read_message(&mut stream, &mut rest) {
            let attempt = request.header("kingcupshift-attempt-id").unwrap_or("");
            let own_id =
                [("Kingcupshift-Instance-Id", id.as_str()), ("Kingcupshift-Attempt-Id", attempt)];
            let goes_on = match request.path() {
                "/health" => write_answer(&mut stream, "200 OK", &own_id, b""),
                "/report" => write_answer(&mut stream, "404 Not Found", &own_id, b""),
                _ if request.header("kingcupshift-expect-instance").is_some_and(|it| it != id) => {
                    write_answer(&mut stream, "421 Misdirected Request", &own_id, b"")
                }
                _ => self.stream_answer(&mut stream, &request),
            };
            if !goes_on {
                return;
            }
        }
    }

    fn stream_answer(&self, stream: &mut TcpStream, request: &Message) -> bool {
        let attempt = request.header("kingcupshift-attempt-id").unwrap_or("").to_string();
        let is_bad = request.body == b"the bad question";
        self.record.add(format!("{} runs {attempt}", self.id()));
        if is_bad {
            lock(&self.arrivals).push((attempt.clone(), self.record.now()));
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             Kingcupshift-Attempt-Id: {attempt}\r\nKingcupshift-Weight-Versions: 1\r\n\
             Kingcupshift-Response-Seal: 3e1b.07.5a2.600.0.{attempt}\r\n\r\n"
        );
        if stream.write_all(head.as_bytes()).is_err() {
            return false;
        }
        for event in 1..=EVENTS {
            thread::sleep(EVENT_GAP);
            if is_bad && event == crash_event() {
                self.crash(&attempt);
                return false;
            }
            if !self.is_up.load(Ordering::Relaxed) {
                return false;
            }
            let text = format!("id: {event}\ndata: token\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            if stream.write_all(chunk.as_bytes()).is_err() {
                return false;
            }
        }
        stream.write_all(b"0\r\n\r\n").is_ok()
    }
}

/// `CRASH_EVENT=1` in the environment shows that an early crash is recognised.
fn crash_event() -> u64 {
    let text = std::env::var("CRASH_EVENT").ok();
    text.and_then(|it| it.parse().ok()).unwrap_or(CRASH_EVENT)
}

fn request_head(attempt: &str, path: &str, part: &str, length: usize) -> String {
    format!(
        "POST /ask/{path} HTTP/1.1\r\nHost: desk.example\r\nKingcupshift-Attempt-Id: {attempt}\r\n\
         Kingcupshift-Model: {MODEL}\r\nKingcupshift-Token-Usage: 460,60\r\n\
         Kingcupshift-Prompt-Prefix: 5c1e07a2:200,{part}:250\r\nKingcupshift-Deadline-Ms: 5000\r\n\
         Authorization: Bearer {KEY}\r\nContent-Length: {length}\r\n\r\n"
    )
}

pub fn run(site: &Site) -> io::Result<Vec<String>> {
    let crashes: Arc<Mutex<Vec<Duration>>> = Arc::default();
    let arrivals: Arc<Mutex<Vec<(String, Duration)>>> = Arc::default();
    for index in 1..=REPLICAS {
        let replica = Arc::new(Replica {
            name: format!("i-desk{index}"),
            address: site.replica_address(),
            record: site.record.clone(),
            store: site.store.clone(),
            crashes: crashes.clone(),
            arrivals: arrivals.clone(),
            is_up: AtomicBool::new(false),
            starts: AtomicUsize::new(0),
            channels: Mutex::default(),
        });
        thread::spawn(move || {
            if let Err(error) = replica.clone().run() {
                replica.record.add(format!("{} could not start: {error}", replica.name));
            }
        });
    }
    let tenants = format!(
        r#"{{"name":"shops","apiKeys":["{KEY}"],"priority":1,"unit":"tokens","uncachedTokens":200,"isolated":false,"ratePerS":0,"burst":0}}"#
    );
    // An answer that was begun is not continued by another replica: one replica for each sending.
    let config = config_text(1, &tenants).replace("\"resumable\":true", "\"resumable\":false");
    site.write_config(&config);
    let mut daemons = Daemons::start(site, DAEMONS)?;
    if !wait_ready(site, DAEMONS) {
        return Err(io::Error::other("the daemons are not ready"));
    }
    thread::sleep(Duration::from_secs(4));
    let until = site.record.now() + RUN_TIME;
    let outcomes: Arc<Mutex<BTreeMap<String, usize>>> = Arc::default();
    let mut callers = Vec::new();
    for index in 0..CALLERS {
        let (record, outcomes, front) =
            (site.record.clone(), outcomes.clone(), site.front(index % DAEMONS));
        callers.push(thread::spawn(move || {
            let mut number = 0;
            while record.now() < until {
                number += 1;
                let attempt = format!("sound-{index}-{number:04}");
                let head = request_head(
                    &attempt,
                    &format!("{index}/{number}"),
                    &attempt[6..].replace('-', "0"),
                    14,
                );
                record.add(format!("caller sends {attempt}"));
                let (outcome, _) =
                    Caller::new(front).send(&head, b"sound question", Duration::from_secs(5));
                record.add(format!("{attempt} {outcome:?}"));
                *lock(&outcomes).entry(format!("{outcome:?}")).or_default() += 1;
                if outcome != Outcome::Answered(200, true) {
                    thread::sleep(Duration::from_millis(300));
                }
            }
        }));
    }
    let mut sent = BTreeMap::new();
    let mut number = 0;
    while site.trouble && site.record.now() < until {
        number += 1;
        let attempt = format!("bad-{number:04}");
        let head = request_head(&attempt, "bad", "bad0", 16);
        let daemon = number % DAEMONS;
        sent.insert(attempt.clone(), site.record.now());
        site.record.add(format!("caller sends {attempt} to daemon {}", daemon + 1));
        let (outcome, _) = Caller::new(site.front(daemon)).send(
            &head,
            b"the bad question",
            Duration::from_secs(5),
        );
        site.record.add(format!("{attempt} {outcome:?}"));
        thread::sleep(RESEND_PAUSE);
    }
    for caller in callers {
        let _ = caller.join();
    }
    daemons.stop();
    let crashes = lock(&crashes).clone();
    let arrivals = lock(&arrivals).clone();
    let counted_from = crashes.get(COUNTED_CRASH - 1).map(|it| *it + CONTACT_TIME);
    let late: Vec<&(String, Duration)> = arrivals
        .iter()
        .filter(|it| counted_from.is_some_and(|from| sent.get(&it.0).is_some_and(|at| *at > from)))
        .collect();
    let summary = format!(
        "the bad request was sent {number} times, reached replicas {} times and crashed {}; {} times \
         later than contactMs after the third crash; sound requests: {:?}",
        arrivals.len(),
        crashes.len(),
        late.len(),
        lock(&outcomes)
    );
    site.record.add(&summary);
    println!("{summary}");
    let whole = format!("{:?}", Outcome::Answered(200, true));
    if !lock(&outcomes).contains_key(&whole) {
        return Err(io::Error::other("no sound request was served"));
    }
    let mut broken = Vec::new();
    if late.len() > MAX_RETRIES {
        broken.push(format!(
            "BUDGET: {} retries of the request reached replicas later than contactMs after it had \
             crashed the third at {:.3} s; the last at {:.3} s",
            late.len(),
            crashes[COUNTED_CRASH - 1].as_secs_f64(),
            late[late.len() - 1].1.as_secs_f64()
        ));
    }
    Ok(broken)
}

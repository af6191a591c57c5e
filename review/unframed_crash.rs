//! Answers without a length end with their channel. A replica's process is killed in the middle of
//! some, and its successor listens at the same address at once: the supervisor keeps the socket.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::{FromRawFd, OwnedFd};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::engine::MODEL;
use crate::{Caller, Daemons, Listing, Message, Outcome, PROCESSES, Site};
use crate::{config_text, lock, read_message, wait_ready, write_answer};

const DAEMONS: usize = 3;
const REPLICAS: usize = 4;
const CALLERS: usize = 6;
const KEY: &str = "wu3fexd9dnn2ctnfzs98";
const EVENTS: u64 = 10;
const EVENT_GAP: Duration = Duration::from_millis(40);
/// As on the site's day `scale-2`: three crashes, 3.5 s apart. Each is of one replica of four.
const CRASH_PERIOD: Duration = Duration::from_millis(3_500);
const CRASHES: usize = 3;
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Status report intervals of silence after which the platform removes an entry.
const SILENT_HEARTBEATS: u32 = 3;

/// A replica's process: serves the listening socket that it finds as its standard input.
pub fn serve_inherited(id: &str) -> io::Result<()> {
    // SAFETY: the supervisor passes a listening socket as descriptor 0, and nothing else uses it.
    let listener = unsafe { TcpListener::from_raw_fd(0) };
    for stream in listener.incoming().flatten() {
        let id = id.to_string();
        let _ = stream.set_nodelay(true);
        thread::spawn(move || serve_connection(stream, &id));
    }
    Ok(())
}

fn serve_connection(mut stream: TcpStream, id: &str) {
    let mut rest = Vec::new();
    while let Some(request) = read_message(&mut stream, &mut rest) {
        let attempt = request.header("kingcupshift-attempt-id").unwrap_or("");
        let own_id = [("Kingcupshift-Instance-Id", id), ("Kingcupshift-Attempt-Id", attempt)];
        let goes_on = match request.path() {
            "/health" => write_answer(&mut stream, "200 OK", &own_id, b""),
            "/report" => write_answer(&mut stream, "404 Not Found", &own_id, b""),
            _ if request.header("kingcupshift-expect-instance").is_some_and(|it| it != id) => {
                write_answer(&mut stream, "421 Misdirected Request", &own_id, b"")
            }
            _ => {
                stream_answer(&mut stream, &request, id);
                false
            }
        };
        if !goes_on {
            return;
        }
    }
}

/// Writes an answer that ends with its channel.
fn stream_answer(stream: &mut TcpStream, request: &Message, id: &str) {
    let attempt = request.header("kingcupshift-attempt-id").unwrap_or("");
    println!("{id} runs {attempt}");
    let last = request.header("last-event-id").and_then(|it| it.parse().ok()).unwrap_or(0_u64);
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\
         Kingcupshift-Attempt-Id: {attempt}\r\nKingcupshift-Weight-Versions: 1\r\n\
         Kingcupshift-Response-Seal: 3e1b.07.5a2.600.0.{attempt}\r\n\r\n"
    );
    if stream.write_all(head.as_bytes()).is_err() {
        return;
    }
    for event in last + 1..=EVENTS {
        thread::sleep(EVENT_GAP);
        if stream.write_all(format!("id: {event}\ndata: token\n\n").as_bytes()).is_err() {
            return;
        }
    }
    println!("{id} has sent all events of {attempt}");
}

/// Keeps a replica's socket and runs its processes one after the other.
struct Supervisor {
    name: String,
    address: SocketAddr,
    listener: TcpListener,
    starts: usize,
    process: Option<Child>,
    listing: Arc<Mutex<Option<Listing>>>,
}

impl Supervisor {
    fn start(site: &Site, name: &str) -> io::Result<Supervisor> {
        let address = site.replica_address();
        let listener = TcpListener::bind(address)?;
        let listing: Arc<Mutex<Option<Listing>>> = Arc::default();
        let (kept, store) = (listing.clone(), site.store.clone());
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                if let Some(listing) = &*lock(&kept) {
                    listing.write(&store);
                }
            }
        });
        let name = name.into();
        let mut supervisor =
            Supervisor { name, address, listener, starts: 0, process: None, listing };
        supervisor.start_process(site)?;
        Ok(supervisor)
    }

    fn start_process(&mut self, site: &Site) -> io::Result<()> {
        self.starts += 1;
        let id = format!("{}-{}", self.name, self.starts);
        let socket = OwnedFd::from(self.listener.try_clone()?);
        let mut process = Command::new(std::env::current_exe()?)
            .args(["replica-process", &id])
            .stdin(Stdio::from(socket))
            .stdout(Stdio::piped())
            .spawn()?;
        site.record.add(format!("{id} started as process {}", process.id()));
        lock(&PROCESSES).push(process.id());
        if let Some(output) = process.stdout.take() {
            let record = site.record.clone();
            thread::spawn(move || {
                for line in BufReader::new(output).lines().map_while(Result::ok) {
                    record.add(line);
                }
            });
        }
        self.process = Some(process);
        let listing = Listing::new(&id, "desk", self.address, 48);
        *lock(&listing.models) = format!(
            "\"stage\":\"colocated\",\"models\":[{{\"name\":\"{MODEL}\",\"version\":1,\"adapters\":[]}}],"
        );
        listing.write(&site.store);
        let before = lock(&self.listing).replace(listing);
        if let Some(before) = before {
            let store = site.store.clone();
            thread::spawn(move || {
                thread::sleep(HEARTBEAT * SILENT_HEARTBEATS);
                store.remove("servers", &before.id);
            });
        }
        Ok(())
    }

    fn crash(&mut self, site: &Site) -> io::Result<()> {
        if let Some(mut process) = self.process.take() {
            process.kill()?;
            site.record.add(format!("{}-{} killed", self.name, self.starts));
            process.wait()?;
            lock(&PROCESSES).retain(|it| *it != process.id());
        }
        self.start_process(site)
    }
}

impl Drop for Supervisor {
    fn drop(&mut self) {
        if let Some(process) = &mut self.process {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

pub fn run(site: &Site) -> io::Result<Vec<String>> {
    let mut replicas: Vec<Supervisor> = (1..=REPLICAS)
        .map(|it| Supervisor::start(site, &format!("i-desk{it}")))
        .collect::<Result<_, _>>()?;
    let tenants = format!(
        r#"{{"name":"shops","apiKeys":["{KEY}"],"priority":1,"unit":"tokens","uncachedTokens":200,"isolated":false,"ratePerS":0,"burst":0}}"#
    );
    site.write_config(&config_text(1, &tenants));
    let mut daemons = Daemons::start(site, DAEMONS)?;
    if !wait_ready(site, DAEMONS) {
        return Err(io::Error::other("the daemons are not ready"));
    }
    thread::sleep(Duration::from_secs(4));
    let until = site.record.now() + CRASH_PERIOD * (CRASHES as u32 + 1);
    let answers: Arc<Mutex<Vec<(String, Outcome, Vec<u64>)>>> = Arc::default();
    let mut callers = Vec::new();
    for index in 0..CALLERS {
        let (record, answers) = (site.record.clone(), answers.clone());
        let front = site.front(index % DAEMONS);
        callers.push(thread::spawn(move || {
            let mut number = 0;
            while record.now() < until {
                number += 1;
                let attempt = format!("{index:04x}{number:08x}");
                let head = format!(
                    "POST /ask/{index}/{number} HTTP/1.1\r\nHost: desk.example\r\n\
                     Kingcupshift-Attempt-Id: {attempt}\r\nKingcupshift-Model: {MODEL}\r\n\
                     Kingcupshift-Token-Usage: 460,60\r\nKingcupshift-Deadline-Ms: 5000\r\n\
                     Kingcupshift-Prompt-Prefix: 5c1e07a2:200,{attempt}:250\r\n\
                     Authorization: Bearer {KEY}\r\nContent-Length: 8\r\n\r\n"
                );
                record.add(format!("caller sends {attempt}"));
                let (outcome, answer) =
                    Caller::new(front).send(&head, b"question", Duration::from_secs(5));
                let body = answer.map(|it| it.body).unwrap_or_default();
                let events: Vec<u64> = String::from_utf8_lossy(&body)
                    .lines()
                    .filter_map(|it| it.strip_prefix("id: ")?.parse().ok())
                    .collect();
                record.add(format!("{attempt} {outcome:?}, events {events:?}"));
                lock(&answers).push((attempt, outcome, events));
            }
        }));
    }
    let begun = Instant::now();
    for crash in 0..CRASHES {
        let at = CRASH_PERIOD * (crash as u32 + 1);
        thread::sleep(at.saturating_sub(begun.elapsed()));
        if site.trouble {
            replicas[crash % REPLICAS].crash(site)?;
        }
    }
    for caller in callers {
        let _ = caller.join();
    }
    daemons.stop();
    let answers = lock(&answers).clone();
    let all: Vec<u64> = (1..=EVENTS).collect();
    let is_success = |it: &&(String, Outcome, Vec<u64>)| it.1 == Outcome::Answered(200, true);
    let served = answers.iter().filter(is_success).count();
    if served == 0 {
        return Err(io::Error::other("no request was served"));
    }
    let cut: Vec<_> = answers.iter().filter(is_success).filter(|it| it.2 != all).collect();
    let summary = format!(
        "{} requests sent, {served} answered with success and a complete body, {} of these without the \
         last events",
        answers.len(),
        cut.len()
    );
    site.record.add(&summary);
    println!("{summary}");
    let line = |it: &&(String, Outcome, Vec<u64>)| {
        format!(
            "ORDER: the stream of {} ended as complete after the events {:?} of {EVENTS}",
            it.0, it.2
        )
    };
    Ok(cut.iter().take(3).map(line).collect())
}

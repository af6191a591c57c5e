//! A stand-in for a replica that runs a model: orders, reports, streams and the cache of prompt parts.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::{Json, LINK_BYTES_PER_S, Listing, Message, Record, Site, keep_listed, lock};
use crate::{read_message, serve, write_answer};

/// The model that all engines serve.
pub const MODEL: &str = "m0";
/// How long new weights take (0.39 s on the sheet).
const LOAD_TIME: Duration = Duration::from_millis(390);
/// Events in an answer, and the time between two.
const EVENTS: u64 = 3;
const EVENT_GAP: Duration = Duration::from_millis(20);
/// What a replica in trouble writes again and again.
const FLOOD_LINE: &[u8] = b"worker: state dump follows, queue=0 slot=0 page=0 flags=0x0 ........\n";
/// Bytes that it writes at a time: those of one packet.
const FLOOD_PIECE: usize = 1_460;

/// A part that a request found in a replica's cache.
#[derive(Debug, Clone)]
pub struct CacheHit {
    pub at: Duration,
    pub attempt: String,
    pub tenant: String,
    pub part: String,
    pub maker: String,
}

#[derive(Default)]
struct EngineState {
    version: u64,
    accepted: u64,
    loading: Option<(u64, Instant)>,
    /// The tenant whose request made a cached part, by salt and part.
    parts: BTreeMap<(String, String), String>,
}

pub struct Engine {
    id: String,
    record: Record,
    listing: Arc<Listing>,
    state: Mutex<EngineState>,
    pub floods: AtomicBool,
    pub flooded_bytes: AtomicU64,
    /// When the next piece may be written, so that all connections together keep to the link's rate.
    next_piece_at: Mutex<Instant>,
    pub hits: Arc<Mutex<Vec<CacheHit>>>,
}

impl Engine {
    pub fn start(
        site: &Site,
        id: &str,
        hits: &Arc<Mutex<Vec<CacheHit>>>,
    ) -> io::Result<Arc<Engine>> {
        let address = site.replica_address();
        let listing = Arc::new(Listing::new(id, "desk", address, 48));
        let engine = Arc::new(Engine {
            id: id.into(),
            record: site.record.clone(),
            listing: listing.clone(),
            state: Mutex::new(EngineState { version: 1, ..EngineState::default() }),
            floods: AtomicBool::new(false),
            flooded_bytes: AtomicU64::new(0),
            next_piece_at: Mutex::new(Instant::now()),
            hits: hits.clone(),
        });
        engine.list_version(1);
        let served = engine.clone();
        serve(address, move |stream| served.serve_connection(stream))?;
        keep_listed(listing, site.store.clone());
        Ok(engine)
    }

    fn list_version(&self, version: u64) {
        *lock(&self.listing.models) = format!(
            "\"stage\":\"colocated\",\"models\":[{{\"name\":\"{MODEL}\",\"version\":{version},\"adapters\":[]}}],"
        );
    }

    /// Finishes a load whose time has passed.
    fn settle(&self) {
        let mut state = lock(&self.state);
        if let Some((version, _)) = state.loading.filter(|it| Instant::now() >= it.1) {
            state.loading = None;
            state.version = version;
            state.parts.clear();
            drop(state);
            self.list_version(version);
            self.record.add(format!("{} has loaded weights {version}", self.id));
        }
    }

    fn serve_connection(&self, mut stream: TcpStream) {
        let mut rest = Vec::new();
        while let Some(request) = read_message(&mut stream, &mut rest) {
            self.settle();
            if self.floods.load(Ordering::Relaxed) {
                self.record.add(format!("{} answers {} without end", self.id, request.start));
                return self.flood(&mut stream);
            }
            let goes_on = match request.path() {
                "/report" => self.report(&mut stream),
                "/order" => self.order(&mut stream, &request),
                "/health" => {
                    let id = [("Kingcupshift-Instance-Id", self.id.as_str())];
                    write_answer(&mut stream, "200 OK", &id, b"")
                }
                _ => self.stream_answer(&mut stream, &request),
            };
            if !goes_on {
                return;
            }
        }
    }

    /// Writes until the caller closes, no faster than the daemon's link takes it.
    fn flood(&self, stream: &mut TcpStream) {
        let piece: Vec<u8> = FLOOD_LINE.iter().copied().cycle().take(FLOOD_PIECE).collect();
        let pause = Duration::from_secs_f64(FLOOD_PIECE as f64 / LINK_BYTES_PER_S);
        if stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n").is_err() {
            return;
        }
        loop {
            let at = {
                let mut next = lock(&self.next_piece_at);
                // No burst after a pause.
                let at = (*next).max(Instant::now());
                *next = at + pause;
                at
            };
            while Instant::now() < at {
                std::hint::spin_loop();
            }
            if stream.write_all(&piece).is_err() {
                return;
            }
            self.flooded_bytes.fetch_add(FLOOD_PIECE as u64, Ordering::Relaxed);
        }
    }

    fn report(&self, stream: &mut TcpStream) -> bool {
        let state = lock(&self.state);
        let text = format!(
            "{{\"stage\":\"colocated\",\"models\":[{{\"name\":\"{MODEL}\",\"version\":{},\"adapters\":[]}}],\
             \"busy\":{},\"seq\":{},\"queued\":0,\"running\":0,\"kvUsed\":0,\"kvTotal\":69174,\
             \"handledPrefixes\":0,\"born\":{}}}",
            state.version,
            state.loading.is_some(),
            state.accepted,
            self.listing.born
        );
        drop(state);
        let json = [("Content-Type", "application/json")];
        write_answer(stream, "200 OK", &json, text.as_bytes())
    }

    fn order(&self, stream: &mut TcpStream, request: &Message) -> bool {
        let body = Json::parse(&request.body);
        let version = body.get("version").number();
        let status = {
            let mut state = lock(&self.state);
            if state.loading.is_some() || body.get("expectedRev").number() != state.accepted {
                "409 Conflict"
            } else if state.version == version {
                "200 OK"
            } else {
                state.accepted += 1;
                state.loading = Some((version, Instant::now() + LOAD_TIME));
                "202 Accepted"
            }
        };
        self.record.add(format!(
            "{} answers {status} to the order of {} for weights {version}",
            self.id,
            body.get("holder").text()
        ));
        write_answer(stream, status, &[], b"")
    }

    fn stream_answer(&self, stream: &mut TcpStream, request: &Message) -> bool {
        let attempt = request.header("kingcupshift-attempt-id").unwrap_or("").to_string();
        if request.header("kingcupshift-expect-instance").is_some_and(|it| it != self.id) {
            let headers = [
                ("Kingcupshift-Instance-Id", self.id.as_str()),
                ("Kingcupshift-Attempt-Id", attempt.as_str()),
            ];
            return write_answer(stream, "421 Misdirected Request", &headers, b"");
        }
        let (version, is_loading) = {
            let state = lock(&self.state);
            (state.version.to_string(), state.loading.is_some())
        };
        let weights = ("Kingcupshift-Weight-Versions", version.as_str());
        let own_attempt = ("Kingcupshift-Attempt-Id", attempt.as_str());
        if request.header("kingcupshift-expect-version").is_some_and(|it| it != version) {
            return write_answer(stream, "421 Misdirected Request", &[weights, own_attempt], b"");
        }
        if is_loading {
            let not_run = ("Kingcupshift-Not-Executed", "1");
            return write_answer(stream, "503 Service Unavailable", &[not_run, own_attempt], b"");
        }
        self.use_cache(&attempt, request);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             Kingcupshift-Attempt-Id: {attempt}\r\nKingcupshift-Weight-Versions: {version}\r\n\
             Kingcupshift-Response-Seal: 3e1b.07.5a2.600.0.{attempt}\r\n\r\n"
        );
        if stream.write_all(head.as_bytes()).is_err() {
            return false;
        }
        for event in 1..=EVENTS {
            thread::sleep(EVENT_GAP);
            let text = format!("id: {event}\ndata: token\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            if stream.write_all(chunk.as_bytes()).is_err() {
                return false;
            }
        }
        stream.write_all(b"0\r\n\r\n").is_ok()
    }

    /// A part is found if it and all parts before it are cached under the request's salt. All parts of
    /// the prompt are cached afterwards.
    fn use_cache(&self, attempt: &str, request: &Message) {
        let salt = request.header("kingcupshift-cache-salt").unwrap_or("").to_string();
        let tenant = request.header("kingcupshift-tenant").unwrap_or("").to_string();
        let prefix = request.header("kingcupshift-prompt-prefix").unwrap_or("");
        let parts: Vec<&str> = prefix.split(',').filter_map(|it| it.split(':').next()).collect();
        self.record
            .add(format!("{} runs {attempt} of {tenant}, salt {salt}, parts {parts:?}", self.id));
        let mut state = lock(&self.state);
        for part in &parts {
            let Some(maker) = state.parts.get(&(salt.clone(), (*part).to_string())) else { break };
            let hit = CacheHit {
                at: self.record.now(),
                attempt: attempt.into(),
                tenant: tenant.clone(),
                part: (*part).into(),
                maker: maker.clone(),
            };
            self.record.add(format!(
                "{} finds part {part} for {attempt} of {tenant}, made by a request of {maker}",
                self.id
            ));
            lock(&self.hits).push(hit);
        }
        for part in parts {
            state.parts.entry((salt.clone(), part.into())).or_insert_with(|| tenant.clone());
        }
    }
}

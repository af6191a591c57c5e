//! A model engine: batches, caches prefixes in bounded memory, streams, resumes, cancels, takes
//! orders, and fails as told.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use dropshot::Body;
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use indexmap::IndexMap;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::sync::Semaphore;
use web::hyper_server::{self, HyperServer};
use web::server::{StartError, json_answer};
use xxhash_rust::xxh3;

use crate::engine_answer::{stream_answer, whole_answer};
use crate::engine_cache::EngineCache;
use crate::engine_run::{EngineRun, ORPHAN_TIME};
use crate::faulty_body;

pub use crate::engine_run::token_text;

/// Longest body taken.
const MAX_BODY_BYTES: usize = 64 << 20;
/// Tokens generated when the request does not say.
const DEFAULT_TOKENS: u64 = 16;
/// Requests whose headers and bodies are kept for tests.
const KEPT_REQUESTS: usize = 512;

/// The config of one engine.
#[derive(Debug, Clone)]
pub struct EngineConfig {
    /// Its model.
    pub model: String,
    /// Time to compute one prompt token that is not cached.
    pub prefill_time_per_token: Duration,
    /// Time between generated tokens.
    pub token_interval: Duration,
    /// Requests run at once.
    pub slots: usize,
    /// Pieces the cache holds.
    pub cache_pieces: usize,
    /// Bytes in one piece.
    pub piece_bytes: usize,
    /// Time to load a version.
    pub load_time: Duration,
    /// It refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// A crash ends the process instead of only emptying the engine.
    pub exit_on_crash: bool,
}

impl Default for EngineConfig {
    fn default() -> EngineConfig {
        EngineConfig {
            model: "desk".into(),
            prefill_time_per_token: Duration::from_micros(2),
            token_interval: Duration::from_millis(2),
            slots: 16,
            cache_pieces: 64,
            piece_bytes: 16_000,
            load_time: Duration::from_millis(400),
            checks_fencing: true,
            exit_on_crash: false,
        }
    }
}

/// How the engine fails.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Answers every request with this status.
    pub fail_status: Option<u16>,
    /// Fails only requests on this version.
    pub bad_version: Option<u64>,
    /// Fails only requests for this model name.
    pub bad_model: Option<String>,
    /// Fails only while more requests than this run.
    pub bad_above: Option<u64>,
    /// Slows the first token.
    pub delay_first_ms: u64,
    /// Cuts each stream after this piece, this many times.
    pub cut_after: Option<u64>,
    /// How many streams are cut or silenced.
    pub fault_count: u32,
    /// Goes silent after this piece.
    pub silent_after: Option<u64>,
    /// Sends each piece twice.
    pub duplicate: bool,
    /// Swaps the second and third piece.
    pub swap: bool,
    /// Forgets generations whose reader went.
    pub refuse_resume: bool,
    /// Puts another request's id on answers, this many times.
    pub cross_answers: u32,
    /// Crashes on prompts that hold this text.
    pub crash_on: Option<String>,
    /// Says that it leaves.
    pub leaving: bool,
    /// Begins loads and never ends them.
    pub stuck_load: bool,
}

/// What the engine did so far.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct EngineStats {
    /// Requests begun.
    pub requests: u64,
    /// Prompt tokens asked.
    pub prompt_tokens: u64,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u64,
    /// Generations cancelled.
    pub cancelled: u64,
    /// Generations resumed.
    pub resumed: u64,
    /// Crashes.
    pub crashes: u64,
    /// Generations running.
    pub running: u64,
    /// Orders obeyed.
    #[serde(rename = "orders")]
    pub commands: u64,
    /// The life.
    pub incarnation: u64,
    /// The version loaded.
    pub version: u64,
    /// A version is loading.
    pub loading: bool,
    /// It finishes what it has and takes nothing new.
    pub leaving: bool,
}

/// An order to an engine.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineCommand {
    /// The order's id; a repeated order is obeyed once.
    pub id: String,
    /// The fencing number of who gives it.
    pub fencing: u64,
    /// The version to be at.
    pub version: u64,
}

#[derive(Debug)]
struct EngineState {
    cache: EngineCache,
    runs: IndexMap<String, Arc<EngineRun>>,
    faults: EngineFaults,
    stats: EngineStats,
    highest_fencing: u64,
    seen: Vec<String>,
}

/// What the handlers share.
#[derive(Debug)]
pub struct EngineStandIn {
    pub(crate) config: EngineConfig,
    slots: Semaphore,
    state: Mutex<EngineState>,
}

impl EngineStandIn {
    /// The faults for one stream, and whether it is one of those to be cut or silenced.
    pub(crate) fn take_stream_fault(&self) -> (EngineFaults, bool) {
        let mut state = self.lock();
        let faulty = state.faults.fault_count > 0;
        state.faults.fault_count = state.faults.fault_count.saturating_sub(1);
        (state.faults.clone(), faulty)
    }

    fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(|it| it.into_inner())
    }

    /// Switches faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.lock().faults = faults;
    }

    /// What it did so far.
    pub fn stats(&self) -> EngineStats {
        let state = self.lock();
        let running = state.runs.values().filter(|it| !it.is_over()).count() as u64;
        EngineStats { running, leaving: state.faults.leaving, ..state.stats.clone() }
    }

    /// Headers and bodies of the last requests, as text.
    pub fn recorded_requests(&self) -> Vec<String> {
        self.lock().seen.clone()
    }

    /// Crashes: every stream is cut, the cache is lost, a new life begins.
    pub fn crash(&self) {
        if self.config.exit_on_crash {
            std::process::exit(70);
        }
        let mut state = self.lock();
        for (_, run) in state.runs.drain(..) {
            run.stop();
        }
        state.cache.clear();
        state.stats.crashes += 1;
        state.stats.incarnation += 1;
    }

    fn cancel(&self, id: &str) -> Response<Body> {
        let mut state = self.lock();
        if let Some(run) = state.runs.shift_remove(id) {
            let ran = !run.is_over();
            run.stop();
            state.stats.cancelled += u64::from(ran);
        }
        done()
    }

    fn remember(&self, headers: &HeaderMap, body: &str) {
        let mut state = self.lock();
        if state.seen.len() == KEPT_REQUESTS {
            state.seen.remove(0);
        }
        state.seen.push(format!("{headers:?} {body}"));
    }
}

/// A running engine.
pub type EngineServer = HyperServer<EngineStandIn>;

/// Starts an engine.
pub fn start(address: SocketAddr, config: EngineConfig) -> Result<EngineServer, StartError> {
    let stats = EngineStats {
        incarnation: rand::random::<u32>().into(),
        version: 1,
        ..EngineStats::default()
    };
    let state = EngineState {
        cache: EngineCache::new(config.cache_pieces, config.piece_bytes),
        runs: IndexMap::new(),
        faults: EngineFaults::default(),
        stats,
        highest_fencing: 0,
        seen: Vec::new(),
    };
    let slots = Semaphore::new(config.slots);
    let context = Arc::new(EngineStandIn { config, slots, state: Mutex::new(state) });
    hyper_server::start(address, context, MAX_BODY_BYTES, handle)
}

async fn handle(engine: Arc<EngineStandIn>, parts: Parts, body: Bytes) -> Response<Body> {
    match (parts.method.as_str(), parts.uri.path()) {
        ("POST", "/v1/chat/completions") => run_request(engine, &parts, &body, true).await,
        ("POST", "/v1/completions") => run_request(engine, &parts, &body, false).await,
        ("POST", "/v1/cancel") => with_body(&body, |it: CancelBody| engine.cancel(&it.request_id)),
        ("POST", "/v1/orders") => with_body(&body, |it| take_order(&engine, it)),
        ("GET", "/v1/state") => json_answer(StatusCode::OK, &engine.stats()),
        ("POST", "/stand-in/faults") => with_body(&body, |it| {
            engine.set_faults(it);
            done()
        }),
        ("POST", "/stand-in/crash") => {
            engine.crash();
            done()
        }
        _ => error_answer(StatusCode::NOT_FOUND, "no such path"),
    }
}

/// Names a generation.
#[derive(Deserialize)]
struct CancelBody {
    request_id: String,
}

fn take_order(engine: &Arc<EngineStandIn>, order: EngineCommand) -> Response<Body> {
    let mut state = engine.lock();
    if engine.config.checks_fencing && order.fencing < state.highest_fencing {
        return error_answer(StatusCode::CONFLICT, "overtaken by a greater fencing number");
    }
    state.highest_fencing = state.highest_fencing.max(order.fencing);
    if state.stats.version != order.version && !state.stats.loading {
        state.stats.loading = true;
        state.stats.commands += 1;
        tokio::spawn(load(engine.clone(), order.version));
    }
    drop(state);
    json_answer(StatusCode::ACCEPTED, &engine.stats())
}

async fn load(engine: Arc<EngineStandIn>, version: u64) {
    tokio::time::sleep(engine.config.load_time).await;
    let mut state = engine.lock();
    if state.faults.stuck_load {
        return;
    }
    state.stats.version = version;
    state.stats.loading = false;
    state.cache.clear();
}

fn with_body<T: DeserializeOwned>(
    body: &[u8],
    answer: impl FnOnce(T) -> Response<Body>,
) -> Response<Body> {
    match serde_json::from_slice(body) {
        Ok(it) => answer(it),
        Err(error) => error_answer(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}

fn done() -> Response<Body> {
    json_answer(StatusCode::OK, &serde_json::json!({}))
}

fn error_answer(status: StatusCode, message: &str) -> Response<Body> {
    json_answer(status, &serde_json::json!({ "error": { "message": message } }))
}

/// The fields of a request that the engine reads.
#[derive(Debug, Deserialize)]
struct ModelBody {
    #[serde(default)]
    model: String,
    #[serde(default)]
    messages: Vec<ModelMessage>,
    #[serde(default)]
    prompt: String,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    cache_salt: String,
}

#[derive(Debug, Deserialize)]
struct ModelMessage {
    role: String,
    content: String,
}

impl ModelBody {
    fn text(&self, chat: bool) -> String {
        if !chat {
            return self.prompt.clone();
        }
        self.messages.iter().map(|it| format!("{}\n{}\n", it.role, it.content)).collect()
    }
}

async fn run_request(
    engine: Arc<EngineStandIn>,
    parts: &Parts,
    body: &[u8],
    chat: bool,
) -> Response<Body> {
    let headers = &parts.headers;
    engine.remember(headers, &String::from_utf8_lossy(body));
    let asked: ModelBody = match serde_json::from_slice(body) {
        Ok(it) => it,
        Err(error) => return error_answer(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    let prompt = asked.text(chat);
    let faults = engine.lock().faults.clone();
    if faults.crash_on.as_ref().is_some_and(|it| prompt.contains(it)) {
        engine.crash();
        return faulty_body::broken_answer();
    }
    let id =
        header(headers, "x-request-id").unwrap_or_else(|| format!("{:x}", rand::random::<u64>()));
    let after = header(headers, "last-event-id").and_then(|it| it.parse::<u64>().ok());
    let version = engine.lock().stats.version;
    let bad = faults.bad_version.is_none_or(|it| it == version)
        && faults.bad_model.as_ref().is_none_or(|it| *it == asked.model)
        && faults.bad_above.is_none_or(|it| engine.stats().running > it);
    if let Some(status) = faults.fail_status.filter(|_| bad) {
        let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let mut answer = error_answer(status, "failed by a fault");
        label(&engine, answer.headers_mut(), &id);
        return answer;
    }
    if bad {
        tokio::time::sleep(Duration::from_millis(faults.delay_first_ms)).await;
    }
    let run = match after {
        Some(_) => match resume(&engine, &id, &faults) {
            Some(run) => run,
            None => return error_answer(StatusCode::NOT_FOUND, "nothing to resume"),
        },
        None => begin(&engine, &id, &asked, prompt.into_bytes(), version).await,
    };
    let (prompt_tokens, cached_tokens) = (run.prompt_tokens, run.cached_tokens);
    let mut answer = if asked.stream {
        stream_answer(&engine, run, &id, chat, after.unwrap_or(0))
    } else {
        whole_answer(&engine, &run, &id, chat).await
    };
    label(&engine, answer.headers_mut(), &id);
    let numbers = [("x-engine-prompt", prompt_tokens), ("x-engine-cached", cached_tokens)];
    for (name, value) in numbers {
        answer.headers_mut().insert(name, value.into());
    }
    answer
}

async fn begin(
    engine: &Arc<EngineStandIn>,
    id: &str,
    asked: &ModelBody,
    prompt: Vec<u8>,
    version: u64,
) -> Arc<EngineRun> {
    let scope = xxh3::xxh3_64_with_seed(asked.cache_salt.as_bytes(), version);
    let tokens = prompt.len().div_ceil(4) as u64;
    let run = {
        let mut state = engine.lock();
        let cached = state.cache.run(scope, &prompt) as u64 / 4;
        state.stats.requests += 1;
        state.stats.prompt_tokens += tokens;
        state.stats.cached_tokens += cached;
        let run = EngineRun::new(tokens, cached);
        state.runs.insert(id.into(), run.clone());
        run
    };
    let count = asked.max_tokens.unwrap_or(DEFAULT_TOKENS);
    tokio::spawn(generate(engine.clone(), run.clone(), prompt, version, count, id.into()));
    run
}

async fn generate(
    engine: Arc<EngineStandIn>,
    run: Arc<EngineRun>,
    prompt: Vec<u8>,
    version: u64,
    count: u64,
    id: String,
) {
    {
        let Ok(_slot) = engine.slots.acquire().await else { return };
        let fresh = (run.prompt_tokens - run.cached_tokens) as u32;
        tokio::time::sleep(engine.config.prefill_time_per_token * fresh).await;
        run.generate(&prompt, version, count, engine.config.token_interval).await;
    }
    tokio::time::sleep(ORPHAN_TIME).await;
    if run.readers() == 0 {
        engine.lock().runs.shift_remove(&id);
    }
}

fn resume(engine: &EngineStandIn, id: &str, faults: &EngineFaults) -> Option<Arc<EngineRun>> {
    let mut state = engine.lock();
    let run = state.runs.get(id).cloned().filter(|_| !faults.refuse_resume)?;
    state.stats.resumed += 1;
    Some(run)
}

fn label(engine: &EngineStandIn, headers: &mut HeaderMap, id: &str) {
    let running = engine.stats().running;
    let mut state = engine.lock();
    let crossed = state.faults.cross_answers > 0;
    state.faults.cross_answers = state.faults.cross_answers.saturating_sub(1);
    let id = if crossed { "another" } else { id };
    if let Ok(value) = HeaderValue::from_str(id) {
        headers.insert("x-request-id", value);
    }
    headers.insert("x-engine-incarnation", state.stats.incarnation.into());
    headers.insert("x-engine-version", state.stats.version.into());
    headers.insert("x-engine-running", running.into());
    if state.faults.leaving {
        headers.insert("x-engine-leaving", HeaderValue::from_static("true"));
    }
}

fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name).and_then(|it| it.to_str().ok()).map(String::from)
}

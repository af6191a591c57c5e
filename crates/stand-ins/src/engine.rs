//! A model engine: batches requests, caches prefixes in bounded memory, streams, resumes and
//! cancels generations, executes commands to change version, and fails on request.

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

use crate::engine_answer::{complete_answer, stream_answer};
use crate::engine_cache::EngineCache;
use crate::engine_run::{EngineGeneration, UNREAD_RETENTION};
use crate::faulty_body;

pub use crate::engine_run::token_text;

/// Largest request body accepted.
const MAX_BODY_BYTES: usize = 64 << 20;
/// Tokens generated when a request has no `max_tokens`.
const DEFAULT_MAX_TOKENS: u64 = 16;
/// Latest requests whose headers and bodies are kept for tests.
const MAX_RECORDED_REQUESTS: usize = 512;

/// Model, speed and capacity of one engine.
#[derive(Debug, Clone)]
pub struct EngineConfig {
    /// The model name in its answers.
    pub model: String,
    /// Time to compute one uncached prompt token.
    pub prefill_time_per_token: Duration,
    /// Time between generated tokens.
    pub token_interval: Duration,
    /// Requests run concurrently; further ones wait.
    pub slots: usize,
    /// Prompt pieces that the prefix cache holds.
    pub cache_pieces: usize,
    /// Bytes of a prompt that make one piece.
    pub piece_bytes: usize,
    /// Time to load a version.
    pub load_time: Duration,
    /// Refuses commands with a stale fencing number.
    pub checks_fencing: bool,
    /// A crash ends the process instead of only resetting the engine's state.
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

/// Faults to inject, as posted to `/stand-in/faults`; the default has none.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Answers requests with this error status.
    pub fail_status: Option<u16>,
    /// Limits `fail_status` and `delay_first_ms` to this version.
    pub bad_version: Option<u64>,
    /// Limits `fail_status` and `delay_first_ms` to requests for this model name.
    pub bad_model: Option<String>,
    /// Limits `fail_status` and `delay_first_ms` to times when more generations than this run.
    pub bad_above: Option<u64>,
    /// Delay before a request is started or resumed, in milliseconds.
    pub delay_first_ms: u64,
    /// Resets the connection of a stream after this token; see `fault_count`.
    pub cut_after: Option<u64>,
    /// How many of the next streams `cut_after` and `silent_after` apply to.
    pub fault_count: u32,
    /// Stops sending on a stream after this token and keeps it open; see `fault_count`.
    pub silent_after: Option<u64>,
    /// Sends each token twice.
    pub duplicate: bool,
    /// Sends token 3 before token 2.
    pub swap: bool,
    /// Refuses to resume generations with status 404.
    pub refuse_resume: bool,
    /// How many of the next answers carry the id of another request.
    pub cross_answers: u32,
    /// Crashes on prompts that contain this text.
    pub crash_on: Option<String>,
    /// Announces in its answers that it is leaving.
    pub leaving: bool,
    /// Starts to load versions and never finishes.
    pub stuck_load: bool,
}

/// Counts since the start, and the current state, as `/v1/state` answers them.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct EngineStats {
    /// Generations started.
    pub requests: u64,
    /// Prompt tokens of all generations; four bytes of a prompt count as one token.
    pub prompt_tokens: u64,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u64,
    /// Generations cancelled while they ran.
    pub cancelled: u64,
    /// Resumptions of generations.
    pub resumed: u64,
    /// Crashes so far.
    pub crashes: u64,
    /// Generations running now, or waiting for a slot.
    pub running: u64,
    /// Commands that started to load a version.
    #[serde(rename = "orders")]
    pub commands: u64,
    /// The incarnation: random at the start, one more after each crash.
    pub incarnation: u64,
    /// The loaded version.
    pub version: u64,
    /// Whether another version is being loaded.
    pub loading: bool,
    /// Whether it is leaving: it finishes its generations and wants no new ones.
    pub leaving: bool,
}

/// A command to an engine to run a version.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineCommand {
    /// The id of the command; not evaluated, since a repeated command has no further effect.
    pub id: String,
    /// The fencing number of the sender's lease.
    pub fencing: u64,
    /// The version to run.
    pub version: u64,
}

#[derive(Debug)]
struct EngineState {
    cache: EngineCache,
    generations: IndexMap<String, Arc<EngineGeneration>>,
    faults: EngineFaults,
    stats: EngineStats,
    highest_fencing: u64,
    recorded_requests: Vec<String>,
}

/// The configuration and state of one engine, shared by its handlers.
#[derive(Debug)]
pub struct EngineStandIn {
    pub(crate) config: EngineConfig,
    slots: Semaphore,
    state: Mutex<EngineState>,
}

impl EngineStandIn {
    /// The faults for a new stream, and whether `cut_after` and `silent_after` apply to it; counts
    /// `fault_count` down.
    pub(crate) fn take_stream_fault(&self) -> (EngineFaults, bool) {
        let mut state = self.lock();
        let applies = state.faults.fault_count > 0;
        state.faults.fault_count = state.faults.fault_count.saturating_sub(1);
        (state.faults.clone(), applies)
    }

    fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(|it| it.into_inner())
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.lock().faults = faults;
    }

    /// Counts since the start, and the current state.
    pub fn stats(&self) -> EngineStats {
        let state = self.lock();
        let running = state.generations.values().filter(|it| !it.has_ended()).count() as u64;
        EngineStats { running, leaving: state.faults.leaving, ..state.stats.clone() }
    }

    /// Headers and bodies of the latest requests as text, oldest first.
    pub fn recorded_requests(&self) -> Vec<String> {
        self.lock().recorded_requests.clone()
    }

    /// Crashes: all generations stop and their streams are reset, the cache is emptied and a new
    /// incarnation starts; with `exit_on_crash`, the process exits with status 70 instead.
    pub fn crash(&self) {
        if self.config.exit_on_crash {
            std::process::exit(70);
        }
        let mut state = self.lock();
        for (_, generation) in state.generations.drain(..) {
            generation.stop();
        }
        state.cache.clear();
        state.stats.crashes += 1;
        state.stats.incarnation += 1;
    }

    fn cancel(&self, id: &str) -> Response<Body> {
        let mut state = self.lock();
        if let Some(generation) = state.generations.shift_remove(id) {
            let was_running = !generation.has_ended();
            generation.stop();
            state.stats.cancelled += u64::from(was_running);
        }
        empty_answer()
    }

    fn record_request(&self, headers: &HeaderMap, body: &str) {
        let mut state = self.lock();
        if state.recorded_requests.len() == MAX_RECORDED_REQUESTS {
            state.recorded_requests.remove(0);
        }
        state.recorded_requests.push(format!("{headers:?} {body}"));
    }
}

/// A running engine; its context gives access to the faults and counts.
pub type EngineServer = HyperServer<EngineStandIn>;

/// Starts an engine at version 1, without faults.
pub fn start(address: SocketAddr, config: EngineConfig) -> Result<EngineServer, StartError> {
    let stats = EngineStats {
        incarnation: rand::random::<u32>().into(),
        version: 1,
        ..EngineStats::default()
    };
    let state = EngineState {
        cache: EngineCache::new(config.cache_pieces, config.piece_bytes),
        generations: IndexMap::new(),
        faults: EngineFaults::default(),
        stats,
        highest_fencing: 0,
        recorded_requests: Vec::new(),
    };
    let slots = Semaphore::new(config.slots);
    let context = Arc::new(EngineStandIn { config, slots, state: Mutex::new(state) });
    hyper_server::start(address, context, MAX_BODY_BYTES, handle)
}

async fn handle(engine: Arc<EngineStandIn>, parts: Parts, body: Bytes) -> Response<Body> {
    match (parts.method.as_str(), parts.uri.path()) {
        ("POST", "/v1/chat/completions") => run_request(engine, &parts, &body, true).await,
        ("POST", "/v1/completions") => run_request(engine, &parts, &body, false).await,
        ("POST", "/v1/cancel") => {
            parse_and_answer(&body, |it: CancelBody| engine.cancel(&it.request_id))
        }
        ("POST", "/v1/orders") => parse_and_answer(&body, |it| accept_command(&engine, it)),
        ("GET", "/v1/state") => json_answer(StatusCode::OK, &engine.stats()),
        ("POST", "/stand-in/faults") => parse_and_answer(&body, |it| {
            engine.set_faults(it);
            empty_answer()
        }),
        ("POST", "/stand-in/crash") => {
            engine.crash();
            empty_answer()
        }
        _ => error_answer(StatusCode::NOT_FOUND, "this engine has no such method and path"),
    }
}

/// The body of a cancellation: the id of the request to stop.
#[derive(Deserialize)]
struct CancelBody {
    request_id: String,
}

/// Starts to load the version, unless loaded or loading; refuses a stale fencing number (409).
fn accept_command(engine: &Arc<EngineStandIn>, command: EngineCommand) -> Response<Body> {
    let mut state = engine.lock();
    if engine.config.checks_fencing && command.fencing < state.highest_fencing {
        return error_answer(
            StatusCode::CONFLICT,
            "stale fencing number: a command with a greater one was accepted",
        );
    }
    state.highest_fencing = state.highest_fencing.max(command.fencing);
    if state.stats.version != command.version && !state.stats.loading {
        state.stats.loading = true;
        state.stats.commands += 1;
        tokio::spawn(load_version(engine.clone(), command.version));
    }
    drop(state);
    json_answer(StatusCode::ACCEPTED, &engine.stats())
}

/// Loads a version: empties the cache and reports the version after `load_time`.
async fn load_version(engine: Arc<EngineStandIn>, version: u64) {
    tokio::time::sleep(engine.config.load_time).await;
    let mut state = engine.lock();
    if state.faults.stuck_load {
        return;
    }
    state.stats.version = version;
    state.stats.loading = false;
    state.cache.clear();
}

/// Answers a JSON body, or refuses it with status 400.
fn parse_and_answer<T: DeserializeOwned>(
    body: &[u8],
    answer: impl FnOnce(T) -> Response<Body>,
) -> Response<Body> {
    match serde_json::from_slice(body) {
        Ok(it) => answer(it),
        Err(error) => error_answer(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}

fn empty_answer() -> Response<Body> {
    json_answer(StatusCode::OK, &serde_json::json!({}))
}

fn error_answer(status: StatusCode, message: &str) -> Response<Body> {
    json_answer(status, &serde_json::json!({ "error": { "message": message } }))
}

/// The fields of a chat or completion request that the engine reads.
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
    /// The prompt; for a chat, each message as its role and content, a line each.
    fn prompt_text(&self, chat: bool) -> String {
        if !chat {
            return self.prompt.clone();
        }
        self.messages.iter().map(|it| format!("{}\n{}\n", it.role, it.content)).collect()
    }
}

/// Answers a chat or completion request: starts or resumes a generation, or fails by a fault.
async fn run_request(
    engine: Arc<EngineStandIn>,
    parts: &Parts,
    body: &[u8],
    chat: bool,
) -> Response<Body> {
    let headers = &parts.headers;
    engine.record_request(headers, &String::from_utf8_lossy(body));
    let request: ModelBody = match serde_json::from_slice(body) {
        Ok(it) => it,
        Err(error) => return error_answer(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    let prompt = request.prompt_text(chat);
    let faults = engine.lock().faults.clone();
    if faults.crash_on.as_ref().is_some_and(|it| prompt.contains(it)) {
        engine.crash();
        return faulty_body::truncated_answer();
    }
    let id = header_text(headers, "x-request-id")
        .unwrap_or_else(|| format!("{:x}", rand::random::<u64>()));
    let after = header_text(headers, "last-event-id").and_then(|it| it.parse::<u64>().ok());
    let version = engine.lock().stats.version;
    let faulty = faults.bad_version.is_none_or(|it| it == version)
        && faults.bad_model.as_ref().is_none_or(|it| *it == request.model)
        && faults.bad_above.is_none_or(|it| engine.stats().running > it);
    if let Some(status) = faults.fail_status.filter(|_| faulty) {
        let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let mut answer = error_answer(status, "failed by an injected fault");
        set_headers(&engine, answer.headers_mut(), &id);
        return answer;
    }
    if faulty {
        tokio::time::sleep(Duration::from_millis(faults.delay_first_ms)).await;
    }
    let generation = match after {
        Some(_) => match resume(&engine, &id, &faults) {
            Some(it) => it,
            None => return error_answer(StatusCode::NOT_FOUND, "no generation to resume"),
        },
        None => start_generation(&engine, &id, &request, prompt.into_bytes(), version).await,
    };
    let (prompt_tokens, cached_tokens) = (generation.prompt_tokens, generation.cached_tokens);
    let mut answer = if request.stream {
        stream_answer(&engine, generation, &id, chat, after.unwrap_or(0))
    } else {
        complete_answer(&engine, &generation, &id, chat).await
    };
    set_headers(&engine, answer.headers_mut(), &id);
    let token_counts = [("x-engine-prompt", prompt_tokens), ("x-engine-cached", cached_tokens)];
    for (name, value) in token_counts {
        answer.headers_mut().insert(name, value.into());
    }
    answer
}

/// Starts a generation that goes on without its reader, and keeps it under the request's id.
async fn start_generation(
    engine: &Arc<EngineStandIn>,
    id: &str,
    request: &ModelBody,
    prompt: Vec<u8>,
    version: u64,
) -> Arc<EngineGeneration> {
    let scope = xxh3::xxh3_64_with_seed(request.cache_salt.as_bytes(), version);
    let prompt_tokens = prompt.len().div_ceil(4) as u64;
    let generation = {
        let mut state = engine.lock();
        let cached_tokens = state.cache.lookup_and_insert(scope, &prompt) as u64 / 4;
        state.stats.requests += 1;
        state.stats.prompt_tokens += prompt_tokens;
        state.stats.cached_tokens += cached_tokens;
        let generation = EngineGeneration::new(prompt_tokens, cached_tokens);
        state.generations.insert(id.into(), generation.clone());
        generation
    };
    let count = request.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    tokio::spawn(generate(engine.clone(), generation.clone(), prompt, version, count, id.into()));
    generation
}

/// Runs a generation once a slot is free; drops it `UNREAD_RETENTION` after its end if unread then.
async fn generate(
    engine: Arc<EngineStandIn>,
    generation: Arc<EngineGeneration>,
    prompt: Vec<u8>,
    version: u64,
    count: u64,
    id: String,
) {
    {
        let Ok(_slot) = engine.slots.acquire().await else { return };
        let uncached_tokens = (generation.prompt_tokens - generation.cached_tokens) as u32;
        tokio::time::sleep(engine.config.prefill_time_per_token * uncached_tokens).await;
        generation.generate(&prompt, version, count, engine.config.token_interval).await;
    }
    tokio::time::sleep(UNREAD_RETENTION).await;
    if generation.reader_count() == 0 {
        engine.lock().generations.shift_remove(&id);
    }
}

fn resume(
    engine: &EngineStandIn,
    id: &str,
    faults: &EngineFaults,
) -> Option<Arc<EngineGeneration>> {
    let mut state = engine.lock();
    let generation = state.generations.get(id).cloned().filter(|_| !faults.refuse_resume)?;
    state.stats.resumed += 1;
    Some(generation)
}

/// Adds the request's id and the engine's state to the headers of an answer.
fn set_headers(engine: &EngineStandIn, headers: &mut HeaderMap, id: &str) {
    let running = engine.stats().running;
    let mut state = engine.lock();
    let wrong_id = state.faults.cross_answers > 0;
    state.faults.cross_answers = state.faults.cross_answers.saturating_sub(1);
    let id = if wrong_id { "another" } else { id };
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

fn header_text(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name).and_then(|it| it.to_str().ok()).map(String::from)
}

//! Costs of the daemon: the time that it adds to a request, compared with calls straight to the
//! engine in the same run; requests for each second of CPU time; CPU time and memory when idle;
//! memory of an open stream.

use std::fs;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hdrhistogram::Histogram;
use http::Request;
use http_body_util::BodyExt;
use serde_json::{Value, json};
use web::client::Connection;

use crate::fleet::{ChoreError, Fleet, FleetConfig};
use crate::measure::report::ResultTable;

/// Requests timed on each path: straight to the engine, and through the daemon.
const REQUESTS_PER_PATH: usize = 2_000;
/// Streams held open at once.
const OPEN_STREAMS: usize = 1_000;
/// Concurrent senders when the daemon is under load.
const SENDERS: usize = 32;
/// How long the idle daemon is observed.
const IDLE_PERIOD: Duration = Duration::from_secs(10);
/// Ticks in a second (`USER_HZ`), in which the kernel reports a process's CPU time.
const CLOCK_TICKS_PER_S: f64 = 100.0;
const CHAT_PATH: &str = "/v1/chat/completions";

/// Starts a fleet of one daemon and one engine in release mode, and measures it.
pub(crate) async fn run() -> Result<(), ChoreError> {
    let config = FleetConfig {
        daemons: 1,
        engines: 1,
        engine_slots: 2_000,
        release_build: true,
        use_relays: false,
        extra_settings: Vec::new(),
    };
    let fleet = Fleet::start(config).await?;
    let key = fleet.add_customer("measured", 1_000_000_000).await?;
    let body = chat_request(1);
    // Requests alternate between the two paths. The first 100 warm the engine's cache for both and
    // are not recorded.
    let mut direct_times = Histogram::<u64>::new(3)?;
    let mut daemon_times = Histogram::<u64>::new(3)?;
    for request_number in 0..REQUESTS_PER_PATH + 100 {
        let direct_time = time_first_byte(&fleet, fleet.engine_addresses[0], &key, &body).await?;
        let daemon_time = time_first_byte(&fleet, fleet.caller_addresses[0], &key, &body).await?;
        if request_number >= 100 {
            direct_times.record(direct_time.as_micros() as u64)?;
            daemon_times.record(daemon_time.as_micros() as u64)?;
        }
    }
    let mut table = ResultTable::new("overhead", &["value"]);
    for (name, quantile) in [("p50", 0.5), ("p99", 0.99)] {
        let (engine_us, daemon_us) = (
            direct_times.value_at_quantile(quantile) as f64,
            daemon_times.value_at_quantile(quantile) as f64,
        );
        table.push_row(format!("first byte from the engine, {name}, us"), vec![engine_us]);
        table.push_row(format!("first byte through the daemon, {name}, us"), vec![daemon_us]);
        table.push_row(format!("added, {name}, us"), vec![daemon_us - engine_us]);
    }
    let rate_per_core = requests_per_core(&fleet, &key).await?;
    table.push_row("requests a second on one core", vec![rate_per_core]);
    let idle_share = idle_cpu_share(&fleet).await?;
    table.push_row("idle, percent of one core", vec![100.0 * idle_share]);
    table.push_row("idle, MB resident", vec![resident_kb(fleet.daemon_pids[0])? / 1_024.0]);
    let memory_kb = stream_memory_kb(&fleet, &key).await?;
    table.push_row("KB an open stream costs", vec![memory_kb]);
    table.print_and_save()
}

/// A streaming chat request with a prompt of 16 KB.
fn chat_request(max_tokens: u64) -> Value {
    json!({
        "model": "desk", "stream": true, "max_tokens": max_tokens,
        "messages": [{ "role": "user", "content": "terms and prices; ".repeat(900) }],
    })
}

/// Time until the first frame of the answer's body; the rest of the stream is read too.
async fn time_first_byte(
    fleet: &Fleet,
    address: std::net::SocketAddr,
    key: &str,
    body: &Value,
) -> Result<Duration, ChoreError> {
    let started_at = Instant::now();
    let mut stream = open_stream(fleet, address, key, body).await?;
    stream.frame().await.ok_or("the stream ended without a frame")??;
    let time = started_at.elapsed();
    while stream.frame().await.is_some() {}
    Ok(time)
}

/// Sends a request and returns the body of its answer.
async fn open_stream(
    fleet: &Fleet,
    address: std::net::SocketAddr,
    key: &str,
    body: &Value,
) -> Result<hyper::body::Incoming, ChoreError> {
    let request = Request::post(format!("http://{address}{CHAT_PATH}"))
        .header("authorization", format!("Bearer {key}"))
        .header("content-type", "application/json")
        .body(Bytes::from(body.to_string()).into())?;
    let time = Duration::from_secs(30);
    let answer = fleet.client.send_request(request, Connection::Pooled, time).await?;
    if !answer.status().is_success() {
        return Err(format!("the request was answered with status {}", answer.status()).into());
    }
    Ok(answer.into_body())
}

/// Requests for each second of CPU time that the daemon uses, with many senders.
async fn requests_per_core(fleet: &Fleet, key: &str) -> Result<f64, ChoreError> {
    let body = chat_request(1);
    let before = cpu_time_s(fleet.daemon_pids[0])?;
    let senders = (0..SENDERS).map(|_| async {
        for _ in 0..REQUESTS_PER_PATH / SENDERS * 2 {
            time_first_byte(fleet, fleet.caller_addresses[0], key, &body).await?;
        }
        Ok::<(), ChoreError>(())
    });
    futures::future::try_join_all(senders).await?;
    let cpu_s = cpu_time_s(fleet.daemon_pids[0])? - before;
    Ok((REQUESTS_PER_PATH / SENDERS * 2 * SENDERS) as f64 / cpu_s)
}

/// The fraction of one core that the idle daemon uses.
async fn idle_cpu_share(fleet: &Fleet) -> Result<f64, ChoreError> {
    let before = cpu_time_s(fleet.daemon_pids[0])?;
    tokio::time::sleep(IDLE_PERIOD).await;
    let cpu_s = cpu_time_s(fleet.daemon_pids[0])? - before;
    Ok(cpu_s / IDLE_PERIOD.as_secs_f64())
}

/// Resident memory, in KB, by which the daemon grows for each open stream.
async fn stream_memory_kb(fleet: &Fleet, key: &str) -> Result<f64, ChoreError> {
    let before = resident_kb(fleet.daemon_pids[0])?;
    let body = json!({
        "model": "desk", "stream": true, "max_tokens": 20_000,
        "messages": [{ "role": "user", "content": "long" }],
    });
    let mut streams = Vec::new();
    for _ in 0..OPEN_STREAMS {
        streams.push(open_stream(fleet, fleet.caller_addresses[0], key, &body).await?);
    }
    let after = resident_kb(fleet.daemon_pids[0])?;
    drop(streams);
    Ok((after - before) / OPEN_STREAMS as f64)
}

/// User and system time of a process, in seconds.
fn cpu_time_s(pid: u32) -> Result<f64, ChoreError> {
    let text = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let rest = text.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let ticks: f64 = fields[11].parse::<f64>()? + fields[12].parse::<f64>()?;
    Ok(ticks / CLOCK_TICKS_PER_S)
}

/// Resident memory of a process, in KB.
fn resident_kb(pid: u32) -> Result<f64, ChoreError> {
    let text = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = text
        .lines()
        .find_map(|it| it.strip_prefix("VmRSS:"))
        .ok_or("the process has no VmRSS line: it has ended")?;
    Ok(line.split_whitespace().next().unwrap_or("0").parse()?)
}

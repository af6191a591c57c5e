//! What the daemon adds to a request, against the engine called directly, in the same run.

use std::fs;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hdrhistogram::Histogram;
use http::Request;
use http_body_util::BodyExt;
use serde_json::{Value, json};
use web::client::Connection;

use crate::fleet::{ChoreError, Fleet, FleetConfig};
use crate::measure::report::FigureTable;

/// Requests timed on each way.
const REQUESTS: usize = 2_000;
/// Streams held open at once.
const OPEN_STREAMS: usize = 1_000;
/// Senders at once when the daemon is loaded.
const SENDERS: usize = 32;
/// How long the daemon is watched idle.
const IDLE_TIME: Duration = Duration::from_secs(10);
/// Clock ticks in a second, as the kernel counts a process's time.
const TICKS_PER_S: f64 = 100.0;
const CHAT: &str = "/v1/chat/completions";

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
    let body = prompt(1);
    // The engine's cache is warm on both ways, and the ways take turns.
    let mut direct = Histogram::<u64>::new(3)?;
    let mut through = Histogram::<u64>::new(3)?;
    for number in 0..REQUESTS + 100 {
        let from_engine = first_byte(&fleet, fleet.engine_addresses[0], &key, &body).await?;
        let from_daemon = first_byte(&fleet, fleet.caller_addresses[0], &key, &body).await?;
        if number >= 100 {
            direct.record(from_engine.as_micros() as u64)?;
            through.record(from_daemon.as_micros() as u64)?;
        }
    }
    let mut table = FigureTable::new("overhead", &["value"]);
    for (name, share) in [("p50", 0.5), ("p99", 0.99)] {
        let (engine, daemon) =
            (direct.value_at_quantile(share) as f64, through.value_at_quantile(share) as f64);
        table.push(format!("first byte from the engine, {name}, us"), vec![engine]);
        table.push(format!("first byte through the daemon, {name}, us"), vec![daemon]);
        table.push(format!("added, {name}, us"), vec![daemon - engine]);
    }
    let per_core = requests_per_core(&fleet, &key).await?;
    table.push("requests a second on one core", vec![per_core]);
    let idle = idle_share(&fleet).await?;
    table.push("idle, percent of one core", vec![100.0 * idle]);
    table.push("idle, MB resident", vec![resident_kb(fleet.daemon_pids[0])? / 1_024.0]);
    let memory = stream_memory(&fleet, &key).await?;
    table.push("KB an open stream costs", vec![memory]);
    table.finish()
}

/// A prompt of 16 KB.
fn prompt(max_tokens: u64) -> Value {
    json!({
        "model": "desk", "stream": true, "max_tokens": max_tokens,
        "messages": [{ "role": "user", "content": "terms and prices; ".repeat(900) }],
    })
}

async fn first_byte(
    fleet: &Fleet,
    address: std::net::SocketAddr,
    key: &str,
    body: &Value,
) -> Result<Duration, ChoreError> {
    let began = Instant::now();
    let mut stream = open(fleet, address, key, body).await?;
    stream.frame().await.ok_or("the stream is empty")??;
    let time = began.elapsed();
    while stream.frame().await.is_some() {}
    Ok(time)
}

async fn open(
    fleet: &Fleet,
    address: std::net::SocketAddr,
    key: &str,
    body: &Value,
) -> Result<hyper::body::Incoming, ChoreError> {
    let request = Request::post(format!("http://{address}{CHAT}"))
        .header("authorization", format!("Bearer {key}"))
        .header("content-type", "application/json")
        .body(Bytes::from(body.to_string()).into())?;
    let time = Duration::from_secs(30);
    let answer = fleet.client.send_request(request, Connection::Pooled, time).await?;
    if !answer.status().is_success() {
        return Err(format!("refused: {}", answer.status()).into());
    }
    Ok(answer.into_body())
}

/// Requests a second for each core the daemon uses, with many senders.
async fn requests_per_core(fleet: &Fleet, key: &str) -> Result<f64, ChoreError> {
    let body = prompt(1);
    let before = processor_s(fleet.daemon_pids[0])?;
    let sends = (0..SENDERS).map(|_| async {
        for _ in 0..REQUESTS / SENDERS * 2 {
            first_byte(fleet, fleet.caller_addresses[0], key, &body).await?;
        }
        Ok::<(), ChoreError>(())
    });
    futures::future::try_join_all(sends).await?;
    let used = processor_s(fleet.daemon_pids[0])? - before;
    Ok((REQUESTS / SENDERS * 2 * SENDERS) as f64 / used)
}

/// The share of one core that an idle daemon uses.
async fn idle_share(fleet: &Fleet) -> Result<f64, ChoreError> {
    let before = processor_s(fleet.daemon_pids[0])?;
    tokio::time::sleep(IDLE_TIME).await;
    let used = processor_s(fleet.daemon_pids[0])? - before;
    Ok(used / IDLE_TIME.as_secs_f64())
}

/// Memory that a thousand open streams cost the daemon, for each.
async fn stream_memory(fleet: &Fleet, key: &str) -> Result<f64, ChoreError> {
    let before = resident_kb(fleet.daemon_pids[0])?;
    let body = json!({
        "model": "desk", "stream": true, "max_tokens": 20_000,
        "messages": [{ "role": "user", "content": "long" }],
    });
    let mut streams = Vec::new();
    for _ in 0..OPEN_STREAMS {
        streams.push(open(fleet, fleet.caller_addresses[0], key, &body).await?);
    }
    let after = resident_kb(fleet.daemon_pids[0])?;
    drop(streams);
    Ok((after - before) / OPEN_STREAMS as f64)
}

fn processor_s(id: u32) -> Result<f64, ChoreError> {
    let text = fs::read_to_string(format!("/proc/{id}/stat"))?;
    let rest = text.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let ticks: f64 = fields[11].parse::<f64>()? + fields[12].parse::<f64>()?;
    Ok(ticks / TICKS_PER_S)
}

fn resident_kb(id: u32) -> Result<f64, ChoreError> {
    let text = fs::read_to_string(format!("/proc/{id}/status"))?;
    let line = text.lines().find_map(|it| it.strip_prefix("VmRSS:")).ok_or("no such process")?;
    Ok(line.split_whitespace().next().unwrap_or("0").parse()?)
}

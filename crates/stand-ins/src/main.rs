//! Runs one stand-in as a process of its own.

use std::net::SocketAddr;
use std::process;
use std::time::Duration;

use argh::FromArgs;
use stand_ins::engine::EngineConfig;
use stand_ins::{engine, kv_store, platform, service};
use web::logs::LineFormat;

/// Stand-ins for the platform, engines and services that kingcupshift meets.
#[derive(FromArgs)]
struct StandInArgs {
    #[argh(subcommand)]
    part: StandInPart,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum StandInPart {
    Platform(PlatformArgs),
    Engine(EngineArgs),
    Service(ServiceArgs),
    KvStore(KvStoreArgs),
}

/// List, table, objects and weights.
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
struct PlatformArgs {
    /// where to listen
    #[argh(option)]
    listen: SocketAddr,
    /// milliseconds after which a silent instance leaves the list
    #[argh(option, default = "15_000")]
    list_lag_ms: u64,
}

/// A model engine.
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
struct EngineArgs {
    /// where to listen
    #[argh(option)]
    listen: SocketAddr,
    /// the model's name
    #[argh(option, default = "String::from(\"desk\")")]
    model: String,
    /// microseconds to compute one prompt token
    #[argh(option, default = "2")]
    prefill_us: u64,
    /// milliseconds between tokens
    #[argh(option, default = "2")]
    pace_ms: u64,
    /// requests run at once
    #[argh(option, default = "16")]
    slots: usize,
    /// pieces the cache holds
    #[argh(option, default = "64")]
    cache_pieces: usize,
    /// orders with an old fencing number are obeyed too
    #[argh(switch)]
    ignores_fencing: bool,
}

/// A plain service that counts what it ran.
#[derive(FromArgs)]
#[argh(subcommand, name = "service")]
struct ServiceArgs {
    /// where to listen
    #[argh(option)]
    listen: SocketAddr,
    /// its name in answers
    #[argh(option, default = "String::from(\"orders\")")]
    name: String,
}

/// A store of kept KV cache.
#[derive(FromArgs)]
#[argh(subcommand, name = "kv-store")]
struct KvStoreArgs {
    /// where to listen
    #[argh(option)]
    listen: SocketAddr,
    /// milliseconds before each answer
    #[argh(option, default = "1")]
    delay_ms: u64,
}

#[tokio::main]
async fn main() {
    let args: StandInArgs = argh::from_env();
    let _logs = web::logs::start(LineFormat::Text, "warn");
    if let Err(error) = run(args.part).await {
        eprintln!("stand-ins: {error}");
        process::exit(1);
    }
}

async fn run(part: StandInPart) -> Result<(), Box<dyn std::error::Error>> {
    match part {
        StandInPart::Platform(it) => {
            platform::start(it.listen, Duration::from_millis(it.list_lag_ms))?.await?;
        }
        StandInPart::Engine(it) => {
            let config = EngineConfig {
                model: it.model,
                prefill_time_per_token: Duration::from_micros(it.prefill_us),
                token_interval: Duration::from_millis(it.pace_ms),
                slots: it.slots,
                cache_pieces: it.cache_pieces,
                checks_fencing: !it.ignores_fencing,
                exit_on_crash: true,
                ..EngineConfig::default()
            };
            engine::start(it.listen, config)?.wait().await;
        }
        StandInPart::Service(it) => service::start(it.listen, &it.name)?.wait().await,
        StandInPart::KvStore(it) => {
            kv_store::start(it.listen, Duration::from_millis(it.delay_ms))?.await?;
        }
    }
    Ok(())
}

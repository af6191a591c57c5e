//! Runs one stand-in as a separate process.

use std::net::SocketAddr;
use std::process;
use std::time::Duration;

use argh::FromArgs;
use stand_ins::engine::EngineConfig;
use stand_ins::{engine, kv_store, platform, service};
use web::logs::LineFormat;

/// Stand-ins for the platform, engines and services that kingcupshift depends on.
#[derive(FromArgs)]
struct StandInArgs {
    #[argh(subcommand)]
    command: StandInCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum StandInCommand {
    Platform(PlatformArgs),
    Engine(EngineArgs),
    Service(ServiceArgs),
    KvStore(KvStoreArgs),
}

/// The platform: instance list, table, object store and weight store.
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
struct PlatformArgs {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// milliseconds after its last announcement until an instance is removed from the list
    #[argh(option, default = "15_000")]
    list_lag_ms: u64,
}

/// A model engine.
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
struct EngineArgs {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// the model name in its answers
    #[argh(option, default = "String::from(\"desk\")")]
    model: String,
    /// microseconds to compute one uncached prompt token
    #[argh(option, default = "2")]
    prefill_us: u64,
    /// milliseconds between generated tokens
    #[argh(option, default = "2")]
    pace_ms: u64,
    /// requests run concurrently
    #[argh(option, default = "16")]
    slots: usize,
    /// prompt pieces that the prefix cache holds
    #[argh(option, default = "64")]
    cache_pieces: usize,
    /// also execute commands with a stale fencing number
    #[argh(switch)]
    ignores_fencing: bool,
}

/// A plain service that records the calls it executed.
#[derive(FromArgs)]
#[argh(subcommand, name = "service")]
struct ServiceArgs {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// the name in its answers
    #[argh(option, default = "String::from(\"orders\")")]
    name: String,
}

/// A store of KV-cache blobs.
#[derive(FromArgs)]
#[argh(subcommand, name = "kv-store")]
struct KvStoreArgs {
    /// address to listen on
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
    if let Err(error) = run(args.command).await {
        eprintln!("stand-ins: {error}");
        process::exit(1);
    }
}

async fn run(command: StandInCommand) -> Result<(), Box<dyn std::error::Error>> {
    match command {
        StandInCommand::Platform(it) => {
            platform::start(it.listen, Duration::from_millis(it.list_lag_ms))?.await?;
        }
        StandInCommand::Engine(it) => {
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
        StandInCommand::Service(it) => service::start(it.listen, &it.name)?.wait().await,
        StandInCommand::KvStore(it) => {
            kv_store::start(it.listen, Duration::from_millis(it.delay_ms))?.await?;
        }
    }
    Ok(())
}

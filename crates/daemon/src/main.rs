//! `kingcupshiftd`: reads the settings and runs the daemon.

use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::process;

use argh::{FromArgValue, FromArgs};
use platform::{PlatformDialect, PlatformSettings, PlatformStore, SettingsFile};
use settings::{Layer, LogFormat, Settings, SettingsErrors};
use tokio::runtime;
use web::logs::LineFormat;

/// The kingcupshift router. Commands: `serve` callers until SIGTERM or SIGINT, `check` the settings
/// and report every error, or print the `effective` settings without secrets. Settings come from a
/// base file, then from overlays in the given order, then from single values.
#[derive(FromArgs)]
struct DaemonArgs {
    /// serve, check or effective
    #[argh(positional)]
    command: DaemonCommand,
    /// the base settings file; omit it on a platform that provides the settings itself
    #[argh(option)]
    base: Option<PathBuf>,
    /// an overlay file for a site or an instance; may be repeated, later ones take precedence
    #[argh(option)]
    overlay: Vec<PathBuf>,
    /// a single value, such as instance.id=a1; may be repeated
    #[argh(option)]
    set: Vec<String>,
}

#[derive(FromArgValue)]
/// What the process does with the settings.
enum DaemonCommand {
    Serve,
    Check,
    Effective,
}

fn main() {
    let args: DaemonArgs = argh::from_env();
    let Some(base) = &args.base else {
        return run_on_platform(&args.command);
    };
    let settings = load_settings(base, &args.overlay, &args.set).unwrap_or_else(|error| {
        eprintln!("kingcupshiftd: invalid settings\n{error}");
        process::exit(2);
    });
    match args.command {
        DaemonCommand::Serve => serve_with(settings),
        DaemonCommand::Check => println!("the settings are valid"),
        DaemonCommand::Effective => print_effective(settings),
    }
}

fn load_settings(
    base: &Path,
    overlays: &[PathBuf],
    values: &[String],
) -> Result<Settings, SettingsErrors> {
    let mut layers = vec![Layer::read(base)?];
    for path in overlays {
        layers.push(Layer::read(path)?);
    }
    for text in values {
        layers.push(Layer::from_assignment(text)?);
    }
    settings::load(&layers)
}

/// Serves with these settings until the daemon is told to stop.
fn serve_with(settings: Settings) {
    let format = match settings.log.format {
        LogFormat::Text => LineFormat::Text,
        LogFormat::Json => LineFormat::Json,
    };
    let logs = web::logs::start(format, &settings.log.filter);
    let runtime = tokio::runtime::Runtime::new();
    let res = match runtime {
        Ok(it) => it.block_on(daemon::serve(settings)).map_err(|error| error.to_string()),
        Err(error) => Err(error.to_string()),
    };
    if let Err(error) = res {
        eprintln!("kingcupshiftd: {error}");
        drop(logs);
        process::exit(1);
    }
}

/// Runs the command with the settings file that the platform provides for this process.
fn run_on_platform(command: &DaemonCommand) {
    let Some(path) = platform::settings_path() else {
        eprintln!(
            "kingcupshiftd: option --base is missing, and no platform provides a settings file"
        );
        process::exit(2);
    };
    let settings = platform::load_settings(&path).unwrap_or_else(|error| {
        eprintln!("kingcupshiftd: {error}");
        process::exit(2);
    });
    match command {
        DaemonCommand::Serve => serve_on_platform(settings, SettingsFile { path }),
        DaemonCommand::Check => println!("the settings are valid"),
        DaemonCommand::Effective => println!("{settings:#?}"),
    }
}

fn serve_on_platform(settings: PlatformSettings, file: SettingsFile) {
    let logs = web::logs::start(LineFormat::Json, "info");
    let worker_threads = settings.gateway.worker_threads;
    let runtime = if worker_threads > 1 {
        runtime::Builder::new_multi_thread().worker_threads(worker_threads).enable_all().build()
    } else {
        runtime::Builder::new_current_thread().enable_all().build()
    };
    let store = PlatformStore::new(settings.store);
    let res = runtime
        .and_then(|it| it.block_on(gateway::serve(settings.gateway, file, PlatformDialect, store)));
    if let Err(error) = res {
        tracing::error!("daemon: did not start: {error}");
        drop(logs);
        process::exit(1);
    }
}

/// Prints the settings in force as JSON, with each secret hidden.
fn print_effective(settings: Settings) {
    let mut value = serde_json::to_value(&settings).unwrap_or_default();
    if let Some(secrets) = value["secrets"].as_object_mut() {
        for secret in secrets.values_mut() {
            *secret = "(hidden)".into();
        }
    }
    let text = serde_json::to_string_pretty(&value).unwrap_or_default();
    // A closed pipe is no error: `head` closes it early.
    let _ = writeln!(io::stdout(), "{text}");
}

//! `kingcupshiftd`: the daemon.

use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::process;

use argh::{FromArgValue, FromArgs};
use platform::{PlatformDialect, PlatformSettings, PlatformStore, SettingsFile};
use settings::{Layer, LogFormat, Settings, SettingsErrors};
use tokio::runtime;
use web::logs::LogForm;

/// The kingcupshift router. Commands: `serve` callers until told to stop, `check` the settings and
/// say what is wrong, or print the `effective` settings, secrets left out. Settings are a base
/// file, overlays laid over it in order, and single values.
#[derive(FromArgs)]
struct DaemonArgs {
    /// serve, check or effective
    #[argh(positional)]
    command: DaemonCommand,
    /// the base settings file; left out on a platform that lays out the settings itself
    #[argh(option)]
    base: Option<PathBuf>,
    /// an overlay of this site or instance; may be given more than once, the last wins
    #[argh(option)]
    overlay: Vec<PathBuf>,
    /// one value, such as instance.id=a1; may be given more than once
    #[argh(option)]
    set: Vec<String>,
}

#[derive(FromArgValue)]
enum DaemonCommand {
    Serve,
    Check,
    Effective,
}

fn main() {
    let args: DaemonArgs = argh::from_env();
    let Some(base) = &args.base else {
        return on_platform(&args.command);
    };
    let settings = load(base, &args.overlay, &args.set).unwrap_or_else(|error| {
        eprintln!("kingcupshiftd: the settings cannot be used\n{error}");
        process::exit(2);
    });
    match args.command {
        DaemonCommand::Serve => run(settings),
        DaemonCommand::Check => println!("the settings are valid"),
        DaemonCommand::Effective => print_effective(settings),
    }
}

fn load(base: &Path, overlays: &[PathBuf], set: &[String]) -> Result<Settings, SettingsErrors> {
    let mut layers = vec![Layer::read(base)?];
    for path in overlays {
        layers.push(Layer::read(path)?);
    }
    for text in set {
        layers.push(Layer::from_assignment(text)?);
    }
    settings::load(&layers)
}

fn run(settings: Settings) {
    let form = match settings.log.format {
        LogFormat::Text => LogForm::Text,
        LogFormat::Json => LogForm::Json,
    };
    let logs = web::logs::start(form, &settings.log.filter);
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

/// Runs with the settings that the platform lays out for the process.
fn on_platform(command: &DaemonCommand) {
    let Some(path) = platform::settings_path() else {
        eprintln!("kingcupshiftd: --base is missing, and no platform lays out settings");
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
    let logs = web::logs::start(LogForm::Json, "info");
    let workers = settings.gateway.worker_threads;
    let runtime = if workers > 1 {
        runtime::Builder::new_multi_thread().worker_threads(workers).enable_all().build()
    } else {
        runtime::Builder::new_current_thread().enable_all().build()
    };
    let store = PlatformStore::new(settings.store);
    let served = runtime
        .and_then(|it| it.block_on(gateway::serve(settings.gateway, file, PlatformDialect, store)));
    if let Err(error) = served {
        tracing::error!("daemon: {error}");
        drop(logs);
        process::exit(1);
    }
}

fn print_effective(settings: Settings) {
    let mut value = serde_json::to_value(&settings).unwrap_or_default();
    if let Some(secrets) = value["secrets"].as_object_mut() {
        for secret in secrets.values_mut() {
            *secret = "(hidden)".into();
        }
    }
    let text = serde_json::to_string_pretty(&value).unwrap_or_default();
    // A reader that has gone, as `head` does, is no fault.
    let _ = writeln!(io::stdout(), "{text}");
}

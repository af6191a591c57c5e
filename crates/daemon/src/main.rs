//! `kingcupshiftd`: the daemon.

use std::path::{Path, PathBuf};
use std::process;

use argh::FromArgs;
use settings::{Layer, LogFormat, Settings, SettingsError};
use web::logs::LogForm;

/// The kingcupshift router. Settings are a base file, overlays laid over it in order, and single
/// values; `check` shows what is wrong with them, `effective` what comes of them.
#[derive(FromArgs)]
struct DaemonArgs {
    #[argh(subcommand)]
    command: DaemonCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum DaemonCommand {
    Serve(ServeArgs),
    Check(CheckArgs),
    Effective(EffectiveArgs),
}

/// Serve callers until told to stop.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct ServeArgs {
    /// the base settings file
    #[argh(option)]
    base: PathBuf,
    /// an overlay of this site or instance; may be given more than once, the last wins
    #[argh(option)]
    overlay: Vec<PathBuf>,
    /// one value, such as instance.id=a1; may be given more than once
    #[argh(option)]
    set: Vec<String>,
}

/// Check the settings and say what is wrong.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct CheckArgs {
    /// the base settings file
    #[argh(option)]
    base: PathBuf,
    /// an overlay; may be given more than once, the last wins
    #[argh(option)]
    overlay: Vec<PathBuf>,
    /// one value, such as instance.id=a1; may be given more than once
    #[argh(option)]
    set: Vec<String>,
}

/// Print the settings in force, secrets left out.
#[derive(FromArgs)]
#[argh(subcommand, name = "effective")]
struct EffectiveArgs {
    /// the base settings file
    #[argh(option)]
    base: PathBuf,
    /// an overlay; may be given more than once, the last wins
    #[argh(option)]
    overlay: Vec<PathBuf>,
    /// one value, such as instance.id=a1; may be given more than once
    #[argh(option)]
    set: Vec<String>,
}

fn main() {
    let args: DaemonArgs = argh::from_env();
    let res = match args.command {
        DaemonCommand::Serve(it) => load(&it.base, &it.overlay, &it.set).map(run),
        DaemonCommand::Check(it) => {
            load(&it.base, &it.overlay, &it.set).map(|_| println!("the settings are valid"))
        }
        DaemonCommand::Effective(it) => load(&it.base, &it.overlay, &it.set).map(print_effective),
    };
    if let Err(error) = res {
        eprintln!("kingcupshiftd: {error}");
        process::exit(2);
    }
}

fn load(base: &Path, overlays: &[PathBuf], set: &[String]) -> Result<Settings, SettingsError> {
    let mut layers = vec![Layer::read(base)?];
    for path in overlays {
        layers.push(Layer::read(path)?);
    }
    for text in set {
        layers.push(Layer::single(text)?);
    }
    settings::load(&layers)
}

fn run(settings: Settings) {
    let form = match settings.log.format {
        LogFormat::Text => LogForm::Text,
        LogFormat::Json => LogForm::Json,
    };
    web::logs::start(form, &settings.log.filter);
    let runtime = tokio::runtime::Runtime::new();
    let res = match runtime {
        Ok(it) => it.block_on(daemon::serve(settings)).map_err(|error| error.to_string()),
        Err(error) => Err(error.to_string()),
    };
    if let Err(error) = res {
        eprintln!("kingcupshiftd: {error}");
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
    println!("{}", serde_json::to_string_pretty(&value).unwrap_or_default());
}

//! Logs: text or JSON lines on standard output.

use tracing_subscriber::EnvFilter;

/// The form of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogForm {
    /// For people.
    Text,
    /// One JSON object a line.
    Json,
}

/// Starts logging for the process; a second call changes nothing. `filter` is a tracing filter
/// such as `info` or `daemon=debug`; a malformed one falls back to `info`.
pub fn start(form: LogForm, filter: &str) {
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt()
        .with_ansi(false)
        .with_env_filter(filter)
        .with_writer(std::io::stdout);
    // The only error is that logging was started before.
    let _ = match form {
        LogForm::Text => builder.try_init(),
        LogForm::Json => builder.json().try_init(),
    };
}

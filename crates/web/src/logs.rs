//! Logging: text or JSON lines on standard output, written by a dedicated thread.
//!
//! No request waits for a reader of standard output that stops reading: lines are queued up to a
//! limit, and those that do not fit are dropped and counted.

use std::io;
use std::sync::OnceLock;

use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Lines that may be queued for standard output.
const MAX_QUEUED_LINES: usize = 8_192;

/// The counter of dropped lines. Set by the first call of [`start`], as a process has one log.
static DROPPED_LINES: OnceLock<ErrorCounter> = OnceLock::new();

/// The format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LineFormat {
    /// Text for human readers.
    Text,
    /// One JSON object per line.
    Json,
}

/// Keeps the writer thread alive; dropping it writes the queued lines.
#[must_use]
#[derive(Debug)]
pub struct LogGuard {
    _worker: WorkerGuard,
}

/// Starts logging for the process; further calls have no effect. `filter` is a tracing filter
/// such as `info` or `daemon=debug`; a malformed one falls back to `info`.
pub fn start(format: LineFormat, filter: &str) -> LogGuard {
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let (writer, worker) = NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_QUEUED_LINES)
        .lossy(true)
        .finish(io::stdout());
    let _ = DROPPED_LINES.set(writer.error_counter());
    let builder =
        tracing_subscriber::fmt().with_ansi(false).with_env_filter(filter).with_writer(writer);
    // Fails only if logging has been started before.
    let _ = match format {
        LineFormat::Text => builder.try_init(),
        LineFormat::Json => builder.json().try_init(),
    };
    LogGuard { _worker: worker }
}

/// Number of lines dropped since the start because standard output was not read fast enough.
pub fn dropped_lines() -> usize {
    DROPPED_LINES.get().map_or(0, ErrorCounter::dropped_lines)
}

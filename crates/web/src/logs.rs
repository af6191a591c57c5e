//! Logs: text or JSON lines on standard output, written by a thread of their own.
//!
//! A reader of standard output that stops reading holds no request up: lines wait in a bounded
//! queue, and those that do not fit are dropped.

use std::io;
use std::sync::OnceLock;

use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Lines that may wait for standard output.
const WAITING_LINES: usize = 8_192;

/// Counts the lines dropped; the log of a process is started once.
static DROPPED_LINES: OnceLock<ErrorCounter> = OnceLock::new();

/// The form of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LineFormat {
    /// For people.
    Text,
    /// One JSON object a line.
    Json,
}

/// Keeps the writer alive; dropping it writes what still waits.
#[must_use]
#[derive(Debug)]
pub struct LogGuard {
    _worker: WorkerGuard,
}

/// Starts logging for the process; a second call changes nothing. `filter` is a tracing filter
/// such as `info` or `daemon=debug`; a malformed one falls back to `info`.
pub fn start(form: LineFormat, filter: &str) -> LogGuard {
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let (writer, worker) = NonBlockingBuilder::default()
        .buffered_lines_limit(WAITING_LINES)
        .lossy(true)
        .finish(io::stdout());
    let _ = DROPPED_LINES.set(writer.error_counter());
    let builder =
        tracing_subscriber::fmt().with_ansi(false).with_env_filter(filter).with_writer(writer);
    // The only error is that logging was started before.
    let _ = match form {
        LineFormat::Text => builder.try_init(),
        LineFormat::Json => builder.json().try_init(),
    };
    LogGuard { _worker: worker }
}

/// Lines dropped since the start because standard output was not read fast enough.
pub fn dropped_lines() -> usize {
    DROPPED_LINES.get().map_or(0, ErrorCounter::dropped_lines)
}

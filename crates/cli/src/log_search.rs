//! Collects the log entries of one request from the log files of several daemons.

use std::io::{self, BufRead};

use serde_json::{Map, Value, json};

/// A parsed log line that names the request.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct LogEntry {
    /// When it was written, in RFC 3339 and UTC, so that text order is time order.
    pub(crate) time: String,
    /// The daemon that wrote it, or the name of the log file without its extension.
    pub(crate) origin: String,
    /// The log message.
    pub(crate) message: String,
    /// The other fields of the entry; `request` is removed when the search ends.
    pub(crate) fields: Map<String, Value>,
}

impl LogEntry {
    /// The record to print, with the fields as an object or as `name=value` text.
    pub(crate) fn to_record(&self, details_as_text: bool) -> Value {
        let format_details = || {
            let format_field = |(name, value): (&String, &Value)| match value {
                Value::String(text) => format!("{name}={text}"),
                other => format!("{name}={other}"),
            };
            Value::String(self.fields.iter().map(format_field).collect::<Vec<String>>().join(" "))
        };
        let details =
            if details_as_text { format_details() } else { Value::Object(self.fields.clone()) };
        json!({
            "time": self.time, "daemon": self.origin, "what": self.message, "details": details,
        })
    }
}

/// The result of searching log files for one request.
#[derive(Debug, Default)]
pub(crate) struct LogSearch {
    /// The entries of the request, in the order in which they were read.
    pub(crate) entries: Vec<LogEntry>,
    /// Number of lines read, empty ones left out.
    pub(crate) lines_read: usize,
    /// Number of lines that are not in the format of a daemon's log.
    pub(crate) lines_unparsed: usize,
}

impl LogSearch {
    /// Adds the entries of a log that name `request`. `origin` is used for lines without the name
    /// of a daemon before the JSON.
    ///
    /// # Errors
    ///
    /// The IO error if the log cannot be read to its end.
    pub(crate) fn add_log(
        &mut self,
        log: impl BufRead,
        origin: &str,
        request: &str,
    ) -> io::Result<()> {
        for line in log.split(b'\n') {
            let line = line?;
            let line = String::from_utf8_lossy(&line);
            if line.trim().is_empty() {
                continue;
            }
            self.lines_read += 1;
            let Some(entry) = parse_entry(&line, origin) else {
                self.lines_unparsed += 1;
                continue;
            };
            if entry.fields.get("request").and_then(Value::as_str) == Some(request) {
                self.entries.push(entry);
            }
        }
        Ok(())
    }

    /// The entries in time order, without their `request` field.
    pub(crate) fn into_sorted_entries(mut self) -> Vec<LogEntry> {
        self.entries.sort_by(|left, right| left.time.cmp(&right.time));
        for entry in &mut self.entries {
            entry.fields.remove("request");
        }
        self.entries
    }
}

/// Parses a JSON log line. A log collector may have put words before the JSON; the last of them is
/// taken as the name of the daemon.
fn parse_entry(line: &str, origin: &str) -> Option<LogEntry> {
    let (prefix, json) = line.split_at(line.find('{')?);
    let mut entry: Value = serde_json::from_str(json).ok()?;
    let time = entry["timestamp"].as_str()?.to_owned();
    let Value::Object(mut fields) = entry["fields"].take() else { return None };
    let message = fields.remove("message")?.as_str()?.to_owned();
    let origin = prefix.split_whitespace().last().unwrap_or(origin).to_owned();
    Some(LogEntry { time, origin, message, fields })
}

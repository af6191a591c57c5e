//! The story of one request from the log files of several daemons.

use std::io::{self, BufRead};

use serde_json::{Map, Value, json};

/// A line of a log that belongs to the story.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct StoryLine {
    /// When it was written, in RFC 3339; lines sort by it.
    pub(crate) time: String,
    /// The daemon or file it comes from.
    pub(crate) origin: String,
    /// What happened.
    pub(crate) message: String,
    /// What goes with it, but for the request's id.
    pub(crate) fields: Map<String, Value>,
}

impl StoryLine {
    /// For output: with the details as an object, or as words.
    pub(crate) fn record(&self, as_words: bool) -> Value {
        let words = || {
            let word = |(name, value): (&String, &Value)| match value {
                Value::String(text) => format!("{name}={text}"),
                other => format!("{name}={other}"),
            };
            Value::String(self.fields.iter().map(word).collect::<Vec<String>>().join(" "))
        };
        let details = if as_words { words() } else { Value::Object(self.fields.clone()) };
        json!({
            "time": self.time, "daemon": self.origin, "what": self.message, "details": details,
        })
    }
}

/// What was found in log files.
#[derive(Debug, Default)]
pub(crate) struct LogSearch {
    /// Lines that name the request.
    pub(crate) lines: Vec<StoryLine>,
    /// Lines read.
    pub(crate) read: usize,
    /// Lines that are not in the form of a daemon's log.
    pub(crate) foreign: usize,
}

impl LogSearch {
    /// Adds the lines of a log that name `request`. `origin` is used for lines that do not begin
    /// with the name of a daemon.
    ///
    /// # Errors
    ///
    /// What reading gave.
    pub(crate) fn add(&mut self, log: impl BufRead, origin: &str, request: &str) -> io::Result<()> {
        for line in log.split(b'\n') {
            let line = line?;
            let line = String::from_utf8_lossy(&line);
            if line.trim().is_empty() {
                continue;
            }
            self.read += 1;
            let Some(entry) = read_entry(&line, origin) else {
                self.foreign += 1;
                continue;
            };
            if entry.fields.get("request").and_then(Value::as_str) == Some(request) {
                self.lines.push(entry);
            }
        }
        Ok(())
    }

    /// The story in the order of time.
    pub(crate) fn story(mut self) -> Vec<StoryLine> {
        self.lines.sort_by(|left, right| left.time.cmp(&right.time));
        for line in &mut self.lines {
            line.fields.remove("request");
        }
        self.lines
    }
}

/// A JSON line, perhaps after words of a collector, the last of which names the daemon.
fn read_entry(line: &str, origin: &str) -> Option<StoryLine> {
    let (before, json) = line.split_at(line.find('{')?);
    let mut entry: Value = serde_json::from_str(json).ok()?;
    let time = entry["timestamp"].as_str()?.to_owned();
    let Value::Object(mut fields) = entry["fields"].take() else { return None };
    let message = fields.remove("message")?.as_str()?.to_owned();
    let origin = before.split_whitespace().last().unwrap_or(origin).to_owned();
    Some(StoryLine { time, origin, message, fields })
}

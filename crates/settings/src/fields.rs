//! The fields of the settings and their bounds.

use std::fmt;
use std::net::SocketAddr;
use std::str;
use std::time::Duration;

use ids::{FailureDomain, InstanceId};
use serde::{Deserialize, Serialize};

/// A length of time, in whole milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// As the standard type.
    pub fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}", self.0)
    }
}

impl str::FromStr for Millis {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Millis, std::num::ParseIntError> {
        text.parse().map(Millis)
    }
}

/// All settings of one daemon.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Who and where this daemon is.
    pub instance: InstanceSettings,
    /// Where the platform's services are.
    pub platform: PlatformSettings,
    /// Secrets shared with peers, operators and targets.
    pub secrets: SecretSettings,
    /// How peers talk.
    #[serde(default)]
    pub peers: PeerSettings,
    /// Sizes that are refused beyond.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Times that are not waited beyond.
    #[serde(default)]
    pub timeouts: TimeoutSettings,
    /// How model traffic is placed and queued.
    #[serde(default)]
    pub traffic: TrafficSettings,
    /// How logs are written.
    #[serde(default)]
    pub log: LogSettings,
}

/// Who and where this daemon is.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceSettings {
    /// Its id in the platform's list.
    pub id: InstanceId,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where operators reach it.
    pub admin: SocketAddr,
    /// Where peers reach it.
    pub peers: SocketAddr,
    /// Where it listens for peers, if not at that address itself.
    #[serde(default)]
    pub peers_listen: Option<SocketAddr>,
}

/// Where the platform's services are.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// The instance list.
    pub list: SocketAddr,
    /// The table service.
    pub table: SocketAddr,
    /// The object store.
    pub objects: SocketAddr,
    /// The weight store.
    pub weights: SocketAddr,
    /// The longest wait for one answer.
    #[serde(default = "platform_deadline")]
    pub deadline_ms: Millis,
    /// The time between two looks at the table's head rows.
    #[serde(default = "platform_poll")]
    pub poll_ms: Millis,
}

fn platform_deadline() -> Millis {
    Millis(2_000)
}

fn platform_poll() -> Millis {
    Millis(2_000)
}

/// Secrets. Files holding them belong to the operators' secret store.
#[derive(Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SecretSettings {
    /// What peers prove to each other that they know.
    pub peer: Box<str>,
    /// What operators send as a bearer token.
    pub admin: Box<str>,
    /// What targets are sent as a bearer token.
    pub target: Box<str>,
}

impl fmt::Debug for SecretSettings {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str("SecretSettings(..)")
    }
}

/// How peers talk.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PeerSettings {
    /// The longest wait for a peer's answer.
    pub deadline_ms: Millis,
}

impl Default for PeerSettings {
    fn default() -> PeerSettings {
        PeerSettings { deadline_ms: Millis(250) }
    }
}

/// Sizes that are refused beyond.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSettings {
    /// Longest body of a request, in bytes.
    pub body_bytes: usize,
    /// Longest headers of a request together, in bytes.
    pub header_bytes: usize,
    /// Longest answer of a plain service, in bytes.
    pub answer_bytes: usize,
    /// Longest answer of a claimed call that is kept for resends, in bytes.
    pub kept_answer_bytes: usize,
    /// Requests that may wait before one pool.
    pub queue_length: usize,
    /// Tokens generated when a request does not say.
    pub default_max_tokens: u64,
}

impl Default for LimitSettings {
    fn default() -> LimitSettings {
        LimitSettings {
            body_bytes: 4 << 20,
            header_bytes: 16 << 10,
            answer_bytes: 16 << 20,
            kept_answer_bytes: 64 << 10,
            queue_length: 1_000,
            default_max_tokens: 256,
        }
    }
}

/// Times that are not waited beyond.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TimeoutSettings {
    /// For a caller to send its whole body.
    pub caller_body_ms: Millis,
    /// For a caller to read the next piece of a stream.
    pub caller_read_ms: Millis,
    /// For a model's answer to begin.
    pub first_token_ms: Millis,
    /// For the next piece of a stream.
    pub next_token_ms: Millis,
    /// For the whole answer of a plain service.
    pub service_ms: Millis,
    /// For room in a pool, counter traffic.
    pub counter_queue_ms: Millis,
    /// For room in a pool, traffic that may wait.
    pub deferrable_queue_ms: Millis,
    /// For tokens of the customer's rate.
    pub rate_wait_ms: Millis,
    /// For the table or most peers to confirm the catalog, before keyed requests are refused.
    pub catalog_grace_ms: Millis,
    /// For open requests to end when this daemon leaves.
    pub drain_ms: Millis,
}

impl Default for TimeoutSettings {
    fn default() -> TimeoutSettings {
        TimeoutSettings {
            caller_body_ms: Millis(10_000),
            caller_read_ms: Millis(30_000),
            first_token_ms: Millis(20_000),
            next_token_ms: Millis(5_000),
            service_ms: Millis(10_000),
            counter_queue_ms: Millis(10_000),
            deferrable_queue_ms: Millis(60_000),
            rate_wait_ms: Millis(1_000),
            catalog_grace_ms: Millis(4_500),
            drain_ms: Millis(30_000),
        }
    }
}

/// How model traffic is placed and queued.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TrafficSettings {
    /// Tokens in one cached piece.
    pub piece_tokens: u64,
    /// Microseconds to compute one prompt token that is not cached.
    pub prefill_us: f64,
    /// The time a typical request occupies a replica's slot.
    pub slot_ms: Millis,
}

impl Default for TrafficSettings {
    fn default() -> TrafficSettings {
        TrafficSettings { piece_tokens: 4_000, prefill_us: 100.0, slot_ms: Millis(1_000) }
    }
}

/// The form of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// For people.
    Text,
    /// One JSON object a line.
    Json,
}

/// How logs are written.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// The form of log lines.
    pub format: LogFormat,
    /// Which lines are written, such as `info` or `daemon=debug`.
    pub filter: Box<str>,
}

impl Default for LogSettings {
    fn default() -> LogSettings {
        LogSettings { format: LogFormat::Text, filter: "info".into() }
    }
}

/// The longest time that any field may be.
const MAX_TIMEOUT: Millis = Millis(3_600_000);
/// The shortest secret, in characters.
const MIN_SECRET_BYTES: usize = 16;

/// A field that is out of its bounds: path, what was found, what is allowed.
pub(crate) type BoundsError = (&'static str, String, &'static str);

impl Settings {
    /// All fields out of their bounds.
    pub(crate) fn out_of_bounds(&self) -> Vec<BoundsError> {
        let mut errors: Vec<BoundsError> = self.sizes_out_of_bounds().collect();
        errors.extend(self.times_out_of_bounds());
        if self.platform.poll_ms > Millis(2_500) && self.platform.poll_ms <= MAX_TIMEOUT {
            let found = self.platform.poll_ms.to_string();
            errors.push(("platform.poll_ms", found, "at most 2500: changes are due within 5 s"));
        }
        if self.traffic.piece_tokens == 0 {
            errors.push(("traffic.piece_tokens", "0".into(), "a number above 0"));
        }
        errors.extend(self.secrets_out_of_bounds());
        errors
    }

    fn sizes_out_of_bounds(&self) -> impl Iterator<Item = BoundsError> {
        let limits = &self.limits;
        let sizes = [
            ("limits.body_bytes", limits.body_bytes, 1 << 10, 256 << 20),
            ("limits.header_bytes", limits.header_bytes, 1 << 10, 256 << 10),
            ("limits.answer_bytes", limits.answer_bytes, 1 << 10, 256 << 20),
            ("limits.kept_answer_bytes", limits.kept_answer_bytes, 0, 256 << 10),
            ("limits.queue_length", limits.queue_length, 1, 1_000_000),
        ];
        let outside = sizes.into_iter().filter(|it| it.1 < it.2 || it.1 > it.3);
        outside.map(|(path, found, ..)| (path, found.to_string(), size_bounds(path)))
    }

    fn times_out_of_bounds(&self) -> impl Iterator<Item = BoundsError> {
        let timeouts = &self.timeouts;
        let times = [
            ("platform.deadline_ms", self.platform.deadline_ms),
            ("platform.poll_ms", self.platform.poll_ms),
            ("peers.deadline_ms", self.peers.deadline_ms),
            ("timeouts.caller_body_ms", timeouts.caller_body_ms),
            ("timeouts.caller_read_ms", timeouts.caller_read_ms),
            ("timeouts.first_token_ms", timeouts.first_token_ms),
            ("timeouts.next_token_ms", timeouts.next_token_ms),
            ("timeouts.service_ms", timeouts.service_ms),
            ("timeouts.catalog_grace_ms", timeouts.catalog_grace_ms),
            ("timeouts.counter_queue_ms", timeouts.counter_queue_ms),
            ("timeouts.deferrable_queue_ms", timeouts.deferrable_queue_ms),
        ];
        let outside = times.into_iter().filter(|it| it.1 == Millis(0) || it.1 > MAX_TIMEOUT);
        outside.map(|(path, found)| (path, found.to_string(), "1 to 3600000 milliseconds"))
    }

    fn secrets_out_of_bounds(&self) -> impl Iterator<Item = BoundsError> {
        let secrets = [
            ("secrets.peer", self.secrets.peer.len()),
            ("secrets.admin", self.secrets.admin.len()),
            ("secrets.target", self.secrets.target.len()),
        ];
        let short = secrets.into_iter().filter(|it| it.1 < MIN_SECRET_BYTES);
        short.map(|(path, len)| (path, format!("{len} characters"), "at least 16 characters"))
    }
}

fn size_bounds(path: &str) -> &'static str {
    match path {
        "limits.header_bytes" => "1024 to 262144 bytes",
        "limits.kept_answer_bytes" => "0 to 262144 bytes",
        "limits.queue_length" => "1 to 1000000 requests",
        _ => "1024 to 268435456 bytes",
    }
}

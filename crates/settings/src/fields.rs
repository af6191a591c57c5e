//! The fields of the settings, their defaults and their bounds. Field names are the names in the
//! settings files; `_ms` fields are in milliseconds.

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
    /// Converts to the standard type.
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

/// All settings of one daemon. Unknown fields are errors.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Identity and addresses of this daemon.
    pub instance: InstanceSettings,
    /// Addresses of the platform's services.
    pub platform: PlatformSettings,
    /// Secrets shared with peers, operators and targets.
    pub secrets: SecretSettings,
    /// Calls between peers.
    #[serde(default)]
    pub peers: PeerSettings,
    /// Size limits; requests beyond them are refused.
    #[serde(default)]
    pub limits: LimitSettings,
    /// The longest time to wait for each event.
    #[serde(default)]
    pub timeouts: TimeoutSettings,
    /// Placement and queueing of model requests.
    #[serde(default)]
    pub traffic: TrafficSettings,
    /// Log output.
    #[serde(default)]
    pub log: LogSettings,
}

/// Identity and addresses of this daemon.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceSettings {
    /// Its id in the platform's list.
    pub id: InstanceId,
    /// The failure domain it runs in.
    pub failure_domain: FailureDomain,
    /// Address for callers' requests.
    pub callers: SocketAddr,
    /// Address of the administration API.
    pub admin: SocketAddr,
    /// Address at which peers reach it.
    pub peers: SocketAddr,
    /// Address to listen on for peers, if it differs from `peers`.
    #[serde(default)]
    pub peers_listen: Option<SocketAddr>,
}

/// Addresses of the platform's services, and how they are called.
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
    /// Timeout of one call.
    #[serde(default = "platform_deadline")]
    pub deadline_ms: Millis,
    /// Time between two polls of the table's head rows; at most 2500, since changes take effect
    /// within 5 s.
    #[serde(default = "platform_poll")]
    pub poll_ms: Millis,
}

fn platform_deadline() -> Millis {
    Millis(2_000)
}

fn platform_poll() -> Millis {
    Millis(2_000)
}

/// Secrets. Files that contain them are to be kept in the operators' secret store.
#[derive(Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SecretSettings {
    /// Shared by all daemons; peers prove to each other that they have it.
    pub peer: Box<str>,
    /// Bearer token that operators send to the administration API.
    pub admin: Box<str>,
    /// Bearer token sent to targets.
    pub target: Box<str>,
}

impl fmt::Debug for SecretSettings {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str("SecretSettings(..)")
    }
}

/// Calls between peers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PeerSettings {
    /// Timeout of one call to a peer.
    pub deadline_ms: Millis,
}

impl Default for PeerSettings {
    fn default() -> PeerSettings {
        PeerSettings { deadline_ms: Millis(250) }
    }
}

/// Size limits; requests beyond them are refused.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSettings {
    /// Maximum body of a request, in bytes.
    pub body_bytes: usize,
    /// Maximum total size of a request's headers, in bytes.
    pub header_bytes: usize,
    /// Maximum answer of a plain service, in bytes.
    pub answer_bytes: usize,
    /// Maximum answer of a claimed call that is stored to be replayed on a retry, in bytes.
    pub kept_answer_bytes: usize,
    /// Requests that may wait in the queue of one pool.
    pub queue_length: usize,
    /// `max_tokens` of a request that does not set it.
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

/// The longest time to wait for each event.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TimeoutSettings {
    /// For a caller to send the whole body of its request.
    pub caller_body_ms: Millis,
    /// For a caller to accept the next part of a stream.
    pub caller_read_ms: Millis,
    /// For a model's answer to start.
    pub first_token_ms: Millis,
    /// For the next event of a stream.
    pub next_token_ms: Millis,
    /// For the whole answer of a plain service.
    pub service_ms: Millis,
    /// For a free slot in a pool, for interactive requests.
    pub counter_queue_ms: Millis,
    /// For a free slot in a pool, for deferrable requests.
    pub deferrable_queue_ms: Millis,
    /// For tokens of the customer's rate limit.
    pub rate_wait_ms: Millis,
    /// For the table or a majority of peers to confirm the catalog; after that, requests with a key
    /// are refused.
    pub catalog_grace_ms: Millis,
    /// For requests in flight to end when this daemon shuts down.
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

/// Placement and queueing of model requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TrafficSettings {
    /// Tokens per piece of a prompt, the unit in which cached prefixes are tracked; above 0.
    pub piece_tokens: u64,
    /// Expected prefill time of one uncached prompt token, in microseconds.
    pub prefill_us: f64,
    /// Expected time that a typical request occupies a slot of a replica.
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
    /// Human-readable text.
    Text,
    /// One JSON object per line.
    Json,
}

/// Log output.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// The form of log lines.
    pub format: LogFormat,
    /// Filter of log lines by level and module, such as `info` or `daemon=debug`.
    pub filter: Box<str>,
}

impl Default for LogSettings {
    fn default() -> LogSettings {
        LogSettings { format: LogFormat::Text, filter: "info".into() }
    }
}

/// Upper bound of the timeouts that are checked: one hour.
const MAX_TIMEOUT: Millis = Millis(3_600_000);
/// Minimum length of a secret, in bytes of UTF-8.
const MIN_SECRET_BYTES: usize = 16;

/// A field out of bounds: its path, the value found, the values allowed.
pub(crate) type BoundsError = (&'static str, String, &'static str);

impl Settings {
    /// Returns all fields that are out of bounds.
    pub(crate) fn check_bounds(&self) -> Vec<BoundsError> {
        let mut errors: Vec<BoundsError> = self.check_sizes().collect();
        errors.extend(self.check_times());
        if self.platform.poll_ms > Millis(2_500) && self.platform.poll_ms <= MAX_TIMEOUT {
            let found = self.platform.poll_ms.to_string();
            errors.push(("platform.poll_ms", found, "at most 2500: changes are due within 5 s"));
        }
        if self.traffic.piece_tokens == 0 {
            errors.push(("traffic.piece_tokens", "0".into(), "a number above 0"));
        }
        let prefill_us = self.traffic.prefill_us;
        if !(prefill_us.is_finite() && prefill_us >= 0.0) {
            errors.push(("traffic.prefill_us", prefill_us.to_string(), "0 or more"));
        }
        errors.extend(self.check_secrets());
        errors
    }

    fn check_sizes(&self) -> impl Iterator<Item = BoundsError> {
        let limits = &self.limits;
        let sizes = [
            ("limits.body_bytes", limits.body_bytes, 1 << 10, 256 << 20),
            ("limits.header_bytes", limits.header_bytes, 1 << 10, 256 << 10),
            ("limits.answer_bytes", limits.answer_bytes, 1 << 10, 256 << 20),
            ("limits.kept_answer_bytes", limits.kept_answer_bytes, 0, 256 << 10),
            ("limits.queue_length", limits.queue_length, 1, 1_000_000),
        ];
        let outside = sizes.into_iter().filter(|it| it.1 < it.2 || it.1 > it.3);
        outside.map(|(path, found, ..)| (path, found.to_string(), describe_size_bounds(path)))
    }

    fn check_times(&self) -> impl Iterator<Item = BoundsError> {
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
            ("timeouts.drain_ms", timeouts.drain_ms),
            ("traffic.slot_ms", self.traffic.slot_ms),
        ];
        let outside = times.into_iter().filter(|it| it.1 == Millis(0) || it.1 > MAX_TIMEOUT);
        let outside =
            outside.map(|(path, found)| (path, found.to_string(), "1 to 3600000 milliseconds"));
        // Without a wait, requests over the rate are refused at once.
        let wait = timeouts.rate_wait_ms;
        let long_wait = (wait > MAX_TIMEOUT)
            .then(|| ("timeouts.rate_wait_ms", wait.to_string(), "0 to 3600000 milliseconds"));
        outside.chain(long_wait)
    }

    fn check_secrets(&self) -> impl Iterator<Item = BoundsError> {
        let secrets = [
            ("secrets.peer", self.secrets.peer.len()),
            ("secrets.admin", self.secrets.admin.len()),
            ("secrets.target", self.secrets.target.len()),
        ];
        let short = secrets.into_iter().filter(|it| it.1 < MIN_SECRET_BYTES);
        short.map(|(path, len)| (path, format!("{len} bytes"), "at least 16 bytes"))
    }
}

/// The text of a size field's bounds; must agree with `check_sizes`.
fn describe_size_bounds(path: &str) -> &'static str {
    match path {
        "limits.header_bytes" => "1024 to 262144 bytes",
        "limits.kept_answer_bytes" => "0 to 262144 bytes",
        "limits.queue_length" => "1 to 1000000 requests",
        _ => "1024 to 268435456 bytes",
    }
}

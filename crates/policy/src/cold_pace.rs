//! Whether a replica is cold, until when, and at which rate all daemons together may send to it.
//!
//! What the replica states comes first. A process that was not known before, or one that stopped
//! answering, counts as cold until it has had the time to warm up, or until it states that it is not
//! cold in something that it wrote after the doubt arose: the list of replicas is behind by seconds.
//!
//! Load pattern: a replica or a whole zone that comes back idle under a burst, to which every daemon
//! would send at once.

use std::time::Duration;

use ids::RequestRate;
use serde::{Deserialize, Serialize};

/// What a cold replica's bucket holds at most. One token, and the part of the next one that fills
/// between the moment when a token is there and the next request for one.
pub const BUCKET_CAPACITY: f64 = 1.1;
/// How long a token may wait until its request is sent. Tokens of several seconds would otherwise be
/// used at once when a replica begins to accept connections.
const TOKEN_LIFETIME: Duration = Duration::from_millis(250);
/// The part of the rate that is granted, so that a second holds no more grants than whole tokens.
const GRANTED_RATIO: f64 = 0.98;
/// The least part that is granted: 0.9 of the rate is to be used while callers wait.
const MIN_GRANTED_RATIO: f64 = 0.92;
/// How long two daemons may both keep a replica's tokens: keepers are hubs, which hear each other
/// directly, and a daemon counts as silent after 1.5 s.
pub const HANDOVER_TIME: Duration = Duration::from_millis(1_500);
/// The part of its rate that a new keeper grants for that time.
pub const HANDOVER_RATIO: f64 = 0.9;
/// The grants that reach a replica in one second are those of this many seconds, as requests take up
/// to 60 ms from their token to the replica.
const GRANT_SPAN_S: f64 = 1.06;
/// The longest time by which a row that is read may be older than the reading: replicas write theirs
/// every 1.2 s, and a write may take as long.
const ROW_DELAY: Duration = Duration::from_millis(2_400);
/// After an answer a replica has to fail for this long to count as stopped again, so that daemons which
/// see different things of it do not notify each other without end.
const MIN_STOP_INTERVAL: Duration = Duration::from_millis(250);
/// A statement of the same content is passed on if it is later by this much.
const MIN_NEWS_INTERVAL: Duration = Duration::from_millis(100);
/// A stated time longer than this multiple of the configured one is invalid.
const MAX_STATED_FACTOR: f64 = 10.0;

/// A longer time in a configuration is an error.
const MAX_COLD_TIME: Duration = Duration::from_secs(86_400);

/// How long the replicas of a pool are cold after their start, and what they take meanwhile.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ColdRule {
    /// How long a replica is cold.
    pub time: Duration,
    /// The requests per second that a cold replica takes from all daemons together.
    pub per_s: f64,
}

/// How far the requests to a cold replica may exceed its rate in any one second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdAllowance {
    /// Multiple of the rate.
    pub overage: f64,
    /// Requests in addition to that multiple.
    pub slack: f64,
}

impl Default for ColdAllowance {
    fn default() -> ColdAllowance {
        ColdAllowance { overage: 1.5, slack: 5.0 }
    }
}

/// What a cold state was concluded from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColdSource {
    /// The replica stated it.
    Stated,
    /// Its process is new, or this daemon is, and it has stated nothing yet.
    Unstated,
    /// It does not answer.
    Stopped,
    /// It answers again after it had stopped.
    Recovered,
}

/// A cold replica: since when this is assumed, and until when.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdState {
    /// What it was concluded from.
    pub source: ColdSource,
    /// When that was found or stated.
    pub since: Duration,
    /// `None` until it answers again.
    pub until: Option<Duration>,
}

/// Something that was learned of a replica, in the form sent to peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ColdEvidence {
    /// It states that it stays cold for this long, in its row or an answer.
    Stated(Duration),
    /// It stopped answering.
    Stopped,
    /// It answered for the first time after it had stopped.
    Answered,
}

/// Why a replica may be cold although it does not state so.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ColdDoubt {
    None,
    /// This daemon has just started and trusts the next statement.
    DaemonStart(Duration),
    NewProcess(Duration),
    Stopped(Duration),
    Recovered(Duration),
}

/// What is known of one process of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdPace {
    doubt: ColdDoubt,
    stated_at: Option<Duration>,
    stated_until: Duration,
}

impl ColdRule {
    /// The rule in a configuration; `None` if either value is missing, zero or invalid.
    pub fn new(time_s: f64, per_s: f64) -> Option<ColdRule> {
        let time = Duration::try_from_secs_f64(time_s).ok()?;
        let is_valid_time = !time.is_zero() && time <= MAX_COLD_TIME;
        (per_s.is_finite() && per_s > 0.0 && is_valid_time).then_some(ColdRule { time, per_s })
    }

    /// The rate of the tokens: as high as two keepers may grant together within the allowance.
    pub fn grant_rate(&self, allowance: ColdAllowance) -> Option<RequestRate> {
        let most_in_second = self.per_s * allowance.overage + allowance.slack;
        // Both keepers together: two full buckets, and what fills meanwhile.
        let refilled = (most_in_second + 0.99 - 2.0 * BUCKET_CAPACITY).max(0.0);
        let strict = refilled / (GRANT_SPAN_S * (1.0 + HANDOVER_RATIO));
        let per_s = (self.per_s * GRANTED_RATIO).min(strict).max(self.per_s * MIN_GRANTED_RATIO);
        RequestRate::new(per_s).ok()
    }

    /// The time that a replica states, in milliseconds; `None` if it is invalid.
    pub fn parse_stated(&self, left_ms: f64) -> Option<Duration> {
        let left = Duration::try_from_secs_f64(left_ms / 1_000.0).ok()?;
        (left <= self.time.mul_f64(MAX_STATED_FACTOR)).then_some(left)
    }
}

/// Whether a token that was taken at this time still covers a request.
pub fn is_token_valid(now: Duration, taken_at: Option<Duration>) -> bool {
    taken_at.is_some_and(|it| now <= it + TOKEN_LIFETIME)
}

impl ColdPace {
    /// Of a replica that was there when this daemon started.
    pub fn at_daemon_start(now: Duration) -> ColdPace {
        ColdPace::doubted(ColdDoubt::DaemonStart(now))
    }

    /// Of a process that this daemon sees for the first time.
    pub fn new_process(now: Duration) -> ColdPace {
        ColdPace::doubted(ColdDoubt::NewProcess(now))
    }

    fn doubted(doubt: ColdDoubt) -> ColdPace {
        ColdPace { doubt, stated_at: None, stated_until: Duration::ZERO }
    }

    /// Whether and until when the replica counts as cold.
    pub fn state(&self, now: Duration, rule: ColdRule) -> Option<ColdState> {
        let cold = |source, since, until| Some(ColdState { source, since, until });
        let doubt = match self.doubt {
            ColdDoubt::None => None,
            ColdDoubt::DaemonStart(at) | ColdDoubt::NewProcess(at) => {
                cold(ColdSource::Unstated, at, Some(at + rule.time))
            }
            ColdDoubt::Recovered(at) => cold(ColdSource::Recovered, at, Some(at + rule.time)),
            ColdDoubt::Stopped(at) => cold(ColdSource::Stopped, at, None),
        };
        let stated_at = self.stated_at.unwrap_or_default();
        let stated = cold(ColdSource::Stated, stated_at, Some(self.stated_until));
        let is_current = |it: &ColdState| it.until.is_none_or(|it| now < it);
        stated.filter(is_current).or(doubt.filter(is_current))
    }

    /// Records what was learned at a time on this daemon's clock; returns whether peers are to hear
    /// of it.
    pub fn observe(&mut self, at: Duration, evidence: ColdEvidence) -> bool {
        match (evidence, self.doubt) {
            (ColdEvidence::Stated(left), _) => self.observe_stated(at, left, ROW_DELAY),
            (ColdEvidence::Stopped, ColdDoubt::Stopped(_)) => false,
            (ColdEvidence::Stopped, ColdDoubt::Recovered(since))
                if at < since + MIN_STOP_INTERVAL =>
            {
                false
            }
            (ColdEvidence::Stopped, _) => {
                self.doubt = ColdDoubt::Stopped(at);
                true
            }
            (ColdEvidence::Answered, ColdDoubt::Stopped(since)) if at >= since => {
                self.doubt = ColdDoubt::Recovered(at);
                true
            }
            (ColdEvidence::Answered, _) => false,
        }
    }

    /// Records what the process itself says in an answer, which is as of now.
    pub fn observe_answer(&mut self, now: Duration, left: Duration) -> bool {
        self.observe_stated(now, left, Duration::ZERO)
    }

    fn observe_stated(&mut self, at: Duration, left: Duration, delay: Duration) -> bool {
        if self.stated_at.is_some_and(|it| at < it + MIN_NEWS_INTERVAL) {
            return false;
        }
        let was_settled = self.is_settled(at);
        let is_written_after = |since: Duration| at >= since + delay;
        let clears = match self.doubt {
            ColdDoubt::None | ColdDoubt::DaemonStart(_) => true,
            ColdDoubt::NewProcess(since) => !left.is_zero() || is_written_after(since),
            ColdDoubt::Recovered(since) => is_written_after(since),
            // It may restart before it answers again.
            ColdDoubt::Stopped(_) => false,
        };
        self.stated_at = Some(at);
        self.stated_until = at + left;
        if clears {
            self.doubt = ColdDoubt::None;
        }
        !was_settled || !self.is_settled(at)
    }

    /// Whether the replica has stated that it is not cold, and nothing speaks against it.
    pub fn is_settled(&self, now: Duration) -> bool {
        self.doubt == ColdDoubt::None && self.stated_until <= now
    }

    /// What a daemon that knows nothing of the replica is to be told, with the time of each.
    pub fn evidence(&self) -> impl Iterator<Item = (Duration, ColdEvidence)> {
        let stated = self
            .stated_at
            .map(|at| (at, ColdEvidence::Stated(self.stated_until.saturating_sub(at))));
        let doubt = match self.doubt {
            ColdDoubt::Stopped(at) => Some((at, ColdEvidence::Stopped)),
            ColdDoubt::Recovered(at) => Some((at, ColdEvidence::Answered)),
            _ => None,
        };
        // An answer means something only to a daemon that knows of the stop before it.
        let stop = doubt.filter(|it| it.1 == ColdEvidence::Answered);
        let stop = stop.map(|it| (it.0, ColdEvidence::Stopped));
        stated.into_iter().chain(stop).chain(doubt)
    }
}

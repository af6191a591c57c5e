//! Whether a daemon's own path to the replicas of a pool is cut, and how its requests return once it
//! is back.
//!
//! The load pattern: links of one daemon, or of all of a failure domain, to a pool's replicas fail for
//! seconds while callers, peers and the store still reach it. New connections fail at once or
//! hang, and open ones may live on, so only attempts to open connections count. One replica that
//! fails is that replica's fault. Several in a row without a success may be a rack of replicas, all of
//! them, or the daemon's path. A check tells these apart: connections to other replicas, and then
//! connections of other daemons.

use std::time::Duration;

use indexmap::IndexSet;

/// Replicas that must fail in a row, or all known ones if there are fewer.
const FAILED_REPLICAS: usize = 3;
/// Failures further apart than this are not of one cut.
const FAILURE_WINDOW: Duration = Duration::from_millis(1_500);
/// The time after a check before the next one may begin: while replicas are down, each would ask other
/// daemons, and requests would wait for it.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Probes of different replicas that must succeed in a row before requests return.
const PROBES_TO_REOPEN: u32 = 2;
/// The time over which requests return.
const RETURN_TIME: Duration = Duration::from_secs(2);
/// The share of requests that return at once.
const FIRST_RETURN_SHARE: f64 = 0.25;

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum PathState {
    #[default]
    Open,
    /// A check is under way.
    Checked,
    Cut,
}

/// Who reaches replicas of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CheckFinding {
    /// This daemon.
    Reached,
    /// Only other daemons: the path of this one is cut.
    ReachedByOthers,
    /// Nobody: the replicas are down.
    Down,
}

/// The path from one daemon to the replicas of a pool.
#[derive(Debug, Clone, Default)]
pub struct ReplicaPath {
    /// Replicas to which no connection could be opened, since the last success.
    failed: IndexSet<u64>,
    last_failure_at: Duration,
    /// No check begins before.
    next_check_at: Duration,
    /// Successful probes in a row while the path is cut.
    probes: u32,
    state: PathState,
    /// When it was last found to be open again.
    reopened_at: Option<Duration>,
}

impl ReplicaPath {
    /// Whether requests cannot be sent to replicas.
    pub fn is_cut(&self) -> bool {
        self.state == PathState::Cut
    }

    /// Whether a failed connection may be due to the path rather than to the replica.
    pub fn is_suspect(&self, now: Duration) -> bool {
        self.is_cut() || (self.failed.len() > 1 && now < self.last_failure_at + FAILURE_WINDOW)
    }

    /// Records that no connection to a replica could be opened, one of `known`. Returns whether the
    /// path is to be checked now.
    pub fn record_failure(&mut self, now: Duration, replica: u64, known: usize) -> bool {
        if now >= self.last_failure_at + FAILURE_WINDOW {
            self.failed.clear();
        }
        self.last_failure_at = now;
        self.failed.insert(replica);
        let is_due = self.failed.len() >= FAILED_REPLICAS.min(known.max(2));
        let begins = self.state == PathState::Open && is_due && now >= self.next_check_at;
        if begins {
            self.state = PathState::Checked;
        }
        begins
    }

    /// Records the end of a check. Returns whether the path is cut from now on.
    pub fn record_check(&mut self, now: Duration, finding: CheckFinding) -> bool {
        let begins = self.state == PathState::Checked && finding == CheckFinding::ReachedByOthers;
        self.state = if begins { PathState::Cut } else { PathState::Open };
        self.probes = 0;
        self.next_check_at = now + CHECK_INTERVAL;
        if !begins {
            self.failed.clear();
        }
        begins
    }

    /// Whether a check is under way.
    pub fn is_checked(&self) -> bool {
        self.state == PathState::Checked
    }

    /// Whether a replica failed since the last success.
    pub fn has_failed(&self, replica: u64) -> bool {
        self.failed.contains(&replica)
    }

    /// Records that a connection to a replica was opened for a request.
    pub fn record_success(&mut self) {
        if self.state == PathState::Open {
            self.failed.clear();
        }
    }

    /// Records the end of a probe while the path is cut. Returns whether the path is open again.
    pub fn record_probe(&mut self, now: Duration, succeeded: bool) -> bool {
        self.probes = if succeeded { self.probes + 1 } else { 0 };
        let reopens = self.is_cut() && self.probes >= PROBES_TO_REOPEN;
        if reopens {
            self.state = PathState::Open;
            self.failed.clear();
            self.reopened_at = Some(now);
        }
        reopens
    }

    /// The share of requests that this daemon sends to replicas itself.
    pub fn direct_share(&self, now: Duration) -> f64 {
        if self.is_cut() {
            return 0.0;
        }
        let Some(at) = self.reopened_at else { return 1.0 };
        let progress = now.saturating_sub(at).as_secs_f64() / RETURN_TIME.as_secs_f64();
        (FIRST_RETURN_SHARE + (1.0 - FIRST_RETURN_SHARE) * progress).min(1.0)
    }
}

/// Whether a daemon takes a request that another one passes on: those of its own callers go first,
/// so requests that are passed on get only a part of its sockets.
pub fn takes_relayed(relayed: usize, max_sockets: usize) -> bool {
    /// Sockets for each request: one to each side, and room for as many of its own callers.
    const SOCKETS_PER_REQUEST: usize = 4;
    relayed < (max_sockets / SOCKETS_PER_REQUEST).max(1)
}

/// The order in which other daemons are asked to take a request, `count` at most: by turns one of the
/// own failure domain and one of another, as all of a domain may be cut off with this daemon, and
/// last those that refused lately.
pub fn order_helpers<T>(own_domain: Vec<T>, others: Vec<T>, unfit: Vec<T>, count: usize) -> Vec<T> {
    let mut own_domain = own_domain.into_iter();
    let mut others = others.into_iter();
    let mut ordered = Vec::new();
    loop {
        let pair: Vec<T> = own_domain.next().into_iter().chain(others.next()).collect();
        if pair.is_empty() || ordered.len() >= count {
            break;
        }
        ordered.extend(pair);
    }
    ordered.extend(unfit);
    ordered.truncate(count);
    ordered
}

//! How many requests all daemons together may have on a replica that starts or recovers.
//!
//! Load pattern: a replica comes back empty, so every daemon prefers it, and one cautious request
//! from each of eighty daemons already exceeds what it can serve.
//!
//! The pace is a limit of requests in flight. It starts at one. An answer that came in time while
//! the replica had some number of requests raises it to up to four times that number, the sooner
//! the more; a late answer lowers it by how late it is. Rejections halve it, and failures reset it.
//! At the limit of one, rejections and failures also close the replica for a time that doubles.
//! Daemons report their paces to each other: the newest decrease applies to all of them, and after
//! the same decrease the greatest growth.
//!
//! What a replica states about itself takes precedence: callers check a hold-off, a stated limit
//! or a stated cold time in addition to the pace.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// An answer is late above this multiple of the expected time. Full batches slow a healthy engine
/// by half, which must not count as late.
const LATE_FACTOR: f64 = 2.0;
/// The greatest pace that an answer allows, as a multiple of the requests that the replica had. Each
/// daemon hears of the others a few times a second, so smaller steps would delay a replica that
/// returns at full speed for seconds.
pub const MAX_GROWTH: f64 = 4.0;
/// Weight of one sample in the mean of usual times, as in the retransmission timer of TCP (RFC 6298).
const MEAN_WEIGHT: f64 = 0.125;
/// Weight of one sample in their deviation, as there.
const DEVIATION_WEIGHT: f64 = 0.25;
/// An answer is usual up to this many deviations above the mean, as there.
const USUAL_DEVIATIONS: f64 = 4.0;
/// Samples before a usual time is known.
const MIN_SAMPLES: u32 = 16;
/// Shorter times count as this, so that their ratio is a number.
const MIN_TIME: Duration = Duration::from_micros(1);
/// The most that one late answer or rejection takes away.
const MAX_DECREASE: f64 = 0.5;
/// Consecutive late, rejected or failed requests after which an unpaced replica is paced. Fewer
/// would pace a healthy replica for one slow request.
const BAD_OUTCOMES: u32 = 3;
/// Time without a bad outcome after which an answer in time ends the pacing.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// The first time for which a replica that fails or rejects its only request is closed.
const FIRST_CLOSURE: Duration = Duration::from_millis(25);
/// Upper limit of one closure: a replica whose pace is one is tried at least this often.
pub const MAX_CLOSURE: Duration = Duration::from_secs(1);
/// Reported decreases that differ by less are the same one: clocks of daemons are compared only to
/// some milliseconds.
const REPORT_TOLERANCE: Duration = Duration::from_millis(20);
/// Requests that may be known to run on a replica, as a multiple of its limit.
const KNOWN_FACTOR: u32 = 2;
/// How long the daemons with the larger shares keep them. With 100 ms a replica with little work is
/// left idle too long, as its few requests wait for their daemons' turns; with 25 ms more daemons
/// have turns before the first report of each other's requests.
pub const SHARE_TURN: Duration = Duration::from_millis(50);

/// Requests that all daemons together may have on a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PaceLimit(pub u32);

/// A request that was sent to the replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SentRequest {
    /// When it was sent.
    pub sent_at: Duration,
    /// Requests of all daemons on the replica at that time, this one included, as far as known.
    pub running: u32,
}

/// The pace of one daemon, for the others. It applies to one process of the replica.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct PaceReport {
    /// The limit while the replica is not closed.
    pub limit: PaceLimit,
    /// The number of requests that was too much; `None` if no such number is known.
    pub ceiling: Option<PaceLimit>,
    /// For how long the replica is still closed.
    pub closed_for: Duration,
    /// The time for which the next failure or rejection closes it.
    pub next_closure: Duration,
    /// The time since the limit was last lowered.
    pub lowered_age: Duration,
}

/// What changes the pace of a replica.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PaceEvent {
    /// It was first seen, has a new process, loaded weights, or may be tried again after a pause.
    Started,
    /// A request was answered, or its first token came.
    Answered {
        /// The request.
        request: SentRequest,
        /// The time from sending it to the answer.
        took: Duration,
        /// The time that this work takes on an idle replica at full speed.
        expected: Duration,
    },
    /// It rejected a request without running it.
    Rejected(SentRequest),
    /// A request failed through its fault.
    Failed(SentRequest),
    /// Another daemon reported its pace.
    Reported(PaceReport),
}

/// The pace of one replica as one daemon knows it; unpaced by default.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ReplicaPace {
    /// `None` while it is unpaced.
    ramp: Option<PaceRamp>,
    /// Consecutive bad outcomes while it is unpaced.
    bad_outcomes: u32,
    /// When the last pacing ended; reports of older evidence do not pace it again.
    settled_at: Duration,
}

/// The state of a paced replica.
#[derive(Debug, Clone, Copy, PartialEq)]
struct PaceRamp {
    limit: f64,
    /// The number of requests that was too much; growth stops just above it until it is disproved.
    ceiling: f64,
    opens_at: Duration,
    /// The time for which the next failure or rejection closes it.
    next_closure: Duration,
    /// Whether any outcome is known, here or from another daemon.
    is_tried: bool,
    /// When the limit was last lowered. Outcomes of requests that were sent before say nothing
    /// about the lower limit, so they are ignored.
    lowered_at: Duration,
}

impl ReplicaPace {
    /// Applies an event that is observed at `now`.
    pub fn observe(&mut self, now: Duration, event: PaceEvent) {
        match event {
            PaceEvent::Started => *self = ReplicaPace::paced(PaceRamp::new(now, 1.0)),
            PaceEvent::Reported(report) => self.apply_report(now, report),
            PaceEvent::Answered { request, took, expected } => {
                let (took, expected) = (took.max(MIN_TIME), expected.max(MIN_TIME));
                let time_left = LATE_FACTOR * expected.as_secs_f64() / took.as_secs_f64();
                let factor = (time_left * time_left).clamp(MAX_DECREASE, MAX_GROWTH);
                if time_left < 1.0 {
                    self.apply_bad(now, request, |ramp| ramp.lower(now, factor));
                } else {
                    self.apply_good(now, request, factor);
                }
            }
            PaceEvent::Rejected(request) => self.apply_bad(now, request, |ramp| {
                if ramp.limit < 2.0 {
                    ramp.close(now);
                }
                ramp.lower(now, MAX_DECREASE);
            }),
            PaceEvent::Failed(request) => self.apply_bad(now, request, |ramp| {
                ramp.close(now);
                ramp.lower(now, 0.0);
            }),
        }
    }

    /// The requests that all daemons together may have on it; `None` if it is unpaced.
    pub fn allowance(&self, now: Duration) -> Option<PaceLimit> {
        let ramp = self.ramp?;
        Some(if now < ramp.opens_at { PaceLimit(0) } else { PaceLimit(ramp.limit as u32) })
    }

    /// This daemon's pace for the others; `None` if it is unpaced or no request has ended yet.
    pub fn report(&self, now: Duration) -> Option<PaceReport> {
        let ramp = self.ramp.filter(|it| it.is_tried)?;
        Some(PaceReport {
            limit: PaceLimit(ramp.limit as u32),
            ceiling: ramp.ceiling.is_finite().then_some(PaceLimit(ramp.ceiling as u32)),
            closed_for: ramp.opens_at.saturating_sub(now),
            next_closure: ramp.next_closure,
            lowered_age: now.saturating_sub(ramp.lowered_at),
        })
    }

    fn paced(ramp: PaceRamp) -> ReplicaPace {
        ReplicaPace { ramp: Some(ramp), bad_outcomes: 0, settled_at: Duration::ZERO }
    }

    fn apply_good(&mut self, now: Duration, request: SentRequest, factor: f64) {
        self.bad_outcomes = 0;
        let Some(ramp) = &mut self.ramp else { return };
        if request.sent_at < ramp.lowered_at {
            return;
        }
        ramp.is_tried = true;
        ramp.next_closure = (ramp.next_closure / 2).max(FIRST_CLOSURE);
        let running = f64::from(request.running);
        if running > ramp.ceiling {
            ramp.ceiling = f64::INFINITY;
        }
        ramp.limit = ramp.limit.max((running * factor).min(ramp.ceiling + 1.0));
        if now.saturating_sub(ramp.lowered_at) >= SETTLE_TIME {
            *self = ReplicaPace { settled_at: now, ..ReplicaPace::default() };
        }
    }

    fn apply_bad(
        &mut self,
        now: Duration,
        request: SentRequest,
        change: impl FnOnce(&mut PaceRamp),
    ) {
        let Some(ramp) = &mut self.ramp else {
            self.bad_outcomes += 1;
            if self.bad_outcomes >= BAD_OUTCOMES {
                let mut ramp = PaceRamp::new(now, f64::from(request.running).max(1.0));
                change(&mut ramp);
                *self = ReplicaPace::paced(ramp);
            }
            return;
        };
        if request.sent_at >= ramp.lowered_at {
            change(ramp);
        }
    }

    /// Adopts the pace of another daemon if it follows from a newer decrease, or its greater limit
    /// if it follows from the same one.
    fn apply_report(&mut self, now: Duration, report: PaceReport) {
        let mut reported = PaceRamp {
            limit: f64::from(report.limit.0.max(1)),
            ceiling: report.ceiling.map_or(f64::INFINITY, |it| f64::from(it.0)),
            opens_at: now + report.closed_for.min(MAX_CLOSURE),
            next_closure: report.next_closure.clamp(FIRST_CLOSURE, MAX_CLOSURE),
            is_tried: true,
            lowered_at: now.saturating_sub(report.lowered_age),
        };
        let known = self.ramp.filter(|it| it.is_tried);
        let known_at = known.map_or(self.settled_at, |it| it.lowered_at);
        if self.ramp.is_none() || known.is_some() {
            let difference = reported.lowered_at.abs_diff(known_at);
            let is_same = difference <= REPORT_TOLERANCE;
            if reported.lowered_at < known_at && !is_same {
                return;
            }
            if is_same {
                let Some(known) = known.filter(|it| it.limit < reported.limit) else { return };
                reported = PaceRamp { limit: reported.limit, ceiling: reported.ceiling, ..known };
            }
        }
        *self = ReplicaPace { ramp: Some(reported), bad_outcomes: 0, ..*self };
    }
}

impl PaceRamp {
    fn new(now: Duration, limit: f64) -> PaceRamp {
        PaceRamp {
            limit,
            ceiling: f64::INFINITY,
            opens_at: Duration::ZERO,
            next_closure: FIRST_CLOSURE,
            is_tried: false,
            lowered_at: now,
        }
    }

    /// Lowers the limit to a share of it, but not below one. The requests known to have run do not
    /// matter here: reports are some moments old, and the replica may have had more of them.
    fn lower(&mut self, now: Duration, share: f64) {
        self.ceiling = if share > 0.0 { self.limit } else { f64::INFINITY };
        self.limit = (self.limit * share).max(1.0);
        self.is_tried = true;
        self.lowered_at = now;
    }

    fn close(&mut self, now: Duration) {
        self.opens_at = now + self.next_closure;
        self.next_closure = (self.next_closure * 2).min(MAX_CLOSURE);
    }
}

/// Whether a daemon that has `own` requests on a replica may send another one, with its `share` of the
/// limit and `known` requests of all daemons there, by their last reports.
///
/// Requests that outlast their daemon's turn are not part of the present shares, so the known
/// requests count as well. They may exceed the limit by as much again: reports are some moments
/// old, and with a strict bound daemons stop together and leave part of a cold replica unused.
pub fn permits_request(limit: PaceLimit, share: u32, own: u32, known: u32) -> bool {
    own < share && known < limit.0.saturating_mul(KNOWN_FACTOR)
}

/// The usual time of answers where requests state no expected time, as with plain services.
///
/// One service answers different requests in different times, so an answer that is much later than the
/// mean is still usual where times vary much.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TypicalTime {
    samples: u32,
    mean_s: f64,
    deviation_s: f64,
}

impl TypicalTime {
    /// Records the time of an answer of a replica that is not paced.
    pub fn record(&mut self, took: Duration) {
        let difference = took.as_secs_f64() - self.mean_s;
        let (mean_weight, deviation_weight) =
            if self.samples == 0 { (1.0, 0.5) } else { (MEAN_WEIGHT, DEVIATION_WEIGHT) };
        self.deviation_s += deviation_weight * (difference.abs() - self.deviation_s);
        self.mean_s += mean_weight * difference;
        self.samples = self.samples.saturating_add(1);
    }

    /// The expected time for [`PaceEvent::Answered`], of which a usual answer takes at most
    /// `LATE_FACTOR` times as long; `None` until there are enough samples.
    pub fn expected(&self) -> Option<Duration> {
        let latest_s = self.mean_s + USUAL_DEVIATIONS * self.deviation_s;
        let expected_s = self.mean_s.max(latest_s / LATE_FACTOR);
        (self.samples >= MIN_SAMPLES).then(|| Duration::from_secs_f64(expected_s))
    }
}

/// The requests that one daemon may have on a replica under a fleet-wide limit.
///
/// Every daemon has the same basic share. What is left over goes to some of them, by their
/// `daemon_rank` among `daemon_count` daemons, and rotates every [`SHARE_TURN`], so that each daemon
/// has a turn within `daemon_count` turns and usually much sooner under a greater limit. At any
/// moment the shares add up to the limit. They never shrink as the limit grows, so daemons with
/// different limits together stay within the greatest of these.
///
/// `now` is the time since the Unix epoch, as the daemons have to agree on it. Clocks that differ
/// let turns overlap by the difference.
pub fn share_of(
    limit: PaceLimit,
    daemon_rank: u32,
    daemon_count: u32,
    replica_member: u64,
    now: Duration,
) -> u32 {
    let count = u64::from(daemon_count.max(1));
    let base = u64::from(limit.0) / count;
    let left_over = u64::from(limit.0) % count;
    let turn = (now.as_millis() / SHARE_TURN.as_millis()) as u64 % count;
    let offset = replica_member % count;
    let position = (u64::from(daemon_rank) + offset + turn * rotation_stride(count)) % count;
    (base + u64::from(position < left_over)) as u32
}

/// A step that visits all positions, and does so evenly: near the golden section of the count.
fn rotation_stride(count: u64) -> u64 {
    let start = (count as f64 * 0.618) as u64;
    (start.max(1)..).find(|it| greatest_divisor(*it, count) == 1).unwrap_or(1)
}

fn greatest_divisor(mut left: u64, mut right: u64) -> u64 {
    while right != 0 {
        (left, right) = (right, left % right);
    }
    left
}

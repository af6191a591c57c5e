//! Requests that crash the replicas that run them: the same request again, or requests that share one
//! part of their prompts.
//!
//! When a replica crashes, every request on it is a suspect; if it had just begun, so is each part that
//! its prompt shares with others. Chance puts a request on a crashing replica now and then, so
//! it takes several crashes, and one answer that comes to its end clears all that its request
//! consists of. Crashes at one moment may be those of a rack under a popular request, or of one
//! request that was repeated at once: they refuse the request, but do not prove that it is what
//! crashes replicas, and it is soon tried again. Sound requests share parts, and crashes at one moment
//! do not refuse a part. A part is refused early only if what follows it in the prompts differed: otherwise
//! that may be what crashes replicas, and other requests with the part are sound. If requests that
//! share what follows are answered, more crashes refuse the part all the same.
//!
//! Load pattern: a few such requests a second between many sound ones, on any daemon, while up to
//! all requests on a crashed replica break at once.

use std::time::Duration;

use indexmap::IndexMap;

use crate::crash_record::{
    ANSWER_VALIDITY, PROVEN_CRASHES, SAME_SUCCESSOR_CRASHES, SuspectRecord, TimedCrash,
};
pub use crate::crash_record::{CRASH_LIMIT, CrashEvent, SuspectKey, SuspectReport};

/// For how long after its first event the parts of a stream's prompt may still be what crashed its
/// replica.
const BEGIN_TIME: Duration = Duration::from_secs(1);
/// How many parts further in a prompt one is looked for that explains a crash.
const MAX_EXPLANATION_DEPTH: usize = 3;
/// Upper limit of what is remembered as answered.
const MAX_ANSWERED: usize = 1_024;
/// Upper limit of suspects on record. At the limit older ones are dropped, those with too few
/// crashes to be refused first.
pub const MAX_SUSPECTS: usize = 10_000;
/// Suspects that peers are told of again and again.
const MAX_REPEATED: usize = 64;
/// Upper limit of refused suspects that are stored.
const MAX_STORED: usize = 32;
/// How long after a change each further rank stores it, so that usually only the first does.
const STORE_RANK_DELAY: Duration = Duration::from_secs(2);
/// The last rank that stores.
const LAST_STORING_RANK: usize = 2;

/// Whether a request may be sent to a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectVerdict {
    /// It may.
    Allowed,
    /// It may although it is a suspect, to find out whether it still crashes replicas.
    Probe,
    /// It must not.
    Refused,
}

/// When a request's replica sent events of its answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AnswerProgress {
    span: Option<(Duration, Duration)>,
}

impl AnswerProgress {
    /// Records that events arrived.
    pub fn record(&mut self, now: Duration) {
        let first_at = self.span.map_or(now, |it| it.0);
        self.span = Some((first_at, now));
    }

    /// Whether its replica may have crashed as it read the prompt: the request had not begun, or had just
    /// begun when the last event came. How long ago that was says nothing, as the end may show late.
    pub fn has_just_begun(&self) -> bool {
        self.span.is_none_or(|(first_at, last_at)| last_at < first_at + BEGIN_TIME)
    }
}

/// The suspects that one daemon knows of, from its own requests and its peers.
#[derive(Debug, Default)]
pub struct SuspectTable {
    records: IndexMap<SuspectKey, SuspectRecord>,
    /// When what was answered lately was answered last.
    answered: IndexMap<SuspectKey, Duration>,
}

/// How long after a change the daemon of a rank, 0 the first, stores the refused suspects if no
/// other has; `None` if it leaves that to others.
pub fn store_delay(rank: usize) -> Option<Duration> {
    (rank <= LAST_STORING_RANK).then(|| STORE_RANK_DELAY * rank as u32)
}

impl SuspectTable {
    /// Whether a request with these keys may be sent by the daemon of this rank, 0 the first. Without
    /// a rank it does not try suspects again: it cannot tell which daemons do.
    pub fn verdict(
        &self,
        now: Duration,
        keys: &[SuspectKey],
        rank: Option<usize>,
    ) -> SuspectVerdict {
        let mut verdict = SuspectVerdict::Allowed;
        for key in keys {
            let crashes = self.counted_crashes(now, *key);
            let Some(record) = self.records.get(key).filter(|_| crashes >= CRASH_LIMIT) else {
                continue;
            };
            let may_probe = rank.is_some_and(|it| record.has_probe_turn(now, it));
            if record.is_proven(now, *key, crashes) || !may_probe {
                return SuspectVerdict::Refused;
            }
            verdict = SuspectVerdict::Probe;
        }
        verdict
    }

    /// Records that a suspect is being tried. Returns what to tell peers.
    pub fn record_probe(&mut self, now: Duration, keys: &[SuspectKey]) -> Vec<SuspectReport> {
        let mut reports = Vec::new();
        for key in keys {
            let crashes = self.counted_crashes(now, *key);
            if let Some(record) = self.records.get_mut(key).filter(|_| crashes >= CRASH_LIMIT) {
                record.probed_at = Some(now);
                reports.push(record.report(now, *key));
            }
        }
        reports
    }

    /// Records that a replica crashed on which a request with these keys, each with its successor,
    /// had just begun. Returns what to tell peers now.
    pub fn record_crash(
        &mut self,
        now: Duration,
        crashed_at: Duration,
        keys: &[(SuspectKey, u64)],
        replica: u64,
    ) -> Vec<SuspectReport> {
        let mut reports = Vec::new();
        for (key, successor) in keys {
            let crash = TimedCrash { replica, successor: *successor, at: crashed_at };
            let answered_at = self.answered.get(key).copied();
            let record = self.record_mut(*key);
            if record.exonerate(answered_at, crashed_at) {
                reports.push(record.report(now, *key));
                continue;
            }
            if record.add(*key, crash) {
                reports.push(record.report(now, *key));
            }
        }
        reports
    }

    /// Clears suspects whose request was answered to its end. Returns what to tell peers.
    pub fn clear(&mut self, now: Duration, keys: &[SuspectKey]) -> Vec<SuspectReport> {
        let mut reports = Vec::new();
        for key in keys {
            if self.answered.len() < MAX_ANSWERED || self.answered.contains_key(key) {
                self.answered.insert(*key, now);
            }
            let record = self.records.get_mut(key).filter(|it| !it.events.is_empty());
            let Some(record) = record else { continue };
            record.events.clear();
            record.cleared_at = Some(now);
            reports.push(record.report(now, *key));
        }
        reports
    }

    /// Merges what a peer knew at `reported_at`. Returns whether anything was new.
    pub fn merge(&mut self, reported_at: Duration, report: &SuspectReport) -> bool {
        let answered_at = self.answered.get(&report.key).copied();
        let record = self.record_mut(report.key);
        let mut is_news = false;
        if let Some(age) = report.cleared {
            let cleared_at = reported_at.saturating_sub(age);
            is_news |= record.clear(cleared_at);
        }
        if let Some(age) = report.probed {
            let probed_at = reported_at.saturating_sub(age);
            record.probed_at = record.probed_at.max(Some(probed_at));
        }
        for CrashEvent { replica, successor, age } in report.events.iter().copied() {
            let crash = TimedCrash { replica, successor, at: reported_at.saturating_sub(age) };
            is_news |= record.exonerate(answered_at, crash.at) || record.add(report.key, crash);
        }
        is_news
    }

    /// The crashes that count against a suspect.
    pub fn counted_crashes(&self, now: Duration, key: SuspectKey) -> usize {
        self.crash_count(now, key, MAX_EXPLANATION_DEPTH)
    }

    /// What is known of a suspect, to be passed on.
    pub fn report(&self, now: Duration, key: SuspectKey) -> Option<SuspectReport> {
        self.records.get(&key).map(|it| it.report(now, key))
    }

    /// What peers are to be told again: suspects of more than one crash, and those that were
    /// cleared lately, refused ones first. Forgets what is too old to count.
    pub fn repeat_reports(&mut self, now: Duration) -> Vec<SuspectReport> {
        self.records.retain(|_, it| !it.is_expired(now));
        self.answered.retain(|_, it| now < *it + ANSWER_VALIDITY);
        let repeated = self.records.iter().rev().filter(|(_, it)| it.is_repeated(now));
        let (refused, others): (Vec<_>, Vec<_>) =
            repeated.partition(|(key, _)| self.is_refused(now, **key));
        let told = refused.into_iter().chain(others).take(MAX_REPEATED);
        told.map(|(key, it)| it.report(now, *key)).collect()
    }

    /// What is to outlive the loss of all daemons: the refused suspects, those that were recorded
    /// last if they are many, in the order of their keys.
    pub fn refused_reports(&self, now: Duration) -> Vec<SuspectReport> {
        let refused = self.records.iter().rev().filter(|(key, _)| self.is_refused(now, **key));
        let mut reports: Vec<SuspectReport> =
            refused.take(MAX_STORED).map(|(key, it)| it.stored_report(now, *key)).collect();
        reports.sort_by_key(|it| it.key);
        reports
    }

    fn is_refused(&self, now: Duration, key: SuspectKey) -> bool {
        self.counted_crashes(now, key) >= CRASH_LIMIT
    }

    fn crash_count(&self, now: Duration, key: SuspectKey, depth: usize) -> usize {
        let Some(record) = self.records.get(&key) else { return 0 };
        let independent = record.independent_crashes(now, key).len();
        if matches!(key, SuspectKey::Request(_)) {
            return independent;
        }
        let separate = record.separate_crashes(now);
        // So many replicas refuse a part, but do not prove it, if it was more than one moment.
        let are_many = record.crashed_replicas(now).len() >= PROVEN_CRASHES && separate.len() > 1;
        let counted = if are_many { independent.max(CRASH_LIMIT) } else { independent };
        if separate.len() < CRASH_LIMIT + SAME_SUCCESSOR_CRASHES {
            return counted;
        }
        let unexplained = separate.iter().filter(|it| !self.is_explained(now, it, depth)).count();
        counted.max(unexplained.saturating_sub(SAME_SUCCESSOR_CRASHES))
    }

    /// Whether a part further in the prompt of the crashed request is refused.
    fn is_explained(&self, now: Duration, crash: &TimedCrash, depth: usize) -> bool {
        let Some(depth) = depth.checked_sub(1) else { return false };
        let successor = SuspectKey::Shared(crash.successor);
        let Some(record) = self.records.get(&successor) else { return false };
        self.crash_count(now, successor, depth) >= CRASH_LIMIT
            || record
                .events
                .iter()
                .filter(|it| it.replica == crash.replica)
                .any(|it| self.is_explained(now, it, depth))
    }

    fn record_mut(&mut self, key: SuspectKey) -> &mut SuspectRecord {
        if !self.records.contains_key(&key) && self.records.len() >= MAX_SUSPECTS {
            self.drop_older_half();
        }
        self.records.entry(key).or_default()
    }

    /// Drops the older half of the suspects, but for those that may be refused; the first one if
    /// that would drop none.
    fn drop_older_half(&mut self) {
        let mut position = 0;
        self.records.retain(|_, it| {
            position += 1;
            position > MAX_SUSPECTS / 2 || it.events.len() >= CRASH_LIMIT
        });
        if self.records.len() >= MAX_SUSPECTS {
            self.records.shift_remove_index(0);
        }
    }
}

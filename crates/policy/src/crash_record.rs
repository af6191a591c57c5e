//! The crashes and answers of one suspect: which crashes count against it, and when it is tried again.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::quarantine::Fingerprint;

/// Crashes after which requests are refused.
pub const CRASH_LIMIT: usize = 3;
/// Crashes after which a refused suspect is not tried again.
pub(crate) const PROVEN_CRASHES: usize = 5;
/// Further crashes that a part needs if the same part follows it in all prompts.
pub(crate) const SAME_SUCCESSOR_CRASHES: usize = 2;
/// Replicas that crash within this time may have a common cause: a rack that fails takes replicas with
/// it on which several requests ran.
const CRASH_SEPARATION: Duration = Duration::from_millis(200);
/// How long after its last crash a refused part is tried again.
const PROBE_DELAY: Duration = Duration::from_secs(15);
/// The same for a suspect all of whose crashes may have a common cause other than itself.
const ONE_MOMENT_PROBE_DELAY: Duration = Duration::from_secs(5);
/// The turn of each rank among the daemons from then on, so that one daemon at a time tries: longer
/// than the period in which peers are told again.
const PROBE_TURN: Duration = Duration::from_millis(1_500);
/// How many ranks take turns. With too many, a request that comes rarely meets the right daemon too late.
const PROBE_TURNS: u128 = 8;
/// How long before a crash an answer still shows that its request is not the cause. Of a request that
/// runs on several replicas of a rack when it fails, others were answered just before.
pub(crate) const ANSWER_VALIDITY: Duration = Duration::from_millis(200);
/// How long crashes count.
const RETENTION: Duration = Duration::from_secs(3_600);
/// How long peers are told that a suspect was cleared.
const CLEARED_RETENTION: Duration = Duration::from_secs(20);
/// A later clearance counts as news from this difference on; ages from peers vary by less.
const CLEARANCE_STEP: Duration = Duration::from_secs(1);
/// Crashes kept of one suspect.
const MAX_EVENTS: usize = 16;
/// Crashes of a refused suspect that are stored, of each kind that counts: as many as prove a part.
const MAX_STORED_EVENTS: usize = PROVEN_CRASHES + SAME_SUCCESSOR_CRASHES;

/// What is suspected of crashing replicas.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum SuspectKey {
    /// One request, which may be sent again.
    Request(Fingerprint),
    /// All requests that share this, given as a hash: a part of their prompts.
    #[serde(rename = "Part")]
    Shared(u64),
}

impl fmt::Display for SuspectKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SuspectKey::Request(fingerprint) => write!(formatter, "request-{:016x}", fingerprint.0),
            SuspectKey::Shared(digest) => write!(formatter, "shared-{digest:016x}"),
        }
    }
}

/// A crash of a replica under a suspect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashEvent {
    /// A hash of the replica and its incarnation.
    pub replica: u64,
    /// A hash of the part that followed in the prompt; equal to `replica` for a whole request.
    pub successor: u64,
    /// How long ago it was when the event was reported.
    pub age: Duration,
}

/// What a daemon knows of a suspect, as sent to its peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// The suspect.
    pub key: SuspectKey,
    /// The crashes that count.
    pub events: Vec<CrashEvent>,
    /// How long ago it was cleared.
    pub cleared: Option<Duration>,
    /// How long ago it was last tried in spite of the crashes.
    pub probed: Option<Duration>,
}

/// What one daemon knows of a suspect.
#[derive(Debug, Default)]
pub(crate) struct SuspectRecord {
    /// In the order of their times.
    pub(crate) events: Vec<TimedCrash>,
    pub(crate) cleared_at: Option<Duration>,
    pub(crate) probed_at: Option<Duration>,
}

/// A [`CrashEvent`] on the daemon's clock.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct TimedCrash {
    pub(crate) replica: u64,
    pub(crate) successor: u64,
    pub(crate) at: Duration,
}

impl SuspectRecord {
    /// Drops the crashes that an answer at this time clears. Returns whether that is news.
    pub(crate) fn clear(&mut self, answered_at: Duration) -> bool {
        let is_later = self.cleared_at.is_none_or(|it| it + CLEARANCE_STEP < answered_at);
        self.cleared_at = self.cleared_at.max(Some(answered_at));
        let known = self.events.len();
        self.events.retain(|it| answered_at + ANSWER_VALIDITY <= it.at);
        is_later || self.events.len() < known
    }

    /// Clears the suspect if this daemon knows of an answer shortly before a crash, or since, that
    /// others may not know of. Returns whether it does.
    pub(crate) fn exonerate(
        &mut self,
        answered_at: Option<Duration>,
        crashed_at: Duration,
    ) -> bool {
        let exonerates = |it: &Duration| crashed_at < *it + ANSWER_VALIDITY;
        let Some(answered_at) = answered_at.filter(exonerates) else { return false };
        let is_unknown = !self.cleared_at.as_ref().is_some_and(exonerates);
        self.clear(answered_at);
        is_unknown
    }

    /// Adds a crash; false if it is known, older than the last clearance, or adds nothing to a full
    /// record. One crash of a replica may break many requests that share the suspect.
    pub(crate) fn add(&mut self, key: SuspectKey, crash: TimedCrash) -> bool {
        let same = |it: &TimedCrash| it.replica == crash.replica && it.successor == crash.successor;
        let is_cleared = self.cleared_at.is_some_and(|it| crash.at < it + ANSWER_VALIDITY);
        if is_cleared || self.events.iter().any(same) {
            return false;
        }
        let position = self.events.partition_point(|it| it.at <= crash.at);
        self.events.insert(position, crash);
        if self.events.len() <= MAX_EVENTS {
            return true;
        }
        let surplus = self.last_surplus(key);
        self.events.remove(surplus);
        surplus != position
    }

    /// The position of the last crash that does not count; of the last one if all do.
    fn last_surplus(&self, key: SuspectKey) -> usize {
        let now = self.events.last().map_or(Duration::ZERO, |it| it.at);
        let counted = self.counted_crashes(now, key).concat();
        let position = self.events.iter().rposition(|it| !counted.contains(it));
        position.unwrap_or(self.events.len() - 1)
    }

    /// Crashes that cannot have one common cause other than the suspect.
    pub(crate) fn independent_crashes(&self, now: Duration, key: SuspectKey) -> Vec<TimedCrash> {
        let separation = match key {
            SuspectKey::Request(_) => Duration::ZERO,
            SuspectKey::Shared(_) => CRASH_SEPARATION,
        };
        let same_successor = |a: &TimedCrash, b: &TimedCrash| a.successor == b.successor;
        self.distinct_crashes(now, separation, same_successor)
    }

    /// Crashes of one replica each at any distance, each with another successor. A failed rack may have
    /// caused them.
    pub(crate) fn crashed_replicas(&self, now: Duration) -> Vec<TimedCrash> {
        self.distinct_crashes(now, Duration::ZERO, |a, b| a.successor == b.successor)
    }

    /// Crashes that are not one event, whatever followed the suspect.
    pub(crate) fn separate_crashes(&self, now: Duration) -> Vec<TimedCrash> {
        self.distinct_crashes(now, CRASH_SEPARATION, |_, _| false)
    }

    /// Crashes that count, of one replica each, of which no two are the `same` or closer to each
    /// other than `separation`.
    fn distinct_crashes(
        &self,
        now: Duration,
        separation: Duration,
        same: impl Fn(&TimedCrash, &TimedCrash) -> bool,
    ) -> Vec<TimedCrash> {
        let mut distinct: Vec<TimedCrash> = Vec::new();
        for crash in self.events.iter().filter(|it| now < it.at + RETENTION) {
            let is_separate = distinct.last().is_none_or(|it| it.at + separation <= crash.at);
            let is_same = |it: &TimedCrash| it.replica == crash.replica || same(it, crash);
            if is_separate && !distinct.iter().any(is_same) {
                distinct.push(*crash);
            }
        }
        distinct
    }

    /// Whether the suspect is not tried again, as so many crashes count against it. Those of a request
    /// must have come at enough different moments.
    pub(crate) fn is_proven(&self, now: Duration, key: SuspectKey, crashes: usize) -> bool {
        crashes >= PROVEN_CRASHES
            && (matches!(key, SuspectKey::Shared(_))
                || self.separate_crashes(now).len() >= CRASH_LIMIT)
    }

    /// Whether the daemon of a rank may try the suspect again now.
    pub(crate) fn has_probe_turn(&self, now: Duration, rank: usize) -> bool {
        let last_at = self.events.last().map(|it| it.at).max(self.probed_at);
        let is_one_moment = self.separate_crashes(now).len() == 1;
        let delay = if is_one_moment { ONE_MOMENT_PROBE_DELAY } else { PROBE_DELAY };
        let due_for = now.checked_sub(last_at.unwrap_or_default() + delay);
        let turn = due_for.map(|it| it.as_millis() / PROBE_TURN.as_millis() % PROBE_TURNS);
        turn == Some(rank as u128)
    }

    pub(crate) fn is_repeated(&self, now: Duration) -> bool {
        self.events.len() > 1 || self.was_cleared_lately(now)
    }

    fn was_cleared_lately(&self, now: Duration) -> bool {
        self.cleared_at.is_some_and(|it| now < it + CLEARED_RETENTION)
    }

    pub(crate) fn is_expired(&self, now: Duration) -> bool {
        let counts = self.events.last().is_some_and(|it| now < it.at + RETENTION);
        !counts && !self.was_cleared_lately(now)
    }

    /// The report with just the crashes that prove the suspect. Of the crashes that count the first
    /// ones are kept: which ones count depends on those before them.
    pub(crate) fn stored_report(&self, now: Duration, key: SuspectKey) -> SuspectReport {
        let mut proof = self.counted_crashes(now, key);
        proof.iter_mut().for_each(|it| it.truncate(MAX_STORED_EVENTS));
        let proof = proof.concat();
        let events = self.events.iter().filter(|it| proof.contains(it));
        SuspectRecord { events: events.copied().collect(), ..*self }.report(now, key)
    }

    /// The crashes that count, by each way of counting.
    fn counted_crashes(&self, now: Duration, key: SuspectKey) -> [Vec<TimedCrash>; 3] {
        [self.independent_crashes(now, key), self.separate_crashes(now), self.crashed_replicas(now)]
    }

    pub(crate) fn report(&self, now: Duration, key: SuspectKey) -> SuspectReport {
        let age = |at: Duration| now.saturating_sub(at);
        let event = |it: &TimedCrash| CrashEvent {
            replica: it.replica,
            successor: it.successor,
            age: age(it.at),
        };
        SuspectReport {
            key,
            events: self.events.iter().map(event).collect(),
            cleared: self.cleared_at.map(age),
            probed: self.probed_at.map(age),
        }
    }
}

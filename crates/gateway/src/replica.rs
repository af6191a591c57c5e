//! One replica as this daemon sees it.

use std::time::Duration;

use policy::health::{HealthState, ReplicaHealth};
use policy::rendezvous;
use policy::silence::{AnswerCount, RecentAnswers};

use crate::config::TargetEntry;
use crate::peer_message::WeightStatus;

/// Another daemon than the one that sent an order looks after it when this has passed.
const ORDER_TIME: Duration = Duration::from_secs(3);
/// A replica that answered "full" is left out for this long.
const FULL_PAUSE: Duration = Duration::from_millis(150);

/// Requests on a replica.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LoadCount {
    /// How many.
    pub running: u32,
    /// Their prompt tokens whose prefill is pending.
    pub pending_tokens: u64,
    /// Their KV memory in tokens.
    pub kv_tokens: u64,
    /// What requests came to lately.
    pub answers: AnswerCount,
}

/// One replica.
#[derive(Debug)]
pub struct Replica {
    /// As listed.
    pub entry: TargetEntry,
    /// The hash of its id.
    pub member: u64,
    /// This daemon's requests on it.
    pub local_load: LoadCount,
    /// It is leaving: listed so, or it said so itself.
    pub leaving: bool,
    /// How it has answered.
    pub health: ReplicaHealth,
    /// How it has answered this daemon lately.
    pub recent_answers: RecentAnswers,
    /// It said that it is full, and gets nothing until then.
    full_until: Duration,
    /// The version of its weights, by what is newest.
    pub weights: u64,
    /// The version it was last ordered to load, and when this daemon heard so.
    pub last_command: Option<(u64, Duration)>,
    /// Orders that it is known to have accepted.
    pub accepted_commands: u64,
    /// When this daemon last heard of an order to it.
    pub last_command_at: Option<Duration>,
    /// How long an order may keep requests away before it counts as lost.
    pub(crate) load_timeout: Duration,
}

impl LoadCount {
    /// Adds another count.
    pub(crate) fn add(&mut self, other: &LoadCount) {
        self.running += other.running;
        self.pending_tokens += other.pending_tokens;
        self.kv_tokens += other.kv_tokens;
        self.answers.add(other.answers);
    }
}

impl Replica {
    pub(crate) fn new(entry: TargetEntry, load_timeout: Duration) -> Replica {
        Replica {
            member: rendezvous::hash_member(entry.id.as_str()),
            local_load: LoadCount::default(),
            leaving: entry.leaving,
            health: ReplicaHealth::default(),
            recent_answers: RecentAnswers::default(),
            full_until: Duration::ZERO,
            weights: newest_weights(&entry),
            last_command: None,
            accepted_commands: 0,
            last_command_at: None,
            load_timeout,
            entry,
        }
    }

    /// What is known of its weights, for peers.
    pub fn weight_status(&self) -> WeightStatus {
        WeightStatus {
            member: self.member,
            incarnation: self.entry.incarnation,
            loaded: self.weights,
            commanded: self.last_command.map_or(0, |it| it.0),
            accepted: self.accepted_commands,
        }
    }

    /// This daemon's requests on it, with what they came to lately.
    pub(crate) fn own_load(&self, now: Duration) -> LoadCount {
        LoadCount { answers: self.recent_answers.count(now), ..self.local_load }
    }

    /// It said that it is full.
    pub(crate) fn mark_full(&mut self, now: Duration) {
        self.full_until = now + FULL_PAUSE;
    }

    /// Whether it may get a request now.
    pub fn accepts_requests(&self, now: Duration) -> bool {
        !self.leaving
            && now >= self.full_until
            && self.health.state(now) != HealthState::Paused
            && !self.is_loading(now)
    }

    /// Whether whoever ordered it last may still be at it.
    pub fn was_commanded_recently(&self, now: Duration) -> bool {
        self.last_command.is_some_and(|it| now < it.1 + ORDER_TIME)
    }

    /// Whether it was ordered to load weights that it does not have yet. It takes nothing until the
    /// last of its requests has ended, which may be long ones; an order that was lost is repeated.
    pub fn is_loading(&self, now: Duration) -> bool {
        self.last_command.is_some_and(|it| it.0 > self.weights && now < it.1 + self.load_timeout)
    }
}

/// The newest version of weights that an entry names.
pub(crate) fn newest_weights(entry: &TargetEntry) -> u64 {
    entry.weights.values().copied().max().unwrap_or(0)
}

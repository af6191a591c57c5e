//! One replica as this daemon sees it.

use std::time::Duration;

use ids::RequestRate;
use policy::admission::{ReplicaState, ReplicaUse};
use policy::cold_pace::{ColdPace, ColdRule, ColdSource, ColdState};
use policy::engine_weights::EngineWeights;
use policy::health::ReplicaHealth;
use policy::hold_off::HoldOff;
use policy::rendezvous;
use policy::replica_pace::ReplicaPace;
use policy::silence::{AnswerCount, RecentAnswers};

use crate::config::TargetEntry;
use crate::peer_message::{ModelWeightStatus, WeightStatus};

/// Time after a command in which only its sender follows it up; then other daemons may.
const COMMAND_FOLLOW_UP_TIME: Duration = Duration::from_secs(3);
/// How long a replica that rejected a request as full gets no requests.
const FULL_BACKOFF: Duration = Duration::from_millis(150);

/// Bounds on what replicas do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplicaTimeouts {
    /// How long a command to load weights may keep requests away before it counts as lost.
    pub load: Duration,
    /// How long a replica that is leaving surely runs on.
    pub drain: Duration,
}

/// The load of requests on a replica.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LoadCount {
    /// The number of requests.
    pub running: u32,
    /// Prompt tokens that are still to be prefilled.
    pub pending_tokens: u64,
    /// KV cache memory that they take, in tokens.
    pub kv_tokens: u64,
    /// Recent answers and failures.
    pub answers: AnswerCount,
}

/// A listed replica with its load, health and weights.
#[derive(Debug)]
pub struct Replica {
    /// Its entry in the listing.
    pub entry: TargetEntry,
    /// The hash of its id, by which daemons name it to each other.
    pub member: u64,
    /// The load of this daemon's requests; `answers` stays empty here.
    pub local_load: LoadCount,
    /// Whether it is leaving, by its listing, its own answers or a peer's report.
    pub leaving: bool,
    /// Its health by this daemon's requests; decides on pauses.
    pub health: ReplicaHealth,
    /// This daemon's recent answers and failures, which peers get as part of the load.
    pub recent_answers: RecentAnswers,
    /// When it last answered this daemon.
    pub(crate) answered_at: Option<Duration>,
    /// How long it wants no requests from this daemon.
    pub hold_off: HoldOff,
    /// The requests that it takes from all daemons together.
    pub(crate) request_limit: RequestLimit,
    /// Whether it is cold, as far as known; counts if `cold_rule` is set.
    pub(crate) cold: ColdPace,
    /// Set if its pool limits the requests to cold replicas.
    pub(crate) cold_rule: Option<ColdRule>,
    /// The cold state that was logged last.
    pub(crate) logged_cold: Option<ColdSource>,
    /// Whether an invalid statement of it was logged.
    pub(crate) logged_invalid: bool,
    /// The requests that all daemons together may have on it while it starts or recovers.
    pub(crate) pace: ReplicaPace,
    /// Until when it gets no requests because it was full.
    full_until: Duration,
    /// The versions of its weights and the commands to load others, by model.
    pub weights: EngineWeights,
    /// How many commands it has accepted, as far as known.
    pub accepted_commands: u64,
    /// When this daemon last learned of a command to it.
    pub last_command_at: Option<Duration>,
    /// When this daemon first counted it as leaving.
    leaving_since: Option<Duration>,
    /// Whether its failure domain is evacuated.
    pub(crate) evacuated: bool,
    pub(crate) timeouts: ReplicaTimeouts,
}

/// The requests that a replica takes from all daemons together, by its last answer.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct RequestLimit {
    /// `None` if it names no limit.
    pub(crate) rate: Option<RequestRate>,
    /// When it was known to answer so.
    stated_at: Duration,
    /// Until when this daemon gets no token for it.
    opens_at: Duration,
}

impl RequestLimit {
    /// Applies what the replica stated at a time, unless something later is known; returns whether
    /// its limit changes.
    pub(crate) fn apply(&mut self, stated_at: Duration, rate: Option<RequestRate>) -> bool {
        if stated_at < self.stated_at {
            return false;
        }
        let is_new = rate != self.rate;
        self.stated_at = stated_at;
        self.rate = rate;
        if is_new {
            self.opens_at = Duration::ZERO;
        }
        is_new
    }

    /// Records that there is no token before a time.
    pub(crate) fn close_until(&mut self, time: Duration) {
        self.opens_at = time;
    }

    /// When a token may be there; `None` if there may be one now.
    pub(crate) fn opens_at(&self, now: Duration) -> Option<Duration> {
        Some(self.opens_at).filter(|it| now < *it)
    }
}

impl LoadCount {
    /// Adds another load to this one.
    pub(crate) fn add(&mut self, other: &LoadCount) {
        self.running += other.running;
        self.pending_tokens += other.pending_tokens;
        self.kv_tokens += other.kv_tokens;
        self.answers.add(other.answers);
    }
}

impl Replica {
    pub(crate) fn new(entry: TargetEntry, timeouts: ReplicaTimeouts) -> Replica {
        Replica {
            member: rendezvous::hash_member(entry.id.as_str()),
            local_load: LoadCount::default(),
            leaving: entry.leaving,
            health: ReplicaHealth::default(),
            recent_answers: RecentAnswers::default(),
            answered_at: None,
            hold_off: HoldOff::default(),
            request_limit: RequestLimit::default(),
            cold: ColdPace::at_daemon_start(Duration::ZERO),
            cold_rule: None,
            logged_cold: None,
            logged_invalid: false,
            pace: ReplicaPace::default(),
            full_until: Duration::ZERO,
            weights: EngineWeights::new(&entry.weights),
            accepted_commands: 0,
            last_command_at: None,
            leaving_since: None,
            evacuated: false,
            timeouts,
            entry,
        }
    }

    /// What is known of its weights and commands, for peers. Of several models, daemons of the
    /// version before know the highest versions only.
    pub fn weight_status(&self) -> WeightStatus {
        WeightStatus {
            member: self.member,
            incarnation: self.entry.incarnation,
            loaded: self.weights.highest_loaded(),
            commanded: self.weights.highest_commanded(),
            accepted: self.accepted_commands,
        }
    }

    /// The same of each of its models; empty unless it has several.
    pub fn model_statuses(&self) -> impl Iterator<Item = ModelWeightStatus> {
        let models = self.weights.models().filter(|_| self.weights.only_model().is_none());
        models.map(|(model, it)| ModelWeightStatus {
            member: self.member,
            incarnation: self.entry.incarnation,
            model: model.into(),
            loaded: it.loaded,
            commanded: it.commanded(),
        })
    }

    /// This daemon's load on it, with its recent answers.
    pub(crate) fn own_load(&self, now: Duration) -> LoadCount {
        LoadCount { answers: self.recent_answers.count(now), ..self.local_load }
    }

    /// Stops requests to it for a moment, because it rejected one as full.
    pub(crate) fn mark_full(&mut self, now: Duration) {
        self.full_until = now + FULL_BACKOFF;
    }

    /// Notes the time if it has begun to leave since the last call.
    pub(crate) fn observe_leaving(&mut self, now: Duration) {
        if self.leaving {
            self.leaving_since.get_or_insert(now);
        }
    }

    /// Whether it may get a request now, for some model at least.
    pub fn accepts_requests(&self, now: Duration) -> bool {
        self.accepts_requests_for(now, None)
    }

    /// Whether it may get a request for this model now.
    pub(crate) fn accepts_requests_for(&self, now: Duration, model: Option<&str>) -> bool {
        let is_served = model.is_none_or(|it| self.weights.serves(it));
        is_served && self.state(now, model).withhold_reason(now, ReplicaUse::Request).is_none()
    }

    /// What decides whether it may be used for this model now.
    pub(crate) fn state(&self, now: Duration, model: Option<&str>) -> ReplicaState {
        ReplicaState {
            leaving: self.leaving,
            may_be_gone: self.leaving_since.is_some_and(|it| now >= it + self.timeouts.drain),
            hold_off: self.hold_off,
            evacuated: self.evacuated,
            running: self.local_load.running,
            full_until: self.full_until,
            health: self.health.state(now),
            is_loading: self.weights.is_loading(now, model, self.timeouts.load),
            limited_until: self.request_limit.opens_at,
        }
    }

    /// Its cold state; `None` if it is not cold or its pool does not limit cold replicas.
    pub(crate) fn cold_state(&self, now: Duration) -> Option<ColdState> {
        self.cold.state(now, self.cold_rule?)
    }

    /// The rule by which requests to it need tokens now, as it is cold.
    pub(crate) fn binding_cold_rule(&self, now: Duration) -> Option<ColdRule> {
        self.cold_rule.filter(|_| self.cold_state(now).is_some())
    }

    /// When it may get a request that it wants none of now; `None` if it wants one.
    pub(crate) fn wants_requests_at(&self, now: Duration) -> Option<Duration> {
        self.hold_off.ends_at(now).max(self.request_limit.opens_at(now))
    }

    /// Whether the sender of the last command may still be following it up.
    pub fn was_commanded_recently(&self, now: Duration) -> bool {
        self.weights.was_commanded_within(now, COMMAND_FOLLOW_UP_TIME)
    }

    /// Whether it was commanded to load weights of this model that it does not have yet. It accepts
    /// no requests for the model until its last running one has ended, which may take long.
    pub fn is_loading(&self, now: Duration, model: &str) -> bool {
        self.weights.is_loading(now, Some(model), self.timeouts.load)
    }

    /// Whether it was commanded to load weights of any model that it does not have yet.
    pub fn is_any_loading(&self, now: Duration) -> bool {
        self.weights.is_any_loading(now, self.timeouts.load)
    }
}

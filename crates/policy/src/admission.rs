//! Whether a replica may be used for something now and, if not, why not.
//!
//! Load pattern: replicas that drain, restart or are overloaded while first attempts, retries,
//! resumed streams and commands look for a replica; a path that forgets one of the reasons sends all
//! of its load to the replica that can take it least.

use std::fmt;
use std::time::Duration;

use crate::health::HealthState;
use crate::hold_off::HoldOff;

/// What a replica is to be used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaUse {
    /// A caller's request: its first attempt, a retry or the resumption of its stream.
    Request,
    /// A command to load weights, or a question about it.
    Command,
    /// Another replica fetches prompt parts that this one keeps.
    PartSource,
}

/// Why a replica may not be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WithholdReason {
    /// It will stop.
    Leaving,
    /// It wants nothing from this daemon for a while.
    HeldOff,
    /// Its failure domain is evacuated.
    Evacuated,
    /// It rejected a request as full a moment ago.
    Full,
    /// It failed recently.
    Paused,
    /// It was commanded to load weights and has not loaded them.
    LoadingWeights,
    /// It limits its requests, and there is no token for one.
    AtLimit,
    /// It is cold, and there is no token for a request.
    Cold,
}

/// All that the decision depends on, for one incarnation of a replica.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReplicaState {
    /// Whether it is known to be leaving.
    pub leaving: bool,
    /// Whether it has been leaving for so long that it may have stopped.
    pub may_be_gone: bool,
    /// How long it wants nothing from this daemon.
    pub hold_off: HoldOff,
    /// Whether its failure domain is evacuated.
    pub evacuated: bool,
    /// Other requests of this daemon that run on it.
    pub running: u32,
    /// Until when it counts as full.
    pub full_until: Duration,
    /// Its health.
    pub health: HealthState,
    /// Whether it is loading weights.
    pub is_loading: bool,
    /// Until when there is no token for a request, if it limits them.
    pub limited_until: Duration,
}

impl ReplicaState {
    /// The first reason that keeps the replica from being used at `now`; `None` if it may be used.
    /// What the replica says of itself comes before what operators set, and that before what the
    /// daemon concluded.
    pub fn withhold_reason(&self, now: Duration, usage: ReplicaUse) -> Option<WithholdReason> {
        let is_request = usage == ReplicaUse::Request;
        // Requests return step by step after a hold-off; all else is rare.
        let running = if is_request { self.running } else { 0 };
        let is_leaving = match usage {
            ReplicaUse::Request | ReplicaUse::Command => self.leaving,
            // It keeps its parts until it stops.
            ReplicaUse::PartSource => self.may_be_gone,
        };
        let is_unhealthy = match usage {
            ReplicaUse::Request => self.health == HealthState::Paused,
            // Commands find out whether the replica is back.
            ReplicaUse::Command => false,
            ReplicaUse::PartSource => self.health != HealthState::Healthy,
        };
        let reasons = [
            (is_leaving, WithholdReason::Leaving),
            (!self.hold_off.allows(now, running), WithholdReason::HeldOff),
            // Its weights are kept current, and its parts may be found nowhere else.
            (self.evacuated && is_request, WithholdReason::Evacuated),
            (now < self.full_until && usage != ReplicaUse::Command, WithholdReason::Full),
            (is_unhealthy, WithholdReason::Paused),
            (self.is_loading && usage != ReplicaUse::Command, WithholdReason::LoadingWeights),
            (now < self.limited_until && is_request, WithholdReason::AtLimit),
        ];
        reasons.into_iter().find_map(|(holds, reason)| holds.then_some(reason))
    }
}

impl WithholdReason {
    /// Its name in metrics.
    pub fn code(self) -> &'static str {
        match self {
            WithholdReason::Leaving => "leaving",
            WithholdReason::HeldOff => "held_off",
            WithholdReason::Evacuated => "evacuated",
            WithholdReason::Full => "full",
            WithholdReason::Paused => "paused",
            WithholdReason::LoadingWeights => "loading",
            WithholdReason::AtLimit => "limited",
            WithholdReason::Cold => "cold",
        }
    }

    /// Whether it also applies to requests that were placed and not sent yet: the replica or an
    /// operator stated it, while the other reasons are this daemon's own conclusions.
    pub fn is_stated(self) -> bool {
        use WithholdReason::{Evacuated, HeldOff, Leaving};
        matches!(self, Leaving | HeldOff | Evacuated)
    }
}

impl fmt::Display for WithholdReason {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            WithholdReason::Leaving => "it is leaving",
            WithholdReason::HeldOff => "it wants nothing for a while",
            WithholdReason::Evacuated => "its failure domain is evacuated",
            WithholdReason::Full => "it is full",
            WithholdReason::Paused => "it failed recently",
            WithholdReason::LoadingWeights => "it is loading weights",
            WithholdReason::AtLimit => "its limit of requests is reached",
            WithholdReason::Cold => "it is cold and there is no token",
        })
    }
}

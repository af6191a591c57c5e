//! One replica as this daemon sees it.

use std::time::Duration;

use catalog::Target;
use ids::VersionNumber;
use policy::health::{HealthState, ReplicaHealth};
use policy::placement::ReplicaView;
use policy::rendezvous;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Load beyond its slots that a replica is given, so that its queue does not run dry.
const MAX_LOAD_PER_SLOT: f64 = 1.25;

/// A replica with its health, version and load.
#[derive(Debug)]
pub(crate) struct Replica {
    pub(crate) target: Target,
    pub(crate) member: u64,
    pub(crate) health: ReplicaHealth,
    pub(crate) version: Option<VersionNumber>,
    pub(crate) outstanding: u32,
    pub(crate) reported: u32,
    pub(crate) reported_at: Duration,
    pub(crate) isolated: bool,
    /// It said itself that it leaves.
    pub(crate) leaving: bool,
    /// The platform's list says that it leaves.
    pub(crate) listed_leaving: bool,
}

/// One line of a pool's state for operators.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
pub struct ReplicaStatus {
    /// The replica.
    pub target: Box<str>,
    /// Its pool.
    pub pool: Box<str>,
    /// Where it listens.
    pub address: Box<str>,
    /// `good`, `paused`, `crash_loop` or `leaving`.
    pub health: Box<str>,
    /// Its life, if known.
    pub incarnation: Option<u64>,
    /// The version it runs, if known.
    pub version: Option<u64>,
    /// This daemon's requests on it.
    pub outstanding: u32,
    /// Requests it reported last.
    pub reported: u32,
}

impl Replica {
    pub(crate) fn new(target: Target) -> Replica {
        let member = rendezvous::hash_member(target.id.as_str());
        Replica {
            target,
            member,
            health: ReplicaHealth::default(),
            version: None,
            outstanding: 0,
            reported: 0,
            reported_at: Duration::ZERO,
            isolated: false,
            leaving: false,
            listed_leaving: false,
        }
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving || self.listed_leaving || self.target.leaving
    }

    pub(crate) fn view(&self, slots: u32) -> ReplicaView {
        ReplicaView {
            member: self.member,
            incarnation: self.health.incarnation().unwrap_or_default(),
            slots,
            outstanding: self.outstanding,
            reported: self.reported,
            reported_at: self.reported_at,
        }
    }

    pub(crate) fn accepts_requests(&self, now: Duration) -> bool {
        !self.is_leaving() && !self.isolated && self.health.state(now) == HealthState::Healthy
    }

    pub(crate) fn has_room(&self, now: Duration, slots: u32) -> bool {
        self.accepts_requests(now)
            && self.view(slots).load(now) < f64::from(slots) * MAX_LOAD_PER_SLOT
    }

    pub(crate) fn status(&self, now: Duration) -> ReplicaStatus {
        let health = match self.health.state(now) {
            _ if self.is_leaving() => "leaving",
            HealthState::Healthy => "good",
            HealthState::Paused => "paused",
            HealthState::CrashLoop => "crash_loop",
        };
        ReplicaStatus {
            target: self.target.id.as_str().into(),
            pool: self.target.pool.as_str().into(),
            address: self.target.address.to_string().into(),
            health: health.into(),
            incarnation: self.health.incarnation().map(|it| it.0),
            version: self.version.map(|it| it.0),
            outstanding: self.outstanding,
            reported: self.reported,
        }
    }
}

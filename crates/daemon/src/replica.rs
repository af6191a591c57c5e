//! One replica as this daemon sees it.

use std::time::Duration;

use catalog::Target;
use ids::VersionNumber;
use policy::health::{HealthState, ReplicaHealth};
use policy::placement::ReplicaView;
use policy::rendezvous;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Load per slot up to which a replica is given requests. Above 1, so that a request already waits
/// at the replica when one of its slots gets free.
const MAX_LOAD_PER_SLOT: f64 = 1.25;

/// A target of the catalog with its health, version and load.
#[derive(Debug)]
pub(crate) struct Replica {
    pub(crate) target: Target,
    /// Hash of the target's id, by which policy and peers name it.
    pub(crate) member: u64,
    pub(crate) health: ReplicaHealth,
    /// The version it last reported; `None` before the first report.
    pub(crate) version: Option<VersionNumber>,
    /// Requests of this daemon that run on it.
    pub(crate) outstanding: u32,
    /// Running requests that it last reported, of all daemons.
    pub(crate) reported: u32,
    /// When it last reported, on the daemon's clock.
    pub(crate) reported_at: Duration,
    /// Whether an isolated request of this daemon runs on it, alone among this daemon's requests.
    pub(crate) isolated: bool,
    /// Whether it reports itself that it is leaving.
    pub(crate) leaving: bool,
    /// Whether the platform lists it as leaving.
    pub(crate) listed_leaving: bool,
}

/// The state of one replica on the status page, as the answering daemon knows it.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
pub struct ReplicaStatus {
    /// Id of the target.
    pub target: Box<str>,
    /// Id of its pool.
    pub pool: Box<str>,
    /// Its address from the catalog, `ip:port`.
    pub address: Box<str>,
    /// `good`, `paused`, `crash_loop` or `leaving`.
    pub health: Box<str>,
    /// The incarnation that it last reported, if any.
    pub incarnation: Option<u64>,
    /// The version that it last reported, if any.
    pub version: Option<u64>,
    /// Requests of this daemon that run on it.
    pub outstanding: u32,
    /// Running requests that it last reported, of all daemons.
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

    /// Whether it, the platform or the catalog says that it is leaving.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving || self.listed_leaving || self.target.leaving
    }

    /// What placement needs to know of it; `slots` is the pool's concurrency per replica.
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

    /// Whether it is healthy, not leaving and not isolated; its load is not considered.
    pub(crate) fn accepts_requests(&self, now: Duration) -> bool {
        !self.is_leaving() && !self.isolated && self.health.state(now) == HealthState::Healthy
    }

    /// Whether it accepts requests and its load per slot is below [`MAX_LOAD_PER_SLOT`].
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

//! How a pool's traffic moves to a new release of its software.
//!
//! The load pattern that this answers: the new release may fail at once, later, or only under load.
//! A small share of the traffic goes to it for the first half of the time, then more from look to
//! look. The old release keeps its replicas until nothing runs on them any more, so that the way
//! back is open at each moment before.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A share of a pool's requests, in thousandths.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TrafficShare(pub u16);

impl fmt::Display for TrafficShare {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/1000", self.0)
    }
}

/// The text is no share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidShare;

impl fmt::Display for InvalidShare {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a share is a number from 0 to 1000, followed by /1000")
    }
}

impl std::error::Error for InvalidShare {}

impl FromStr for TrafficShare {
    type Err = InvalidShare;

    fn from_str(text: &str) -> Result<TrafficShare, InvalidShare> {
        let number = text.strip_suffix("/1000").and_then(|it| it.parse().ok());
        number.map(TrafficShare).filter(|it| *it <= ALL_TRAFFIC).ok_or(InvalidShare)
    }
}

/// All requests.
pub const ALL_TRAFFIC: TrafficShare = TrafficShare(1_000);
/// The part of the allowed exposure that the trial uses, since daemons draw independently.
const TRIAL_SHARE: f64 = 0.8;
/// When traffic begins to grow beyond the trial's share, as a share of the rollout's time.
const GROWTH_START: f64 = 0.5;
/// The time from the trial's share to all traffic, as a share of the rollout's time.
const GROWTH_TIME: f64 = 0.2;
/// Requests on the new release needed before its traffic grows.
const MIN_TRIAL_REQUESTS: u64 = 20;
/// The same is allowed with fewer requests after this share of the rollout's time: the pool gets
/// too few.
const FEW_REQUESTS_START: f64 = 0.6;
/// Share of the old release's replicas that the new one needs before it gets more traffic.
const MIN_REPLICA_SHARE: f64 = 0.5;

/// How long no other daemon may have moved a rollout on before the daemon next in rank decides too.
const TAKEOVER_TIME: Duration = Duration::from_millis(1_500);
/// Daemons that may decide, in rank. More would call the store without need.
const DECIDING_RANKS: usize = 3;

/// Whether a daemon of this rank decides about a rollout that others last moved on `unheard` ago.
/// The first in rank may be cut off from the store. It does no harm if several decide: they come to
/// the same stages, and their writes are on condition.
pub fn may_decide(rank: usize, unheard: Duration) -> bool {
    rank < DECIDING_RANKS && unheard >= TAKEOVER_TIME * rank as u32
}

/// How far a rollout is. Later stages are greater, so that daemons agree on the greatest they hear
/// of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RolloutStage {
    /// The new release gets this share of the requests.
    Running(TrafficShare),
    /// The new release was found bad and gets no requests.
    RolledBack,
    /// The old releases are being stopped. Only the store's row leads to this stage.
    Completed,
}

/// What the decision about the next stage depends on.
#[derive(Debug, Clone, Copy)]
pub struct RolloutView {
    /// The current stage.
    pub stage: RolloutStage,
    /// The time since this daemon learned of the rollout.
    pub age: Duration,
    /// The time within which it is to end.
    pub duration: Duration,
    /// The time between two looks.
    pub period: Duration,
    /// The share of the requests that a bad release may get.
    pub exposure: f64,
    /// Requests that ended on the new release.
    pub new_requests: u64,
    /// The evidence leans against the release.
    pub suspect: bool,
    /// Replicas of the new and of older releases that accept requests.
    pub replicas: (usize, usize),
    /// For how long nothing has run on older releases, by reports of all daemons.
    pub old_idle: Duration,
    /// How long it takes until all daemons follow a stage and their reports say so.
    pub settle_time: Duration,
}

/// The stage in which a rollout starts.
pub fn first_stage(exposure: f64) -> RolloutStage {
    RolloutStage::Running(trial_share(exposure))
}

fn trial_share(exposure: f64) -> TrafficShare {
    let share = exposure.clamp(0.0, 1.0) * TRIAL_SHARE * f64::from(ALL_TRAFFIC.0);
    TrafficShare((share as u16).max(1))
}

/// The next stage of a release without a known fault.
pub fn next_stage(view: RolloutView) -> RolloutStage {
    let RolloutStage::Running(share) = view.stage else { return view.stage };
    if share == ALL_TRAFFIC {
        let is_drained = !view.suspect && view.old_idle >= view.settle_time;
        return if is_drained { RolloutStage::Completed } else { view.stage };
    }
    let (new_replicas, old_replicas) = view.replicas;
    let has_capacity =
        new_replicas > 0 && new_replicas as f64 >= old_replicas as f64 * MIN_REPLICA_SHARE;
    let has_evidence = view.new_requests >= MIN_TRIAL_REQUESTS
        || view.age >= view.duration.mul_f64(FEW_REQUESTS_START);
    let may_grow = has_capacity && has_evidence && !view.suspect;
    if !may_grow || view.age < view.duration.mul_f64(GROWTH_START) {
        return view.stage;
    }
    // By the same factor at each look, so that a fault that shows with more traffic meets little of
    // it before it is found.
    let looks = view.duration.mul_f64(GROWTH_TIME).as_secs_f64() / view.period.as_secs_f64();
    let all = f64::from(ALL_TRAFFIC.0);
    let factor = (all / f64::from(trial_share(view.exposure).0)).powf(1.0 / looks.max(1.0));
    let grown = (f64::from(share.0) * factor).ceil().clamp(f64::from(share.0) + 1.0, all);
    RolloutStage::Running(TrafficShare(grown as u16))
}

/// How many of the new release's replicas get requests at this share, so that each gets as many as
/// under full load.
pub fn trial_replicas(share: TrafficShare, replicas: usize) -> usize {
    (replicas * usize::from(share.0)).div_ceil(usize::from(ALL_TRAFFIC.0)).max(1)
}

//! Chooses the replica for one attempt of a request, and waits for one if none can take it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ids::ErrorKind;
use policy::crash_suspects::{AnswerProgress, SuspectVerdict};
use policy::engine_room;
use policy::home_areas::HomeAreas;
use policy::replica_pace::SHARE_TURN;

use crate::call::{Call, MAX_UNSENT_ATTEMPTS};
use crate::crash_reports::{self, CrashKeys};
use crate::dialect::Dialect;
use crate::directory::Directory;
use crate::fleet::FleetTable;
use crate::gateway::{Gateway, lock};
use crate::placement::{PlacedTarget, PlacementMiss, PlacementQuery, PromptQuery, ReleaseFilter};
use crate::prompt_spec::PromptSpec;
use crate::refusal::CallRefusal;
use crate::request_limits;
use crate::rollout_choice::{ReleaseChoice, ReleaseEvidence};

/// How long a request waits for a replica when none can take it, as a share of its objective.
const PLACEMENT_WAIT_SHARE: f64 = 0.5;
/// Longest time between two searches for a replica: nothing signals the end of a replica's pause.
const PLACEMENT_RETRY_INTERVAL: Duration = Duration::from_millis(60);
/// When all replicas of a pool want no requests for a while, callers return within this multiple of
/// that time, so that they do not all return at once.
const HELD_OFF_SPREAD: f64 = 1.25;
/// Callers that found no room return within this multiple of the retry delay, so that they do not
/// all return at once.
const ROOM_RETRY_SPREAD: f64 = 2.0;
/// Cost of running on older weights in the choice of an engine, as a share of the objective.
const OLD_WEIGHTS_COST_SHARE: f64 = 0.2;

/// A request counted in a replica's load, until this is dropped.
pub(crate) struct Placement<D: Dialect, S: Directory> {
    gateway: Arc<Gateway<D, S>>,
    pub(crate) target: PlacedTarget,
    /// Set while a release is on trial in the pool.
    pub(crate) evidence: Option<ReleaseEvidence>,
    /// Whether its prompt no longer counts as pending.
    pub(crate) prefilled: bool,
    crash_keys: CrashKeys,
    /// Whether the request may have reached the replica.
    pub(crate) is_sent: bool,
    pub(crate) progress: AnswerProgress,
    /// Whether the replica answered to the end, or said that it did not run the request.
    pub(crate) is_answered: bool,
}

/// A replica that limits its requests takes none now.
struct TokenMissing;

impl<D: Dialect, S: Directory> Call<D, S> {
    /// Reserves capacity on a replica, waiting for a share of the objective if none is available.
    pub(crate) async fn acquire_placement(&mut self) -> Result<Placement<D, S>, CallRefusal> {
        let verdict = self.check_crash_suspect()?;
        let asked_at = self.gateway.now();
        let res = self.wait_for_placement().await;
        let waited = self.gateway.now().saturating_sub(asked_at);
        self.gateway.metrics.record_placement_wait(waited);
        // Crashes may have become known while it waited.
        let is_suspect = || crash_reports::check(&self.gateway, &self.crash_keys) != Ok(verdict);
        if verdict == SuspectVerdict::Allowed && res.is_ok() && is_suspect() {
            return Err(self.qualify_refusal(CallRefusal::not_run(ErrorKind::CrashSuspect)));
        }
        res
    }

    async fn wait_for_placement(&mut self) -> Result<Placement<D, S>, CallRefusal> {
        let give_up_at = self.gateway.now() + self.placement_wait();
        loop {
            self.update_cache_scope();
            let (areas, home_store) = self.home_areas();
            let freed = self.gateway.capacity_freed.notified();
            let placement = self.try_placement(&areas, home_store);
            if let Err(PlacementMiss::NoRoom(fraction)) = placement {
                self.check_room_wait(fraction, give_up_at)?;
            }
            if let Ok(mut placement) = placement {
                match self.take_limit_token(&placement.target).await {
                    Ok(token_at) => {
                        placement.target.token_at = token_at;
                        self.record_placement(&placement.target);
                        return Ok(placement);
                    }
                    Err(TokenMissing) if self.gateway.now() < give_up_at => continue,
                    Err(TokenMissing) => {}
                }
            }
            // No other replica is available: allow those on which an attempt failed.
            if !self.excluded.is_empty() && self.unsent_attempts < MAX_UNSENT_ATTEMPTS {
                self.excluded.clear();
                continue;
            }
            let now = self.gateway.now();
            let (has_active, held_off_until, is_pacing) = {
                let fleet = lock(&self.gateway.fleet);
                let has_active = fleet.has_active_replica(&self.pool, &areas);
                let held_off_until = fleet.held_off_until(now, &self.pool, &areas);
                (has_active, held_off_until, fleet.is_pacing())
            };
            let give_up_at = give_up_at.min(self.deadline);
            if let Some(until) = held_off_until.filter(|it| *it >= give_up_at) {
                self.log_no_replica(now, &areas);
                let delay = (until - now).mul_f64(rand::random_range(1.0..HELD_OFF_SPREAD));
                let refusal = CallRefusal::not_run(ErrorKind::NoTarget);
                return Err(self.qualify_refusal(refusal.retry_after(delay)));
            }
            let left = give_up_at.saturating_sub(now);
            if !has_active || left.is_zero() {
                self.log_no_replica(now, &areas);
                let refusal = CallRefusal::not_run(ErrorKind::NoTarget);
                return Err(self.qualify_refusal(refusal.retry_after(self.retry_delay())));
            }
            let opens_at = lock(&self.gateway.fleet).cold_opens_at(now, &self.pool);
            let until_token = opens_at.map_or(left, |it| it.saturating_sub(now));
            // A longer pause would miss this daemon's turns on a paced replica.
            let interval = if is_pacing { SHARE_TURN / 2 } else { PLACEMENT_RETRY_INTERVAL };
            let pause = left.min(interval).min(until_token);
            let _ = tokio::time::timeout(pause, freed).await;
        }
    }

    /// Refuses a request at once that is not expected to find room before `give_up_at`. It may return
    /// when it would have found room here.
    fn check_room_wait(&self, fraction: f64, give_up_at: Duration) -> Result<(), CallRefusal> {
        let left = give_up_at.saturating_sub(self.gateway.now());
        let expected = engine_room::expected_wait(fraction, PLACEMENT_RETRY_INTERVAL);
        if expected.is_some_and(|it| it <= self.placement_wait()) {
            return Ok(());
        }
        self.gateway.metrics.record_room_refusal();
        let fraction = (fraction * 1_000.0).round() / 1_000.0;
        let left_ms = left.as_millis() as u64;
        tracing::info!(
            request = %self.head.attempt_id, pool = %self.pool, fraction, left_ms,
            "call: the engines have no room in time"
        );
        let delay = self.retry_delay().mul_f64(rand::random_range(1.0..ROOM_RETRY_SPREAD));
        let refusal = CallRefusal::not_run(ErrorKind::QueueFull).retry_after(delay);
        Err(self.qualify_refusal(refusal))
    }

    fn placement_wait(&self) -> Duration {
        self.route.objective.mul_f64(PLACEMENT_WAIT_SHARE)
    }

    /// Applies a change of the configuration since the request arrived to whose cached prompts it may
    /// use.
    fn update_cache_scope(&mut self) {
        let Some(config) = self.gateway.config() else { return };
        if let Some(prompt) = self.prompt.as_mut().filter(|_| !Arc::ptr_eq(&config, &self.config)) {
            prompt.cache_scope = config.cache_scope(self.customer.as_ref());
        }
    }

    /// Records that the request is about to be sent to a replica.
    fn record_placement(&self, target: &PlacedTarget) {
        let now = self.gateway.now();
        let speed = *lock(&self.gateway.speed);
        let mut fleet = lock(&self.gateway.fleet);
        if let Some(prompt) = &self.prompt {
            fleet.record_placed_prompt(now, target, prompt, speed);
        }
        let load_age = fleet.load_age(now);
        drop(fleet);
        self.log_placement(target, load_age);
    }

    /// Takes a token of a replica that limits its requests or is cold, and returns when; without one
    /// the replica is closed here until there may be one.
    async fn take_limit_token(
        &self,
        target: &PlacedTarget,
    ) -> Result<Option<Duration>, TokenMissing> {
        let taken = request_limits::take(&self.gateway, &self.head.attempt_id, target).await;
        taken.map_err(|wait| {
            lock(&self.gateway.fleet).close_until(target, self.gateway.now() + wait);
            TokenMissing
        })
    }

    /// The failure domains that the request may use, and the KV store if it is in them. The newest
    /// configuration decides unless the route or the customer has been removed from it.
    fn home_areas(&self) -> (HomeAreas, Option<SocketAddr>) {
        let newest = self.gateway.config();
        if self.config.regions.is_empty() && newest.as_ref().is_none_or(|it| it.regions.is_empty())
        {
            return (HomeAreas::Everywhere, None);
        }
        let newest = newest.filter(|it| {
            it.routes.iter().any(|it| it.id == self.route.id)
                && self.customer.as_ref().is_none_or(|id| it.customers.contains_key(id))
        });
        let config = newest.unwrap_or_else(|| self.config.clone());
        let domains = &self.gateway.settings().domain_regions;
        let areas = config.home_areas(domains, &self.route.id, self.customer.as_ref());
        let store = config.home_store(&areas);
        (areas, store)
    }

    fn try_placement(
        &self,
        areas: &HomeAreas,
        home_store: Option<SocketAddr>,
    ) -> Result<Placement<D, S>, PlacementMiss> {
        let gateway = &self.gateway;
        let now = gateway.now();
        let speed = *lock(&gateway.speed);
        let (rollout, min_weights) = {
            let view = lock(&gateway.view);
            let age = gateway.max_old_weights_age();
            let min_version = |prompt: &PromptSpec| view.min_weights(&prompt.model, now, age);
            (view.rollout(&self.pool).cloned(), self.prompt.as_ref().map_or(0, min_version))
        };
        let rollout = rollout.map(|it| {
            let rollouts = lock(&gateway.rollouts);
            let stage = rollouts.stage(&self.pool, it.revision);
            (it, stage, rollouts.history(&self.pool))
        });
        let (peers, gossip_delay) = {
            let members = lock(&gateway.members);
            (members.reachable(now).count(), members.gossip_delay())
        };
        let mut fleet = lock(&gateway.fleet);
        let choice = rollout.map(|(rollout, stage, history)| {
            ReleaseChoice::new(&fleet, &self.pool, rollout, stage, history, self.release_draw)
        });
        let engine = self.config.pools.get(&self.pool).and_then(|it| it.engine.as_ref());
        let limits_load = gateway.settings().bounds.limits_engine_load;
        let late_at = self.started_at + self.route.objective;
        let time_left_s = limits_load.then(|| late_at.saturating_sub(now).as_secs_f64());
        let place = |fleet: &mut FleetTable, releases: ReleaseFilter<'_>| {
            let query = PlacementQuery {
                pool: &self.pool,
                releases,
                excluded_targets: &self.excluded,
                model: self.prompt.as_ref().map(|it| &*it.model),
                min_weights,
                areas,
                home_store,
            };
            match (&self.prompt, engine) {
                (Some(prompt), Some(engine)) => {
                    let old_weights_s = self.route.objective.as_secs_f64() * OLD_WEIGHTS_COST_SHARE;
                    let prompt_query = PromptQuery {
                        prompt,
                        engine,
                        speed,
                        old_weights_s,
                        time_left_s,
                        peers,
                        gossip_delay,
                    };
                    fleet.place_prompt(now, query, prompt_query)
                }
                _ => fleet.place_plain(now, query).ok_or(PlacementMiss::NoReplica),
            }
        };
        let (target, evidence) = match &choice {
            None => (place(&mut fleet, ReleaseFilter::Any)?, None),
            Some(choice) => {
                let filters = choice.filters(&fleet);
                let mut filters = filters.into_iter();
                let first = filters
                    .next()
                    .map_or(Err(PlacementMiss::NoReplica), |it| place(&mut fleet, it));
                let target =
                    filters.fold(first, |found, it| found.or_else(|_| place(&mut fleet, it)))?;
                let release = fleet.get(&target.id).map(|it| &it.entry.release);
                (target, release.and_then(|it| choice.evidence(it)))
            }
        };
        drop(fleet);
        Ok(Placement {
            gateway: gateway.clone(),
            target,
            evidence,
            prefilled: false,
            crash_keys: self.crash_keys.clone(),
            is_sent: false,
            progress: AnswerProgress::default(),
            is_answered: false,
        })
    }
}

impl<D: Dialect, S: Directory> Drop for Placement<D, S> {
    fn drop(&mut self) {
        if self.is_sent && !self.is_answered {
            crash_reports::record_unanswered(&self.gateway, self, &self.crash_keys);
        }
        lock(&self.gateway.fleet).release(&self.target, self.prefilled);
        self.gateway.capacity_freed.notify_one();
    }
}

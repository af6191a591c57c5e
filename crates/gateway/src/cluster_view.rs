//! This daemon's copy of the configuration, published weights, rollouts and the list of replicas,
//! with the time at which each was last known to be current. A copy is never replaced by an older
//! revision. When the store comes back from an older copy, what operators set before stays in force
//! until they have written it again.

use std::sync::Arc;
use std::time::Duration;

use ids::{FailureDomain, PoolId, Revision};
use indexmap::IndexMap;
use xxhash_rust::xxh3;

use crate::config::{ControlState, PoolRollout, SiteConfig, TargetEntry, WeightVersion};
use crate::directory::Snapshot;
use crate::removed_targets::RemovedTargets;

/// Versions of one model's weights that are remembered, the newest ones.
const MAX_KNOWN_VERSIONS: usize = 16;
/// The time that operators have to write again what a store has lost that came back from an older
/// copy.
const REWRITE_TIME: Duration = Duration::from_secs(10);

/// The list of replicas as the platform held it at one moment.
#[derive(Debug, Clone)]
pub struct TargetListing {
    /// The revision of the store's list.
    pub revision: Revision,
    /// A time on this daemon's clock at which the list was still current.
    pub read_at: Duration,
    /// The replicas as listed.
    pub entries: Arc<[TargetEntry]>,
    /// A hash of the entries, by which daemons compare their lists.
    pub hash: u64,
}

/// The configuration, weight versions, rollouts and replica list known to this daemon.
#[derive(Debug, Default)]
pub struct ClusterView {
    config: Option<Arc<SiteConfig>>,
    /// Published versions of each model's weights in ascending order, each with the time of its
    /// publication as far as known.
    weights: IndexMap<Box<str>, Vec<(u64, Duration)>>,
    /// The newest rollout of each pool, with the time at which this daemon learned of it.
    rollouts: IndexMap<PoolId, (PoolRollout, Duration)>,
    listing: Option<TargetListing>,
    removed: RemovedTargets,
    control_revision: Revision,
    control_confirmed_at: Option<Duration>,
    control_hash: u64,
    /// The evacuated failure domains as of `control_revision`; `None` if there never were any, as
    /// far as known.
    evacuated: Option<Vec<FailureDomain>>,
    /// Until when evacuations that the store does not name may be lost rather than ended; `None`
    /// unless it came back from an older copy.
    rewritten_by: Option<Duration>,
    /// Rollouts that were ordered before and have another revision since the store came back.
    renumbered: Vec<RenumberedOrder>,
    /// Whether a state of this revision lacked something that is known here.
    is_ahead: bool,
    /// Whether a version of weights was found that may be much older than this daemon knows.
    asks_for_ages: bool,
}

/// What is assumed of a version of weights whose publication this daemon did not see.
#[derive(Debug, Clone, Copy)]
pub struct UnseenVersion {
    /// Its age if this daemon knew no version of the model before.
    pub initial_age: Duration,
    /// If the state before was confirmed longer ago than this, the version may be much older than
    /// the time of the read.
    pub max_gap: Duration,
}

/// The order of a rollout whose row has another revision in a later era of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RenumberedOrder {
    /// The pool that it moves.
    pub pool: PoolId,
    /// Its revision before.
    pub before: Revision,
    /// Its revision now.
    pub after: Revision,
}

/// Which parts of a view an update changed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ViewChange {
    /// A newer configuration is in force.
    pub config: bool,
    /// A newer version of some model's weights was published.
    pub weights: bool,
    /// A rollout was started or changed.
    pub rollouts: bool,
    /// The evacuation of a failure domain began or ended.
    pub evacuated: bool,
    /// The list of replicas differs from the one before.
    pub listing: bool,
}

impl ViewChange {
    /// Whether any part changed.
    pub fn any(self) -> bool {
        self.config || self.weights || self.rollouts || self.evacuated || self.listing
    }
}

impl ClusterView {
    /// The configuration in force; `None` until the first was read.
    pub fn config(&self) -> Option<&Arc<SiteConfig>> {
        self.config.as_ref()
    }

    /// The newest version of a model's weights and the time at which it was published, as far as
    /// known.
    pub fn latest_weights(&self, model: &str) -> Option<(u64, Duration)> {
        self.weights.get(model)?.last().copied()
    }

    /// The oldest version of a model's weights that a request may still start on: the newest one
    /// that was published at least `age` ago, or 0.
    pub fn min_weights(&self, model: &str, now: Duration, age: Duration) -> u64 {
        let versions = self.weights.get(model).map_or(&[][..], |it| it);
        let due = versions.iter().rev().find(|it| it.1 + age <= now);
        due.map_or(0, |it| it.0)
    }

    /// The newest rollout of a pool.
    pub fn rollout(&self, pool: &PoolId) -> Option<&PoolRollout> {
        self.rollouts.get(pool).map(|it| &it.0)
    }

    /// The newest rollout of each pool, with the time since this daemon learned of it.
    pub fn rollouts(&self, now: Duration) -> Vec<(PoolRollout, Duration)> {
        let known = self.rollouts.values();
        known.map(|(it, at)| (it.clone(), now.saturating_sub(*at))).collect()
    }

    /// The evacuated failure domains, in ascending order.
    pub fn evacuated(&self) -> &[FailureDomain] {
        self.evacuated.as_deref().unwrap_or_default()
    }

    /// The newest list of replicas; `None` until the first was read.
    pub fn listing(&self) -> Option<&TargetListing> {
        self.listing.as_ref()
    }

    /// When the control state was last known to be current.
    pub fn control_confirmed_at(&self) -> Option<Duration> {
        self.control_confirmed_at
    }

    /// The store's revision of the control state.
    pub fn control_revision(&self) -> Revision {
        self.control_revision
    }

    /// Whether peers or the store, at the newest known revision, may lack control state that is known
    /// here: the store came back from an older copy.
    pub fn is_ahead(&self) -> bool {
        self.is_ahead
    }

    /// The whole control state, to be sent to a peer. Times of publication are given as ages, since
    /// daemons share no clock.
    pub fn control(&self, now: Duration) -> ControlState {
        let published = |(version, at): (u64, Duration)| WeightVersion {
            version,
            age: Some(now.saturating_sub(at)),
        };
        let superseded = |known: &[(u64, Duration)]| {
            let earlier = known.split_last().map_or(&[][..], |it| it.1);
            earlier.iter().map(|it| published(*it)).collect()
        };
        ControlState {
            config: self.config.as_deref().cloned(),
            weights: self.newest_weights().map(|it| (it.0.clone(), published(it.1))).collect(),
            rollouts: self.rollouts.iter().map(|(id, it)| (id.clone(), it.0.clone())).collect(),
            superseded_weights: self
                .weights
                .iter()
                .map(|(model, known)| (model.clone(), superseded(known)))
                .collect(),
            evacuated: self.evacuated.clone(),
        }
    }

    /// Whether peers are to be asked for the whole control state, as it says how old weights are.
    pub fn asks_for_ages(&self) -> bool {
        self.asks_for_ages
    }

    /// Merges a control state that was current at `read_at`. Its ages are as of `now`. A version
    /// whose age the state does not say counts from now, unless `unseen` says otherwise.
    pub fn apply_control(
        &mut self,
        now: Duration,
        read_at: Duration,
        unseen: UnseenVersion,
        snapshot: Snapshot<ControlState>,
    ) -> ViewChange {
        let mut change = ViewChange::default();
        let was_interrupted =
            self.control_confirmed_at.is_some_and(|it| it + unseen.max_gap < read_at);
        let state = snapshot.value;
        self.observe_era(snapshot.revision, read_at);
        change.evacuated = self.apply_evacuated(snapshot.revision, read_at, &state);
        let lacks_known = self.is_lacking(&state);
        if lacks_known || snapshot.revision > self.control_revision {
            self.is_ahead = lacks_known;
        }
        // A state that leaves out evacuations comes from a daemon that knows of none. It does not
        // confirm those known here, so that this daemon soon reads the store itself.
        if state.evacuated.is_some() || self.evacuated().is_empty() {
            self.confirm_control(snapshot.revision, read_at);
        }
        if let Some(config) = state.config {
            // A daemon of the version before passes the same revision on without regions and rules for
            // cold replicas.
            let newer = self.config.as_ref().is_none_or(|it| {
                let adds_regions = it.regions.is_empty() && !config.regions.is_empty();
                let adds_rules = it.cold_rules().is_empty() && !config.cold_rules().is_empty();
                it.revision < config.revision
                    || it.revision == config.revision && (adds_regions || adds_rules)
            });
            if newer {
                change.config = true;
                self.config = Some(Arc::new(config));
            }
        }
        for (model, published) in state.weights {
            let known = self.weights.entry(model).or_default();
            let initial_age = if known.is_empty() { unseen.initial_age } else { Duration::ZERO };
            let published_at = now.saturating_sub(published.age.unwrap_or(initial_age));
            let is_newest = known.last().is_none_or(|it| it.0 <= published.version);
            if is_newest && published.age.is_some() {
                self.asks_for_ages = false;
            }
            match known.last_mut() {
                Some(it) if it.0 > published.version => {}
                Some(it) if it.0 == published.version => {
                    if published.age.is_some() {
                        it.1 = it.1.min(published_at);
                    }
                }
                last => {
                    let is_unseen = last.is_some() && published.age.is_none();
                    self.asks_for_ages |= is_unseen && was_interrupted;
                    known.push((published.version, published_at));
                    change.weights = true;
                }
            }
        }
        for (model, versions) in state.superseded_weights {
            let Some(known) = self.weights.get_mut(&model) else { continue };
            for it in versions {
                let Some(age) = it.age else { continue };
                merge_superseded(known, it.version, now.saturating_sub(age));
            }
        }
        for known in self.weights.values_mut() {
            known.drain(..known.len().saturating_sub(MAX_KNOWN_VERSIONS));
        }
        for (pool, rollout) in state.rollouts {
            let mut learned_at = now;
            if let Some((known, at)) = self.rollouts.get(&pool) {
                if known.revision >= rollout.revision {
                    continue;
                }
                // In a later era, the same move is the same order: its row was in the copy or was
                // written again.
                if known.revision.era() < rollout.revision.era() && known.to == rollout.to {
                    learned_at = *at;
                    let (before, after) = (known.revision, rollout.revision);
                    self.renumbered.push(RenumberedOrder { pool: pool.clone(), before, after });
                }
            }
            self.rollouts.insert(pool, (rollout, learned_at));
            change.rollouts = true;
        }
        if change.any() {
            self.control_hash = self.compute_control_hash();
        }
        change
    }

    /// The orders that were renumbered since the last call.
    pub fn take_renumbered(&mut self) -> Vec<RenumberedOrder> {
        std::mem::take(&mut self.renumbered)
    }

    /// Replaces the evacuated domains by those of a state with a newer revision; returns whether they
    /// differ. A state without the known configuration comes from a store that has lost rows: its
    /// evacuations begin, and those that it does not name go on.
    fn apply_evacuated(
        &mut self,
        revision: Revision,
        read_at: Duration,
        state: &ControlState,
    ) -> bool {
        let Some(stated) = &state.evacuated else { return false };
        let rewrite_ended = self.rewritten_by.take_if(|it| *it <= read_at).is_some();
        let is_newer = self.control_confirmed_at.is_none() || revision > self.control_revision;
        let is_newer = is_newer || (rewrite_ended && revision == self.control_revision);
        if !is_newer || (stated.is_empty() && self.evacuated.is_none()) {
            return false;
        }
        let known_config = self.config.as_ref().map(|it| it.revision);
        let has_lost_rows = self.rewritten_by.is_some()
            || state.config.as_ref().map(|it| it.revision) < known_config;
        let kept = if has_lost_rows { self.evacuated() } else { &[] };
        let mut next: Vec<FailureDomain> = stated.iter().chain(kept).cloned().collect();
        next.sort_unstable();
        next.dedup();
        let differs = *next != *self.evacuated();
        self.evacuated = Some(next);
        differs
    }

    /// Notes that the store came back from an older copy.
    fn observe_era(&mut self, revision: Revision, read_at: Duration) {
        if self.control_confirmed_at.is_some() && revision.era() > self.control_revision.era() {
            self.rewritten_by = Some(read_at + REWRITE_TIME);
        }
    }

    /// Whether a state lacks something that is known here.
    fn is_lacking(&self, state: &ControlState) -> bool {
        let known_config = self.config.as_ref().map(|it| it.revision);
        let lacks_weights = self
            .newest_weights()
            .any(|(model, known)| state.weights.get(model).is_none_or(|it| it.version < known.0));
        state.config.as_ref().map(|it| it.revision) < known_config
            || lacks_weights
            || self.rollouts.keys().any(|it| !state.rollouts.contains_key(it))
    }

    /// A hash of the control state, by which daemons compare theirs.
    pub fn control_hash(&self) -> u64 {
        self.control_hash
    }

    fn newest_weights(&self) -> impl Iterator<Item = (&Box<str>, (u64, Duration))> {
        self.weights.iter().filter_map(|(model, it)| Some((model, *it.last()?)))
    }

    fn compute_control_hash(&self) -> u64 {
        let config = self.config.as_ref().map(|it| it.revision);
        let weights: Vec<_> = self.newest_weights().map(|it| (it.0, it.1.0)).collect();
        let rollouts: Vec<_> = self.rollouts.values().map(|it| it.0.revision).collect();
        let has_regions = self.config.as_ref().is_some_and(|it| !it.regions.is_empty());
        // The hash of daemons of the version before, if there is nothing that they do not know.
        if self.evacuated().is_empty() && !has_regions {
            return hash_value(&(config, weights, rollouts));
        }
        hash_value(&(config, weights, rollouts, self.evacuated(), has_regions))
    }

    /// Records that the control state of this revision was current at `read_at`.
    pub fn confirm_control(&mut self, revision: Revision, read_at: Duration) {
        if revision >= self.control_revision {
            self.observe_era(revision, read_at);
            self.control_revision = revision;
            self.control_confirmed_at = self.control_confirmed_at.max(Some(read_at));
        }
    }

    /// Records that the known list was still current at `read_at`, in a later revision of the
    /// store.
    pub fn confirm_listing(&mut self, revision: Revision, read_at: Duration) {
        if let Some(it) = &mut self.listing {
            it.revision = it.revision.max(revision);
            it.read_at = it.read_at.max(read_at);
        }
    }

    /// Replaces the list by one read at `read_at`, unless the known one has a newer revision.
    pub fn apply_listing(
        &mut self,
        read_at: Duration,
        revision: Revision,
        mut entries: Vec<TargetEntry>,
    ) -> ViewChange {
        let known = self.listing.as_ref();
        if known.is_some_and(|it| it.revision > revision) {
            return ViewChange::default();
        }
        entries.retain(|it| !self.removed.contains(read_at, revision.era(), it));
        let same = known.is_some_and(|it| *it.entries == *entries);
        let read_at = known.map_or(read_at, |it| it.read_at.max(read_at));
        let entries = match (same, known) {
            (true, Some(it)) => it.entries.clone(),
            _ => entries.into(),
        };
        let hash = match (same, known) {
            (true, Some(it)) => it.hash,
            _ => hash_listing(&entries),
        };
        if let Some(known) = known.filter(|_| !same) {
            self.removed.record(read_at, revision.era(), &known.entries, &entries);
        }
        self.listing = Some(TargetListing { revision, read_at, entries, hash });
        ViewChange { listing: !same, ..ViewChange::default() }
    }
}

/// Records when a version before the newest known one was published.
fn merge_superseded(known: &mut Vec<(u64, Duration)>, version: u64, published_at: Duration) {
    if known.last().is_none_or(|it| it.0 < version) {
        return;
    }
    match known.binary_search_by_key(&version, |it| it.0) {
        Ok(index) => known[index].1 = known[index].1.min(published_at),
        Err(index) => known.insert(index, (version, published_at)),
    }
}

/// The hash by which daemons compare their lists of replicas.
pub(crate) fn hash_listing(entries: &[TargetEntry]) -> u64 {
    hash_value(entries)
}

fn hash_value<T: serde::Serialize + ?Sized>(value: &T) -> u64 {
    let bytes = bincode::serde::encode_to_vec(value, bincode::config::standard());
    xxh3::xxh3_64(&bytes.unwrap_or_default())
}

//! What this daemon believes of the configuration, the orders and the replicas, and how old
//! that is. It never goes back to an older revision.

use std::sync::Arc;
use std::time::Duration;

use ids::{PoolId, Revision};
use indexmap::IndexMap;
use xxhash_rust::xxh3;

use crate::config::{ControlState, PoolRollout, SiteConfig, TargetEntry, WeightVersion};
use crate::directory::Snapshot;

/// Versions of one model's weights that are remembered.
const MAX_KNOWN_VERSIONS: usize = 16;

/// The replicas listed at one moment.
#[derive(Debug, Clone)]
pub struct TargetListing {
    /// The store's revision.
    pub revision: Revision,
    /// This daemon's clock at that moment or before it.
    pub read_at: Duration,
    /// The replicas.
    pub entries: Arc<[TargetEntry]>,
    /// Tells equal listings from others.
    pub hash: u64,
}

/// Beliefs with their ages.
#[derive(Debug, Default)]
pub struct ClusterView {
    config: Option<Arc<SiteConfig>>,
    /// Versions of each model's weights and when they were named, as far as known, in order.
    weights: IndexMap<Box<str>, Vec<(u64, Duration)>>,
    rollouts: IndexMap<PoolId, (PoolRollout, Duration)>,
    listing: Option<TargetListing>,
    control_revision: Revision,
    control_confirmed_at: Option<Duration>,
    control_hash: u64,
}

/// What a newer belief changed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ViewChange {
    /// The configuration is another.
    pub config: bool,
    /// A model has newer weights.
    pub weights: bool,
    /// A rollout was ordered.
    pub rollouts: bool,
    /// The listed replicas differ.
    pub listing: bool,
}

impl ViewChange {
    /// Whether anything changed.
    pub fn any(self) -> bool {
        self.config || self.weights || self.rollouts || self.listing
    }
}

impl ClusterView {
    /// The configuration in force.
    pub fn config(&self) -> Option<&Arc<SiteConfig>> {
        self.config.as_ref()
    }

    /// The newest version of a model's weights, and when it was named, as far as known.
    pub fn latest_weights(&self, model: &str) -> Option<(u64, Duration)> {
        self.weights.get(model)?.last().copied()
    }

    /// The oldest version of a model's weights that a request may still begin on, if newer ones
    /// were heard of `age` ago.
    pub fn min_weights(&self, model: &str, now: Duration, age: Duration) -> u64 {
        let versions = self.weights.get(model).map_or(&[][..], |it| it);
        let due = versions.iter().rev().find(|it| it.1 + age <= now);
        due.map_or(0, |it| it.0)
    }

    /// The rollout ordered for a pool.
    pub fn rollout(&self, pool: &PoolId) -> Option<&PoolRollout> {
        self.rollouts.get(pool).map(|it| &it.0)
    }

    /// The replicas listed.
    pub fn listing(&self) -> Option<&TargetListing> {
        self.listing.as_ref()
    }

    /// When the orders were last known to be the newest.
    pub fn control_confirmed_at(&self) -> Option<Duration> {
        self.control_confirmed_at
    }

    /// The store's revision of the orders.
    pub fn control_revision(&self) -> Revision {
        self.control_revision
    }

    /// All orders, for a peer.
    pub fn control(&self, now: Duration) -> ControlState {
        let published = |(version, at): (u64, Duration)| WeightVersion {
            version,
            age: Some(now.saturating_sub(at)),
        };
        ControlState {
            config: self.config.as_deref().cloned(),
            weights: self.newest_weights().map(|it| (it.0.clone(), published(it.1))).collect(),
            rollouts: self.rollouts.iter().map(|(id, it)| (id.clone(), it.0.clone())).collect(),
        }
    }

    /// Takes what operators ordered as of `read_at`. A version that this daemon finds when it knows
    /// of none before may have been named `unknown_age` ago.
    pub fn apply_control(
        &mut self,
        now: Duration,
        read_at: Duration,
        initial_age: Duration,
        snapshot: Snapshot<ControlState>,
    ) -> ViewChange {
        let mut change = ViewChange::default();
        self.confirm_control(snapshot.revision, read_at);
        let state = snapshot.value;
        if let Some(config) = state.config {
            let newer = self.config.as_ref().is_none_or(|it| it.revision < config.revision);
            if newer {
                change.config = true;
                self.config = Some(Arc::new(config));
            }
        }
        for (model, published) in state.weights {
            let known = self.weights.entry(model).or_default();
            let initial_age = if known.is_empty() { initial_age } else { Duration::ZERO };
            let published_at = now.saturating_sub(published.age.unwrap_or(initial_age));
            match known.last_mut() {
                Some(it) if it.0 > published.version => {}
                Some(it) if it.0 == published.version => {
                    if published.age.is_some() {
                        it.1 = it.1.min(published_at);
                    }
                }
                _ => {
                    known.push((published.version, published_at));
                    if known.len() > MAX_KNOWN_VERSIONS {
                        known.remove(0);
                    }
                    change.weights = true;
                }
            }
        }
        for (pool, order) in state.rollouts {
            let known = self.rollouts.get(&pool);
            if known.is_none_or(|it| it.0.revision < order.revision) {
                self.rollouts.insert(pool, (order, now));
                change.rollouts = true;
            }
        }
        if change.any() {
            self.control_hash = self.compute_control_hash();
        }
        change
    }

    /// Tells equal orders from others.
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
        hash_value(&(config, weights, rollouts))
    }

    /// The orders of a revision were the newest at `read_at`.
    pub fn confirm_control(&mut self, revision: Revision, read_at: Duration) {
        if revision >= self.control_revision {
            self.control_revision = revision;
            self.control_confirmed_at = self.control_confirmed_at.max(Some(read_at));
        }
    }

    /// The listing known was still the newest at `read_at`, in a later revision of the store.
    pub fn confirm_listing(&mut self, revision: Revision, read_at: Duration) {
        if let Some(it) = &mut self.listing {
            it.revision = it.revision.max(revision);
            it.read_at = it.read_at.max(read_at);
        }
    }

    /// Takes a listing read at `read_at`, if it is newer.
    pub fn apply_listing(
        &mut self,
        read_at: Duration,
        revision: Revision,
        entries: Vec<TargetEntry>,
    ) -> ViewChange {
        let known = self.listing.as_ref();
        if known.is_some_and(|it| it.revision > revision) {
            return ViewChange::default();
        }
        let same = known.is_some_and(|it| *it.entries == *entries);
        let read_at = known.map_or(read_at, |it| it.read_at.max(read_at));
        let entries = match (same, known) {
            (true, Some(it)) => it.entries.clone(),
            _ => entries.into(),
        };
        let hash = match (same, known) {
            (true, Some(it)) => it.hash,
            _ => hash_value(&*entries),
        };
        self.listing = Some(TargetListing { revision, read_at, entries, hash });
        ViewChange { listing: !same, ..ViewChange::default() }
    }
}

fn hash_value<T: serde::Serialize + ?Sized>(value: &T) -> u64 {
    let bytes = bincode::serde::encode_to_vec(value, bincode::config::standard());
    xxh3::xxh3_64(&bytes.unwrap_or_default())
}

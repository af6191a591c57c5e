//! The replicas as this daemon sees them: the platform's list joined with load, health and weights
//! from its own requests and from peers.

use std::time::Duration;

use ids::{FailureDomain, PoolId, TargetId};
use indexmap::IndexMap;
use policy::demand::PromptDemand;
use policy::health::HealthState;
use policy::prefix_table::PrefixTable;

use crate::config::TargetEntry;
use crate::kv_store::KvStoreView;
use crate::peer_message::{PrefixPlacement, TargetLoad, WeightStatus};
use crate::placement::PlacedTarget;
use crate::replica::{self, LoadCount, Replica};

/// How long a peer's report of its load is counted.
const PEER_LOAD_TTL: Duration = Duration::from_secs(2);
/// How long the reported weights of a replica are kept while it is not listed: its entry may arrive
/// later than the report.
const REPORTED_WEIGHTS_TTL: Duration = Duration::from_secs(60);

/// Replicas by id, loads reported by peers, and estimates of what replicas have cached.
#[derive(Debug)]
pub struct FleetTable {
    pub(crate) domain: FailureDomain,
    load_timeout: Duration,
    pub(crate) replicas: IndexMap<TargetId, Replica>,
    /// By the hash of the peer's id: when it reported, and its loads by replica hash.
    peer_loads: IndexMap<u64, (Duration, IndexMap<u64, LoadCount>)>,
    /// Reported weights by replica hash and incarnation, also of replicas that are not listed yet.
    reported_weights: IndexMap<(u64, u64), ReportedWeights>,
    /// Which replicas are expected to hold which prompt prefixes.
    pub prefixes: PrefixTable,
    /// The newest probe of the KV store, if there is one.
    pub(crate) kv_store: Option<KvStoreView>,
    /// The rate of prompts that this daemon places, to estimate what peers placed unseen.
    pub(crate) demand: PromptDemand,
    /// Prefixes placed since the last report to peers.
    pub(crate) prefix_placements: Vec<PrefixPlacement>,
}

/// Number of a pool's replicas by what keeps requests away from them; one replica may be counted in
/// several fields.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PoolState {
    /// All listed replicas of the pool.
    pub listed: u32,
    /// Replicas that accept requests now.
    pub available: u32,
    /// Replicas that will stop.
    pub leaving: u32,
    /// Replicas that were commanded to load weights and have not loaded them.
    pub loading: u32,
    /// Replicas that failed recently and are left out for a while.
    pub paused: u32,
}

/// What was last reported of one incarnation of a replica.
#[derive(Debug)]
struct ReportedWeights {
    status: WeightStatus,
    reported_at: Duration,
}

impl FleetTable {
    /// An empty table for a daemon in `domain`. A load command that is not confirmed within
    /// `load_timeout` counts as lost.
    pub fn new(domain: FailureDomain, load_timeout: Duration) -> FleetTable {
        FleetTable {
            domain,
            load_timeout,
            replicas: IndexMap::new(),
            peer_loads: IndexMap::new(),
            reported_weights: IndexMap::new(),
            prefixes: PrefixTable::default(),
            kv_store: None,
            demand: PromptDemand::default(),
            prefix_placements: Vec::new(),
        }
    }

    /// Changes the time after which a load command counts as lost.
    pub fn set_load_timeout(&mut self, load_timeout: Duration) {
        self.load_timeout = load_timeout;
        self.replicas.values_mut().for_each(|it| it.load_timeout = load_timeout);
    }

    /// Replaces the list of replicas. What is known of a replica is kept while its incarnation is
    /// the same.
    pub fn apply_listing(&mut self, entries: &[TargetEntry]) {
        self.replicas.retain(|id, _| entries.iter().any(|it| it.id == *id));
        for entry in entries {
            match self.replicas.get_mut(&entry.id) {
                Some(known) if known.entry.incarnation == entry.incarnation => {
                    known.leaving |= entry.leaving;
                    known.weights = known.weights.max(replica::newest_weights(entry));
                    known.entry = entry.clone();
                }
                Some(known) => *known = Replica::new(entry.clone(), self.load_timeout),
                None => {
                    let mut replica = Replica::new(entry.clone(), self.load_timeout);
                    let reported = self.reported_weights.get(&(replica.member, entry.incarnation));
                    let reported = reported.map(|it| it.status);
                    replica.weights = replica.weights.max(reported.map_or(0, |it| it.loaded));
                    replica.accepted_commands = reported.map_or(0, |it| it.accepted);
                    self.replicas.insert(entry.id.clone(), replica);
                }
            }
        }
    }

    /// All listed replicas, in the order in which they were first seen.
    pub fn replicas(&self) -> impl Iterator<Item = &Replica> {
        self.replicas.values()
    }

    /// Counts the replicas of a pool that accept requests, and why others do not.
    pub fn pool_state(&self, now: Duration, pool: &PoolId) -> PoolState {
        let mut state = PoolState::default();
        for it in self.replicas.values().filter(|it| it.entry.pool == *pool) {
            state.listed += 1;
            state.leaving += u32::from(it.leaving);
            state.loading += u32::from(it.is_loading(now));
            state.paused += u32::from(it.health.state(now) == HealthState::Paused);
            state.available += u32::from(it.accepts_requests(now));
        }
        state
    }

    /// The replica with this id, if it is listed.
    pub fn get(&self, id: &TargetId) -> Option<&Replica> {
        self.replicas.get(id)
    }

    /// Replaces a peer's loads by those of `reported_at`, unless a later report is known.
    pub fn record_peer_loads(&mut self, reported_at: Duration, peer: u64, loads: &[TargetLoad]) {
        if self.peer_loads.get(&peer).is_some_and(|it| it.0 > reported_at) {
            return;
        }
        let loads = loads.iter().map(|it| (it.member, it.load())).collect();
        self.peer_loads.insert(peer, (reported_at, loads));
    }

    /// Drops reports that are too old to be counted.
    pub fn sweep(&mut self, now: Duration) {
        self.peer_loads.retain(|_, it| now < it.0 + PEER_LOAD_TTL);
        self.reported_weights.retain(|_, it| now < it.reported_at + REPORTED_WEIGHTS_TTL);
    }

    /// Number of replica incarnations whose weights were reported recently.
    pub fn reported_count(&self) -> usize {
        self.reported_weights.len()
    }

    /// The summed loads of all daemons but `peer`, for a report to that peer.
    pub fn loads_excluding(&self, now: Duration, peer: u64) -> Vec<TargetLoad> {
        let mut sums: IndexMap<u64, LoadCount> = IndexMap::new();
        let mut add = |member: u64, load: &LoadCount| sums.entry(member).or_default().add(load);
        for load in self.own_loads(now) {
            add(load.member, &load.load());
        }
        let others = self.peer_loads.iter().filter(|it| *it.0 != peer);
        for (_, (_, loads)) in others.filter(|it| now < it.1.0 + PEER_LOAD_TTL) {
            loads.iter().for_each(|(member, load)| add(*member, load));
        }
        sums.iter().map(|(member, load)| TargetLoad::new(*member, *load)).collect()
    }

    /// A peer's loads as last reported, to be passed on.
    pub fn peer_loads(&self, peer: u64) -> Vec<TargetLoad> {
        let loads = self.peer_loads.get(&peer);
        let loads = loads.into_iter().flat_map(|it| &it.1);
        loads.map(|(member, load)| TargetLoad::new(*member, *load)).collect()
    }

    /// This daemon's loads; replicas without load are left out.
    pub fn own_loads(&self, now: Duration) -> Vec<TargetLoad> {
        let loads = self.replicas.values().map(|it| (it.member, it.own_load(now)));
        let busy = loads.filter(|it| it.1 != LoadCount::default());
        busy.map(|(member, load)| TargetLoad::new(member, load)).collect()
    }

    /// Pauses healthy replicas that recently answered no daemon at all.
    pub fn pause_unresponsive(&mut self, now: Duration) {
        let silent: Vec<(TargetId, LoadCount)> = self
            .replicas
            .values()
            .filter(|it| it.health.state(now) == HealthState::Healthy)
            .map(|it| (it.entry.id.clone(), self.load(now, it)))
            .filter(|it| it.1.answers.is_silent())
            .collect();
        for (target, load) in silent {
            let failed = load.answers.failed;
            tracing::info!(%target, failed, "targets: replica paused, no daemon gets answers");
            if let Some(it) = self.replicas.get_mut(&target) {
                it.health.record_failure(now, true);
            }
        }
    }

    /// Marks replicas that peers know to be leaving, given as hashes of ids with incarnations.
    pub fn apply_leaving(&mut self, leaving: &[(u64, u64)]) {
        for replica in self.replicas.values_mut() {
            replica.leaving |= leaving.contains(&(replica.member, replica.entry.incarnation));
        }
    }

    /// Replicas known to be leaving: hashes of ids with incarnations.
    pub fn leaving_replicas(&self) -> Vec<(u64, u64)> {
        let leaving = self.replicas.values().filter(|it| it.leaving);
        leaving.map(|it| (it.member, it.entry.incarnation)).collect()
    }

    /// Merges what a peer or this daemon learned of a replica's weights. Returns true if anything
    /// changed.
    pub fn merge_weight_status(&mut self, now: Duration, status: WeightStatus) -> bool {
        let unknown = WeightStatus { loaded: 0, commanded: 0, accepted: 0, ..status };
        let reported = self.reported_weights.entry((status.member, status.incarnation));
        let reported = reported.or_insert(ReportedWeights { status: unknown, reported_at: now });
        reported.reported_at = now;
        let reported = &mut reported.status;
        let changed = reported.loaded < status.loaded
            || reported.commanded < status.commanded
            || reported.accepted < status.accepted;
        reported.loaded = reported.loaded.max(status.loaded);
        reported.commanded = reported.commanded.max(status.commanded);
        reported.accepted = reported.accepted.max(status.accepted);
        let same = |it: &&mut Replica| {
            it.member == status.member && it.entry.incarnation == status.incarnation
        };
        let Some(replica) = self.replicas.values_mut().find(same) else { return changed };
        replica.weights = replica.weights.max(status.loaded);
        if status.accepted > replica.accepted_commands {
            replica.last_command_at = Some(now);
        }
        replica.accepted_commands = replica.accepted_commands.max(status.accepted);
        if replica.last_command.is_none_or(|it| it.0 < status.commanded)
            && status.commanded > replica.weights
        {
            replica.last_command = Some((status.commanded, now));
        }
        changed
    }

    /// The weights of all replicas that have any, for a full report.
    pub fn weight_statuses(&self) -> Vec<WeightStatus> {
        let replicas = self.replicas.values().filter(|it| it.weights > 0);
        replicas.map(Replica::weight_status).collect()
    }

    /// The requests of all daemons on a replica, as far as reported.
    pub fn load(&self, now: Duration, replica: &Replica) -> LoadCount {
        let mut sum = replica.own_load(now);
        for (at, loads) in self.peer_loads.values() {
            let load = loads.get(&replica.member).filter(|_| now < *at + PEER_LOAD_TTL);
            if let Some(load) = load {
                sum.add(load);
            }
        }
        sum
    }

    /// The age of the oldest peer report that is still counted.
    pub fn load_age(&self, now: Duration) -> Duration {
        let ages = self.peer_loads.values().map(|it| now.saturating_sub(it.0));
        ages.filter(|it| *it < PEER_LOAD_TTL).max().unwrap_or_default()
    }

    /// Records that the prompt of a request is prefilled: its first token arrived.
    pub fn record_prefilled(&mut self, placed: &PlacedTarget) {
        if let Some(it) = self.same_incarnation(placed) {
            it.local_load.pending_tokens =
                it.local_load.pending_tokens.saturating_sub(placed.load.pending_tokens);
        }
    }

    /// Removes a finished request from a replica's load.
    pub fn release(&mut self, placed: &PlacedTarget, prefilled: bool) {
        if !prefilled {
            self.record_prefilled(placed);
        }
        if let Some(it) = self.same_incarnation(placed) {
            it.local_load.running = it.local_load.running.saturating_sub(placed.load.running);
            it.local_load.kv_tokens = it.local_load.kv_tokens.saturating_sub(placed.load.kv_tokens);
        }
    }

    /// Records that a replica refused a request because it is full.
    pub fn mark_full(&mut self, now: Duration, placed: &PlacedTarget) {
        if let Some(it) = self.same_incarnation(placed) {
            it.recent_answers.record(now, true);
            it.mark_full(now);
        }
    }

    /// Records that a replica announced that it will stop.
    pub fn mark_leaving(&mut self, placed: &PlacedTarget) {
        if let Some(it) = self.same_incarnation(placed) {
            it.leaving = true;
        }
    }

    /// Records the version of the weights that a replica named in an answer.
    pub fn record_weights(&mut self, placed: &PlacedTarget, version: u64) {
        if let Some(it) = self.same_incarnation(placed) {
            it.weights = version;
        }
    }

    /// Records a failed request. `not_listening`: the replica is known to refuse connections.
    pub fn record_failure(&mut self, now: Duration, placed: &PlacedTarget, not_listening: bool) {
        if let Some(it) = self.same_incarnation(placed) {
            it.recent_answers.record(now, false);
            it.health.record_failure(now, not_listening);
        }
    }

    /// Records an answer that shows the replica to be healthy.
    pub fn record_success(&mut self, now: Duration, placed: &PlacedTarget) {
        if let Some(it) = self.same_incarnation(placed) {
            it.recent_answers.record(now, true);
            it.health.record_success(None);
        }
    }

    fn same_incarnation(&mut self, placed: &PlacedTarget) -> Option<&mut Replica> {
        self.replicas.get_mut(&placed.id).filter(|it| it.entry.incarnation == placed.incarnation)
    }
}

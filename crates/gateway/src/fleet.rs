//! The replicas as this daemon sees them: listed, loaded, suspected, on which weights.

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

/// How long a peer's report of its load counts.
const PEER_LOAD_TTL: Duration = Duration::from_secs(2);
/// How long news of a replica's weights are kept that is not listed: its listing may come later.
const REPORTED_WEIGHTS_TTL: Duration = Duration::from_secs(60);

/// Replicas by id, loads of peers, and beliefs about caches.
#[derive(Debug)]
pub struct FleetTable {
    pub(crate) domain: FailureDomain,
    load_timeout: Duration,
    pub(crate) replicas: IndexMap<TargetId, Replica>,
    peer_loads: IndexMap<u64, (Duration, IndexMap<u64, LoadCount>)>,
    /// Versions of weights that peers told of replicas not listed here yet.
    reported_weights: IndexMap<(u64, u64), ReportedWeights>,
    /// Which replicas hold which beginnings of prompts.
    pub prefixes: PrefixTable,
    /// The KV store, if one was looked at.
    pub(crate) kv_store: Option<KvStoreView>,
    /// Prompts that this daemon places.
    pub(crate) demand: PromptDemand,
    /// Beginnings placed since peers were last told.
    pub(crate) prefix_placements: Vec<PrefixPlacement>,
}

/// Replicas of a pool by what keeps requests away from them; one may count more than once.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PoolState {
    /// All of them.
    pub listed: u32,
    /// They may get requests.
    pub available: u32,
    /// They will stop.
    pub leaving: u32,
    /// They were ordered to load weights.
    pub loading: u32,
    /// They have failed lately.
    pub paused: u32,
}

/// What peers told of one life of a replica, and when last.
#[derive(Debug)]
struct ReportedWeights {
    status: WeightStatus,
    reported_at: Duration,
}

impl FleetTable {
    /// An empty table of a daemon in `domain`, where new weights are in place after `load_timeout`.
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

    /// New weights are in place after another time.
    pub fn set_load_timeout(&mut self, load_timeout: Duration) {
        self.load_timeout = load_timeout;
        self.replicas.values_mut().for_each(|it| it.load_timeout = load_timeout);
    }

    /// Takes over a listing.
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

    /// All replicas.
    pub fn replicas(&self) -> impl Iterator<Item = &Replica> {
        self.replicas.values()
    }

    /// How many replicas of a pool may get requests, and why others may not.
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

    /// One replica.
    pub fn get(&self, id: &TargetId) -> Option<&Replica> {
        self.replicas.get(id)
    }

    /// A peer's loads as of `said_at`.
    pub fn record_peer_loads(&mut self, reported_at: Duration, peer: u64, loads: &[TargetLoad]) {
        if self.peer_loads.get(&peer).is_some_and(|it| it.0 > reported_at) {
            return;
        }
        let loads = loads.iter().map(|it| (it.member, it.load())).collect();
        self.peer_loads.insert(peer, (reported_at, loads));
    }

    /// Forgets what was said long ago.
    pub fn sweep(&mut self, now: Duration) {
        self.peer_loads.retain(|_, it| now < it.0 + PEER_LOAD_TTL);
        self.reported_weights.retain(|_, it| now < it.reported_at + REPORTED_WEIGHTS_TTL);
    }

    /// Lives of replicas whose weights were told lately.
    pub fn reported_count(&self) -> usize {
        self.reported_weights.len()
    }

    /// The requests of all daemons but one, for that one.
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

    /// A peer's loads as last heard, to pass them on.
    pub fn peer_loads(&self, peer: u64) -> Vec<TargetLoad> {
        let loads = self.peer_loads.get(&peer);
        let loads = loads.into_iter().flat_map(|it| &it.1);
        loads.map(|(member, load)| TargetLoad::new(*member, *load)).collect()
    }

    /// This daemon's loads, for peers.
    pub fn own_loads(&self, now: Duration) -> Vec<TargetLoad> {
        let loads = self.replicas.values().map(|it| (it.member, it.own_load(now)));
        let busy = loads.filter(|it| it.1 != LoadCount::default());
        busy.map(|(member, load)| TargetLoad::new(member, load)).collect()
    }

    /// Pauses replicas that answer no daemon any more.
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
            tracing::info!(%target, failed, "targets: one answers no daemon, paused");
            if let Some(it) = self.replicas.get_mut(&target) {
                it.health.record_failure(now, true);
            }
        }
    }

    /// Replicas that peers know to be leaving.
    pub fn apply_leaving(&mut self, leaving: &[(u64, u64)]) {
        for replica in self.replicas.values_mut() {
            replica.leaving |= leaving.contains(&(replica.member, replica.entry.incarnation));
        }
    }

    /// Replicas known to be leaving, for peers.
    pub fn leaving_replicas(&self) -> Vec<(u64, u64)> {
        let leaving = self.replicas.values().filter(|it| it.leaving);
        leaving.map(|it| (it.member, it.entry.incarnation)).collect()
    }

    /// What a peer, or this daemon itself, learned of weights. Returns true if it is news.
    pub fn merge_weight_status(&mut self, now: Duration, status: WeightStatus) -> bool {
        let unknown = WeightStatus { loaded: 0, ordered: 0, accepted: 0, ..status };
        let reported = self.reported_weights.entry((status.member, status.incarnation));
        let reported = reported.or_insert(ReportedWeights { status: unknown, reported_at: now });
        reported.reported_at = now;
        let reported = &mut reported.status;
        let changed = reported.loaded < status.loaded
            || reported.ordered < status.ordered
            || reported.accepted < status.accepted;
        reported.loaded = reported.loaded.max(status.loaded);
        reported.ordered = reported.ordered.max(status.ordered);
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
        if replica.last_command.is_none_or(|it| it.0 < status.ordered)
            && status.ordered > replica.weights
        {
            replica.last_command = Some((status.ordered, now));
        }
        changed
    }

    /// All that is known of weights, for peers.
    pub fn weight_statuses(&self) -> Vec<WeightStatus> {
        let replicas = self.replicas.values().filter(|it| it.weights > 0);
        replicas.map(Replica::weight_status).collect()
    }

    /// Requests on a replica, of all daemons.
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

    /// The age of the oldest report of a peer that counts.
    pub fn load_age(&self, now: Duration) -> Duration {
        let ages = self.peer_loads.values().map(|it| now.saturating_sub(it.0));
        ages.filter(|it| *it < PEER_LOAD_TTL).max().unwrap_or_default()
    }

    /// The prompt of a request is prefilled: its first token came.
    pub fn record_prefilled(&mut self, placed: &PlacedTarget) {
        if let Some(it) = self.same_incarnation(placed) {
            it.local_load.pending_tokens =
                it.local_load.pending_tokens.saturating_sub(placed.load.pending_tokens);
        }
    }

    /// A request has left a replica.
    pub fn release(&mut self, placed: &PlacedTarget, prefilled: bool) {
        if !prefilled {
            self.record_prefilled(placed);
        }
        if let Some(it) = self.same_incarnation(placed) {
            it.local_load.running = it.local_load.running.saturating_sub(placed.load.running);
            it.local_load.kv_tokens = it.local_load.kv_tokens.saturating_sub(placed.load.kv_tokens);
        }
    }

    /// A replica said that it is full.
    pub fn mark_full(&mut self, now: Duration, placed: &PlacedTarget) {
        if let Some(it) = self.same_incarnation(placed) {
            it.recent_answers.record(now, true);
            it.mark_full(now);
        }
    }

    /// A replica said that it is leaving.
    pub fn mark_leaving(&mut self, placed: &PlacedTarget) {
        if let Some(it) = self.same_incarnation(placed) {
            it.leaving = true;
        }
    }

    /// A replica said which version its weights have.
    pub fn record_weights(&mut self, placed: &PlacedTarget, version: u64) {
        if let Some(it) = self.same_incarnation(placed) {
            it.weights = version;
        }
    }

    /// A request on a replica failed. `hard`: it surely does not listen.
    pub fn record_failure(&mut self, now: Duration, placed: &PlacedTarget, not_listening: bool) {
        if let Some(it) = self.same_incarnation(placed) {
            it.recent_answers.record(now, false);
            it.health.record_failure(now, not_listening);
        }
    }

    /// A replica answered well.
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

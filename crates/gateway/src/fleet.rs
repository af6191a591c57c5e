//! The replicas as this daemon sees them: the platform's list joined with load, health and weights
//! from its own requests and from peers.

use std::time::Duration;

use ids::{FailureDomain, PoolId, TargetId};
use indexmap::{IndexMap, IndexSet};
use policy::cold_pace::ColdEvidence;
use policy::demand::PromptDemand;
use policy::engine_room::AttemptRate;
use policy::health::HealthState;
use policy::prefix_table::PrefixTable;
use policy::rendezvous;
use policy::replica_pace::{PaceEvent, TypicalTime};
use policy::unanswered::ReplicaProcess;

use crate::cold_replicas::{self, ColdReplicas};
use crate::config::TargetEntry;
use crate::evacuation::EvacuatedDomains;
use crate::kv_store::KvStoreView;
use crate::load_table::LoadTable;
use crate::notice_table::{AnswerNotice, NoticeTable, ReplicaNotices};
use crate::peer_message::{PrefixPlacement, TargetLoad};
use crate::placement::PlacedTarget;
use crate::recovery_pace::FleetPosition;
use crate::replica::{LoadCount, Replica, ReplicaTimeouts};
use crate::reported_weights::WeightReports;

/// The replicas, loads reported by peers, and estimates of what replicas have cached.
#[derive(Debug)]
pub struct FleetTable {
    pub(crate) domain: FailureDomain,
    timeouts: ReplicaTimeouts,
    /// By the hash of the replica's id.
    pub(crate) replicas: IndexMap<u64, Replica>,
    /// Positions of the replicas in the order of their hashes, by pool. All daemons use this order.
    pub(crate) pool_orders: IndexMap<PoolId, Vec<u64>>,
    pub(crate) peer_loads: LoadTable,
    /// This daemon's loads when the period of reports began, by replica hash.
    reported_own_loads: IndexMap<u64, LoadCount>,
    pub(crate) weight_reports: WeightReports,
    /// What replicas said of themselves, also of those that are not listed now.
    pub(crate) notices: NoticeTable,
    /// Which replicas are expected to hold which prompt prefixes.
    pub prefixes: PrefixTable,
    /// The newest probe of the KV store, if there is one.
    pub(crate) kv_store: Option<KvStoreView>,
    /// The rate of prompts that this daemon places, to estimate what peers placed unseen.
    pub(crate) demand: PromptDemand,
    /// The rate of this daemon's attempts to place prompts, to estimate how many compete for room.
    pub(crate) attempts: AttemptRate,
    /// This daemon's share of paces; `None` while pacing is off.
    pub(crate) pacing: Option<FleetPosition>,
    /// The usual times of answers of plain services.
    pub(crate) typical_times: IndexMap<PoolId, TypicalTime>,
    /// When reports were last swept, which is a moment ago.
    swept_at: Duration,
    /// Prefixes placed since the last report to peers.
    pub(crate) prefix_placements: Vec<PrefixPlacement>,
    pub(crate) evacuated: EvacuatedDomains,
    pub(crate) cold_replicas: ColdReplicas,
    /// Pools of which this daemon reaches no replica, so that its failures say nothing of them.
    pub(crate) cut_pools: IndexSet<PoolId>,
}

/// Number of replicas by what keeps requests away from them; one replica may be counted in several
/// fields.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReplicaCounts {
    /// All listed replicas.
    pub listed: u32,
    /// Replicas that accept requests now.
    pub available: u32,
    /// Replicas that will stop.
    pub leaving: u32,
    /// Replicas that were commanded to load weights and have not loaded them.
    pub loading: u32,
    /// Replicas that failed recently and are left out for a while.
    pub paused: u32,
    /// Replicas that want no requests for a while.
    pub held_off: u32,
    /// Replicas in evacuated failure domains.
    pub evacuated: u32,
    /// Replicas that limit their requests, and whose limit is reached.
    pub limited: u32,
    /// Replicas that are taken to be cold.
    pub cold: u32,
    /// Cold replicas for which there is no token now.
    pub cold_withheld: u32,
    /// Replicas that start or recover, and whose pace leaves this daemon no request now.
    pub paced: u32,
}

impl FleetTable {
    /// An empty table for a daemon in `domain`.
    pub fn new(domain: FailureDomain, timeouts: ReplicaTimeouts) -> FleetTable {
        FleetTable {
            domain,
            timeouts,
            replicas: IndexMap::new(),
            pool_orders: IndexMap::new(),
            peer_loads: LoadTable::default(),
            reported_own_loads: IndexMap::new(),
            weight_reports: WeightReports::default(),
            notices: NoticeTable::default(),
            prefixes: PrefixTable::default(),
            kv_store: None,
            demand: PromptDemand::default(),
            attempts: AttemptRate::default(),
            pacing: None,
            typical_times: IndexMap::new(),
            swept_at: Duration::ZERO,
            prefix_placements: Vec::new(),
            evacuated: EvacuatedDomains::default(),
            cold_replicas: ColdReplicas::default(),
            cut_pools: IndexSet::new(),
        }
    }

    /// Changes the bounds on what replicas do.
    pub fn set_timeouts(&mut self, timeouts: ReplicaTimeouts) {
        self.timeouts = timeouts;
        self.replicas.values_mut().for_each(|it| it.timeouts = timeouts);
    }

    /// Replaces the list of replicas. What is known of a replica is kept while its incarnation is
    /// the same.
    pub fn apply_listing(&mut self, now: Duration, entries: &[TargetEntry]) {
        let mut before = std::mem::take(&mut self.replicas);
        let is_first = before.is_empty();
        for it in before.values() {
            let notices = ReplicaNotices { leaving: it.leaving, hold_off: it.hold_off };
            self.notices.record(it.member, it.entry.incarnation, notices);
        }
        self.pool_orders.clear();
        for entry in entries {
            let member = rendezvous::hash_member(entry.id.as_str());
            let known = before.swap_remove(&member);
            let same = known.filter(|it| it.entry.incarnation == entry.incarnation);
            let replica = match same {
                Some(mut known) => {
                    known.leaving |= entry.leaving;
                    known.weights.apply_listing(&entry.weights);
                    known.entry = entry.clone();
                    known
                }
                None => {
                    let mut replica = self.new_replica(now, entry);
                    if self.is_pacing() && !is_first {
                        replica.pace.observe(self.swept_at, PaceEvent::Started);
                    }
                    replica
                }
            };
            self.replicas.insert(member, replica);
            self.pool_orders.entry(entry.pool.clone()).or_default().push(member);
        }
        self.pool_orders.values_mut().for_each(|it| it.sort_unstable());
        self.mark_evacuated();
        self.finish_cold_listing();
    }

    /// A replica that was not listed before, or not in this incarnation.
    fn new_replica(&self, now: Duration, entry: &TargetEntry) -> Replica {
        let mut replica = Replica::new(entry.clone(), self.timeouts);
        replica.cold = self.cold_replicas.new_pace(now);
        let notices = self.notices.get(replica.member, entry.incarnation);
        replica.leaving |= notices.leaving;
        replica.hold_off = notices.hold_off;
        self.weight_reports.apply_to(now, &mut replica);
        replica
    }

    /// All listed replicas, in the order of the list.
    pub fn replicas(&self) -> impl Iterator<Item = &Replica> {
        self.replicas.values()
    }

    /// Whether another process is listed in the place of this one: under its id or at its address.
    pub fn was_replaced(&self, process: ReplicaProcess) -> bool {
        match self.replicas.get(&process.member) {
            Some(it) => it.entry.incarnation != process.incarnation,
            None => self.replicas.values().any(|it| it.entry.address == process.address),
        }
    }

    /// Whether this process is known to be leaving.
    pub(crate) fn is_leaving(&self, process: ReplicaProcess) -> bool {
        let listed = self.replicas.get(&process.member);
        let listed = listed.filter(|it| it.entry.incarnation == process.incarnation);
        let notices = self.notices.get(process.member, process.incarnation);
        listed.map_or(notices.leaving, |it| it.leaving)
    }

    /// Counts the replicas that accept requests, and why others do not; those of one pool or all.
    pub fn count_replicas(&self, now: Duration, pool: Option<&PoolId>) -> ReplicaCounts {
        let mut counts = ReplicaCounts::default();
        let is_counted = |it: &&Replica| pool.is_none_or(|pool| it.entry.pool == *pool);
        for it in self.replicas.values().filter(is_counted) {
            counts.listed += 1;
            counts.leaving += u32::from(it.leaving);
            counts.loading += u32::from(it.is_any_loading(now));
            counts.paused += u32::from(it.health.state(now) == HealthState::Paused);
            counts.held_off += u32::from(it.hold_off.ends_at(now).is_some());
            counts.evacuated += u32::from(it.evacuated);
            let is_cold = it.cold_state(now).is_some();
            let is_closed = it.request_limit.opens_at(now).is_some();
            counts.limited += u32::from(is_closed && !is_cold);
            counts.cold += u32::from(is_cold);
            counts.cold_withheld += u32::from(is_closed && is_cold);
            counts.paced += u32::from(!self.is_within_pace(now, it));
            counts.available += u32::from(it.accepts_requests(now));
        }
        counts
    }

    /// The replica with this id, if it is listed.
    pub fn get(&self, id: &TargetId) -> Option<&Replica> {
        self.replicas.get(&rendezvous::hash_member(id.as_str()))
    }

    /// Replaces a peer's loads by those of `reported_at`, unless a later report is known.
    pub fn record_peer_loads(&mut self, reported_at: Duration, peer: u64, loads: &[TargetLoad]) {
        self.peer_loads.replace(reported_at, peer, loads);
    }

    /// Replaces those of a peer's loads that changed until `reported_at`.
    pub fn record_load_changes(&mut self, reported_at: Duration, peer: u64, loads: &[TargetLoad]) {
        self.peer_loads.update(reported_at, peer, loads);
    }

    /// Drops reports that are too old to be counted, and notes which replicas are leaving or cold.
    pub fn sweep(&mut self, now: Duration) {
        self.swept_at = now;
        self.replicas.values_mut().for_each(|it| it.observe_leaving(now));
        self.replicas.values_mut().for_each(|it| cold_replicas::log_change(now, it));
        self.peer_loads.expire(now);
        self.weight_reports.expire(now);
    }

    /// The summed loads of all daemons but `peer`, for a report to that peer.
    pub fn loads_excluding(&mut self, now: Duration, peer: u64) -> Vec<TargetLoad> {
        self.peer_loads.expire(now);
        let own = self.replicas.values().filter(|it| it.own_load(now) != LoadCount::default());
        let members: IndexSet<u64> =
            own.map(|it| it.member).chain(self.peer_loads.loaded()).collect();
        let loads = members.iter().map(|it| self.load_excluding(now, peer, *it));
        loads.filter(|it| it.load() != LoadCount::default()).collect()
    }

    /// Those of these loads that changed since the period before this one began; a load of zero
    /// says that none is left.
    pub fn changed_loads_excluding(&mut self, now: Duration, peer: u64) -> Vec<TargetLoad> {
        self.peer_loads.expire(now);
        self.peer_loads.changed().map(|it| self.load_excluding(now, peer, it)).collect()
    }

    fn load_excluding(&self, now: Duration, peer: u64, member: u64) -> TargetLoad {
        let mut sum = self.peer_loads.sum_without(peer, member);
        if let Some(replica) = self.replicas.get(&member) {
            sum.add(&replica.own_load(now));
        }
        TargetLoad::new(member, sum)
    }

    /// Begins a period of reports: loads that change until the next one are part of its reports.
    pub fn begin_report_period(&mut self, now: Duration) {
        let loads: IndexMap<u64, LoadCount> =
            self.own_loads(now).iter().map(|it| (it.member, it.load())).collect();
        let before = std::mem::replace(&mut self.reported_own_loads, loads);
        let after = &self.reported_own_loads;
        let ended = before.keys().filter(|it| !after.contains_key(*it));
        let changed = after.iter().filter(|it| before.get(it.0) != Some(it.1));
        let members: Vec<u64> = ended.chain(changed.map(|it| it.0)).copied().collect();
        self.peer_loads.begin_period(members.into_iter());
    }

    /// A peer's loads as last reported, to be passed on.
    pub fn peer_loads(&self, peer: u64) -> Vec<TargetLoad> {
        let loads = self.peer_loads.of_peer(peer);
        loads.map(|(member, load)| TargetLoad::new(member, load)).collect()
    }

    /// This daemon's loads; replicas without load are left out.
    pub fn own_loads(&self, now: Duration) -> Vec<TargetLoad> {
        let loads = self.replicas.values().map(|it| (it.member, it.own_load(now)));
        let busy = loads.filter(|it| it.1 != LoadCount::default());
        busy.map(|(member, load)| TargetLoad::new(member, load)).collect()
    }

    /// Pauses healthy replicas that recently answered no daemon at all.
    pub fn pause_unresponsive(&mut self, now: Duration) {
        self.peer_loads.expire(now);
        let mut stopped = Vec::new();
        for (member, replica) in &mut self.replicas {
            if replica.health.state(now) != HealthState::Healthy {
                continue;
            }
            let mut load = replica.own_load(now);
            load.add(&self.peer_loads.sum(*member));
            if load.answers.is_silent() {
                let (target, failed) = (&replica.entry.id, load.answers.failed);
                tracing::info!(%target, failed, "targets: replica paused, no daemon gets answers");
                replica.health.record_failure(now, true);
                stopped.push((*member, replica.entry.incarnation));
                if self.pacing.is_some() {
                    replica.pace.observe(now, PaceEvent::Started);
                }
            }
        }
        for (member, incarnation) in stopped {
            self.record_cold(now, member, incarnation, ColdEvidence::Stopped);
        }
    }

    /// Marks replicas that peers know to be leaving, given as hashes of ids with incarnations.
    pub fn apply_leaving(&mut self, leaving: &[(u64, u64)]) {
        for (member, incarnation) in leaving {
            let notices = ReplicaNotices { leaving: true, ..ReplicaNotices::default() };
            match self.replicas.get_mut(member) {
                Some(it) if it.entry.incarnation == *incarnation => it.leaving = true,
                Some(_) => {}
                None => self.notices.record(*member, *incarnation, notices),
            }
        }
    }

    /// Replicas known to be leaving: hashes of ids with incarnations.
    pub fn leaving_replicas(&self) -> Vec<(u64, u64)> {
        let leaving = self.replicas.values().filter(|it| it.leaving);
        leaving.map(|it| (it.member, it.entry.incarnation)).collect()
    }

    /// The requests of all daemons on a replica, as far as reported.
    pub fn load(&self, now: Duration, replica: &Replica) -> LoadCount {
        let mut sum = replica.own_load(now);
        sum.add(&self.peer_loads.sum(replica.member));
        sum
    }

    /// The age of the oldest peer report that is still counted.
    pub fn load_age(&self, now: Duration) -> Duration {
        self.peer_loads.oldest().map_or(Duration::ZERO, |it| now.saturating_sub(it))
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

    /// Records that a replica announced that it will stop.
    pub fn mark_leaving(&mut self, placed: &PlacedTarget) {
        if let Some(it) = self.same_incarnation(placed) {
            it.leaving = true;
        }
    }

    /// Records what a replica said of itself in an answer.
    pub fn record_notice(
        &mut self,
        now: Duration,
        id: &TargetId,
        incarnation: u64,
        notice: AnswerNotice,
    ) {
        let member = rendezvous::hash_member(id.as_str());
        let Some(it) = self.replicas.get_mut(&member) else {
            return self.notices.record(member, incarnation, notice.as_of(now));
        };
        if it.entry.incarnation != incarnation {
            return;
        }
        if notice.leaving && !it.leaving {
            tracing::info!(target = %id, "targets: replica says that it is leaving");
            it.leaving = true;
        }
        if let Some(time) = notice.hold_off {
            let ms = time.as_millis() as u64;
            tracing::info!(target = %id, ms, "targets: replica wants no requests for a while");
            it.hold_off.extend(now, time);
        }
    }

    pub(crate) fn same_incarnation(&mut self, placed: &PlacedTarget) -> Option<&mut Replica> {
        let replica = self.replicas.get_mut(&placed.member);
        replica.filter(|it| it.entry.incarnation == placed.incarnation)
    }
}

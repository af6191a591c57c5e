//! Replicas that are cold after a start or a failure: what each daemon knows of them, and what daemons
//! tell each other at once. `policy::cold_pace` decides.

use std::net::IpAddr;
use std::time::Duration;

use ids::PoolId;
use indexmap::{IndexMap, IndexSet};
use policy::cold_pace::{ColdEvidence, ColdPace, ColdRule, ColdState};
use policy::rendezvous;

use crate::config::TargetEntry;
use crate::dialect::Dialect;
use crate::directory::Directory;
use crate::fleet::FleetTable;
use crate::gateway::{Gateway, lock};
use crate::peer_message::{ColdReport, PeerMessage};
use crate::replica::Replica;

/// Separates the buckets of cold replicas from those of processes that name a limit. It is the same for
/// all processes under one id: daemons that have not heard of a restart ask for the same bucket.
const KEY_SALT: u64 = 0xc01d;

/// The rules for cold replicas, and what peers are to be told of these.
#[derive(Debug, Default)]
pub(crate) struct ColdReplicas {
    rules: IndexMap<PoolId, ColdRule>,
    /// The keys of all buckets of replicas with such a rule.
    keys: IndexSet<u64>,
    has_listing: bool,
    news: Vec<ColdReport>,
}

/// The time that the row of a replica states: the hash of its id, its incarnation and milliseconds.
pub(crate) type ColdRow = (u64, u64, f64);

/// The key of the bucket of a cold replica, given the hash of its id.
pub(crate) fn token_key(member: u64) -> u64 {
    rendezvous::weight(member, KEY_SALT)
}

/// Takes the times that replicas state out of their entries, so that entries differ only when a
/// replica changed.
pub(crate) fn take_rows(entries: &mut [TargetEntry]) -> Vec<ColdRow> {
    let row = |it: &mut TargetEntry| {
        let left_ms = it.cold_left_ms.take()?;
        Some((rendezvous::hash_member(it.id.as_str()), it.incarnation, left_ms))
    };
    entries.iter_mut().filter_map(row).collect()
}

impl ColdReplicas {
    /// What is assumed of a process that was not listed before.
    pub(crate) fn new_pace(&self, now: Duration) -> ColdPace {
        match self.has_listing {
            true => ColdPace::new_process(now),
            false => ColdPace::at_daemon_start(now),
        }
    }
}

impl FleetTable {
    /// Applies the rules of the configuration in force.
    pub fn set_cold_rules(&mut self, now: Duration, rules: Vec<(PoolId, ColdRule)>) {
        self.cold_replicas.rules = rules.into_iter().collect();
        for it in self.replicas.values_mut().filter(|it| it.cold_rule.is_none()) {
            // Nothing was recorded while the pool had no rule.
            it.cold = ColdPace::at_daemon_start(now);
        }
        self.apply_cold_rules();
    }

    /// Applies the rules to the replicas of a new list.
    pub(crate) fn finish_cold_listing(&mut self) {
        self.cold_replicas.has_listing = true;
        self.apply_cold_rules();
    }

    fn apply_cold_rules(&mut self) {
        let ColdReplicas { rules, keys, .. } = &mut self.cold_replicas;
        keys.clear();
        for it in self.replicas.values_mut() {
            it.cold_rule = rules.get(&it.entry.pool).copied();
            if it.cold_rule.is_some() {
                keys.insert(token_key(it.member));
            }
        }
    }

    /// Whether this is the key of a bucket of a cold replica.
    pub(crate) fn is_cold_key(&self, key: u64) -> bool {
        self.cold_replicas.keys.contains(&key)
    }

    /// Records what this daemon's own requests show of a replica.
    pub(crate) fn record_cold(
        &mut self,
        now: Duration,
        member: u64,
        incarnation: u64,
        evidence: ColdEvidence,
    ) {
        let Some(replica) = cold_replica(&mut self.replicas, member, incarnation) else { return };
        if replica.cold.observe(now, evidence) {
            let report = ColdReport { member, incarnation, evidence, age: Duration::ZERO };
            self.cold_replicas.news.push(report);
        }
        log_change(now, replica);
    }

    /// Records the time that a process itself states in an answer.
    pub(crate) fn record_cold_answer(
        &mut self,
        now: Duration,
        member: u64,
        incarnation: u64,
        left_ms: f64,
    ) {
        let Some(replica) = cold_replica(&mut self.replicas, member, incarnation) else { return };
        let Some(left) = parse_stated(replica, left_ms) else { return };
        if replica.cold.observe_answer(now, left) {
            let evidence = ColdEvidence::Stated(left);
            let report = ColdReport { member, incarnation, evidence, age: Duration::ZERO };
            self.cold_replicas.news.push(report);
        }
        log_change(now, replica);
    }

    /// Records the times that the rows of replicas stated at `read_at`.
    pub(crate) fn record_cold_rows(&mut self, now: Duration, read_at: Duration, rows: &[ColdRow]) {
        for (member, incarnation, left_ms) in rows {
            let replica = cold_replica(&mut self.replicas, *member, *incarnation);
            let Some(replica) = replica else { continue };
            let Some(left) = parse_stated(replica, *left_ms) else { continue };
            let evidence = ColdEvidence::Stated(left);
            if replica.cold.observe(read_at, evidence) {
                let (member, incarnation) = (*member, *incarnation);
                let age = now.saturating_sub(read_at);
                self.cold_replicas.news.push(ColdReport { member, incarnation, evidence, age });
            }
            log_change(now, replica);
        }
    }

    /// Merges what a peer knew at `reported_at`; returns whether it is new.
    pub fn merge_cold(
        &mut self,
        now: Duration,
        reported_at: Duration,
        report: &ColdReport,
    ) -> bool {
        let ColdReport { member, incarnation, evidence, age } = *report;
        let Some(replica) = cold_replica(&mut self.replicas, member, incarnation) else {
            return false;
        };
        if let (ColdEvidence::Stated(left), Some(rule)) = (evidence, replica.cold_rule)
            && rule.parse_stated(left.as_secs_f64() * 1_000.0).is_none()
        {
            return false;
        }
        let is_new = replica.cold.observe(reported_at.saturating_sub(age), evidence);
        log_change(now, replica);
        is_new
    }

    /// When the next token of a cold replica of a pool may be there; `None` if none is awaited.
    pub(crate) fn cold_opens_at(&self, now: Duration, pool: &PoolId) -> Option<Duration> {
        let cold = self.replicas.values().filter(|it| it.entry.pool == *pool);
        let cold = cold.filter(|it| it.cold_state(now).is_some());
        cold.filter_map(|it| it.request_limit.opens_at(now)).min()
    }

    /// All that is known of replicas in pools with such a rule.
    pub(crate) fn cold_reports(&self, now: Duration) -> Vec<ColdReport> {
        let replicas = self.replicas.values().filter(|it| it.cold_rule.is_some());
        let reports = replicas.flat_map(|it| {
            it.cold.evidence().map(move |(at, evidence)| ColdReport {
                member: it.member,
                incarnation: it.entry.incarnation,
                evidence,
                age: now.saturating_sub(at),
            })
        });
        reports.collect()
    }
}

/// Tells peers what this daemon has learned since the last call.
pub(crate) fn publish<D: Dialect, S: Directory>(gateway: &Gateway<D, S>) {
    let news = std::mem::take(&mut lock(&gateway.fleet).cold_replicas.news);
    forward(gateway, None, news);
}

/// Tells daemons that get a whole list all that is known of cold replicas.
pub(crate) fn send_all<D: Dialect, S: Directory>(gateway: &Gateway<D, S>, to: &[IpAddr]) {
    let now = gateway.now();
    let reports = lock(&gateway.fleet).cold_reports(now);
    if !reports.is_empty() {
        gateway.peer_socket.send(now, to, &PeerMessage::ColdReports(reports));
    }
}

/// Merges what a peer knew at `reported_at`, and passes on what is new.
pub(crate) fn merge<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    from: IpAddr,
    reported_at: Duration,
    reports: &[ColdReport],
) {
    let now = gateway.now();
    let news = {
        let mut fleet = lock(&gateway.fleet);
        let is_news = |it: &&ColdReport| fleet.merge_cold(now, reported_at, it);
        let news = reports.iter().filter(is_news);
        let age = |it: &ColdReport| it.age.saturating_add(now.saturating_sub(reported_at));
        news.map(|it| ColdReport { age: age(it), ..*it }).collect()
    };
    forward(gateway, Some(from), news);
}

fn forward<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    source: Option<IpAddr>,
    reports: Vec<ColdReport>,
) {
    if reports.is_empty() {
        return;
    }
    let now = gateway.now();
    let to = lock(&gateway.members).gossip_peers(now).forward_targets(source);
    gateway.peer_socket.send(now, &to, &PeerMessage::ColdReports(reports));
}

/// The replica, if it is listed in this incarnation and its pool limits requests to cold replicas.
fn cold_replica(
    replicas: &mut IndexMap<u64, Replica>,
    member: u64,
    incarnation: u64,
) -> Option<&mut Replica> {
    let replica = replicas.get_mut(&member)?;
    Some(replica).filter(|it| it.entry.incarnation == incarnation && it.cold_rule.is_some())
}

/// The time that a replica states; an invalid one is logged once.
fn parse_stated(replica: &mut Replica, left_ms: f64) -> Option<Duration> {
    let left = replica.cold_rule?.parse_stated(left_ms);
    if left.is_none() && !replica.logged_invalid {
        replica.logged_invalid = true;
        tracing::warn!(target = %replica.entry.id, left_ms, "targets: invalid cold time is ignored");
    }
    left
}

/// Logs the replica's cold state if its source changed.
pub(crate) fn log_change(now: Duration, replica: &mut Replica) {
    let state = replica.cold_state(now);
    let source = state.map(|it| it.source);
    if source == replica.logged_cold {
        return;
    }
    replica.logged_cold = source;
    let target = &replica.entry.id;
    match state {
        Some(ColdState { source, since, until }) => {
            let age_ms = now.saturating_sub(since).as_millis() as u64;
            let left_ms = until.map(|it| it.saturating_sub(now).as_millis() as u64);
            tracing::info!(%target, ?source, age_ms, left_ms, "targets: replica is cold");
        }
        None => tracing::info!(%target, "targets: replica is not cold any more"),
    }
}

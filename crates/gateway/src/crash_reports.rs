//! Detects requests and prompt parts that crash the replicas that run them, and shares the findings
//! with all peers.

use std::net::IpAddr;
use std::time::Duration;

use ids::ErrorKind;
use policy::crash_suspects::{
    AnswerProgress, CrashEvent, SuspectKey, SuspectReport, SuspectVerdict,
};
use policy::quarantine::Strike;
use policy::unanswered::{ReplicaProcess, UnansweredRequest};

use crate::call::Call;
use crate::call_placement::Placement;
use crate::cold_replicas;
use crate::dialect::Dialect;
use crate::directory::Directory;
use crate::gateway::{Gateway, lock};
use crate::peer_message::PeerMessage;
use crate::refusal::CallRefusal;
use crate::replica_path;

/// A daemon that reaches no more than this share of all leaves trying suspects again to others.
const MIN_PROBE_SHARE: f64 = 0.5;

/// What a request consists of that may crash replicas.
#[derive(Debug, Clone, Default)]
pub(crate) struct CrashKeys {
    keys: Vec<SuspectKey>,
    /// The hash of what follows each key in the prompt; `None` for the whole request.
    successors: Vec<Option<u64>>,
}

impl CrashKeys {
    pub(crate) fn add(&mut self, key: SuspectKey, successor: Option<u64>) {
        self.keys.push(key);
        self.successors.push(successor);
    }

    /// What may have crashed `replica` when it ran the request, each with what follows it. The request
    /// itself may at any time, its parts only while they are read.
    fn suspects(&self, replica: u64, progress: AnswerProgress) -> Vec<(SuspectKey, u64)> {
        let has_just_begun = progress.has_just_begun();
        let keys = self.keys.iter().zip(&self.successors);
        keys.filter(|(_, successor)| has_just_begun || successor.is_none())
            .map(|(key, successor)| (*key, successor.unwrap_or(replica)))
            .collect()
    }
}

/// Fails if requests like this one have crashed too many replicas.
pub(crate) fn check<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    keys: &CrashKeys,
) -> Result<SuspectVerdict, CallRefusal> {
    let now = gateway.now();
    let mut verdict = lock(&gateway.suspects).verdict(now, &keys.keys, None);
    // The rank is costly and matters only to a suspect.
    if verdict == SuspectVerdict::Refused {
        let rank = probe_rank(gateway, now);
        verdict = lock(&gateway.suspects).verdict(now, &keys.keys, rank);
    }
    match verdict {
        SuspectVerdict::Refused => {
            log_refusal(gateway, now, keys);
            Err(CallRefusal::not_run(ErrorKind::CrashSuspect))
        }
        other => Ok(other),
    }
}

/// Logs which suspect of a refused request has most crashes.
fn log_refusal<D: Dialect, S: Directory>(gateway: &Gateway<D, S>, now: Duration, keys: &CrashKeys) {
    let suspects = lock(&gateway.suspects);
    let counted = keys.keys.iter().map(|it| (suspects.counted_crashes(now, *it), it));
    if let Some((crashes, suspect)) = counted.max() {
        tracing::info!(%suspect, crashes, "call: refused, requests like it crash replicas");
    }
}

/// This daemon's rank for trying suspects again; `None` if others may hold the same one, as it has
/// just started or reaches few of them.
fn probe_rank<D: Dialect, S: Directory>(gateway: &Gateway<D, S>, now: Duration) -> Option<usize> {
    let has_run = gateway.started_at + gateway.settings().bounds.contact <= now;
    let members = lock(&gateway.members);
    let reaches_most = members.reachable_share(now) > MIN_PROBE_SHARE;
    (has_run && reaches_most).then(|| members.rank(now))
}

impl<D: Dialect, S: Directory> Call<D, S> {
    /// Called before the request is sent to a replica. Fails if requests like it have crashed too
    /// many since it was accepted.
    pub(crate) fn check_crash_suspect(&self) -> Result<SuspectVerdict, CallRefusal> {
        let verdict =
            check(&self.gateway, &self.crash_keys).map_err(|it| self.qualify_refusal(it))?;
        if verdict == SuspectVerdict::Probe {
            let now = self.gateway.now();
            let reports = lock(&self.gateway.suspects).record_probe(now, &self.crash_keys.keys);
            tracing::info!(
                request = %self.head.attempt_id,
                "call: tries whether requests like this one still crash replicas"
            );
            tell_peers(&self.gateway, now, None, reports);
        }
        Ok(verdict)
    }

    /// Called after a connection broke under the request. If the replica then refuses connections,
    /// it has crashed: this is recorded against the request here and at all peers.
    pub(crate) fn report_crash(&self, placement: &Placement<D, S>) {
        let now = self.gateway.now();
        let progress = placement.progress;
        let target = &placement.target;
        let shared_parts = self.head.shared_parts().iter().map(|it| &*it.id);
        let shared_parts = shared_parts.collect::<Vec<_>>().join(",");
        let request = self.head.attempt_id.clone();
        let (gateway, pool) = (self.gateway.clone(), self.pool.clone());
        let (keys, target) = (self.crash_keys.clone(), target.clone());
        tokio::spawn(async move {
            if !gateway.connections.refuses_connections(target.address).await {
                gateway.metrics.record_crash_probe("not_refused");
                tracing::info!(
                    request = %request, target = %target.id,
                    has_just_begun = progress.has_just_begun(),
                    suspects = keys.keys.len(),
                    "call: connection broke and the replica does not refuse new ones, not counted"
                );
                return;
            }
            if !replica_path::is_replica_at_fault(&gateway, &pool, target.member).await {
                gateway.metrics.record_crash_probe("path_cut");
                tracing::info!(
                    request = %request, target = %target.id,
                    "call: connection broke and no replica is reached, not counted"
                );
                return;
            }
            gateway.metrics.record_crash_probe("refused");
            lock(&gateway.fleet).record_failure(gateway.now(), &target, true);
            cold_replicas::publish(&gateway);
            let replica = target.process().digest();
            let suspects = keys.suspects(replica, progress);
            tracing::info!(
                request = %request, target = %target.id, shared_parts, suspects = suspects.len(),
                "call: replica crashed under a request, counted against it"
            );
            let reports = lock(&gateway.suspects).record_crash(now, now, &suspects, replica);
            share_news(&gateway, now, None, reports);
        });
    }

    /// Records that an answer came to its end: nothing in the request crashes replicas.
    pub(crate) fn clear_crash_suspects(&self) {
        let now = self.gateway.now();
        lock(&self.gateway.unanswered).clear(&self.crash_keys.keys);
        let reports = lock(&self.gateway.suspects).clear(now, &self.crash_keys.keys);
        share_news(&self.gateway, now, None, reports);
    }
}

/// Remembers a request that its replica did not answer: its caller left, time ran out or the
/// connection broke. If the replica's process turns out to have ended, it counts as a crash.
pub(crate) fn record_unanswered<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    placement: &Placement<D, S>,
    keys: &CrashKeys,
) {
    let now = gateway.now();
    let process = placement.target.process();
    if !lock(&gateway.fleet).is_leaving(process) {
        let keys = keys.suspects(process.digest(), placement.progress);
        let request = UnansweredRequest { keys, ended_at: now };
        lock(&gateway.unanswered).record(process, request);
    }
}

/// Counts the end of a replica's process, which it did not announce, against the requests that it
/// left without an answer.
pub(crate) fn record_ended<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    process: ReplicaProcess,
) {
    let now = gateway.now();
    let requests = lock(&gateway.unanswered).take(now, process);
    for request in requests {
        let replica = process.digest();
        let reports =
            lock(&gateway.suspects).record_crash(now, request.ended_at, &request.keys, replica);
        tracing::info!(
            member = process.member,
            suspects = request.keys.len(),
            news = reports.len(),
            "call: replica ended under a request without an answer, counted against it"
        );
        share_news(gateway, now, None, reports);
    }
}

/// Counts the processes that others have replaced according to the list of replicas.
pub(crate) fn record_replaced<D: Dialect, S: Directory>(gateway: &Gateway<D, S>) {
    let processes: Vec<ReplicaProcess> = lock(&gateway.unanswered).processes().collect();
    if processes.is_empty() {
        return;
    }
    let fleet = lock(&gateway.fleet);
    let replaced: Vec<ReplicaProcess> =
        processes.into_iter().filter(|it| fleet.was_replaced(*it)).collect();
    drop(fleet);
    replaced.into_iter().for_each(|it| record_ended(gateway, it));
}

/// Merges what a peer knew at `reported_at`, and passes on what is new.
pub(crate) fn merge_reports<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    from: IpAddr,
    reported_at: Duration,
    reports: &[SuspectReport],
) {
    merge(gateway, Some(from), reported_at, reports);
}

/// Merges what the store held at `read_at`, in a row that had been written `row_age` before, and
/// passes on what is new.
pub(crate) fn merge_stored<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    read_at: Duration,
    row_age: Duration,
    reports: &[SuspectReport],
) {
    let age = |it: &Duration| *it + row_age;
    let aged: Vec<SuspectReport> = reports
        .iter()
        .map(|it| SuspectReport {
            key: it.key,
            events: it.events.iter().map(|it| CrashEvent { age: age(&it.age), ..*it }).collect(),
            cleared: it.cleared.as_ref().map(age),
            probed: it.probed.as_ref().map(age),
        })
        .collect();
    merge(gateway, None, read_at, &aged);
}

fn merge<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    from: Option<IpAddr>,
    reported_at: Duration,
    reports: &[SuspectReport],
) {
    let now = gateway.now();
    let news: Vec<SuspectReport> = {
        let mut suspects = lock(&gateway.suspects);
        let news = reports.iter().filter(|it| suspects.merge(reported_at, it));
        let keys: Vec<SuspectKey> = news.map(|it| it.key).collect();
        keys.into_iter().filter_map(|it| suspects.report(now, it)).collect()
    };
    // The sender does not know of the answers that exonerate what it reported.
    let (exonerated, news) = news.into_iter().partition(|it| it.events.is_empty());
    share_news(gateway, now, None, exonerated);
    share_news(gateway, now, from, news);
}

/// Merges a crash that a daemon of the version before reports.
pub(crate) fn merge_strike<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    from: IpAddr,
    strike: Strike,
) {
    let now = gateway.now();
    let keys = [(SuspectKey::Request(strike.fingerprint), strike.member)];
    let reports = lock(&gateway.suspects).record_crash(now, now, &keys, strike.member);
    share_news(gateway, now, Some(from), reports);
}

/// Tells peers of the suspects again, for those that have missed it or have just started.
pub(crate) fn repeat_reports<D: Dialect, S: Directory>(gateway: &Gateway<D, S>) {
    let now = gateway.now();
    lock(&gateway.unanswered).expire(now);
    let reports = lock(&gateway.suspects).repeat_reports(now);
    tell_peers(gateway, now, None, reports);
}

/// Logs what has changed about suspects of more than one crash, and tells peers of all.
fn share_news<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    now: Duration,
    source: Option<IpAddr>,
    reports: Vec<SuspectReport>,
) {
    for report in reports.iter().filter(|it| it.events.len() > 1 || it.cleared.is_some()) {
        let counted = lock(&gateway.suspects).counted_crashes(now, report.key);
        let cleared_ms = report.cleared.map(|it| it.as_millis() as u64);
        tracing::info!(
            suspect = %report.key, crashes = report.events.len(), counted, cleared_ms,
            source = source.map(tracing::field::display),
            "call: crash record changed"
        );
    }
    tell_peers(gateway, now, source, reports);
}

fn tell_peers<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    now: Duration,
    source: Option<IpAddr>,
    reports: Vec<SuspectReport>,
) {
    if reports.is_empty() {
        return;
    }
    let to = lock(&gateway.members).gossip_peers(now).forward_targets(source);
    gateway.peer_socket.send(now, &to, &PeerMessage::Suspects(reports));
}

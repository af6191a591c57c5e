//! Requests that a replica left without an answer, until it is known whether its process ended.
//!
//! A replica that crashes may be back before anybody asks, or silent until it starts again. That its
//! process ended then shows some seconds later, by its next one.
//!
//! Load pattern: few such requests in calm; under overload or a cut, all requests to some replicas.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;

use crate::crash_suspects::SuspectKey;
use crate::rendezvous;

/// How long after a request was left without an answer the end of the process counts against it.
pub const EVIDENCE_TIME: Duration = Duration::from_secs(10);
/// Upper limit of requests on record for one process. Further ones are not recorded: what crashes a
/// replica is sent again, and other requests are not.
const MAX_REQUESTS: usize = 64;

/// A replica in one incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ReplicaProcess {
    /// The hash of the replica's id.
    pub member: u64,
    /// Its incarnation.
    pub incarnation: u64,
    /// Where it listens.
    pub address: SocketAddr,
}

impl ReplicaProcess {
    /// A hash of it, by which daemons name it to each other.
    pub fn digest(&self) -> u64 {
        rendezvous::weight(self.member, self.incarnation)
    }
}

/// A request without an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnansweredRequest {
    /// What it consists of that may crash replicas, each with a hash of its successor.
    pub keys: Vec<(SuspectKey, u64)>,
    /// When it was given up or its connection broke.
    pub ended_at: Duration,
}

/// The requests of one daemon that got no answer lately, by replica.
#[derive(Debug, Default)]
pub struct UnansweredTable {
    records: IndexMap<ReplicaProcess, Vec<UnansweredRequest>>,
}

impl UnansweredTable {
    /// Records a request.
    pub fn record(&mut self, process: ReplicaProcess, request: UnansweredRequest) {
        let requests = self.records.entry(process).or_default();
        if requests.len() < MAX_REQUESTS {
            requests.push(request);
        }
    }

    /// The processes on record.
    pub fn processes(&self) -> impl Iterator<Item = ReplicaProcess> {
        self.records.keys().copied()
    }

    /// Takes the requests of a process that is known to have ended without an announcement.
    pub fn take(&mut self, now: Duration, process: ReplicaProcess) -> Vec<UnansweredRequest> {
        let mut requests = self.records.swap_remove(&process).unwrap_or_default();
        requests.retain(|it| now < it.ended_at + EVIDENCE_TIME);
        requests
    }

    /// Forgets what requests have in common with one that was answered to its end.
    pub fn clear(&mut self, keys: &[SuspectKey]) {
        for requests in self.records.values_mut() {
            requests.iter_mut().for_each(|it| it.keys.retain(|(key, _)| !keys.contains(key)));
            requests.retain(|it| !it.keys.is_empty());
        }
        self.records.retain(|_, it| !it.is_empty());
    }

    /// Forgets requests that are too old to count.
    pub fn expire(&mut self, now: Duration) {
        for requests in self.records.values_mut() {
            requests.retain(|it| now < it.ended_at + EVIDENCE_TIME);
        }
        self.records.retain(|_, it| !it.is_empty());
    }
}

//! Requests that crash the replicas that run them.
//!
//! When a replica crashes, every request that was running on it gets a strike. A request with one
//! strike is a suspect and runs only on a replica without other suspects; strikes from two
//! different replicas quarantine it. Daemons report strikes to each other, so one request crashes
//! at most two replicas, plus those that it is running on when the second strike becomes known.

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Strikes from different replicas that quarantine a request.
pub const STRIKE_LIMIT: usize = 2;
/// How long the strikes of a request count after the last one.
const STRIKE_RETENTION: Duration = Duration::from_secs(3_600);
/// Upper limit of requests on record. At the limit a new request drops the one recorded first.
pub const MAX_RECORDS: usize = 10_000;

/// Digest of a request's customer, route and body, by which a repeated request is recognised.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(pub u64);

/// One crash of a replica while a request ran on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Strike {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The replica that crashed, as the hash of its id.
    pub member: u64,
}

/// How a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineState {
    /// Without restriction.
    Clean,
    /// Only on a replica where no other suspect runs.
    Isolated,
    /// Not at all.
    Quarantined,
}

/// The strikes of one request.
#[derive(Debug, Clone)]
struct StrikeRecord {
    /// The replicas that crashed, as hashes of their ids.
    members: Vec<u64>,
    last_strike_at: Duration,
    /// Whether the request has run to its end in isolation since its last strike.
    cleared: bool,
}

/// The strikes that one daemon knows of, its own and its peers'.
#[derive(Debug, Default)]
pub struct QuarantineTable {
    records: IndexMap<Fingerprint, StrikeRecord>,
}

impl QuarantineTable {
    /// How a request may run at `now`.
    pub fn state(&self, now: Duration, fingerprint: Fingerprint) -> QuarantineState {
        let record = self.records.get(&fingerprint);
        match record
            .filter(|it| now.saturating_sub(it.last_strike_at) < STRIKE_RETENTION && !it.cleared)
        {
            None => QuarantineState::Clean,
            Some(it) if it.members.len() >= STRIKE_LIMIT => QuarantineState::Quarantined,
            Some(_) => QuarantineState::Isolated,
        }
    }

    /// Records a strike; returns true if it was not known.
    pub fn record_strike(&mut self, now: Duration, strike: Strike) -> bool {
        let is_new = !self.records.contains_key(&strike.fingerprint);
        if is_new && self.records.len() >= MAX_RECORDS {
            self.records.shift_remove_index(0);
        }
        let record = self.records.entry(strike.fingerprint).or_insert(StrikeRecord {
            members: Vec::new(),
            last_strike_at: now,
            cleared: false,
        });
        if record.members.contains(&strike.member) {
            return false;
        }
        record.members.push(strike.member);
        record.last_strike_at = now;
        record.cleared = false;
        true
    }

    /// The replicas that crashed while a request ran on them, as hashes of their ids.
    pub fn members(&self, fingerprint: Fingerprint) -> Vec<u64> {
        self.records.get(&fingerprint).map_or(Vec::new(), |it| it.members.clone())
    }

    /// Drops the single strike of a request that has now run to its end in isolation, and so did
    /// not cause the crash. A request with two strikes stays quarantined.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        if let Some(it) = self.records.get_mut(&fingerprint).filter(|it| it.members.len() < 2) {
            it.cleared = true;
            it.members.clear();
        }
    }

    /// All strikes on record, to be sent to peers.
    pub fn strikes(&self) -> Vec<Strike> {
        let records = self.records.iter();
        records
            .flat_map(|(fingerprint, it)| {
                it.members
                    .iter()
                    .map(|member| Strike { fingerprint: *fingerprint, member: *member })
            })
            .collect()
    }
}

//! Requests that crash the replicas that run them.
//!
//! A crash strikes every request that ran on the replica. A struck request runs on a replica
//! without other suspects; strikes from two different replicas quarantine it. Strikes travel between peers, so
//! one request costs the fleet at most two replicas, plus those it is running on when the second
//! strike is told.

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Strikes from different replicas that quarantine a request.
pub const STRIKE_LIMIT: usize = 2;
/// How long a strike is remembered.
const STRIKE_MEMORY: Duration = Duration::from_secs(3_600);
/// Most requests on record.
const MAX_STRUCK: usize = 10_000;

/// What a request is recognised by: its customer, route and body, digested.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Fingerprint(pub u64);

/// One crash while a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Strike {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The replica that crashed.
    pub member: u64,
}

/// How a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineState {
    /// Like any other.
    Clean,
    /// Only on a replica where no other suspect runs.
    Isolated,
    /// Not at all.
    Quarantined,
}

#[derive(Debug, Clone)]
struct StruckRecord {
    members: Vec<u64>,
    at: Duration,
    cleared: bool,
}

/// Strikes known to one daemon.
#[derive(Debug, Default)]
pub struct QuarantineTable {
    struck: IndexMap<Fingerprint, StruckRecord>,
}

impl QuarantineTable {
    /// How a request may run now.
    pub fn state(&self, now: Duration, fingerprint: Fingerprint) -> QuarantineState {
        let record = self.struck.get(&fingerprint);
        match record.filter(|it| now.saturating_sub(it.at) < STRIKE_MEMORY && !it.cleared) {
            None => QuarantineState::Clean,
            Some(it) if it.members.len() >= STRIKE_LIMIT => QuarantineState::Quarantined,
            Some(_) => QuarantineState::Isolated,
        }
    }

    /// Records a strike; true if it was not known.
    pub fn record_strike(&mut self, now: Duration, strike: Strike) -> bool {
        if self.struck.len() >= MAX_STRUCK {
            self.struck.shift_remove_index(0);
        }
        let record = self.struck.entry(strike.fingerprint).or_insert(StruckRecord {
            members: Vec::new(),
            at: now,
            cleared: false,
        });
        if record.members.contains(&strike.member) {
            return false;
        }
        record.members.push(strike.member);
        record.at = now;
        record.cleared = false;
        true
    }

    /// The replicas that crashed under a request.
    pub fn members(&self, fingerprint: Fingerprint) -> Vec<u64> {
        self.struck.get(&fingerprint).map_or(Vec::new(), |it| it.members.clone())
    }

    /// A struck request ran to its end apart from others: it was a bystander.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        if let Some(it) = self.struck.get_mut(&fingerprint).filter(|it| it.members.len() < 2) {
            it.cleared = true;
            it.members.clear();
        }
    }

    /// All strikes, for peers.
    pub fn strikes(&self) -> Vec<Strike> {
        let all = self.struck.iter();
        all.flat_map(|(fingerprint, it)| {
            it.members.iter().map(|member| Strike { fingerprint: *fingerprint, member: *member })
        })
        .collect()
    }
}

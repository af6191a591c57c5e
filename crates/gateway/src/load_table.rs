//! The loads that peers reported, summed up by replica.
//!
//! The sums are kept up to date with each report, so that the load of a replica is one look-up
//! however many daemons report.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use policy::silence::AnswerCount;

use crate::peer_message::TargetLoad;
use crate::replica::LoadCount;

/// How long a peer's report of its load is counted.
const PEER_LOAD_TTL: Duration = Duration::from_secs(2);

/// The latest loads of each peer, by the hash of its id, and their sums.
#[derive(Debug, Default)]
pub(crate) struct LoadTable {
    peers: IndexMap<u64, PeerLoads>,
    /// By the hash of the replica's id; replicas without load are left out.
    sums: IndexMap<u64, LoadSum>,
    changes: LoadChanges,
}

/// The replicas whose load has changed, in this period of reports and in the one before.
#[derive(Debug, Default)]
struct LoadChanges {
    current: IndexSet<u64>,
    previous: IndexSet<u64>,
}

#[derive(Debug, Default)]
struct PeerLoads {
    reported_at: Duration,
    /// By the hash of the replica's id.
    loads: IndexMap<u64, LoadCount>,
}

/// A sum of loads, wide enough for any number of reports.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct LoadSum {
    running: u64,
    pending_tokens: u64,
    kv_tokens: u64,
    answered: u64,
    failed: u64,
}

impl LoadTable {
    /// Replaces a peer's loads by those of `reported_at`, unless a later report is known.
    pub(crate) fn replace(&mut self, reported_at: Duration, peer: u64, loads: &[TargetLoad]) {
        if self.peers.get(&peer).is_some_and(|it| it.reported_at > reported_at) {
            return;
        }
        let loads: IndexMap<u64, LoadCount> =
            loads.iter().map(|it| (it.member, it.load())).collect();
        let known = self.peers.entry(peer).or_default();
        known.reported_at = reported_at;
        let before = std::mem::replace(&mut known.loads, loads);
        let known = &self.peers[&peer];
        for (member, load) in &before {
            if !known.loads.contains_key(member) {
                change_sum(&mut self.sums, &mut self.changes, *member, *load, LoadCount::default());
            }
        }
        for (member, load) in &known.loads {
            let before = before.get(member).copied().unwrap_or_default();
            change_sum(&mut self.sums, &mut self.changes, *member, before, *load);
        }
    }

    /// Replaces those loads of a peer that changed until `reported_at`; the others are still
    /// current.
    pub(crate) fn update(&mut self, reported_at: Duration, peer: u64, changes: &[TargetLoad]) {
        let known = self.peers.entry(peer).or_default();
        if known.reported_at > reported_at {
            return;
        }
        known.reported_at = reported_at;
        for it in changes {
            let load = it.load();
            let before = match load == LoadCount::default() {
                true => known.loads.swap_remove(&it.member),
                false => known.loads.insert(it.member, load),
            };
            let before = before.unwrap_or_default();
            change_sum(&mut self.sums, &mut self.changes, it.member, before, load);
        }
    }

    /// Begins a period of reports. `own` are the replicas on which this daemon's own load changed.
    pub(crate) fn begin_period(&mut self, own: impl Iterator<Item = u64>) {
        self.changes.previous = std::mem::take(&mut self.changes.current);
        self.changes.previous.extend(own);
    }

    /// The replicas whose load changed since the period before this one began.
    pub(crate) fn changed(&self) -> impl Iterator<Item = u64> {
        let LoadChanges { current, previous } = &self.changes;
        previous.iter().chain(current.difference(previous)).copied()
    }

    /// The load of all peers but one on a replica, given as the hash of its id.
    pub(crate) fn sum_without(&self, peer: u64, member: u64) -> LoadCount {
        let mut sum = self.sums.get(&member).copied().unwrap_or_default();
        if let Some(load) = self.peers.get(&peer).and_then(|it| it.loads.get(&member)) {
            sum.subtract(load);
        }
        sum.count()
    }

    /// Drops reports that are too old to be counted.
    pub(crate) fn expire(&mut self, now: Duration) {
        let expired = |it: &PeerLoads| now >= it.reported_at + PEER_LOAD_TTL;
        while let Some(peer) = self.peers.iter().find(|it| expired(it.1)).map(|it| *it.0) {
            self.remove(peer);
        }
    }

    /// The load of all peers on a replica, given as the hash of its id.
    pub(crate) fn sum(&self, member: u64) -> LoadCount {
        self.sums.get(&member).copied().unwrap_or_default().count()
    }

    /// The replicas on which any peer has a load, as hashes of their ids.
    pub(crate) fn loaded(&self) -> impl Iterator<Item = u64> {
        self.sums.keys().copied()
    }

    /// A peer's loads as last reported, with the replicas' hashes.
    pub(crate) fn of_peer(&self, peer: u64) -> impl Iterator<Item = (u64, LoadCount)> {
        let loads = self.peers.get(&peer).map(|it| &it.loads);
        loads.into_iter().flatten().map(|(member, load)| (*member, *load))
    }

    /// The time of the oldest report that is counted.
    pub(crate) fn oldest(&self) -> Option<Duration> {
        self.peers.values().map(|it| it.reported_at).min()
    }

    fn remove(&mut self, peer: u64) {
        let Some(removed) = self.peers.swap_remove(&peer) else { return };
        for (member, load) in &removed.loads {
            change_sum(&mut self.sums, &mut self.changes, *member, *load, LoadCount::default());
        }
    }
}

/// Replaces one peer's load in the sum of a replica.
fn change_sum(
    sums: &mut IndexMap<u64, LoadSum>,
    changes: &mut LoadChanges,
    member: u64,
    before: LoadCount,
    after: LoadCount,
) {
    if before == after {
        return;
    }
    let sum = sums.entry(member).or_default();
    sum.subtract(&before);
    sum.add(&after);
    if *sum == LoadSum::default() {
        sums.swap_remove(&member);
    }
    changes.current.insert(member);
}

impl LoadSum {
    fn add(&mut self, load: &LoadCount) {
        self.running += u64::from(load.running);
        self.pending_tokens += load.pending_tokens;
        self.kv_tokens += load.kv_tokens;
        self.answered += u64::from(load.answers.answered);
        self.failed += u64::from(load.answers.failed);
    }

    fn subtract(&mut self, load: &LoadCount) {
        self.running -= u64::from(load.running);
        self.pending_tokens -= load.pending_tokens;
        self.kv_tokens -= load.kv_tokens;
        self.answered -= u64::from(load.answers.answered);
        self.failed -= u64::from(load.answers.failed);
    }

    /// Converts to a load; counts beyond `u32` are capped.
    fn count(self) -> LoadCount {
        let saturate = |it: u64| u32::try_from(it).unwrap_or(u32::MAX);
        LoadCount {
            running: saturate(self.running),
            pending_tokens: self.pending_tokens,
            kv_tokens: self.kv_tokens,
            answers: AnswerCount {
                answered: saturate(self.answered),
                failed: saturate(self.failed),
            },
        }
    }
}

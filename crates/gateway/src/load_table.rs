//! The loads that peers reported, summed up by replica.
//!
//! The sums are kept up to date with each report, so that the load of a replica is one look-up
//! however many daemons report.

use std::time::Duration;

use indexmap::IndexMap;
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
        self.remove(peer);
        let loads: IndexMap<u64, LoadCount> =
            loads.iter().map(|it| (it.member, it.load())).collect();
        for (member, load) in &loads {
            self.sums.entry(*member).or_default().add(load);
        }
        self.peers.insert(peer, PeerLoads { reported_at, loads });
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
            let sum = self.sums.entry(it.member).or_default();
            sum.subtract(&before.unwrap_or_default());
            sum.add(&load);
            if *sum == LoadSum::default() {
                self.sums.swap_remove(&it.member);
            }
        }
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

    /// The loads of all peers but one on all replicas that have any, with the replicas' hashes.
    pub(crate) fn sums_without(&self, peer: u64) -> impl Iterator<Item = (u64, LoadCount)> {
        let own = self.peers.get(&peer);
        self.sums.iter().map(move |(member, sum)| {
            let mut sum = *sum;
            if let Some(load) = own.and_then(|it| it.loads.get(member)) {
                sum.subtract(load);
            }
            (*member, sum.count())
        })
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
            let Some(sum) = self.sums.get_mut(member) else { continue };
            sum.subtract(load);
            if *sum == LoadSum::default() {
                self.sums.swap_remove(member);
            }
        }
    }
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

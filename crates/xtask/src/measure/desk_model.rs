//! A small fake of a replica: slots, a queue, a bounded prefix cache.

use std::collections::VecDeque;

use indexmap::IndexMap;
use policy::chain::ChainHash;

/// Seconds to compute one prompt token that is not cached.
pub(crate) const PREFILL_S: f64 = 0.000_1;
/// Tokens in one piece.
pub(crate) const PIECE_TOKENS: u64 = 4_000;

/// One replica.
pub(crate) struct FakeReplica {
    slots: usize,
    cache_pieces: usize,
    cache: IndexMap<ChainHash, ()>,
    /// When each running request ends.
    running: Vec<f64>,
    /// When each waiting request will have begun.
    begins: VecDeque<f64>,
}

/// What became of one request on a replica.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FakeRun {
    /// Chain nodes found cached.
    pub(crate) cached: usize,
    /// When its first token comes.
    pub(crate) first_token: f64,
    /// When it ends.
    pub(crate) end: f64,
}

impl FakeReplica {
    pub(crate) fn new(slots: usize, cache_pieces: usize) -> FakeReplica {
        FakeReplica {
            slots,
            cache_pieces,
            cache: IndexMap::new(),
            running: Vec::new(),
            begins: VecDeque::new(),
        }
    }

    /// Runs a request that arrives at `now`.
    pub(crate) fn run(
        &mut self,
        now: f64,
        chain: &[ChainHash],
        tokens: u64,
        decode_s: f64,
    ) -> FakeRun {
        let begin = self.begin_at(now);
        let cached = self.touch(chain);
        let fresh = tokens.saturating_sub(cached as u64 * PIECE_TOKENS);
        let first_token = begin + fresh as f64 * PREFILL_S;
        let end = first_token + decode_s;
        self.running.push(end);
        if begin > now {
            self.begins.push_back(begin);
        }
        FakeRun { cached, first_token, end }
    }

    /// Requests on it, running or waiting.
    pub(crate) fn load(&mut self, now: f64) -> u32 {
        self.running.retain(|it| *it > now);
        self.running.len() as u32
    }

    /// Seconds until a slot is free.
    pub(crate) fn wait_s(&mut self, now: f64) -> f64 {
        self.begin_at(now) - now
    }

    /// Chain nodes in its cache now.
    pub(crate) fn holds(&self, chain: &[ChainHash]) -> usize {
        chain.iter().take_while(|it| self.cache.contains_key(*it)).count()
    }

    /// It crashes and comes back empty.
    pub(crate) fn crash(&mut self) {
        self.cache.clear();
        self.running.clear();
        self.begins.clear();
    }

    fn begin_at(&mut self, now: f64) -> f64 {
        self.running.retain(|it| *it > now);
        if self.running.len() < self.slots {
            return now;
        }
        // The earliest moment at which fewer than all slots are taken by those before.
        let mut ends = self.running.clone();
        ends.sort_by(f64::total_cmp);
        ends[ends.len() - self.slots]
    }

    fn touch(&mut self, chain: &[ChainHash]) -> usize {
        let held = self.holds(chain);
        for node in chain {
            self.cache.shift_remove(node);
            self.cache.insert(*node, ());
        }
        while self.cache.len() > self.cache_pieces {
            self.cache.shift_remove_index(0);
        }
        held
    }
}

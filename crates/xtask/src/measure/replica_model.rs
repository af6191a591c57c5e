//! A simulated replica: slots, a queue and a bounded prefix cache. Times are seconds of simulated
//! time.

use std::collections::VecDeque;

use indexmap::IndexMap;
use policy::chain::ChainHash;

/// Seconds to compute one prompt token that is not cached.
pub(crate) const PREFILL_S: f64 = 0.000_1;
/// Tokens in one piece of a prompt, for which the chain has one node.
pub(crate) const PIECE_TOKENS: u64 = 4_000;

/// A replica that computes when a request would start and end.
pub(crate) struct SimulatedReplica {
    /// Requests that it runs at once.
    slots: usize,
    /// Capacity of the cache; the least recently used nodes beyond it are evicted.
    cache_pieces: usize,
    /// Cached chain nodes, the least recently used first.
    cache: IndexMap<ChainHash, ()>,
    /// End times of the requests that run or wait.
    request_ends: Vec<f64>,
    /// Start times of the requests that had to wait.
    start_times: VecDeque<f64>,
}

/// The course of one request on a replica.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SimulatedRun {
    /// Nodes of its chain that were cached, counted from the first.
    pub(crate) cached_nodes: usize,
    /// When it yields its first token.
    pub(crate) first_token: f64,
    /// When it ends.
    pub(crate) end: f64,
}

impl SimulatedReplica {
    /// An idle replica with an empty cache.
    pub(crate) fn new(slots: usize, cache_pieces: usize) -> SimulatedReplica {
        SimulatedReplica {
            slots,
            cache_pieces,
            cache: IndexMap::new(),
            request_ends: Vec::new(),
            start_times: VecDeque::new(),
        }
    }

    /// Schedules a request of `tokens` prompt tokens that arrives at `now`, and caches its chain.
    pub(crate) fn run(
        &mut self,
        now: f64,
        chain: &[ChainHash],
        tokens: u64,
        decode_s: f64,
    ) -> SimulatedRun {
        let start = self.start_time(now);
        let cached_nodes = self.add_to_cache(chain);
        let uncached_tokens = tokens.saturating_sub(cached_nodes as u64 * PIECE_TOKENS);
        let first_token = start + uncached_tokens as f64 * PREFILL_S;
        let end = first_token + decode_s;
        self.request_ends.push(end);
        if start > now {
            self.start_times.push_back(start);
        }
        SimulatedRun { cached_nodes, first_token, end }
    }

    /// The requests on it at `now`, running or waiting.
    pub(crate) fn load(&mut self, now: f64) -> u32 {
        self.request_ends.retain(|it| *it > now);
        self.request_ends.len() as u32
    }

    /// Seconds that a request arriving at `now` would wait for a slot.
    pub(crate) fn wait_s(&mut self, now: f64) -> f64 {
        self.start_time(now) - now
    }

    /// Nodes of the chain in its cache, counted from the first up to the first one missing.
    pub(crate) fn count_cached(&self, chain: &[ChainHash]) -> usize {
        chain.iter().take_while(|it| self.cache.contains_key(*it)).count()
    }

    /// Crashes and restarts it: its requests and the cache are lost.
    pub(crate) fn crash(&mut self) {
        self.cache.clear();
        self.request_ends.clear();
        self.start_times.clear();
    }

    /// When a request that arrives at `now` would start.
    fn start_time(&mut self, now: f64) -> f64 {
        self.request_ends.retain(|it| *it > now);
        if self.request_ends.len() < self.slots {
            return now;
        }
        // The earliest time at which the earlier requests leave a slot free.
        let mut ends = self.request_ends.clone();
        ends.sort_by(f64::total_cmp);
        ends[ends.len() - self.slots]
    }

    /// Marks the chain as the most recently used; returns how many of its first nodes were cached.
    fn add_to_cache(&mut self, chain: &[ChainHash]) -> usize {
        let cached_nodes = self.count_cached(chain);
        for node in chain {
            self.cache.shift_remove(node);
            self.cache.insert(*node, ());
        }
        while self.cache.len() > self.cache_pieces {
            self.cache.shift_remove_index(0);
        }
        cached_nodes
    }
}

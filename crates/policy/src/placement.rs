//! Chooses the replica for a model request.
//!
//! The base is a pure function: rendezvous hashing of the prompt's chain over the replicas. The
//! homes of a chain node, the replicas that should cache it, are chosen among the homes of the node
//! before it. So daemons agree without messages, and a restarted one places well without state.
//!
//! Two observations refine the choice, both taken from answers that a daemon gets anyway: which
//! prefixes a replica held and when, and its load. The expected recomputation and the expected wait
//! are both measured in seconds and added up.

use std::time::Duration;

use ids::Incarnation;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::chain::ChainHash;
use crate::rendezvous;

/// Maximum number of chain nodes in the table.
const MAX_NODES: usize = 65_536;
/// Maximum number of holders recorded per node; a further one replaces the oldest.
const MAX_HOLDERS: usize = 8;
/// Half-life of a node's decayed request count.
const REQUEST_HALF_LIFE: Duration = Duration::from_secs(10);
/// Half-life of the load that a replica reported with an answer.
const LOAD_HALF_LIFE: Duration = Duration::from_secs(8);
/// Initial estimate of how long a prefix stays cached, in seconds.
const INITIAL_LIFETIME_S: f64 = 20.0;
/// Bounds of the learned cache lifetime, in seconds.
const LIFETIME_BOUNDS_S: (f64, f64) = (1.0, 600.0);
/// Initial estimate of the hit rate at the home of a node that is not recorded as held there.
const INITIAL_HOME_HIT_RATE: f64 = 0.5;
/// Weight of one observation in the learned hit rate at homes.
const HOME_HIT_SMOOTHING: f64 = 0.02;
/// Share of its homes' slots that a node's requests may fill before the node gets another home.
const MAX_HOME_FILL: f64 = 0.6;

/// Sizes and costs from which placement computes expected seconds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct PlacementCosts {
    /// Tokens in one piece of a prompt.
    pub piece_tokens: u64,
    /// Seconds to compute one prompt token that is not cached.
    pub prefill_s: f64,
    /// Seconds that a typical request occupies one of a replica's slots.
    pub slot_s: f64,
}

impl Default for PlacementCosts {
    fn default() -> PlacementCosts {
        PlacementCosts { piece_tokens: 4_000, prefill_s: 0.000_1, slot_s: 1.0 }
    }
}

/// The state of one replica, as the placing daemon knows it.
#[derive(Debug, Clone, Copy)]
pub struct ReplicaView {
    /// The hash of the replica's id (see [`rendezvous::hash_member`]).
    pub member: u64,
    /// The incarnation of its process; records of what an earlier one held do not count.
    pub incarnation: Incarnation,
    /// Requests that it runs at once.
    pub slots: u32,
    /// This daemon's requests in flight on it.
    pub outstanding: u32,
    /// Requests on it, from all daemons, as reported with its last answer.
    pub reported: u32,
    /// When it reported them.
    pub reported_at: Duration,
}

impl ReplicaView {
    /// The requests expected on the replica at `now`: the greater of this daemon's requests in
    /// flight and the reported load, which decays with its age. A quarter of the smaller one is
    /// added, which decays alike.
    pub fn load(&self, now: Duration) -> f64 {
        let decay_factor = decay(now.saturating_sub(self.reported_at), LOAD_HALF_LIFE);
        f64::from(self.outstanding).max(f64::from(self.reported) * decay_factor)
            + 0.25 * f64::from(self.outstanding.min(self.reported)) * decay_factor
    }

    /// The expected wait of a request placed on the replica now, in seconds.
    fn wait_s(&self, now: Duration, slot_s: f64) -> f64 {
        let fill = self.load(now) / f64::from(self.slots.max(1));
        // A batch slows down as it fills; requests beyond the last slot queue.
        0.1 * slot_s * fill + slot_s * (fill - 1.0).max(0.0)
    }
}

/// The chosen replica and the expectations behind the choice.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Choice {
    /// Index into the replicas passed to [`PlacementTable::choose`].
    pub index: usize,
    /// Number of the chain's nodes expected in its cache.
    pub expected_nodes: usize,
    /// Expected recomputation plus expected wait, in seconds.
    pub cost_s: f64,
}

/// A replica that held a node, and when it last did.
#[derive(Debug, Clone, Copy)]
struct HolderRecord {
    member: u64,
    incarnation: Incarnation,
    held_at: Duration,
}

/// The decayed request count of a node as of `counted_at`, and its holders.
#[derive(Debug, Clone, Default)]
struct NodeRecord {
    requests: f64,
    counted_at: Duration,
    holders: Vec<HolderRecord>,
}

/// What one daemon has observed about chain nodes: how often they are requested and who holds them.
#[derive(Debug)]
pub struct PlacementTable {
    costs: PlacementCosts,
    daemon_count: f64,
    nodes: IndexMap<ChainHash, NodeRecord>,
    lifetime_s: f64,
    home_hit_rate: f64,
}

impl PlacementTable {
    /// Creates an empty table for a single daemon.
    pub fn new(costs: PlacementCosts) -> PlacementTable {
        PlacementTable {
            costs,
            daemon_count: 1.0,
            nodes: IndexMap::new(),
            lifetime_s: INITIAL_LIFETIME_S,
            home_hit_rate: INITIAL_HOME_HIT_RATE,
        }
    }

    /// Sets how many daemons place requests. Each sees about an equal share of a node's requests,
    /// so the observed rate is multiplied by this count.
    pub fn set_daemon_count(&mut self, count: usize) {
        self.daemon_count = count.max(1) as f64;
    }

    /// Tokens in one piece of a prompt.
    pub fn piece_tokens(&self) -> u64 {
        self.costs.piece_tokens
    }

    /// Whether the replica at `index` is a home of the whole chain.
    pub fn is_home(
        &self,
        now: Duration,
        chain: &[ChainHash],
        replicas: &[ReplicaView],
        index: usize,
    ) -> bool {
        let homes = self.nested_homes(now, chain, replicas);
        homes.iter().any(|it| it.0 == index && it.1 == chain.len())
    }

    /// The number of chain nodes in the table.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Whether the table holds no node.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Chooses the replica for a prompt of `tokens` whose full pieces hash to `chain`, and counts
    /// the request. `None` if there are no replicas. `random` picks two candidates besides the
    /// homes and holders.
    pub fn choose(
        &mut self,
        now: Duration,
        chain: &[ChainHash],
        tokens: u64,
        replicas: &[ReplicaView],
        random: u64,
    ) -> Option<Choice> {
        let candidates = self.candidates(now, chain, replicas, random);
        self.count_request(now, chain);
        candidates
            .into_iter()
            .map(|(index, home_nodes)| {
                let nodes = self.expected_nodes(now, chain, &replicas[index], home_nodes);
                let cached = nodes * self.costs.piece_tokens as f64;
                let recompute_s = (tokens as f64 - cached).max(0.0) * self.costs.prefill_s;
                let wait_s = replicas[index].wait_s(now, self.costs.slot_s);
                let cost_s = recompute_s + wait_s;
                Choice { index, expected_nodes: nodes.round() as usize, cost_s }
            })
            .min_by(|left, right| left.cost_s.total_cmp(&right.cost_s))
    }

    /// Learns from an answer: the first `cached_nodes` of `chain` were in the replica's cache, and
    /// now all of them are. `was_home`: the replica was a home of the chain when it was chosen.
    pub fn record_answer(
        &mut self,
        now: Duration,
        chain: &[ChainHash],
        cached_nodes: usize,
        replica: &ReplicaView,
        was_home: bool,
    ) {
        for (depth, node) in chain.iter().enumerate() {
            let hit = depth < cached_nodes;
            let last_held = self.last_held(*node, replica);
            match last_held {
                Some(held_at) => {
                    self.learn_lifetime(now.saturating_sub(held_at).as_secs_f64(), hit)
                }
                None if was_home => {
                    let observed = if hit { 1.0 } else { 0.0 };
                    self.home_hit_rate += HOME_HIT_SMOOTHING * (observed - self.home_hit_rate);
                }
                None => {}
            }
            self.record_holder(now, *node, replica);
        }
    }

    /// Drops all records of what earlier incarnations of a replica held.
    pub fn drop_older_incarnations(&mut self, member: u64, incarnation: Incarnation) {
        for record in self.nodes.values_mut() {
            record.holders.retain(|it| it.member != member || it.incarnation >= incarnation);
        }
    }

    /// Returns up to `count` of the most requested nodes with their decayed request counts, for a
    /// peer that has just started.
    pub fn hottest(&self, now: Duration, count: usize) -> Vec<(ChainHash, f64)> {
        let mut all: Vec<(ChainHash, f64)> = self
            .nodes
            .iter()
            .map(|(node, it)| {
                (*node, it.requests * decay(now.saturating_sub(it.counted_at), REQUEST_HALF_LIFE))
            })
            .filter(|(_, requests)| *requests > 1.0)
            .collect();
        all.sort_by(|left, right| right.1.total_cmp(&left.1));
        all.truncate(count);
        all
    }

    /// Merges a peer's most requested nodes, counted as of now; of two request counts the one that
    /// is greater now is kept.
    pub fn merge_hottest(&mut self, now: Duration, hottest: &[(ChainHash, f64)]) {
        for (node, requests) in hottest {
            let record = self.nodes.entry(*node).or_default();
            let age = now.saturating_sub(record.counted_at);
            if record.requests * decay(age, REQUEST_HALF_LIFE) < *requests {
                record.requests = *requests;
                record.counted_at = now;
            }
        }
    }

    /// The length of the chain up to its deepest node in the table; its whole length if none is.
    fn known_depth(&self, chain: &[ChainHash]) -> usize {
        let known = chain.iter().rposition(|it| self.nodes.contains_key(it));
        known.map_or(chain.len(), |it| it + 1)
    }

    /// The replicas to compare, as indices, each with the number of nodes that it is a home of.
    fn candidates(
        &self,
        now: Duration,
        chain: &[ChainHash],
        replicas: &[ReplicaView],
        random: u64,
    ) -> Vec<(usize, usize)> {
        let members: Vec<u64> = replicas.iter().map(|it| it.member).collect();
        let known_depth = self.known_depth(chain);
        let mut found = self.nested_homes(now, &chain[..known_depth], replicas);
        for node in &chain[..known_depth] {
            for holder in self.nodes.get(node).map_or(&[][..], |it| &it.holders) {
                if let Some(index) = members.iter().position(|it| *it == holder.member) {
                    push_candidate(&mut found, index, 0);
                }
            }
        }
        // Two random replicas: the less loaded of them wins when all homes and holders are busy.
        if !replicas.is_empty() {
            let count = replicas.len() as u64;
            push_candidate(&mut found, (random % count) as usize, 0);
            push_candidate(&mut found, ((random >> 32) % count) as usize, 0);
        }
        found
    }

    /// The homes of a chain, as indices, and how many of its nodes each is a home of. The homes of
    /// a node are chosen from those of the node before it, so that nested prefixes share replicas
    /// and a shared prefix is kept on no more replicas than its request rate needs.
    fn nested_homes(
        &self,
        now: Duration,
        chain: &[ChainHash],
        replicas: &[ReplicaView],
    ) -> Vec<(usize, usize)> {
        let mut homes: Vec<usize> = (0..replicas.len()).collect();
        let mut found = Vec::new();
        for (depth, node) in chain.iter().enumerate() {
            let count = self.home_count(now, *node, replicas);
            if count >= homes.len() {
                continue;
            }
            let members: Vec<u64> = homes.iter().map(|it| replicas[*it].member).collect();
            let top = rendezvous::homes(node.0, &members, count);
            let next: Vec<usize> = top.into_iter().map(|it| homes[it]).collect();
            if depth > 0 {
                found.extend(homes.iter().filter(|it| !next.contains(it)).map(|it| (*it, depth)));
            }
            homes = next;
        }
        if !chain.is_empty() && homes.len() < replicas.len() {
            found.extend(homes.into_iter().map(|it| (it, chain.len())));
        }
        found
    }

    /// How many homes a node needs for its request rate over all daemons; at least one.
    fn home_count(&self, now: Duration, node: ChainHash, replicas: &[ReplicaView]) -> usize {
        let requests = self.nodes.get(&node).map_or(0.0, |it| {
            it.requests * decay(now.saturating_sub(it.counted_at), REQUEST_HALF_LIFE)
        });
        let rate = requests * std::f64::consts::LN_2 / REQUEST_HALF_LIFE.as_secs_f64();
        let slots = replicas.first().map_or(1, |it| it.slots.max(1));
        let rate_per_home = MAX_HOME_FILL * f64::from(slots) / self.costs.slot_s;
        (rate * self.daemon_count / rate_per_home).ceil().max(1.0) as usize
    }

    /// Counts a request for each node of the chain.
    fn count_request(&mut self, now: Duration, chain: &[ChainHash]) {
        for node in chain {
            let record = self.nodes.entry(*node).or_default();
            record.requests = record.requests
                * decay(now.saturating_sub(record.counted_at), REQUEST_HALF_LIFE)
                + 1.0;
            record.counted_at = now;
        }
        if self.nodes.len() > MAX_NODES {
            self.evict_stale(now);
        }
    }

    /// Makes room in a full table: removes nodes not requested for four half-lives, and if that is
    /// not enough, the half of the table that was added first.
    fn evict_stale(&mut self, now: Duration) {
        let max_age = 4 * REQUEST_HALF_LIFE;
        self.nodes.retain(|_, it| now.saturating_sub(it.counted_at) < max_age);
        if self.nodes.len() > MAX_NODES {
            self.nodes.drain(..MAX_NODES / 2);
        }
    }

    /// The number of the chain's nodes expected in the replica's cache: the greater of two
    /// estimates. One multiplies `home_nodes` by the hit rate at homes, the other is the depth of a
    /// node recorded as held there, which decays with the record's age.
    fn expected_nodes(
        &self,
        now: Duration,
        chain: &[ChainHash],
        replica: &ReplicaView,
        home_nodes: usize,
    ) -> f64 {
        let mut expected: f64 = home_nodes as f64 * self.home_hit_rate;
        for (depth, node) in chain.iter().enumerate() {
            if let Some(held_at) = self.last_held(*node, replica) {
                let age_s = now.saturating_sub(held_at).as_secs_f64();
                expected = expected.max((depth + 1) as f64 * (-age_s / self.lifetime_s).exp());
            }
        }
        expected
    }

    /// When this incarnation of the replica last held a node, if that is recorded.
    fn last_held(&self, node: ChainHash, replica: &ReplicaView) -> Option<Duration> {
        let record = self.nodes.get(&node)?;
        let is_same = |it: &&HolderRecord| {
            it.member == replica.member && it.incarnation == replica.incarnation
        };
        record.holders.iter().find(is_same).map(|it| it.held_at)
    }

    /// Records that the replica holds a node now, if the node is in the table.
    fn record_holder(&mut self, now: Duration, node: ChainHash, replica: &ReplicaView) {
        let Some(record) = self.nodes.get_mut(&node) else { return };
        let holder =
            HolderRecord { member: replica.member, incarnation: replica.incarnation, held_at: now };
        record.holders.retain(|it| it.member != replica.member);
        if record.holders.len() == MAX_HOLDERS {
            record.holders.remove(0);
        }
        record.holders.push(holder);
    }

    /// Adjusts the estimated cache lifetime: up on a hit on an old record, down on a miss on a
    /// young one.
    fn learn_lifetime(&mut self, age_s: f64, hit: bool) {
        let factor = match hit {
            true if age_s > self.lifetime_s / 2.0 => 1.05,
            false if age_s < self.lifetime_s => 0.93,
            _ => return,
        };
        self.lifetime_s =
            (self.lifetime_s * factor).clamp(LIFETIME_BOUNDS_S.0, LIFETIME_BOUNDS_S.1);
    }
}

/// Adds a candidate, or raises the `home_nodes` of one already found.
fn push_candidate(found: &mut Vec<(usize, usize)>, index: usize, home_nodes: usize) {
    match found.iter_mut().find(|it| it.0 == index) {
        Some(it) => it.1 = it.1.max(home_nodes),
        None => found.push((index, home_nodes)),
    }
}

fn decay(age: Duration, half_life: Duration) -> f64 {
    (-age.as_secs_f64() / half_life.as_secs_f64()).exp2()
}

//! Which replica gets a model request.
//!
//! The base is a pure function: rendezvous of the prompt's chain over the replicas, each node's
//! homes among the homes of the node before, so daemons agree without talking and a restarted
//! one places well with no state. Two things refine it,
//! both riding on answers a daemon gets anyway: beliefs (which prefix a replica held, and when)
//! and load. Expected recompute and expected wait are weighed in one unit, seconds.

use std::time::Duration;

use ids::Incarnation;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::chain::ChainHash;
use crate::rendezvous;

/// Most chain nodes whose heat and beliefs are kept.
const MAX_NODES: usize = 65_536;
/// Most replicas believed to hold one node.
const MAX_HOLDERS: usize = 8;
/// Half-life of a node's heat.
const HEAT_HALF_LIFE: Duration = Duration::from_secs(10);
/// Half-life of load reported with an answer.
const LOAD_HALF_LIFE: Duration = Duration::from_secs(8);
/// First guess of how long a prefix stays cached.
const FIRST_LIFETIME_S: f64 = 20.0;
/// Bounds of the learned lifetime.
const LIFETIME_BOUNDS_S: (f64, f64) = (1.0, 600.0);
/// First guess of the share of hits at a node's home with no belief about it.
const FIRST_HOME_HIT: f64 = 0.5;
/// Weight of one observation in the learned share of hits.
const HOME_HIT_STEP: f64 = 0.02;

/// How full the homes of a node are to be before another joins.
const HOME_FILL: f64 = 0.6;

/// Costs and sizes that placement weighs.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct PlacementCosts {
    /// Tokens in one piece.
    pub piece_tokens: u64,
    /// Seconds to compute one prompt token that is not cached.
    pub prefill_s: f64,
    /// Seconds a typical request occupies one of a replica's slots.
    pub slot_s: f64,
}

impl Default for PlacementCosts {
    fn default() -> PlacementCosts {
        PlacementCosts { piece_tokens: 4_000, prefill_s: 0.000_1, slot_s: 1.0 }
    }
}

/// What is known of one replica when a request is placed.
#[derive(Debug, Clone, Copy)]
pub struct ReplicaView {
    /// The hash of its id.
    pub member: u64,
    /// Its life; beliefs about an earlier one do not count.
    pub incarnation: Incarnation,
    /// Requests it runs at once.
    pub slots: u32,
    /// This daemon's requests on it now.
    pub outstanding: u32,
    /// Requests it reported with its last answer.
    pub reported: u32,
    /// When it reported them.
    pub reported_at: Duration,
}

impl ReplicaView {
    /// Requests expected on the replica at `now`.
    pub fn load(&self, now: Duration) -> f64 {
        let fade = decay(now.saturating_sub(self.reported_at), LOAD_HALF_LIFE);
        f64::from(self.outstanding).max(f64::from(self.reported) * fade)
            + 0.25 * f64::from(self.outstanding.min(self.reported)) * fade
    }

    fn wait_s(&self, now: Duration, slot_s: f64) -> f64 {
        let fill = self.load(now) / f64::from(self.slots.max(1));
        // Batches slow down as they fill; past the last slot, requests queue.
        0.1 * slot_s * fill + slot_s * (fill - 1.0).max(0.0)
    }
}

/// The replica chosen, and what is expected of it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Choice {
    /// Index into the replicas given.
    pub index: usize,
    /// Chain nodes expected in its cache.
    pub expected_nodes: usize,
    /// Expected seconds to the first token.
    pub cost_s: f64,
}

#[derive(Debug, Clone, Copy)]
struct Belief {
    member: u64,
    incarnation: Incarnation,
    at: Duration,
}

#[derive(Debug, Clone, Default)]
struct NodeRecord {
    heat: f64,
    heat_at: Duration,
    holders: Vec<Belief>,
}

/// Beliefs and heat of one daemon.
#[derive(Debug)]
pub struct PlacementTable {
    costs: PlacementCosts,
    daemons: f64,
    nodes: IndexMap<ChainHash, NodeRecord>,
    lifetime_s: f64,
    home_hit: f64,
}

impl PlacementTable {
    /// A table that knows nothing yet.
    pub fn new(costs: PlacementCosts) -> PlacementTable {
        PlacementTable {
            costs,
            daemons: 1.0,
            nodes: IndexMap::new(),
            lifetime_s: FIRST_LIFETIME_S,
            home_hit: FIRST_HOME_HIT,
        }
    }

    /// Tells how many daemons place requests: each sees its part of a prefix's heat.
    pub fn set_daemon_count(&mut self, count: usize) {
        self.daemons = count.max(1) as f64;
    }

    /// Tokens in one piece.
    pub fn piece_tokens(&self) -> u64 {
        self.costs.piece_tokens
    }

    /// Whether a replica is a home of the chain.
    pub fn is_home(
        &self,
        now: Duration,
        chain: &[ChainHash],
        replicas: &[ReplicaView],
        index: usize,
    ) -> bool {
        let homes = self.home_sets(now, chain, replicas);
        homes.iter().any(|it| it.0 == index && it.1 == chain.len())
    }

    /// Chain nodes on record.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Whether nothing is on record.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Chooses a replica for a prompt of `tokens` whose full pieces hash to `chain`; `None` if
    /// there are no replicas. `spread` is a random word that picks the escape candidates.
    pub fn choose(
        &mut self,
        now: Duration,
        chain: &[ChainHash],
        tokens: u64,
        replicas: &[ReplicaView],
        spread: u64,
    ) -> Option<Choice> {
        let candidates = self.candidates(now, chain, replicas, spread);
        self.warm(now, chain);
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

    /// Learns from an answer: `cached_nodes` of `chain` were in the replica's cache; now all are.
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
            let belief = self.belief(*node, replica);
            match belief {
                Some(at) => self.learn_lifetime(now.saturating_sub(at).as_secs_f64(), hit),
                None if was_home => {
                    let seen = if hit { 1.0 } else { 0.0 };
                    self.home_hit += HOME_HIT_STEP * (seen - self.home_hit);
                }
                None => {}
            }
            self.believe(now, *node, replica);
        }
    }

    /// Forgets every belief about a replica's earlier lives.
    pub fn drop_older_incarnations(&mut self, member: u64, incarnation: Incarnation) {
        for record in self.nodes.values_mut() {
            record.holders.retain(|it| it.member != member || it.incarnation >= incarnation);
        }
    }

    /// The hottest nodes with their heat, for a peer that has just started.
    pub fn hottest(&self, now: Duration, count: usize) -> Vec<(ChainHash, f64)> {
        let mut all: Vec<(ChainHash, f64)> = self
            .nodes
            .iter()
            .map(|(node, it)| {
                (*node, it.heat * decay(now.saturating_sub(it.heat_at), HEAT_HALF_LIFE))
            })
            .filter(|(_, heat)| *heat > 1.0)
            .collect();
        all.sort_by(|left, right| right.1.total_cmp(&left.1));
        all.truncate(count);
        all
    }

    /// Takes a peer's hottest nodes.
    pub fn merge_hottest(&mut self, now: Duration, hottest: &[(ChainHash, f64)]) {
        for (node, heat) in hottest {
            let record = self.nodes.entry(*node).or_default();
            if record.heat < *heat {
                record.heat = *heat;
                record.heat_at = now;
            }
        }
    }

    /// Nodes of the chain up to the deepest seen before; all of them if none was.
    fn deepest(&self, chain: &[ChainHash]) -> usize {
        let known = chain.iter().rposition(|it| self.nodes.contains_key(it));
        known.map_or(chain.len(), |it| it + 1)
    }

    fn candidates(
        &self,
        now: Duration,
        chain: &[ChainHash],
        replicas: &[ReplicaView],
        spread: u64,
    ) -> Vec<(usize, usize)> {
        let members: Vec<u64> = replicas.iter().map(|it| it.member).collect();
        let deepest = self.deepest(chain);
        let mut found = self.home_sets(now, &chain[..deepest], replicas);
        for node in &chain[..deepest] {
            for holder in self.nodes.get(node).map_or(&[][..], |it| &it.holders) {
                if let Some(index) = members.iter().position(|it| *it == holder.member) {
                    push_candidate(&mut found, index, 0);
                }
            }
        }
        // Two random escapes, the less loaded of which wins when all homes are busy.
        if !replicas.is_empty() {
            let count = replicas.len() as u64;
            push_candidate(&mut found, (spread % count) as usize, 0);
            push_candidate(&mut found, ((spread >> 32) % count) as usize, 0);
        }
        found
    }

    /// The homes of a chain, and how many of its nodes each is a home of. Each node's homes are
    /// taken from the homes of the node before it, so that nested prefixes lie together and a
    /// shared beginning is kept on no more replicas than its heat needs.
    fn home_sets(
        &self,
        now: Duration,
        chain: &[ChainHash],
        replicas: &[ReplicaView],
    ) -> Vec<(usize, usize)> {
        let mut set: Vec<usize> = (0..replicas.len()).collect();
        let mut found = Vec::new();
        for (depth, node) in chain.iter().enumerate() {
            let width = self.width(now, *node, replicas);
            if width >= set.len() {
                continue;
            }
            let members: Vec<u64> = set.iter().map(|it| replicas[*it].member).collect();
            let top = rendezvous::homes(node.0, &members, width);
            let next: Vec<usize> = top.into_iter().map(|it| set[it]).collect();
            if depth > 0 {
                found.extend(set.iter().filter(|it| !next.contains(it)).map(|it| (*it, depth)));
            }
            set = next;
        }
        if !chain.is_empty() && set.len() < replicas.len() {
            found.extend(set.into_iter().map(|it| (it, chain.len())));
        }
        found
    }

    fn width(&self, now: Duration, node: ChainHash, replicas: &[ReplicaView]) -> usize {
        let heat = self
            .nodes
            .get(&node)
            .map_or(0.0, |it| it.heat * decay(now.saturating_sub(it.heat_at), HEAT_HALF_LIFE));
        let rate = heat * std::f64::consts::LN_2 / HEAT_HALF_LIFE.as_secs_f64();
        let slots = replicas.first().map_or(1, |it| it.slots.max(1));
        let carried = HOME_FILL * f64::from(slots) / self.costs.slot_s;
        (rate * self.daemons / carried).ceil().max(1.0) as usize
    }

    fn warm(&mut self, now: Duration, chain: &[ChainHash]) {
        for node in chain {
            let record = self.nodes.entry(*node).or_default();
            record.heat =
                record.heat * decay(now.saturating_sub(record.heat_at), HEAT_HALF_LIFE) + 1.0;
            record.heat_at = now;
        }
        if self.nodes.len() > MAX_NODES {
            self.drop_coldest(now);
        }
    }

    fn drop_coldest(&mut self, now: Duration) {
        let limit = 4 * HEAT_HALF_LIFE;
        self.nodes.retain(|_, it| now.saturating_sub(it.heat_at) < limit);
        if self.nodes.len() > MAX_NODES {
            self.nodes.drain(..MAX_NODES / 2);
        }
    }

    fn expected_nodes(
        &self,
        now: Duration,
        chain: &[ChainHash],
        replica: &ReplicaView,
        home_nodes: usize,
    ) -> f64 {
        let mut expected: f64 = home_nodes as f64 * self.home_hit;
        for (depth, node) in chain.iter().enumerate() {
            if let Some(at) = self.belief(*node, replica) {
                let age_s = now.saturating_sub(at).as_secs_f64();
                expected = expected.max((depth + 1) as f64 * (-age_s / self.lifetime_s).exp());
            }
        }
        expected
    }

    fn belief(&self, node: ChainHash, replica: &ReplicaView) -> Option<Duration> {
        let record = self.nodes.get(&node)?;
        let same =
            |it: &&Belief| it.member == replica.member && it.incarnation == replica.incarnation;
        record.holders.iter().find(same).map(|it| it.at)
    }

    fn believe(&mut self, now: Duration, node: ChainHash, replica: &ReplicaView) {
        let Some(record) = self.nodes.get_mut(&node) else { return };
        let belief = Belief { member: replica.member, incarnation: replica.incarnation, at: now };
        record.holders.retain(|it| it.member != replica.member);
        if record.holders.len() == MAX_HOLDERS {
            record.holders.remove(0);
        }
        record.holders.push(belief);
    }

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

fn push_candidate(found: &mut Vec<(usize, usize)>, index: usize, home_nodes: usize) {
    match found.iter_mut().find(|it| it.0 == index) {
        Some(it) => it.1 = it.1.max(home_nodes),
        None => found.push((index, home_nodes)),
    }
}

fn decay(age: Duration, half_life: Duration) -> f64 {
    (-age.as_secs_f64() / half_life.as_secs_f64()).exp2()
}

//! Places on replicas: which one gets a request, and where shared parts of its prompt come from.

use std::net::SocketAddr;
use std::time::Duration;

use ids::{PoolId, TargetId};
use policy::engine_choice::{EngineView, PrefillSpeed, PromptSize};
use policy::fetch_source::{self, PartSource};
use policy::health::HealthState;
use policy::plain_choice::PlainView;
use policy::prefix_table::{PrefixHolder, PromptPrefix};

use crate::config::EngineRule;
use crate::fleet::FleetTable;
use crate::kv_store::KvStoreView;
use crate::peer_message::PrefixPlacement;
use crate::prompt_spec::PromptSpec;
use crate::replica::{LoadCount, Replica};

/// Added to the expected time of a replica that has just failed, in seconds.
const SUSPECT_S: f64 = 0.5;

/// Where a request goes.
#[derive(Debug, Clone)]
pub struct PlacedTarget {
    /// The replica.
    pub id: TargetId,
    /// Its start.
    pub incarnation: u64,
    /// The hash of its id.
    pub member: u64,
    /// Where it listens.
    pub address: SocketAddr,
    /// The version of its weights.
    pub weights: u64,
    /// Tokens of the prompt expected in its cache.
    pub cached_tokens: u64,
    /// A replica that may hold more of the prompt.
    pub fetch_from: Option<SocketAddr>,
    /// A KV store that does not hold the shared parts yet.
    pub save_to: Option<KvStoreCopy>,
    /// How long the beginning of its answer may take, as far as known.
    pub expected: Duration,
    /// What it adds to the replica's load.
    pub load: LoadCount,
    /// Requests of all daemons on it, as far as known, and what their prompts have pending.
    pub load_before: LoadCount,
}

/// A copy of a prompt for a KV store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KvStoreCopy {
    /// Where the store listens.
    pub address: SocketAddr,
    member: u64,
    life: u64,
}

/// Which replicas may get a request.
#[derive(Debug, Clone, Copy)]
pub struct PlacementQuery<'a> {
    /// The pool.
    pub pool: &'a PoolId,
    /// A release of the pool's software that gets nothing.
    pub excluded_release: Option<&'a str>,
    /// Replicas that the request was sent to before.
    pub avoid: &'a [TargetId],
    /// The oldest weights that it may begin on.
    pub min_weights: u64,
}

/// How engines are weighed for a prompt.
#[derive(Debug, Clone, Copy)]
pub struct PromptQuery<'a> {
    /// The prompt.
    pub prompt: &'a PromptSpec,
    /// What is known of the pool's engines.
    pub engine: &'a EngineRule,
    /// How fast they prefill.
    pub speed: PrefillSpeed,
    /// What an answer on older weights is taken to cost, in seconds.
    pub old_weights_s: f64,
    /// Daemons that place beside this one.
    pub peers: usize,
    /// How long it takes to hear what they place.
    pub news_delay: Duration,
}

impl FleetTable {
    /// Replicas of a pool that may get a request now.
    fn open<'a>(
        &'a self,
        now: Duration,
        query: PlacementQuery<'a>,
    ) -> impl Iterator<Item = &'a Replica> {
        self.replicas.values().filter(move |it| {
            it.entry.pool == *query.pool
                && query.excluded_release.is_none_or(|release| *it.entry.release != *release)
                && it.accepts_requests(now)
                && it.weights >= query.min_weights
                && !query.avoid.contains(&it.entry.id)
        })
    }

    /// Whether a pool has a replica of another release than this one.
    pub fn has_other_release(&self, pool: &PoolId, release: &str) -> bool {
        let mut pool = self.replicas.values().filter(|it| it.entry.pool == *pool && !it.leaving);
        pool.any(|it| *it.entry.release != *release)
    }

    /// Whether a pool has a replica that may get requests, now or soon.
    pub fn has_active_replica(&self, pool: &PoolId) -> bool {
        self.replicas.values().any(|it| it.entry.pool == *pool && !it.leaving)
    }

    /// Places a call to a plain service and counts it.
    pub fn place_plain(
        &mut self,
        now: Duration,
        query: PlacementQuery<'_>,
    ) -> Option<PlacedTarget> {
        let open: Vec<&Replica> = self.open(now, query).collect();
        let views: Vec<PlainView> = open
            .iter()
            .map(|it| PlainView {
                slots: it.entry.slots,
                running: self.load(now, it).running,
                same_domain: it.entry.domain == self.domain,
                penalty: f64::from(u8::from(it.health.state(now) != HealthState::Healthy)),
            })
            .collect();
        let index = policy::plain_choice::choose(&views, rand::random())?;
        let (id, load_before) = (open[index].entry.id.clone(), self.load(now, open[index]));
        let placed = self.occupy(&id, LoadCount { running: 1, ..LoadCount::default() })?;
        Some(PlacedTarget { load_before, ..placed })
    }

    /// Places a prompt and counts it.
    pub fn place_prompt(
        &mut self,
        now: Duration,
        query: PlacementQuery<'_>,
        prompt_query: PromptQuery<'_>,
    ) -> Option<PlacedTarget> {
        let PromptQuery { prompt, engine, speed, old_weights_s, peers, news_delay } = prompt_query;
        let open: Vec<&Replica> = self.open(now, query).collect();
        let newest = open.iter().map(|it| it.weights).max()?;
        let order = self.pool_order(query.pool);
        let views: Vec<EngineView> = open
            .iter()
            .map(|it| {
                let load = self.load(now, it);
                let salted = prompt.salted(it.weights);
                let view_changed =
                    self.prefixes.cached_tokens(now, &salted, it.member, it.entry.incarnation);
                let mut penalty_s = 0.0;
                if it.health.state(now) != HealthState::Healthy {
                    penalty_s += SUSPECT_S;
                }
                if it.weights < newest {
                    penalty_s += old_weights_s;
                }
                EngineView {
                    batch_size: engine.batch,
                    running: load.running,
                    pending_tokens: load.pending_tokens,
                    kv_tokens: load.kv_tokens,
                    kv_capacity: engine.kv_tokens,
                    position: lane(&order, it.member),
                    member: it.member,
                    cached_tokens: view_changed,
                    same_domain: it.entry.domain == self.domain,
                    penalty_s,
                }
            })
            .collect();
        let size = PromptSize {
            tokens: prompt.prompt_tokens,
            shared_tokens: prompt.shared_tokens(),
            key: prompt.home_key().unwrap_or_else(rand::random),
            token_gap_s: prompt.token_gap_s,
        };
        let unseen = self.demand.estimate_unseen(now, peers, news_delay);
        let (index, first_token_s) = policy::engine_choice::choose(&views, size, speed, unseen)?;
        let chosen = open[index];
        let (id, weights) = (chosen.entry.id.clone(), chosen.weights);
        let salted = prompt.salted(weights);
        let cached =
            self.prefixes.cached_tokens(now, &salted, chosen.member, chosen.entry.incarnation);
        let fetch_from = self.fetch_source(now, chosen, &salted[..prompt.shared]);
        let save_to = self.copy_wanted(now, &salted[..prompt.shared]);
        let load = LoadCount {
            running: 1,
            pending_tokens: prompt.prompt_tokens.saturating_sub(cached),
            kv_tokens: prompt.prompt_tokens + prompt.output_tokens,
            ..LoadCount::default()
        };
        let load_before = self.load(now, chosen);
        self.demand.record(now, size.is_long(speed), load.pending_tokens);
        let placed = self.occupy(&id, load)?;
        let expected = Duration::from_secs_f64(first_token_s);
        let placed = PlacedTarget {
            cached_tokens: cached,
            fetch_from,
            save_to,
            expected,
            load_before,
            ..placed
        };
        self.note_prefixes(now, &placed, &salted[..prompt.shared]);
        Some(placed)
    }

    /// The KV store, if it lives and does not hold all shared parts.
    fn copy_wanted(&self, now: Duration, shared: &[PromptPrefix]) -> Option<KvStoreCopy> {
        let store = self.kv_store?;
        let life = store.live_epoch(now)?;
        let tokens = shared.last()?.tokens;
        let held = self.prefixes.cached_tokens(now, shared, store.member(), life);
        let copy = KvStoreCopy { address: store.address, member: store.member(), life };
        (held < tokens).then_some(copy)
    }

    /// A prompt is prefilled and goes to the store.
    pub fn note_copy(&mut self, now: Duration, copy: KvStoreCopy, shared: &[PromptPrefix]) {
        self.note_holder(now, copy.member, copy.life, shared);
    }

    /// How the KV store was seen, here or by a peer.
    pub(crate) fn record_kv_store(&mut self, seen: KvStoreView) {
        if self
            .kv_store
            .is_none_or(|it| it.probed_at < seen.probed_at || it.address != seen.address)
        {
            self.kv_store = Some(seen);
        }
    }

    /// A replica will hold these beginnings as soon as it has prefilled the prompt placed on it.
    fn note_prefixes(&mut self, now: Duration, placed: &PlacedTarget, shared: &[PromptPrefix]) {
        self.note_holder(now, placed.member, placed.incarnation, shared);
    }

    fn note_holder(
        &mut self,
        now: Duration,
        member: u64,
        incarnation: u64,
        shared: &[PromptPrefix],
    ) {
        let digests: Vec<u64> = shared.iter().map(|it| it.digest).collect();
        self.prefixes.record_use(now, &digests, member, incarnation);
        let news =
            digests.iter().map(|prefix| PrefixPlacement { prefix: *prefix, member, incarnation });
        self.prefix_placements.extend(news);
    }

    /// Beginnings placed since this was last asked, for peers.
    pub fn take_prefix_placements(&mut self) -> Vec<PrefixPlacement> {
        std::mem::take(&mut self.prefix_placements)
    }

    /// Beginnings that a peer placed.
    pub fn record_prefixes(&mut self, now: Duration, news: &[PrefixPlacement]) {
        for it in news {
            self.prefixes.record_use(now, &[it.prefix], it.member, it.incarnation);
        }
    }

    /// Where most of the shared parts may be fetched from. The chosen replica may have evicted what
    /// it is believed to hold, and fetches nothing if it has not.
    fn fetch_source(
        &self,
        now: Duration,
        chosen: &Replica,
        shared: &[PromptPrefix],
    ) -> Option<SocketAddr> {
        shared.iter().rev().find_map(|prefix| {
            let holders = self.prefixes.holders(now, prefix.digest);
            let sources: Vec<PartSource<SocketAddr>> =
                holders.filter_map(|it| self.part_source(now, chosen, it)).collect();
            fetch_source::choose(now, &sources)
        })
    }

    /// A holder as a source for the chosen replica: the store, or another replica that serves and
    /// has the same weights.
    fn part_source(
        &self,
        now: Duration,
        chosen: &Replica,
        holder: PrefixHolder,
    ) -> Option<PartSource<SocketAddr>> {
        let PrefixHolder { member, incarnation, used_at } = holder;
        let store = self
            .kv_store
            .filter(|it| (it.member(), it.live_epoch(now)) == (member, Some(incarnation)));
        if let Some(store) = store {
            return Some(PartSource { source: store.address, used_at, is_store: true });
        }
        let same = |it: &&Replica| it.member == member && it.entry.incarnation == incarnation;
        let replica = self.replicas.values().find(same)?;
        let usable = member != chosen.member
            && replica.weights == chosen.weights
            && replica.accepts_requests(now)
            && replica.health.state(now) == HealthState::Healthy;
        usable.then_some(PartSource { source: replica.entry.address, used_at, is_store: false })
    }

    /// The replicas of a pool in an order that all daemons share.
    fn pool_order(&self, pool: &PoolId) -> Vec<u64> {
        let pool = self.replicas.values().filter(|it| it.entry.pool == *pool);
        let mut order: Vec<u64> = pool.map(|it| it.member).collect();
        order.sort_unstable();
        order
    }

    fn occupy(&mut self, id: &TargetId, load: LoadCount) -> Option<PlacedTarget> {
        let replica = self.replicas.get_mut(id)?;
        replica.local_load.add(&load);
        Some(PlacedTarget {
            id: id.clone(),
            incarnation: replica.entry.incarnation,
            member: replica.member,
            address: replica.entry.address,
            weights: replica.weights,
            cached_tokens: 0,
            fetch_from: None,
            save_to: None,
            expected: Duration::ZERO,
            load,
            load_before: LoadCount::default(),
        })
    }
}

/// A replica's place in its pool's order, from 0 to 1.
fn lane(order: &[u64], member: u64) -> f64 {
    let before = order.partition_point(|it| *it < member);
    before as f64 / order.len().max(1) as f64
}

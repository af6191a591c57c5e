//! The replicas as this daemon sees them: listed, loaded, suspected, on which weights.

use std::net::SocketAddr;
use std::time::Duration;

use ids::{FailureDomain, PoolId, TargetId};
use indexmap::IndexMap;
use policy::engine_choice::{EngineView, PromptSize};
use policy::health::{HealthState, ReplicaHealth};
use policy::plain_choice::PlainView;
use policy::prefix_table::{PrefixTable, PromptPrefix};
use policy::rendezvous;

use crate::config::{EngineRule, TargetEntry};
use crate::digest::{PrefixNews, TargetLoad, WeightNews};
use crate::kept::KeptCache;

/// A replica that answered "full" is left out for this long.
const FULL_PAUSE: Duration = Duration::from_millis(150);
/// How long news of an order keeps requests away from a replica that has not confirmed it.
const ORDER_TIME: Duration = Duration::from_secs(3);
/// How long a peer's report of its load counts.
const LOAD_AGE: Duration = Duration::from_secs(2);
/// Added to the expected time of a replica that has just failed, in seconds.
const SUSPECT_S: f64 = 0.5;

/// Requests on a replica.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LoadCount {
    /// How many.
    pub running: u32,
    /// Their prompt tokens that are still to be read.
    pub unread_tokens: u64,
    /// Their memory in tokens.
    pub memory_tokens: u64,
}

impl LoadCount {
    fn add(&mut self, other: &LoadCount) {
        self.running += other.running;
        self.unread_tokens += other.unread_tokens;
        self.memory_tokens += other.memory_tokens;
    }
}

/// One replica.
#[derive(Debug)]
pub struct Replica {
    /// As listed.
    pub entry: TargetEntry,
    /// The hash of its id.
    pub member: u64,
    /// This daemon's requests on it.
    pub own: LoadCount,
    /// It is leaving: listed so, or it said so itself.
    pub leaving: bool,
    /// How it has answered.
    pub health: ReplicaHealth,
    full_until: Duration,
    /// The version of its weights, by what is newest.
    pub weights: u64,
    /// The version it was last ordered to load, and when this daemon heard so.
    pub ordered: Option<(u64, Duration)>,
    /// Orders that it is known to have accepted.
    pub accepted: u64,
    /// When this daemon last heard of an order to it.
    pub last_order_at: Option<Duration>,
}

/// Where a request goes.
#[derive(Debug, Clone)]
pub struct PlacedTarget {
    /// The replica.
    pub id: TargetId,
    /// Its start.
    pub born: u64,
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
    /// A store of kept cache that does not hold the shared parts yet.
    pub save_to: Option<KeptCopy>,
    /// How long the beginning of its answer may take, as far as known.
    pub expected: Duration,
    /// What it adds to the replica's load.
    pub load: LoadCount,
    /// Requests of this daemon that were on it already.
    pub running_before: u32,
}

/// A copy of a prompt for a store of kept cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeptCopy {
    /// Where the store listens.
    pub address: SocketAddr,
    member: u64,
    life: u64,
}

/// Replicas by id, loads of peers, and beliefs about caches.
#[derive(Debug)]
pub struct FleetTable {
    domain: FailureDomain,
    replicas: IndexMap<TargetId, Replica>,
    peer_loads: IndexMap<u64, (Duration, IndexMap<u64, LoadCount>)>,
    /// Versions of weights that peers told of replicas not listed here yet.
    told_weights: IndexMap<(u64, u64), WeightNews>,
    /// Which replicas hold which beginnings of prompts.
    pub prefixes: PrefixTable,
    /// The store of kept cache, if one was looked at.
    pub(crate) kept: Option<KeptCache>,
    /// Beginnings placed since peers were last told.
    prefix_news: Vec<PrefixNews>,
}

/// Which replicas may get a request.
#[derive(Debug, Clone, Copy)]
pub struct PlaceQuery<'a> {
    /// The pool.
    pub pool: &'a PoolId,
    /// A release of the pool's software that gets nothing.
    pub barred_release: Option<&'a str>,
    /// Replicas that the request was sent to before.
    pub avoid: &'a [TargetId],
}

/// How engines are weighed for a prompt.
#[derive(Debug, Clone, Copy)]
pub struct PromptTerms<'a> {
    /// The prompt.
    pub need: &'a PromptNeed,
    /// What is known of the pool's engines.
    pub engine: &'a EngineRule,
    /// How fast they read.
    pub pace: policy::engine_choice::EnginePace,
    /// What an answer on older weights is taken to cost, in seconds.
    pub old_weights_s: f64,
}

/// A request for an engine, as placement sees it.
#[derive(Debug, Clone)]
pub struct PromptNeed {
    /// The model.
    pub model: Box<str>,
    /// Its parts without the salt, as digests with running token counts.
    pub parts: Vec<PromptPrefix>,
    /// Shared parts: all but the last.
    pub shared: usize,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Most output tokens.
    pub output_tokens: u64,
    /// The shortest pause that streams of the pool are allowed, in seconds.
    pub pause_s: Option<f64>,
    /// The customer whose cache is kept apart, if it is.
    pub wall: Option<Box<str>>,
}

impl FleetTable {
    /// An empty table of a daemon in `domain`.
    pub fn new(domain: FailureDomain) -> FleetTable {
        FleetTable {
            domain,
            replicas: IndexMap::new(),
            peer_loads: IndexMap::new(),
            told_weights: IndexMap::new(),
            prefixes: PrefixTable::default(),
            kept: None,
            prefix_news: Vec::new(),
        }
    }

    /// Takes over a listing.
    pub fn relist(&mut self, entries: &[TargetEntry]) {
        self.replicas.retain(|id, _| entries.iter().any(|it| it.id == *id));
        for entry in entries {
            match self.replicas.get_mut(&entry.id) {
                Some(known) if known.entry.born == entry.born => {
                    known.leaving |= entry.leaving;
                    known.weights = known.weights.max(newest_weights(entry));
                    known.entry = entry.clone();
                }
                Some(known) => *known = Replica::new(entry.clone()),
                None => {
                    let mut replica = Replica::new(entry.clone());
                    let told = self.told_weights.get(&(replica.member, entry.born));
                    replica.weights = replica.weights.max(told.map_or(0, |it| it.loaded));
                    replica.accepted = told.map_or(0, |it| it.accepted);
                    self.replicas.insert(entry.id.clone(), replica);
                }
            }
        }
    }

    /// All replicas.
    pub fn replicas(&self) -> impl Iterator<Item = &Replica> {
        self.replicas.values()
    }

    /// One replica.
    pub fn get(&self, id: &TargetId) -> Option<&Replica> {
        self.replicas.get(id)
    }

    /// A peer's loads as of `said_at`.
    pub fn hear_loads(&mut self, said_at: Duration, peer: u64, loads: &[TargetLoad]) {
        if self.peer_loads.get(&peer).is_some_and(|it| it.0 > said_at) {
            return;
        }
        let loads = loads.iter().map(|it| (it.member, it.load())).collect();
        self.peer_loads.insert(peer, (said_at, loads));
    }

    /// Forgets loads that were said long ago.
    pub fn sweep_loads(&mut self, now: Duration) {
        self.peer_loads.retain(|_, it| now < it.0 + LOAD_AGE);
    }

    /// The requests of all daemons but one, for that one.
    pub fn loads_without(&self, now: Duration, peer: u64) -> Vec<TargetLoad> {
        let mut sums: IndexMap<u64, LoadCount> = IndexMap::new();
        let mut add = |member: u64, load: &LoadCount| sums.entry(member).or_default().add(load);
        for replica in self.replicas.values().filter(|it| it.own.running > 0) {
            add(replica.member, &replica.own);
        }
        let others = self.peer_loads.iter().filter(|it| *it.0 != peer);
        for (_, (_, loads)) in others.filter(|it| now < it.1.0 + LOAD_AGE) {
            loads.iter().for_each(|(member, load)| add(*member, load));
        }
        sums.iter().map(|(member, load)| TargetLoad::new(*member, *load)).collect()
    }

    /// A peer's loads as last heard, to pass them on.
    pub fn peer_loads(&self, peer: u64) -> Vec<TargetLoad> {
        let loads = self.peer_loads.get(&peer);
        let loads = loads.into_iter().flat_map(|it| &it.1);
        loads.map(|(member, load)| TargetLoad::new(*member, *load)).collect()
    }

    /// This daemon's loads, for peers.
    pub fn own_loads(&self) -> Vec<TargetLoad> {
        let busy = self.replicas.values().filter(|it| it.own.running > 0);
        busy.map(|it| TargetLoad::new(it.member, it.own)).collect()
    }

    /// Replicas that peers know to be leaving.
    pub fn hear_leaving(&mut self, members: &[u64]) {
        for replica in self.replicas.values_mut() {
            replica.leaving |= members.contains(&replica.member);
        }
    }

    /// Replicas known to be leaving, for peers.
    pub fn leaving_members(&self) -> Vec<u64> {
        self.replicas.values().filter(|it| it.leaving).map(|it| it.member).collect()
    }

    /// What a peer, or this daemon itself, learned of weights. Returns true if it is news.
    pub fn hear_weights(&mut self, now: Duration, news: WeightNews) -> bool {
        let told = self.told_weights.entry((news.member, news.born)).or_insert(WeightNews {
            loaded: 0,
            ordered: 0,
            accepted: 0,
            ..news
        });
        let fresh = told.loaded < news.loaded
            || told.ordered < news.ordered
            || told.accepted < news.accepted;
        told.loaded = told.loaded.max(news.loaded);
        told.ordered = told.ordered.max(news.ordered);
        told.accepted = told.accepted.max(news.accepted);
        let same = |it: &&mut Replica| it.member == news.member && it.entry.born == news.born;
        let Some(replica) = self.replicas.values_mut().find(same) else { return fresh };
        replica.weights = replica.weights.max(news.loaded);
        if news.accepted > replica.accepted {
            replica.last_order_at = Some(now);
        }
        replica.accepted = replica.accepted.max(news.accepted);
        if replica.ordered.is_none_or(|it| it.0 < news.ordered) && news.ordered > replica.weights {
            replica.ordered = Some((news.ordered, now));
        }
        fresh
    }

    /// All that is known of weights, for peers.
    pub fn weight_news(&self) -> Vec<WeightNews> {
        let replicas = self.replicas.values().filter(|it| it.weights > 0);
        replicas.map(Replica::weight_news).collect()
    }

    /// Requests on a replica, of all daemons.
    pub fn load(&self, now: Duration, replica: &Replica) -> LoadCount {
        let mut sum = replica.own;
        for (at, loads) in self.peer_loads.values() {
            let load = loads.get(&replica.member).filter(|_| now < *at + LOAD_AGE);
            if let Some(load) = load {
                sum.add(load);
            }
        }
        sum
    }

    /// Replicas of a pool that may get a request now.
    fn open<'a>(
        &'a self,
        now: Duration,
        query: PlaceQuery<'a>,
    ) -> impl Iterator<Item = &'a Replica> {
        self.replicas.values().filter(move |it| {
            it.entry.pool == *query.pool
                && query.barred_release.is_none_or(|release| *it.entry.release != *release)
                && it.may_work(now)
                && !query.avoid.contains(&it.entry.id)
        })
    }

    /// Whether a pool has a replica of another release than this one.
    pub fn has_other_release(&self, pool: &PoolId, release: &str) -> bool {
        let mut pool = self.replicas.values().filter(|it| it.entry.pool == *pool && !it.leaving);
        pool.any(|it| *it.entry.release != *release)
    }

    /// Whether a pool has a replica that may get requests, now or soon.
    pub fn any_alive(&self, pool: &PoolId) -> bool {
        self.replicas.values().any(|it| it.entry.pool == *pool && !it.leaving)
    }

    /// Places a call to a plain service and counts it.
    pub fn place_plain(&mut self, now: Duration, query: PlaceQuery<'_>) -> Option<PlacedTarget> {
        let open: Vec<&Replica> = self.open(now, query).collect();
        let views: Vec<PlainView> = open
            .iter()
            .map(|it| PlainView {
                slots: it.entry.slots,
                running: self.load(now, it).running,
                near: it.entry.domain == self.domain,
                penalty: f64::from(u8::from(it.health.state(now) != HealthState::Good)),
            })
            .collect();
        let index = policy::plain_choice::choose(&views, rand::random())?;
        let id = open[index].entry.id.clone();
        self.occupy(&id, LoadCount { running: 1, ..LoadCount::default() })
    }

    /// Places a prompt and counts it.
    pub fn place_prompt(
        &mut self,
        now: Duration,
        query: PlaceQuery<'_>,
        terms: PromptTerms<'_>,
    ) -> Option<PlacedTarget> {
        let PromptTerms { need, engine, pace, old_weights_s } = terms;
        let open: Vec<&Replica> = self.open(now, query).collect();
        let newest = open.iter().map(|it| it.weights).max()?;
        let homes = self.homes(query.pool, need);
        let views: Vec<EngineView> = open
            .iter()
            .map(|it| {
                let load = self.load(now, it);
                let salted = need.salted(it.weights);
                let believed = self.prefixes.cached_tokens(now, &salted, it.member, it.entry.born);
                let home = homes.first() == Some(&it.member);
                let shared = need.shared_tokens();
                let mut penalty_s = 0.0;
                if it.health.state(now) != HealthState::Good {
                    penalty_s += SUSPECT_S;
                }
                if it.weights < newest {
                    penalty_s += old_weights_s;
                }
                EngineView {
                    batch: engine.batch,
                    running: load.running,
                    unread_tokens: load.unread_tokens,
                    memory_tokens: load.memory_tokens,
                    memory_limit: engine.kv_tokens,
                    lane: self.lane(it),
                    // A home is where other daemons will have placed the same beginning.
                    cached_tokens: if home { believed.max(shared / 2) } else { believed },
                    near: it.entry.domain == self.domain,
                    penalty_s,
                }
            })
            .collect();
        let size = PromptSize { tokens: need.prompt_tokens, pause_s: need.pause_s };
        let (index, cost_s) = policy::engine_choice::choose(&views, size, pace)?;
        let chosen = open[index];
        let (id, weights) = (chosen.entry.id.clone(), chosen.weights);
        let salted = need.salted(weights);
        let cached = self.prefixes.cached_tokens(now, &salted, chosen.member, chosen.entry.born);
        let fetch_from = self.fetch_source(now, chosen, &salted[..need.shared]);
        let save_to = self.copy_wanted(now, &salted[..need.shared]);
        let load = LoadCount {
            running: 1,
            unread_tokens: need.prompt_tokens.saturating_sub(views[index].cached_tokens),
            memory_tokens: need.prompt_tokens + need.output_tokens,
        };
        let placed = self.occupy(&id, load)?;
        let expected = Duration::from_secs_f64(cost_s);
        let placed =
            PlacedTarget { cached_tokens: cached, fetch_from, save_to, expected, ..placed };
        self.note_prefixes(now, &placed, &salted[..need.shared]);
        Some(placed)
    }

    /// The store of kept cache, if it lives and does not hold all shared parts.
    fn copy_wanted(&self, now: Duration, shared: &[PromptPrefix]) -> Option<KeptCopy> {
        let kept = self.kept?;
        let life = kept.life(now)?;
        let tokens = shared.last()?.tokens;
        let held = self.prefixes.cached_tokens(now, shared, kept.member(), life);
        let copy = KeptCopy { address: kept.address, member: kept.member(), life };
        (held < tokens).then_some(copy)
    }

    /// A prompt was read and goes to the store.
    pub fn note_copy(&mut self, now: Duration, copy: KeptCopy, shared: &[PromptPrefix]) {
        self.note_holder(now, copy.member, copy.life, shared);
    }

    /// How the store of kept cache was seen, here or by a peer.
    pub(crate) fn hear_kept(&mut self, seen: KeptCache) {
        if self.kept.is_none_or(|it| it.seen_at < seen.seen_at || it.address != seen.address) {
            self.kept = Some(seen);
        }
    }

    /// A replica will hold these beginnings as soon as it has read the prompt placed on it.
    fn note_prefixes(&mut self, now: Duration, placed: &PlacedTarget, shared: &[PromptPrefix]) {
        self.note_holder(now, placed.member, placed.born, shared);
    }

    fn note_holder(&mut self, now: Duration, member: u64, born: u64, shared: &[PromptPrefix]) {
        let digests: Vec<u64> = shared.iter().map(|it| it.digest).collect();
        self.prefixes.learn(now, &digests, member, born);
        let news = digests.iter().map(|prefix| PrefixNews { prefix: *prefix, member, born });
        self.prefix_news.extend(news);
    }

    /// Beginnings placed since this was last asked, for peers.
    pub fn take_prefix_news(&mut self) -> Vec<PrefixNews> {
        std::mem::take(&mut self.prefix_news)
    }

    /// Beginnings that a peer placed.
    pub fn hear_prefixes(&mut self, now: Duration, news: &[PrefixNews]) {
        for it in news {
            self.prefixes.learn(now, &[it.prefix], it.member, it.born);
        }
    }

    /// Where the shared parts may be fetched from: the store, or the replica on the same weights
    /// that used them last. The chosen replica may have evicted what it is believed to hold, and
    /// fetches nothing if it has not.
    fn fetch_source(
        &self,
        now: Duration,
        chosen: &Replica,
        shared: &[PromptPrefix],
    ) -> Option<SocketAddr> {
        let usable = |member: u64, born: u64| {
            let same = |it: &&Replica| it.member == member && it.entry.born == born;
            let replica = self.replicas.values().find(same)?;
            let usable = replica.weights == chosen.weights
                && replica.may_work(now)
                && replica.health.state(now) == HealthState::Good;
            usable.then_some(replica.entry.address)
        };
        let kept = self.kept.and_then(|it| Some((it.member(), it.life(now)?, it.address)));
        shared.iter().rev().find_map(|prefix| {
            let holders = self.prefixes.holders(now, prefix.digest);
            let store = kept.filter(|it| holders.contains(&(it.0, it.1))).map(|it| it.2);
            let mut others = holders.into_iter().filter(|it| it.0 != chosen.member);
            store.or_else(|| others.find_map(|(member, born)| usable(member, born)))
        })
    }

    /// A replica's place in an order that all daemons share, from 0 to 1.
    fn lane(&self, replica: &Replica) -> f64 {
        let others = self.replicas.values().filter(|it| it.entry.pool == replica.entry.pool);
        let (before, all) = others.fold((0_u32, 0_u32), |(before, all), it| {
            (before + u32::from(it.member < replica.member), all + 1)
        });
        f64::from(before) / f64::from(all.max(1))
    }

    /// The first replicas by rendezvous for the shared beginning of a prompt.
    fn homes(&self, pool: &PoolId, need: &PromptNeed) -> Vec<u64> {
        let Some(key) = need.home_key() else { return Vec::new() };
        let members: Vec<u64> = self
            .replicas
            .values()
            .filter(|it| it.entry.pool == *pool && !it.leaving)
            .map(|it| it.member)
            .collect();
        rendezvous::homes(key, &members, 2).into_iter().map(|it| members[it]).collect()
    }

    fn occupy(&mut self, id: &TargetId, load: LoadCount) -> Option<PlacedTarget> {
        let replica = self.replicas.get_mut(id)?;
        let running_before = replica.own.running;
        replica.own.add(&load);
        Some(PlacedTarget {
            id: id.clone(),
            born: replica.entry.born,
            member: replica.member,
            address: replica.entry.address,
            weights: replica.weights,
            cached_tokens: 0,
            fetch_from: None,
            save_to: None,
            expected: Duration::ZERO,
            load,
            running_before,
        })
    }

    /// The prompt of a request was read: its first token came.
    pub fn prompt_read(&mut self, placed: &PlacedTarget) {
        if let Some(it) = self.same_life(placed) {
            it.own.unread_tokens = it.own.unread_tokens.saturating_sub(placed.load.unread_tokens);
        }
    }

    /// A request has left a replica.
    pub fn release(&mut self, placed: &PlacedTarget, prompt_read: bool) {
        if !prompt_read {
            self.prompt_read(placed);
        }
        if let Some(it) = self.same_life(placed) {
            it.own.running = it.own.running.saturating_sub(placed.load.running);
            it.own.memory_tokens = it.own.memory_tokens.saturating_sub(placed.load.memory_tokens);
        }
    }

    /// A replica said that it is full.
    pub fn mark_full(&mut self, now: Duration, placed: &PlacedTarget) {
        if let Some(it) = self.same_life(placed) {
            it.full_until = now + FULL_PAUSE;
        }
    }

    /// A replica said that it is leaving.
    pub fn mark_leaving(&mut self, placed: &PlacedTarget) {
        if let Some(it) = self.same_life(placed) {
            it.leaving = true;
        }
    }

    /// A replica said which version its weights have.
    pub fn see_weights(&mut self, placed: &PlacedTarget, version: u64) {
        if let Some(it) = self.same_life(placed) {
            it.weights = version;
        }
    }

    /// A request on a replica failed. `hard`: it surely does not listen.
    pub fn fail(&mut self, now: Duration, placed: &PlacedTarget, hard: bool) {
        if let Some(it) = self.same_life(placed) {
            it.health.fail(now, hard);
        }
    }

    /// A replica answered well.
    pub fn succeed(&mut self, placed: &PlacedTarget) {
        if let Some(it) = self.same_life(placed) {
            it.health.succeed(None);
        }
    }

    fn same_life(&mut self, placed: &PlacedTarget) -> Option<&mut Replica> {
        self.replicas.get_mut(&placed.id).filter(|it| it.entry.born == placed.born)
    }
}

impl Replica {
    fn new(entry: TargetEntry) -> Replica {
        Replica {
            member: rendezvous::member_hash(entry.id.as_str()),
            own: LoadCount::default(),
            leaving: entry.leaving,
            health: ReplicaHealth::default(),
            full_until: Duration::ZERO,
            weights: newest_weights(&entry),
            ordered: None,
            accepted: 0,
            last_order_at: None,
            entry,
        }
    }

    /// What is known of its weights, for peers.
    pub fn weight_news(&self) -> WeightNews {
        WeightNews {
            member: self.member,
            born: self.entry.born,
            loaded: self.weights,
            ordered: self.ordered.map_or(0, |it| it.0),
            accepted: self.accepted,
        }
    }

    /// Whether it may get a request now.
    pub fn may_work(&self, now: Duration) -> bool {
        !self.leaving
            && now >= self.full_until
            && self.health.state(now) != HealthState::Paused
            && !self.is_loading(now)
    }

    /// Whether it was ordered to load weights that it does not have yet.
    pub fn is_loading(&self, now: Duration) -> bool {
        self.ordered.is_some_and(|it| it.0 > self.weights && now < it.1 + ORDER_TIME)
    }
}

impl PromptNeed {
    /// Tokens of the shared parts.
    pub fn shared_tokens(&self) -> u64 {
        self.shared.checked_sub(1).map_or(0, |it| self.parts[it].tokens)
    }

    /// The salt under which the parts lie on a replica with this version of the weights.
    pub fn salt(&self, version: u64) -> Box<str> {
        match &self.wall {
            Some(customer) => format!("{version}/{customer}").into(),
            None => format!("{version}").into(),
        }
    }

    /// The beginnings of the prompt as they lie under a version's salt.
    pub fn salted(&self, version: u64) -> Vec<PromptPrefix> {
        let mut seed = rendezvous::weight(version, self.home_seed());
        if let Some(customer) = &self.wall {
            seed ^= rendezvous::member_hash(customer);
        }
        let salt = |it: &PromptPrefix| PromptPrefix {
            digest: rendezvous::weight(it.digest, seed),
            tokens: it.tokens,
        };
        self.parts.iter().map(salt).collect()
    }

    fn home_seed(&self) -> u64 {
        rendezvous::member_hash(&self.model)
    }

    fn home_key(&self) -> Option<u64> {
        self.shared.checked_sub(1).map(|it| self.parts[it].digest)
    }
}

fn newest_weights(entry: &TargetEntry) -> u64 {
    entry.weights.values().copied().max().unwrap_or(0)
}

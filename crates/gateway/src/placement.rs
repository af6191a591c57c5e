//! Placement: which replica gets a request, and from where it fetches cached prefixes.

use std::net::SocketAddr;
use std::time::Duration;

use ids::{FailureDomain, PoolId, RequestRate, TargetId};
use policy::admission::ReplicaUse;
use policy::cold_pace::ColdRule;
use policy::engine_choice::{self, EngineView, PrefillSpeed, PromptSize, UnseenLoads};
use policy::engine_room::{EngineRooms, RoomRequest};
use policy::fetch_source::{self, PartSource, SourceKind};
use policy::health::HealthState;
use policy::home_areas::HomeAreas;
use policy::plain_choice::PlainView;
use policy::prefix_table::{PrefixHolder, PromptPrefix};
use policy::release_history::ReleaseHistory;
use policy::unanswered::ReplicaProcess;

use crate::config::EngineRule;
use crate::fleet::FleetTable;
use crate::kv_store::KvStoreView;
use crate::peer_message::PrefixPlacement;
use crate::prompt_spec::PromptSpec;
use crate::replica::{LoadCount, Replica};

/// Added to the expected time of a replica that is not healthy, in seconds.
const FAILURE_PENALTY_S: f64 = 0.5;

/// Why a request got no replica.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PlacementMiss {
    /// No replica may get it.
    NoReplica,
    /// The engines have room for this fraction of the attempts only.
    NoRoom(f64),
}

/// The replica chosen for a request.
#[derive(Debug, Clone)]
pub struct PlacedTarget {
    /// The replica.
    pub id: TargetId,
    /// The start of its process in Unix milliseconds.
    pub incarnation: u64,
    /// The hash of its id.
    pub member: u64,
    /// Where it listens.
    pub address: SocketAddr,
    /// The failure domain that it runs in.
    pub domain: FailureDomain,
    /// The version of the weights of the request's model; 0 if it is for none.
    pub weights: u64,
    /// Tokens of the prompt estimated to be in its cache.
    pub cached_tokens: u64,
    /// A replica or KV store to fetch cached prefixes from.
    pub fetch_from: Option<SocketAddr>,
    /// The KV store, if it does not hold all shared prefixes yet.
    pub save_to: Option<KvStoreCopy>,
    /// Estimated time to the first token; zero for plain services.
    pub expected: Duration,
    /// Time to the first token if the replica were idle; zero for plain services.
    pub idle_time: Duration,
    /// When the replica was chosen.
    pub placed_at: Duration,
    /// The requests that the replica takes from all daemons together, if it limits them.
    pub request_limit: Option<RequestRate>,
    /// Set if the replica is cold, so that the request needs a token.
    pub cold_rule: Option<ColdRule>,
    /// When the request's token was taken, if it needs one.
    pub token_at: Option<Duration>,
    /// What the request adds to the replica's load.
    pub load: LoadCount,
    /// The replica's load from all daemons before this request, as far as known.
    pub load_before: LoadCount,
}

impl PlacedTarget {
    /// The replica's process.
    pub(crate) fn process(&self) -> ReplicaProcess {
        let PlacedTarget { member, incarnation, address, .. } = *self;
        ReplicaProcess { member, incarnation, address }
    }
}

/// A KV store that a prompt is to be copied to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KvStoreCopy {
    /// Where the store listens.
    pub address: SocketAddr,
    member: u64,
    /// The boot epoch of the store, so that copies before a restart do not count.
    epoch: u64,
}

/// The software releases whose replicas may get a request.
#[derive(Debug, Clone, Copy)]
pub enum ReleaseFilter<'a> {
    /// All of them.
    Any,
    /// Those that did not fail their last rollout, but not this one.
    Accepted(&'a ReleaseHistory, Option<&'a str>),
    /// Only this one, and of its replicas those with these hashes of their ids.
    Only(&'a str, &'a [u64]),
}

impl ReleaseFilter<'_> {
    pub(crate) fn allows(&self, replica: &Replica) -> bool {
        let release = &*replica.entry.release;
        match self {
            ReleaseFilter::Any => true,
            ReleaseFilter::Accepted(history, except) => {
                *except != Some(release) && !history.is_rejected(release)
            }
            ReleaseFilter::Only(only, members) => {
                release == *only && members.contains(&replica.member)
            }
        }
    }
}

/// Restricts the replicas that may get a request.
#[derive(Debug, Clone, Copy)]
pub struct PlacementQuery<'a> {
    /// The pool that the replica must belong to.
    pub pool: &'a PoolId,
    /// The software releases whose replicas may get the request.
    pub releases: ReleaseFilter<'a>,
    /// Replicas that the request was already sent to without success.
    pub excluded_targets: &'a [TargetId],
    /// The model that the request is for.
    pub model: Option<&'a str>,
    /// The lowest version of the model's weights that the request may start on.
    pub min_weights: u64,
    /// The failure domains that the request may use.
    pub areas: &'a HomeAreas,
    /// The KV store, if it is known to be in these areas; all stores may be used everywhere.
    pub home_store: Option<SocketAddr>,
}

impl PlacementQuery<'_> {
    /// The version of the model's weights on a replica.
    fn weights_on(&self, replica: &Replica) -> u64 {
        self.model.map_or(0, |it| replica.weights.loaded(it))
    }

    fn allows_store(&self, address: SocketAddr) -> bool {
        *self.areas == HomeAreas::Everywhere || self.home_store == Some(address)
    }
}

/// What the choice between engines depends on for a prompt.
#[derive(Debug, Clone, Copy)]
pub struct PromptQuery<'a> {
    /// The prompt to place.
    pub prompt: &'a PromptSpec,
    /// The configuration of the pool's engines.
    pub engine: &'a EngineRule,
    /// Their learned prefill speed.
    pub speed: PrefillSpeed,
    /// Penalty for running on older weights, in seconds.
    pub old_weights_s: f64,
    /// The time left until the first token is late, in seconds, if engines get no more prompts than
    /// they have room for.
    pub time_left_s: Option<f64>,
    /// Other daemons that are reachable and also place prompts.
    pub peers: usize,
    /// How long it takes until their placements are reported here.
    pub gossip_delay: Duration,
}

impl FleetTable {
    /// Replicas that match the query and accept requests now.
    fn eligible<'a>(
        &'a self,
        now: Duration,
        query: PlacementQuery<'a>,
    ) -> impl Iterator<Item = &'a Replica> {
        self.replicas.values().filter(move |it| {
            it.entry.pool == *query.pool
                && query.releases.allows(it)
                && query.areas.allows(&it.entry.domain)
                && it.accepts_requests_for(now, query.model)
                && self.is_within_pace(now, it)
                && query.weights_on(it) >= query.min_weights
                && !query.excluded_targets.contains(&it.entry.id)
        })
    }

    /// Places a call to a plain service and adds it to the replica's load; `None` if no replica is
    /// eligible.
    pub fn place_plain(
        &mut self,
        now: Duration,
        query: PlacementQuery<'_>,
    ) -> Option<PlacedTarget> {
        self.peer_loads.expire(now);
        let eligible: Vec<&Replica> = self.eligible(now, query).collect();
        let views: Vec<PlainView> = eligible
            .iter()
            .map(|it| PlainView {
                slots: it.entry.slots,
                running: self.load(now, it).running,
                same_domain: it.entry.domain == self.domain,
                penalty: f64::from(u8::from(it.health.state(now) != HealthState::Healthy)),
            })
            .collect();
        let index = policy::plain_choice::choose(&views, rand::random())?;
        let (member, load_before) = (eligible[index].member, self.load(now, eligible[index]));
        let load = LoadCount { running: 1, ..LoadCount::default() };
        let placed = self.reserve(now, query, member, load)?;
        Some(PlacedTarget { load_before, placed_at: now, ..placed })
    }

    /// Places a prompt on an engine and adds it to the replica's load.
    pub fn place_prompt(
        &mut self,
        now: Duration,
        query: PlacementQuery<'_>,
        prompt_query: PromptQuery<'_>,
    ) -> Result<PlacedTarget, PlacementMiss> {
        let PromptQuery { prompt, engine, speed, old_weights_s, peers, gossip_delay, .. } =
            prompt_query;
        self.peer_loads.expire(now);
        let size = prompt.size();
        let is_long = size.is_long(speed);
        let attempts = self.attempts.estimate_unseen(now, is_long, peers, gossip_delay);
        self.attempts.record(now, is_long);
        let eligible: Vec<&Replica> = self.eligible(now, query).collect();
        let newest = eligible.iter().map(|it| query.weights_on(it)).max();
        let newest = newest.ok_or(PlacementMiss::NoReplica)?;
        let order = self.pool_orders.get(query.pool).map_or(&[][..], |it| it);
        let views: Vec<EngineView> = eligible
            .iter()
            .map(|it| {
                let load = self.load(now, it);
                let weights = query.weights_on(it);
                let salted = prompt.salted_prefixes(weights);
                let cached =
                    self.prefixes.cached_tokens(now, &salted, it.member, it.entry.incarnation);
                let mut penalty_s = 0.0;
                if it.health.state(now) != HealthState::Healthy {
                    penalty_s += FAILURE_PENALTY_S;
                }
                if weights < newest {
                    penalty_s += old_weights_s;
                }
                EngineView {
                    batch_size: engine.batch,
                    running: load.running,
                    pending_tokens: load.pending_tokens,
                    kv_tokens: load.kv_tokens,
                    kv_capacity: engine.kv_tokens,
                    position: pool_position(order, it.member),
                    member: it.member,
                    cached_tokens: cached,
                    same_domain: it.entry.domain == self.domain,
                    is_limited: it.request_limit.rate.is_some() || it.cold_state(now).is_some(),
                    penalty_s,
                }
            })
            .collect();
        let unseen = self.demand.estimate_unseen(now, peers, gossip_delay);
        let (chosen, first_token_s) = match prompt_query.time_left_s {
            None => engine_choice::choose(&views, size, speed, unseen),
            Some(time_left_s) => {
                let output_tokens = prompt.output_tokens;
                let request = RoomRequest { prompt: size, output_tokens, time_left_s };
                let rooms = request.rooms(&views, speed, attempts);
                choose_with_room(&views, &rooms, size, speed, unseen)?
            }
        }
        .ok_or(PlacementMiss::NoReplica)?;
        let chosen = eligible[chosen];
        let (member, weights) = (chosen.member, query.weights_on(chosen));
        let salted = prompt.salted_prefixes(weights);
        let cached =
            self.prefixes.cached_tokens(now, &salted, chosen.member, chosen.entry.incarnation);
        let fetch_from = self.fetch_source(now, query, chosen, &salted[..prompt.shared_prefixes]);
        let save_to = self.missing_copy(now, query, &salted[..prompt.shared_prefixes]);
        let load = LoadCount {
            running: 1,
            pending_tokens: prompt.prompt_tokens.saturating_sub(cached),
            kv_tokens: prompt.prompt_tokens + prompt.output_tokens,
            ..LoadCount::default()
        };
        let load_before = self.load(now, chosen);
        let placed = self.reserve(now, query, member, load).ok_or(PlacementMiss::NoReplica)?;
        let expected = Duration::from_secs_f64(first_token_s);
        let idle_time = Duration::from_secs_f64(speed.first_token_s(load.pending_tokens));
        Ok(PlacedTarget {
            cached_tokens: cached,
            fetch_from,
            save_to,
            expected,
            idle_time,
            placed_at: now,
            load_before,
            ..placed
        })
    }

    /// Records that a placed prompt is about to be sent: the replica will hold its shared prefixes.
    pub fn record_placed_prompt(
        &mut self,
        now: Duration,
        placed: &PlacedTarget,
        prompt: &PromptSpec,
        speed: PrefillSpeed,
    ) {
        let is_long = prompt.size().is_long(speed);
        self.demand.record(now, is_long, placed.load.pending_tokens);
        let salted = prompt.salted_prefixes(placed.weights);
        self.record_placed_prefixes(now, placed, &salted[..prompt.shared_prefixes]);
    }

    /// The KV store, if the request may use it, it is running and does not hold all shared prefixes.
    fn missing_copy(
        &self,
        now: Duration,
        query: PlacementQuery<'_>,
        shared: &[PromptPrefix],
    ) -> Option<KvStoreCopy> {
        let store = self.kv_store.filter(|it| query.allows_store(it.address))?;
        let epoch = store.live_epoch(now)?;
        let tokens = shared.last()?.tokens;
        let held = self.prefixes.cached_tokens(now, shared, store.member(), epoch);
        let copy = KvStoreCopy { address: store.address, member: store.member(), epoch };
        (held < tokens).then_some(copy)
    }

    /// Records that a prefilled prompt is copied to the KV store.
    pub fn record_copy(&mut self, now: Duration, copy: KvStoreCopy, shared: &[PromptPrefix]) {
        self.record_holder(now, copy.member, copy.epoch, shared);
    }

    /// Records how the KV store was seen, here or by a peer, unless something newer is known.
    pub(crate) fn record_kv_store(&mut self, seen: KvStoreView) {
        if self
            .kv_store
            .is_none_or(|it| it.probed_at < seen.probed_at || it.address != seen.address)
        {
            self.kv_store = Some(seen);
        }
    }

    /// Records that a replica will hold these prefixes: it caches them once it has prefilled the
    /// prompt placed on it.
    fn record_placed_prefixes(
        &mut self,
        now: Duration,
        placed: &PlacedTarget,
        shared: &[PromptPrefix],
    ) {
        self.record_holder(now, placed.member, placed.incarnation, shared);
    }

    fn record_holder(
        &mut self,
        now: Duration,
        member: u64,
        incarnation: u64,
        shared: &[PromptPrefix],
    ) {
        let digests: Vec<u64> = shared.iter().map(|it| it.digest).collect();
        self.prefixes.record_use(now, &digests, member, incarnation);
        let placements =
            digests.iter().map(|prefix| PrefixPlacement { prefix: *prefix, member, incarnation });
        self.prefix_placements.extend(placements);
    }

    /// Takes the prefixes placed since the last call, to report them to peers.
    pub fn take_prefix_placements(&mut self) -> Vec<PrefixPlacement> {
        std::mem::take(&mut self.prefix_placements)
    }

    /// Records prefixes that a peer has placed.
    pub fn record_prefixes(&mut self, now: Duration, placements: &[PrefixPlacement]) {
        for it in placements {
            self.prefixes.record_use(now, &[it.prefix], it.member, it.incarnation);
        }
    }

    /// The source in the request's areas that holds the longest shared prefix. A source is named also if the chosen
    /// replica is estimated to cache the prefix itself: it may have evicted it, and fetches nothing
    /// if it has not.
    fn fetch_source(
        &self,
        now: Duration,
        query: PlacementQuery<'_>,
        chosen: &Replica,
        shared: &[PromptPrefix],
    ) -> Option<SocketAddr> {
        shared.iter().rev().find_map(|prefix| {
            let holders = self.prefixes.holders(now, prefix.digest);
            let sources: Vec<PartSource<SocketAddr>> =
                holders.filter_map(|it| self.part_source(now, query, chosen, it)).collect();
            fetch_source::choose(now, &sources)
        })
    }

    /// A holder as a source for the chosen replica: the KV store, or another replica that may be
    /// read and has the same weights.
    fn part_source(
        &self,
        now: Duration,
        query: PlacementQuery<'_>,
        chosen: &Replica,
        holder: PrefixHolder,
    ) -> Option<PartSource<SocketAddr>> {
        let PrefixHolder { member, incarnation, used_at } = holder;
        let store = self
            .kv_store
            .filter(|it| (it.member(), it.live_epoch(now)) == (member, Some(incarnation)));
        if let Some(store) = store {
            let source = PartSource { source: store.address, used_at, kind: SourceKind::Store };
            return query.allows_store(store.address).then_some(source);
        }
        let replica = self.replicas.get(&member)?;
        if replica.entry.incarnation != incarnation {
            return None;
        }
        let usable = member != chosen.member
            && query.weights_on(replica) == query.weights_on(chosen)
            && query.areas.allows(&replica.entry.domain)
            && replica
                .state(now, query.model)
                .withhold_reason(now, ReplicaUse::PartSource)
                .is_none();
        let kind = match replica.leaving || replica.evacuated {
            true => SourceKind::LeavingEngine,
            false => SourceKind::Engine,
        };
        usable.then_some(PartSource { source: replica.entry.address, used_at, kind })
    }

    /// Adds a request to a replica's load; `None` if the replica is not listed any more.
    fn reserve(
        &mut self,
        now: Duration,
        query: PlacementQuery<'_>,
        member: u64,
        load: LoadCount,
    ) -> Option<PlacedTarget> {
        let replica = self.replicas.get_mut(&member)?;
        replica.local_load.add(&load);
        Some(PlacedTarget {
            id: replica.entry.id.clone(),
            incarnation: replica.entry.incarnation,
            member: replica.member,
            address: replica.entry.address,
            domain: replica.entry.domain.clone(),
            weights: query.weights_on(replica),
            cached_tokens: 0,
            fetch_from: None,
            save_to: None,
            expected: Duration::ZERO,
            idle_time: Duration::ZERO,
            placed_at: Duration::ZERO,
            request_limit: replica.request_limit.rate,
            cold_rule: replica.binding_cold_rule(now),
            token_at: None,
            load,
            load_before: LoadCount::default(),
        })
    }
}

/// The best engine of those with room, if this daemon may use some of it now.
fn choose_with_room(
    views: &[EngineView],
    rooms: &EngineRooms,
    size: PromptSize,
    speed: PrefillSpeed,
    unseen: UnseenLoads,
) -> Result<Option<(usize, f64)>, PlacementMiss> {
    let open: Vec<usize> = rooms.open().collect();
    let open_views: Vec<EngineView> = open.iter().map(|it| views[*it]).collect();
    let choice = engine_choice::choose(&open_views, size, speed, unseen);
    let admitted = choice.filter(|it| rooms.admits(it.0, rand::random()));
    let (index, first_token_s) = admitted.ok_or(PlacementMiss::NoRoom(rooms.fraction()))?;
    Ok(Some((open[index], first_token_s)))
}

/// A replica's position in its pool's order, from 0 to below 1.
fn pool_position(order: &[u64], member: u64) -> f64 {
    let before = order.partition_point(|it| *it < member);
    before as f64 / order.len().max(1) as f64
}

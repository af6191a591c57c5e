//! Cache hit rates and first-token times under the daemons' placement, compared with random choice,
//! the least loaded replica, rendezvous hashing of the first piece, and a router that knows every
//! cache.

use std::collections::BinaryHeap;
use std::time::Duration;

use ids::Incarnation;
use policy::chain::ChainHash;
use policy::placement::{PlacementCosts, PlacementTable, ReplicaView};
use policy::rendezvous;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::fleet::ChoreError;
use crate::measure::replica_model::{PIECE_TOKENS, PREFILL_S, SimulatedReplica};
use crate::measure::report::{ResultTable, quantile};

const REPLICAS: usize = 18;
/// Requests that one replica runs at once.
const SLOTS: usize = 8;
/// Pieces that fit into the cache of one replica.
const CACHE_PIECES: usize = 40;
const CUSTOMERS: u64 = 5;
/// A prompt starts with a root, which several prompt families share, and a chapter of its family.
const ROOTS_PER_CUSTOMER: u64 = 3;
/// Prompt families that share one root.
const CHAPTERS_PER_ROOT: u64 = 8;
const ROOT_PIECES: u64 = 4;
const CHAPTER_PIECES: u64 = 2;
/// Tokens after the last whole piece, which are never cached.
const TAIL_TOKENS: u64 = 500;
const MEAN_DECODE_S: f64 = 1.0;
/// Requests a second: 80% of what the slots carry when all prefixes are cached.
const ARRIVALS_PER_S: f64 = 105.0;
const DURATION_S: f64 = 150.0;
/// When the popularity of the families is reversed.
const SHIFT_AT_S: f64 = 60.0;
/// When a replica crashes and comes back with an empty cache.
const CRASH_AT_S: f64 = 80.0;
/// When a daemon restarts and loses what it has learned.
const RESTART_AT_S: f64 = 100.0;
/// Requests that arrive before this time do not count in the results.
const WARM_UP_S: f64 = 10.0;

/// How a simulation chooses the replica for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Router {
    /// The daemons' placement; each learns only from its own requests.
    Policy {
        daemons: usize,
    },
    Random,
    /// The least load in the daemon's own view.
    LeastLoaded,
    /// Rendezvous hashing of the prompt's first piece.
    FirstPiece,
    /// Knows the caches and queues of all replicas.
    Omniscient,
}

/// The start or the end of an answer. The order is reversed, so that a heap yields the earliest.
#[derive(Debug, Clone)]
struct AnswerEvent {
    /// Simulated time.
    at_s: f64,
    daemon: usize,
    replica: usize,
    /// At the start of an answer, the chain, its cached nodes and the replica's load; `None` at its
    /// end.
    observed: Option<(Vec<ChainHash>, usize, u32)>,
}

impl PartialEq for AnswerEvent {
    fn eq(&self, other: &AnswerEvent) -> bool {
        self.at_s == other.at_s
    }
}

impl Eq for AnswerEvent {}

impl PartialOrd for AnswerEvent {
    fn partial_cmp(&self, other: &AnswerEvent) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for AnswerEvent {
    fn cmp(&self, other: &AnswerEvent) -> std::cmp::Ordering {
        other.at_s.total_cmp(&self.at_s)
    }
}

/// Replicas, and daemons that place requests on them.
struct PlacementSimulation {
    router: Router,
    random: StdRng,
    replicas: Vec<SimulatedReplica>,
    /// Hashes of the replicas' ids.
    members: Vec<u64>,
    incarnations: Vec<u64>,
    /// One for each daemon.
    tables: Vec<PlacementTable>,
    /// By daemon and replica: requests outstanding, load reported last, and when it was reported.
    views: Vec<Vec<(u32, u32, f64)>>,
    events: BinaryHeap<AnswerEvent>,
}

/// Measures each router, and its hit rate as a fraction of the omniscient router's.
pub(crate) fn run(seeds: u64) -> Result<(), ChoreError> {
    let columns = ["hit_rate", "ttft_p50_s", "ttft_p99_s", "recomputed_share", "of_omniscient"];
    let mut table = ResultTable::new("placement", &columns);
    let omniscient_runs: Vec<Vec<f64>> =
        (0..seeds).map(|it| simulate(Router::Omniscient, it)).collect();
    let routers = [
        ("omniscient", Router::Omniscient),
        ("ours, 1 daemon", Router::Policy { daemons: 1 }),
        ("ours, 4 daemons", Router::Policy { daemons: 4 }),
        ("ours, 8 daemons", Router::Policy { daemons: 8 }),
        ("first piece", Router::FirstPiece),
        ("least loaded", Router::LeastLoaded),
        ("random", Router::Random),
    ];
    for (name, router) in routers {
        let runs: Vec<Vec<f64>> = (0..seeds)
            .map(|seed| {
                let mut values = simulate(router, seed);
                values.push(values[0] / omniscient_runs[seed as usize][0]);
                values
            })
            .collect();
        table.push_median(name, &runs);
    }
    table.print_and_save()
}

/// Hit rate by tokens, median and 99th percentile of first-token times in seconds, and the fraction
/// of prompt tokens computed.
fn simulate(router: Router, seed: u64) -> Vec<f64> {
    let mut simulation = PlacementSimulation::new(router, seed);
    let (mut now, mut prompt_tokens, mut cached_tokens) = (0.0, 0.0, 0.0);
    let mut first_token_times = Vec::new();
    let (mut crashed, mut restarted) = (false, false);
    while now < DURATION_S {
        now += -simulation.random.random::<f64>().ln() / ARRIVALS_PER_S;
        simulation.handle_events_until(now);
        if now > CRASH_AT_S && !crashed {
            crashed = true;
            simulation.crash(3);
        }
        if now > RESTART_AT_S && !restarted {
            restarted = true;
            simulation.tables[0] = new_table(simulation.tables.len());
        }
        let (chain, tokens) = simulation.draw_prompt(now > SHIFT_AT_S);
        let daemon = simulation.random.random_range(0..simulation.tables.len());
        let replica = simulation.choose_replica(now, daemon, &chain, tokens);
        let decode = MEAN_DECODE_S * simulation.random.random_range(0.5..1.5);
        let run = simulation.replicas[replica].run(now, &chain, tokens, decode);
        simulation.start_request(daemon, replica, chain, run);
        if now > WARM_UP_S {
            prompt_tokens += tokens as f64;
            cached_tokens += run.cached_nodes as f64 * PIECE_TOKENS as f64;
            first_token_times.push(run.first_token - now);
        }
    }
    let hit_rate = cached_tokens / prompt_tokens;
    vec![
        hit_rate,
        quantile(&mut first_token_times, 0.5),
        quantile(&mut first_token_times, 0.99),
        1.0 - hit_rate,
    ]
}

fn costs() -> PlacementCosts {
    PlacementCosts { piece_tokens: PIECE_TOKENS, prefill_s: PREFILL_S, slot_s: MEAN_DECODE_S }
}

fn new_table(daemons: usize) -> PlacementTable {
    let mut table = PlacementTable::new(costs());
    table.set_daemon_count(daemons);
    table
}

impl PlacementSimulation {
    fn new(router: Router, seed: u64) -> PlacementSimulation {
        let daemons = match router {
            Router::Policy { daemons } => daemons,
            _ => 8,
        };
        PlacementSimulation {
            router,
            random: StdRng::seed_from_u64(seed),
            replicas: (0..REPLICAS).map(|_| SimulatedReplica::new(SLOTS, CACHE_PIECES)).collect(),
            members: (0..REPLICAS)
                .map(|it| rendezvous::hash_member(&format!("desk-{it}")))
                .collect(),
            incarnations: vec![1; REPLICAS],
            tables: (0..daemons).map(|_| new_table(daemons)).collect(),
            views: vec![vec![(0, 0, 0.0); REPLICAS]; daemons],
            events: BinaryHeap::new(),
        }
    }

    /// The chain and the number of tokens of a random prompt; its family is drawn by Zipf's law.
    fn draw_prompt(&mut self, shifted: bool) -> (Vec<ChainHash>, u64) {
        let families = CUSTOMERS * ROOTS_PER_CUSTOMER * CHAPTERS_PER_ROOT;
        let rank = draw_zipf_rank(&mut self.random, families);
        // After the shift the least popular families are the most popular ones.
        let family = if shifted { families - 1 - rank } else { rank };
        // Families alternate between the roots, so that the popular ones do not share one root.
        let root = family % (CUSTOMERS * ROOTS_PER_CUSTOMER);
        let mut chain: Vec<ChainHash> =
            (0..ROOT_PIECES).map(|it| chain_node(1 + root * 100 + it)).collect();
        chain.extend((0..CHAPTER_PIECES).map(|it| chain_node(1_000_000 + family * 100 + it)));
        (chain, (ROOT_PIECES + CHAPTER_PIECES) * PIECE_TOKENS + TAIL_TOKENS)
    }

    /// The index of the replica that the router chooses.
    fn choose_replica(
        &mut self,
        now: f64,
        daemon: usize,
        chain: &[ChainHash],
        tokens: u64,
    ) -> usize {
        match self.router {
            Router::Random => self.random.random_range(0..REPLICAS),
            Router::LeastLoaded => {
                let views = &self.views[daemon];
                let least = (0..REPLICAS).min_by(|left, right| {
                    let load = |it: usize| replica_view(views[it], 0, 0).load(to_duration(now));
                    load(*left).total_cmp(&load(*right))
                });
                least.unwrap_or(0)
            }
            Router::FirstPiece => rendezvous::homes(chain[0].0, &self.members, 1)[0],
            Router::Omniscient => {
                let cost = |it: usize, replicas: &mut [SimulatedReplica]| {
                    let cached_tokens = replicas[it].count_cached(chain) as u64 * PIECE_TOKENS;
                    let load = f64::from(replicas[it].load(now)) / SLOTS as f64;
                    // A small term for the load makes ties go to the less loaded replica.
                    replicas[it].wait_s(now)
                        + (tokens - cached_tokens) as f64 * PREFILL_S
                        + load * 0.1
                };
                let mut lowest = (f64::MAX, 0);
                for it in 0..REPLICAS {
                    lowest = cheaper(lowest, (cost(it, &mut self.replicas), it));
                }
                lowest.1
            }
            Router::Policy { .. } => {
                let views: Vec<ReplicaView> = (0..REPLICAS)
                    .map(|it| {
                        replica_view(
                            self.views[daemon][it],
                            self.members[it],
                            self.incarnations[it],
                        )
                    })
                    .collect();
                let spread = self.random.random();
                let choice =
                    self.tables[daemon].choose(to_duration(now), chain, tokens, &views, spread);
                choice.map_or(0, |it| it.index)
            }
        }
    }

    /// Counts the request as outstanding, and schedules the events of its answer.
    fn start_request(
        &mut self,
        daemon: usize,
        replica: usize,
        chain: Vec<ChainHash>,
        run: crate::measure::replica_model::SimulatedRun,
    ) {
        self.views[daemon][replica].0 += 1;
        let load = self.replicas[replica].load(run.first_token);
        let observed = Some((chain, run.cached_nodes, load));
        self.events.push(AnswerEvent { at_s: run.first_token, daemon, replica, observed });
        self.events.push(AnswerEvent { at_s: run.end, daemon, replica, observed: None });
    }

    /// Handles the events up to `now`: daemons learn from answers that start, and count those that
    /// end as no longer outstanding.
    fn handle_events_until(&mut self, now: f64) {
        while self.events.peek().is_some_and(|it| it.at_s <= now) {
            let Some(event) = self.events.pop() else { return };
            let AnswerEvent { at_s, daemon, replica, observed } = event;
            let load_view = &mut self.views[daemon][replica];
            let Some((chain, cached_nodes, load)) = observed else {
                load_view.0 = load_view.0.saturating_sub(1);
                continue;
            };
            (load_view.1, load_view.2) = (load, at_s);
            let seen = replica_view(*load_view, self.members[replica], self.incarnations[replica]);
            let views: Vec<ReplicaView> =
                self.members.iter().map(|it| replica_view((0, 0, 0.0), *it, 1)).collect();
            let table = &mut self.tables[daemon];
            let was_home = table.is_home(to_duration(at_s), &chain, &views, replica);
            table.record_answer(to_duration(at_s), &chain, cached_nodes, &seen, was_home);
        }
    }

    /// Crashes and restarts a replica; all daemons learn of it at once.
    fn crash(&mut self, replica: usize) {
        self.replicas[replica].crash();
        self.incarnations[replica] += 1;
        let incarnation = Incarnation(self.incarnations[replica]);
        let member = self.members[replica];
        self.tables.iter_mut().for_each(|it| it.drop_older_incarnations(member, incarnation));
    }
}

fn cheaper(left: (f64, usize), right: (f64, usize)) -> (f64, usize) {
    if right.0 < left.0 { right } else { left }
}

/// The policy's view of a replica from an entry of `views`.
fn replica_view(seen: (u32, u32, f64), member: u64, incarnation: u64) -> ReplicaView {
    ReplicaView {
        member,
        incarnation: Incarnation(incarnation),
        slots: SLOTS as u32,
        outstanding: seen.0,
        reported: seen.1,
        reported_at: to_duration(seen.2),
    }
}

/// A time of the policy's clock, which is one second ahead of simulated time.
fn to_duration(at_s: f64) -> Duration {
    Duration::from_secs_f64(at_s.max(0.0) + 1.0)
}

/// A chain node whose hash is spread over all 64 bits.
fn chain_node(number: u64) -> ChainHash {
    ChainHash(number.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// A random rank below `count` by Zipf's law with exponent 1.
fn draw_zipf_rank(random: &mut StdRng, count: u64) -> u64 {
    let total: f64 = (1..=count).map(|it| 1.0 / it as f64).sum();
    let mut remaining = random.random::<f64>() * total;
    for rank in 0..count {
        remaining -= 1.0 / (rank + 1) as f64;
        if remaining <= 0.0 {
            return rank;
        }
    }
    count - 1
}

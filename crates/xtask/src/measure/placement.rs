//! Placement against random, least loaded, rendezvous on the first piece, and one router that
//! knows every cache.

use std::collections::BinaryHeap;
use std::time::Duration;

use ids::Incarnation;
use policy::chain::ChainHash;
use policy::placement::{PlacementCosts, PlacementTable, ReplicaView};
use policy::rendezvous;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::fleet::ChoreError;
use crate::measure::desk_model::{FakeReplica, PIECE_TOKENS, PREFILL_S};
use crate::measure::report::{FigureTable, quantile};

const REPLICAS: usize = 18;
const SLOTS: usize = 8;
const CACHE_PIECES: usize = 40;
const CUSTOMERS: u64 = 5;
const ROOTS: u64 = 3;
const CHAPTERS: u64 = 8;
const ROOT_PIECES: u64 = 4;
const CHAPTER_PIECES: u64 = 2;
const TAIL_TOKENS: u64 = 500;
const DECODE_S: f64 = 1.0;
/// Requests a second: 80% of what the slots carry when all prefixes are cached.
const ARRIVALS: f64 = 105.0;
const LENGTH_S: f64 = 150.0;
const SHIFT_AT: f64 = 60.0;
const CRASH_AT: f64 = 80.0;
const RESTART_AT: f64 = 100.0;
/// How long after an answer began it is learnt from.
const WARM_UP_S: f64 = 10.0;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Router {
    Ours { daemons: usize },
    Random,
    LeastLoaded,
    FirstPiece,
    Omniscient,
}

/// An answer under way: when it began or ends, and what it tells.
#[derive(Debug, Clone)]
struct Answer {
    at: f64,
    daemon: usize,
    replica: usize,
    /// The chain and what was cached, when the answer begins; nothing when it ends.
    learnt: Option<(Vec<ChainHash>, usize, u32)>,
}

impl PartialEq for Answer {
    fn eq(&self, other: &Answer) -> bool {
        self.at == other.at
    }
}

impl Eq for Answer {}

impl PartialOrd for Answer {
    fn partial_cmp(&self, other: &Answer) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Answer {
    fn cmp(&self, other: &Answer) -> std::cmp::Ordering {
        other.at.total_cmp(&self.at)
    }
}

struct World {
    router: Router,
    random: StdRng,
    replicas: Vec<FakeReplica>,
    members: Vec<u64>,
    lives: Vec<u64>,
    tables: Vec<PlacementTable>,
    /// By daemon and replica: outstanding, and what was reported last and when.
    views: Vec<Vec<(u32, u32, f64)>>,
    answers: BinaryHeap<Answer>,
}

pub(crate) fn run(seeds: u64) -> Result<(), ChoreError> {
    let columns = ["hit_rate", "ttft_p50_s", "ttft_p99_s", "recomputed_share", "of_omniscient"];
    let mut table = FigureTable::new("placement", &columns);
    let best: Vec<Vec<f64>> = (0..seeds).map(|it| simulate(Router::Omniscient, it)).collect();
    let routers = [
        ("omniscient", Router::Omniscient),
        ("ours, 1 daemon", Router::Ours { daemons: 1 }),
        ("ours, 4 daemons", Router::Ours { daemons: 4 }),
        ("ours, 8 daemons", Router::Ours { daemons: 8 }),
        ("first piece", Router::FirstPiece),
        ("least loaded", Router::LeastLoaded),
        ("random", Router::Random),
    ];
    for (name, router) in routers {
        let runs: Vec<Vec<f64>> = (0..seeds)
            .map(|seed| {
                let mut figures = simulate(router, seed);
                figures.push(figures[0] / best[seed as usize][0]);
                figures
            })
            .collect();
        table.push_runs(name, &runs);
    }
    table.finish()
}

fn simulate(router: Router, seed: u64) -> Vec<f64> {
    let mut world = World::new(router, seed);
    let (mut now, mut asked, mut cached) = (0.0, 0.0, 0.0);
    let mut firsts = Vec::new();
    let (mut crashed, mut restarted) = (false, false);
    while now < LENGTH_S {
        now += -world.random.random::<f64>().ln() / ARRIVALS;
        world.learn_until(now);
        if now > CRASH_AT && !crashed {
            crashed = true;
            world.crash(3);
        }
        if now > RESTART_AT && !restarted {
            restarted = true;
            world.tables[0] = new_table(world.tables.len());
        }
        let (chain, tokens) = world.prompt(now > SHIFT_AT);
        let daemon = world.random.random_range(0..world.tables.len());
        let replica = world.choose(now, daemon, &chain, tokens);
        let decode = DECODE_S * world.random.random_range(0.5..1.5);
        let run = world.replicas[replica].run(now, &chain, tokens, decode);
        world.begin(daemon, replica, chain, run);
        if now > WARM_UP_S {
            asked += tokens as f64;
            cached += run.cached as f64 * PIECE_TOKENS as f64;
            firsts.push(run.first_token - now);
        }
    }
    let hit = cached / asked;
    vec![hit, quantile(&mut firsts, 0.5), quantile(&mut firsts, 0.99), 1.0 - hit]
}

fn costs() -> PlacementCosts {
    PlacementCosts { piece_tokens: PIECE_TOKENS, prefill_s: PREFILL_S, slot_s: DECODE_S }
}

fn new_table(daemons: usize) -> PlacementTable {
    let mut table = PlacementTable::new(costs());
    table.set_daemon_count(daemons);
    table
}

impl World {
    fn new(router: Router, seed: u64) -> World {
        let daemons = match router {
            Router::Ours { daemons } => daemons,
            _ => 8,
        };
        World {
            router,
            random: StdRng::seed_from_u64(seed),
            replicas: (0..REPLICAS).map(|_| FakeReplica::new(SLOTS, CACHE_PIECES)).collect(),
            members: (0..REPLICAS)
                .map(|it| rendezvous::hash_member(&format!("desk-{it}")))
                .collect(),
            lives: vec![1; REPLICAS],
            tables: (0..daemons).map(|_| new_table(daemons)).collect(),
            views: vec![vec![(0, 0, 0.0); REPLICAS]; daemons],
            answers: BinaryHeap::new(),
        }
    }

    /// A prompt: a customer's root, a chapter by Zipf's law, and a tail of its own.
    fn prompt(&mut self, shifted: bool) -> (Vec<ChainHash>, u64) {
        let families = CUSTOMERS * ROOTS * CHAPTERS;
        let rank = zipf(&mut self.random, families);
        // After the shift the cold families are the hot ones.
        let family = if shifted { families - 1 - rank } else { rank };
        // Families are dealt over customers and roots, so that heat is not all on one root.
        let root = family % (CUSTOMERS * ROOTS);
        let mut chain: Vec<ChainHash> =
            (0..ROOT_PIECES).map(|it| node(1 + root * 100 + it)).collect();
        chain.extend((0..CHAPTER_PIECES).map(|it| node(1_000_000 + family * 100 + it)));
        (chain, (ROOT_PIECES + CHAPTER_PIECES) * PIECE_TOKENS + TAIL_TOKENS)
    }

    fn choose(&mut self, now: f64, daemon: usize, chain: &[ChainHash], tokens: u64) -> usize {
        match self.router {
            Router::Random => self.random.random_range(0..REPLICAS),
            Router::LeastLoaded => {
                let views = &self.views[daemon];
                let least = (0..REPLICAS).min_by(|left, right| {
                    let load = |it: usize| view(views[it], 0, 0).load(time(now));
                    load(*left).total_cmp(&load(*right))
                });
                least.unwrap_or(0)
            }
            Router::FirstPiece => rendezvous::homes(chain[0].0, &self.members, 1)[0],
            Router::Omniscient => {
                let cost = |it: usize, replicas: &mut [FakeReplica]| {
                    let cached = replicas[it].holds(chain) as u64 * PIECE_TOKENS;
                    let load = f64::from(replicas[it].load(now)) / SLOTS as f64;
                    // Ties go to the less loaded.
                    replicas[it].wait_s(now) + (tokens - cached) as f64 * PREFILL_S + load * 0.1
                };
                let mut best = (f64::MAX, 0);
                for it in 0..REPLICAS {
                    best = best_of(best, (cost(it, &mut self.replicas), it));
                }
                best.1
            }
            Router::Ours { .. } => {
                let views: Vec<ReplicaView> = (0..REPLICAS)
                    .map(|it| view(self.views[daemon][it], self.members[it], self.lives[it]))
                    .collect();
                let spread = self.random.random();
                let choice = self.tables[daemon].choose(time(now), chain, tokens, &views, spread);
                choice.map_or(0, |it| it.index)
            }
        }
    }

    fn begin(
        &mut self,
        daemon: usize,
        replica: usize,
        chain: Vec<ChainHash>,
        run: crate::measure::desk_model::FakeRun,
    ) {
        self.views[daemon][replica].0 += 1;
        let load = self.replicas[replica].load(run.first_token);
        let learnt = Some((chain, run.cached, load));
        self.answers.push(Answer { at: run.first_token, daemon, replica, learnt });
        self.answers.push(Answer { at: run.end, daemon, replica, learnt: None });
    }

    /// Daemons learn from answers that began, and free the slots of those that ended.
    fn learn_until(&mut self, now: f64) {
        while self.answers.peek().is_some_and(|it| it.at <= now) {
            let Some(answer) = self.answers.pop() else { return };
            let Answer { at, daemon, replica, learnt } = answer;
            let slot = &mut self.views[daemon][replica];
            let Some((chain, cached, load)) = learnt else {
                slot.0 = slot.0.saturating_sub(1);
                continue;
            };
            (slot.1, slot.2) = (load, at);
            let seen = view(*slot, self.members[replica], self.lives[replica]);
            let views: Vec<ReplicaView> =
                self.members.iter().map(|it| view((0, 0, 0.0), *it, 1)).collect();
            let table = &mut self.tables[daemon];
            let was_home = table.is_home(time(at), &chain, &views, replica);
            table.record_answer(time(at), &chain, cached, &seen, was_home);
        }
    }

    fn crash(&mut self, replica: usize) {
        self.replicas[replica].crash();
        self.lives[replica] += 1;
        let life = Incarnation(self.lives[replica]);
        let member = self.members[replica];
        self.tables.iter_mut().for_each(|it| it.drop_older_incarnations(member, life));
    }
}

fn best_of(left: (f64, usize), right: (f64, usize)) -> (f64, usize) {
    if right.0 < left.0 { right } else { left }
}

fn view(seen: (u32, u32, f64), member: u64, life: u64) -> ReplicaView {
    ReplicaView {
        member,
        incarnation: Incarnation(life),
        slots: SLOTS as u32,
        outstanding: seen.0,
        reported: seen.1,
        reported_at: time(seen.2),
    }
}

fn time(at: f64) -> Duration {
    Duration::from_secs_f64(at.max(0.0) + 1.0)
}

fn node(number: u64) -> ChainHash {
    ChainHash(number.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// A rank between 0 and `count` by Zipf's law with exponent 1.
fn zipf(random: &mut StdRng, count: u64) -> u64 {
    let total: f64 = (1..=count).map(|it| 1.0 / it as f64).sum();
    let mut left = random.random::<f64>() * total;
    for rank in 0..count {
        left -= 1.0 / (rank + 1) as f64;
        if left <= 0.0 {
            return rank;
        }
    }
    count - 1
}

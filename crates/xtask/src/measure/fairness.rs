//! Counter traffic and traffic that may wait, and customers against each other, before a pool
//! that is full.

use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use policy::bucket::TokenBucket;
use policy::fair_queue::FairQueue;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::fleet::ChoreError;
use crate::measure::report::{FigureTable, quantile};

const CUSTOMERS: usize = 5;
const SLOTS: usize = 144;
const SLOT_S: f64 = 1.1;
const LENGTH_S: f64 = 200.0;
/// Each customer's rate in requests a second; all together 95% of the slots.
const RATE: f64 = 0.95 * SLOTS as f64 / SLOT_S / CUSTOMERS as f64;
const BURST: f64 = RATE * 2.0;
/// How much of each customer's traffic may wait.
const DEFERRABLE_SHARE: f64 = 0.3;
const WAIT_LIMIT_S: f64 = 30.0;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Order {
    /// The fair queue behind the customers' rates, as in the daemon.
    Ours,
    /// The fair queue alone.
    FairOnly,
    /// First come, first served.
    Fifo,
}

pub(crate) fn run(seeds: u64) -> Result<(), ChoreError> {
    let columns =
        ["counter_p99_s", "deferrable_p99_s", "worst_share", "deferrable_served", "refused"];
    let mut table = FigureTable::new("fairness", &columns);
    let cases = [
        ("ours, all at their rate", Order::Ours, 1.0),
        ("ours, one at 5 times", Order::Ours, 5.0),
        ("fair queue only, one at 5 times", Order::FairOnly, 5.0),
        ("first come, one at 5 times", Order::Fifo, 5.0),
    ];
    for (name, order, greed) in cases {
        let runs: Vec<Vec<f64>> = (0..seeds).map(|it| simulate(order, greed, it)).collect();
        table.push_runs(name, &runs);
    }
    table.finish()
}

#[derive(Debug, Clone, Copy)]
struct Waiting {
    at: f64,
    deferrable: bool,
}

/// The queue before the pool.
enum Line {
    Fair(FairQueue<usize, Waiting>),
    Fifo(VecDeque<(usize, Waiting)>),
}

/// Figures of the four customers that keep to their rates.
fn simulate(order: Order, greed: f64, seed: u64) -> Vec<f64> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut line = match order {
        Order::Fifo => Line::Fifo(VecDeque::new()),
        Order::Ours | Order::FairOnly => Line::Fair(FairQueue::default()),
    };
    let mut ends: BinaryHeap<std::cmp::Reverse<u64>> = BinaryHeap::new();
    let mut buckets: Vec<TokenBucket> =
        (0..CUSTOMERS).map(|_| TokenBucket::full(Duration::ZERO, BURST, RATE)).collect();
    let mut waits: [Vec<f64>; 2] = Default::default();
    let mut asked = [0.0; CUSTOMERS];
    let mut served = [0.0; CUSTOMERS];
    let mut deferrable = [0.0; 2];
    let mut refused = 0.0;
    let mut next: Vec<f64> = (0..CUSTOMERS).map(|_| 0.0).collect();
    let mut now: f64 = 0.0;
    while now < LENGTH_S {
        let customer = (0..CUSTOMERS).min_by(|a, b| next[*a].total_cmp(&next[*b])).unwrap_or(0);
        let end = ends.peek().map_or(f64::MAX, |it| it.0 as f64 / 1e6);
        now = next[customer].min(end);
        if end <= next[customer] {
            ends.pop();
        } else {
            let greedy = customer == 0;
            let pace = RATE * 0.99 * if greedy { greed } else { 1.0 };
            next[customer] += -random.random::<f64>().ln() / pace;
            asked[customer] += 1.0;
            let may_wait = random.random::<f64>() < DEFERRABLE_SHARE;
            let clock = Duration::from_secs_f64(now);
            let admitted = order != Order::Ours || buckets[customer].take(clock, 1.0, 1.0) > 0.0;
            if admitted {
                line.push(customer, Waiting { at: now, deferrable: may_wait });
                deferrable[0] += f64::from(u8::from(may_wait && !greedy));
            } else if !greedy {
                refused += 1.0;
            }
        }
        while ends.len() < SLOTS {
            let Some((customer, waiting)) = line.pop() else { break };
            let wait = now - waiting.at;
            if wait > WAIT_LIMIT_S {
                continue;
            }
            let time = SLOT_S * random.random_range(0.5..1.5);
            ends.push(std::cmp::Reverse(((now + time) * 1e6) as u64));
            served[customer] += 1.0;
            if customer > 0 {
                waits[usize::from(waiting.deferrable)].push(wait);
                deferrable[1] += f64::from(u8::from(waiting.deferrable));
            }
        }
    }
    let shares = (1..CUSTOMERS).map(|it| served[it] / asked[it]);
    let worst = shares.fold(f64::MAX, f64::min);
    let all: f64 = asked[1..].iter().sum();
    let [mut counter, mut later] = waits;
    vec![
        quantile(&mut counter, 0.99),
        quantile(&mut later, 0.99),
        worst,
        deferrable[1] / deferrable[0],
        refused / all,
    ]
}

impl Line {
    fn push(&mut self, customer: usize, waiting: Waiting) {
        match self {
            Line::Fair(queue) => queue.push(customer, 1, waiting.deferrable, 1_000.0, waiting),
            Line::Fifo(queue) => queue.push_back((customer, waiting)),
        }
    }

    fn pop(&mut self) -> Option<(usize, Waiting)> {
        match self {
            Line::Fair(queue) => queue.pop(),
            Line::Fifo(queue) => queue.pop_front(),
        }
    }
}

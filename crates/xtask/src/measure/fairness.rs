//! Queueing before a full pool: waits of interactive (`counter`) and of deferrable traffic, and
//! what customers get when one of them exceeds its rate.

use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use policy::bucket::TokenBucket;
use policy::fair_queue::FairQueue;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::fleet::ChoreError;
use crate::measure::report::{ResultTable, quantile};

const CUSTOMERS: usize = 5;
/// Requests that the pool runs at once.
const SLOTS: usize = 144;
/// Mean time for which a request occupies a slot.
const MEAN_SERVICE_S: f64 = 1.1;
const DURATION_S: f64 = 200.0;
/// Each customer's rate in requests a second; all together 95% of the slots.
const RATE_PER_S: f64 = 0.95 * SLOTS as f64 / MEAN_SERVICE_S / CUSTOMERS as f64;
/// Requests that a customer may send at once after a pause.
const BURST_REQUESTS: f64 = RATE_PER_S * 2.0;
/// Fraction of each customer's traffic that is deferrable.
const DEFERRABLE_FRACTION: f64 = 0.3;
/// Requests that have waited longer are dropped.
const WAIT_LIMIT_S: f64 = 30.0;

/// How requests are admitted and ordered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AdmissionPolicy {
    /// Rate limits of the customers and then the fair queue, as in the daemon.
    RateLimitedFair,
    /// The fair queue without rate limits.
    FairOnly,
    /// First come, first served, without rate limits.
    Fifo,
}

/// Measures customers that all keep to their rates, and one that sends 5 times its rate.
pub(crate) fn run(seeds: u64) -> Result<(), ChoreError> {
    let columns =
        ["counter_p99_s", "deferrable_p99_s", "worst_share", "deferrable_served", "refused"];
    let mut table = ResultTable::new("fairness", &columns);
    let cases = [
        ("ours, all at their rate", AdmissionPolicy::RateLimitedFair, 1.0),
        ("ours, one at 5 times", AdmissionPolicy::RateLimitedFair, 5.0),
        ("fair queue only, one at 5 times", AdmissionPolicy::FairOnly, 5.0),
        ("first come, one at 5 times", AdmissionPolicy::Fifo, 5.0),
    ];
    for (name, policy, noisy_factor) in cases {
        let runs: Vec<Vec<f64>> = (0..seeds).map(|it| simulate(policy, noisy_factor, it)).collect();
        table.push_median(name, &runs);
    }
    table.print_and_save()
}

/// A request before the pool.
#[derive(Debug, Clone, Copy)]
struct QueuedRequest {
    queued_at_s: f64,
    deferrable: bool,
}

/// The queue before the pool.
enum WaitQueue {
    Fair(FairQueue<usize, QueuedRequest>),
    Fifo(VecDeque<(usize, QueuedRequest)>),
}

/// Values for the columns of the table from one run; they cover the four customers that keep to
/// their rates. The first customer sends `noisy_factor` times its rate.
fn simulate(policy: AdmissionPolicy, noisy_factor: f64, seed: u64) -> Vec<f64> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut wait_queue = match policy {
        AdmissionPolicy::Fifo => WaitQueue::Fifo(VecDeque::new()),
        AdmissionPolicy::RateLimitedFair | AdmissionPolicy::FairOnly => {
            WaitQueue::Fair(FairQueue::default())
        }
    };
    // End times of running requests in microseconds; the heap yields the earliest.
    let mut request_ends: BinaryHeap<std::cmp::Reverse<u64>> = BinaryHeap::new();
    let mut buckets: Vec<TokenBucket> = (0..CUSTOMERS)
        .map(|_| TokenBucket::full(Duration::ZERO, BURST_REQUESTS, RATE_PER_S))
        .collect();
    // Seconds that requests waited: interactive traffic, then deferrable traffic.
    let mut waits: [Vec<f64>; 2] = Default::default();
    let mut sent = [0.0; CUSTOMERS];
    let mut served = [0.0; CUSTOMERS];
    // Deferrable requests admitted, and served.
    let mut deferrable_counts = [0.0; 2];
    let mut refused = 0.0;
    let mut next_arrivals: Vec<f64> = (0..CUSTOMERS).map(|_| 0.0).collect();
    let mut now: f64 = 0.0;
    while now < DURATION_S {
        let customer = (0..CUSTOMERS)
            .min_by(|a, b| next_arrivals[*a].total_cmp(&next_arrivals[*b]))
            .unwrap_or(0);
        let next_end = request_ends.peek().map_or(f64::MAX, |it| it.0 as f64 / 1e6);
        now = next_arrivals[customer].min(next_end);
        if next_end <= next_arrivals[customer] {
            request_ends.pop();
        } else {
            let is_noisy = customer == 0;
            let arrival_rate = RATE_PER_S * 0.99 * if is_noisy { noisy_factor } else { 1.0 };
            next_arrivals[customer] += -random.random::<f64>().ln() / arrival_rate;
            sent[customer] += 1.0;
            let is_deferrable = random.random::<f64>() < DEFERRABLE_FRACTION;
            let clock_time = Duration::from_secs_f64(now);
            let admitted = policy != AdmissionPolicy::RateLimitedFair
                || buckets[customer].take(clock_time, 1.0, 1.0) > 0.0;
            if admitted {
                wait_queue
                    .push(customer, QueuedRequest { queued_at_s: now, deferrable: is_deferrable });
                deferrable_counts[0] += f64::from(u8::from(is_deferrable && !is_noisy));
            } else if !is_noisy {
                refused += 1.0;
            }
        }
        while request_ends.len() < SLOTS {
            let Some((customer, request)) = wait_queue.pop() else { break };
            let wait_s = now - request.queued_at_s;
            if wait_s > WAIT_LIMIT_S {
                continue;
            }
            let service_s = MEAN_SERVICE_S * random.random_range(0.5..1.5);
            request_ends.push(std::cmp::Reverse(((now + service_s) * 1e6) as u64));
            served[customer] += 1.0;
            if customer > 0 {
                waits[usize::from(request.deferrable)].push(wait_s);
                deferrable_counts[1] += f64::from(u8::from(request.deferrable));
            }
        }
    }
    let served_fractions = (1..CUSTOMERS).map(|it| served[it] / sent[it]);
    let lowest_fraction = served_fractions.fold(f64::MAX, f64::min);
    let total_sent: f64 = sent[1..].iter().sum();
    let [mut counter_waits, mut deferrable_waits] = waits;
    vec![
        quantile(&mut counter_waits, 0.99),
        quantile(&mut deferrable_waits, 0.99),
        lowest_fraction,
        deferrable_counts[1] / deferrable_counts[0],
        refused / total_sent,
    ]
}

impl WaitQueue {
    fn push(&mut self, customer: usize, request: QueuedRequest) {
        match self {
            WaitQueue::Fair(queue) => queue.push(customer, 1, request.deferrable, 1_000.0, request),
            WaitQueue::Fifo(queue) => queue.push_back((customer, request)),
        }
    }

    fn pop(&mut self) -> Option<(usize, QueuedRequest)> {
        match self {
            WaitQueue::Fair(queue) => queue.pop(),
            WaitQueue::Fifo(queue) => queue.pop_front(),
        }
    }
}

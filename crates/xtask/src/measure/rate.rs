//! Ways to share one customer's rate among instances: shares held by a few homes, as in the daemon,
//! an even split over all instances, and grants from one table row.

use std::time::Duration;

use policy::bucket::TokenBucket;
use policy::rate_shares::{RATE_HOMES, UNLISTED_WAIT};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::fleet::ChoreError;
use crate::measure::report::ResultTable;

const INSTANCES: usize = 8;
/// The rate of the customer.
const RATE_TOKENS_PER_S: f64 = 20_000.0;
/// The customer's burst: the capacity of a bucket for its whole rate.
const BURST_TOKENS: f64 = 100_000.0;
/// Tokens of one request.
const TOKENS_PER_REQUEST: std::ops::Range<f64> = 500.0..3_500.0;
/// Fraction of its rate that the customer uses.
const UTILIZATION: f64 = 0.8;
/// The first instance gets this many times the traffic of each other.
const SKEW_FACTOR: f64 = 4.0;
const DURATION_S: f64 = 1_800.0;
/// When an instance is lost, in seconds.
const LOSS_AT_S: f64 = 300.0;
/// How long the platform goes on listing an instance that is gone.
const LIST_LAG: Duration = Duration::from_secs(9);
/// How long a request waits for tokens before it is refused.
const MAX_WAIT_S: f64 = 1.0;
/// When the table is down, in seconds.
const TABLE_OUTAGE_S: std::ops::Range<f64> = 900.0..1_080.0;
/// A grant covers an instance's even share of the rate for this long, or the request that asks for
/// it if that is more.
const GRANT_S: f64 = 0.5;

/// How instances share the rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SharingMethod {
    /// `RATE_HOMES` instances hold equal shares; the others ask them for tokens.
    Homes,
    /// Each instance has an equal share, whatever its traffic.
    EvenSplit,
    /// Instances take grants from one table row.
    GrantsFromOneRow,
}

/// Measures each method without faults, and with the loss of an instance and a table outage.
pub(crate) fn run(seeds: u64) -> Result<(), ChoreError> {
    let columns = ["refused_percent", "overshoot_tokens", "writes_per_s", "asks_per_request"];
    let mut table = ResultTable::new("rate", &columns);
    let cases = [
        ("homes, all well", SharingMethod::Homes, false),
        ("homes, one lost, table out", SharingMethod::Homes, true),
        ("even split, all well", SharingMethod::EvenSplit, false),
        ("even split, one lost, table out", SharingMethod::EvenSplit, true),
        ("grants, all well", SharingMethod::GrantsFromOneRow, false),
        ("grants, one lost, table out", SharingMethod::GrantsFromOneRow, true),
    ];
    for (name, method, with_faults) in cases {
        let runs: Vec<Vec<f64>> = (0..seeds).map(|it| simulate(method, with_faults, it)).collect();
        table.push_median(name, &runs);
    }
    table.print_and_save()
}

/// Instances that share one customer's rate.
struct RateSimulation {
    method: SharingMethod,
    /// One for each share.
    buckets: Vec<TokenBucket>,
    /// The share of a lost home, and the time until which no other instance may take it over.
    unavailable_share: Option<(usize, f64)>,
    /// Tokens left of each instance's grant.
    grants: Vec<f64>,
    /// The bucket in the table row.
    grant_bucket: TokenBucket,
    /// Writes of the table row.
    writes: f64,
    /// Calls to homes, or to the table for a grant.
    calls: f64,
}

/// Values for the columns of the table from one run.
fn simulate(method: SharingMethod, with_faults: bool, seed: u64) -> Vec<f64> {
    let mut random = StdRng::seed_from_u64(seed);
    let share_count = match method {
        SharingMethod::Homes => RATE_HOMES,
        _ => INSTANCES,
    };
    let share_fraction = 1.0 / share_count as f64;
    let mut simulation = RateSimulation {
        method,
        buckets: vec![
            TokenBucket::full(
                Duration::ZERO,
                BURST_TOKENS * share_fraction,
                RATE_TOKENS_PER_S * share_fraction
            );
            share_count
        ],
        unavailable_share: None,
        grants: vec![0.0; INSTANCES],
        grant_bucket: TokenBucket::full(Duration::ZERO, BURST_TOKENS, RATE_TOKENS_PER_S),
        writes: 0.0,
        calls: 0.0,
    };
    let (mut now, mut requests, mut refused) = (0.0, 0.0, 0.0);
    let (mut excess_tokens, mut max_overshoot, mut last_served_at) = (0.0_f64, f64::MIN, 0.0);
    let mut instance_lost = false;
    let mean_tokens = (TOKENS_PER_REQUEST.start + TOKENS_PER_REQUEST.end) / 2.0;
    while now < DURATION_S {
        now += -random.random::<f64>().ln() / (RATE_TOKENS_PER_S * UTILIZATION / mean_tokens);
        if with_faults && now > LOSS_AT_S && !instance_lost {
            instance_lost = true;
            simulation.lose_instance(now, share_fraction);
        }
        let live_instances = if instance_lost { INSTANCES - 1 } else { INSTANCES };
        let skewed =
            random.random::<f64>() < SKEW_FACTOR / (SKEW_FACTOR + live_instances as f64 - 1.0);
        let instance = if skewed { 0 } else { random.random_range(1..live_instances) };
        let table_up = !(with_faults && TABLE_OUTAGE_S.contains(&now));
        let tokens = random.random_range(TOKENS_PER_REQUEST).floor();
        requests += 1.0;
        let mut served = false;
        // As in the daemon, a request that finds no tokens tries again for a while.
        let mut at_s = now;
        while !served && at_s <= now + MAX_WAIT_S {
            served = simulation.take(at_s, instance, tokens, table_up);
            at_s += 0.1;
        }
        if served {
            excess_tokens =
                (excess_tokens - RATE_TOKENS_PER_S * (now - last_served_at)).max(0.0) + tokens;
            max_overshoot = max_overshoot.max(excess_tokens - BURST_TOKENS);
            last_served_at = now;
        } else {
            refused += 1.0;
        }
    }
    vec![
        100.0 * refused / requests,
        max_overshoot.max(0.0),
        simulation.writes / DURATION_S,
        simulation.calls / requests,
    ]
}

impl RateSimulation {
    /// The last instance is lost. The worst case is taken: it held a share.
    fn lose_instance(&mut self, now: f64, share_fraction: f64) {
        let wait = (LIST_LAG + UNLISTED_WAIT).as_secs_f64();
        match self.method {
            SharingMethod::Homes => {
                self.unavailable_share = Some((0, now + wait));
                let takeover_time = Duration::from_secs_f64(now + wait);
                // What the lost home has spent is unknown, so that its successor starts with an
                // empty bucket.
                self.buckets[0] = TokenBucket::empty(
                    takeover_time,
                    BURST_TOKENS * share_fraction,
                    RATE_TOKENS_PER_S * share_fraction,
                );
                self.writes += 1.0;
            }
            // The lost instance's eighth of the rate stays unused until an operator changes the
            // split.
            SharingMethod::EvenSplit => {}
            SharingMethod::GrantsFromOneRow => self.grants[INSTANCES - 1] = 0.0,
        }
    }

    /// Takes all of `tokens` for a request on `instance`, or none; says whether it did.
    fn take(&mut self, at_s: f64, instance: usize, tokens: f64, table_up: bool) -> bool {
        let now = Duration::from_secs_f64(at_s);
        match self.method {
            SharingMethod::Homes => self.take_from_homes(at_s, instance, tokens),
            SharingMethod::EvenSplit => self.buckets[instance].take(now, tokens, tokens) > 0.0,
            SharingMethod::GrantsFromOneRow => {
                if self.grants[instance] < tokens && table_up {
                    let wanted = (RATE_TOKENS_PER_S * GRANT_S / INSTANCES as f64).max(tokens);
                    self.writes += 1.0;
                    self.calls += 1.0;
                    self.grants[instance] += self.grant_bucket.take(now, wanted, 1.0);
                }
                let enough = self.grants[instance] >= tokens;
                if enough {
                    self.grants[instance] -= tokens;
                }
                enough
            }
        }
    }

    /// Asks one home after another for all tokens, then collects what each has, as in the daemon.
    fn take_from_homes(&mut self, at_s: f64, instance: usize, tokens: f64) -> bool {
        let now = Duration::from_secs_f64(at_s);
        let available: Vec<usize> = (0..self.buckets.len())
            .filter(|it| {
                self.unavailable_share.is_none_or(|(lost, until)| lost != *it || at_s >= until)
            })
            .collect();
        let first = instance % available.len();
        let homes: Vec<usize> =
            (0..available.len()).map(|it| available[(first + it) % available.len()]).collect();
        for home in &homes {
            self.calls += 1.0;
            if self.buckets[*home].take(now, tokens, tokens) > 0.0 {
                return true;
            }
        }
        let mut taken_tokens = Vec::new();
        let mut missing = tokens;
        for home in &homes {
            self.calls += 1.0;
            let taken = self.buckets[*home].take(now, missing, 1.0);
            missing -= taken;
            taken_tokens.push((*home, taken));
        }
        if missing > 0.0 {
            taken_tokens.iter().for_each(|(home, taken)| self.buckets[*home].refund(now, *taken));
        }
        missing <= 0.0
    }
}

//! Sharing a customer's rate: homes that hold parts, against an even split over all instances
//! and grants from one row.

use std::time::Duration;

use policy::bucket::TokenBucket;
use policy::rate_shares::{RATE_HOMES, UNLISTED_WAIT};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::fleet::ChoreError;
use crate::measure::report::FigureTable;

const INSTANCES: usize = 8;
/// Tokens a second.
const RATE: f64 = 20_000.0;
const BURST: f64 = 100_000.0;
/// Tokens of one request.
const COST: std::ops::Range<f64> = 500.0..3_500.0;
/// The share of its rate that the customer uses.
const USE: f64 = 0.8;
/// One instance gets this many times the traffic of another.
const SKEW: f64 = 4.0;
const LENGTH_S: f64 = 1_800.0;
const LOST_AT: f64 = 300.0;
/// How long the platform lists an instance that is gone.
const LIST_LAG: Duration = Duration::from_secs(9);
/// How long a request waits for tokens.
const PATIENCE_S: f64 = 1.0;
/// An outage of the table.
const OUTAGE: std::ops::Range<f64> = 900.0..1_080.0;
/// A grant covers this much time at the whole rate.
const GRANT_S: f64 = 0.5;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Sharing {
    Homes,
    EvenSplit,
    GrantsFromOneRow,
}

pub(crate) fn run(seeds: u64) -> Result<(), ChoreError> {
    let columns = ["refused_percent", "overshoot_tokens", "writes_per_s", "asks_per_request"];
    let mut table = FigureTable::new("rate", &columns);
    let cases = [
        ("homes, all well", Sharing::Homes, false),
        ("homes, one lost, table out", Sharing::Homes, true),
        ("even split, all well", Sharing::EvenSplit, false),
        ("even split, one lost, table out", Sharing::EvenSplit, true),
        ("grants, all well", Sharing::GrantsFromOneRow, false),
        ("grants, one lost, table out", Sharing::GrantsFromOneRow, true),
    ];
    for (name, sharing, trouble) in cases {
        let runs: Vec<Vec<f64>> = (0..seeds).map(|it| simulate(sharing, trouble, it)).collect();
        table.push_runs(name, &runs);
    }
    table.finish()
}

struct World {
    sharing: Sharing,
    buckets: Vec<TokenBucket>,
    /// Until when the part of a lost home is nobody's.
    stranded: Option<(usize, f64)>,
    /// What each instance still has of its grant.
    grants: Vec<f64>,
    row: TokenBucket,
    writes: f64,
    asks: f64,
}

fn simulate(sharing: Sharing, trouble: bool, seed: u64) -> Vec<f64> {
    let mut random = StdRng::seed_from_u64(seed);
    let parts = match sharing {
        Sharing::Homes => RATE_HOMES,
        _ => INSTANCES,
    };
    let share = 1.0 / parts as f64;
    let mut world = World {
        sharing,
        buckets: vec![TokenBucket::full(Duration::ZERO, BURST * share, RATE * share); parts],
        stranded: None,
        grants: vec![0.0; INSTANCES],
        row: TokenBucket::full(Duration::ZERO, BURST, RATE),
        writes: 0.0,
        asks: 0.0,
    };
    let (mut now, mut asked, mut refused) = (0.0, 0.0, 0.0);
    let (mut excess, mut worst, mut last) = (0.0_f64, f64::MIN, 0.0);
    let mut lost = false;
    let mean = (COST.start + COST.end) / 2.0;
    while now < LENGTH_S {
        now += -random.random::<f64>().ln() / (RATE * USE / mean);
        if trouble && now > LOST_AT && !lost {
            lost = true;
            world.lose(now, share);
        }
        let alive = if lost { INSTANCES - 1 } else { INSTANCES };
        let skewed = random.random::<f64>() < SKEW / (SKEW + alive as f64 - 1.0);
        let instance = if skewed { 0 } else { random.random_range(1..alive) };
        let table_up = !(trouble && OUTAGE.contains(&now));
        let cost = random.random_range(COST).floor();
        asked += 1.0;
        let mut served = false;
        // It waits a little, as the daemon does.
        let mut at = now;
        while !served && at <= now + PATIENCE_S {
            served = world.take(at, instance, cost, table_up);
            at += 0.1;
        }
        if served {
            excess = (excess - RATE * (now - last)).max(0.0) + cost;
            worst = worst.max(excess - BURST);
            last = now;
        } else {
            refused += 1.0;
        }
    }
    vec![100.0 * refused / asked, worst.max(0.0), world.writes / LENGTH_S, world.asks / asked]
}

impl World {
    /// The last instance is lost; in the worst case it was a home.
    fn lose(&mut self, now: f64, share: f64) {
        let wait = (LIST_LAG + UNLISTED_WAIT).as_secs_f64();
        match self.sharing {
            Sharing::Homes => {
                self.stranded = Some((0, now + wait));
                let clock = Duration::from_secs_f64(now + wait);
                // Whoever takes it over begins with nothing.
                self.buckets[0] = TokenBucket::empty(clock, BURST * share, RATE * share);
                self.writes += 1.0;
            }
            // Its eighth is lost until operators split anew.
            Sharing::EvenSplit => {}
            Sharing::GrantsFromOneRow => self.grants[INSTANCES - 1] = 0.0,
        }
    }

    fn take(&mut self, at: f64, instance: usize, cost: f64, table_up: bool) -> bool {
        let clock = Duration::from_secs_f64(at);
        match self.sharing {
            Sharing::Homes => self.take_from_homes(at, instance, cost),
            Sharing::EvenSplit => self.buckets[instance].take(clock, cost, cost) > 0.0,
            Sharing::GrantsFromOneRow => {
                if self.grants[instance] < cost && table_up {
                    let wanted = (RATE * GRANT_S / INSTANCES as f64).max(cost);
                    self.writes += 1.0;
                    self.asks += 1.0;
                    self.grants[instance] += self.row.take(clock, wanted, 1.0);
                }
                let enough = self.grants[instance] >= cost;
                if enough {
                    self.grants[instance] -= cost;
                }
                enough
            }
        }
    }

    /// First all from one home, then pieces from both, as in the daemon.
    fn take_from_homes(&mut self, at: f64, instance: usize, cost: f64) -> bool {
        let clock = Duration::from_secs_f64(at);
        let open: Vec<usize> = (0..self.buckets.len())
            .filter(|it| self.stranded.is_none_or(|(lost, until)| lost != *it || at >= until))
            .collect();
        let first = instance % open.len();
        let order: Vec<usize> = (0..open.len()).map(|it| open[(first + it) % open.len()]).collect();
        for home in &order {
            self.asks += 1.0;
            if self.buckets[*home].take(clock, cost, cost) > 0.0 {
                return true;
            }
        }
        let mut takings = Vec::new();
        let mut missing = cost;
        for home in &order {
            self.asks += 1.0;
            let taken = self.buckets[*home].take(clock, missing, 1.0);
            missing -= taken;
            takings.push((*home, taken));
        }
        if missing > 0.0 {
            takings.iter().for_each(|(home, taken)| self.buckets[*home].refund(clock, *taken));
        }
        missing <= 0.0
    }
}

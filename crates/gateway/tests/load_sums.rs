//! The summed loads of all daemons equal the sum of their latest reports, and keeping them costs the
//! same for one replica however large the fleet is.

mod fixtures;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use fixtures::entry;
use gateway::config::TargetEntry;
use gateway::fleet::FleetTable;
use gateway::peer_message::{TargetLoad, WeightStatus};
use gateway::replica::LoadCount;
use policy::rendezvous;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const START: Duration = Duration::from_secs(30);
/// How long a report counts.
const REPORT_TTL: Duration = Duration::from_secs(2);
const REPLICAS: usize = 8;
const PEERS: u64 = 5;

fn replica_name(number: usize) -> String {
    format!("r-{number}")
}

fn fleet_of(replicas: usize) -> FleetTable {
    let mut fleet = FleetTable::new("a".parse().expect("an id"), fixtures::TIMEOUTS);
    fleet.apply_listing(Duration::ZERO, &listing_of(replicas));
    fleet
}

fn listing_of(replicas: usize) -> Vec<TargetEntry> {
    (0..replicas).map(|it| entry(&replica_name(it), false)).collect()
}

fn load_of(running: u32) -> LoadCount {
    LoadCount { running, pending_tokens: u64::from(running) * 7, ..LoadCount::default() }
}

fn target_load(replica: usize, running: u32) -> TargetLoad {
    TargetLoad::new(rendezvous::hash_member(&replica_name(replica)), load_of(running))
}

/// The latest report of each peer, as a plain table: when it came, and its loads by replica.
type ReportModel = BTreeMap<u64, (Duration, BTreeMap<usize, u32>)>;

/// The sum of a replica's loads over all reports that count at `now`, without one peer's.
fn model_sum(model: &ReportModel, now: Duration, replica: usize, without: u64) -> u32 {
    let reports = model.iter().filter(|(peer, it)| **peer != without && now < it.0 + REPORT_TTL);
    reports.filter_map(|(_, it)| it.1.get(&replica)).sum()
}

#[test]
fn sums_equal_those_of_the_latest_reports() {
    for seed in 0..200 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut fleet = fleet_of(REPLICAS);
        let mut model = ReportModel::new();
        let mut now = START;
        for _ in 0..60 {
            now += Duration::from_millis(random.random_range(0..900));
            let peer = random.random_range(0..PEERS);
            let count = random.random_range(0..REPLICAS);
            let changes: BTreeMap<usize, u32> = (0..count)
                .map(|_| (random.random_range(0..REPLICAS), random.random_range(0..4)))
                .collect();
            let loads: Vec<TargetLoad> =
                changes.iter().map(|(replica, running)| target_load(*replica, *running)).collect();
            // A report that was overtaken on the way.
            let late = random.random_bool(0.2);
            let at = if late { now.saturating_sub(Duration::from_secs(1)) } else { now };
            fleet.sweep(now);
            model.retain(|_, it| now < it.0 + REPORT_TTL);
            let overtaken = model.get(&peer).is_some_and(|it| it.0 > at);
            if random.random_bool(0.5) {
                fleet.record_peer_loads(at, peer, &loads);
                if !overtaken {
                    model.insert(peer, (at, changes));
                }
            } else {
                fleet.record_load_changes(at, peer, &loads);
                if !overtaken {
                    let known = model.entry(peer).or_default();
                    known.0 = at;
                    known.1.extend(changes);
                }
            }
            for replica in 0..REPLICAS {
                let id = replica_name(replica).parse().expect("an id");
                let found = fleet.get(&id).expect("it is listed");
                let expected = model_sum(&model, now, replica, u64::MAX);
                assert_eq!(fleet.load(now, found), load_of(expected), "seed {seed}");
            }
            let child = random.random_range(0..PEERS);
            let excluding: BTreeMap<u64, u32> = fleet
                .loads_excluding(now, child)
                .iter()
                .map(|it| (it.member, it.load().running))
                .collect();
            for replica in 0..REPLICAS {
                let member = rendezvous::hash_member(&replica_name(replica));
                let found = excluding.get(&member).copied().unwrap_or(0);
                assert_eq!(found, model_sum(&model, now, replica, child), "seed {seed}");
            }
        }
    }
}

/// The time of the fastest of some runs, without the noise of other work on the machine.
fn fastest(mut run: impl FnMut()) -> Duration {
    let time = |run: &mut dyn FnMut()| {
        let started_at = Instant::now();
        run();
        started_at.elapsed()
    };
    (0..7).map(|_| time(&mut run)).min().unwrap_or_default()
}

/// The work of a hub for one round of reports of a fleet: loads of all daemons, the weights of all
/// replicas, a list in which one of them changed.
fn handle_round(fleet: &mut FleetTable, daemons: u64, replicas: usize) {
    for peer in 0..daemons {
        let loads: Vec<TargetLoad> =
            (0..4).map(|it| target_load((peer as usize * 31 + it) % replicas, 1)).collect();
        fleet.record_peer_loads(START, peer, &loads);
    }
    fleet.pause_unresponsive(START);
    for number in 0..replicas {
        let member = rendezvous::hash_member(&replica_name(number));
        let status = WeightStatus { member, incarnation: 1, loaded: 1, commanded: 0, accepted: 0 };
        fleet.merge_weight_status(START, status);
    }
    let mut listing = listing_of(replicas);
    listing[0].leaving = true;
    fleet.apply_listing(Duration::ZERO, &listing);
}

/// With eight times the daemons and replicas there are eight times the reports to handle. Work that
/// goes through all replicas for each of them would take sixty-four times as long.
#[test]
fn the_work_of_a_round_of_reports_grows_with_the_fleet_and_not_with_its_square() {
    let time = |daemons: u64, replicas: usize| {
        let mut fleet = fleet_of(replicas);
        fastest(|| handle_round(&mut fleet, daemons, replicas))
    };
    let (small, large) = (time(40, 400), time(320, 3_200));
    let ratio = large.as_secs_f64() / small.as_secs_f64();
    println!("{small:?} for 40 daemons and 400 replicas, {large:?} for 320 and 3,200: {ratio:.1}");
    assert!(ratio < 24.0, "{ratio:.1}");
}

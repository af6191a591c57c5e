//! Two daemons pace a replica that is new to both of them, and follow each other's reports.

mod fixtures;

use std::time::Duration;

use fixtures::entry;
use gateway::fleet::FleetTable;
use gateway::placement::{PlacedTarget, PlacementQuery, ReleaseFilter};
use gateway::recovery_pace::FleetPosition;
use rstest::rstest;

const NOW: Duration = Duration::from_secs(30);

fn fleet_with_new_replica(position: Option<FleetPosition>) -> FleetTable {
    let mut fleet = FleetTable::new("a".parse().expect("an id"), fixtures::TIMEOUTS);
    fleet.set_pacing(position);
    fleet.apply_listing(Duration::ZERO, &[entry("r-1", false)]);
    fleet.sweep(NOW);
    fleet.apply_listing(Duration::ZERO, &[entry("r-1", false), entry("r-2", false)]);
    fleet
}

fn two_daemons() -> [FleetTable; 2] {
    [0, 1].map(|rank| {
        let position = FleetPosition { rank, daemons: 2, clock_start: Duration::from_secs(9) };
        fleet_with_new_replica(Some(position))
    })
}

fn place(fleet: &mut FleetTable, now: Duration, replica: &str) -> Vec<PlacedTarget> {
    let pool = "desk".parse().expect("an id");
    let other = if replica == "r-1" { "r-2" } else { "r-1" };
    let excluded_targets = &[other.parse().expect("an id")];
    let releases = ReleaseFilter::Any;
    let query = PlacementQuery {
        pool: &pool,
        releases,
        excluded_targets,
        model: None,
        min_weights: 0,
        areas: &policy::home_areas::HomeAreas::Everywhere,
        home_store: None,
    };
    std::iter::from_fn(|| fleet.place_plain(now, query)).take(9).collect()
}

/// Guards against a pace that applies while it is off, or to replicas that a daemon finds running.
#[rstest]
#[case::off(None, "r-2")]
#[case::listed_before(Some(FleetPosition { rank: 0, daemons: 2, clock_start: NOW }), "r-1")]
fn other_replicas_are_not_paced(#[case] position: Option<FleetPosition>, #[case] replica: &str) {
    let mut fleet = fleet_with_new_replica(position);
    assert_eq!(place(&mut fleet, NOW, replica).len(), 9);
}

/// Guards against one cautious request from each daemon, and against a replica that none may use.
#[test]
fn a_new_replica_gets_one_request_of_all_daemons() {
    let mut fleets = two_daemons();
    for step in 0..100 {
        let now = NOW + Duration::from_millis(10 * step);
        let placed = fleets.each_mut().map(|it| place(it, now, "r-2"));
        assert_eq!(placed.iter().flatten().count(), 1);
        for (fleet, placed) in fleets.iter_mut().zip(&placed) {
            placed.iter().for_each(|it| fleet.release(it, true));
        }
    }
}

/// Guards against a pace that only the daemon follows which saw the answer or the failure.
#[test]
fn daemons_follow_each_others_paces() {
    let mut fleets = two_daemons();
    let placed = fleets.each_mut().map(|it| place(it, NOW, "r-2"));
    let index = placed.iter().position(|it| !it.is_empty()).expect("one daemon may send");
    let later = NOW + Duration::from_millis(20);
    fleets[index].record_success(later, &placed[index][0]);
    fleets[index].release(&placed[index][0], true);
    let reports = fleets[index].pace_reports(later);
    fleets[1 - index].merge_paces(later, later, &reports);
    let placed = fleets.each_mut().map(|it| place(it, later, "r-2"));
    assert_eq!([placed[0].len(), placed[1].len()], [2, 2]);

    let later = later + Duration::from_millis(500);
    fleets[0].record_failure(later, &placed[0][0], true);
    let reports = fleets[0].pace_reports(later);
    fleets[1].merge_paces(later, later, &reports);
    assert!(place(&mut fleets[1], later, "r-2").is_empty());
}

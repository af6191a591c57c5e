//! What a daemon believes, and whom it tells.

mod fixtures;

use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

use fixtures::entry;
use gateway::cluster_view::ClusterView;
use gateway::config::{CallerLimits, ControlState, SiteConfig, WeightVersion};
use gateway::directory::{MemberEntry, Snapshot};
use gateway::members::MemberTable;
use ids::{Incarnation, Revision};
use policy::rendezvous;
use rstest::rstest;

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

fn config(revision: u64) -> SiteConfig {
    SiteConfig {
        revision: Revision(revision),
        routes: Vec::new(),
        pools: Default::default(),
        customers: Default::default(),
        keys: Default::default(),
        limits: CallerLimits { header_bytes: 1, body_bytes: 1, idle_time: ms(1) },
    }
}

fn named(version: u64, age: Option<Duration>) -> WeightVersion {
    WeightVersion { version, age }
}

fn control(config_revision: u64, weights: u64) -> ControlState {
    ControlState {
        config: Some(config(config_revision)),
        weights: [("m".into(), named(weights, None))].into_iter().collect(),
        rollouts: Default::default(),
    }
}

fn snapshot<T>(revision: u64, value: T) -> Snapshot<T> {
    Snapshot { revision: Revision(revision), store_time: Duration::ZERO, value }
}

#[rstest]
#[case::newer(9, 5, 9, 5)]
#[case::older_configuration(3, 5, 7, 5)]
#[case::older_weights(9, 2, 9, 4)]
fn orders_never_go_back(
    #[case] revision: u64,
    #[case] weights: u64,
    #[case] expected_revision: u64,
    #[case] expected_weights: u64,
) {
    let mut view = ClusterView::default();
    view.apply_control(ms(0), ms(0), ms(0), snapshot(10, control(7, 4)));
    view.apply_control(ms(1), ms(1), ms(0), snapshot(11, control(revision, weights)));
    assert_eq!(view.config().map(|it| it.revision.0), Some(expected_revision));
    assert_eq!(view.latest_weights("m").map(|it| it.0), Some(expected_weights));
}

#[test]
fn the_same_orders_have_the_same_mark_and_others_another() {
    let mark = |state| {
        let mut view = ClusterView::default();
        view.apply_control(ms(0), ms(0), ms(0), snapshot(10, state));
        view.control_hash()
    };
    assert_eq!(mark(control(7, 4)), mark(control(7, 4)));
    assert_ne!(mark(control(7, 4)), mark(control(8, 4)));
    assert_ne!(mark(control(7, 4)), mark(control(7, 5)));
}

#[test]
fn an_older_listing_does_not_bring_a_leaving_replica_back() {
    let mut view = ClusterView::default();
    view.apply_listing(ms(10), Revision(8), vec![entry("r", true)]);
    let change = view.apply_listing(ms(20), Revision(7), vec![entry("r", false)]);
    assert!(!change.any());
    assert!(view.listing().is_some_and(|it| it.entries[0].leaving && it.read_at == ms(10)));
}

fn member(number: u8) -> MemberEntry {
    MemberEntry {
        id: format!("d{number}").parse().expect("an id"),
        incarnation: Incarnation(1),
        address: IpAddr::V4(Ipv4Addr::new(127, 0, 1, number)),
        domain: "a".parse().expect("an id"),
        capacity: Default::default(),
    }
}

fn hash(entry: &MemberEntry) -> u64 {
    rendezvous::hash_member(entry.id.as_str())
}

/// The table of daemon `own` in a fleet where all run and are heard at `now`.
fn fleet(own: u8, count: u8, now: Duration) -> MemberTable {
    let mut table = MemberTable::new(member(own), Vec::new());
    for number in (0..count).filter(|it| *it != own) {
        let entry = member(number);
        table.add(now, &entry);
        table.record_alive(hash(&entry), now, false);
    }
    table
}

#[test]
fn a_small_fleet_tells_everyone() {
    let set = fleet(0, 8, ms(10)).gossip_peers(ms(10));
    assert_eq!((set.parent.len(), set.hubs.len(), set.children.len()), (0, 7, 0));
}

#[test]
fn in_a_large_fleet_hubs_tell_hubs_and_each_other_daemon_one_hub() {
    let mut hubs = 0;
    for own in 0..90 {
        let set = fleet(own, 90, ms(10)).gossip_peers(ms(10));
        match set.parent.len() {
            0 => {
                hubs += 1;
                assert_eq!(set.hubs.len(), 9);
            }
            up => assert_eq!((up, set.hubs.len()), (1, 0)),
        }
    }
    assert_eq!(hubs, 10);
}

#[test]
fn a_silent_hub_is_left_for_the_next() {
    let own = (0..90).find(|it| !fleet(*it, 90, ms(10)).is_hub(ms(10))).expect("not all are hubs");
    let mut table = fleet(own, 90, ms(10));
    let first = table.gossip_peers(ms(10)).parent;
    assert_eq!(table.gossip_peers(ms(500)).parent, first);
    let later = ms(900);
    for number in (0..90).filter(|it| *it != own) {
        table.record_alive(hash(&member(number)), later, false);
    }
    assert_ne!(table.gossip_peers(later).parent, first);
}

#[test]
fn news_of_another_hub_go_down_only() {
    let own = (0..90).find(|it| fleet(*it, 90, ms(10)).is_hub(ms(10))).expect("some hub");
    let mut table = fleet(own, 90, ms(10));
    let child = (0..90).map(member).find(|it| {
        let number = it.id.as_str()[1..].parse().unwrap_or(0);
        number != own && !fleet(number, 90, ms(10)).is_hub(ms(10))
    });
    let child = child.expect("some daemon is no hub");
    table.record_message(ms(10), &child, 1, true);
    let set = table.gossip_peers(ms(10));
    assert_eq!(set.forward_targets(Some(set.hubs[0])), [child.address]);
    assert_eq!(set.forward_targets(Some(child.address)).len(), 9);
    assert_eq!(set.forward_targets(None).len(), 10);
}

#[test]
fn a_daemon_that_did_not_answer_is_not_near_until_it_is_heard_later() {
    let mut table = fleet(0, 3, ms(10));
    let entry = member(1);
    table.mark_unresponsive(ms(20), &entry.id);
    table.record_alive(hash(&entry), ms(15), false);
    assert_eq!(table.reachable(ms(20)).count(), 1);
    table.record_alive(hash(&entry), ms(30), false);
    assert_eq!(table.reachable(ms(30)).count(), 2);
}

#[test]
fn all_daemons_name_the_same_home() {
    let customer = "c1".parse().expect("an id");
    let homes: Vec<_> = (0..8)
        .map(|own| {
            let home = fleet(own, 8, ms(10)).home(ms(10), &customer);
            home.map_or(format!("d{own}"), |it| it.id.to_string())
        })
        .collect();
    assert!(homes.windows(2).all(|it| it[0] == it[1]), "{homes:?}");
}

#[rstest]
#[case::before_any_is_due(6_000, 0)]
#[case::the_first_is_due(7_000, 2)]
#[case::the_second_is_due_though_a_third_is_new(10_500, 3)]
fn weights_older_than_a_version_that_is_due_get_nothing(#[case] now: u64, #[case] least: u64) {
    let mut view = ClusterView::default();
    for (at, version) in [(1_000, 2), (4_200, 3), (10_400, 4)] {
        view.apply_control(ms(at), ms(at), ms(0), snapshot(at, control(1, version)));
    }
    assert_eq!(view.min_weights("m", ms(now), ms(5_600)), least);
}

#[rstest]
#[case::most_are_heard(6, 7)]
#[case::cut_off_from_most(2, 8)]
fn only_a_daemon_that_reaches_most_forgets_the_others(#[case] heard: u8, #[case] most: usize) {
    let mut table = fleet(0, 8, ms(10));
    let later = ms(20_000);
    for number in 1..=heard {
        table.record_alive(hash(&member(number)), later, false);
    }
    table.sweep(later);
    assert_eq!(table.fleet_size(), most);
}

#[test]
fn a_daemon_that_has_just_started_counts_its_seeds_among_those_that_spend() {
    let seeds = (1..4).map(|it| member(it).address).collect();
    assert_eq!(MemberTable::new(member(0), seeds).fleet_size(), 3);
}

#[test]
fn a_daemon_that_knows_few_counts_those_that_its_peers_know() {
    let mut table = fleet(0, 3, ms(10));
    assert_eq!(table.reachable_share(ms(10)), 1.0);
    table.record_message(ms(10), &member(1), 90, false);
    table.record_message(ms(10), &member(2), 12, false);
    assert_eq!((table.known_count(), table.fleet_size()), (3, 90));
    // It grants a customer's rate for the daemons that it reaches, not for those that it knows.
    assert_eq!(table.reachable_share(ms(10)), 3.0 / 90.0);
    table.record_message(ms(20), &member(1), 3, false);
    assert_eq!(table.fleet_size(), 12);
}

#[rstest]
#[case::no_other_is_named(&[0], false, true)]
#[case::others_are_named_and_not_heard(&[0, 1], false, false)]
#[case::others_are_heard(&[0, 1], true, true)]
fn a_daemon_knows_its_fleet_once_it_hears_others_or_none_are_named(
    #[case] seeds: &[u8],
    #[case] heard: bool,
    #[case] known: bool,
) {
    let seeds = seeds.iter().map(|it| member(*it).address).collect();
    let mut table = MemberTable::new(member(0), seeds);
    if heard {
        table.add(ms(10), &member(1));
        table.record_alive(hash(&member(1)), ms(10), false);
    }
    assert_eq!(table.knows_fleet_size(ms(10)), known);
}

/// Older weights are due 5.6 s after newer ones were named, whoever heard of them when.
#[rstest]
#[case::heard_while_running(ms(0), None, 10_000, 0)]
#[case::found_at_the_start(ms(3_500), None, 10_000 + 2_099, 0)]
#[case::found_at_the_start_and_due(ms(3_500), None, 10_000 + 2_100, 2)]
#[case::told_by_a_peer_that_knows(ms(3_500), Some(ms(9_000)), 10_000, 2)]
#[case::told_by_a_peer_that_heard_later(ms(3_500), Some(ms(100)), 10_000 + 2_100, 2)]
fn the_age_of_weights_outlives_a_restart(
    #[case] unknown_age: Duration,
    #[case] told: Option<Duration>,
    #[case] now: u64,
    #[case] least: u64,
) {
    let mut view = ClusterView::default();
    view.apply_control(ms(10_000), ms(10_000), unknown_age, snapshot(5, control(1, 2)));
    if told.is_some() {
        let state = ControlState {
            weights: [("m".into(), named(2, told))].into_iter().collect(),
            ..control(1, 2)
        };
        view.apply_control(ms(10_000), ms(10_000), ms(0), snapshot(5, state));
    }
    assert_eq!(view.min_weights("m", ms(now), ms(5_600)), least);
    // What it tells others is no younger than what it was told.
    let told_on = view.control(ms(10_000)).weights["m"].age.expect("it knows");
    assert!(told_on >= unknown_age.max(told.unwrap_or_default()));
}

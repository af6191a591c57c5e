//! A daemon's copy of the shared state, and which daemons report to which.

mod fixtures;

use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

use fixtures::entry;
use gateway::cluster_view::{ClusterView, UnseenVersion};
use gateway::config::{CallerLimits, ControlState, SiteConfig, WeightVersion};
use gateway::directory::{MemberEntry, Snapshot};
use gateway::members::MemberTable;
use gateway::peer_message::{self, PeerMessage};
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
        regions: Default::default(),
    }
}

fn published(version: u64, age: Option<Duration>) -> WeightVersion {
    WeightVersion { version, age }
}

fn control(config_revision: u64, weights: u64) -> ControlState {
    ControlState {
        config: Some(config(config_revision)),
        weights: [("m".into(), published(weights, None))].into_iter().collect(),
        rollouts: Default::default(),
        superseded_weights: Default::default(),
        evacuated: None,
    }
}

fn unseen(initial_age: Duration) -> UnseenVersion {
    UnseenVersion { initial_age, max_gap: ms(2_000) }
}

fn snapshot<T>(revision: u64, value: T) -> Snapshot<T> {
    Snapshot { revision: Revision(revision), store_time: Duration::ZERO, value }
}

#[rstest]
#[case::newer(9, 5, 9, 5)]
#[case::older_configuration(3, 5, 7, 5)]
#[case::older_weights(9, 2, 9, 4)]
fn control_state_never_returns_to_an_older_revision(
    #[case] revision: u64,
    #[case] weights: u64,
    #[case] expected_revision: u64,
    #[case] expected_weights: u64,
) {
    let mut view = ClusterView::default();
    view.apply_control(ms(0), ms(0), unseen(ms(0)), snapshot(10, control(7, 4)));
    view.apply_control(ms(1), ms(1), unseen(ms(0)), snapshot(11, control(revision, weights)));
    assert_eq!(view.config().map(|it| it.revision.0), Some(expected_revision));
    assert_eq!(view.latest_weights("m").map(|it| it.0), Some(expected_weights));
}

#[test]
fn equal_control_states_have_equal_hashes_and_others_differ() {
    let control_hash = |state| {
        let mut view = ClusterView::default();
        view.apply_control(ms(0), ms(0), unseen(ms(0)), snapshot(10, state));
        view.control_hash()
    };
    assert_eq!(control_hash(control(7, 4)), control_hash(control(7, 4)));
    assert_ne!(control_hash(control(7, 4)), control_hash(control(8, 4)));
    assert_ne!(control_hash(control(7, 4)), control_hash(control(7, 5)));
}

#[test]
fn an_older_list_does_not_revive_a_leaving_replica() {
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

/// The table of daemon `own` in a fleet whose daemons are all reachable at `now`.
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
fn daemons_of_a_small_fleet_all_report_to_each_other() {
    let peers = fleet(0, 8, ms(10)).gossip_peers(ms(10));
    assert_eq!((peers.parent.len(), peers.hubs.len(), peers.children.len()), (0, 7, 0));
}

#[test]
fn in_a_large_fleet_hubs_report_to_hubs_and_others_to_one_hub() {
    let mut hubs = 0;
    for own in 0..90 {
        let peers = fleet(own, 90, ms(10)).gossip_peers(ms(10));
        match peers.parent.len() {
            0 => {
                hubs += 1;
                assert_eq!(peers.hubs.len(), 9);
            }
            parents => assert_eq!((parents, peers.hubs.len()), (1, 0)),
        }
    }
    assert_eq!(hubs, 10);
}

/// Daemons that start together may find only each other at first.
#[test]
fn a_hub_that_reaches_few_daemons_turns_to_those_that_should_be_hubs() {
    let expected: Vec<u8> = (0..90).filter(|it| fleet(*it, 90, ms(10)).is_hub(ms(10))).collect();
    let own = expected[0];
    let mut table = fleet(own, 90, ms(10));
    let later = ms(5_000);
    for number in (0..90).filter(|it| *it % 30 == 0) {
        table.record_alive(hash(&member(number)), later, false);
    }
    let mut addresses = Vec::new();
    for round in 0..4 {
        let peers = table.gossip_peers(later + ms(250 * round));
        assert!(peers.lost_hubs.len() <= 3, "a round costs little");
        addresses.extend(peers.lost_hubs);
    }
    for number in expected.into_iter().filter(|it| *it != own && it % 30 != 0) {
        assert!(addresses.contains(&member(number).address), "{number}");
    }
    // Nothing is lost while all are reachable.
    assert!(fleet(own, 90, ms(10)).gossip_peers(ms(10)).lost_hubs.is_empty());
}

#[test]
fn a_daemon_leaves_a_silent_hub_for_another_one() {
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
fn changes_from_another_hub_are_forwarded_to_children_only() {
    let own = (0..90).find(|it| fleet(*it, 90, ms(10)).is_hub(ms(10))).expect("some hub");
    let mut table = fleet(own, 90, ms(10));
    let child = (0..90).map(member).find(|it| {
        let number = it.id.as_str()[1..].parse().unwrap_or(0);
        number != own && !fleet(number, 90, ms(10)).is_hub(ms(10))
    });
    let child = child.expect("some daemon is no hub");
    table.record_message(ms(10), &child, 1, true);
    let peers = table.gossip_peers(ms(10));
    assert_eq!(peers.forward_targets(Some(peers.hubs[0])), [child.address]);
    assert_eq!(peers.forward_targets(Some(child.address)).len(), 9);
    assert_eq!(peers.forward_targets(None).len(), 10);
}

#[test]
fn an_unresponsive_daemon_is_unreachable_until_a_later_sign_of_life() {
    let mut table = fleet(0, 3, ms(10));
    let entry = member(1);
    table.mark_unresponsive(ms(20), &entry.id);
    table.record_alive(hash(&entry), ms(15), false);
    assert_eq!(table.reachable(ms(20)).count(), 1);
    table.record_alive(hash(&entry), ms(30), false);
    assert_eq!(table.reachable(ms(30)).count(), 2);
}

#[test]
fn all_daemons_select_the_same_home_for_a_customer() {
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
#[case::no_version_is_due(6_000, 0)]
#[case::the_first_version_is_due(7_000, 2)]
#[case::the_second_version_is_due_and_a_third_is_new(10_500, 3)]
fn weights_older_than_a_due_version_are_not_used(#[case] now: u64, #[case] expected: u64) {
    let mut view = ClusterView::default();
    for (at, version) in [(1_000, 2), (4_200, 3), (10_400, 4)] {
        view.apply_control(ms(at), ms(at), unseen(ms(0)), snapshot(at, control(1, version)));
    }
    assert_eq!(view.min_weights("m", ms(now), ms(5_600)), expected);
}

#[rstest]
#[case::most_are_reachable(6, 7)]
#[case::most_are_unreachable(2, 8)]
fn only_a_daemon_that_reaches_most_forgets_unreachable_ones(
    #[case] reachable: u8,
    #[case] fleet_size: usize,
) {
    let mut table = fleet(0, 8, ms(10));
    let later = ms(20_000);
    for number in 1..=reachable {
        table.record_alive(hash(&member(number)), later, false);
    }
    table.sweep(later);
    assert_eq!(table.fleet_size(), fleet_size);
}

#[test]
fn a_new_daemon_counts_its_seeds_in_the_fleet_size() {
    let seeds = (1..4).map(|it| member(it).address).collect();
    assert_eq!(MemberTable::new(member(0), seeds).fleet_size(), 3);
}

#[test]
fn the_fleet_size_is_the_largest_count_reported_by_a_peer() {
    let mut table = fleet(0, 3, ms(10));
    assert_eq!(table.reachable_share(ms(10)), 1.0);
    table.record_message(ms(10), &member(1), 90, false);
    table.record_message(ms(10), &member(2), 12, false);
    assert_eq!((table.known_count(), table.fleet_size()), (3, 90));
    // A home grants a customer's rate for the share of daemons that it reaches, which is less.
    assert_eq!(table.reachable_share(ms(10)), 3.0 / 90.0);
    table.record_message(ms(20), &member(1), 3, false);
    assert_eq!(table.fleet_size(), 12);
}

#[test]
fn the_share_of_a_keeper_leaves_out_daemons_whose_hub_takes_another_one_for_it() {
    let now = ms(10);
    let mut table = fleet(0, 8, now);
    let key = (0..).find(|it| table.keeper(now, *it).is_none()).expect("a key of its own");
    assert_eq!(table.keeper_share(now, key), 1.0);
    for number in 1..4 {
        table.record_covered(hash(&member(number)), Some(hash(&member(1))));
    }
    assert_eq!(table.keeper_share(now, key), 1.0);
    table.record_hubs(hash(&member(1)), [hash(&member(1))].into());
    assert_eq!(table.keeper_share(now, key), 5.0 / 8.0);
    // The others are asked in its place, and this daemon reaches them still.
    assert_eq!(table.reachable_share(now), 1.0);
}

#[rstest]
#[case::no_other_daemon_is_a_seed(&[0], false, true)]
#[case::seeds_are_unreachable(&[0, 1], false, false)]
#[case::seeds_are_reachable(&[0, 1], true, true)]
fn the_fleet_size_is_known_once_others_are_reachable_or_there_are_no_seeds(
    #[case] seeds: &[u8],
    #[case] reachable: bool,
    #[case] known: bool,
) {
    let seeds = seeds.iter().map(|it| member(*it).address).collect();
    let mut table = MemberTable::new(member(0), seeds);
    if reachable {
        table.add(ms(10), &member(1));
        table.record_alive(hash(&member(1)), ms(10), false);
    }
    assert_eq!(table.knows_fleet_size(ms(10)), known);
}

/// Older weights are not used any more 5.6 s after newer ones were published, whenever a daemon
/// learned of it. A daemon that finds a version at its start does not know how old it is, unless a
/// peer reports it.
#[rstest]
#[case::published_while_running(ms(0), None, 10_000, 0)]
#[case::found_at_start_and_not_due(ms(3_500), None, 10_000 + 2_099, 0)]
#[case::found_at_start_and_due(ms(3_500), None, 10_000 + 2_100, 2)]
#[case::a_peer_knows_the_age(ms(3_500), Some(ms(9_000)), 10_000, 2)]
#[case::a_peer_knows_a_smaller_age(ms(3_500), Some(ms(100)), 10_000 + 2_100, 2)]
fn the_age_of_weights_survives_a_restart(
    #[case] initial_age: Duration,
    #[case] reported_age: Option<Duration>,
    #[case] now: u64,
    #[case] expected: u64,
) {
    let mut view = ClusterView::default();
    view.apply_control(ms(10_000), ms(10_000), unseen(initial_age), snapshot(5, control(1, 2)));
    if reported_age.is_some() {
        let state = ControlState {
            weights: [("m".into(), published(2, reported_age))].into_iter().collect(),
            ..control(1, 2)
        };
        view.apply_control(ms(10_000), ms(10_000), unseen(ms(0)), snapshot(5, state));
    }
    assert_eq!(view.min_weights("m", ms(now), ms(5_600)), expected);
    // The age that it forwards is no less than the one that was reported to it.
    let forwarded_age = view.control(ms(10_000)).weights["m"].age.expect("it knows");
    assert!(forwarded_age >= initial_age.max(reported_age.unwrap_or_default()));
}

/// A message with the state that a daemon forwards, as its receiver decodes it.
fn forwarded(view: &ClusterView, now: u64) -> ControlState {
    let state = Box::new(view.control(ms(now)));
    let message = PeerMessage::Control(Revision(9), Duration::ZERO, state);
    let bytes = peer_message::encode(&message).expect("a message of this version");
    match peer_message::decode(&bytes) {
        Some((PeerMessage::Control(_, _, state), _)) => *state,
        other => panic!("{other:?}"),
    }
}

/// Versions may be published faster than they are loaded. The bound for each runs from its own
/// publication, also at a daemon that starts when it is superseded already.
#[rstest]
#[case::the_superseded_version_is_not_due(11_999, 0)]
#[case::the_superseded_version_is_due(12_000, 3)]
#[case::the_newest_version_is_due(16_400, 4)]
fn superseded_weights_are_due_in_time_after_a_restart(#[case] now: u64, #[case] expected: u64) {
    let mut running = ClusterView::default();
    for (at, version) in [(1_000, 1), (6_400, 3), (10_800, 4)] {
        running.apply_control(ms(at), ms(at), unseen(ms(0)), snapshot(at, control(1, version)));
    }
    let mut restarted = ClusterView::default();
    let at = 11_100;
    let state = forwarded(&running, at);
    restarted.apply_control(ms(at), ms(at), unseen(ms(3_500)), snapshot(9, state));
    // The next one to start hears it from this one.
    let mut last = ClusterView::default();
    let state = forwarded(&restarted, at + 100);
    last.apply_control(ms(at + 100), ms(at + 100), unseen(ms(3_500)), snapshot(9, state));
    for view in [running, restarted, last] {
        let due = view.min_weights("m", ms(now), ms(5_600)).max(1);
        assert_eq!(due, expected.max(1));
    }
}

/// A daemon that was cut off or stood still does not know when the version that it finds in the
/// store was published; peers that were not do.
#[rstest]
#[case::current_until_just_before(10_600, false, 16_599, 2)]
#[case::interrupted(6_000, true, 14_000, 4)]
fn a_daemon_that_was_interrupted_asks_peers_how_old_weights_are(
    #[case] confirmed_at: u64,
    #[case] asks: bool,
    #[case] now: u64,
    #[case] expected: u64,
) {
    let mut peer = ClusterView::default();
    let mut view = ClusterView::default();
    for it in [&mut peer, &mut view] {
        it.apply_control(ms(1), ms(1), unseen(ms(0)), snapshot(5, control(1, 2)));
    }
    peer.apply_control(ms(8_400), ms(8_400), unseen(ms(0)), snapshot(7, control(1, 4)));
    view.confirm_control(Revision(5), ms(confirmed_at));
    view.apply_control(ms(11_000), ms(11_000), unseen(ms(0)), snapshot(7, control(1, 4)));
    assert_eq!(view.asks_for_ages(), asks);
    if asks {
        // A report without a summary is answered with the whole state.
        let state = forwarded(&peer, 11_200);
        view.apply_control(ms(11_200), ms(11_200), unseen(ms(0)), snapshot(7, state));
        assert!(!view.asks_for_ages());
    }
    assert_eq!(view.min_weights("m", ms(now), ms(5_600)), expected);
}

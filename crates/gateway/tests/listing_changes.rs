//! Daemons tell each other what changed, so that their messages grow with the changes and not with
//! the fleet.

mod fixtures;

use std::time::Duration;

use fixtures::entry;
use gateway::cluster_view::{ClusterView, TargetListing};
use gateway::config::TargetEntry;
use gateway::fleet::FleetTable;
use gateway::listing_change::{self, ListingUpdate};
use gateway::peer_message::{
    self, GossipExtension, ListingChange, MAX_DATAGRAM_BYTES, PeerMessage, StateDigests,
    TargetLoad, WeightStatus,
};
use gateway::replica::LoadCount;
use ids::Revision;
use policy::rendezvous;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

const NOW: Duration = Duration::from_secs(30);

fn replica_name(number: usize) -> String {
    format!("i-{number:05}")
}

fn entries(replicas: impl Iterator<Item = usize>) -> Vec<TargetEntry> {
    replicas.map(|it| entry(&replica_name(it), false)).collect()
}

/// The list of a daemon that has read these entries.
fn listing(revision: u64, entries: Vec<TargetEntry>) -> TargetListing {
    let mut view = ClusterView::default();
    view.apply_listing(NOW, Revision(revision), entries);
    view.listing().expect("it was read").clone()
}

fn partial(update: ListingUpdate) -> ListingChange {
    match update {
        ListingUpdate::Partial(change) => change,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_change_turns_the_list_before_into_the_list_after() {
    for seed in 0..300 {
        let mut random = StdRng::seed_from_u64(seed);
        let before: Vec<TargetEntry> = entries((0..40).filter(|_| random.random_bool(0.8)));
        let mut after = before.clone();
        for _ in 0..random.random_range(0..4) {
            let at = random.random_range(0..after.len());
            match random.random_range(0..3) {
                0 => after[at].leaving = true,
                1 => drop(after.remove(at)),
                _ => after.push(entry(&replica_name(random.random_range(40..60)), false)),
            }
        }
        after.sort_by(|left, right| left.id.as_str().cmp(right.id.as_str()));
        after.dedup_by(|left, right| left.id == right.id);
        let (before, after) = (listing(1, before), listing(2, after));
        match listing_change::compare(&before, &after, Duration::ZERO) {
            ListingUpdate::Unchanged => assert_eq!(before.entries, after.entries),
            ListingUpdate::Whole => panic!("few entries changed"),
            ListingUpdate::Partial(change) => {
                let applied = listing_change::apply(&before, &change);
                assert_eq!(applied.as_deref(), Some(&*after.entries), "seed {seed}");
            }
        }
    }
}

#[test]
fn a_change_of_another_list_is_not_applied() {
    let before = listing(1, entries(0..20));
    let after = listing(2, entries(0..19));
    let change = partial(listing_change::compare(&before, &after, Duration::ZERO));
    assert_eq!(listing_change::apply(&after, &change), None);
    assert_eq!(listing_change::apply(&listing(1, entries(1..21)), &change), None);
    // A change that was damaged on its way gives another list than its sender has.
    let damaged = ListingChange { removed: Vec::new(), ..change };
    assert_eq!(listing_change::apply(&before, &damaged), None);
}

#[test]
fn a_list_of_which_much_changed_is_sent_whole() {
    let before = listing(1, entries(0..30));
    let after = listing(2, entries(0..15));
    let update = listing_change::compare(&before, &after, Duration::ZERO);
    assert_eq!(update, ListingUpdate::Whole);
}

/// At the size to design for, the whole list does not fit into a datagram.
#[rstest]
#[case(100)]
#[case(6_400)]
fn the_message_for_one_changed_replica_has_the_same_length_in_any_fleet(#[case] replicas: usize) {
    let before = entries(0..replicas);
    let mut after = before.clone();
    after[replicas / 2].leaving = true;
    let (before, after) = (listing(1, before), listing(2, after));
    let change = partial(listing_change::compare(&before, &after, Duration::ZERO));
    let bytes = peer_message::encode(&PeerMessage::ListingChange(change)).expect("a message");
    assert!(bytes.len() < 120, "{} bytes", bytes.len());
    let whole = PeerMessage::Listing(Revision(2), Duration::ZERO, after.entries.to_vec());
    let whole = peer_message::encode(&whole).expect("a message");
    assert_eq!(whole.len() > MAX_DATAGRAM_BYTES, replicas == 6_400);
}

fn target_load(replica: usize, running: u32) -> TargetLoad {
    let load = LoadCount { running, ..LoadCount::default() };
    TargetLoad::new(rendezvous::hash_member(&replica_name(replica)), load)
}

fn fleet_of(replicas: usize) -> FleetTable {
    let mut fleet = FleetTable::new("a".parse().expect("an id"), fixtures::TIMEOUTS);
    fleet.apply_listing(Duration::ZERO, &entries(0..replicas));
    fleet
}

/// A child that gets the changes of each period knows what one knows that gets all loads.
#[test]
fn a_child_that_gets_changes_knows_all_loads() {
    let mut random = StdRng::seed_from_u64(3);
    let (mut hub, mut child) = (fleet_of(50), fleet_of(50));
    let mut now = NOW;
    child.record_peer_loads(now, 0, &hub.loads_excluding(now, 9));
    for _ in 0..200 {
        now += Duration::from_millis(100);
        hub.begin_report_period(now);
        for peer in 1..8 {
            let loads: Vec<TargetLoad> = (0..random.random_range(0..4))
                .map(|_| target_load(random.random_range(0..50), random.random_range(0..3)))
                .collect();
            // Some come before the report to the child and some after it.
            if random.random_bool(0.5) {
                hub.record_peer_loads(now, peer, &loads);
            }
        }
        child.record_load_changes(now, 0, &hub.changed_loads_excluding(now, 9));
        for peer in 1..8 {
            if random.random_bool(0.3) {
                hub.record_peer_loads(now, peer, &[target_load(random.random_range(0..50), 1)]);
            }
        }
        hub.begin_report_period(now);
        child.record_load_changes(now, 0, &hub.changed_loads_excluding(now, 9));
        for replica in hub.replicas() {
            let known = child.get(&replica.entry.id).expect("it is listed");
            assert_eq!(child.load(now, known), hub.load(now, replica));
        }
    }
}

#[rstest]
#[case(100)]
#[case(6_400)]
fn loads_of_a_period_grow_with_the_requests_and_not_with_the_replicas(#[case] replicas: usize) {
    let mut hub = fleet_of(replicas);
    let all: Vec<TargetLoad> = (0..replicas).map(|it| target_load(it, 1)).collect();
    hub.record_peer_loads(NOW, 1, &all);
    hub.begin_report_period(NOW);
    hub.begin_report_period(NOW);
    let mut next = all.clone();
    (0..20).for_each(|it| next[it] = target_load(it, 2));
    hub.record_peer_loads(NOW, 1, &next);
    assert_eq!(hub.changed_loads_excluding(NOW, 9).len(), 20);
    assert_eq!(hub.loads_excluding(NOW, 9).len(), replicas);
}

#[test]
fn daemons_with_the_same_weights_have_the_same_digest() {
    let member = rendezvous::hash_member(&replica_name(0));
    let status = WeightStatus { member, incarnation: 1, loaded: 1, commanded: 0, accepted: 0 };
    let (mut left, mut right) = (fleet_of(3), fleet_of(3));
    assert_eq!(left.weights_digest(), right.weights_digest());
    left.merge_weight_status(NOW, status);
    assert_ne!(left.weights_digest(), right.weights_digest());
    // One of them has not heard of the command, which is done.
    right.merge_weight_status(NOW, WeightStatus { loaded: 0, commanded: 1, ..status });
    right.merge_weight_status(NOW, status);
    assert_eq!(left.weights_digest(), right.weights_digest());
    left.merge_weight_status(NOW, WeightStatus { commanded: 2, accepted: 1, ..status });
    assert_ne!(left.weights_digest(), right.weights_digest());
}

/// A daemon of the version before reads a report and ignores what follows it, and its own report
/// has nothing behind it.
#[test]
fn reports_are_understood_with_and_without_what_follows_them() {
    let report = fixtures::report();
    let extension = GossipExtension {
        reachable: 3,
        loads_are_changes: true,
        digests: StateDigests { weights: 1, members: 2 },
    };
    let plain = peer_message::encode(&PeerMessage::Gossip(Box::new(report.clone())));
    let plain = plain.expect("a message");
    let mut extended = report.clone();
    extended.extension = Some(extension);
    let extended_bytes = peer_message::encode(&PeerMessage::Gossip(Box::new(extended.clone())));
    let extended_bytes = extended_bytes.expect("a message");
    assert_eq!(extended_bytes[..plain.len()], plain);
    assert_eq!(peer_message::decode(&plain), Some((PeerMessage::Gossip(Box::new(report)), None)));
    let decoded = peer_message::decode(&extended_bytes);
    assert_eq!(decoded, Some((PeerMessage::Gossip(Box::new(extended)), None)));
}

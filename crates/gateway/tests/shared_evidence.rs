//! What daemons tell each other of replicas' answers, and what each makes of it.

mod fixtures;

use std::time::Duration;

use fixtures::entry;
use gateway::config::TargetEntry;
use gateway::fleet::FleetTable;
use gateway::peer_message::{TargetLoad, WeightStatus};
use gateway::replica::LoadCount;
use policy::rendezvous;
use policy::silence::AnswerCount;
use rstest::rstest;

const NOW: Duration = Duration::from_secs(30);

fn fleet_of_one() -> FleetTable {
    let mut fleet = FleetTable::new("a".parse().expect("an id"), Duration::from_secs(8));
    fleet.apply_listing(&[entry("r", false)]);
    fleet
}

fn told(answered: u32, failed: u32) -> Vec<TargetLoad> {
    let load = LoadCount { answers: AnswerCount { answered, failed }, ..LoadCount::default() };
    vec![TargetLoad::new(rendezvous::hash_member("r"), load)]
}

#[rstest]
#[case::one_failure_each(&[(0, 1), (0, 1), (0, 1)], false)]
#[case::too_few(&[(0, 1), (0, 1)], true)]
#[case::it_answers_one_of_them(&[(0, 2), (1, 0), (0, 2)], true)]
fn a_replica_that_answers_no_daemon_is_paused(
    #[case] peers: &[(u32, u32)],
    #[case] accepts_requests: bool,
) {
    let mut fleet = fleet_of_one();
    for (peer, (answered, failed)) in peers.iter().enumerate() {
        fleet.record_peer_loads(NOW, peer as u64, &told(*answered, *failed));
    }
    fleet.pause_unresponsive(NOW);
    let replica = fleet.replicas().next().expect("one is listed");
    assert_eq!(replica.accepts_requests(NOW), accepts_requests);
}

#[test]
fn a_paused_replica_is_tried_again() {
    let mut fleet = fleet_of_one();
    fleet.record_peer_loads(NOW, 1, &told(0, 5));
    fleet.pause_unresponsive(NOW);
    fleet.pause_unresponsive(NOW + Duration::from_millis(100));
    let replica = fleet.replicas().next().expect("one is listed");
    assert!(!replica.accepts_requests(NOW + Duration::from_millis(400)));
    assert!(replica.accepts_requests(NOW + Duration::from_millis(600)));
}

#[test]
fn what_peers_told_long_ago_pauses_nothing() {
    let mut fleet = fleet_of_one();
    fleet.record_peer_loads(NOW, 1, &told(0, 5));
    let later = NOW + Duration::from_secs(3);
    fleet.pause_unresponsive(later);
    assert!(fleet.replicas().all(|it| it.accepts_requests(later)));
}

#[test]
fn a_replica_that_came_back_does_not_leave_as_its_former_life_did() {
    let mut peer = fleet_of_one();
    peer.apply_listing(&[entry("r", true)]);
    let told = peer.leaving_replicas();
    let mut fleet = fleet_of_one();
    fleet.apply_leaving(&told);
    assert!(fleet.replicas().all(|it| it.leaving));
    let back = TargetEntry { incarnation: 2, ..entry("r", false) };
    fleet.apply_listing(&[back]);
    fleet.apply_leaving(&told);
    assert!(fleet.replicas().all(|it| it.accepts_requests(NOW)));
}

#[test]
fn a_hub_passes_on_what_others_saw_but_not_to_those_who_saw_it() {
    let mut hub = fleet_of_one();
    hub.record_peer_loads(NOW, 1, &told(0, 2));
    hub.record_peer_loads(NOW, 2, &told(0, 1));
    let mut child = fleet_of_one();
    child.record_peer_loads(NOW, 0, &hub.loads_excluding(NOW, 2));
    let replica = child.replicas().next().expect("one is listed");
    assert_eq!(child.load(NOW, replica).answers, AnswerCount { answered: 0, failed: 2 });
}

#[test]
fn weights_told_of_replicas_that_are_gone_are_forgotten() {
    let mut fleet = fleet_of_one();
    for incarnation in 2..50 {
        let news = WeightStatus { member: 7, incarnation, loaded: 1, ordered: 0, accepted: 0 };
        assert!(fleet.merge_weight_status(NOW, news));
    }
    fleet.sweep(NOW + Duration::from_secs(30));
    assert_eq!(fleet.reported_count(), 48);
    fleet.sweep(NOW + Duration::from_secs(61));
    assert_eq!(fleet.reported_count(), 0);
}

/// Its longest stream may hold an engine up for long; until it has loaded it would refuse all that
/// is sent to it.
#[rstest]
#[case::it_has_not_loaded(4, None, false)]
#[case::it_has_loaded(4, Some(2), true)]
#[case::the_order_must_have_been_lost(8, None, true)]
fn an_engine_under_order_gets_nothing_until_it_has_loaded(
    #[case] after_s: u64,
    #[case] loaded: Option<u64>,
    #[case] accepts_requests: bool,
) {
    let mut fleet = fleet_of_one();
    let member = rendezvous::hash_member("r");
    let news = WeightStatus { member, incarnation: 1, loaded: 1, ordered: 2, accepted: 1 };
    fleet.merge_weight_status(NOW, news);
    let later = NOW + Duration::from_secs(after_s);
    if let Some(loaded) = loaded {
        fleet.merge_weight_status(later, WeightStatus { loaded, ..news });
    }
    let replica = fleet.replicas().next().expect("one is listed");
    assert_eq!(replica.accepts_requests(later), accepts_requests);
}

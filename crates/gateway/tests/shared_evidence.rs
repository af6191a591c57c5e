//! What daemons report to each other about replicas, and how a daemon combines the reports.

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
    let mut fleet = FleetTable::new("a".parse().expect("an id"), fixtures::TIMEOUTS);
    fleet.apply_listing(Duration::ZERO, &[entry("r", false)]);
    fleet
}

fn reported_loads(answered: u32, failed: u32) -> Vec<TargetLoad> {
    let load = LoadCount { answers: AnswerCount { answered, failed }, ..LoadCount::default() };
    vec![TargetLoad::new(rendezvous::hash_member("r"), load)]
}

#[rstest]
#[case::three_failures_and_no_answer(&[(0, 1), (0, 1), (0, 1)], false)]
#[case::too_few_failures(&[(0, 1), (0, 1)], true)]
#[case::one_daemon_got_an_answer(&[(0, 2), (1, 0), (0, 2)], true)]
fn a_replica_that_answers_no_daemon_is_paused(
    #[case] peers: &[(u32, u32)],
    #[case] accepts_requests: bool,
) {
    let mut fleet = fleet_of_one();
    for (peer, (answered, failed)) in peers.iter().enumerate() {
        fleet.record_peer_loads(NOW, peer as u64, &reported_loads(*answered, *failed));
    }
    fleet.pause_unresponsive(NOW);
    let replica = fleet.replicas().next().expect("one is listed");
    assert_eq!(replica.accepts_requests(NOW), accepts_requests);
}

#[test]
fn a_paused_replica_gets_requests_again_after_a_while() {
    let mut fleet = fleet_of_one();
    fleet.record_peer_loads(NOW, 1, &reported_loads(0, 5));
    fleet.pause_unresponsive(NOW);
    fleet.pause_unresponsive(NOW + Duration::from_millis(100));
    let replica = fleet.replicas().next().expect("one is listed");
    assert!(!replica.accepts_requests(NOW + Duration::from_millis(400)));
    assert!(replica.accepts_requests(NOW + Duration::from_millis(600)));
}

#[test]
fn old_reports_of_peers_pause_no_replica() {
    let mut fleet = fleet_of_one();
    fleet.record_peer_loads(NOW, 1, &reported_loads(0, 5));
    let later = NOW + Duration::from_secs(3);
    fleet.pause_unresponsive(later);
    assert!(fleet.replicas().all(|it| it.accepts_requests(later)));
}

#[test]
fn a_report_that_a_replica_is_leaving_does_not_apply_after_its_restart() {
    let mut peer = fleet_of_one();
    peer.apply_listing(Duration::ZERO, &[entry("r", true)]);
    let reported_leaving = peer.leaving_replicas();
    let mut fleet = fleet_of_one();
    fleet.apply_leaving(&reported_leaving);
    assert!(fleet.replicas().all(|it| it.leaving));
    let restarted = TargetEntry { incarnation: 2, ..entry("r", false) };
    fleet.apply_listing(Duration::ZERO, &[restarted]);
    fleet.apply_leaving(&reported_leaving);
    assert!(fleet.replicas().all(|it| it.accepts_requests(NOW)));
}

#[test]
fn a_hub_reports_to_a_child_the_loads_of_all_but_that_child() {
    let mut hub = fleet_of_one();
    hub.record_peer_loads(NOW, 1, &reported_loads(0, 2));
    hub.record_peer_loads(NOW, 2, &reported_loads(0, 1));
    let mut child = fleet_of_one();
    child.record_peer_loads(NOW, 0, &hub.loads_excluding(NOW, 2));
    let replica = child.replicas().next().expect("one is listed");
    assert_eq!(child.load(NOW, replica).answers, AnswerCount { answered: 0, failed: 2 });
}

#[test]
fn reported_weights_of_unlisted_replicas_expire() {
    let mut fleet = fleet_of_one();
    for incarnation in 2..50 {
        let status = WeightStatus { member: 7, incarnation, loaded: 1, commanded: 0, accepted: 0 };
        assert!(fleet.merge_weight_status(NOW, status));
    }
    fleet.sweep(NOW + Duration::from_secs(30));
    assert_eq!(fleet.reported_count(), 48);
    fleet.sweep(NOW + Duration::from_secs(61));
    assert_eq!(fleet.reported_count(), 0);
}

/// An engine loads once its requests have ended, which may be long streams, and refuses new ones
/// until then. After the load timeout the command counts as lost.
#[rstest]
#[case::not_loaded_yet(4, None, false)]
#[case::loaded(4, Some(2), true)]
#[case::command_timed_out(8, None, true)]
fn an_engine_with_a_load_command_gets_no_requests_until_it_has_loaded(
    #[case] after_s: u64,
    #[case] loaded: Option<u64>,
    #[case] accepts_requests: bool,
) {
    let mut fleet = fleet_of_one();
    let member = rendezvous::hash_member("r");
    let status = WeightStatus { member, incarnation: 1, loaded: 1, commanded: 2, accepted: 1 };
    fleet.merge_weight_status(NOW, status);
    let later = NOW + Duration::from_secs(after_s);
    if let Some(loaded) = loaded {
        fleet.merge_weight_status(later, WeightStatus { loaded, ..status });
    }
    let replica = fleet.replicas().next().expect("one is listed");
    assert_eq!(replica.accepts_requests(later), accepts_requests);
}

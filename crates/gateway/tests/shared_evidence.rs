//! What daemons tell each other of replicas' answers, and what each makes of it.

use std::net::Ipv4Addr;
use std::time::Duration;

use gateway::config::TargetEntry;
use gateway::digest::TargetLoad;
use gateway::fleet::FleetTable;
use gateway::replica::LoadCount;
use policy::rendezvous;
use policy::silence::AnswerCount;
use rstest::rstest;

const NOW: Duration = Duration::from_secs(30);

fn fleet_of_one() -> FleetTable {
    let mut fleet = FleetTable::new("a".parse().expect("an id"));
    fleet.relist(&[TargetEntry {
        id: "r".parse().expect("an id"),
        born: 1,
        pool: "desk".parse().expect("an id"),
        address: (Ipv4Addr::LOCALHOST, 1).into(),
        domain: "a".parse().expect("an id"),
        release: "v1".into(),
        slots: 6,
        leaving: false,
        weights: Default::default(),
    }]);
    fleet
}

fn told(answered: u32, failed: u32) -> Vec<TargetLoad> {
    let load = LoadCount { answers: AnswerCount { answered, failed }, ..LoadCount::default() };
    vec![TargetLoad::new(rendezvous::member_hash("r"), load)]
}

#[rstest]
#[case::one_failure_each(&[(0, 1), (0, 1), (0, 1)], false)]
#[case::too_few(&[(0, 1), (0, 1)], true)]
#[case::it_answers_one_of_them(&[(0, 2), (1, 0), (0, 2)], true)]
fn a_replica_that_answers_no_daemon_is_paused(
    #[case] peers: &[(u32, u32)],
    #[case] may_work: bool,
) {
    let mut fleet = fleet_of_one();
    for (peer, (answered, failed)) in peers.iter().enumerate() {
        fleet.hear_loads(NOW, peer as u64, &told(*answered, *failed));
    }
    fleet.pause_silent(NOW);
    let replica = fleet.replicas().next().expect("one is listed");
    assert_eq!(replica.may_work(NOW), may_work);
}

#[test]
fn a_paused_replica_is_tried_again() {
    let mut fleet = fleet_of_one();
    fleet.hear_loads(NOW, 1, &told(0, 5));
    fleet.pause_silent(NOW);
    fleet.pause_silent(NOW + Duration::from_millis(100));
    let replica = fleet.replicas().next().expect("one is listed");
    assert!(!replica.may_work(NOW + Duration::from_millis(400)));
    assert!(replica.may_work(NOW + Duration::from_millis(600)));
}

#[test]
fn what_peers_told_long_ago_pauses_nothing() {
    let mut fleet = fleet_of_one();
    fleet.hear_loads(NOW, 1, &told(0, 5));
    let later = NOW + Duration::from_secs(3);
    fleet.pause_silent(later);
    assert!(fleet.replicas().all(|it| it.may_work(later)));
}

//! Unit tests of chains, rendezvous hashing, placement, stream order, quarantine, health, retry
//! budgets and the fair queue.

use std::time::Duration;

use ids::{CustomerId, Incarnation, PoolId, VersionNumber};
use policy::chain::{ChainScope, hash_prefixes};
use policy::fair_queue::FairQueue;
use policy::health::{HealthState, ReplicaHealth};
use policy::placement::{PlacementCosts, PlacementTable, ReplicaView};
use policy::quarantine::{Fingerprint, QuarantineState, QuarantineTable, Strike};
use policy::rendezvous;
use policy::retry::RetryBudget;
use policy::stream_order::{PieceCheck, StreamOrder};
use rstest::rstest;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn chains_of_different_scopes_share_no_hash() {
    let (a, b): (CustomerId, CustomerId) = ("a".parse().unwrap(), "b".parse().unwrap());
    let (x, y): (PoolId, PoolId) = ("x".parse().unwrap(), "y".parse().unwrap());
    let scopes =
        [(Some(&a), &x, 1), (Some(&b), &x, 1), (None, &x, 1), (Some(&a), &y, 1), (Some(&a), &x, 2)];
    let chains = scopes.map(|(customer, pool, version)| {
        let scope = ChainScope { customer, pool, version: VersionNumber(version) };
        hash_prefixes(scope, b"the same prompt for all", 4)
    });
    for (index, left) in chains.iter().enumerate() {
        for right in &chains[index + 1..] {
            assert!(left.iter().all(|it| !right.contains(it)));
        }
    }
}

#[rstest]
#[case("abcdefgh", "abcdefgh", 2)]
#[case("abcdefgh", "abcdXXXX", 1)]
#[case("abcdefgh", "XXXXefgh", 0)]
#[case("abcdefghij", "abcdefghiX", 2)]
fn chains_share_the_hashes_of_a_common_prefix(
    #[case] left: &str,
    #[case] right: &str,
    #[case] shared: usize,
) {
    let pool: PoolId = "x".parse().unwrap();
    let scope = ChainScope { customer: None, pool: &pool, version: VersionNumber(1) };
    let left = hash_prefixes(scope, left.as_bytes(), 4);
    let right = hash_prefixes(scope, right.as_bytes(), 4);
    assert_eq!(left.iter().zip(&right).take_while(|it| it.0 == it.1).count(), shared);
}

#[test]
fn rendezvous_moves_only_the_keys_of_a_removed_member() {
    let members: Vec<u64> =
        (0..18).map(|it| rendezvous::hash_member(&format!("desk-{it}"))).collect();
    let fewer = &members[..17];
    let mut counts = [0; 18];
    for key in 0..18_000_u64 {
        let key = key.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let before = rendezvous::homes(key, &members, 1)[0];
        let after = rendezvous::homes(key, fewer, 1)[0];
        counts[before] += 1;
        assert!(before == 17 || before == after);
    }
    assert!(
        counts.iter().all(|it| (800..1_200).contains(it)),
        "keys are spread unevenly: {counts:?}"
    );
}

fn view(name: &str, outstanding: u32) -> ReplicaView {
    ReplicaView {
        member: rendezvous::hash_member(name),
        incarnation: Incarnation(1),
        slots: 8,
        outstanding,
        reported: 0,
        reported_at: Duration::ZERO,
    }
}

#[test]
fn two_daemons_without_state_choose_the_same_replica() {
    let views: Vec<ReplicaView> = (0..18).map(|it| view(&format!("desk-{it}"), 0)).collect();
    let pool: PoolId = "x".parse().unwrap();
    let scope = ChainScope { customer: None, pool: &pool, version: VersionNumber(1) };
    for number in 0..50 {
        let chain = hash_prefixes(scope, format!("{number:04}abcd").as_bytes(), 4);
        let choose = |random| {
            let mut table = PlacementTable::new(PlacementCosts::default());
            table.choose(SECOND, &chain, 10_000, &views, random).unwrap().index
        };
        assert_eq!(choose(number * 7), choose(number * 13 + 1));
    }
}

#[test]
fn a_restarted_replica_is_not_expected_to_hold_its_old_cache() {
    let pool: PoolId = "x".parse().unwrap();
    let scope = ChainScope { customer: None, pool: &pool, version: VersionNumber(1) };
    let chain = hash_prefixes(scope, b"abcdefgh", 4);
    let mut table = PlacementTable::new(PlacementCosts::default());
    let replica = view("desk-1", 0);
    table.choose(SECOND, &chain, 8_000, &[replica], 0);
    table.record_answer(SECOND, &chain, 0, &replica, true);
    let known = table.choose(2 * SECOND, &chain, 8_000, &[replica], 0).unwrap();
    assert_eq!(known.expected_nodes, 2);
    let restarted = ReplicaView { incarnation: Incarnation(2), ..replica };
    table.drop_older_incarnations(replica.member, Incarnation(2));
    let unknown = table.choose(2 * SECOND, &chain, 8_000, &[restarted], 0).unwrap();
    assert!(unknown.expected_nodes < 2 && unknown.cost_s > known.cost_s);
}

#[rstest]
#[case::in_order(&[1, 2, 3], &[PieceCheck::Deliver; 3])]
#[case::duplicate(&[1, 1, 2], &[PieceCheck::Deliver, PieceCheck::Drop, PieceCheck::Deliver])]
#[case::missing(&[1, 3], &[PieceCheck::Deliver, PieceCheck::Gap])]
#[case::no_first_piece(&[0, 2], &[PieceCheck::Gap; 2])]
fn pieces_are_checked_by_number(#[case] numbers: &[u64], #[case] expected: &[PieceCheck]) {
    let mut order = StreamOrder::default();
    let checks: Vec<PieceCheck> =
        numbers.iter().map(|it| order.check(*it, &it.to_le_bytes())).collect();
    assert_eq!(checks, expected);
}

#[test]
fn a_replay_with_other_content_is_detected() {
    let mut order = StreamOrder::default();
    order.check(1, b"one");
    assert_eq!(order.check(1, b"other"), PieceCheck::Differs);
}

#[test]
fn strikes_from_two_replicas_quarantine_and_a_good_run_clears_one() {
    let mut table = QuarantineTable::default();
    let fingerprint = Fingerprint(7);
    let strike = |member| Strike { fingerprint, member };
    assert_eq!(table.state(SECOND, fingerprint), QuarantineState::Clean);
    assert!(table.record_strike(SECOND, strike(1)));
    assert!(!table.record_strike(SECOND, strike(1)), "the same replica counts once");
    assert_eq!(table.state(SECOND, fingerprint), QuarantineState::Isolated);
    table.clear(fingerprint);
    assert_eq!(table.state(SECOND, fingerprint), QuarantineState::Clean);
    table.record_strike(SECOND, strike(1));
    table.record_strike(SECOND, strike(2));
    assert_eq!(table.state(SECOND, fingerprint), QuarantineState::Quarantined);
    table.clear(fingerprint);
    assert_eq!(table.state(SECOND, fingerprint), QuarantineState::Quarantined);
    assert_eq!(
        table.state(3_700 * SECOND, fingerprint),
        QuarantineState::Clean,
        "a quarantine expires"
    );
}

#[test]
fn a_failing_replica_is_paused_longer_each_time_and_a_crash_loop_is_seen() {
    let mut health = ReplicaHealth::default();
    health.record_failure(SECOND, false);
    assert_eq!(health.state(SECOND), HealthState::Healthy, "one failure does not pause a replica");
    health.record_failure(SECOND, true);
    assert_eq!(health.state(SECOND), HealthState::Paused);
    assert_eq!(health.state(2 * SECOND), HealthState::Healthy);
    health.record_failure(2 * SECOND, true);
    assert_eq!(health.state(2 * SECOND + SECOND / 2), HealthState::Paused);
    for incarnation in 1..=4 {
        health.observe_incarnation(3 * SECOND, Incarnation(incarnation));
    }
    assert_eq!(health.state(3 * SECOND), HealthState::CrashLoop);
    assert_eq!(health.state(100 * SECOND), HealthState::Healthy);
}

#[test]
fn retries_are_at_most_a_tenth_of_requests_plus_the_reserve() {
    let mut budget = RetryBudget::default();
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.earn();
        retries += u32::from(budget.spend());
    }
    assert!(retries <= 1_010, "{retries}");
}

#[test]
fn customers_share_by_weight_and_deferrable_traffic_gets_one_turn_in_eight() {
    let mut queue: FairQueue<&str, bool> = FairQueue::default();
    for _ in 0..400 {
        queue.push("greedy", 1, false, 500.0, false);
        queue.push("greedy", 1, false, 500.0, false);
        queue.push("modest", 1, false, 500.0, false);
        queue.push("heavy", 2, false, 500.0, false);
        queue.push("modest", 1, true, 500.0, true);
    }
    let mut counts = std::collections::BTreeMap::new();
    let mut deferrable_turns = 0;
    for _ in 0..400 {
        let (id, deferrable) = queue.pop().unwrap();
        deferrable_turns += u32::from(deferrable);
        *counts.entry((id, deferrable)).or_insert(0) += 1;
    }
    assert_eq!(deferrable_turns, 50, "one turn in eight");
    let (greedy, modest): (i32, i32) = (counts[&("greedy", false)], counts[&("modest", false)]);
    assert!((greedy - modest).abs() <= 4, "{counts:?}");
    assert!((counts[&("heavy", false)] - 2 * modest).abs() <= 6, "{counts:?}");
}

//! When a daemon takes its own path to replicas for cut, and how requests return.

use std::time::Duration;

use policy::replica_path::{self, CheckFinding, ReplicaPath};
use rstest::rstest;

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// A path on which connections to `count` replicas failed, `gap` apart.
fn failed_path(count: u64, gap: Duration) -> ReplicaPath {
    let mut path = ReplicaPath::default();
    let mut check = false;
    for replica in 0..count {
        check |= path.record_failure(ms(10_000) + gap * replica as u32, replica, 20);
    }
    if check {
        path.record_check(ms(10_100), CheckFinding::ReachedByOthers);
    }
    path
}

#[rstest]
#[case::one(1, 10, false)]
#[case::two(2, 10, false)]
#[case::three(3, 10, true)]
#[case::three_after_each_other(3, 400, true)]
#[case::three_of_different_times(3, 1_600, false)]
fn a_path_is_cut_when_several_replicas_fail_in_a_row(
    #[case] replicas: u64,
    #[case] gap_ms: u64,
    #[case] expected: bool,
) {
    assert_eq!(failed_path(replicas, ms(gap_ms)).is_cut(), expected);
}

#[test]
fn a_replica_that_fails_again_and_again_is_not_the_path() {
    let mut path = ReplicaPath::default();
    let begins = (0..50).any(|it| path.record_failure(ms(10_000 + it), 7, 20));
    assert!(!begins);
}

#[test]
fn a_success_between_failures_shows_that_the_path_is_open() {
    let mut path = ReplicaPath::default();
    for replica in 0..20 {
        path.record_failure(ms(10_000 + replica), replica, 20);
        path.record_failure(ms(10_000 + replica), replica + 100, 20);
        path.record_success();
    }
    assert!(!path.is_cut());
}

#[rstest]
#[case::a_rack(CheckFinding::Reached, false)]
#[case::all_of_them(CheckFinding::Down, false)]
#[case::the_path(CheckFinding::ReachedByOthers, true)]
fn replicas_that_are_down_are_not_the_path(#[case] finding: CheckFinding, #[case] expected: bool) {
    let mut path = ReplicaPath::default();
    assert!((0..3).any(|it| path.record_failure(ms(10_000), it, 20)));
    assert_eq!(path.record_check(ms(10_100), finding), expected);
    assert_eq!(path.is_cut(), expected);
}

#[rstest]
#[case::two_replicas(2, true)]
#[case::one_replica(1, false)]
fn a_small_pool_is_cut_when_all_of_it_fails(#[case] known: usize, #[case] expected: bool) {
    let mut path = ReplicaPath::default();
    let is_checked = (0..known as u64).any(|it| path.record_failure(ms(10_000), it, known));
    assert_eq!(is_checked, expected);
}

#[test]
fn requests_return_in_steps_after_two_probes() {
    let mut path = failed_path(3, ms(1));
    assert_eq!(path.direct_share(ms(10_500)), 0.0);
    assert!(!path.record_probe(ms(11_000), true));
    assert!(!path.record_probe(ms(11_100), false));
    assert!(!path.record_probe(ms(11_200), true));
    assert!(path.record_probe(ms(11_300), true));
    assert_eq!(path.direct_share(ms(11_300)), 0.25);
    assert_eq!(path.direct_share(ms(12_300)), 0.625);
    assert_eq!(path.direct_share(ms(20_000)), 1.0);
}

#[test]
fn a_path_that_fails_again_while_requests_return_is_cut_again() {
    let mut path = failed_path(3, ms(1));
    path.record_probe(ms(11_000), true);
    path.record_probe(ms(11_100), true);
    let is_checked = (0..3).any(|it| path.record_failure(ms(11_200), it, 20));
    assert!(is_checked && path.record_check(ms(10_100), CheckFinding::ReachedByOthers));
    assert_eq!(path.direct_share(ms(11_300)), 0.0);
}

#[rstest]
#[case::idle(0, 4_000, true)]
#[case::just_below(999, 4_000, true)]
#[case::full(1_000, 4_000, false)]
fn a_helper_keeps_room_for_its_own_callers(
    #[case] relayed: usize,
    #[case] max_sockets: usize,
    #[case] expected: bool,
) {
    assert_eq!(replica_path::takes_relayed(relayed, max_sockets), expected);
}

#[rstest]
#[case::both(&[1, 2, 3], &[11, 12, 13], &[21], &[1, 11, 2, 12])]
#[case::own_domain_only(&[1, 2], &[], &[21], &[1, 2, 21])]
#[case::own_domain_refused(&[], &[11, 12, 13, 14, 15], &[1, 2], &[11, 12, 13, 14])]
#[case::none(&[], &[], &[], &[])]
fn helpers_are_asked_in_both_domains_and_those_that_refused_last(
    #[case] own: &[u8],
    #[case] others: &[u8],
    #[case] unfit: &[u8],
    #[case] expected: &[u8],
) {
    let ordered = replica_path::order_helpers(own.into(), others.into(), unfit.into(), 4);
    assert_eq!(ordered, expected);
}

#[test]
fn replicas_that_stay_down_are_checked_once_a_second() {
    let mut path = ReplicaPath::default();
    let fail = |path: &mut ReplicaPath, at| (0..5).any(|it| path.record_failure(ms(at), it, 20));
    assert!(fail(&mut path, 10_000));
    path.record_check(ms(10_200), CheckFinding::Down);
    assert!(!fail(&mut path, 10_300) && !fail(&mut path, 11_100));
    assert!(fail(&mut path, 11_200));
}

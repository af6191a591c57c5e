//! Which requests are refused because others like them crashed replicas.

use std::time::Duration;

use policy::crash_suspects::{SuspectKey, SuspectTable, SuspectVerdict};
use policy::quarantine::Fingerprint;
use rstest::rstest;

const FIRST: SuspectKey = SuspectKey::Part(1);
const BAD: SuspectKey = SuspectKey::Part(2);

fn s(time: u64) -> Duration {
    Duration::from_secs(time)
}

/// Replicas crash one a second under requests that begin with the same part, go on with the bad one
/// and end with one of their own.
fn crash_in_series(table: &mut SuspectTable, count: u64) {
    for number in 0..count {
        table.record_crash(s(number), &[(FIRST, 2), (BAD, 100 + number)], number);
    }
}

#[rstest]
#[case::two_crashes(2, SuspectVerdict::Allowed)]
#[case::three_crashes(3, SuspectVerdict::Refused)]
fn a_part_is_refused_after_three_crashes(#[case] crashes: u64, #[case] expected: SuspectVerdict) {
    let mut table = SuspectTable::default();
    crash_in_series(&mut table, crashes);
    assert_eq!(table.verdict(s(5), &[FIRST, BAD], 0), expected);
    assert_eq!(table.verdict(s(5), &[FIRST], 0), SuspectVerdict::Allowed, "the part before it");
}

#[test]
fn the_first_part_is_refused_if_different_parts_follow_it() {
    let mut table = SuspectTable::default();
    for number in 0..3 {
        table.record_crash(s(number), &[(FIRST, 50 + number)], number);
    }
    assert_eq!(table.verdict(s(5), &[FIRST], 0), SuspectVerdict::Refused);
}

#[test]
fn replicas_that_crash_at_the_same_moment_count_once_against_a_part() {
    let mut table = SuspectTable::default();
    for number in 0..8 {
        table.record_crash(s(1), &[(BAD, 100 + number)], number);
    }
    assert_eq!(table.verdict(s(2), &[BAD], 0), SuspectVerdict::Allowed);
}

#[test]
fn the_same_request_is_refused_after_three_crashes_at_any_distance() {
    let key = SuspectKey::Request(Fingerprint(7));
    let mut table = SuspectTable::default();
    for number in 0..3 {
        table.record_crash(s(1), &[(key, number)], number);
    }
    assert_eq!(table.verdict(s(2), &[key], 0), SuspectVerdict::Refused);
}

#[test]
fn an_answer_that_ends_clears_all_parts_of_its_request_everywhere() {
    let (mut table, mut peer) = (SuspectTable::default(), SuspectTable::default());
    crash_in_series(&mut table, 3);
    let reports = table.repeat_reports(s(3));
    assert!(reports.iter().all(|it| peer.merge(s(3), it)));
    assert_eq!(peer.verdict(s(4), &[BAD], 0), SuspectVerdict::Refused);
    let cleared = peer.clear(s(5), &[FIRST, BAD]);
    assert!(cleared.iter().all(|it| table.merge(s(5), it)));
    assert_eq!(table.verdict(s(5), &[BAD], 0), SuspectVerdict::Allowed);
    // What was known before does not bring the suspects back, and is no news.
    assert!(!reports.iter().any(|it| table.merge(s(3), it)));
    assert!(!cleared.iter().any(|it| table.merge(s(5), it)));
    assert_eq!(table.verdict(s(5), &[BAD], 0), SuspectVerdict::Allowed);
}

/// A part may be refused wrongly, and then no request shows it.
#[test]
fn a_refused_part_is_tried_again_by_one_daemon_until_it_is_proven() {
    let mut table = SuspectTable::default();
    crash_in_series(&mut table, 3);
    assert_eq!(table.verdict(s(16), &[BAD], 0), SuspectVerdict::Refused);
    assert_eq!(table.verdict(s(17), &[BAD], 1), SuspectVerdict::Refused);
    assert_eq!(table.verdict(s(17), &[BAD], 0), SuspectVerdict::Probe);
    assert_eq!(table.record_probe(s(17), &[FIRST, BAD]).len(), 1);
    assert_eq!(table.verdict(s(18), &[BAD], 0), SuspectVerdict::Refused, "one at a time");
    for number in 3..5 {
        table.record_crash(s(17 + number), &[(BAD, 200 + number)], number);
    }
    assert_eq!(table.verdict(s(3_000), &[BAD], 0), SuspectVerdict::Refused);
    assert_eq!(table.verdict(s(4_000), &[BAD], 0), SuspectVerdict::Allowed, "after an hour");
}

//! Which requests are refused because others like them crashed replicas.

use std::time::Duration;

use policy::crash_suspects::{
    AnswerProgress, MAX_SUSPECTS, SuspectKey, SuspectTable, SuspectVerdict,
};
use policy::quarantine::Fingerprint;
use rstest::rstest;

const FIRST: SuspectKey = SuspectKey::Shared(1);
const BAD: SuspectKey = SuspectKey::Shared(2);
const THIRD: SuspectKey = SuspectKey::Shared(3);

fn s(time: u64) -> Duration {
    Duration::from_secs(time)
}

/// Replicas crash one a second under requests that begin with the same part, go on with the bad one
/// and end with one of their own.
fn crash_in_series(table: &mut SuspectTable, count: u64) {
    for number in 0..count {
        table.record_crash(s(number), s(number), &[(FIRST, 2), (BAD, 100 + number)], number);
    }
}

#[rstest]
#[case::two_crashes(2, SuspectVerdict::Allowed)]
#[case::three_crashes(3, SuspectVerdict::Refused)]
fn a_part_is_refused_after_three_crashes(#[case] crashes: u64, #[case] expected: SuspectVerdict) {
    let mut table = SuspectTable::default();
    crash_in_series(&mut table, crashes);
    assert_eq!(table.verdict(s(5), &[FIRST, BAD], Some(0)), expected);
    assert_eq!(
        table.verdict(s(5), &[FIRST], Some(0)),
        SuspectVerdict::Allowed,
        "the part before it"
    );
}

#[test]
fn the_first_part_is_refused_if_different_parts_follow_it() {
    let mut table = SuspectTable::default();
    for number in 0..3 {
        table.record_crash(s(number), s(number), &[(FIRST, 50 + number)], number);
    }
    assert_eq!(table.verdict(s(5), &[FIRST], Some(0)), SuspectVerdict::Refused);
}

/// Replicas crash one a second under requests that share all parts but the last. Sound requests share
/// those in `shared_with_sound` and are answered after each crash.
fn crash_in_chain(table: &mut SuspectTable, count: u64, shared_with_sound: &[SuspectKey]) {
    for number in 0..count {
        let keys = [(FIRST, 2), (BAD, 3), (THIRD, 100 + number)];
        table.record_crash(s(2 * number), s(2 * number), &keys, number);
        table.clear(s(2 * number + 1), shared_with_sound);
    }
}

/// Requests that share both neighbours of the crashing part exonerate these, and so the part itself
/// must be refused although the same one always follows it.
#[rstest]
#[case::both_neighbours(&[FIRST, THIRD])]
#[case::the_one_behind(&[THIRD])]
fn a_part_that_the_same_part_always_follows_is_refused(#[case] shared_with_sound: &[SuspectKey]) {
    let mut table = SuspectTable::default();
    crash_in_chain(&mut table, 4, shared_with_sound);
    assert_eq!(table.verdict(s(10), &[BAD], Some(0)), SuspectVerdict::Allowed);
    crash_in_chain(&mut table, 5, shared_with_sound);
    assert_eq!(table.verdict(s(10), &[FIRST, BAD, THIRD], Some(0)), SuspectVerdict::Refused);
    for sound in [FIRST, THIRD] {
        assert_eq!(table.verdict(s(10), &[sound], Some(0)), SuspectVerdict::Allowed, "{sound:?}");
    }
}

/// Crashes of requests that were under way when the part was refused do not count against the
/// parts before it.
#[test]
fn crashes_that_a_refused_part_explains_do_not_count_against_those_before_it() {
    let mut table = SuspectTable::default();
    crash_in_chain(&mut table, 9, &[]);
    assert_eq!(table.verdict(s(19), &[THIRD], Some(0)), SuspectVerdict::Refused);
    for before in [FIRST, BAD] {
        assert_eq!(table.verdict(s(19), &[before], Some(0)), SuspectVerdict::Allowed, "{before:?}");
    }
}

#[test]
fn replicas_that_crash_at_the_same_moment_count_once_against_a_part() {
    let mut table = SuspectTable::default();
    for number in 0..8 {
        table.record_crash(s(1), s(1), &[(BAD, 100 + number)], number);
    }
    assert_eq!(table.verdict(s(2), &[BAD], Some(0)), SuspectVerdict::Allowed);
}

/// Requests with the part come several at a time.
#[test]
fn a_part_that_takes_several_replicas_at_a_time_is_refused_the_second_time() {
    let mut table = SuspectTable::default();
    for number in 0..5 {
        let at = s(1 + 3 * (number / 4));
        assert_eq!(table.verdict(at, &[FIRST, BAD], Some(0)), SuspectVerdict::Allowed);
        table.record_crash(at, at, &[(FIRST, 2), (BAD, 100 + number)], number);
    }
    assert_eq!(table.verdict(s(5), &[BAD], Some(0)), SuspectVerdict::Refused);
    assert_eq!(table.verdict(s(5), &[FIRST], Some(0)), SuspectVerdict::Allowed);
    let mut restarted = SuspectTable::default();
    table.refused_reports(s(5)).iter().for_each(|it| assert!(restarted.merge(s(5), it)));
    assert_eq!(restarted.verdict(s(5), &[BAD], Some(0)), SuspectVerdict::Refused);
}

#[test]
fn the_same_request_is_refused_after_three_crashes_at_any_distance() {
    let key = SuspectKey::Request(Fingerprint(7));
    let mut table = SuspectTable::default();
    for number in 0..3 {
        table.record_crash(s(1), s(1), &[(key, number)], number);
    }
    assert_eq!(table.verdict(s(2), &[key], Some(0)), SuspectVerdict::Refused);
}

/// Replicas crash at the same moment under one request.
fn crash_at_once(table: &mut SuspectTable, key: SuspectKey, replicas: u64) {
    for replica in 0..replicas {
        table.record_crash(s(1), s(1), &[(key, replica)], replica);
    }
}

/// A rack that fails may take several replicas that run the same request.
#[test]
fn a_request_that_was_on_a_failed_rack_is_soon_tried_again() {
    let key = SuspectKey::Request(Fingerprint(7));
    let mut table = SuspectTable::default();
    crash_at_once(&mut table, key, 8);
    assert_eq!(table.verdict(s(2), &[key], Some(0)), SuspectVerdict::Refused);
    assert_eq!(table.verdict(s(6), &[key], Some(0)), SuspectVerdict::Probe);
    table.record_probe(s(6), &[key]);
    assert_eq!(table.verdict(s(7), &[key], Some(0)), SuspectVerdict::Refused, "one at a time");
    table.clear(s(7), &[key]);
    assert_eq!(table.verdict(s(7), &[key], Some(0)), SuspectVerdict::Allowed);
}

/// Three requests may reach replicas late.
#[test]
fn a_request_that_crashes_replicas_at_once_and_again_is_tried_twice() {
    let key = SuspectKey::Request(Fingerprint(7));
    let mut table = SuspectTable::default();
    crash_at_once(&mut table, key, 4);
    let mut trials = 0;
    for second in 2..3_000 {
        if table.verdict(s(second), &[key], Some(0)) == SuspectVerdict::Probe {
            table.record_probe(s(second), &[key]);
            trials += 1;
            table.record_crash(s(second), s(second), &[(key, 10 + trials)], 10 + trials);
        }
    }
    assert_eq!(trials, 2);
}

#[rstest]
#[case::own_crash(false)]
#[case::crash_that_a_peer_reports(true)]
fn a_request_that_was_just_answered_is_not_suspected(#[case] is_reported: bool) {
    let key = SuspectKey::Request(Fingerprint(7));
    let (mut table, mut peer) = (SuspectTable::default(), SuspectTable::default());
    table.clear(Duration::from_millis(900), &[key]);
    if is_reported {
        crash_at_once(&mut peer, key, 8);
        assert_eq!(peer.verdict(s(2), &[key], Some(0)), SuspectVerdict::Refused);
        peer.repeat_reports(s(1)).iter().for_each(|it| assert!(table.merge(s(1), it)));
    } else {
        crash_at_once(&mut table, key, 8);
    }
    let report = table.report(s(2), key).expect("the answer is news to peers");
    peer.merge(s(2), &report);
    for daemon in [&table, &peer] {
        assert_eq!(daemon.verdict(s(2), &[key], Some(0)), SuspectVerdict::Allowed);
    }
    for replica in 10..13 {
        table.record_crash(s(2), s(2), &[(key, replica)], replica);
    }
    assert_eq!(table.verdict(s(3), &[key], Some(0)), SuspectVerdict::Refused, "no more answers");
}

/// Answers of a request that comes often follow each other within less than what ages vary by.
#[test]
fn an_answer_soon_after_another_one_clears_what_peers_know() {
    let (mut table, mut peer) = (SuspectTable::default(), SuspectTable::default());
    for at in [s(1), Duration::from_millis(1_500)] {
        let reports = table.record_crash(at, at, &[(BAD, 100)], at.as_millis() as u64);
        assert!(reports.iter().all(|it| peer.merge(at, it)));
        let cleared = table.clear(at + Duration::from_millis(10), &[BAD]);
        assert!(cleared.iter().all(|it| peer.merge(at + Duration::from_millis(10), it)));
        assert!(peer.report(s(2), BAD).expect("a record").events.is_empty());
    }
}

#[test]
fn an_answer_that_ends_clears_all_parts_of_its_request_everywhere() {
    let (mut table, mut peer) = (SuspectTable::default(), SuspectTable::default());
    crash_in_series(&mut table, 3);
    let reports = table.repeat_reports(s(3));
    assert!(reports.iter().all(|it| peer.merge(s(3), it)));
    assert_eq!(peer.verdict(s(4), &[BAD], Some(0)), SuspectVerdict::Refused);
    let cleared = peer.clear(s(5), &[FIRST, BAD]);
    assert!(cleared.iter().all(|it| table.merge(s(5), it)));
    assert_eq!(table.verdict(s(5), &[BAD], Some(0)), SuspectVerdict::Allowed);
    // What was known before does not bring the suspects back, and is no news.
    assert!(!reports.iter().any(|it| table.merge(s(3), it)));
    assert!(!cleared.iter().any(|it| table.merge(s(5), it)));
    assert_eq!(table.verdict(s(5), &[BAD], Some(0)), SuspectVerdict::Allowed);
}

/// A part may be refused wrongly, and then no request shows it.
#[test]
fn a_refused_part_is_tried_again_by_one_daemon_until_it_is_proven() {
    let mut table = SuspectTable::default();
    crash_in_series(&mut table, 3);
    assert_eq!(table.verdict(s(16), &[BAD], Some(0)), SuspectVerdict::Refused);
    assert_eq!(table.verdict(s(17), &[BAD], Some(1)), SuspectVerdict::Refused);
    assert_eq!(table.verdict(s(17), &[BAD], Some(0)), SuspectVerdict::Probe);
    assert_eq!(table.record_probe(s(17), &[FIRST, BAD]).len(), 1);
    assert_eq!(table.verdict(s(18), &[BAD], Some(0)), SuspectVerdict::Refused, "one at a time");
    for number in 3..5 {
        table.record_crash(s(17 + number), s(17 + number), &[(BAD, 200 + number)], number);
    }
    assert_eq!(table.verdict(s(3_000), &[BAD], Some(0)), SuspectVerdict::Refused);
    assert_eq!(table.verdict(s(4_000), &[BAD], Some(0)), SuspectVerdict::Allowed, "after an hour");
}

/// A daemon that restarts learns of a refused part by repetition only, however many sound parts were
/// on crashed replicas since.
#[rstest]
#[case::two_crashes(false)]
#[case::cleared(true)]
fn refused_parts_are_repeated_before_others(#[case] are_cleared: bool) {
    let mut table = SuspectTable::default();
    crash_in_series(&mut table, 3);
    for number in 0..200 {
        let key = SuspectKey::Shared(1_000 + number);
        table.record_crash(s(4), s(4), &[(key, 1)], 50);
        table.record_crash(s(5), s(5), &[(key, 1)], 51);
        if are_cleared {
            table.clear(s(6), &[key]);
        }
    }
    assert!(table.repeat_reports(s(7)).iter().any(|it| it.key == BAD));
}

/// Each crash leaves a record for each request that had just begun on the replica.
#[rstest]
#[case::after_the_part(1)]
#[case::far_more_than_fit(3)]
fn a_full_table_drops_no_refused_part(#[case] rounds: u64) {
    let mut table = SuspectTable::default();
    crash_in_series(&mut table, 3);
    for number in 0..rounds * MAX_SUSPECTS as u64 {
        let key = SuspectKey::Request(Fingerprint(number));
        table.record_crash(s(4), s(4), &[(key, number)], number);
    }
    assert_eq!(table.verdict(s(5), &[BAD], Some(0)), SuspectVerdict::Refused);
}

/// The end of a silent replica's connection shows late.
#[rstest]
#[case::no_event(&[], true)]
#[case::one_event(&[100], true)]
#[case::events_of_a_moment(&[100, 300, 900], true)]
#[case::a_stream_under_way(&[100, 500, 1_100], false)]
fn a_stream_that_had_just_begun_is_suspect_however_late_its_end_shows(
    #[case] events_ms: &[u64],
    #[case] expected: bool,
) {
    let mut progress = AnswerProgress::default();
    events_ms.iter().for_each(|it| progress.record(Duration::from_millis(*it)));
    assert_eq!(progress.has_just_begun(), expected);
}

/// A daemon that has just started or reaches few others may not be the only one that tries.
#[test]
fn a_daemon_without_a_rank_does_not_try_a_suspect_again() {
    let mut table = SuspectTable::default();
    crash_in_series(&mut table, 3);
    assert_eq!(table.verdict(s(18), &[BAD], None), SuspectVerdict::Refused);
    assert_eq!(table.verdict(s(18), &[BAD], Some(0)), SuspectVerdict::Probe);
    assert_eq!(table.verdict(s(18), &[FIRST], None), SuspectVerdict::Allowed);
}

/// Two replicas crash under each request, one request each 160 ms, and ten crashes are more than are
/// stored.
#[test]
fn what_is_stored_of_a_refused_part_proves_it() {
    let ms = |time: u64| Duration::from_millis(10_000 + time);
    let mut table = SuspectTable::default();
    for number in 0..10 {
        let at = ms(160 * (number / 2) + number % 2);
        table.record_crash(at, at, &[(BAD, 100 + number / 2)], number);
    }
    let now = ms(1_000);
    assert_eq!(table.verdict(now, &[BAD], Some(0)), SuspectVerdict::Refused);
    let stored = table.refused_reports(now);
    let mut restarted = SuspectTable::default();
    for it in &stored {
        restarted.merge(now, it);
    }
    assert_eq!(restarted.verdict(now, &[BAD], Some(0)), SuspectVerdict::Refused);
    assert!(stored[0].events.len() < 10, "not all are needed");
}

/// Each crash breaks many requests that share the part: those of one replica must not displace the
/// other replicas' crashes.
#[test]
fn a_part_of_many_requests_on_each_crashed_replica_is_refused() {
    let mut table = SuspectTable::default();
    for replica in 0..3 {
        for request in 0..48 {
            let at = s(replica) + Duration::from_millis(request);
            table.record_crash(at, at, &[(BAD, 100 + 48 * replica + request)], replica);
        }
    }
    assert_eq!(table.verdict(s(5), &[BAD], Some(0)), SuspectVerdict::Refused);
}

/// Refused requests may come rarely, and then to many daemons at the same moment.
#[rstest]
#[case::as_soon_as_it_is_due(s(17))]
#[case::later(s(27))]
#[case::much_later(s(1_000))]
fn one_daemon_at_a_time_tries_a_suspect_again(#[case] now: Duration) {
    const DAEMONS: usize = 88;
    let mut table = SuspectTable::default();
    crash_in_series(&mut table, 3);
    let tries = |now: Duration, rank: usize| {
        table.verdict(now, &[BAD], Some(rank)) == SuspectVerdict::Probe
    };
    assert!((0..DAEMONS).filter(|it| tries(now, *it)).count() <= 1);
    for rank in 0..4 {
        assert!((0..15).any(|it| tries(now + s(it), rank)), "rank {rank} gets a turn");
    }
}

/// That a replica crashed may show seconds later, after the suspect was cleared elsewhere.
#[test]
fn a_crash_that_shows_late_is_told_with_its_age() {
    let mut table = SuspectTable::default();
    let reports = table.record_crash(s(8), s(3), &[(BAD, 100)], 1);
    assert_eq!(reports[0].events[0].age, s(5));
    let mut peer = SuspectTable::default();
    peer.record_crash(s(2), s(2), &[(BAD, 101)], 2);
    peer.clear(s(4), &[BAD]);
    assert!(!peer.merge(s(8), &reports[0]), "it was cleared after the crash");
}

//! Requests without an answer, until it is known whether their replica's process ended.

use std::net::SocketAddr;
use std::time::Duration;

use policy::crash_suspects::SuspectKey;
use policy::unanswered::{ReplicaProcess, UnansweredRequest, UnansweredTable};
use rstest::rstest;

const BAD: SuspectKey = SuspectKey::Shared(1);
const SOUND: SuspectKey = SuspectKey::Shared(2);

fn s(time: u64) -> Duration {
    Duration::from_secs(time)
}

fn process(incarnation: u64) -> ReplicaProcess {
    ReplicaProcess { member: 7, incarnation, address: SocketAddr::from(([127, 0, 0, 1], 80)) }
}

fn request(keys: &[SuspectKey], ended_at: Duration) -> UnansweredRequest {
    UnansweredRequest { keys: keys.iter().map(|it| (*it, 9)).collect(), ended_at }
}

#[rstest]
#[case::soon(2, 1)]
#[case::just_in_time(10, 1)]
#[case::too_late(11, 0)]
fn the_end_of_a_process_counts_for_a_while(#[case] ended_at: u64, #[case] expected: usize) {
    let mut table = UnansweredTable::default();
    table.record(process(1), request(&[BAD], s(1)));
    assert_eq!(table.take(s(ended_at), process(1)).len(), expected);
    assert_eq!(table.processes().count(), 0, "it counts once");
}

#[test]
fn the_end_of_another_process_at_the_address_says_nothing() {
    let mut table = UnansweredTable::default();
    table.record(process(1), request(&[BAD], s(1)));
    assert_eq!(table.take(s(2), process(2)), []);
    assert_eq!(table.processes().collect::<Vec<_>>(), [process(1)]);
}

#[test]
fn what_a_request_with_an_answer_consists_of_does_not_count() {
    let mut table = UnansweredTable::default();
    table.record(process(1), request(&[BAD, SOUND], s(1)));
    table.record(process(1), request(&[SOUND], s(1)));
    table.clear(&[SOUND]);
    assert_eq!(table.take(s(2), process(1)), [request(&[BAD], s(1))]);
}

#[test]
fn old_requests_are_forgotten() {
    let mut table = UnansweredTable::default();
    table.record(process(1), request(&[BAD], s(1)));
    table.record(process(2), request(&[BAD], s(5)));
    table.expire(s(12));
    assert_eq!(table.processes().collect::<Vec<_>>(), [process(2)]);
}

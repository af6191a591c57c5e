//! What replicas say of themselves while they are not listed: an entry lapses when the store is away, and
//! may come back as it was.

mod fixtures;

use std::time::Duration;

use fixtures::entry;
use gateway::fleet::FleetTable;
use gateway::notice_table::AnswerNotice;
use policy::rendezvous;
use rstest::rstest;

const NOW: Duration = Duration::from_secs(30);
const HOLD_OFF: Duration = Duration::from_secs(2);

/// How a daemon hears of it.
enum Notice {
    Answer(AnswerNotice),
    PeerReport,
}

const LEAVING: AnswerNotice = AnswerNotice { leaving: true, hold_off: None };
const WANTS_NONE: AnswerNotice = AnswerNotice { leaving: false, hold_off: Some(HOLD_OFF) };

#[rstest]
#[case::leaving_in_an_answer(Notice::Answer(LEAVING), 1, false)]
#[case::hold_off_in_an_answer(Notice::Answer(WANTS_NONE), 1, false)]
#[case::leaving_in_a_report(Notice::PeerReport, 1, false)]
#[case::another_incarnation_was_leaving(Notice::Answer(LEAVING), 2, true)]
fn a_notice_from_an_unlisted_replica_holds_when_its_entry_comes_back(
    #[case] notice: Notice,
    #[case] incarnation: u64,
    #[case] accepts_requests: bool,
) {
    let mut fleet = FleetTable::new("a".parse().expect("an id"), fixtures::TIMEOUTS);
    let mut replica = entry("r-1", false);
    fleet.apply_listing(Duration::ZERO, std::slice::from_ref(&replica));
    fleet.apply_listing(Duration::ZERO, &[]);
    match notice {
        Notice::Answer(it) => fleet.record_notice(NOW, &replica.id, 1, it),
        Notice::PeerReport => fleet.apply_leaving(&[(rendezvous::hash_member("r-1"), 1)]),
    }
    replica.incarnation = incarnation;
    fleet.apply_listing(Duration::ZERO, std::slice::from_ref(&replica));
    let listed = fleet.get(&replica.id).expect("it is listed");
    assert_eq!(listed.accepts_requests(NOW), accepts_requests);
}

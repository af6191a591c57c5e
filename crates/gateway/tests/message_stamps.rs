//! The stamps behind messages, from which daemons learn how long messages were on the way.

mod fixtures;

use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

use gateway::message_stamp::{MAX_STAMP_BYTES, StampTable};
use gateway::peer_message::{self, GossipExtension, PeerMessage, StateDigests};
use ids::Incarnation;
use rstest::rstest;

const FIRST: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 1, 1));
const SECOND: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 1, 2));

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

fn report() -> PeerMessage {
    let mut report = fixtures::report();
    report.extension = Some(GossipExtension {
        loads_are_changes: false,
        digests: StateDigests { weights: 1, members: 2 },
        reachable: 3,
    });
    PeerMessage::Gossip(Box::new(report))
}

#[rstest]
#[case::report(report())]
#[case::members(PeerMessage::Members(vec![fixtures::member("edge-1")]))]
fn a_stamp_is_read_behind_its_message_and_may_be_missing(#[case] message: PeerMessage) {
    let mut table = StampTable::new(Incarnation(u64::MAX));
    let other = StampTable::new(Incarnation(u64::MAX - 1)).stamp(FIRST, Duration::MAX);
    table.record(ms(1), SECOND, &other);
    let stamp = table.stamp(SECOND, Duration::MAX);
    let mut bytes = peer_message::encode(&message).expect("a message");
    assert_eq!(peer_message::decode(&bytes), Some((message.clone(), None)));
    let encoded = stamp.encode();
    assert!(stamp.echo.is_some() && encoded.len() <= MAX_STAMP_BYTES, "{}", encoded.len());
    bytes.extend(encoded);
    assert_eq!(peer_message::decode(&bytes), Some((message, Some(stamp))));
}

#[rstest]
#[case::far_in_the_future(Duration::MAX)]
#[case::at_the_start(Duration::ZERO)]
fn stamps_without_sense_are_survived(#[case] sent_at: Duration) {
    let mut table = StampTable::new(Incarnation(1));
    for now in [0, 1, 40_000, 80_000] {
        let mut stamp = StampTable::new(Incarnation(2)).stamp(FIRST, sent_at);
        stamp.echo = table.stamp(SECOND, ms(now)).echo;
        table.record(ms(now), SECOND, &stamp);
        table.stamp(SECOND, Duration::MAX);
    }
}

/// After a restart of either side, what was known of the clocks says nothing of the new ones.
#[test]
fn echoes_of_an_earlier_incarnation_are_not_used() {
    let mut first = StampTable::new(Incarnation(1));
    let mut second = StampTable::new(Incarnation(2));
    assert_eq!(second.record(ms(5_000), FIRST, &first.stamp(SECOND, ms(100))), None);
    let answer = second.stamp(FIRST, ms(5_000));
    assert_eq!(first.record(ms(101), SECOND, &answer), Some(ms(100)));
    let mut restarted = StampTable::new(Incarnation(3));
    assert_eq!(restarted.record(ms(101), SECOND, &answer), None);
    // The second one has restarted too, and its clock began anew.
    let fresh = StampTable::new(Incarnation(4)).stamp(FIRST, ms(7));
    assert_eq!(first.record(ms(102), SECOND, &fresh), None);
}

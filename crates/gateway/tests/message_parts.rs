//! Messages that are longer than a datagram arrive whole or not at all.

use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

use gateway::message_parts::{self, MAX_MESSAGE_BYTES, MessagePart, PartTable};
use gateway::peer_message::{self, MAX_DATAGRAM_BYTES, PeerMessage};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rstest::rstest;

const NOW: Duration = Duration::from_secs(30);

fn sender(number: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 0, 0, number))
}

fn message(length: usize) -> Vec<u8> {
    (0..length).map(|it| (it * 7 + it / 251) as u8).collect()
}

#[rstest]
#[case::one_part(10)]
#[case::two_parts(MAX_DATAGRAM_BYTES + 1)]
#[case::many_parts(1_000_000)]
#[case::the_longest(MAX_MESSAGE_BYTES)]
fn parts_in_any_order_and_twice_give_the_message_once(#[case] length: usize) {
    let whole = message(length);
    let mut parts = message_parts::split(5, &whole).expect("not too long");
    let again = parts.clone();
    parts.shuffle(&mut StdRng::seed_from_u64(length as u64));
    let mut table = PartTable::default();
    let last = parts.pop().expect("at least one");
    for part in parts.iter().chain(&parts) {
        let encoded = peer_message::encode(&PeerMessage::Part(part.clone())).expect("a message");
        assert!(encoded.len() <= MAX_DATAGRAM_BYTES, "{}", encoded.len());
        let Some((PeerMessage::Part(part), None)) = peer_message::decode(&encoded) else {
            panic!("a part is decoded");
        };
        assert_eq!(table.insert(NOW, sender(1), part), None);
    }
    assert_eq!(table.insert(NOW, sender(1), last), Some(whole));
    // A late copy of a part begins a message that never becomes complete.
    let late = again.into_iter().next().filter(|it| it.count > 1);
    assert_eq!(late.and_then(|it| table.insert(NOW, sender(1), it)), None);
}

#[test]
fn a_message_over_the_limit_is_not_split() {
    assert_eq!(message_parts::split(1, &message(MAX_MESSAGE_BYTES + 1)), None);
}

#[test]
fn parts_of_different_senders_are_not_joined() {
    let parts = message_parts::split(5, &message(100_000)).expect("not too long");
    let mut table = PartTable::default();
    assert_eq!(table.insert(NOW, sender(1), parts[0].clone()), None);
    assert_eq!(table.insert(NOW, sender(2), parts[1].clone()), None);
}

#[test]
fn parts_whose_message_stays_incomplete_are_dropped() {
    let parts = message_parts::split(5, &message(100_000)).expect("not too long");
    let mut table = PartTable::default();
    assert_eq!(table.insert(NOW, sender(1), parts[0].clone()), None);
    let later = NOW + Duration::from_secs(2);
    assert_eq!(table.insert(later, sender(1), parts[1].clone()), None);
}

/// Parts that no daemon sends: counts that differ, positions beyond the count, endless messages.
#[test]
fn contradicting_parts_are_ignored() {
    let mut random = StdRng::seed_from_u64(1);
    let mut table = PartTable::default();
    for _ in 0..50_000 {
        let part = MessagePart {
            message_id: random.random_range(0..4),
            index: random.random_range(0..6) * random.random_range(0..800_000_000),
            count: random.random_range(0..5) * random.random_range(0..800_000_000),
            bytes: vec![0; 10],
        };
        let joined = table.insert(NOW, sender(random.random_range(0..4)), part);
        assert!(joined.is_none_or(|it| it.len() <= 10 * 72));
    }
}

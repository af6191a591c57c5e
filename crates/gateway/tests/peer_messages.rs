//! Datagrams that no daemon sends are rejected, whatever bytes they hold, and cost no memory beyond
//! their own length.

use std::time::Duration;

use gateway::config::{
    CallerLimits, ControlState, PoolRule, SiteConfig, TargetEntry, WeightVersion,
};
use gateway::message_stamp::MessageStamp;
use gateway::peer_message::{self, MAX_DATAGRAM_BYTES, PeerMessage, WeightStatus};
use ids::{Incarnation, Revision};
use policy::cold_pace::ColdRule;
use policy::crash_suspects::{SuspectKey, SuspectTable};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

mod fixtures;

/// Number of damaged copies of each message.
const DAMAGED_COPIES: u64 = 20_000;

fn report() -> PeerMessage {
    PeerMessage::Gossip(Box::new(fixtures::report()))
}

fn listing() -> PeerMessage {
    let entries: Vec<TargetEntry> =
        vec![fixtures::entry("r-1", false), fixtures::entry("r-2", true)];
    PeerMessage::Listing(Revision(4), Duration::from_secs(1), entries)
}

fn control() -> PeerMessage {
    let published = |version, age| WeightVersion { version, age: Some(Duration::from_secs(age)) };
    let state = ControlState {
        weights: [("m".into(), published(4, 1))].into_iter().collect(),
        superseded_weights: [("m".into(), vec![published(2, 9), published(3, 5)])]
            .into_iter()
            .collect(),
        evacuated: Some(vec!["a".parse().expect("an id")]),
        ..ControlState::default()
    };
    PeerMessage::Control(Revision(4), Duration::from_secs(1), Box::new(state))
}

fn encode(message: &PeerMessage) -> Vec<u8> {
    peer_message::encode(message).expect("a message of this version")
}

/// A length prefix of eight bytes, in the encoding of integers above 32 bits.
fn long_length(length: u64) -> Vec<u8> {
    let mut bytes = vec![0xfd];
    bytes.extend_from_slice(&length.to_le_bytes());
    bytes
}

#[rstest]
#[case::report(report())]
#[case::listing(listing())]
#[case::control(control())]
#[case::members(PeerMessage::Members(vec![fixtures::member("edge-1"), fixtures::member("edge-2")]))]
#[case::quota_query(fixtures::quota_query(false))]
#[case::rollouts(fixtures::rollouts())]
#[case::suspects(fixtures::suspects())]
fn damaged_messages_are_rejected_without_a_panic(#[case] message: PeerMessage) {
    let bytes = encode(&message);
    assert_eq!(peer_message::decode(&bytes), Some((message, None)));
    for seed in 0..DAMAGED_COPIES {
        let mut random = StdRng::seed_from_u64(seed);
        let mut damaged = bytes.clone();
        for _ in 0..random.random_range(1..4) {
            let at = random.random_range(0..damaged.len());
            match random.random_range(0..4) {
                0 => damaged[at] = random.random(),
                1 => damaged.truncate(at.max(1)),
                2 => damaged.insert(at, random.random()),
                _ => {
                    let length = random.random::<u64>() >> random.random_range(0..64);
                    damaged.splice(at..=at, long_length(length));
                }
            }
        }
        // Some damaged messages are valid ones; the others must only be rejected.
        if let Some((PeerMessage::Suspects(reports), _)) = peer_message::decode(&damaged) {
            let now = Duration::from_secs(5);
            let mut table = SuspectTable::default();
            for report in &reports {
                table.merge(now, report);
            }
            table.verdict(now, &[SuspectKey::Shared(7)], Some(0));
            table.repeat_reports(now);
        }
    }
}

/// A length is read before the bytes that it counts, and the memory for them must not be reserved
/// on the sender's word.
#[rstest]
#[case::beyond_any_memory(u64::MAX)]
#[case::beyond_this_machine(1 << 42)]
#[case::beyond_a_small_instance(1 << 30)]
fn a_text_longer_than_its_datagram_is_rejected(#[case] length: u64) {
    let bytes = encode(&fixtures::quota_query(false));
    let at = bytes.windows(4).position(|it| it == b"coop").expect("the customer's id") - 1;
    let mut claimed = bytes.clone();
    claimed.splice(at..=at, long_length(length));
    assert_eq!(peer_message::decode(&claimed), None);
}

/// Integers that are small on the wire and long in memory.
#[test]
fn a_message_of_the_longest_datagram_is_decoded() {
    let status =
        |member| WeightStatus { member, incarnation: 0, loaded: 0, commanded: 0, accepted: 0 };
    let statuses = (0..(MAX_DATAGRAM_BYTES as u64 - 8) / 5).map(|it| status(it % 200));
    let message = PeerMessage::Weights(statuses.collect());
    let bytes = encode(&message);
    assert!(
        (MAX_DATAGRAM_BYTES - 16..=MAX_DATAGRAM_BYTES).contains(&bytes.len()),
        "{}",
        bytes.len()
    );
    assert_eq!(peer_message::decode(&bytes), Some((message, None)));
}

/// Guards against daemons of the version before, which read the stamp right behind the message: the
/// rules for cold replicas follow the stamp, and nothing does without such rules.
#[test]
fn rules_for_cold_replicas_follow_the_stamp() {
    let message = |cold| {
        let pool = PoolRule { engine: None, kv_store: None, cold };
        let config = SiteConfig {
            revision: Revision(7),
            routes: Vec::new(),
            pools: [("desk".parse().expect("an id"), pool)].into_iter().collect(),
            customers: Default::default(),
            keys: Default::default(),
            limits: CallerLimits { header_bytes: 1, body_bytes: 1, idle_time: Duration::ZERO },
            regions: Default::default(),
        };
        let state = ControlState { config: Some(config), ..ControlState::default() };
        PeerMessage::Control(Revision(4), Duration::ZERO, Box::new(state))
    };
    let rule = ColdRule { time: Duration::from_millis(6_500), per_s: 8.0 };
    let stamp = MessageStamp { incarnation: Incarnation(3), sent_at: rule.time, echo: None };
    let paced = message(Some(rule));
    let encoded = peer_message::encode(&paced).expect("it can be encoded");
    assert_eq!(peer_message::encode(&message(None)), Some(encoded.clone()));
    assert!(peer_message::encode_tail(&message(None)).is_empty());
    let stamped = [encoded.clone(), stamp.encode()].concat();
    assert_eq!(peer_message::decode(&stamped), Some((message(None), Some(stamp))));
    let tail = peer_message::encode_tail(&paced);
    let whole = [stamped, tail.clone()].concat();
    assert_eq!(peer_message::decode(&whole), Some((paced.clone(), Some(stamp))));
    let joined = [encoded, tail].concat();
    assert_eq!(peer_message::decode_joined(&joined), Some(paced));
}

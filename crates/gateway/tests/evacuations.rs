//! Evacuations and regions in the state that daemons pass on to each other.

mod fixtures;

use std::time::Duration;

use gateway::cluster_view::{ClusterView, UnseenVersion, ViewChange};
use gateway::config::{CallerLimits, ControlState, RegionRules, SiteConfig, SupersededWeights};
use gateway::directory::Snapshot;
use gateway::message_stamp::{MessageStamp, StampTable};
use gateway::peer_message::{self, PeerMessage};
use ids::{FailureDomain, Incarnation, Revision};
use rstest::rstest;

const UNSEEN: UnseenVersion =
    UnseenVersion { initial_age: Duration::ZERO, max_gap: Duration::from_secs(2) };

/// The evacuated domains, a letter each; `None` if the state leaves them out.
type Domains = Option<&'static str>;

fn domains(letters: &str) -> Vec<FailureDomain> {
    letters.chars().map(|it| it.to_string().parse().expect("an id")).collect()
}

fn config(revision: u64, with_regions: bool) -> SiteConfig {
    let mut regions = RegionRules::default();
    if with_regions {
        regions.routes.insert("ask".parse().expect("an id"), vec!["north".into()]);
        regions.kv_domains.insert("kv".parse().expect("an id"), domains("a").remove(0));
    }
    SiteConfig {
        revision: Revision(revision),
        routes: Vec::new(),
        pools: Default::default(),
        customers: Default::default(),
        keys: Default::default(),
        limits: CallerLimits { header_bytes: 1, body_bytes: 1, idle_time: Duration::ZERO },
        regions,
    }
}

fn state(config: Option<SiteConfig>, evacuated: Domains) -> ControlState {
    ControlState { config, evacuated: evacuated.map(domains), ..ControlState::default() }
}

/// Applies a state of this revision, which is read at as many milliseconds.
fn apply(view: &mut ClusterView, revision: u64, state: ControlState) -> ViewChange {
    let read_at = Duration::from_millis(revision);
    let value = Snapshot { revision: Revision(revision), store_time: Duration::ZERO, value: state };
    view.apply_control(read_at, read_at, UNSEEN, value)
}

fn message(state: ControlState) -> PeerMessage {
    PeerMessage::Control(Revision(4), Duration::from_secs(1), Box::new(state))
}

fn encode(state: ControlState) -> Vec<u8> {
    peer_message::encode(&message(state)).expect("a message of this version")
}

fn stamp() -> MessageStamp {
    let peer = std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST);
    StampTable::new(Incarnation(u64::MAX)).stamp(peer, Duration::from_secs(3))
}

/// Decodes as the version before did: the superseded weights follow the message, then the stamp.
fn decode_as_before(bytes: &[u8]) -> (PeerMessage, Option<MessageStamp>) {
    let config = bincode::config::standard();
    let (mut message, length): (PeerMessage, usize) =
        bincode::serde::decode_from_slice(bytes, config).expect("a message");
    let mut rest = &bytes[length..];
    let PeerMessage::Control(_, _, state) = &mut message else { panic!("a control state") };
    let (superseded, length): (SupersededWeights, usize) =
        bincode::serde::decode_from_slice(rest, config).expect("superseded weights");
    state.superseded_weights = superseded;
    rest = &rest[length..];
    (message, bincode::serde::decode_from_slice(rest, config).ok().map(|it| it.0))
}

#[rstest]
#[case::evacuations(state(Some(config(7, false)), Some("ab")))]
#[case::all_ended(state(Some(config(7, false)), Some("")))]
#[case::regions(state(Some(config(7, true)), None))]
#[case::both(state(Some(config(7, true)), Some("a")))]
#[case::no_configuration(state(None, Some("a")))]
fn an_extended_state_is_read_whole_and_as_before_by_older_daemons(#[case] state: ControlState) {
    let mut bytes = encode(state.clone());
    assert_eq!(peer_message::decode(&bytes), Some((message(state.clone()), None)));
    assert_eq!(peer_message::decode_joined(&bytes), Some(message(state.clone())));
    bytes.extend(stamp().encode());
    assert_eq!(peer_message::decode(&bytes), Some((message(state.clone()), Some(stamp()))));
    // A wrong stamp would shift the sender's clock.
    let (known, found_stamp) = decode_as_before(&bytes);
    let plain = state.config.map(|it| SiteConfig { regions: RegionRules::default(), ..it });
    assert_eq!(known, message(ControlState { config: plain, evacuated: None, ..state }));
    assert_eq!(found_stamp, None);
}

#[test]
fn a_state_without_evacuations_and_regions_is_encoded_as_before() {
    let mut view = ClusterView::default();
    let plain = state(Some(config(7, false)), None);
    let mut bytes =
        bincode::serde::encode_to_vec(message(plain.clone()), bincode::config::standard())
            .expect("a message");
    // No superseded weights.
    bytes.push(0);
    apply(&mut view, 10, state(Some(config(7, false)), Some("")));
    assert_eq!(encode(view.control(Duration::ZERO)), bytes);
    let mut before = ClusterView::default();
    apply(&mut before, 10, plain);
    assert_eq!(view.control_hash(), before.control_hash());
}

/// Guards against an evacuation that ends by a reading that says nothing of its end, and against one
/// that begins again by an old reading.
#[rstest]
#[case::begins(&[(10, Some(7), Some("a"))], "a")]
#[case::several(&[(10, Some(7), Some("a")), (11, Some(7), Some("ab"))], "ab")]
#[case::ends(&[(10, Some(7), Some("ab")), (11, Some(7), Some("b"))], "b")]
#[case::older_without(&[(10, Some(7), Some("a")), (9, Some(7), Some(""))], "a")]
#[case::older_with(&[(10, Some(7), Some("a")), (12, Some(7), Some("")), (11, Some(7), Some("a"))], "")]
#[case::older_with_after_none(&[(12, Some(7), Some("")), (11, Some(7), Some("a"))], "")]
#[case::left_out(&[(10, Some(7), Some("a")), (11, Some(7), None)], "a")]
#[case::ends_after_left_out(&[(10, Some(7), Some("a")), (12, Some(7), None), (11, Some(7), Some(""))], "")]
#[case::lost_configuration(&[(10, Some(7), Some("a")), (11, None, Some("b"))], "ab")]
#[case::lost_newer_configuration(&[(10, Some(7), Some("a")), (11, Some(6), Some(""))], "a")]
#[case::ends_after_a_loss(&[(10, Some(7), Some("a")), (11, None, Some("")), (12, Some(7), Some(""))], "")]
#[case::new_configuration(&[(10, Some(7), Some("a")), (11, Some(8), Some(""))], "")]
fn evacuations_follow_the_newest_reading(
    #[case] readings: &[(u64, Option<u64>, Domains)],
    #[case] expected: &str,
) {
    let mut view = ClusterView::default();
    for (revision, version, evacuated) in readings {
        apply(&mut view, *revision, state(version.map(|it| config(it, false)), *evacuated));
    }
    assert_eq!(view.evacuated(), domains(expected));
    // A daemon that starts afterwards learns the same from this one.
    let mut fresh = ClusterView::default();
    let bytes = encode(view.control(Duration::from_secs(1)));
    let Some((PeerMessage::Control(_, _, passed_on), _)) = peer_message::decode(&bytes) else {
        panic!("not decoded: {bytes:?}");
    };
    apply(&mut fresh, view.control_revision().0, *passed_on);
    assert_eq!(fresh.evacuated(), domains(expected));
    assert_eq!(fresh.control_hash(), view.control_hash());
}

/// Daemons compare hashes; a state that leaves out known evacuations must not count as a
/// confirmation, so that the daemon reads the store.
#[test]
fn evacuations_change_the_hash_and_are_confirmed_only_by_a_state_that_names_them() {
    let mut view = ClusterView::default();
    apply(&mut view, 10, state(Some(config(7, false)), Some("")));
    let hash_without = view.control_hash();
    assert!(apply(&mut view, 11, state(Some(config(7, false)), Some("a"))).any());
    assert_ne!(view.control_hash(), hash_without);
    apply(&mut view, 12, state(Some(config(7, false)), None));
    assert_eq!(view.control_confirmed_at(), Some(Duration::from_millis(11)));
    assert!(apply(&mut view, 13, state(Some(config(7, false)), Some(""))).evacuated);
    assert_eq!(view.control_confirmed_at(), Some(Duration::from_millis(13)));
    assert_eq!(view.control_hash(), hash_without);
    assert_eq!(view.control(Duration::ZERO).evacuated, Some(Vec::new()), "peers learn of the end");
}

/// Guards against a configuration that lost its regions on the way through an older daemon.
#[test]
fn regions_are_added_to_a_configuration_that_came_without_them() {
    let mut view = ClusterView::default();
    apply(&mut view, 10, state(Some(config(7, false)), None));
    assert!(apply(&mut view, 10, state(Some(config(7, true)), Some(""))).config);
    assert!(!apply(&mut view, 11, state(Some(config(7, false)), None)).any());
    assert!(view.config().is_some_and(|it| !it.regions.is_empty()));
}

//! What daemons tell each other about a rollout: stages only grow, evidence is counted once on each
//! way through the tree of hubs, and an earlier order changes nothing.

use std::time::Duration;

use gateway::message_stamp::MessageStamp;
use gateway::peer_message::{self, GossipDirection, PeerMessage, RolloutReport};
use gateway::rollout_table::RolloutTable;
use ids::{Incarnation, PoolId, Revision};
use policy::rollout_stage::{ALL_TRAFFIC, RolloutStage, TrafficShare};
use policy::rollout_trial::{AttemptOutcome, RolloutEvidence};
use rstest::rstest;

const NOW: Duration = Duration::from_secs(100);
const ORDER: Revision = Revision(7);
const TRIAL: RolloutStage = RolloutStage::Running(TrafficShare(80));

fn pool() -> PoolId {
    "desk".parse().expect("an id")
}

/// A daemon that has seen this many requests on the new release.
fn daemon(requests: usize) -> RolloutTable {
    let mut table = RolloutTable::default();
    table.advance(NOW, &pool(), ORDER, TRIAL);
    for _ in 0..requests {
        let outcome = AttemptOutcome::Answered(Duration::from_millis(20));
        table.record(&pool(), ORDER, 1, true, outcome);
    }
    table
}

fn report(table: &RolloutTable, direction: GossipDirection, children: &[u64]) -> RolloutReport {
    table.report(NOW, &pool(), ORDER, direction, children)
}

fn requests(report: &RolloutReport) -> u64 {
    RolloutEvidence::from_routes(&report.evidence).new_requests()
}

#[test]
fn each_request_counts_once_on_the_way_through_two_hubs() {
    let (child, mut first, mut second, mut other_child) =
        (daemon(1), daemon(10), daemon(100), daemon(1_000));
    let up = report(&child, GossipDirection::ToParent, &[]);
    let other_up = report(&other_child, GossipDirection::ToParent, &[]);
    // Twice, as a report that is sent again replaces the one before.
    for _ in 0..2 {
        first.merge(NOW, 1, &up);
        second.merge(NOW, 4, &other_up);
    }
    let across = report(&first, GossipDirection::BetweenHubs, &[1]);
    let back = report(&second, GossipDirection::BetweenHubs, &[4]);
    assert_eq!((requests(&across), requests(&back)), (11, 1_100));
    second.merge(NOW, 2, &across);
    first.merge(NOW, 3, &back);
    assert_eq!(requests(&report(&first, GossipDirection::BetweenHubs, &[1])), 11);
    let down = report(&second, GossipDirection::ToChild(4), &[4]);
    assert_eq!(requests(&down), 1_111);
    // A child takes the sum of its hub for all daemons, itself included.
    other_child.merge(NOW, 3, &down);
    assert_eq!(other_child.judge(NOW, &pool(), ORDER, Some(3)).new_requests, 1_111);
    assert_eq!(first.judge(NOW, &pool(), ORDER, None).new_requests, 1_111);
}

#[test]
fn evidence_of_a_silent_peer_does_not_count_for_ever() {
    let (mut table, peer) = (daemon(1), daemon(10));
    table.merge(NOW, 1, &report(&peer, GossipDirection::BetweenHubs, &[]));
    assert_eq!(table.judge(NOW, &pool(), ORDER, None).new_requests, 11);
    let later = NOW + Duration::from_secs(5);
    assert_eq!(table.judge(later, &pool(), ORDER, None).new_requests, 1);
}

#[rstest]
#[case::grows(RolloutStage::Running(ALL_TRAFFIC), RolloutStage::Running(ALL_TRAFFIC))]
#[case::older_news(RolloutStage::Running(TrafficShare(10)), TRIAL)]
#[case::taken_back(RolloutStage::RolledBack, RolloutStage::RolledBack)]
fn the_latest_stage_counts(#[case] heard: RolloutStage, #[case] expected: RolloutStage) {
    let mut table = daemon(0);
    let news = RolloutReport {
        pool: pool(),
        order: ORDER,
        stage: Some(heard),
        evidence: vec![],
        history: Default::default(),
    };
    table.merge(NOW, 1, &news);
    assert_eq!(table.stage(&pool(), ORDER), Some(expected));
}

#[test]
fn a_later_order_begins_anew_and_an_earlier_one_changes_nothing() {
    let mut table = daemon(5);
    table.advance(NOW, &pool(), ORDER, RolloutStage::RolledBack);
    let next = Revision(9);
    assert_eq!(table.stage(&pool(), next), None);
    table.advance(NOW, &pool(), next, TRIAL);
    assert_eq!(table.judge(NOW, &pool(), next, None).new_requests, 0);
    let stage = Some(RolloutStage::Completed);
    let old = RolloutReport {
        pool: pool(),
        order: ORDER,
        stage,
        evidence: vec![],
        history: Default::default(),
    };
    table.merge(NOW, 1, &old);
    assert_eq!(table.stage(&pool(), next), Some(TRIAL));
}

/// A daemon that has just started knows the order, but not how far it is.
#[test]
fn a_new_daemon_is_told_the_stage() {
    let (mut known, new) = (daemon(0), RolloutTable::default());
    let question = report(&new, GossipDirection::ToParent, &[]);
    assert_eq!(question.stage, None);
    assert!(known.merge(NOW, 1, &question));
}

#[test]
fn peers_hear_of_an_end_for_some_time() {
    let mut table = daemon(0);
    assert!(table.is_active(NOW + Duration::from_secs(600), &pool(), ORDER));
    table.advance(NOW, &pool(), ORDER, RolloutStage::Completed);
    assert!(table.is_active(NOW + Duration::from_secs(5), &pool(), ORDER));
    assert!(!table.is_active(NOW + Duration::from_secs(11), &pool(), ORDER));
}

/// The order that replaces `ORDER`.
const NEXT_ORDER: Revision = Revision(9);

/// Guards against a release that counts as an old one because another order replaced its rollout.
#[rstest]
#[case::on_trial(Some(TRIAL), true)]
#[case::not_begun(None, true)]
#[case::with_all_traffic(Some(RolloutStage::Running(ALL_TRAFFIC)), true)]
#[case::rolled_back(Some(RolloutStage::RolledBack), true)]
#[case::completed(Some(RolloutStage::Completed), false)]
fn a_release_is_rejected_unless_its_rollout_was_completed(
    #[case] stage: Option<RolloutStage>,
    #[case] is_rejected: bool,
) {
    let mut table = RolloutTable::default();
    // A peer may name the stage before this daemon knows the order.
    stage.iter().for_each(|it| table.advance(NOW, &pool(), ORDER, *it));
    table.begin(&pool(), ORDER, "v2");
    assert!(!table.history(&pool()).is_rejected("v1"));
    table.begin(&pool(), NEXT_ORDER, "v3");
    assert_eq!(table.history(&pool()).is_rejected("v2"), is_rejected);
    assert!(!table.history(&pool()).is_rejected("v3"));
}

/// A daemon that has not heard of the completion takes the release for replaced, until a peer tells.
#[test]
fn peers_tell_each_other_what_came_of_earlier_rollouts() {
    let (mut late, mut knowing) = (RolloutTable::default(), RolloutTable::default());
    for table in [&mut late, &mut knowing] {
        table.begin(&pool(), ORDER, "v2");
    }
    knowing.advance(NOW, &pool(), ORDER, RolloutStage::Completed);
    for table in [&mut late, &mut knowing] {
        table.begin(&pool(), NEXT_ORDER, "v3");
    }
    assert!(late.history(&pool()).is_rejected("v2"));
    let direction = GossipDirection::BetweenHubs;
    let news = knowing.report(NOW, &pool(), NEXT_ORDER, direction, &[]);
    knowing.merge(NOW, 1, &late.report(NOW, &pool(), NEXT_ORDER, direction, &[]));
    late.merge(NOW, 2, &news);
    assert_eq!(late.history(&pool()), knowing.history(&pool()));
    assert!(!late.history(&pool()).is_rejected("v2"));
}

/// The version before reads a message up to its stamp and writes nothing behind that.
#[test]
fn earlier_rollouts_stand_behind_the_message_and_its_stamp() {
    let mut table = RolloutTable::default();
    table.begin(&pool(), ORDER, "v2");
    let bare = table.report(NOW, &pool(), ORDER, GossipDirection::ToParent, &[]);
    table.advance(NOW, &pool(), ORDER, RolloutStage::RolledBack);
    let history = table.history(&pool()).as_ref().clone();
    let message = |report| PeerMessage::Rollouts { sender: 5, reports: vec![report] };
    let full = message(RolloutReport { history, ..bare.clone() });
    let bytes = peer_message::encode(&full).expect("encodes");
    assert_eq!(peer_message::encode(&message(bare.clone())), Some(bytes.clone()));
    let stamp = MessageStamp { incarnation: Incarnation(3), sent_at: NOW, echo: None }.encode();
    let before = [&bytes[..], &stamp].concat();
    assert_eq!(peer_message::decode(&before).expect("decodes").0, message(bare));
    let tail = peer_message::encode_tail(&full);
    let now = [&before[..], &tail].concat();
    assert_eq!(peer_message::decode(&now).expect("decodes").0, full);
}

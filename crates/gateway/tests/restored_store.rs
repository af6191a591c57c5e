//! A daemon's copy of the shared state when the store comes back from an older copy and gives
//! revisions out again.

mod fixtures;

use std::time::Duration;

use fixtures::entry;
use gateway::cluster_view::{ClusterView, UnseenVersion, ViewChange};
use gateway::config::{ControlState, PoolRollout};
use gateway::directory::Snapshot;
use ids::{FailureDomain, Revision, StoreEra};
use rstest::rstest;

fn s(time: u64) -> Duration {
    Duration::from_secs(time)
}

fn revision(era: u64, counter: u64) -> Revision {
    Revision::in_era(StoreEra(era), counter).expect("small numbers")
}

fn apply(
    view: &mut ClusterView,
    at: Duration,
    revision: Revision,
    value: ControlState,
) -> ViewChange {
    let unseen = UnseenVersion { initial_age: Duration::ZERO, max_gap: s(2) };
    let snapshot = Snapshot { revision, store_time: Duration::ZERO, value };
    view.apply_control(at, at, unseen, snapshot)
}

fn evacuated(domains: &[&str]) -> ControlState {
    let domains: Vec<FailureDomain> = domains.iter().map(|it| it.parse().expect("an id")).collect();
    ControlState { evacuated: Some(domains), ..ControlState::default() }
}

fn ordered(to: &str, revision: Revision) -> ControlState {
    let pool: ids::PoolId = "desk".parse().expect("an id");
    let rollout = PoolRollout { pool: pool.clone(), to: to.into(), revision, duration: s(8) };
    ControlState { rollouts: [(pool, rollout)].into_iter().collect(), ..evacuated(&[]) }
}

#[rstest]
#[case::next_era((0, 500), (1, 3))]
#[case::eras_count_as_numbers((9, 7), (10, 7))]
#[case::same_era((1, 3), (1, 4))]
fn a_later_era_is_newer_whatever_its_counter(#[case] older: (u64, u64), #[case] newer: (u64, u64)) {
    assert!(revision(older.0, older.1) < revision(newer.0, newer.1));
    let newer = revision(newer.0, newer.1);
    assert_eq!(revision(newer.era().0, newer.counter()), newer);
}

#[test]
fn numbers_that_do_not_fit_are_no_revision() {
    assert_eq!(Revision::in_era(StoreEra(0), 1 << 40), None);
    assert_eq!(Revision::in_era(StoreEra(1 << 24), 1), None);
}

#[test]
fn a_copy_is_confirmed_by_a_read_of_a_later_era() {
    let mut view = ClusterView::default();
    apply(&mut view, s(1), revision(0, 500), evacuated(&[]));
    apply(&mut view, s(5), revision(1, 400), evacuated(&[]));
    assert_eq!(view.control_confirmed_at(), Some(s(5)));
    // An answer of the era before, which was under way for long.
    apply(&mut view, s(6), revision(0, 510), evacuated(&[]));
    assert_eq!(view.control_confirmed_at(), Some(s(5)));
}

#[test]
fn a_removed_replica_is_not_listed_again_by_an_older_copy() {
    let mut view = ClusterView::default();
    let count = |view: &ClusterView| view.listing().map_or(0, |it| it.entries.len());
    view.apply_listing(s(1), revision(0, 1), vec![entry("a", false), entry("b", false)]);
    view.apply_listing(s(2), revision(0, 9), vec![entry("a", false)]);
    view.apply_listing(s(5), revision(1, 5), vec![entry("a", false), entry("b", false)]);
    assert_eq!(count(&view), 1, "the copy is older than the removal");
    view.apply_listing(s(20), revision(1, 60), vec![entry("a", false), entry("b", false)]);
    assert_eq!(count(&view), 2, "an entry that is still written is of a running replica");
}

/// A replica that registered after the copy is not listed until it has written its entry again.
#[test]
fn a_replica_that_the_copy_lacks_is_used_once_it_is_listed_again() {
    let mut view = ClusterView::default();
    view.apply_listing(s(1), revision(0, 9), vec![entry("a", false), entry("b", false)]);
    view.apply_listing(s(5), revision(1, 5), vec![entry("a", false)]);
    view.apply_listing(s(6), revision(1, 6), vec![entry("a", false), entry("b", false)]);
    assert_eq!(view.listing().map(|it| it.entries.len()), Some(2));
}

#[test]
fn an_evacuation_that_the_copy_lacks_goes_on_until_operators_had_time_to_order_it_again() {
    let mut view = ClusterView::default();
    apply(&mut view, s(1), revision(0, 500), evacuated(&["a"]));
    apply(&mut view, s(5), revision(1, 400), evacuated(&[]));
    apply(&mut view, s(10), revision(1, 401), evacuated(&[]));
    assert_eq!(view.evacuated().len(), 1);
    apply(&mut view, s(16), revision(1, 402), evacuated(&[]));
    assert!(view.evacuated().is_empty(), "it was ended");
}

#[rstest]
#[case::written_again("v2", 1)]
#[case::another_one("v3", 0)]
fn an_order_that_is_written_again_is_the_same_one(#[case] to: &str, #[case] renumbered: usize) {
    let mut view = ClusterView::default();
    apply(&mut view, s(1), revision(0, 500), ordered("v2", revision(0, 490)));
    let change = apply(&mut view, s(5), revision(1, 410), ordered(to, revision(1, 405)));
    assert!(change.rollouts);
    assert_eq!(view.take_renumbered().len(), renumbered);
}

#[test]
fn a_view_is_ahead_while_the_store_lacks_what_it_knows() {
    let mut view = ClusterView::default();
    apply(&mut view, s(1), revision(0, 500), ordered("v2", revision(0, 490)));
    assert!(!view.is_ahead());
    apply(&mut view, s(5), revision(1, 400), evacuated(&[]));
    assert!(view.is_ahead());
    apply(&mut view, s(7), revision(1, 410), ordered("v2", revision(1, 405)));
    assert!(!view.is_ahead());
}

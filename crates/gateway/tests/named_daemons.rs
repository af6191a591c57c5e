//! A hub names the daemons that it reaches once, and then only says that they are still the same.

use std::time::Duration;

use gateway::members::MemberTable;
use gateway::peer_message::{GossipExtension, StateDigests};
use policy::rendezvous;

mod fixtures;

const START: Duration = Duration::from_secs(100);
const PERIOD: Duration = Duration::from_millis(250);
/// Enough daemons that some of them are no hubs.
const FLEET: usize = 30;

fn hash(number: usize) -> u64 {
    rendezvous::hash_member(&format!("edge-{number}"))
}

/// A daemon that knows all others by name and has seen none of them.
fn daemon(number: usize) -> MemberTable {
    let own = fixtures::member(&format!("edge-{number}"));
    let mut table = MemberTable::new(own, Vec::new());
    for other in (0..FLEET).filter(|it| *it != number) {
        table.add(START, &fixtures::member(&format!("edge-{other}")));
    }
    table
}

/// A hub that has just seen these daemons.
fn hub(now: Duration, seen: std::ops::Range<usize>) -> MemberTable {
    let mut hub = daemon(0);
    seen.for_each(|it| hub.record_alive(hash(it), now, false));
    hub
}

fn list(hub: &MemberTable, now: Duration) -> Vec<(u64, Duration, bool)> {
    hub.reachable(now).collect()
}

fn reached(table: &MemberTable, now: Duration) -> usize {
    table.reachable(now).count()
}

#[test]
fn daemons_that_are_still_the_same_stay_reachable_without_being_named() {
    let mut child = daemon(29);
    let hub_then = hub(START, 1..FLEET);
    let digest = hub_then.reachable_digest(START);
    child.record_named(START, hash(0), digest, &list(&hub_then, START));
    let mut now = START;
    for _ in 0..40 {
        now += PERIOD;
        child.record_named(now, hash(0), hub(now, 1..FLEET).reachable_digest(now), &[]);
    }
    // All but itself and the hub, which is seen by its own reports.
    assert_eq!(reached(&child, now), FLEET - 2);
}

#[test]
fn a_daemon_that_the_hub_no_longer_reaches_is_unreachable_at_once() {
    let mut child = daemon(29);
    let before = hub(START, 1..FLEET);
    child.record_named(START, hash(0), before.reachable_digest(START), &list(&before, START));
    let now = START + PERIOD;
    let after = hub(now, 2..FLEET);
    child.record_named(now, hash(0), after.reachable_digest(now), &list(&after, now));
    assert_eq!(reached(&child, now), FLEET - 3);
    assert!(child.reachable(now).all(|it| it.0 != hash(1)));
}

/// The list after a change gets lost: what the child has no longer counts, and the hub learns so.
#[test]
fn a_list_that_got_lost_is_sent_again() {
    let (mut child, before) = (daemon(29), hub(START, 1..FLEET));
    let old_digest = before.reachable_digest(START);
    child.record_named(START, hash(0), old_digest, &list(&before, START));
    let later = START + Duration::from_secs(3);
    let digest = hub(later, 1..FLEET - 5).reachable_digest(later);
    assert_ne!(digest, old_digest);
    child.record_named(later, hash(0), digest, &[]);
    assert_eq!(reached(&child, later), 0);
    // What the child reports to its hub.
    let mut hub = daemon(0);
    let own = fixtures::member("edge-29");
    hub.record_message(later, &own, FLEET, true);
    let report = |reachable| {
        Some(GossipExtension {
            loads_are_changes: false,
            digests: StateDigests::default(),
            reachable,
        })
    };
    hub.record_extension(&own.id, report(old_digest));
    assert!(!hub.has_reachable(hash(29), digest));
    hub.record_extension(&own.id, report(digest));
    assert!(hub.has_reachable(hash(29), digest));
    hub.record_extension(&own.id, None);
    assert!(!hub.has_reachable(hash(29), digest));
}

#[test]
fn the_digest_of_one_hub_says_nothing_of_the_list_of_another() {
    let (mut child, hub) = (daemon(29), hub(START, 1..FLEET));
    let digest = hub.reachable_digest(START);
    child.record_named(START, hash(0), digest, &list(&hub, START));
    let later = START + Duration::from_secs(3);
    child.record_named(later, hash(1), digest, &[]);
    assert_eq!(reached(&child, later), 0);
}

#[test]
fn a_daemon_that_begins_to_leave_changes_the_digest() {
    let mut hub = hub(START, 1..FLEET);
    let before = hub.reachable_digest(START);
    hub.record_alive(hash(5), START, true);
    assert_ne!(hub.reachable_digest(START), before);
}

//! Lagging daemons are sent long state again and again until they have it, but not with each report.

use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

use gateway::resend_limit::{ResendLimit, WholeState};

/// A daemon that lags behind says so in each of its reports, every 250 ms. If what it is sent gets
/// lost, it is sent again.
#[test]
fn state_that_gets_lost_is_sent_again() {
    let mut limit = ResendLimit::default();
    let to = IpAddr::V4(Ipv4Addr::LOCALHOST);
    let reports = (0..40).map(|it| Duration::from_secs(30) + it * Duration::from_millis(250));
    let sent = reports.filter(|now| limit.begin(*now, to, WholeState::Listing)).count();
    assert_eq!(sent, 20, "twice a second for ten seconds");
}

/// A change reaches a daemon later than a report that the daemon has sent already.
#[test]
fn a_daemon_that_was_just_sent_a_change_does_not_lag() {
    let mut limit = ResendLimit::default();
    let (to, now) = (IpAddr::V4(Ipv4Addr::LOCALHOST), Duration::from_secs(30));
    limit.record_change(now, to, WholeState::Listing);
    let soon = now + Duration::from_millis(250);
    assert!(!limit.begin(soon, to, WholeState::Listing));
    assert!(limit.begin(soon, to, WholeState::Control));
    // The change may have got lost.
    assert!(limit.begin(now + Duration::from_millis(500), to, WholeState::Listing));
}

#[test]
fn each_daemon_and_each_state_is_limited_alone() {
    let mut limit = ResendLimit::default();
    let now = Duration::from_secs(30);
    let first = IpAddr::V4(Ipv4Addr::new(127, 0, 0, 1));
    let second = IpAddr::V4(Ipv4Addr::new(127, 0, 0, 2));
    assert!(limit.begin(now, first, WholeState::Listing));
    assert!(limit.begin(now, first, WholeState::Control));
    assert!(limit.begin(now, second, WholeState::Listing));
    assert!(!limit.begin(now, first, WholeState::Listing));
}

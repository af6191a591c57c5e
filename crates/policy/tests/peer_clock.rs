//! How long messages have been on the way at most.

use std::time::Duration;

use policy::peer_clock::PeerClock;
use rstest::rstest;

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// Two processes; the second one's clock is ahead by `ahead`.
struct ClockPair {
    ahead: Duration,
    first: PeerClock,
    second: PeerClock,
}

impl ClockPair {
    fn new(ahead: Duration) -> ClockPair {
        ClockPair { ahead, first: PeerClock::default(), second: PeerClock::default() }
    }

    /// Sends a message from the first to the second process and one back, with the delays given.
    fn exchange(&mut self, now: Duration, there: Duration, back: Duration) {
        self.second.record_arrival(now + there + self.ahead, now);
        let lead = self.second.least_lead().expect("the message that arrived");
        let sent_at = now + there + self.ahead;
        self.first.record_arrival(now + there + back, sent_at);
        self.first.record_report(lead);
    }

    /// The bound for a message to the first process, sent at `now`.
    fn bound(&self, now: Duration, delay: Duration) -> Option<Duration> {
        self.first.max_transit_time(now + delay, now + self.ahead)
    }
}

#[rstest]
#[case::equal_clocks(0)]
#[case::clocks_of_different_starts(86_400_000)]
fn the_time_in_a_queue_is_bounded_from_above(#[case] ahead_ms: u64) {
    let mut pair = ClockPair::new(ms(ahead_ms));
    assert_eq!(pair.bound(ms(1_000), ms(1)), None, "nothing is known before the first answer");
    pair.exchange(ms(2_000), ms(40), ms(3));
    pair.exchange(ms(3_000), ms(2), ms(700));
    for delay in [0, 1, 250, 2_000] {
        let bound = pair.bound(ms(4_000), ms(delay)).expect("an answer arrived");
        assert!(bound >= ms(delay), "{bound:?} for {delay} ms");
        assert!(bound <= ms(delay + 2), "off by the fastest message at most: {bound:?}");
    }
}

#[test]
fn a_process_that_stands_still_does_not_make_messages_younger() {
    let mut pair = ClockPair::new(ms(500));
    pair.exchange(ms(1_000), ms(1), ms(1));
    // Sent while the first process stands still, which handles it 3 s later.
    pair.exchange(ms(2_000), ms(3_000), ms(1));
    assert!(pair.bound(ms(6_000), ms(1_500)).is_some_and(|it| it >= ms(1_500)));
}

/// A bound that is never renewed would be off by as much as the clocks have drifted since.
#[test]
fn bounds_follow_clocks_that_drift() {
    let mut clock = PeerClock::default();
    for second in 0..600 {
        // The other clock loses a millisecond a second.
        let now = ms(second * 1_000);
        clock.record_arrival(now, ms(second * 999));
    }
    let least = clock.least_lead().expect("messages arrived");
    let mut recent = PeerClock::default();
    recent.record_arrival(ms(540_000), ms(540 * 999));
    assert!(Some(least) >= recent.least_lead(), "{least:?}");
}

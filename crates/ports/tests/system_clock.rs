//! The clock of the operating system.

use std::time::Duration;

use ports::{Clock, SystemClock};

/// The longest age that a daemon learns from its peers: crashes count for an hour, and rollouts and
/// members travel with ages as well.
const LONGEST_AGE: Duration = Duration::from_secs(2 * 3_600);

/// On a host that has just started, an age from a peer must not be cut to the host's uptime: old
/// evidence would count as fresh.
#[test]
fn times_before_the_start_of_the_host_can_be_expressed() {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let uptime = Duration::new(now.tv_sec as u64, now.tv_nsec as u32);
    assert!(SystemClock.now().checked_sub(uptime + LONGEST_AGE).is_some());
}

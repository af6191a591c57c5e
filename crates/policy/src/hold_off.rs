//! How long a replica wants no requests from this daemon, as it said when it turned one away.
//!
//! Load pattern: a pool at its limit, where each daemon that comes back at once and with all it has
//! would be turned away again.

use std::time::Duration;

/// Upper limit of one hold-off, so that a value by mistake does not take a replica away for good.
const MAX_HOLD_OFF: Duration = Duration::from_secs(600);
/// How long after its end the number of requests is limited.
const RETURN_TIME: Duration = Duration::from_secs(1);
/// The time in which that limit grows by one.
const RETURN_STEP: Duration = Duration::from_millis(100);

/// The hold-off of one replica, in one incarnation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HoldOff {
    until: Option<Duration>,
}

impl HoldOff {
    /// Records that the replica wants nothing for a time. A shorter one does not end a longer one.
    pub fn extend(&mut self, now: Duration, time: Duration) {
        self.until = self.until.max(Some(now + time.min(MAX_HOLD_OFF)));
    }

    /// The one of two that ends later.
    pub fn longer(self, other: HoldOff) -> HoldOff {
        HoldOff { until: self.until.max(other.until) }
    }

    /// When it ends; `None` if the replica wants requests now.
    pub fn ends_at(&self, now: Duration) -> Option<Duration> {
        self.until.filter(|it| now < *it)
    }

    /// Whether a replica on which this many of the daemon's requests run may get another one.
    pub fn allows(&self, now: Duration, running: u32) -> bool {
        let Some(until) = self.until else { return true };
        let Some(since) = now.checked_sub(until) else { return false };
        let steps = (since.as_millis() / RETURN_STEP.as_millis()) as u32;
        since >= RETURN_TIME || running <= steps
    }
}

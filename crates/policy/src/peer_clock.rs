//! How long a message from another process has been on the way at most, without a common clock.
//!
//! What a message says of the time is as of its sending, and it may then lie in a queue: of a link, or
//! of a process that stands still. Each side tells the other by how much its clock is ahead of the
//! other's stamps. A message that was sent at the time `s` of one clock and handled at the time `r` of
//! the other shows that the first clock read `s` or later when the second one read `r`. The tightest
//! of these bounds is off by no more than the shortest time that a message took.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Bounds are renewed at this interval, since clocks drift. The bounds of the interval before count
/// as well.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(30);

/// By how much the clock of a message's receiver was ahead of the sender's stamp when it handled the
/// message, in microseconds. Negative if it was behind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClockLead(i64);

impl ClockLead {
    fn between(stamp: Duration, handled_at: Duration) -> ClockLead {
        ClockLead(micros(handled_at).saturating_sub(micros(stamp)))
    }
}

/// The clock of another process as seen from this one.
#[derive(Debug, Clone, Copy, Default)]
pub struct PeerClock {
    /// The least lead of this process's clock in the interval that began last, and in the one before.
    least_leads: [Option<ClockLead>; 2],
    interval_start: Duration,
    /// The least lead of the other process's clock, as it reported last.
    reported_lead: Option<ClockLead>,
}

impl PeerClock {
    /// Records that a message stamped `sent_at` by the other process was handled at `now`.
    pub fn record_arrival(&mut self, now: Duration, sent_at: Duration) {
        if now >= self.interval_start + RENEWAL_INTERVAL {
            self.least_leads = [None, self.least_leads[0]];
            self.interval_start = now;
        }
        let lead = ClockLead::between(sent_at, now);
        let least = self.least_leads[0].map_or(lead, |it| it.min(lead));
        self.least_leads[0] = Some(least);
    }

    /// What the other process is to be told; `None` before its first message.
    pub fn least_lead(&self) -> Option<ClockLead> {
        self.least_leads.into_iter().flatten().min()
    }

    /// Records what the other process reported of its clock.
    pub fn record_report(&mut self, lead: ClockLead) {
        self.reported_lead = Some(lead);
    }

    /// How long before `now` a message stamped `sent_at` may have been sent; `None` before the first
    /// report of the other process.
    pub fn max_transit_time(&self, now: Duration, sent_at: Duration) -> Option<Duration> {
        let lead = self.reported_lead?;
        let earliest_sending = micros(sent_at).saturating_sub(lead.0);
        let transit_time = micros(now).saturating_sub(earliest_sending);
        // Drift of the clocks may bring it below zero.
        Some(Duration::from_micros(u64::try_from(transit_time).unwrap_or(0)))
    }
}

fn micros(time: Duration) -> i64 {
    i64::try_from(time.as_micros()).unwrap_or(i64::MAX)
}

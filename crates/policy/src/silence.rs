//! Whether a replica has stopped answering, from what all daemons together saw lately.
//!
//! In a large fleet, each daemon alone sends a replica too few requests to notice that it is gone
//! before the list of replicas says so. Summed over the daemons, the counts show the loss of many
//! replicas whose connections do not break.

use std::time::Duration;

/// Failures, without any answer, that make a replica silent.
const SILENT_FAILURES: u32 = 3;
/// Length of one counting interval; an outcome counts for one to two of them.
const COUNT_INTERVAL: Duration = Duration::from_millis(600);

/// Outcomes of recent requests to a replica.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AnswerCount {
    /// Requests that were answered; a refusal is an answer.
    pub answered: u32,
    /// Requests that were not answered in time, or whose connection broke.
    pub failed: u32,
}

impl AnswerCount {
    /// Adds the outcomes that another daemon saw.
    pub fn add(&mut self, other: AnswerCount) {
        self.answered += other.answered;
        self.failed += other.failed;
    }

    /// Whether the replica answers nobody: enough failures and not one answer.
    pub fn is_silent(self) -> bool {
        self.answered == 0 && self.failed >= SILENT_FAILURES
    }
}

/// The outcomes that one daemon saw of a replica in the current and the previous interval.
#[derive(Debug, Clone, Copy, Default)]
pub struct RecentAnswers {
    interval_start: Duration,
    current: AnswerCount,
    previous: AnswerCount,
}

impl RecentAnswers {
    /// Records the end of a request at `now`: answered or failed.
    pub fn record(&mut self, now: Duration, answered: bool) {
        *self = self.advance(now);
        match answered {
            true => self.current.answered += 1,
            false => self.current.failed += 1,
        }
    }

    /// The outcomes of both intervals together, as of `now`.
    pub fn count(&self, now: Duration) -> AnswerCount {
        let RecentAnswers { current, mut previous, .. } = self.advance(now);
        previous.add(current);
        previous
    }

    /// The counts as of `now`, without the intervals that are over.
    fn advance(self, now: Duration) -> RecentAnswers {
        let age = now.saturating_sub(self.interval_start);
        match () {
            () if age < COUNT_INTERVAL => self,
            () if age < COUNT_INTERVAL * 2 => RecentAnswers {
                interval_start: self.interval_start + COUNT_INTERVAL,
                previous: self.current,
                current: AnswerCount::default(),
            },
            () => RecentAnswers { interval_start: now, ..RecentAnswers::default() },
        }
    }
}

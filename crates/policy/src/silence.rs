//! Whether a replica has stopped answering, from what all daemons together saw lately.
//!
//! Answers the loss of many replicas in a large fleet that goes unnoticed by connections: each
//! daemon alone sends a replica too few requests to learn of it before the list of replicas tells.

use std::time::Duration;

/// Failures, without any answer, that make a replica silent.
const SILENT_FAILURES: u32 = 3;
/// Answers and failures count for one to two of these.
const COUNT_TIME: Duration = Duration::from_millis(600);

/// What requests to a replica came to lately.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AnswerCount {
    /// Answers, refusals among them.
    pub answered: u32,
    /// Requests that were not answered in time, or whose connection broke.
    pub failed: u32,
}

impl AnswerCount {
    /// Adds what others saw.
    pub fn add(&mut self, other: AnswerCount) {
        self.answered += other.answered;
        self.failed += other.failed;
    }

    /// Whether the replica answers nobody.
    pub fn is_silent(self) -> bool {
        self.answered == 0 && self.failed >= SILENT_FAILURES
    }
}

/// Counts what one daemon sees of a replica.
#[derive(Debug, Clone, Copy, Default)]
pub struct RecentAnswers {
    since: Duration,
    current: AnswerCount,
    before: AnswerCount,
}

impl RecentAnswers {
    /// A request ended.
    pub fn record(&mut self, now: Duration, answered: bool) {
        *self = self.at(now);
        match answered {
            true => self.current.answered += 1,
            false => self.current.failed += 1,
        }
    }

    /// What counts now.
    pub fn count(&self, now: Duration) -> AnswerCount {
        let RecentAnswers { current, mut before, .. } = self.at(now);
        before.add(current);
        before
    }

    fn at(self, now: Duration) -> RecentAnswers {
        let age = now.saturating_sub(self.since);
        match () {
            () if age < COUNT_TIME => self,
            () if age < COUNT_TIME * 2 => RecentAnswers {
                since: self.since + COUNT_TIME,
                before: self.current,
                current: AnswerCount::default(),
            },
            () => RecentAnswers { since: now, ..RecentAnswers::default() },
        }
    }
}

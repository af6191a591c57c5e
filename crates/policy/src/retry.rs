//! Retry budgets: retries add no more than a set ratio to the load.

/// Retries that each first attempt earns.
const RETRY_RATIO: f64 = 0.1;
/// Upper limit of saved retries, which may be spent at once after a time without failures.
const RETRY_RESERVE: f64 = 10.0;

/// Why a request was sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RetryReason {
    /// The target refused the connection.
    ConnectFailed,
    /// The connection broke before the whole answer had arrived, or the answer was too long.
    BrokeEarly,
    /// The target answered that it did not run the request, mostly because it is full.
    TargetBusy,
    /// The target answered with an error of its own.
    TargetError,
    /// The answer did not begin within the time allowed for the target.
    FirstByteTimeout,
    /// The stream broke; it was resumed on the same replica.
    StreamResumed,
    /// The stream broke; it was replayed on another replica.
    StreamReplayed,
    /// The answer does not show that it belongs to this request, by its id or the target's seal.
    CrossedAnswer,
}

impl RetryReason {
    /// Every reason, in the order in which metrics list them.
    pub const ALL: [RetryReason; 8] = [
        RetryReason::ConnectFailed,
        RetryReason::BrokeEarly,
        RetryReason::TargetBusy,
        RetryReason::TargetError,
        RetryReason::FirstByteTimeout,
        RetryReason::StreamResumed,
        RetryReason::StreamReplayed,
        RetryReason::CrossedAnswer,
    ];

    /// The reason's name in metrics and log records.
    pub fn code(self) -> &'static str {
        match self {
            RetryReason::ConnectFailed => "connect_failed",
            RetryReason::BrokeEarly => "broke_early",
            RetryReason::TargetBusy => "target_busy",
            RetryReason::TargetError => "target_error",
            RetryReason::FirstByteTimeout => "first_byte_timeout",
            RetryReason::StreamResumed => "stream_resumed",
            RetryReason::StreamReplayed => "stream_replayed",
            RetryReason::CrossedAnswer => "crossed_answer",
        }
    }
}

/// A budget of retries that first attempts earn and retries spend.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    /// Retries that may be spent now; a retry costs 1.
    credit: f64,
    ratio: f64,
    reserve: f64,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget::new(RETRY_RATIO, RETRY_RESERVE)
    }
}

impl RetryBudget {
    /// A budget that earns `ratio` retries with each request, up to `reserve`, and starts with
    /// `reserve`.
    pub fn new(ratio: f64, reserve: f64) -> RetryBudget {
        RetryBudget { credit: reserve, ratio, reserve }
    }

    /// Sets another ratio and reserve. Credit above the new reserve is lost; none is gained.
    pub fn resize(&mut self, ratio: f64, reserve: f64) {
        self.ratio = ratio;
        self.reserve = reserve;
        self.credit = self.credit.min(reserve);
    }

    /// Adds what a first attempt earns.
    pub fn earn(&mut self) {
        self.credit = (self.credit + self.ratio).min(self.reserve);
    }

    /// Spends one retry and returns true if there is credit for it.
    pub fn spend(&mut self) -> bool {
        let allowed = self.credit >= 1.0;
        if allowed {
            self.credit -= 1.0;
        }
        allowed
    }
}

//! Retry budgets: retries cannot add more than a set share to the load.

/// Added load that retries may cause.
const RETRY_SHARE: f64 = 0.1;
/// Retries that may come at once after a quiet time.
const RETRY_RESERVE: f64 = 10.0;

/// Why a request was sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RetryReason {
    /// The target refused the connection.
    ConnectFailed,
    /// The connection broke before the answer began.
    BrokeEarly,
    /// The target answered that it takes no work now.
    TargetBusy,
    /// The target answered with an error of its own.
    TargetError,
    /// No first byte came in time.
    FirstByteTimeout,
    /// The stream broke; it was resumed on the same replica.
    StreamResumed,
    /// The stream broke; it was replayed on another replica.
    StreamReplayed,
    /// The answer carried another request's id.
    CrossedAnswer,
}

impl RetryReason {
    /// Every reason.
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

    /// The reason's name in metrics and logs.
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

/// A budget of retries, earned by requests.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    credit: f64,
    share: f64,
    reserve: f64,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget::new(RETRY_SHARE, RETRY_RESERVE)
    }
}

impl RetryBudget {
    /// A budget that earns `share` of a retry with each request, up to `reserve`.
    pub fn new(share: f64, reserve: f64) -> RetryBudget {
        RetryBudget { credit: reserve, share, reserve }
    }

    /// Takes another share and reserve; never gains credit by it.
    pub fn resize(&mut self, share: f64, reserve: f64) {
        self.share = share;
        self.reserve = reserve;
        self.credit = self.credit.min(reserve);
    }

    /// A first attempt earns a share of a retry.
    pub fn earn(&mut self) {
        self.credit = (self.credit + self.share).min(self.reserve);
    }

    /// Takes one retry if there is credit.
    pub fn spend(&mut self) -> bool {
        let allowed = self.credit >= 1.0;
        if allowed {
            self.credit -= 1.0;
        }
        allowed
    }
}

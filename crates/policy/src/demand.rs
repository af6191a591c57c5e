//! The rate at which a daemon places prompts, and an estimate from it of the load that its peers
//! place before they report it.

use std::time::Duration;

use crate::engine_choice::{UnseenLoad, UnseenLoads};

/// Time constant of the exponential decay: a prompt placed this long ago counts 1/e (about 0.37).
const DECAY_TIME: Duration = Duration::from_secs(4);

/// The demand of one daemon by kind of prompt; engines serve short and long prompts in separate
/// groups (see [`crate::engine_choice`]).
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PromptDemand {
    /// Demand of short prompts.
    pub short: DemandRate,
    /// Demand of long prompts.
    pub long: DemandRate,
}

impl PromptDemand {
    /// Counts a prompt placed at `now` of which an engine has to prefill `tokens`.
    pub fn record(&mut self, now: Duration, is_long: bool, tokens: u64) {
        let rate = if is_long { &mut self.long } else { &mut self.short };
        rate.record(now, tokens);
    }

    /// Estimates the load that `peers` daemons place within `delay`, if each places as much as this
    /// one.
    pub fn estimate_unseen(&self, now: Duration, peers: usize, delay: Duration) -> UnseenLoads {
        UnseenLoads {
            short: self.short.estimate_unseen(now, peers, delay),
            long: self.long.estimate_unseen(now, peers, delay),
        }
    }
}

/// Requests and prefill tokens that one daemon placed, as exponentially decayed sums.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct DemandRate {
    updated_at: Duration,
    requests: f64,
    tokens: f64,
}

impl DemandRate {
    /// Counts a prompt placed at `now` of which an engine has to prefill `tokens`.
    pub fn record(&mut self, now: Duration, tokens: u64) {
        let factor = self.decay_factor(now);
        self.requests = self.requests * factor + 1.0;
        self.tokens = self.tokens * factor + tokens as f64;
        self.updated_at = now;
    }

    /// Estimates the load that `peers` daemons place within `delay`, if each places as much as this
    /// one.
    pub fn estimate_unseen(&self, now: Duration, peers: usize, delay: Duration) -> UnseenLoad {
        let factor = self.decay_factor(now);
        let scale = factor * peers as f64 * delay.as_secs_f64() / DECAY_TIME.as_secs_f64();
        UnseenLoad { requests: self.requests * scale, tokens: self.tokens * scale }
    }

    fn decay_factor(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at);
        (-age.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp()
    }
}

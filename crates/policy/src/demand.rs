//! How much a daemon places, and from that how much its peers place before it hears of it.

use std::time::Duration;

use crate::engine_choice::{UnseenLoad, UnseenLoads};

/// What was placed this long ago counts for about a third of what is placed now.
const MEMORY: Duration = Duration::from_secs(4);

/// What one daemon places of each kind of prompt.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PromptDemand {
    /// Short prompts.
    pub short: DemandRate,
    /// Long prompts.
    pub long: DemandRate,
}

impl PromptDemand {
    /// A prompt was placed that brings so many tokens to prefill.
    pub fn record(&mut self, now: Duration, is_long: bool, tokens: u64) {
        let rate = if is_long { &mut self.long } else { &mut self.short };
        rate.record(now, tokens);
    }

    /// What so many peers that place as much as this daemon place within `delay`.
    pub fn estimate_unseen(&self, now: Duration, peers: usize, delay: Duration) -> UnseenLoads {
        UnseenLoads {
            short: self.short.estimate_unseen(now, peers, delay),
            long: self.long.estimate_unseen(now, peers, delay),
        }
    }
}

/// Requests and prefill that one daemon places, as rates that follow the last seconds.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct DemandRate {
    at: Duration,
    requests: f64,
    tokens: f64,
}

impl DemandRate {
    /// A prompt was placed that brings so many tokens to prefill.
    pub fn record(&mut self, now: Duration, tokens: u64) {
        let kept = self.kept(now);
        self.requests = self.requests * kept + 1.0;
        self.tokens = self.tokens * kept + tokens as f64;
        self.at = now;
    }

    /// What so many peers that place as much as this daemon place within `delay`.
    pub fn estimate_unseen(&self, now: Duration, peers: usize, delay: Duration) -> UnseenLoad {
        let kept = self.kept(now);
        let share = kept * peers as f64 * delay.as_secs_f64() / MEMORY.as_secs_f64();
        UnseenLoad { requests: self.requests * share, tokens: self.tokens * share }
    }

    fn kept(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at);
        (-age.as_secs_f64() / MEMORY.as_secs_f64()).exp()
    }
}

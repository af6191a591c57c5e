//! Which engine gets a prompt: the one with the earliest expected first token.
//!
//! Answers the load pattern of long shared prompts: what counts is the prompt that is still to
//! be read on a replica, its own and that of requests before it, and then how full its batch is.

/// Share of a batch's free time that a full batch takes from reading prompts.
const BATCH_DRAG: f64 = 0.5;
/// Added for a replica whose memory the prompt would overfill, in seconds.
const OVERFULL_S: f64 = 1.0;
/// Added for a replica in another failure domain, in seconds.
const FAR_S: f64 = 0.004;
/// Smoothing of the learned reading speed.
const PACE_STEP: f64 = 0.05;

/// What is known of one engine when a prompt is placed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineView {
    /// Requests in a full batch.
    pub batch: u32,
    /// Requests on it, of all daemons.
    pub running: u32,
    /// Prompt tokens of them that are still to be read.
    pub unread_tokens: u64,
    /// Memory of the requests on it, in tokens.
    pub memory_tokens: u64,
    /// Its whole memory, in tokens.
    pub memory_limit: u64,
    /// Tokens of the prompt expected in its cache.
    pub cached_tokens: u64,
    /// It is in the daemon's own failure domain.
    pub near: bool,
    /// Added to its expected time for what else speaks against it, in seconds.
    pub penalty_s: f64,
}

/// How fast engines read prompts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EnginePace {
    tokens_per_s: f64,
    overhead_s: f64,
}

impl Default for EnginePace {
    fn default() -> EnginePace {
        EnginePace { tokens_per_s: 30_000.0, overhead_s: 0.04 }
    }
}

impl EnginePace {
    /// Seconds to the first token when `tokens` are to be read.
    pub fn first_token_s(&self, tokens: u64) -> f64 {
        self.overhead_s + tokens as f64 / self.tokens_per_s
    }

    /// Learns from a first token that came after `seconds` on an idle engine.
    pub fn learn(&mut self, tokens: u64, seconds: f64) {
        let reading = seconds - self.overhead_s;
        if tokens < 1_000 || reading <= 0.0 {
            return;
        }
        let seen = (tokens as f64 / reading).clamp(self.tokens_per_s * 0.25, self.tokens_per_s * 4.0);
        self.tokens_per_s += PACE_STEP * (seen - self.tokens_per_s);
    }
}

impl EngineView {
    /// Expected seconds to the first token of a prompt.
    pub fn expected_s(&self, prompt_tokens: u64, pace: EnginePace) -> f64 {
        let unread = self.unread_tokens + prompt_tokens.saturating_sub(self.cached_tokens);
        let fill = f64::from(self.running) / f64::from(self.batch.max(1));
        let queue = (fill - 1.0).max(0.0);
        let mut expected = pace.first_token_s(unread) * (1.0 + BATCH_DRAG * fill) + queue;
        if self.memory_tokens + prompt_tokens > self.memory_limit {
            expected += OVERFULL_S;
        }
        if !self.near {
            expected += FAR_S;
        }
        expected + self.penalty_s
    }
}

/// The engine with the earliest expected first token, and that time in seconds.
pub fn choose(
    views: &[EngineView],
    prompt_tokens: u64,
    pace: EnginePace,
) -> Option<(usize, f64)> {
    let times = views.iter().map(|it| it.expected_s(prompt_tokens, pace));
    times.enumerate().min_by(|left, right| left.1.total_cmp(&right.1))
}

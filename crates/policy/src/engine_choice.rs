//! Which engine gets a prompt: the one with the earliest expected first token, unless reading
//! the prompt there would hold up the streams of others.
//!
//! Answers two load patterns. Long shared prompts: what counts is the prompt that is still to be
//! read on a replica, its own and that of requests before it. Short prompts with long answers
//! beside them: an engine makes one token for each piece of a prompt that it reads, so a long
//! prompt delays every stream on the engine. Long prompts keep to one end of a fixed order of
//! engines and short ones to the other, as far as load allows.

/// Share of a batch's free time that a full batch takes from reading prompts.
const BATCH_DRAG: f64 = 0.5;
/// Added for a replica whose memory the prompt would overfill, in seconds.
const OVERFULL_S: f64 = 1.0;
/// What a second of reading costs per stream that it holds up, in seconds.
const HOLD_UP: f64 = 0.1;
/// Added per stream when unread prompts would hold it up beyond the pause allowed, in seconds.
const LATE_PAUSE_S: f64 = 0.2;
/// Share of the pause allowed that unread prompts may take.
const PAUSE_SHARE: f64 = 0.8;
/// The pause allowed where no stream states one, in seconds.
const ANY_PAUSE_S: f64 = 1.0;
/// Share of the pause allowed from whose reading time on a prompt is long.
const LONG_SHARE: f64 = 0.15;
/// How much an engine at the other end of the order is disliked, in seconds.
const LANE_S: f64 = 0.06;
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
    /// Its place in an order that all daemons share, from 0 to 1.
    pub lane: f64,
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

    /// Seconds to read `tokens`.
    pub fn reading_s(&self, tokens: u64) -> f64 {
        tokens as f64 / self.tokens_per_s
    }

    /// Learns from a first token that came after `seconds` on an idle engine.
    pub fn learn(&mut self, tokens: u64, seconds: f64) {
        let reading = seconds - self.overhead_s;
        if tokens < 1_000 || reading <= 0.0 {
            return;
        }
        let seen =
            (tokens as f64 / reading).clamp(self.tokens_per_s * 0.25, self.tokens_per_s * 4.0);
        self.tokens_per_s += PACE_STEP * (seen - self.tokens_per_s);
    }
}

/// A prompt to be placed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PromptSize {
    /// Its length in tokens.
    pub tokens: u64,
    /// The shortest pause that streams of the pool are allowed, in seconds.
    pub pause_s: Option<f64>,
}

impl PromptSize {
    /// Whether reading it holds up streams for a good part of the pause they are allowed.
    pub fn is_long(self, pace: EnginePace) -> bool {
        let pause_s = self.pause_s.unwrap_or(ANY_PAUSE_S);
        pace.reading_s(self.tokens) > pause_s * LONG_SHARE
    }
}

impl EngineView {
    /// What placing a prompt here costs: expected seconds to its first token, and what it does
    /// to others.
    pub fn cost_s(&self, prompt: PromptSize, pace: EnginePace) -> f64 {
        let own_unread = prompt.tokens.saturating_sub(self.cached_tokens);
        let unread = self.unread_tokens + own_unread;
        let fill = f64::from(self.running) / f64::from(self.batch.max(1));
        let queue = (fill - 1.0).max(0.0);
        let mut cost = pace.first_token_s(unread) * (1.0 + BATCH_DRAG * fill) + queue;
        let streams = f64::from(self.running);
        cost += HOLD_UP * streams * pace.reading_s(own_unread);
        let pause_s = prompt.pause_s.unwrap_or(ANY_PAUSE_S) * PAUSE_SHARE;
        if pace.reading_s(unread) > pause_s {
            cost += LATE_PAUSE_S * streams.max(1.0);
        }
        let lane = if prompt.is_long(pace) { 1.0 - self.lane } else { self.lane };
        cost += LANE_S * lane;
        if self.memory_tokens + prompt.tokens > self.memory_limit {
            cost += OVERFULL_S;
        }
        if !self.near {
            cost += FAR_S;
        }
        cost + self.penalty_s
    }
}

/// The engine that costs least, and that cost in seconds.
pub fn choose(views: &[EngineView], prompt: PromptSize, pace: EnginePace) -> Option<(usize, f64)> {
    let costs = views.iter().map(|it| it.cost_s(prompt, pace));
    costs.enumerate().min_by(|left, right| left.1.total_cmp(&right.1))
}

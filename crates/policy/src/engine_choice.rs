//! Which engine gets a prompt: the one with the earliest expected first token, unless its prefill
//! would hold up the streams of others.
//!
//! Answers two load patterns. Long shared prompts: what counts is the prefill still pending on a
//! replica, the prompt's own and that of requests before it. Short prompts with long answers beside
//! them: an engine decodes one token for each chunk that it prefills, so a long prompt delays every
//! stream on the engine. Long prompts keep to one end of a fixed order of engines and short ones to
//! the other, as far as load allows.

/// Share of a batch's free time that a full batch takes from prefill.
const BATCH_DRAG: f64 = 0.5;
/// Added for a replica whose memory the prompt would overfill, in seconds.
const OVERFULL_S: f64 = 1.0;
/// What a second of prefill costs per stream that it holds up, in seconds.
const HOLD_UP: f64 = 0.1;
/// Added per stream when pending prefill would hold it up beyond the pause allowed, in seconds.
const LATE_PAUSE_S: f64 = 0.2;
/// Share of the pause allowed that pending prefill may take.
const PAUSE_SHARE: f64 = 0.8;
/// The pause allowed where no stream states one, in seconds.
const ANY_PAUSE_S: f64 = 1.0;
/// Share of the pause allowed from whose prefill time on a prompt is long.
const LONG_SHARE: f64 = 0.15;
/// How much an engine at the other end of the order is disliked, in seconds.
const LANE_S: f64 = 0.06;
/// Added for a replica in another failure domain, in seconds.
const FAR_S: f64 = 0.004;
/// Smoothing of the learned speed, for a first token that came sooner than expected.
const FASTER_STEP: f64 = 0.1;
/// The same for one that came later: it may have waited for prompts of other daemons, so that
/// the fast ones say more of the engine.
const SLOWER_STEP: f64 = 0.02;

/// What is known of one engine when a prompt is placed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineView {
    /// Requests in a full batch.
    pub batch: u32,
    /// Requests on it, of all daemons.
    pub running: u32,
    /// Prompt tokens of them whose prefill is pending.
    pub pending_tokens: u64,
    /// KV memory of the requests on it, in tokens.
    pub kv_tokens: u64,
    /// Its whole KV memory, in tokens.
    pub kv_limit: u64,
    /// Tokens of the prompt expected in its cache.
    pub cached_tokens: u64,
    /// Its place in an order that all daemons share, from 0 to 1.
    pub lane: f64,
    /// It is in the daemon's own failure domain.
    pub near: bool,
    /// Added to its expected time for what else speaks against it, in seconds.
    pub penalty_s: f64,
}

/// How fast engines prefill.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PrefillSpeed {
    tokens_per_s: f64,
    overhead_s: f64,
}

impl Default for PrefillSpeed {
    fn default() -> PrefillSpeed {
        PrefillSpeed { tokens_per_s: 30_000.0, overhead_s: 0.04 }
    }
}

impl PrefillSpeed {
    /// Seconds to the first token when `tokens` are to be prefilled.
    pub fn first_token_s(&self, tokens: u64) -> f64 {
        self.overhead_s + tokens as f64 / self.tokens_per_s
    }

    /// Tokens per second.
    pub fn tokens_per_s(&self) -> f64 {
        self.tokens_per_s
    }

    /// Seconds to prefill `tokens`.
    pub fn prefill_s(&self, tokens: u64) -> f64 {
        tokens as f64 / self.tokens_per_s
    }

    /// Learns from a first token that came after `seconds` on an idle engine.
    pub fn learn(&mut self, tokens: u64, seconds: f64) {
        let prefill_s = seconds - self.overhead_s;
        if tokens < 1_000 || prefill_s <= 0.0 {
            return;
        }
        let seen =
            (tokens as f64 / prefill_s).clamp(self.tokens_per_s * 0.25, self.tokens_per_s * 4.0);
        let step = if seen > self.tokens_per_s { FASTER_STEP } else { SLOWER_STEP };
        self.tokens_per_s += step * (seen - self.tokens_per_s);
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
    /// Whether its prefill holds up streams for a good part of the pause they are allowed.
    pub fn is_long(self, speed: PrefillSpeed) -> bool {
        let pause_s = self.pause_s.unwrap_or(ANY_PAUSE_S);
        speed.prefill_s(self.tokens) > pause_s * LONG_SHARE
    }
}

impl EngineView {
    /// What placing a prompt here costs: expected seconds to its first token, and what it does
    /// to others.
    pub fn cost_s(&self, prompt: PromptSize, speed: PrefillSpeed) -> f64 {
        let own_pending = prompt.tokens.saturating_sub(self.cached_tokens);
        let pending = self.pending_tokens + own_pending;
        let fill = f64::from(self.running) / f64::from(self.batch.max(1));
        let queue = (fill - 1.0).max(0.0);
        let mut cost = speed.first_token_s(pending) * (1.0 + BATCH_DRAG * fill) + queue;
        let streams = f64::from(self.running);
        cost += HOLD_UP * streams * speed.prefill_s(own_pending);
        let pause_s = prompt.pause_s.unwrap_or(ANY_PAUSE_S) * PAUSE_SHARE;
        if speed.prefill_s(pending) > pause_s {
            cost += LATE_PAUSE_S * streams.max(1.0);
        }
        let lane = if prompt.is_long(speed) { 1.0 - self.lane } else { self.lane };
        cost += LANE_S * lane;
        if self.kv_tokens + prompt.tokens > self.kv_limit {
            cost += OVERFULL_S;
        }
        if !self.near {
            cost += FAR_S;
        }
        cost + self.penalty_s
    }
}

/// The engine that costs least, and that cost in seconds.
pub fn choose(
    views: &[EngineView],
    prompt: PromptSize,
    speed: PrefillSpeed,
) -> Option<(usize, f64)> {
    let costs = views.iter().map(|it| it.cost_s(prompt, speed));
    costs.enumerate().min_by(|left, right| left.1.total_cmp(&right.1))
}

//! Which engine gets a prompt: the one with the earliest expected first token, unless its prefill
//! would hold up the streams of others.
//!
//! Answers two load patterns. Long shared prompts: what counts is the prefill still pending on a
//! replica, the prompt's own and that of requests before it. Short prompts with long answers beside
//! them: an engine decodes one token for each chunk that it prefills, so a long prompt delays every
//! stream on the engine. Long prompts keep to one end of a fixed order of engines and short ones to
//! the other, as far as load allows.
//!
//! Many daemons that place at the same time: each knows the loads of some moments ago, so that all
//! of them would send what comes now to the one engine that was idle then. Engines whose backlog
//! lies below the level to which unseen requests will have filled them count as equal, and what
//! differs from prompt to prompt decides between them.

use crate::rendezvous;

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
/// Added for an engine of those that short prompts keep to, or long ones, in seconds.
const LANE_S: f64 = 0.1;
/// Share of the engines that short prompts keep to.
const SHORT_LANES: f64 = 0.25;
/// What copied tokens cost, as a share of the time to prefill them: they evict other parts.
const COPY_SHARE: f64 = 0.7;
/// Added at most by the rank of an engine for the prompt, in seconds: prompts that leave their home
/// do not all turn to the same engine.
const SPREAD_S: f64 = 0.03;
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
    pub batch_size: u32,
    /// Requests on it, of all daemons.
    pub running: u32,
    /// Prompt tokens of them whose prefill is pending.
    pub pending_tokens: u64,
    /// KV memory of the requests on it, in tokens.
    pub kv_tokens: u64,
    /// Its whole KV memory, in tokens.
    pub kv_capacity: u64,
    /// The hash of its id.
    pub member: u64,
    /// Tokens of the prompt believed to be in its cache.
    pub cached_tokens: u64,
    /// Its place in an order that all daemons share, from 0 to 1.
    pub position: f64,
    /// It is in the daemon's own failure domain.
    pub same_domain: bool,
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
    pub fn record_first_token(&mut self, tokens: u64, seconds: f64) {
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
    /// Tokens of its parts that other prompts share.
    pub shared_tokens: u64,
    /// The same for prompts that begin with the same shared parts; any number if it has none.
    pub key: u64,
    /// The shortest pause that streams of the pool are allowed, in seconds.
    pub token_gap_s: Option<f64>,
}

impl PromptSize {
    /// Whether its prefill holds up streams for a good part of the pause they are allowed.
    pub fn is_long(self, speed: PrefillSpeed) -> bool {
        let token_gap_s = self.token_gap_s.unwrap_or(ANY_PAUSE_S);
        speed.prefill_s(self.tokens) > token_gap_s * LONG_SHARE
    }
}

/// Requests that other daemons place before this one hears of them.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct UnseenLoad {
    /// How many.
    pub requests: f64,
    /// Prompt tokens that they bring to prefill.
    pub tokens: f64,
}

/// Unseen load by the engines that it goes to.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct UnseenLoads {
    /// Short prompts.
    pub short: UnseenLoad,
    /// Long prompts.
    pub long: UnseenLoad,
}

/// How far unseen load fills every engine of a kind at least.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct FillLevel {
    streams: f64,
    backlog_s: f64,
}

impl FillLevel {
    fn of<'a>(
        views: impl Iterator<Item = &'a EngineView> + Clone,
        speed: PrefillSpeed,
        unseen: UnseenLoad,
    ) -> FillLevel {
        let unseen_s = unseen.tokens / speed.tokens_per_s();
        FillLevel {
            streams: fill_level(views.clone().map(|it| f64::from(it.running)), unseen.requests),
            backlog_s: fill_level(views.map(|it| it.backlog_s(speed)), unseen_s),
        }
    }
}

impl EngineView {
    /// Seconds until a prompt placed now would be begun.
    fn backlog_s(&self, speed: PrefillSpeed) -> f64 {
        speed.prefill_s(self.pending_tokens) + self.penalty_s
    }

    /// Seconds to the first token of a prompt behind all that is known to be on the engine.
    fn first_token_s(&self, prompt: PromptSize, speed: PrefillSpeed) -> f64 {
        let own_pending = prompt.tokens.saturating_sub(self.cached_tokens);
        let fill = f64::from(self.running) / f64::from(self.batch_size.max(1));
        speed.first_token_s(self.pending_tokens + own_pending) * (1.0 + BATCH_DRAG * fill)
    }

    /// Whether long prompts keep to this engine, rather than short ones.
    fn is_for_long(&self) -> bool {
        self.position >= SHORT_LANES
    }

    /// Whether the engine is one of those that prompts of this kind keep to.
    fn is_in_lane(&self, prompt: PromptSize, speed: PrefillSpeed) -> bool {
        prompt.is_long(speed) == self.is_for_long()
    }

    /// What placing a prompt here costs: expected seconds to its first token, and what it does
    /// to others.
    fn cost_s(
        &self,
        prompt: PromptSize,
        speed: PrefillSpeed,
        level: FillLevel,
        is_home: bool,
    ) -> f64 {
        // The home is where all daemons place the same beginning: it holds it, or will.
        let cached = if is_home { prompt.shared_tokens } else { 0 };
        let own_pending = prompt.tokens.saturating_sub(self.cached_tokens.max(cached));
        let streams = f64::from(self.running).max(level.streams);
        let fill = streams / f64::from(self.batch_size.max(1));
        let queue = (fill - 1.0).max(0.0);
        let backlog_s = self.backlog_s(speed).max(level.backlog_s);
        let begin_s = backlog_s + speed.first_token_s(own_pending);
        let mut cost = begin_s * (1.0 + BATCH_DRAG * fill) + queue;
        cost += HOLD_UP * streams * speed.prefill_s(own_pending);
        if !is_home {
            cost += COPY_SHARE * speed.prefill_s(prompt.shared_tokens);
        }
        let token_gap_s = prompt.token_gap_s.unwrap_or(ANY_PAUSE_S) * PAUSE_SHARE;
        if speed.prefill_s(self.pending_tokens + own_pending) > token_gap_s {
            cost += LATE_PAUSE_S * streams.max(1.0);
        }
        if !self.is_in_lane(prompt, speed) {
            cost += LANE_S;
        }
        if self.kv_tokens + prompt.tokens > self.kv_capacity {
            cost += OVERFULL_S;
        }
        if !self.same_domain {
            cost += FAR_S;
        }
        let order = rendezvous::weight(prompt.key, self.member) as f64 / u64::MAX as f64;
        cost + SPREAD_S * (1.0 - order)
    }
}

/// The engine that costs least, and the seconds to its first token as far as its load is known.
pub fn choose(
    views: &[EngineView],
    prompt: PromptSize,
    speed: PrefillSpeed,
    unseen: UnseenLoads,
) -> Option<(usize, f64)> {
    let short = FillLevel::of(views.iter().filter(|it| !it.is_for_long()), speed, unseen.short);
    let long = FillLevel::of(views.iter().filter(|it| it.is_for_long()), speed, unseen.long);
    let home = home(views, prompt, speed)?;
    let costs = views.iter().enumerate().map(|(index, it)| {
        let is_home = home == index;
        let level = if it.is_for_long() { long } else { short };
        it.cost_s(prompt, speed, level, is_home)
    });
    let (index, _) = costs.enumerate().min_by(|left, right| left.1.total_cmp(&right.1))?;
    Some((index, views[index].first_token_s(prompt, speed)))
}

/// Where all daemons place the same shared parts: the first by rendezvous of the engines that prompts
/// of this kind keep to.
fn home(views: &[EngineView], prompt: PromptSize, speed: PrefillSpeed) -> Option<usize> {
    let kept_to = |it: &&(usize, &EngineView)| it.1.is_in_lane(prompt, speed);
    let any = views.iter().enumerate().any(|it| kept_to(&&it));
    let engines = views.iter().enumerate().filter(|it| !any || kept_to(&it));
    engines.max_by_key(|it| rendezvous::weight(prompt.key, it.1.member)).map(|it| it.0)
}

/// The level that `amount` reaches when it is poured over these heights, lowest first.
fn fill_level(heights: impl Iterator<Item = f64>, amount: f64) -> f64 {
    let mut heights: Vec<f64> = heights.collect();
    heights.sort_by(f64::total_cmp);
    let mut sum = amount;
    let mut level = 0.0;
    for (below, height) in heights.iter().enumerate() {
        if below > 0 && *height >= level {
            break;
        }
        sum += height;
        level = sum / (below + 1) as f64;
    }
    level
}

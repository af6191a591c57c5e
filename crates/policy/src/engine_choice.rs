//! Chooses the engine for a prompt: the one with the earliest expected first token, with a penalty
//! where the prefill would delay the streams of other requests.
//!
//! Handles two load patterns. With long shared prompts, the time to the first token depends on the
//! prefill still pending on a replica: the prompt's own and that of requests before it. With short
//! prompts and long answers beside them, an engine decodes one token per prefill chunk, so a long
//! prompt delays every stream on the engine. Engines have a fixed order; short prompts prefer the
//! group at its start and long prompts the rest, as far as load allows.
//!
//! Many daemons place at the same time, and each knows the load of some moments ago, so all of them
//! would choose the one engine that was idle then. Each therefore estimates the load that it cannot
//! see yet. Engines whose backlog lies below the level to which that load fills them count as
//! equal, and terms that differ from prompt to prompt decide between them.

use crate::rendezvous;

/// Extra time to the first token on an engine with a full batch, as a share of that time; it grows
/// linearly with the fill of the batch.
const BATCH_SLOWDOWN: f64 = 0.5;
/// Cost of an engine whose KV memory the prompt would overflow, in seconds.
const KV_OVERFLOW_PENALTY_S: f64 = 1.0;
/// Cost of one second of prefill per stream that it delays, in seconds.
const STREAM_DELAY_WEIGHT: f64 = 0.1;
/// Cost per stream when the pending prefill would exceed its share of the allowed token gap, in
/// seconds.
const LATE_TOKEN_PENALTY_S: f64 = 0.2;
/// Share of the allowed token gap that pending prefill may take.
const PREFILL_GAP_SHARE: f64 = 0.8;
/// The token gap allowed where no stream's objective states one, in seconds.
const DEFAULT_TOKEN_GAP_S: f64 = 1.0;
/// A prompt is long if its prefill takes more than this share of the allowed token gap.
const LONG_PROMPT_GAP_SHARE: f64 = 0.15;
/// Cost of an engine in the group for prompts of the other kind, in seconds.
const WRONG_GROUP_PENALTY_S: f64 = 0.1;
/// Share of the engines in the group for short prompts.
const SHORT_GROUP_SHARE: f64 = 0.25;
/// Cost of copying shared tokens to an engine that is not their home, as a share of the time to
/// prefill them: the copy evicts other prefixes.
const COPY_COST_SHARE: f64 = 0.7;
/// Greatest cost by an engine's rendezvous rank for the prompt, in seconds: it spreads prompts that
/// leave their home over different engines.
const MAX_RANK_PENALTY_S: f64 = 0.03;
/// Cost of an engine in another failure domain, in seconds.
const REMOTE_PENALTY_S: f64 = 0.004;
/// Smoothing factor of the prefill speed for a first token that came sooner than expected.
const FASTER_SMOOTHING: f64 = 0.1;
/// Smoothing factor for a first token that came later. It is smaller, as the request may have
/// waited behind prompts of other daemons, so a fast sample says more about the engine.
const SLOWER_SMOOTHING: f64 = 0.02;

/// The state of one engine, as the placing daemon knows it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineView {
    /// Requests that the engine runs in one batch.
    pub batch_size: u32,
    /// Requests on the engine, from all daemons.
    pub running: u32,
    /// Prompt tokens of these requests that are not prefilled yet.
    pub pending_tokens: u64,
    /// KV memory that these requests use, in tokens.
    pub kv_tokens: u64,
    /// KV memory of the engine, in tokens.
    pub kv_capacity: u64,
    /// The hash of the engine's id (see [`rendezvous::hash_member`]).
    pub member: u64,
    /// Tokens of the prompt believed to be in the engine's cache.
    pub cached_tokens: u64,
    /// Position in the pool's order, which all daemons share: 0 (first) to below 1.
    pub position: f64,
    /// Whether it is in the daemon's own failure domain.
    pub same_domain: bool,
    /// Whether it limits the requests that it takes, so that it cannot serve all that share a prefix.
    pub is_limited: bool,
    /// Further cost from the caller, such as for a suspected fault or old weights, in seconds.
    pub penalty_s: f64,
}

/// The prefill speed of engines, learned from observed first tokens.
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
    /// Seconds to the first token on an idle engine that has to prefill `tokens`.
    pub fn first_token_s(&self, tokens: u64) -> f64 {
        self.overhead_s + tokens as f64 / self.tokens_per_s
    }

    /// The learned speed, in tokens per second.
    pub fn tokens_per_s(&self) -> f64 {
        self.tokens_per_s
    }

    /// Seconds to prefill `tokens`, without the fixed overhead of a request.
    pub fn prefill_s(&self, tokens: u64) -> f64 {
        tokens as f64 / self.tokens_per_s
    }

    /// Updates the speed from a first token that came after `seconds` on an idle engine. Ignores
    /// prompts below 1,000 tokens and times within the fixed overhead, as they show no speed.
    pub fn record_first_token(&mut self, tokens: u64, seconds: f64) {
        let prefill_s = seconds - self.overhead_s;
        if tokens < 1_000 || prefill_s <= 0.0 {
            return;
        }
        let observed =
            (tokens as f64 / prefill_s).clamp(self.tokens_per_s * 0.25, self.tokens_per_s * 4.0);
        let step = if observed > self.tokens_per_s { FASTER_SMOOTHING } else { SLOWER_SMOOTHING };
        self.tokens_per_s += step * (observed - self.tokens_per_s);
    }
}

/// The size of a prompt to place, and the latency limit of its pool.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PromptSize {
    /// Length of the prompt in tokens.
    pub tokens: u64,
    /// Tokens of its prefix that other prompts share.
    pub shared_tokens: u64,
    /// Rendezvous key, equal for prompts with the same shared prefix; any number if it has none.
    pub key: u64,
    /// The smallest gap between tokens that an objective in the pool allows, in seconds.
    pub token_gap_s: Option<f64>,
}

impl PromptSize {
    /// Whether its prefill takes a substantial share of the token gap that streams are allowed.
    pub fn is_long(self, speed: PrefillSpeed) -> bool {
        let token_gap_s = self.token_gap_s.unwrap_or(DEFAULT_TOKEN_GAP_S);
        speed.prefill_s(self.tokens) > token_gap_s * LONG_PROMPT_GAP_SHARE
    }
}

/// An estimate of the load that other daemons have placed and not reported yet.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct UnseenLoad {
    /// Number of requests.
    pub requests: f64,
    /// Prompt tokens of these requests that engines have to prefill.
    pub tokens: f64,
}

/// Unseen load by the group of engines that it goes to.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct UnseenLoads {
    /// Load of short prompts.
    pub short: UnseenLoad,
    /// Load of long prompts.
    pub long: UnseenLoad,
}

/// The least load that every engine of a group has once unseen load is added, which is assumed to
/// go to the least loaded engines first.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct FillLevel {
    streams: f64,
    backlog_s: f64,
}

impl FillLevel {
    fn compute<'a>(
        views: impl Iterator<Item = &'a EngineView> + Clone,
        speed: PrefillSpeed,
        unseen: UnseenLoad,
    ) -> FillLevel {
        let unseen_s = unseen.tokens / speed.tokens_per_s();
        FillLevel {
            streams: water_level(views.clone().map(|it| f64::from(it.running)), unseen.requests),
            backlog_s: water_level(views.map(|it| it.backlog_s(speed)), unseen_s),
        }
    }
}

impl EngineView {
    /// Seconds until the engine would begin the prefill of a prompt placed now.
    fn backlog_s(&self, speed: PrefillSpeed) -> f64 {
        speed.prefill_s(self.pending_tokens) + self.penalty_s
    }

    /// Seconds to the first token of a prompt behind the known load of the engine.
    fn first_token_s(&self, prompt: PromptSize, speed: PrefillSpeed) -> f64 {
        let own_pending = prompt.tokens.saturating_sub(self.cached_tokens);
        let fill = f64::from(self.running) / f64::from(self.batch_size.max(1));
        speed.first_token_s(self.pending_tokens + own_pending) * (1.0 + BATCH_SLOWDOWN * fill)
    }

    /// Whether the engine is in the group for long prompts rather than the one for short prompts.
    pub(crate) fn serves_long_prompts(&self) -> bool {
        self.position >= SHORT_GROUP_SHARE
    }

    /// Whether the engine is in the group for prompts of this kind.
    fn is_in_group(&self, prompt: PromptSize, speed: PrefillSpeed) -> bool {
        prompt.is_long(speed) == self.serves_long_prompts()
    }

    /// The cost of placing a prompt here: the expected seconds to its first token, plus penalties
    /// for the delay of other requests and the eviction of their prefixes.
    fn cost_s(
        &self,
        prompt: PromptSize,
        speed: PrefillSpeed,
        level: FillLevel,
        is_home: bool,
    ) -> f64 {
        // All daemons place prompts with this shared prefix on its home, so the home holds the
        // prefix already or will soon.
        let home_tokens = if is_home { prompt.shared_tokens } else { 0 };
        let own_pending = prompt.tokens.saturating_sub(self.cached_tokens.max(home_tokens));
        let streams = f64::from(self.running).max(level.streams);
        let fill = streams / f64::from(self.batch_size.max(1));
        let queue = (fill - 1.0).max(0.0);
        let backlog_s = self.backlog_s(speed).max(level.backlog_s);
        let first_token_s = backlog_s + speed.first_token_s(own_pending);
        let mut cost = first_token_s * (1.0 + BATCH_SLOWDOWN * fill) + queue;
        cost += STREAM_DELAY_WEIGHT * streams * speed.prefill_s(own_pending);
        if !is_home {
            cost += COPY_COST_SHARE * speed.prefill_s(prompt.shared_tokens);
        }
        let max_prefill_s = prompt.token_gap_s.unwrap_or(DEFAULT_TOKEN_GAP_S) * PREFILL_GAP_SHARE;
        if speed.prefill_s(self.pending_tokens + own_pending) > max_prefill_s {
            cost += LATE_TOKEN_PENALTY_S * streams.max(1.0);
        }
        if !self.is_in_group(prompt, speed) {
            cost += WRONG_GROUP_PENALTY_S;
        }
        if self.kv_tokens + prompt.tokens > self.kv_capacity {
            cost += KV_OVERFLOW_PENALTY_S;
        }
        if !self.same_domain {
            cost += REMOTE_PENALTY_S;
        }
        let rank = rendezvous::weight(prompt.key, self.member) as f64 / u64::MAX as f64;
        cost + MAX_RANK_PENALTY_S * (1.0 - rank)
    }
}

/// Returns the index of the engine with the lowest cost, and the seconds to the prompt's first
/// token there by the known load alone. `None` if there are no engines.
pub fn choose(
    views: &[EngineView],
    prompt: PromptSize,
    speed: PrefillSpeed,
    unseen: UnseenLoads,
) -> Option<(usize, f64)> {
    let short = FillLevel::compute(
        views.iter().filter(|it| !it.serves_long_prompts()),
        speed,
        unseen.short,
    );
    let long =
        FillLevel::compute(views.iter().filter(|it| it.serves_long_prompts()), speed, unseen.long);
    let home = find_home(views, prompt, speed)?;
    let costs = views.iter().enumerate().map(|(index, it)| {
        let is_home = home == index;
        let level = if it.serves_long_prompts() { long } else { short };
        it.cost_s(prompt, speed, level, is_home)
    });
    let (index, _) = costs.enumerate().min_by(|left, right| left.1.total_cmp(&right.1))?;
    Some((index, views[index].first_token_s(prompt, speed)))
}

/// Returns the index of the engine on which all daemons place prompts with this shared prefix: the
/// first by rendezvous hashing of those that limit no requests, and of these of the group for prompts
/// of this kind, as far as there are any.
fn find_home(views: &[EngineView], prompt: PromptSize, speed: PrefillSpeed) -> Option<usize> {
    let preference = |it: &EngineView| (!it.is_limited, it.is_in_group(prompt, speed));
    let best = views.iter().map(preference).max()?;
    let engines = views.iter().enumerate().filter(|it| preference(it.1) == best);
    engines.max_by_key(|it| rendezvous::weight(prompt.key, it.1.member)).map(|it| it.0)
}

/// Water-filling: the level to which `amount` raises these heights when it fills the lowest first.
fn water_level(heights: impl Iterator<Item = f64>, amount: f64) -> f64 {
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

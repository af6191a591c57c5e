//! Which engines have room for a prompt, and whether a daemon may take some of it now.
//!
//! Load pattern: more prompts arrive than the engines can begin in time, at many daemons that each
//! know the load of some moments ago. If all are sent, they fill the engines' memory and queues:
//! shared prefixes are evicted and prefilled again, running prompts are preempted, and all prompts are
//! late. An engine that was idle a moment ago gets those of all daemons. Engines are therefore given
//! only what they can begin soon, and each daemon admits the fraction of its attempts by which the
//! attempts of all daemons together fit into the room that is left.

use std::time::Duration;

use crate::engine_choice::{EngineView, PrefillSpeed, PromptSize};

/// Share of an engine's KV memory that requests may take when a long prompt joins them; the rest
/// keeps shared prefixes, without which a long prompt costs several times as much.
const LONG_PROMPT_MEMORY_SHARE: f64 = 0.5;
/// Share of the time left that the prefill before a long prompt may take.
const BACKLOG_SHARE: f64 = 0.5;
/// Time constant of the exponential decay of attempts.
const ATTEMPT_DECAY: Duration = Duration::from_secs(1);

/// One daemon's attempts to place prompts, as exponentially decayed counts.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct AttemptRate {
    counted_at: Duration,
    short: f64,
    long: f64,
}

impl AttemptRate {
    /// Counts an attempt, admitted or not.
    pub fn record(&mut self, now: Duration, is_long: bool) {
        let factor = self.decay_factor(now);
        self.counted_at = now;
        self.short = self.short * factor + f64::from(u8::from(!is_long));
        self.long = self.long * factor + f64::from(u8::from(is_long));
    }

    /// The attempts that `peers` daemons make within `delay`, if each makes as many as this one.
    pub fn estimate_unseen(
        &self,
        now: Duration,
        is_long: bool,
        peers: usize,
        delay: Duration,
    ) -> f64 {
        let count = if is_long { self.long } else { self.short };
        count * self.decay_factor(now) * peers as f64 * delay.div_duration_f64(ATTEMPT_DECAY)
    }

    fn decay_factor(&self, now: Duration) -> f64 {
        (-now.saturating_sub(self.counted_at).div_duration_f64(ATTEMPT_DECAY)).exp()
    }
}

/// A prompt that needs room on an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RoomRequest {
    /// Its size.
    pub prompt: PromptSize,
    /// Limit of output tokens.
    pub output_tokens: u64,
    /// The time left until its first token is late, in seconds.
    pub time_left_s: f64,
}

/// The room on engines, and the attempts of other daemons that compete for it.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineRooms {
    /// Indices of the engines that have room, and for how many prompts.
    open: Vec<(usize, f64)>,
    /// Attempts that are not reported yet.
    unseen: f64,
}

impl EngineRooms {
    /// The indices of the engines that have room.
    pub fn open(&self) -> impl Iterator<Item = usize> {
        self.open.iter().map(|it| it.0)
    }

    /// The fraction of all attempts that fit into the room.
    pub fn fraction(&self) -> f64 {
        let fractions = (0..self.open.len()).map(|it| self.fraction_at(it));
        fractions.sum::<f64>() / self.open.len().max(1) as f64
    }

    /// Whether to admit a prompt to the open engine at `position`; `random` is uniform from 0 to
    /// below 1. Prompts that share prefixes go to the same engine, so each engine's room is shared
    /// by itself.
    pub fn admits(&self, position: usize, random: f64) -> bool {
        random < self.fraction_at(position)
    }

    fn fraction_at(&self, position: usize) -> f64 {
        let unseen = self.unseen / self.open.len() as f64;
        (self.open[position].1 / unseen).min(1.0)
    }
}

impl RoomRequest {
    /// The engines with room for the prompt; `unseen` attempts of other daemons compete for it.
    pub fn rooms(&self, views: &[EngineView], speed: PrefillSpeed, unseen: f64) -> EngineRooms {
        let rooms = views.iter().map(|it| self.room(it, speed)).enumerate();
        EngineRooms { open: rooms.filter(|it| it.1 >= 1.0).collect(), unseen }
    }

    /// How many such prompts an engine can begin in time.
    fn room(&self, view: &EngineView, speed: PrefillSpeed) -> f64 {
        if view.running == 0 {
            return self.room_behind_load(view, speed).max(1.0);
        }
        // The prefill would delay every stream on an engine of the group for short prompts.
        let delays_streams = self.prompt.is_long(speed) && !view.serves_long_prompts();
        if delays_streams { 0.0 } else { self.room_behind_load(view, speed).max(0.0) }
    }

    fn room_behind_load(&self, view: &EngineView, speed: PrefillSpeed) -> f64 {
        let slots = f64::from(view.batch_size) - f64::from(view.running);
        let is_long = self.prompt.is_long(speed);
        let memory_share = if is_long { LONG_PROMPT_MEMORY_SHARE } else { 1.0 };
        let free_tokens = view.kv_capacity as f64 * memory_share - view.kv_tokens as f64;
        let prompts = free_tokens / (self.prompt.tokens + self.output_tokens).max(1) as f64;
        if !is_long {
            return slots.min(prompts);
        }
        let own_pending = self.prompt.tokens.saturating_sub(view.cached_tokens);
        let spare_s = self.time_left_s * BACKLOG_SHARE - speed.prefill_s(view.pending_tokens);
        let in_time = 1.0 + spare_s / speed.first_token_s(own_pending);
        slots.min(prompts).min(in_time)
    }
}

/// How long a request waits on average that tries once in each `interval`; `None` if no attempt is
/// admitted.
pub fn expected_wait(fraction: f64, interval: Duration) -> Option<Duration> {
    Duration::try_from_secs_f64(interval.as_secs_f64() / fraction).ok()
}

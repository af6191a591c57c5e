//! Where an engine fetches the shared parts of a prompt from.
//!
//! Answers many long prompts that share parts, more of them than one KV store's link carries:
//! transfers from the store then wait in line and hold first tokens up. Engines together have
//! many times its link, but evict what was not used for a while.

use std::time::Duration;

/// An engine that used a part this long ago or less is taken to have it still. At high load an
/// engine reads as many tokens as its KV memory holds in about this time.
const KEPT_TIME: Duration = Duration::from_secs(4);

/// Who is believed to hold the parts, and since when it may have evicted them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartSource<S> {
    /// Where it is reached.
    pub source: S,
    /// When it last used the parts.
    pub used_at: Duration,
    /// It is a KV store rather than an engine.
    pub is_store: bool,
}

/// The best source of those that hold the same parts: the engine that used them last, if that was
/// not long ago, else the store, else any engine.
pub fn choose<S: Copy>(now: Duration, sources: &[PartSource<S>]) -> Option<S> {
    let rank = |it: &&PartSource<S>| {
        let order = match it.is_store {
            false if now <= it.used_at + KEPT_TIME => 0,
            true => 1,
            false => 2,
        };
        (order, now.saturating_sub(it.used_at))
    };
    sources.iter().min_by_key(rank).map(|it| it.source)
}

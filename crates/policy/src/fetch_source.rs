//! Chooses where an engine fetches the KV cache of a prompt's shared parts from.
//!
//! With many long prompts that share parts, the link of one KV store becomes the bottleneck:
//! transfers from the store queue and delay first tokens. Engines together have many times its
//! bandwidth, but evict parts that were not used for a while.

use std::time::Duration;

/// How long an engine is assumed to keep a part after its last use. At high load an engine reads as
/// many tokens as its KV memory holds in about this time.
const RETENTION_TIME: Duration = Duration::from_secs(4);

/// An engine or store that is believed to hold the parts, and when it last used them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartSource<S> {
    /// The caller's handle of the source, such as its address.
    pub source: S,
    /// When the source last used the parts; an engine may evict them some time after that.
    pub used_at: Duration,
    /// What keeps the parts there.
    pub kind: SourceKind,
}

/// What a source is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SourceKind {
    /// A KV store.
    Store,
    /// An engine.
    Engine,
    /// An engine that is about to stop or is to be relieved.
    LeavingEngine,
}

/// Returns the best of several sources of the same parts: the engine that used them last if it
/// should still hold them, else the store, else the engine that used them last. An engine that is
/// leaving comes after the store, as it may stop during the transfer. `None` if there are no
/// sources.
pub fn choose<S: Copy>(now: Duration, sources: &[PartSource<S>]) -> Option<S> {
    let rank = |it: &&PartSource<S>| {
        let is_kept = now <= it.used_at + RETENTION_TIME;
        let order = match it.kind {
            SourceKind::Engine if is_kept => 0,
            SourceKind::Store => 1,
            SourceKind::LeavingEngine if is_kept => 2,
            SourceKind::Engine | SourceKind::LeavingEngine => 3,
        };
        (order, now.saturating_sub(it.used_at))
    };
    sources.iter().min_by_key(rank).map(|it| it.source)
}

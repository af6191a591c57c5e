//! What the holder of the lease is doing about replicas with old weights.

use std::sync::Mutex;
use std::time::Duration;

use ids::TargetId;
use indexmap::IndexMap;

/// What this daemon is doing about a replica with old weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum CommandState {
    /// A command to load this model runs, until this time at the latest.
    InProgress(Box<str>, Duration),
    /// The replica must not be commanded before this time.
    Deferred(Duration),
    /// The same, because it did not report.
    Unreported(Duration),
}

impl CommandState {
    /// Whether the replica must not be commanded at `now`.
    pub(crate) fn is_deferred(&self, now: Duration) -> bool {
        matches!(self, CommandState::Deferred(it) | CommandState::Unreported(it) if now < *it)
    }

    /// The model that it is commanded to load at `now`.
    pub(crate) fn model_in_progress(&self, now: Duration) -> Option<&str> {
        match self {
            CommandState::InProgress(model, until) if now < *until => Some(model),
            _ => None,
        }
    }
}

/// Replicas that this daemon commands or must not command yet.
#[derive(Debug, Default)]
pub(crate) struct CommandTable {
    pub(crate) states: IndexMap<TargetId, CommandState>,
    /// The fencing token of the last command to each replica.
    pub(crate) last_tokens: IndexMap<TargetId, u64>,
}

pub(crate) type SharedCommands = Mutex<CommandTable>;

//! The interface for reading a target's version and commanding it to run another.

use std::future::Future;

use catalog::Target;
use ids::{Incarnation, VersionNumber};

/// What a target reports about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetState {
    /// Its process; greater after each restart.
    pub incarnation: Incarnation,
    /// The version it runs.
    pub version: VersionNumber,
    /// Whether it is loading another version.
    pub loading: bool,
}

/// Why a command was not confirmed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CommandError {
    /// The target has accepted a command with a greater fencing number; this one has no effect.
    #[error("command refused: the target has accepted one with a greater fencing number")]
    StaleFencing,
    /// The target may or may not have accepted the command: no answer came, or one with a status
    /// other than success and 409, which the error then holds.
    #[error("command not confirmed, the target may have accepted it: {0}")]
    Unconfirmed(Box<str>),
}

/// Version commands to targets, used by the holder of the move lease.
pub trait TargetCommands: Send + Sync + 'static {
    /// Asks a target for its state; `None` if it does not answer.
    fn fetch_state(&self, target: &Target) -> impl Future<Output = Option<TargetState>> + Send;

    /// Commands a target to run `version`. The command is idempotent: it names the version to
    /// reach, so sending it twice has the same effect as sending it once.
    fn set_version(
        &self,
        target: &Target,
        version: VersionNumber,
        fencing: u64,
    ) -> impl Future<Output = Result<(), CommandError>> + Send;
}

//! Orders to targets.

use std::future::Future;

use catalog::Target;
use ids::{Incarnation, VersionNumber};

/// What a target says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetState {
    /// Its life.
    pub incarnation: Incarnation,
    /// The version it runs.
    pub version: VersionNumber,
    /// A version is loading.
    pub loading: bool,
}

/// Why an order was not taken.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CommandError {
    /// The target has seen a greater fencing number.
    #[error("overtaken by a greater fencing number")]
    StaleFencing,
    /// Whether it was taken is not known.
    #[error("no clear answer: {0}")]
    Unconfirmed(Box<str>),
}

/// The way to targets for whoever moves versions.
pub trait TargetCommands: Send + Sync + 'static {
    /// Asks a target for its state; `None` if it does not answer.
    fn fetch_state(&self, target: &Target) -> impl Future<Output = Option<TargetState>> + Send;

    /// Commands a target to be at a version. The order is absolute: given twice it does the same.
    fn set_version(
        &self,
        target: &Target,
        version: VersionNumber,
        fencing: u64,
    ) -> impl Future<Output = Result<(), CommandError>> + Send;
}

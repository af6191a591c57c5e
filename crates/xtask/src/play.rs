//! Runs the bench, a program outside the repository that replays days of a deployment.

use std::path::{Path, PathBuf};
use std::process::Command;

use crate::fleet::ChoreError;

/// Runs the bench with the arguments `args` in the repository's root, where it finds the deploy
/// file.
///
/// # Errors
///
/// The bench does not start or exits with a failure.
pub(crate) fn run(bench: &Path, args: &[String]) -> Result<(), ChoreError> {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..");
    // A relative path is relative to the caller's directory, not to the root.
    let bench = bench.canonicalize()?;
    let status = Command::new(bench).current_dir(root).args(args).status()?;
    if status.success() { Ok(()) } else { Err("the bench exited with a failure".into()) }
}

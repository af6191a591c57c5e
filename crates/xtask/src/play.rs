//! Days of a deployment, played by a bench outside the repository.

use std::path::{Path, PathBuf};
use std::process::Command;

use crate::fleet::ChoreError;

/// Runs the bench in the repository's root, where it finds the deploy file.
pub(crate) fn run(bench: &Path, words: &[String]) -> Result<(), ChoreError> {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..");
    // A relative path means the caller's folder, not the root.
    let bench = bench.canonicalize()?;
    let status = Command::new(bench).current_dir(root).args(words).status()?;
    if status.success() { Ok(()) } else { Err("the bench reports a failure".into()) }
}

//! The test run of CI, which skips and prints the entries of KNOWN-RED.txt.

use std::env;
use std::fs;
use std::path::PathBuf;
use std::process::Command;

use crate::fleet::ChoreError;
use crate::known_red::{self, RedEntry};

/// Runs all tests of the workspace except those that KNOWN-RED.txt lists; without that file,
/// runs all.
///
/// # Errors
///
/// An entry is not the path of a test, or a test failed.
pub(crate) fn run() -> Result<(), ChoreError> {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..");
    let text = fs::read_to_string(root.join("KNOWN-RED.txt")).unwrap_or_default();
    let entries = known_red::parse_entries(&text);
    let cargo = env::var("CARGO").unwrap_or_else(|_| "cargo".into());
    let mut command = Command::new(cargo);
    command.current_dir(&root).args(["test", "--workspace", "--no-fail-fast", "--"]);
    command.args(known_red::skip_args(&entries)?);
    let status = command.status()?;
    for entry in &entries {
        match entry {
            RedEntry::CargoTest(name) => println!("known red, passed over: {name}"),
            RedEntry::BenchDay(name) => println!("known red, a day of the bench: {name}"),
        }
    }
    if !status.success() {
        return Err("cargo test failed: see its output above".into());
    }
    Ok(())
}

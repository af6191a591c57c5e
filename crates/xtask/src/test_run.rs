//! The tests, with the entries of KNOWN-RED.txt passed over and printed.

use std::env;
use std::fs;
use std::path::PathBuf;
use std::process::Command;

use crate::fleet::ChoreError;

/// Runs all tests but those on record as failing for a fault not mended yet.
pub(crate) fn run() -> Result<(), ChoreError> {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..");
    let known = fs::read_to_string(root.join("KNOWN-RED.txt")).unwrap_or_default();
    let red: Vec<&str> = known.lines().filter_map(|it| it.strip_prefix("test: ")).collect();
    let cargo = env::var("CARGO").unwrap_or_else(|_| "cargo".into());
    let mut command = Command::new(cargo);
    command.current_dir(&root).args(["test", "--workspace", "--no-fail-fast", "--"]);
    for test in &red {
        command.args(["--skip", test]);
    }
    let status = command.status()?;
    for test in &red {
        println!("known red, passed over: {test}");
    }
    if !status.success() {
        return Err("some tests failed".into());
    }
    Ok(())
}

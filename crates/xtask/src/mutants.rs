//! Mutation tests: removes the mechanism behind a promise from a copy of the source tree, runs the
//! promise's test there and expects it to fail.

use std::env;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

use crate::fleet::ChoreError;
use crate::mutant_table::{MUTANTS, Mutant};

/// Runs the mutants whose name contains `filter` and prints the result of each.
///
/// # Errors
///
/// The names of the mutants whose test still passes, a mutant that does not apply or build, or an
/// I/O error.
pub(crate) fn run(filter: &str) -> Result<(), ChoreError> {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..").canonicalize()?;
    let copy = root.join("target/mutants/tree");
    let mut survivors = Vec::new();
    for mutant in MUTANTS.iter().filter(|it| it.name.contains(filter)) {
        copy_tree(&root, &copy)?;
        apply_mutation(&copy, mutant)?;
        let failed = test_fails(&root, &copy, mutant)?;
        let verdict = if failed { "fails without the mechanism, as expected" } else { "SURVIVES" };
        println!("{}: {} {}: {verdict}", mutant.name, mutant.package, mutant.test);
        if !failed {
            survivors.push(mutant.name);
        }
    }
    if survivors.is_empty() {
        return Ok(());
    }
    Err(format!("the tests of these mutants passed without the mechanism: {survivors:?}").into())
}

/// Copies the files that git tracks.
fn copy_tree(root: &Path, copy: &Path) -> Result<(), ChoreError> {
    let file_list = Command::new("git").args(["ls-files"]).current_dir(root).output()?.stdout;
    for name in String::from_utf8(file_list)?.lines() {
        let (source, destination) = (root.join(name), copy.join(name));
        let Ok(content) = fs::read(&source) else { continue };
        // Unchanged files keep their modification time: cargo rebuilds only the mutant's crates.
        if fs::read(&destination).is_ok_and(|it| it == content) {
            continue;
        }
        fs::create_dir_all(destination.parent().ok_or("a tracked file has no parent directory")?)?;
        fs::write(destination, content)?;
    }
    Ok(())
}

fn apply_mutation(copy: &Path, mutant: &Mutant) -> Result<(), ChoreError> {
    let path = copy.join(mutant.file);
    let text = fs::read_to_string(&path)?;
    if text.matches(mutant.original).count() != 1 {
        return Err(format!(
            "mutant \"{}\": its original text must occur exactly once in its file",
            mutant.name
        )
        .into());
    }
    fs::write(path, text.replace(mutant.original, mutant.replacement))?;
    Ok(())
}

/// Builds and runs the mutant's test in the copy; returns whether the test failed.
fn test_fails(root: &Path, copy: &Path, mutant: &Mutant) -> Result<bool, ChoreError> {
    let cargo = env::var("CARGO").unwrap_or_else(|_| "cargo".into());
    let target_dir = root.join("target/mutants/build");
    let (file, name) = mutant.test.split_once("::").unwrap_or((mutant.test, ""));
    let run_test = |last_args: &[&str]| {
        let mut command = Command::new(&cargo);
        command
            .current_dir(copy)
            .env("CARGO_TARGET_DIR", &target_dir)
            .env("RUSTFLAGS", "-Awarnings")
            .args(["test", "--quiet", "-p", mutant.package, "--test", file])
            .args(last_args)
            .stdout(Stdio::null())
            .stderr(Stdio::null());
        command.status()
    };
    if !run_test(&["--no-run"])?.success() {
        return Err(format!("mutant \"{}\" does not build", mutant.name).into());
    }
    Ok(!run_test(&["--", name])?.success())
}

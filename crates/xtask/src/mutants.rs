//! Shows that each promise's test fails without its mechanism: takes one mechanism out of a copy
//! of the tree, runs the test there, and expects it to fail.

use std::env;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

use crate::fleet::ChoreError;
use crate::mutant_table::{MUTANTS, Mutant};

/// Runs the mutants whose name holds `filter`; an error if one survives.
pub(crate) fn run(filter: &str) -> Result<(), ChoreError> {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..").canonicalize()?;
    let copy = root.join("target/mutants/tree");
    let mut survivors = Vec::new();
    for mutant in MUTANTS.iter().filter(|it| it.name.contains(filter)) {
        copy_tree(&root, &copy)?;
        take_out(&copy, mutant)?;
        let failed = test_fails(&root, &copy, mutant)?;
        let verdict = if failed { "fails without it, as it should" } else { "SURVIVES" };
        println!("{}: {} {}: {verdict}", mutant.name, mutant.package, mutant.test);
        if !failed {
            survivors.push(mutant.name);
        }
    }
    if survivors.is_empty() {
        return Ok(());
    }
    Err(format!("tests passed without their mechanism: {survivors:?}").into())
}

fn copy_tree(root: &Path, copy: &Path) -> Result<(), ChoreError> {
    let listed = Command::new("git").args(["ls-files"]).current_dir(root).output()?.stdout;
    for name in String::from_utf8(listed)?.lines() {
        let (from, to) = (root.join(name), copy.join(name));
        let Ok(text) = fs::read(&from) else { continue };
        // What is unchanged is not written, so that cargo builds only the mutant's crates.
        if fs::read(&to).is_ok_and(|it| it == text) {
            continue;
        }
        fs::create_dir_all(to.parent().ok_or("a file has a folder")?)?;
        fs::write(to, text)?;
    }
    Ok(())
}

fn take_out(copy: &Path, mutant: &Mutant) -> Result<(), ChoreError> {
    let path = copy.join(mutant.file);
    let text = fs::read_to_string(&path)?;
    if text.matches(mutant.find).count() != 1 {
        return Err(format!("{}: the text to replace is not there once", mutant.name).into());
    }
    fs::write(path, text.replace(mutant.find, mutant.put))?;
    Ok(())
}

fn test_fails(root: &Path, copy: &Path, mutant: &Mutant) -> Result<bool, ChoreError> {
    let cargo = env::var("CARGO").unwrap_or_else(|_| "cargo".into());
    let target = root.join("target/mutants/build");
    let (file, name) = mutant.test.split_once("::").unwrap_or((mutant.test, ""));
    let build = |last: &[&str]| {
        let mut command = Command::new(&cargo);
        command
            .current_dir(copy)
            .env("CARGO_TARGET_DIR", &target)
            .env("RUSTFLAGS", "-Awarnings")
            .args(["test", "--quiet", "-p", mutant.package, "--test", file])
            .args(last)
            .stdout(Stdio::null())
            .stderr(Stdio::null());
        command.status()
    };
    if !build(&["--no-run"])?.success() {
        return Err(format!("{}: does not build", mutant.name).into());
    }
    Ok(!build(&["--", name])?.success())
}

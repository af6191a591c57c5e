//! Scores sites on the bench and compares them with the scores before.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;

use crate::fleet::ChoreError;
use crate::regression_table::{self, JournalEntry};

/// The sites to score, and how.
pub(crate) struct RegressionRun<'a> {
    /// The path of the bench program.
    pub(crate) bench: &'a Path,
    /// The paths of the site files.
    pub(crate) sites: &'a [PathBuf],
    /// Days that are played at the same time.
    pub(crate) jobs: u32,
    /// A line for the journal.
    pub(crate) why: &'a str,
    /// Only the days that are quick to play.
    pub(crate) quick: bool,
}

/// Scores each site, then prints one table of the newest scores of these sites.
///
/// # Errors
///
/// A site file does not exist, the bench does not start or exits with a failure, or the journal
/// cannot be read.
pub(crate) fn run(run: &RegressionRun<'_>) -> Result<(), ChoreError> {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..");
    // Relative paths are relative to the caller's directory, not to the root.
    let bench = run.bench.canonicalize()?;
    let sites = run.sites.iter().map(|it| it.canonicalize());
    let sites: Vec<PathBuf> = sites.collect::<Result<_, _>>()?;
    for site in &sites {
        let mut command = Command::new(&bench);
        command.current_dir(&root).arg("score").arg(site);
        command.args(["--jobs", &run.jobs.to_string(), "--why", run.why]);
        if run.quick {
            command.arg("--quick");
        }
        if !command.status()?.success() {
            return Err(format!("the bench failed to score {}", site.display()).into());
        }
    }
    let entries = read_journal(&root.join("journal"))?;
    let names: Vec<&str> = sites.iter().filter_map(|it| it.file_stem()?.to_str()).collect();
    let mut scores = regression_table::newest_scores(&entries);
    scores.retain(|it| it.0.site.as_deref().is_some_and(|site| names.contains(&site)));
    print!("{}", regression_table::format_table(&scores));
    Ok(())
}

/// The entries in the order of their times, which begin their file names.
fn read_journal(folder: &Path) -> Result<Vec<JournalEntry>, ChoreError> {
    let mut paths = Vec::new();
    for file in fs::read_dir(folder)? {
        let path = file?.path();
        if path.extension().is_some_and(|it| it == "json") {
            paths.push(path);
        }
    }
    paths.sort();
    let mut entries = Vec::new();
    for path in paths {
        entries.extend(JournalEntry::parse(&fs::read_to_string(path)?));
    }
    Ok(entries)
}

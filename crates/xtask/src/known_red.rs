//! Parser of KNOWN-RED.txt, the list of tests that fail because of a known, unfixed fault.

/// An entry, by the kind of test that it names.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum RedEntry<'a> {
    /// The path of a test that `cargo test` runs.
    CargoTest(&'a str),
    /// The name of a day that the external bench replays; not a test of the workspace.
    BenchDay(&'a str),
}

/// Parses the lines that begin with `test: ` or `day: `, in the file's order; ignores all others.
pub(crate) fn parse_entries(text: &str) -> Vec<RedEntry<'_>> {
    text.lines().filter_map(parse_entry).collect()
}

fn parse_entry(line: &str) -> Option<RedEntry<'_>> {
    if let Some(name) = line.strip_prefix("day: ") {
        return Some(RedEntry::BenchDay(name.trim()));
    }
    line.strip_prefix("test: ").map(|name| RedEntry::CargoTest(name.trim()))
}

/// Returns the `--skip` arguments of the test harness for the tests of the workspace in `entries`.
///
/// # Errors
///
/// A name that is not the path of a test. The harness of doc tests splits arguments at spaces, so
/// it would read a part of such a name as an option.
pub(crate) fn skip_args(entries: &[RedEntry<'_>]) -> Result<Vec<String>, String> {
    let mut args = Vec::new();
    for entry in entries {
        let RedEntry::CargoTest(name) = entry else { continue };
        let is_path = |it: char| it.is_ascii_alphanumeric() || it == '_' || it == ':';
        if name.is_empty() || !name.chars().all(is_path) {
            return Err(format!("KNOWN-RED.txt: \"{name}\" is not the path of a test"));
        }
        args.extend(["--skip".to_owned(), (*name).to_owned()]);
    }
    Ok(args)
}

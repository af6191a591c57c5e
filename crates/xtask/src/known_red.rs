//! KNOWN-RED.txt: tests on record as failing for a fault that is not mended yet.

/// What an entry names.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum RedTest<'a> {
    /// A test that `cargo test` runs, by its path.
    Cargo(&'a str),
    /// A day that the bench plays; no test of the workspace.
    Day(&'a str),
}

/// The entries of the file, in its order.
pub(crate) fn entries(text: &str) -> Vec<RedTest<'_>> {
    text.lines().filter_map(entry).collect()
}

fn entry(line: &str) -> Option<RedTest<'_>> {
    if let Some(name) = line.strip_prefix("day: ") {
        return Some(RedTest::Day(name.trim()));
    }
    line.strip_prefix("test: ").map(|name| RedTest::Cargo(name.trim()))
}

/// Arguments that make the test harness pass over `tests`.
///
/// # Errors
///
/// The name that is no path of a test: the harness of doc tests splits arguments at spaces, so
/// that a part of such a name would be read as an option.
pub(crate) fn skip_args(tests: &[RedTest<'_>]) -> Result<Vec<String>, String> {
    let mut args = Vec::new();
    for test in tests {
        let RedTest::Cargo(name) = test else { continue };
        let is_path = |it: char| it.is_ascii_alphanumeric() || it == '_' || it == ':';
        if name.is_empty() || !name.chars().all(is_path) {
            return Err(format!("KNOWN-RED.txt: \"{name}\" is not the path of a test"));
        }
        args.extend(["--skip".to_owned(), (*name).to_owned()]);
    }
    Ok(args)
}

//! Prints results as tables and sentences, or as JSON with `--json`.

use std::io::{self, Write};
use std::process;

use serde_json::Value;

/// Prints records as JSON, or as a table whose columns are the given keys of the records.
pub(crate) fn print_records(json: bool, columns: &[&str], records: &[Value]) {
    if json {
        print_json(&Value::Array(records.to_vec()));
        return;
    }
    let mut rows = vec![columns.iter().map(|it| it.to_uppercase()).collect::<Vec<String>>()];
    rows.extend(
        records.iter().map(|record| columns.iter().map(|it| format_cell(&record[*it])).collect()),
    );
    let widths: Vec<usize> = (0..columns.len())
        .map(|column| rows.iter().map(|row| row[column].len()).max().unwrap_or(0))
        .collect();
    for row in rows {
        let cells: Vec<String> =
            row.iter().zip(&widths).map(|(text, width)| format!("{text:<width$}")).collect();
        print_line(cells.join("  ").trim_end());
    }
}

/// Prints a daemon's answer as JSON, or a sentence that sums it up.
pub(crate) fn print_result(json: bool, sentence: &str, answer: &Value) {
    if json {
        print_json(answer);
    } else {
        print_line(sentence);
    }
}

/// Prints indented JSON.
pub(crate) fn print_json(value: &Value) {
    print_line(&serde_json::to_string_pretty(value).unwrap_or_default());
}

/// Prints one line. If the reader of the output has closed it, as `head` does, the tool exits
/// without an error.
pub(crate) fn print_line(text: &str) {
    if writeln!(io::stdout(), "{text}").is_err() {
        process::exit(0);
    }
}

/// The text of a table cell. An empty list reads `all`: a route without customers is open to all.
fn format_cell(value: &Value) -> String {
    match value {
        Value::Null => "-".into(),
        Value::String(text) => text.clone(),
        Value::Array(items) if items.is_empty() => "all".into(),
        Value::Array(items) => items.iter().map(format_cell).collect::<Vec<String>>().join(","),
        other => other.to_string(),
    }
}

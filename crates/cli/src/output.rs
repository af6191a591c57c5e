//! Tables for people, JSON for scripts.

use std::io::{self, Write};
use std::process;

use serde_json::Value;

/// Prints a list of records as a table with these columns, or as JSON.
pub(crate) fn print_list(json: bool, columns: &[&str], records: &[Value]) {
    if json {
        print_json(&Value::Array(records.to_vec()));
        return;
    }
    let mut rows = vec![columns.iter().map(|it| it.to_uppercase()).collect::<Vec<String>>()];
    rows.extend(records.iter().map(|record| columns.iter().map(|it| cell(&record[*it])).collect()));
    let widths: Vec<usize> = (0..columns.len())
        .map(|column| rows.iter().map(|row| row[column].len()).max().unwrap_or(0))
        .collect();
    for row in rows {
        let cells: Vec<String> =
            row.iter().zip(&widths).map(|(text, width)| format!("{text:<width$}")).collect();
        print_line(cells.join("  ").trim_end());
    }
}

/// Prints a sentence for people, or the answer as JSON.
pub(crate) fn print_done(json: bool, sentence: &str, answer: &Value) {
    if json {
        print_json(answer);
    } else {
        print_line(sentence);
    }
}

/// Prints JSON.
pub(crate) fn print_json(value: &Value) {
    print_line(&serde_json::to_string_pretty(value).unwrap_or_default());
}

/// Prints one line. A reader that has gone, as `head` does, ends the tool quietly.
pub(crate) fn print_line(text: &str) {
    if writeln!(io::stdout(), "{text}").is_err() {
        process::exit(0);
    }
}

fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".into(),
        Value::String(text) => text.clone(),
        Value::Array(items) if items.is_empty() => "all".into(),
        Value::Array(items) => items.iter().map(cell).collect::<Vec<String>>().join(","),
        other => other.to_string(),
    }
}

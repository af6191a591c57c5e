//! `kingcupshift explain`: prints the log entries of one request from several log files.

use std::fs;
use std::io::Write;
use std::path::PathBuf;
use std::process::{self, Command, Output, Stdio};
use std::sync::atomic::{self, AtomicUsize};

use rstest::rstest;
use serde_json::Value;

const DAEMON_LOG: &str = concat!(
    r#"{"timestamp":"2026-09-18T19:56:34.100000Z","level":"INFO","fields":{"message":"call: placed","#,
    r#""request":"a1","target":"i-1","cached":0},"target":"gateway::call"}"#,
    "\n",
    r#"{"timestamp":"2026-09-18T19:56:34.200000Z","level":"INFO","fields":{"message":"call: placed","#,
    r#""request":"b2","target":"i-1"},"target":"gateway::call"}"#,
    "\n",
    "a line of another program\n",
);
const COLLECTED_LOG: &str = concat!(
    r#"  34.3 edge-2 {"timestamp":"2026-09-18T19:56:34.050000Z","level":"INFO","fields":"#,
    r#"{"message":"rate: taken","request":"a1","tokens":9},"target":"gateway::call"}"#,
    "\n",
);

/// Each call writes to a folder of its own, since tests run in parallel.
fn write_log_files() -> Vec<PathBuf> {
    static FOLDER_COUNT: AtomicUsize = AtomicUsize::new(0);
    let number = FOLDER_COUNT.fetch_add(1, atomic::Ordering::Relaxed);
    let name = format!("explain-{}-{number}", process::id());
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::create_dir_all(&folder).unwrap();
    let write_file = |name: &str, text: &str| {
        let path = folder.join(name);
        fs::write(&path, text).unwrap();
        path
    };
    vec![write_file("daemon-1.log", DAEMON_LOG), write_file("collected.log", COLLECTED_LOG)]
}

fn run_tool(args: &[&str], files: &[PathBuf]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_kingcupshift")).args(args).args(files).output().unwrap()
}

#[test]
fn entries_of_all_files_are_printed_in_time_order() {
    let files = write_log_files();
    let out = run_tool(&["--json", "explain", "a1"], &files);
    let entries: Vec<Value> = serde_json::from_slice(&out.stdout).unwrap();
    let what: Vec<&str> = entries.iter().filter_map(|it| it["what"].as_str()).collect();
    assert_eq!(what, ["rate: taken", "call: placed"]);
    let daemons: Vec<&str> = entries.iter().filter_map(|it| it["daemon"].as_str()).collect();
    assert_eq!(daemons, ["edge-2", "daemon-1"]);
    assert_eq!(entries[1]["details"]["target"], "i-1");
}

#[test]
fn without_json_a_table_shows_only_entries_of_the_request() {
    let out = run_tool(&["explain", "a1"], &write_log_files());
    let text = String::from_utf8(out.stdout).unwrap();
    assert!(text.contains("call: placed") && text.contains("cached=0 target=i-1"), "{text}");
    assert_eq!(text.lines().count(), 3, "{text}");
}

#[test]
fn unknown_requests_and_missing_files_are_errors() {
    let mut files = write_log_files();
    let out = run_tool(&["explain", "c3"], &files);
    let text = String::from_utf8(out.stderr).unwrap();
    assert_eq!(out.status.code(), Some(1));
    assert!(text.contains("\"c3\"") && text.contains("none of 4 lines (1 of them"), "{text}");
    files.push(PathBuf::from("no-such.log"));
    let out = run_tool(&["explain", "a1"], &files);
    assert_eq!(out.status.code(), Some(2));
    assert!(String::from_utf8(out.stderr).unwrap().contains("no-such.log"));
    assert_eq!(run_tool(&["explain", "a1"], &[]).status.code(), Some(2));
}

#[rstest]
#[case::alone(&["--json", "explain", "a1", "-"], &["call: placed"])]
#[case::after_a_separator(&["--json", "explain", "a1", "--", "-"], &["call: placed"])]
#[case::before_files(&["--json", "explain", "a1", "-", "FILE"], &["rate: taken", "call: placed"])]
fn a_dash_is_standard_input(#[case] args: &[&str], #[case] expected: &[&str]) {
    let files = write_log_files();
    let collected = files[1].to_str().unwrap();
    let args = args.iter().map(|it| if *it == "FILE" { collected } else { it });
    let mut tool = Command::new(env!("CARGO_BIN_EXE_kingcupshift"))
        .args(args)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // A tool that rejects its arguments does not read its input.
    let _ = tool.stdin.take().unwrap().write_all(DAEMON_LOG.as_bytes());
    let out = tool.wait_with_output().unwrap();
    let error = String::from_utf8_lossy(&out.stderr);
    assert_eq!(out.status.code(), Some(0), "{error}");
    let entries: Vec<Value> = serde_json::from_slice(&out.stdout).unwrap();
    let what: Vec<&str> = entries.iter().filter_map(|it| it["what"].as_str()).collect();
    assert_eq!(what, expected);
}

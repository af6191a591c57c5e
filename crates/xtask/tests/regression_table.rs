//! The table of scores: newest and earlier entries of each site, changes, gates.

#[path = "../src/regression_table.rs"]
mod regression_table;

use regression_table::JournalEntry;

fn entry(text: &str) -> JournalEntry {
    JournalEntry::parse(text).expect("an entry")
}

fn score(site: &str, score: f64, worth: f64, gate: bool) -> JournalEntry {
    entry(&format!(
        r#"{{"cmd": "score", "site": "{site}", "score": {score}, "why": "x",
            "days": [{{"name": "quiet-1", "G": {worth}, "gate": {gate}, "seed": 1}}]}}"#
    ))
}

#[test]
fn each_site_is_compared_with_its_score_before() {
    let entries =
        [score("a", 0.5, 0.4, true), score("b", 0.9, 0.7, true), score("a", 0.75, 0.38, true)];
    let scores = regression_table::newest_scores(&entries);
    let table = regression_table::format_table(&scores);
    let expected = "\
site                     day             value   change  gate
b                        score           0.900        -  passed
                         quiet-1         0.700        -
a                        score           0.750   +0.250  passed
                         quiet-1         0.380   -0.020
";
    assert_eq!(table, expected);
}

#[test]
fn a_day_that_fails_the_gate_fails_its_site() {
    let entries = [score("a", 0.5, 0.4, false)];
    let table = regression_table::format_table(&regression_table::newest_scores(&entries));
    assert_eq!(table.matches("FAILED").count(), 2, "{table}");
}

#[test]
fn other_runs_and_entries_without_a_result_are_left_out() {
    let hunt = entry(r#"{"cmd": "hunt", "site": "a", "score": null, "days": []}"#);
    let begun = entry(r#"{"cmd": "score"}"#);
    assert!(regression_table::newest_scores(&[hunt, begun]).is_empty());
    assert_eq!(JournalEntry::parse("{\"cmd\": \"sco"), None);
}

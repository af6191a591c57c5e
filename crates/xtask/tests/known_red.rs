//! Parsing of KNOWN-RED.txt and the arguments with which the test run skips its entries.

#[path = "../src/known_red.rs"]
mod known_red;

use known_red::RedEntry;
use rstest::rstest;

#[test]
fn lines_are_parsed_as_tests_or_bench_days() {
    let text =
        "A line of text.\n\ntest: a_name::case_1\ncommand: x\n\nday: mix --seed 7 of a site\n";
    let expected =
        vec![RedEntry::CargoTest("a_name::case_1"), RedEntry::BenchDay("mix --seed 7 of a site")];
    assert_eq!(known_red::parse_entries(text), expected);
}

#[test]
fn only_tests_of_the_workspace_get_skip_arguments() {
    let entries =
        [RedEntry::BenchDay("mix --seed 7 of a site"), RedEntry::CargoTest("a_name::case_1")];
    assert_eq!(known_red::skip_args(&entries).unwrap(), ["--skip", "a_name::case_1"]);
}

#[rstest]
#[case("mix --seed 7")]
#[case("--seed")]
#[case("")]
fn a_name_that_is_no_test_path_is_rejected(#[case] name: &str) {
    let error = known_red::skip_args(&[RedEntry::CargoTest(name)]).unwrap_err();
    assert!(error.contains(name));
}

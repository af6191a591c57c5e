//! The entries of KNOWN-RED.txt and what the test run does with them.

#[path = "../src/known_red.rs"]
mod known_red;

use known_red::RedTest;
use rstest::rstest;

#[test]
fn tests_and_days_are_told_apart() {
    let text =
        "A line of text.\n\ntest: a_name::case_1\ncommand: x\n\nday: mix --seed 7 of a site\n";
    let want = vec![RedTest::Cargo("a_name::case_1"), RedTest::Day("mix --seed 7 of a site")];
    assert_eq!(known_red::entries(text), want);
}

#[test]
fn only_tests_of_the_workspace_are_skipped() {
    let tests = [RedTest::Day("mix --seed 7 of a site"), RedTest::Cargo("a_name::case_1")];
    assert_eq!(known_red::skip_args(&tests).unwrap(), ["--skip", "a_name::case_1"]);
}

#[rstest]
#[case("mix --seed 7")]
#[case("--seed")]
#[case("")]
fn a_name_that_would_be_read_as_an_option_is_refused(#[case] name: &str) {
    let error = known_red::skip_args(&[RedTest::Cargo(name)]).unwrap_err();
    assert!(error.contains(name));
}

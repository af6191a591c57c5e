//! A replica is silent if requests fail and no daemon gets an answer; old outcomes do not count.

use std::time::Duration;

use policy::silence::{AnswerCount, RecentAnswers};
use rstest::rstest;

#[rstest]
#[case::nothing_seen(0, 0, false)]
#[case::enough_failures(0, 3, true)]
#[case::too_few_failures(0, 2, false)]
#[case::one_answer_among_failures(1, 40, false)]
fn only_a_replica_that_answers_nobody_is_silent(
    #[case] answered: u32,
    #[case] failed: u32,
    #[case] expected: bool,
) {
    let mut count = AnswerCount::default();
    for _ in 0..answered {
        count.add(AnswerCount { answered: 1, failed: 0 });
    }
    for _ in 0..failed {
        count.add(AnswerCount { answered: 0, failed: 1 });
    }
    assert_eq!(count.is_silent(), expected);
}

#[rstest]
#[case::same_moment(0, 1)]
#[case::next_interval(700, 1)]
#[case::after_two_intervals(1_300, 0)]
fn an_outcome_counts_for_one_to_two_intervals(#[case] later_ms: u64, #[case] expected_failed: u32) {
    let start = Duration::from_secs(50);
    let mut recent = RecentAnswers::default();
    recent.record(start, false);
    let now = start + Duration::from_millis(later_ms);
    assert_eq!(recent.count(now), AnswerCount { answered: 0, failed: expected_failed });
    recent.record(now, true);
    assert_eq!(recent.count(now), AnswerCount { answered: 1, failed: expected_failed });
}

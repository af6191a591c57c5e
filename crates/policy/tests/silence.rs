//! When a replica counts as silent.

use std::time::Duration;

use policy::silence::{AnswerCount, RecentAnswers};
use rstest::rstest;

#[rstest]
#[case::nothing_seen(0, 0, false)]
#[case::failures_of_several_daemons(0, 3, true)]
#[case::too_few_failures(0, 2, false)]
#[case::one_answer_to_any_daemon(1, 40, false)]
fn only_a_replica_that_answers_nobody_is_silent(
    #[case] answered: u32,
    #[case] failed: u32,
    #[case] want: bool,
) {
    let mut count = AnswerCount::default();
    for _ in 0..answered {
        count.add(AnswerCount { answered: 1, failed: 0 });
    }
    for _ in 0..failed {
        count.add(AnswerCount { answered: 0, failed: 1 });
    }
    assert_eq!(count.is_silent(), want);
}

#[rstest]
#[case::just_now(0, 1)]
#[case::in_the_last_moment(700, 1)]
#[case::long_ago(1_300, 0)]
fn what_was_seen_counts_for_a_moment(#[case] later_ms: u64, #[case] want: u32) {
    let began = Duration::from_secs(50);
    let mut recent = RecentAnswers::default();
    recent.record(began, false);
    let now = began + Duration::from_millis(later_ms);
    assert_eq!(recent.count(now), AnswerCount { answered: 0, failed: want });
    recent.record(now, true);
    assert_eq!(recent.count(now), AnswerCount { answered: 1, failed: want });
}

//! How long a replica that turned a request away gets none.

use std::time::Duration;

use policy::hold_off::HoldOff;
use rstest::rstest;

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

#[rstest]
#[case::at_once(1_000, 0, false)]
#[case::just_before_its_end(2_999, 0, false)]
#[case::the_first_request_after_it(3_000, 0, true)]
#[case::not_a_second_one(3_000, 1, false)]
#[case::more_after_a_while(3_500, 5, true)]
#[case::not_many_more(3_500, 6, false)]
#[case::all_in_the_end(4_000, 500, true)]
fn requests_return_step_by_step(#[case] now: u64, #[case] running: u32, #[case] expected: bool) {
    let mut hold_off = HoldOff::default();
    assert!(hold_off.allows(ms(999), 500));
    hold_off.extend(ms(1_000), ms(2_000));
    hold_off.extend(ms(1_100), ms(100));
    assert_eq!(hold_off.allows(ms(now), running), expected);
}

#[test]
fn a_time_without_measure_is_bounded() {
    let mut hold_off = HoldOff::default();
    hold_off.extend(ms(1_000), Duration::MAX);
    assert_eq!(hold_off.ends_at(ms(1_000)), Some(ms(601_000)));
    assert_eq!(hold_off.ends_at(ms(601_000)), None);
}

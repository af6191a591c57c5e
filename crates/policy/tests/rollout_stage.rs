//! The stages of a rollout: how traffic grows, what holds it back, and when the old release may
//! stop.

use std::time::Duration;

use policy::rollout_stage::{
    self, ALL_TRAFFIC, RolloutStage, RolloutView, TrafficShare, first_stage, may_decide, next_stage,
};
use rstest::rstest;

const DURATION: Duration = Duration::from_secs(12);
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// A rollout in the middle of its time that lacks nothing.
fn view(stage: RolloutStage) -> RolloutView {
    RolloutView {
        stage,
        age: DURATION.mul_f64(0.55),
        duration: DURATION,
        period: Duration::from_millis(250),
        exposure: 0.1,
        new_requests: 100,
        suspect: false,
        replicas: (4, 4),
        old_idle: Duration::ZERO,
        settle_time: SETTLE_TIME,
    }
}

#[test]
fn a_good_release_has_all_traffic_before_three_quarters_of_the_time() {
    let mut view = view(first_stage(0.1));
    view.age = Duration::ZERO;
    let mut last = 0;
    while view.stage != RolloutStage::Running(ALL_TRAFFIC) {
        let RolloutStage::Running(share) = next_stage(view) else { panic!("{:?}", view.stage) };
        assert!(share.0 >= last);
        // Nothing beyond the allowed exposure in the first half.
        assert!(view.age >= DURATION / 2 || share.0 <= 100, "{share:?} after {:?}", view.age);
        last = share.0;
        view.stage = RolloutStage::Running(share);
        view.age += view.period;
        assert!(view.age < DURATION.mul_f64(0.75), "{share:?} after {:?}", view.age);
    }
}

#[rstest]
#[case::too_early(RolloutView { age: DURATION.mul_f64(0.45), ..view(first_stage(0.1)) })]
#[case::suspect(RolloutView { suspect: true, ..view(first_stage(0.1)) })]
#[case::few_requests(RolloutView { new_requests: 3, ..view(first_stage(0.1)) })]
#[case::no_replicas(RolloutView { replicas: (0, 4), age: 2 * DURATION, ..view(first_stage(0.1)) })]
#[case::few_replicas(RolloutView { replicas: (1, 4), ..view(first_stage(0.1)) })]
#[case::taken_back(RolloutView { old_idle: DURATION, ..view(RolloutStage::RolledBack) })]
#[case::all_but_busy(view(RolloutStage::Running(ALL_TRAFFIC)))]
#[case::all_but_just_idle(RolloutView { old_idle: SETTLE_TIME / 2, ..view(RolloutStage::Running(ALL_TRAFFIC)) })]
#[case::all_but_suspect(RolloutView { old_idle: DURATION, suspect: true, ..view(RolloutStage::Running(ALL_TRAFFIC)) })]
fn nothing_changes(#[case] view: RolloutView) {
    assert_eq!(next_stage(view), view.stage);
}

#[test]
fn the_old_release_stops_once_nothing_has_run_on_it_for_long_enough() {
    let moved = view(RolloutStage::Running(ALL_TRAFFIC));
    let idle = RolloutView { old_idle: SETTLE_TIME, ..moved };
    assert_eq!(next_stage(idle), RolloutStage::Completed);
}

#[test]
fn a_pool_with_few_requests_moves_all_the_same() {
    let few = RolloutView { new_requests: 0, age: DURATION.mul_f64(0.6), ..view(first_stage(0.1)) };
    assert!(next_stage(few) > few.stage);
}

#[rstest]
#[case::first(0, 0, true)]
#[case::second_too_early(1, 1_000, false)]
#[case::second(1, 1_500, true)]
#[case::third(2, 3_000, true)]
#[case::others_never(3, 60_000, false)]
fn the_next_in_rank_takes_over_when_others_move_nothing(
    #[case] rank: usize,
    #[case] unheard_ms: u64,
    #[case] expected: bool,
) {
    assert_eq!(may_decide(rank, Duration::from_millis(unheard_ms)), expected);
}

/// Of two daemons that differ, the one that knows more is right; an end is never undone.
#[test]
fn later_stages_are_greater() {
    let running = RolloutStage::Running(TrafficShare(80));
    assert!(running < RolloutStage::Running(ALL_TRAFFIC));
    assert!(RolloutStage::Running(ALL_TRAFFIC) < RolloutStage::RolledBack);
    assert!(RolloutStage::RolledBack < RolloutStage::Completed);
}

#[rstest]
#[case(80, 10, 1)]
#[case(80, 40, 4)]
#[case(1_000, 10, 10)]
#[case(80, 1, 1)]
fn trial_traffic_goes_to_as_many_replicas_as_keep_them_under_full_load(
    #[case] share: u16,
    #[case] replicas: usize,
    #[case] expected: usize,
) {
    assert_eq!(rollout_stage::trial_replicas(TrafficShare(share), replicas), expected);
}

#[rstest]
#[case("80/1000", Some(TrafficShare(80)))]
#[case("1000/1000", Some(ALL_TRAFFIC))]
#[case("1001/1000", None)]
#[case("-1/1000", None)]
#[case("80", None)]
fn shares_are_read_as_they_are_written(#[case] text: &str, #[case] expected: Option<TrafficShare>) {
    assert_eq!(text.parse().ok(), expected);
    assert!(expected.is_none_or(|it| it.to_string() == text));
}

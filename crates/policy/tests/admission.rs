//! Whether a replica may be used, by the use and the reason against it.

use std::time::Duration;

use policy::admission::{ReplicaState, ReplicaUse, WithholdReason};
use policy::health::HealthState;
use policy::hold_off::HoldOff;
use rstest::rstest;

const NOW: Duration = Duration::from_secs(30);
const LATER: Duration = Duration::from_secs(31);
const USES: [ReplicaUse; 3] = [ReplicaUse::Request, ReplicaUse::Command, ReplicaUse::PartSource];

fn open() -> ReplicaState {
    ReplicaState::default()
}

fn held_off() -> HoldOff {
    let mut hold_off = HoldOff::default();
    hold_off.extend(NOW, LATER - NOW);
    hold_off
}

fn withheld_uses(state: ReplicaState) -> Vec<ReplicaUse> {
    USES.into_iter().filter(|it| state.withhold_reason(NOW, *it).is_some()).collect()
}

#[rstest]
#[case::open(open(), &[])]
#[case::leaving(
    ReplicaState { leaving: true, ..open() }, &[ReplicaUse::Request, ReplicaUse::Command]
)]
#[case::may_be_gone(ReplicaState { leaving: true, may_be_gone: true, ..open() }, &USES)]
#[case::held_off(ReplicaState { hold_off: held_off(), ..open() }, &USES)]
#[case::evacuated(ReplicaState { evacuated: true, ..open() }, &[ReplicaUse::Request])]
#[case::full(
    ReplicaState { full_until: LATER, ..open() }, &[ReplicaUse::Request, ReplicaUse::PartSource]
)]
#[case::was_full(ReplicaState { full_until: NOW, ..open() }, &[])]
#[case::paused(
    ReplicaState { health: HealthState::Paused, ..open() },
    &[ReplicaUse::Request, ReplicaUse::PartSource]
)]
#[case::crash_loop(
    ReplicaState { health: HealthState::CrashLoop, ..open() }, &[ReplicaUse::PartSource]
)]
#[case::loading(
    ReplicaState { is_loading: true, ..open() }, &[ReplicaUse::Request, ReplicaUse::PartSource]
)]
#[case::at_its_limit(ReplicaState { limited_until: LATER, ..open() }, &[ReplicaUse::Request])]
#[case::had_a_limit(ReplicaState { limited_until: NOW, ..open() }, &[])]
fn each_reason_keeps_its_uses_away(#[case] state: ReplicaState, #[case] withheld: &[ReplicaUse]) {
    assert_eq!(withheld_uses(state), withheld);
}

#[test]
fn what_the_replica_says_comes_first() {
    let state = ReplicaState {
        hold_off: held_off(),
        full_until: LATER,
        health: HealthState::Paused,
        is_loading: true,
        ..open()
    };
    let reason = |it: ReplicaState| it.withhold_reason(NOW, ReplicaUse::Request);
    assert_eq!(reason(state), Some(WithholdReason::HeldOff));
    let leaving = ReplicaState { leaving: true, ..state };
    assert_eq!(reason(leaving), Some(WithholdReason::Leaving));
    // A request that is placed already is withheld only if this reason is not hidden by another.
    let evacuated = ReplicaState { hold_off: HoldOff::default(), evacuated: true, ..state };
    assert_eq!(reason(evacuated), Some(WithholdReason::Evacuated));
    assert!(WithholdReason::Evacuated.is_stated() && !WithholdReason::Full.is_stated());
}

/// After a hold-off requests return one by one; commands do not wait for that.
#[rstest]
#[case::first_request(0, 0, None)]
#[case::second_request_at_once(0, 1, Some(WithholdReason::HeldOff))]
#[case::second_request_later(150, 1, None)]
fn requests_return_step_by_step(
    #[case] ms_after: u64,
    #[case] running: u32,
    #[case] expected: Option<WithholdReason>,
) {
    let state = ReplicaState { hold_off: held_off(), running, ..open() };
    let now = LATER + Duration::from_millis(ms_after);
    assert_eq!(state.withhold_reason(now, ReplicaUse::Request), expected);
    assert_eq!(state.withhold_reason(now, ReplicaUse::Command), None);
}

//! The comparison of two versions under small faults, equal failures, and load that changes for
//! both versions at once.

use std::time::Duration;

use policy::version_trial::{TrialFault, TrialSample, VersionTrial};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

/// Trials of each case.
const SEEDS: u64 = 100;
/// Requests of the old version before the new one serves.
const OLD_REQUESTS: u32 = 1_000;
/// The same where a move starts soon after its daemon.
const FEW_OLD_REQUESTS: u32 = 100;

/// A request that ended at `at` after `latency`.
fn sample(on_new_version: bool, failed: bool, at: Duration, latency: Duration) -> TrialSample {
    TrialSample { on_new_version, failed, ended_at: at, latency: Some(latency) }
}

/// Latency with a long tail, as prompts differ in length.
fn draw_latency(random: &mut StdRng) -> Duration {
    Duration::from_secs_f64(0.05 * (1.0 - random.random::<f64>()).recip().powf(0.25))
}

/// A trial in which the old version has served for a while and failed at the given rate.
fn start_trial(
    random: &mut StdRng,
    failure_rate: f64,
    old_requests: u32,
) -> (VersionTrial, Duration) {
    let mut trial = VersionTrial::default();
    let mut now = Duration::ZERO;
    for _ in 0..old_requests {
        now += Duration::from_millis(10);
        let failed = random.random::<f64>() < failure_rate;
        trial.record("counter", sample(false, failed, now, draw_latency(random)));
    }
    (trial, now)
}

/// How many of the trials find a fault of the new version within `requests` of it, when both
/// versions serve half of the requests and fail at these rates.
fn count_rejected(old_rate: f64, new_rate: f64, old_requests: u32, requests: u32) -> u64 {
    let rejected = (0..SEEDS).filter(|seed| {
        let mut random = StdRng::seed_from_u64(*seed);
        let (mut trial, mut now) = start_trial(&mut random, old_rate, old_requests);
        (0..2 * requests).any(|number| {
            now += Duration::from_millis(10);
            let is_new = number % 2 == 0;
            let rate = if is_new { new_rate } else { old_rate };
            let failed = random.random::<f64>() < rate;
            let latency = draw_latency(&mut random);
            trial.record("counter", sample(is_new, failed, now, latency)).is_some()
        })
    });
    rejected.count() as u64
}

/// A version that fails only when an engine runs several requests at once loses few of them, but
/// the old one loses none.
#[rstest]
#[case::one_in_fifty(0.02, OLD_REQUESTS, 1_500)]
#[case::one_in_fifty_early(0.02, FEW_OLD_REQUESTS, 1_500)]
#[case::one_in_twenty(0.05, OLD_REQUESTS, 500)]
#[case::one_in_ten(0.1, FEW_OLD_REQUESTS, 250)]
fn a_version_that_fails_in_part_of_its_requests_is_found(
    #[case] failure_rate: f64,
    #[case] old_requests: u32,
    #[case] requests: u32,
) {
    let rejected = count_rejected(0.0, failure_rate, old_requests, requests);
    assert!(rejected * 100 >= SEEDS * 95, "found in {rejected} of {SEEDS} trials");
}

#[rstest]
#[case::none(0.0)]
#[case::one_in_five_hundred(0.002)]
#[case::one_in_a_hundred(0.01)]
#[case::one_in_twenty(0.05)]
fn versions_that_fail_equally_often_are_not_told_apart(#[case] failure_rate: f64) {
    let rejected = count_rejected(failure_rate, failure_rate, OLD_REQUESTS, 3_000);
    assert_eq!(rejected, 0, "of {SEEDS} trials of a good version");
}

/// Every three seconds the daemon stands still for 0.3 s, as on a busy machine: all requests that
/// are running then are late, on both versions.
#[test]
fn stalls_that_delay_both_versions_do_not_make_the_new_one_slow() {
    let rejected = (0..SEEDS).filter(|seed| {
        let mut random = StdRng::seed_from_u64(*seed);
        let (mut trial, mut now) = start_trial(&mut random, 0.0, OLD_REQUESTS);
        (0..20).any(|_| {
            let on_time = (0..300).any(|number| {
                now += Duration::from_millis(10);
                let latency = draw_latency(&mut random);
                trial.record("counter", sample(number % 4 != 0, false, now, latency)).is_some()
            });
            now += Duration::from_millis(300);
            on_time
                || (0..8).any(|number| {
                    let latency = draw_latency(&mut random) + Duration::from_millis(300);
                    trial.record("counter", sample(number % 4 != 0, false, now, latency)).is_some()
                })
        })
    });
    assert_eq!(rejected.count(), 0, "of {SEEDS} trials of a good version");
}

/// Replicas that load weights are out, or other work starts on the machine: from some moment on
/// all requests take longer, on both versions.
#[test]
fn load_that_slows_both_versions_does_not_make_the_new_one_slow() {
    let rejected = (0..SEEDS).filter(|seed| {
        let mut random = StdRng::seed_from_u64(*seed);
        let (mut trial, mut now) = start_trial(&mut random, 0.0, OLD_REQUESTS);
        (0..4_000).any(|number| {
            now += Duration::from_millis(10);
            let latency = draw_latency(&mut random) * 3;
            trial.record("counter", sample(number % 4 != 0, false, now, latency)).is_some()
        })
    });
    assert_eq!(rejected.count(), 0, "of {SEEDS} trials of a good version");
}

#[rstest]
#[case::three_times(3.0, 100)]
#[case::twice(2.0, 300)]
fn a_slower_version_is_found(#[case] slowdown: f64, #[case] requests: u32) {
    let found = (0..SEEDS).filter(|seed| {
        let mut random = StdRng::seed_from_u64(*seed);
        let (mut trial, mut now) = start_trial(&mut random, 0.0, OLD_REQUESTS);
        (0..20 * requests).any(|number| {
            now += Duration::from_millis(10);
            let is_new = number % 20 == 0;
            let latency = draw_latency(&mut random);
            let latency = if is_new { latency.mul_f64(slowdown) } else { latency };
            let fault = trial.record("counter", sample(is_new, false, now, latency));
            fault == Some(TrialFault::Slow)
        })
    });
    let found = found.count() as u64;
    assert!(found * 100 >= SEEDS * 95, "found in {found} of {SEEDS} trials");
}

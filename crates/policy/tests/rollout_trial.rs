//! The verdict on a new release from summed counts: good ones pass under failures, stalls and lost
//! replicas that are not theirs; bad ones are found.

use std::time::Duration;

use policy::rollout_trial::{AttemptOutcome, RolloutEvidence, RolloutTrial};
use policy::version_trial::TrialFault;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

/// Trials of each case.
const SEEDS: u64 = 200;
/// Looks in a trial of six seconds.
const LOOKS: usize = 24;
/// Requests between two looks.
const REQUESTS: usize = 100;
/// Share of the requests on the new release.
const NEW_SHARE: f64 = 0.08;
/// The route whose requests the bad releases of some cases fail.
const BAD_ROUTE: u64 = 2;

/// How requests on a release go.
#[derive(Debug, Clone, Copy)]
struct ReleaseModel {
    /// Share of the requests that fail.
    failing: f64,
    /// Share of the requests that take `factor` times as long.
    slow: f64,
    factor: f64,
    /// Whether only the bad route is concerned.
    on_one_route: bool,
}

const SOUND: ReleaseModel =
    ReleaseModel { failing: 0.0, slow: 0.0, factor: 1.0, on_one_route: false };

impl ReleaseModel {
    /// A latency with a long tail, as prompts differ in length, or a failure.
    fn draw(&self, route: u64, random: &mut StdRng) -> AttemptOutcome {
        let concerned = !self.on_one_route || route == BAD_ROUTE;
        if concerned && random.random::<f64>() < self.failing {
            return AttemptOutcome::Failed;
        }
        let latency = 0.05 * (1.0 - random.random::<f64>()).recip().powf(0.25);
        let is_slow = concerned && random.random::<f64>() < self.slow;
        let factor = if is_slow { self.factor } else { 1.0 };
        AttemptOutcome::Answered(Duration::from_secs_f64(latency * factor))
    }
}

/// Adds the requests of one look.
fn add_look(
    evidence: &mut RolloutEvidence,
    old: ReleaseModel,
    new: ReleaseModel,
    new_share: f64,
    random: &mut StdRng,
) {
    for _ in 0..REQUESTS {
        let on_new = random.random::<f64>() < new_share;
        let route = random.random_range(0..4);
        let model = if on_new { new } else { old };
        evidence.record(route, on_new, model.draw(route, random));
    }
}

/// The number of trials that find a fault, and the looks that the slowest of these took.
fn count_found(
    old: ReleaseModel,
    new: ReleaseModel,
    fault_begins: usize,
    event: impl Fn(usize, &mut RolloutEvidence),
) -> (u64, usize) {
    let mut found = (0, 0);
    for seed in 0..SEEDS {
        let mut random = StdRng::seed_from_u64(seed);
        let (mut evidence, mut trial) = (RolloutEvidence::default(), RolloutTrial::default());
        for look in 0..LOOKS {
            let model = if look < fault_begins { old } else { new };
            add_look(&mut evidence, old, model, NEW_SHARE, &mut random);
            event(look, &mut evidence);
            if trial.observe(&evidence).is_some() {
                found = (found.0 + 1, found.1.max(look + 1 - fault_begins.min(look)));
                break;
            }
        }
    }
    found
}

/// Releases that behave like the old one.
#[rstest]
#[case::without_failures(SOUND)]
#[case::some_failures(ReleaseModel { failing: 0.02, ..SOUND })]
#[case::many_failures(ReleaseModel { failing: 0.2, ..SOUND })]
#[case::much_slow(ReleaseModel { slow: 0.3, factor: 5.0, ..SOUND })]
fn a_good_release_passes(#[case] model: ReleaseModel) {
    let (found, _) = count_found(model, model, 0, |_, _| {});
    // One false alarm in 10,000 tests, of which there are three for each of four routes and for all.
    assert_eq!(found, 0);
}

#[rstest]
#[case::failing(ReleaseModel { failing: 0.3, ..SOUND }, 0)]
#[case::failing_late(ReleaseModel { failing: 0.3, ..SOUND }, 16)]
#[case::failing_on_one_route(ReleaseModel { failing: 0.6, on_one_route: true, ..SOUND }, 0)]
#[case::slow(ReleaseModel { slow: 0.5, factor: 5.0, ..SOUND }, 0)]
fn a_bad_release_is_found(#[case] model: ReleaseModel, #[case] fault_begins: usize) {
    let old = ReleaseModel { failing: 0.01, ..SOUND };
    let (found, looks) = count_found(old, model, fault_begins, |_, _| {});
    assert!(found * 100 >= SEEDS * 95, "{found} of {SEEDS}");
    println!("found {found} of {SEEDS}, within {looks} looks");
}

/// A replica of the new release is lost with all its requests: that says nothing of the others.
#[test]
fn requests_that_are_lost_together_are_one_observation() {
    let (found, _) = count_found(SOUND, SOUND, 0, |look, evidence| {
        if look == 10 {
            (0..12).for_each(|_| evidence.record(1, true, AttemptOutcome::Failed));
        }
    });
    assert_eq!(found, 0);
}

/// A machine stalls for two looks and delays requests to both releases.
#[test]
fn a_stall_of_both_releases_is_no_fault_of_the_new_one() {
    let late = AttemptOutcome::Answered(Duration::from_secs(2));
    let (found, _) = count_found(SOUND, SOUND, 0, |look, evidence| {
        if look == 10 || look == 11 {
            (0..10).for_each(|_| evidence.record(1, true, late));
            (0..60).for_each(|_| evidence.record(1, false, late));
        }
    });
    assert_eq!(found, 0);
}

/// The counts of a daemon that has gone are missing for a while, and then come by another way.
#[test]
fn counts_that_are_missing_for_a_while_change_no_verdict() {
    let model = ReleaseModel { failing: 0.05, ..SOUND };
    for seed in 0..SEEDS {
        let mut random = StdRng::seed_from_u64(seed);
        let (mut own, mut peer) = (RolloutEvidence::default(), RolloutEvidence::default());
        let mut trial = RolloutTrial::default();
        for look in 0..LOOKS {
            add_look(&mut own, model, model, NEW_SHARE, &mut random);
            add_look(&mut peer, model, model, NEW_SHARE, &mut random);
            let mut total = own.clone();
            if !(8..14).contains(&look) {
                total.add(&peer);
            }
            assert_eq!(trial.observe(&total), None, "seed {seed}, look {look}");
        }
    }
}

#[test]
fn a_fault_once_found_stays() {
    let mut random = StdRng::seed_from_u64(1);
    let (mut evidence, mut trial) = (RolloutEvidence::default(), RolloutTrial::default());
    let bad = ReleaseModel { failing: 0.9, ..SOUND };
    for _ in 0..LOOKS {
        add_look(&mut evidence, SOUND, bad, NEW_SHARE, &mut random);
        trial.observe(&evidence);
    }
    for _ in 0..10 * LOOKS {
        add_look(&mut evidence, SOUND, SOUND, NEW_SHARE, &mut random);
        assert_eq!(trial.observe(&evidence), Some(TrialFault::Failing));
    }
}

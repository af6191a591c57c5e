//! Each daemon counts for one keeper of a key, however the hubs' views differ.

use std::collections::BTreeSet;

use policy::hub_views::HubViews;
use policy::rendezvous;
use proptest::prelude::{ProptestConfig, prop, prop_assert, prop_assert_eq, proptest};
use proptest::test_runner::RngSeed;

const HUBS: usize = 9;
const DAEMONS: usize = 88;

/// The hubs are the first daemons.
fn hash(daemon: usize) -> u64 {
    rendezvous::hash_member(&format!("edge-{daemon}"))
}

fn keeper(key: u64, hubs: &[u64]) -> u64 {
    hubs[rendezvous::homes(key, hubs, 1)[0]]
}

/// What the daemons that take themselves for the keeper of a key count in sum, each of which hears
/// all the others.
fn sum_counted(key: u64, views: &[BTreeSet<usize>], hub_of: &[usize]) -> usize {
    let views: Vec<Box<[u64]>> =
        views.iter().map(|view| view.iter().map(|it| hash(*it)).collect()).collect();
    let keepers = (0..HUBS).filter(|it| keeper(key, &views[*it]) == hash(*it));
    let counted = keepers.map(|own| {
        let mut known = HubViews::default();
        for other in (0..HUBS).filter(|it| *it != own) {
            known.record_hubs(hash(other), views[other].clone());
        }
        let others = || (0..DAEMONS).filter(move |it| *it != own);
        for daemon in others() {
            let hub = if daemon < HUBS { daemon } else { hub_of[daemon - HUBS] };
            known.record_covered(hash(daemon), (hub != own).then(|| hash(hub)));
        }
        known.count_followers(hash(own), key, others().map(hash)) + 1
    });
    counted.sum()
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(88),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against homes that grant a customer's rate side by side to daemons that hear them all.
    #[test]
    fn no_daemon_counts_for_two_keepers(
        key: u64,
        drawn in prop::collection::vec(prop::collection::btree_set(0..HUBS, 0..HUBS), HUBS),
        hub_of in prop::collection::vec(0..HUBS, DAEMONS - HUBS),
    ) {
        let mut views = drawn;
        // A hub takes itself for one.
        views.iter_mut().enumerate().for_each(|(hub, view)| { view.insert(hub); });
        prop_assert!(sum_counted(key, &views, &hub_of) <= DAEMONS);
    }

    #[test]
    fn all_daemons_count_for_the_keeper_where_hubs_agree(
        key: u64,
        hub_of in prop::collection::vec(0..HUBS, DAEMONS - HUBS),
    ) {
        let views = vec![(0..HUBS).collect(); HUBS];
        prop_assert_eq!(sum_counted(key, &views, &hub_of), DAEMONS);
    }
}

#[test]
fn a_hub_that_did_not_say_what_it_takes_for_hubs_counts() {
    let (own, key) = (hash(0), 7);
    let mut views = HubViews::default();
    views.record_covered(hash(1), Some(hash(1)));
    views.record_covered(hash(20), Some(hash(1)));
    let daemons = || [hash(1), hash(20), hash(21)].into_iter();
    assert_eq!(views.count_followers(own, key, daemons()), 3);
    // Once it names others only, those that it covers do not.
    views.record_hubs(hash(1), [hash(1), hash(2)].into());
    assert_eq!(views.count_followers(own, key, daemons()), 1);
    // A daemon that reports to this one agrees with it.
    views.record_covered(hash(20), None);
    assert_eq!(views.count_followers(own, key, daemons()), 2);
    // What is known of daemons that were forgotten is forgotten too.
    views.retain(|it| it != hash(1));
    views.record_covered(hash(1), Some(hash(1)));
    assert_eq!(views.count_followers(own, key, daemons()), 3);
}

//! Request counts of prompt prefixes that a peer reports are compared as of now.

use std::time::Duration;

use ids::{PoolId, VersionNumber};
use policy::chain::{ChainHash, ChainScope, hash_prefixes};
use policy::placement::{PlacementCosts, PlacementTable};

const SECOND: Duration = Duration::from_secs(1);

fn chain() -> Vec<ChainHash> {
    let pool: PoolId = "x".parse().unwrap();
    let scope = ChainScope { customer: None, pool: &pool, version: VersionNumber(1) };
    hash_prefixes(scope, b"abcd", 4)
}

/// A prefix that was hot long ago and one count that a peer has seen just now.
#[test]
fn a_fresh_count_of_a_peer_replaces_an_older_one_that_has_decayed_below_it() {
    let node = chain()[0];
    let mut table = PlacementTable::new(PlacementCosts::default());
    table.merge_hottest(SECOND, &[(node, 100.0)]);
    let later = 3_600 * SECOND;
    table.merge_hottest(later, &[(node, 40.0)]);
    assert_eq!(table.hottest(later, 1), [(node, 40.0)]);
}

#[test]
fn a_lower_count_of_a_peer_does_not_replace_the_own_count() {
    let node = chain()[0];
    let mut table = PlacementTable::new(PlacementCosts::default());
    table.merge_hottest(SECOND, &[(node, 100.0)]);
    table.merge_hottest(SECOND, &[(node, 40.0)]);
    assert_eq!(table.hottest(SECOND, 1), [(node, 100.0)]);
}

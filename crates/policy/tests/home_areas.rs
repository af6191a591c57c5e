//! The failure domains that a request may use, by the regions of its route and its customer.

use ids::FailureDomain;
use policy::home_areas::{self, DomainRegions, HomeAreas, Region};
use rstest::rstest;

const DOMAINS: [&str; 4] = ["a", "b", "c", "unknown"];

/// The domains a and b are in the north, c is in the south; no region of the last one is known.
fn domain_regions() -> DomainRegions {
    let regions = [("a", "north"), ("b", "north"), ("c", "south")];
    regions.into_iter().map(|(domain, region)| (id(domain), region.into())).collect()
}

fn id(domain: &str) -> FailureDomain {
    domain.parse().expect("an id")
}

fn regions(names: &[&str]) -> Vec<Region> {
    names.iter().map(|it| Region::from(*it)).collect()
}

/// Guards against requests that leave their regions, as one of the two lists or an unknown region
/// counts as all regions.
#[rstest]
#[case::none_stated(&[], &[], &["a", "b", "c", "unknown"])]
#[case::by_the_route(&["north"], &[], &["a", "b"])]
#[case::by_the_customer(&[], &["south"], &["c"])]
#[case::several(&["south", "north"], &[], &["a", "b", "c"])]
#[case::both(&["north", "south"], &["south"], &["c"])]
#[case::nothing_in_common(&["north"], &["south"], &[])]
#[case::no_domain_in_the_region(&["west"], &[], &[])]
#[case::one_unknown_region(&["west", "south"], &[], &["c"])]
fn both_lists_restrict_the_domains(
    #[case] route: &[&str],
    #[case] customer: &[&str],
    #[case] allowed: &[&str],
) {
    let areas = HomeAreas::new(&domain_regions(), &regions(route), &regions(customer));
    let found: Vec<&str> = DOMAINS.into_iter().filter(|it| areas.allows(&id(it))).collect();
    assert_eq!(found, allowed);
}

#[test]
fn unknown_regions_are_named_once() {
    let named = regions(&["west", "north", "west", "east"]);
    let known = domain_regions();
    let unknown = home_areas::unknown_regions(&known, &named);
    assert_eq!(unknown, [&Region::from("west"), &Region::from("east")]);
}

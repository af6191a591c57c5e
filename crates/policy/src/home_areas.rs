//! Which failure domains a request may use, by the regions that its route and its customer allow.
//!
//! Load pattern: requests that must stay in some regions arrive while the replicas there are full,
//! evacuated or gone, and those elsewhere are idle. A rule that a choice weighs against load instead
//! of filtering by it sends these requests elsewhere exactly then.

use std::fmt;

use ids::FailureDomain;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// A region, which consists of failure domains.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Region(Box<str>);

impl From<&str> for Region {
    fn from(name: &str) -> Region {
        Region(name.into())
    }
}

impl fmt::Display for Region {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(&self.0)
    }
}

/// The region of each failure domain, as far as the settings state it.
pub type DomainRegions = IndexMap<FailureDomain, Region>;

/// The failure domains that a request may use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HomeAreas {
    /// All of them, also those whose region is not known.
    Everywhere,
    /// Only these; there may be none.
    Only(Box<[FailureDomain]>),
}

impl HomeAreas {
    /// The failure domains in the regions of both lists; an empty list allows all regions.
    pub fn new(regions: &DomainRegions, route: &[Region], customer: &[Region]) -> HomeAreas {
        if route.is_empty() && customer.is_empty() {
            return HomeAreas::Everywhere;
        }
        let is_allowed = |region: &Region| {
            [route, customer].iter().all(|it| it.is_empty() || it.contains(region))
        };
        let allowed = regions.iter().filter(|it| is_allowed(it.1));
        HomeAreas::Only(allowed.map(|it| it.0.clone()).collect())
    }

    /// Whether a replica or store in this failure domain may be used.
    pub fn allows(&self, domain: &FailureDomain) -> bool {
        match self {
            HomeAreas::Everywhere => true,
            HomeAreas::Only(domains) => domains.contains(domain),
        }
    }
}

/// Those of the named regions that no failure domain belongs to, each once.
pub fn unknown_regions<'a>(
    regions: &DomainRegions,
    named: impl IntoIterator<Item = &'a Region>,
) -> Vec<&'a Region> {
    let mut unknown: Vec<&Region> = Vec::new();
    for region in named {
        if !regions.values().any(|it| it == region) && !unknown.contains(&region) {
            unknown.push(region);
        }
    }
    unknown
}

//! Which daemons take this one for the keeper of a key, such as a customer's rate.
//!
//! Load pattern: daemons that stand still, are cut off or restart by the dozen, so that hubs differ
//! in what they take for the hubs. Then several daemons keep the tokens of one key, and hear the same
//! others. Each daemon counts for one keeper only: the one that its hub takes for it.

use indexmap::IndexMap;

use crate::rendezvous;

/// What the hubs of the fleet take for its hubs, as they reported.
#[derive(Debug, Default)]
pub struct HubViews {
    /// The hashes of the daemons that each hub takes for hubs, by the hub's own.
    hubs: IndexMap<u64, Box<[u64]>>,
    /// The hub whose report covered each daemon last.
    covered_by: IndexMap<u64, u64>,
}

impl HubViews {
    /// Counts those of `daemons` whose hub takes `own` for the keeper of `key`. A hub that did not
    /// report what it takes for hubs is taken to agree.
    pub fn count_followers(&self, own: u64, key: u64, daemons: impl Iterator<Item = u64>) -> usize {
        let mut keepers: IndexMap<u64, u64> = IndexMap::new();
        let mut keeper_of = |hub: u64| {
            *keepers.entry(hub).or_insert_with(|| {
                let hubs = self.hubs.get(&hub).map_or(&[][..], |it| it);
                rendezvous::homes(key, hubs, 1).first().map_or(own, |it| hubs[*it])
            })
        };
        daemons
            .filter(|it| self.covered_by.get(it).is_none_or(|hub| keeper_of(*hub) == own))
            .count()
    }

    /// Records what a hub takes for the hubs.
    pub fn record_hubs(&mut self, hub: u64, hubs: Box<[u64]>) {
        self.hubs.insert(hub, hubs);
    }

    /// Records whose report covered a daemon last; `None` if the daemon reported to this one as its
    /// hub, and so agrees with it.
    pub fn record_covered(&mut self, daemon: u64, hub: Option<u64>) {
        match hub {
            Some(hub) => self.covered_by.insert(daemon, hub),
            None => self.covered_by.swap_remove(&daemon),
        };
    }

    /// Forgets all daemons but those for which `is_known`.
    pub fn retain(&mut self, is_known: impl Fn(u64) -> bool) {
        self.hubs.retain(|it, _| is_known(*it));
        self.covered_by.retain(|it, _| is_known(*it));
    }
}

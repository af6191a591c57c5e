//! Applies evacuations of failure domains to the replicas, and reports them and region names that
//! apply to nothing.

use std::time::Duration;

use ids::FailureDomain;
use indexmap::IndexMap;
use policy::home_areas;

use crate::cluster_view::ClusterView;
use crate::dialect::Dialect;
use crate::directory::Directory;
use crate::fleet::FleetTable;
use crate::gateway::{Gateway, StateSource, lock};

/// The evacuated failure domains, each with whether it was looked for among the replicas.
pub(crate) type EvacuatedDomains = IndexMap<FailureDomain, bool>;

/// The failure domains whose evacuation began or ended.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EvacuationChange {
    /// Evacuated now and not before.
    pub begun: Vec<FailureDomain>,
    /// Evacuated before and not now.
    pub ended: Vec<FailureDomain>,
}

impl FleetTable {
    /// Replaces the evacuated failure domains.
    pub fn set_evacuated(&mut self, domains: &[FailureDomain]) -> EvacuationChange {
        let before = std::mem::take(&mut self.evacuated);
        let begun = domains.iter().filter(|it| !before.contains_key(*it)).cloned().collect();
        let ended = before.keys().filter(|it| !domains.contains(it)).cloned().collect();
        let is_checked = |it: &FailureDomain| before.get(it).copied().unwrap_or(false);
        self.evacuated = domains.iter().map(|it| (it.clone(), is_checked(it))).collect();
        self.mark_evacuated();
        EvacuationChange { begun, ended }
    }

    /// Whether a failure domain is evacuated.
    pub(crate) fn is_evacuated(&self, domain: &FailureDomain) -> bool {
        self.evacuated.contains_key(domain)
    }

    /// Notes at each replica whether its failure domain is evacuated.
    pub(crate) fn mark_evacuated(&mut self) {
        for replica in self.replicas.values_mut() {
            replica.evacuated = self.evacuated.contains_key(&replica.entry.domain);
        }
    }

    /// The evacuated domains without any replica, each once while its evacuation lasts. None are
    /// found before the replicas are known.
    pub fn take_empty_evacuated(&mut self) -> Vec<FailureDomain> {
        if self.replicas.is_empty() {
            return Vec::new();
        }
        let unchecked = self.evacuated.iter_mut().filter(|it| !*it.1);
        let mut empty = Vec::new();
        for (domain, is_checked) in unchecked {
            *is_checked = true;
            if !self.replicas.values().any(|it| it.entry.domain == *domain) {
                empty.push(domain.clone());
            }
        }
        empty
    }
}

impl<D: Dialect, S: Directory> Gateway<D, S> {
    /// Applies the evacuations of a view to the replicas, under the view's lock, so that a later one
    /// cannot be overtaken.
    pub(crate) fn use_evacuations(
        &self,
        view: &ClusterView,
        read_at: Duration,
        source: StateSource,
    ) {
        let EvacuationChange { begun, ended } = lock(&self.fleet).set_evacuated(view.evacuated());
        let age_ms = self.now().saturating_sub(read_at).as_millis() as u64;
        for domain in begun {
            tracing::info!(%domain, %source, age_ms, "targets: evacuation of a failure domain begins");
        }
        for domain in ended {
            tracing::info!(%domain, %source, age_ms, "targets: evacuation of a failure domain ends");
        }
    }

    /// Warns of evacuated domains that neither the settings nor the listing know.
    pub(crate) fn warn_unknown_domains(&self) {
        let empty = lock(&self.fleet).take_empty_evacuated();
        if empty.is_empty() {
            return;
        }
        let settings = self.settings();
        for domain in empty.iter().filter(|it| !settings.domain_regions.contains_key(*it)) {
            tracing::warn!(%domain, "targets: the evacuated failure domain is not known");
        }
    }

    /// Warns of regions in the configuration that no failure domain belongs to.
    pub(crate) fn warn_unknown_regions(&self) {
        let (Some(config), settings) = (self.config(), self.settings()) else { return };
        let named = config.regions.named();
        let unknown = home_areas::unknown_regions(&settings.domain_regions, named);
        for region in unknown {
            let config = config.revision.0;
            tracing::warn!(%region, config, "control: no failure domain belongs to an allowed region");
        }
    }
}

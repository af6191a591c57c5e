//! What daemons know of replicas' weights: merged from the listing, peers and answers.

use std::time::Duration;

use indexmap::IndexMap;
use policy::rendezvous;
use policy::replica_pace::PaceEvent;
use xxhash_rust::xxh3;

use crate::fleet::FleetTable;
use crate::peer_message::{ModelWeightStatus, WeightStatus};
use crate::placement::PlacedTarget;
use crate::replica::Replica;

/// How long the reported weights of a replica are kept while it is not listed: its entry may arrive
/// later than the report.
const REPORTED_WEIGHTS_TTL: Duration = Duration::from_secs(60);

/// Reports by replica hash and incarnation, also of replicas that are not listed yet.
#[derive(Debug, Default)]
pub(crate) struct WeightReports(IndexMap<(u64, u64), WeightReport>);

/// What was last reported of one incarnation of a replica.
#[derive(Debug)]
struct WeightReport {
    status: WeightStatus,
    models: IndexMap<Box<str>, ModelWeightStatus>,
    reported_at: Duration,
}

impl WeightReports {
    /// Applies what was reported of a replica before it was listed.
    pub(crate) fn apply_to(&self, now: Duration, replica: &mut Replica) {
        let Some(it) = self.0.get(&(replica.member, replica.entry.incarnation)) else { return };
        if let Some(model) = replica.weights.only_model().map(Box::<str>::from) {
            replica.weights.merge(now, &model, it.status.loaded, 0);
        }
        for it in it.models.values() {
            replica.weights.merge(now, &it.model, it.loaded, 0);
        }
        replica.accepted_commands = it.status.accepted;
    }

    pub(crate) fn expire(&mut self, now: Duration) {
        self.0.retain(|_, it| now < it.reported_at + REPORTED_WEIGHTS_TTL);
    }

    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    fn report_mut(&mut self, now: Duration, member: u64, incarnation: u64) -> &mut WeightReport {
        let report = self.0.entry((member, incarnation)).or_insert_with(|| WeightReport {
            status: WeightStatus { member, incarnation, loaded: 0, commanded: 0, accepted: 0 },
            models: IndexMap::new(),
            reported_at: now,
        });
        report.reported_at = now;
        report
    }
}

impl FleetTable {
    /// Merges what a peer or this daemon learned of a replica's weights. Returns true if anything
    /// changed.
    pub fn merge_weight_status(&mut self, now: Duration, status: WeightStatus) -> bool {
        let report = self.weight_reports.report_mut(now, status.member, status.incarnation);
        let reported = &mut report.status;
        let changed = reported.loaded < status.loaded
            || reported.commanded < status.commanded
            || reported.accepted < status.accepted;
        reported.loaded = reported.loaded.max(status.loaded);
        reported.commanded = reported.commanded.max(status.commanded);
        reported.accepted = reported.accepted.max(status.accepted);
        let Some(replica) = self.incarnation_mut(status.member, status.incarnation) else {
            return changed;
        };
        if status.accepted > replica.accepted_commands {
            replica.last_command_at = Some(now);
        }
        replica.accepted_commands = replica.accepted_commands.max(status.accepted);
        // Versions of several models are not comparable.
        if let Some(model) = replica.weights.only_model().map(Box::<str>::from) {
            self.merge_versions(now, status.member, &model, status.loaded, status.commanded);
        }
        changed
    }

    /// The same for one of several models on a replica.
    pub fn merge_model_status(&mut self, now: Duration, status: &ModelWeightStatus) -> bool {
        let report = self.weight_reports.report_mut(now, status.member, status.incarnation);
        let unknown = ModelWeightStatus { loaded: 0, commanded: 0, ..status.clone() };
        let reported = report.models.entry(status.model.clone()).or_insert(unknown);
        let changed = reported.loaded < status.loaded || reported.commanded < status.commanded;
        reported.loaded = reported.loaded.max(status.loaded);
        reported.commanded = reported.commanded.max(status.commanded);
        if self.incarnation_mut(status.member, status.incarnation).is_some() {
            let (loaded, commanded) = (status.loaded, status.commanded);
            self.merge_versions(now, status.member, &status.model, loaded, commanded);
        }
        changed
    }

    fn merge_versions(
        &mut self,
        now: Duration,
        member: u64,
        model: &str,
        loaded: u64,
        commanded: u64,
    ) {
        let is_pacing = self.pacing.is_some();
        let Some(replica) = self.replicas.get_mut(&member) else { return };
        if replica.weights.merge(now, model, loaded, commanded) && is_pacing {
            replica.pace.observe(now, PaceEvent::Started);
        }
    }

    /// Records the version of a model's weights that a replica named in an answer.
    pub fn record_weights(&mut self, placed: &PlacedTarget, model: &str, version: u64) {
        if let Some(it) = self.same_incarnation(placed) {
            it.weights.record_stated(model, version);
        }
    }

    /// Number of replica incarnations whose weights were reported recently.
    pub fn reported_count(&self) -> usize {
        self.weight_reports.len()
    }

    /// A digest of what is known of replicas' weights. Commands that are done do not count, as a
    /// daemon may not have heard of them.
    pub fn weights_digest(&self) -> u64 {
        let pending = |commanded: u64, loaded: u64| if commanded > loaded { commanded } else { 0 };
        let with_weights = || self.replicas.values().filter(|it| it.weights.highest_loaded() > 0);
        let digest = with_weights().map(|it| it.weight_status()).fold(0, |digest, it| {
            let commanded = pending(it.commanded, it.loaded);
            digest ^ hash_fields(&[it.member, it.incarnation, it.loaded, it.accepted, commanded])
        });
        with_weights().flat_map(Replica::model_statuses).fold(digest, |digest, it| {
            let commanded = pending(it.commanded, it.loaded);
            let model = rendezvous::hash_member(&it.model);
            digest ^ hash_fields(&[it.member, it.incarnation, model, it.loaded, commanded])
        })
    }

    /// The weights of all replicas that have any, for a full report.
    pub fn weight_statuses(&self) -> Vec<WeightStatus> {
        let replicas = self.replicas.values().filter(|it| it.weights.highest_loaded() > 0);
        replicas.map(Replica::weight_status).collect()
    }

    /// The weights of all replicas with several models, for a message behind a full report.
    pub fn model_weight_statuses(&self) -> Vec<ModelWeightStatus> {
        self.replicas.values().flat_map(Replica::model_statuses).collect()
    }

    fn incarnation_mut(&mut self, member: u64, incarnation: u64) -> Option<&mut Replica> {
        self.replicas.get_mut(&member).filter(|it| it.entry.incarnation == incarnation)
    }
}

fn hash_fields(fields: &[u64; 5]) -> u64 {
    xxh3::xxh3_64(fields.map(u64::to_le_bytes).as_flattened())
}

//! Holds the lease on commands to replicas, a row in the store (`policy::command_lease`).

use std::time::Duration;

use ids::StoreEra;
use policy::command_lease::{self, LeaseRequest, StoredLease};
use ports::{CommitResult, StoreError};

use crate::dialect::Dialect;
use crate::directory::{CommandLease, Directory};
use crate::gateway::Gateway;

/// Another daemon waits for one part in this many of the lease beyond its end, since clocks differ
/// in speed.
const EXPIRY_MARGIN_DIVISOR: u32 = 5;
/// The lease lasts for one part in this many of the handover time.
const LEASE_DIVISOR: u32 = 3;

/// The lease as last written by this daemon.
#[derive(Debug, Clone)]
pub(crate) struct HeldLease {
    pub(crate) lease: CommandLease,
    /// When the read before the last successful write began, on this daemon's clock; the row states
    /// the time of that read, and the lease lasts from then.
    confirmed_at: Duration,
    /// When the handover time since this daemon took over has passed.
    pub(crate) handover_ends_at: Duration,
}

/// When this daemon first read the lease in an era of the store.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EraStart {
    era: StoreEra,
    at: Duration,
}

fn lease_duration<D: Dialect, S: Directory>(gateway: &Gateway<D, S>) -> Duration {
    gateway.settings().bounds.lease / LEASE_DIVISOR
}

/// Whether the lease is certainly valid now.
pub(crate) fn is_valid<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    held: &HeldLease,
) -> bool {
    gateway.now() < held.confirmed_at + lease_duration(gateway)
}

/// Whether the lease is to be renewed: half of its duration has passed.
pub(crate) fn is_renewal_due<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    held: &HeldLease,
) -> bool {
    gateway.now() >= held.confirmed_at + lease_duration(gateway) / 2
}

/// Renews the lease or takes an expired one; `None` if another daemon holds it.
pub(crate) async fn take<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    held: Option<HeldLease>,
    era_start: &mut Option<EraStart>,
) -> Result<Option<HeldLease>, StoreError> {
    let read_began_at = gateway.now();
    let read = gateway.directory.read_lease().await;
    let took = gateway.now().saturating_sub(read_began_at);
    gateway.metrics.record_store_call("lease", took, read.is_err());
    let snapshot = read?;
    let era = snapshot.revision.era();
    if era_start.is_none_or(|it| it.era < era) {
        *era_start = Some(EraStart { era, at: read_began_at });
    }
    let stored = snapshot.value.as_ref().map(|(lease, _)| StoredLease {
        is_own: lease.holder == gateway.own,
        token: lease.fencing_token,
        age: snapshot.store_time.saturating_sub(lease.renewed_at),
    });
    let token = command_lease::claim_token(LeaseRequest {
        stored,
        era,
        era_age: era_start.map_or(Duration::ZERO, |it| read_began_at.saturating_sub(it.at)),
        expiry: lease_duration(gateway) + lease_duration(gateway) / EXPIRY_MARGIN_DIVISOR,
    });
    let Some(token) = token else {
        if let (Some(_), Some((lease, _))) = (&held, &snapshot.value) {
            tracing::info!(holder = %lease.holder.id, "weights: lease not kept by this daemon");
        }
        return Ok(None);
    };
    let expected = snapshot.value.map(|it| it.1);
    let lease = CommandLease {
        holder: gateway.own.clone(),
        fencing_token: token,
        renewed_at: snapshot.store_time,
    };
    let asked_at = gateway.now();
    let written = gateway.directory.write_lease(&lease, expected).await;
    let took = gateway.now().saturating_sub(asked_at);
    gateway.metrics.record_store_call("lease-write", took, written.is_err());
    match written? {
        CommitResult::Done(_) => {
            if held.is_none() {
                tracing::info!(token, "weights: lease acquired");
            }
            // A lease that was lost for a while may have been held by another daemon meanwhile.
            let handover_ends_at = held
                .map_or(gateway.now() + gateway.settings().bounds.lease, |it| it.handover_ends_at);
            Ok(Some(HeldLease { lease, confirmed_at: read_began_at, handover_ends_at }))
        }
        CommitResult::Conflict => Ok(None),
    }
}

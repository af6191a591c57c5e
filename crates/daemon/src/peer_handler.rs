//! Answers the requests of peers.

use std::sync::Arc;

use catalog::ChangeSet;
use control::TakeResult;
use ids::{CustomerId, Incarnation, InstanceId, Revision};
use peers::{PeerHandler, PeerRequest, PeerResponse, PeerSnapshot};

use crate::router::Router;

/// Number of prefixes of each pool in a snapshot, the most requested ones.
const SNAPSHOT_NODES: usize = 256;

/// Answers peers' requests from the router's state.
#[derive(Debug)]
pub(crate) struct DaemonPeerHandler {
    pub(crate) router: Arc<Router>,
}

impl PeerHandler for DaemonPeerHandler {
    async fn handle(
        &self,
        from: &InstanceId,
        _incarnation: Incarnation,
        request: PeerRequest,
    ) -> PeerResponse {
        let router = &self.router;
        match request {
            PeerRequest::TakeTokens { customer, tokens, minimum, ticket } => {
                self.take_tokens(&customer, tokens, minimum, ticket)
            }
            PeerRequest::RefundTokens { ticket, tokens } => {
                router.shares.refund(ticket, tokens);
                PeerResponse::Done
            }
            PeerRequest::GetAttemptStatus { attempt, incarnation } => {
                PeerResponse::Attempt(router.claims.attempt_status(&attempt, incarnation))
            }
            PeerRequest::Ping { catalog, shares_revision } => {
                self.catch_up(catalog);
                let report = router.shares.report_for_peer(from, shares_revision);
                let catalog = router.catalog.revision();
                PeerResponse::Pong {
                    report,
                    catalog,
                    shares: router.shares.newer_row(shares_revision),
                }
            }
            PeerRequest::GetCatalog { after } => PeerResponse::Catalog(self.catalog_after(after)),
            PeerRequest::CatalogChanged { revision, change } => {
                self.apply_change(revision, &change);
                PeerResponse::Done
            }
            PeerRequest::BlockKey(digest) => {
                router.block_key(digest);
                router.catalog.wake_watchers();
                PeerResponse::Done
            }
            PeerRequest::VersionFault { pool, id } => {
                if let Some(scheduler) = router.scheduler(&pool) {
                    scheduler.reject_move(id);
                }
                PeerResponse::Done
            }
            PeerRequest::Strikes(strikes) => {
                let now = router.now();
                let mut quarantine = router.lock_quarantine();
                for strike in strikes {
                    quarantine.record_strike(now, strike);
                }
                PeerResponse::Done
            }
            PeerRequest::ReserveReplica { fingerprint, members } => {
                let now = router.now();
                PeerResponse::ReservedReplica(router.lock_isolation().reserve(
                    now,
                    fingerprint,
                    &members,
                ))
            }
            PeerRequest::ReleaseReplica { fingerprint, member } => {
                router.lock_isolation().release(member, fingerprint);
                PeerResponse::Done
            }
            PeerRequest::GetSnapshot => PeerResponse::Snapshot(self.snapshot()),
            // Both are accepted only while a connection is being opened.
            PeerRequest::Hello(_) | PeerRequest::Prove { .. } => {
                PeerResponse::Refused("the connection is open already".into())
            }
        }
    }
}

impl DaemonPeerHandler {
    /// Takes tokens from this daemon's share of a customer's rate.
    fn take_tokens(
        &self,
        customer: &CustomerId,
        tokens: u64,
        minimum: u64,
        ticket: u64,
    ) -> PeerResponse {
        let catalog = self.router.catalog.current();
        let known = catalog.as_ref().and_then(|it| it.customers.get(customer));
        let Some(customer) = known else { return PeerResponse::NotHolder };
        match self.router.shares.take(customer, tokens, minimum, ticket) {
            TakeResult::Taken(tokens) => PeerResponse::Taken { tokens, retry_after_ms: None },
            TakeResult::Insufficient(after) => PeerResponse::Taken {
                tokens: 0,
                retry_after_ms: after.map(|it| it.as_millis() as u64),
            },
            TakeResult::NotHolder => PeerResponse::NotHolder,
        }
    }

    /// The catalog as JSON if it is newer than revision `after`.
    fn catalog_after(&self, after: Revision) -> Option<Box<str>> {
        let catalog = self.router.catalog.current()?;
        if catalog.revision <= after {
            return None;
        }
        serde_json::to_string(&*catalog).ok().map(Into::into)
    }

    /// Applies a change that a peer accepted; refreshes the catalog if earlier changes are missing.
    fn apply_change(&self, revision: Revision, change: &str) {
        let Ok(change) = serde_json::from_str::<ChangeSet>(change) else { return };
        if !self.router.catalog.apply_next_change(revision, &change) {
            self.catch_up(revision);
        }
    }

    /// Refreshes the catalog in the background if a peer has a newer revision.
    fn catch_up(&self, seen: Revision) {
        if seen <= self.router.catalog.revision() {
            return;
        }
        let router = self.router.clone();
        tokio::spawn(async move {
            if let Err(error) = router.catalog.refresh().await {
                tracing::debug!(
                    "catalog: not refreshed from the table, the next poll retries: {error}"
                );
            }
        });
    }

    /// Collects the state that a newly started daemon cannot read from the stores.
    fn snapshot(&self) -> PeerSnapshot {
        let schedulers = self.router.schedulers();
        let hottest =
            schedulers.into_iter().map(|it| (it.id.clone(), it.hottest(SNAPSHOT_NODES))).collect();
        PeerSnapshot {
            hottest,
            strikes: self.router.lock_quarantine().strikes(),
            blocked: self.router.blocked_keys(),
        }
    }
}

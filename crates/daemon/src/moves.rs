//! Version moves: this daemon's part in driving them, and what it does when a fault shows.

use std::sync::Arc;
use std::time::Duration;

use catalog::{MoveStage, VersionMove};
use control::MoveChange;
use peers::PeerRequest;
use policy::version_trial::TrialFault;

use crate::admin;
use crate::router::Router;

/// The time between two rounds of the driver.
const ROUND: Duration = Duration::from_millis(500);
/// The time between two tries to have a move taken back.
const REPORT_PAUSE: Duration = Duration::from_millis(500);

/// Drives moves while this daemon holds the lease.
pub(crate) async fn drive(router: Arc<Router>) {
    loop {
        let jitter = rand::random_range(0.8..1.2);
        tokio::time::sleep(ROUND.mul_f64(jitter)).await;
        if router.is_leaving() {
            continue;
        }
        let Some(catalog) = router.catalog.current() else { continue };
        let trial = |pool: &_| router.desk(pool).map_or(0, |it| it.trial_requests());
        match router.moves.step(&catalog, &router.engines, trial).await {
            Ok(changes) => {
                for it in changes {
                    submit(&router, &it).await;
                }
            }
            Err(error) => tracing::debug!("moves: no round: {error}"),
        }
    }
}

/// A fault of a new version shows here: peers stop using it at once, and the move is taken back.
pub(crate) fn report_fault(router: &Arc<Router>, found: Option<(VersionMove, TrialFault)>) {
    let Some((open, fault)) = found else { return };
    let reason = match fault {
        TrialFault::Failing => "the new version fails more often",
        TrialFault::Slow => "the new version is slower",
    };
    tracing::warn!("moves: {}: {reason}", open.id);
    let router = router.clone();
    tokio::spawn(async move {
        let message = PeerRequest::VersionFault { pool: open.pool.clone(), id: open.id.clone() };
        router.tell_peers(&message).await;
        let change = control::stage_change(&open, MoveStage::TakingBack, Some(reason));
        while is_moving(&router, &open) && !submit(&router, &change).await {
            tokio::time::sleep(REPORT_PAUSE).await;
        }
    });
}

fn is_moving(router: &Router, open: &VersionMove) -> bool {
    let catalog = router.catalog.current();
    let stage = catalog.and_then(|it| it.moves.get(&open.id).map(|it| it.stage));
    matches!(stage, Some(MoveStage::Trial | MoveStage::Rollout))
}

/// Has a change of a move accepted; false if the table was unavailable or it does not fit.
async fn submit(router: &Router, it: &MoveChange) -> bool {
    match admin::accept(router, &it.change, &it.change_id, None).await {
        Ok(_) => true,
        Err(error) => {
            tracing::debug!("moves: {} not accepted: {error}", it.change_id);
            false
        }
    }
}

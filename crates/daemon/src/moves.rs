//! Version moves: this daemon's part in driving them, and what it does when a fault shows.

use std::sync::Arc;
use std::time::Duration;

use catalog::{CatalogState, MoveStage, VersionMove};
use control::MoveChange;
use peers::PeerRequest;
use policy::version_trial::TrialFault;
use ports::WeightStore;

use crate::admin;
use crate::router::Router;

/// The time between two rounds of the driver.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);
/// The time between two looks of a daemon that does not drive.
const IDLE_INTERVAL: Duration = Duration::from_secs(2);
/// Daemons that may drive: the first of them by rendezvous. The others do not even read the lease.
const CANDIDATE_DAEMONS: usize = 3;
/// The time between two tries to have a move taken back.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Drives moves while this daemon holds the lease.
pub(crate) async fn run_controller(router: Arc<Router>) {
    loop {
        let jitter = rand::random_range(0.8..1.2);
        let round = if router.moves.holds_lease() { ROUND_INTERVAL } else { IDLE_INTERVAL };
        tokio::time::sleep(round.mul_f64(jitter)).await;
        if router.is_leaving() || !is_candidate(&router) {
            continue;
        }
        let Some(catalog) = router.catalog.current() else { continue };
        roll_back_without_weights(&router, &catalog).await;
        let trial = |pool: &_| router.scheduler(pool).map_or(0, |it| it.trial_requests());
        match router.moves.run_round(&catalog, &router.engines, trial).await {
            Ok(changes) => {
                for it in changes {
                    submit(&router, &it).await;
                }
            }
            Err(error) => tracing::debug!("moves: no round: {error}"),
        }
    }
}

/// A version whose weights the store does not hold cannot be loaded; the move is taken back
/// before any replica is ordered. A store that does not answer decides nothing.
async fn roll_back_without_weights(router: &Arc<Router>, catalog: &CatalogState) {
    if !router.moves.holds_lease() {
        return;
    }
    for version_move in catalog.moves.values().filter(|it| it.stage == MoveStage::Trial) {
        let version = catalog
            .versions
            .iter()
            .find(|it| it.pool == version_move.pool && it.number == version_move.to);
        let Some(version) = version else { continue };
        if let Ok(false) = router.platform.has(&version.weights).await {
            let reason = Some("the weight store does not hold its weights");
            submit(
                router,
                &control::build_stage_change(version_move, MoveStage::TakingBack, reason),
            )
            .await;
        }
    }
}

fn is_candidate(router: &Router) -> bool {
    let first = router.members.first_homes("moves", CANDIDATE_DAEMONS);
    first.is_empty() || first.contains(&router.instance_id)
}

/// A fault of a new version shows here: peers stop using it at once, and the move is taken back.
pub(crate) fn report_fault(router: &Arc<Router>, found: Option<(VersionMove, TrialFault)>) {
    let Some((version_move, fault)) = found else { return };
    let reason = match fault {
        TrialFault::Failing => "the new version fails more often",
        TrialFault::Slow => "the new version is slower",
    };
    tracing::warn!("moves: {}: {reason}", version_move.id);
    let router = router.clone();
    tokio::spawn(async move {
        let message = PeerRequest::VersionFault {
            pool: version_move.pool.clone(),
            id: version_move.id.clone(),
        };
        router.broadcast(&message).await;
        let change =
            control::build_stage_change(&version_move, MoveStage::TakingBack, Some(reason));
        while is_in_progress(&router, &version_move) && !submit(&router, &change).await {
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    });
}

fn is_in_progress(router: &Router, version_move: &VersionMove) -> bool {
    let catalog = router.catalog.current();
    let stage = catalog.and_then(|it| it.moves.get(&version_move.id).map(|it| it.stage));
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

//! Version moves: runs the controller on the daemon that holds the lease, and rolls a move back
//! when its new version proves faulty.

use std::sync::Arc;
use std::time::Duration;

use catalog::{CatalogState, MoveStage, VersionMove};
use control::MoveChange;
use peers::PeerRequest;
use policy::version_trial::TrialFault;
use ports::WeightStore;

use crate::admin;
use crate::router::Router;

/// Time between two rounds of the daemon that holds the lease.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two attempts of another candidate to get the lease.
const IDLE_INTERVAL: Duration = Duration::from_secs(2);
/// Number of daemons that may hold the lease, the first by rendezvous. The others do not read it.
const CANDIDATE_DAEMONS: usize = 3;
/// Time between two attempts to submit the rollback of a move.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Runs rounds of the move controller and submits the changes it decides, on candidates only.
pub(crate) async fn run_controller(router: Arc<Router>) {
    loop {
        let jitter = rand::random_range(0.8..1.2);
        let round = if router.moves.holds_lease() { ROUND_INTERVAL } else { IDLE_INTERVAL };
        tokio::time::sleep(round.mul_f64(jitter)).await;
        if router.is_leaving() || !is_candidate(&router) {
            continue;
        }
        let Some(catalog) = router.catalog.current() else { continue };
        roll_back_if_weights_missing(&router, &catalog).await;
        let trial = |pool: &_| router.scheduler(pool).map_or(0, |it| it.trial_requests());
        match router.moves.run_round(&catalog, &router.target_client, trial).await {
            Ok(changes) => {
                for it in changes {
                    submit(&router, &it).await;
                }
            }
            Err(error) => tracing::debug!(
                "moves: the controller's round failed, the next one retries: {error}"
            ),
        }
    }
}

/// Rolls back a move whose weights the weight store does not hold, before any replica is commanded
/// to load them. If the store does not answer, the move goes on.
async fn roll_back_if_weights_missing(router: &Arc<Router>, catalog: &CatalogState) {
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

/// Whether this daemon may hold the lease; true while the platform's list is not known.
fn is_candidate(router: &Router) -> bool {
    let first = router.members.first_homes("moves", CANDIDATE_DAEMONS);
    first.is_empty() || first.contains(&router.instance_id)
}

/// Handles a fault that a trial found: tells peers to stop using the new version, and submits the
/// rollback until it is accepted or the move is over.
pub(crate) fn report_fault(router: &Arc<Router>, found: Option<(VersionMove, TrialFault)>) {
    let Some((version_move, fault)) = found else { return };
    let reason = match fault {
        TrialFault::Failing => "the new version fails more often",
        TrialFault::Slow => "the new version is slower",
    };
    tracing::warn!("moves: {} is rolled back: {reason}", version_move.id);
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

/// Whether the move is at a stage from which it can be rolled back.
fn is_in_progress(router: &Router, version_move: &VersionMove) -> bool {
    let catalog = router.catalog.current();
    let stage = catalog.and_then(|it| it.moves.get(&version_move.id).map(|it| it.stage));
    matches!(stage, Some(MoveStage::Trial | MoveStage::Rollout))
}

/// Submits a change of a move; false if the table was unavailable or the change no longer fits.
async fn submit(router: &Router, it: &MoveChange) -> bool {
    match admin::publish_change(router, &it.change, &it.change_id, None).await {
        Ok(_) => true,
        Err(error) => {
            tracing::debug!("moves: change {} was not accepted: {error}", it.change_id);
            false
        }
    }
}

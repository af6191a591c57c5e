//! Reservations that let a suspect request run on a replica without other suspects.
//!
//! One daemon per pool, the first by rendezvous, grants the reservations of that pool.

use std::sync::Arc;
use std::time::Duration;

use ids::{ErrorKind, PoolId, Refusal, TargetId};
use peers::{PeerRequest, PeerResponse};
use policy::quarantine::{Fingerprint, QuarantineState};

use crate::router::{Router, Scheduler};

/// Time between two attempts to reserve a replica.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// A replica reserved for one suspect request; released when dropped.
#[derive(Debug)]
pub(crate) struct IsolationReservation {
    pub(crate) target: TargetId,
    router: Arc<Router>,
    pool: PoolId,
    fingerprint: Fingerprint,
    member: u64,
}

impl Drop for IsolationReservation {
    fn drop(&mut self) {
        let router = self.router.clone();
        let (fingerprint, member) = (self.fingerprint, self.member);
        let Some(address) = coordinator_address(&router, &self.pool) else {
            router.lock_isolation().release(member, fingerprint);
            return;
        };
        tokio::spawn(async move {
            let message = PeerRequest::ReleaseReplica { fingerprint, member };
            // If the message is lost, the reservation expires at the coordinator.
            let _ = router.peers.call(address, &message).await;
        });
    }
}

/// Waits up to `wait` to reserve a replica that did not crash under this request. Refuses with
/// `Quarantined` if the request has caused too many crashes, and with `QueueFull` after `wait`.
pub(crate) async fn reserve_replica(
    router: &Arc<Router>,
    scheduler: &Scheduler,
    fingerprint: Fingerprint,
    wait: Duration,
) -> Result<IsolationReservation, Refusal> {
    let deadline = router.now() + wait;
    loop {
        let now = router.now();
        let (state, crashed_members) = {
            let quarantine = router.lock_quarantine();
            (quarantine.state(now, fingerprint), quarantine.members(fingerprint))
        };
        if state == QuarantineState::Quarantined {
            return Err(Refusal::not_run(ErrorKind::Quarantined));
        }
        let mut members = scheduler.available_members();
        members.retain(|it| !crashed_members.contains(it));
        if let Some(member) = request_reservation(router, &scheduler.id, fingerprint, members).await
            && let Some(target) = scheduler.find_target(member)
        {
            let (router, pool) = (router.clone(), scheduler.id.clone());
            return Ok(IsolationReservation { target, router, pool, fingerprint, member });
        }
        if router.now() + RETRY_INTERVAL > deadline {
            return Err(Refusal::not_run(ErrorKind::QueueFull).retry_after(1));
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

/// Asks the pool's coordinator to reserve one of `members`; returns the reserved one.
async fn request_reservation(
    router: &Router,
    pool: &PoolId,
    fingerprint: Fingerprint,
    members: Vec<u64>,
) -> Option<u64> {
    let Some(address) = coordinator_address(router, pool) else {
        let now = router.now();
        return router.lock_isolation().reserve(now, fingerprint, &members);
    };
    let message = PeerRequest::ReserveReplica { fingerprint, members };
    match router.peers.call(address, &message).await {
        Ok(PeerResponse::ReservedReplica(member)) => member,
        _ => None,
    }
}

/// The peer address of the daemon that grants reservations for a pool; `None` if this daemon does.
fn coordinator_address(router: &Router, pool: &PoolId) -> Option<std::net::SocketAddr> {
    let first = router.members.first_homes(pool.as_str(), 1).pop()?;
    if first == router.instance_id {
        return None;
    }
    router.members.peer_address(&first).map(|it| it.0)
}

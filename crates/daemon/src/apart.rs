//! Turns of struck requests on replicas without other suspects.

use std::sync::Arc;
use std::time::Duration;

use ids::{ErrorKind, PoolId, Refusal, TargetId};
use peers::{PeerRequest, PeerResponse};
use policy::quarantine::{Fingerprint, QuarantineState};

use crate::router::{Desk, Router};

/// The time between two questions for a turn.
const ASK_AGAIN: Duration = Duration::from_millis(50);

/// A turn, given back when dropped.
#[derive(Debug)]
pub(crate) struct ApartTurn {
    pub(crate) target: TargetId,
    router: Arc<Router>,
    pool: PoolId,
    fingerprint: Fingerprint,
    member: u64,
}

impl Drop for ApartTurn {
    fn drop(&mut self) {
        let router = self.router.clone();
        let (fingerprint, member) = (self.fingerprint, self.member);
        let Some(address) = giver(&router, &self.pool) else {
            router.lock_isolation().release(member, fingerprint);
            return;
        };
        tokio::spawn(async move {
            let message = PeerRequest::ReleaseReplica { fingerprint, member };
            // A turn whose end is lost ends by itself.
            let _ = router.peers.call(address, &message).await;
        });
    }
}

/// Waits up to `wait` for a turn on a replica that did not crash under this request.
pub(crate) async fn take_turn(
    router: &Arc<Router>,
    desk: &Desk,
    fingerprint: Fingerprint,
    wait: Duration,
) -> Result<ApartTurn, Refusal> {
    let until = router.now() + wait;
    loop {
        let now = router.now();
        let (standing, struck) = {
            let quarantine = router.lock_quarantine();
            (quarantine.state(now, fingerprint), quarantine.members(fingerprint))
        };
        if standing == QuarantineState::Quarantined {
            return Err(Refusal::not_run(ErrorKind::Quarantined));
        }
        let mut members = desk.workable();
        members.retain(|it| !struck.contains(it));
        if let Some(member) = ask(router, &desk.id, fingerprint, members).await
            && let Some(target) = desk.target_of(member)
        {
            let (router, pool) = (router.clone(), desk.id.clone());
            return Ok(ApartTurn { target, router, pool, fingerprint, member });
        }
        if router.now() + ASK_AGAIN > until {
            return Err(Refusal::not_run(ErrorKind::QueueFull).retry_after(1));
        }
        tokio::time::sleep(ASK_AGAIN).await;
    }
}

async fn ask(
    router: &Router,
    pool: &PoolId,
    fingerprint: Fingerprint,
    members: Vec<u64>,
) -> Option<u64> {
    let Some(address) = giver(router, pool) else {
        let now = router.now();
        return router.lock_isolation().reserve(now, fingerprint, &members);
    };
    let message = PeerRequest::ReserveReplica { fingerprint, members };
    match router.peers.call(address, &message).await {
        Ok(PeerResponse::ReservedReplica(member)) => member,
        _ => None,
    }
}

/// Where the daemon listens that gives the turns of a pool; `None` if it is this one.
fn giver(router: &Router, pool: &PoolId) -> Option<std::net::SocketAddr> {
    let first = router.members.first_homes(pool.as_str(), 1).pop()?;
    if first == router.instance_id {
        return None;
    }
    router.members.address(&first).map(|it| it.0)
}

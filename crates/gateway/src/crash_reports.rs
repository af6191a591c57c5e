//! Detects requests that crash the replicas that run them, and shares the findings with all peers.

use std::sync::Arc;

use policy::quarantine::{Fingerprint, Strike};

use crate::dialect::{Dialect, RequestHead};
use crate::directory::Directory;
use crate::gateway::{Gateway, lock};
use crate::peer_message::PeerMessage;
use crate::placement::PlacedTarget;

/// Replicas that may crash under a request before it is refused. A crash is counted against all
/// requests that ran on the replica; by chance alone none reaches this many.
const MAX_CRASHED_REPLICAS: usize = 3;

/// Whether requests like this one have crashed too many replicas.
pub(crate) fn is_crash_suspect<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    fingerprint: Option<Fingerprint>,
) -> bool {
    let members = fingerprint.map(|it| lock(&gateway.quarantine).members(it).len());
    members.is_some_and(|it| it >= MAX_CRASHED_REPLICAS)
}

/// Called after a connection broke under a request. If the replica then refuses connections, it has
/// crashed: this is recorded against the request here and at all peers.
pub(crate) fn report_crash<D: Dialect, S: Directory>(
    gateway: &Arc<Gateway<D, S>>,
    fingerprint: Option<Fingerprint>,
    head: &RequestHead,
    target: &PlacedTarget,
) {
    let Some(fingerprint) = fingerprint else { return };
    let shared_parts = head.shared_parts().iter().map(|it| &*it.id).collect::<Vec<_>>().join(",");
    let (gateway, target) = (gateway.clone(), target.clone());
    tokio::spawn(async move {
        if !gateway.connections.refuses_connections(target.address).await {
            return;
        }
        let now = gateway.now();
        let strike = Strike { fingerprint, member: target.member };
        lock(&gateway.fleet).record_failure(now, &target, true);
        if lock(&gateway.quarantine).record_strike(now, strike) {
            let to = lock(&gateway.members).gossip_peers(now).forward_targets(None);
            gateway.peer_socket.send(now, &to, &PeerMessage::Strike(strike));
            tracing::info!(
                target = %target.id, fingerprint = fingerprint.0, shared_parts,
                "call: replica crashed under a request, counted against it"
            );
        }
    });
}

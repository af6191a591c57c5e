//! Queries for tokens that another daemon keeps.

use std::sync::Arc;
use std::time::Duration;

use crate::dialect::Dialect;
use crate::directory::{Directory, MemberEntry};
use crate::gateway::{Gateway, lock};
use crate::peer_message::PeerMessage;

/// How long to wait for a reply before the query is repeated: datagrams get lost.
const QUERY_TIMEOUT: Duration = Duration::from_millis(35);
/// Number of times that one daemon is queried.
const QUERY_ATTEMPTS: u32 = 2;

/// Asks a daemon for tokens with the message that belongs to a query's id. Returns whether they are
/// granted, or else how long to wait for them; `None` if it does not reply, which counts it as
/// unreachable until it is seen again.
pub(crate) async fn ask<D: Dialect, S: Directory>(
    gateway: &Arc<Gateway<D, S>>,
    keeper: &MemberEntry,
    message: impl FnOnce(u64) -> PeerMessage,
) -> Option<Result<(), Duration>> {
    let (query_id, mut receiver) = gateway.peer_socket.register_query();
    let query = message(query_id);
    for _ in 0..QUERY_ATTEMPTS {
        gateway.peer_socket.send(gateway.now(), &[keeper.address], &query);
        match tokio::time::timeout(QUERY_TIMEOUT, &mut receiver).await {
            Ok(Ok(None)) => return Some(Ok(())),
            Ok(Ok(Some(wait))) => return Some(Err(wait)),
            Ok(Err(_)) => break,
            Err(_) => {}
        }
    }
    lock(&gateway.members).mark_unresponsive(gateway.now(), &keeper.id);
    None
}

//! The KV store: whether it lives, and which life it is in.
//!
//! Engines fetch from it what they have evicted. A fetch from a dead store holds a request up, so
//! one daemon looks at the store and tells the others.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use policy::rendezvous;

use crate::dialect::Dialect;
use crate::directory::Directory;
use crate::gateway::{Gateway, lock};
use crate::peer_message::KvStoreStatus;
use crate::target_client;

/// The time between two looks of the first daemon in line.
const LOOK_PERIOD: Duration = Duration::from_millis(1_000);
/// Each further place in line waits this much longer.
const PLACE_WAIT: Duration = Duration::from_millis(400);
/// How long the store may take to answer.
const LOOK_TIME: Duration = Duration::from_millis(300);
/// What was seen this long ago says nothing any more.
const SEEN_AGE: Duration = Duration::from_millis(4_000);

/// A KV store as it was last seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct KvStoreView {
    pub(crate) address: SocketAddr,
    /// Its life; `None` if it did not answer.
    pub(crate) epoch: Option<u64>,
    pub(crate) seen_at: Duration,
}

impl KvStoreView {
    /// As a peer saw it.
    pub(crate) fn heard(now: Duration, news: KvStoreStatus) -> KvStoreView {
        let KvStoreStatus { address, epoch, age } = news;
        KvStoreView { address, epoch, seen_at: now.saturating_sub(age) }
    }

    /// For peers.
    pub(crate) fn news(self, now: Duration) -> KvStoreStatus {
        let KvStoreView { address, epoch, seen_at } = self;
        KvStoreStatus { address, epoch, age: now.saturating_sub(seen_at) }
    }

    /// Its life, if it is believed to live.
    pub(crate) fn life(self, now: Duration) -> Option<u64> {
        self.epoch.filter(|_| now < self.seen_at + SEEN_AGE)
    }

    /// Tells it from replicas in the table of prefixes.
    pub(crate) fn member(self) -> u64 {
        rendezvous::hash_member(&self.address.to_string())
    }
}

/// Looks at the store again and again while the configuration names one.
pub(crate) async fn watch<D: Dialect, S: Directory>(gateway: Arc<Gateway<D, S>>) {
    loop {
        let now = gateway.now();
        let rank = lock(&gateway.members).rank(now) as u32;
        let address = gateway.config().and_then(|it| it.kv_store());
        let seen_at = lock(&gateway.fleet).kv_store.map(|it| it.seen_at);
        let due = seen_at.map_or(now, |it| it + LOOK_PERIOD + PLACE_WAIT * rank);
        let Some(address) = address else {
            tokio::time::sleep(LOOK_PERIOD).await;
            continue;
        };
        if now < due {
            tokio::time::sleep(due - now).await;
            continue;
        }
        look(&gateway, address).await;
    }
}

async fn look<D: Dialect, S: Directory>(gateway: &Gateway<D, S>, address: SocketAddr) {
    let request = gateway.dialect.kv_store_request();
    let answer =
        target_client::send_request(gateway, address, "kv-store", request, LOOK_TIME).await;
    let epoch = match &answer {
        Ok((status, body)) if status.is_success() => gateway.dialect.parse_kv_store(body),
        _ => None,
    };
    let before = lock(&gateway.fleet).kv_store.and_then(|it| it.epoch);
    if before != epoch {
        tracing::info!(%address, epoch, before, "kv store: seen in another life");
    }
    let seen_at = gateway.now();
    lock(&gateway.fleet).record_kv_store(KvStoreView { address, epoch, seen_at });
}

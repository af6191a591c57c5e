//! Probes of the KV store: whether it answers, and in which epoch.
//!
//! Engines fetch from it what they have evicted. A fetch from a store that does not answer delays a
//! request, so one daemon probes it and reports the result to the others.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use policy::rendezvous;

use crate::dialect::Dialect;
use crate::directory::Directory;
use crate::gateway::{Gateway, lock};
use crate::peer_message::KvStoreStatus;
use crate::target_client::{self, AnswerLimits};

/// The time between two probes by the first daemon in rank.
const PROBE_PERIOD: Duration = Duration::from_millis(1_000);
/// Each further rank waits this much longer for a result of the others.
const RANK_DELAY: Duration = Duration::from_millis(400);
/// What the store's answer to a probe may take. It lists the newest changes of the cache.
const PROBE_LIMITS: AnswerLimits =
    AnswerLimits { timeout: Duration::from_millis(300), max_bytes: 1 << 20 };
/// A result this old is not relied on any more.
const PROBE_MAX_AGE: Duration = Duration::from_millis(4_000);

/// The newest probe of a KV store, by this daemon or by a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct KvStoreView {
    pub(crate) address: SocketAddr,
    /// The epoch that it reported, which changes with every restart; `None` if it did not answer.
    pub(crate) epoch: Option<u64>,
    pub(crate) probed_at: Duration,
}

impl KvStoreView {
    /// Converts a peer's report.
    pub(crate) fn from_peer(now: Duration, status: KvStoreStatus) -> KvStoreView {
        let KvStoreStatus { address, epoch, age } = status;
        KvStoreView { address, epoch, probed_at: now.saturating_sub(age) }
    }

    /// Converts to a report for peers.
    pub(crate) fn status(self, now: Duration) -> KvStoreStatus {
        let KvStoreView { address, epoch, probed_at } = self;
        KvStoreStatus { address, epoch, age: now.saturating_sub(probed_at) }
    }

    /// The epoch, if the store answered recently.
    pub(crate) fn live_epoch(self, now: Duration) -> Option<u64> {
        self.epoch.filter(|_| now < self.probed_at + PROBE_MAX_AGE)
    }

    /// The hash under which the prefix table knows the store; replicas use the hashes of their ids.
    pub(crate) fn member(self) -> u64 {
        rendezvous::hash_member(&self.address.to_string())
    }
}

/// Probes the KV store periodically while the configuration names one.
pub(crate) async fn probe_loop<D: Dialect, S: Directory>(gateway: Arc<Gateway<D, S>>) {
    loop {
        let now = gateway.now();
        let rank = lock(&gateway.members).rank(now) as u32;
        let address = gateway.config().and_then(|it| it.kv_store());
        let probed_at = lock(&gateway.fleet).kv_store.map(|it| it.probed_at);
        let due = probed_at.map_or(now, |it| it + PROBE_PERIOD + RANK_DELAY * rank);
        let Some(address) = address else {
            tokio::time::sleep(PROBE_PERIOD).await;
            continue;
        };
        if now < due {
            tokio::time::sleep(due - now).await;
            continue;
        }
        probe(&gateway, address).await;
    }
}

async fn probe<D: Dialect, S: Directory>(gateway: &Gateway<D, S>, address: SocketAddr) {
    let request = gateway.dialect.kv_store_request();
    let answer =
        target_client::send_request(gateway, address, "kv-store", request, PROBE_LIMITS, || Ok(()))
            .await;
    let epoch = match &answer {
        Ok(answer) if answer.status().is_success() => gateway.dialect.parse_kv_store(answer.body()),
        _ => None,
    };
    let before = lock(&gateway.fleet).kv_store.and_then(|it| it.epoch);
    if before != epoch {
        tracing::info!(%address, epoch, before, "kv store: epoch or availability changed");
    }
    let probed_at = gateway.now();
    lock(&gateway.fleet).record_kv_store(KvStoreView { address, epoch, probed_at });
}

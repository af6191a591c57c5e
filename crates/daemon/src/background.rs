//! The daemon's background tasks: they dispatch queued requests, announce the daemon to the
//! platform, read list, catalog and shares, probe engines, run version moves and delete expired
//! claims. Each task ends when the stop channel closes.

use std::sync::Arc;
use std::time::Duration;

use catalog::CatalogState;
use control::SyncInput;
use ids::Revision;
use peers::{PeerRequest, PeerResponse};
use ports::{Member, MemberList, MemberState};
use tokio::sync::watch;

use crate::moves;
use crate::router::{Router, unix_time_s};

/// Time between two rounds of dispatching queued requests.
const DISPATCH_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two announcements of this daemon to the platform.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(4);
/// Time without an answer after which the table counts as unavailable.
const OUTAGE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time between two checks of the table, and between two pings of all peers during an outage.
const OUTAGE_PING_INTERVAL: Duration = Duration::from_millis(1_000);
/// Shortest time between two polls of the platform.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time between the probes of two engines, with fewer than [`LARGE_FLEET_ENGINES`] engines.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);
/// Time between the probes of two engines in a large fleet: probes may cost 1.2 KB a second, not
/// more.
const LARGE_FLEET_PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Number of engines from which on probes are spaced out; there the answers to requests tell most
/// of what probes would.
const LARGE_FLEET_ENGINES: usize = 48;
/// Shortest time between two probes of the same engine.
const MIN_ENGINE_PROBE_INTERVAL: Duration = Duration::from_secs(2);
/// Time between two batches of deleting expired claims.
const CLAIM_CLEANUP_INTERVAL: Duration = Duration::from_secs(5);
/// Number of peers asked for the row of shares.
const SHARE_QUERY_PEERS: usize = 3;
/// Time after which all sources are asked for the first catalog again.
const LOAD_RETRY_INTERVAL: Duration = Duration::from_millis(2_500);
/// Time between two checks whether the first catalog has been loaded and confirmed.
const LOAD_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Starts all tasks.
pub(crate) fn start(router: &Arc<Router>, stop: &watch::Receiver<()>) {
    spawn(router, stop, dispatch_requests);
    spawn(router, stop, announce);
    spawn(router, stop, follow_catalog);
    spawn(router, stop, poll_platform);
    spawn(router, stop, ping_in_outage);
    spawn(router, stop, probe_engines);
    spawn(router, stop, moves::run_controller);
    spawn(router, stop, delete_expired_claims);
}

fn spawn<F, Fut>(router: &Arc<Router>, stop: &watch::Receiver<()>, task: F)
where
    F: FnOnce(Arc<Router>) -> Fut,
    Fut: Future<Output = ()> + Send + 'static,
{
    let task = task(router.clone());
    let mut stop = stop.clone();
    tokio::spawn(async move {
        tokio::select! {
            () = task => {}
            _ = stop.changed() => {}
        }
    });
}

/// Dispatches queued requests at intervals, as a replica's load estimate decays and its pause ends
/// without any event.
async fn dispatch_requests(router: Arc<Router>) {
    loop {
        tokio::time::sleep(DISPATCH_INTERVAL).await;
        for scheduler in router.schedulers() {
            scheduler.dispatch_waiting();
        }
    }
}

/// Keeps this daemon in the platform's list.
async fn announce(router: Arc<Router>) {
    loop {
        let state = if router.is_leaving() { MemberState::Leaving } else { MemberState::Live };
        if let Err(error) = router.platform.announce(&own_member(&router, state)).await {
            tracing::debug!(
                "members: announcement to the platform failed, will be retried: {error}"
            );
        }
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
    }
}

/// This daemon as the platform lists it.
pub(crate) fn own_member(router: &Router, state: MemberState) -> Member {
    Member {
        id: router.instance_id.clone(),
        incarnation: router.incarnation,
        peer_address: router.settings.instance.peers,
        failure_domain: router.settings.instance.failure_domain.clone(),
        state,
    }
}

/// Applies each new catalog to the pools, and polls at once if a customer's rate has no shares.
async fn follow_catalog(router: Arc<Router>) {
    let mut catalogs = router.catalog.subscribe();
    loop {
        let catalog = catalogs.borrow_and_update().clone();
        if let Some(catalog) = catalog {
            router.update_pools(&catalog);
            if catalog.customers.keys().any(|it| router.shares.holders(it).is_empty()) {
                router.poll_wakeup.notify_one();
            }
        }
        if catalogs.changed().await.is_err() {
            return;
        }
    }
}

/// Loads the first catalog, then reads the list, the catalog and the shares at the setting
/// `platform.poll_ms` or when woken.
async fn poll_platform(router: Arc<Router>) {
    load_first_catalog(&router).await;
    let period = router.settings.platform.poll_ms.duration();
    loop {
        poll_once(&router).await;
        tokio::time::sleep(MIN_POLL_INTERVAL).await;
        let jitter = rand::random_range(0.8..1.2);
        tokio::select! {
            () = tokio::time::sleep(period.mul_f64(jitter)) => {}
            () = router.poll_wakeup.notified() => {}
        }
    }
}

async fn poll_once(router: &Arc<Router>) {
    let asked_at = router.now();
    let (listed, refreshed) = tokio::join!(read_members(router), router.catalog.refresh());
    match &refreshed {
        Ok(_) => router.record_table_answer(asked_at),
        Err(error) => {
            tracing::debug!("catalog: not refreshed from the table, the next poll retries: {error}")
        }
    }
    let catalog = router.catalog.current().unwrap_or_default();
    let members = listed.then(|| router.members.listed_members());
    let view = SyncInput { members: members.as_deref(), catalog: &catalog };
    if let Err(error) = router.shares.sync(view).await {
        tracing::debug!(
            "rate: shares not synchronized with the table, the next poll retries: {error}"
        );
    }
    let up = &router.metrics.platform_up;
    up.with_label_values(&["list"]).set(i64::from(listed));
    up.with_label_values(&["table"]).set(i64::from(refreshed.is_ok()));
}

/// Pings all peers at intervals while the table is unavailable.
async fn ping_in_outage(router: Arc<Router>) {
    loop {
        tokio::time::sleep(OUTAGE_PING_INTERVAL).await;
        if router.catalog.current().is_some() && router.table_silence() > OUTAGE_TIMEOUT {
            ping_peers(&router).await;
        }
    }
}

/// Reads the platform's list and applies it to peers and pools; false if it could not be read.
async fn read_members(router: &Router) -> bool {
    match router.platform.members().await {
        Ok(members) => {
            router.metrics.members.set(members.len() as i64);
            let addresses: Vec<_> = members.iter().map(|it| it.peer_address).collect();
            router.peers.retain_listed(&addresses);
            // A platform that runs the targets lists them too.
            let leaving: Vec<&str> = members
                .iter()
                .filter(|it| it.state == MemberState::Leaving)
                .map(|it| it.id.as_str())
                .collect();
            let daemons = members.iter().filter(|it| it.state == MemberState::Live).count();
            for scheduler in router.schedulers() {
                scheduler.mark_leaving(&leaving);
                scheduler.set_daemon_count(daemons);
            }
            router.members.replace(members);
            true
        }
        Err(error) => {
            tracing::debug!(
                "members: the platform's list was not read, the previous one stays in use: {error}"
            );
            false
        }
    }
}

/// Asks all peers for their reports on shares, their row of shares and the revision of their
/// catalog, and adopts what is newer. A majority of answers confirms the catalog.
async fn ping_peers(router: &Arc<Router>) {
    let message = PeerRequest::Ping {
        catalog: router.catalog.revision(),
        shares_revision: router.shares.row_revision(),
    };
    let peers = router.members.peer_addresses();
    let asked_at = router.now();
    let calls = peers.iter().map(|(_, address)| router.peers.call(*address, &message));
    let mut reports = Vec::new();
    for ((_, address), answer) in peers.iter().zip(futures::future::join_all(calls).await) {
        let Ok(PeerResponse::Pong { report, catalog, shares }) = answer else { continue };
        reports.push(report);
        if let Some((revision, row)) = shares {
            router.shares.adopt_newer_row(revision, &row);
        }
        if catalog > router.catalog.revision() {
            fetch_newer_catalog(router, *address).await;
        }
    }
    router.shares.record_peer_reports(asked_at, &reports, peers.len() + 1);
    if 2 * (reports.len() + 1) > peers.len() + 1 {
        router.record_majority_answer(asked_at);
    }
}

/// Asks a few peers for the row of shares, for a customer whose shares are not known here.
pub(crate) async fn fetch_shares_from_peers(router: &Router) {
    let message = PeerRequest::Ping {
        catalog: router.catalog.revision(),
        shares_revision: router.shares.row_revision(),
    };
    let mut peers = router.members.peer_addresses();
    let offset = rand::random_range(0..peers.len().max(1));
    peers.rotate_left(offset);
    for (_, address) in peers.into_iter().take(SHARE_QUERY_PEERS) {
        let answer = router.peers.call(address, &message).await;
        if let Ok(PeerResponse::Pong { shares: Some((revision, row)), .. }) = answer {
            router.shares.adopt_newer_row(revision, &row);
            return;
        }
    }
}

/// Asks peers in turn until one has a newer catalog.
async fn fetch_catalog_from_peers(router: &Router) {
    for (_, address) in router.members.peer_addresses() {
        if fetch_newer_catalog(router, address).await {
            return;
        }
    }
}

/// Replaces the catalog by a peer's if that is newer; true if it was replaced.
async fn fetch_newer_catalog(router: &Router, address: std::net::SocketAddr) -> bool {
    let after =
        if router.catalog.current().is_some() { router.catalog.revision() } else { Revision(0) };
    let message = PeerRequest::GetCatalog { after };
    let answer = router.peers.call(address, &message).await;
    let Ok(PeerResponse::Catalog(Some(text))) = answer else { return false };
    match serde_json::from_str::<CatalogState>(&text) {
        Ok(catalog) => router.catalog.replace_if_newer(catalog),
        Err(_) => false,
    }
}

/// Loads the first catalog: asks peers, table and objects at once and serves from whichever
/// answers first; only a newer catalog replaces it. Once the catalog is confirmed, loads a peer's
/// snapshot and returns.
async fn load_first_catalog(router: &Arc<Router>) {
    while !(router.catalog.current().is_some() && router.is_catalog_confirmed()) {
        for source in [CatalogSource::Peers, CatalogSource::Table, CatalogSource::Objects] {
            let router = router.clone();
            tokio::spawn(async move { load_from(&router, source).await });
        }
        let retry_at =
            tokio::time::Instant::now() + LOAD_RETRY_INTERVAL.mul_f64(rand::random_range(0.8..1.2));
        while tokio::time::Instant::now() < retry_at {
            tokio::time::sleep(LOAD_CHECK_INTERVAL).await;
            if router.catalog.current().is_some() && router.is_catalog_confirmed() {
                break;
            }
        }
    }
    tracing::info!("catalog: loaded and confirmed at revision {}", router.catalog.revision());
    load_peer_snapshot(router).await;
}

/// A source of the first catalog.
#[derive(Debug, Clone, Copy)]
enum CatalogSource {
    Peers,
    Table,
    Objects,
}

async fn load_from(router: &Arc<Router>, source: CatalogSource) {
    match source {
        CatalogSource::Peers => {
            let listed = read_members(router).await;
            fetch_catalog_from_peers(router).await;
            // Without the list no peers are known, and the ping counts this daemon alone.
            if !listed || router.catalog.current().is_some() {
                ping_peers(router).await;
            }
        }
        CatalogSource::Table => {
            let asked_at = router.now();
            if router.catalog.refresh().await.is_ok() {
                router.record_table_answer(asked_at);
            }
        }
        CatalogSource::Objects => {
            if router.catalog.load_from_objects().await {
                ping_peers(router).await;
            }
        }
    }
}

/// Loads blocked keys, strikes and the most requested prefixes from the first peer that answers.
async fn load_peer_snapshot(router: &Router) {
    for (_, address) in router.members.peer_addresses() {
        let answer = router.peers.call(address, &PeerRequest::GetSnapshot).await;
        let Ok(PeerResponse::Snapshot(snapshot)) = answer else { continue };
        for digest in snapshot.blocked {
            router.block_key(digest);
        }
        let now = router.now();
        for strike in snapshot.strikes {
            router.lock_quarantine().record_strike(now, strike);
        }
        for (pool, nodes) in snapshot.hottest {
            if let Some(scheduler) = router.scheduler(&pool) {
                scheduler.merge_hottest(&nodes);
            }
        }
        return;
    }
}

/// Deletes claims past their retention, on the daemon that holds the lease of version moves.
async fn delete_expired_claims(router: Arc<Router>) {
    let mut after: Box<str> = "".into();
    loop {
        tokio::time::sleep(CLAIM_CLEANUP_INTERVAL).await;
        if router.moves.holds_lease() {
            match router.claims.delete_expired(unix_time_s(), &after).await {
                Ok(next) => after = next,
                Err(error) => {
                    tracing::debug!("claims: expired claims not deleted, will be retried: {error}")
                }
            }
        }
    }
}

/// Probes the engines in turn for their incarnations, versions and loads.
async fn probe_engines(router: Arc<Router>) {
    loop {
        let round_end = tokio::time::Instant::now() + MIN_ENGINE_PROBE_INTERVAL;
        let schedulers: Vec<_> =
            router.schedulers().into_iter().filter(|it| it.has_engines()).collect();
        let engines: usize = schedulers.iter().map(|it| it.target_addresses().len()).sum();
        let interval =
            if engines < LARGE_FLEET_ENGINES { PROBE_INTERVAL } else { LARGE_FLEET_PROBE_INTERVAL };
        for scheduler in schedulers {
            for (target, address) in scheduler.target_addresses() {
                let (router, scheduler) = (router.clone(), scheduler.clone());
                tokio::spawn(async move {
                    if let Ok(status) = router.target_client.status(address).await {
                        scheduler.record_status(&target, status);
                    }
                });
                tokio::time::sleep(interval).await;
            }
        }
        tokio::time::sleep_until(round_end).await;
    }
}

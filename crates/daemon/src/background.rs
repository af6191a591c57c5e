//! The daemon's own tasks. Each ends when the stop channel closes.

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

/// The time between two looks for room in the pools.
const PUMP: Duration = Duration::from_millis(20);
/// The time between two announcements to the platform.
const ANNOUNCE: Duration = Duration::from_secs(4);
/// A table silent for this long is taken to be away.
const OUTAGE_AFTER: Duration = Duration::from_millis(2_500);
/// The time between two rounds of questions to peers while the table is away.
const OUTAGE_LOOK: Duration = Duration::from_millis(1_000);
/// The shortest time between two readings of the platform.
const LEAST_POLL: Duration = Duration::from_millis(100);
/// The time between two looks at one more engine, in a small fleet.
const LOOK: Duration = Duration::from_millis(50);
/// The time between two looks in a large one: looks may cost 1.2 KB a second, not more.
const LOOK_SPARING: Duration = Duration::from_millis(500);
/// Engines from which on a fleet is large; answers to requests tell most of what looks would.
const LARGE_FLEET: usize = 48;
/// The shortest time between two looks at the same engine.
const LOOK_AGAIN: Duration = Duration::from_secs(2);
/// The time between two steps of the sweep of claims.
const SWEEP: Duration = Duration::from_secs(5);
/// Peers asked for the row of parts.
const PEERS_ASKED: usize = 3;
/// The time after which a start asks again.
const START_AGAIN: Duration = Duration::from_millis(2_500);
/// The time between two looks whether a start is done.
const START_LOOK: Duration = Duration::from_millis(20);

/// Starts all tasks.
pub(crate) fn start(router: &Arc<Router>, stop: &watch::Receiver<()>) {
    spawn(router, stop, pump);
    spawn(router, stop, announce);
    spawn(router, stop, follow_catalog);
    spawn(router, stop, poll_platform);
    spawn(router, stop, ask_in_outage);
    spawn(router, stop, look_at_engines);
    spawn(router, stop, moves::run_controller);
    spawn(router, stop, sweep_claims);
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

async fn pump(router: Arc<Router>) {
    loop {
        tokio::time::sleep(PUMP).await;
        for scheduler in router.schedulers() {
            scheduler.dispatch_waiting();
        }
    }
}

async fn announce(router: Arc<Router>) {
    loop {
        let state = if router.is_leaving() { MemberState::Leaving } else { MemberState::Live };
        if let Err(error) = router.platform.announce(&own_member(&router, state)).await {
            tracing::debug!("members: not announced: {error}");
        }
        tokio::time::sleep(ANNOUNCE).await;
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

/// Reads the list and the head rows, again and again.
async fn poll_platform(router: Arc<Router>) {
    start_up(&router).await;
    let period = router.settings.platform.poll_ms.duration();
    loop {
        poll_once(&router).await;
        tokio::time::sleep(LEAST_POLL).await;
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
        Err(error) => tracing::debug!("catalog: not read: {error}"),
    }
    let catalog = router.catalog.current().unwrap_or_default();
    let members = listed.then(|| router.members.listed_members());
    let view = SyncInput { members: members.as_deref(), catalog: &catalog };
    if let Err(error) = router.shares.sync(view).await {
        tracing::debug!("rate: parts not read: {error}");
    }
    let up = &router.metrics.platform_up;
    up.with_label_values(&["list"]).set(i64::from(listed));
    up.with_label_values(&["table"]).set(i64::from(refreshed.is_ok()));
}

/// While the table is silent, asks peers what they know, again and again.
async fn ask_in_outage(router: Arc<Router>) {
    loop {
        tokio::time::sleep(OUTAGE_LOOK).await;
        if router.catalog.current().is_some() && router.table_silence() > OUTAGE_AFTER {
            ping_peers(&router).await;
        }
    }
}

async fn read_members(router: &Router) -> bool {
    match router.platform.members().await {
        Ok(members) => {
            router.metrics.members.set(members.len() as i64);
            let addresses: Vec<_> = members.iter().map(|it| it.peer_address).collect();
            router.peers.retain_listed(&addresses);
            // The list names targets too, where the platform runs them.
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
            tracing::debug!("members: not read: {error}");
            false
        }
    }
}

/// In an outage: whether peers see it too, and how far their catalogs are.
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
            ask_for_catalog(router, *address).await;
        }
    }
    router.shares.record_peer_reports(asked_at, &reports, peers.len() + 1);
    if 2 * (reports.len() + 1) > peers.len() + 1 {
        router.record_majority_answer(asked_at);
    }
}

/// Asks a few peers who holds the parts of rates, for a customer of whom nothing is known.
pub(crate) async fn ask_peers_for_parts(router: &Router) {
    let message = PeerRequest::Ping {
        catalog: router.catalog.revision(),
        shares_revision: router.shares.row_revision(),
    };
    let mut peers = router.members.peer_addresses();
    let turn = rand::random_range(0..peers.len().max(1));
    peers.rotate_left(turn);
    for (_, address) in peers.into_iter().take(PEERS_ASKED) {
        let answer = router.peers.call(address, &message).await;
        if let Ok(PeerResponse::Pong { shares: Some((revision, row)), .. }) = answer {
            router.shares.adopt_newer_row(revision, &row);
            return;
        }
    }
}

async fn ask_peers_for_catalog(router: &Router) {
    for (_, address) in router.members.peer_addresses() {
        if ask_for_catalog(router, address).await {
            return;
        }
    }
}

/// Takes a peer's catalog if it is newer.
async fn ask_for_catalog(router: &Router, address: std::net::SocketAddr) -> bool {
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

/// The first catalog: peers, table and objects are asked at once; whichever answers first is
/// served from, and only a newer one replaces it.
async fn start_up(router: &Arc<Router>) {
    while !(router.catalog.current().is_some() && router.is_catalog_confirmed()) {
        for source in [StartSource::Peers, StartSource::Table, StartSource::Objects] {
            let router = router.clone();
            tokio::spawn(async move { start_from(&router, source).await });
        }
        let again = tokio::time::Instant::now() + START_AGAIN.mul_f64(rand::random_range(0.8..1.2));
        while tokio::time::Instant::now() < again {
            tokio::time::sleep(START_LOOK).await;
            if router.catalog.current().is_some() && router.is_catalog_confirmed() {
                break;
            }
        }
    }
    tracing::info!("catalog: at revision {}", router.catalog.revision());
    take_snapshot(router).await;
}

/// Where a first catalog may come from.
#[derive(Debug, Clone, Copy)]
enum StartSource {
    Peers,
    Table,
    Objects,
}

async fn start_from(router: &Arc<Router>, source: StartSource) {
    match source {
        StartSource::Peers => {
            let listed = read_members(router).await;
            ask_peers_for_catalog(router).await;
            // Without a list nobody knows whom to ask; the stores alone have to do.
            if !listed || router.catalog.current().is_some() {
                ping_peers(router).await;
            }
        }
        StartSource::Table => {
            let asked_at = router.now();
            if router.catalog.refresh().await.is_ok() {
                router.record_table_answer(asked_at);
            }
        }
        StartSource::Objects => {
            if router.catalog.load_from_objects().await {
                ping_peers(router).await;
            }
        }
    }
}

/// Takes what helps a fresh start from the first peer that answers.
async fn take_snapshot(router: &Router) {
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

/// The daemon that drives moves removes claims that have outlived their keys.
async fn sweep_claims(router: Arc<Router>) {
    let mut after: Box<str> = "".into();
    loop {
        tokio::time::sleep(SWEEP).await;
        if router.moves.holds_lease() {
            match router.claims.delete_expired(unix_time_s(), &after).await {
                Ok(next) => after = next,
                Err(error) => tracing::debug!("claims: not swept: {error}"),
            }
        }
    }
}

/// Looks at engines in turn: their lives, versions and loads.
async fn look_at_engines(router: Arc<Router>) {
    loop {
        let round = tokio::time::Instant::now() + LOOK_AGAIN;
        let schedulers: Vec<_> =
            router.schedulers().into_iter().filter(|it| it.is_engine()).collect();
        let engines: usize = schedulers.iter().map(|it| it.target_addresses().len()).sum();
        let pause = if engines < LARGE_FLEET { LOOK } else { LOOK_SPARING };
        for scheduler in schedulers {
            for (target, address) in scheduler.target_addresses() {
                let (router, scheduler) = (router.clone(), scheduler.clone());
                tokio::spawn(async move {
                    if let Ok(status) = router.engines.status(address).await {
                        scheduler.record_status(&target, status);
                    }
                });
                tokio::time::sleep(pause).await;
            }
        }
        tokio::time::sleep_until(round).await;
    }
}

//! Starts the daemon's servers and tasks, and stops them once the requests in flight have ended.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use ids::Incarnation;
use ports::{MemberList, MemberState};
use settings::Settings;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use web::server::StartError;

use crate::peer_handler::DaemonPeerHandler;
use crate::router::{Router, platform_client};
use crate::{admin, background, front};

/// Maximum body size of an operator's request.
const MAX_ADMIN_BODY_BYTES: usize = 64 << 20;
/// Deadline of the query for this instance's previous incarnation, which delays the start.
const INCARNATION_QUERY_DEADLINE: Duration = Duration::from_secs(1);
/// Interval between two checks whether all requests in flight have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How long a leaving daemon keeps its listener open, so that load balancers notice.
const LEAVE_NOTICE_TIME: Duration = Duration::from_millis(300);

/// Why the daemon could not start.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The callers' or the operators' server did not start.
    #[error(transparent)]
    Start(#[from] StartError),
    /// The peers' address could not be bound, or a signal handler not installed.
    #[error("a signal handler was not installed or the peers' address not bound: {0}")]
    Io(#[from] std::io::Error),
}

/// Serves until SIGTERM or SIGINT, then leaves: refuses new requests and waits for those in
/// flight, at most for the drain time of the settings.
pub async fn serve(settings: Settings) -> Result<(), ServeError> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    // Bind before choosing an incarnation: a bound address proves that no earlier process of this
    // instance still runs.
    let instance = &settings.instance;
    let listener = TcpListener::bind(instance.peers_listen.unwrap_or(instance.peers)).await?;
    let (callers, operators) = (settings.instance.callers, settings.instance.admin);
    let incarnation = choose_incarnation(&settings).await;
    let router = Arc::new(Router::new(settings, incarnation));
    let (stop, stopped) = watch::channel(());
    let secret = router.settings.secrets.peer.clone();
    let handler = Arc::new(DaemonPeerHandler { router: router.clone() });
    tokio::spawn(peers::serve(listener, secret, incarnation, handler, stopped.clone()));
    background::start(&router, &stopped);
    let caller_server = front::start(&router)?;
    let admin_server =
        web::server::start(operators, admin::api(), router.clone(), MAX_ADMIN_BODY_BYTES)?;
    tracing::info!(
        "daemon: {} started: callers {callers}, operators {operators}, incarnation {incarnation}",
        router.instance_id
    );
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    leave(&router).await;
    drop(caller_server);
    let _ = admin_server.close().await;
    drop(stop);
    tracing::info!("daemon: {} has left", router.instance_id);
    Ok(())
}

/// Stops taking requests, hands the rate shares to other instances, and waits until the requests
/// in flight have ended or the drain time is over.
async fn leave(router: &Arc<Router>) {
    tracing::info!("daemon: {} is leaving", router.instance_id);
    router.leave();
    let member = background::own_member(router, MemberState::Leaving);
    if let Err(error) = router.platform.announce(&member).await {
        tracing::warn!(
            "members: the platform may list this daemon as live until its entry expires: {error}"
        );
    }
    let mut listed = router.members.listed_members();
    for it in &mut listed {
        it.leaving |= it.id == router.instance_id;
    }
    if let Err(error) = router.shares.hand_over(&listed).await {
        tracing::warn!("rate: shares not handed over, another instance takes them later: {error}");
    }
    tokio::time::sleep(LEAVE_NOTICE_TIME).await;
    let deadline = tokio::time::Instant::now() + router.settings.timeouts.drain_ms.duration();
    while router.in_flight_count() > 0 && tokio::time::Instant::now() < deadline {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
}

/// Chooses this process's incarnation: the Unix time in microseconds, or one more than the previous
/// incarnation that the platform lists, as the clock may step back but incarnations must increase.
async fn choose_incarnation(settings: &Settings) -> Incarnation {
    let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let current = Incarnation(time.as_micros() as u64);
    let platform = platform_client(settings, INCARNATION_QUERY_DEADLINE);
    let members = platform.members().await.unwrap_or_default();
    let previous = members.into_iter().find(|it| it.id == settings.instance.id);
    previous.map_or(current, |it| Incarnation(current.0.max(it.incarnation.0 + 1)))
}

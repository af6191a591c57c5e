//! Starting and stopping the daemon.

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

/// Longest body of an operator's request, in bytes.
const MAX_ADMIN_BYTES: usize = 64 << 20;
/// How long the platform is asked for an earlier life of this instance.
const LIFE_WAIT: Duration = Duration::from_secs(1);
/// The time between two looks whether open requests have ended.
const DRAIN_LOOK: Duration = Duration::from_millis(20);
/// How long a leaving daemon still answers after it said so, for balancers to notice.
const NOTICE: Duration = Duration::from_millis(300);

/// Why the daemon did not start or stop as it should.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// A server did not start.
    #[error(transparent)]
    Start(#[from] StartError),
    /// The peers' address cannot be used, or signals cannot be caught.
    #[error("{0}")]
    Io(#[from] std::io::Error),
}

/// Serves until a signal to stop comes, then leaves without cutting a request.
pub async fn serve(settings: Settings) -> Result<(), ServeError> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    // The addresses come first: holding them proves that no earlier life of this place runs.
    let instance = &settings.instance;
    let listener = TcpListener::bind(instance.peers_listen.unwrap_or(instance.peers)).await?;
    let (callers, operators) = (settings.instance.callers, settings.instance.admin);
    let incarnation = new_life(&settings).await;
    let router = Arc::new(Router::new(settings, incarnation));
    let (stop, stopped) = watch::channel(());
    let secret = router.settings.secrets.peer.clone();
    let handler = Arc::new(DaemonPeerHandler { router: router.clone() });
    tokio::spawn(peers::serve(listener, secret, incarnation, handler, stopped.clone()));
    background::start(&router, &stopped);
    let caller_server = front::start(&router)?;
    let admin_server =
        web::server::start(operators, admin::api(), router.clone(), MAX_ADMIN_BYTES)?;
    tracing::info!(
        "daemon: {} serves callers on {callers}, operators on {operators}, life {incarnation}",
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

/// Takes no new requests, gives its parts away, and waits for open requests to end.
async fn leave(router: &Arc<Router>) {
    tracing::info!("daemon: {} leaves", router.instance_id);
    router.leave();
    let member = background::own_member(router, MemberState::Leaving);
    if let Err(error) = router.platform.announce(&member).await {
        tracing::warn!("members: leaving not announced: {error}");
    }
    let mut listed = router.members.listed_members();
    for it in &mut listed {
        it.leaving |= it.id == router.instance_id;
    }
    if let Err(error) = router.shares.hand_over(&listed).await {
        tracing::warn!("rate: parts not handed over: {error}");
    }
    tokio::time::sleep(NOTICE).await;
    let until = tokio::time::Instant::now() + router.settings.timeouts.drain_ms.duration();
    while router.in_flight_count() > 0 && tokio::time::Instant::now() < until {
        tokio::time::sleep(DRAIN_LOOK).await;
    }
}

/// A life greater than every earlier one of this place: clocks may step back, lives may not.
async fn new_life(settings: &Settings) -> Incarnation {
    let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let own = Incarnation(time.as_micros() as u64);
    let platform = platform_client(settings, LIFE_WAIT);
    let members = platform.members().await.unwrap_or_default();
    let earlier = members.into_iter().find(|it| it.id == settings.instance.id);
    earlier.map_or(own, |it| Incarnation(own.0.max(it.incarnation.0 + 1)))
}

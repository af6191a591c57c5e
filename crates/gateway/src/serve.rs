//! Starts the daemon's listeners and tasks, and drains it before it stops.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use ids::Incarnation;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, watch};
use web::logs;

use crate::dialect::Dialect;
use crate::directory::Directory;
use crate::front::{CLOSE_LINGER, ListenerSide};
use crate::gateway::Gateway;
use crate::metrics::Metrics;
use crate::peer_socket::PeerSocket;
use crate::settings::{GatewaySettings, SettingsSource};
use crate::{
    front, gossip, kv_store, readiness, rollouts, store_reader, supervisor, suspect_store,
    weight_commands,
};

/// Connections that the kernel queues before they are accepted.
const LISTEN_BACKLOG: u32 = 1_024;
/// How long a leaving daemon still accepts requests, so that the load balancer notices: two
/// readiness probes a second apart, and the time that a connection just assigned to it takes to
/// arrive.
const LEAVE_NOTICE_TIME: Duration = Duration::from_millis(2_600);
/// Time reserved at the end of the grace period for closing connections.
const CLOSE_TIME: Duration = Duration::from_millis(500);
/// How long the last bytes of finished answers may take to be sent.
const FLUSH_TIME: Duration = Duration::from_millis(100);
/// Interval at which the settings are read again, because they may change without a signal.
const SETTINGS_RELOAD_INTERVAL: Duration = Duration::from_secs(5);
/// Interval at which a draining daemon checks whether all connections are closed.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Serves until SIGTERM or SIGINT, then drains as [`serve_until`] does. Settings are read again
/// from `source` on SIGHUP too.
pub async fn serve<D: Dialect, S: Directory>(
    settings: GatewaySettings,
    source: impl SettingsSource,
    dialect: D,
    directory: S,
) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let reload = Arc::new(Notify::new());
    let stop = {
        let reload = reload.clone();
        async move {
            loop {
                tokio::select! {
                    _ = terminate.recv() => return,
                    _ = interrupt.recv() => return,
                    _ = hangup.recv() => {
                        tracing::info!("daemon: signal to reload settings");
                        reload.notify_one();
                    }
                }
            }
        }
    };
    serve_until(settings, source, dialect, directory, &reload, stop).await
}

/// Serves until `stop` is ready, then drains: requests that end within the grace period are not
/// cut. Settings are read again from `source` every few seconds and when `reload` is notified.
/// Fails if a listener or the peer socket cannot be opened.
pub async fn serve_until<D: Dialect, S: Directory>(
    settings: GatewaySettings,
    source: impl SettingsSource,
    dialect: D,
    directory: S,
    reload: &Notify,
    stop: impl Future<Output = ()>,
) -> io::Result<()> {
    let callers = listen(settings.caller_address)?;
    let readiness = listen(settings.readiness_address)?;
    let relayed = listen(SocketAddr::new(settings.peer_address, settings.peer_port))?;
    let metrics = Metrics::new();
    let (address, port) = (settings.peer_address, settings.peer_port);
    let incarnation = start_incarnation();
    let peer_socket = PeerSocket::bind(address, port, incarnation, metrics.peer_bytes()).await?;
    let gateway = Arc::new(Gateway::new(settings, dialect, directory, peer_socket, metrics));
    tracing::info!(instance = %gateway.own.id, %incarnation, "daemon: started");
    let (stop_sender, stopped) = watch::channel(false);
    spawn_restarting(&gateway, "gossip receiver", gossip::receive_loop);
    spawn_restarting(&gateway, "gossip sender", gossip::send_reports);
    spawn_restarting(&gateway, "control reader", store_reader::refresh_control);
    spawn_restarting(&gateway, "targets reader", store_reader::refresh_targets);
    spawn_restarting(&gateway, "announcer", store_reader::announce);
    spawn_restarting(&gateway, "weight commands", weight_commands::run);
    spawn_restarting(&gateway, "rollouts", rollouts::run);
    spawn_restarting(&gateway, "suspect store", suspect_store::run);
    spawn_restarting(&gateway, "kv store probe", kv_store::probe_loop);
    tokio::spawn(readiness::serve(gateway.clone(), readiness));
    let side = ListenerSide::Callers;
    tokio::spawn(front::serve(gateway.clone(), callers, side, stopped.clone()));
    tokio::spawn(front::serve(gateway.clone(), relayed, ListenerSide::Daemons, stopped));
    let mut dropped = 0;
    tokio::pin!(stop);
    loop {
        tokio::select! {
            () = &mut stop => break,
            () = reload.notified() => reload_settings(&gateway, &source),
            () = tokio::time::sleep(SETTINGS_RELOAD_INTERVAL) => {
                reload_settings(&gateway, &source);
                dropped = log_dropped_lines(dropped);
            }
        }
    }
    drain(&gateway, &stop_sender).await;
    tracing::info!(instance = %gateway.own.id, "daemon: stopped");
    Ok(())
}

/// The current Unix time in microseconds.
fn start_incarnation() -> Incarnation {
    let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Incarnation(time.as_micros() as u64)
}

/// Runs a background task of the gateway, and starts it again if it panics.
fn spawn_restarting<D: Dialect, S: Directory, T>(
    gateway: &Arc<Gateway<D, S>>,
    name: &'static str,
    task: fn(Arc<Gateway<D, S>>) -> T,
) where
    T: Future<Output = ()> + Send + 'static,
{
    let gateway = gateway.clone();
    tokio::spawn(async move {
        supervisor::run_restarting(name, || task(gateway.clone())).await;
    });
}

/// Logs how many log lines have been dropped, if more than `logged`, the count that was logged
/// before. Returns the current count.
fn log_dropped_lines(logged: usize) -> usize {
    let dropped = logs::dropped_lines();
    if dropped > logged {
        tracing::warn!(dropped, since_last = dropped - logged, "logs: lines dropped");
    }
    dropped
}

fn reload_settings<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    source: &impl SettingsSource,
) {
    match source.read() {
        Ok(fresh) => gateway.apply_settings(&fresh),
        Err(error) => {
            tracing::warn!("daemon: settings not reloaded, keeping the old ones: {error}")
        }
    }
}

/// Marks the daemon as leaving, notifies its peers, and waits for requests in flight within the
/// grace period.
async fn drain<D: Dialect, S: Directory>(gateway: &Gateway<D, S>, stop: &watch::Sender<bool>) {
    tracing::info!(in_flight = gateway.in_flight_count(), "daemon: leaving, draining requests");
    let started_at = gateway.now();
    let deadline = started_at + gateway.settings().bounds.grace.saturating_sub(CLOSE_TIME);
    gateway.leave();
    gossip::announce_leaving(gateway);
    tokio::time::sleep(LEAVE_NOTICE_TIME.min(gateway.settings().bounds.grace / 2)).await;
    // Stop accepting requests: later ones could not end within the grace period.
    stop.send_replace(true);
    tokio::time::sleep(CLOSE_LINGER).await;
    gateway.close();
    while gateway.now() < deadline && gateway.has_callers() {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    gateway.end_drain();
    // Let the last answers be sent.
    tokio::time::sleep(FLUSH_TIME).await;
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

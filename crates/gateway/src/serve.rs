//! Starting and stopping the daemon.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use web::logs;

use crate::dialect::Dialect;
use crate::directory::Directory;
use crate::gateway::Gateway;
use crate::peer_socket::PeerSocket;
use crate::settings::{GatewaySettings, SettingsSource};
use crate::{front, gossip, kv_store, readiness, store_reader, weight_commands};

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;
/// How long a leaving daemon takes new requests, for the balancer to notice: two questions a
/// second apart and the way of a connection that was just given to it.
const NOTICE: Duration = Duration::from_millis(2_600);
/// Time kept at the end of the grace period for closing connections.
const CLOSE_TIME: Duration = Duration::from_millis(500);
/// How long the answers that have just ended have to go out.
const LAST_BYTES: Duration = Duration::from_millis(100);
/// The time between two looks at the settings, which may change without a signal.
const SETTINGS_PERIOD: Duration = Duration::from_secs(5);
/// The time between two looks whether open requests have ended.
const DRAIN_LOOK: Duration = Duration::from_millis(50);

/// Serves until told to stop, then leaves without cutting a request. Settings are read from
/// `source` again when a signal says so, and from time to time.
pub async fn serve<D: Dialect, S: Directory>(
    settings: GatewaySettings,
    source: impl SettingsSource,
    dialect: D,
    directory: S,
) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut reload = signal(SignalKind::hangup())?;
    let callers = listen(settings.caller_address)?;
    let readiness = listen(settings.readiness_address)?;
    let link = PeerSocket::bind(settings.peer_address, settings.peer_port).await?;
    let gateway = Arc::new(Gateway::new(settings, dialect, directory, link));
    let incarnation = gateway.own.incarnation;
    tracing::info!(instance = %gateway.own.id, %incarnation, "daemon: starts");
    let (stop, stopped) = watch::channel(false);
    tokio::spawn(gossip::receive_loop(gateway.clone()));
    tokio::spawn(gossip::send_reports(gateway.clone()));
    tokio::spawn(store_reader::refresh_control(gateway.clone()));
    tokio::spawn(store_reader::refresh_targets(gateway.clone()));
    tokio::spawn(store_reader::announce(gateway.clone()));
    tokio::spawn(weight_commands::run(gateway.clone()));
    tokio::spawn(kv_store::probe_loop(gateway.clone()));
    tokio::spawn(readiness::serve(gateway.clone(), readiness));
    tokio::spawn(front::serve(gateway.clone(), callers, stopped));
    let mut dropped = 0;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = reload.recv() => {
                tracing::info!("daemon: told to reload");
                reload_settings(&gateway, &source);
            }
            () = tokio::time::sleep(SETTINGS_PERIOD) => {
                reload_settings(&gateway, &source);
                dropped = tell_dropped(dropped);
            }
        }
    }
    leave(&gateway, &stop).await;
    tracing::info!(instance = %gateway.own.id, "daemon: stops");
    Ok(())
}

/// Tells in the log itself how many of its lines were dropped; returns how many it has told of.
fn tell_dropped(told: usize) -> usize {
    let dropped = logs::dropped_lines();
    if dropped > told {
        tracing::warn!(dropped, since_last = dropped - told, "logs: lines dropped");
    }
    dropped
}

fn reload_settings<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    source: &impl SettingsSource,
) {
    match source.read() {
        Ok(fresh) => gateway.apply_settings(&fresh),
        Err(error) => tracing::warn!("daemon: settings not reloaded: {error}"),
    }
}

async fn leave<D: Dialect, S: Directory>(gateway: &Gateway<D, S>, stop: &watch::Sender<bool>) {
    tracing::info!(open = gateway.in_flight_count(), "daemon: leaves");
    let began = gateway.now();
    let until = began + gateway.settings().bounds.grace.saturating_sub(CLOSE_TIME);
    gateway.leave();
    gossip::announce_leaving(gateway);
    tokio::time::sleep(NOTICE.min(gateway.settings().bounds.grace / 2)).await;
    // No new requests from here on: what comes late could not end within the grace period.
    stop.send_replace(true);
    while gateway.now() < until && gateway.in_flight_count() > 0 {
        tokio::time::sleep(DRAIN_LOOK).await;
    }
    // Answers that have just ended go out.
    tokio::time::sleep(LAST_BYTES).await;
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

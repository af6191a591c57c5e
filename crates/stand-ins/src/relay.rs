//! A TCP relay between two processes that can close connections or drop their bytes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, tcp};
use tokio::sync::watch;

/// What the relay does with connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayMode {
    /// Forwards all bytes.
    Forward,
    /// Closes open connections, and new ones right after they are accepted.
    Disconnect,
    /// Drops all bytes of connections opened before the mode was set; new ones work.
    BlackholeExisting,
    /// Drops all bytes of all connections and keeps them open.
    BlackholeAll,
}

/// A relay in front of one address. Dropping it closes the listener and all connections.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    /// The mode, and how many times it was set.
    mode: Arc<watch::Sender<(RelayMode, u64)>>,
}

impl Relay {
    /// Starts a relay to `upstream` on a free loopback port.
    pub async fn start(upstream: SocketAddr) -> std::io::Result<Relay> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (sender, receiver) = watch::channel((RelayMode::Forward, 0));
        tokio::spawn(accept_loop(listener, upstream, receiver));
        Ok(Relay { address, mode: Arc::new(sender) })
    }

    /// The address that the relay listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the mode, for open connections too.
    pub fn set_mode(&self, mode: RelayMode) {
        self.mode.send_modify(|it| *it = (mode, it.1 + 1));
    }
}

/// Accepts connections until the relay is dropped.
async fn accept_loop(
    listener: TcpListener,
    upstream: SocketAddr,
    mut mode: watch::Receiver<(RelayMode, u64)>,
) {
    loop {
        tokio::select! {
            res = listener.accept() => {
                let Ok((downstream, _)) = res else { continue };
                tokio::spawn(relay_connection(downstream, upstream, mode.clone()));
            }
            res = mode.changed() => if res.is_err() { return },
        }
    }
}

/// Relays one connection until both directions have ended, the mode becomes `Disconnect` or the
/// relay is dropped.
async fn relay_connection(
    downstream: TcpStream,
    upstream: SocketAddr,
    mut mode: watch::Receiver<(RelayMode, u64)>,
) {
    let (current, opened_at) = *mode.borrow_and_update();
    if current == RelayMode::Disconnect {
        return;
    }
    let Ok(upstream) = TcpStream::connect(upstream).await else { return };
    let (down_read, down_write) = downstream.into_split();
    let (up_read, up_write) = upstream.into_split();
    let requests = copy_bytes(down_read, up_write, mode.clone(), opened_at);
    let answers = copy_bytes(up_read, down_write, mode.clone(), opened_at);
    tokio::select! {
        _ = async { tokio::join!(requests, answers) } => {}
        _ = wait_for_disconnect(&mut mode) => {}
    }
}

/// Copies one direction of a connection. `opened_at` is how many times the mode had been set when
/// the connection was opened.
async fn copy_bytes(
    mut from: tcp::OwnedReadHalf,
    mut to: tcp::OwnedWriteHalf,
    mode: watch::Receiver<(RelayMode, u64)>,
    opened_at: u64,
) {
    let mut buffer = vec![0; 16 << 10];
    loop {
        let Ok(count) = from.read(&mut buffer).await else { return };
        let (current, set_count) = *mode.borrow();
        let dropped = match current {
            RelayMode::BlackholeAll => true,
            RelayMode::BlackholeExisting => set_count > opened_at,
            RelayMode::Forward | RelayMode::Disconnect => false,
        };
        if dropped {
            // Neither end may notice anything, not even that the other end closed the connection.
            if count == 0 {
                tokio::time::sleep(Duration::from_secs(3_600)).await;
            }
            continue;
        }
        if count == 0 || to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}

async fn wait_for_disconnect(mode: &mut watch::Receiver<(RelayMode, u64)>) {
    loop {
        if mode.changed().await.is_err() || mode.borrow().0 == RelayMode::Disconnect {
            return;
        }
    }
}

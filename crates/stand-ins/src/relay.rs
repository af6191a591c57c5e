//! A network between two ends that can be cut or go silent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, tcp};
use tokio::sync::watch;

/// How the network behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayMode {
    /// Bytes pass.
    Forward,
    /// Open connections close, new ones are refused after they open.
    Disconnect,
    /// Connections opened before the switch lose all bytes; new ones work.
    BlackholeExisting,
    /// All connections lose all bytes.
    BlackholeAll,
}

/// A relay in front of one address; dropped, it closes all its connections.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    mode: Arc<watch::Sender<(RelayMode, u64)>>,
}

impl Relay {
    /// Starts a relay to `to` on a free loopback port.
    pub async fn start(to: SocketAddr) -> std::io::Result<Relay> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (sender, receiver) = watch::channel((RelayMode::Forward, 0));
        tokio::spawn(accept(listener, to, receiver));
        Ok(Relay { address, mode: Arc::new(sender) })
    }

    /// Where the relay listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Switches the network.
    pub fn set_mode(&self, mode: RelayMode) {
        self.mode.send_modify(|it| *it = (mode, it.1 + 1));
    }
}

async fn accept(
    listener: TcpListener,
    to: SocketAddr,
    mut mode: watch::Receiver<(RelayMode, u64)>,
) {
    loop {
        tokio::select! {
            res = listener.accept() => {
                let Ok((inward, _)) = res else { continue };
                tokio::spawn(carry(inward, to, mode.clone()));
            }
            res = mode.changed() => if res.is_err() { return },
        }
    }
}

async fn carry(inward: TcpStream, to: SocketAddr, mut mode: watch::Receiver<(RelayMode, u64)>) {
    let (now, born) = *mode.borrow_and_update();
    if now == RelayMode::Disconnect {
        return;
    }
    let Ok(outward) = TcpStream::connect(to).await else { return };
    let (in_read, in_write) = inward.into_split();
    let (out_read, out_write) = outward.into_split();
    let there = copy(in_read, out_write, mode.clone(), born);
    let back = copy(out_read, in_write, mode.clone(), born);
    tokio::select! {
        _ = async { tokio::join!(there, back) } => {}
        _ = cut(&mut mode) => {}
    }
}

async fn copy(
    mut from: tcp::OwnedReadHalf,
    mut to: tcp::OwnedWriteHalf,
    mode: watch::Receiver<(RelayMode, u64)>,
    born: u64,
) {
    let mut buffer = vec![0; 16 << 10];
    loop {
        let Ok(count) = from.read(&mut buffer).await else { return };
        let (now, switches) = *mode.borrow();
        let lost = match now {
            RelayMode::BlackholeAll => true,
            RelayMode::BlackholeExisting => switches > born,
            RelayMode::Forward | RelayMode::Disconnect => false,
        };
        if lost {
            // Nothing is told to either end, not even that the other closed.
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

async fn cut(mode: &mut watch::Receiver<(RelayMode, u64)>) {
    loop {
        if mode.changed().await.is_err() || mode.borrow().0 == RelayMode::Disconnect {
            return;
        }
    }
}

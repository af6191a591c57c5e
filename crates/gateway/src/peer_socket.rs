//! Datagrams to and from the other daemons.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Mutex;

use indexmap::IndexMap;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;

use crate::gateway::lock;
use crate::peer_message::{self, PeerMessage};

/// Longest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 60_000;

/// The daemon's socket, and questions that wait for an answer.
#[derive(Debug)]
pub struct PeerSocket {
    socket: UdpSocket,
    port: u16,
    pending: Mutex<IndexMap<u64, oneshot::Sender<Option<std::time::Duration>>>>,
}

impl PeerSocket {
    /// Opens the socket.
    pub async fn bind(address: IpAddr, port: u16) -> io::Result<PeerSocket> {
        let socket = UdpSocket::bind(SocketAddr::new(address, port)).await?;
        Ok(PeerSocket { socket, port, pending: Mutex::default() })
    }

    /// Sends one message to some daemons. What cannot be sent now is lost, as datagrams are.
    pub fn send(&self, to: &[IpAddr], message: &PeerMessage) {
        let Some(bytes) = peer_message::encode(message) else { return };
        if bytes.len() > MAX_DATAGRAM_BYTES {
            tracing::warn!(bytes = bytes.len(), "peers: a message is too long for a datagram");
            return;
        }
        for address in to {
            let sent = self.socket.try_send_to(&bytes, SocketAddr::new(*address, self.port));
            if let Err(error) = sent {
                tracing::debug!(%address, "peers: not sent: {error}");
            }
        }
    }

    /// The next message, and where it came from.
    pub async fn receive(&self, buffer: &mut Vec<u8>) -> (IpAddr, PeerMessage) {
        loop {
            buffer.resize(MAX_DATAGRAM_BYTES, 0);
            match self.socket.recv_from(buffer).await {
                Ok((length, from)) => {
                    if let Some(message) = peer_message::decode(&buffer[..length]) {
                        return (from.ip(), message);
                    }
                    tracing::warn!(%from, length, "peers: a datagram cannot be read");
                }
                // A datagram that met a closed port comes back as an error here.
                Err(error) => tracing::debug!("peers: {error}"),
            }
        }
    }

    /// Registers a question; the receiver gets its answer.
    pub fn register_query(&self) -> (u64, oneshot::Receiver<Option<std::time::Duration>>) {
        let query_id = rand::random();
        let (sender, receiver) = oneshot::channel();
        let mut pending = lock(&self.pending);
        pending.retain(|_, it| !it.is_closed());
        pending.insert(query_id, sender);
        (query_id, receiver)
    }

    /// Hands an answer to its question.
    pub fn complete_query(&self, query_id: u64, wait: Option<std::time::Duration>) {
        if let Some(sender) = lock(&self.pending).swap_remove(&query_id) {
            // The question may have been given up.
            let _ = sender.send(wait);
        }
    }
}

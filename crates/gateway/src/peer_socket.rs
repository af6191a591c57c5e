//! The UDP socket to the other daemons, and queries that wait for a reply.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Mutex;

use indexmap::IndexMap;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;

use crate::gateway::lock;
use crate::peer_message::{self, MAX_DATAGRAM_BYTES, PeerMessage};

/// A UDP socket with the pending queries by id.
#[derive(Debug)]
pub struct PeerSocket {
    socket: UdpSocket,
    port: u16,
    pending: Mutex<IndexMap<u64, oneshot::Sender<Option<std::time::Duration>>>>,
}

impl PeerSocket {
    /// Opens the socket. All daemons use the same port.
    pub async fn bind(address: IpAddr, port: u16) -> io::Result<PeerSocket> {
        let socket = UdpSocket::bind(SocketAddr::new(address, port)).await?;
        Ok(PeerSocket { socket, port, pending: Mutex::default() })
    }

    /// Sends a message to some daemons. A datagram that cannot be sent at once is dropped; the
    /// protocol tolerates losses.
    pub fn send(&self, to: &[IpAddr], message: &PeerMessage) {
        let Some(bytes) = peer_message::encode(message) else { return };
        if bytes.len() > MAX_DATAGRAM_BYTES {
            tracing::warn!(bytes = bytes.len(), "peers: message dropped, too long for a datagram");
            return;
        }
        for address in to {
            let sent = self.socket.try_send_to(&bytes, SocketAddr::new(*address, self.port));
            if let Err(error) = sent {
                tracing::debug!(%address, "peers: datagram not sent: {error}");
            }
        }
    }

    /// Waits for the next valid message; returns it with its sender's address. `buffer` is reused
    /// between calls.
    pub async fn receive(&self, buffer: &mut Vec<u8>) -> (IpAddr, PeerMessage) {
        loop {
            buffer.resize(MAX_DATAGRAM_BYTES, 0);
            match self.socket.recv_from(buffer).await {
                Ok((length, from)) => {
                    if let Some(message) = peer_message::decode(&buffer[..length]) {
                        return (from.ip(), message);
                    }
                    tracing::warn!(%from, length, "peers: datagram ignored, it cannot be decoded");
                }
                // A datagram sent to a closed port is reported as an error here.
                Err(error) => tracing::debug!("peers: receive failed: {error}"),
            }
        }
    }

    /// Registers a query; returns its id and the receiver of the reply: the time to wait, or `None`
    /// if the tokens are granted.
    pub fn register_query(&self) -> (u64, oneshot::Receiver<Option<std::time::Duration>>) {
        let query_id = rand::random();
        let (sender, receiver) = oneshot::channel();
        let mut pending = lock(&self.pending);
        pending.retain(|_, it| !it.is_closed());
        pending.insert(query_id, sender);
        (query_id, receiver)
    }

    /// Passes a reply to the query with this id.
    pub fn complete_query(&self, query_id: u64, wait: Option<std::time::Duration>) {
        if let Some(sender) = lock(&self.pending).swap_remove(&query_id) {
            // The query may have timed out.
            let _ = sender.send(wait);
        }
    }
}

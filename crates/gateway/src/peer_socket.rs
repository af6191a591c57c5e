//! The UDP socket to the other daemons, and queries that wait for a reply.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use indexmap::IndexMap;
use ports::Clock;
use prometheus::IntCounterVec;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;

use crate::gateway::lock;
use crate::message_parts::{self, PartTable};
use crate::peer_message::{self, MAX_DATAGRAM_BYTES, PeerMessage};

/// A UDP socket with the pending queries by id.
#[derive(Debug)]
pub struct PeerSocket {
    socket: Arc<UdpSocket>,
    port: u16,
    pending: Mutex<IndexMap<u64, oneshot::Sender<Option<Duration>>>>,
    parts: Mutex<PartTable>,
    /// Bytes sent to peers, by kind of message.
    sent_bytes: IntCounterVec,
}

impl PeerSocket {
    /// Opens the socket. All daemons use the same port. Counts what it sends in `sent_bytes`, by
    /// [`PeerMessage::kind`].
    pub async fn bind(
        address: IpAddr,
        port: u16,
        sent_bytes: IntCounterVec,
    ) -> io::Result<PeerSocket> {
        let socket = UdpSocket::bind(SocketAddr::new(address, port)).await?;
        let (pending, parts) = (Mutex::default(), Mutex::default());
        Ok(PeerSocket { socket: Arc::new(socket), port, pending, parts, sent_bytes })
    }

    /// Sends a message to some daemons, in parts if it is longer than a datagram. A datagram that
    /// cannot be sent at once is dropped; the protocol tolerates losses.
    pub fn send(&self, to: &[IpAddr], message: &PeerMessage) {
        let Some(bytes) = peer_message::encode(message) else { return };
        let sent_bytes = self.sent_bytes.with_label_values(&[message.kind()]);
        sent_bytes.inc_by((bytes.len() * to.len()) as u64);
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return self.send_parts(to, &bytes);
        }
        for address in to {
            let sent = self.socket.try_send_to(&bytes, SocketAddr::new(*address, self.port));
            if let Err(error) = sent {
                tracing::debug!(%address, "peers: datagram not sent: {error}");
            }
        }
    }

    /// Sends the parts of a message one after the other, each once the socket takes it: the
    /// socket's buffer does not hold all of them.
    fn send_parts(&self, to: &[IpAddr], bytes: &[u8]) {
        let Some(parts) = message_parts::split(rand::random(), bytes) else {
            tracing::warn!(bytes = bytes.len(), "peers: message dropped, it is too long");
            return;
        };
        let parts = parts.into_iter().map(PeerMessage::Part);
        let parts: Vec<Vec<u8>> = parts.filter_map(|it| peer_message::encode(&it)).collect();
        let (socket, port, to) = (self.socket.clone(), self.port, to.to_vec());
        tokio::spawn(async move {
            for address in to {
                for part in &parts {
                    let sent = socket.send_to(part, SocketAddr::new(address, port)).await;
                    if let Err(error) = sent {
                        tracing::debug!(%address, "peers: datagram not sent: {error}");
                    }
                }
            }
        });
    }

    /// Waits for the next valid message; returns it with its sender's address. `buffer` is reused
    /// between calls.
    pub async fn receive(&self, clock: &impl Clock, buffer: &mut Vec<u8>) -> (IpAddr, PeerMessage) {
        loop {
            buffer.resize(MAX_DATAGRAM_BYTES, 0);
            match self.socket.recv_from(buffer).await {
                Ok((length, from)) => {
                    let message = match peer_message::decode(&buffer[..length]) {
                        Some(PeerMessage::Part(part)) => {
                            let joined = lock(&self.parts).insert(clock.now(), from.ip(), part);
                            let Some(joined) = joined else { continue };
                            peer_message::decode_joined(&joined)
                        }
                        other => other,
                    };
                    if let Some(message) = message {
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
    pub fn register_query(&self) -> (u64, oneshot::Receiver<Option<Duration>>) {
        let query_id = rand::random();
        let (sender, receiver) = oneshot::channel();
        let mut pending = lock(&self.pending);
        pending.retain(|_, it| !it.is_closed());
        pending.insert(query_id, sender);
        (query_id, receiver)
    }

    /// Passes a reply to the query with this id.
    pub fn complete_query(&self, query_id: u64, wait: Option<Duration>) {
        if let Some(sender) = lock(&self.pending).swap_remove(&query_id) {
            // The query may have timed out.
            let _ = sender.send(wait);
        }
    }
}

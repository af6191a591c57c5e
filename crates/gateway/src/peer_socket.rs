//! The UDP socket to the other daemons, and queries that wait for a reply.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use ids::Incarnation;
use indexmap::IndexMap;
use ports::Clock;
use prometheus::IntCounterVec;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;

use crate::gateway::lock;
use crate::message_parts::{self, PartTable};
use crate::message_stamp::{MAX_STAMP_BYTES, StampTable};
use crate::peer_message::{self, MAX_DATAGRAM_BYTES, PeerMessage};

/// A UDP socket with the pending queries by id, and the clocks of the peers.
#[derive(Debug)]
pub struct PeerSocket {
    socket: Arc<UdpSocket>,
    port: u16,
    pending: Mutex<IndexMap<u64, oneshot::Sender<Option<Duration>>>>,
    parts: Mutex<PartTable>,
    stamps: Mutex<StampTable>,
    /// Bytes sent to peers, by kind of message.
    sent_bytes: IntCounterVec,
}

/// A message of a peer.
#[derive(Debug)]
pub struct ReceivedMessage {
    /// The address of the daemon that sent it.
    pub from: IpAddr,
    /// The message.
    pub message: PeerMessage,
    /// The earliest time at which it may have been sent, on this daemon's clock; `None` if that is
    /// not known.
    pub sent_at: Option<Duration>,
}

impl PeerSocket {
    /// Opens the socket of the daemon with this incarnation. All daemons use the same port. Counts
    /// what it sends in `sent_bytes`, by [`PeerMessage::kind`].
    pub async fn bind(
        address: IpAddr,
        port: u16,
        incarnation: Incarnation,
        sent_bytes: IntCounterVec,
    ) -> io::Result<PeerSocket> {
        let socket = UdpSocket::bind(SocketAddr::new(address, port)).await?;
        Ok(PeerSocket {
            socket: Arc::new(socket),
            port,
            pending: Mutex::default(),
            parts: Mutex::default(),
            stamps: Mutex::new(StampTable::new(incarnation)),
            sent_bytes,
        })
    }

    /// The incarnation of the daemon that it belongs to.
    pub fn incarnation(&self) -> Incarnation {
        lock(&self.stamps).incarnation()
    }

    /// Sends a message to some daemons, in parts if it is longer than a datagram. Its ages are as of
    /// `built_at`. A datagram that cannot be sent at once is dropped; the protocol tolerates losses.
    pub fn send(&self, built_at: Duration, to: &[IpAddr], message: &PeerMessage) {
        let Some(mut bytes) = peer_message::encode(message) else { return };
        let tail = peer_message::encode_tail(message);
        let length = bytes.len();
        let stamped = self.stamp_for(to, built_at);
        let stamp_bytes: usize = stamped.iter().map(|it| it.1.len()).sum();
        let sent_bytes = self.sent_bytes.with_label_values(&[message.kind()]);
        sent_bytes.inc_by(((length + tail.len()) * to.len() + stamp_bytes) as u64);
        if length + MAX_STAMP_BYTES + tail.len() > MAX_DATAGRAM_BYTES {
            bytes.extend_from_slice(&tail);
            return self.send_parts(stamped, &bytes);
        }
        for (address, stamp) in stamped {
            bytes.truncate(length);
            bytes.extend_from_slice(&stamp);
            bytes.extend_from_slice(&tail);
            if let Err(error) = self.socket.try_send_to(&bytes, address) {
                tracing::debug!(%address, "peers: datagram not sent: {error}");
            }
        }
    }

    fn stamp_for(&self, to: &[IpAddr], built_at: Duration) -> Vec<(SocketAddr, Vec<u8>)> {
        let stamps = lock(&self.stamps);
        let stamp = |it: &IpAddr| stamps.stamp(*it, built_at).encode();
        to.iter().map(|it| (SocketAddr::new(*it, self.port), stamp(it))).collect()
    }

    /// Sends the parts of a message one after the other, each with the stamp and once the socket
    /// takes it: the socket's buffer does not hold all of them.
    fn send_parts(&self, to: Vec<(SocketAddr, Vec<u8>)>, bytes: &[u8]) {
        let Some(parts) = message_parts::split(rand::random(), bytes) else {
            tracing::warn!(bytes = bytes.len(), "peers: message dropped, it is too long");
            return;
        };
        let parts = parts.into_iter().map(PeerMessage::Part);
        let mut parts: Vec<Vec<u8>> = parts.filter_map(|it| peer_message::encode(&it)).collect();
        let socket = self.socket.clone();
        tokio::spawn(async move {
            for (address, stamp) in to {
                for part in &mut parts {
                    let length = part.len();
                    part.extend_from_slice(&stamp);
                    if let Err(error) = socket.send_to(part, address).await {
                        tracing::debug!(%address, "peers: datagram not sent: {error}");
                    }
                    part.truncate(length);
                }
            }
        });
    }

    /// Waits for the next valid message. `buffer` is reused between calls.
    pub async fn receive(&self, clock: &impl Clock, buffer: &mut Vec<u8>) -> ReceivedMessage {
        loop {
            buffer.resize(MAX_DATAGRAM_BYTES, 0);
            match self.socket.recv_from(buffer).await {
                Ok((length, from)) => {
                    let (from, now) = (from.ip(), clock.now());
                    let Some((message, stamp)) = peer_message::decode(&buffer[..length]) else {
                        tracing::warn!(%from, length, "peers: datagram ignored, not decodable");
                        continue;
                    };
                    let sent_at = stamp.and_then(|it| lock(&self.stamps).record(now, from, &it));
                    let message = match message {
                        PeerMessage::Part(part) => {
                            let joined = lock(&self.parts).insert(now, from, part);
                            let Some(joined) = joined else { continue };
                            peer_message::decode_joined(&joined)
                        }
                        other => Some(other),
                    };
                    match message {
                        Some(message) => return ReceivedMessage { from, message, sent_at },
                        None => tracing::warn!(%from, "peers: message ignored, not decodable"),
                    }
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

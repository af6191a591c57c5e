//! Connects to peers and sends them messages.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use h2::client::SendRequest;
use http::Request;
use ids::{Incarnation, InstanceId};
use tokio::net::TcpStream;
use tokio::sync::Mutex;

use crate::auth::{self, Role};
use crate::codec::{self, CodecError};
use crate::message::{Hello, PROTOCOL_VERSION, PeerRequest, PeerResponse};

/// Why a call has no answer, and whether the peer may have handled it.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PeerError {
    /// No connection could be opened and authenticated, so the message was not sent.
    #[error("message not sent to the peer: {0}")]
    NotSent(Box<str>),
    /// The message was sent and no answer was received; the peer may have handled it.
    #[error("the peer's answer is lost: {0}")]
    AnswerLost(Box<str>),
}

/// The authenticated connection to one peer, if it is open. The lock is held while it is opened, so
/// that concurrent calls share one connection.
type Slot = Arc<Mutex<Option<SendRequest<Bytes>>>>;

/// A client of all peers. Keeps one connection to each, opened by the first call.
#[derive(Debug)]
pub struct PeerClient {
    own: InstanceId,
    incarnation: Incarnation,
    secret: Box<str>,
    deadline: Duration,
    slots: std::sync::Mutex<indexmap::IndexMap<SocketAddr, Slot>>,
}

impl PeerClient {
    /// A client that introduces itself as instance `own`. `deadline` limits the connection set-up
    /// and, separately, the wait for each answer.
    pub fn new(
        own: InstanceId,
        incarnation: Incarnation,
        secret: Box<str>,
        deadline: Duration,
    ) -> PeerClient {
        PeerClient { own, incarnation, secret, deadline, slots: std::sync::Mutex::default() }
    }

    /// Sends a message to the peer at `address` and returns its answer. Connects first if no
    /// connection is open. A message is never sent twice.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: &PeerRequest,
    ) -> Result<PeerResponse, PeerError> {
        let slot = self.slot(address);
        let connection =
            tokio::time::timeout(self.deadline, self.get_or_connect(&slot, address)).await;
        let sender = match connection {
            Ok(Ok(sender)) => sender,
            Ok(Err(error)) => return Err(PeerError::NotSent(error.to_string().into())),
            Err(_) => return Err(PeerError::NotSent("no connection within the deadline".into())),
        };
        let fault = match tokio::time::timeout(self.deadline, exchange(sender, request)).await {
            Ok(Ok(response)) => return Ok(response),
            Ok(Err(error)) => error.to_string(),
            Err(_) => "no answer within the deadline".into(),
        };
        // The connection may have stopped carrying data without an error, so the next call opens
        // another.
        slot.lock().await.take();
        Err(PeerError::AnswerLost(fault.into()))
    }

    /// Drops the connections to all addresses but those listed.
    pub fn retain_listed(&self, addresses: &[SocketAddr]) {
        self.lock().retain(|it, _| addresses.contains(it));
    }

    fn slot(&self, address: SocketAddr) -> Slot {
        self.lock().entry(address).or_default().clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, indexmap::IndexMap<SocketAddr, Slot>> {
        self.slots.lock().unwrap_or_else(|it| it.into_inner())
    }

    /// The connection in `slot` if it still works, otherwise a new one.
    async fn get_or_connect(
        &self,
        slot: &Slot,
        address: SocketAddr,
    ) -> Result<SendRequest<Bytes>, CodecError> {
        let mut connection = slot.lock().await;
        if let Some(sender) = connection.clone() {
            match sender.ready().await {
                Ok(sender) => return Ok(sender),
                Err(_) => *connection = None,
            }
        }
        let sender = self.connect(address).await?;
        *connection = Some(sender.clone());
        Ok(sender)
    }

    async fn connect(&self, address: SocketAddr) -> Result<SendRequest<Bytes>, CodecError> {
        let stream = TcpStream::connect(address)
            .await
            .map_err(|error| CodecError::Stream(error.to_string().into()))?;
        stream.set_nodelay(true).map_err(|error| CodecError::Stream(error.to_string().into()))?;
        let (sender, connection) = h2::client::handshake(stream).await?;
        tokio::spawn(async move {
            // The calls in flight receive the error on their own streams.
            let _ = connection.await;
        });
        self.authenticate(sender).await
    }

    /// Proves to the peer that both ends know the secret.
    async fn authenticate(
        &self,
        sender: SendRequest<Bytes>,
    ) -> Result<SendRequest<Bytes>, CodecError> {
        let nonce = rand::random();
        let hello = Hello {
            protocol: PROTOCOL_VERSION,
            instance: self.own.clone(),
            incarnation: self.incarnation,
            nonce,
        };
        let response = exchange(sender.clone(), &PeerRequest::Hello(hello)).await?;
        let PeerResponse::Challenge { proof, nonce: peer_nonce, .. } = response else {
            return Err(CodecError::Malformed(
                "the peer refused the hello message; its protocol version may differ".into(),
            ));
        };
        if !auth::verify_proof(&self.secret, Role::Responder, nonce, peer_nonce, &proof) {
            return Err(CodecError::Malformed(
                "the peer's proof does not match the shared secret".into(),
            ));
        }
        let proof = auth::compute_proof(&self.secret, Role::Initiator, nonce, peer_nonce);
        match exchange(sender.clone(), &PeerRequest::Prove { proof }).await? {
            PeerResponse::Done => Ok(sender),
            _ => {
                Err(CodecError::Malformed("the peer refused the proof of the shared secret".into()))
            }
        }
    }
}

/// Sends one message on a new stream and reads its answer.
async fn exchange(
    sender: SendRequest<Bytes>,
    request: &PeerRequest,
) -> Result<PeerResponse, CodecError> {
    let mut sender = sender.ready().await?;
    let head = Request::post("http://peer/")
        .body(())
        .map_err(|error| CodecError::Malformed(error.to_string().into()))?;
    let (response, mut stream) = sender.send_request(head, false)?;
    codec::send(&mut stream, request)?;
    let mut body = response.await?.into_body();
    codec::receive(&mut body, codec::MAX_MESSAGE_BYTES).await
}

//! Sending messages to peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use h2::client::SendRequest;
use http::Request;
use ids::{Incarnation, InstanceId};
use tokio::net::TcpStream;
use tokio::sync::Mutex;

use crate::auth::{self, Side};
use crate::codec::{self, CodecError};
use crate::message::{Hello, PROTOCOL_VERSION, PeerRequest, PeerResponse};

/// Why a peer did not answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PeerError {
    /// The message was not sent.
    #[error("not sent: {0}")]
    NotSent(Box<str>),
    /// The message may have been taken; its answer is lost.
    #[error("the answer is lost: {0}")]
    AnswerLost(Box<str>),
}

type Slot = Arc<Mutex<Option<SendRequest<Bytes>>>>;

/// This daemon's connections to its peers, one each, opened when needed.
#[derive(Debug)]
pub struct PeerClient {
    own: InstanceId,
    incarnation: Incarnation,
    secret: Box<str>,
    deadline: Duration,
    slots: std::sync::Mutex<indexmap::IndexMap<SocketAddr, Slot>>,
}

impl PeerClient {
    /// A network of which this daemon is `own`. Each message is answered within `deadline`.
    pub fn new(
        own: InstanceId,
        incarnation: Incarnation,
        secret: Box<str>,
        deadline: Duration,
    ) -> PeerClient {
        PeerClient { own, incarnation, secret, deadline, slots: std::sync::Mutex::default() }
    }

    /// Sends a message and returns its answer.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: &PeerRequest,
    ) -> Result<PeerResponse, PeerError> {
        let slot = self.slot(address);
        let connected = tokio::time::timeout(self.deadline, self.connected(&slot, address)).await;
        let sender = match connected {
            Ok(Ok(sender)) => sender,
            Ok(Err(error)) => return Err(PeerError::NotSent(error.to_string().into())),
            Err(_) => return Err(PeerError::NotSent("no connection in time".into())),
        };
        let res = match tokio::time::timeout(self.deadline, exchange(sender, request)).await {
            Ok(Ok(response)) => return Ok(response),
            Ok(Err(error)) => error.to_string(),
            Err(_) => "no answer in time".into(),
        };
        // A connection that missed a deadline may have gone silent: the next call opens another.
        slot.lock().await.take();
        Err(PeerError::AnswerLost(res.into()))
    }

    /// Closes connections to addresses that are not listed any more.
    pub fn retain_listed(&self, addresses: &[SocketAddr]) {
        self.lock().retain(|it, _| addresses.contains(it));
    }

    fn slot(&self, address: SocketAddr) -> Slot {
        self.lock().entry(address).or_default().clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, indexmap::IndexMap<SocketAddr, Slot>> {
        self.slots.lock().unwrap_or_else(|it| it.into_inner())
    }

    async fn connected(
        &self,
        slot: &Slot,
        address: SocketAddr,
    ) -> Result<SendRequest<Bytes>, CodecError> {
        let mut held = slot.lock().await;
        if let Some(sender) = held.clone() {
            match sender.ready().await {
                Ok(sender) => return Ok(sender),
                Err(_) => *held = None,
            }
        }
        let sender = self.open(address).await?;
        *held = Some(sender.clone());
        Ok(sender)
    }

    async fn open(&self, address: SocketAddr) -> Result<SendRequest<Bytes>, CodecError> {
        let stream = TcpStream::connect(address)
            .await
            .map_err(|error| CodecError::Stream(error.to_string().into()))?;
        stream.set_nodelay(true).map_err(|error| CodecError::Stream(error.to_string().into()))?;
        let (sender, connection) = h2::client::handshake(stream).await?;
        tokio::spawn(async move {
            // The calls in flight learn of it by their own streams.
            let _ = connection.await;
        });
        self.introduce(sender).await
    }

    async fn introduce(
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
        let PeerResponse::Challenge { proof, nonce: theirs, .. } = response else {
            return Err(CodecError::Malformed("the peer refused the hello".into()));
        };
        if !auth::is_proof(&self.secret, Side::Acceptor, nonce, theirs, &proof) {
            return Err(CodecError::Malformed("the peer does not know the secret".into()));
        }
        let proof = auth::proof(&self.secret, Side::Opener, nonce, theirs);
        match exchange(sender.clone(), &PeerRequest::Prove { proof }).await? {
            PeerResponse::Done => Ok(sender),
            _ => Err(CodecError::Malformed("the peer refused the proof".into())),
        }
    }
}

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
    codec::receive(&mut body).await
}

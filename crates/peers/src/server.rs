//! Answering messages from peers.

use std::future::Future;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use h2::server::SendResponse;
use http::{Request, Response};
use ids::{Incarnation, InstanceId};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::auth::{self, Side};
use crate::codec::{self, CodecError};
use crate::message::{Hello, PROTOCOL_VERSION, PeerRequest, PeerResponse};

/// Answers messages of peers that have proved themselves.
pub trait PeerHandler: Send + Sync + 'static {
    /// Answers one message.
    fn handle(
        &self,
        from: &InstanceId,
        life: Incarnation,
        request: PeerRequest,
    ) -> impl Future<Output = PeerResponse> + Send;
}

#[derive(Debug)]
struct Session {
    hello: Option<(Hello, u64)>,
    proven: bool,
}

/// Serves peers until the sender of `stop` is dropped.
pub async fn serve<H: PeerHandler>(
    listener: TcpListener,
    secret: Box<str>,
    incarnation: Incarnation,
    handler: Arc<H>,
    mut stop: watch::Receiver<()>,
) {
    loop {
        let accepted = tokio::select! {
            res = listener.accept() => res,
            _ = stop.changed() => return,
        };
        let Ok((stream, _)) = accepted else { continue };
        let (secret, handler) = (secret.clone(), handler.clone());
        let mut stop = stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                res = serve_connection(stream, secret, incarnation, handler) => {
                    if let Err(error) = res {
                        tracing::debug!("peers: connection ended: {error}");
                    }
                }
                _ = stop.changed() => {}
            }
        });
    }
}

async fn serve_connection<H: PeerHandler>(
    stream: TcpStream,
    secret: Box<str>,
    incarnation: Incarnation,
    handler: Arc<H>,
) -> Result<(), CodecError> {
    stream.set_nodelay(true).map_err(|error| CodecError::Stream(error.to_string().into()))?;
    let mut connection = h2::server::handshake(stream).await?;
    let session = Arc::new(Mutex::new(Session { hello: None, proven: false }));
    while let Some(accepted) = connection.accept().await {
        let (request, respond) = accepted?;
        let (secret, handler, session) = (secret.clone(), handler.clone(), session.clone());
        tokio::spawn(async move {
            let res = answer(request, respond, &secret, incarnation, &*handler, &session).await;
            if let Err(error) = res {
                tracing::debug!("peers: message not answered: {error}");
            }
        });
    }
    Ok(())
}

async fn answer<H: PeerHandler>(
    request: Request<h2::RecvStream>,
    mut respond: SendResponse<Bytes>,
    secret: &str,
    incarnation: Incarnation,
    handler: &H,
    session: &Mutex<Session>,
) -> Result<(), CodecError> {
    let mut body = request.into_body();
    let message: PeerRequest = codec::receive(&mut body).await?;
    let response = match message {
        PeerRequest::Hello(hello) => challenge(hello, secret, incarnation, session),
        PeerRequest::Prove { proof } => accept_proof(&proof, secret, session),
        message => match proven_peer(session) {
            Some((from, life)) => handler.handle(&from, life, message).await,
            None => PeerResponse::Refused("prove yourself first".into()),
        },
    };
    let mut stream = respond.send_response(Response::new(()), false)?;
    codec::send(&mut stream, &response)
}

fn challenge(
    hello: Hello,
    secret: &str,
    incarnation: Incarnation,
    session: &Mutex<Session>,
) -> PeerResponse {
    if hello.protocol != PROTOCOL_VERSION {
        let fault = format!("protocol {} is not spoken here", hello.protocol);
        return PeerResponse::Refused(fault.into());
    }
    let nonce = rand::random();
    let proof = auth::proof(secret, Side::Acceptor, hello.nonce, nonce);
    let mut session = session.lock().unwrap_or_else(|it| it.into_inner());
    *session = Session { hello: Some((hello, nonce)), proven: false };
    PeerResponse::Challenge { incarnation, proof, nonce }
}

fn accept_proof(proof: &[u8; 32], secret: &str, session: &Mutex<Session>) -> PeerResponse {
    let mut session = session.lock().unwrap_or_else(|it| it.into_inner());
    let Some((hello, nonce)) = &session.hello else {
        return PeerResponse::Refused("say hello first".into());
    };
    if !auth::is_proof(secret, Side::Opener, hello.nonce, *nonce, proof) {
        return PeerResponse::Refused("the proof is wrong".into());
    }
    session.proven = true;
    PeerResponse::Done
}

fn proven_peer(session: &Mutex<Session>) -> Option<(InstanceId, Incarnation)> {
    let session = session.lock().unwrap_or_else(|it| it.into_inner());
    let (hello, _) = session.hello.as_ref().filter(|_| session.proven)?;
    Some((hello.instance.clone(), hello.incarnation))
}

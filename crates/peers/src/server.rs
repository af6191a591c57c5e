//! Accepts connections of peers, authenticates them and answers their messages.

use std::future::Future;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use h2::server::SendResponse;
use http::{Request, Response};
use ids::{Incarnation, InstanceId};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::auth::{self, Role};
use crate::codec::{self, CodecError, MAX_MESSAGE_BYTES};
use crate::message::{Hello, PROTOCOL_VERSION, PeerRequest, PeerResponse};

/// The longest message that is accepted before the peer has proved that it knows the secret, in
/// bytes.
const MAX_HANDSHAKE_BYTES: usize = 4 << 10;

/// Answers messages of peers that have proved that they know the secret.
pub trait PeerHandler: Send + Sync + 'static {
    /// Answers one message of instance `from`. Messages of one connection are handled concurrently.
    fn handle(
        &self,
        from: &InstanceId,
        incarnation: Incarnation,
        request: PeerRequest,
    ) -> impl Future<Output = PeerResponse> + Send;
}

/// The authentication of one connection: the peer's hello with the nonce that answered it, and
/// whether the peer has proved that it knows the secret.
#[derive(Debug)]
struct Session {
    hello: Option<(Hello, u64)>,
    authenticated: bool,
}

/// Serves peers until the sender of `stop` is dropped, which also closes their connections.
/// `incarnation` is this daemon's own.
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
                        tracing::debug!("peers: connection of a peer failed: {error}");
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
    let session = Arc::new(Mutex::new(Session { hello: None, authenticated: false }));
    while let Some(accepted) = connection.accept().await {
        let (request, respond) = accepted?;
        let (secret, handler, session) = (secret.clone(), handler.clone(), session.clone());
        tokio::spawn(async move {
            let res =
                answer_message(request, respond, &secret, incarnation, &*handler, &session).await;
            if let Err(error) = res {
                tracing::debug!("peers: message of a peer not answered: {error}");
            }
        });
    }
    Ok(())
}

/// Reads the message of one stream and sends its answer.
async fn answer_message<H: PeerHandler>(
    request: Request<h2::RecvStream>,
    mut respond: SendResponse<Bytes>,
    secret: &str,
    incarnation: Incarnation,
    handler: &H,
    session: &Mutex<Session>,
) -> Result<(), CodecError> {
    let mut body = request.into_body();
    let max_bytes = match authenticated_peer(session) {
        Some(_) => MAX_MESSAGE_BYTES,
        None => MAX_HANDSHAKE_BYTES,
    };
    let message: PeerRequest = codec::receive(&mut body, max_bytes).await?;
    let response = match message {
        PeerRequest::Hello(hello) => answer_hello(hello, secret, incarnation, session),
        PeerRequest::Prove { proof } => check_proof(&proof, secret, session),
        message => match authenticated_peer(session) {
            Some((from, peer_incarnation)) => {
                handler.handle(&from, peer_incarnation, message).await
            }
            None => PeerResponse::Refused("prove yourself first".into()),
        },
    };
    let mut stream = respond.send_response(Response::new(()), false)?;
    codec::send(&mut stream, &response)
}

fn answer_hello(
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
    let proof = auth::compute_proof(secret, Role::Responder, hello.nonce, nonce);
    let mut session = session.lock().unwrap_or_else(|it| it.into_inner());
    *session = Session { hello: Some((hello, nonce)), authenticated: false };
    PeerResponse::Challenge { incarnation, proof, nonce }
}

fn check_proof(proof: &[u8; 32], secret: &str, session: &Mutex<Session>) -> PeerResponse {
    let mut session = session.lock().unwrap_or_else(|it| it.into_inner());
    let Some((hello, nonce)) = &session.hello else {
        return PeerResponse::Refused("say hello first".into());
    };
    if !auth::verify_proof(secret, Role::Initiator, hello.nonce, *nonce, proof) {
        return PeerResponse::Refused("the proof is wrong".into());
    }
    session.authenticated = true;
    PeerResponse::Done
}

/// The peer's instance and incarnation, once it has proved that it knows the secret.
fn authenticated_peer(session: &Mutex<Session>) -> Option<(InstanceId, Incarnation)> {
    let session = session.lock().unwrap_or_else(|it| it.into_inner());
    let (hello, _) = session.hello.as_ref().filter(|_| session.authenticated)?;
    Some((hello.instance.clone(), hello.incarnation))
}

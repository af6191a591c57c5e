//! Messages that no peer sends end their own stream only, and a sender that has not proved that it
//! knows the secret cannot make a daemon hold much memory.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use h2::client::SendRequest;
use http::Request;
use ids::{Incarnation, InstanceId};
use peers::{PeerClient, PeerHandler, PeerRequest, PeerResponse};
use rstest::rstest;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

const SECRET: &str = "the-shared-secret";
const DEADLINE: Duration = Duration::from_secs(2);

/// Answers every message.
#[derive(Debug)]
struct DoneHandler;

impl PeerHandler for DoneHandler {
    async fn handle(&self, _: &InstanceId, _: Incarnation, _: PeerRequest) -> PeerResponse {
        PeerResponse::Done
    }
}

async fn serve() -> (SocketAddr, watch::Sender<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (stop, stopped) = watch::channel(());
    let handler = Arc::new(DoneHandler);
    tokio::spawn(peers::serve(listener, SECRET.into(), Incarnation(1), handler, stopped));
    (address, stop)
}

/// A connection that has proved nothing.
async fn connect(address: SocketAddr) -> SendRequest<Bytes> {
    let stream = TcpStream::connect(address).await.unwrap();
    let (sender, connection) = h2::client::handshake(stream).await.unwrap();
    tokio::spawn(async move { drop(connection.await) });
    sender.ready().await.unwrap()
}

/// Sends one message as raw bytes; returns the number of bytes of its answer, or `None` if the
/// daemon reset the stream.
async fn send_bytes(sender: &mut SendRequest<Bytes>, body: Bytes) -> Option<usize> {
    let request = Request::post("http://peer/").body(()).unwrap();
    let (answer, mut stream) = sender.send_request(request, false).unwrap();
    stream.reserve_capacity(body.len());
    // The daemon may reset the stream before it has all bytes.
    let _ = stream.send_data(body, true);
    let answer = tokio::time::timeout(DEADLINE, answer).await.expect("an answer or a reset");
    let mut body = answer.ok()?.into_body();
    let mut length = 0;
    while let Some(chunk) = body.data().await {
        length += chunk.ok()?.len();
    }
    Some(length)
}

/// The variant `GetAttemptStatus` with a text of this length and no bytes of it.
fn claimed_text(length: u64) -> Bytes {
    let mut bytes = vec![4, 0xfd];
    bytes.extend_from_slice(&length.to_le_bytes());
    bytes.into()
}

async fn assert_serves(address: SocketAddr) {
    let own = "asker".parse().unwrap();
    let client = PeerClient::new(own, Incarnation(7), SECRET.into(), DEADLINE);
    let answer = client.call(address, &PeerRequest::GetSnapshot).await;
    assert!(matches!(answer, Ok(PeerResponse::Done)), "{answer:?}");
}

#[rstest]
#[case::no_message(Bytes::new())]
#[case::unknown_variant(Bytes::from_static(&[0xfa, 1, 2]))]
#[case::text_beyond_any_memory(claimed_text(u64::MAX))]
#[case::text_beyond_this_machine(claimed_text(1 << 60))]
#[case::text_beyond_its_message(claimed_text(1 << 30))]
#[tokio::test]
async fn a_malformed_message_ends_its_stream_and_nothing_else(#[case] body: Bytes) {
    let (address, _stop) = serve().await;
    let mut sender = connect(address).await;
    assert_eq!(send_bytes(&mut sender, body).await, None);
    assert_serves(address).await;
}

#[tokio::test]
async fn a_long_message_of_an_unknown_sender_is_not_read() {
    let (address, _stop) = serve().await;
    let mut sender = connect(address).await;
    assert_eq!(send_bytes(&mut sender, vec![0; 1 << 20].into()).await, None);
    assert_serves(address).await;
}

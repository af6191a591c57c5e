//! Peers answer only senders that know the secret; each call ends within a deadline and reports
//! whether the message may have been handled.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use ids::{Incarnation, InstanceId, Revision};
use peers::{PeerClient, PeerError, PeerHandler, PeerRequest, PeerResponse};
use rstest::rstest;
use tokio::net::TcpListener;
use tokio::sync::watch;

const SECRET: &str = "the-shared-secret";
const DEADLINE: Duration = Duration::from_millis(300);

/// Answers after `delay` and counts the messages that it answered.
#[derive(Debug, Default)]
struct CountingHandler {
    delay: Duration,
    answered: AtomicU64,
}

impl PeerHandler for CountingHandler {
    async fn handle(
        &self,
        from: &InstanceId,
        incarnation: Incarnation,
        request: PeerRequest,
    ) -> PeerResponse {
        assert_eq!((from.as_str(), incarnation), ("asker", Incarnation(7)));
        tokio::time::sleep(self.delay).await;
        self.answered.fetch_add(1, Ordering::Relaxed);
        match request {
            PeerRequest::GetCatalog { after } => {
                PeerResponse::Catalog(Some("x".repeat(after.0 as usize).into()))
            }
            _ => PeerResponse::Done,
        }
    }
}

async fn serve(delay: Duration) -> (SocketAddr, Arc<CountingHandler>, watch::Sender<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (stop, stopped) = watch::channel(());
    let handler = Arc::new(CountingHandler { delay, ..CountingHandler::default() });
    let incarnation = Incarnation(1);
    tokio::spawn(peers::serve(listener, SECRET.into(), incarnation, handler.clone(), stopped));
    (address, handler, stop)
}

fn client(secret: &str) -> PeerClient {
    PeerClient::new("asker".parse().unwrap(), Incarnation(7), secret.into(), DEADLINE)
}

fn ask_catalog(bytes: u64) -> PeerRequest {
    PeerRequest::GetCatalog { after: Revision(bytes) }
}

#[rstest]
#[case::small(1)]
#[case::larger_than_a_flow_control_window(5_000_000)]
#[tokio::test]
async fn a_message_is_answered(#[case] bytes: u64) {
    let (address, _, _stop) = serve(Duration::ZERO).await;
    let answer = client(SECRET).call(address, &ask_catalog(bytes)).await.unwrap();
    let PeerResponse::Catalog(Some(text)) = answer else { panic!("{answer:?}") };
    assert_eq!(text.len() as u64, bytes);
}

#[tokio::test]
async fn a_sender_without_the_secret_is_not_answered() {
    let (address, handler, _stop) = serve(Duration::ZERO).await;
    let error = client("another-secret-xx").call(address, &ask_catalog(1)).await.unwrap_err();
    assert!(matches!(error, PeerError::NotSent(_)), "{error}");
    assert_eq!(handler.answered.load(Ordering::Relaxed), 0);
}

#[tokio::test]
async fn a_call_past_its_deadline_is_lost_and_the_next_one_opens_a_new_connection() {
    let (address, handler, _stop) = serve(2 * DEADLINE).await;
    let client = client(SECRET);
    let started = Instant::now();
    let error = client.call(address, &ask_catalog(1)).await.unwrap_err();
    assert!(matches!(error, PeerError::AnswerLost(_)), "{error}");
    assert!(started.elapsed() < 2 * DEADLINE);
    assert!(client.call(address, &ask_catalog(1)).await.is_err());
    tokio::time::sleep(3 * DEADLINE).await;
    assert!(handler.answered.load(Ordering::Relaxed) >= 1, "the late message was not handled");
}

#[tokio::test]
async fn a_refused_connection_is_reported_as_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let error = client(SECRET).call(address, &ask_catalog(1)).await.unwrap_err();
    assert!(matches!(error, PeerError::NotSent(_)), "{error}");
}

#[tokio::test]
async fn concurrent_messages_share_a_connection() {
    let (address, handler, _stop) = serve(Duration::from_millis(50)).await;
    let client = client(SECRET);
    let started = Instant::now();
    let calls = (0..50).map(|_| client.call(address, &PeerRequest::GetSnapshot));
    let answers = futures::future::join_all(calls).await;
    assert!(answers.iter().all(Result::is_ok), "{answers:?}");
    assert_eq!(handler.answered.load(Ordering::Relaxed), 50);
    assert!(
        started.elapsed() < Duration::from_secs(1),
        "the messages were handled one after another"
    );
}

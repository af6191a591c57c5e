//! Peers answer only those that know the secret and speak their version, each within a deadline.

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

/// Answers after a while; counts what it answered.
#[derive(Debug, Default)]
struct Counter {
    delay: Duration,
    answered: AtomicU64,
}

impl PeerHandler for Counter {
    async fn handle(
        &self,
        from: &InstanceId,
        life: Incarnation,
        request: PeerRequest,
    ) -> PeerResponse {
        assert_eq!((from.as_str(), life), ("asker", Incarnation(7)));
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

async fn serve(delay: Duration) -> (SocketAddr, Arc<Counter>, watch::Sender<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (stop, stopped) = watch::channel(());
    let handler = Arc::new(Counter { delay, ..Counter::default() });
    let life = Incarnation(1);
    tokio::spawn(peers::serve(listener, SECRET.into(), life, handler.clone(), stopped));
    (address, handler, stop)
}

fn network(secret: &str) -> PeerClient {
    PeerClient::new("asker".parse().unwrap(), Incarnation(7), secret.into(), DEADLINE)
}

fn ask(bytes: u64) -> PeerRequest {
    PeerRequest::GetCatalog { after: Revision(bytes) }
}

#[rstest]
#[case::small(1)]
#[case::larger_than_a_window(5_000_000)]
#[tokio::test]
async fn a_message_is_answered(#[case] bytes: u64) {
    let (address, _, _stop) = serve(Duration::ZERO).await;
    let answer = network(SECRET).call(address, &ask(bytes)).await.unwrap();
    let PeerResponse::Catalog(Some(text)) = answer else { panic!("{answer:?}") };
    assert_eq!(text.len() as u64, bytes);
}

#[tokio::test]
async fn who_does_not_know_the_secret_is_not_answered() {
    let (address, handler, _stop) = serve(Duration::ZERO).await;
    let error = network("another-secret-xx").call(address, &ask(1)).await.unwrap_err();
    assert!(matches!(error, PeerError::NotSent(_)), "{error}");
    assert_eq!(handler.answered.load(Ordering::Relaxed), 0);
}

#[tokio::test]
async fn a_late_answer_is_lost_and_the_next_call_goes_on_a_new_connection() {
    let (address, handler, _stop) = serve(2 * DEADLINE).await;
    let network = network(SECRET);
    let began = Instant::now();
    let error = network.call(address, &ask(1)).await.unwrap_err();
    assert!(matches!(error, PeerError::AnswerLost(_)), "{error}");
    assert!(began.elapsed() < 2 * DEADLINE);
    assert!(network.call(address, &ask(1)).await.is_err());
    tokio::time::sleep(3 * DEADLINE).await;
    assert!(handler.answered.load(Ordering::Relaxed) >= 1, "it was taken all the same");
}

#[tokio::test]
async fn nobody_there_is_told_as_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let error = network(SECRET).call(address, &ask(1)).await.unwrap_err();
    assert!(matches!(error, PeerError::NotSent(_)), "{error}");
}

#[tokio::test]
async fn many_messages_share_a_connection() {
    let (address, handler, _stop) = serve(Duration::from_millis(50)).await;
    let network = network(SECRET);
    let began = Instant::now();
    let calls = (0..50).map(|_| network.call(address, &PeerRequest::GetSnapshot));
    let answers = futures::future::join_all(calls).await;
    assert!(answers.iter().all(Result::is_ok), "{answers:?}");
    assert_eq!(handler.answered.load(Ordering::Relaxed), 50);
    assert!(began.elapsed() < Duration::from_secs(1), "they ran one after another");
}

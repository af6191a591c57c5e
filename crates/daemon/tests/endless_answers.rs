//! Engines whose answers never end: the daemon gives up on them and tells the caller.

mod fleet;

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use fleet::{CallAnswer, Fleet, chat};
use http::StatusCode;
use rstest::rstest;
use serde_json::json;
use stand_ins::engine::EngineConfig;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const CHAT: &str = "/v1/chat/completions";
const FAILURE: &str = "HTTP/1.1 500 Internal Server Error\r\n\r\n";
const EVENT: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: ";
const SETTINGS: &[&str] = &["timeouts.first_token_ms=1000", "limits.answer_bytes=65536"];
/// Longer than the attempts at one engine may take, each with its timeout.
const CALLER_PATIENCE: Duration = Duration::from_secs(8);

/// How an answer begins and goes on.
#[derive(Debug, Clone, Copy)]
struct EndlessAnswer {
    begin: &'static str,
    piece: &'static [u8],
    pause: Duration,
}

/// Guards against a failed answer being read without a limit: its request never ended, and the
/// daemon kept all that the engine sent.
#[rstest]
#[case::flood(EndlessAnswer { begin: FAILURE, piece: &[b'a'; 16_384], pause: Duration::ZERO })]
#[case::trickle(EndlessAnswer { begin: FAILURE, piece: b"a", pause: Duration::from_millis(50) })]
#[tokio::test(flavor = "multi_thread")]
async fn a_failed_answer_without_end_fails_the_attempt(#[case] endless: EndlessAnswer) {
    let answer = ask(SETTINGS, endless, CALLER_PATIENCE).await;
    assert_ne!(answer.status, StatusCode::OK, "{}", answer.body);
    assert_eq!(answer.run_state(), "maybe_run", "{}", answer.body);
}

/// Guards against an event that never ends being kept until the time for it is over: an engine that
/// floods took the daemon over its memory meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn an_event_without_end_fails_the_attempt_before_its_time_is_over() {
    let settings = &["timeouts.first_token_ms=10000"];
    let endless = EndlessAnswer { begin: EVENT, piece: &[b'a'; 16_384], pause: Duration::ZERO };
    let answer = ask(settings, endless, CALLER_PATIENCE).await;
    assert_ne!(answer.status, StatusCode::OK, "{}", answer.body);
    assert_eq!(answer.run_state(), "maybe_run", "{}", answer.body);
}

/// Sends a request to a daemon whose only engine gives this answer.
async fn ask(settings: &[&str], endless: EndlessAnswer, patience: Duration) -> CallAnswer {
    let fleet = Fleet::start_with(1, 1, EngineConfig::default(), settings).await;
    let address = start_endless_engine(fleet.engines[0].local_addr(), endless).await;
    let target = json!({ "put_target": {
        "id": "desk-1", "pool": "desk", "address": address, "failure_domain": "north",
        "echoes_request_id": false, "checks_fencing": true,
    } });
    fleet.submit_change(json!([target])).await;
    fleet.wait_until_synced().await;
    let question = chat("question", 4, true);
    let answer = fleet.call(0, CHAT, &[], &question);
    let answer = tokio::time::timeout(patience, answer).await.expect("an answer in time");
    answer.expect("a whole answer")
}

/// Starts an engine that gives this answer to all generations, and passes everything else on to a sound engine.
async fn start_endless_engine(sound: SocketAddr, endless: EndlessAnswer) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, sound, endless));
        }
    });
    address
}

async fn serve(
    mut stream: TcpStream,
    sound: SocketAddr,
    endless: EndlessAnswer,
) -> std::io::Result<()> {
    let mut begin = [0; 4_096];
    let length = stream.read(&mut begin).await?;
    if !begin.starts_with(format!("POST {CHAT}").as_bytes()) {
        let mut engine = TcpStream::connect(sound).await?;
        engine.write_all(&begin[..length]).await?;
        tokio::io::copy_bidirectional(&mut stream, &mut engine).await?;
        return Ok(());
    }
    stream.write_all(endless.begin.as_bytes()).await?;
    loop {
        stream.write_all(endless.piece).await?;
        tokio::time::sleep(endless.pause).await;
    }
}

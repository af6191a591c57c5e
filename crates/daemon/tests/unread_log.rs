//! A standard output that nobody reads holds no request up.

mod fleet;

use std::io::Read;
use std::net::TcpListener;
use std::process::{Child, Command, Stdio};

use bytes::Bytes;
use fleet::{ADMIN_TOKEN, Fleet, WAIT_LIMIT, chat, expected_text, streamed_text, wait_until};
use futures::{StreamExt, stream};
use http::{Method, StatusCode};

/// Bytes that a pipe holds before a writer has to wait.
const PIPE_BYTES: usize = 64 << 10;

/// Requests that log a line or more each: more than may wait for standard output.
const REFUSED: usize = 10_000;
/// How many of them are under way at once.
const AT_ONCE: usize = 32;

struct UnreadDaemon {
    child: Child,
}

impl Drop for UnreadDaemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn start(platform: &str, ports: &[u16; 3]) -> UnreadDaemon {
    let base = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/base.json");
    let mut command = Command::new(env!("CARGO_BIN_EXE_kingcupshiftd"));
    command.args(["serve", "--base", base]).stdin(Stdio::null()).stdout(Stdio::piped());
    let mut values = vec![
        "instance.id=unread".into(),
        "instance.failure_domain=north".into(),
        format!("instance.callers=127.0.0.1:{}", ports[0]),
        format!("instance.admin=127.0.0.1:{}", ports[1]),
        format!("instance.peers=127.0.0.1:{}", ports[2]),
        "secrets.peer=test-peer-secret-x".into(),
        format!("secrets.admin={ADMIN_TOKEN}"),
        "secrets.target=test-target-secret".into(),
        "log.filter=trace".into(),
        "log.format=json".into(),
    ];
    let parts = ["list", "table", "objects", "weights"];
    values.extend(parts.map(|it| format!("platform.{it}={platform}")));
    for value in values {
        command.arg("--set").arg(value);
    }
    UnreadDaemon { child: command.spawn().expect("the daemon was built with this test") }
}

fn free_ports() -> [u16; 3] {
    let listeners = [0; 3].map(|it| TcpListener::bind(("127.0.0.1", it)).expect("a free port"));
    listeners.map(|it| it.local_addr().expect("an address").port())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_log_that_nobody_reads_stops_no_request() {
    let fleet = Fleet::start(1, 1).await;
    let ports = free_ports();
    let mut daemon = start(&fleet.platform_address.to_string(), &ports);
    let callers = ([127, 0, 0, 1], ports[0]).into();
    let token = format!("Bearer {}", fleet.key);
    let headers = [("authorization", token.as_str()), ("content-type", "application/json")];
    let ask = async |question: &str| {
        let body = Bytes::from(chat(question, 8, true).to_string());
        fleet.send(Method::POST, callers, "/v1/chat/completions", &headers, body).await
    };
    wait_until(WAIT_LIMIT, "the daemon serves", async || {
        ask("first").await.is_ok_and(|it| it.status == StatusCode::OK)
    })
    .await;
    let wrong = [("authorization", "Bearer wrong"), ("content-type", "application/json")];
    let body = Bytes::from(chat("?", 1, true).to_string());
    let fill = stream::iter(0..REFUSED)
        .map(|_| fleet.send(Method::POST, callers, "/v1/chat/completions", &wrong, body.clone()));
    let answers: Vec<_> = fill.buffer_unordered(AT_ONCE).collect().await;
    assert!(
        answers.iter().all(|it| {
            it.as_ref().is_ok_and(|answer| answer.status == StatusCode::UNAUTHORIZED)
        })
    );
    for number in 0..20 {
        let question = format!("question {number}");
        let answer = ask(&question).await.expect("an answer");
        assert_eq!(streamed_text(&answer.body), Some(expected_text(&question, 1, 8)), "{number}");
    }
    // The pipe was full all the while: what it holds can be read now without waiting.
    let mut held = vec![0; PIPE_BYTES];
    let output = daemon.child.stdout.as_mut().expect("it was piped");
    output.read_exact(&mut held).expect("the pipe is full");
}

//! A daemon whose standard output is not read still answers requests. The daemon logs more than the
//! pipe holds, so that every further write to it would block.

mod fleet;

use std::io::Read;
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};

use bytes::Bytes;
use fleet::{ADMIN_TOKEN, Fleet, WAIT_LIMIT, chat, expected_text, streamed_text, wait_until};
use futures::{StreamExt, stream};
use http::{Method, StatusCode};
use stand_ins::loopback;

/// Capacity of a pipe; a write beyond it blocks.
const PIPE_BYTES: usize = 64 << 10;

/// Refused requests, each of which logs at least one line: more than the log queue holds.
const REFUSED_REQUESTS: usize = 10_000;
/// Number of concurrent refused requests.
const MAX_CONCURRENT_REQUESTS: usize = 32;

/// A daemon process whose standard output is piped but not read.
struct UnreadDaemon {
    child: Child,
}

impl Drop for UnreadDaemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn start_daemon(platform: &str, addresses: &[SocketAddr; 3]) -> UnreadDaemon {
    let base = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/base.json");
    let mut command = Command::new(env!("CARGO_BIN_EXE_kingcupshiftd"));
    command.args(["serve", "--base", base]).stdin(Stdio::null()).stdout(Stdio::piped());
    let mut values = vec![
        "instance.id=unread".into(),
        "instance.failure_domain=north".into(),
        format!("instance.callers={}", addresses[0]),
        format!("instance.admin={}", addresses[1]),
        format!("instance.peers={}", addresses[2]),
        "secrets.peer=test-peer-secret-x".into(),
        format!("secrets.admin={ADMIN_TOKEN}"),
        "secrets.target=test-target-secret".into(),
        "log.filter=trace".into(),
        "log.format=json".into(),
    ];
    let services = ["list", "table", "objects", "weights"];
    values.extend(services.map(|it| format!("platform.{it}={platform}")));
    for value in values {
        command.arg("--set").arg(value);
    }
    UnreadDaemon { child: command.spawn().expect("the daemon was built with this test") }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unread_log_pipe_blocks_no_request() {
    let fleet = Fleet::start(1, 1).await;
    let addresses = std::array::from_fn(|_| loopback::free_address());
    let mut daemon = start_daemon(&fleet.platform_address.to_string(), &addresses);
    let callers = addresses[0];
    let token = format!("Bearer {}", fleet.key);
    let headers = [("authorization", token.as_str()), ("content-type", "application/json")];
    let send_question = async |question: &str| {
        let body = Bytes::from(chat(question, 8, true).to_string());
        fleet.send(Method::POST, callers, "/v1/chat/completions", &headers, body).await
    };
    wait_until(WAIT_LIMIT, "the daemon serves", async || {
        send_question("first").await.is_ok_and(|it| it.status == StatusCode::OK)
    })
    .await;
    let wrong_key = [("authorization", "Bearer wrong"), ("content-type", "application/json")];
    let body = Bytes::from(chat("?", 1, true).to_string());
    let refused = stream::iter(0..REFUSED_REQUESTS).map(|_| {
        fleet.send(Method::POST, callers, "/v1/chat/completions", &wrong_key, body.clone())
    });
    let answers: Vec<_> = refused.buffer_unordered(MAX_CONCURRENT_REQUESTS).collect().await;
    assert!(
        answers.iter().all(|it| {
            it.as_ref().is_ok_and(|answer| answer.status == StatusCode::UNAUTHORIZED)
        })
    );
    for number in 0..20 {
        let question = format!("question {number}");
        let answer = send_question(&question).await.expect("an answer");
        assert_eq!(streamed_text(&answer.body), Some(expected_text(&question, 1, 8)), "{number}");
    }
    // The pipe was full during these requests: its whole capacity can be read without waiting.
    let mut buffered = vec![0; PIPE_BYTES];
    let output = daemon.child.stdout.as_mut().expect("it was piped");
    output.read_exact(&mut buffered).expect("the pipe is full");
}

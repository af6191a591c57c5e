//! Answers that a replica breaks off at any byte, in head and body, are errors and never whole.

use std::net::Ipv4Addr;
use std::time::Duration;

use bytes::Bytes;
use gateway::connections::ConnectionTable;
use http::Request;
use http_body_util::{BodyExt, Full};
use ports::SystemClock;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use web::client::Connection;

const HEAD: &str = "HTTP/1.1 200 OK\r\nKingcupshift-Response-Seal: s\r\n";
const TIMEOUT: Duration = Duration::from_secs(2);

/// How a replica ends the connection within an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnectionEnd {
    Closed,
    Reset,
}

/// Guards against a head that ends early being taken for a whole answer with an empty or short body.
/// The answer's last byte is that of its framing, so that each shorter one is not whole.
#[rstest]
#[case::length("Content-Length: 4\r\n\r\ndone")]
#[case::no_content("Content-Length: 0\r\n\r\n")]
#[case::chunks("Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n")]
#[case::chunks_with_extension("Transfer-Encoding: chunked\r\n\r\n4;a=b\r\ndone\r\n0\r\n\r\n")]
#[case::chunks_with_trailers(
    "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\nx-end: 1\r\n\r\n"
)]
#[tokio::test]
async fn an_answer_cut_at_any_byte_is_not_whole(
    #[case] rest: &str,
    #[values(ConnectionEnd::Closed, ConnectionEnd::Reset)] end: ConnectionEnd,
    #[values("", "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n")] before: &str,
) {
    let answer = format!("{before}{HEAD}{rest}");
    for length in 0..answer.len() {
        let cut = &answer[..length];
        let body = exchange(cut, end).await;
        assert!(body.is_none(), "{cut:?} is taken for a whole answer with the body {body:?}");
    }
    let whole = exchange(&answer, ConnectionEnd::Closed).await;
    assert!(whole.is_some_and(|it| answer.contains(std::str::from_utf8(&it).unwrap_or("?"))));
}

/// Without a length and chunks nothing but the connection's end marks that of the body; the head has
/// to be whole.
#[rstest]
#[tokio::test]
async fn a_head_without_framing_cut_at_any_byte_is_no_answer(
    #[values(ConnectionEnd::Closed, ConnectionEnd::Reset)] end: ConnectionEnd,
) {
    let head = format!("{HEAD}\r\n");
    for length in 0..head.len() {
        assert!(exchange(&head[..length], end).await.is_none(), "{:?}", &head[..length]);
    }
}

/// Sends a request to a replica that answers with these bytes and then ends the connection; returns
/// the body of a whole answer.
async fn exchange(answer: &str, end: ConnectionEnd) -> Option<Bytes> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let serving = async {
        let (stream, _) = listener.accept().await.expect("a connection");
        serve(stream, answer, end).await;
    };
    let calling = async {
        let connections = ConnectionTable::new(SystemClock);
        let request = Request::new(Full::new(Bytes::new()));
        let fresh = Connection::Fresh;
        let answer = connections.send(address, "r-1", request, fresh, TIMEOUT, || Ok(())).await;
        let (_, _, body, _connection) = answer.ok()?.split();
        body.collect().await.ok().map(|it| it.to_bytes())
    };
    let ((), body) = futures::future::join(serving, calling).await;
    body
}

async fn serve(mut stream: TcpStream, answer: &str, end: ConnectionEnd) {
    let _ = stream.read(&mut [0; 4_096]).await;
    let _ = stream.write_all(answer.as_bytes()).await;
    if end == ConnectionEnd::Reset {
        let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    }
}

//! Answers that are none: an invalid status, or one that begins early and is cut during the upload.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use web::client::{CallError, Connection, HttpClient};

/// More than the sockets on both sides buffer.
const UPLOAD_BYTES: usize = 24 << 20;

/// A server that answers as soon as the head of a request has arrived, and resets the connection.
async fn start_server(answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.read(&mut [0; 4_096]).await;
            let _ = stream.write_all(answer.as_bytes()).await;
            tokio::time::sleep(Duration::from_millis(50)).await;
            socket2::SockRef::from(&stream)
                .set_linger(Some(Duration::ZERO))
                .expect("a socket option");
        }
    });
    address
}

async fn call(address: SocketAddr, body: Vec<u8>) -> Result<Response<Bytes>, CallError> {
    let client = HttpClient::new(Duration::from_secs(1));
    let request = Request::post(format!("http://{address}/call")).body(Full::new(body.into()));
    let request = request.expect("a request");
    client.call(request, Connection::Fresh, Duration::from_secs(5), 1 << 20).await
}

#[rstest]
#[case::zero("HTTP/1.1 000 Odd\r\nContent-Length: 4\r\n\r\nbody")]
#[case::below_all("HTTP/1.1 099 Odd\r\nContent-Length: 4\r\n\r\nbody")]
#[case::above_all("HTTP/1.1 600 Odd\r\nContent-Length: 4\r\n\r\nbody")]
#[case::largest("HTTP/1.1 999 Odd\r\nContent-Length: 4\r\n\r\nbody")]
#[tokio::test]
async fn an_answer_with_an_invalid_status_is_none(#[case] answer: &'static str) {
    let address = start_server(answer).await;
    let res = call(address, b"body".to_vec()).await;
    assert!(matches!(res, Err(CallError::Broken(_))), "{res:?}");
}

#[tokio::test]
async fn an_early_answer_that_is_cut_during_the_upload_is_none() {
    let address = start_server("HTTP/1.1 200 OK\r\n\r\npart").await;
    let res = call(address, vec![b'x'; UPLOAD_BYTES]).await;
    assert!(matches!(res, Err(CallError::Broken(_))), "{res:?}");
}

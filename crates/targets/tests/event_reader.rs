//! Events of an engine's stream are read correctly when chunk boundaries fall inside them, and a
//! stream that breaks off is an error.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dropshot::Body;
use http::request::Parts;
use http::{Request, Response};
use rstest::rstest;
use targets::{EventReader, ExchangeError, StreamEvent};
use web::client::{Connection, HttpClient};

/// Answers with the text in chunks of three bytes.
async fn serve(text: Arc<String>, _parts: Parts, _body: Bytes) -> Response<Body> {
    let chunks: Vec<std::io::Result<Bytes>> =
        text.as_bytes().chunks(3).map(|it| Ok(Bytes::copy_from_slice(it))).collect();
    Response::new(web::stream_body(futures::stream::iter(chunks)))
}

async fn read_all(text: &str) -> (Vec<StreamEvent>, Option<ExchangeError>) {
    let context = Arc::new(text.to_string());
    let loopback = ([127, 0, 0, 1], 0).into();
    let server = web::hyper_server::start(loopback, context, 1_024, serve).unwrap();
    let request = Request::get(format!("http://{}/", server.local_addr()));
    let request = request.body(Bytes::new().into()).unwrap();
    let client = HttpClient::new(Duration::from_secs(1));
    let timeout = Duration::from_secs(2);
    let answer = client.send_request(request, Connection::Fresh, timeout).await.unwrap();
    let mut reader = EventReader::new(answer.into_body(), 0);
    let mut events = Vec::new();
    loop {
        match reader.next(timeout).await {
            Ok(StreamEvent::End) => {
                events.push(StreamEvent::End);
                return (events, None);
            }
            Ok(event) => events.push(event),
            Err(error) => return (events, Some(error)),
        }
    }
}

fn piece(number: u64, data: &'static str) -> StreamEvent {
    StreamEvent::Piece { number, data: Bytes::from_static(data.as_bytes()) }
}

#[rstest]
#[case::numbered("id: 1\ndata: {\"a\":1}\n\nid: 2\ndata: {}\n\ndata: [DONE]\n\n", vec![piece(1, "{\"a\":1}"), piece(2, "{}"), StreamEvent::End])]
#[case::without_numbers("data: {\"a\":1}\n\ndata: {}\n\ndata: [DONE]\n\n", vec![piece(1, "{\"a\":1}"), piece(2, "{}"), StreamEvent::End])]
#[case::comments_and_other_fields(": hello\n\nevent: x\nid: 1\ndata: {}\n\ndata: [DONE]\n\n", vec![piece(1, "{}"), StreamEvent::End])]
#[case::usage_is_not_a_piece("id: 1\ndata: {}\n\ndata: {\"choices\":[],\"usage\":1}\n\ndata: [DONE]\n\n", vec![piece(1, "{}"), StreamEvent::Other(Bytes::from_static(b"{\"choices\":[],\"usage\":1}")), StreamEvent::End])]
#[case::carriage_returns("id: 1\r\ndata: {}\r\n\r\ndata: [DONE]\r\n\r\n", vec![piece(1, "{}"), StreamEvent::End])]
#[tokio::test]
async fn events_split_over_chunks_are_read(#[case] text: &str, #[case] expected: Vec<StreamEvent>) {
    assert_eq!(read_all(text).await, (expected, None));
}

#[rstest]
#[case::between_events("id: 1\ndata: {}\n\n")]
#[case::within_an_event("id: 1\ndata: {}\n\nid: 2\nda")]
#[case::before_the_last_line_end("id: 1\ndata: {}\n\ndata: [DONE]")]
#[tokio::test]
async fn a_stream_without_its_end_mark_is_broken(#[case] text: &str) {
    let (events, error) = read_all(text).await;
    assert_eq!(events, [piece(1, "{}")]);
    assert!(matches!(error, Some(ExchangeError::Broken(_))), "{error:?}");
}

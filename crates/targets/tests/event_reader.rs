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

/// The text of an answer and the size of its chunks.
struct ChunkedText {
    text: String,
    chunk_bytes: usize,
}

async fn serve(answer: Arc<ChunkedText>, _parts: Parts, _body: Bytes) -> Response<Body> {
    let chunks = answer.text.as_bytes().chunks(answer.chunk_bytes);
    let chunks: Vec<std::io::Result<Bytes>> =
        chunks.map(|it| Ok(Bytes::copy_from_slice(it))).collect();
    Response::new(web::stream_body(futures::stream::iter(chunks)))
}

/// Reads a text that arrives in chunks of three bytes.
async fn read_all(text: &str) -> (Vec<StreamEvent>, Option<ExchangeError>) {
    read_chunks(ChunkedText { text: text.into(), chunk_bytes: 3 }).await
}

async fn read_chunks(answer: ChunkedText) -> (Vec<StreamEvent>, Option<ExchangeError>) {
    let context = Arc::new(answer);
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

/// The limit is one of single events: many of them may arrive together, as after a pause of the reader.
#[tokio::test]
async fn many_events_in_one_chunk_are_read() {
    const EVENTS: usize = 20_000;
    let events: String = (1..=EVENTS).map(|it| format!("id: {it}\ndata: {{}}\n\n")).collect();
    let text = format!("{events}data: [DONE]\n\n");
    let chunk_bytes = text.len();
    let (events, error) = read_chunks(ChunkedText { text, chunk_bytes }).await;
    assert_eq!((events.len(), error), (EVENTS + 1, None));
}

//! Streams reach the caller complete, in order and without duplicates, or end with an explicit
//! error: under faults of engines and the network, with slow callers, and when callers leave.

mod fleet;

use std::time::{Duration, Instant};

use bytes::Bytes;
use fleet::{
    CallAnswer, Fleet, REACTION_LIMIT, WAIT_LIMIT, chat, expected_text, streamed_text, wait_until,
};
use http::{Request, StatusCode};
use http_body_util::BodyExt;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use serde_json::{Value, json};
use stand_ins::engine::{EngineConfig, EngineFaults};
use stand_ins::relay::RelayMode;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use web::client::Connection;

const CHAT: &str = "/v1/chat/completions";
/// Tokens of an answer; the engine sends one in each piece.
const PIECES: u64 = 12;

async fn start_fleet(engines: usize) -> Fleet {
    let settings = ["timeouts.next_token_ms=400", "timeouts.first_token_ms=1500"];
    let config =
        EngineConfig { token_interval: Duration::from_millis(10), ..EngineConfig::default() };
    Fleet::start_with(1, engines, config, &settings).await
}

/// Checks that the stream has the whole text, or an explicit error and no end mark. Returns whether
/// it is complete.
fn check_complete_or_error(answer: &CallAnswer, expected: &str) -> bool {
    match streamed_text(&answer.body) {
        Some(text) => {
            assert_eq!(text, expected);
            true
        }
        None => {
            let explicit = answer.status != StatusCode::OK || answer.body.contains("event: error");
            assert!(explicit, "the stream ended without an end mark or an error: {}", answer.body);
            assert!(!answer.body.contains("[DONE]"));
            false
        }
    }
}

/// Faults that occur once.
fn once(faults: EngineFaults) -> EngineFaults {
    EngineFaults { fault_count: 1, ..faults }
}

/// Faults that must not reach the caller while another replica is available, and the retry reason
/// that must be counted.
#[rstest]
#[case::none(EngineFaults::default(), "")]
#[case::cut_and_resumed(once(EngineFaults { cut_after: Some(5), ..Default::default() }), "stream_resumed")]
#[case::cut_before_the_first(once(EngineFaults { cut_after: Some(0), ..Default::default() }), "broke_early")]
#[case::cut_before_the_end_mark(once(EngineFaults { cut_after: Some(PIECES), ..Default::default() }), "stream_resumed")]
#[case::cut_and_replayed(once(EngineFaults { cut_after: Some(5), refuse_resume: true, ..Default::default() }), "stream_replayed")]
#[case::silent(once(EngineFaults { silent_after: Some(5), ..Default::default() }), "stream_resumed")]
#[case::silent_from_the_start(once(EngineFaults { silent_after: Some(0), ..Default::default() }), "first_byte_timeout")]
#[case::duplicate_pieces(EngineFaults { duplicate: true, ..Default::default() }, "")]
#[case::swapped_pieces(EngineFaults { swap: true, ..Default::default() }, "")]
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_is_complete_despite_faults(#[case] faults: EngineFaults, #[case] reason: &str) {
    let fleet = start_fleet(2).await;
    fleet.engines.iter().for_each(|it| it.context().set_faults(faults.clone()));
    let answer = fleet.call(0, CHAT, &[], &chat("whole?", PIECES, true)).await.unwrap();
    assert_eq!(answer.status, StatusCode::OK, "{}", answer.body);
    let text = streamed_text(&answer.body).unwrap_or_else(|| panic!("{}", answer.body));
    assert_eq!(text, expected_text("whole?", 1, PIECES));
    if !reason.is_empty() {
        let line = format!("kingcupshift_retries_total{{reason=\"{reason}\"}}");
        assert!(fleet.read_metric(0, &line).await >= 1.0, "{reason} was not counted");
    }
}

/// What happens to the engine or the network while a stream runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Event {
    Crash,
    NetworkCut,
    OldConnectionsSilent,
    NetworkSilent,
}

#[rstest]
#[case(Event::Crash, true)]
#[case(Event::NetworkCut, true)]
#[case(Event::OldConnectionsSilent, true)]
#[case(Event::NetworkSilent, true)]
#[case(Event::Crash, false)]
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_broken_midway_is_complete_or_ends_with_an_error(
    #[case] event: Event,
    #[case] is_repeatable: bool,
) {
    let fleet = start_fleet(2).await;
    let mut body = chat("midway", 60, true);
    if !is_repeatable {
        body["temperature"] = json!(0.7);
    }
    let inject_event = async {
        tokio::time::sleep(Duration::from_millis(250)).await;
        let busy = |it: &usize| fleet.engines[*it].context().stats().running > 0;
        let busy = (0..2).find(busy).expect("one engine runs the stream");
        match event {
            Event::Crash => fleet.engines[busy].context().crash(),
            Event::NetworkCut => fleet.engine_relays[busy].set_mode(RelayMode::Disconnect),
            Event::OldConnectionsSilent => {
                fleet.engine_relays[busy].set_mode(RelayMode::BlackholeExisting)
            }
            Event::NetworkSilent => fleet.engine_relays[busy].set_mode(RelayMode::BlackholeAll),
        }
    };
    let (answer, ()) = tokio::join!(fleet.call(0, CHAT, &[], &body), inject_event);
    let answer = answer.unwrap();
    let complete = check_complete_or_error(&answer, &expected_text("midway", 1, 60));
    assert_eq!(complete, is_repeatable, "{event:?}: {}", answer.body);
    if !is_repeatable {
        assert!(answer.body.contains("stream_cut"), "{}", answer.body);
        assert!(answer.body.contains(r#""run":"ran""#), "{}", answer.body);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_buffered_answer_is_never_partial() {
    let fleet = start_fleet(2).await;
    let body = chat("in one piece", 40, false);
    let inject_event = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        let busy = fleet.engines.iter().find(|it| it.context().stats().running > 0);
        busy.expect("one engine runs it").context().crash();
    };
    let (answer, ()) = tokio::join!(fleet.call(0, CHAT, &[], &body), inject_event);
    let answer = answer.unwrap();
    assert_eq!(answer.status, StatusCode::OK, "{}", answer.body);
    let text = answer.json()["choices"][0]["message"]["content"].clone();
    assert_eq!(text, json!(expected_text("in one piece", 1, 40)));
}

/// Opens a stream and returns its body.
async fn open_stream(fleet: &Fleet, body: &Value) -> hyper::body::Incoming {
    let address = fleet.daemons[0].caller_address;
    let request = Request::post(format!("http://{address}{CHAT}"))
        .header("authorization", format!("Bearer {}", fleet.key))
        .body(Bytes::from(body.to_string()).into())
        .unwrap();
    let fresh = Connection::Fresh;
    fleet.client.send_request(request, fresh, WAIT_LIMIT).await.unwrap().into_body()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_slow_caller_gets_the_complete_stream() {
    let fleet = start_fleet(1).await;
    let mut body = open_stream(&fleet, &chat("slow", 150, true)).await;
    let mut text = String::new();
    let mut count = 0;
    while let Some(frame) = body.frame().await {
        text.push_str(&String::from_utf8_lossy(frame.unwrap().data_ref().unwrap()));
        count += 1;
        if count < 20 {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
    assert_eq!(streamed_text(&text), Some(expected_text("slow", 1, 150)));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_disconnects_cancels_its_request_on_the_engine() {
    let fleet = start_fleet(1).await;
    let mut body = open_stream(&fleet, &chat("leaves", 2_000, true)).await;
    body.frame().await.unwrap().unwrap();
    let disconnected_at = Instant::now();
    drop(body);
    wait_until(REACTION_LIMIT, "the engine stopped", async || {
        let stats = fleet.engines[0].context().stats();
        stats.running == 0 && stats.cancelled == 1
    })
    .await;
    println!("cancelled within {:?}", disconnected_at.elapsed());
    assert!(fleet.read_metric(0, "kingcupshift_cancelled_total").await >= 1.0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_sends_too_slowly_is_refused() {
    let settings = ["timeouts.caller_body_ms=300"];
    let fleet = Fleet::start_with(1, 1, EngineConfig::default(), &settings).await;
    let mut stream = TcpStream::connect(fleet.daemons[0].caller_address).await.unwrap();
    let head = format!(
        "POST {CHAT} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {}\r\n\
         content-length: 100\r\n\r\n{{",
        fleet.key
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut answer = vec![0; 1_024];
    let count =
        tokio::time::timeout(REACTION_LIMIT, stream.read(&mut answer)).await.unwrap().unwrap();
    let answer = String::from_utf8_lossy(&answer[..count]).into_owned();
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(answer.contains("caller_timeout"), "{answer}");
}

/// Sets and clears faults of random engines while the streams run.
#[rstest]
#[case(1)]
#[case(2)]
#[tokio::test(flavor = "multi_thread")]
async fn every_stream_is_complete_or_ends_with_an_error_under_random_faults(#[case] seed: u64) {
    println!("seed {seed}");
    let fleet = start_fleet(3).await;
    let inject_faults = async {
        let mut random = StdRng::seed_from_u64(seed);
        for _ in 0..25 {
            tokio::time::sleep(Duration::from_millis(100)).await;
            let index = random.random_range(0..3);
            let engine = fleet.engines[index].context();
            let after = Some(random.random_range(0..12));
            match random.random_range(0..6) {
                0 => engine.crash(),
                1 => {
                    engine.set_faults(once(EngineFaults { cut_after: after, ..Default::default() }))
                }
                2 => engine.set_faults(EngineFaults { swap: true, ..Default::default() }),
                3 => engine
                    .set_faults(once(EngineFaults { silent_after: after, ..Default::default() })),
                4 => fleet.engine_relays[index].set_mode(RelayMode::BlackholeExisting),
                _ => fleet.engine_relays[index].set_mode(RelayMode::Forward),
            }
        }
    };
    let requests = (0..150).map(|number| {
        let fleet = &fleet;
        async move {
            tokio::time::sleep(Duration::from_millis(number * 15)).await;
            let question = format!("question {number}");
            let body = chat(&question, PIECES, true);
            let answer = fleet.call(0, CHAT, &[], &body).await.unwrap();
            check_complete_or_error(&answer, &expected_text(&question, 1, PIECES))
        }
    });
    let (results, ()) = tokio::join!(futures::future::join_all(requests), inject_faults);
    let complete = results.iter().filter(|it| **it).count();
    println!("{complete} of 150 streams complete, the others ended with an explicit error");
    assert!(complete >= 100, "only {complete} of 150 streams were complete (seed {seed})");
}

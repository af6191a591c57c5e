//! Streams arrive complete, in order, once; or they end by an explicit error.

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
const PIECES: u64 = 12;

async fn fleet(engines: usize) -> Fleet {
    let settings = ["timeouts.next_token_ms=400", "timeouts.first_token_ms=1500"];
    let config =
        EngineConfig { token_interval: Duration::from_millis(10), ..EngineConfig::default() };
    Fleet::start_with(1, engines, config, &settings).await
}

/// The whole text, or an explicit error and no end mark.
fn check_whole_or_error(answer: &CallAnswer, expected: &str) -> bool {
    match streamed_text(&answer.body) {
        Some(text) => {
            assert_eq!(text, expected);
            true
        }
        None => {
            let explicit = answer.status != StatusCode::OK || answer.body.contains("event: error");
            assert!(explicit, "a silent end: {}", answer.body);
            assert!(!answer.body.contains("[DONE]"));
            false
        }
    }
}

fn faults(faults: EngineFaults) -> EngineFaults {
    EngineFaults { fault_count: 1, ..faults }
}

/// Faults that must be mended, with a replica beside to go to, and the retry reason counted.
#[rstest]
#[case::none(EngineFaults::default(), "")]
#[case::cut_and_resumed(faults(EngineFaults { cut_after: Some(5), ..Default::default() }), "stream_resumed")]
#[case::cut_before_the_first(faults(EngineFaults { cut_after: Some(0), ..Default::default() }), "broke_early")]
#[case::cut_before_the_end_mark(faults(EngineFaults { cut_after: Some(PIECES), ..Default::default() }), "stream_resumed")]
#[case::cut_and_replayed(faults(EngineFaults { cut_after: Some(5), refuse_resume: true, ..Default::default() }), "stream_replayed")]
#[case::silent(faults(EngineFaults { silent_after: Some(5), ..Default::default() }), "stream_resumed")]
#[case::silent_from_the_start(faults(EngineFaults { silent_after: Some(0), ..Default::default() }), "first_byte_timeout")]
#[case::duplicate_pieces(EngineFaults { duplicate: true, ..Default::default() }, "")]
#[case::swapped_pieces(EngineFaults { swap: true, ..Default::default() }, "")]
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_is_whole_in_spite_of(#[case] faults: EngineFaults, #[case] reason: &str) {
    let fleet = fleet(2).await;
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
async fn a_stream_broken_midway_is_whole_or_an_error(#[case] event: Event, #[case] repeats: bool) {
    let fleet = fleet(2).await;
    let mut body = chat("midway", 60, true);
    if !repeats {
        body["temperature"] = json!(0.7);
    }
    let strike = async {
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
    let (answer, ()) = tokio::join!(fleet.call(0, CHAT, &[], &body), strike);
    let answer = answer.unwrap();
    let whole = check_whole_or_error(&answer, &expected_text("midway", 1, 60));
    assert_eq!(whole, repeats, "{event:?}: {}", answer.body);
    if !repeats {
        assert!(answer.body.contains("stream_cut"), "{}", answer.body);
        assert!(answer.body.contains(r#""run":"ran""#), "{}", answer.body);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_whole_answer_is_never_a_part() {
    let fleet = fleet(2).await;
    let body = chat("in one piece", 40, false);
    let strike = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        let busy = fleet.engines.iter().find(|it| it.context().stats().running > 0);
        busy.expect("one engine runs it").context().crash();
    };
    let (answer, ()) = tokio::join!(fleet.call(0, CHAT, &[], &body), strike);
    let answer = answer.unwrap();
    assert_eq!(answer.status, StatusCode::OK, "{}", answer.body);
    let text = answer.json()["choices"][0]["message"]["content"].clone();
    assert_eq!(text, json!(expected_text("in one piece", 1, 40)));
}

/// Opens a stream and hands back its body.
async fn open(fleet: &Fleet, body: &Value) -> hyper::body::Incoming {
    let address = fleet.daemons[0].caller_address;
    let request = Request::post(format!("http://{address}{CHAT}"))
        .header("authorization", format!("Bearer {}", fleet.key))
        .body(Bytes::from(body.to_string()).into())
        .unwrap();
    let fresh = Connection::Fresh;
    fleet.client.send_request(request, fresh, WAIT_LIMIT).await.unwrap().into_body()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_slow_caller_gets_the_whole_stream() {
    let fleet = fleet(1).await;
    let mut body = open(&fleet, &chat("slow", 150, true)).await;
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
async fn a_caller_that_leaves_cancels_the_engines_work() {
    let fleet = fleet(1).await;
    let mut body = open(&fleet, &chat("leaves", 2_000, true)).await;
    body.frame().await.unwrap().unwrap();
    let began = Instant::now();
    drop(body);
    wait_until(REACTION_LIMIT, "the engine stopped", async || {
        let stats = fleet.engines[0].context().stats();
        stats.running == 0 && stats.cancelled == 1
    })
    .await;
    println!("cancelled within {:?}", began.elapsed());
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

/// Streams under faults that come and go at random.
#[rstest]
#[case(1)]
#[case(2)]
#[tokio::test(flavor = "multi_thread")]
async fn every_stream_is_whole_or_an_error_under_random_faults(#[case] seed: u64) {
    println!("seed {seed}");
    let fleet = fleet(3).await;
    let trouble = async {
        let mut random = StdRng::seed_from_u64(seed);
        for _ in 0..25 {
            tokio::time::sleep(Duration::from_millis(100)).await;
            let at = random.random_range(0..3);
            let engine = fleet.engines[at].context();
            let after = Some(random.random_range(0..12));
            match random.random_range(0..6) {
                0 => engine.crash(),
                1 => engine
                    .set_faults(faults(EngineFaults { cut_after: after, ..Default::default() })),
                2 => engine.set_faults(EngineFaults { swap: true, ..Default::default() }),
                3 => engine
                    .set_faults(faults(EngineFaults { silent_after: after, ..Default::default() })),
                4 => fleet.engine_relays[at].set_mode(RelayMode::BlackholeExisting),
                _ => fleet.engine_relays[at].set_mode(RelayMode::Forward),
            }
        }
    };
    let asks = (0..150).map(|number| {
        let fleet = &fleet;
        async move {
            tokio::time::sleep(Duration::from_millis(number * 15)).await;
            let question = format!("question {number}");
            let body = chat(&question, PIECES, true);
            let answer = fleet.call(0, CHAT, &[], &body).await.unwrap();
            check_whole_or_error(&answer, &expected_text(&question, 1, PIECES))
        }
    });
    let (results, ()) = tokio::join!(futures::future::join_all(asks), trouble);
    let whole = results.iter().filter(|it| **it).count();
    println!("{whole} of 150 streams whole, the others ended by an explicit error");
    assert!(whole >= 100, "only {whole} of 150 streams were whole (seed {seed})");
}

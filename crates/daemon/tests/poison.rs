//! A request that crashes every replica it runs on (a poison request) is quarantined after few
//! crashes, and the requests that run beside it still get their answers.

mod fleet;

use std::time::Duration;

use fleet::{Fleet, chat, expected_text, streamed_text};
use http::StatusCode;
use stand_ins::engine::{EngineConfig, EngineFaults};

const CHAT: &str = "/v1/chat/completions";
/// The prompt that crashes an engine.
const POISON: &str = "the request that kills";
const DAEMONS: usize = 3;
const ENGINES: usize = 6;

async fn start_fleet() -> Fleet {
    let config =
        EngineConfig { token_interval: Duration::from_millis(5), ..EngineConfig::default() };
    let fleet = Fleet::start_with(DAEMONS, ENGINES, config, &[]).await;
    let faults = EngineFaults { crash_on: Some(POISON.into()), ..EngineFaults::default() };
    fleet.engines.iter().for_each(|it| it.context().set_faults(faults.clone()));
    // By then the daemons have probed every engine and know its incarnation.
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    fleet
}

fn count_crashes(fleet: &Fleet) -> u64 {
    fleet.engines.iter().map(|it| it.context().stats().crashes).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_poison_request_sent_again_to_every_daemon_crashes_two_replicas() {
    let fleet = start_fleet().await;
    for round in 0..9 {
        let answer = fleet.call(round % DAEMONS, CHAT, &[], &chat(POISON, 4, true)).await.unwrap();
        assert_ne!(answer.status, StatusCode::OK);
        if round > 0 {
            assert_eq!(answer.error_kind(), "quarantined", "{}", answer.body);
            assert_eq!(answer.run_state(), "not_run", "the repeated request ran");
        }
    }
    assert_eq!(count_crashes(&fleet), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_copies_crash_at_most_one_replica_more_than_there_are_copies() {
    let fleet = start_fleet().await;
    let body = chat(POISON, 4, true);
    let sends = (0..DAEMONS).map(|it| fleet.call(it, CHAT, &[], &body));
    for answer in futures::future::join_all(sends).await {
        assert_ne!(answer.unwrap().status, StatusCode::OK);
    }
    for daemon in 0..DAEMONS {
        let answer = fleet.call(daemon, CHAT, &[], &body).await.unwrap();
        assert_eq!(answer.error_kind(), "quarantined", "{}", answer.body);
    }
    let crashes = count_crashes(&fleet);
    println!("{crashes} crashes for {DAEMONS} concurrent copies");
    assert!(crashes <= DAEMONS as u64 + 1, "{crashes} crashes");
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_beside_a_poison_request_get_their_answers() {
    let fleet = start_fleet().await;
    let unrelated = (0..90).map(|number| {
        let fleet = &fleet;
        async move {
            tokio::time::sleep(Duration::from_millis(number * 10)).await;
            let question = format!("innocent {number}");
            let body = chat(&question, 30, true);
            let answer = fleet.call(number as usize % DAEMONS, CHAT, &[], &body).await.unwrap();
            let text = streamed_text(&answer.body);
            assert_eq!(text, Some(expected_text(&question, 1, 30)), "{}", answer.body);
        }
    });
    let poison = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        for round in 0..6 {
            let _ = fleet.call(round % DAEMONS, CHAT, &[], &chat(POISON, 4, true)).await;
        }
    };
    tokio::join!(futures::future::join_all(unrelated), poison);
    assert_eq!(count_crashes(&fleet), 2);
    // None of them stays suspect.
    for number in 0..90 {
        let body = chat(&format!("innocent {number}"), 1, true);
        let answer = fleet.call(0, CHAT, &[], &body).await.unwrap();
        assert_eq!(answer.status, StatusCode::OK, "{}", answer.body);
    }
}

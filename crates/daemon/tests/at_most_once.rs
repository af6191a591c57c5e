//! A call that is not repeatable runs at most once, and a call reported as `not_run` did not run:
//! under faults of the table, the target and the network, and when daemons are killed.

mod fleet;

use std::time::Duration;

use fleet::{CallAnswer, Fleet, WAIT_LIMIT, wait_until};
use http::StatusCode;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use rustix::process::Signal;
use serde_json::{Value, json};
use stand_ins::engine::EngineConfig;
use stand_ins::platform::{PlatformFault, PlatformService};
use stand_ins::relay::RelayMode;
use stand_ins::service::ServiceFaults;
use web::client::CallError;

/// What fails while an order is sent for the first time.
#[derive(Debug, Clone, Copy)]
enum Fault {
    None,
    TableDown,
    ClaimAnswerLost,
    TableSilent,
    TargetDropsAnswer,
    TargetLate,
    TargetRefusesConnection,
    NetworkSilent,
    OldConnectionsSilent,
    NetworkCutMidway,
    WrongRequestId,
}

async fn start_fleet(daemons: usize) -> Fleet {
    let settings = ["timeouts.service_ms=1200", "platform.deadline_ms=800"];
    Fleet::start_with(daemons, 0, EngineConfig::default(), &settings).await
}

async fn send_order(
    fleet: &Fleet,
    daemon: usize,
    key: &str,
    body: &Value,
) -> Result<CallAnswer, CallError> {
    fleet.call(daemon, "/orders", &[("idempotency-key", key)], body).await
}

fn inject_fault(fleet: &Fleet, fault: Fault) {
    let service = fleet.service.context();
    match fault {
        Fault::None => {}
        Fault::TableDown => fleet.set_platform_fault(PlatformService::Table, PlatformFault::Down),
        Fault::ClaimAnswerLost => {
            fleet.set_platform_fault(
                PlatformService::Table,
                PlatformFault::LoseAnswers { calls: 1 },
            );
        }
        Fault::TableSilent => {
            fleet.set_platform_fault(PlatformService::Table, PlatformFault::Silent)
        }
        Fault::TargetDropsAnswer => {
            service.set_faults(ServiceFaults { drop_answers: 1, ..ServiceFaults::default() });
        }
        Fault::TargetLate => {
            service.set_faults(ServiceFaults { delay_after_ms: 2_000, ..Default::default() });
        }
        Fault::TargetRefusesConnection => fleet.service_relay.set_mode(RelayMode::Disconnect),
        Fault::NetworkSilent => fleet.service_relay.set_mode(RelayMode::BlackholeAll),
        Fault::OldConnectionsSilent => fleet.service_relay.set_mode(RelayMode::BlackholeExisting),
        Fault::NetworkCutMidway => {
            service.set_faults(ServiceFaults { delay_after_ms: 400, ..Default::default() });
        }
        Fault::WrongRequestId => {
            service.set_faults(ServiceFaults { cross_answers: 1, ..ServiceFaults::default() });
        }
    }
}

fn clear_faults(fleet: &Fleet) {
    fleet.set_platform_fault(PlatformService::Table, PlatformFault::Healthy);
    fleet.service.context().set_faults(ServiceFaults::default());
    fleet.service_relay.set_mode(RelayMode::Forward);
}

/// Checks that the order ran at most once, and as the answer reports it.
fn check_reported_run(fleet: &Fleet, order: &Value, answer: &CallAnswer) {
    let count = fleet.service.context().count_executions(&order.to_string());
    assert!(count <= 1, "the order ran {count} times: {answer:?}");
    if answer.status == StatusCode::OK {
        assert_eq!(count, 1, "the order was answered but did not run: {answer:?}");
    }
    if answer.run_state() == "not_run" {
        assert_eq!(count, 0, "the order was reported as not run, but ran: {answer:?}");
    }
}

#[rstest]
#[case(Fault::None)]
#[case(Fault::TableDown)]
#[case(Fault::ClaimAnswerLost)]
#[case(Fault::TableSilent)]
#[case(Fault::TargetDropsAnswer)]
#[case(Fault::TargetLate)]
#[case(Fault::TargetRefusesConnection)]
#[case(Fault::NetworkSilent)]
#[case(Fault::OldConnectionsSilent)]
#[case(Fault::NetworkCutMidway)]
#[case(Fault::WrongRequestId)]
#[tokio::test(flavor = "multi_thread")]
async fn an_order_resent_to_another_daemon_runs_once(#[case] fault: Fault) {
    let fleet = start_fleet(2).await;
    let warm = send_order(&fleet, 0, "warm", &json!({ "order": "warm" })).await.unwrap();
    assert_eq!(warm.status, StatusCode::OK, "{}", warm.body);
    let body = json!({ "order": "40 reams" });
    inject_fault(&fleet, fault);
    let first = async {
        let answer = send_order(&fleet, 0, "k1", &body).await.expect("the daemon answers");
        check_reported_run(&fleet, &body, &answer);
        answer
    };
    let cut = async {
        if matches!(fault, Fault::NetworkCutMidway) {
            tokio::time::sleep(Duration::from_millis(200)).await;
            fleet.service_relay.set_mode(RelayMode::Disconnect);
        }
    };
    let (first, ()) = tokio::join!(first, cut);
    clear_faults(&fleet);
    // Wait until the target has finished late work.
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    let second = send_order(&fleet, 1, "k1", &body).await.expect("the daemon answers");
    check_reported_run(&fleet, &body, &second);
    if matches!(fault, Fault::None | Fault::ClaimAnswerLost | Fault::OldConnectionsSilent) {
        assert_eq!(first.status, StatusCode::OK, "{}", first.body);
        assert_eq!(second.headers["idempotency-replayed"], "true");
    }
    if first.run_state() == "not_run" {
        assert_eq!(
            second.status,
            StatusCode::OK,
            "the order had not run, so it must run now: {}",
            second.body
        );
    }
}

#[rstest]
#[case::while_it_runs(ServiceFaults { delay_before_ms: 700, ..Default::default() })]
#[case::before_its_answer(ServiceFaults { delay_after_ms: 700, ..Default::default() })]
#[tokio::test(flavor = "multi_thread")]
async fn an_order_whose_daemon_is_killed_is_never_run_again(#[case] faults: ServiceFaults) {
    let mut fleet = start_fleet(2).await;
    fleet.service.context().set_faults(faults);
    let body = json!({ "order": "kill" });
    let sent = fleet.spawn_order(0, "k1", &body);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let busy = send_order(&fleet, 1, "k1", &body).await.unwrap();
    assert_eq!((busy.error_kind(), busy.run_state()), ("claim_busy".into(), "maybe_run".into()));
    fleet.daemons[0].kill();
    assert!(sent.await.unwrap().is_err(), "the killed daemon cannot have answered");
    let resent = send_order(&fleet, 1, "k1", &body).await.unwrap();
    assert_eq!(
        (resent.error_kind(), resent.run_state()),
        ("outcome_unknown".into(), "maybe_run".into())
    );
    // A successor under the same instance id does not know the attempt either.
    fleet.restart(0);
    fleet.wait_ready(0).await;
    wait_until(WAIT_LIMIT, "the successor reports the outcome as unknown", async || {
        send_order(&fleet, 0, "k1", &body)
            .await
            .is_ok_and(|it| it.error_kind() == "outcome_unknown")
    })
    .await;
    tokio::time::sleep(Duration::from_millis(700)).await;
    assert!(fleet.service.context().count_executions(&body.to_string()) <= 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_whose_daemon_is_suspended_is_never_run_again() {
    let fleet = start_fleet(2).await;
    fleet
        .service
        .context()
        .set_faults(ServiceFaults { delay_before_ms: 300, ..Default::default() });
    let body = json!({ "order": "freeze" });
    let (first, second) = tokio::join!(send_order(&fleet, 0, "k1", &body), async {
        tokio::time::sleep(Duration::from_millis(150)).await;
        fleet.daemons[0].signal(Signal::STOP);
        let answer = send_order(&fleet, 1, "k1", &body).await.unwrap();
        fleet.daemons[0].signal(Signal::CONT);
        answer
    });
    assert_eq!(second.error_kind(), "outcome_unknown");
    assert_eq!(first.unwrap().status, StatusCode::OK);
    let replayed = send_order(&fleet, 1, "k1", &body).await.unwrap();
    assert_eq!(replayed.headers["idempotency-replayed"], "true");
    assert_eq!(fleet.service.context().count_executions(&body.to_string()), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_sent_to_all_daemons_at_once_runs_once() {
    let fleet = start_fleet(3).await;
    fleet.service.context().set_faults(ServiceFaults { delay_before_ms: 50, ..Default::default() });
    for round in 0..10 {
        let body = json!({ "order": round });
        let key = format!("k{round}");
        let sends = (0..9).map(|it| send_order(&fleet, it % 3, &key, &body));
        let answers = futures::future::join_all(sends).await;
        let ok_count = answers.iter().flatten().filter(|it| it.status == StatusCode::OK).count();
        assert!(ok_count >= 1, "{answers:?}");
        assert_eq!(fleet.service.context().count_executions(&body.to_string()), 1);
        for answer in answers.iter().flatten() {
            assert_ne!(answer.run_state(), "not_run", "the order ran: {answer:?}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn without_a_key_a_call_is_sent_once() {
    let fleet = start_fleet(1).await;
    let body = json!({ "order": "no key" });
    fleet.service.context().set_faults(ServiceFaults { drop_answers: 1, ..Default::default() });
    let answer = fleet.call(0, "/orders", &[], &body).await.unwrap();
    assert_eq!(
        (answer.error_kind(), answer.run_state()),
        ("target_failed".into(), "maybe_run".into())
    );
    assert_eq!(fleet.service.context().count_executions(&body.to_string()), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_reused_for_another_order_is_refused() {
    let fleet = start_fleet(1).await;
    send_order(&fleet, 0, "k1", &json!({ "order": 1 })).await.unwrap();
    let other = send_order(&fleet, 0, "k1", &json!({ "order": 2 })).await.unwrap();
    assert_eq!(
        (other.error_kind(), other.run_state()),
        ("claim_mismatch".into(), "not_run".into())
    );
}

/// Sends each order three times to random daemons, under random faults and restarts.
#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
#[tokio::test(flavor = "multi_thread")]
async fn no_order_runs_twice_under_random_faults(#[case] seed: u64) {
    println!("seed {seed}");
    let mut random = StdRng::seed_from_u64(seed);
    let mut fleet = start_fleet(3).await;
    let faults = [
        Fault::None,
        Fault::TableDown,
        Fault::ClaimAnswerLost,
        Fault::TargetDropsAnswer,
        Fault::TargetLate,
        Fault::TargetRefusesConnection,
        Fault::NetworkSilent,
        Fault::OldConnectionsSilent,
        Fault::WrongRequestId,
    ];
    for number in 0..12 {
        let body = json!({ "order": number });
        let key = format!("k{number}");
        let mut not_run_only = true;
        for _ in 0..3 {
            inject_fault(&fleet, faults[random.random_range(0..faults.len())]);
            let daemon = random.random_range(0..3);
            if let Ok(answer) = send_order(&fleet, daemon, &key, &body).await {
                check_reported_run(&fleet, &body, &answer);
                not_run_only &= answer.run_state() == "not_run";
            } else {
                not_run_only = false;
            }
            clear_faults(&fleet);
            if random.random_bool(0.15) {
                let victim = random.random_range(0..3);
                fleet.restart(victim);
                fleet.wait_ready(victim).await;
            }
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
        let count = fleet.service.context().count_executions(&body.to_string());
        assert!(count <= 1, "order {number} ran {count} times (seed {seed})");
        assert!(
            !not_run_only || count == 0,
            "order {number} ran, but was reported as not run (seed {seed})"
        );
    }
}

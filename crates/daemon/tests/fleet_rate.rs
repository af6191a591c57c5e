//! Over all daemons together, no customer gets more calls than its rate and burst allow, also when
//! a holder of its rate shares fails.

mod fleet;

use std::sync::Arc;
use std::time::{Duration, Instant};

use fleet::Fleet;
use http::StatusCode;
use rstest::rstest;
use rustix::process::Signal;
use serde_json::{Value, json};
use stand_ins::engine::EngineConfig;
use stand_ins::platform::{PlatformFault, PlatformService};
use tokio::sync::Mutex;

/// The rate of the customer under test, in tokens a second.
const RATE: u64 = 400;
/// Its burst, in tokens.
const BURST: u64 = 800;
/// The cost of one call, in tokens.
const COST: u64 = 10;
const DAEMONS: usize = 4;

/// What happens while the customer sends; the holder is a daemon with a share of its rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Event {
    Nothing,
    HolderKilled,
    HolderRestarted,
    HolderSuspended,
    TableDown,
    TableLosesAnswers,
}

/// When an admitted call was sent and answered; its tokens were taken in between.
type AdmittedCall = (Duration, Duration);

async fn start_fleet() -> Fleet {
    let settings = ["timeouts.rate_wait_ms=50", "platform.poll_ms=500"];
    Fleet::start_with(DAEMONS, 0, EngineConfig::default(), &settings).await
}

/// Sends calls of a customer for `time`, `pace` apart, to daemons picked by `pick` from the call's
/// number. Returns the admitted calls, and how many were refused for the rate and sent.
async fn send_for(
    fleet: &Fleet,
    key: &str,
    time: Duration,
    pace: Duration,
    pick: impl Fn(usize) -> usize,
) -> (Vec<AdmittedCall>, usize, usize) {
    let started_at = Instant::now();
    let results = Arc::new(Mutex::new((Vec::new(), 0_usize)));
    let mut calls = tokio::task::JoinSet::new();
    let mut sent = 0;
    while started_at.elapsed() < time {
        let address = fleet.daemons[pick(sent)].caller_address;
        let (client, results) = (fleet.client.clone(), results.clone());
        let token = format!("Bearer {key}");
        sent += 1;
        calls.spawn(async move {
            let request = http::Request::post(format!("http://{address}/orders"))
                .header("authorization", token)
                .body(bytes::Bytes::from_static(b"{}").into())
                .unwrap();
            let before = started_at.elapsed();
            let pooled = web::client::Connection::Pooled;
            let time = Duration::from_secs(5);
            let answer = client.call(request, pooled, time, 1 << 20).await;
            let mut results = results.lock().await;
            match answer {
                Ok(it) if it.status() == StatusCode::OK => {
                    results.0.push((before, started_at.elapsed()));
                }
                Ok(it) if it.status() == StatusCode::TOO_MANY_REQUESTS => results.1 += 1,
                _ => {}
            }
        });
        tokio::time::sleep(pace).await;
    }
    while calls.join_next().await.is_some() {}
    let results = Arc::into_inner(results).unwrap().into_inner();
    (results.0, results.1, sent)
}

/// The greatest number of tokens above `BURST + RATE * time`, over all windows from the sending of
/// one call to the answer of another; such a window certainly contains its calls.
fn max_excess_tokens(admitted: &[AdmittedCall]) -> f64 {
    let mut worst = f64::MIN;
    for (from, _) in admitted {
        let mut ends: Vec<Duration> =
            admitted.iter().filter(|it| it.0 >= *from).map(|it| it.1).collect();
        ends.sort();
        for (count, end) in ends.iter().enumerate() {
            let tokens = (count as u64 + 1) * COST;
            let allowed = BURST as f64 + RATE as f64 * (*end - *from).as_secs_f64();
            worst = worst.max(tokens as f64 - allowed);
        }
    }
    worst
}

/// The index of a daemon that holds a share of the customer's rate.
fn find_holder(fleet: &Fleet, customer: &str) -> usize {
    let row = fleet.platform.app_private().row("rate/parts").unwrap();
    let row: Value = serde_json::from_str(&row).unwrap();
    let holder = row["parts"][customer][0]["holder"].as_str().unwrap().to_string();
    fleet.daemons.iter().position(|it| it.id == holder).unwrap()
}

async fn inject_event(fleet: &mut Fleet, event: Event, at: usize) {
    match event {
        Event::Nothing => {}
        Event::HolderKilled => fleet.daemons[at].kill(),
        Event::HolderRestarted => fleet.restart(at),
        Event::HolderSuspended => fleet.daemons[at].signal(Signal::STOP),
        Event::TableDown => fleet.set_platform_fault(PlatformService::Table, PlatformFault::Down),
        Event::TableLosesAnswers => {
            let fault = PlatformFault::LoseAnswers { calls: 20 };
            fleet.set_platform_fault(PlatformService::Table, fault);
        }
    }
}

#[rstest]
#[case(Event::Nothing)]
#[case(Event::HolderKilled)]
#[case(Event::HolderRestarted)]
#[case(Event::HolderSuspended)]
#[case(Event::TableDown)]
#[case(Event::TableLosesAnswers)]
#[tokio::test(flavor = "multi_thread")]
async fn a_customer_sending_five_times_its_rate_is_limited(#[case] event: Event) {
    let mut fleet = start_fleet().await;
    // A call costs 10 tokens, so that it is no smaller than the unit in which shares are counted.
    fleet
        .submit_change(json!([{ "put_route": {
            "id": "orders", "kind": "service", "prefix": "/orders", "pool": "ordering",
            "cost": COST,
        } }]))
        .await;
    let key = fleet.add_customer("greedy", RATE, BURST).await;
    fleet.wait_until_synced().await;
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    let holder = find_holder(&fleet, "greedy");
    // Five times the rate: 200 calls a second of 10 tokens each. Every fourth call goes to any
    // daemon, the rest to one.
    let pace = Duration::from_millis(5);
    let skewed = |it: usize| if it.is_multiple_of(4) { it / 4 % DAEMONS } else { 1 };
    let mut admitted = Vec::new();
    let started_at = Instant::now();
    let mut send = async |fleet: &Fleet, time| {
        let offset = started_at.elapsed();
        let (calls, ..) = send_for(fleet, &key, time, pace, skewed).await;
        admitted.extend(calls.iter().map(|it| (it.0 + offset, it.1 + offset)));
    };
    send(&fleet, Duration::from_secs(2)).await;
    inject_event(&mut fleet, event, holder).await;
    // Longer than the platform and the other daemons wait before they take over the share of a
    // suspended one.
    let seconds = if event == Event::HolderSuspended { 30 } else { 6 };
    send(&fleet, Duration::from_secs(seconds)).await;
    if event == Event::HolderSuspended {
        fleet.daemons[holder].signal(Signal::CONT);
    }
    fleet.set_platform_fault(PlatformService::Table, PlatformFault::Healthy);
    send(&fleet, Duration::from_secs(3)).await;
    let excess = max_excess_tokens(&admitted);
    println!("{event:?}: {} calls admitted, excess of {excess:.0} tokens", admitted.len());
    assert!(excess <= 0.0, "{excess} tokens above the rate and burst");
    assert!(admitted.len() > 40, "only {} calls were admitted", admitted.len());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_customer_within_its_rate_is_not_refused() {
    let fleet = start_fleet().await;
    fleet
        .submit_change(json!([{ "put_route": {
            "id": "orders", "kind": "service", "prefix": "/orders", "pool": "ordering",
            "cost": COST,
        } }]))
        .await;
    let key = fleet.add_customer("modest", RATE, BURST).await;
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    // 32 calls a second of 10 tokens: 80% of the rate, three in four through one daemon.
    let pace = Duration::from_micros(31_250);
    let skewed = |it: usize| if it.is_multiple_of(4) { it / 4 % DAEMONS } else { 1 };
    let (admitted, refused, sent) =
        send_for(&fleet, &key, Duration::from_secs(8), pace, skewed).await;
    println!("within its rate: {} of {sent} admitted, {refused} refused", admitted.len());
    // The objective is under 0.1% refused, which of these few calls is none.
    assert_eq!((admitted.len(), refused), (sent, 0));
}

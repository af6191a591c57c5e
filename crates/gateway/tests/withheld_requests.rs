//! Requests that were placed on a replica are not sent any more once it has said that it takes none.

mod fixtures;

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use fixtures::entry;
use gateway::connections::{ConnectionTable, SendError};
use gateway::fleet::FleetTable;
use gateway::notice_table::AnswerNotice;
use gateway::peer_message::ColdReport;
use gateway::placement::{PlacedTarget, PlacementQuery, ReleaseFilter};
use http::Request;
use http_body_util::Full;
use policy::admission::WithholdReason;
use policy::cold_pace::{ColdEvidence, ColdRule};
use policy::home_areas::HomeAreas;
use policy::rendezvous;
use ports::Clock;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use web::client::Connection;

const NOW: Duration = Duration::from_secs(30);
const HOLD_OFF: Duration = Duration::from_secs(2);
const LEAVING: AnswerNotice = AnswerNotice { leaving: true, hold_off: None };
const WANTS_NONE: AnswerNotice = AnswerNotice { leaving: false, hold_off: Some(HOLD_OFF) };
const TIMEOUT: Duration = Duration::from_secs(5);
/// The time in which a request that was written arrives.
const SETTLE_TIME: Duration = Duration::from_millis(100);

fn fleet_of_one() -> FleetTable {
    let mut fleet = FleetTable::new("a".parse().expect("an id"), fixtures::TIMEOUTS);
    fleet.apply_listing(Duration::ZERO, &[entry("r-1", false)]);
    fleet
}

fn place(fleet: &mut FleetTable, now: Duration) -> Option<PlacedTarget> {
    let pool = "desk".parse().expect("an id");
    let releases = ReleaseFilter::Any;
    let query = PlacementQuery {
        pool: &pool,
        releases,
        excluded_targets: &[],
        model: None,
        min_weights: 0,
        areas: &HomeAreas::Everywhere,
        home_store: None,
    };
    fleet.place_plain(now, query)
}

#[rstest]
#[case::leaving(LEAVING, WithholdReason::Leaving)]
#[case::hold_off(WANTS_NONE, WithholdReason::HeldOff)]
fn a_notice_withholds_placed_requests(
    #[case] notice: AnswerNotice,
    #[case] reason: WithholdReason,
    #[values(true, false)] stays_listed: bool,
) {
    let mut fleet = fleet_of_one();
    let placed = place(&mut fleet, NOW).expect("it is open");
    assert_eq!(fleet.admit_placed(NOW, &placed), Ok(()));
    if !stays_listed {
        fleet.apply_listing(Duration::ZERO, &[]);
    }
    fleet.record_notice(NOW, &placed.id, 1, notice);
    assert_eq!(fleet.admit_placed(NOW, &placed), Err(reason));
}

/// Guards against requests that wait for a token or a connection while their zone is evacuated.
#[rstest]
fn an_evacuation_withholds_placed_requests_until_it_ends(#[values(true, false)] is_listed: bool) {
    let mut fleet = fleet_of_one();
    let placed = place(&mut fleet, NOW).expect("it is open");
    if !is_listed {
        fleet.apply_listing(Duration::ZERO, &[]);
    }
    fleet.set_evacuated(&["b".parse().expect("an id")]);
    assert_eq!(fleet.admit_placed(NOW, &placed), Ok(()));
    fleet.set_evacuated(&["a".parse().expect("an id")]);
    assert_eq!(fleet.admit_placed(NOW, &placed), Err(WithholdReason::Evacuated));
    fleet.apply_listing(Duration::ZERO, &[entry("r-1", false), entry("r-2", false)]);
    assert!(place(&mut fleet, NOW).is_none(), "also a replica that is listed later is evacuated");
    fleet.set_evacuated(&[]);
    assert_eq!(fleet.admit_placed(NOW, &placed), Ok(()));
    assert!(place(&mut fleet, NOW).is_some());
}

/// Guards against a warning of an unknown zone with each reading, or before replicas are known.
#[test]
fn an_evacuated_domain_without_replicas_is_found_once() {
    let mut fleet = FleetTable::new("a".parse().expect("an id"), fixtures::TIMEOUTS);
    let domains = ["a", "x"].map(|it| it.parse().expect("an id"));
    assert_eq!(fleet.set_evacuated(&domains).begun, domains);
    assert_eq!(fleet.take_empty_evacuated(), []);
    fleet.apply_listing(Duration::ZERO, &[entry("r-1", false)]);
    assert_eq!(fleet.take_empty_evacuated(), domains[1..]);
    assert_eq!(fleet.set_evacuated(&domains[1..]).ended, domains[..1]);
    assert_eq!(fleet.take_empty_evacuated(), []);
}

#[test]
fn the_notice_of_an_earlier_process_withholds_nothing() {
    let mut fleet = fleet_of_one();
    let mut restarted = entry("r-1", false);
    restarted.incarnation = 2;
    fleet.apply_listing(Duration::ZERO, &[restarted]);
    let placed = place(&mut fleet, NOW).expect("it is open");
    fleet.record_notice(NOW, &placed.id, 1, LEAVING);
    assert_eq!(fleet.admit_placed(NOW, &placed), Ok(()));
}

/// Requests that were placed before a hold-off may return with those placed after it.
#[test]
fn placed_requests_return_step_by_step() {
    let mut fleet = fleet_of_one();
    let placed: Vec<_> = (0..3).map(|_| place(&mut fleet, NOW).expect("it is open")).collect();
    fleet.record_notice(NOW, &placed[0].id, 1, WANTS_NONE);
    let ended_at = NOW + HOLD_OFF;
    let admitted =
        |after_ms| fleet.admit_placed(ended_at + Duration::from_millis(after_ms), &placed[0]);
    assert_eq!(admitted(150), Err(WithholdReason::HeldOff));
    assert_eq!(admitted(200), Ok(()));
}

struct TestClock(Instant);

impl Clock for TestClock {
    fn now(&self) -> Duration {
        self.0.elapsed()
    }
}

/// Answers each request on each connection; counts them.
async fn serve(listener: TcpListener, arrived: Arc<AtomicUsize>) {
    loop {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let arrived = arrived.clone();
        tokio::spawn(async move {
            let mut buffer = [0; 4_096];
            while stream.read(&mut buffer).await.is_ok_and(|it| it > 0) {
                arrived.fetch_add(1, Ordering::Relaxed);
                let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
                stream.write_all(answer).await.expect("the connection is open");
            }
        });
    }
}

#[rstest]
#[case::pooled(Connection::Pooled)]
#[case::fresh(Connection::Fresh)]
#[tokio::test]
async fn a_withheld_request_is_not_written(#[case] which: Connection) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let arrived = Arc::new(AtomicUsize::new(0));
    let server = tokio::spawn(serve(listener, arrived.clone()));
    let connections = ConnectionTable::new(TestClock(Instant::now()));
    for number in 0..3 {
        let request = Request::new(Full::new(Bytes::new()));
        let admit = || if number == 0 { Ok(()) } else { Err(WithholdReason::Leaving) };
        let answer = connections.send(address, "r-1", request, which, TIMEOUT, admit).await;
        match answer {
            Ok(answer) => connections.put_back(answer.split().3),
            Err(error) => {
                assert!(matches!(error, SendError::Withheld(WithholdReason::Leaving)), "{error}");
            }
        }
    }
    tokio::time::sleep(SETTLE_TIME).await;
    assert_eq!(arrived.load(Ordering::Relaxed), 1);
    server.abort();
}

/// Guards against requests that were placed before their replica stopped: together they would exceed
/// what it takes when it is back.
#[test]
fn a_placed_request_without_a_token_is_withheld_from_a_replica_found_cold() {
    let mut fleet = fleet_of_one();
    let rule = ColdRule { time: Duration::from_secs(6), per_s: 8.0 };
    fleet.set_cold_rules(NOW, vec![("desk".parse().expect("an id"), rule)]);
    let (member, evidence) = (rendezvous::hash_member("r-1"), ColdEvidence::Stated(Duration::ZERO));
    let report = ColdReport { member, incarnation: 1, evidence, age: Duration::ZERO };
    assert!(fleet.merge_cold(NOW, NOW, &report));
    let mut placed = place(&mut fleet, NOW).expect("it is open");
    assert_eq!((placed.cold_rule, fleet.admit_placed(NOW, &placed)), (None, Ok(())));
    fleet.record_failure(NOW, &placed, true);
    assert_eq!(fleet.admit_placed(NOW, &placed), Err(WithholdReason::Cold));
    let paused_until = NOW + Duration::from_millis(500);
    assert_eq!(place(&mut fleet, paused_until).expect("it is open").cold_rule, Some(rule));
    fleet.record_success(paused_until, &placed);
    assert_eq!(place(&mut fleet, paused_until).expect("it is open").cold_rule, Some(rule));
    placed.token_at = Some(NOW);
    assert_eq!(fleet.admit_placed(NOW, &placed), Ok(()));
    let later = NOW + Duration::from_millis(300);
    assert_eq!(fleet.admit_placed(later, &placed), Err(WithholdReason::Cold), "an old token");
}

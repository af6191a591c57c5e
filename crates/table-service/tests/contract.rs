//! The platform's client over real sockets: each call reports whether it may have taken effect.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use dropshot::HttpServer;
use ids::{Incarnation, Revision};
use ports::{
    CommitResult, Member, MemberList, MemberState, ObjectStore, StoreError, TableStore,
    Transaction, WeightStore,
};
use rstest::rstest;
use stand_ins::platform::{PlatformFault, PlatformService, PlatformStandIn};
use table_service::{PlatformAddress, PlatformClient};

const DEADLINE: Duration = Duration::from_millis(500);

type Server = HttpServer<Arc<PlatformStandIn>>;

async fn start() -> (Server, PlatformClient) {
    let loopback = ([127, 0, 0, 1], 0).into();
    let server = stand_ins::platform::start(loopback, Duration::from_secs(9)).unwrap();
    let client = client(server.local_addr());
    (server, client)
}

fn client(server: SocketAddr) -> PlatformClient {
    let address = PlatformAddress { list: server, table: server, objects: server, weights: server };
    PlatformClient::new(address, DEADLINE)
}

fn put(key: &str, value: &str, revision: Option<Revision>) -> Transaction {
    Transaction::default().require(key, revision).put(key, value.into())
}

#[tokio::test]
async fn a_transaction_is_applied_atomically() {
    let (_server, table) = start().await;
    let Ok(CommitResult::Done(first)) = table.commit(put("a", "1", None)).await else { panic!() };
    assert_eq!(table.commit(put("a", "2", None)).await, Ok(CommitResult::Conflict));
    let both = put("a", "2", Some(first)).require("b", Some(first)).put("b", "2".into());
    assert_eq!(
        table.commit(both).await,
        Ok(CommitResult::Conflict),
        "one of two conditions does not hold"
    );
    assert_eq!(table.read("a").await.unwrap().unwrap().value, "1".into());
    let Ok(CommitResult::Done(second)) = table.commit(put("a", "2", Some(first)).delete("a")).await
    else {
        panic!()
    };
    assert!(second > first);
    assert_eq!(table.read("a").await, Ok(None));
}

#[tokio::test]
async fn a_scan_continues_after_a_key() {
    let (_server, table) = start().await;
    for key in ["x/1", "x/2", "x/3", "y/1"] {
        table.commit(put(key, key, None)).await.unwrap();
    }
    let keys = |rows: Vec<ports::Row>| rows.into_iter().map(|it| it.key).collect::<Vec<_>>();
    assert_eq!(keys(table.scan("x/", "", 2).await.unwrap()), ["x/1".into(), "x/2".into()]);
    assert_eq!(keys(table.scan("x/", "x/2", 9).await.unwrap()), ["x/3".into()]);
}

/// The error of a write under each fault of the table, and whether the write took effect.
#[rstest]
#[case::down(PlatformFault::Down, "unavailable", false)]
#[case::silent(PlatformFault::Silent, "answer is lost", false)]
#[case::answer_lost(PlatformFault::LoseAnswers { calls: 1 }, "answer is lost", true)]
#[case::slow_within_the_deadline(PlatformFault::Slow { delay_ms: 100 }, "", true)]
#[case::slow_beyond_the_deadline(PlatformFault::Slow { delay_ms: 700 }, "answer is lost", true)]
#[tokio::test]
async fn a_failed_write_reports_whether_it_may_have_taken_effect(
    #[case] fault: PlatformFault,
    #[case] error: &str,
    #[case] effect: bool,
) {
    let (server, table) = start().await;
    server.app_private().set_fault(PlatformService::Table, fault);
    let started = Instant::now();
    let res = table.commit(put("a", "1", None)).await;
    assert!(started.elapsed() < 2 * DEADLINE, "the write took {:?}", started.elapsed());
    match res {
        Ok(_) => assert_eq!(error, ""),
        Err(it) => assert!(!error.is_empty() && it.to_string().contains(error), "{it}"),
    }
    // A slow write may take effect after the client's deadline.
    tokio::time::sleep(Duration::from_millis(400)).await;
    assert_eq!(server.app_private().row("a").is_some(), effect);
}

#[rstest]
#[case::down(PlatformFault::Down)]
#[case::silent(PlatformFault::Silent)]
#[case::too_slow(PlatformFault::Slow { delay_ms: 700 })]
#[tokio::test]
async fn every_read_from_a_failing_service_is_an_error_within_the_deadline(
    #[case] fault: PlatformFault,
) {
    let (server, platform) = start().await;
    for service in [
        PlatformService::List,
        PlatformService::Table,
        PlatformService::Objects,
        PlatformService::Weights,
    ] {
        server.app_private().set_fault(service, fault);
    }
    let started = Instant::now();
    let (read, members, object, weights) =
        tokio::join!(platform.read("a"), platform.members(), platform.get("o"), platform.has("w"));
    assert!(started.elapsed() < 2 * DEADLINE);
    assert!(read.is_err() && members.is_err() && object.is_err() && weights.is_err());
}

#[tokio::test]
async fn a_read_is_retried_until_the_store_recovers() {
    let (server, platform) = start().await;
    server.app_private().set_fault(PlatformService::Table, PlatformFault::Down);
    let recovery = async {
        tokio::time::sleep(Duration::from_millis(150)).await;
        server.app_private().set_fault(PlatformService::Table, PlatformFault::Healthy);
    };
    let (read, ()) = tokio::join!(platform.read("a"), recovery);
    assert_eq!(read, Ok(None));
}

#[tokio::test]
async fn a_refused_connection_is_reported_as_unavailable() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let res = client(address).commit(put("a", "1", None)).await;
    assert!(matches!(res, Err(StoreError::Unavailable(_))), "{res:?}");
}

#[tokio::test]
async fn objects_weights_and_members_are_stored_and_found() {
    let (_server, platform) = start().await;
    assert_eq!(platform.get("o").await, Ok(None));
    platform.put("o", Bytes::from_static(b"data")).await.unwrap();
    assert_eq!(platform.get("o").await, Ok(Some(Bytes::from_static(b"data"))));
    assert_eq!(platform.has("desk-1").await, Ok(true));
    assert_eq!(platform.has("missing-1").await, Ok(false));
    let member = Member {
        id: "entry-1".parse().unwrap(),
        incarnation: Incarnation(4),
        peer_address: "127.0.0.1:7000".parse().unwrap(),
        failure_domain: "north".parse().unwrap(),
        state: MemberState::Live,
    };
    platform.announce(&member).await.unwrap();
    assert_eq!(platform.members().await, Ok(vec![member]));
}

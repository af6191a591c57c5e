//! An accepted change of the catalog is used by every daemon within seconds and never reverts.

mod fleet;

use std::time::{Duration, Instant};

use fleet::{Fleet, REACTION_LIMIT, WAIT_LIMIT, chat, wait_until};
use http::StatusCode;
use rstest::rstest;
use serde_json::{Value, json};
use stand_ins::platform::{PlatformFault, PlatformService};
use stand_ins::relay::{Relay, RelayMode};

const CHAT: &str = "/v1/chat/completions";

/// The catalog revision that a daemon uses; 0 before it has one.
async fn fetch_revision(fleet: &Fleet, daemon: usize) -> u64 {
    let status = fleet.fetch_status(fleet.daemons[daemon].admin_address).await.unwrap();
    status["catalog_revision"].as_u64().unwrap_or(0)
}

/// A change that adds a customer or sets its rate.
fn customer_change(id: &str, rate: u64) -> Value {
    json!({ "operations": [{ "put_customer": { "id": id, "rate": rate, "burst": 100 } }] })
}

/// The fault while a change spreads: the third daemon is cut off from its peers or from the
/// platform, or the table is slow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ChannelFault {
    Nothing,
    PeersOfOne,
    PlatformOfOne,
    TableSlow,
}

#[rstest]
#[case(ChannelFault::Nothing)]
#[case(ChannelFault::PeersOfOne)]
#[case(ChannelFault::PlatformOfOne)]
#[case(ChannelFault::TableSlow)]
#[tokio::test(flavor = "multi_thread")]
async fn a_change_reaches_every_daemon_within_seconds(#[case] fault: ChannelFault) {
    let mut fleet = Fleet::start(2, 0).await;
    let platform = Relay::start(fleet.platform_address).await.unwrap();
    fleet.add_daemon_with_platform("entry-3", platform.address()).await;
    fleet.wait_ready(2).await;
    fleet.wait_until_synced().await;
    match fault {
        ChannelFault::Nothing => {}
        ChannelFault::PeersOfOne => fleet.daemons[2].peer_relay.set_mode(RelayMode::BlackholeAll),
        ChannelFault::PlatformOfOne => platform.set_mode(RelayMode::BlackholeAll),
        ChannelFault::TableSlow => {
            let fault = PlatformFault::Slow { delay_ms: 300 };
            fleet.set_platform_fault(PlatformService::Table, fault);
        }
    }
    let answer = fleet.post_admin(0, "/v1/changes", customer_change("new", 7)).await;
    assert_eq!(answer.status, StatusCode::OK, "{}", answer.body);
    let accepted = answer.json()["revision"].as_u64().unwrap();
    let started_at = Instant::now();
    for daemon in 0..3 {
        wait_until(REACTION_LIMIT, "the daemon uses the change", async || {
            fetch_revision(&fleet, daemon).await >= accepted
        })
        .await;
    }
    println!("{fault:?}: used by all three daemons after {:?}", started_at.elapsed());
    assert!(started_at.elapsed() < REACTION_LIMIT);
}

#[tokio::test(flavor = "multi_thread")]
async fn every_accepted_change_of_concurrent_operators_is_kept() {
    let fleet = Fleet::start(3, 0).await;
    let fault = PlatformFault::LoseAnswers { calls: 12 };
    fleet.set_platform_fault(PlatformService::Table, fault);
    let changes = (0..30).map(|it| {
        let fleet = &fleet;
        async move {
            let body = customer_change(&format!("c{it}"), it + 1);
            let answer = fleet.post_admin(it as usize % 3, "/v1/changes", body).await;
            (it, answer.status)
        }
    });
    let results = futures::future::join_all(changes).await;
    let accepted: Vec<u64> =
        results.iter().filter(|it| it.1 == StatusCode::OK).map(|it| it.0).collect();
    println!("{} of 30 concurrent changes accepted", accepted.len());
    assert!(accepted.len() >= 20);
    let newest = fleet.platform.app_private().rows("catalog/change/").len() as u64;
    for daemon in 0..3 {
        wait_until(REACTION_LIMIT, "the daemon uses the newest revision", async || {
            fetch_revision(&fleet, daemon).await == newest
        })
        .await;
        let token = format!("Bearer {}", fleet::ADMIN_TOKEN);
        let headers = [("authorization", token.as_str())];
        let admin = fleet.daemons[daemon].admin_address;
        let catalog = fleet
            .send(http::Method::GET, admin, "/v1/catalog", &headers, bytes::Bytes::new())
            .await
            .unwrap()
            .json();
        for it in &accepted {
            let rate = &catalog["customers"][format!("c{it}")]["rate"];
            assert_eq!(*rate, json!(it + 1), "change {it} was reverted on daemon {daemon}");
        }
    }
}

#[rstest]
#[case::table_down(&[PlatformService::Table])]
#[case::objects_down(&[PlatformService::Objects])]
#[case::table_and_objects_down_with_peers(&[PlatformService::Table, PlatformService::Objects])]
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_restarted_in_an_outage_has_the_newest_catalog(
    #[case] services: &[PlatformService],
) {
    let mut fleet = Fleet::start(2, 1).await;
    for rate in 1..40 {
        let answer = fleet.post_admin(0, "/v1/changes", customer_change("often", rate)).await;
        assert_eq!(answer.status, StatusCode::OK);
    }
    let newest = fetch_revision(&fleet, 0).await;
    for service in services {
        fleet.set_platform_fault(*service, PlatformFault::Down);
    }
    fleet.restart(1);
    fleet.wait_ready(1).await;
    wait_until(REACTION_LIMIT, "the restarted daemon has the newest catalog", async || {
        fetch_revision(&fleet, 1).await == newest
    })
    .await;
    let answer = fleet.call(1, CHAT, &[], &chat("served?", 1, true)).await.unwrap();
    assert_eq!(answer.status, StatusCode::OK, "{}", answer.body);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_partitioned_daemon_catches_up_when_the_partition_ends() {
    let mut fleet = Fleet::start(2, 0).await;
    let platform = Relay::start(fleet.platform_address).await.unwrap();
    fleet.add_daemon_with_platform("entry-3", platform.address()).await;
    fleet.wait_ready(2).await;
    fleet.wait_until_synced().await;
    platform.set_mode(RelayMode::Disconnect);
    fleet.daemons.iter().for_each(|it| it.peer_relay.set_mode(RelayMode::Disconnect));
    let answer = fleet.post_admin(0, "/v1/changes", customer_change("new", 7)).await;
    let accepted = answer.json()["revision"].as_u64().unwrap();
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert!(fetch_revision(&fleet, 2).await < accepted, "the daemon was not cut off");
    platform.set_mode(RelayMode::Forward);
    fleet.daemons.iter().for_each(|it| it.peer_relay.set_mode(RelayMode::Forward));
    wait_until(REACTION_LIMIT, "the daemon has caught up", async || {
        fetch_revision(&fleet, 2).await >= accepted
    })
    .await;
    wait_until(WAIT_LIMIT, "the daemon may spend the shares it holds", async || {
        let status = fleet.fetch_status(fleet.daemons[2].admin_address).await.unwrap();
        status["holds_parts"] == status["may_spend"] || status["holds_parts"] == json!(false)
    })
    .await;
}

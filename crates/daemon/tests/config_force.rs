//! An accepted configuration is in force everywhere within seconds and never reverts.

mod fleet;

use std::time::{Duration, Instant};

use fleet::{Fleet, REACTION_LIMIT, WAIT_LIMIT, chat, wait_until};
use http::StatusCode;
use rstest::rstest;
use serde_json::{Value, json};
use stand_ins::platform::{PlatformFault, PlatformService};
use stand_ins::relay::{Relay, RelayMode};

const CHAT: &str = "/v1/chat/completions";

async fn revision(fleet: &Fleet, daemon: usize) -> u64 {
    let status = fleet.fetch_status(fleet.daemons[daemon].admin_address).await.unwrap();
    status["catalog_revision"].as_u64().unwrap_or(0)
}

fn customer(id: &str, rate: u64) -> Value {
    json!({ "operations": [{ "put_customer": { "id": id, "rate": rate, "burst": 100 } }] })
}

/// How a daemon learns of a change when one way is shut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Shut {
    Nothing,
    PeersOfOne,
    PlatformOfOne,
    TableSlow,
}

#[rstest]
#[case(Shut::Nothing)]
#[case(Shut::PeersOfOne)]
#[case(Shut::PlatformOfOne)]
#[case(Shut::TableSlow)]
#[tokio::test(flavor = "multi_thread")]
async fn a_change_is_in_force_everywhere_within_seconds(#[case] shut: Shut) {
    let mut fleet = Fleet::start(2, 0).await;
    let platform = Relay::start(fleet.platform_address).await.unwrap();
    fleet.add_daemon_with_platform("entry-3", platform.address()).await;
    fleet.wait_ready(2).await;
    fleet.wait_until_synced().await;
    match shut {
        Shut::Nothing => {}
        Shut::PeersOfOne => fleet.daemons[2].peer_relay.set_mode(RelayMode::BlackholeAll),
        Shut::PlatformOfOne => platform.set_mode(RelayMode::BlackholeAll),
        Shut::TableSlow => {
            let fault = PlatformFault::Slow { delay_ms: 300 };
            fleet.set_platform_fault(PlatformService::Table, fault);
        }
    }
    let answer = fleet.post_admin(0, "/v1/changes", customer("new", 7)).await;
    assert_eq!(answer.status, StatusCode::OK, "{}", answer.body);
    let accepted = answer.json()["revision"].as_u64().unwrap();
    let began = Instant::now();
    for daemon in 0..3 {
        wait_until(REACTION_LIMIT, "the change is in force", async || {
            revision(&fleet, daemon).await >= accepted
        })
        .await;
    }
    println!("{shut:?}: in force on all three after {:?}", began.elapsed());
    assert!(began.elapsed() < REACTION_LIMIT);
}

#[tokio::test(flavor = "multi_thread")]
async fn of_racing_operators_every_accepted_change_stays() {
    let fleet = Fleet::start(3, 0).await;
    let lose = PlatformFault::LoseAnswers { calls: 12 };
    fleet.set_platform_fault(PlatformService::Table, lose);
    let changes = (0..30).map(|it| {
        let fleet = &fleet;
        async move {
            let body = customer(&format!("c{it}"), it + 1);
            let answer = fleet.post_admin(it as usize % 3, "/v1/changes", body).await;
            (it, answer.status)
        }
    });
    let results = futures::future::join_all(changes).await;
    let accepted: Vec<u64> =
        results.iter().filter(|it| it.1 == StatusCode::OK).map(|it| it.0).collect();
    println!("{} of 30 racing changes accepted", accepted.len());
    assert!(accepted.len() >= 20);
    let newest = fleet.platform.app_private().rows("catalog/change/").len() as u64;
    for daemon in 0..3 {
        wait_until(REACTION_LIMIT, "the newest revision is in force", async || {
            revision(&fleet, daemon).await == newest
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
            assert_eq!(*rate, json!(it + 1), "change {it} reverted on daemon {daemon}");
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
        let answer = fleet.post_admin(0, "/v1/changes", customer("often", rate)).await;
        assert_eq!(answer.status, StatusCode::OK);
    }
    let newest = revision(&fleet, 0).await;
    for service in services {
        fleet.set_platform_fault(*service, PlatformFault::Down);
    }
    fleet.restart(1);
    fleet.wait_ready(1).await;
    wait_until(REACTION_LIMIT, "it has the newest catalog", async || {
        revision(&fleet, 1).await == newest
    })
    .await;
    let answer = fleet.call(1, CHAT, &[], &chat("served?", 1, true)).await.unwrap();
    assert_eq!(answer.status, StatusCode::OK, "{}", answer.body);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cut_off_daemon_catches_up_when_the_cut_ends() {
    let mut fleet = Fleet::start(2, 0).await;
    let platform = Relay::start(fleet.platform_address).await.unwrap();
    fleet.add_daemon_with_platform("entry-3", platform.address()).await;
    fleet.wait_ready(2).await;
    fleet.wait_until_synced().await;
    platform.set_mode(RelayMode::Disconnect);
    fleet.daemons.iter().for_each(|it| it.peer_relay.set_mode(RelayMode::Disconnect));
    let answer = fleet.post_admin(0, "/v1/changes", customer("new", 7)).await;
    let accepted = answer.json()["revision"].as_u64().unwrap();
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert!(revision(&fleet, 2).await < accepted, "it was cut off");
    platform.set_mode(RelayMode::Forward);
    fleet.daemons.iter().for_each(|it| it.peer_relay.set_mode(RelayMode::Forward));
    wait_until(REACTION_LIMIT, "it caught up", async || revision(&fleet, 2).await >= accepted)
        .await;
    wait_until(WAIT_LIMIT, "parts are held", async || {
        let status = fleet.fetch_status(fleet.daemons[2].admin_address).await.unwrap();
        status["holds_parts"] == status["may_spend"] || status["holds_parts"] == json!(false)
    })
    .await;
}

//! A prompt whose home is leaving moves at once, and is read from the home while that still runs.

mod fixtures;

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use fixtures::entry;
use gateway::config::EngineRule;
use gateway::fleet::FleetTable;
use gateway::notice_table::AnswerNotice;
use gateway::placement::{PlacedTarget, PlacementQuery, PromptQuery, ReleaseFilter};
use gateway::prompt_spec::PromptSpec;
use policy::cache_scope::CacheScope;
use policy::engine_choice::PrefillSpeed;
use policy::home_areas::HomeAreas;
use policy::prefix_table::PromptPrefix;
use policy::rendezvous;
use rstest::rstest;

const NOW: Duration = Duration::from_secs(30);
const SECOND: Duration = Duration::from_secs(1);

/// How a daemon hears that a replica is leaving.
#[derive(Debug, Clone, Copy)]
enum LeavingSource {
    Answer,
    PeerReport,
    Listing,
}

fn address(port: u16) -> SocketAddr {
    (Ipv4Addr::LOCALHOST, port).into()
}

fn fleet_of_two() -> FleetTable {
    let mut fleet = FleetTable::new("a".parse().expect("an id"), fixtures::TIMEOUTS);
    fleet.apply_listing(Duration::ZERO, &listing(None));
    fleet
}

fn listing(leaving: Option<&str>) -> Vec<gateway::config::TargetEntry> {
    let ids = [("r-1", 1, "a"), ("r-2", 2, "b")];
    let entries = ids.map(|(id, port, domain)| {
        let mut entry = entry(id, leaving == Some(id));
        entry.address = address(port);
        entry.domain = domain.parse().expect("an id");
        entry
    });
    entries.into()
}

fn place(fleet: &mut FleetTable, now: Duration) -> PlacedTarget {
    place_in(fleet, now, &HomeAreas::Everywhere)
}

fn place_in(fleet: &mut FleetTable, now: Duration, areas: &HomeAreas) -> PlacedTarget {
    let prefixes =
        [PromptPrefix { digest: 7, tokens: 6_000 }, PromptPrefix { digest: 8, tokens: 6_100 }];
    let prompt = PromptSpec {
        model: "m".into(),
        prefixes: prefixes.into(),
        shared_prefixes: 1,
        prompt_tokens: 6_100,
        output_tokens: 10,
        token_gap_s: None,
        cache_scope: CacheScope::Customer("shop".into()),
    };
    let engine = EngineRule { batch: 8, kv_tokens: 100_000, models: vec!["m".into()] };
    let pool = "desk".parse().expect("an id");
    let releases = ReleaseFilter::Any;
    let query = PlacementQuery {
        pool: &pool,
        releases,
        excluded_targets: &[],
        model: Some("m"),
        min_weights: 0,
        areas,
        home_store: None,
    };
    let speed = PrefillSpeed::default();
    let prompt_query = PromptQuery {
        prompt: &prompt,
        engine: &engine,
        speed,
        time_left_s: None,
        old_weights_s: 0.0,
        peers: 0,
        gossip_delay: Duration::ZERO,
    };
    let placed = fleet.place_prompt(now, query, prompt_query).expect("an engine is open");
    fleet.record_placed_prompt(now, &placed, &prompt, speed);
    fleet.release(&placed, true);
    placed
}

fn tell_leaving(fleet: &mut FleetTable, replica: &PlacedTarget, source: LeavingSource) {
    let notice = AnswerNotice { leaving: true, hold_off: None };
    match source {
        LeavingSource::Answer => fleet.record_notice(NOW, &replica.id, 1, notice),
        LeavingSource::PeerReport => {
            fleet.apply_leaving(&[(rendezvous::hash_member(replica.id.as_str()), 1)]);
        }
        LeavingSource::Listing => {
            fleet.apply_listing(Duration::ZERO, &listing(Some(replica.id.as_str())))
        }
    }
}

#[rstest]
#[case::answer(LeavingSource::Answer)]
#[case::peer_report(LeavingSource::PeerReport)]
#[case::listing(LeavingSource::Listing)]
fn a_prompt_moves_at_once_and_is_read_from_its_leaving_home(#[case] source: LeavingSource) {
    let mut fleet = fleet_of_two();
    let home = place(&mut fleet, NOW);
    assert_eq!(place(&mut fleet, NOW).id, home.id);
    tell_leaving(&mut fleet, &home, source);
    fleet.sweep(NOW);
    let moved = place(&mut fleet, NOW + SECOND);
    assert_ne!(moved.id, home.id);
    assert_eq!(moved.fetch_from, Some(home.address));
}

/// A fetch from a replica that is gone costs time and brings nothing.
#[test]
fn a_home_that_may_be_gone_is_not_read() {
    let mut fleet = fleet_of_two();
    let home = place(&mut fleet, NOW);
    tell_leaving(&mut fleet, &home, LeavingSource::Answer);
    fleet.sweep(NOW);
    let moved = place(&mut fleet, NOW + fixtures::TIMEOUTS.drain);
    assert_ne!(moved.id, home.id);
    assert_eq!(moved.fetch_from, None);
}

/// Guards against shared parts that are prefilled again, as only an evacuated zone holds them.
#[test]
fn an_evacuated_home_is_read_and_gets_no_prompt() {
    let mut fleet = fleet_of_two();
    let home = place(&mut fleet, NOW);
    fleet.set_evacuated(std::slice::from_ref(&home.domain));
    let moved = place(&mut fleet, NOW + SECOND);
    assert_ne!(moved.id, home.id);
    assert_eq!(moved.fetch_from, Some(home.address));
}

/// Guards against prompt parts that leave their region through a fetch.
#[test]
fn a_home_outside_the_allowed_domains_is_not_read() {
    let mut fleet = fleet_of_two();
    let home = place(&mut fleet, NOW);
    let elsewhere = if home.domain.as_str() == "a" { "b" } else { "a" };
    let areas = HomeAreas::Only([elsewhere.parse().expect("an id")].into());
    let moved = place_in(&mut fleet, NOW + SECOND, &areas);
    assert_eq!(moved.domain.as_str(), elsewhere);
    assert_eq!(moved.fetch_from, None);
}

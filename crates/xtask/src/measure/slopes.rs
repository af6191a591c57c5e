//! Costs of the daemon's operations at several sizes, from which docs/CAPACITY.md is computed: CPU
//! time of one step, bytes of one message or document, and memory of the state.

use std::fs;
use std::hint::black_box;
use std::time::{Duration, Instant};

use catalog::{CatalogState, ChangeSet, Operation};
use ids::{CustomerId, Incarnation, InstanceId, KeyDigest, Millionths, Revision};
use indexmap::IndexMap;
use peers::{PeerRequest, PeerResponse};
use policy::bucket::TokenBucket;
use policy::chain::{self, ChainHash, ChainScope};
use policy::fair_queue::FairQueue;
use policy::placement::{PlacementCosts, PlacementTable, ReplicaView};
use policy::quarantine::{Fingerprint, Strike};
use policy::rate_shares::{ListedMember, PlanView, RateShare, ShareTable};
use policy::rendezvous;
use policy::spend_guard::PeerReport;
use serde::Serialize;
use serde_json::json;

use crate::fleet::ChoreError;
use crate::measure::report::ResultTable;

/// How long each step is repeated at least.
const MIN_REPEAT_TIME: Duration = Duration::from_millis(150);

/// Measures every operation. A column that does not apply to a row holds 0.
pub(crate) fn run() -> Result<(), ChoreError> {
    let mut table = ResultTable::new("slopes", &["microseconds", "bytes", "memory_kb"]);
    measure_placement(&mut table);
    measure_prompt_hashing(&mut table);
    measure_catalogs(&mut table)?;
    measure_rate_shares(&mut table);
    measure_fair_queue(&mut table);
    measure_messages(&mut table)?;
    table.print_and_save()
}

/// Mean time of one run of `step`, in microseconds; a first run is not counted.
fn mean_micros(mut step: impl FnMut()) -> f64 {
    step();
    let started_at = Instant::now();
    let mut count = 0_u64;
    while started_at.elapsed() < MIN_REPEAT_TIME {
        step();
        count += 1;
    }
    started_at.elapsed().as_secs_f64() * 1e6 / count as f64
}

/// This process's resident memory, in KB, or 0 if it cannot be read.
fn resident_kb() -> f64 {
    let text = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|it| it.strip_prefix("VmRSS:"));
    let number = line.and_then(|it| it.split_whitespace().next()?.parse().ok());
    number.unwrap_or(0.0)
}

/// Time to place a request, and memory of a table of 60,000 nodes.
fn measure_placement(table: &mut ResultTable) {
    for replicas in [10, 100, 207, 1_000, 6_400] {
        let mut placement = PlacementTable::new(PlacementCosts::default());
        let views: Vec<ReplicaView> = (0..replicas).map(replica_view).collect();
        let chain: Vec<ChainHash> = (0..6).map(ChainHash).collect();
        let mut number = 0;
        let step_us = mean_micros(|| {
            number += 1;
            let now = Duration::from_millis(number);
            black_box(placement.choose(now, &chain, 25_000, &views, number));
        });
        table.push_row(format!("place, {replicas} replicas"), vec![step_us, 0.0, 0.0]);
    }
    let before = resident_kb();
    let mut placement = PlacementTable::new(PlacementCosts::default());
    let seen = replica_view(1);
    for number in 0..60_000_u64 {
        let chain = [ChainHash(number.wrapping_mul(0x9e37_79b9_7f4a_7c15))];
        let now = Duration::from_millis(number / 10);
        placement.choose(now, &chain, 4_000, &[seen], number);
        placement.record_answer(now, &chain, 0, &seen, true);
    }
    let growth_kb = resident_kb() - before;
    table.push_row("beliefs about 60000 nodes", vec![0.0, 0.0, growth_kb]);
    black_box(&placement);
}

/// A replica with some load, which depends on its number.
fn replica_view(number: usize) -> ReplicaView {
    ReplicaView {
        member: rendezvous::hash_member(&format!("replica-{number}")),
        incarnation: Incarnation(1),
        slots: 16,
        outstanding: (number % 7) as u32,
        reported: (number % 11) as u32,
        reported_at: Duration::from_millis(number as u64),
    }
}

/// Time to hash the prefixes of a prompt.
fn measure_prompt_hashing(table: &mut ResultTable) {
    let pool = "desk".parse().expect("the id is valid");
    let scope = ChainScope { customer: None, pool: &pool, version: ids::VersionNumber(1) };
    for kilobytes in [16, 64, 256] {
        let prompt = vec![7_u8; kilobytes << 10];
        let step_us = mean_micros(|| {
            black_box(chain::hash_prefixes(scope, &prompt, 16_000));
        });
        table.push_row(format!("hash a prompt of {kilobytes} KB"), vec![step_us, 0.0, 0.0]);
    }
}

/// A catalog with this many customers and targets, and 31 models.
fn build_catalog(customers: usize, targets: usize) -> CatalogState {
    let mut operations: Vec<Operation> = Vec::new();
    let mut put = |value| {
        operations.push(serde_json::from_value(value).expect("the operation is valid"));
    };
    for number in 0..31 {
        put(json!({ "put_pool": { "id": format!("m{number}"), "kind": "engine", "version": 1 } }));
    }
    for number in 0..customers {
        let id = format!("customer-{number}");
        put(json!({ "put_customer": { "id": id, "rate": 1_000, "burst": 10_000 } }));
        let digest = KeyDigest::from_secret(&id);
        put(json!({ "put_key": { "id": format!("k{number}"), "customer": id, "digest": digest } }));
    }
    for number in 0..targets {
        put(json!({ "put_target": {
            "id": format!("replica-{number}"), "pool": format!("m{}", number % 31),
            "address": "10.1.2.3:8000", "failure_domain": "north", "echoes_request_id": true,
        } }));
    }
    let state = CatalogState::default().with_changes(&ChangeSet { operations }, Revision(1));
    state.expect("the operations make a valid catalog")
}

/// Time to change and to parse a catalog, its size as JSON, and the memory of one copy.
fn measure_catalogs(table: &mut ResultTable) -> Result<(), ChoreError> {
    for (customers, targets) in [(5, 22), (50, 1_000), (200, 6_400)] {
        let before = resident_kb();
        let state = build_catalog(customers, targets);
        let copies = vec![state.clone(), state.clone()];
        let growth_kb = (resident_kb() - before) / 3.0;
        black_box(&copies);
        let change = ChangeSet {
            operations: vec![serde_json::from_value(
                json!({ "put_customer": { "id": "customer-1", "rate": 7, "burst": 9 } }),
            )?],
        };
        let step_us = mean_micros(|| {
            black_box(state.with_changes(&change, Revision(2)).is_ok());
        });
        let json_bytes = serde_json::to_vec(&state)?;
        let name = format!("{customers} customers, {targets} targets");
        let values = vec![step_us, json_bytes.len() as f64, growth_kb.max(0.0)];
        table.push_row(format!("change a catalog of {name}"), values);
        let parse_us = mean_micros(|| {
            black_box(serde_json::from_slice::<CatalogState>(&json_bytes).is_ok());
        });
        table.push_row(
            format!("read a catalog of {name}"),
            vec![parse_us, json_bytes.len() as f64, 0.0],
        );
        let bytes = serde_json::to_vec(&change)?.len() as f64;
        table.push_row(format!("one change, {customers} customers"), vec![0.0, bytes, 0.0]);
    }
    Ok(())
}

/// Time to plan the shares of all customers, the size of their table row, and the time to take
/// tokens from a share.
fn measure_rate_shares(table: &mut ResultTable) {
    for (customers, instances) in [(5, 8), (50, 100), (200, 370)] {
        let ids: Vec<CustomerId> = (0..customers)
            .map(|it| format!("customer-{it}").parse().expect("the id is valid"))
            .collect();
        let members: Vec<ListedMember> = (0..instances)
            .map(|it| ListedMember {
                id: format!("entry-{it}").parse().expect("the id is valid"),
                incarnation: Incarnation(1),
                leaving: false,
            })
            .collect();
        let shares_by_customer = ids.iter().enumerate().map(|(number, it)| {
            let share = |offset: usize| RateShare {
                holder: members[(number + offset) % instances].id.clone(),
                incarnation: Incarnation(1),
                fraction: Millionths(333_333),
                transfer: 1_000_000,
            };
            (it.clone(), vec![share(0), share(1), share(2)])
        });
        let row = ShareTable { shares: shares_by_customer.collect(), transfers: 1_000_000 };
        let unlisted: IndexMap<InstanceId, Duration> = IndexMap::new();
        let plan_view = PlanView {
            own: &members[0].id,
            incarnation: Incarnation(1),
            members: &members,
            unlisted: &unlisted,
            customers: &ids,
            majority_listed: true,
        };
        let step_us = mean_micros(|| {
            black_box(row.plan(plan_view));
        });
        let bytes = serde_json::to_vec(&row).unwrap_or_default().len() as f64;
        let name = format!("plan parts, {customers} customers, {instances} instances");
        table.push_row(name, vec![step_us, bytes, 0.0]);
    }
    let mut bucket = TokenBucket::full(Duration::ZERO, 1e9, 1e9);
    let mut number = 0;
    let step_us = mean_micros(|| {
        number += 1;
        black_box(bucket.take(Duration::from_micros(number), 10.0, 10.0));
    });
    table.push_row("take tokens from a part", vec![step_us, 0.0, 0.0]);
}

/// Time to add one entry to a fair queue of 1,000 and to remove one.
fn measure_fair_queue(table: &mut ResultTable) {
    for customers in [5, 50, 200] {
        let mut queue: FairQueue<u64, u64> = FairQueue::default();
        for number in 0..1_000 {
            queue.push(number % customers, 1, number % 3 == 0, 1_000.0, number);
        }
        let mut number = 0;
        let step_us = mean_micros(|| {
            number += 1;
            queue.push(number % customers, 1, number % 3 == 0, 1_000.0, number);
            black_box(queue.pop());
        });
        table.push_row(format!("queue in and out, {customers} customers"), vec![step_us, 0.0, 0.0]);
    }
}

/// Time to encode each message between daemons, and its size.
fn measure_messages(table: &mut ResultTable) -> Result<(), ChoreError> {
    let customer: CustomerId = "customer-123".parse()?;
    let take =
        PeerRequest::TakeTokens { customer, tokens: 3_000, minimum: 3_000, ticket: u64::MAX };
    let taken = PeerResponse::Taken { tokens: 3_000, retry_after_ms: None };
    let ping = PeerRequest::Ping {
        catalog: Revision(4_000_000),
        shares_revision: Some(Revision(5_000_000)),
    };
    let pong = PeerResponse::Pong {
        report: PeerReport::OutageToo,
        catalog: Revision(4_000_000),
        shares: None,
    };
    let strike = Strike { fingerprint: Fingerprint(u64::MAX), member: u64::MAX };
    let strikes = PeerRequest::Strikes(vec![strike]);
    let change = json!({ "put_customer": { "id": "customer-123", "rate": 7, "burst": 9 } });
    let change = json!({ "operations": [change] }).to_string();
    let catalog_changed =
        PeerRequest::CatalogChanged { revision: Revision(4_000_000), change: change.into() };
    measure_message(table, "message: take", &take)?;
    measure_message(table, "message: taken", &taken)?;
    measure_message(table, "message: ping", &ping)?;
    measure_message(table, "message: pong", &pong)?;
    measure_message(table, "message: strike", &strikes)?;
    measure_message(table, "message: catalog changed", &catalog_changed)
}

/// Adds a row for one message.
fn measure_message(
    table: &mut ResultTable,
    name: &str,
    message: &impl Serialize,
) -> Result<(), ChoreError> {
    let config = bincode::config::standard();
    let bytes = bincode::serde::encode_to_vec(message, config)?;
    let step_us = mean_micros(|| {
        black_box(bincode::serde::encode_to_vec(message, config).is_ok());
    });
    table.push_row(name, vec![step_us, bytes.len() as f64, 0.0]);
    Ok(())
}

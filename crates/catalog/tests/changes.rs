//! A change takes effect as a whole or, if one operation is invalid, not at all.

use catalog::{CatalogDocument, CatalogState, ChangeError, ChangeSet, Operation};
use ids::Revision;
use rstest::rstest;
use serde_json::{Value, json};

fn parse_change(value: Value) -> ChangeSet {
    ChangeSet { operations: serde_json::from_value(value).unwrap() }
}

fn base_catalog() -> CatalogState {
    let change = parse_change(json!([
        { "put_customer": { "id": "shop", "rate": 10, "burst": 100 } },
        { "put_pool": { "id": "desk", "kind": "engine", "version": 1 } },
        { "put_pool": { "id": "orders", "kind": "service" } },
        { "put_version": { "pool": "desk", "number": 1, "weights": "d1" } },
        { "put_version": { "pool": "desk", "number": 2, "weights": "d2" } },
        { "put_target": {
            "id": "d-1", "pool": "desk", "address": "10.0.0.1:80", "failure_domain": "a",
        } },
        { "put_route": { "id": "r", "kind": "model", "model": "desk", "pool": "desk" } },
        { "put_route": {
            "id": "s", "kind": "service", "prefix": "/orders", "pool": "orders",
            "customers": ["shop"],
        } },
    ]));
    CatalogState::default().with_changes(&change, Revision(1)).unwrap()
}

#[rstest]
#[case::key_of_unknown_customer(json!([{ "put_key": { "id": "k", "customer": "none", "digest": "00" } }]), "customer none does not exist")]
#[case::zero_rate(json!([{ "put_customer": { "id": "x", "rate": 0, "burst": 1 } }]), "rate of x: 0 is not allowed; a number above 0")]
#[case::customer_in_use(json!([{ "drop_customer": "shop" }]), "customer shop is still used by route s")]
#[case::pool_in_use(json!([{ "drop_pool": "desk" }]), "pool desk is still used by route r")]
#[case::model_route_to_service_pool(json!([{ "put_route": { "id": "x", "kind": "model", "model": "y", "pool": "orders" } }]), "pool of x: orders is not allowed; a model route needs an engine pool, a service route a service pool")]
#[case::same_prefix(json!([{ "put_route": { "id": "x", "kind": "service", "prefix": "/orders", "pool": "orders" } }]), "the model or prefix of route x is still used by route s")]
#[case::reserved_prefix(json!([{ "put_route": { "id": "x", "kind": "service", "prefix": "/v1", "pool": "orders" } }]), "prefix of x: /v1 is not allowed; a prefix starts with '/', does not end with it, and is not under /v1")]
#[case::version_in_use(json!([{ "drop_version": { "pool": "desk", "number": 1 } }]), "version desk/1 is still used by pool desk")]
#[case::move_to_unknown_version(json!([{ "put_move": { "id": "m", "pool": "desk", "from": 1, "to": 9, "stage": "trial", "deadline_s": 60 } }]), "version desk/9 does not exist")]
#[case::new_move_already_done(json!([{ "put_move": { "id": "m", "pool": "desk", "from": 1, "to": 2, "stage": "done", "deadline_s": 60 } }]), "stage of m: Done is not allowed; trial, then rollout, then done; or taking_back, then taken_back")]
fn a_change_with_an_invalid_operation_is_refused_as_a_whole(
    #[case] invalid: Value,
    #[case] expected: &str,
) {
    let state = base_catalog();
    let mut steps = json!([{ "put_customer": { "id": "new", "rate": 1, "burst": 1 } }]);
    steps.as_array_mut().unwrap().extend(invalid.as_array().unwrap().clone());
    let error: ChangeError = state.with_changes(&parse_change(steps), Revision(2)).unwrap_err();
    assert_eq!(error.to_string(), expected);
    assert_eq!(state, base_catalog());
}

#[rstest]
#[case(&["trial", "rollout", "done"], true)]
#[case(&["trial", "taking_back", "taken_back"], true)]
#[case(&["trial", "rollout", "taking_back", "taken_back"], true)]
#[case(&["trial", "taking_back", "rollout"], false)]
#[case(&["trial", "rollout", "done", "taking_back"], false)]
#[case(&["trial", "done"], false)]
fn a_move_allows_only_these_stage_sequences(#[case] stages: &[&str], #[case] allowed: bool) {
    let mut state = Ok(base_catalog());
    for (number, stage) in stages.iter().enumerate() {
        let step = json!([{ "put_move": {
            "id": "m", "pool": "desk", "from": 1, "to": 2, "stage": stage, "deadline_s": 60,
        } }]);
        state =
            state.and_then(|it| it.with_changes(&parse_change(step), Revision(number as u64 + 2)));
    }
    assert_eq!(state.is_ok(), allowed, "{stages:?}");
}

#[test]
fn one_change_brings_a_catalog_to_a_document_and_leaves_no_difference() {
    let document: CatalogDocument = serde_json::from_value(json!({
        "customers": [{ "id": "other", "rate": 5, "burst": 50 }],
        "pools": [{ "id": "orders", "kind": "service", "concurrency": 3 }],
        "versions": [],
        "targets": [],
        "routes": [{ "id": "s", "kind": "service", "prefix": "/orders", "pool": "orders" }],
    }))
    .unwrap();
    let change = document.changes_from(&base_catalog());
    let next = base_catalog().with_changes(&change, Revision(2)).unwrap();
    assert_eq!(document.changes_from(&next), ChangeSet::default());
    assert_eq!(next.customers.len(), 1);
    assert_eq!(next.pools.len(), 1);
    assert!(next.targets.is_empty() && next.versions.is_empty());
}

#[test]
fn entities_left_out_of_a_document_are_kept() {
    let change = CatalogDocument::default().changes_from(&base_catalog());
    assert_eq!(change, ChangeSet { operations: Vec::<Operation>::new() });
}

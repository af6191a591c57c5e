//! Accepted changes reach every daemon and are never lost, whatever faults the table has.

mod fakes;

use std::collections::BTreeMap;

use catalog::{CatalogState, ChangeSet, Customer, Operation};
use control::{CatalogStore, SubmitError, change_key};
use fakes::{FakeStore, StoreFault};
use ids::{Revision, TokenCount, TokenRate};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

fn change(name: &str, rate: u64) -> ChangeSet {
    let customer = Customer {
        id: name.parse().unwrap(),
        rate: TokenRate(rate),
        burst: TokenCount(1),
        weight: 1,
    };
    ChangeSet { operations: vec![Operation::PutCustomer(customer)] }
}

fn rate_of<P: ports::TableStore + ports::ObjectStore>(
    store: &CatalogStore<P>,
    name: &str,
) -> Option<u64> {
    let catalog = store.current()?;
    let id = name.parse::<ids::CustomerId>().unwrap();
    catalog.customers.get(&id).map(|it| it.rate.0)
}

#[rstest]
#[case::healthy(StoreFault::Healthy)]
#[case::answers_lost(StoreFault::LoseAnswers)]
#[case::stale_reads(StoreFault::StaleReads)]
#[tokio::test(start_paused = true)]
async fn a_change_takes_effect_once(#[case] fault: StoreFault) {
    let table = FakeStore::default();
    let (first_client, second_client) = (table.new_client(), table.new_client());
    let first = CatalogStore::new(first_client.clone());
    let second = CatalogStore::new(second_client);
    first.refresh().await.unwrap();
    first.submit(&change("a", 1), "id-0", None).await.unwrap();
    first_client.set_fault(fault);
    let res = first.submit(&change("a", 2), "id-1", None).await;
    first_client.set_fault(StoreFault::Healthy);
    // A resend under the same id finds the accepted change and does not apply it twice.
    let again = first.submit(&change("a", 2), "id-1", None).await.unwrap();
    if let Ok(revision) = res {
        assert_eq!(revision, again);
    }
    second.refresh().await.unwrap();
    assert_eq!(rate_of(&second, "a"), Some(2));
    assert_eq!(second.revision(), Revision(2), "applied once");
}

#[tokio::test(start_paused = true)]
async fn a_change_submitted_while_the_table_is_down_is_not_accepted() {
    let table = FakeStore::default();
    let store = CatalogStore::new(table.clone());
    store.refresh().await.unwrap();
    table.set_fault(StoreFault::Down);
    let res = store.submit(&change("a", 1), "id-1", None).await;
    assert!(matches!(res, Err(SubmitError::Unavailable(_))), "{res:?}");
    table.set_fault(StoreFault::Healthy);
    store.refresh().await.unwrap();
    assert_eq!(rate_of(&store, "a"), None);
}

#[tokio::test(start_paused = true)]
async fn of_two_changes_that_expect_the_same_revision_the_second_is_refused() {
    let table = FakeStore::default();
    let first = CatalogStore::new(table.new_client());
    let second = CatalogStore::new(table.new_client());
    let at = Some(Revision(0));
    first.submit(&change("a", 1), "id-1", at).await.unwrap();
    let res = second.submit(&change("a", 2), "id-2", at).await;
    assert_eq!(res, Err(SubmitError::StaleRevision(Revision(1))));
}

#[tokio::test(start_paused = true)]
async fn a_daemon_started_during_a_table_outage_loads_accepted_changes_from_objects() {
    let table = FakeStore::default();
    let store = CatalogStore::new(table.new_client());
    for number in 0..70 {
        store.submit(&change("a", number + 1), &format!("id-{number}"), None).await.unwrap();
    }
    // The table is down while the object store answers.
    let started = CatalogStore::new(ObjectsOnly(table.new_client()));
    assert!(started.refresh().await.is_err());
    assert!(started.load_from_objects().await);
    assert_eq!(rate_of(&started, "a"), Some(70));
    assert_eq!(started.revision(), store.revision());
}

#[test]
fn an_older_catalog_never_replaces_a_newer_one() {
    let store = CatalogStore::new(FakeStore::default());
    let at = |revision| CatalogState { revision: Revision(revision), ..CatalogState::default() };
    assert!(store.replace_if_newer(at(5)));
    assert!(!store.replace_if_newer(at(4)));
    assert!(!store.replace_if_newer(at(5)));
    assert!(!store.apply_next_change(Revision(7), &change("a", 1)), "revision 6 is missing");
    assert!(store.apply_next_change(Revision(6), &change("a", 1)));
    assert!(!store.apply_next_change(Revision(6), &change("a", 2)));
    assert_eq!(rate_of(&store, "a"), Some(1));
}

/// Changes are submitted through four daemons while each daemon's access to the table fails at
/// random. Accepted changes must stay in force at their revision, refused ones must not appear.
#[tokio::test(start_paused = true)]
async fn accepted_changes_persist_under_random_faults() {
    for seed in 0..100 {
        let mut random = StdRng::seed_from_u64(seed);
        let table = FakeStore::default();
        let clients: Vec<FakeStore> = (0..4).map(|_| table.new_client()).collect();
        let stores: Vec<CatalogStore<FakeStore>> =
            clients.iter().map(|it| CatalogStore::new(it.clone())).collect();
        let mut accepted: BTreeMap<Revision, (String, u64)> = BTreeMap::new();
        let mut refused = Vec::new();
        let mut seen = [Revision(0); 4];
        for number in 0..120_u64 {
            let at = random.random_range(0..4);
            let faults = [
                StoreFault::Healthy,
                StoreFault::Healthy,
                StoreFault::Down,
                StoreFault::LoseAnswers,
                StoreFault::LoseWrites,
                StoreFault::StaleReads,
            ];
            clients[at].set_fault(faults[random.random_range(0..faults.len())]);
            let name = format!("c{}", random.random_range(0..5));
            let rate = number + 1;
            let id = format!("id-{number}");
            match stores[at].submit(&change(&name, rate), &id, None).await {
                Ok(revision) => {
                    let before = accepted.insert(revision, (name, rate));
                    assert_eq!(before, None, "two changes at one revision (seed {seed})");
                }
                Err(SubmitError::Unavailable(_)) => refused.push(rate),
                Err(_) => {}
            }
            let watched = random.random_range(0..4);
            let _ = stores[watched].refresh().await;
            for (store, last) in stores.iter().zip(&mut seen) {
                assert!(
                    store.revision() >= *last,
                    "a catalog went back to an older revision (seed {seed})"
                );
                *last = store.revision();
            }
        }
        clients.iter().for_each(|it| it.set_fault(StoreFault::Healthy));
        for store in &stores {
            store.refresh().await.unwrap();
        }
        for (revision, (name, rate)) in &accepted {
            let row = table.value(&change_key(*revision)).expect("an accepted change has a row");
            let text = format!("\"id\":\"{name}\",\"rate\":{rate},");
            assert!(row.contains(&text), "revision {revision} holds another change (seed {seed})");
        }
        for rate in refused {
            let text = format!("\"rate\":{rate},");
            let found = (1..=stores[0].revision().0)
                .filter_map(|it| table.value(&change_key(Revision(it))))
                .any(|it| it.contains(&text));
            assert!(!found, "a change reported as refused is in force (seed {seed})");
        }
        let last = stores[0].current();
        assert!(stores.iter().all(|it| it.current() == last), "catalogs differ (seed {seed})");
    }
}

/// A platform whose table is down while its object store answers.
#[derive(Debug, Clone)]
struct ObjectsOnly(FakeStore);

impl ports::TableStore for ObjectsOnly {
    async fn read(&self, _key: &str) -> Result<Option<ports::Row>, ports::StoreError> {
        Err(ports::StoreError::Unavailable("down".into()))
    }

    async fn scan(
        &self,
        _prefix: &str,
        _after: &str,
        _limit: usize,
    ) -> Result<Vec<ports::Row>, ports::StoreError> {
        Err(ports::StoreError::Unavailable("down".into()))
    }

    async fn commit(
        &self,
        _txn: ports::Transaction,
    ) -> Result<ports::CommitResult, ports::StoreError> {
        Err(ports::StoreError::Unavailable("down".into()))
    }
}

impl ports::ObjectStore for ObjectsOnly {
    async fn get(&self, name: &str) -> Result<Option<bytes::Bytes>, ports::StoreError> {
        self.0.get(name).await
    }

    async fn put(&self, name: &str, data: bytes::Bytes) -> Result<(), ports::StoreError> {
        self.0.put(name, data).await
    }
}

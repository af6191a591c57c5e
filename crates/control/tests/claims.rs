//! At most one attempt holds the claim of a key, whichever writes and answers the table loses.

mod fakes;

use control::{CLAIM_RETENTION, ClaimResult, ClaimStore};
use fakes::{FakeStore, StoreFault};
use ids::{ErrorKind, Incarnation, RunState};
use policy::claim::{AttemptStatus, ClaimStage, KeptAnswer};
use ports::TableStore;
use rstest::rstest;

const KEY: &str = "claim/shop/orders/k1";
const NOW_S: u64 = 1_800_000_000;

fn store(table: &FakeStore, id: &str) -> ClaimStore<FakeStore> {
    ClaimStore::new(table.clone(), id.parse().unwrap(), Incarnation(1))
}

/// Acquires the claim of `KEY`. The owner of an existing claim is taken to report `status`.
async fn acquire(
    store: &ClaimStore<FakeStore>,
    attempt: &str,
    status: AttemptStatus,
) -> ClaimResult {
    store.acquire(KEY, "print", attempt, NOW_S, |_| async move { status }).await
}

fn refused(result: ClaimResult) -> (ErrorKind, RunState) {
    match result {
        ClaimResult::Refused(it) => (it.kind, it.run),
        other => panic!("not refused: {other:?}"),
    }
}

fn answer() -> KeptAnswer {
    KeptAnswer { status: 200, content_type: None, body: Some("done".into()) }
}

#[rstest]
#[case::healthy(StoreFault::Healthy, true)]
#[case::answer_lost(StoreFault::LoseAnswers, true)]
#[case::down(StoreFault::Down, false)]
#[case::write_lost(StoreFault::LoseWrites, false)]
#[tokio::test]
async fn a_first_attempt_gets_the_claim_or_is_refused(
    #[case] fault: StoreFault,
    #[case] acquired: bool,
) {
    let table = FakeStore::default();
    let own = table.new_client();
    own.set_fault(fault);
    let claims = store(&own, "entry-1");
    let result = acquire(&claims, "a1", AttemptStatus::Unknown).await;
    assert_eq!(matches!(result, ClaimResult::Acquired(_)), acquired, "{result:?}");
    let expected = if acquired { AttemptStatus::InFlight } else { AttemptStatus::NeverSent };
    assert_eq!(claims.attempt_status("a1", Incarnation(1)), expected);
    assert_eq!(
        claims.attempt_status("a1", Incarnation(2)),
        AttemptStatus::Unknown,
        "another incarnation"
    );
}

/// The refusal that a second attempt through another instance gets.
#[rstest]
#[case::in_flight(None, AttemptStatus::InFlight, (ErrorKind::ClaimBusy, RunState::MaybeRun))]
#[case::owner_stopped(
    None,
    AttemptStatus::Unknown,
    (ErrorKind::OutcomeUnknown, RunState::MaybeRun)
)]
#[case::answer_lost(
    Some(ClaimStage::MaybeRun),
    AttemptStatus::InFlight,
    (ErrorKind::OutcomeUnknown, RunState::MaybeRun)
)]
#[tokio::test]
async fn a_second_attempt_is_refused_while_the_first_may_have_run(
    #[case] stage: Option<ClaimStage>,
    #[case] status: AttemptStatus,
    #[case] expected: (ErrorKind, RunState),
) {
    let table = FakeStore::default();
    let (first, second) = (store(&table, "entry-1"), store(&table, "entry-2"));
    let ClaimResult::Acquired(handle) = acquire(&first, "a1", status).await else { panic!() };
    if let Some(stage) = stage {
        first.record_outcome(&handle, stage).await.unwrap();
    }
    assert_eq!(refused(acquire(&second, "a2", status).await), expected);
}

#[rstest]
#[case::recorded(Some(ClaimStage::NotRun), AttemptStatus::Unknown)]
#[case::reported_by_the_owner(None, AttemptStatus::NeverSent)]
#[tokio::test]
async fn a_second_attempt_runs_if_the_first_never_ran(
    #[case] stage: Option<ClaimStage>,
    #[case] status: AttemptStatus,
) {
    let table = FakeStore::default();
    let (first, second) = (store(&table, "entry-1"), store(&table, "entry-2"));
    let ClaimResult::Acquired(handle) = acquire(&first, "a1", status).await else { panic!() };
    if let Some(stage) = stage {
        first.record_outcome(&handle, stage).await.unwrap();
    }
    assert!(matches!(acquire(&second, "a2", status).await, ClaimResult::Acquired(_)));
    // A late record of the first attempt does not overwrite the second one's claim.
    first.record_outcome(&handle, ClaimStage::Done(answer())).await.unwrap();
    assert!(table.value(KEY).unwrap().contains("\"a2\""));
}

#[rstest]
#[case::healthy(StoreFault::Healthy)]
#[case::answer_lost(StoreFault::LoseAnswers)]
#[tokio::test]
async fn a_stored_answer_is_replayed(#[case] fault: StoreFault) {
    let table = FakeStore::default();
    let own = table.new_client();
    let (first, second) = (store(&own, "entry-1"), store(&table, "entry-2"));
    let ClaimResult::Acquired(handle) = acquire(&first, "a1", AttemptStatus::Unknown).await else {
        panic!()
    };
    own.set_fault(fault);
    first.record_outcome(&handle, ClaimStage::Done(answer())).await.unwrap();
    let ClaimResult::Replay(kept) = acquire(&second, "a2", AttemptStatus::Unknown).await else {
        panic!()
    };
    assert_eq!(kept, answer());
    assert_eq!(
        first.attempt_status("a1", Incarnation(1)),
        AttemptStatus::NeverSent,
        "no longer in flight"
    );
}

#[tokio::test]
async fn an_outcome_that_cannot_be_written_keeps_the_attempt_in_flight() {
    let table = FakeStore::default();
    let claims = store(&table, "entry-1");
    let ClaimResult::Acquired(handle) = acquire(&claims, "a1", AttemptStatus::Unknown).await else {
        panic!()
    };
    table.set_fault(StoreFault::Down);
    assert!(claims.record_outcome(&handle, ClaimStage::Done(answer())).await.is_err());
    assert_eq!(claims.attempt_status("a1", Incarnation(1)), AttemptStatus::InFlight);
}

#[rstest]
#[case::retained(CLAIM_RETENTION.as_secs(), true)]
#[case::expired(CLAIM_RETENTION.as_secs() + 1, false)]
#[tokio::test]
async fn claims_are_deleted_after_their_retention_time(#[case] age_s: u64, #[case] stays: bool) {
    let table = FakeStore::default();
    let claims = store(&table, "entry-1");
    acquire(&claims, "a1", AttemptStatus::Unknown).await;
    assert_eq!(&*claims.delete_expired(NOW_S + age_s, "").await.unwrap(), "");
    assert_eq!(table.value(KEY).is_some(), stays);
}

#[tokio::test]
async fn expired_claims_are_deleted_in_steps_over_all_rows() {
    let table = FakeStore::default();
    let claims = store(&table, "entry-1");
    for number in 0..450 {
        let key = format!("claim/shop/orders/{number:04}");
        let none = |_| async { AttemptStatus::Unknown };
        claims.acquire(&key, "print", &format!("a{number}"), NOW_S, none).await;
    }
    let later = NOW_S + CLAIM_RETENTION.as_secs() + 1;
    let mut after: Box<str> = "".into();
    let mut steps = 0;
    loop {
        after = claims.delete_expired(later, &after).await.unwrap();
        steps += 1;
        if after.is_empty() {
            break;
        }
    }
    assert_eq!(steps, 3);
    assert!(table.scan("claim/", "", 1).await.unwrap().is_empty());
}

//! Claims: at most one attempt owns a key, whatever becomes of the table's answers.

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

/// Claims, with `word` as the answer of the owner of a claim in the way.
async fn begin(store: &ClaimStore<FakeStore>, attempt: &str, word: AttemptStatus) -> ClaimResult {
    store.acquire(KEY, "print", attempt, NOW_S, |_| async move { word }).await
}

fn refused(start: ClaimResult) -> (ErrorKind, RunState) {
    match start {
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
async fn a_first_sending_owns_its_key_or_is_refused(#[case] fault: StoreFault, #[case] owns: bool) {
    let table = FakeStore::default();
    let own = table.another();
    own.set(fault);
    let claims = store(&own, "entry-1");
    let start = begin(&claims, "a1", AttemptStatus::Unknown).await;
    assert_eq!(matches!(start, ClaimResult::Acquired(_)), owns, "{start:?}");
    let expected = if owns { AttemptStatus::InFlight } else { AttemptStatus::NeverSent };
    assert_eq!(claims.attempt_status("a1", Incarnation(1)), expected);
    assert_eq!(claims.attempt_status("a1", Incarnation(2)), AttemptStatus::Unknown, "another life");
}

/// What a second sending through another instance is told.
#[rstest]
#[case::in_flight(None, AttemptStatus::InFlight, (ErrorKind::ClaimBusy, RunState::MaybeRun))]
#[case::owner_gone(None, AttemptStatus::Unknown, (ErrorKind::OutcomeUnknown, RunState::MaybeRun))]
#[case::answer_lost(Some(ClaimStage::MaybeRun), AttemptStatus::InFlight, (ErrorKind::OutcomeUnknown, RunState::MaybeRun))]
#[tokio::test]
async fn a_second_sending_is_refused_while_the_first_may_have_run(
    #[case] stage: Option<ClaimStage>,
    #[case] word: AttemptStatus,
    #[case] expected: (ErrorKind, RunState),
) {
    let table = FakeStore::default();
    let (first, second) = (store(&table, "entry-1"), store(&table, "entry-2"));
    let ClaimResult::Acquired(handle) = begin(&first, "a1", word).await else { panic!() };
    if let Some(stage) = stage {
        first.record_outcome(&handle, stage).await.unwrap();
    }
    assert_eq!(refused(begin(&second, "a2", word).await), expected);
}

#[rstest]
#[case::recorded(Some(ClaimStage::NotRun), AttemptStatus::Unknown)]
#[case::told_by_the_owner(None, AttemptStatus::NeverSent)]
#[tokio::test]
async fn a_second_sending_runs_if_the_first_never_did(
    #[case] stage: Option<ClaimStage>,
    #[case] word: AttemptStatus,
) {
    let table = FakeStore::default();
    let (first, second) = (store(&table, "entry-1"), store(&table, "entry-2"));
    let ClaimResult::Acquired(handle) = begin(&first, "a1", word).await else { panic!() };
    if let Some(stage) = stage {
        first.record_outcome(&handle, stage).await.unwrap();
    }
    assert!(matches!(begin(&second, "a2", word).await, ClaimResult::Acquired(_)));
    // The first wakes late: its record does not overwrite the second's claim.
    first.record_outcome(&handle, ClaimStage::Done(answer())).await.unwrap();
    assert!(table.value(KEY).unwrap().contains("\"a2\""));
}

#[rstest]
#[case::healthy(StoreFault::Healthy)]
#[case::answer_lost(StoreFault::LoseAnswers)]
#[tokio::test]
async fn a_kept_answer_is_replayed(#[case] fault: StoreFault) {
    let table = FakeStore::default();
    let own = table.another();
    let (first, second) = (store(&own, "entry-1"), store(&table, "entry-2"));
    let ClaimResult::Acquired(handle) = begin(&first, "a1", AttemptStatus::Unknown).await else {
        panic!()
    };
    own.set(fault);
    first.record_outcome(&handle, ClaimStage::Done(answer())).await.unwrap();
    let ClaimResult::Replay(kept) = begin(&second, "a2", AttemptStatus::Unknown).await else {
        panic!()
    };
    assert_eq!(kept, answer());
    assert_eq!(
        first.attempt_status("a1", Incarnation(1)),
        AttemptStatus::NeverSent,
        "no longer open"
    );
}

#[tokio::test]
async fn an_outcome_that_cannot_be_written_keeps_the_attempt_open() {
    let table = FakeStore::default();
    let claims = store(&table, "entry-1");
    let ClaimResult::Acquired(handle) = begin(&claims, "a1", AttemptStatus::Unknown).await else {
        panic!()
    };
    table.set(StoreFault::Down);
    assert!(claims.record_outcome(&handle, ClaimStage::Done(answer())).await.is_err());
    assert_eq!(claims.attempt_status("a1", Incarnation(1)), AttemptStatus::InFlight);
}

#[rstest]
#[case::young(CLAIM_RETENTION.as_secs(), true)]
#[case::old(CLAIM_RETENTION.as_secs() + 1, false)]
#[tokio::test]
async fn claims_are_removed_after_their_life(#[case] age_s: u64, #[case] stays: bool) {
    let table = FakeStore::default();
    let claims = store(&table, "entry-1");
    begin(&claims, "a1", AttemptStatus::Unknown).await;
    assert_eq!(&*claims.delete_expired(NOW_S + age_s, "").await.unwrap(), "");
    assert_eq!(table.value(KEY).is_some(), stays);
}

#[tokio::test]
async fn a_sweep_goes_through_all_rows_in_steps() {
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

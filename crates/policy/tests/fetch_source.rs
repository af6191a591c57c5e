//! Tests of the choice of where an engine fetches shared parts of a prompt from.

use std::time::Duration;

use policy::fetch_source::{self, PartSource, SourceKind};
use rstest::rstest;

const NOW: Duration = Duration::from_secs(100);

fn engine(source: u32, age_ms: u64) -> PartSource<u32> {
    PartSource { source, used_at: NOW - Duration::from_millis(age_ms), kind: SourceKind::Engine }
}

fn leaving(source: u32, age_ms: u64) -> PartSource<u32> {
    PartSource { kind: SourceKind::LeavingEngine, ..engine(source, age_ms) }
}

fn store(source: u32, age_ms: u64) -> PartSource<u32> {
    PartSource { kind: SourceKind::Store, ..engine(source, age_ms) }
}

#[rstest]
#[case::no_sources(&[], None)]
#[case::only_the_store(&[store(9, 60_000)], Some(9))]
#[case::recent_engine_before_the_store(&[store(9, 0), engine(1, 500)], Some(1))]
#[case::most_recent_engine(&[engine(1, 900), engine(2, 300)], Some(2))]
#[case::store_before_an_engine_that_may_have_evicted(&[engine(1, 9_000), store(9, 60_000)], Some(9))]
#[case::only_an_engine_that_may_have_evicted(&[engine(1, 9_000)], Some(1))]
#[case::store_before_a_leaving_engine(&[leaving(1, 100), store(9, 60_000)], Some(9))]
#[case::engine_before_a_leaving_one(&[leaving(1, 100), engine(2, 900)], Some(2))]
#[case::leaving_engine_before_one_that_may_have_evicted(&[leaving(1, 100), engine(2, 9_000)], Some(1))]
#[case::only_a_leaving_engine(&[leaving(1, 100)], Some(1))]
fn the_best_source_is_chosen(#[case] sources: &[PartSource<u32>], #[case] expected: Option<u32>) {
    assert_eq!(fetch_source::choose(NOW, sources), expected);
}

/// Simulates long prompts whose shared parts are each requested again every few seconds. Transfers
/// from one source run one after another, and the queue of those from the store must not grow.
#[test]
fn transfers_from_the_store_do_not_queue_up_at_peak_load() {
    const STORE: u32 = u32::MAX;
    const SUBJECTS: u32 = 120;
    const ENGINES: u32 = 60;
    const PROMPTS_PER_S: u32 = 60;
    /// 6,300 tokens of 131 KB over 180 Gbit/s, between failure domains.
    const STORE_TRANSFER: Duration = Duration::from_millis(74);
    let mut free_at = Duration::ZERO;
    let mut used = vec![None; SUBJECTS as usize];
    let mut longest_wait = Duration::ZERO;
    for number in 0..PROMPTS_PER_S * 20 {
        let now = NOW + Duration::from_secs(1) * number / PROMPTS_PER_S;
        let subject = (number * 7) % SUBJECTS;
        let Some(last) = used[subject as usize].replace(now) else { continue };
        let sources = [
            PartSource { source: STORE, used_at: last, kind: SourceKind::Store },
            PartSource { source: subject % ENGINES, used_at: last, kind: SourceKind::Engine },
        ];
        if fetch_source::choose(now, &sources) == Some(STORE) {
            free_at = free_at.max(now) + STORE_TRANSFER;
            longest_wait = longest_wait.max(free_at - now);
        }
    }
    assert!(
        longest_wait < Duration::from_secs(2),
        "the longest transfer from the store took {longest_wait:?}"
    );
}

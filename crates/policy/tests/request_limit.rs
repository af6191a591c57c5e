//! Requests that a replica takes from all daemons together.

use std::time::Duration;

use ids::RequestRate;
use policy::request_limit::RequestLimitTable;
use rstest::rstest;

const REPLICA: u64 = 7;

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

fn rate(per_s: f64) -> RequestRate {
    RequestRate::new(per_s).expect("a rate")
}

/// Requests that are granted from `from` to `to` if one is asked for each 10 ms.
fn count_granted(
    table: &mut RequestLimitTable,
    from: u64,
    to: u64,
    per_s: f64,
    share: f64,
) -> usize {
    let times = (from..to).step_by(10);
    times.filter(|it| table.take(ms(*it), REPLICA, rate(per_s), share).is_ok()).count()
}

#[rstest]
#[case::slow(1.0, 1.0, 4)]
#[case::fast(20.0, 1.0, 80)]
#[case::less_than_one(0.5, 1.0, 2)]
#[case::a_share(20.0, 0.25, 20)]
#[case::closed(0.0, 1.0, 0)]
fn a_replica_gets_its_limit_over_time(
    #[case] per_s: f64,
    #[case] share: f64,
    #[case] expected: usize,
) {
    let mut table = RequestLimitTable::default();
    let granted = count_granted(&mut table, 0, 4_010, per_s, share);
    assert!(granted.abs_diff(expected) <= 1, "{granted} granted, {expected} expected");
}

/// A new keeper does not know what the one before granted.
#[test]
fn a_new_bucket_is_empty_and_an_idle_one_saves_little() {
    let mut table = RequestLimitTable::default();
    assert_eq!(table.take(ms(0), REPLICA, rate(4.0), 1.0), Err(ms(250)));
    assert_eq!(table.take(ms(250), REPLICA, rate(4.0), 1.0), Ok(()));
    let burst = (0..10).filter(|_| table.take(ms(60_000), REPLICA, rate(4.0), 1.0).is_ok());
    assert_eq!(burst.count(), 2, "half a second's worth");
}

#[test]
fn a_repeated_query_takes_one_token() {
    let mut table = RequestLimitTable::default();
    assert!(table.take(ms(0), REPLICA, rate(4.0), 1.0).is_err());
    let mut ask = |query| table.take_once(ms(250), query, REPLICA, rate(4.0), 1.0);
    assert_eq!((ask(1), ask(1)), (Ok(()), Ok(())));
    assert!(ask(2).is_err());
}

#[test]
fn replicas_have_buckets_of_their_own_and_a_lower_limit_binds_at_once() {
    let mut table = RequestLimitTable::default();
    count_granted(&mut table, 0, 2_000, 10.0, 1.0);
    assert!(table.take(ms(2_000), REPLICA + 1, rate(10.0), 1.0).is_err(), "it is new");
    let granted = count_granted(&mut table, 2_000, 6_000, 1.0, 1.0);
    assert!(granted <= 5, "{granted} requests in 4 s");
}

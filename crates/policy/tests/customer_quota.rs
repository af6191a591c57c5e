//! All daemons together grant a customer its rate and burst, and no more than the allowance beyond.

use std::time::Duration;

use ids::CustomerId;
use policy::customer_quota::{CustomerRate, QuotaAllowance, QuotaSource, QuotaTable};
use rstest::rstest;

const ALLOWANCE: QuotaAllowance =
    QuotaAllowance { window: Duration::from_secs(8), overage: 0.1, slack: 72_000.0 };

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

fn customer() -> CustomerId {
    "c1".parse().expect("an id")
}

fn rate(per_s: f64) -> CustomerRate {
    CustomerRate { per_s, burst: per_s }
}

/// The tokens that a customer may get in a window, the allowance included.
fn window_limit(rate: CustomerRate) -> f64 {
    let entitled = rate.per_s * ALLOWANCE.window.as_secs_f64() + rate.burst;
    entitled * (1.0 + ALLOWANCE.overage) + ALLOWANCE.slack
}

/// Sum of tokens granted to requests for `tokens` each, one every 10 ms from `from_s` to `to_s`.
fn sum_granted(
    table: &mut QuotaTable,
    rate: CustomerRate,
    tokens: u64,
    from_s: u64,
    to_s: u64,
    source: QuotaSource,
) -> f64 {
    let times = (from_s * 100..to_s * 100).map(|it| ms(it * 10));
    let granted = times.filter(|at| table.take(*at, &customer(), rate, tokens, source).is_ok());
    (granted.count() as u64 * tokens) as f64
}

#[rstest]
#[case::small_requests(10_000.0, 500)]
#[case::requests_larger_than_the_burst(10_000.0, 25_000)]
fn a_home_grants_rate_and_burst_but_no_more(#[case] per_s: f64, #[case] tokens: u64) {
    let rate = rate(per_s);
    let mut table = QuotaTable::new(ALLOWANCE);
    let sum = sum_granted(&mut table, rate, tokens, 0, 20, QuotaSource::Home(1.0));
    assert!(sum <= per_s * 20.0 + rate.burst + tokens as f64, "{sum}");
    assert!(sum + 2.0 * tokens as f64 >= per_s * 20.0, "{sum}");
}

#[rstest]
#[case::small_customer(18_000.0)]
#[case::large_customer(170_000.0)]
fn daemons_all_cut_off_together_grant_at_most_rate_and_burst(#[case] per_s: f64) {
    let rate = rate(per_s);
    for tokens in [500, 9_000, 24_000] {
        let sum: f64 = (0..90)
            .map(|_| {
                let source = QuotaSource::Local(1.0 / 90.0);
                sum_granted(&mut QuotaTable::new(ALLOWANCE), rate, tokens, 0, 8, source)
            })
            .sum();
        assert!(sum <= per_s * 8.0 + rate.burst, "{tokens}: {sum}");
    }
}

#[rstest]
#[case::small_customer(18_000.0)]
#[case::large_customer(170_000.0)]
fn a_move_of_the_home_with_active_substitutes_stays_within_the_allowance(#[case] per_s: f64) {
    let rate = rate(per_s);
    let home = QuotaSource::Home(1.0);
    for tokens in [500, 9_000] {
        // The first home grants from a full bucket for four seconds and is then replaced by a new
        // one; three substitutes grant for it during all eight seconds.
        let mut first = QuotaTable::new(ALLOWANCE);
        let _ = first.take(ms(0), &customer(), rate, 1, home);
        let mut sum = sum_granted(&mut first, rate, tokens, 20, 24, home);
        sum += sum_granted(&mut QuotaTable::new(ALLOWANCE), rate, tokens, 24, 28, home);
        for _ in 0..3 {
            let mut table = QuotaTable::new(ALLOWANCE);
            sum += sum_granted(&mut table, rate, tokens, 20, 28, QuotaSource::Substitute);
        }
        assert!(sum <= window_limit(rate), "{tokens}: {sum} of {}", window_limit(rate));
    }
}

#[test]
fn a_repeated_query_is_charged_once() {
    let mut table = QuotaTable::new(ALLOWANCE);
    let home = QuotaSource::Home(1.0);
    let mut ask =
        |query_id| table.take_once(ms(0), query_id, &customer(), rate(1_000.0), 200, home);
    // A new home starts with 250 tokens.
    assert!(ask(1).is_ok() && ask(1).is_ok() && ask(1).is_ok());
    let refused = ask(2);
    assert!(refused.is_err());
    assert_eq!(ask(2), refused);
}

#[test]
fn the_returned_wait_lasts_until_the_tokens_are_available() {
    let mut table = QuotaTable::new(ALLOWANCE);
    let mut ask = |at| table.take(at, &customer(), rate(1_000.0), 1_000, QuotaSource::Home(1.0));
    let wait = ask(ms(0)).expect_err("the initial tokens do not suffice");
    assert!(ask(wait - ms(20)).is_err());
    assert!(ask(wait + ms(20)).is_ok());
}

#[test]
fn a_daemon_whose_home_answers_at_times_gets_nothing_from_its_local_bucket() {
    let mut table = QuotaTable::new(ALLOWANCE);
    let local = QuotaSource::Local(1.0 / 90.0);
    for at in (0..60_000).step_by(100) {
        table.reset_local(&customer());
        assert!(table.take(ms(at), &customer(), rate(90_000.0), 500, local).is_err());
    }
}

/// What made a home stop being one for some seconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Absence {
    /// Its process stood still.
    Paused,
    /// It saw that another daemon answered as the home.
    Replaced,
}

/// Another daemon was the home meanwhile and granted the whole rate, so that tokens of that time must
/// not be granted once more.
#[rstest]
#[case::paused(Absence::Paused)]
#[case::replaced(Absence::Replaced)]
fn a_home_that_returns_grants_no_more_than_a_new_one(#[case] absence: Absence) {
    let rate = CustomerRate { per_s: 10_000.0, burst: 40_000.0 };
    let mut table = QuotaTable::new(ALLOWANCE);
    let (left_s, back_s) = (10, 15);
    for quarter in 0..4 * back_s {
        let now = ms(quarter * 250);
        if quarter >= 4 * left_s {
            match absence {
                Absence::Paused => continue,
                Absence::Replaced => table.record_other_home(now, &customer()),
            }
        }
        table.record_alive(now);
        if quarter < 4 * left_s {
            let _ = table.take(now, &customer(), rate, 2_500, QuotaSource::Home(1.0));
        }
    }
    let mut fresh = QuotaTable::new(ALLOWANCE);
    let [returned, new] = [&mut table, &mut fresh]
        .map(|table| sum_granted(table, rate, 500, back_s, back_s + 1, QuotaSource::Home(1.0)));
    assert!(returned <= new + rate.per_s * 0.25, "{returned} of {new}");
}

/// A customer that seldom sends has its whole burst, as no other daemon granted it anything.
#[test]
fn a_home_that_is_always_there_keeps_the_tokens_of_quiet_times() {
    let rate = CustomerRate { per_s: 10_000.0, burst: 40_000.0 };
    let mut table = QuotaTable::new(ALLOWANCE);
    table.take(ms(0), &customer(), rate, 500, QuotaSource::Home(1.0)).expect("initial tokens");
    for quarter in 0..40 {
        table.record_alive(ms(quarter * 250));
    }
    let granted = table.take(ms(10_000), &customer(), rate, 39_000, QuotaSource::Home(1.0));
    assert_eq!(granted, Ok(()));
}

/// Daemons that wake from a pause hear nobody for a moment, and each takes itself for the home.
#[rstest]
#[case::small_customer(18_000.0)]
#[case::large_customer(357_000.0)]
fn many_homes_that_reach_only_themselves_stay_within_rate_and_burst(#[case] per_s: f64) {
    const DAEMONS: u64 = 88;
    let rate = rate(per_s);
    for tokens in [500, 9_000, 24_000] {
        let mut tables: Vec<_> = (0..DAEMONS).map(|_| QuotaTable::new(ALLOWANCE)).collect();
        let source = QuotaSource::Home(1.0 / DAEMONS as f64);
        let granted = tables.iter_mut().map(|it| sum_granted(it, rate, tokens, 0, 8, source));
        let sum: f64 = granted.sum();
        assert!(sum <= per_s * 8.0 + rate.burst, "{sum} of {tokens} each");
    }
}

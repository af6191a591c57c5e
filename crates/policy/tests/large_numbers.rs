//! Numbers that callers state without bound do not stop the daemon that decides on them.

use std::time::Duration;

use policy::customer_quota::{CustomerRate, QuotaAllowance, QuotaSource, QuotaTable};
use rstest::rstest;

const NOW: Duration = Duration::from_secs(30);

fn allowance() -> QuotaAllowance {
    QuotaAllowance { window: Duration::from_secs(8), overage: 0.1, slack: 72_000.0 }
}

/// The first request passes with a debt, as the bucket is full; the next one has to wait for longer
/// than any clock runs.
#[rstest]
#[case::home(QuotaSource::Home(1.0 / 373.0))]
#[case::substitute(QuotaSource::Substitute)]
#[case::cut_off(QuotaSource::Local(1.0 / 373.0))]
fn a_debt_of_any_size_gives_a_wait(#[case] source: QuotaSource) {
    let customer = "coop".parse().expect("an id");
    let rate = CustomerRate { per_s: 1.0, burst: 0.5 };
    let mut table = QuotaTable::new(QuotaAllowance { slack: 0.0, ..allowance() });
    let _ = table.take(NOW, &customer, rate, 0, source);
    for second in 1..2_000 {
        let now = NOW + Duration::from_secs(second);
        if let Err(wait) = table.take(now, &customer, rate, u64::MAX, source) {
            assert!(wait > Duration::ZERO);
        }
    }
}

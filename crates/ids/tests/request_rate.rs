//! Rates of requests as text.

use ids::{RequestRate, RequestRateError};
use rstest::rstest;

#[rstest]
#[case("2", Ok(2.0))]
#[case("0.5", Ok(0.5))]
#[case("0", Ok(0.0))]
#[case("-1", Err(RequestRateError))]
#[case("NaN", Err(RequestRateError))]
#[case("inf", Err(RequestRateError))]
#[case("1e400", Err(RequestRateError))]
#[case("", Err(RequestRateError))]
#[case("two", Err(RequestRateError))]
fn a_rate_is_a_finite_number_of_zero_or_more(
    #[case] text: &str,
    #[case] expected: Result<f64, RequestRateError>,
) {
    assert_eq!(text.parse::<RequestRate>().map(RequestRate::per_s), expected);
}

#[test]
fn a_rate_is_read_as_it_is_written() {
    let rate = RequestRate::new(5.25).expect("a rate");
    assert_eq!(rate.to_string().parse(), Ok(rate));
}

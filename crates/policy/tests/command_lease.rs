//! Fencing tokens of the lease on commands, also when the store comes back from an older copy.

use std::time::Duration;

use ids::StoreEra;
use policy::command_lease::{self, LeaseRequest, StoredLease};
use rstest::rstest;

const EXPIRY: Duration = Duration::from_millis(1_200);
/// The first token of the era after the first.
const NEXT_ERA: u64 = (1 << 32) | 1;

fn row(is_own: bool, token: u64, age_ms: u64) -> Option<StoredLease> {
    Some(StoredLease { is_own, token, age: Duration::from_millis(age_ms) })
}

#[rstest]
#[case::never_held(None, 0, 0, Some(1))]
#[case::own(row(true, 7, 100), 0, 0, Some(7))]
#[case::held_by_another(row(false, 7, 1_100), 0, 0, None)]
#[case::expired(row(false, 7, 1_200), 0, 0, Some(8))]
#[case::lost_just_now(None, 1, 0, None)]
#[case::lost_and_holders_have_ended(None, 1, 1_200, Some(NEXT_ERA))]
#[case::own_row_of_the_era_before(row(true, 7, 9_000), 1, 1_100, None)]
#[case::row_of_another_of_the_era_before(row(false, 7, 9_000), 1, 1_200, Some(NEXT_ERA))]
#[case::own_in_a_later_era(row(true, NEXT_ERA, 100), 1, 0, Some(NEXT_ERA))]
#[case::expired_in_a_later_era(row(false, NEXT_ERA, 1_300), 1, 0, Some(NEXT_ERA + 1))]
fn a_lease_is_claimed_once_no_other_daemon_can_hold_it(
    #[case] stored: Option<StoredLease>,
    #[case] era: u64,
    #[case] era_age_ms: u64,
    #[case] expected: Option<u64>,
) {
    let request = LeaseRequest {
        stored,
        era: StoreEra(era),
        era_age: Duration::from_millis(era_age_ms),
        expiry: EXPIRY,
    };
    assert_eq!(command_lease::claim_token(request), expected);
}

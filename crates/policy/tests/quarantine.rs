//! The record of crashes at its size limit.

use std::time::Duration;

use policy::quarantine::{Fingerprint, MAX_RECORDS, QuarantineState, QuarantineTable, Strike};

const NOW: Duration = Duration::from_secs(1);

fn strike(request: u64, member: u64) -> Strike {
    Strike { fingerprint: Fingerprint(request), member }
}

fn full_table() -> QuarantineTable {
    let mut table = QuarantineTable::default();
    for request in 0..MAX_RECORDS as u64 {
        table.record_strike(NOW, strike(request, 1));
    }
    table
}

#[test]
fn a_strike_of_a_request_on_record_drops_no_other_request() {
    let mut table = full_table();
    assert!(!table.record_strike(NOW, strike(5, 1)), "the strike is known");
    assert!(table.record_strike(NOW, strike(6, 2)));
    assert_eq!(table.state(NOW, Fingerprint(0)), QuarantineState::Isolated);
    assert_eq!(table.state(NOW, Fingerprint(6)), QuarantineState::Quarantined);
}

#[test]
fn a_second_strike_counts_for_the_request_recorded_first() {
    let mut table = full_table();
    assert!(table.record_strike(NOW, strike(0, 2)));
    assert_eq!(table.state(NOW, Fingerprint(0)), QuarantineState::Quarantined);
}

#[test]
fn a_new_request_beyond_the_limit_drops_the_one_recorded_first() {
    let mut table = full_table();
    let newest = MAX_RECORDS as u64;
    assert!(table.record_strike(NOW, strike(newest, 1)));
    assert_eq!(table.state(NOW, Fingerprint(0)), QuarantineState::Clean);
    assert_eq!(table.state(NOW, Fingerprint(newest)), QuarantineState::Isolated);
    assert_eq!(table.strikes().len(), MAX_RECORDS);
}

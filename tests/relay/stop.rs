//! The phases of a planned stop.

use shalelane::relay::stop::{StopPhase, StopPlan};

use crate::fixture::ms;

fn phase(millis: u64, open: usize) -> StopPhase {
    StopPlan::new(ms(8_000)).phase(ms(millis), open)
}

#[test]
fn a_stop_serves_until_callers_are_sent_elsewhere_and_waits_for_what_is_open() {
    assert_eq!(phase(2_000, 0), StopPhase::Serving);
    assert_eq!(phase(2_700, 0), StopPhase::Ended);
    assert_eq!(phase(2_700, 3), StopPhase::Serving);
    assert_eq!(phase(7_000, 3), StopPhase::Finishing);
    assert_eq!(phase(7_400, 3), StopPhase::Ended);
}

/// Past failure: a request that came 3.18 s after the beginning was taken, and
/// cut 4.3 s later by the end of the stop.
#[test]
fn what_comes_after_three_seconds_is_not_taken() {
    assert_eq!(phase(2_999, 1), StopPhase::Finishing);
}

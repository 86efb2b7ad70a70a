//! The phases of a planned stop.

use shalelane::relay::stop::{StopPhase, StopPlan};

use crate::fixture::ms;

fn phase(millis: u64, open: usize) -> StopPhase {
    StopPlan::new(ms(8_000)).phase(ms(millis), open)
}

#[test]
fn a_stop_serves_new_requests_at_first_and_then_waits_for_open_ones() {
    assert_eq!(phase(2_000, 0), StopPhase::Serving);
    assert_eq!(phase(2_700, 0), StopPhase::Ended);
    assert_eq!(phase(2_700, 3), StopPhase::Serving);
    assert_eq!(phase(7_000, 3), StopPhase::Finishing);
    assert_eq!(phase(7_400, 3), StopPhase::Ended);
}

/// Guards against a request that is accepted too late: one that arrived 3.18 s after the start of
/// a stop was cut off 4.3 s later by its end.
#[test]
fn requests_after_three_seconds_are_refused() {
    assert_eq!(phase(2_999, 1), StopPhase::Finishing);
}

#[test]
fn a_stop_ends_before_the_limit_whatever_is_open() {
    let plan = StopPlan::new(ms(8_000));
    let ended = (0..8_000).find(|millis| phase(*millis, 1) == StopPhase::Ended).unwrap();
    assert!(!plan.must_exit(ms(ended)), "connections have time to close");
    assert!(plan.must_exit(ms(7_999)));
}

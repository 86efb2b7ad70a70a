//! The phases of a planned stop.

use shalelane::relay::stop::{SendKind, StopPhase, StopPlan};

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

fn allows(kind: SendKind, expected: u64, elapsed: u64) -> bool {
    StopPlan::new(ms(8_000)).allows_send(kind, ms(expected), ms(elapsed))
}

/// Guards against requests that are passed on late in a stop and cut off by its end.
#[test]
fn nothing_is_sent_that_can_not_end_before_the_stop() {
    for elapsed in (0..8_000).step_by(50) {
        let left = 7_300_u64.saturating_sub(elapsed);
        for kind in [SendKind::First, SendKind::Retry] {
            assert!(!allows(kind, left + 1, elapsed), "{kind:?} at {elapsed}");
        }
        assert_eq!(allows(SendKind::Retry, left, elapsed), elapsed <= 7_300, "at {elapsed}");
        assert_eq!(allows(SendKind::First, left, elapsed), elapsed < 2_800, "at {elapsed}");
        assert_eq!(allows(SendKind::Continuation, 60_000, elapsed), elapsed < 7_300);
    }
}

#[test]
fn a_short_stop_leaves_no_time_for_new_requests() {
    let plan = StopPlan::new(ms(500));
    assert!(!plan.allows_send(SendKind::First, ms(0), ms(0)));
    assert_eq!(plan.phase(ms(0), 1), StopPhase::Ended);
}

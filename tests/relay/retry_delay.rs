//! Delays after which refused callers may retry.

use shalelane::relay::decide::group_search::place_prompt;
use shalelane::relay::decide::placement::{Placement, PromptNeed};
use shalelane::relay::decide::retry_delay::{after_overload, after_reopening};

use crate::fixture::{at, check, engines, ms, need};
use crate::placement::ANY_QUERY;

#[test]
fn callers_are_asked_to_retry_before_their_deadline() {
    fn property(first: u16, left: u16) -> bool {
        let found = place_prompt(&engines(1), &ANY_QUERY, &need(50_000), at(0)).unwrap();
        let placement = Placement { first_event: ms(first.into()), ..found };
        let need = PromptNeed { time_left: ms(left.into()), ..need(50_000) };
        let after = after_overload(&placement, &need, &mut rand::rng());
        after <= need.time_left / 3
    }
    check(property as fn(u16, u16) -> bool);
}

#[test]
fn callers_are_asked_to_retry_after_the_prefill_queues_are_empty() {
    let found = place_prompt(&engines(1), &ANY_QUERY, &need(5_000), at(0)).unwrap();
    let placement = Placement { first_event: ms(2_900), ..found };
    let need = PromptNeed { time_left: ms(30_000), ..need(5_000) };
    assert!(after_overload(&placement, &need, &mut rand::rng()) >= ms(2_900));
}

/// A caller that was refused just before a target accepts requests again must not return at once.
#[test]
fn callers_are_not_asked_to_return_within_fifty_milliseconds() {
    for wait in [0, 1, 48, 50, 400] {
        let after = after_reopening(ms(wait), &mut rand::rng());
        assert!(after >= ms(50).max(ms(wait)), "{after:?} after {wait} ms");
    }
}

//! When callers that are refused are told to come back.

use shalelane::relay::decide::group_search::place_prompt;
use shalelane::relay::decide::placement::{Placement, PromptNeed};
use shalelane::relay::decide::return_time::after_overload;

use crate::fixture::{at, check, engines, ms, need};
use crate::places::ANY_QUERY;

#[test]
fn nobody_is_told_to_come_back_too_late_to_be_heard() {
    fn property(first: u16, left: u16) -> bool {
        let placed = place_prompt(&engines(1), &ANY_QUERY, &need(50_000), at(0)).unwrap();
        let placement = Placement { first: ms(first.into()), ..placed };
        let need = PromptNeed { time_left: ms(left.into()), ..need(50_000) };
        let after = after_overload(&placement, &need, &mut rand::rng());
        after <= need.time_left / 3
    }
    check(property as fn(u16, u16) -> bool);
}

#[test]
fn nobody_is_told_to_come_back_before_engines_have_read_what_is_in_line() {
    let placed = place_prompt(&engines(1), &ANY_QUERY, &need(5_000), at(0)).unwrap();
    let placement = Placement { first: ms(2_900), ..placed };
    let need = PromptNeed { time_left: ms(30_000), ..need(5_000) };
    assert!(after_overload(&placement, &need, &mut rand::rng()) >= ms(2_900));
}

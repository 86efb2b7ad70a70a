//! The turns that an agent gives at a target that takes a bounded rate.

use shalelane::relay::decide::permit_desk::{PermitAsk, PermitDesk, PermitReply};
use shalelane::relay::decide::rate_book::RateNews;
use shalelane::relay::decide::rate_limit::RateLimit;
use shalelane::relay::decide::targets::TargetLife;

use crate::fixture::{at, record};

fn rate(per_second: f64) -> RateLimit {
    RateLimit::from_per_second(per_second).unwrap()
}

fn life(name: &str) -> TargetLife {
    record(name, 1).to_life()
}

/// An agent that was idle keeps one turn, so that two at most are given at once.
#[test]
fn after_an_idle_time_two_turns_are_given_at_once() {
    let mut desk = PermitDesk::default();
    let news = RateNews { life: life("a"), rate: Some(rate(2.0)), age_ms: 0 };
    let ask = PermitAsk { news, warmup: None, most_wait_ms: 0, is_second: false };
    desk.on_ask(&ask, at(0));
    let replies = (0..20).map(|_| desk.on_ask(&ask, at(60_000)));
    let granted = replies.filter(|reply| matches!(reply, PermitReply::Granted { .. })).count();
    assert_eq!(granted, 2);
}

/// The second agent alone gives half of the rate.
#[test]
fn the_second_agent_gives_half_of_the_rate() {
    let mut desk = PermitDesk::default();
    let news = RateNews { life: life("a"), rate: Some(rate(2.0)), age_ms: 0 };
    let ask = PermitAsk { news, warmup: None, most_wait_ms: 0, is_second: true };
    let replies = (0..4_000).map(|step| desk.on_ask(&ask, at(step * 5)));
    let granted = replies.filter(|reply| matches!(reply, PermitReply::Granted { .. })).count();
    assert!((18..=21).contains(&granted), "{granted} turns in 20 s at half of 2/s");
}

#[test]
fn each_entry_that_is_refused_is_told_of_another_turn() {
    let mut desk = PermitDesk::default();
    let news = RateNews { life: life("a"), rate: Some(rate(2.0)), age_ms: 0 };
    let ask = PermitAsk { news, warmup: None, most_wait_ms: 0, is_second: false };
    let replies: Vec<_> = (0..4).map(|_| desk.on_ask(&ask, at(0))).collect();
    let wait = |wait_ms| PermitReply::Refused { wait_ms };
    assert_eq!(replies, [wait(500), wait(1_000), wait(1_500), wait(2_000)]);
    assert_eq!(desk.on_ask(&ask, at(500)), PermitReply::Granted { after_ms: 0 });
}

#[test]
fn who_would_wait_gets_the_turns_that_come() {
    let mut desk = PermitDesk::default();
    let news = RateNews { life: life("a"), rate: Some(rate(2.0)), age_ms: 0 };
    let ask = PermitAsk { news, warmup: None, most_wait_ms: 1_200, is_second: false };
    let replies: Vec<_> = (0..3).map(|_| desk.on_ask(&ask, at(0))).collect();
    let granted = |after_ms| PermitReply::Granted { after_ms };
    assert_eq!(replies, [granted(500), granted(1_000), PermitReply::Refused { wait_ms: 1_500 }]);
}

#[test]
fn an_order_without_a_permit_takes_a_turn() {
    let mut desk = PermitDesk::default();
    let news = RateNews { life: life("a"), rate: Some(rate(2.0)), age_ms: 0 };
    desk.take_news(std::slice::from_ref(&news), at(0));
    desk.note_spent(&life("a"), at(0));
    let ask = PermitAsk { news, warmup: None, most_wait_ms: 0, is_second: false };
    assert_eq!(desk.on_ask(&ask, at(500)), PermitReply::Refused { wait_ms: 500 });
}

//! Permits that an agent issues for a rate-limited target.

use shalelane::relay::decide::permit_issuer::{PermitIssuer, PermitReply, PermitRequest};
use shalelane::relay::decide::rate_limit::RateLimit;
use shalelane::relay::decide::rate_table::RateUpdate;
use shalelane::relay::decide::targets::TargetInstance;

use crate::fixture::{at, record};

fn rate(per_second: f64) -> RateLimit {
    RateLimit::from_per_second(per_second).unwrap()
}

fn instance(name: &str) -> TargetInstance {
    record(name, 1).to_instance()
}

/// An agent that was idle carries over one permit, so it issues at most two at once.
#[test]
fn after_an_idle_time_two_permits_are_issued_at_once() {
    let mut issuer = PermitIssuer::default();
    let update = RateUpdate { instance: instance("a"), rate: Some(rate(2.0)), age_ms: 0 };
    let request = PermitRequest { rate: update, warmup: None, max_wait_ms: 0, is_second: false };
    issuer.on_request(&request, at(0));
    let replies = (0..20).map(|_| issuer.on_request(&request, at(60_000)));
    let granted = replies.filter(|reply| matches!(reply, PermitReply::Granted { .. })).count();
    assert_eq!(granted, 2);
}

/// The second agent alone issues permits at half of the rate.
#[test]
fn the_second_agent_issues_half_of_the_rate() {
    let mut issuer = PermitIssuer::default();
    let update = RateUpdate { instance: instance("a"), rate: Some(rate(2.0)), age_ms: 0 };
    let request = PermitRequest { rate: update, warmup: None, max_wait_ms: 0, is_second: true };
    let replies = (0..4_000).map(|step| issuer.on_request(&request, at(step * 5)));
    let granted = replies.filter(|reply| matches!(reply, PermitReply::Granted { .. })).count();
    assert!((18..=21).contains(&granted), "{granted} permits in 20 s at half of 2/s");
}

#[test]
fn each_refused_entry_is_given_a_different_wait() {
    let mut issuer = PermitIssuer::default();
    let update = RateUpdate { instance: instance("a"), rate: Some(rate(2.0)), age_ms: 0 };
    let request = PermitRequest { rate: update, warmup: None, max_wait_ms: 0, is_second: false };
    let replies: Vec<_> = (0..4).map(|_| issuer.on_request(&request, at(0))).collect();
    let wait = |wait_ms| PermitReply::Refused { wait_ms };
    assert_eq!(replies, [wait(500), wait(1_000), wait(1_500), wait(2_000)]);
    assert_eq!(issuer.on_request(&request, at(500)), PermitReply::Granted { after_ms: 0 });
}

#[test]
fn an_entry_that_would_wait_gets_the_next_permits() {
    let mut issuer = PermitIssuer::default();
    let update = RateUpdate { instance: instance("a"), rate: Some(rate(2.0)), age_ms: 0 };
    let request =
        PermitRequest { rate: update, warmup: None, max_wait_ms: 1_200, is_second: false };
    let replies: Vec<_> = (0..3).map(|_| issuer.on_request(&request, at(0))).collect();
    let granted = |after_ms| PermitReply::Granted { after_ms };
    assert_eq!(replies, [granted(500), granted(1_000), PermitReply::Refused { wait_ms: 1_500 }]);
}

#[test]
fn a_send_without_a_permit_uses_one() {
    let mut issuer = PermitIssuer::default();
    let update = RateUpdate { instance: instance("a"), rate: Some(rate(2.0)), age_ms: 0 };
    issuer.apply_updates(std::slice::from_ref(&update), at(0));
    issuer.record_unpermitted(&instance("a"), at(0));
    let request = PermitRequest { rate: update, warmup: None, max_wait_ms: 0, is_second: false };
    assert_eq!(issuer.on_request(&request, at(500)), PermitReply::Refused { wait_ms: 500 });
}

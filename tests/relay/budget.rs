//! Budgets of retries: the own one of an entry, and the shared one that agents grant from.

use std::time::Duration;

use shalelane::relay::core::RelayCore;
use shalelane::relay::decide::permit_issuer::PermitReply;
use shalelane::relay::decide::retry_budget::{RetryBound, RetryBudget};
use shalelane::relay::decide::shared_retry_budget::{
    RetryDeposit, RetryGrantRequest, SharedRetryBudget,
};
use shalelane::relay::decide::slack_share::SlackShare;
use shalelane::relay::discovery::freshness::StalePolicy;
use shalelane::relay::discovery::rules::{RelayConfig, ServiceRule};
use shalelane::relay::peers::peer_message::PeerMessage;
use shalelane::relay::peers::subscriber_set::SubscriberSet;
use shalelane::time::Tick;

use crate::fixture::{at, limits, ms, name, rates, record};

const BOUND: RetryBound = RetryBound { ratio: 0.2, slack: 100.0, window: Duration::from_secs(10) };

/// Interval of deposits, in milliseconds.
const DEPOSIT_INTERVAL: u64 = 500;

fn request() -> RetryGrantRequest {
    let window_ms = BOUND.window.as_millis() as u32;
    RetryGrantRequest { service: name("plain"), slack: BOUND.slack, window_ms, paid: 0 }
}

fn is_granted(reply: PermitReply) -> bool {
    matches!(reply, PermitReply::Granted { .. })
}

/// An entry that knows two engines.
fn core() -> RelayCore {
    let mut core = RelayCore::new(limits(StalePolicy::FailClosed), 1);
    let services = vec![ServiceRule { name: name("engines"), engine: Some(rates()), warmup: None }];
    let config = RelayConfig { version: 1, services, ..RelayConfig::default() };
    core.apply_config(Some(config), at(0));
    core.apply_list(vec![record("a", 1), record("b", 2)], false, at(0));
    core
}

/// An agent to which one entry made all deposits.
fn agent_with_deposits(seconds: u64) -> (SharedRetryBudget, u64) {
    let (mut shared, mut share) = (SharedRetryBudget::default(), SlackShare::default());
    let mut now = 100_000;
    for _ in 0..seconds * 1_000 / DEPOSIT_INTERVAL {
        share.record_entries(1, at(now));
        if let Some(deposit) = share.take_deposit(1, at(now)) {
            shared.on_deposit(&deposit, at(now));
        }
        now += DEPOSIT_INTERVAL;
    }
    (shared, now)
}

#[test]
fn a_refusal_states_when_the_next_retry_is_available() {
    let (mut shared, now) = agent_with_deposits(20);
    let replies: Vec<_> = (0..80).map(|_| shared.on_request(&request(), at(now))).collect();
    let refused: Vec<u64> = replies
        .iter()
        .filter_map(|reply| match reply {
            PermitReply::Refused { wait_ms } => Some(u64::from(*wait_ms)),
            _ => None,
        })
        .collect();
    assert!(refused.len() > 20, "{refused:?}");
    assert!(refused[0] <= 250 && refused[1] > refused[0], "each waits for its own: {refused:?}");
    assert!(refused.iter().all(|wait_ms| *wait_ms <= 1_000), "{refused:?}");
    // Deposits go on meanwhile; the next one comes half a second later.
    let later = at(now + DEPOSIT_INTERVAL.max(refused[0] + 1));
    let share_us = (DEPOSIT_INTERVAL * 950) as u32;
    shared.on_deposit(&RetryDeposit { entry: 1, sent_at: later, share_us }, later);
    assert_eq!(shared.on_request(&request(), later), PermitReply::Granted { after_ms: 0 });
}

#[test]
fn a_bound_that_is_not_positive_and_finite_grants_nothing() {
    for slack in [0.0, -5.0, f64::NAN, f64::INFINITY] {
        let (mut shared, now) = agent_with_deposits(20);
        for window_ms in [0, 10_000] {
            let request = RetryGrantRequest { slack, window_ms, ..request() };
            let reply = shared.on_request(&request, at(now));
            assert!(matches!(reply, PermitReply::Refused { .. }), "{slack}: {reply:?}");
        }
    }
}

/// A vanishing slack, or no deposits, must not overflow.
#[test]
fn extreme_bounds_are_refused_without_overflow() {
    for slack in [1e-300, 1e-9] {
        for window_ms in [1, 10_000, u32::MAX] {
            let (mut shared, now) = agent_with_deposits(5);
            let request = RetryGrantRequest { slack, window_ms, ..request() };
            assert!(!is_granted(shared.on_request(&request, at(now))));
            let mut empty = SharedRetryBudget::default();
            assert!(!is_granted(empty.on_request(&request, at(now))));
        }
    }
}

/// The ratio is not rounded up: else 400 entries with one request each would make 400 retries.
#[test]
fn an_entry_without_enough_requests_has_no_retry() {
    let mut budget = RetryBudget::new(BOUND);
    for _ in 0..9 {
        budget.record_request(at(0));
        assert!(!budget.take(at(0)));
    }
    budget.record_request(at(0));
    assert!(budget.take(at(0)));
    assert!(!budget.take(at(0)));
}

/// What an agent granted before its start is not known, so nothing but deposits pays for retries.
#[test]
fn an_agent_without_deposits_grants_nothing() {
    let mut shared = SharedRetryBudget::default();
    for millis in (0..60_000).step_by(100) {
        assert!(!is_granted(shared.on_request(&request(), at(millis))), "after {millis} ms");
    }
}

#[test]
fn deposits_that_arrive_twice_or_late_add_nothing() {
    let granted = |late: Option<Duration>, copies: usize| {
        let (mut shared, mut share) = (SharedRetryBudget::default(), SlackShare::default());
        for step in 0..20 {
            let now = at(100_000) + ms(step * DEPOSIT_INTERVAL);
            share.record_entries(1, now);
            let Some(deposit) = share.take_deposit(1, now) else { continue };
            let delay = late.filter(|_| step > 10).unwrap_or_default();
            for _ in 0..copies {
                shared.on_deposit(&deposit, now + delay);
            }
        }
        let now = at(100_000) + ms(20 * DEPOSIT_INTERVAL) + late.unwrap_or_default();
        (0..200).filter(|_| is_granted(shared.on_request(&request(), now))).count()
    };
    let once = granted(None, 1);
    assert!(once > 20, "{once}");
    assert_eq!(granted(None, 3), once, "three copies");
    assert_eq!(granted(Some(ms(6_000)), 1), 0, "late");
}

/// What an entry has not spent for a time shorter than the window is lost.
#[test]
fn unspent_credit_expires() {
    let mut budget = RetryBudget::new(BOUND);
    for _ in 0..100 {
        budget.record_request(at(0));
    }
    assert!(budget.has_retry(at(7_000)));
    assert!(!budget.has_retry(at(7_700)));
    let (mut shared, now) = agent_with_deposits(20);
    assert!(!is_granted(shared.on_request(&request(), at(now + 7_700))));
}

/// An entry without a reachable agent has its own budget only, and ends no attempt for a retry that
/// it cannot make.
#[test]
fn an_entry_without_a_reachable_agent_asks_for_no_retry() {
    let mut core = core();
    let service = name("engines");
    assert!(core.retry_grant_query(&service, at(0)).is_none());
    assert!(!core.could_retry(&service, None, &[name("b")], at(0)));
    acknowledge(&mut core, "a", 3, at(10));
    let query = core.retry_grant_query(&service, at(20)).unwrap();
    assert_eq!(query.agent_hosts.len(), 1);
    assert!(core.could_retry(&service, None, &[name("b")], at(20)));
    core.record_agent_silence(query.agent_hosts[0]);
    assert!(core.retry_grant_query(&service, at(20)).is_none(), "silent");
    acknowledge(&mut core, "a", 3, at(30));
    assert!(core.retry_grant_query(&service, at(1_700)).is_none(), "not heard of for long");
}

/// An entry deposits its share of the time in which it has run, beginning when it has settled.
#[test]
fn deposits_are_an_equal_share_of_the_time() {
    let mut core = core();
    let mut deposited_us = 0;
    for step in 0..=20 {
        let now = at(10 + step * DEPOSIT_INTERVAL);
        acknowledge(&mut core, "a", 3, now);
        let order = core.take_retry_deposit(now);
        assert_eq!(order.is_some(), step >= 2, "step {step}");
        deposited_us += order.map_or(0, |order| u64::from(order.deposit.share_us));
    }
    let time_us = 20 * DEPOSIT_INTERVAL * 1_000;
    assert!(deposited_us <= time_us / 3, "{deposited_us} of {time_us}");
    assert!(deposited_us >= time_us * 9 / 30, "{deposited_us} of {time_us}");
}

/// The largest number of entries that any agent reports counts, also when a later one is smaller.
#[test]
fn an_entry_divides_by_the_largest_number_of_entries() {
    let mut share = SlackShare::default();
    let mut deposit_after = |entries, millis| {
        share.record_entries(entries, at(millis));
        share.take_deposit(1, at(millis)).map(|deposit| deposit.share_us)
    };
    assert_eq!(deposit_after(1, 0), None);
    assert_eq!(deposit_after(10, 1_000), Some(95_000));
    assert_eq!(deposit_after(30, 1_300), None, "none is due");
    assert_eq!(deposit_after(10, 1_600), Some(19_000));
}

/// Disconnected entries still count at an agent, so that one that restarts meanwhile does not take
/// their part.
#[test]
fn an_agent_reports_disconnected_entries_for_a_minute() {
    let mut set = SubscriberSet::default();
    let subscribe = |set: &mut SubscriberSet, entry: u64, now| {
        let message = PeerMessage::Subscribe {
            entry,
            proof_age_ms: None,
            watched_revision: None,
            confirmed_revision: None,
            version_in_force: None,
        };
        let from = ([10, 0, 1, entry as u8], 80).into();
        let out = set.on_message(&message, from, 100, now);
        let PeerMessage::SubscriptionAck { entries, .. } = &out[0].message else {
            panic!("{:?}", out[0]);
        };
        *entries
    };
    for entry in 1..=5 {
        subscribe(&mut set, entry, at(0));
    }
    set.expire(at(10_000));
    assert_eq!(subscribe(&mut set, 1, at(10_000)), 5);
    set.expire(at(70_000));
    assert_eq!(subscribe(&mut set, 1, at(70_000)), 1);
}

fn acknowledge(core: &mut RelayCore, target: &str, entries: u32, now: Tick) {
    let message = PeerMessage::SubscriptionAck {
        target: name(target),
        entries,
        pace_percent: 100,
        proof_age_ms: None,
        proof_from: None,
        watchers: 0,
        watched_revision: None,
        confirmed_revision: None,
        newest_version: None,
    };
    core.apply_message(message, now);
}

/// Guards against an entry that was frozen and deposits the share of all that time at once.
#[test]
fn an_entry_that_was_frozen_does_not_make_up_for_it() {
    let mut share = SlackShare::default();
    for millis in (0..4_000).step_by(500) {
        share.record_entries(1, at(millis));
        share.take_deposit(1, at(millis));
    }
    let deposit = share.take_deposit(1, at(14_000)).expect("a deposit is due");
    assert!(ms(u64::from(deposit.share_us) / 1_000) <= ms(1_500), "{deposit:?}");
    assert!(share.take_deposit(1, at(14_001)).is_none(), "what was lost was deposited later");
}

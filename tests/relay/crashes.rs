//! Crashes of engines during sharded prefills.

use std::collections::HashSet;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use shalelane::relay::core::RelayCore;
use shalelane::relay::decide::placement::{Placement, TargetScope};
use shalelane::relay::decide::send_count::{SendCount, SendEnd};
use shalelane::relay::decide::targets::TargetFault;
use shalelane::relay::discovery::freshness::StalePolicy;
use shalelane::relay::discovery::rules::{RelayConfig, ServiceRule};
use shalelane::relay::peers::engine_health::{EngineHealth, PollResult};
use shalelane::relay::peers::peer_message::PeerMessage;
use shalelane::time::Tick;

use crate::fixture::{at, limits, ms, name, need, rates, record};

/// Number of targets that may run a request by its route, plus one run after lost answers.
const MAX_RUNS: usize = 3;

/// An entry that knows the given number of engines.
fn entry(engines: u8) -> RelayCore {
    let mut core = RelayCore::new(limits(StalePolicy::FailClosed), 1);
    let engine = Some(rates());
    let services = vec![ServiceRule { name: name("engines"), engine, warmup: None }];
    let config = RelayConfig { version: 1, services, ..RelayConfig::default() };
    core.apply_config(Some(config), at(0));
    let records = (0..engines).map(|number| record(&format!("e{number}"), number)).collect();
    core.apply_list(records, false, at(0));
    core
}

fn address(core: &RelayCore, target: &str) -> SocketAddr {
    core.targets.get(target).unwrap().record.address
}

/// Sends one prompt of 300,000 tokens until its group contains no crashed engine, or the
/// entry has no retry left. Returns whether it was served, and the number of sends.
fn send_prompt(core: &mut RelayCore, crashed: &HashSet<Arc<str>>, mut now: Tick) -> (bool, usize) {
    let service = name("engines");
    core.record_request(&service, now);
    let mut count = SendCount::default();
    let mut tried: Vec<Arc<str>> = Vec::new();
    let mut sends = 0;
    while count.allows(MAX_RUNS) {
        let need = need(300_000);
        let scope = TargetScope::Untried(&tried);
        let Some(Placement { target, helpers, .. }) =
            core.place("engines", Some(&need), scope, now)
        else {
            return (false, sends);
        };
        now = now + ms(30);
        if crashed.contains(&target) {
            core.record_failure(&target, TargetFault::Broken, now);
            tried.push(target);
            count.record(SendEnd::NotSent);
            continue;
        }
        sends += 1;
        let Some(helper) = helpers.iter().find(|helper| crashed.contains(*helper)) else {
            return (true, sends);
        };
        let failed = address(core, helper);
        assert!(core.record_helper_failure(&target, failed, now));
        count.record(SendEnd::Refused);
        if !core.take_retry(&service, now) {
            return (false, sends);
        }
    }
    (false, sends)
}

/// Guards against the refusal of prompts with 14 of 15 seconds left. If a sixth of the engines
/// has crashed, nearly each group contains a crashed one, and a fleet of a hundred entries
/// leaves each entry one or two retries in ten seconds. Agents know within a report interval
/// that their engine is down, and notify all entries.
#[test]
fn prompts_survive_a_crash_that_agents_report() {
    let mut served_without_reports = 0;
    for first in 0..20 {
        let crashed = (0..8).map(|number| name(&format!("e{}", (first * 7 + number * 11) % 48)));
        let crashed: HashSet<_> = crashed.collect();
        let mut core = entry(48);
        core.apply_message(subscription_ack(name("e0"), 100), at(10));
        served_without_reports += usize::from(send_prompt(&mut core, &crashed, at(1_000)).0);
        let mut core = entry(48);
        core.apply_message(subscription_ack(name("e0"), 100), at(10));
        for engine in &crashed {
            let host: IpAddr = address(&core, engine).ip();
            core.record_down(host, at(990));
        }
        assert_eq!(send_prompt(&mut core, &crashed, at(1_000)), (true, 1), "crashed: {crashed:?}");
    }
    assert!(
        served_without_reports < 15,
        "{served_without_reports} of 20 served without reports of agents"
    );
}

#[test]
fn an_engine_that_sends_events_is_up_whatever_its_agent_reports() {
    let mut core = entry(2);
    let host = address(&core, "e0").ip();
    let target = core.targets.get_mut("e0").unwrap();
    target.record_sent(at(1_000));
    target.record_received(at(1_000));
    core.record_down(host, at(1_100));
    assert!(!core.targets.get("e0").unwrap().is_ejected(at(1_100)));
    core.record_down(host, at(1_600));
    assert!(core.targets.get("e0").unwrap().is_ejected(at(1_600)));
    assert!(!core.targets.get("e0").unwrap().is_ejected(at(2_700)), "until it is reported again");
}

#[test]
fn refusals_for_lack_of_capacity_are_bounded() {
    let mut count = SendCount::default();
    for _ in 0..5 {
        assert!(count.allows(MAX_RUNS));
        count.record(SendEnd::Refused);
    }
    assert!(!count.allows(MAX_RUNS));
}

#[test]
fn runs_are_bounded_by_the_route() {
    let mut count = SendCount::default();
    for _ in 0..MAX_RUNS {
        assert!(count.allows(MAX_RUNS));
        count.record(SendEnd::MayHaveRun);
    }
    assert!(!count.allows(MAX_RUNS));
}

#[test]
fn an_agent_polls_its_engine_at_once_if_an_entry_suspects_it() {
    let mut health = EngineHealth::default();
    assert!(!health.is_due(false, at(0)), "nothing to do");
    health.record_suspicion(entry_address(1), at(5));
    assert!(health.is_due(false, at(10)));
    assert!(health.record_report(PollResult::Refused));
    assert!(!health.is_due(false, at(20)));
    health.record_suspicion(entry_address(1), at(45));
    assert!(!health.is_due(false, at(50)), "some entries suspect it at the same moment");
    assert!(health.is_due(false, at(410)), "polled again while it is down");
    assert!(!health.record_report(PollResult::Pace(150)));
    assert_eq!(health.pace_percent(), 150);
}

/// Entries wait for half a second at most. The poll that they ask for breaks off if the port of the
/// engine is not closed yet.
#[test]
fn an_exit_is_reported_in_time_if_the_first_poll_breaks_off() {
    let mut health = EngineHealth::default();
    assert!(health.is_due(true, at(1_000)));
    health.record_report(PollResult::Pace(100));
    health.record_suspicion(entry_address(1), at(1_001));
    let mut results = [PollResult::Broken, PollResult::Refused, PollResult::Refused].into_iter();
    let reported_at = (1_001..5_000).find(|now| {
        if !health.is_due(true, at(*now)) {
            return false;
        }
        health.record_report(results.next().unwrap_or(PollResult::Refused));
        health.take_exit().is_some()
    });
    assert!(reported_at.is_some_and(|at| at <= 1_500), "{reported_at:?}");
}

fn entry_address(number: u8) -> SocketAddr {
    ([10, 1, 0, number], 7_000).into()
}

/// Guards against engines that go up and down: they abort the requests sent to them, yet answer
/// report polls. Each of thirty entries fails at each of them several times and has no retry
/// left then; 85 requests of all kinds failed in ten seconds.
#[test]
fn an_agent_reports_an_engine_that_two_entries_suspect() {
    let mut health = EngineHealth::default();
    assert!(!health.record_suspicion(entry_address(1), at(0)));
    assert!(!health.record_suspicion(entry_address(1), at(200)), "one entry may be disconnected");
    assert!(health.record_suspicion(entry_address(2), at(300)));
    assert!(!health.record_suspicion(entry_address(3), at(310)), "reported a moment ago");
    assert!(health.record_suspicion(entry_address(3), at(450)), "and still suspected");
    assert!(!health.record_report(PollResult::Pace(100)), "its report does not show the failure");
    assert!(
        !health.record_suspicion(entry_address(4), at(2_000)),
        "the other suspicions are outdated"
    );
}

#[test]
fn one_late_report_does_not_make_an_engine_down() {
    let mut health = EngineHealth::default();
    assert!(!health.record_report(PollResult::Missed));
    assert!(!health.record_report(PollResult::Pace(100)));
    assert!(!health.record_report(PollResult::Missed));
    assert!(health.record_report(PollResult::Missed));
}

/// Entries are counted even if each agent knows only a part of them.
#[test]
fn entries_are_counted_if_each_uses_a_part_of_the_engines() {
    let mut core = entry(96);
    for number in 0..96 {
        let target = name(&format!("e{number}"));
        // Each of 75 entries uses 64 of 96 engines, so two thirds of the agents know it.
        core.apply_message(subscription_ack(target, 50), at(10));
    }
    assert_eq!(core.fleet_entries(), Some(75));
}

fn subscription_ack(target: Arc<str>, entries: u32) -> PeerMessage {
    let (proof_age_ms, proof_from) = (None, None);
    PeerMessage::SubscriptionAck {
        target,
        entries,
        pace_percent: 100,
        proof_age_ms,
        proof_from,
        watchers: 0,
        watched_revision: None,
        confirmed_revision: None,
        newest_version: None,
    }
}

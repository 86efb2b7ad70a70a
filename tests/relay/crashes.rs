//! Loads in which engines crash while prompts are read jointly.

use std::collections::HashSet;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use shalelane::relay::core::RelayCore;
use shalelane::relay::decide::placement::{Placement, TargetScope};
use shalelane::relay::decide::send_count::{SendCount, SendEnd};
use shalelane::relay::decide::targets::TargetFault;
use shalelane::relay::discovery::freshness::StalePolicy;
use shalelane::relay::discovery::rules::{RelayConfig, ServiceRule};
use shalelane::relay::peers::engine_watch::{EngineWatch, ReportEnd};
use shalelane::relay::peers::load_note::LoadNote;
use shalelane::time::Tick;

use crate::fixture::{at, limits, ms, name, need, rates, record};

/// Targets that may run a request, by its route, and one more run after lost answers.
const MOST_RUNS: usize = 3;

/// An entry before so many engines.
fn entry(engines: u8) -> RelayCore {
    let mut core = RelayCore::new(limits(StalePolicy::FailClosed), 1);
    let engine = Some(rates());
    let services = vec![ServiceRule { name: name("engines"), engine, warmup: None }];
    let config = RelayConfig { version: 1, services, ..RelayConfig::default() };
    core.take_config(Some(config), at(0));
    let records = (0..engines).map(|number| record(&format!("e{number}"), number)).collect();
    core.take_list(records, false, at(0));
    core
}

fn address(core: &RelayCore, target: &str) -> SocketAddr {
    core.targets.get(target).unwrap().record.address
}

/// Plays one prompt of 300,000 tokens until its group holds no dead engine, or the
/// entry has no second attempt left. Returns how it ended: served or not, and the
/// sends that it took.
fn play(core: &mut RelayCore, dead: &HashSet<Arc<str>>, mut now: Tick) -> (bool, usize) {
    let service = name("engines");
    core.note_request(&service, now);
    let mut count = SendCount::default();
    let mut tried: Vec<Arc<str>> = Vec::new();
    let mut sends = 0;
    while count.permits(MOST_RUNS) {
        let need = need(300_000);
        let scope = TargetScope::Untried(&tried);
        let Some(Placement { target, helpers, .. }) =
            core.place("engines", Some(&need), scope, now)
        else {
            return (false, sends);
        };
        now = now + ms(30);
        if dead.contains(&target) {
            core.note_failure(&target, TargetFault::Broken, now);
            tried.push(target);
            count.note(SendEnd::NotSent);
            continue;
        }
        sends += 1;
        let Some(helper) = helpers.iter().find(|helper| dead.contains(*helper)) else {
            return (true, sends);
        };
        let blamed = address(core, helper);
        assert!(core.note_helper_failure(&target, blamed, now));
        count.note(SendEnd::Refused);
        if !core.take_retry(&service, now) {
            return (false, sends);
        }
    }
    (false, sends)
}

/// Past failure: prompts were refused with 14 of 15 seconds left. A sixth of the
/// engines had crashed, so that nearly each group held a dead one, and a fleet of a
/// hundred entries leaves each of them one or two second attempts in ten seconds.
/// Agents know within a report that their engine is down, and tell all entries.
#[test]
fn prompts_outlive_a_crash_that_agents_tell_of() {
    let mut served_blind = 0;
    for first in 0..20 {
        let dead = (0..8).map(|number| name(&format!("e{}", (first * 7 + number * 11) % 48)));
        let dead: HashSet<_> = dead.collect();
        let mut core = entry(48);
        core.take_note(welcome(name("e0"), 100), at(10));
        served_blind += usize::from(play(&mut core, &dead, at(1_000)).0);
        let mut core = entry(48);
        core.take_note(welcome(name("e0"), 100), at(10));
        for engine in &dead {
            let host: IpAddr = address(&core, engine).ip();
            core.note_down(host, at(990));
        }
        assert_eq!(play(&mut core, &dead, at(1_000)), (true, 1), "dead: {dead:?}");
    }
    assert!(served_blind < 15, "{served_blind} of 20 served without the agents' word");
}

#[test]
fn an_engine_that_is_heard_of_works_whatever_its_agent_says() {
    let mut core = entry(2);
    let host = address(&core, "e0").ip();
    let target = core.targets.get_mut("e0").unwrap();
    target.note_sent(at(1_000));
    target.note_heard(at(1_000));
    core.note_down(host, at(1_100));
    assert!(!core.targets.get("e0").unwrap().is_ejected(at(1_100)));
    core.note_down(host, at(1_600));
    assert!(core.targets.get("e0").unwrap().is_ejected(at(1_600)));
    assert!(!core.targets.get("e0").unwrap().is_ejected(at(2_700)), "until it is said again");
}

#[test]
fn refusals_for_want_of_room_are_bounded_as_before() {
    let mut count = SendCount::default();
    for _ in 0..5 {
        assert!(count.permits(MOST_RUNS));
        count.note(SendEnd::Refused);
    }
    assert!(!count.permits(MOST_RUNS));
}

#[test]
fn runs_are_bounded_by_the_route() {
    let mut count = SendCount::default();
    for _ in 0..MOST_RUNS {
        assert!(count.permits(MOST_RUNS));
        count.note(SendEnd::MayHaveRun);
    }
    assert!(!count.permits(MOST_RUNS));
}

#[test]
fn an_agent_looks_at_once_where_its_engine_is_suspected() {
    let mut watch = EngineWatch::default();
    assert!(!watch.is_due(false, at(0)), "nothing to do");
    watch.note_suspicion(entry_address(1), at(5));
    assert!(watch.is_due(false, at(10)));
    assert!(watch.note_report(ReportEnd::Refused));
    assert!(!watch.is_due(false, at(20)));
    watch.note_suspicion(entry_address(1), at(45));
    assert!(!watch.is_due(false, at(50)), "some entries suspect it at the same moment");
    assert!(watch.is_due(false, at(410)), "looked at again while it is down");
    assert!(!watch.note_report(ReportEnd::Pace(150)));
    assert_eq!(watch.pace_percent(), 150);
}

fn entry_address(number: u8) -> SocketAddr {
    ([10, 1, 0, number], 7_000).into()
}

/// Past failure: engines that went up and down broke off what they were sent and
/// reported all the same. Each of thirty entries met each of them several times and had
/// no second attempt left then; 85 requests of all kinds failed in ten seconds.
#[test]
fn all_are_told_of_an_engine_that_two_entries_suspect() {
    let mut watch = EngineWatch::default();
    assert!(!watch.note_suspicion(entry_address(1), at(0)));
    assert!(!watch.note_suspicion(entry_address(1), at(200)), "one entry may be cut off");
    assert!(watch.note_suspicion(entry_address(2), at(300)));
    assert!(!watch.note_suspicion(entry_address(3), at(310)), "told a moment ago");
    assert!(watch.note_suspicion(entry_address(3), at(450)), "and still so");
    assert!(!watch.note_report(ReportEnd::Pace(100)), "its report says nothing of it");
    assert!(!watch.note_suspicion(entry_address(4), at(2_000)), "the others are long past");
}

#[test]
fn one_late_report_does_not_make_an_engine_down() {
    let mut watch = EngineWatch::default();
    assert!(!watch.note_report(ReportEnd::Missed));
    assert!(!watch.note_report(ReportEnd::Pace(100)));
    assert!(!watch.note_report(ReportEnd::Missed));
    assert!(watch.note_report(ReportEnd::Missed));
}

/// Entries are counted also where an agent sees a part of them only.
#[test]
fn entries_are_counted_where_each_uses_a_part_of_the_engines() {
    let mut core = entry(96);
    for number in 0..96 {
        let target = name(&format!("e{number}"));
        // 64 of 96 engines are used, so that each of 75 entries is seen by two thirds.
        core.take_note(welcome(target, 50), at(10));
    }
    assert_eq!(core.fleet_entries(), Some(75));
}

fn welcome(target: Arc<str>, entries: u32) -> LoadNote {
    let (proof_age_ms, proof_from) = (None, None);
    LoadNote::Welcome {
        target,
        entries,
        pace_percent: 100,
        proof_age_ms,
        proof_from,
        watchers: 0,
        list_mark: None,
        config_mark: None,
    }
}

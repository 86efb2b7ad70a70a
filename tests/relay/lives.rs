//! Lives of targets that keep their name.

use std::net::{IpAddr, SocketAddr};

use shalelane::relay::core::RelayCore;
use shalelane::relay::decide::placement::{Placement, TargetScope};
use shalelane::relay::decide::targets::{TargetRecord, TargetSet};
use shalelane::relay::discovery::freshness::StalePolicy;
use shalelane::relay::discovery::rules::{RelayConfig, ServiceRule};
use shalelane::relay::peers::engine_watch::{EngineExit, EngineWatch, ReportEnd};

use crate::fixture::{at, limits, name, need, rates, record, revision};

fn born(born_ms: u64) -> TargetRecord {
    TargetRecord { born_ms, ..record("a", 1) }
}

fn core_of(records: Vec<TargetRecord>) -> RelayCore {
    let mut core = RelayCore::new(limits(StalePolicy::FailClosed), 1);
    let services = vec![ServiceRule { name: name("engines"), engine: Some(rates()), warmup: None }];
    let config = RelayConfig { version: 1, services, ..RelayConfig::default() };
    core.take_config(Some(config), at(0));
    core.take_list(records, false, at(0));
    core
}

#[test]
fn a_later_start_is_another_life() {
    let mut set = TargetSet::default();
    set.take_list(vec![born(100)], false, at(0));
    set.get_mut("a").unwrap().note_sent(at(1));
    let change = set.take_change(born(200), at(10));
    assert_eq!(change.restarted, [name("a")]);
    assert_eq!(change.ended, [born(100).to_life()]);
    assert!(change.added.is_empty() && change.removed.is_empty());
    assert_eq!(set.get("a").unwrap().in_flight, 0, "it knows nothing of before");
}

#[test]
fn late_word_of_an_earlier_life_changes_nothing() {
    let mut set = TargetSet::default();
    set.take_list(vec![born(200)], false, at(0));
    let earlier = TargetRecord { is_leaving: true, ..born(100) };
    assert!(set.take_change(earlier, at(10)).is_empty());
    assert!(set.get("a").unwrap().is_usable(at(10)));
}

/// What was at the former life and ends now is not counted against the new one.
#[test]
fn the_end_of_an_attempt_belongs_to_its_life() {
    let mut core = core_of(vec![born(100)]);
    let place = |core: &mut RelayCore| -> Placement {
        core.place("engines", Some(&need(5_000)), TargetScope::Untried(&[]), at(5)).unwrap()
    };
    let placement = place(&mut core);
    let former = core.begin(&placement, Some(&need(5_000)), at(5));
    core.take_change(born(200), at(10));
    let placement = place(&mut core);
    let later = core.begin(&placement, Some(&need(5_000)), at(11));
    core.end(&former);
    assert_eq!(core.targets.get("a").unwrap().in_flight, 1);
    core.end(&later);
    assert_eq!(core.targets.get("a").unwrap().in_flight, 0);
}

/// A list that was read tells others of a restart as of a target that is listed.
#[test]
fn others_are_told_of_a_restart() {
    let mut core = core_of(vec![born(100)]);
    let list = shalelane::relay::discovery::feed::TargetList {
        records: vec![born(200)],
        revision: revision(9),
        changed_at: revision(9),
        unreadable: Vec::new(),
    };
    let (_, news) = core.take_reread(list, false, at(0), at(10));
    let mut other = core_of(vec![born(100)]);
    other.take_list_news(&news.unwrap(), false, at(12));
    assert_eq!(other.life_of("a").unwrap().born_ms, 200);
}

#[test]
fn a_connection_that_is_turned_away_once_is_no_end() {
    let mut core = core_of(vec![born(100)]);
    let life = core.life_of("a").unwrap();
    assert!(!core.note_unreachable(&life, at(10)));
    core.note_heard("a", at(20));
    assert!(!core.note_unreachable(&life, at(100)), "it was heard of since");
    assert!(core.may_live(&life));
    assert!(core.note_unreachable(&life, at(160)));
    assert!(!core.may_live(&life));
}

/// An agent sees by its engine's report that it started anew, however short it was away.
#[test]
fn an_agent_tells_of_a_new_life() {
    let mut watch = EngineWatch::default();
    watch.note_born(100);
    watch.note_report(ReportEnd::Pace(100));
    assert_eq!(watch.take_exit(), None);
    watch.note_born(200);
    for _ in 0..3 {
        assert_eq!(
            watch.take_exit(),
            Some(EngineExit { next_ms: Some(200) }),
            "a datagram may be lost"
        );
    }
    assert_eq!(watch.take_exit(), None);
    watch.note_report(ReportEnd::Refused);
    assert_eq!(watch.take_exit(), None, "one refusal may be for want of room");
    watch.note_report(ReportEnd::Refused);
    assert_eq!(watch.take_exit(), Some(EngineExit { next_ms: None }));
}

#[test]
fn what_an_agent_says_is_of_the_life_before() {
    let mut core = core_of(vec![born(200)]);
    let address: SocketAddr = core.targets.get("a").unwrap().record.address;
    let host: IpAddr = address.ip();
    let life = core.life_of("a").unwrap();
    core.note_exited(host, Some(200), at(10));
    assert!(core.may_live(&life), "this is the life that follows");
    core.note_exited(host, Some(300), at(20));
    assert!(!core.may_live(&life));
}

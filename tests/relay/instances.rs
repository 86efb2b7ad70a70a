//! Instances of targets that keep their name.

use std::net::{IpAddr, SocketAddr};

use shalelane::relay::core::RelayCore;
use shalelane::relay::decide::placement::{Placement, TargetScope};
use shalelane::relay::decide::targets::{TargetRecord, TargetSet};
use shalelane::relay::discovery::freshness::StalePolicy;
use shalelane::relay::discovery::rules::{RelayConfig, ServiceRule};
use shalelane::relay::peers::engine_health::{EngineExit, EngineHealth, PollResult};

use crate::fixture::{at, limits, name, need, rates, record, revision};

fn started_at(started_ms: u64) -> TargetRecord {
    TargetRecord { started_ms, ..record("a", 1) }
}

fn core_of(records: Vec<TargetRecord>) -> RelayCore {
    let mut core = RelayCore::new(limits(StalePolicy::FailClosed), 1);
    let services = vec![ServiceRule { name: name("engines"), engine: Some(rates()), warmup: None }];
    let config = RelayConfig { version: 1, services, ..RelayConfig::default() };
    core.apply_config(Some(config), at(0));
    core.apply_list(records, false, at(0));
    core
}

#[test]
fn a_later_start_is_another_instance() {
    let mut set = TargetSet::default();
    set.apply_list(vec![started_at(100)], false, at(0));
    set.get_mut("a").unwrap().record_sent(at(1));
    let change = set.apply_change(started_at(200), at(10));
    assert_eq!(change.restarted, [name("a")]);
    assert_eq!(change.crashed, [started_at(100).to_instance()]);
    assert!(change.added.is_empty() && change.removed.is_empty());
    assert_eq!(
        set.get("a").unwrap().in_flight,
        0,
        "the new instance has no requests of the previous one"
    );
}

#[test]
fn a_late_update_about_an_earlier_instance_changes_nothing() {
    let mut set = TargetSet::default();
    set.apply_list(vec![started_at(200)], false, at(0));
    let earlier = TargetRecord { is_leaving: true, ..started_at(100) };
    assert!(set.apply_change(earlier, at(10)).is_empty());
    assert!(set.get("a").unwrap().is_usable(at(10)));
}

/// Attempts at the previous instance that end now do not count against the new one.
#[test]
fn the_end_of_an_attempt_counts_for_its_instance() {
    let mut core = core_of(vec![started_at(100)]);
    let place = |core: &mut RelayCore| -> Placement {
        core.place("engines", Some(&need(5_000)), TargetScope::Untried(&[]), at(5)).unwrap()
    };
    let placement = place(&mut core);
    let previous_attempt = core.begin_attempt(&placement, Some(&need(5_000)), at(5));
    core.apply_change(started_at(200), at(10));
    let placement = place(&mut core);
    let later_attempt = core.begin_attempt(&placement, Some(&need(5_000)), at(11));
    core.end_attempt(&previous_attempt);
    assert_eq!(core.targets.get("a").unwrap().in_flight, 1);
    core.end_attempt(&later_attempt);
    assert_eq!(core.targets.get("a").unwrap().in_flight, 0);
}

/// A list that is read again announces a restart to other entries as a listed target.
#[test]
fn a_restart_is_announced_to_other_entries() {
    let mut core = core_of(vec![started_at(100)]);
    let list = shalelane::relay::discovery::source::TargetList {
        records: vec![started_at(200)],
        revision: revision(9),
        changed_at: revision(9),
        unreadable: Vec::new(),
    };
    let (_, update) = core.apply_reread(list, false, at(0), at(10));
    let mut other = core_of(vec![started_at(100)]);
    other.apply_list_update(&update.unwrap(), false, at(12));
    assert_eq!(other.instance_of("a").unwrap().started_ms, 200);
}

#[test]
fn a_single_refused_connection_is_no_crash() {
    let mut core = core_of(vec![started_at(100)]);
    let instance = core.instance_of("a").unwrap();
    assert!(!core.record_unreachable(&instance, at(10)));
    core.record_received("a", at(20));
    assert!(!core.record_unreachable(&instance, at(100)), "the target sent something in between");
    assert!(core.may_be_running(&instance));
    assert!(core.record_unreachable(&instance, at(160)));
    assert!(!core.may_be_running(&instance));
}

/// An agent recognizes by its engine's report that it has restarted, however short the
/// interruption was.
#[test]
fn an_agent_reports_a_new_instance() {
    let mut health = EngineHealth::default();
    health.record_started(100);
    health.record_report(PollResult::Pace(100));
    assert_eq!(health.take_exit(), None);
    health.record_started(200);
    for _ in 0..3 {
        assert_eq!(
            health.take_exit(),
            Some(EngineExit { next_ms: Some(200) }),
            "a datagram may be lost"
        );
    }
    assert_eq!(health.take_exit(), None);
    health.record_report(PollResult::Refused);
    assert_eq!(health.take_exit(), None, "a single refusal may be due to too many connections");
    health.record_report(PollResult::Refused);
    assert_eq!(health.take_exit(), Some(EngineExit { next_ms: None }));
}

#[test]
fn a_report_of_an_exit_concerns_the_previous_instance() {
    let mut core = core_of(vec![started_at(200)]);
    let address: SocketAddr = core.targets.get("a").unwrap().record.address;
    let host: IpAddr = address.ip();
    let instance = core.instance_of("a").unwrap();
    core.record_exit(host, Some(200), at(10));
    assert!(core.may_be_running(&instance), "this is the instance that follows the exit");
    core.record_exit(host, Some(300), at(20));
    assert!(!core.may_be_running(&instance));
}

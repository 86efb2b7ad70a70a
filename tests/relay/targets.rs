//! Known and usable targets.

use shalelane::relay::core::RelayCore;
use shalelane::relay::decide::placement::TargetScope;
use shalelane::relay::decide::targets::{TargetRecord, TargetSet};
use shalelane::relay::discovery::freshness::StalePolicy;
use shalelane::relay::discovery::rules::{RelayConfig, ServiceRule};

use crate::fixture::{at, engines, limits, name, need, rates, record, revision};

const ANY: TargetScope<'static> = TargetScope::Untried(&[]);

fn listed(records: &[TargetRecord]) -> TargetSet {
    let mut set = TargetSet::default();
    set.apply_list(records.to_vec(), false, at(0));
    set
}

fn new_core() -> RelayCore {
    RelayCore::new(limits(StalePolicy::FailClosed), 1)
}

fn engine_config() -> RelayConfig {
    let service = ServiceRule { name: name("engines"), engine: Some(rates()), warmup: None };
    RelayConfig { version: 1, services: vec![service], ..RelayConfig::default() }
}

fn ready_core() -> RelayCore {
    let mut core = new_core();
    core.apply_config(Some(engine_config()), at(0));
    core.apply_list(vec![record("a", 1)], false, at(0));
    core
}

fn usable(set: &TargetSet) -> Vec<String> {
    let mut names: Vec<_> =
        set.usable("engines", at(0)).map(|target| target.record.incarnation.to_string()).collect();
    names.sort();
    names
}

#[test]
fn an_unlisted_target_is_removed_at_once() {
    let mut set = listed(&[record("a", 1), record("b", 2)]);
    let change = set.apply_list(vec![record("a", 1)], false, at(10));
    assert_eq!(change.removed, [name("b")]);
    assert_eq!(usable(&set), ["a"]);
}

#[test]
fn after_an_outage_a_missing_target_may_come_back_within_two_seconds() {
    let mut set = listed(&[record("a", 1), record("b", 2)]);
    set.apply_list(vec![], true, at(10_000));
    assert_eq!(usable(&set), ["a", "b"]);
    set.apply_change(record("a", 1), at(11_000));
    set.expire(at(11_999));
    assert_eq!(usable(&set), ["a"]);
}

/// Regression: targets that had left were expired only every 250 ms, and one of them received a
/// request 2,009 ms after its removal.
#[test]
fn a_removed_target_receives_nothing_after_two_seconds() {
    let mut core = ready_core();
    core.targets.apply_removal("a", Some(at(1_000)), at(1_000));
    assert!(core.place("engines", Some(&need(5_000)), ANY, at(2_500)).is_some());
    assert!(core.place("engines", Some(&need(5_000)), ANY, at(2_800)).is_none());
}

#[test]
fn a_removal_received_after_an_outage_is_delayed_as_well() {
    let mut set = listed(&[record("a", 1), record("b", 2)]);
    set.apply_removal("a", Some(at(1_000)), at(1_000));
    set.apply_removal("b", None, at(1_000));
    assert_eq!(usable(&set), ["a"]);
    set.expire(at(3_000));
    assert!(usable(&set).is_empty());
}

#[test]
fn a_leaving_target_does_not_come_back() {
    let mut set = listed(&[record("a", 1)]);
    set.apply_change(TargetRecord { is_leaving: true, ..record("a", 1) }, at(10));
    set.apply_change(record("a", 1), at(20));
    assert!(usable(&set).is_empty());
}

/// Regression: after a power failure the list held two instances of each target, and a sharded
/// prefill named one address twice.
#[test]
fn of_two_instances_at_one_address_only_the_later_is_used() {
    let later = TargetRecord { listed_at: revision(9), ..record("b", 1) };
    let mut set = listed(&[record("a", 1), later]);
    assert_eq!(usable(&set), ["b"]);
    set.apply_removal("b", None, at(10));
    assert_eq!(usable(&set), ["a"]);
}

/// Regression: after a restart of all processes the list came before the configuration, and no
/// engine took a prompt for the rest of the day.
#[test]
fn a_target_listed_before_the_configuration_takes_prompts() {
    let mut core = new_core();
    core.apply_list(vec![record("a", 1)], false, at(0));
    assert!(core.place("engines", Some(&need(5_000)), ANY, at(0)).is_none());
    core.apply_config(Some(engine_config()), at(1));
    assert!(core.place("engines", Some(&need(5_000)), ANY, at(2)).is_some());
}

/// Regression: after an outage of the store, an entry received a removal 0.53 s after the store
/// had recorded it, and kept the target for the full window from then on. A request reached the
/// target 2.012 s after the acknowledgement; the bound is two seconds.
#[test]
fn a_removal_received_late_after_an_outage_keeps_the_drain_bound() {
    const RECEIVED_AFTER: u64 = 530;
    const BOUND: u64 = 2_000;
    let mut set = engines(2);
    set.apply_removal("e0", Some(at(0)), at(RECEIVED_AFTER));
    set.expire(at(BOUND));
    let is_used =
        set.usable("engines", at(BOUND)).any(|target| &*target.record.incarnation == "e0");
    assert!(!is_used, "the target is still usable 2 s after its removal");
}

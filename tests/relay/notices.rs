//! What targets state about themselves in their answers.

use std::sync::Arc;
use std::time::Duration;

use shalelane::relay::core::{PlacedAttempt, RelayCore};
use shalelane::relay::decide::placement::{Placement, TargetScope};
use shalelane::relay::decide::rate_limit::RateNotice;
use shalelane::relay::decide::retry_delay::until_usable;
use shalelane::relay::decide::target_notice::{NoticeCache, NoticeState, TargetNotice};
use shalelane::relay::decide::targets::{TargetFault, TargetInstance, TargetRecord};
use shalelane::relay::discovery::freshness::StalePolicy;
use shalelane::relay::discovery::rules::{RelayConfig, ServiceRule};
use shalelane::relay::discovery::source::TargetList;
use shalelane::time::Tick;

use crate::fixture::{at, limits, ms, name, need, rates, record, revision};

const LEAVING: TargetNotice =
    TargetNotice { is_leaving: true, backoff: None, rate: RateNotice::Absent, warmup: None };

fn backoff(millis: u64) -> TargetNotice {
    TargetNotice { backoff: Some(ms(millis)), ..TargetNotice::default() }
}

fn instance(name: &str) -> TargetInstance {
    record(name, 1).to_instance()
}

/// An entry that knows engines of one service.
fn core_of(names: &[&str]) -> RelayCore {
    core_with_max(names, 0)
}

fn core_with_max(names: &[&str], max_engines: usize) -> RelayCore {
    let mut limits = limits(StalePolicy::FailClosed);
    limits.policy.most_engines = max_engines;
    let mut core = RelayCore::new(limits, 1);
    let service = ServiceRule { name: name("engines"), engine: Some(rates()), warmup: None };
    let config = RelayConfig { version: 1, services: vec![service], ..RelayConfig::default() };
    core.apply_config(Some(config), at(0));
    core.apply_list(records(names), false, at(0));
    core
}

fn records(names: &[&str]) -> Vec<TargetRecord> {
    (1..).zip(names).map(|(number, name)| record(name, number)).collect()
}

fn place(core: &mut RelayCore, tokens: u64, now: Tick) -> Option<Placement> {
    core.place("engines", Some(&need(tokens)), TargetScope::Untried(&[]), now)
}

fn begin(core: &mut RelayCore, now: Tick) -> PlacedAttempt {
    let placement = place(core, 5_000, now).unwrap();
    core.begin_attempt(&placement, Some(&need(5_000)), now)
}

#[test]
fn a_target_that_backs_off_is_used_again_after_the_time() {
    let mut core = core_of(&["a"]);
    core.apply_notice(&instance("a"), &backoff(3_000), at(100));
    assert!(place(&mut core, 5_000, at(3_099)).is_none());
    assert!(place(&mut core, 5_000, at(3_100)).is_some());
}

#[test]
fn a_shorter_back_off_does_not_replace_a_longer_one() {
    let mut core = core_of(&["a"]);
    core.apply_notice(&instance("a"), &backoff(3_000), at(100));
    core.apply_notice(&instance("a"), &backoff(500), at(200));
    core.apply_notice(&instance("a"), &TargetNotice::default(), at(300));
    core.record_success("a");
    assert_eq!(core.time_to_target("engines", at(400)), Some(ms(2_700)));
}

#[test]
fn a_target_that_was_tried_already_also_backs_off() {
    let mut core = core_of(&["a", "b"]);
    core.apply_notice(&instance("a"), &backoff(3_000), at(100));
    let only = [name("a")];
    let scope = TargetScope::Only(&only);
    assert!(core.place("engines", Some(&need(5_000)), scope, at(200)).is_none());
}

/// A long prompt is prefilled by many engines; those that leave or back off are no helpers
/// either.
#[test]
fn a_target_that_leaves_or_backs_off_is_no_helper() {
    let names = ["a", "b", "c", "d", "e", "f"];
    let mut core = core_of(&names);
    assert!(place(&mut core, 200_000, at(0)).unwrap().helpers.len() > 2);
    core.apply_notice(&instance("a"), &LEAVING, at(10));
    core.apply_notice(&instance("b"), &backoff(60_000), at(10));
    core.apply_notice(&instance("c"), &LEAVING, at(10));
    let placement = place(&mut core, 200_000, at(20)).unwrap();
    let all: Vec<&Arc<str>> = placement.helpers.iter().chain([&placement.target]).collect();
    for excluded in ["a", "b", "c"] {
        assert!(!all.contains(&&name(excluded)), "{excluded} in {all:?}");
    }
}

/// Between its placement and its send, a request may wait for memory and a connection.
#[test]
fn a_notice_after_the_placement_prevents_the_send() {
    let mut core = core_of(&["a", "b"]);
    let attempt = begin(&mut core, at(0));
    assert!(core.may_send(&attempt, at(10)));
    core.apply_notice(attempt.instance.as_ref().unwrap(), &backoff(3_000), at(20));
    assert!(!core.may_send(&attempt, at(30)));
    let helped =
        PlacedAttempt { helpers: vec![attempt.target.clone()], ..begin(&mut core, at(30)) };
    assert!(!core.may_send(&helped, at(30)), "a helper backs off");
}

#[test]
fn a_notice_of_a_former_instance_does_not_bind_the_next_one() {
    let mut core = core_of(&["a"]);
    let former = core.instance_of("a").unwrap();
    core.apply_notice(&former, &LEAVING, at(10));
    core.apply_change(TargetRecord { started_ms: 500, ..record("a", 1) }, at(20));
    assert!(place(&mut core, 5_000, at(30)).is_some());
    core.apply_notice(&former, &LEAVING, at(40));
    core.apply_notice(&former, &backoff(60_000), at(40));
    assert!(place(&mut core, 5_000, at(50)).is_some(), "a late answer");
}

/// An entry that learns by an answer that a target leaves finds the same in the list later. It
/// must then send the change to other entries, which may have had no such answer: else they would
/// treat the target as ready at a list revision at which it is not.
#[test]
fn a_change_known_by_an_answer_is_sent_when_the_list_shows_it() {
    for learn in [
        |core: &mut RelayCore| core.apply_notice(&instance("a"), &LEAVING, at(10)),
        |core: &mut RelayCore| {
            core.record_failure("a", TargetFault::Replaced, at(10));
        },
    ] {
        let mut core = core_of(&["a", "b"]);
        learn(&mut core);
        let mut listed = records(&["a", "b"]);
        listed[0].is_leaving = true;
        let list =
            TargetList { records: listed, changed_at: revision(9), ..TargetList::new(revision(9)) };
        let (change, update) = core.apply_reread(list, false, at(0), at(20));
        assert_eq!(change.leaving, [name("a")]);
        assert_eq!(update.unwrap().changes.len(), 1);
    }
}

#[test]
fn a_list_that_shows_a_leaving_target_as_ready_does_not_restore_it() {
    let mut core = core_of(&["a"]);
    core.apply_notice(&instance("a"), &LEAVING, at(10));
    core.apply_list(records(&["a"]), false, at(20));
    core.apply_change(record("a", 1), at(30));
    assert!(place(&mut core, 5_000, at(40)).is_none());
    core.apply_list(Vec::new(), false, at(50));
    core.apply_list(records(&["a"]), false, at(60));
    assert!(place(&mut core, 5_000, at(70)).is_none());
}

#[test]
fn a_target_that_announced_its_shutdown_has_not_crashed() {
    let mut core = core_of(&["a", "b"]);
    core.apply_notice(&instance("a"), &LEAVING, at(10));
    let change = core.apply_list(records(&["b"]), false, at(20));
    assert_eq!((change.removed.len(), change.crashed.len()), (1, 0));
}

/// In a large fleet, another engine replaces one that backs off, until the back-off is over.
#[test]
fn an_engine_that_backs_off_is_replaced_by_another() {
    let names: Vec<String> = (0..10).map(|number| format!("e{number}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut core = core_with_max(&names, 4);
    let used = |core: &RelayCore| {
        let used = core.targets.iter().filter(|target| target.is_used);
        used.map(|target| target.record.incarnation.clone()).collect::<Vec<_>>()
    };
    let first = used(&core);
    core.apply_notice(&core.instance_of(&first[0]).unwrap(), &backoff(2_000), at(10));
    assert_eq!(used(&core).len(), 4);
    assert!(!used(&core).contains(&first[0]));
    core.choose_engines(at(2_010));
    assert_eq!(used(&core), first);
}

#[test]
fn the_retry_time_is_that_of_the_first_usable_target() {
    let mut core = core_of(&["a", "b", "c"]);
    assert_eq!(core.time_to_target("engines", at(0)), None);
    core.apply_notice(&instance("a"), &backoff(9_000), at(0));
    core.apply_notice(&instance("b"), &backoff(400), at(0));
    assert_eq!(core.time_to_target("engines", at(0)), None, "c accepts requests");
    core.apply_notice(&instance("c"), &LEAVING, at(0));
    assert_eq!(core.time_to_target("engines", at(0)), Some(ms(400)));
    core.apply_notice(&instance("b"), &LEAVING, at(0));
    assert_eq!(
        core.time_to_target("engines", at(0)),
        Some(ms(1_000)),
        "a leaving target may be replaced"
    );
    assert_eq!(until_usable(&core.targets, "nobody", at(0)), None);
}

/// The notices of targets that are no longer listed are bounded in number and time.
#[test]
fn the_notices_of_removed_targets_are_bounded() {
    const MAX: usize = 1_024;
    let mut cache = NoticeCache::default();
    let leaving = NoticeState { is_leaving: true, backoff_until: Tick::default() };
    let nth = |number: usize| record(&format!("t{number}"), 1);
    for number in 0..2 * MAX {
        cache.insert(&nth(number), leaving, at(number as u64));
    }
    assert_eq!(cache.len(), MAX);
    assert_eq!(cache.restore(&nth(0), at(3_000)), NoticeState::default());
    assert_eq!(cache.restore(&nth(2 * MAX - 1), at(3_000)), leaving);
    assert_eq!(cache.restore(&nth(2 * MAX - 1), at(3_000)), NoticeState::default(), "once");
    let later = at(3_000) + Duration::from_secs(60);
    assert_eq!(cache.restore(&nth(2 * MAX - 2), later), NoticeState::default());
    assert!(cache.is_empty());
}

//! What targets say of themselves in their answers.

use std::sync::Arc;
use std::time::Duration;

use shalelane::relay::core::{AttemptShare, RelayCore};
use shalelane::relay::decide::placement::{Placement, TargetScope};
use shalelane::relay::decide::rate_limit::RateWord;
use shalelane::relay::decide::return_time::until_usable;
use shalelane::relay::decide::target_notice::{KeptNotice, NoticeMemory, TargetNotice};
use shalelane::relay::decide::targets::{TargetFault, TargetLife, TargetRecord};
use shalelane::relay::discovery::feed::TargetList;
use shalelane::relay::discovery::freshness::StalePolicy;
use shalelane::relay::discovery::rules::{RelayConfig, ServiceRule};
use shalelane::time::Tick;

use crate::fixture::{at, limits, ms, name, need, rates, record, revision};

const LEAVING: TargetNotice =
    TargetNotice { is_leaving: true, backoff: None, rate: RateWord::Silent, warmup: None };

fn backoff(millis: u64) -> TargetNotice {
    TargetNotice { backoff: Some(ms(millis)), ..TargetNotice::default() }
}

fn life(name: &str) -> TargetLife {
    record(name, 1).to_life()
}

/// An entry that knows engines of one service.
fn core_of(names: &[&str]) -> RelayCore {
    core_at_most(names, 0)
}

fn core_at_most(names: &[&str], most_engines: usize) -> RelayCore {
    let mut limits = limits(StalePolicy::FailClosed);
    limits.policy.most_engines = most_engines;
    let mut core = RelayCore::new(limits, 1);
    let service = ServiceRule { name: name("engines"), engine: Some(rates()), warmup: None };
    let config = RelayConfig { version: 1, services: vec![service], ..RelayConfig::default() };
    core.take_config(Some(config), at(0));
    core.take_list(records(names), false, at(0));
    core
}

fn records(names: &[&str]) -> Vec<TargetRecord> {
    (1..).zip(names).map(|(number, name)| record(name, number)).collect()
}

fn place(core: &mut RelayCore, tokens: u64, now: Tick) -> Option<Placement> {
    core.place("engines", Some(&need(tokens)), TargetScope::Untried(&[]), now)
}

fn begin(core: &mut RelayCore, now: Tick) -> AttemptShare {
    let placement = place(core, 5_000, now).unwrap();
    core.begin(&placement, Some(&need(5_000)), now)
}

#[test]
fn what_rests_is_placed_at_again_when_its_time_is_over() {
    let mut core = core_of(&["a"]);
    core.take_notice(&life("a"), &backoff(3_000), at(100));
    assert!(place(&mut core, 5_000, at(3_099)).is_none());
    assert!(place(&mut core, 5_000, at(3_100)).is_some());
}

#[test]
fn a_shorter_wish_takes_nothing_back() {
    let mut core = core_of(&["a"]);
    core.take_notice(&life("a"), &backoff(3_000), at(100));
    core.take_notice(&life("a"), &backoff(500), at(200));
    core.take_notice(&life("a"), &TargetNotice::default(), at(300));
    core.note_success("a");
    assert_eq!(core.time_to_target("engines", at(400)), Some(ms(2_700)));
}

#[test]
fn a_target_that_was_tried_already_is_left_alone_too() {
    let mut core = core_of(&["a", "b"]);
    core.take_notice(&life("a"), &backoff(3_000), at(100));
    let only = [name("a")];
    let scope = TargetScope::Only(&only);
    assert!(core.place("engines", Some(&need(5_000)), scope, at(200)).is_none());
}

/// A long prompt is read by many engines; those that leave or rest are no helpers either.
#[test]
fn what_leaves_or_rests_helps_nobody() {
    let names = ["a", "b", "c", "d", "e", "f"];
    let mut core = core_of(&names);
    assert!(place(&mut core, 200_000, at(0)).unwrap().helpers.len() > 2);
    core.take_notice(&life("a"), &LEAVING, at(10));
    core.take_notice(&life("b"), &backoff(60_000), at(10));
    core.take_notice(&life("c"), &LEAVING, at(10));
    let placement = place(&mut core, 200_000, at(20)).unwrap();
    let all: Vec<&Arc<str>> = placement.helpers.iter().chain([&placement.target]).collect();
    for gone in ["a", "b", "c"] {
        assert!(!all.contains(&&name(gone)), "{gone} in {all:?}");
    }
}

/// Between its placement and its sending, a request may wait for memory and a connection.
#[test]
fn what_was_placed_before_is_not_sent_after() {
    let mut core = core_of(&["a", "b"]);
    let share = begin(&mut core, at(0));
    assert!(core.may_send(&share, at(10)));
    core.take_notice(share.life.as_ref().unwrap(), &backoff(3_000), at(20));
    assert!(!core.may_send(&share, at(30)));
    let helped = AttemptShare { helpers: vec![share.target.clone()], ..begin(&mut core, at(30)) };
    assert!(!core.may_send(&helped, at(30)), "a helper rests");
}

#[test]
fn what_a_former_life_says_does_not_bind_the_next_one() {
    let mut core = core_of(&["a"]);
    let former = core.life_of("a").unwrap();
    core.take_notice(&former, &LEAVING, at(10));
    core.take_change(TargetRecord { born_ms: 500, ..record("a", 1) }, at(20));
    assert!(place(&mut core, 5_000, at(30)).is_some());
    core.take_notice(&former, &LEAVING, at(40));
    core.take_notice(&former, &backoff(60_000), at(40));
    assert!(place(&mut core, 5_000, at(50)).is_some(), "a late answer");
}

/// An entry that knows by an answer that a target leaves hears the same of the list later. It
/// has to tell others, who may have had no such answer, or they would take the target to be
/// ready up to a mark by which it is not.
#[test]
fn what_is_known_by_answers_is_told_when_the_list_says_it() {
    for learn in [
        |core: &mut RelayCore| core.take_notice(&life("a"), &LEAVING, at(10)),
        |core: &mut RelayCore| {
            core.note_failure("a", TargetFault::Replaced, at(10));
        },
    ] {
        let mut core = core_of(&["a", "b"]);
        learn(&mut core);
        let mut listed = records(&["a", "b"]);
        listed[0].is_leaving = true;
        let list =
            TargetList { records: listed, changed_at: revision(9), ..TargetList::new(revision(9)) };
        let (change, news) = core.take_reread(list, false, at(0), at(20));
        assert_eq!(change.leaving, [name("a")]);
        assert_eq!(news.unwrap().changes.len(), 1);
    }
}

#[test]
fn a_list_that_shows_it_as_ready_does_not_bring_it_back() {
    let mut core = core_of(&["a"]);
    core.take_notice(&life("a"), &LEAVING, at(10));
    core.take_list(records(&["a"]), false, at(20));
    core.take_change(record("a", 1), at(30));
    assert!(place(&mut core, 5_000, at(40)).is_none());
    core.take_list(Vec::new(), false, at(50));
    core.take_list(records(&["a"]), false, at(60));
    assert!(place(&mut core, 5_000, at(70)).is_none());
}

#[test]
fn a_target_that_said_it_leaves_has_not_ended_unexpectedly() {
    let mut core = core_of(&["a", "b"]);
    core.take_notice(&life("a"), &LEAVING, at(10));
    let change = core.take_list(records(&["b"]), false, at(20));
    assert_eq!((change.removed.len(), change.ended.len()), (1, 0));
}

/// Of a large fleet, another engine takes the place of one that rests, and its own place is
/// free again after that.
#[test]
fn an_engine_that_rests_gives_its_place_to_another() {
    let names: Vec<String> = (0..10).map(|number| format!("e{number}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut core = core_at_most(&names, 4);
    let used = |core: &RelayCore| {
        let used = core.targets.iter().filter(|target| target.is_used);
        used.map(|target| target.record.incarnation.clone()).collect::<Vec<_>>()
    };
    let first = used(&core);
    core.take_notice(&core.life_of(&first[0]).unwrap(), &backoff(2_000), at(10));
    assert_eq!(used(&core).len(), 4);
    assert!(!used(&core).contains(&first[0]));
    core.choose_engines(at(2_010));
    assert_eq!(used(&core), first);
}

#[test]
fn the_time_to_come_back_is_that_of_the_first_target() {
    let mut core = core_of(&["a", "b", "c"]);
    assert_eq!(core.time_to_target("engines", at(0)), None);
    core.take_notice(&life("a"), &backoff(9_000), at(0));
    core.take_notice(&life("b"), &backoff(400), at(0));
    assert_eq!(core.time_to_target("engines", at(0)), None, "c takes requests");
    core.take_notice(&life("c"), &LEAVING, at(0));
    assert_eq!(core.time_to_target("engines", at(0)), Some(ms(400)));
    core.take_notice(&life("b"), &LEAVING, at(0));
    assert_eq!(core.time_to_target("engines", at(0)), Some(ms(1_000)), "one may be replaced");
    assert_eq!(until_usable(&core.targets, "nobody", at(0)), None);
}

/// What is remembered of targets that are not listed any more is bounded in number and time.
#[test]
fn the_memory_of_former_targets_is_bounded() {
    const MOST: usize = 1_024;
    let mut memory = NoticeMemory::default();
    let leaving = KeptNotice { is_leaving: true, backoff_until: Tick::default() };
    let nth = |number: usize| record(&format!("t{number}"), 1);
    for number in 0..2 * MOST {
        memory.keep(&nth(number), leaving, at(number as u64));
    }
    assert_eq!(memory.len(), MOST);
    assert_eq!(memory.recall(&nth(0), at(3_000)), KeptNotice::default());
    assert_eq!(memory.recall(&nth(2 * MOST - 1), at(3_000)), leaving);
    assert_eq!(memory.recall(&nth(2 * MOST - 1), at(3_000)), KeptNotice::default(), "once");
    let later = at(3_000) + Duration::from_secs(60);
    assert_eq!(memory.recall(&nth(2 * MOST - 2), later), KeptNotice::default());
    assert!(memory.is_empty());
}

//! Targets that are cold: how that is known, and that the sum of what entries send keeps the
//! bound, however many there are.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use shalelane::relay::core::permits::PermitVerdict;
use shalelane::relay::core::{RelayCore, RelayLimits};
use shalelane::relay::decide::permit_desk::{PermitAsk, PermitDesk, PermitReply, WarmupNews};
use shalelane::relay::decide::placement::TargetScope;
use shalelane::relay::decide::rate_book::RateNews;
use shalelane::relay::decide::rate_limit::{RateLimit, RateWord};
use shalelane::relay::decide::target_notice::TargetNotice;
use shalelane::relay::decide::targets::TargetRecord;
use shalelane::relay::decide::warmup::{WarmupBound, WarmupRule};
use shalelane::relay::discovery::feed::EvacuationList;
use shalelane::relay::discovery::freshness::StalePolicy;
use shalelane::relay::discovery::rules::{RelayConfig, ServiceRule};
use shalelane::relay::peers::load_note::LoadNote;
use shalelane::time::Tick;

use crate::fixture::{at, limits, ms, name, need, rates, record};

const RULE: WarmupRule = WarmupRule { span: Duration::from_secs(3), per_second: 32.0 };
const BOUND: WarmupBound = WarmupBound { overrun: 1.5, slack: 5.0 };

/// Requests in any second that the bound allows.
const ALLOWED: usize = 53;

/// An entry of a service whose targets are warmed up, before it knows any.
fn new_core(entry: u64) -> RelayCore {
    let limits = RelayLimits { warmup_bound: BOUND, ..limits(StalePolicy::FailClosed) };
    let mut core = RelayCore::new(limits, entry);
    let service = ServiceRule { name: name("engines"), engine: Some(rates()), warmup: Some(RULE) };
    let config = RelayConfig { version: 1, services: vec![service], ..RelayConfig::default() };
    core.take_config(Some(config), at(0));
    core
}

/// An entry that has seen the target `a`, warm, for long.
fn core_of_one(entry: u64) -> RelayCore {
    let mut core = new_core(entry);
    core.take_list(vec![record("a", 1)], false, at(0));
    core
}

fn listed(warmup_ms: Option<u32>, born_ms: u64) -> TargetRecord {
    TargetRecord { warmup_ms, born_ms, ..record("a", 1) }
}

fn is_cold(core: &RelayCore, now: Tick) -> bool {
    core.targets.get("a").unwrap().warmup(now).is_some()
}

#[test]
fn the_newest_word_of_a_life_says_whether_it_is_cold() {
    let mut core = core_of_one(1);
    assert!(!is_cold(&core, at(100)), "it was there before");
    core.take_change(listed(Some(2_000), 1), at(100));
    assert!(is_cold(&core, at(2_050)));
    assert!(!is_cold(&core, at(2_100)));
    core.take_change(listed(Some(2_000), 1), at(3_000));
    assert!(!is_cold(&core, at(3_001)), "the same entry of the list again");
    core.take_change(listed(Some(1_500), 1), at(4_000));
    assert!(is_cold(&core, at(5_000)), "it turned cold again");
    core.take_change(listed(Some(0), 1), at(5_000));
    assert!(!is_cold(&core, at(5_001)));
}

#[test]
fn answers_say_so_as_well() {
    let mut core = core_of_one(1);
    let life = record("a", 1).to_life();
    let cold = TargetNotice { warmup: Some(ms(700)), ..TargetNotice::default() };
    core.take_notice(&life, &cold, at(100));
    assert!(is_cold(&core, at(750)));
    let placement = core.place("engines", Some(&need(5_000)), TargetScope::Untried(&[]), at(200));
    let placement = placement.unwrap();
    assert!(core.permit_query(&placement, ms(0), at(200)).is_some(), "it is sent without a turn");
    let warm = TargetNotice { warmup: Some(ms(0)), ..TargetNotice::default() };
    core.take_notice(&life, &warm, at(300));
    assert!(core.permit_query(&placement, ms(0), at(300)).is_none());
}

/// A target that was out of sight counts as cold until it says otherwise.
#[test]
fn what_was_out_of_sight_counts_as_cold() {
    let mut core = core_of_one(1);
    core.take_change(listed(None, 5), at(1_000));
    assert!(is_cold(&core, at(3_900)), "it started again under its name");
    assert!(!is_cold(&core, at(4_000)));
    core.targets.take_removal("a", Some(at(5_000)), at(5_000));
    core.take_change(listed(None, 5), at(5_500));
    assert!(is_cold(&core, at(8_400)), "it was missing in the list");
    assert!(!is_cold(&core, at(8_500)));
}

#[test]
fn what_comes_back_into_service_counts_as_cold() {
    let mut core = core_of_one(1);
    let out = |domains: &[&str]| EvacuationList {
        domains: domains.iter().map(|domain| name(domain)).collect(),
        epoch: 0,
    };
    core.take_evacuations(out(&["here"]), at(100), at(110));
    core.take_evacuations(out(&[]), at(5_000), at(5_100));
    assert!(is_cold(&core, at(8_000)));
    assert!(!is_cold(&core, at(8_100)));
}

/// A request that was placed at a warm target and is sent when that has turned cold.
#[test]
fn a_request_without_a_turn_is_not_sent_to_a_target_that_turned_cold() {
    let mut core = core_of_one(1);
    let need = need(5_000);
    let placement = core.place("engines", Some(&need), TargetScope::Untried(&[]), at(10)).unwrap();
    let share = core.begin(&placement, Some(&need), at(10));
    core.take_change(listed(Some(2_000), 0), at(11));
    assert!(!core.may_send(&share, at(12)));
}

#[test]
fn a_rate_that_is_named_and_one_for_the_warm_up_bind_together() {
    let mut core = core_of_one(1);
    core.take_change(listed(Some(2_000), 0), at(10));
    let named = RateLimit::from_per_second(2.0);
    core.take_rate(&record("a", 1).to_life(), RateWord::Named(named.unwrap()), None, at(20));
    assert_eq!(core.targets.get("a").unwrap().rate, named);
}

/// An agent that one entry has told of a cold target keeps all entries to it.
#[test]
fn an_agent_binds_entries_that_do_not_know() {
    let mut desk = PermitDesk::default();
    let life = record("a", 1).to_life();
    let news = RateNews { life, rate: RateLimit::from_per_second(1_000.0), age_ms: 0 };
    let warmup = WarmupNews { rate: RateLimit::from_per_second(2.0).unwrap(), left_ms: 3_000 };
    let ask = |warmup| PermitAsk { news: news.clone(), warmup, most_wait_ms: 0, is_second: false };
    desk.on_ask(&ask(Some(warmup)), at(0));
    let mut granted = 0;
    for millis in 0..2_900 {
        let reply = desk.on_ask(&ask(None), at(millis));
        granted += usize::from(matches!(reply, PermitReply::Granted { .. }));
    }
    assert!(granted <= 7, "{granted} turns in 2.9 s at 2/s");
    assert!(matches!(desk.on_ask(&ask(None), at(4_000)), PermitReply::Granted { .. }));
}

#[test]
fn a_question_with_a_warm_up_fits_a_datagram() {
    let mut core = core_of_one(1);
    core.take_change(listed(Some(2_000), 0), at(10));
    let placement =
        core.place("engines", Some(&need(5_000)), TargetScope::Untried(&[]), at(20)).unwrap();
    let ask = core.permit_query(&placement, ms(0), at(20)).unwrap().ask;
    assert_eq!(ask.warmup.unwrap().left_ms, 1_990);
    let note = LoadNote::AskPermit { nonce: 7, ask };
    let bytes = note.to_bytes().unwrap();
    assert!(bytes.len() <= 400, "{} bytes", bytes.len());
    assert_eq!(LoadNote::from_bytes(&bytes).unwrap(), note);
}

fn most_in_a_second(sends: &[Tick]) -> usize {
    let mut sends = sends.to_vec();
    sends.sort_unstable();
    let count =
        |from: &Tick| sends.iter().filter(|at| *at >= from && **at < *from + ms(1_000)).count();
    sends.iter().map(count).max().unwrap_or(0)
}

/// A whole failure domain comes back cold while callers press: each entry tries all the time,
/// a third of them can not reach the first agent, both agents are started again, and each send
/// uses its turn at some time within its span.
#[test]
fn any_number_of_entries_keeps_the_bound_of_a_cold_target() {
    const SEED: u64 = 20_261_203;
    println!("seed {SEED}");
    for entries in [5, 30, 103, 402] {
        let mut random = StdRng::seed_from_u64(SEED);
        let mut cores: Vec<_> = (0..entries).map(core_of_one).collect();
        let (mut first, mut second) = (PermitDesk::default(), PermitDesk::default());
        let mut sends = Vec::new();
        for core in &mut cores {
            core.take_change(listed(Some(3_000), 1), at(10));
        }
        for millis in 20..3_000 {
            let now = at(millis);
            if millis == 1_200 {
                first = PermitDesk::default();
            }
            if millis == 1_500 {
                second = PermitDesk::default();
            }
            let entry = random.random_range(0..cores.len());
            let is_cut = entry % 3 == 0;
            let core = &mut cores[entry];
            let scope = TargetScope::Untried(&[]);
            let Some(placement) = core.place("engines", Some(&need(5_000)), scope, now) else {
                continue;
            };
            let query = core.permit_query(&placement, ms(0), now).expect("it is cold");
            let desk = match (query.ask.is_second, is_cut) {
                (false, true) => None,
                (false, false) => Some(&mut first),
                (true, _) => Some(&mut second),
            };
            let reply = desk.map(|desk| desk.on_ask(&query.ask, now));
            if let PermitVerdict::Turn { from, until } = core.take_permit(&query, reply, now) {
                let late = until.since(from).as_millis() as u64;
                sends.push(from + ms(random.random_range(0..=late)));
            }
        }
        let most = most_in_a_second(&sends);
        assert!(most <= ALLOWED, "{entries} entries: {most} in a second");
        let least = if entries > 100 { 30 } else { 5 };
        assert!(sends.len() >= least, "{entries} entries sent only {}", sends.len());
    }
}

/// With any declared rate and bound.
#[test]
fn both_agents_together_keep_any_bound() {
    for (per_second, overrun, slack) in [(32.0, 1.5, 5.0), (2.0, 1.2, 5.0), (400.0, 1.0, 0.0)] {
        let rule = WarmupRule { per_second, ..RULE };
        let rate = WarmupBound { overrun, slack }.to_rate(rule, ms(300));
        let mut desks = [PermitDesk::default(), PermitDesk::default()];
        let life = record("a", 1).to_life();
        let mut sends = Vec::new();
        let mut random = StdRng::seed_from_u64(7);
        for millis in 0..8_000 {
            for (desk, is_second) in desks.iter_mut().zip([false, true]) {
                let news = RateNews { life: life.clone(), rate: None, age_ms: u32::MAX };
                let warmup = Some(WarmupNews { rate, left_ms: 3_000 });
                let ask = PermitAsk { news, warmup, most_wait_ms: 0, is_second };
                // An idle time first, so that each agent has kept what it keeps.
                let is_idle = millis < 4_000 && millis > 10;
                if !is_idle && matches!(desk.on_ask(&ask, at(millis)), PermitReply::Granted { .. })
                {
                    sends.push(at(millis) + ms(random.random_range(0..=300)));
                }
            }
        }
        let most = per_second * overrun + slack;
        let seen = most_in_a_second(&sends);
        assert!(seen as f64 <= most, "{per_second}/s: {seen} in a second, {most} allowed");
    }
}

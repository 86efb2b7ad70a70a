//! Rates that targets take from all entries together: what is known of them, and that the sum
//! of what entries send keeps them, however many there are and whatever befalls them.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use shalelane::relay::core::RelayCore;
use shalelane::relay::core::permits::PermitVerdict;
use shalelane::relay::decide::permit_desk::{PermitAsk, PermitDesk, PermitReply};
use shalelane::relay::decide::placement::TargetScope;
use shalelane::relay::decide::rate_book::{RateBook, RateNews, RateTold};
use shalelane::relay::decide::rate_limit::{RateLimit, RateWord};
use shalelane::relay::decide::targets::TargetLife;
use shalelane::relay::discovery::freshness::StalePolicy;
use shalelane::relay::discovery::rules::{RelayConfig, ServiceRule};
use shalelane::relay::peers::engine_watch::EngineWatch;
use shalelane::relay::peers::load_note::LoadNote;
use shalelane::relay::peers::subscriber_set::SubscriberSet;
use shalelane::time::Tick;

use crate::fixture::{at, key, limits, ms, name, need, rates, record, short_load};

fn rate(per_second: f64) -> RateLimit {
    RateLimit::from_per_second(per_second).unwrap()
}

fn life(name: &str) -> TargetLife {
    record(name, 1).to_life()
}

/// An entry that knows engines of one service.
fn core_of(entry: u64, names: &[&str]) -> RelayCore {
    let mut core = RelayCore::new(limits(StalePolicy::FailClosed), entry);
    let service = ServiceRule { name: name("engines"), engine: Some(rates()), warmup: None };
    let config = RelayConfig { version: 1, services: vec![service], ..RelayConfig::default() };
    core.take_config(Some(config), at(0));
    let records = (1..).zip(names).map(|(number, name)| record(name, number)).collect();
    core.take_list(records, false, at(0));
    core
}

/// What one entry does at `now` with a request: whether it sends it, and when.
fn try_send(core: &mut RelayCore, desk: Option<&mut PermitDesk>, now: Tick) -> Option<Tick> {
    let need = need(5_000);
    let placement = core.place("engines", Some(&need), TargetScope::Untried(&[]), now)?;
    let Some(query) = core.permit_query(&placement, Duration::ZERO, now) else {
        return Some(now);
    };
    let reply = desk.map(|desk| desk.on_ask(&query.ask, now));
    match core.take_permit(&query, reply, now) {
        PermitVerdict::Turn { from, .. } => Some(from),
        PermitVerdict::Elsewhere => None,
    }
}

/// Most sends in any span of four seconds.
fn most_in_window(sends: &[Tick]) -> usize {
    let mut sends = sends.to_vec();
    sends.sort_unstable();
    let count =
        |from: &Tick| sends.iter().filter(|at| *at >= from && **at < *from + ms(4_000)).count();
    sends.iter().map(count).max().unwrap_or(0)
}

fn allowed(per_second: f64) -> usize {
    (per_second * 4.0 * 1.5 + 5.0) as usize
}

/// Entries at one target, its agent and two others that tell of its rate.
struct RateWorld {
    entries: Vec<(RelayCore, RateTold)>,
    giver: PermitDesk,
    others: [PermitDesk; 2],
    sends: Vec<Tick>,
}

impl RateWorld {
    /// A fleet that is idle. One entry has met the rate.
    fn start(entries: u64, per_second: f64) -> Self {
        let cores = (0..entries).map(|entry| (core_of(entry, &["a"]), RateTold::default()));
        let mut world = RateWorld {
            entries: cores.collect(),
            giver: PermitDesk::default(),
            others: Default::default(),
            sends: Vec::new(),
        };
        let named = RateWord::Named(rate(per_second));
        world.entries[0].0.take_rate(&life("a"), named, Some(at(0)), at(10));
        world.subscribe_all(at(20));
        world.subscribe_all(at(770));
        world
    }

    fn subscribe_all(&mut self, now: Tick) {
        for entry in 0..self.entries.len() {
            self.subscribe(entry, now);
        }
    }

    /// One entry tells the agents what it knows, and is told what they know.
    fn subscribe(&mut self, entry: usize, now: Tick) {
        let (core, told) = &mut self.entries[entry];
        for (_, news) in core.to_giver_rates(now) {
            self.giver.take_news(&[news], now);
        }
        let news = core.to_rates(now);
        for desk in self.others.iter_mut().chain([&mut self.giver]) {
            desk.take_news(&news, now);
            core.take_rates(&desk.to_news(told, now), now);
        }
    }

    fn restart(&mut self, entry: usize, incarnation: u64, now: Tick) {
        self.entries[entry] = (core_of(incarnation, &["a"]), RateTold::default());
        self.subscribe(entry, now);
    }

    /// A request at one entry, which can not reach the agent where it is cut off.
    fn ask(&mut self, entry: usize, is_cut: bool, now: Tick) {
        let giver = (!is_cut).then_some(&mut self.giver);
        self.sends.extend(try_send(&mut self.entries[entry].0, giver, now));
    }
}

/// Entries wake together, again and again; some start anew, some can not reach the agent, and
/// the agent itself starts again.
#[test]
fn any_number_of_idle_entries_that_wake_together_keeps_the_rate() {
    const STEPS: u64 = 2_000;
    for (entries, per_second) in [(5, 2.0), (30, 1.7), (300, 0.5), (402, 4.0), (402, 0.0)] {
        let mut random = StdRng::seed_from_u64(7);
        let mut world = RateWorld::start(entries, per_second);
        for step in 0..STEPS {
            let now = at(1_000 + step * 10);
            if step % 75 == 0 {
                world.subscribe_all(now);
            }
            if step == 900 {
                world.giver = PermitDesk::default();
            }
            let entry = random.random_range(0..world.entries.len());
            if step % 20 == 0 {
                world.restart(entry, 1_000 + step, now);
            }
            let callers = if step % 100 == 0 { world.entries.len() } else { 1 };
            for caller in 0..callers {
                let entry = (entry + caller) % world.entries.len();
                world.ask(entry, entry % 7 == 3, now);
            }
        }
        let most = most_in_window(&world.sends);
        assert!(most <= allowed(per_second), "{entries} at {per_second}/s: {most} in 4 s");
        let (sent, least) = (world.sends.len() as f64, per_second * 20.0 * 0.5);
        assert!(sent >= least, "{entries} at {per_second}/s: only {sent} sent");
    }
}

/// Two agents may be asked, where one does not answer some of the entries.
#[test]
fn entries_that_ask_two_agents_keep_one_and_a_half_times_the_rate() {
    let (mut first, mut second) = (PermitDesk::default(), PermitDesk::default());
    let news = RateNews { life: life("a"), rate: Some(rate(2.0)), age_ms: 0 };
    let mut sends = Vec::new();
    for step in 0..4_000 {
        let now = at(step * 5);
        for (is_second, desk) in [(false, &mut first), (true, &mut second)] {
            let ask = PermitAsk { news: news.clone(), warmup: None, most_wait_ms: 0, is_second };
            if matches!(desk.on_ask(&ask, now), PermitReply::Granted { .. }) {
                sends.push(now);
            }
        }
    }
    assert!(most_in_window(&sends) <= allowed(2.0));
}

/// A permit is for its turn: a host that was frozen, or a connection that was slow, does not
/// send it among later ones.
#[test]
fn a_turn_that_was_missed_is_not_used() {
    let mut core = core_of(1, &["a"]);
    core.take_rate(&life("a"), RateWord::Named(rate(2.0)), Some(at(0)), at(10));
    let need = need(5_000);
    let mut placement =
        core.place("engines", Some(&need), TargetScope::Untried(&[]), at(20)).unwrap();
    let share = core.begin(&placement, Some(&need), at(20));
    assert!(!core.may_send(&share, at(20)), "sent without a permit");
    let query = core.permit_query(&placement, ms(0), at(20)).unwrap();
    let reply = Some(PermitReply::Granted { after_ms: 100 });
    let PermitVerdict::Turn { from, until } = core.take_permit(&query, reply, at(30)) else {
        panic!("no turn");
    };
    assert_eq!(from, at(130));
    placement.turn_until = Some(until);
    let share = core.begin(&placement, Some(&need), at(130));
    assert!(core.may_send(&share, at(140)));
    assert!(!core.may_send(&share, at(900)));
}

/// A request that was placed before its target named a rate asks first.
#[test]
fn a_rate_that_is_learned_before_the_sending_binds_it() {
    let mut core = core_of(1, &["a"]);
    let need = need(5_000);
    let placement = core.place("engines", Some(&need), TargetScope::Untried(&[]), at(0)).unwrap();
    let share = core.begin(&placement, Some(&need), at(0));
    core.take_rate(&life("a"), RateWord::Named(rate(2.0)), Some(at(0)), at(10));
    assert!(!core.may_send(&share, at(20)));
}

#[test]
fn a_target_that_takes_few_helps_with_no_prompt_and_is_the_last_choice() {
    let mut core = core_of(1, &["a", "b", "c"]);
    core.take_rate(&life("a"), RateWord::Named(rate(2.0)), Some(at(0)), at(10));
    for prompt in [5_000, 40_000, 300_000] {
        let scope = TargetScope::Untried(&[]);
        let placement = core.place("engines", Some(&need(prompt)), scope, at(20)).unwrap();
        assert_ne!(&*placement.target, "a", "{prompt} tokens");
        assert!(!placement.helpers.contains(&name("a")), "{prompt} tokens");
    }
}

#[test]
fn where_there_is_no_turn_callers_are_told_when_there_may_be_one() {
    let mut core = core_of(1, &["a"]);
    core.take_rate(&life("a"), RateWord::Named(rate(0.5)), Some(at(0)), at(10));
    let need = need(5_000);
    let scope = TargetScope::Untried(&[]);
    let placement = core.place("engines", Some(&need), scope, at(20)).unwrap();
    let query = core.permit_query(&placement, ms(0), at(20)).unwrap();
    let reply = Some(PermitReply::Refused { wait_ms: 1_800 });
    assert_eq!(core.take_permit(&query, reply, at(20)), PermitVerdict::Elsewhere);
    assert!(core.place("engines", Some(&need), scope, at(30)).is_none());
    assert_eq!(core.time_to_target("engines", at(30)), Some(ms(1_790)));
    assert!(core.place("engines", Some(&need), scope, at(1_820)).is_some());
}

#[test]
fn where_no_agent_answers_a_second_one_is_asked_and_then_nobody_sends() {
    let mut core = core_of(1, &["a", "b"]);
    core.take_rate(&life("a"), RateWord::Named(rate(2.0)), Some(at(0)), at(10));
    core.take_rate(&life("b"), RateWord::Named(rate(2.0)), Some(at(0)), at(10));
    let need = need(5_000);
    let scope = TargetScope::Untried(&[]);
    let placement = core.place("engines", Some(&need), scope, at(20)).unwrap();
    let first = core.permit_query(&placement, ms(0), at(20)).unwrap();
    core.take_permit(&first, None, at(100));
    let second = core.permit_query(&placement, ms(0), at(100)).unwrap();
    assert!(!first.ask.is_second && second.ask.is_second);
    assert_ne!(first.beside, second.beside);
    core.take_permit(&second, None, at(180));
    let other = core.place("engines", Some(&need), scope, at(190)).unwrap();
    assert_ne!(other.target, placement.target);
}

// What answers say of rates.

fn book_at(per_second: f64, now: Tick) -> RateBook {
    let mut book = RateBook::default();
    assert!(book.note_named(&life("a"), rate(per_second), now));
    book
}

fn news(per_second: Option<f64>, age_ms: u32) -> RateNews {
    RateNews { life: life("a"), rate: per_second.map(rate), age_ms }
}

#[test]
fn a_rate_that_changes_holds_as_it_was_named_last() {
    let mut book = book_at(2.0, at(100));
    assert!(book.note_named(&life("a"), rate(1.0), at(200)));
    assert_eq!(book.rate_of(&life("a")), Some(rate(1.0)));
    assert!(book.note_named(&life("a"), rate(8.0), at(300)));
    assert_eq!(book.rate_of(&life("a")), Some(rate(8.0)));
}

#[test]
fn a_rate_that_is_named_twice_changes_nothing() {
    let mut book = book_at(2.0, at(100));
    assert!(!book.note_named(&life("a"), rate(2.0), at(110)));
    assert_eq!(book.len(), 1);
}

#[test]
fn a_rate_ends_with_an_answer_to_a_later_request_that_names_none() {
    let mut book = book_at(2.0, at(100));
    assert!(!book.note_silent(&life("a"), at(90)), "an old answer");
    assert!(!book.note_silent(&life("a"), at(100)), "sent before the rate was known");
    assert!(book.note_silent(&life("a"), at(101)));
    assert_eq!(book.rate_of(&life("a")), None);
}

#[test]
fn what_can_not_be_read_ends_no_rate() {
    let mut core = core_of(1, &["a"]);
    core.take_rate(&life("a"), RateWord::Named(rate(2.0)), Some(at(0)), at(10));
    core.take_rate(&life("a"), RateWord::Unreadable, Some(at(50)), at(60));
    assert!(core.targets.get("a").unwrap().rate.is_some());
    core.take_rate(&life("a"), RateWord::Silent, None, at(70));
    assert!(core.targets.get("a").unwrap().rate.is_some(), "not surely its answer");
    core.take_rate(&life("a"), RateWord::Silent, Some(at(80)), at(90));
    assert!(core.targets.get("a").unwrap().rate.is_none());
}

#[test]
fn a_rate_of_an_earlier_life_does_not_bind_a_later_one() {
    let mut core = core_of(1, &["a"]);
    core.take_rate(&life("a"), RateWord::Named(rate(2.0)), Some(at(0)), at(10));
    let mut restarted = record("a", 1);
    restarted.born_ms = 7;
    core.take_change(restarted, at(20));
    assert!(core.targets.get("a").unwrap().rate.is_none());
    // Word of the earlier one may still come.
    core.take_rate(&life("a"), RateWord::Named(rate(2.0)), Some(at(0)), at(30));
    assert!(core.targets.get("a").unwrap().rate.is_none());
}

#[test]
fn a_rate_that_was_told_before_the_target_is_listed_binds_it() {
    let mut core = core_of(1, &["b"]);
    core.take_rates(&[news(Some(2.0), 10)], at(10));
    core.take_change(record("a", 2), at(20));
    assert!(core.targets.get("a").unwrap().rate.is_some());
}

#[test]
fn a_rate_of_zero_gives_a_turn_from_time_to_time_and_a_huge_one_any() {
    assert_eq!(rate(0.0).to_step(), Duration::from_secs(10));
    assert_eq!(rate(1e-300).to_step(), Duration::from_secs(10));
    assert_eq!(rate(1e300).to_step(), Duration::from_micros(1));
    assert_eq!(rate(4.0).to_step(), ms(250));
}

#[test]
fn of_what_processes_tell_the_newest_holds() {
    let mut book = book_at(2.0, at(1_000));
    assert!(!book.take(&news(None, 500), at(1_400)), "older than what is known");
    assert!(book.take(&news(None, 300), at(1_400)));
    assert_eq!(book.rate_of(&life("a")), None);
    assert!(!book.take(&news(Some(2.0), 400), at(1_400)));
    assert!(book.take(&news(Some(2.0), 0), at(1_500)));
}

/// Word that goes round grows younger by the time that it is under way.
#[test]
fn the_same_word_that_comes_again_is_not_new() {
    let mut book = book_at(2.0, at(1_000));
    for step in 1..100 {
        let now = at(1_000 + step * 100);
        let age = now.since(at(1_000)).as_millis() as u32;
        book.take(&news(Some(2.0), age - 20), now);
    }
    let age = book.to_news_of(&life("a"), at(11_000)).unwrap().age_ms;
    assert_eq!(age, 10_000);
}

#[test]
fn a_change_is_told_at_once_and_the_rest_from_time_to_time() {
    let mut book = book_at(2.0, at(0));
    let mut told = RateTold::default();
    let mut notes = |book: &mut RateBook, count: u64| {
        (0..count).filter(|step| !book.to_news(&mut told, at(*step)).is_empty()).count()
    };
    assert_eq!(notes(&mut book, 24), 3 + 3);
    book.note_named(&life("a"), rate(1.0), at(30));
    assert_eq!(notes(&mut book, 3), 3);
}

#[test]
fn a_note_tells_of_a_few_and_the_next_of_others() {
    let mut book = RateBook::default();
    for number in 0..10 {
        book.note_named(&life(&format!("t{number}")), rate(2.0), at(0));
    }
    let mut told = RateTold::default();
    let mut lives = std::collections::BTreeSet::new();
    for _ in 0..3 {
        let news = book.to_news(&mut told, at(10));
        assert!(news.len() <= 4);
        lives.extend(news.into_iter().map(|news| news.life));
    }
    assert_eq!(lives.len(), 10);
}

#[test]
fn rates_of_which_nothing_is_heard_are_forgotten_at_different_times() {
    for (spread, kept) in [(0.0, 600), (0.5, 900)] {
        let mut book = book_at(2.0, at(0));
        assert!(!book.expire(spread, at(kept * 1_000 - 1)));
        assert!(book.expire(spread, at(kept * 1_000)));
        assert!(book.is_empty());
    }
}

#[test]
fn no_more_rates_are_kept_than_the_bound() {
    let mut book = RateBook::default();
    for number in 0..2_000 {
        book.note_named(&life(&format!("t{number}")), rate(2.0), at(number));
    }
    assert_eq!(book.len(), 1_024);
    assert!(book.rate_of(&life("t1999")).is_some());
}

/// An agent's looks at its engine are requests, too.
#[test]
fn an_agent_looks_less_often_at_an_engine_that_takes_few_requests() {
    let looks = |is_scarce| {
        let mut watch = EngineWatch::default();
        watch.set_scarce(is_scarce);
        (0..80).filter(|step| watch.is_due(true, at(step * 100))).count()
    };
    assert_eq!((looks(false), looks(true)), (20, 4));
}

#[test]
fn an_agent_knows_whether_its_own_engine_takes_few_requests() {
    let mut set = SubscriberSet::default();
    let from = ([10, 1, 0, 1], 7_000).into();
    let mut note = |note: &LoadNote| drop(set.on_note(note, from, 100, at(0)));
    note(&LoadNote::Rates(vec![news(Some(2.0), 0)]));
    let load = short_load();
    note(&LoadNote::Placed { target: name("b"), key: key(1), load });
    assert!(!set.is_scarce(), "another target does");
    let mut note = |note: &LoadNote| drop(set.on_note(note, from, 100, at(0)));
    note(&LoadNote::Placed { target: name("a"), key: key(2), load });
    assert!(set.is_scarce());
}

/// Nobody gives up a target for one that may have no turn.
#[test]
fn a_target_that_takes_few_is_no_reason_to_end_an_attempt() {
    let mut core = core_of(1, &["a", "b"]);
    let service = name("engines");
    assert!(core.could_retry(&service, None, &[name("b")], at(0)));
    core.take_rate(&life("a"), RateWord::Named(rate(2.0)), Some(at(0)), at(10));
    assert!(!core.could_retry(&service, None, &[name("b")], at(20)));
}

#[test]
fn an_agent_that_says_a_target_is_open_ends_what_was_known_when_it_was_asked() {
    for (named_again, is_over) in [(None, true), (Some(at(150)), false)] {
        let mut core = core_of(1, &["a"]);
        core.take_rate(&life("a"), RateWord::Named(rate(2.0)), Some(at(0)), at(10));
        let need = need(5_000);
        let placement =
            core.place("engines", Some(&need), TargetScope::Untried(&[]), at(100)).unwrap();
        let query = core.permit_query(&placement, ms(0), at(100)).unwrap();
        if let Some(named_at) = named_again {
            core.take_rate(&life("a"), RateWord::Named(rate(1.0)), Some(at(0)), named_at);
        }
        let verdict = core.take_permit(&query, Some(PermitReply::Open), at(160));
        assert!(matches!(verdict, PermitVerdict::Turn { .. }));
        assert_eq!(core.targets.get("a").unwrap().rate.is_none(), is_over);
    }
}

/// It may have been under way while the rate ended: taken, and ended by the next answer.
#[test]
fn a_rate_in_an_old_answer_binds_until_the_next_one() {
    let mut book = book_at(2.0, at(100));
    assert!(book.note_silent(&life("a"), at(200)));
    assert!(book.note_named(&life("a"), rate(2.0), at(300)));
    assert!(book.note_silent(&life("a"), at(301)));
    assert_eq!(book.rate_of(&life("a")), None);
}

/// A target that takes any number, and was tried, says nothing of when there is a turn.
#[test]
fn a_second_attempt_waits_for_a_turn_where_only_a_scarce_target_is_left() {
    let mut core = core_of(1, &["a", "b"]);
    core.take_rate(&life("a"), RateWord::Named(rate(2.0)), Some(at(0)), at(10));
    let (need, tried) = (need(5_000), [name("b")]);
    let scope = TargetScope::Untried(&tried);
    let placement = core.place("engines", Some(&need), scope, at(20)).unwrap();
    let query = core.permit_query(&placement, ms(0), at(20)).unwrap();
    core.take_permit(&query, Some(PermitReply::Refused { wait_ms: 200 }), at(20));
    assert!(core.place("engines", Some(&need), scope, at(30)).is_none());
    assert_eq!(core.time_to_turn("engines", at(30)), Some(ms(190)));
    assert!(core.place_for_turn("engines", Some(&need), scope, at(30)).is_some());
}

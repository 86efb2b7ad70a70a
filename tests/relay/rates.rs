//! Rate limits of targets: how they become known, and that the sum of what entries send keeps
//! them, for any number of entries and under any faults.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use shalelane::relay::core::RelayCore;
use shalelane::relay::core::permits::PermitVerdict;
use shalelane::relay::decide::permit_issuer::{PermitIssuer, PermitReply, PermitRequest};
use shalelane::relay::decide::placement::TargetScope;
use shalelane::relay::decide::rate_limit::{RateLimit, RateNotice};
use shalelane::relay::decide::rate_table::{AnnouncedRates, RateTable, RateUpdate};
use shalelane::relay::decide::targets::TargetInstance;
use shalelane::relay::discovery::freshness::StalePolicy;
use shalelane::relay::discovery::rules::{RelayConfig, ServiceRule};
use shalelane::relay::peers::engine_health::EngineHealth;
use shalelane::relay::peers::peer_message::PeerMessage;
use shalelane::relay::peers::subscriber_set::SubscriberSet;
use shalelane::time::Tick;

use crate::fixture::{at, key, limits, ms, name, need, rates, record, short_load};

fn rate(per_second: f64) -> RateLimit {
    RateLimit::from_per_second(per_second).unwrap()
}

fn instance(name: &str) -> TargetInstance {
    record(name, 1).to_instance()
}

/// An entry that knows engines of one service.
fn core_of(entry: u64, names: &[&str]) -> RelayCore {
    let mut core = RelayCore::new(limits(StalePolicy::FailClosed), entry);
    let service = ServiceRule { name: name("engines"), engine: Some(rates()), warmup: None };
    let config = RelayConfig { version: 1, services: vec![service], ..RelayConfig::default() };
    core.apply_config(Some(config), at(0));
    let records = (1..).zip(names).map(|(number, name)| record(name, number)).collect();
    core.apply_list(records, false, at(0));
    core
}

/// Time at which an entry sends a request that arrives at `now`; `None` if it does not send it.
fn try_send(core: &mut RelayCore, issuer: Option<&mut PermitIssuer>, now: Tick) -> Option<Tick> {
    let need = need(5_000);
    let placement = core.place("engines", Some(&need), TargetScope::Untried(&[]), now)?;
    let Some(query) = core.permit_query(&placement, Duration::ZERO, now) else {
        return Some(now);
    };
    let reply = issuer.map(|issuer| issuer.on_request(&query.request, now));
    match core.apply_permit(&query, reply, now) {
        PermitVerdict::SendWithin { from, .. } => Some(from),
        PermitVerdict::PlaceAgain => None,
    }
}

/// Maximum number of sends in any window of four seconds.
fn max_in_window(sends: &[Tick]) -> usize {
    let mut sends = sends.to_vec();
    sends.sort_unstable();
    let count =
        |from: &Tick| sends.iter().filter(|at| *at >= from && **at < *from + ms(4_000)).count();
    sends.iter().map(count).max().unwrap_or(0)
}

fn allowed(per_second: f64) -> usize {
    (per_second * 4.0 * 1.5 + 5.0) as usize
}

/// Entries of one target, the agent that issues its permits and two others that announce its
/// rate.
struct RateWorld {
    entries: Vec<(RelayCore, AnnouncedRates)>,
    issuer: PermitIssuer,
    others: [PermitIssuer; 2],
    sends: Vec<Tick>,
}

impl RateWorld {
    /// Creates an idle fleet, of which one entry has received the rate.
    fn start(entries: u64, per_second: f64) -> Self {
        let cores = (0..entries).map(|entry| (core_of(entry, &["a"]), AnnouncedRates::default()));
        let mut world = RateWorld {
            entries: cores.collect(),
            issuer: PermitIssuer::default(),
            others: Default::default(),
            sends: Vec::new(),
        };
        let notice = RateNotice::Limit(rate(per_second));
        world.entries[0].0.apply_rate(&instance("a"), notice, Some(at(0)), at(10));
        world.subscribe_all(at(20));
        world.subscribe_all(at(770));
        world
    }

    fn subscribe_all(&mut self, now: Tick) {
        for entry in 0..self.entries.len() {
            self.subscribe(entry, now);
        }
    }

    /// Exchanges the known rates between one entry and the agents.
    fn subscribe(&mut self, entry: usize, now: Tick) {
        let (core, announced) = &mut self.entries[entry];
        for (_, update) in core.to_issuer_rates(now) {
            self.issuer.apply_updates(&[update], now);
        }
        let updates = core.to_rate_updates(now);
        for issuer in self.others.iter_mut().chain([&mut self.issuer]) {
            issuer.apply_updates(&updates, now);
            core.apply_rates(&issuer.to_updates(announced, now), now);
        }
    }

    fn restart(&mut self, entry: usize, incarnation: u64, now: Tick) {
        self.entries[entry] = (core_of(incarnation, &["a"]), AnnouncedRates::default());
        self.subscribe(entry, now);
    }

    /// Makes a request at one entry, which cannot reach the agent if it is disconnected.
    fn request(&mut self, entry: usize, is_disconnected: bool, now: Tick) {
        let issuer = (!is_disconnected).then_some(&mut self.issuer);
        self.sends.extend(try_send(&mut self.entries[entry].0, issuer, now));
    }
}

/// Idle entries get requests at the same moment, again and again; some of them restart, some
/// cannot reach the agent, and the agent itself restarts.
#[test]
fn any_number_of_idle_entries_that_resume_together_keeps_the_rate() {
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
                world.issuer = PermitIssuer::default();
            }
            let entry = random.random_range(0..world.entries.len());
            if step % 20 == 0 {
                world.restart(entry, 1_000 + step, now);
            }
            let callers = if step % 100 == 0 { world.entries.len() } else { 1 };
            for caller in 0..callers {
                let entry = (entry + caller) % world.entries.len();
                world.request(entry, entry % 7 == 3, now);
            }
        }
        let max = max_in_window(&world.sends);
        assert!(max <= allowed(per_second), "{entries} at {per_second}/s: {max} in 4 s");
        let (sent, min) = (world.sends.len() as f64, per_second * 20.0 * 0.5);
        assert!(sent >= min, "{entries} at {per_second}/s: only {sent} sent");
    }
}

/// Some entries may ask the second agent because the first does not answer them.
#[test]
fn entries_that_ask_two_agents_keep_one_and_a_half_times_the_rate() {
    let (mut first, mut second) = (PermitIssuer::default(), PermitIssuer::default());
    let update = RateUpdate { instance: instance("a"), rate: Some(rate(2.0)), age_ms: 0 };
    let mut sends = Vec::new();
    for step in 0..4_000 {
        let now = at(step * 5);
        for (is_second, issuer) in [(false, &mut first), (true, &mut second)] {
            let request =
                PermitRequest { rate: update.clone(), warmup: None, max_wait_ms: 0, is_second };
            if matches!(issuer.on_request(&request, now), PermitReply::Granted { .. }) {
                sends.push(now);
            }
        }
    }
    assert!(max_in_window(&sends) <= allowed(2.0));
}

/// A permit is valid for a short time only: after a frozen host or a slow connection, a request
/// is not sent among those of later permits.
#[test]
fn an_expired_permit_is_not_used() {
    let mut core = core_of(1, &["a"]);
    core.apply_rate(&instance("a"), RateNotice::Limit(rate(2.0)), Some(at(0)), at(10));
    let need = need(5_000);
    let mut placement =
        core.place("engines", Some(&need), TargetScope::Untried(&[]), at(20)).unwrap();
    let attempt = core.begin_attempt(&placement, Some(&need), at(20));
    assert!(!core.may_send(&attempt, at(20)), "sent without a permit");
    let query = core.permit_query(&placement, ms(0), at(20)).unwrap();
    let reply = Some(PermitReply::Granted { after_ms: 100 });
    let PermitVerdict::SendWithin { from, until } = core.apply_permit(&query, reply, at(30)) else {
        panic!("no permit");
    };
    assert_eq!(from, at(130));
    placement.send_before = Some(until);
    let attempt = core.begin_attempt(&placement, Some(&need), at(130));
    assert!(core.may_send(&attempt, at(140)));
    assert!(!core.may_send(&attempt, at(900)));
}

/// A request that was placed before its target stated a rate needs a permit.
#[test]
fn a_rate_that_is_learned_before_the_send_applies() {
    let mut core = core_of(1, &["a"]);
    let need = need(5_000);
    let placement = core.place("engines", Some(&need), TargetScope::Untried(&[]), at(0)).unwrap();
    let attempt = core.begin_attempt(&placement, Some(&need), at(0));
    core.apply_rate(&instance("a"), RateNotice::Limit(rate(2.0)), Some(at(0)), at(10));
    assert!(!core.may_send(&attempt, at(20)));
}

#[test]
fn a_rate_limited_target_is_no_helper_and_the_last_choice() {
    let mut core = core_of(1, &["a", "b", "c"]);
    core.apply_rate(&instance("a"), RateNotice::Limit(rate(2.0)), Some(at(0)), at(10));
    for prompt in [5_000, 40_000, 300_000] {
        let scope = TargetScope::Untried(&[]);
        let placement = core.place("engines", Some(&need(prompt)), scope, at(20)).unwrap();
        assert_ne!(&*placement.target, "a", "{prompt} tokens");
        assert!(!placement.helpers.contains(&name("a")), "{prompt} tokens");
    }
}

#[test]
fn without_a_permit_callers_learn_when_one_may_be_available() {
    let mut core = core_of(1, &["a"]);
    core.apply_rate(&instance("a"), RateNotice::Limit(rate(0.5)), Some(at(0)), at(10));
    let need = need(5_000);
    let scope = TargetScope::Untried(&[]);
    let placement = core.place("engines", Some(&need), scope, at(20)).unwrap();
    let query = core.permit_query(&placement, ms(0), at(20)).unwrap();
    let reply = Some(PermitReply::Refused { wait_ms: 1_800 });
    assert_eq!(core.apply_permit(&query, reply, at(20)), PermitVerdict::PlaceAgain);
    assert!(core.place("engines", Some(&need), scope, at(30)).is_none());
    assert_eq!(core.time_to_target("engines", at(30)), Some(ms(1_790)));
    assert!(core.place("engines", Some(&need), scope, at(1_820)).is_some());
}

#[test]
fn a_second_agent_is_asked_and_without_its_answer_nothing_is_sent() {
    let mut core = core_of(1, &["a", "b"]);
    core.apply_rate(&instance("a"), RateNotice::Limit(rate(2.0)), Some(at(0)), at(10));
    core.apply_rate(&instance("b"), RateNotice::Limit(rate(2.0)), Some(at(0)), at(10));
    let need = need(5_000);
    let scope = TargetScope::Untried(&[]);
    let placement = core.place("engines", Some(&need), scope, at(20)).unwrap();
    let first = core.permit_query(&placement, ms(0), at(20)).unwrap();
    core.apply_permit(&first, None, at(100));
    let second = core.permit_query(&placement, ms(0), at(100)).unwrap();
    assert!(!first.request.is_second && second.request.is_second);
    assert_ne!(first.agent_host, second.agent_host);
    core.apply_permit(&second, None, at(180));
    let other = core.place("engines", Some(&need), scope, at(190)).unwrap();
    assert_ne!(other.target, placement.target);
}

// What answers state about rates.

fn table_at(per_second: f64, now: Tick) -> RateTable {
    let mut table = RateTable::default();
    assert!(table.record_limit(&instance("a"), rate(per_second), now));
    table
}

fn update(per_second: Option<f64>, age_ms: u32) -> RateUpdate {
    RateUpdate { instance: instance("a"), rate: per_second.map(rate), age_ms }
}

#[test]
fn the_latest_stated_rate_applies() {
    let mut table = table_at(2.0, at(100));
    assert!(table.record_limit(&instance("a"), rate(1.0), at(200)));
    assert_eq!(table.rate_of(&instance("a")), Some(rate(1.0)));
    assert!(table.record_limit(&instance("a"), rate(8.0), at(300)));
    assert_eq!(table.rate_of(&instance("a")), Some(rate(8.0)));
}

#[test]
fn a_rate_that_is_stated_twice_changes_nothing() {
    let mut table = table_at(2.0, at(100));
    assert!(!table.record_limit(&instance("a"), rate(2.0), at(110)));
    assert_eq!(table.len(), 1);
}

#[test]
fn a_rate_ends_with_an_answer_to_a_later_request_that_states_none() {
    let mut table = table_at(2.0, at(100));
    assert!(!table.record_no_limit(&instance("a"), at(90)), "an old answer");
    assert!(!table.record_no_limit(&instance("a"), at(100)), "sent before the rate was known");
    assert!(table.record_no_limit(&instance("a"), at(101)));
    assert_eq!(table.rate_of(&instance("a")), None);
}

#[test]
fn an_invalid_rate_does_not_end_a_known_one() {
    let mut core = core_of(1, &["a"]);
    core.apply_rate(&instance("a"), RateNotice::Limit(rate(2.0)), Some(at(0)), at(10));
    core.apply_rate(&instance("a"), RateNotice::Unreadable, Some(at(50)), at(60));
    assert!(core.targets.get("a").unwrap().rate.is_some());
    core.apply_rate(&instance("a"), RateNotice::Absent, None, at(70));
    assert!(
        core.targets.get("a").unwrap().rate.is_some(),
        "the answer may not be the target's own"
    );
    core.apply_rate(&instance("a"), RateNotice::Absent, Some(at(80)), at(90));
    assert!(core.targets.get("a").unwrap().rate.is_none());
}

#[test]
fn a_rate_of_a_former_instance_does_not_bind_the_next_one() {
    let mut core = core_of(1, &["a"]);
    core.apply_rate(&instance("a"), RateNotice::Limit(rate(2.0)), Some(at(0)), at(10));
    let mut restarted = record("a", 1);
    restarted.started_ms = 7;
    core.apply_change(restarted, at(20));
    assert!(core.targets.get("a").unwrap().rate.is_none());
    // An answer of the former instance may still arrive.
    core.apply_rate(&instance("a"), RateNotice::Limit(rate(2.0)), Some(at(0)), at(30));
    assert!(core.targets.get("a").unwrap().rate.is_none());
}

#[test]
fn a_rate_that_is_announced_before_the_target_is_listed_binds_it() {
    let mut core = core_of(1, &["b"]);
    core.apply_rates(&[update(Some(2.0), 10)], at(10));
    core.apply_change(record("a", 2), at(20));
    assert!(core.targets.get("a").unwrap().rate.is_some());
}

#[test]
fn a_rate_of_zero_has_a_long_interval_and_a_huge_one_a_short_interval() {
    assert_eq!(rate(0.0).to_interval(), Duration::from_secs(10));
    assert_eq!(rate(1e-300).to_interval(), Duration::from_secs(10));
    assert_eq!(rate(1e300).to_interval(), Duration::from_micros(1));
    assert_eq!(rate(4.0).to_interval(), ms(250));
}

#[test]
fn the_newest_update_applies() {
    let mut table = table_at(2.0, at(1_000));
    assert!(!table.apply_update(&update(None, 500), at(1_400)), "older than the known rate");
    assert!(table.apply_update(&update(None, 300), at(1_400)));
    assert_eq!(table.rate_of(&instance("a")), None);
    assert!(!table.apply_update(&update(Some(2.0), 400), at(1_400)));
    assert!(table.apply_update(&update(Some(2.0), 0), at(1_500)));
}

/// A forwarded update appears younger by its time in transit.
#[test]
fn a_repeated_update_is_not_new() {
    let mut table = table_at(2.0, at(1_000));
    for step in 1..100 {
        let now = at(1_000 + step * 100);
        let age = now.since(at(1_000)).as_millis() as u32;
        table.apply_update(&update(Some(2.0), age - 20), now);
    }
    let age = table.to_update(&instance("a"), at(11_000)).unwrap().age_ms;
    assert_eq!(age, 10_000);
}

#[test]
fn a_change_is_announced_at_once_and_the_rest_from_time_to_time() {
    let mut table = table_at(2.0, at(0));
    let mut announced = AnnouncedRates::default();
    let mut updates = |table: &mut RateTable, count: u64| {
        (0..count).filter(|step| !table.to_updates(&mut announced, at(*step)).is_empty()).count()
    };
    assert_eq!(updates(&mut table, 24), 3 + 3);
    table.record_limit(&instance("a"), rate(1.0), at(30));
    assert_eq!(updates(&mut table, 3), 3);
}

#[test]
fn a_message_announces_a_few_targets_and_the_next_others() {
    let mut table = RateTable::default();
    for number in 0..10 {
        table.record_limit(&instance(&format!("t{number}")), rate(2.0), at(0));
    }
    let mut announced = AnnouncedRates::default();
    let mut instances = std::collections::BTreeSet::new();
    for _ in 0..3 {
        let updates = table.to_updates(&mut announced, at(10));
        assert!(updates.len() <= 4);
        instances.extend(updates.into_iter().map(|update| update.instance));
    }
    assert_eq!(instances.len(), 10);
}

#[test]
fn rates_without_updates_expire_at_different_times() {
    for (jitter, kept) in [(0.0, 600), (0.5, 900)] {
        let mut table = table_at(2.0, at(0));
        assert!(!table.expire(jitter, at(kept * 1_000 - 1)));
        assert!(table.expire(jitter, at(kept * 1_000)));
        assert!(table.is_empty());
    }
}

#[test]
fn the_number_of_known_rates_is_bounded() {
    let mut table = RateTable::default();
    for number in 0..2_000 {
        table.record_limit(&instance(&format!("t{number}")), rate(2.0), at(number));
    }
    assert_eq!(table.len(), 1_024);
    assert!(table.rate_of(&instance("t1999")).is_some());
}

/// An agent's polls of its engine are requests, too.
#[test]
fn an_agent_polls_a_rate_limited_engine_less_often() {
    let polls = |is_rate_limited| {
        let mut health = EngineHealth::default();
        health.set_rate_limited(is_rate_limited);
        (0..80).filter(|step| health.is_due(true, at(step * 100))).count()
    };
    assert_eq!((polls(false), polls(true)), (20, 4));
}

#[test]
fn an_agent_knows_whether_its_own_engine_is_rate_limited() {
    let mut set = SubscriberSet::default();
    let from = ([10, 1, 0, 1], 7_000).into();
    let mut receive = |message: &PeerMessage| drop(set.on_message(message, from, 100, at(0)));
    receive(&PeerMessage::Rates(vec![update(Some(2.0), 0)]));
    let load = short_load();
    receive(&PeerMessage::StreamPlaced { target: name("b"), key: key(1), load });
    assert!(!set.is_rate_limited(), "the rate is of another target");
    let mut receive = |message: &PeerMessage| drop(set.on_message(message, from, 100, at(0)));
    receive(&PeerMessage::StreamPlaced { target: name("a"), key: key(2), load });
    assert!(set.is_rate_limited());
}

/// No entry abandons an attempt for a target that may have no permit.
#[test]
fn a_rate_limited_target_is_no_reason_to_end_an_attempt() {
    let mut core = core_of(1, &["a", "b"]);
    let service = name("engines");
    for _ in 0..10 {
        core.record_request(&service, at(0));
    }
    assert!(core.could_retry(&service, None, &[name("b")], at(0)));
    core.apply_rate(&instance("a"), RateNotice::Limit(rate(2.0)), Some(at(0)), at(10));
    assert!(!core.could_retry(&service, None, &[name("b")], at(20)));
}

#[test]
fn a_reply_that_a_target_is_not_limited_ends_the_rate_known_at_the_request() {
    for (stated_again, is_over) in [(None, true), (Some(at(150)), false)] {
        let mut core = core_of(1, &["a"]);
        core.apply_rate(&instance("a"), RateNotice::Limit(rate(2.0)), Some(at(0)), at(10));
        let need = need(5_000);
        let placement =
            core.place("engines", Some(&need), TargetScope::Untried(&[]), at(100)).unwrap();
        let query = core.permit_query(&placement, ms(0), at(100)).unwrap();
        if let Some(stated_at) = stated_again {
            core.apply_rate(&instance("a"), RateNotice::Limit(rate(1.0)), Some(at(0)), stated_at);
        }
        let verdict = core.apply_permit(&query, Some(PermitReply::Open), at(160));
        assert!(matches!(verdict, PermitVerdict::SendWithin { .. }));
        assert_eq!(core.targets.get("a").unwrap().rate.is_none(), is_over);
    }
}

/// An answer may have been in transit while the rate ended: its rate is accepted, and ended by
/// the next answer.
#[test]
fn a_rate_in_an_old_answer_applies_until_the_next_one() {
    let mut table = table_at(2.0, at(100));
    assert!(table.record_no_limit(&instance("a"), at(200)));
    assert!(table.record_limit(&instance("a"), rate(2.0), at(300)));
    assert!(table.record_no_limit(&instance("a"), at(301)));
    assert_eq!(table.rate_of(&instance("a")), None);
}

/// A target without a limit that was tried already does not hide the wait for a permit.
#[test]
fn a_retry_waits_for_a_permit_if_only_a_rate_limited_target_is_left() {
    let mut core = core_of(1, &["a", "b"]);
    core.apply_rate(&instance("a"), RateNotice::Limit(rate(2.0)), Some(at(0)), at(10));
    let (need, tried) = (need(5_000), [name("b")]);
    let scope = TargetScope::Untried(&tried);
    let placement = core.place("engines", Some(&need), scope, at(20)).unwrap();
    let query = core.permit_query(&placement, ms(0), at(20)).unwrap();
    core.apply_permit(&query, Some(PermitReply::Refused { wait_ms: 200 }), at(20));
    assert!(core.place("engines", Some(&need), scope, at(30)).is_none());
    assert_eq!(core.time_to_permit("engines", at(30)), Some(ms(190)));
    assert!(core.place_with_permit("engines", Some(&need), scope, at(30)).is_some());
}

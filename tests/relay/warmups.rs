//! Cold targets: how entries learn that a target is cold, and that the sum of what they send
//! keeps the bound for any number of entries.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use shalelane::relay::core::permits::PermitVerdict;
use shalelane::relay::core::{RelayCore, RelayLimits};
use shalelane::relay::decide::permit_issuer::{
    PermitIssuer, PermitReply, PermitRequest, WarmupUpdate,
};
use shalelane::relay::decide::placement::TargetScope;
use shalelane::relay::decide::rate_limit::{RateLimit, RateNotice};
use shalelane::relay::decide::rate_table::RateUpdate;
use shalelane::relay::decide::target_notice::TargetNotice;
use shalelane::relay::decide::targets::TargetRecord;
use shalelane::relay::decide::warmup::{WarmupBound, WarmupRule};
use shalelane::relay::discovery::freshness::StalePolicy;
use shalelane::relay::discovery::rules::{RelayConfig, ServiceRule};
use shalelane::relay::discovery::source::EvacuationList;
use shalelane::relay::peers::peer_message::PeerMessage;
use shalelane::time::Tick;

use crate::fixture::{at, limits, ms, name, need, rates, record};

const RULE: WarmupRule = WarmupRule { duration: Duration::from_secs(3), per_second: 32.0 };
const BOUND: WarmupBound = WarmupBound { overrun: 1.5, slack: 5.0 };

/// Maximum number of requests in any second by the bound.
const ALLOWED: usize = 53;

/// An entry of a service whose targets need a warm-up, before it knows any target.
fn new_core(entry: u64) -> RelayCore {
    let limits = RelayLimits { warmup_bound: BOUND, ..limits(StalePolicy::FailClosed) };
    let mut core = RelayCore::new(limits, entry);
    let service = ServiceRule { name: name("engines"), engine: Some(rates()), warmup: Some(RULE) };
    let config = RelayConfig { version: 1, services: vec![service], ..RelayConfig::default() };
    core.apply_config(Some(config), at(0));
    core
}

/// An entry that has known the target `a` as warm for long.
fn core_of_one(entry: u64) -> RelayCore {
    let mut core = new_core(entry);
    core.apply_list(vec![record("a", 1)], false, at(0));
    core
}

fn listed(warmup_ms: Option<u32>, started_ms: u64) -> TargetRecord {
    TargetRecord { warmup_ms, started_ms, ..record("a", 1) }
}

fn is_cold(core: &RelayCore, now: Tick) -> bool {
    core.targets.get("a").unwrap().warmup(now).is_some()
}

#[test]
fn the_latest_statement_of_an_instance_says_whether_it_is_cold() {
    let mut core = core_of_one(1);
    assert!(!is_cold(&core, at(100)), "it was listed before");
    core.apply_change(listed(Some(2_000), 1), at(100));
    assert!(is_cold(&core, at(2_050)));
    assert!(!is_cold(&core, at(2_100)));
    core.apply_change(listed(Some(2_000), 1), at(3_000));
    assert!(!is_cold(&core, at(3_001)), "the same list entry again");
    core.apply_change(listed(Some(1_500), 1), at(4_000));
    assert!(is_cold(&core, at(5_000)), "it turned cold again");
    core.apply_change(listed(Some(0), 1), at(5_000));
    assert!(!is_cold(&core, at(5_001)));
}

#[test]
fn answers_state_whether_a_target_is_cold() {
    let mut core = core_of_one(1);
    let instance = record("a", 1).to_instance();
    let cold = TargetNotice { warmup: Some(ms(700)), ..TargetNotice::default() };
    core.apply_notice(&instance, &cold, at(100));
    assert!(is_cold(&core, at(750)));
    let placement = core.place("engines", Some(&need(5_000)), TargetScope::Untried(&[]), at(200));
    let placement = placement.unwrap();
    assert!(core.permit_query(&placement, ms(0), at(200)).is_some(), "it is sent without a permit");
    let warm = TargetNotice { warmup: Some(ms(0)), ..TargetNotice::default() };
    core.apply_notice(&instance, &warm, at(300));
    assert!(core.permit_query(&placement, ms(0), at(300)).is_none());
}

/// A target that was not listed for a while counts as cold until it states otherwise.
#[test]
fn a_target_that_reappears_counts_as_cold() {
    let mut core = core_of_one(1);
    core.apply_change(listed(None, 5), at(1_000));
    assert!(is_cold(&core, at(3_900)), "it restarted under its name");
    assert!(!is_cold(&core, at(4_000)));
    core.targets.apply_removal("a", Some(at(5_000)), at(5_000));
    core.apply_change(listed(None, 5), at(5_500));
    assert!(is_cold(&core, at(8_400)), "it was missing from the list");
    assert!(!is_cold(&core, at(8_500)));
}

#[test]
fn a_target_that_returns_to_service_counts_as_cold() {
    let mut core = core_of_one(1);
    let evacuation = |domains: &[&str]| EvacuationList {
        domains: domains.iter().map(|domain| name(domain)).collect(),
        epoch: 0,
    };
    core.apply_evacuations(evacuation(&["here"]), at(100), at(110));
    core.apply_evacuations(evacuation(&[]), at(5_000), at(5_100));
    assert!(is_cold(&core, at(8_000)));
    assert!(!is_cold(&core, at(8_100)));
}

/// A request is placed at a warm target, which turns cold before the request is sent.
#[test]
fn a_request_without_a_permit_is_not_sent_to_a_target_that_turned_cold() {
    let mut core = core_of_one(1);
    let need = need(5_000);
    let placement = core.place("engines", Some(&need), TargetScope::Untried(&[]), at(10)).unwrap();
    let attempt = core.begin_attempt(&placement, Some(&need), at(10));
    core.apply_change(listed(Some(2_000), 0), at(11));
    assert!(!core.may_send(&attempt, at(12)));
}

#[test]
fn the_lower_of_a_stated_rate_and_the_warm_up_rate_applies() {
    let mut core = core_of_one(1);
    core.apply_change(listed(Some(2_000), 0), at(10));
    let stated = RateLimit::from_per_second(2.0);
    core.apply_rate(
        &record("a", 1).to_instance(),
        RateNotice::Limit(stated.unwrap()),
        None,
        at(20),
    );
    assert_eq!(core.targets.get("a").unwrap().rate, stated);
}

/// An agent that learned from one entry that a target is cold applies the limit to all entries.
#[test]
fn an_agent_limits_entries_that_do_not_know_that_the_target_is_cold() {
    let mut issuer = PermitIssuer::default();
    let instance = record("a", 1).to_instance();
    let update = RateUpdate { instance, rate: RateLimit::from_per_second(1_000.0), age_ms: 0 };
    let warmup = WarmupUpdate { rate: RateLimit::from_per_second(2.0).unwrap(), left_ms: 3_000 };
    let request =
        |warmup| PermitRequest { rate: update.clone(), warmup, max_wait_ms: 0, is_second: false };
    issuer.on_request(&request(Some(warmup)), at(0));
    let mut granted = 0;
    for millis in 0..2_900 {
        let reply = issuer.on_request(&request(None), at(millis));
        granted += usize::from(matches!(reply, PermitReply::Granted { .. }));
    }
    assert!(granted <= 7, "{granted} permits in 2.9 s at 2/s");
    assert!(matches!(issuer.on_request(&request(None), at(4_000)), PermitReply::Granted { .. }));
}

#[test]
fn a_permit_request_for_a_cold_target_fits_into_a_datagram() {
    let mut core = core_of_one(1);
    core.apply_change(listed(Some(2_000), 0), at(10));
    let placement =
        core.place("engines", Some(&need(5_000)), TargetScope::Untried(&[]), at(20)).unwrap();
    let request = core.permit_query(&placement, ms(0), at(20)).unwrap().request;
    assert_eq!(request.warmup.unwrap().left_ms, 1_990);
    let message = PeerMessage::RequestPermit { nonce: 7, request };
    let bytes = message.to_bytes().unwrap();
    assert!(bytes.len() <= 400, "{} bytes", bytes.len());
    assert_eq!(PeerMessage::from_bytes(&bytes).unwrap(), message);
}

fn max_in_a_second(sends: &[Tick]) -> usize {
    let mut sends = sends.to_vec();
    sends.sort_unstable();
    let count =
        |from: &Tick| sends.iter().filter(|at| *at >= from && **at < *from + ms(1_000)).count();
    sends.iter().map(count).max().unwrap_or(0)
}

/// A whole failure domain returns cold under load: each entry tries all the time, a third of them
/// cannot reach the first agent, both agents restart, and each send uses its permit at a random
/// time within its validity.
#[test]
fn any_number_of_entries_keeps_the_bound_of_a_cold_target() {
    const SEED: u64 = 20_261_203;
    println!("seed {SEED}");
    for entries in [5, 30, 103, 402] {
        let mut random = StdRng::seed_from_u64(SEED);
        let mut cores: Vec<_> = (0..entries).map(core_of_one).collect();
        let (mut first, mut second) = (PermitIssuer::default(), PermitIssuer::default());
        let mut sends = Vec::new();
        for core in &mut cores {
            core.apply_change(listed(Some(3_000), 1), at(10));
        }
        for millis in 20..3_000 {
            let now = at(millis);
            if millis == 1_200 {
                first = PermitIssuer::default();
            }
            if millis == 1_500 {
                second = PermitIssuer::default();
            }
            let entry = random.random_range(0..cores.len());
            let is_disconnected = entry % 3 == 0;
            let core = &mut cores[entry];
            let scope = TargetScope::Untried(&[]);
            let Some(placement) = core.place("engines", Some(&need(5_000)), scope, now) else {
                continue;
            };
            let query = core.permit_query(&placement, ms(0), now).expect("it is cold");
            let issuer = match (query.request.is_second, is_disconnected) {
                (false, true) => None,
                (false, false) => Some(&mut first),
                (true, _) => Some(&mut second),
            };
            let reply = issuer.map(|issuer| issuer.on_request(&query.request, now));
            if let PermitVerdict::SendWithin { from, until } = core.apply_permit(&query, reply, now)
            {
                let validity = until.since(from).as_millis() as u64;
                sends.push(from + ms(random.random_range(0..=validity)));
            }
        }
        let max = max_in_a_second(&sends);
        assert!(max <= ALLOWED, "{entries} entries: {max} in a second");
        let min = if entries > 100 { 30 } else { 5 };
        assert!(sends.len() >= min, "{entries} entries sent only {}", sends.len());
    }
}

/// Both agents together keep the bound for different declared rates and bounds.
#[test]
fn both_agents_together_keep_any_bound() {
    for (per_second, overrun, slack) in [(32.0, 1.5, 5.0), (2.0, 1.2, 5.0), (400.0, 1.0, 0.0)] {
        let rule = WarmupRule { per_second, ..RULE };
        let rate = WarmupBound { overrun, slack }.to_rate(rule, ms(300));
        let mut issuers = [PermitIssuer::default(), PermitIssuer::default()];
        let instance = record("a", 1).to_instance();
        let mut sends = Vec::new();
        let mut random = StdRng::seed_from_u64(7);
        for millis in 0..8_000 {
            for (issuer, is_second) in issuers.iter_mut().zip([false, true]) {
                let update =
                    RateUpdate { instance: instance.clone(), rate: None, age_ms: u32::MAX };
                let warmup = Some(WarmupUpdate { rate, left_ms: 3_000 });
                let request = PermitRequest { rate: update, warmup, max_wait_ms: 0, is_second };
                // An idle time comes first, so that each agent carries over an unused permit.
                let is_idle = millis < 4_000 && millis > 10;
                if !is_idle
                    && matches!(
                        issuer.on_request(&request, at(millis)),
                        PermitReply::Granted { .. }
                    )
                {
                    sends.push(at(millis) + ms(random.random_range(0..=300)));
                }
            }
        }
        let allowed = per_second * overrun + slack;
        let max = max_in_a_second(&sends);
        assert!(max as f64 <= allowed, "{per_second}/s: {max} in a second, {allowed} allowed");
    }
}

//! Evacuated failure domains: what an evacuation prevents, and how it is proven.

use shalelane::relay::core::{RelayCore, RelayLimits};
use shalelane::relay::decide::evacuation::EvacuationSet;
use shalelane::relay::decide::placement::{Placement, TargetScope};
use shalelane::relay::decide::targets::TargetRecord;
use shalelane::relay::discovery::freshness::StalePolicy;
use shalelane::relay::discovery::proof_sync::{PeerProof, PeerVerdict};
use shalelane::relay::discovery::rules::{RelayConfig, ServiceRule};
use shalelane::relay::discovery::source::EvacuationList;
use shalelane::relay::peers::peer_message::{MAX_DATAGRAM_BYTES, PeerMessage};
use shalelane::time::Tick;

use crate::fixture::{at, limits, ms, name, need, rates, record, revision};

const ANY: TargetScope<'static> = TargetScope::Untried(&[]);

fn evacuation(domains: &[&str]) -> EvacuationList {
    EvacuationList { domains: domains.iter().map(|domain| name(domain)).collect(), epoch: 0 }
}

fn in_domain(target: &str, number: u8, domain: &str) -> TargetRecord {
    TargetRecord { failure_domain: name(domain), ..record(target, number) }
}

/// An entry that knows one engine in its own failure domain and two in another one.
fn core(entry: u64) -> RelayCore {
    let limits = RelayLimits { evacuate_bound: Some(ms(4_000)), ..limits(StalePolicy::FailClosed) };
    let mut core = RelayCore::new(limits, entry);
    let service = ServiceRule { name: name("engines"), engine: Some(rates()), warmup: None };
    let config = RelayConfig { version: 1, services: vec![service], ..RelayConfig::default() };
    core.apply_config(Some(config), at(0));
    core.set_config_revision(revision(1));
    let others =
        ["b", "c"].into_iter().zip(2..).map(|(name, number)| in_domain(name, number, "there"));
    let records = std::iter::once(record("a", 1)).chain(others).collect();
    core.apply_list(records, false, at(0));
    core
}

fn place(core: &mut RelayCore, prompt: u64, now: Tick) -> Option<Placement> {
    core.place("engines", Some(&need(prompt)), ANY, now)
}

#[test]
fn nothing_is_sent_to_an_evacuated_domain() {
    let mut core = core(1);
    assert!(core.apply_evacuations(evacuation(&["there"]), at(10), at(20)));
    for prompt in [5_000, 40_000, 300_000] {
        let placement = place(&mut core, prompt, at(30)).expect("one engine is left");
        assert_eq!(&*placement.target, "a", "{prompt} tokens");
        assert!(
            placement.helpers.is_empty(),
            "{prompt} tokens have helpers in the evacuated domain"
        );
    }
    let tried = [name("a")];
    let retry = core.place("engines", Some(&need(5_000)), TargetScope::Untried(&tried), at(40));
    assert!(retry.is_none(), "a retry went to the evacuated domain");
}

/// A request that was placed before the entry learned of the evacuation is not sent after.
#[test]
fn a_request_placed_before_the_evacuation_is_not_sent() {
    let mut core = core(1);
    let tried = [name("a")];
    let scope = TargetScope::Untried(&tried);
    let placement = core.place("engines", Some(&need(5_000)), scope, at(10)).unwrap();
    let attempt = core.begin_attempt(&placement, Some(&need(5_000)), at(10));
    assert!(core.may_send(&attempt, at(11)));
    core.apply_evacuations(evacuation(&["there"]), at(12), at(13));
    assert!(!core.may_send(&attempt, at(14)));
}

#[test]
fn a_sharded_prefill_with_an_evacuated_helper_is_not_sent() {
    let mut core = core(1);
    let mut placement = place(&mut core, 5_000, at(10)).unwrap();
    placement.target = name("a");
    placement.helpers = vec![name("b")];
    let attempt = core.begin_attempt(&placement, Some(&need(5_000)), at(10));
    core.apply_evacuations(evacuation(&["there"]), at(12), at(13));
    assert!(!core.may_send(&attempt, at(14)));
}

#[test]
fn targets_that_are_listed_later_are_evacuated_as_well() {
    let mut core = core(1);
    core.apply_evacuations(evacuation(&["there"]), at(10), at(20));
    core.apply_change(in_domain("d", 4, "there"), at(30));
    core.apply_change(TargetRecord { started_ms: 9, ..in_domain("b", 2, "there") }, at(30));
    for name in ["b", "c", "d"] {
        assert!(!core.targets.get(name).unwrap().is_usable(at(40)), "{name}");
    }
}

#[test]
fn with_all_domains_evacuated_callers_get_a_retry_time() {
    let mut core = core(1);
    core.apply_evacuations(evacuation(&["here", "there"]), at(10), at(20));
    assert!(place(&mut core, 5_000, at(30)).is_none());
    assert_eq!(core.time_to_target("engines", at(30)), Some(ms(2_000)));
}

#[test]
fn an_evacuation_ends_with_the_first_proof_without_it() {
    let mut core = core(1);
    core.apply_evacuations(evacuation(&["here", "there"]), at(10), at(20));
    assert!(core.apply_evacuations(evacuation(&["there"]), at(100), at(110)));
    assert_eq!(&*place(&mut core, 5_000, at(120)).unwrap().target, "a");
}

#[test]
fn an_older_proof_does_not_end_an_evacuation() {
    let mut core = core(1);
    core.apply_evacuations(evacuation(&["there"]), at(100), at(110));
    assert!(!core.apply_evacuations(evacuation(&[]), at(90), at(120)));
    assert_eq!(core.evacuated_domains().count(), 1);
}

/// No entry serves with older knowledge than the bound allows, even if it cannot reach the store
/// or other entries.
#[test]
fn the_lease_is_no_longer_than_the_bound() {
    let core = core(1);
    assert!(core.lease().permits_keys(at(3_700)));
    assert!(!core.lease().permits_keys(at(4_000)));
}

/// Requests the proof of `other` at `now`, and applies the answer to `core`.
fn exchange_proof(core: &mut RelayCore, other: &RelayCore, now: Tick) -> PeerVerdict {
    let proof_age_ms = other.lease().age(now).map(|age| age.as_millis() as u32);
    let ack = PeerMessage::SubscriptionAck {
        target: name("t"),
        entries: 2,
        pace_percent: 100,
        proof_age_ms,
        proof_from: Some(([10, 0, 1, 2], 7_000).into()),
        watchers: 0,
        watched_revision: None,
        confirmed_revision: None,
        newest_version: None,
    };
    core.apply_message(ack, now);
    let Some((_, PeerMessage::QueryProof { nonce })) = core.request_proof(now) else {
        panic!("no proof request");
    };
    let answer = other.answer_proof_request(nonce, now).expect("a proof");
    assert!(answer.to_bytes().unwrap().len() <= MAX_DATAGRAM_BYTES);
    let PeerMessage::AnswerProof { nonce, revision, config_digest, proof_age_ms, evacuated } =
        answer
    else {
        panic!("no proof");
    };
    core.apply_proof(
        &PeerProof { nonce, revision, config_digest, age: ms(proof_age_ms.into()), evacuated },
        now,
    )
}

#[test]
fn the_proof_of_another_entry_carries_its_evacuations() {
    let (mut reader, mut receiver) = (core(1), core(2));
    reader.apply_evacuations(evacuation(&["there"]), at(2_000), at(2_010));
    reader.apply_config(None, at(2_000));
    let verdict = exchange_proof(&mut receiver, &reader, at(2_500));
    assert!(matches!(verdict, PeerVerdict::ProvenAt(_)));
    assert_eq!(receiver.evacuated_domains().collect::<Vec<_>>(), [&name("there")]);
    assert!(!receiver.targets.get("b").unwrap().is_usable(at(2_510)));
}

/// The proof of a later configuration applies once that configuration arrives, which is sent
/// separately.
#[test]
fn the_proof_of_a_later_configuration_carries_evacuations_too() {
    let (mut reader, mut receiver) = (core(1), core(2));
    reader.apply_evacuations(evacuation(&["there"]), at(2_000), at(2_010));
    reader.apply_config(Some(RelayConfig { version: 2, ..RelayConfig::default() }), at(2_000));
    reader.set_config_revision(revision(5));
    assert_eq!(exchange_proof(&mut receiver, &reader, at(2_500)), PeerVerdict::Behind);
    assert_eq!(
        receiver.evacuated_domains().count(),
        0,
        "it does not prove the configuration known here"
    );
    receiver.apply_copy(&reader.config_copy().unwrap(), at(2_520));
    assert_eq!(receiver.evacuated_domains().count(), 1);
}

/// A store that was restored from a backup may have lost later writes.
#[test]
fn a_restored_store_does_not_end_an_evacuation_at_once() {
    let mut set = EvacuationSet::default();
    set.apply([name("there")], 0, at(1_000), at(1_010));
    assert!(!set.apply([], 1, at(2_000), at(2_010)), "a missing domain may be written again");
    assert!(set.apply([name("here")], 1, at(3_000), at(3_010)), "a listed domain applies");
    assert_eq!(set.domains().len(), 2);
    assert!(set.apply([], 1, at(7_100), at(7_110)));
    assert!(!set.apply([name("there")], 0, at(7_200), at(7_210)), "knowledge of the last epoch");
}

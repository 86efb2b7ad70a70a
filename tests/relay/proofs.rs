//! Proofs that a configuration is current, as entries adopt them from one another.

use std::net::SocketAddr;
use std::time::Duration;

use shalelane::relay::core::RelayCore;
use shalelane::relay::discovery::freshness::StalePolicy;
use shalelane::relay::discovery::proof_sync::{PeerProof, PeerVerdict, ProofSync};
use shalelane::relay::discovery::rules::RelayConfig;
use shalelane::relay::peers::config_copy::ConfigCopy;
use shalelane::relay::peers::peer_message::PeerMessage;
use shalelane::time::Tick;

use crate::fixture::{at, check, limits, ms, name, revision};

fn peer() -> SocketAddr {
    ([10, 0, 1, 2], 7000).into()
}

/// An entry that proved revision `at_revision` by a read sent at `proven_at`.
fn entry(number: u64, at_revision: u64, proven_at: Tick) -> RelayCore {
    let mut core = RelayCore::new(limits(StalePolicy::FailClosed), number);
    core.apply_config(
        Some(RelayConfig { version: at_revision, ..RelayConfig::default() }),
        proven_at,
    );
    core.set_config_revision(revision(at_revision));
    core
}

/// Reports to `core` that the peer proved its configuration `age` before `now`.
fn report_peer(core: &mut RelayCore, age: u32, now: Tick) {
    let message = PeerMessage::SubscriptionAck {
        target: name("t"),
        entries: 2,
        pace_percent: 100,
        proof_age_ms: Some(age),
        proof_from: Some(peer()),
        watchers: 0,
        watched_revision: None,
        confirmed_revision: None,
        newest_version: None,
    };
    core.apply_message(message, now);
}

fn send_query(core: &mut RelayCore, now: Tick) -> u64 {
    let (address, message) = core.request_proof(now).expect("a query");
    assert_eq!(address, peer());
    let PeerMessage::QueryProof { nonce } = message else { panic!("not a query: {message:?}") };
    nonce
}

fn answer(peer: &RelayCore, nonce: u64, now: Tick) -> Option<PeerProof> {
    let PeerMessage::AnswerProof { nonce, revision, config_digest, proof_age_ms, evacuated } =
        peer.answer_proof_request(nonce, now)?
    else {
        panic!("not an answer")
    };
    Some(PeerProof { nonce, revision, config_digest, age: ms(proof_age_ms.into()), evacuated })
}

#[test]
fn a_newer_proof_renews_the_lease_from_the_time_of_the_query() {
    let other = entry(2, 5, at(9_000));
    let mut core = entry(1, 5, at(7_000));
    report_peer(&mut core, 1_000, at(10_000));
    let nonce = send_query(&mut core, at(10_000));
    let proof = answer(&other, nonce, at(10_002)).unwrap();
    assert_eq!(core.apply_proof(&proof, at(10_003)), PeerVerdict::ProvenAt(at(10_000) - proof.age));
    assert_eq!(core.lease().proven_at(), Some(at(8_997)));
}

#[test]
fn an_answer_applies_once_and_only_to_its_query() {
    let other = entry(2, 5, at(9_000));
    let mut core = entry(1, 5, at(7_000));
    report_peer(&mut core, 1_000, at(10_000));
    let nonce = send_query(&mut core, at(10_000));
    let proof = answer(&other, nonce, at(10_002)).unwrap();
    let forged = PeerProof { nonce: nonce ^ 1, age: Duration::ZERO, ..proof.clone() };
    assert_eq!(core.apply_proof(&forged, at(10_003)), PeerVerdict::Useless);
    assert_ne!(core.apply_proof(&proof, at(10_003)), PeerVerdict::Useless);
    assert_eq!(
        core.apply_proof(&proof, at(10_003)),
        PeerVerdict::Useless,
        "an answer that comes twice"
    );
}

#[test]
fn an_entry_with_an_earlier_configuration_reads_the_store() {
    let other = entry(2, 6, at(9_000));
    let mut core = entry(1, 5, at(7_000));
    report_peer(&mut core, 1_000, at(10_000));
    let nonce = send_query(&mut core, at(10_000));
    let proof = answer(&other, nonce, at(10_002)).unwrap();
    assert_eq!(core.apply_proof(&proof, at(10_003)), PeerVerdict::Behind);
    assert_eq!(core.lease().proven_at(), Some(at(7_000)));
}

#[test]
fn a_later_configuration_is_current_if_an_earlier_one_was_proven() {
    let other = entry(2, 4, at(9_000));
    let mut core = entry(1, 5, at(7_000));
    report_peer(&mut core, 1_000, at(10_000));
    let nonce = send_query(&mut core, at(10_000));
    let proof = answer(&other, nonce, at(10_002)).unwrap();
    assert!(matches!(core.apply_proof(&proof, at(10_003)), PeerVerdict::ProvenAt(_)));
}

#[test]
fn a_peer_is_queried_once_and_only_for_a_sufficiently_newer_proof() {
    let mut core = entry(1, 5, at(9_000));
    report_peer(&mut core, 500, at(10_000));
    assert_eq!(core.request_proof(at(10_000)), None, "only half a second newer");
    let mut core = entry(1, 5, at(7_000));
    report_peer(&mut core, 500, at(10_000));
    send_query(&mut core, at(10_000));
    assert_eq!(core.request_proof(at(10_010)), None);
}

#[test]
fn an_entry_without_a_proof_does_not_answer() {
    assert!(entry(2, 5, at(1_000)).answer_proof_request(7, at(6_000)).is_none());
}

/// A process that has just started cannot represent a time before its start.
#[test]
fn a_proof_from_before_the_start_of_the_process_is_rejected() {
    let mut sync = ProofSync::default();
    sync.record_source(peer(), at(900));
    let nonce = 7;
    sync.next_query(nonce, at(0), at(950)).unwrap();
    let proof = PeerProof {
        nonce,
        revision: revision(5),
        config_digest: 0,
        age: ms(1_000),
        evacuated: Vec::new(),
    };
    assert_eq!(sync.apply_answer(&proof, revision(5)), PeerVerdict::Useless);
}

/// Guards against this failure: entries that the store turns away while keys are revoked reject
/// requests that need a key for nine seconds, and their callers reach other entries late.
#[test]
fn an_entry_that_the_store_turns_away_serves_by_another_entrys_copy() {
    let other = entry(2, 6, at(9_000));
    let mut core = entry(1, 5, at(5_000));
    report_peer(&mut core, 1_000, at(9_700));
    let nonce = send_query(&mut core, at(9_700));
    let proof = answer(&other, nonce, at(9_702)).unwrap();
    assert_eq!(core.apply_proof(&proof, at(10_003)), PeerVerdict::Behind);
    let bytes = other.config_copy().unwrap().to_bytes().unwrap();
    assert!(core.apply_copy(&ConfigCopy::from_bytes(&bytes).unwrap(), at(0)));
    assert_eq!((core.rules().version(), core.config_revision()), (6, revision(6)));
    assert_eq!(core.lease().proven_at(), Some(at(9_700) - proof.age));
}

/// A copy may be older than the proof, if the queried entry has restarted in between.
#[test]
fn a_copy_of_an_earlier_configuration_proves_nothing() {
    let (other, late) = (entry(2, 8, at(9_000)), entry(2, 7, at(9_000)));
    let mut core = entry(1, 5, at(5_000));
    report_peer(&mut core, 1_000, at(9_700));
    let nonce = send_query(&mut core, at(9_700));
    core.apply_proof(&answer(&other, nonce, at(9_702)).unwrap(), at(9_703));
    assert!(core.apply_copy(&late.config_copy().unwrap(), at(0)), "a later version applies");
    assert_eq!(core.lease().proven_at(), Some(at(5_000)));
    assert!(
        !core.apply_copy(&entry(3, 6, at(9_000)).config_copy().unwrap(), at(0)),
        "an earlier version does not apply"
    );
    assert_eq!(core.rules().version(), 7);
}

/// Guards against the load of probes in an outage: without the limit, 100 entries call the store
/// 250 times a second in vain.
#[test]
fn a_store_that_does_not_answer_is_probed_by_a_few_entries() {
    let count_probes = |entries: usize| {
        let samples = (0..1_000).map(|jitter| f64::from(jitter) / 1_000.0);
        samples.filter(|jitter| ProofSync::should_probe(entries, *jitter)).count()
    };
    assert_eq!(count_probes(1), 1_000, "a single entry always probes");
    assert_eq!(count_probes(16), 1_000);
    assert_eq!(count_probes(100), 161);
    assert!(count_probes(400) >= 40, "at least a few entries probe");
}

#[test]
fn invalid_bytes_are_rejected_as_a_copy() {
    #[expect(clippy::needless_pass_by_value, reason = "what quickcheck gives")]
    fn property(bytes: Vec<u8>) -> bool {
        ConfigCopy::from_bytes(&bytes).is_err()
    }
    check(property as fn(Vec<u8>) -> bool);
}

/// Whatever delays pauses and networks add between the query and its answer, the adopted proof is
/// never newer than the original.
#[test]
fn a_proof_never_becomes_newer_in_transit() {
    fn property(read_at: u16, asked_after: u16, on_its_way: u16, back: u16) -> bool {
        // One clock for both entries, of which neither reads the other's time.
        let read_at = at(10_000 + u64::from(read_at));
        let asked_at = read_at + ms(u64::from(asked_after) % 4_000);
        let answered_at = asked_at + ms(u64::from(on_its_way) % 6_000);
        let other = entry(2, 5, read_at);
        let mut core = entry(1, 5, at(1_000));
        report_peer(&mut core, 0, asked_at);
        let nonce = send_query(&mut core, asked_at);
        let Some(proof) = answer(&other, nonce, answered_at) else { return true };
        let _ = answered_at + ms(back.into());
        match core.apply_proof(&proof, at(10_003)) {
            PeerVerdict::ProvenAt(proven_at) => proven_at <= read_at,
            _ => false,
        }
    }
    check(property as fn(u16, u16, u16, u16) -> bool);
}

/// A hundred entries that share a proof read the store a few times for each lease, not once per
/// entry.
#[test]
fn a_fleet_reads_the_store_a_few_times() {
    const ENTRIES: u64 = 100;
    const STEP: u64 = 10;
    const DURATION: u64 = 60_000;
    let mut cores: Vec<_> = (0..ENTRIES).map(|number| entry(number, 5, at(0))).collect();
    let age = |core: &RelayCore| ProofSync::refresh_age(core.lease().duration());
    let mut due: Vec<_> = cores.iter().map(|core| at(0) + age(core)).collect();
    let mut reads = 0;
    for now in (0..DURATION).step_by(STEP as usize).map(at) {
        for number in 0..cores.len() {
            if due[number] > now {
                continue;
            }
            // What agents would report: the newest proof of the others, one step ago.
            let newest = cores.iter().max_by_key(|core| core.lease().proven_at()).unwrap();
            let newest_age = newest.lease().age(now).unwrap();
            let proof = newest.answer_proof_request(0, now);
            report_peer(&mut cores[number], newest_age.as_millis() as u32, now);
            if let Some((_, PeerMessage::QueryProof { nonce })) = cores[number].request_proof(now)
                && let Some(PeerMessage::AnswerProof {
                    revision, config_digest, proof_age_ms, ..
                }) = proof
            {
                let age = ms(proof_age_ms.into());
                let proof =
                    PeerProof { nonce, revision, config_digest, age, evacuated: Vec::new() };
                cores[number].apply_proof(&proof, now);
            } else {
                reads += 1;
                cores[number].apply_config(None, now);
            }
            due[number] = cores[number].lease().proven_at().unwrap() + age(&cores[number]);
            assert!(cores[number].lease().is_held(now));
        }
    }
    // Each proof lasts for two seconds at least: a single entry would read some 23 times.
    assert!((20..=80).contains(&reads), "{reads} reads of {ENTRIES} entries");
}

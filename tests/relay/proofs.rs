//! How entries take over one another's proof that a configuration is current.

use std::net::SocketAddr;
use std::time::Duration;

use shalelane::relay::core::RelayCore;
use shalelane::relay::discovery::freshness::StalePolicy;
use shalelane::relay::discovery::proof_share::{PeerProof, PeerVerdict, ProofShare};
use shalelane::relay::discovery::rules::RelayConfig;
use shalelane::relay::peers::config_copy::ConfigCopy;
use shalelane::relay::peers::load_note::LoadNote;
use shalelane::time::Tick;

use crate::fixture::{at, check, limits, ms, name, revision};

fn peer() -> SocketAddr {
    ([10, 0, 1, 2], 7000).into()
}

/// An entry that proved revision `revision` by a read sent at `proven_at`.
fn entry(number: u64, at_revision: u64, proven_at: Tick) -> RelayCore {
    let mut core = RelayCore::new(limits(StalePolicy::FailClosed), number);
    core.take_config(
        Some(RelayConfig { version: at_revision, ..RelayConfig::default() }),
        proven_at,
    );
    core.set_config_revision(revision(at_revision));
    core
}

/// Tells `core` that the peer proved its configuration `age` before `now`.
fn hear_of_peer(core: &mut RelayCore, age: u32, now: Tick) {
    let note = LoadNote::Welcome {
        target: name("t"),
        entries: 2,
        pace_percent: 100,
        proof_age_ms: Some(age),
        proof_from: Some(peer()),
        watchers: 0,
        list_mark: None,
        config_mark: None,
    };
    core.take_note(note, now);
}

fn question(core: &mut RelayCore, now: Tick) -> u64 {
    let (address, note) = core.ask_proof(now).expect("a question");
    assert_eq!(address, peer());
    let LoadNote::AskProof { nonce } = note else { panic!("no question: {note:?}") };
    nonce
}

fn answer(peer: &RelayCore, nonce: u64, now: Tick) -> Option<PeerProof> {
    let LoadNote::TellProof { nonce, revision, config_digest, proof_age_ms, evacuated } =
        peer.tell_proof(nonce, now)?
    else {
        panic!("no answer")
    };
    Some(PeerProof { nonce, revision, config_digest, age: ms(proof_age_ms.into()), evacuated })
}

#[test]
fn a_newer_proof_renews_the_lease_from_the_moment_of_the_question() {
    let other = entry(2, 5, at(9_000));
    let mut core = entry(1, 5, at(7_000));
    hear_of_peer(&mut core, 1_000, at(10_000));
    let nonce = question(&mut core, at(10_000));
    let proof = answer(&other, nonce, at(10_002)).unwrap();
    assert_eq!(core.take_proof(&proof, at(10_003)), PeerVerdict::ProvenAt(at(10_000) - proof.age));
    assert_eq!(core.lease().proven_at(), Some(at(8_997)));
}

#[test]
fn an_answer_is_taken_once_and_only_to_its_question() {
    let other = entry(2, 5, at(9_000));
    let mut core = entry(1, 5, at(7_000));
    hear_of_peer(&mut core, 1_000, at(10_000));
    let nonce = question(&mut core, at(10_000));
    let proof = answer(&other, nonce, at(10_002)).unwrap();
    let forged = PeerProof { nonce: nonce ^ 1, age: Duration::ZERO, ..proof.clone() };
    assert_eq!(core.take_proof(&forged, at(10_003)), PeerVerdict::Useless);
    assert_ne!(core.take_proof(&proof, at(10_003)), PeerVerdict::Useless);
    assert_eq!(
        core.take_proof(&proof, at(10_003)),
        PeerVerdict::Useless,
        "an answer that comes twice"
    );
}

#[test]
fn who_has_an_earlier_configuration_reads_for_itself() {
    let other = entry(2, 6, at(9_000));
    let mut core = entry(1, 5, at(7_000));
    hear_of_peer(&mut core, 1_000, at(10_000));
    let nonce = question(&mut core, at(10_000));
    let proof = answer(&other, nonce, at(10_002)).unwrap();
    assert_eq!(core.take_proof(&proof, at(10_003)), PeerVerdict::Behind);
    assert_eq!(core.lease().proven_at(), Some(at(7_000)));
}

#[test]
fn a_later_configuration_is_current_where_an_earlier_one_was_proven() {
    let other = entry(2, 4, at(9_000));
    let mut core = entry(1, 5, at(7_000));
    hear_of_peer(&mut core, 1_000, at(10_000));
    let nonce = question(&mut core, at(10_000));
    let proof = answer(&other, nonce, at(10_002)).unwrap();
    assert!(matches!(core.take_proof(&proof, at(10_003)), PeerVerdict::ProvenAt(_)));
}

#[test]
fn nobody_is_asked_who_gains_little_or_twice() {
    let mut core = entry(1, 5, at(9_000));
    hear_of_peer(&mut core, 500, at(10_000));
    assert_eq!(core.ask_proof(at(10_000)), None, "half a second newer");
    let mut core = entry(1, 5, at(7_000));
    hear_of_peer(&mut core, 500, at(10_000));
    question(&mut core, at(10_000));
    assert_eq!(core.ask_proof(at(10_010)), None);
}

#[test]
fn who_holds_no_proof_tells_nothing() {
    assert!(entry(2, 5, at(1_000)).tell_proof(7, at(6_000)).is_none());
}

/// A process that has just started can not name a moment before its start.
#[test]
fn a_proof_from_before_the_start_of_a_process_is_not_taken() {
    let mut share = ProofShare::default();
    share.note_source(peer(), at(900));
    let nonce = 7;
    share.ask(nonce, at(0), at(950)).unwrap();
    let proof = PeerProof {
        nonce,
        revision: revision(5),
        config_digest: 0,
        age: ms(1_000),
        evacuated: Vec::new(),
    };
    assert_eq!(share.take_answer(&proof, revision(5)), PeerVerdict::Useless);
}

/// Past failure: entries that the store turned away while keys were taken away refused
/// whoever needs a key for nine seconds, and the callers came late to others.
#[test]
fn an_entry_that_the_store_turns_away_serves_on_by_the_copy_of_another() {
    let other = entry(2, 6, at(9_000));
    let mut core = entry(1, 5, at(5_000));
    hear_of_peer(&mut core, 1_000, at(9_700));
    let nonce = question(&mut core, at(9_700));
    let proof = answer(&other, nonce, at(9_702)).unwrap();
    assert_eq!(core.take_proof(&proof, at(10_003)), PeerVerdict::Behind);
    let bytes = other.config_copy().unwrap().to_bytes().unwrap();
    assert!(core.take_copy(&ConfigCopy::from_bytes(&bytes).unwrap(), at(0)));
    assert_eq!((core.rules().version(), core.config_revision()), (6, revision(6)));
    assert_eq!(core.lease().proven_at(), Some(at(9_700) - proof.age));
}

/// What a copy holds may be older than what was proven, where the entry that was asked
/// has restarted meanwhile.
#[test]
fn a_copy_of_an_earlier_configuration_proves_nothing() {
    let (other, late) = (entry(2, 8, at(9_000)), entry(2, 7, at(9_000)));
    let mut core = entry(1, 5, at(5_000));
    hear_of_peer(&mut core, 1_000, at(9_700));
    let nonce = question(&mut core, at(9_700));
    core.take_proof(&answer(&other, nonce, at(9_702)).unwrap(), at(9_703));
    assert!(core.take_copy(&late.config_copy().unwrap(), at(0)), "it is a step forward");
    assert_eq!(core.lease().proven_at(), Some(at(5_000)));
    assert!(!core.take_copy(&entry(3, 6, at(9_000)).config_copy().unwrap(), at(0)), "a step back");
    assert_eq!(core.rules().version(), 7);
}

/// In an outage a hundred entries asked the store 250 times a second for nothing.
#[test]
fn a_store_that_does_not_answer_is_asked_by_a_few() {
    let probes = |entries: usize| {
        let throws = (0..1_000).map(|throw| f64::from(throw) / 1_000.0);
        throws.filter(|throw| ProofShare::probes(entries, *throw)).count()
    };
    assert_eq!(probes(1), 1_000, "one alone always asks");
    assert_eq!(probes(16), 1_000);
    assert_eq!(probes(100), 161);
    assert!(probes(400) >= 40, "somebody does");
}

#[test]
fn bytes_that_are_no_copy_are_refused() {
    #[expect(clippy::needless_pass_by_value, reason = "what quickcheck gives")]
    fn property(bytes: Vec<u8>) -> bool {
        ConfigCopy::from_bytes(&bytes).is_err()
    }
    check(property as fn(Vec<u8>) -> bool);
}

/// Whatever pauses and networks do between the question and its answer, the proof
/// that is taken over is never newer than the one that was given.
#[test]
fn a_proof_never_grows_newer_on_its_way() {
    fn property(read_at: u16, asked_after: u16, on_its_way: u16, back: u16) -> bool {
        // One clock for both, which neither of them reads of the other.
        let read_at = at(10_000 + u64::from(read_at));
        let asked_at = read_at + ms(u64::from(asked_after) % 4_000);
        let answered_at = asked_at + ms(u64::from(on_its_way) % 6_000);
        let other = entry(2, 5, read_at);
        let mut core = entry(1, 5, at(1_000));
        hear_of_peer(&mut core, 0, asked_at);
        let nonce = question(&mut core, asked_at);
        let Some(proof) = answer(&other, nonce, answered_at) else { return true };
        let _ = answered_at + ms(back.into());
        match core.take_proof(&proof, at(10_003)) {
            PeerVerdict::ProvenAt(proven_at) => proven_at <= read_at,
            _ => false,
        }
    }
    check(property as fn(u16, u16, u16, u16) -> bool);
}

/// A hundred entries that share a proof read the store a few times for each lease,
/// where each read it before.
#[test]
fn a_fleet_reads_the_store_a_few_times() {
    const ENTRIES: u64 = 100;
    const STEP: u64 = 10;
    const SPAN: u64 = 60_000;
    let mut cores: Vec<_> = (0..ENTRIES).map(|number| entry(number, 5, at(0))).collect();
    let age = |core: &RelayCore| ProofShare::refresh_age(core.lease().span());
    let mut due: Vec<_> = cores.iter().map(|core| at(0) + age(core)).collect();
    let mut reads = 0;
    for now in (0..SPAN).step_by(STEP as usize).map(at) {
        for number in 0..cores.len() {
            if due[number] > now {
                continue;
            }
            // What agents would name: the newest proof of the others, a step ago.
            let newest = cores.iter().max_by_key(|core| core.lease().proven_at()).unwrap();
            let newest_age = newest.lease().age(now).unwrap();
            let proof = newest.tell_proof(0, now);
            hear_of_peer(&mut cores[number], newest_age.as_millis() as u32, now);
            if let Some((_, LoadNote::AskProof { nonce })) = cores[number].ask_proof(now)
                && let Some(LoadNote::TellProof { revision, config_digest, proof_age_ms, .. }) =
                    proof
            {
                let age = ms(proof_age_ms.into());
                let proof =
                    PeerProof { nonce, revision, config_digest, age, evacuated: Vec::new() };
                cores[number].take_proof(&proof, now);
            } else {
                reads += 1;
                cores[number].take_config(None, now);
            }
            due[number] = cores[number].lease().proven_at().unwrap() + age(&cores[number]);
            assert!(cores[number].lease().is_held(now));
        }
    }
    // Each lasts for two seconds at least: alone, an entry read some 23 times.
    assert!((20..=80).contains(&reads), "{reads} reads of {ENTRIES} entries");
}

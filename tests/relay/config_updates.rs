//! Updates of the configuration from the few entries that watch it to the others.

use std::collections::BTreeSet;

use shalelane::relay::core::{Refusal, RelayCore};
use shalelane::relay::discovery::config_delta::ConfigDelta;
use shalelane::relay::discovery::config_sync::ConfigSync;
use shalelane::relay::discovery::freshness::StalePolicy;
use shalelane::relay::discovery::proof_sync::{PeerProof, PeerVerdict};
use shalelane::relay::discovery::rules::{AccountRule, RelayConfig, ServiceRule};
use shalelane::relay::discovery::source::ConfigRead;
use shalelane::relay::peers::peer_message::PeerMessage;
use shalelane::time::Tick;

use crate::fixture::{at, check, config_update, limits, ms, name, revision, route};

/// A configuration with one route, and one account with these keys.
fn config(version: u64, keys: &[&str]) -> RelayConfig {
    let keys = keys.iter().map(|key| name(key)).collect();
    RelayConfig {
        version,
        routes: vec![route("/a/")],
        services: vec![ServiceRule { name: name("a"), engine: None, warmup: None }],
        accounts: vec![AccountRule { name: name("acme"), keys, regions: Vec::new(), rank: 0 }],
        ..RelayConfig::default()
    }
}

fn read(number: u64, config: Option<RelayConfig>) -> ConfigRead {
    let revision = revision(number);
    ConfigRead { revision, store_revision: revision, config, unreadable: Vec::new() }
}

/// An entry that read the first configuration at revision 5 and `at(1_000)`.
fn entry(number: u64) -> RelayCore {
    let mut core = RelayCore::new(limits(StalePolicy::FailClosed), number);
    core.apply_read(read(5, Some(config(1, &["k1"]))), at(1_000));
    assert_eq!(
        core.take_config_change(),
        None,
        "the first configuration of a process is no change"
    );
    core
}

/// Applies an update from the entry's own watch, and returns the delta that it announces.
fn watch_update(core: &mut RelayCore, number: u64, config: RelayConfig, now: Tick) -> ConfigDelta {
    core.apply_update(config_update(revision(number), config), now);
    core.take_config_change().expect("a change")
}

fn is_admitted(core: &mut RelayCore, key: &str, now: Tick) -> bool {
    core.admit("h", "/a/x", Some(key), now).is_ok()
}

#[test]
fn an_update_of_one_watcher_is_in_force_at_another_entry() {
    let (mut watcher, mut other) = (entry(1), entry(2));
    let delta = watch_update(&mut watcher, 6, config(2, &["k2"]), at(1_500));
    assert!(other.apply_delta(&delta, at(1_502)).is_new_version());
    assert_eq!(other.config_revision(), revision(6));
    assert!(is_admitted(&mut other, "k2", at(1_510)));
    assert_eq!(other.admit("h", "/a/x", Some("k1"), at(1_510)).unwrap_err(), Refusal::UnknownKey);
    assert!(!other.apply_delta(&delta, at(1_520)).is_new_version(), "a second copy");
}

#[test]
fn an_update_of_one_route_among_500_is_small() {
    let mut watcher = entry(1);
    let mut large = config(1, &["k1"]);
    large.routes = (0..500).map(|number| route(&format!("/r{number}/"))).collect();
    watch_update(&mut watcher, 6, large.clone(), at(1_400));
    let mut changed = RelayConfig { version: 2, ..large };
    changed.routes[7].time_limit = ms(700);
    let message =
        PeerMessage::ConfigChanged(watch_update(&mut watcher, 7, changed, at(1_500)).into());
    let bytes = message.to_bytes().unwrap();
    assert!(bytes.len() < 700, "{} bytes", bytes.len());
    assert_eq!(PeerMessage::from_bytes(&bytes).unwrap(), message);
}

/// Versions never decrease, and missed updates are noticed.
#[test]
fn an_update_from_a_later_revision_is_a_gap() {
    let (mut watcher, mut other) = (entry(1), entry(2));
    let first = watch_update(&mut watcher, 6, config(2, &["k2"]), at(1_500));
    let second = watch_update(&mut watcher, 8, config(3, &["k3"]), at(1_900));
    assert!(!other.apply_delta(&second, at(1_910)).is_new_version());
    assert!(!other.is_config_behind(at(1_950)), "copies may arrive through other agents");
    assert!(other.is_config_behind(at(2_800)));
    assert!(other.apply_delta(&first, at(2_810)).is_new_version());
    assert!(other.apply_delta(&second, at(2_820)).is_new_version());
    assert!(!other.is_config_behind(at(2_830)));
    assert!(!other.apply_delta(&first, at(2_840)).is_new_version(), "late update");
    assert!(is_admitted(&mut other, "k3", at(2_850)));
}

/// Under frequent changes each watching entry announces from its own last revision, so updates
/// overlap.
#[test]
fn updates_of_different_watchers_overlap() {
    let (mut one, mut two, mut other) = (entry(1), entry(2), entry(3));
    let first = watch_update(&mut one, 6, config(2, &["k2"]), at(1_500));
    let both = watch_update(&mut two, 7, config(3, &["k3"]), at(1_600));
    let last = watch_update(&mut one, 9, config(4, &["k4"]), at(1_700));
    assert!(other.apply_delta(&first, at(1_510)).is_new_version());
    assert!(other.apply_delta(&both, at(1_610)).is_new_version());
    assert!(other.apply_delta(&last, at(1_710)).is_new_version());
    assert!(is_admitted(&mut other, "k4", at(1_720)));
}

/// Guards against this failure: an entry that receives a change from another entry before its own
/// watch shows it announces an update from that later revision, or none. 126 of 402 entries missed
/// a change that eight entries watched.
#[test]
fn a_watcher_that_received_an_update_announces_from_its_own_position() {
    let (mut first, mut second, mut other) = (entry(1), entry(2), entry(3));
    let delta = watch_update(&mut first, 6, config(2, &["k2"]), at(1_500));
    assert!(second.apply_delta(&delta, at(1_502)).is_new_version());
    let again = watch_update(&mut second, 6, config(2, &["k2"]), at(1_503));
    assert_eq!((again.since, again.revision), (revision(5), revision(6)));
    assert!(other.apply_delta(&again, at(1_504)).is_new_version());
    assert!(is_admitted(&mut other, "k2", at(1_510)));
}

/// An agent reports the newest revision of the other entries, because updates may be lost.
#[test]
fn a_revision_reported_by_agents_reveals_lost_updates() {
    let mut core = entry(1);
    let acknowledgement = PeerMessage::SubscriptionAck {
        target: name("t"),
        entries: 9,
        pace_percent: 100,
        proof_age_ms: None,
        proof_from: None,
        watchers: 8,
        watched_revision: None,
        confirmed_revision: Some(revision(7)),
        newest_version: None,
    };
    core.apply_message(acknowledgement, at(2_000));
    assert!(core.is_config_behind(at(2_900)));
    core.apply_read(read(6, Some(config(2, &["k2"]))), at(2_900));
    assert!(!core.is_config_behind(at(9_000)), "the store has nothing later");
}

#[test]
fn a_listener_reads_the_store_sooner_than_a_watcher() {
    let mut sync = ConfigSync::default();
    sync.record_announced(revision(7), revision(5), at(1_000));
    assert!(sync.is_behind(false, at(1_150)));
    assert!(!sync.is_behind(true, at(1_700)), "its watch may be delayed between two answers");
    assert!(sync.is_behind(true, at(1_800)));
    sync.record_own(revision(7));
    assert!(!sync.is_behind(false, at(1_900)));
}

/// Passes the answer of `other` to a proof query of `core` back to `core`.
fn exchange_proof(core: &mut RelayCore, other: &RelayCore, now: Tick) -> Option<PeerVerdict> {
    let acknowledgement = PeerMessage::SubscriptionAck {
        target: name("t"),
        entries: 2,
        pace_percent: 100,
        proof_age_ms: other.lease().age(now).map(|age| age.as_millis() as u32),
        proof_from: Some(([10, 0, 1, 2], 7_000).into()),
        watchers: 0,
        watched_revision: None,
        confirmed_revision: None,
        newest_version: None,
    };
    core.apply_message(acknowledgement, now);
    let (_, PeerMessage::QueryProof { nonce }) = core.request_proof(now)? else { return None };
    let answer = other.answer_proof_request(nonce, now)?;
    let PeerMessage::AnswerProof { nonce, revision, config_digest, proof_age_ms, evacuated } =
        answer
    else {
        return None;
    };
    let age = ms(proof_age_ms.into());
    Some(core.apply_proof(&PeerProof { nonce, revision, config_digest, age, evacuated }, now))
}

/// A false update admits no request beyond the end of the lease, whichever process sent it.
#[test]
fn a_false_update_ends_with_the_lease() {
    let (mut correct, mut receiver) = (entry(1), entry(2));
    let mut faulty = entry(3);
    let forged = watch_update(&mut faulty, 900, config(9, &["k1", "stolen"]), at(1_500));
    assert!(receiver.apply_delta(&forged, at(1_510)).is_new_version());
    assert!(is_admitted(&mut receiver, "stolen", at(1_520)), "admitted until it has to be proven");
    assert!(
        receiver.answer_proof_request(7, at(1_530)).is_none(),
        "an unconfirmed configuration proves nothing to others"
    );
    correct.apply_read(read(5, None), at(3_000));
    let verdict = exchange_proof(&mut receiver, &correct, at(3_100));
    assert_eq!(
        verdict,
        Some(PeerVerdict::Useless),
        "an earlier revision does not prove a later one"
    );
    assert!(!is_admitted(&mut receiver, "stolen", at(5_760)), "the lease has expired");
    assert!(receiver.apply_read(read(5, Some(config(1, &["k1"]))), at(5_800)));
    assert!(is_admitted(&mut receiver, "k1", at(5_810)));
    assert!(!is_admitted(&mut receiver, "stolen", at(5_810)));
    assert_eq!(receiver.config_revision(), revision(5));
}

/// The same with the number of an existing revision.
#[test]
fn a_false_update_of_an_existing_revision_ends_with_the_lease() {
    let (mut correct, mut receiver, mut faulty) = (entry(1), entry(2), entry(3));
    watch_update(&mut correct, 6, config(2, &["k2"]), at(1_500));
    correct.apply_read(read(6, None), at(3_000));
    let forged = watch_update(&mut faulty, 6, config(2, &["stolen"]), at(1_500));
    receiver.apply_delta(&forged, at(1_510));
    let verdict = exchange_proof(&mut receiver, &correct, at(3_100));
    assert_eq!(verdict, Some(PeerVerdict::Useless), "the same revision with different content");
    assert!(receiver.apply_read(read(6, Some(config(2, &["k2"]))), at(3_200)));
    assert!(is_admitted(&mut receiver, "k2", at(3_210)));
    assert!(!is_admitted(&mut receiver, "stolen", at(3_210)));
}

#[test]
fn the_own_watch_overrides_an_update_of_the_same_revision() {
    let (mut receiver, mut faulty) = (entry(1), entry(2));
    let forged = watch_update(&mut faulty, 6, config(2, &["stolen"]), at(1_500));
    receiver.apply_delta(&forged, at(1_510));
    receiver.apply_update(config_update(revision(6), config(2, &["k2"])), at(1_520));
    assert!(is_admitted(&mut receiver, "k2", at(1_530)));
    assert!(!is_admitted(&mut receiver, "stolen", at(1_530)));
}

#[test]
fn a_true_update_is_confirmed_by_another_entry() {
    let (mut watcher, mut other) = (entry(1), entry(2));
    let delta = watch_update(&mut watcher, 6, config(2, &["k2"]), at(1_500));
    watcher.apply_read(read(6, None), at(3_000));
    other.apply_delta(&delta, at(1_510));
    assert!(!other.is_config_confirmed());
    let verdict = exchange_proof(&mut other, &watcher, at(3_100));
    assert!(matches!(verdict, Some(PeerVerdict::ProvenAt(_))));
    assert!(other.is_config_confirmed());
    assert!(other.answer_proof_request(7, at(3_200)).is_some());
}

/// A read that was under way when the update arrived does not contradict it.
#[test]
fn an_earlier_read_does_not_refute_a_later_update() {
    let (mut watcher, mut other) = (entry(1), entry(2));
    let delta = watch_update(&mut watcher, 6, config(2, &["k2"]), at(1_500));
    other.apply_delta(&delta, at(1_510));
    assert!(!other.apply_read(read(5, Some(config(1, &["k1"]))), at(1_490)));
    assert!(is_admitted(&mut other, "k2", at(1_520)));
}

/// From each state a delta leads to the whole newest version, or is not applied.
#[test]
fn a_delta_leads_to_the_whole_version_or_is_not_applied() {
    fn random_config(version: u64, picks: &[u8]) -> RelayConfig {
        let paths: BTreeSet<u8> = picks.iter().map(|pick| pick % 7).collect();
        let keys: BTreeSet<u8> = picks.iter().map(|pick| pick / 7 % 5).collect();
        let mut config = config(version, &[]);
        config.routes = paths.iter().map(|path| route(&format!("/{path}/"))).collect();
        for route in &mut config.routes {
            route.time_limit = ms(u64::from(picks.len() as u8));
        }
        let account = |key: &u8| AccountRule {
            name: name(&format!("a{key}")),
            keys: vec![name(&format!("k{key}-{}", picks[0]))],
            regions: Vec::new(),
            rank: 0,
        };
        config.accounts = keys.iter().map(account).collect();
        config
    }
    fn property(first: Vec<u8>, between: Vec<u8>, last: Vec<u8>) -> bool {
        if first.is_empty() || between.is_empty() || last.is_empty() {
            return true;
        }
        let states = [(1, first), (2, between), (3, last)];
        let [first, between, last] = states.map(|(version, picks)| random_config(version, &picks));
        let delta = ConfigDelta::between(&first, revision(1), &last, revision(9));
        let leads_to_last = |delta: &ConfigDelta, state: &RelayConfig| {
            delta.apply(state).is_some_and(|result| result.digest == last.digest())
        };
        let is_mixture = |state: &RelayConfig| {
            delta.apply(state).is_some_and(|result| result.config.digest() != last.digest())
        };
        let second_half = ConfigDelta::between(&between, revision(5), &last, revision(9));
        leads_to_last(&delta, &first)
            && leads_to_last(&delta, &last)
            && leads_to_last(&second_half, &between)
            && !is_mixture(&between)
    }
    check(property as fn(Vec<u8>, Vec<u8>, Vec<u8>) -> bool);
}

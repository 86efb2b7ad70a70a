//! Routes, keys, and the proof that they are current.

use shalelane::relay::core::{Refusal, RelayCore};
use shalelane::relay::discovery::freshness::{FreshnessLease, StalePolicy};
use shalelane::relay::discovery::rules::{AccountRule, RelayConfig, RouteRule, WeightedService};
use shalelane::relay::peers::peer_message::PeerMessage;

use crate::fixture::{at, check, config_update, limits, ms, name, revision, route};

/// A route that is split between two services.
fn split_route(path: &str, is_public: bool) -> RouteRule {
    let services = [("a", 90), ("b", 10)];
    let services =
        services.map(|(service, weight)| WeightedService { service: name(service), weight });
    RouteRule { services: services.to_vec(), is_public, ..route(path) }
}

fn config(version: u64, keys: &[&str]) -> RelayConfig {
    let keys = keys.iter().map(|key| name(key)).collect();
    RelayConfig {
        version,
        routes: vec![split_route("/a/", false), split_route("/a/b/", true)],
        accounts: vec![AccountRule { name: name("acme"), keys, regions: Vec::new(), rank: 0 }],
        ..RelayConfig::default()
    }
}

fn core() -> RelayCore {
    RelayCore::new(limits(StalePolicy::FailClosed), 1)
}

fn fail_open_core() -> RelayCore {
    RelayCore::new(limits(StalePolicy::FailOpen), 1)
}

/// An agent's report of the newest proof of another entry.
fn acknowledgement(proof_age_ms: u32) -> PeerMessage {
    let proof_age_ms = Some(proof_age_ms);
    PeerMessage::SubscriptionAck {
        target: name("t"),
        entries: 2,
        pace_percent: 100,
        proof_from: None,
        proof_age_ms,
        watchers: 0,
        watched_revision: None,
        confirmed_revision: None,
        newest_version: None,
    }
}

#[test]
fn the_longest_prefix_wins_and_prefixes_end_with_a_slash() {
    let mut core = core();
    core.apply_config(Some(config(1, &["k"])), at(0));
    assert_eq!(core.admit("h", "/a/bc", Some("k"), at(1)).unwrap().route.path_prefix, name("/a/"));
    assert_eq!(core.admit("h", "/a/b/c", None, at(1)).unwrap().route.path_prefix, name("/a/b/"));
    assert_eq!(core.admit("h", "/ab/", Some("k"), at(1)).unwrap_err(), Refusal::NoRoute);
    assert_eq!(core.admit("g", "/a/", Some("k"), at(1)).unwrap_err(), Refusal::NoRoute);
    assert_eq!(core.admit("h", "/a/x", Some("q"), at(1)).unwrap_err(), Refusal::UnknownKey);
}

#[test]
fn a_proof_counts_from_the_sending_of_its_read() {
    let mut core = core();
    core.apply_config(Some(config(1, &["k"])), at(1_000));
    assert!(core.admit("h", "/a/x", Some("k"), at(5_700)).is_ok());
    assert_eq!(core.admit("h", "/a/x", Some("k"), at(6_000)).unwrap_err(), Refusal::ConfigUnproven);
    core.apply_config(None, at(4_000));
    assert!(core.admit("h", "/a/x", Some("k"), at(6_000)).is_ok());
}

#[test]
fn an_older_proof_does_not_shorten_the_lease() {
    let mut lease = FreshnessLease::new(ms(5_000), StalePolicy::FailClosed);
    lease.renew(at(2_000));
    lease.renew(at(1_000));
    assert!(lease.is_held(at(6_700)));
    assert!(!lease.is_held(at(6_800)));
}

#[test]
fn a_lower_version_is_rejected() {
    let mut core = core();
    assert!(core.apply_config(Some(config(3, &["k"])), at(0)));
    assert!(!core.apply_config(Some(config(2, &["q"])), at(1)));
    assert!(core.admit("h", "/a/x", Some("q"), at(2)).is_err());
}

#[test]
fn requests_are_split_by_weight() {
    let route = split_route("/a/", false);
    let picked = (0..1_000).map(|number| RelayCore::pick_service(&route, number).unwrap());
    assert_eq!(picked.filter(|service| **service == *"b").count(), 100);
}

#[test]
fn failing_open_keeps_serving_by_the_last_proven_configuration() {
    let mut core = fail_open_core();
    core.apply_config(Some(config(1, &["k"])), at(0));
    assert!(core.admit("h", "/a/x", Some("k"), at(60_000)).is_ok());
    // The caller's key may have been added since, so this is no final answer.
    assert_eq!(core.admit("h", "/a/x", Some("q"), at(4_000)).unwrap_err(), Refusal::UnknownKey);
    assert_eq!(
        core.admit("h", "/a/x", Some("q"), at(60_000)).unwrap_err(),
        Refusal::ConfigUnproven
    );
    assert_eq!(
        core.admit("g", "/a/x", Some("k"), at(60_000)).unwrap_err(),
        Refusal::ConfigUnproven
    );
}

#[test]
fn failing_open_admits_no_request_before_a_configuration_is_proven() {
    let mut core = fail_open_core();
    assert_eq!(core.admit("h", "/a/x", Some("k"), at(1)).unwrap_err(), Refusal::ConfigUnproven);
    // An update from a watch proves nothing.
    core.apply_update(config_update(revision(1), config(1, &["k"])), at(0));
    assert_eq!(core.admit("h", "/a/x", Some("k"), at(2)).unwrap_err(), Refusal::ConfigUnproven);
}

#[test]
fn a_public_route_needs_no_proof_of_keys() {
    let mut core = core();
    core.apply_config(Some(config(1, &["k"])), at(0));
    assert!(core.admit("h", "/a/b/c", None, at(60_000)).is_ok());
    assert_eq!(
        core.admit("h", "/a/x", Some("k"), at(60_000)).unwrap_err(),
        Refusal::ConfigUnproven
    );
}

#[test]
fn an_entry_that_alone_is_cut_off_is_not_ready() {
    let mut core = fail_open_core();
    core.apply_list(Vec::new(), false, at(0));
    core.apply_config(Some(config(1, &["k"])), at(0));
    core.apply_message(acknowledgement(500), at(4_000));
    assert!(core.is_ready(at(4_000)), "its own proof still holds");
    core.apply_message(acknowledgement(500), at(6_000));
    assert!(!core.is_ready(at(6_000)));
    assert!(
        core.admit("h", "/a/x", Some("k"), at(6_000)).is_ok(),
        "requests that arrive are served"
    );
    core.apply_config(None, at(6_100));
    assert!(core.is_ready(at(6_200)));
}

#[test]
fn entries_that_are_all_cut_off_stay_ready() {
    let mut core = fail_open_core();
    core.apply_list(Vec::new(), false, at(0));
    core.apply_config(Some(config(1, &["k"])), at(0));
    // The other entry sent its last read 2.6 s later.
    core.apply_message(acknowledgement(2_400), at(5_000));
    assert!(core.is_ready(at(5_000)));
    assert!(core.is_ready(at(60_000)));
}

#[test]
fn a_removed_key_is_rejected_after_the_bound_if_the_entry_fails_closed() {
    // Reads with or without an answer, and a removal and a request at any time.
    fn holds(reads: Vec<(u16, bool)>, removed: u16, requested: u16) -> bool {
        let mut core = core();
        let mut now = 0;
        core.apply_config(Some(config(1, &["k"])), at(0));
        for (interval, is_answered) in reads {
            now += u64::from(interval);
            if now > u64::from(requested) {
                break;
            }
            if is_answered {
                let is_removed = now >= u64::from(removed);
                let update = is_removed.then(|| config(2, &["q"]));
                core.apply_config(update, at(now));
            }
        }
        let is_admitted = core.admit("h", "/a/x", Some("k"), at(requested.into())).is_ok();
        !is_admitted || u64::from(requested) < u64::from(removed) + 5_000
    }
    check(holds as fn(Vec<(u16, bool)>, u16, u16) -> bool);
}

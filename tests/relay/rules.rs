//! Routes, keys, and the proof that they are current.

use shalelane::relay::core::{Refusal, RelayCore, RelayLimits};
use shalelane::relay::freshness::FreshnessLease;
use shalelane::relay::retry_budget::RetryBound;
use shalelane::relay::rules::{AccountRule, RelayConfig, RepeatRule, RouteRule, WeightedService};

use crate::fixture::{at, ms, name};

fn route(path: &str, is_public: bool) -> RouteRule {
    RouteRule {
        host: name("h"),
        path_prefix: name(path),
        repeat: RepeatRule::Once,
        is_stream: false,
        time_limit: ms(1_000),
        objective: ms(300),
        longest_pause: ms(300),
        services: vec![
            WeightedService { service: name("a"), weight: 90 },
            WeightedService { service: name("b"), weight: 10 },
        ],
        max_targets: 1,
        is_public,
    }
}

fn config(version: u64, keys: &[&str]) -> RelayConfig {
    let keys = keys.iter().map(|key| name(key)).collect();
    RelayConfig {
        version,
        routes: vec![route("/a/", false), route("/a/b/", true)],
        accounts: vec![AccountRule { name: name("acme"), keys }],
        ..RelayConfig::default()
    }
}

fn core() -> RelayCore {
    let retry_bound = RetryBound { ratio: 0.2, slack: 100.0, window: ms(10_000) };
    let limits = RelayLimits {
        failure_domain: name("here"),
        revoke_bound: ms(5_000),
        drain_bound: ms(2_000),
        retry_bound,
    };
    RelayCore::new(limits, 1)
}

#[test]
fn the_longest_prefix_wins_and_prefixes_end_with_a_slash() {
    let mut core = core();
    core.take_config(Some(config(1, &["k"])), at(0));
    assert_eq!(core.admit("h", "/a/bc", Some("k"), at(1)).unwrap().route.path_prefix, name("/a/"));
    assert_eq!(core.admit("h", "/a/b/c", None, at(1)).unwrap().route.path_prefix, name("/a/b/"));
    assert_eq!(core.admit("h", "/ab/", Some("k"), at(1)).unwrap_err(), Refusal::NoRoute);
    assert_eq!(core.admit("g", "/a/", Some("k"), at(1)).unwrap_err(), Refusal::NoRoute);
    assert_eq!(core.admit("h", "/a/x", Some("q"), at(1)).unwrap_err(), Refusal::BadKey);
}

#[test]
fn a_proof_counts_from_the_sending_of_its_read() {
    let mut core = core();
    core.take_config(Some(config(1, &["k"])), at(1_000));
    assert!(core.admit("h", "/a/x", Some("k"), at(5_700)).is_ok());
    assert_eq!(core.admit("h", "/a/x", Some("k"), at(6_000)).unwrap_err(), Refusal::NotFresh);
    core.take_config(None, at(4_000));
    assert!(core.admit("h", "/a/x", Some("k"), at(6_000)).is_ok());
}

#[test]
fn an_older_proof_does_not_shorten_the_lease() {
    let mut lease = FreshnessLease::new(ms(5_000));
    lease.renew(at(2_000));
    lease.renew(at(1_000));
    assert!(lease.is_held(at(6_700)));
    assert!(!lease.is_held(at(6_800)));
}

#[test]
fn a_lower_version_is_not_taken() {
    let mut core = core();
    assert!(core.take_config(Some(config(3, &["k"])), at(0)));
    assert!(!core.take_config(Some(config(2, &["q"])), at(1)));
    assert!(core.admit("h", "/a/x", Some("q"), at(2)).is_err());
}

#[test]
fn requests_are_split_by_weight() {
    let route = route("/a/", false);
    let picked = (0..1_000).map(|number| RelayCore::pick_service(&route, number).unwrap());
    assert_eq!(picked.filter(|service| **service == *"b").count(), 100);
}

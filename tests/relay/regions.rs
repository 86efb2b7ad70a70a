//! Regions in which the requests of routes and client accounts may run.

use std::rc::Rc;

use shalelane::relay::core::{RelayCore, RelayLimits};
use shalelane::relay::decide::placement::TargetScope;
use shalelane::relay::decide::service_scope::{DomainSet, ServiceScope};
use shalelane::relay::decide::targets::TargetRecord;
use shalelane::relay::discovery::freshness::StalePolicy;
use shalelane::relay::discovery::rules::{
    AccountRule, RelayConfig, RepeatRule, RouteRule, ServiceRule, WeightedService,
};

use crate::fixture::{at, limits, ms, name, need, rates, record, route};

const ANY: TargetScope<'static> = TargetScope::Untried(&[]);

fn regional_route(path: &str, regions: &[&str]) -> RouteRule {
    let services = vec![WeightedService { service: name("engines"), weight: 1 }];
    let regions = regions.iter().map(|region| name(region)).collect();
    RouteRule { repeat: RepeatRule::Resumable, max_targets: 2, services, regions, ..route(path) }
}

fn account(key: &str, regions: &[&str]) -> AccountRule {
    let regions = regions.iter().map(|region| name(region)).collect();
    AccountRule { name: name(key), keys: vec![name(key)], regions, rank: 0 }
}

/// An entry in region north that knows an engine there and three in two domains of region
/// south.
fn core() -> RelayCore {
    let regions = [("here", "north"), ("south-1", "south"), ("south-2", "south")];
    let regions = regions.map(|(domain, region)| (name(domain), name(region)));
    let limits =
        RelayLimits { regions: regions.into_iter().collect(), ..limits(StalePolicy::FailClosed) };
    let mut core = RelayCore::new(limits, 1);
    let service = ServiceRule { name: name("engines"), engine: Some(rates()), warmup: None };
    let config = RelayConfig {
        version: 1,
        services: vec![service],
        routes: vec![
            regional_route("/any/", &[]),
            regional_route("/south/", &["south"]),
            regional_route("/both/", &["north", "south"]),
            regional_route("/moon/", &["moon"]),
        ],
        accounts: vec![account("free", &[]), account("northern", &["north"])],
        ..RelayConfig::default()
    };
    core.apply_config(Some(config), at(0));
    let domains = ["here", "south-1", "south-2", "south-2"];
    let names = ["a", "b", "c", "d"];
    let records = names.into_iter().zip(domains).zip(1..).map(|((target, domain), number)| {
        TargetRecord { failure_domain: name(domain), ..record(target, number) }
    });
    core.apply_list(records.collect(), false, at(0));
    core
}

fn allowed_domains(core: &mut RelayCore, path: &str, key: &str) -> Option<Rc<DomainSet>> {
    let access = core.admit("h", path, Some(key), at(10)).unwrap();
    core.allowed_domains(&access)
}

fn names(domains: Option<Rc<DomainSet>>) -> Option<Vec<String>> {
    domains.map(|domains| domains.iter().map(ToString::to_string).collect())
}

#[test]
fn regions_of_route_and_account_both_apply() {
    let mut core = core();
    let south_domains = ["south-1", "south-2"].map(str::to_owned);
    assert_eq!(names(allowed_domains(&mut core, "/any/x", "free")), None);
    assert_eq!(names(allowed_domains(&mut core, "/south/x", "free")), Some(south_domains.to_vec()));
    assert_eq!(
        names(allowed_domains(&mut core, "/any/x", "northern")),
        Some(vec!["here".to_owned()])
    );
    assert_eq!(
        names(allowed_domains(&mut core, "/both/x", "northern")),
        Some(vec!["here".to_owned()])
    );
    assert_eq!(
        names(allowed_domains(&mut core, "/south/x", "northern")),
        Some(vec![]),
        "no domain is left"
    );
    assert_eq!(
        names(allowed_domains(&mut core, "/moon/x", "free")),
        Some(vec![]),
        "the region has no domain"
    );
}

#[test]
fn first_attempts_retries_and_helpers_stay_in_their_regions() {
    let mut core = core();
    let domains = allowed_domains(&mut core, "/south/x", "free");
    let scope = ServiceScope { service: "engines", domains: domains.as_deref() };
    for prompt in [5_000, 40_000, 300_000] {
        let placement = core.place(scope, Some(&need(prompt)), ANY, at(20)).unwrap();
        let members = std::iter::once(&placement.target).chain(&placement.helpers);
        assert!(
            members.into_iter().all(|member| &**member != "a"),
            "{prompt} tokens left the region"
        );
    }
    let tried = ["b", "c", "d"].map(name);
    let untried = TargetScope::Untried(&tried);
    assert!(core.place(scope, Some(&need(5_000)), untried, at(20)).is_none());
    let service = name("engines");
    for _ in 0..10 {
        core.record_request(&service, at(20));
    }
    assert!(
        !core.could_retry(&service, domains.as_deref(), &tried, at(20)),
        "no other target in the region"
    );
    assert!(core.could_retry(&service, None, &tried, at(20)));
}

/// A region whose targets are all gone, and a region without targets: no other target takes a
/// request.
#[test]
fn callers_are_refused_with_a_retry_delay_if_no_region_can_serve() {
    let mut core = core();
    let moon_domains = allowed_domains(&mut core, "/moon/x", "free");
    let scope = ServiceScope { service: "engines", domains: moon_domains.as_deref() };
    assert!(core.place(scope, Some(&need(5_000)), ANY, at(20)).is_none());
    assert_eq!(core.time_to_target(scope, at(20)), Some(ms(1_000)));
    let north_domains = allowed_domains(&mut core, "/any/x", "northern");
    let scope = ServiceScope { service: "engines", domains: north_domains.as_deref() };
    assert_eq!(core.time_to_target(scope, at(20)), None, "a target accepts requests");
    core.targets.apply_removal("a", None, at(30));
    assert_eq!(core.time_to_target(scope, at(40)), Some(ms(1_000)));
    assert_eq!(
        core.time_to_target("engines", at(40)),
        None,
        "targets in other regions accept requests"
    );
}

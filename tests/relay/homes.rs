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

fn home_route(path: &str, regions: &[&str]) -> RouteRule {
    let services = vec![WeightedService { service: name("engines"), weight: 1 }];
    let regions = regions.iter().map(|region| name(region)).collect();
    RouteRule { repeat: RepeatRule::Resumable, max_targets: 2, services, regions, ..route(path) }
}

fn account(key: &str, regions: &[&str]) -> AccountRule {
    let regions = regions.iter().map(|region| name(region)).collect();
    AccountRule { name: name(key), keys: vec![name(key)], regions }
}

/// An entry of the north that knows an engine there and three in two domains of the south.
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
            home_route("/any/", &[]),
            home_route("/south/", &["south"]),
            home_route("/both/", &["north", "south"]),
            home_route("/moon/", &["moon"]),
        ],
        accounts: vec![account("free", &[]), account("northern", &["north"])],
        ..RelayConfig::default()
    };
    core.take_config(Some(config), at(0));
    let domains = ["here", "south-1", "south-2", "south-2"];
    let names = ["a", "b", "c", "d"];
    let records = names.into_iter().zip(domains).zip(1..).map(|((target, domain), number)| {
        TargetRecord { failure_domain: name(domain), ..record(target, number) }
    });
    core.take_list(records.collect(), false, at(0));
    core
}

fn homes(core: &mut RelayCore, path: &str, key: &str) -> Option<Rc<DomainSet>> {
    let access = core.admit("h", path, Some(key), at(10)).unwrap();
    core.home_domains(&access)
}

fn names(homes: Option<Rc<DomainSet>>) -> Option<Vec<String>> {
    homes.map(|homes| homes.iter().map(ToString::to_string).collect())
}

#[test]
fn route_and_account_both_bind() {
    let mut core = core();
    let south = ["south-1", "south-2"].map(str::to_owned);
    assert_eq!(names(homes(&mut core, "/any/x", "free")), None);
    assert_eq!(names(homes(&mut core, "/south/x", "free")), Some(south.to_vec()));
    assert_eq!(names(homes(&mut core, "/any/x", "northern")), Some(vec!["here".to_owned()]));
    assert_eq!(names(homes(&mut core, "/both/x", "northern")), Some(vec!["here".to_owned()]));
    assert_eq!(names(homes(&mut core, "/south/x", "northern")), Some(vec![]), "none is left");
    assert_eq!(names(homes(&mut core, "/moon/x", "free")), Some(vec![]), "nobody is there");
}

#[test]
fn first_sends_second_attempts_and_helpers_stay_at_home() {
    let mut core = core();
    let homes = homes(&mut core, "/south/x", "free");
    let scope = ServiceScope { service: "engines", domains: homes.as_deref() };
    for prompt in [5_000, 40_000, 300_000] {
        let placement = core.place(scope, Some(&need(prompt)), ANY, at(20)).unwrap();
        let members = std::iter::once(&placement.target).chain(&placement.helpers);
        assert!(members.into_iter().all(|member| &**member != "a"), "{prompt} tokens left home");
    }
    let tried = ["b", "c", "d"].map(name);
    let scope_left = TargetScope::Untried(&tried);
    assert!(core.place(scope, Some(&need(5_000)), scope_left, at(20)).is_none());
    let service = name("engines");
    assert!(!core.could_retry(&service, homes.as_deref(), &tried, at(20)), "nobody else at home");
    assert!(core.could_retry(&service, None, &tried, at(20)));
}

/// A region whose targets are all gone, and one that has none: nobody else takes a request.
#[test]
fn where_no_home_can_serve_callers_are_told_at_once_when_to_come_back() {
    let mut core = core();
    let far = homes(&mut core, "/moon/x", "free");
    let scope = ServiceScope { service: "engines", domains: far.as_deref() };
    assert!(core.place(scope, Some(&need(5_000)), ANY, at(20)).is_none());
    assert_eq!(core.time_to_target(scope, at(20)), Some(ms(1_000)));
    let north = homes(&mut core, "/any/x", "northern");
    let scope = ServiceScope { service: "engines", domains: north.as_deref() };
    assert_eq!(core.time_to_target(scope, at(20)), None, "one takes requests");
    core.targets.take_removal("a", None, at(30));
    assert_eq!(core.time_to_target(scope, at(40)), Some(ms(1_000)));
    assert_eq!(core.time_to_target("engines", at(40)), None, "others take those that may go there");
}

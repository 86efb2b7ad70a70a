//! The engines of a large fleet that an entry uses.

use std::collections::HashMap;
use std::sync::Arc;

use shalelane::relay::decide::engine_subset::{SubsetQuery, mark_used};
use shalelane::relay::decide::targets::{TargetFault, TargetSet};

use crate::fixture::{at, engines, name};

const MAX_ENGINES: usize = 24;

fn use_engines(set: &mut TargetSet, entry: u64, domain: &str) -> Vec<Arc<str>> {
    let query = SubsetQuery { entry, failure_domain: domain, max_engines: MAX_ENGINES };
    mark_used(set, &[name("engines")], query, at(0));
    let names = set.iter().filter(|target| target.is_used);
    let mut names: Vec<_> = names.map(|target| target.record.incarnation.clone()).collect();
    names.sort();
    names
}

/// A fleet whose engines are spread over five failure domains.
fn fleet() -> TargetSet {
    let mut set = engines(150);
    for target in set.iter_mut() {
        let domain = target.record.listed_at.number % 5;
        target.record.failure_domain = format!("d{domain}").into();
    }
    set
}

#[test]
fn all_engines_of_a_small_fleet_are_used() {
    assert_eq!(use_engines(&mut engines(24), 1, "here").len(), 24);
}

#[test]
fn a_bounded_part_of_a_large_fleet_is_used_and_half_of_it_is_near() {
    let mut set = fleet();
    let names = use_engines(&mut set, 7, "d3");
    assert_eq!(names.len(), MAX_ENGINES);
    let near = names.iter().filter(|name| &*set.get(name).unwrap().record.failure_domain == "d3");
    assert_eq!(near.count(), MAX_ENGINES / 2);
}

/// With a hundred entries, each engine is used by some entries, and none by too many.
#[test]
fn entries_spread_over_all_engines() {
    let mut set = fleet();
    let mut uses: HashMap<Arc<str>, usize> = HashMap::new();
    for entry in 0..103 {
        for name in use_engines(&mut set, 1_000 + entry, &format!("d{}", entry % 5)) {
            *uses.entry(name).or_default() += 1;
        }
    }
    assert_eq!(uses.len(), 150);
    assert!(uses.values().all(|count| (4..=40).contains(count)), "{uses:?}");
}

#[test]
fn the_loss_of_an_engine_changes_one_member() {
    let mut set = fleet();
    let before = use_engines(&mut set, 7, "d3");
    set.get_mut(&before[5]).unwrap().record.is_leaving = true;
    let after = use_engines(&mut set, 7, "d3");
    let kept = before.iter().filter(|name| after.contains(name)).count();
    assert_eq!((after.len(), kept), (MAX_ENGINES, MAX_ENGINES - 1));
}

/// An engine that fails is replaced by another one until it is tried again.
#[test]
fn an_ejected_engine_is_replaced_meanwhile() {
    let mut set = fleet();
    let before = use_engines(&mut set, 7, "d3");
    set.get_mut(&before[5]).unwrap().record_failure(TargetFault::Broken, at(0));
    let after = use_engines(&mut set, 7, "d3");
    assert_eq!(after.len(), MAX_ENGINES);
    assert!(!after.contains(&before[5]));
}

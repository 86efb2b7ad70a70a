//! Which engines of a large fleet an entry uses.

use std::collections::HashMap;
use std::sync::Arc;

use shalelane::relay::decide::engine_subset::{SubsetQuery, mark_used};
use shalelane::relay::decide::targets::{TargetFault, TargetSet};

use crate::fixture::{at, engines, name};

const MOST: usize = 24;

fn used(set: &mut TargetSet, entry: u64, domain: &str) -> Vec<Arc<str>> {
    let query = SubsetQuery { entry, failure_domain: domain, most: MOST };
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
fn a_small_fleet_is_used_whole() {
    assert_eq!(used(&mut engines(24), 1, "here").len(), 24);
}

#[test]
fn of_a_large_fleet_a_bounded_part_is_used_half_of_it_near() {
    let mut set = fleet();
    let names = used(&mut set, 7, "d3");
    assert_eq!(names.len(), MOST);
    let near = names.iter().filter(|name| &*set.get(name).unwrap().record.failure_domain == "d3");
    assert_eq!(near.count(), MOST / 2);
}

/// With a hundred entries no engine may be left out or be everybody's.
#[test]
fn entries_spread_over_all_engines() {
    let mut set = fleet();
    let mut uses: HashMap<Arc<str>, usize> = HashMap::new();
    for entry in 0..103 {
        for name in used(&mut set, 1_000 + entry, &format!("d{}", entry % 5)) {
            *uses.entry(name).or_default() += 1;
        }
    }
    assert_eq!(uses.len(), 150);
    assert!(uses.values().all(|count| (4..=40).contains(count)), "{uses:?}");
}

#[test]
fn the_loss_of_one_engine_changes_one_member() {
    let mut set = fleet();
    let before = used(&mut set, 7, "d3");
    set.get_mut(&before[5]).unwrap().record.is_leaving = true;
    let after = used(&mut set, 7, "d3");
    let kept = before.iter().filter(|name| after.contains(name)).count();
    assert_eq!((after.len(), kept), (MOST, MOST - 1));
}

/// An engine that fails gives its place to another one until it is tried again.
#[test]
fn an_engine_that_is_left_alone_is_replaced_meanwhile() {
    let mut set = fleet();
    let before = used(&mut set, 7, "d3");
    set.get_mut(&before[5]).unwrap().note_failure(TargetFault::Broken, at(0));
    let after = used(&mut set, 7, "d3");
    assert_eq!(after.len(), MOST);
    assert!(!after.contains(&before[5]));
}

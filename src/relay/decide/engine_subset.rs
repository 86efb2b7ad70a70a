//! Which engines of a large fleet an entry uses.
//!
//! The load that it answers: bursts over hundreds of engines, during which each
//! entry was told of every placement of every other one and weighed each prompt at
//! all engines. Hosts of a tenth of a core spent most of their time on that, and
//! answers stood still. A bounded subset bounds both, whatever the fleet's size:
//! a prompt is weighed at no more engines than that, and an engine's agent tells
//! no more entries than are its share.
//!
//! The subset goes by rendezvous hash, so that entries use different engines, an
//! engine that comes or goes changes one member, and nobody has to be asked.

use std::cmp::Reverse;
use std::sync::Arc;

use super::targets::{TargetSet, TargetState};
use crate::time::Tick;

/// Part of the subset that is taken from the entry's own failure domain, as its
/// divisor. The rest is from all others, so that a burst in one domain, or the
/// loss of its engines, is borne by the whole fleet.
const NEAR_DIVISOR: usize = 2;

/// What a subset depends on beside the targets.
#[derive(Clone, Copy, Debug)]
pub struct SubsetQuery<'a> {
    /// Incarnation of the entry.
    pub entry: u64,
    /// Its failure domain.
    pub failure_domain: &'a str,
    /// Most engines of a service, zero for all.
    pub most: usize,
}

/// Marks the engines of each service that an entry uses. Those that are left alone
/// after failures give their place to others meanwhile.
pub fn mark_used(set: &mut TargetSet, services: &[Arc<str>], query: SubsetQuery<'_>, now: Tick) {
    for service in services {
        let names = choose(set, service, query, now);
        let engines = set.iter_mut().filter(|target| target.record.service == *service);
        for target in engines {
            target.is_used = names
                .as_ref()
                .is_none_or(|names| names.binary_search(&target.record.incarnation).is_ok());
        }
    }
}

/// Names of the engines of a service that an entry uses, in order; none where it
/// uses all of them.
fn choose(
    set: &TargetSet,
    service: &str,
    query: SubsetQuery<'_>,
    now: Tick,
) -> Option<Vec<Arc<str>>> {
    let mut engines: Vec<_> =
        // One that is closed for a moment keeps its place.
        set.of_service(service)
            .filter(|target| target.is_willing(now) && !target.is_ejected(now))
            .collect();
    if query.most == 0 || engines.len() <= query.most {
        return None;
    }
    let rank = |target: &TargetState| {
        let name = target.record.incarnation.as_bytes();
        xxhash_rust::xxh3::xxh3_64_with_seed(name, query.entry)
    };
    engines.sort_by_cached_key(|target| Reverse(rank(target)));
    let is_near = |target: &TargetState| *target.record.failure_domain == *query.failure_domain;
    let (near, far): (Vec<_>, Vec<_>) = engines.into_iter().partition(|target| is_near(target));
    let first = near.len().min(query.most / NEAR_DIVISOR);
    let rest = near[first..].iter();
    let all = near[..first].iter().chain(&far).chain(rest).take(query.most);
    let mut names: Vec<_> = all.map(|target| target.record.incarnation.clone()).collect();
    names.sort_unstable();
    Some(names)
}

//! Chooses the engines of a large fleet that an entry uses.
//!
//! Without a bound, in bursts over hundreds of engines, each entry receives every placement of
//! every other entry and evaluates each prompt on all engines. Hosts with a tenth of a core
//! spent most of their time on that, and answers stalled. A subset of bounded size limits both,
//! whatever the size of the fleet: a prompt is evaluated on the engines of the subset only, and
//! the agent of an engine reports only to the entries that use the engine.
//!
//! The subset is chosen by rendezvous hashing. Entries use different engines, an engine that is
//! added or removed changes one member, and no coordination is needed.

use std::cmp::Reverse;
use std::sync::Arc;

use super::targets::{TargetSet, TargetState};
use crate::time::Tick;

/// Divisor that gives the part of the subset taken from the entry's own failure domain. The
/// rest comes from all other domains, so that the whole fleet absorbs a burst in one domain or
/// the loss of its engines.
const NEAR_DIVISOR: usize = 2;

/// Inputs of the choice besides the targets.
#[derive(Clone, Copy, Debug)]
pub struct SubsetQuery<'a> {
    /// Incarnation of the entry.
    pub entry: u64,
    /// Failure domain of the entry.
    pub failure_domain: &'a str,
    /// Maximum number of engines of a service; zero for all.
    pub max_engines: usize,
}

/// Marks the engines of each service that an entry uses. Ejected engines are replaced by others
/// while they are ejected.
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

/// Sorted names of the engines of a service that an entry uses; `None` if it uses all.
fn choose(
    set: &TargetSet,
    service: &str,
    query: SubsetQuery<'_>,
    now: Tick,
) -> Option<Vec<Arc<str>>> {
    let mut engines: Vec<_> =
        // An engine that is only waiting for a permit stays in the subset.
        set.of_service(service)
            .filter(|target| target.is_accepting(now) && !target.is_ejected(now))
            .collect();
    if query.max_engines == 0 || engines.len() <= query.max_engines {
        return None;
    }
    let rank = |target: &TargetState| {
        let name = target.record.incarnation.as_bytes();
        xxhash_rust::xxh3::xxh3_64_with_seed(name, query.entry)
    };
    engines.sort_by_cached_key(|target| Reverse(rank(target)));
    let is_near = |target: &TargetState| *target.record.failure_domain == *query.failure_domain;
    let (near, far): (Vec<_>, Vec<_>) = engines.into_iter().partition(|target| is_near(target));
    let near_count = near.len().min(query.max_engines / NEAR_DIVISOR);
    let rest = near[near_count..].iter();
    let all = near[..near_count].iter().chain(&far).chain(rest).take(query.max_engines);
    let mut names: Vec<_> = all.map(|target| target.record.incarnation.clone()).collect();
    names.sort_unstable();
    Some(names)
}

//! Routing table: the known targets by service, and the choice of those to probe.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use rand::Rng;
use rand::seq::IndexedRandom;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::event::TargetPick;
use crate::hosts::{HostDelta, HostRecord, HostRole, HostState};
use crate::time::Tick;

/// Panic threshold: if at least this fraction of a service's targets is suspect, suspicion is
/// ignored, since this entry is then more likely to be cut off itself.
const PANIC_THRESHOLD: f64 = 0.5;

/// Maximum number of targets chosen by the hash of the prompt's prefix.
const PREFIX_TARGETS: usize = 2;

/// Size of an entry's subset: the targets of a service that it prefers.
const SUBSET_SIZE: usize = 8;

/// Maximum number of targets of the subset that are in the entry's own failure domain.
const SUBSET_LOCAL: usize = 6;

/// State of a target as an entry knows it.
#[derive(Clone, Debug)]
pub struct RouteTarget {
    /// Name of the host.
    pub name: Arc<str>,
    /// Failure domain of the host.
    pub failure_domain: Arc<str>,
    /// Whether the platform lists the host as leaving.
    pub leaving: bool,
    /// Time until which the target is not probed, because it reported that it takes no new work.
    pub closed_until: Tick,
    /// Time until which the target is avoided, because it did not answer.
    pub suspect_until: Tick,
}

/// Another entry, as the platform lists it.
#[derive(Clone, Debug)]
struct RouteEntry {
    address: Arc<str>,
    state: HostState,
}

/// Targets by service, and the other entries.
#[derive(Debug, Default)]
pub struct RouteTable {
    services: HashMap<Arc<str>, Vec<RouteTarget>>,
    services_by_target: HashMap<Arc<str>, Arc<str>>,
    entries: HashMap<Arc<str>, RouteEntry>,
}

/// Parameters of a choice of targets.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// Service of the request.
    pub service: &'a str,
    /// Hash of the prompt's first prefix; `None` if the choice does not depend on it.
    pub prefix: Option<u64>,
    /// Failure domain of the entry.
    pub failure_domain: &'a str,
    /// Name of the entry.
    pub entry: &'a str,
    /// Targets that the request has already tried.
    pub tried: &'a [Arc<str>],
    /// Number of targets to choose.
    pub count: usize,
}

impl RouteTable {
    /// Applies changes of the platform's list of hosts.
    pub fn on_hosts(&mut self, delta: &HostDelta) {
        for host in &delta.hosts {
            match &host.role {
                HostRole::Entry => {
                    let entry = RouteEntry { address: host.address.clone(), state: host.state };
                    self.entries.insert(host.name.clone(), entry);
                }
                HostRole::Target { service } => self.on_target(service, host),
            }
        }
        self.entries.retain(|_, entry| entry.state != HostState::Gone);
    }

    fn on_target(&mut self, service: &Arc<str>, host: &HostRecord) {
        let targets = self.services.entry(service.clone()).or_default();
        let position = targets.iter().position(|target| target.name == host.name);
        if host.state == HostState::Gone {
            if let Some(position) = position {
                targets.swap_remove(position);
            }
            self.services_by_target.remove(&host.name);
            return;
        }
        self.services_by_target.insert(host.name.clone(), service.clone());
        let leaving = host.state == HostState::Leaving;
        match position {
            Some(position) => targets[position].leaving = leaving,
            None => targets.push(RouteTarget {
                name: host.name.clone(),
                failure_domain: host.failure_domain.clone(),
                leaving,
                closed_until: Tick::default(),
                suspect_until: Tick::default(),
            }),
        }
    }

    /// Number of entries that share the limits of the client accounts, at least one.
    #[must_use]
    pub fn live_entries(&self) -> usize {
        self.entries.values().filter(|entry| entry.state == HostState::Live).count().max(1)
    }

    /// Addresses of the entries' administration APIs, by name.
    #[must_use]
    pub fn entry_addresses(&self) -> BTreeMap<Arc<str>, Arc<str>> {
        let entries = self.entries.iter();
        entries.map(|(name, entry)| (name.clone(), entry.address.clone())).collect()
    }

    /// Number of known targets.
    #[must_use]
    pub fn len(&self) -> usize {
        self.services_by_target.len()
    }

    /// Returns `true` if no target is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.services_by_target.is_empty()
    }

    /// Marks a target as closed to new work until `until`.
    pub fn mark_closed(&mut self, name: &str, until: Tick) {
        if let Some(target) = self.find_mut(name) {
            target.closed_until = until;
        }
    }

    /// Marks a target as suspect until `until`.
    pub fn mark_suspect(&mut self, name: &str, until: Tick) {
        if let Some(target) = self.find_mut(name) {
            target.suspect_until = until;
        }
    }

    fn find_mut(&mut self, name: &str) -> Option<&mut RouteTarget> {
        let service = self.services_by_target.get(name)?;
        let targets = self.services.get_mut(service)?;
        targets.iter_mut().find(|target| &*target.name == name)
    }

    /// The target whose agent grants the part of an account's limits that the entries' shares
    /// leave over. All entries that know the same targets choose the same one.
    #[must_use]
    pub fn quota_target(&self, account: &str) -> Option<Arc<str>> {
        let targets = self.services.values().flatten().filter(|target| !target.leaving);
        let names = targets.map(|target| &target.name);
        let seed = xxh3_64_with_seed(account.as_bytes(), 0);
        names.max_by_key(|name| (xxh3_64_with_seed(name.as_bytes(), seed), *name)).cloned()
    }

    /// Targets of a service that may be chosen now.
    ///
    /// Targets that the request has tried are included only if there is no other one.
    fn available(&self, query: &RouteQuery<'_>, now: Tick) -> Vec<&RouteTarget> {
        let Some(targets) = self.services.get(query.service) else {
            return Vec::new();
        };
        let is_open = |target: &&RouteTarget| !target.leaving && target.closed_until <= now;
        let mut open: Vec<&RouteTarget> = targets.iter().filter(is_open).collect();
        let suspects = open.iter().filter(|target| target.suspect_until > now).count();
        if (suspects as f64) < open.len() as f64 * PANIC_THRESHOLD {
            open.retain(|target| target.suspect_until <= now);
        }
        if open.iter().any(|target| !query.tried.contains(&target.name)) {
            open.retain(|target| !query.tried.contains(&target.name));
        }
        open
    }

    /// Returns `true` if a target that the request has not tried may be chosen now.
    #[must_use]
    pub fn has_untried(&self, query: &RouteQuery<'_>, now: Tick) -> bool {
        let open = self.available(query, now);
        open.iter().any(|target| !query.tried.contains(&target.name))
    }

    /// Targets to which a short request may be dispatched without probing: those that the hash of
    /// its prefix selects, or the entry's subset if the prefix is not known.
    #[must_use]
    pub fn direct_targets(&self, query: &RouteQuery<'_>, now: Tick) -> Vec<Arc<str>> {
        let open = self.available(query, now);
        match query.prefix {
            Some(prefix) => top_by_hash(&open, prefix, PREFIX_TARGETS),
            None => subset_of(&open, query),
        }
    }

    /// Lets a custom policy choose the one target to probe.
    #[must_use]
    pub fn pick(&self, query: &RouteQuery<'_>, now: Tick, pick: &TargetPick) -> Option<Arc<str>> {
        let open = self.available(query, now);
        let names: Vec<_> = open.into_iter().map(|target| target.name.clone()).collect();
        (pick.0)(&names)
    }

    /// Chooses targets to probe: some by the prompt's prefix, the others at random, first in the
    /// entry's own failure domain.
    pub fn candidates(
        &self,
        query: &RouteQuery<'_>,
        now: Tick,
        rng: &mut impl Rng,
    ) -> Vec<Arc<str>> {
        let open = self.available(query, now);
        let near = |target: &&&RouteTarget| &*target.failure_domain == query.failure_domain;
        let near: Vec<_> = open.iter().filter(near).map(|target| target.name.clone()).collect();
        let all: Vec<_> = open.iter().map(|target| target.name.clone()).collect();
        let mut chosen = prefix_choice(&open, query);
        // One candidate is left for all domains, so that none is cut off.
        add_random(&mut chosen, &near, query.count.saturating_sub(1), rng);
        add_random(&mut chosen, &all, query.count, rng);
        chosen
    }

    /// Chooses as [`RouteTable::candidates`] does, but takes the random ones from the entry's
    /// subset, so that the entry keeps few connections and they stay warm.
    pub fn subset_candidates(
        &self,
        query: &RouteQuery<'_>,
        now: Tick,
        rng: &mut impl Rng,
    ) -> Vec<Arc<str>> {
        let open = self.available(query, now);
        let mut chosen = prefix_choice(&open, query);
        add_random(&mut chosen, &subset_of(&open, query), query.count, rng);
        chosen
    }
}

/// The first candidates: targets that the hash of the prompt's prefix selects.
fn prefix_choice(open: &[&RouteTarget], query: &RouteQuery<'_>) -> Vec<Arc<str>> {
    let max = PREFIX_TARGETS.min(query.count);
    query.prefix.map_or_else(Vec::new, |prefix| top_by_hash(open, prefix, max))
}

/// The entry's subset of the open targets: most of them in its failure domain, so that latency
/// is low, and some elsewhere, so that the loss of a domain leaves some.
fn subset_of(open: &[&RouteTarget], query: &RouteQuery<'_>) -> Vec<Arc<str>> {
    let seed = xxh3_64_with_seed(query.entry.as_bytes(), 0);
    let is_near = |target: &&RouteTarget| &*target.failure_domain == query.failure_domain;
    let (near, far): (Vec<_>, Vec<_>) = open.iter().copied().partition(is_near);
    let mut subset = top_by_hash(&near, seed, SUBSET_LOCAL);
    subset.extend(top_by_hash(&far, seed, SUBSET_SIZE - subset.len()));
    subset
}

/// The first `count` targets by rendezvous hashing of their names with `seed`.
fn top_by_hash(open: &[&RouteTarget], seed: u64, count: usize) -> Vec<Arc<str>> {
    let mut scored: Vec<_> = open
        .iter()
        .map(|target| (xxh3_64_with_seed(target.name.as_bytes(), seed), &target.name))
        .collect();
    scored.sort_unstable();
    scored.into_iter().rev().take(count).map(|(_, name)| name.clone()).collect()
}

/// Adds random names to a choice until it has `count`.
fn add_random(chosen: &mut Vec<Arc<str>>, from: &[Arc<str>], count: usize, rng: &mut impl Rng) {
    let fresh: Vec<_> = from.iter().filter(|name| !chosen.contains(name)).cloned().collect();
    let wanted = count.saturating_sub(chosen.len());
    chosen.extend(fresh.choose_multiple(rng, wanted).cloned());
}

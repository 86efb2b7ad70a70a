//! Which targets there are, and which of them to ask.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use rand::Rng;
use rand::seq::IndexedRandom;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::event::TargetPick;
use crate::hosts::{HostDelta, HostRecord, HostRole, HostState};
use crate::time::Tick;

/// Share of a service's targets under suspicion from which suspicion is
/// ignored: it is likelier then that this entry is cut off.
const PANIC_SHARE: f64 = 0.5;

/// Targets asked because prompts with the same beginning meet there.
const BY_PREFIX: usize = 2;

/// Targets of a service that an entry turns to first.
const HOME: usize = 8;

/// Those of them that are in its own failure domain, where there are as many.
const HOME_NEAR: usize = 6;

/// A target as an entry knows it.
#[derive(Clone, Debug)]
pub struct RouteTarget {
    /// Name of the host.
    pub name: Arc<str>,
    /// The part of the fleet that fails together with it.
    pub failure_domain: Arc<str>,
    /// The platform lists it as leaving.
    pub leaving: bool,
    /// It said itself that it takes no new work; not asked again until then.
    pub closed_until: Tick,
    /// It did not answer; left alone until then.
    pub suspect_until: Tick,
}

/// Another entry, as the platform lists it.
#[derive(Clone, Debug)]
struct RouteEntry {
    address: Arc<str>,
    state: HostState,
}

/// Targets by service.
#[derive(Debug, Default)]
pub struct RouteTable {
    services: HashMap<Arc<str>, Vec<RouteTarget>>,
    homes: HashMap<Arc<str>, Arc<str>>,
    entries: HashMap<Arc<str>, RouteEntry>,
}

/// What a choice of candidates goes by.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// The service wanted.
    pub service: &'a str,
    /// Hash of the prompt's beginning.
    pub prefix: Option<u64>,
    /// Where the entry is.
    pub failure_domain: &'a str,
    /// Name of the entry.
    pub entry: &'a str,
    /// Targets that are not to be asked again.
    pub tried: &'a [Arc<str>],
    /// How many to ask.
    pub count: usize,
}

impl RouteTable {
    /// Takes changes of the platform's list.
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
        let place = targets.iter().position(|target| target.name == host.name);
        if host.state == HostState::Gone {
            if let Some(place) = place {
                targets.swap_remove(place);
            }
            self.homes.remove(&host.name);
            return;
        }
        self.homes.insert(host.name.clone(), service.clone());
        let leaving = host.state == HostState::Leaving;
        match place {
            Some(place) => targets[place].leaving = leaving,
            None => targets.push(RouteTarget {
                name: host.name.clone(),
                failure_domain: host.failure_domain.clone(),
                leaving,
                closed_until: Tick::default(),
                suspect_until: Tick::default(),
            }),
        }
    }

    /// How many entries share the limits of the client accounts.
    #[must_use]
    pub fn live_entries(&self) -> usize {
        self.entries.values().filter(|entry| entry.state == HostState::Live).count().max(1)
    }

    /// Where the entries' administration APIs are, by name.
    #[must_use]
    pub fn entry_addresses(&self) -> BTreeMap<Arc<str>, Arc<str>> {
        let entries = self.entries.iter();
        entries.map(|(name, entry)| (name.clone(), entry.address.clone())).collect()
    }

    /// How many targets are known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.homes.len()
    }

    /// Returns true where no target is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.homes.is_empty()
    }

    /// Notes that a target said that it takes no new work.
    pub fn close(&mut self, name: &str, until: Tick) {
        if let Some(target) = self.find(name) {
            target.closed_until = until;
        }
    }

    /// Leaves a target alone until `until`.
    pub fn suspect(&mut self, name: &str, until: Tick) {
        if let Some(target) = self.find(name) {
            target.suspect_until = until;
        }
    }

    fn find(&mut self, name: &str) -> Option<&mut RouteTarget> {
        let service = self.homes.get(name)?;
        let targets = self.services.get_mut(service)?;
        targets.iter_mut().find(|target| &*target.name == name)
    }

    /// The target whose agent gives what an account may have beside the entries' shares: the
    /// same for all entries that know the same targets.
    #[must_use]
    pub fn home_of_account(&self, account: &str) -> Option<Arc<str>> {
        let targets = self.services.values().flatten().filter(|target| !target.leaving);
        let names = targets.map(|target| &target.name);
        let seed = xxh3_64_with_seed(account.as_bytes(), 0);
        names.max_by_key(|name| (xxh3_64_with_seed(name.as_bytes(), seed), *name)).cloned()
    }

    /// Targets of a service that may be given work now.
    fn open(&self, query: &RouteQuery<'_>, now: Tick) -> Vec<&RouteTarget> {
        let Some(targets) = self.services.get(query.service) else {
            return Vec::new();
        };
        let is_open = |one: &&RouteTarget| !one.leaving && one.closed_until <= now;
        let mut open: Vec<&RouteTarget> = targets.iter().filter(is_open).collect();
        let suspects = open.iter().filter(|one| one.suspect_until > now).count();
        if (suspects as f64) < open.len() as f64 * PANIC_SHARE {
            open.retain(|one| one.suspect_until <= now);
        }
        if open.iter().any(|one| !query.tried.contains(&one.name)) {
            open.retain(|one| !query.tried.contains(&one.name));
        }
        open
    }

    /// Targets that a short request may go to without asking: those where
    /// prompts with its beginning meet, or else the entry's own few.
    #[must_use]
    pub fn likely(&self, query: &RouteQuery<'_>, now: Tick) -> Vec<Arc<str>> {
        let open = self.open(query, now);
        match query.prefix {
            Some(prefix) => by_prefix(&open, prefix, BY_PREFIX),
            None => home_of(&open, query),
        }
    }

    /// Lets a policy choose the one target to ask.
    #[must_use]
    pub fn pick(&self, query: &RouteQuery<'_>, now: Tick, pick: &TargetPick) -> Option<Arc<str>> {
        let open = self.open(query, now);
        let names: Vec<_> = open.into_iter().map(|one| one.name.clone()).collect();
        (pick.0)(&names)
    }

    /// Chooses targets to ask: some by the prompt's beginning, the others at
    /// random, first in the entry's own failure domain.
    pub fn candidates(
        &self,
        query: &RouteQuery<'_>,
        now: Tick,
        rng: &mut impl Rng,
    ) -> Vec<Arc<str>> {
        let open = self.open(query, now);
        let near = |one: &&&RouteTarget| &*one.failure_domain == query.failure_domain;
        let near: Vec<_> = open.iter().filter(near).map(|one| one.name.clone()).collect();
        let all: Vec<_> = open.iter().map(|one| one.name.clone()).collect();
        let mut chosen = begin_choice(&open, query);
        // One place is for the other domains, so that none is cut off.
        add_random(&mut chosen, &near, query.count.saturating_sub(1), rng);
        add_random(&mut chosen, &all, query.count, rng);
        chosen
    }

    /// Chooses as [`RouteTable::candidates`] does, but the random ones among the
    /// entry's own few, so that its links stay few and warm.
    pub fn home_candidates(
        &self,
        query: &RouteQuery<'_>,
        now: Tick,
        rng: &mut impl Rng,
    ) -> Vec<Arc<str>> {
        let open = self.open(query, now);
        let mut chosen = begin_choice(&open, query);
        add_random(&mut chosen, &home_of(&open, query), query.count, rng);
        chosen
    }
}

/// The first of a choice: targets where prompts with this beginning meet.
fn begin_choice(open: &[&RouteTarget], query: &RouteQuery<'_>) -> Vec<Arc<str>> {
    let most = BY_PREFIX.min(query.count);
    query.prefix.map_or_else(Vec::new, |prefix| by_prefix(open, prefix, most))
}

/// The entry's own few: most of them in its failure domain, so that links are
/// short, and some elsewhere, so that the loss of a domain leaves some.
fn home_of(open: &[&RouteTarget], query: &RouteQuery<'_>) -> Vec<Arc<str>> {
    let seed = xxh3_64_with_seed(query.entry.as_bytes(), 0);
    let is_near = |one: &&RouteTarget| &*one.failure_domain == query.failure_domain;
    let (near, far): (Vec<_>, Vec<_>) = open.iter().copied().partition(is_near);
    let mut home = by_prefix(&near, seed, HOME_NEAR);
    home.extend(by_prefix(&far, seed, HOME - home.len()));
    home
}

fn by_prefix(open: &[&RouteTarget], prefix: u64, count: usize) -> Vec<Arc<str>> {
    let mut scored: Vec<_> = open
        .iter()
        .map(|one| (xxh3_64_with_seed(one.name.as_bytes(), prefix), &one.name))
        .collect();
    scored.sort_unstable();
    scored.into_iter().rev().take(count).map(|(_, name)| name.clone()).collect()
}

/// Fills a choice up to `count` with names at random.
fn add_random(chosen: &mut Vec<Arc<str>>, from: &[Arc<str>], count: usize, rng: &mut impl Rng) {
    let fresh: Vec<_> = from.iter().filter(|name| !chosen.contains(name)).cloned().collect();
    let wanted = count.saturating_sub(chosen.len());
    chosen.extend(fresh.choose_multiple(rng, wanted).cloned());
}

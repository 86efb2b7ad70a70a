//! The targets known to this process.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::target_notice::NoticeCache;
pub use super::target_state::{TargetFault, TargetInstance, TargetRecord, TargetState};
use crate::relay::discovery::store_revision::StoreRevision;
use crate::time::Tick;

/// Time for which a target that is missing after an outage of the list may still come back.
/// Running targets are listed again within two seconds. A target that has left must receive
/// nothing after two seconds, and a request needs some time to reach it.
const RETURN_WINDOW: Duration = Duration::from_millis(1_600);

/// All known targets.
#[derive(Debug, Default)]
pub struct TargetSet {
    /// Ordered by name, so that the same state gives the same decisions.
    targets: BTreeMap<Arc<str>, TargetState>,
    has_list: bool,
    /// Announcements of targets that are no longer listed.
    notices: NoticeCache,
    /// Failure domains that are out of service.
    evacuated: BTreeSet<Arc<str>>,
}

/// Effect of a change of the target list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListChange {
    /// New targets.
    pub added: Vec<Arc<str>>,
    /// Targets that accept no new requests from now on.
    pub leaving: Vec<Arc<str>>,
    /// Targets that are gone.
    pub removed: Vec<Arc<str>>,
    /// Targets that restarted under the same name.
    pub restarted: Vec<Arc<str>>,
    /// Instances that ended without announcing it.
    pub crashed: Vec<TargetInstance>,
}

impl ListChange {
    /// Returns `true` if nothing changed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        let lists = [&self.added, &self.leaving, &self.removed, &self.restarted];
        lists.iter().all(|names| names.is_empty())
    }

    /// Appends a later change.
    pub fn join(&mut self, later: ListChange) {
        self.added.extend(later.added);
        self.leaving.extend(later.leaving);
        self.removed.extend(later.removed);
        self.restarted.extend(later.restarted);
        self.crashed.extend(later.crashed);
    }
}

impl TargetSet {
    /// Returns `true` once a list has been applied.
    #[must_use]
    pub fn has_list(&self) -> bool {
        self.has_list
    }

    /// Finds a target.
    #[must_use]
    pub fn get(&self, incarnation: &str) -> Option<&TargetState> {
        self.targets.get(incarnation)
    }

    /// Finds a target for modification.
    pub fn get_mut(&mut self, incarnation: &str) -> Option<&mut TargetState> {
        self.targets.get_mut(incarnation)
    }

    /// All targets.
    pub fn iter(&self) -> impl Iterator<Item = &TargetState> {
        self.targets.values()
    }

    /// All targets, for modification.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut TargetState> {
        self.targets.values_mut()
    }

    /// The targets of a service that may be sent requests. Targets that are missing for too
    /// long must be removed first, see [`TargetSet::expire`].
    pub fn usable<'a>(
        &'a self,
        service: &'a str,
        now: Tick,
    ) -> impl Iterator<Item = &'a TargetState> {
        self.of_service(service).filter(move |target| target.is_usable(now))
    }

    /// The targets that are listed for a service.
    pub fn of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a TargetState> {
        self.targets.values().filter(move |target| &*target.record.service == service)
    }

    /// Applies a complete list. After an outage of the list, missing targets are kept for a
    /// while, since they may still come back.
    pub fn apply_list(
        &mut self,
        records: Vec<TargetRecord>,
        is_after_outage: bool,
        now: Tick,
    ) -> ListChange {
        let listed: HashSet<Arc<str>> =
            records.iter().map(|record| record.incarnation.clone()).collect();
        let mut change = ListChange::default();
        for record in records {
            self.apply_record(record, now, &mut change);
        }
        for target in self.targets.values_mut() {
            if listed.contains(&target.record.incarnation) {
                continue;
            }
            let may_return = is_after_outage && self.has_list;
            target.remove_at.get_or_insert(if may_return { now + RETURN_WINDOW } else { now });
        }
        self.has_list = true;
        self.remove_missing(now, &mut change);
        self.mark_superseded(&mut change);
        change
    }

    /// Sets which services the configuration names. A target of another service receives no
    /// requests and supersedes no other target.
    pub fn set_services(&mut self, is_service: impl Fn(&str) -> bool) -> ListChange {
        for target in self.targets.values_mut() {
            target.is_configured = is_service(&target.record.service);
        }
        let mut change = ListChange::default();
        self.mark_superseded(&mut change);
        change
    }

    /// Sets the failure domains that are out of service. Targets in domains that return to
    /// service may have become cold meanwhile.
    pub fn set_evacuated(&mut self, domains: BTreeSet<Arc<str>>, now: Tick) {
        for target in self.targets.values_mut() {
            let is_evacuated = domains.contains(&target.record.failure_domain);
            if target.is_evacuated && !is_evacuated {
                target.warmup.mark_unknown(now);
            }
            target.is_evacuated = is_evacuated;
        }
        self.evacuated = domains;
    }

    /// Applies a change of one target.
    pub fn apply_change(&mut self, record: TargetRecord, now: Tick) -> ListChange {
        let mut change = ListChange::default();
        self.apply_record(record, now, &mut change);
        self.mark_superseded(&mut change);
        change
    }

    /// Applies the removal of one target from the list. After an outage, the target is kept for
    /// a while, since it may still come back. `outage_removal` is then the earliest time at
    /// which the list can have dropped it, however late the removal is received.
    pub fn apply_removal(
        &mut self,
        incarnation: &str,
        outage_removal: Option<Tick>,
        now: Tick,
    ) -> ListChange {
        let mut change = ListChange::default();
        if let Some(target) = self.targets.get_mut(incarnation) {
            target.remove_at.get_or_insert(outage_removal.map_or(now, |at| at + RETURN_WINDOW));
        }
        self.remove_missing(now, &mut change);
        change
    }

    /// Removes targets that have been missing for too long.
    pub fn expire(&mut self, now: Tick) -> ListChange {
        let mut change = ListChange::default();
        self.remove_missing(now, &mut change);
        change
    }

    fn apply_record(&mut self, record: TargetRecord, now: Tick, change: &mut ListChange) {
        let name = record.incarnation.clone();
        let known = self.targets.get_mut(&name);
        // Updates about an earlier instance may arrive late.
        if known.as_ref().is_some_and(|target| record.started_ms < target.record.started_ms) {
            return;
        }
        if let Some(target) = known.filter(|target| record.started_ms == target.record.started_ms) {
            if record.is_leaving && !target.record.is_leaving {
                change.leaving.push(name);
            }
            let was_missing = target.remove_at.take().is_some();
            match record.warmup_left() {
                Some(left) if was_missing || record.warmup_ms != target.record.warmup_ms => {
                    target.warmup.record_left(left, now);
                }
                None if was_missing => target.warmup.mark_unknown(now),
                _ => {}
            }
            // A target that announced its leaving does not come back.
            let is_leaving = record.is_leaving || target.record.is_leaving;
            target.record = TargetRecord { is_leaving, ..record };
            target.is_evacuated = self.evacuated.contains(&target.record.failure_domain);
            return;
        }
        // A new instance inherits neither the requests nor the announcements of its
        // predecessor. A target that was only missing for a while keeps its announcements.
        let mut state = TargetState::new(record, now);
        state.announced = self.notices.restore(&state.record, now);
        state.is_evacuated = self.evacuated.contains(&state.record.failure_domain);
        match state.record.warmup_left() {
            Some(left) => state.warmup.record_left(left, now),
            // It started while this process was running.
            None if self.has_list => state.warmup.mark_unknown(now),
            None => {}
        }
        match self.targets.insert(name.clone(), state) {
            Some(former) => {
                change.crashed.extend(former.to_crashed());
                change.restarted.push(name);
            }
            None => change.added.push(name),
        }
    }

    /// Marks targets whose address a later one uses. Their records outlive them for a while,
    /// and the address would receive requests twice.
    fn mark_superseded(&mut self, change: &mut ListChange) {
        let mut newest: HashMap<SocketAddr, StoreRevision> = HashMap::new();
        for target in self.targets.values().filter(|target| target.is_configured) {
            let listed_at = newest.entry(target.record.address).or_default();
            *listed_at = target.record.listed_at.max(*listed_at);
        }
        for target in self.targets.values_mut() {
            let newest = newest.get(&target.record.address);
            let was_superseded = target.is_superseded;
            target.is_superseded = newest.is_some_and(|at| *at > target.record.listed_at);
            if target.is_superseded && !was_superseded {
                change.crashed.extend(target.to_crashed());
            }
        }
    }

    fn remove_missing(&mut self, now: Tick, change: &mut ListChange) {
        self.targets.retain(|name, target| {
            let is_removed = target.remove_at.is_some_and(|at| now >= at);
            if is_removed {
                self.notices.insert(&target.record, target.announced, now);
                change.removed.push(name.clone());
                change.crashed.extend(target.to_crashed());
            }
            !is_removed
        });
        if !change.removed.is_empty() {
            self.mark_superseded(change);
        }
    }
}

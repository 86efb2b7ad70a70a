//! The targets that this process knows.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::target_notice::NoticeMemory;
pub use super::target_state::{TargetFault, TargetLife, TargetRecord, TargetState};
use crate::relay::discovery::store_revision::StoreRevision;
use crate::time::Tick;

/// How long a target that is missing after an outage of the list may still
/// come back. Live targets are listed again within two seconds; one that has
/// left must not be sent anything after two seconds, and a request needs some
/// time to get there.
const RETURN_SPAN: Duration = Duration::from_millis(1_600);

/// All targets that are known.
#[derive(Debug, Default)]
pub struct TargetSet {
    /// In the order of their names, so that the same knowledge decides the same.
    targets: BTreeMap<Arc<str>, TargetState>,
    has_list: bool,
    /// What targets said that are not listed any more.
    notices: NoticeMemory,
    /// Failure domains that are out of service.
    evacuated: BTreeSet<Arc<str>>,
}

/// What a list changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListChange {
    /// Targets that are new.
    pub added: Vec<Arc<str>>,
    /// Targets that take nothing new from now on.
    pub leaving: Vec<Arc<str>>,
    /// Targets that are gone.
    pub removed: Vec<Arc<str>>,
    /// Targets that started again under the same name.
    pub restarted: Vec<Arc<str>>,
    /// Lives that ended without having said that they would.
    pub ended: Vec<TargetLife>,
}

impl ListChange {
    /// Returns true where nothing changed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        let lists = [&self.added, &self.leaving, &self.removed, &self.restarted];
        lists.iter().all(|names| names.is_empty())
    }

    /// Adds what a later change did.
    pub fn join(&mut self, later: ListChange) {
        self.added.extend(later.added);
        self.leaving.extend(later.leaving);
        self.removed.extend(later.removed);
        self.restarted.extend(later.restarted);
        self.ended.extend(later.ended);
    }
}

impl TargetSet {
    /// Returns true once a list was taken.
    #[must_use]
    pub fn has_list(&self) -> bool {
        self.has_list
    }

    /// Finds a target.
    #[must_use]
    pub fn get(&self, incarnation: &str) -> Option<&TargetState> {
        self.targets.get(incarnation)
    }

    /// Finds a target, to change what is known of it.
    pub fn get_mut(&mut self, incarnation: &str) -> Option<&mut TargetState> {
        self.targets.get_mut(incarnation)
    }

    /// All targets.
    pub fn iter(&self) -> impl Iterator<Item = &TargetState> {
        self.targets.values()
    }

    /// All targets, to change what is known of them.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut TargetState> {
        self.targets.values_mut()
    }

    /// The targets of a service that may be sent requests. What has been missing
    /// for too long has to be removed before, see [`TargetSet::expire`].
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

    /// Takes a whole list. After an outage of the list, what is missing may
    /// still come back for a while and is kept.
    pub fn take_list(
        &mut self,
        records: Vec<TargetRecord>,
        is_after_outage: bool,
        now: Tick,
    ) -> ListChange {
        let listed: HashSet<Arc<str>> =
            records.iter().map(|record| record.incarnation.clone()).collect();
        let mut change = ListChange::default();
        for record in records {
            self.take_record(record, now, &mut change);
        }
        for target in self.targets.values_mut() {
            if listed.contains(&target.record.incarnation) {
                continue;
            }
            let may_return = is_after_outage && self.has_list;
            target.gone_at.get_or_insert(if may_return { now + RETURN_SPAN } else { now });
        }
        self.has_list = true;
        self.remove_missing(now, &mut change);
        self.mark_superseded(&mut change);
        change
    }

    /// Notes which services the configuration names. What is listed for another one is
    /// nobody's target, and no later life of one.
    pub fn note_services(&mut self, is_service: impl Fn(&str) -> bool) -> ListChange {
        for target in self.targets.values_mut() {
            target.is_named = is_service(&target.record.service);
        }
        let mut change = ListChange::default();
        self.mark_superseded(&mut change);
        change
    }

    /// Takes the failure domains that are out of service. Targets of those that are back in
    /// service may have turned cold meanwhile.
    pub fn set_evacuated(&mut self, domains: BTreeSet<Arc<str>>, now: Tick) {
        for target in self.targets.values_mut() {
            let is_evacuated = domains.contains(&target.record.failure_domain);
            if target.is_evacuated && !is_evacuated {
                target.warmup.note_unsure(now);
            }
            target.is_evacuated = is_evacuated;
        }
        self.evacuated = domains;
    }

    /// Takes a change of one target.
    pub fn take_change(&mut self, record: TargetRecord, now: Tick) -> ListChange {
        let mut change = ListChange::default();
        self.take_record(record, now, &mut change);
        self.mark_superseded(&mut change);
        change
    }

    /// Takes the removal of one target from the list. After an outage it may
    /// still come back for a while and is kept: `outage_removal` is then the earliest
    /// time at which the list can have dropped it, however late that is heard.
    pub fn take_removal(
        &mut self,
        incarnation: &str,
        outage_removal: Option<Tick>,
        now: Tick,
    ) -> ListChange {
        let mut change = ListChange::default();
        if let Some(target) = self.targets.get_mut(incarnation) {
            target.gone_at.get_or_insert(outage_removal.map_or(now, |at| at + RETURN_SPAN));
        }
        self.remove_missing(now, &mut change);
        change
    }

    /// Removes what has been missing for too long.
    pub fn expire(&mut self, now: Tick) -> ListChange {
        let mut change = ListChange::default();
        self.remove_missing(now, &mut change);
        change
    }

    fn take_record(&mut self, record: TargetRecord, now: Tick, change: &mut ListChange) {
        let name = record.incarnation.clone();
        let known = self.targets.get_mut(&name);
        // Word of an earlier life may come late.
        if known.as_ref().is_some_and(|target| record.born_ms < target.record.born_ms) {
            return;
        }
        if let Some(target) = known.filter(|target| record.born_ms == target.record.born_ms) {
            if record.is_leaving && !target.record.is_leaving {
                change.leaving.push(name);
            }
            let was_gone = target.gone_at.take().is_some();
            match record.warmup_left() {
                Some(left) if was_gone || record.warmup_ms != target.record.warmup_ms => {
                    target.warmup.note_left(left, now);
                }
                None if was_gone => target.warmup.note_unsure(now),
                _ => {}
            }
            // A target that said it is leaving does not come back.
            let is_leaving = record.is_leaving || target.record.is_leaving;
            target.record = TargetRecord { is_leaving, ..record };
            target.is_evacuated = self.evacuated.contains(&target.record.failure_domain);
            return;
        }
        // A new life knows nothing of what the last one was sent, and owes nothing of what it
        // said. One that was missing for a while does.
        let mut state = TargetState::new(record, now);
        state.said = self.notices.recall(&state.record, now);
        state.is_evacuated = self.evacuated.contains(&state.record.failure_domain);
        match state.record.warmup_left() {
            Some(left) => state.warmup.note_left(left, now),
            // It started while this process looked on.
            None if self.has_list => state.warmup.note_unsure(now),
            None => {}
        }
        match self.targets.insert(name.clone(), state) {
            Some(former) => {
                change.ended.extend(former.to_ended());
                change.restarted.push(name);
            }
            None => change.added.push(name),
        }
    }

    /// Marks targets whose address a later one has: their entries outlive them
    /// for a while, and the address would be asked twice.
    fn mark_superseded(&mut self, change: &mut ListChange) {
        let mut newest: HashMap<SocketAddr, StoreRevision> = HashMap::new();
        for target in self.targets.values().filter(|target| target.is_named) {
            let listed_at = newest.entry(target.record.address).or_default();
            *listed_at = target.record.listed_at.max(*listed_at);
        }
        for target in self.targets.values_mut() {
            let newest = newest.get(&target.record.address);
            let was_superseded = target.is_superseded;
            target.is_superseded = newest.is_some_and(|at| *at > target.record.listed_at);
            if target.is_superseded && !was_superseded {
                change.ended.extend(target.to_ended());
            }
        }
    }

    fn remove_missing(&mut self, now: Tick, change: &mut ListChange) {
        self.targets.retain(|name, target| {
            let is_gone = target.gone_at.is_some_and(|at| now >= at);
            if is_gone {
                self.notices.keep(&target.record, target.said, now);
                change.removed.push(name.clone());
                change.ended.extend(target.to_ended());
            }
            !is_gone
        });
        if !change.removed.is_empty() {
            self.mark_superseded(change);
        }
    }
}

//! The list of targets, and the engines that this entry uses.

use std::time::Duration;

use super::permits::SEND_WINDOW;
use super::{RelayCore, RelayLimits};
use crate::relay::decide::engine_subset::{SubsetQuery, mark_used};
use crate::relay::decide::targets::{ListChange, TargetRecord};
use crate::relay::decide::warmup::WarmupLimit;
use crate::relay::discovery::source::{TargetChange, TargetList};
use crate::relay::discovery::store_revision::StoreRevision;
use crate::relay::discovery::target_list_sync::{TargetListSync, TargetListUpdate, UpdateVerdict};
use crate::time::Tick;

/// The result of one answer to a watch of the list.
#[derive(Clone, Debug)]
pub struct WatchedChanges {
    /// The changes and their revisions.
    pub changes: Vec<(StoreRevision, TargetChange)>,
    /// The revision of the last change before them.
    pub since: StoreRevision,
    /// The revision that they lead to.
    pub revision: StoreRevision,
    /// Time after which the store accepted them.
    pub known_at: Tick,
}

/// Converts an age to whole milliseconds for the wire, rounded up.
fn to_age_ms(age: Duration) -> u32 {
    age.as_micros().div_ceil(1_000).try_into().unwrap_or(u32::MAX)
}

impl RelayCore {
    /// Applies a whole list of targets, after [`RelayCore::record_list`].
    pub fn apply_list(
        &mut self,
        records: Vec<TargetRecord>,
        is_after_outage: bool,
        now: Tick,
    ) -> ListChange {
        let had_list = self.targets.has_list();
        let change = self.targets.apply_list(records, is_after_outage, now);
        self.record_crashes(&change, now);
        if had_list && !change.is_empty() {
            self.target_list_sync.record_difference();
        }
        self.set_engine_rates(now);
        self.choose_engines(now);
        change
    }

    /// Applies a list that was read. The previous list was current until `known_at`. Returns the
    /// change, and the update to announce to other entries. The update is `None` for the first
    /// list of a process, and after an outage, when each entry decides for itself which missing
    /// targets may still come back.
    pub fn apply_reread(
        &mut self,
        list: TargetList,
        is_after_outage: bool,
        known_at: Tick,
        now: Tick,
    ) -> (ListChange, Option<TargetListUpdate>) {
        let is_announced = self.targets.has_list() && !is_after_outage;
        let since = self.target_list_sync.changed_at();
        self.record_list(list.revision, list.changed_at, now);
        let change = self.apply_list(list.records, is_after_outage, now);
        let revision = self.target_list_sync.changed_at();
        let is_next = since < revision && revision.epoch == since.epoch;
        let is_announced = is_announced && is_next && !change.is_empty();
        let age_ms = to_age_ms(now.since(known_at));
        let changes = || self.to_changes(&change);
        let update = is_announced.then(|| TargetListUpdate {
            since,
            revision,
            age_ms,
            changes: changes(),
            is_difference: true,
        });
        (change, update)
    }

    fn to_changes(&self, change: &ListChange) -> Vec<TargetChange> {
        let listed = change.added.iter().chain(&change.leaving).chain(&change.restarted);
        let listed = listed.filter_map(|name| self.targets.get(name));
        let listed = listed.map(|target| TargetChange::Listed(target.record.clone()));
        let removed = change.removed.iter().cloned().map(TargetChange::Removed);
        listed.chain(removed).collect()
    }

    /// Removes targets that have been missing for too long. Returns those removed since the last
    /// call.
    pub fn expire_targets(&mut self, now: Tick) -> ListChange {
        self.remove_missing(now);
        std::mem::take(&mut self.expired)
    }

    pub(super) fn remove_missing(&mut self, now: Tick) {
        let change = self.targets.expire(now);
        self.record_crashes(&change, now);
        if !change.is_empty() {
            self.target_list_sync.record_difference();
        }
        self.expired.join(change);
    }

    /// Selects the engines that this entry uses.
    pub fn choose_engines(&mut self, now: Tick) {
        self.update_rate_limits(now);
        let RelayLimits { failure_domain, policy, .. } = &self.limits;
        let query =
            SubsetQuery { entry: self.entry, failure_domain, max_engines: policy.most_engines };
        let services: Vec<_> = self.engine_services().into_iter().collect();
        mark_used(&mut self.targets, &services, query, now);
    }

    /// Sets the engine rates and the warm-up limit of each target from its service. The
    /// configuration and the list are read separately, and either may arrive first.
    pub(super) fn set_engine_rates(&mut self, now: Tick) {
        if self.config.is_some() {
            let rules = self.rules.clone();
            let change = self.targets.set_services(|name| rules.service(name).is_some());
            self.record_crashes(&change, now);
        }
        let bound = self.limits.warmup_bound;
        for target in self.targets.iter_mut() {
            let service = self.rules.service(&target.record.service);
            let warmup = service.and_then(|service| service.warmup);
            target.warmup_limit = warmup.map(|rule| WarmupLimit {
                duration: rule.duration,
                rate: bound.to_rate(rule, SEND_WINDOW),
            });
            if let Some(rates) = service.and_then(|service| service.engine.as_ref()) {
                target.set_rates(rates, self.entry);
                if let Some(model) = &mut target.model {
                    model.set_grace(Duration::from_millis(self.limits.policy.pass_grace_ms));
                }
            }
        }
    }

    /// Applies a change of one target.
    pub fn apply_change(&mut self, record: TargetRecord, now: Tick) -> ListChange {
        let change = self.targets.apply_change(record, now);
        self.record_crashes(&change, now);
        self.set_engine_rates(now);
        self.choose_engines(now);
        change
    }

    fn apply_removal(&mut self, name: &str, outage_removal: Option<Tick>, now: Tick) -> ListChange {
        let change = self.targets.apply_removal(name, outage_removal, now);
        self.record_crashes(&change, now);
        change
    }

    /// Returns the state of the exchange of list changes between entries.
    #[must_use]
    pub fn target_list_sync(&self) -> &TargetListSync {
        &self.target_list_sync
    }

    /// Records a list that was read and is current at `revision`. Its targets last changed at
    /// `changed_at`.
    pub fn record_list(&mut self, revision: StoreRevision, changed_at: StoreRevision, now: Tick) {
        self.target_list_sync.record_list(revision, changed_at, now);
    }

    /// Applies changes that this entry's own watch received. Returns the change, and the update to
    /// announce to other entries, `None` if another entry has announced all of it.
    pub fn apply_watched(
        &mut self,
        watched: WatchedChanges,
        is_after_outage: bool,
        now: Tick,
    ) -> (ListChange, Option<TargetListUpdate>) {
        let WatchedChanges { changes, revision, known_at, .. } = watched;
        let known = self.target_list_sync.known_up_to();
        // Later changes than these may be in force already, by an update of another entry.
        if changes.is_empty() || revision <= known {
            return (ListChange::default(), None);
        }
        // Of two consecutive revisions the earlier one is the safer start.
        let since =
            if known > watched.since { self.target_list_sync.changed_at() } else { watched.since };
        let is_new = |revision: StoreRevision| revision > known || revision.number == 0;
        let is_announced = |(revision, change): &&(StoreRevision, TargetChange)| {
            // Some stores name no own revision for a removal.
            is_new(*revision) || matches!(change, TargetChange::Removed(_))
        };
        let announced =
            changes.iter().filter(is_announced).map(|(_, change)| change.clone()).collect();
        let changes: Vec<_> = changes.into_iter().map(|(_, change)| change).collect();
        let change = self.apply_changes(&changes, is_after_outage.then_some(known_at), now);
        self.target_list_sync.record_watched(revision);
        let age_ms = to_age_ms(now.since(known_at));
        let changes = announced;
        let update = TargetListUpdate { since, revision, age_ms, changes, is_difference: false };
        (change, Some(update))
    }

    /// Records that all changes of the list up to `revision` have been announced to other entries.
    pub fn record_list_announced(&mut self, revision: StoreRevision) {
        self.target_list_sync.record_announced(revision);
    }

    /// Records that the store has no changes of the list up to `revision` that are unknown here.
    pub fn record_caught_up(&mut self, revision: StoreRevision) {
        self.target_list_sync.record_caught_up(revision);
    }

    /// Applies changes that another entry announced. Each entry decides for itself whether the
    /// store was unreachable, since the store may have refused only the other one.
    pub fn apply_list_update(
        &mut self,
        update: &TargetListUpdate,
        is_after_outage: bool,
        now: Tick,
    ) -> ListChange {
        match self.target_list_sync.apply_update(update, now) {
            UpdateVerdict::Next => {
                let known_at = now - Duration::from_millis(update.age_ms.into());
                self.apply_changes(&update.changes, is_after_outage.then_some(known_at), now)
            }
            UpdateVerdict::Known | UpdateVerdict::Gap => ListChange::default(),
        }
    }

    fn apply_changes(
        &mut self,
        changes: &[TargetChange],
        outage_removal: Option<Tick>,
        now: Tick,
    ) -> ListChange {
        let mut total = ListChange::default();
        for change in changes {
            total.join(match change {
                TargetChange::Listed(record) => self.apply_change(record.clone(), now),
                TargetChange::Removed(name) => self.apply_removal(name, outage_removal, now),
            });
        }
        total
    }

    /// Decides periodically whether this entry watches the list. Returns `true` if that changed.
    pub fn decide_watching(&mut self, now: Tick) -> bool {
        if self.target_list_sync.choose_initial_watchers(
            self.targets.iter().count(),
            rand::random(),
            now,
        ) {
            return true;
        }
        let engines = || self.targets.iter().filter(|target| target.model.is_some());
        let used = engines().filter(|target| target.is_used).count();
        let used_fraction = used as f64 / engines().count().max(1) as f64;
        let entries = self.fleet_entries().unwrap_or(1);
        self.target_list_sync.decide_watching(used_fraction, entries, rand::random(), now)
    }
}

//! What the core knows of the list of targets, and which of them it uses.

use std::time::Duration;

use super::permits::TURN_SPAN;
use super::{RelayCore, RelayLimits};
use crate::relay::decide::engine_subset::{SubsetQuery, mark_used};
use crate::relay::decide::targets::{ListChange, TargetRecord};
use crate::relay::decide::warmup::WarmupLimit;
use crate::relay::discovery::feed::{TargetChange, TargetList};
use crate::relay::discovery::list_share::{ListNews, ListShare, NewsVerdict};
use crate::relay::discovery::store_revision::StoreRevision;
use crate::time::Tick;

/// What one answer of a watch of the list brings.
#[derive(Clone, Debug)]
pub struct WatchedChanges {
    /// The changes, and their revisions.
    pub changes: Vec<(StoreRevision, TargetChange)>,
    /// The revision of the last change before them.
    pub since: StoreRevision,
    /// The revision to which they lead.
    pub mark: StoreRevision,
    /// The store took them after that.
    pub known_at: Tick,
}

/// An age on the wire, rounded up.
fn to_age_ms(age: Duration) -> u32 {
    age.as_micros().div_ceil(1_000).try_into().unwrap_or(u32::MAX)
}

impl RelayCore {
    /// Takes a whole list of targets, after [`RelayCore::note_list`].
    pub fn take_list(
        &mut self,
        records: Vec<TargetRecord>,
        is_after_outage: bool,
        now: Tick,
    ) -> ListChange {
        let had_list = self.targets.has_list();
        let change = self.targets.take_list(records, is_after_outage, now);
        self.note_ends(&change, now);
        if had_list && !change.is_empty() {
            self.list_share.note_difference();
        }
        self.set_rates(now);
        self.choose_engines(now);
        change
    }

    /// Takes a list that was read; the one before was true until `known_at`. Returns what
    /// it changed, and what others are to be told: none for the first list of a process, and
    /// none after an outage, when each entry says for itself what may still come back.
    pub fn take_reread(
        &mut self,
        list: TargetList,
        is_after_outage: bool,
        known_at: Tick,
        now: Tick,
    ) -> (ListChange, Option<ListNews>) {
        let is_told = self.targets.has_list() && !is_after_outage;
        let since = self.list_share.mark();
        self.note_list(list.revision, list.changed_at);
        let change = self.take_list(list.records, is_after_outage, now);
        let mark = self.list_share.mark();
        let is_told = is_told && !change.is_empty() && mark.epoch == since.epoch;
        let age_ms = to_age_ms(now.since(known_at));
        let changes = || self.to_changes(&change);
        let news = is_told.then(|| ListNews { since, mark, age_ms, changes: changes() });
        (change, news)
    }

    fn to_changes(&self, change: &ListChange) -> Vec<TargetChange> {
        let listed = change.added.iter().chain(&change.leaving).chain(&change.restarted);
        let listed = listed.filter_map(|name| self.targets.get(name));
        let listed = listed.map(|target| TargetChange::Listed(target.record.clone()));
        let removed = change.removed.iter().cloned().map(TargetChange::Removed);
        listed.chain(removed).collect()
    }

    /// Removes targets that have been missing for too long. Returns those that were
    /// removed since the last call.
    pub fn expire_targets(&mut self, now: Tick) -> ListChange {
        self.remove_missing(now);
        std::mem::take(&mut self.expired)
    }

    pub(super) fn remove_missing(&mut self, now: Tick) {
        let change = self.targets.expire(now);
        self.note_ends(&change, now);
        if !change.is_empty() {
            self.list_share.note_difference();
        }
        self.expired.join(change);
    }

    /// Chooses anew which engines this entry uses.
    pub fn choose_engines(&mut self, now: Tick) {
        self.mark_rates(now);
        let RelayLimits { failure_domain, policy, .. } = &self.limits;
        let query = SubsetQuery { entry: self.entry, failure_domain, most: policy.most_engines };
        let services: Vec<_> = self.engine_services().into_iter().collect();
        mark_used(&mut self.targets, &services, query, now);
    }

    /// Gives each target the rates of its service. Configuration and list are
    /// read separately, and either may come first.
    pub(super) fn set_rates(&mut self, now: Tick) {
        if self.config.is_some() {
            let rules = self.rules.clone();
            let change = self.targets.note_services(|name| rules.service(name).is_some());
            self.note_ends(&change, now);
        }
        let bound = self.limits.warmup_bound;
        for target in self.targets.iter_mut() {
            let service = self.rules.service(&target.record.service);
            let warmup = service.and_then(|service| service.warmup);
            target.warmup_limit = warmup
                .map(|rule| WarmupLimit { span: rule.span, rate: bound.to_rate(rule, TURN_SPAN) });
            if let Some(rates) = service.and_then(|service| service.engine.as_ref()) {
                target.set_rates(rates, self.entry);
                if let Some(model) = &mut target.model {
                    model.set_grace(Duration::from_millis(self.limits.policy.pass_grace_ms));
                }
            }
        }
    }

    /// Takes a change of one target.
    pub fn take_change(&mut self, record: TargetRecord, now: Tick) -> ListChange {
        let change = self.targets.take_change(record, now);
        self.note_ends(&change, now);
        self.set_rates(now);
        self.choose_engines(now);
        change
    }

    fn take_removal(&mut self, name: &str, outage_removal: Option<Tick>, now: Tick) -> ListChange {
        let change = self.targets.take_removal(name, outage_removal, now);
        self.note_ends(&change, now);
        change
    }

    /// What is known of the list of targets, and who watches it.
    #[must_use]
    pub fn list_share(&self) -> &ListShare {
        &self.list_share
    }

    /// Notes a list that was read and is true at `revision`; its targets changed last
    /// at `changed_at`.
    pub fn note_list(&mut self, revision: StoreRevision, changed_at: StoreRevision) {
        self.list_share.note_list(revision, changed_at);
    }

    /// Takes changes that the own watch brought. Returns what others are to be told, none where
    /// all of it was known: another entry has told it.
    pub fn take_watched(
        &mut self,
        watched: WatchedChanges,
        is_after_outage: bool,
        now: Tick,
    ) -> (ListChange, Option<ListNews>) {
        let WatchedChanges { changes, mark, known_at, .. } = watched;
        if changes.is_empty() {
            return (ListChange::default(), None);
        }
        let known = self.list_share.known();
        // Of two that come one after the other the earlier one is the safer beginning.
        let since = if known > watched.since { self.list_share.mark() } else { watched.since };
        let is_new = |revision: StoreRevision| revision > known || revision.number == 0;
        let is_told = |(revision, change): &&(StoreRevision, TargetChange)| {
            // Whether a removal names its own revision is for the store to say.
            is_new(*revision) || matches!(change, TargetChange::Removed(_))
        };
        let told = changes.iter().filter(is_told).map(|(_, change)| change.clone()).collect();
        let changes: Vec<_> = changes.into_iter().map(|(_, change)| change).collect();
        let change = self.take_changes(&changes, is_after_outage.then_some(known_at), now);
        self.list_share.note_watched(mark);
        let age_ms = to_age_ms(now.since(known_at));
        let news = (mark > known).then_some(ListNews { since, mark, age_ms, changes: told });
        (change, news)
    }

    /// Notes that others were told of all changes of the list up to a mark.
    pub fn note_list_announced(&mut self, mark: StoreRevision) {
        self.list_share.note_announced(mark);
    }

    /// Notes that the store has no changes of the list that are not known here, up to a
    /// revision.
    pub fn note_caught_up(&mut self, revision: StoreRevision) {
        self.list_share.note_caught_up(revision);
    }

    /// Takes changes that another entry tells. Whether the store was away is for each
    /// to say for itself: it may have turned away the other one only.
    pub fn take_list_news(
        &mut self,
        news: &ListNews,
        is_after_outage: bool,
        now: Tick,
    ) -> ListChange {
        match self.list_share.take_news(news, now) {
            NewsVerdict::Next => {
                let known_at = now - Duration::from_millis(news.age_ms.into());
                self.take_changes(&news.changes, is_after_outage.then_some(known_at), now)
            }
            NewsVerdict::Known | NewsVerdict::Gap => ListChange::default(),
        }
    }

    fn take_changes(
        &mut self,
        changes: &[TargetChange],
        outage_removal: Option<Tick>,
        now: Tick,
    ) -> ListChange {
        let mut all = ListChange::default();
        for change in changes {
            all.join(match change {
                TargetChange::Listed(record) => self.take_change(record.clone(), now),
                TargetChange::Removed(name) => self.take_removal(name, outage_removal, now),
            });
        }
        all
    }

    /// Decides from time to time whether this entry watches the list. Returns true
    /// where that changed.
    pub fn decide_watching(&mut self, now: Tick) -> bool {
        if self.list_share.begin(self.targets.iter().count(), rand::random(), now) {
            return true;
        }
        let engines = || self.targets.iter().filter(|target| target.model.is_some());
        let used = engines().filter(|target| target.is_used).count();
        let part = used as f64 / engines().count().max(1) as f64;
        let entries = self.fleet_entries().unwrap_or(1);
        self.list_share.decide(part, entries, rand::random(), now)
    }
}

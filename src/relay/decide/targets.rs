//! The targets that this process knows, and what it believes of each.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::engine_rates::EngineRates;
use super::pass_model::PassModel;
use crate::time::Tick;

/// How long a target that is missing after an outage of the list may still
/// come back. Live targets are listed again within two seconds; one that has
/// left must not be sent anything after two seconds, and a request needs some
/// time to get there.
const RETURN_SPAN: Duration = Duration::from_millis(1_600);

/// Time that a target is left alone after its first failure.
const FIRST_EJECTION: Duration = Duration::from_millis(400);

/// Longest time that a target is left alone.
const LONGEST_EJECTION: Duration = Duration::from_secs(4);

/// Time that a target is left alone whose agent says that it is down. It says so
/// again while that is true, so that two notes in a row may be lost.
const DOWN_SPAN: Duration = Duration::from_secs(1);

/// Time since bytes of a target for which it works, whatever its agent says: an
/// agent on a slow host may miss reports.
const ALIVE_SPAN: Duration = Duration::from_millis(400);

/// Time for which nobody listens at a target until it has ended.
const UNREACHABLE_SPAN: Duration = Duration::from_millis(50);

/// Failures in a row after which a target is left alone.
const TOLERATED_FAILURES: u32 = 2;

/// One life of a target, from its start to its end.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TargetLife {
    /// The name by which it is listed, which a target may keep when it starts again.
    #[serde(rename = "i")]
    pub incarnation: Arc<str>,
    /// When it started, in Unix milliseconds; zero where the platform does not say.
    #[serde(rename = "b")]
    pub born_ms: u64,
}

/// A target as the platform lists it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetRecord {
    /// Names the target. Another life has another name, or a later start.
    #[serde(rename = "i")]
    pub incarnation: Arc<str>,
    /// When this life started, in Unix milliseconds; zero where the platform does not say.
    #[serde(rename = "b", default)]
    pub born_ms: u64,
    /// The service it belongs to.
    #[serde(rename = "s")]
    pub service: Arc<str>,
    /// Where it listens.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// Its failure domain.
    #[serde(rename = "d")]
    pub failure_domain: Arc<str>,
    /// Requests it runs at the same time.
    #[serde(rename = "c")]
    pub capacity: usize,
    /// True where it takes nothing new.
    #[serde(rename = "l")]
    pub is_leaving: bool,
    /// When it was listed first, in a count that only grows.
    #[serde(rename = "t")]
    pub listed_at: u64,
}

impl TargetRecord {
    /// The life that it lists.
    #[must_use]
    pub fn to_life(&self) -> TargetLife {
        TargetLife { incarnation: self.incarnation.clone(), born_ms: self.born_ms }
    }
}

/// Why a target failed a request, as far as its health is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetFault {
    /// Nobody listens there.
    Unreachable,
    /// The connection broke.
    Broken,
    /// It did not answer in time.
    Silent,
    /// What it sent is not the answer.
    Garbled,
    /// It answered with an error of its own.
    Error,
    /// It refused for want of room.
    Full,
    /// Another life of the target has the address.
    Replaced,
}

/// What is known of one target.
#[derive(Debug)]
pub struct TargetState {
    /// Its entry in the list.
    pub record: TargetRecord,
    /// Its passes, none for a plain service.
    pub model: Option<PassModel>,
    /// Whether this process uses it: of a large fleet it uses a part.
    pub is_used: bool,
    /// Entries that its agent told last, zero where it told nothing.
    pub subscribers: usize,
    /// Requests of this process that it has.
    pub in_flight: usize,
    /// When it last sent anything.
    pub heard_at: Tick,
    /// When the oldest request since then was sent.
    pub waiting_since: Option<Tick>,
    /// Since when nobody has listened there.
    unreachable_since: Option<Tick>,
    failures: u32,
    ejections: u32,
    ejected_until: Tick,
    /// When it is removed, where it is missing in the list.
    gone_at: Option<Tick>,
    is_superseded: bool,
    /// Whether the configuration names its service.
    is_named: bool,
}

impl TargetState {
    fn new(record: TargetRecord, now: Tick) -> Self {
        TargetState {
            record,
            model: None,
            is_used: true,
            subscribers: 0,
            in_flight: 0,
            heard_at: now,
            waiting_since: None,
            unreachable_since: None,
            failures: 0,
            ejections: 0,
            ejected_until: Tick::default(),
            gone_at: None,
            is_superseded: false,
            is_named: true,
        }
    }

    /// Takes the rates of its engine. `observer` is this entry's incarnation.
    pub fn set_rates(&mut self, rates: &Rc<EngineRates>, observer: u64) {
        match &mut self.model {
            Some(model) => model.set_rates(rates),
            None => self.model = Some(PassModel::new(rates.clone(), observer)),
        }
    }

    /// Returns true where requests may be sent there.
    #[must_use]
    pub fn is_usable(&self) -> bool {
        !self.record.is_leaving && !self.is_superseded && self.is_named
    }

    /// The life that has ended with it, none where it had said that it would leave.
    fn to_ended(&self) -> Option<TargetLife> {
        (!self.record.is_leaving).then(|| self.record.to_life())
    }

    /// Returns true while it is left alone after failures.
    #[must_use]
    pub fn is_ejected(&self, now: Tick) -> bool {
        now < self.ejected_until
    }

    /// Notes a request sent there.
    pub fn note_sent(&mut self, now: Tick) {
        self.in_flight += 1;
        self.waiting_since.get_or_insert(now);
    }

    /// Notes that a request is no longer there.
    pub fn note_ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if self.in_flight == 0 {
            self.waiting_since = None;
        }
    }

    /// Notes bytes of an answer.
    pub fn note_heard(&mut self, now: Tick) {
        self.heard_at = now;
        self.unreachable_since = None;
        self.waiting_since = (self.in_flight > 0).then_some(now);
    }

    /// How long it has sent nothing while it should have.
    #[must_use]
    pub fn silence(&self, now: Tick) -> Duration {
        self.waiting_since.map_or(Duration::ZERO, |at| now.since(at))
    }

    /// Notes a request that it served.
    pub fn note_success(&mut self) {
        self.failures = 0;
        self.ejections = 0;
        self.ejected_until = Tick::default();
    }

    /// Notes that nobody listens there. Returns true where that has lasted: one that has
    /// too many connections turns some away as well.
    pub fn note_unreachable(&mut self, now: Tick) -> bool {
        let since = *self.unreachable_since.get_or_insert(now);
        now.since(since) >= UNREACHABLE_SPAN
    }

    /// Notes that the agent beside it says it is down.
    pub fn note_down(&mut self, now: Tick) {
        let was_heard = self.in_flight > 0 && now.since(self.heard_at) < ALIVE_SPAN;
        if !was_heard {
            self.ejected_until = self.ejected_until.max(now + DOWN_SPAN);
        }
    }

    /// Notes a failure. Returns the time for which it is left alone, if any.
    pub fn note_failure(&mut self, fault: TargetFault, now: Tick) -> Option<Duration> {
        match fault {
            TargetFault::Full => return None,
            TargetFault::Replaced => {
                self.record.is_leaving = true;
                return None;
            }
            TargetFault::Unreachable | TargetFault::Broken | TargetFault::Silent => {
                self.failures += TOLERATED_FAILURES;
            }
            TargetFault::Garbled | TargetFault::Error => self.failures += 1,
        }
        if self.failures < TOLERATED_FAILURES || self.is_ejected(now) {
            return None;
        }
        let span = FIRST_EJECTION.saturating_mul(1 << self.ejections.min(8)).min(LONGEST_EJECTION);
        self.ejections += 1;
        self.failures = 0;
        self.ejected_until = now + span;
        Some(span)
    }
}

/// All targets that are known.
#[derive(Debug, Default)]
pub struct TargetSet {
    /// In the order of their names, so that the same knowledge decides the same.
    targets: BTreeMap<Arc<str>, TargetState>,
    has_list: bool,
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
    pub fn usable<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a TargetState> {
        let targets = self.targets.values();
        targets.filter(move |target| &*target.record.service == service && target.is_usable())
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

    /// Takes a change of one target.
    pub fn take_change(&mut self, record: TargetRecord, now: Tick) -> ListChange {
        let mut change = ListChange::default();
        self.take_record(record, now, &mut change);
        self.mark_superseded(&mut change);
        change
    }

    /// Takes the removal of one target from the list. After an outage it may
    /// still come back for a while and is kept.
    pub fn take_removal(
        &mut self,
        incarnation: &str,
        is_after_outage: bool,
        now: Tick,
    ) -> ListChange {
        let mut change = ListChange::default();
        if let Some(target) = self.targets.get_mut(incarnation) {
            target.gone_at.get_or_insert(if is_after_outage { now + RETURN_SPAN } else { now });
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
            target.gone_at = None;
            // A target that said it is leaving does not come back.
            let is_leaving = record.is_leaving || target.record.is_leaving;
            target.record = TargetRecord { is_leaving, ..record };
            return;
        }
        // It knows nothing of what it was sent before, and is not leaving any more.
        match self.targets.insert(name.clone(), TargetState::new(record, now)) {
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
        let mut newest: HashMap<SocketAddr, u64> = HashMap::new();
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

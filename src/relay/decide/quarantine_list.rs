//! What is quarantined: for how long, and whether the store records it.
//!
//! The subject of a quarantine is a request, or parts that prompts have in common.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::request_digest::RequestDigest;
use super::targets::TargetInstance;
use crate::time::Tick;

/// Initial duration of a quarantine, doubled each time that the request crashes a target
/// afterwards. It is long compared with the repair of a target and short compared with a
/// working day.
const QUARANTINE_DURATION: Duration = Duration::from_secs(600);

/// Maximum number of times that the duration is doubled: it stays below a day.
const MAX_RENEWALS: u32 = 7;

/// Maximum number of subjects of a list; those that expire last are kept. Each takes 80
/// bytes in the store.
const MAX_QUARANTINED: usize = 64;

/// Minimum delay after which a process that learned of a quarantine from a peer writes it to
/// the store, in case the process that detected it has not.
const PEER_WRITE_DELAY: Duration = Duration::from_secs(1);

/// Time over which the writes of processes that learned of a quarantine are spread.
const PEER_WRITE_JITTER: Duration = Duration::from_secs(2);

/// Delay before a write that the store does not show is retried, doubled each time.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Maximum number of times that the retry delay is doubled: to eight seconds.
const MAX_RETRY_DOUBLINGS: u32 = 4;

/// A quarantine, as it is stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct QuarantineRecord<S = RequestDigest> {
    /// The request, or the parts of prompts.
    #[serde(rename = "digest")]
    pub subject: S,
    /// Start of the quarantine, in Unix milliseconds.
    pub since_ms: u64,
    /// Number of times that it was renewed after it had expired.
    pub renewals: u32,
    /// Whether it has been lifted before its end.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_lifted: bool,
}

impl<S> QuarantineRecord<S> {
    fn duration(&self) -> Duration {
        QUARANTINE_DURATION * (1 << self.renewals.min(MAX_RENEWALS))
    }

    /// Creates the record of a quarantine of which `left` is left at a Unix time; it is lifted if
    /// nothing is left.
    #[must_use]
    pub fn from_left(subject: S, renewals: u32, left: Duration, unix_ms: u64) -> Self {
        let is_lifted = left.is_zero();
        let record = QuarantineRecord { subject, since_ms: unix_ms, renewals, is_lifted };
        let age = record.duration().saturating_sub(left).as_millis() as u64;
        QuarantineRecord { since_ms: unix_ms.saturating_sub(age), ..record }
    }

    /// Returns the time left in quarantine at a Unix time.
    fn left_at(&self, unix_ms: u64) -> Duration {
        if self.is_lifted {
            return Duration::ZERO;
        }
        let age = Duration::from_millis(unix_ms.saturating_sub(self.since_ms));
        self.duration().saturating_sub(age)
    }

    /// Returns the order in which records of one subject replace one another.
    fn generation(&self) -> (u32, bool) {
        (self.renewals, self.is_lifted)
    }
}

/// Which process observed that a target crashed under a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashSource {
    /// This process, which sent the request.
    Local,
    /// Another process.
    Peer,
}

/// A subject that is quarantined, or was until recently.
#[derive(Debug)]
struct QuarantineState<S> {
    record: QuarantineRecord<S>,
    /// Start of the quarantine. `record` holds it only after the first write to the store.
    since: Tick,
    expires_at: Tick,
    /// The instances whose crashes are attributed to the subject.
    instances: Vec<TargetInstance>,
    /// Which process observed the last crash.
    source: CrashSource,
    /// Whether a target crashed under the subject after its quarantine had expired.
    is_renewed: bool,
    /// When to write it to the store; `None` once it is stored.
    write_at: Option<Tick>,
}

impl<S> QuarantineState<S> {
    fn new(record: QuarantineRecord<S>, instances: Vec<TargetInstance>, now: Tick) -> Self {
        QuarantineState {
            since: now,
            expires_at: now + record.duration(),
            record,
            instances,
            source: CrashSource::Peer,
            is_renewed: false,
            write_at: None,
        }
    }
}

/// The quarantined subjects, and those whose quarantine has expired recently.
#[derive(Debug)]
pub struct QuarantineList<S = RequestDigest> {
    states: BTreeMap<S, QuarantineState<S>>,
    /// Subjects that were quarantined since the last [`QuarantineList::take_quarantined`].
    added: Vec<S>,
    /// Random number from 0 to 1 that spreads the writes of processes that would write the
    /// same records.
    jitter: f64,
    /// Consecutive writes that the store did not show.
    failed_writes: u32,
}

impl<S> Default for QuarantineList<S> {
    fn default() -> Self {
        QuarantineList { states: BTreeMap::new(), added: Vec::new(), jitter: 0.0, failed_writes: 0 }
    }
}

impl<S: Clone + Ord> QuarantineList<S> {
    /// Creates an empty list.
    ///
    /// `jitter`, a random number from 0 to 1, spreads the writes of processes that learned of
    /// the same quarantine.
    #[must_use]
    pub fn new(jitter: f64) -> Self {
        QuarantineList { jitter, ..QuarantineList::default() }
    }

    /// Returns `true` if nothing is quarantined, or was until recently.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    /// Returns the time left in quarantine; `None` if the subject may be sent.
    #[must_use]
    pub fn quarantine_left(&self, subject: &S, now: Tick) -> Option<Duration> {
        let left = self.states.get(subject)?.expires_at.since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Returns the number of subjects that are quarantined at `now`.
    #[must_use]
    pub fn active_count(&self, now: Tick) -> usize {
        self.states.values().filter(|state| state.expires_at > now).count()
    }

    /// Returns all subjects that are not lifted, with the time left in quarantine. That is zero for
    /// those whose quarantine has expired.
    pub fn unlifted(&self, now: Tick) -> impl Iterator<Item = (&S, Duration)> {
        let unlifted = self.states.values().filter(|state| !state.record.is_lifted);
        unlifted.map(move |state| (&state.record.subject, state.expires_at.since(now)))
    }

    /// Returns the number of times that the quarantine of a subject was renewed; `None` if the list
    /// does not hold the subject.
    #[must_use]
    pub fn renewals_of(&self, subject: &S) -> Option<u32> {
        self.states.get(subject).map(|state| state.record.renewals)
    }

    /// Returns the instances that crashed under a subject; `None` if the list does not hold
    /// it.
    #[must_use]
    pub fn instances_of(&self, subject: &S) -> Option<&[TargetInstance]> {
        self.states.get(subject).map(|state| &*state.instances)
    }

    /// Returns `true` if the crash of an instance is attributed to a subject of the list.
    #[must_use]
    pub fn explains(&self, instance: &TargetInstance) -> bool {
        self.states.values().any(|state| state.instances.contains(instance))
    }

    /// Adds an instance that crashed under a subject of the list.
    ///
    /// Returns `false` if the instance is known already, or `max` instances are.
    pub fn add_instance(
        &mut self,
        subject: &S,
        instance: &TargetInstance,
        max: usize,
        source: CrashSource,
        now: Tick,
    ) -> bool {
        let Some(state) = self.states.get_mut(subject) else { return false };
        if state.instances.contains(instance) || state.instances.len() >= max {
            return false;
        }
        state.instances.push(instance.clone());
        state.source = source;
        state.is_renewed |= state.expires_at <= now;
        true
    }

    /// Quarantines a subject under which these instances crashed.
    pub fn quarantine(
        &mut self,
        subject: S,
        instances: Vec<TargetInstance>,
        source: CrashSource,
        now: Tick,
    ) {
        let renewals = self.renewals_of(&subject).map_or(0, |renewals| renewals + 1);
        self.insert(subject, renewals, instances, source, now);
    }

    /// Lifts the quarantine of a subject. Returns `false` if it was not quarantined.
    pub fn lift(&mut self, subject: &S, now: Tick) -> bool {
        let Some(state) = self.states.get_mut(subject) else { return false };
        if state.record.is_lifted {
            return false;
        }
        (state.record.is_lifted, state.expires_at, state.write_at) = (true, now, Some(now));
        true
    }

    /// Returns `true` if a record replaces what is known about its subject.
    #[must_use]
    pub fn is_newer(&self, record: &QuarantineRecord<S>) -> bool {
        let known = self.states.get(&record.subject);
        known.is_none_or(|state| state.record.generation() < record.generation())
    }

    /// Adopts a quarantine that another process announces, unless a newer one is known. It is
    /// written to the store if the other process does not.
    pub fn adopt(&mut self, record: QuarantineRecord<S>, unix_ms: u64, now: Tick) {
        let subject = record.subject.clone();
        let generation = record.generation();
        self.apply_record(record, unix_ms, now, &mut |_| Vec::new());
        let write_at = now + self.peer_write_delay();
        if let Some(state) = self.states.get_mut(&subject)
            && state.record.generation() == generation
        {
            state.write_at = Some(write_at);
        }
        self.bound();
    }

    /// Renews an expired quarantine. Returns the number of renewals; `None` if the subject is not
    /// in the list, is still quarantined, or is lifted.
    pub fn renew_expired(&mut self, subject: &S, now: Tick) -> Option<u32> {
        let state = self.states.get(subject)?;
        if state.record.is_lifted || state.expires_at > now {
            return None;
        }
        let renewals = state.record.renewals + 1;
        let instances = state.instances.clone();
        self.insert(subject.clone(), renewals, instances, CrashSource::Local, now);
        Some(renewals)
    }

    /// Quarantines again the subjects that crashed a target after their quarantine expired.
    pub fn renew(&mut self, now: Tick) {
        let renewed = self.states.values().filter(|state| state.is_renewed);
        let subjects: Vec<_> = renewed.map(|state| state.record.subject.clone()).collect();
        for subject in subjects {
            if let Some(state) = self.states.remove(&subject) {
                let renewals = state.record.renewals + 1;
                self.insert(subject, renewals, state.instances, state.source, now);
            }
        }
    }

    fn insert(
        &mut self,
        subject: S,
        renewals: u32,
        instances: Vec<TargetInstance>,
        source: CrashSource,
        now: Tick,
    ) {
        let delay = match source {
            CrashSource::Local => Duration::ZERO,
            CrashSource::Peer => self.peer_write_delay(),
        };
        // `due_records` sets the Unix time.
        let record =
            QuarantineRecord { subject: subject.clone(), since_ms: 0, renewals, is_lifted: false };
        let state = QuarantineState::new(record, instances, now);
        let state = QuarantineState { source, write_at: Some(now + delay), ..state };
        self.states.insert(subject.clone(), state);
        self.added.push(subject);
        self.bound();
    }

    /// Drains the subjects that were quarantined since the last call.
    pub fn take_quarantined(&mut self) -> Vec<S> {
        std::mem::take(&mut self.added)
    }

    /// Applies the records of the store, read at a Unix time.
    ///
    /// `instances_of` removes and returns the instances that are known to have crashed under a
    /// subject that was not in this list.
    pub fn apply_records(
        &mut self,
        records: &[QuarantineRecord<S>],
        unix_ms: u64,
        now: Tick,
        mut instances_of: impl FnMut(&S) -> Vec<TargetInstance>,
    ) {
        for record in records {
            self.apply_record(record.clone(), unix_ms, now, &mut instances_of);
        }
        let rewrite_at = now + self.peer_write_delay();
        let is_stored = |state: &QuarantineState<S>| {
            let mut stored = records.iter().filter(|record| record.subject == state.record.subject);
            stored.any(|record| record.generation() >= state.record.generation())
        };
        let is_relevant =
            |state: &QuarantineState<S>| state.expires_at > now || state.record.is_lifted;
        for state in self.states.values_mut().filter(|state| is_relevant(state)) {
            if !is_stored(state) {
                state.write_at.get_or_insert(rewrite_at);
            }
        }
        if self.write_due().is_none() {
            self.failed_writes = 0;
        }
        self.bound();
    }

    fn apply_record(
        &mut self,
        record: QuarantineRecord<S>,
        unix_ms: u64,
        now: Tick,
        instances_of: &mut impl FnMut(&S) -> Vec<TargetInstance>,
    ) {
        let known = self.states.get(&record.subject);
        if known.is_some_and(|state| state.record.generation() > record.generation()) {
            return;
        }
        let subject = record.subject.clone();
        if known.is_none() && !record.is_lifted {
            self.added.push(subject.clone());
        }
        let instances = self.states.remove(&subject).map(|state| state.instances);
        let instances = instances.unwrap_or_else(|| instances_of(&subject));
        let expires_at = now + record.left_at(unix_ms);
        let state = QuarantineState { expires_at, ..QuarantineState::new(record, instances, now) };
        self.states.insert(subject, state);
    }

    /// Returns when the next write to the store is due; `None` if the store has all records.
    #[must_use]
    pub fn write_due(&self) -> Option<Tick> {
        self.states.values().filter_map(|state| state.write_at).min()
    }

    /// Returns the records to write to the store, if a write is due.
    ///
    /// The write is retried later unless [`QuarantineList::apply_records`] shows that the
    /// records are stored.
    pub fn due_records(&mut self, unix_ms: u64, now: Tick) -> Option<Vec<QuarantineRecord<S>>> {
        self.write_due().filter(|due| *due <= now)?;
        self.expire(now);
        let delay = WRITE_RETRY_DELAY * (1 << self.failed_writes.min(MAX_RETRY_DOUBLINGS));
        self.failed_writes += 1;
        for state in self.states.values_mut() {
            state.write_at = state.write_at.map(|_| now + delay);
        }
        Some(self.records(unix_ms, now))
    }

    /// Returns the records of all subjects, at a Unix time.
    pub fn records(&mut self, unix_ms: u64, now: Tick) -> Vec<QuarantineRecord<S>> {
        for state in self.states.values_mut().filter(|state| state.record.since_ms == 0) {
            state.record.since_ms = unix_ms - now.since(state.since).as_millis() as u64;
        }
        self.states.values().map(|state| state.record.clone()).collect()
    }

    /// Removes subjects whose quarantine expired longer ago than it had lasted.
    pub fn expire(&mut self, now: Tick) {
        self.states.retain(|_, state| now.since(state.expires_at) <= state.record.duration());
    }

    /// Returns the delay after which this process writes a record that a peer should have
    /// written.
    fn peer_write_delay(&self) -> Duration {
        PEER_WRITE_DELAY + PEER_WRITE_JITTER.mul_f64(self.jitter)
    }

    fn bound(&mut self) {
        while self.states.len() > MAX_QUARANTINED {
            let first = self.states.iter().min_by_key(|(_, state)| state.expires_at);
            let Some(first) = first.map(|(subject, _)| subject.clone()) else { return };
            self.states.remove(&first);
        }
    }
}

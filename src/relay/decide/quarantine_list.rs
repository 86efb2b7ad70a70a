//! Quarantined requests: how long each is quarantined, and whether the store records it.

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

/// Maximum number of quarantined requests; those that expire last are kept. Each takes 80
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

/// A quarantined request, as it is stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineRecord {
    /// The request.
    pub digest: RequestDigest,
    /// Start of the quarantine, in Unix milliseconds.
    pub since_ms: u64,
    /// Number of times that the request crashed a target after its quarantine had expired.
    pub renewals: u32,
}

impl QuarantineRecord {
    fn duration(&self) -> Duration {
        QUARANTINE_DURATION * (1 << self.renewals.min(MAX_RENEWALS))
    }

    /// Returns the time left in quarantine at a Unix time.
    fn left_at(&self, unix_ms: u64) -> Duration {
        let age = Duration::from_millis(unix_ms.saturating_sub(self.since_ms));
        self.duration().saturating_sub(age)
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

/// A request that is quarantined, or was until recently.
#[derive(Debug)]
struct QuarantineState {
    record: QuarantineRecord,
    /// Start of the quarantine. `record` holds it only after the first write to the store.
    since: Tick,
    expires_at: Tick,
    /// The instances whose crashes are attributed to the request.
    instances: Vec<TargetInstance>,
    /// Which process observed the last crash.
    source: CrashSource,
    /// Whether a target crashed under the request after its quarantine had expired.
    is_renewed: bool,
    /// When to write it to the store; `None` once it is stored.
    write_at: Option<Tick>,
}

impl QuarantineState {
    fn new(record: QuarantineRecord, instances: Vec<TargetInstance>, now: Tick) -> Self {
        QuarantineState {
            record,
            since: now,
            expires_at: now + record.duration(),
            instances,
            source: CrashSource::Peer,
            is_renewed: false,
            write_at: None,
        }
    }
}

/// The quarantined requests, and those whose quarantine has expired recently.
#[derive(Debug, Default)]
pub struct QuarantineList {
    states: BTreeMap<RequestDigest, QuarantineState>,
    /// Requests that were quarantined since the last [`QuarantineList::take_quarantined`].
    added: Vec<RequestDigest>,
    /// Random number from 0 to 1 that spreads the writes of processes that would write the
    /// same records.
    jitter: f64,
    /// Consecutive writes that the store did not show.
    failed_writes: u32,
}

impl QuarantineList {
    /// Creates an empty list.
    ///
    /// `jitter`, a random number from 0 to 1, spreads the writes of processes that learned of
    /// the same quarantine.
    #[must_use]
    pub fn new(jitter: f64) -> Self {
        QuarantineList { jitter, ..QuarantineList::default() }
    }

    /// Returns `true` if no request is quarantined, or was until recently.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    /// Returns the time left in quarantine; `None` if the request may be sent.
    #[must_use]
    pub fn quarantine_left(&self, digest: &RequestDigest, now: Tick) -> Option<Duration> {
        let left = self.states.get(digest)?.expires_at.since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Returns the number of requests that are quarantined at `now`.
    #[must_use]
    pub fn active_count(&self, now: Tick) -> usize {
        self.states.values().filter(|state| state.expires_at > now).count()
    }

    /// Returns the instances that crashed under a request; `None` if the list does not hold
    /// the request.
    #[must_use]
    pub fn instances_of(&self, digest: &RequestDigest) -> Option<&[TargetInstance]> {
        self.states.get(digest).map(|state| &*state.instances)
    }

    /// Returns `true` if the crash of an instance is attributed to a request of the list.
    #[must_use]
    pub fn explains(&self, instance: &TargetInstance) -> bool {
        self.states.values().any(|state| state.instances.contains(instance))
    }

    /// Adds an instance that crashed under a request of the list.
    ///
    /// Returns `false` if the instance is known already, or `max` instances are.
    pub fn add_instance(
        &mut self,
        digest: &RequestDigest,
        instance: &TargetInstance,
        max: usize,
        source: CrashSource,
        now: Tick,
    ) -> bool {
        let Some(state) = self.states.get_mut(digest) else { return false };
        if state.instances.contains(instance) || state.instances.len() >= max {
            return false;
        }
        state.instances.push(instance.clone());
        state.source = source;
        state.is_renewed |= state.expires_at <= now;
        true
    }

    /// Quarantines a request under which these instances crashed.
    pub fn quarantine(
        &mut self,
        digest: RequestDigest,
        instances: Vec<TargetInstance>,
        source: CrashSource,
        now: Tick,
    ) {
        self.insert(digest, 0, instances, source, now);
    }

    /// Quarantines again the requests that crashed a target after their quarantine expired.
    pub fn renew(&mut self, now: Tick) {
        let renewed = self.states.values().filter(|state| state.is_renewed);
        let digests: Vec<_> = renewed.map(|state| state.record.digest).collect();
        for digest in digests {
            if let Some(state) = self.states.remove(&digest) {
                let renewals = state.record.renewals + 1;
                self.insert(digest, renewals, state.instances, state.source, now);
            }
        }
    }

    fn insert(
        &mut self,
        digest: RequestDigest,
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
        let record = QuarantineRecord { digest, since_ms: 0, renewals };
        let state = QuarantineState::new(record, instances, now);
        self.states
            .insert(digest, QuarantineState { source, write_at: Some(now + delay), ..state });
        self.added.push(digest);
        self.bound();
    }

    /// Drains the requests that were quarantined since the last call.
    pub fn take_quarantined(&mut self) -> Vec<RequestDigest> {
        std::mem::take(&mut self.added)
    }

    /// Applies the records of the store, read at a Unix time.
    ///
    /// `instances_of` removes and returns the instances that are known to have crashed under a
    /// request that was not in this list.
    pub fn apply_records(
        &mut self,
        records: &[QuarantineRecord],
        unix_ms: u64,
        now: Tick,
        mut instances_of: impl FnMut(&RequestDigest) -> Vec<TargetInstance>,
    ) {
        for record in records {
            self.apply_record(*record, unix_ms, now, &mut instances_of);
        }
        let rewrite_at = now + self.peer_write_delay();
        let is_stored = |state: &QuarantineState| {
            let mut stored = records.iter().filter(|record| record.digest == state.record.digest);
            stored.any(|record| record.renewals >= state.record.renewals)
        };
        for state in self.states.values_mut().filter(|state| state.expires_at > now) {
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
        record: QuarantineRecord,
        unix_ms: u64,
        now: Tick,
        instances_of: &mut impl FnMut(&RequestDigest) -> Vec<TargetInstance>,
    ) {
        let known = self.states.get(&record.digest);
        if known.is_some_and(|state| state.record.renewals > record.renewals) {
            return;
        }
        if known.is_none() {
            self.added.push(record.digest);
        }
        let instances = self.states.remove(&record.digest).map(|state| state.instances);
        let instances = instances.unwrap_or_else(|| instances_of(&record.digest));
        let expires_at = now + record.left_at(unix_ms);
        let state = QuarantineState { expires_at, ..QuarantineState::new(record, instances, now) };
        self.states.insert(record.digest, state);
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
    pub fn due_records(&mut self, unix_ms: u64, now: Tick) -> Option<Vec<QuarantineRecord>> {
        self.write_due().filter(|due| *due <= now)?;
        self.expire(now);
        let delay = WRITE_RETRY_DELAY * (1 << self.failed_writes.min(MAX_RETRY_DOUBLINGS));
        self.failed_writes += 1;
        for state in self.states.values_mut() {
            if state.record.since_ms == 0 {
                state.record.since_ms = unix_ms - now.since(state.since).as_millis() as u64;
            }
            state.write_at = state.write_at.map(|_| now + delay);
        }
        Some(self.states.values().map(|state| state.record).collect())
    }

    /// Removes requests whose quarantine expired longer ago than it had lasted.
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
            let Some(first) = first.map(|(digest, _)| *digest) else { return };
            self.states.remove(&first);
        }
    }
}

//! Quarantines requests that crash the targets which run them.
//!
//! This guards against a request that crashes each engine that begins it, while its caller
//! resends it again and again to any entry. If every entry treats each submission as a new
//! request, one such request crashes 48 engines, and the work in progress there is lost.
//!
//! A target that crashes runs other requests too, and nothing shows which of them was the
//! cause. So a request is quarantined only if three target instances crashed under it and no
//! other request explains these crashes better: neither one that is quarantined already nor
//! another suspect that ran in all of the same instances. A bystander that is resent is
//! placed away from other suspects, and is cleared by its first answer.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::crash_tracker::CrashTracker;
use super::part_ledger::{PartLedger, PartRecord};
use super::quarantine_list::{CrashSource, QuarantineList, QuarantineRecord};
use super::request_digest::RequestDigest;
use super::targets::TargetInstance;
use crate::time::Tick;

/// Number of crashes at which a request is quarantined: a bystander shares one crash with
/// the cause, and a second one by chance.
const MIN_CRASHES: usize = 3;

/// Number of crashes at which a request is quarantined even if another suspect ran in all of
/// the same instances.
const MIN_SHARED_CRASHES: usize = 5;

/// Number of crashes at which a request is reported to all entries and placed away from other
/// suspects.
const MIN_REPORTED_CRASHES: usize = 2;

/// Maximum time for which an attempt that crashes its target receives events. A request
/// that causes a crash does so soon after it begins, within 0.11 s in the observed cases;
/// an attempt that ran for longer than this was not the cause.
const MAX_TIME_TO_CRASH: Duration = Duration::from_secs(2);

/// Time after which a suspect is forgotten if no further target crashes under it.
const SUSPECT_TTL: Duration = Duration::from_secs(600);

/// Maximum number of suspects; the newest are kept. It suffices for 16 requests at each of 64
/// targets.
const MAX_SUSPECTS: usize = 1_024;

/// Maximum number of crashed instances to remember for a request.
const MAX_INSTANCES: usize = 8;

/// Time after a crash within which all processes report the requests that ran there: one
/// report of an agent, plus a few round trips.
pub(super) const JOIN_WINDOW: Duration = Duration::from_millis(100);

/// Maximum number of suspects reported to a process that starts: a few kilobytes.
const MAX_REPORTS: usize = 32;

/// The target instances that crashed under a request, as exchanged between processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// The request.
    #[serde(rename = "d")]
    pub digest: RequestDigest,
    /// The instances.
    #[serde(rename = "l")]
    pub instances: Vec<TargetInstance>,
}

/// All quarantines, as the store holds them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QuarantineRecords {
    /// Requests.
    pub requests: Vec<QuarantineRecord>,
    /// Parts of prompts.
    pub parts: Vec<PartRecord>,
}

/// A request under which targets crashed.
#[derive(Debug)]
struct SuspectState {
    instances: Vec<TargetInstance>,
    recorded_at: Tick,
    /// Which process observed the last crash.
    source: CrashSource,
}

/// What this process knows about requests that crash targets.
#[derive(Debug, Default)]
pub struct QuarantineLedger {
    tracker: CrashTracker<RequestDigest>,
    suspects: HashMap<RequestDigest, SuspectState>,
    quarantined: QuarantineList,
    /// Number of open attempts of suspects, by target instance.
    open_attempts: HashMap<TargetInstance, usize>,
    /// When the crashes recorded so far are next evaluated.
    decide_at: Option<Tick>,
    /// Parts of prompts that crash engines, whatever else a request holds.
    pub parts: PartLedger,
}

impl QuarantineLedger {
    /// Creates an empty ledger of an entry.
    ///
    /// `jitter`, a random number from 0 to 1, spreads the writes of processes that learned of
    /// the same quarantine.
    #[must_use]
    pub fn new(entry: u64, jitter: f64) -> Self {
        QuarantineLedger {
            quarantined: QuarantineList::new(jitter),
            parts: PartLedger::new(entry, jitter),
            ..QuarantineLedger::default()
        }
    }

    /// Returns the quarantined requests.
    #[must_use]
    pub fn quarantined(&self) -> &QuarantineList {
        &self.quarantined
    }

    /// Records that the connection of an attempt broke after it had received events for
    /// `streamed_for`.
    ///
    /// Returns the report to send to other processes, if its target is known to have crashed.
    pub fn record_broken(
        &mut self,
        digest: RequestDigest,
        instance: &TargetInstance,
        streamed_for: Duration,
        now: Tick,
    ) -> Option<SuspectReport> {
        if streamed_for >= MAX_TIME_TO_CRASH {
            return None;
        }
        let crashed = self.tracker.record_broken(digest, instance, now);
        crashed.and_then(|digest| self.record_crash_under(digest, instance, now))
    }

    /// Records that a target instance ended without announcing its shutdown.
    ///
    /// Returns the reports to send to other processes about the requests that it ran.
    pub fn record_crash(&mut self, instance: &TargetInstance, now: Tick) -> Vec<SuspectReport> {
        self.parts.record_crash(instance, now);
        let digests = self.tracker.record_crash(instance, now);
        digests
            .into_iter()
            .filter_map(|digest| self.record_crash_under(digest, instance, now))
            .collect()
    }

    /// Returns `true` if the instance is known to have crashed recently.
    #[must_use]
    pub fn has_crashed(&self, instance: &TargetInstance) -> bool {
        self.tracker.has_crashed(instance)
    }

    /// Returns when the crash of an instance was confirmed, if it crashed recently.
    #[must_use]
    pub fn crashed_at(&self, instance: &TargetInstance) -> Option<Tick> {
        self.tracker.crashed_at(instance)
    }

    /// Applies a report of another process.
    pub fn apply_report(&mut self, report: &SuspectReport, now: Tick) {
        for instance in report.instances.iter().take(MAX_INSTANCES) {
            self.add_instance(report.digest, instance, CrashSource::Peer, now);
        }
    }

    /// Records that a target answered a request, which shows that the request does not crash
    /// targets.
    ///
    /// Returns `true` if the request was a suspect, so that other processes must be informed.
    pub fn record_served(&mut self, digest: &RequestDigest) -> bool {
        self.tracker.retain(|known| known != digest);
        self.suspects.remove(digest).is_some()
    }

    /// Returns `true` if at least two targets crashed under a request. A request under which a
    /// single one crashed is most likely a bystander, and is placed like any other.
    #[must_use]
    pub fn is_suspect(&self, digest: &RequestDigest) -> bool {
        self.suspects.get(digest).is_some_and(|state| state.instances.len() >= MIN_REPORTED_CRASHES)
    }

    /// Returns `true` if no request and no part is suspected or quarantined.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        !self.has_requests() && self.parts.is_empty()
    }

    /// Returns `true` if any request is suspected or quarantined.
    #[must_use]
    pub fn has_requests(&self) -> bool {
        let is_empty =
            self.suspects.is_empty() && self.tracker.is_empty() && self.quarantined.is_empty();
        !is_empty
    }

    /// Records that an attempt of a suspect was sent to a target.
    pub fn record_sent(&mut self, instance: &TargetInstance) {
        *self.open_attempts.entry(instance.clone()).or_default() += 1;
    }

    /// Records that an attempt of a suspect at a target is over.
    pub fn record_finished(&mut self, instance: &TargetInstance) {
        if let Some(count) = self.open_attempts.get_mut(instance) {
            *count -= 1;
            if *count == 0 {
                self.open_attempts.remove(instance);
            }
        }
    }

    /// Returns the targets that run an attempt of a suspect.
    pub fn suspect_targets(&self) -> impl Iterator<Item = &TargetInstance> {
        self.open_attempts.keys()
    }

    /// Quarantines the requests that are found to be the cause of crashes.
    ///
    /// A crash is evaluated `JOIN_WINDOW` after it, when all processes have reported the
    /// requests that ran there.
    pub fn decide(&mut self, now: Tick) {
        if self.parts.decide(now) {
            self.lift_explained(now);
        }
        if self.decide_at.is_none_or(|at| at > now) {
            return;
        }
        let is_joined = |state: &SuspectState| now.since(state.recorded_at) >= JOIN_WINDOW;
        let open = self.suspects.values().filter(|state| !is_joined(state));
        self.decide_at = open.map(|state| state.recorded_at + JOIN_WINDOW).min();
        // The suspect with the most crashes comes first, as it may explain those of others.
        let joined = self.suspects.iter().filter(|(_, state)| is_joined(state));
        let mut order: Vec<_> =
            joined.map(|(digest, state)| (Reverse(state.instances.len()), *digest)).collect();
        order.sort_unstable();
        for (_, digest) in order {
            if self.is_cause(&digest)
                && let Some(state) = self.suspects.remove(&digest)
            {
                self.quarantined.quarantine(digest, state.instances, state.source, now);
            }
        }
        self.quarantined.renew(now);
    }

    /// Lifts the quarantine of requests that ran in no other crashes than those that parts explain.
    fn lift_explained(&mut self, now: Tick) {
        let subjects: Vec<_> = self.quarantined.unlifted(now).map(|(digest, _)| *digest).collect();
        for digest in subjects {
            let instances = self.quarantined.instances_of(&digest).unwrap_or_default();
            let is_explained = !instances.is_empty()
                && instances.iter().all(|instance| self.parts.explains(instance));
            if is_explained {
                self.quarantined.lift(&digest, now);
            }
        }
    }

    /// Drains the requests that were quarantined since the last call.
    pub fn take_quarantined(&mut self) -> Vec<RequestDigest> {
        self.quarantined.take_quarantined()
    }

    /// Applies the records of the store about requests, read at a Unix time.
    pub fn apply_records(&mut self, records: &[QuarantineRecord], unix_ms: u64, now: Tick) {
        let suspects = &mut self.suspects;
        let instances_of = |digest: &RequestDigest| {
            suspects.remove(digest).map(|state| state.instances).unwrap_or_default()
        };
        self.quarantined.apply_records(records, unix_ms, now, instances_of);
    }

    /// Returns the records about requests to write to the store, if a write is due.
    pub fn due_records(&mut self, unix_ms: u64, now: Tick) -> Option<Vec<QuarantineRecord>> {
        self.quarantined.due_records(unix_ms, now)
    }

    /// Returns all records to write to the store, if a write is due.
    pub fn due_writes(&mut self, unix_ms: u64, now: Tick) -> Option<QuarantineRecords> {
        let requests = self.quarantined.due_records(unix_ms, now);
        let parts = self.parts.due_records(unix_ms, now);
        if requests.is_none() && parts.is_none() {
            return None;
        }
        let requests = requests.unwrap_or_else(|| self.quarantined.records(unix_ms, now));
        let parts = parts.unwrap_or_else(|| self.parts.records(unix_ms, now));
        Some(QuarantineRecords { requests, parts })
    }

    /// Returns when the next write to the store is due; `None` if the store has all records.
    #[must_use]
    pub fn write_due(&self) -> Option<Tick> {
        let parts = self.parts.quarantined().write_due();
        self.quarantined.write_due().into_iter().chain(parts).min()
    }

    /// Returns what is known about a request; `None` if no target crashed under it.
    #[must_use]
    pub fn report_on(&self, digest: RequestDigest) -> Option<SuspectReport> {
        let suspected = self.suspects.get(&digest).map(|state| &*state.instances);
        let instances = suspected.or_else(|| self.quarantined.instances_of(&digest))?;
        Some(SuspectReport { digest, instances: instances.to_vec() })
    }

    /// Returns the report about a request that all processes receive; `None` if too little is
    /// known. One crash is no evidence against any of the requests that ran there.
    #[must_use]
    pub fn shareable_report(&self, digest: RequestDigest) -> Option<SuspectReport> {
        self.report_on(digest).filter(|report| report.instances.len() >= MIN_REPORTED_CRASHES)
    }

    /// Returns the reports for a process that has just started, on the newest suspects.
    #[must_use]
    pub fn to_reports(&self) -> Vec<SuspectReport> {
        let mut suspects: Vec<_> = self.suspects.iter().collect();
        suspects.sort_by_key(|(digest, state)| (Reverse(state.recorded_at), **digest));
        let reports = suspects.into_iter().filter_map(|(digest, _)| self.shareable_report(*digest));
        reports.take(MAX_REPORTS).collect()
    }

    /// Records the crash of a target under a request that this process sent.
    fn record_crash_under(
        &mut self,
        digest: RequestDigest,
        instance: &TargetInstance,
        now: Tick,
    ) -> Option<SuspectReport> {
        let is_new = self.add_instance(digest, instance, CrashSource::Local, now);
        is_new.then(|| self.report_on(digest)).flatten()
    }

    /// Adds an instance that crashed under a request.
    ///
    /// Returns `false` if it is known already, or [`MAX_INSTANCES`] of the request are.
    fn add_instance(
        &mut self,
        digest: RequestDigest,
        instance: &TargetInstance,
        source: CrashSource,
        now: Tick,
    ) -> bool {
        self.expire(now);
        let is_new = if self.quarantined.instances_of(&digest).is_some() {
            self.quarantined.add_instance(&digest, instance, MAX_INSTANCES, source, now)
        } else {
            self.add_suspect_instance(digest, instance, source, now)
        };
        if is_new {
            self.decide_at.get_or_insert(now + JOIN_WINDOW);
        }
        is_new
    }

    fn add_suspect_instance(
        &mut self,
        digest: RequestDigest,
        instance: &TargetInstance,
        source: CrashSource,
        now: Tick,
    ) -> bool {
        let state = self.suspects.entry(digest).or_insert_with(|| SuspectState {
            instances: Vec::new(),
            recorded_at: now,
            source,
        });
        if state.instances.contains(instance) || state.instances.len() >= MAX_INSTANCES {
            return false;
        }
        state.instances.push(instance.clone());
        (state.recorded_at, state.source) = (now, source);
        self.bound_suspects();
        true
    }

    /// Returns `true` if a suspect is the best explanation of the crashes under it.
    fn is_cause(&self, digest: &RequestDigest) -> bool {
        let Some(state) = self.suspects.get(digest) else { return false };
        let unexplained: Vec<_> = state
            .instances
            .iter()
            .filter(|instance| !self.quarantined.explains(instance))
            .filter(|instance| !self.parts.explains(instance))
            .collect();
        // A part whose guilt is not shown does not let its requests go on for ever.
        if unexplained.len() < MIN_SHARED_CRASHES && self.parts.outranks(&unexplained) {
            return false;
        }
        let is_shared = || {
            let mut others = self.suspects.iter().filter(|(other, _)| *other != digest);
            others.any(|(_, other)| {
                unexplained.iter().all(|instance| other.instances.contains(instance))
            })
        };
        unexplained.len() >= MIN_SHARED_CRASHES
            || (unexplained.len() >= MIN_CRASHES && !is_shared())
    }

    fn bound_suspects(&mut self) {
        while self.suspects.len() > MAX_SUSPECTS {
            let oldest =
                self.suspects.iter().min_by_key(|(digest, state)| (state.recorded_at, **digest));
            let Some(oldest) = oldest.map(|(digest, _)| *digest) else { return };
            self.suspects.remove(&oldest);
        }
    }

    /// Removes outdated suspects and quarantines.
    fn expire(&mut self, now: Tick) {
        self.suspects.retain(|_, state| now.since(state.recorded_at) <= SUSPECT_TTL);
        self.quarantined.expire(now);
    }
}

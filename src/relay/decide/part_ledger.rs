//! Quarantines parts of prompts that crash engines, and admits requests with them again.
//!
//! The evidence is in [`part_evidence`](super::part_evidence). A part is quarantined for ten
//! minutes. After that, one entry renews the quarantine in the store for twice as long; the
//! conditional write succeeds at one entry only, and that entry sends a single request with the
//! part, as a probe. If it is served, the quarantine is lifted everywhere.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use super::crash_tracker::CrashTracker;
use super::part_evidence::{CrashBatches, PartCrash, PartEvidence, PartSet, find_causes};
use super::part_message::{PartCrashReport, PartMessage, PartNotice, PartServedReport};
use super::part_probe::ProbeTable;
use super::prompt_part::PromptPart;
use super::quarantine::JOIN_WINDOW;
use super::quarantine_list::{CrashSource, QuarantineList, QuarantineRecord};
use super::request_digest::RequestDigest;
use super::targets::TargetInstance;
use crate::time::Tick;

/// Time for which an attempt receives events after which it did not crash its engine. An engine
/// that crashes under a part does so when it begins to answer.
pub const MAX_TIME_TO_CRASH: Duration = Duration::from_millis(400);

/// Time after which the evidence on a part is forgotten if no further engine crashes under it.
const EVIDENCE_TTL: Duration = Duration::from_secs(600);

/// Maximum number of parts with evidence; those with the newest crashes are kept.
const MAX_SUSPECTS: usize = 1_024;

/// Time before a crash in which served requests show how common a part is.
const PREVALENCE_WINDOW: Duration = Duration::from_secs(60);

/// Maximum number of served requests to remember for that.
const MAX_SERVED: usize = 512;

/// Number of crashes under a part at which entries report how common it is.
const MIN_REPORTED_CRASHES: usize = 2;

/// Maximum number of crashed engines whose requests are remembered.
const MAX_BATCHES: usize = 512;

/// Maximum number of parts in a report, so that it fits into a datagram.
const MAX_REPORTED_PARTS: usize = 8;

/// Time after which a request with a part whose quarantine has expired may be sent again.
const PROBE_DELAY: Duration = Duration::from_secs(1);

/// A quarantined set of parts, as it is stored.
pub type PartRecord = QuarantineRecord<PartSet>;

/// An attempt with shared parts whose connection broke.
#[derive(Clone, Debug, PartialEq)]
pub struct PartAttempt {
    /// The request.
    pub digest: RequestDigest,
    /// The shared parts of its prompt.
    pub parts: PartSet,
    /// When it was sent.
    pub sent_at: Tick,
    /// When its connection broke.
    pub broke_at: Tick,
}

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartVerdict {
    /// None of its parts is quarantined.
    Open,
    /// The request is the probe of a part: it alone may be sent.
    Probe,
    /// Its parts are quarantined for this time.
    Quarantined(Duration),
}

/// A part under which engines crashed.
#[derive(Debug)]
struct SuspectState {
    evidence: PartEvidence,
    /// Number of requests that this process had served shortly before the first crash.
    served_from: u64,
}

impl SuspectState {
    fn update_total(&mut self, served_total: u64) {
        let total = served_total - self.served_from;
        self.evidence.set_total(u32::try_from(total).unwrap_or(u32::MAX));
    }
}

/// What this process knows about parts of prompts that crash engines.
#[derive(Debug, Default)]
pub struct PartLedger {
    entry: u64,
    /// Whether this process receives what other entries report.
    is_informed: bool,
    tracker: CrashTracker<PartAttempt>,
    suspects: BTreeMap<PromptPart, SuspectState>,
    /// Number of requests with shared parts that this process has served.
    served_total: u64,
    batches: CrashBatches,
    /// Shared parts of the requests that were served lately.
    served: VecDeque<(PartSet, Tick)>,
    quarantined: QuarantineList<PartSet>,
    probes: ProbeTable,
    outbox: Vec<PartMessage>,
    /// When the crashes recorded so far are next evaluated.
    decide_at: Option<Tick>,
}

/// Returns `true` if sorted parts include all parts of a set.
fn has_all(parts: &[PromptPart], set: &PartSet) -> bool {
    set.iter().all(|part| parts.binary_search(part).is_ok())
}

fn to_ms(tick: Tick) -> i64 {
    (tick.0 / 1_000) as i64
}

impl PartLedger {
    /// Creates an empty ledger of an entry.
    ///
    /// `jitter`, a random number from 0 to 1, spreads the writes of processes that learned of the
    /// same quarantine.
    #[must_use]
    pub fn new(entry: u64, jitter: f64) -> Self {
        PartLedger { entry, quarantined: QuarantineList::new(jitter), ..PartLedger::default() }
    }

    /// Sets whether this process receives what other entries report. One that does not sees too few
    /// requests to judge their parts, and leaves that to the others.
    pub fn set_informed(&mut self, is_informed: bool) {
        self.is_informed = is_informed;
    }

    /// Returns `true` if no part is suspected or quarantined.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty() && self.tracker.is_empty() && self.quarantined.is_empty()
    }

    /// Returns the quarantined parts.
    #[must_use]
    pub fn quarantined(&self) -> &QuarantineList<PartSet> {
        &self.quarantined
    }

    /// Returns the number of parts that are suspected.
    #[must_use]
    pub fn suspect_count(&self) -> usize {
        self.suspects.len()
    }

    /// Records that the connection of an attempt broke after it had received events for
    /// `streamed_for`.
    pub fn record_broken(
        &mut self,
        attempt: PartAttempt,
        instance: &TargetInstance,
        streamed_for: Duration,
        now: Tick,
    ) {
        if attempt.parts.is_empty() || streamed_for >= MAX_TIME_TO_CRASH {
            return;
        }
        if let Some(attempt) = self.tracker.record_broken(attempt, instance, now) {
            self.record_crash_under(&attempt, instance, now);
        }
    }

    /// Records that an engine ended without announcing its shutdown.
    pub fn record_crash(&mut self, instance: &TargetInstance, now: Tick) {
        for attempt in self.tracker.record_crash(instance, now) {
            self.record_crash_under(&attempt, instance, now);
        }
    }

    fn record_crash_under(&mut self, attempt: &PartAttempt, instance: &TargetInstance, now: Tick) {
        let ago = |tick: Tick| u32::try_from(now.since(tick).as_millis()).unwrap_or(u32::MAX);
        for parts in attempt.parts.chunks(MAX_REPORTED_PARTS) {
            let report = PartCrashReport {
                instance: instance.clone(),
                digest: attempt.digest,
                parts: parts.to_vec(),
                sent_ago_ms: ago(attempt.sent_at),
                broke_ago_ms: ago(attempt.broke_at),
            };
            self.apply_crash(&report, now);
            self.outbox.push(PartMessage::Crashed(report));
        }
    }

    /// Applies the report of a crash.
    pub fn apply_crash(&mut self, report: &PartCrashReport, now: Tick) {
        self.expire(now);
        // All reports on a crash count from the first one, so that no part is judged before others
        // that were there.
        let known = self.suspects.values().flat_map(|suspect| suspect.evidence.crashes());
        let known = known.filter(|crash| crash.instance == report.instance);
        let recorded_at = known.map(|crash| crash.recorded_at).min().unwrap_or(now);
        let broke_ms = to_ms(now) - i64::from(report.broke_ago_ms);
        self.batches.add(&report.instance, report.digest, broke_ms);
        for part in report.parts.iter().take(MAX_REPORTED_PARTS) {
            let crash = PartCrash {
                instance: report.instance.clone(),
                digest: report.digest,
                sent_ms: to_ms(now) - i64::from(report.sent_ago_ms),
                broke_ms,
                recorded_at,
            };
            if !self.suspects.contains_key(part) {
                self.add_suspect(part, now);
            }
            let Some(suspect) = self.suspects.get_mut(part) else { continue };
            suspect.update_total(self.served_total);
            let evidence = &mut suspect.evidence;
            if !evidence.add_crash(crash) {
                continue;
            }
            self.decide_at.get_or_insert(recorded_at + JOIN_WINDOW);
            if evidence.crash_count() == MIN_REPORTED_CRASHES {
                let (reporter, served) = (self.entry, evidence.own_served());
                let report = PartServedReport { part: part.clone(), reporter, served };
                self.outbox.push(PartMessage::Served(report));
            }
        }
        while self.suspects.len() > MAX_SUSPECTS {
            let oldest =
                self.suspects.iter().min_by_key(|(_, suspect)| suspect.evidence.recorded_at());
            let Some(oldest) = oldest.map(|(part, _)| part.clone()) else { return };
            self.suspects.remove(&oldest);
        }
    }

    /// Adds a part that is suspected from now on.
    fn add_suspect(&mut self, part: &PromptPart, now: Tick) {
        let is_recent = |(_, at): &&(PartSet, Tick)| now.since(*at) <= PREVALENCE_WINDOW;
        let recent = self.served.iter().filter(is_recent);
        let has_part = |(parts, _): &&(PartSet, Tick)| parts.binary_search(part).is_ok();
        let before = recent.clone().filter(has_part).count() as u32;
        let suspect = SuspectState {
            evidence: PartEvidence::new(before),
            served_from: self.served_total - recent.count() as u64,
        };
        self.suspects.insert(part.clone(), suspect);
    }

    /// Records that an engine served an attempt: its answer is complete, or it received events for
    /// [`MAX_TIME_TO_CRASH`].
    pub fn record_served(&mut self, parts: &PartSet, sent_at: Tick, now: Tick) {
        if parts.is_empty() {
            return;
        }
        self.served.push_back((parts.clone(), now));
        if self.served.len() > MAX_SERVED {
            self.served.pop_front();
        }
        self.served_total += 1;
        for part in parts.iter() {
            let Some(suspect) = self.suspects.get_mut(part) else { continue };
            suspect.update_total(self.served_total);
            let evidence = &mut suspect.evidence;
            if let Some(served) = evidence.record_served(to_ms(sent_at)) {
                let report = PartServedReport { part: part.clone(), reporter: self.entry, served };
                self.outbox.push(PartMessage::Served(report));
            }
            if evidence.is_cleared(&self.batches) {
                self.suspects.remove(part);
                self.outbox.push(PartMessage::Cleared(part.clone()));
            }
        }
        self.lift_probed(parts, now);
    }

    /// Applies the report of served requests.
    pub fn apply_served(&mut self, report: &PartServedReport) {
        if report.reporter != self.entry
            && let Some(suspect) = self.suspects.get_mut(&report.part)
        {
            let evidence = &mut suspect.evidence;
            evidence.apply_served(report.reporter, report.served);
            if evidence.is_cleared(&self.batches) {
                // The agents have to forget their sums, or they would compare those of the next
                // episode with them.
                self.suspects.remove(&report.part);
                self.outbox.push(PartMessage::Cleared(report.part.clone()));
            }
        }
    }

    /// Applies the report that a part is not a cause.
    pub fn apply_cleared(&mut self, part: &PromptPart) {
        self.suspects.remove(part);
    }

    /// Applies a quarantine that another process announces.
    pub fn apply_notice(&mut self, notice: &PartNotice, unix_ms: u64, now: Tick) {
        let left = Duration::from_millis(notice.left_ms);
        let record = PartRecord::from_left(notice.parts.clone(), notice.renewals, left, unix_ms);
        if !self.quarantined.is_newer(&record) {
            return;
        }
        self.forget_lifted(&record);
        self.quarantined.adopt(record, unix_ms, now);
        self.probes.remove(&notice.parts);
        // Each entry passes on what is new to it, as no agent reaches all entries.
        self.outbox.push(PartMessage::Quarantined(notice.clone()));
    }

    /// Returns whether a request with these shared parts may be sent.
    pub fn verdict(&mut self, parts: &[PromptPart], now: Tick) -> PartVerdict {
        let matching = self.quarantined.unlifted(now).filter(|(set, _)| has_all(parts, set));
        let matching: Vec<_> = matching.map(|(set, left)| (set.clone(), left)).collect();
        let mut verdict = PartVerdict::Open;
        for (set, left) in matching {
            if self.probes.is_granted(&set) {
                verdict = PartVerdict::Probe;
            } else if left.is_zero() {
                self.claim_probe(set, now);
                return PartVerdict::Quarantined(PROBE_DELAY);
            } else {
                return PartVerdict::Quarantined(left);
            }
        }
        verdict
    }

    /// Records that the probe of these parts was sent.
    pub fn record_probe(&mut self, parts: &[PromptPart]) {
        self.probes.record_sent(|set| has_all(parts, set));
    }

    /// Renews an expired quarantine. The entry whose write succeeds may send a probe.
    fn claim_probe(&mut self, set: PartSet, now: Tick) {
        if let Some(renewals) = self.quarantined.renew_expired(&set, now) {
            self.probes.claim(set, renewals);
        }
    }

    fn lift_probed(&mut self, parts: &[PromptPart], now: Tick) {
        for set in self.probes.sent(|set| has_all(parts, set)) {
            self.lift(&set, now);
        }
    }

    /// Lifts the quarantine of parts everywhere. Returns `false` if they are not quarantined.
    pub fn lift(&mut self, set: &PartSet, now: Tick) -> bool {
        self.probes.remove(set);
        for part in set.iter() {
            self.suspects.remove(part);
            self.outbox.push(PartMessage::Cleared(part.clone()));
        }
        let renewals = self.quarantined.renewals_of(set);
        let is_lifted = self.quarantined.lift(set, now);
        if is_lifted && let Some(renewals) = renewals {
            let notice = PartNotice { parts: set.clone(), left_ms: 0, renewals };
            self.outbox.push(PartMessage::Quarantined(notice));
        }
        is_lifted
    }

    /// Returns `true` if the crash of an instance is attributed to quarantined parts.
    #[must_use]
    pub fn explains(&self, instance: &TargetInstance) -> bool {
        self.quarantined.explains(instance)
    }

    /// Returns `true` if a part explains these crashes of one request, and others as well. Then the
    /// request is no cause by itself.
    #[must_use]
    pub fn outranks(&self, instances: &[&TargetInstance]) -> bool {
        self.suspects.values().any(|SuspectState { evidence, .. }| {
            let covers = |instance: &&TargetInstance| {
                evidence.crashes().any(|crash| crash.instance == **instance)
            };
            evidence.served().since as usize <= evidence.crash_count()
                && evidence.crash_count() > instances.len()
                && instances.iter().all(covers)
        })
    }

    /// Quarantines the parts that are found to be causes. Returns `true` if there are new ones.
    pub fn decide(&mut self, now: Tick) -> bool {
        if !self.is_informed || self.decide_at.is_none_or(|at| at > now) {
            return false;
        }
        for suspect in self.suspects.values_mut() {
            suspect.update_total(self.served_total);
        }
        let recorded = self.suspects.values().flat_map(|suspect| suspect.evidence.crashes());
        let open = recorded.map(|crash| crash.recorded_at + JOIN_WINDOW).filter(|at| *at > now);
        self.decide_at = open.min();
        let evidence = self.suspects.iter().map(|(part, suspect)| (part, &suspect.evidence));
        let causes = find_causes(evidence, &self.batches, JOIN_WINDOW, now);
        let mut has_new = false;
        for cause in causes {
            let is_active =
                |set: &PartSet, left: Duration| !left.is_zero() && has_all(&cause.parts, set);
            // A quarantine of some of the parts covers that of all of them.
            if self.quarantined.unlifted(now).any(|(set, left)| is_active(set, left)) {
                continue;
            }
            has_new = true;
            let source = CrashSource::Local;
            self.quarantined.quarantine(cause.parts.clone(), cause.instances, source, now);
            let renewals = self.quarantined.renewals_of(&cause.parts).unwrap_or_default();
            let left = self.quarantined.quarantine_left(&cause.parts, now).unwrap_or_default();
            let left_ms = left.as_millis() as u64;
            let notice = PartNotice { parts: cause.parts, left_ms, renewals };
            self.outbox.push(PartMessage::Quarantined(notice));
        }
        has_new
    }

    /// Drains the parts that were quarantined since the last call.
    pub fn take_quarantined(&mut self) -> Vec<PartSet> {
        self.quarantined.take_quarantined()
    }

    /// Drains the messages for other processes.
    pub fn take_messages(&mut self) -> Vec<PartMessage> {
        std::mem::take(&mut self.outbox)
    }

    /// Applies the records of the store, read at a Unix time.
    pub fn apply_records(&mut self, records: &[PartRecord], unix_ms: u64, now: Tick) {
        for record in records {
            self.forget_lifted(record);
        }
        self.quarantined.apply_records(records, unix_ms, now, |_| Vec::new());
        self.probes.apply_records(records);
    }

    /// Records that this process has written these records to the store.
    pub fn record_written(&mut self, records: &[PartRecord]) {
        self.probes.record_written(records);
    }

    /// Returns the records to write to the store, if a write is due.
    pub fn due_records(&mut self, unix_ms: u64, now: Tick) -> Option<Vec<PartRecord>> {
        self.quarantined.due_records(unix_ms, now)
    }

    /// Returns all records, at a Unix time.
    pub fn records(&mut self, unix_ms: u64, now: Tick) -> Vec<PartRecord> {
        self.quarantined.records(unix_ms, now)
    }

    /// Forgets the evidence on parts whose quarantine has been lifted since.
    fn forget_lifted(&mut self, record: &PartRecord) {
        if record.is_lifted && self.quarantined.is_newer(record) {
            for part in record.subject.iter() {
                self.suspects.remove(part);
            }
        }
    }

    /// Removes outdated evidence and quarantines.
    fn expire(&mut self, now: Tick) {
        let is_recent = |suspect: &SuspectState| {
            let at = suspect.evidence.recorded_at();
            at.is_some_and(|at| now.since(at) <= EVIDENCE_TTL)
        };
        self.suspects.retain(|_, suspect| is_recent(suspect));
        if self.batches.len() > MAX_BATCHES {
            let suspects = &self.suspects;
            let has_crashed = |suspect: &SuspectState, instance: &TargetInstance| {
                suspect.evidence.crashes().any(|crash| crash.instance == *instance)
            };
            self.batches
                .retain(|instance| suspects.values().any(|suspect| has_crashed(suspect, instance)));
        }
        let known = &mut self.quarantined;
        known.expire(now);
        let sets: BTreeSet<_> = known.unlifted(now).map(|(set, _)| set.clone()).collect();
        self.probes.retain(&sets);
    }
}

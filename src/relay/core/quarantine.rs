//! Quarantine of requests that crash the targets which run them.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use super::{PlacedAttempt, RelayCore};
use crate::relay::decide::crash_wait::EngineSigns;
use crate::relay::decide::quarantine::{QuarantineLedger, QuarantineRecords, SuspectReport};
use crate::relay::decide::request_digest::RequestDigest;
use crate::relay::decide::targets::{ListChange, TargetInstance};
use crate::relay::discovery::store_revision::StoreRevision;
use crate::relay::peers::peer_message::PeerMessage;
use crate::time::Tick;

impl RelayCore {
    /// Returns the ledger of requests that are suspected or quarantined.
    #[must_use]
    pub fn quarantine(&self) -> &QuarantineLedger {
        &self.quarantine
    }

    /// Sets the Unix time of tick zero, in milliseconds.
    pub fn set_unix_origin(&mut self, unix_ms: u64) {
        self.unix_origin_ms = unix_ms;
    }

    pub(super) fn unix_ms(&self, now: Tick) -> u64 {
        self.unix_origin_ms + now.since(Tick::default()).as_millis() as u64
    }

    /// Returns the current instance of a target, `None` if the target is unknown.
    #[must_use]
    pub fn instance_of(&self, target: &str) -> Option<TargetInstance> {
        self.targets.get(target).map(|target| target.record.to_instance())
    }

    /// Returns `true` if an instance of a target may still be running.
    #[must_use]
    pub fn may_be_running(&self, instance: &TargetInstance) -> bool {
        let is_listed = self.instance_of(&instance.incarnation).as_ref() == Some(instance);
        is_listed && !self.quarantine.has_crashed(instance)
    }

    /// Returns what is known of an engine at which a connection broke.
    #[must_use]
    pub fn engine_signs(&self, instance: &TargetInstance) -> EngineSigns {
        let target = self.targets.get(&instance.incarnation);
        let target = target.filter(|target| target.record.to_instance() == *instance);
        EngineSigns {
            crashed_at: self.quarantine.crashed_at(instance),
            received_at: target.map_or(Tick::default(), |target| target.received_at),
        }
    }

    /// Records that an attempt of a suspect was sent to its target.
    pub fn mark_suspect(&mut self, attempt: &mut PlacedAttempt) {
        if let Some(instance) = &attempt.instance {
            self.quarantine.record_sent(instance);
            attempt.is_suspect = true;
        }
    }

    /// Returns the targets that have attempts of suspects from this entry.
    #[must_use]
    pub fn suspect_targets(&self) -> Vec<Arc<str>> {
        self.quarantine.suspect_targets().map(|instance| instance.incarnation.clone()).collect()
    }

    /// Records a broken connection of an attempt that had received events for `streamed_for`.
    pub fn record_broken(
        &mut self,
        digest: RequestDigest,
        instance: &TargetInstance,
        streamed_for: Duration,
        now: Tick,
    ) {
        let report = self.quarantine.record_broken(digest, instance, streamed_for, now);
        self.outbox.extend(report.map(PeerMessage::RequestSuspected));
    }

    /// Records that a target refuses connections. Returns `true` if that proves a crash.
    pub fn record_unreachable(&mut self, instance: &TargetInstance, now: Tick) -> bool {
        let target = self.targets.get_mut(&instance.incarnation);
        let has_crashed = target.is_some_and(|target| target.record_unreachable(now));
        if has_crashed {
            self.record_crash(instance, now);
        }
        has_crashed
    }

    /// Records an agent's report that the engine on its host has crashed. `next_ms` is the start of
    /// the following instance, if there is one.
    pub fn record_exit(&mut self, host: IpAddr, next_ms: Option<u64>, now: Tick) {
        let engines = self.targets.iter().filter(|target| target.model.is_some());
        let on_host = engines.filter(|target| target.record.address.ip() == host);
        let former =
            on_host.filter(|target| next_ms.is_none_or(|at| target.record.started_ms < at));
        let instances: Vec<_> = former.map(|target| target.record.to_instance()).collect();
        for instance in instances {
            self.record_crash(&instance, now);
        }
    }

    pub(super) fn record_crashes(&mut self, change: &ListChange, now: Tick) {
        for instance in &change.crashed {
            self.record_crash(instance, now);
        }
    }

    fn record_crash(&mut self, instance: &TargetInstance, now: Tick) {
        let reports = self.quarantine.record_crash(instance, now);
        self.outbox.extend(reports.into_iter().map(PeerMessage::RequestSuspected));
    }

    /// Records that a target answered a request.
    pub fn record_answered(&mut self, digest: RequestDigest) {
        if self.quarantine.record_served(&digest) {
            self.outbox.push(PeerMessage::RequestCleared(digest));
        }
    }

    /// Applies an agent's report of a suspect.
    pub fn apply_suspect_report(&mut self, report: &SuspectReport, now: Tick) {
        self.quarantine.apply_report(report, now);
    }

    /// Applies an agent's report that a target answered a request.
    pub fn apply_cleared(&mut self, digest: &RequestDigest) {
        self.quarantine.record_served(digest);
    }

    /// Decides which requests are quarantined. Returns those added since the last call.
    pub fn decide_quarantine(&mut self, now: Tick) -> Vec<RequestDigest> {
        self.quarantine.decide(now);
        self.quarantine.take_quarantined()
    }

    /// Returns the records that the store should keep, if a write is due.
    pub fn quarantine_to_write(&mut self, now: Tick) -> Option<QuarantineRecords> {
        let unix_ms = self.unix_ms(now);
        // Without a configuration there is no object to write them to.
        (!self.config_revision.is_unknown())
            .then(|| self.quarantine.due_writes(unix_ms, now))
            .flatten()
    }

    /// Records that the store keeps these records, in an object that now has this revision.
    /// Returns `false` if the object has to be read again: a store that was restored from a backup
    /// may give out the same revision again with other content.
    pub fn record_written(
        &mut self,
        records: &QuarantineRecords,
        revision: StoreRevision,
        now: Tick,
    ) -> bool {
        if revision.epoch != self.config_revision.epoch {
            return false;
        }
        if revision > self.config_revision && !self.is_store_behind {
            self.set_written_quarantine(records);
        }
        self.set_config_revision(revision);
        let unix_ms = self.unix_ms(now);
        self.quarantine.apply_records(&records.requests, unix_ms, now);
        self.quarantine.parts.record_written(&records.parts);
        self.quarantine.parts.apply_records(&records.parts, unix_ms, now);
        true
    }
}

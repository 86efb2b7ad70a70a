//! Quarantine of requests that crash engines, as far as this entry observes it.
//!
//! An agent reports the crash of its engine after it has reported the failed attempts. The
//! decision about a request is the same as in the relay ([`QuarantineLedger`]).
//!
//! [`QuarantineLedger`]: crate::relay::decide::quarantine::QuarantineLedger

use std::sync::Arc;
use std::time::Duration;

use super::core::EntryCore;
use super::event::Arrival;
use crate::relay::decide::request_digest::RequestDigest;
use crate::relay::decide::targets::TargetInstance;
use crate::time::Tick;
use crate::wire::Call;

impl EntryCore {
    /// Time for which a request stays quarantined; `None` if it is not quarantined.
    pub(super) fn quarantine_time(&mut self, arrival: &Arrival, now: Tick) -> Option<Duration> {
        if self.quarantine.is_empty() {
            return None;
        }
        self.quarantine.decide(now);
        self.quarantine.quarantined().quarantine_left(&digest_of(arrival), now)
    }

    /// Returns `true` if an open request is quarantined.
    pub(super) fn is_quarantined(&mut self, number: u64, now: Tick) -> bool {
        if self.quarantine.is_empty() {
            return false;
        }
        self.quarantine.decide(now);
        let digest = self.requests.get(&number).map(|request| digest_of(&request.arrival));
        digest.is_some_and(|digest| {
            self.quarantine.quarantined().quarantine_left(&digest, now).is_some()
        })
    }

    /// Records that an attempt broke off at a target, which may have crashed under it.
    pub(super) fn record_interrupted(&mut self, number: u64, target: &Arc<str>, now: Tick) {
        let Some(request) = self.requests.get(&number) else { return };
        let digest = digest_of(&request.arrival);
        let answer_age =
            request.first_part_at.map_or(Duration::ZERO, |first_part_at| now.since(first_part_at));
        let instance = self.target_instance(target);
        // The report is dropped, because entries do not communicate with each other here.
        let _ = self.quarantine.record_broken(digest, &instance, answer_age, now);
    }

    /// Records that a target answered a request, so the request does not crash its targets.
    pub(super) fn record_answered(&mut self, number: u64) {
        if self.quarantine.is_empty() {
            return;
        }
        let digest = self.requests.get(&number).map(|request| digest_of(&request.arrival));
        if let Some(digest) = digest {
            self.quarantine.record_served(&digest);
        }
    }

    /// Records an agent's report that its engine crashed.
    pub(super) fn on_target_crash(&mut self, target: &Arc<str>, now: Tick) {
        let instance = self.target_instance(target);
        let _ = self.quarantine.record_crash(&instance, now);
        *self.crash_counts.entry(target.clone()).or_default() += 1;
        self.quarantine.decide(now);
    }

    /// The current instance of a target, identified by the number of reported crashes.
    fn target_instance(&self, target: &Arc<str>) -> TargetInstance {
        let crashes = self.crash_counts.get(target).copied().unwrap_or(0);
        TargetInstance { incarnation: target.clone(), started_ms: crashes }
    }
}

fn digest_of(arrival: &Arrival) -> RequestDigest {
    let path = match &arrival.call {
        Call::Model { path, .. } | Call::Plain { path, .. } => path,
    };
    RequestDigest::of(Some(&arrival.policy.name), &arrival.service, path, &arrival.body)
}

//! Requests that end the engines that run them, as far as this entry sees it.
//!
//! Agents tell of the end of their engine after its attempts have failed. What is decided
//! about a request is the same as for the relay.

use std::sync::Arc;
use std::time::Duration;

use super::core::EntryCore;
use super::event::Arrival;
use crate::relay::decide::request_digest::RequestDigest;
use crate::relay::decide::targets::TargetInstance;
use crate::time::Tick;
use crate::wire::Call;

impl EntryCore {
    /// Time for which a request is held back, none where it may be given out.
    pub(super) fn held_for(&mut self, arrival: &Arrival, now: Tick) -> Option<Duration> {
        if self.quarantine.is_empty() {
            return None;
        }
        self.quarantine.decide(now);
        self.quarantine.quarantined().quarantine_left(&digest_of(arrival), now)
    }

    /// Returns true where an open request is to be given out no more.
    pub(super) fn is_held(&mut self, number: u64, now: Tick) -> bool {
        if self.quarantine.is_empty() {
            return false;
        }
        self.quarantine.decide(now);
        let digest = self.requests.get(&number).map(|request| digest_of(&request.arrival));
        digest.is_some_and(|digest| {
            self.quarantine.quarantined().quarantine_left(&digest, now).is_some()
        })
    }

    /// Notes that a request broke off at a target, which may have ended under it.
    pub(super) fn note_broken(&mut self, number: u64, target: &Arc<str>, now: Tick) {
        let Some(request) = self.requests.get(&number) else { return };
        let digest = digest_of(&request.arrival);
        let settled = request.first.map_or(Duration::ZERO, |first| now.since(first));
        let life = self.life_of(target);
        // Nobody else is told: entries do not speak with one another here.
        let _ = self.quarantine.record_broken(digest, &life, settled, now);
    }

    /// Notes that a target answered a request, which does not end those that run it then.
    pub(super) fn note_served(&mut self, number: u64) {
        if self.quarantine.is_empty() {
            return;
        }
        let digest = self.requests.get(&number).map(|request| digest_of(&request.arrival));
        if let Some(digest) = digest {
            self.quarantine.record_served(&digest);
        }
    }

    /// Notes an agent's word that its engine has ended.
    pub(super) fn on_target_lost(&mut self, target: &Arc<str>, now: Tick) {
        let life = self.life_of(target);
        let _ = self.quarantine.record_crash(&life, now);
        *self.lives.entry(target.clone()).or_default() += 1;
        self.quarantine.decide(now);
    }

    /// The life that a target is in, by the ends that its agent has told of.
    fn life_of(&self, target: &Arc<str>) -> TargetInstance {
        let ends = self.lives.get(target).copied().unwrap_or(0);
        TargetInstance { incarnation: target.clone(), started_ms: ends }
    }
}

fn digest_of(arrival: &Arrival) -> RequestDigest {
    let path = match &arrival.call {
        Call::Model { path, .. } | Call::Plain { path, .. } => path,
    };
    RequestDigest::of(Some(&arrival.policy.name), &arrival.service, path, &arrival.body)
}

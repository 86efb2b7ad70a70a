//! What the core knows of requests that end targets.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use super::{AttemptShare, RelayCore};
use crate::relay::decide::hold_list::QuarantineRecord;
use crate::relay::decide::quarantine::{QuarantineLedger, SuspectNews};
use crate::relay::decide::request_digest::RequestDigest;
use crate::relay::decide::targets::{ListChange, TargetLife};
use crate::relay::discovery::store_revision::StoreRevision;
use crate::relay::peers::load_note::LoadNote;
use crate::time::Tick;

impl RelayCore {
    /// Requests that are suspected or held back.
    #[must_use]
    pub fn quarantine(&self) -> &QuarantineLedger {
        &self.quarantine
    }

    /// Says what the Unix time was at tick zero, in milliseconds.
    pub fn set_epoch(&mut self, unix_ms: u64) {
        self.epoch_ms = unix_ms;
    }

    pub(super) fn unix_ms(&self, now: Tick) -> u64 {
        self.epoch_ms + now.since(Tick::default()).as_millis() as u64
    }

    /// The life that a target is in, none where it is not known.
    #[must_use]
    pub fn life_of(&self, target: &str) -> Option<TargetLife> {
        self.targets.get(target).map(|target| target.record.to_life())
    }

    /// Returns true where a life of a target may still be at work.
    #[must_use]
    pub fn may_live(&self, life: &TargetLife) -> bool {
        let is_listed = self.life_of(&life.incarnation).as_ref() == Some(life);
        is_listed && !self.quarantine.has_ended(life)
    }

    /// Notes that an attempt of a suspect is at its target.
    pub fn mark_suspect(&mut self, share: &mut AttemptShare) {
        if let Some(life) = &share.life {
            self.quarantine.note_sent(life);
            share.is_suspect = true;
        }
    }

    /// Targets where attempts of suspects of this entry are.
    #[must_use]
    pub fn suspect_targets(&self) -> Vec<Arc<str>> {
        self.quarantine.open_targets().map(|life| life.incarnation.clone()).collect()
    }

    /// Notes that the connection of an attempt broke, whose events had come for a time.
    pub fn note_broken(
        &mut self,
        digest: RequestDigest,
        life: &TargetLife,
        settled: Duration,
        now: Tick,
    ) {
        let news = self.quarantine.note_broken(digest, life, settled, now);
        self.notes.extend(news.map(LoadNote::Suspected));
    }

    /// Notes that nobody listens at a target. Returns true where it has ended by that.
    pub fn note_unreachable(&mut self, life: &TargetLife, now: Tick) -> bool {
        let target = self.targets.get_mut(&life.incarnation);
        let has_ended = target.is_some_and(|target| target.note_unreachable(now));
        if has_ended {
            self.note_end(life, now);
        }
        has_ended
    }

    /// Notes that an agent says that the engine at its host has ended; `next_ms` is the
    /// start of the life that follows, where there is one.
    pub fn note_exited(&mut self, host: IpAddr, next_ms: Option<u64>, now: Tick) {
        let engines = self.targets.iter().filter(|target| target.model.is_some());
        let there = engines.filter(|target| target.record.address.ip() == host);
        let former = there.filter(|target| next_ms.is_none_or(|at| target.record.born_ms < at));
        let lives: Vec<_> = former.map(|target| target.record.to_life()).collect();
        for life in lives {
            self.note_end(&life, now);
        }
    }

    pub(super) fn note_ends(&mut self, change: &ListChange, now: Tick) {
        for life in &change.ended {
            self.note_end(life, now);
        }
    }

    fn note_end(&mut self, life: &TargetLife, now: Tick) {
        let news = self.quarantine.note_ended(life, now);
        self.notes.extend(news.into_iter().map(LoadNote::Suspected));
    }

    /// Notes that a target answered a request.
    pub fn note_answered(&mut self, digest: RequestDigest) {
        if self.quarantine.note_served(&digest) {
            self.notes.push(LoadNote::Cleared(digest));
        }
    }

    /// Takes what an agent tells of a suspect.
    pub fn take_suspect(&mut self, news: &SuspectNews, now: Tick) {
        self.quarantine.take_news(news, now);
    }

    /// Takes an agent's word that a target answered a request.
    pub fn take_cleared(&mut self, digest: &RequestDigest) {
        self.quarantine.note_served(digest);
    }

    /// Decides which requests are held back. Returns those that are since the last call.
    pub fn decide_holds(&mut self, now: Tick) -> Vec<RequestDigest> {
        self.quarantine.decide(now);
        self.quarantine.take_found()
    }

    /// What the store is to keep of the quarantine, where something is due.
    pub fn quarantine_to_write(&mut self, now: Tick) -> Option<Vec<QuarantineRecord>> {
        let unix_ms = self.unix_ms(now);
        // Without a configuration there is no object to write it to.
        (!self.config_revision.is_unknown())
            .then(|| self.quarantine.to_write(unix_ms, now))
            .flatten()
    }

    /// Notes that the store keeps these records, in an object that has this revision now.
    /// Returns false where the object has to be read anew: a store that has come back from a
    /// copy may have the revision that was written at once more, with another content.
    pub fn note_written(
        &mut self,
        records: &[QuarantineRecord],
        revision: StoreRevision,
        now: Tick,
    ) -> bool {
        if revision.epoch != self.config_revision.epoch {
            return false;
        }
        self.set_config_revision(revision);
        let unix_ms = self.unix_ms(now);
        self.quarantine.take_records(records, unix_ms, now);
        true
    }
}

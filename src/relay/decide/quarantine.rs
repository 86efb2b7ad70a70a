//! Requests that end the targets that run them are held back.
//!
//! The load that it answers: a request that ends each engine that begins it, and whose
//! caller sends it again and again, at whatever entry. Each entry took each sending for a
//! new request: 48 engines ended under one, and what they were at was lost.
//!
//! Others are at work in a target that ends, and nobody says which of them was the cause.
//! So a request is held back only where three lives of targets ended under it, which no
//! other request explains better: one that is held back already, or one under which the
//! same lives ended and others too. A bystander that is sent again is kept away from
//! other suspects, and is cleared by its first answer.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::end_tracker::EndTracker;
use super::hold_list::{EndSource, HoldList, QuarantineRecord};
use super::request_digest::RequestDigest;
use super::targets::TargetLife;
use crate::time::Tick;

/// Ends of targets under a request from which on it is held back: a bystander shares one
/// end with the cause, and by chance a second one.
const HELD_ENDS: usize = 3;

/// Ends from which on a request is held back though another one explains them as well.
const SHARED_ENDS: usize = 5;

/// Ends under a request from which on all are told of it, and it is kept apart.
const TOLD_ENDS: usize = 2;

/// Time after which a suspect is forgotten that ended nothing more.
const SUSPECT_SPAN: Duration = Duration::from_secs(600);

/// Suspects that are kept, the newest ones: 16 requests for each of 64 targets.
const MOST_SUSPECTS: usize = 1_024;

/// Lives of targets that are kept for a request.
const MOST_LIVES: usize = 8;

/// Time after an end in which all tell of the requests that were there: a report of an
/// agent's, and some round trips.
const JOIN_SPAN: Duration = Duration::from_millis(100);

/// Requests that a process is told of when it starts: some kilobytes.
const MOST_NEWS: usize = 32;

/// The lives of targets that ended under a request, as processes tell one another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectNews {
    /// The request.
    #[serde(rename = "d")]
    pub digest: RequestDigest,
    /// The lives.
    #[serde(rename = "l")]
    pub lives: Vec<TargetLife>,
}

/// A request under which targets ended.
#[derive(Debug)]
struct SuspectState {
    lives: Vec<TargetLife>,
    noted_at: Tick,
    /// Who saw the last end.
    source: EndSource,
}

/// What this process knows of requests that end targets.
#[derive(Debug, Default)]
pub struct QuarantineLedger {
    tracker: EndTracker,
    suspects: HashMap<RequestDigest, SuspectState>,
    holds: HoldList,
    /// Attempts of suspects, by their target.
    open: HashMap<TargetLife, usize>,
    /// When it is decided what the ends under suspects mean.
    decide_at: Option<Tick>,
}

impl QuarantineLedger {
    /// A ledger of which nothing is known yet. `place`, from 0 to 1, is at random, and
    /// spreads the writes of processes that have heard of the same.
    #[must_use]
    pub fn new(place: f64) -> Self {
        QuarantineLedger { holds: HoldList::new(place), ..QuarantineLedger::default() }
    }

    /// The requests that are held back.
    #[must_use]
    pub fn holds(&self) -> &HoldList {
        &self.holds
    }

    /// Notes that the connection of an attempt broke, whose events had come for `settled`.
    /// Returns what others are to be told.
    pub fn note_broken(
        &mut self,
        digest: RequestDigest,
        life: &TargetLife,
        settled: Duration,
        now: Tick,
    ) -> Option<SuspectNews> {
        let is_end = self.tracker.note_broken(digest, life, settled, now);
        is_end.then(|| self.note_end(digest, life, now)).flatten()
    }

    /// Notes that a life of a target has ended without having said that it would. Returns
    /// what others are to be told of the requests that it was at.
    pub fn note_ended(&mut self, life: &TargetLife, now: Tick) -> Vec<SuspectNews> {
        let digests = self.tracker.note_ended(life, now);
        digests.into_iter().filter_map(|digest| self.note_end(digest, life, now)).collect()
    }

    /// Returns true where a life of a target is known to have ended lately.
    #[must_use]
    pub fn has_ended(&self, life: &TargetLife) -> bool {
        self.tracker.has_ended(life)
    }

    /// Takes what another process tells.
    pub fn take_news(&mut self, news: &SuspectNews, now: Tick) {
        for life in news.lives.iter().take(MOST_LIVES) {
            self.add_life(news.digest, life, EndSource::Heard, now);
        }
    }

    /// Notes that a target answered a request, so that it does not end those that run it.
    /// Returns true where it was a suspect, so that others are to be told.
    pub fn note_served(&mut self, digest: &RequestDigest) -> bool {
        self.tracker.note_served(digest);
        self.suspects.remove(digest).is_some()
    }

    /// Returns true where a request was at two ends or more: one at a single end is most
    /// likely a bystander, and is placed as any other.
    #[must_use]
    pub fn is_suspect(&self, digest: &RequestDigest) -> bool {
        self.suspects.get(digest).is_some_and(|state| state.lives.len() >= TOLD_ENDS)
    }

    /// Returns true where nothing is suspected or held back.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty() && self.tracker.is_empty() && self.holds.is_empty()
    }

    /// Notes that an attempt of a suspect is at a target.
    pub fn note_sent(&mut self, life: &TargetLife) {
        *self.open.entry(life.clone()).or_default() += 1;
    }

    /// Notes that it is no longer there.
    pub fn note_over(&mut self, life: &TargetLife) {
        if let Some(count) = self.open.get_mut(life) {
            *count -= 1;
            if *count == 0 {
                self.open.remove(life);
            }
        }
    }

    /// Targets where an attempt of a suspect is.
    pub fn open_targets(&self) -> impl Iterator<Item = &TargetLife> {
        self.open.keys()
    }

    /// Holds requests back that are found to be the cause of ends. Looked at a moment
    /// after an end, when all have told of the requests that were there.
    pub fn decide(&mut self, now: Tick) {
        if self.decide_at.is_none_or(|at| at > now) {
            return;
        }
        let is_joined = |state: &SuspectState| now.since(state.noted_at) >= JOIN_SPAN;
        let open = self.suspects.values().filter(|state| !is_joined(state));
        self.decide_at = open.map(|state| state.noted_at + JOIN_SPAN).min();
        // The one with the most ends explains them to others.
        let joined = self.suspects.iter().filter(|(_, state)| is_joined(state));
        let mut order: Vec<_> =
            joined.map(|(digest, state)| (Reverse(state.lives.len()), *digest)).collect();
        order.sort_unstable();
        for (_, digest) in order {
            if self.is_cause(&digest)
                && let Some(state) = self.suspects.remove(&digest)
            {
                self.holds.hold(digest, state.lives, state.source, now);
            }
        }
        self.holds.renew(now);
    }

    /// Requests that are held back since the last call.
    pub fn take_found(&mut self) -> Vec<RequestDigest> {
        self.holds.take_found()
    }

    /// Takes what the store keeps, read at a Unix time.
    pub fn take_records(&mut self, records: &[QuarantineRecord], unix_ms: u64, now: Tick) {
        let suspects = &mut self.suspects;
        let lives_of = |digest: &RequestDigest| {
            suspects.remove(digest).map(|state| state.lives).unwrap_or_default()
        };
        self.holds.take_records(records, unix_ms, now, lives_of);
    }

    /// What the store is to keep, where something is due.
    pub fn to_write(&mut self, unix_ms: u64, now: Tick) -> Option<Vec<QuarantineRecord>> {
        self.holds.to_write(unix_ms, now)
    }

    /// What is known of a request, none where no target ended under it.
    #[must_use]
    pub fn news_of(&self, digest: RequestDigest) -> Option<SuspectNews> {
        let suspected = self.suspects.get(&digest).map(|state| &*state.lives);
        let lives = suspected.or_else(|| self.holds.lives_of(&digest))?;
        Some(SuspectNews { digest, lives: lives.to_vec() })
    }

    /// What all are to be told of a request, none where too little is known: one end says
    /// nothing of each of the requests that were there.
    #[must_use]
    pub fn told_of(&self, digest: RequestDigest) -> Option<SuspectNews> {
        self.news_of(digest).filter(|news| news.lives.len() >= TOLD_ENDS)
    }

    /// What all are to be told, for a process that has just started: the newest suspects.
    #[must_use]
    pub fn to_news(&self) -> Vec<SuspectNews> {
        let mut suspects: Vec<_> = self.suspects.iter().collect();
        suspects.sort_by_key(|(digest, state)| (Reverse(state.noted_at), **digest));
        let news = suspects.into_iter().filter_map(|(digest, _)| self.told_of(*digest));
        news.take(MOST_NEWS).collect()
    }

    /// Notes the end of a target under a request of this process's own.
    fn note_end(
        &mut self,
        digest: RequestDigest,
        life: &TargetLife,
        now: Tick,
    ) -> Option<SuspectNews> {
        let is_new = self.add_life(digest, life, EndSource::Own, now);
        is_new.then(|| self.news_of(digest)).flatten()
    }

    /// Adds a life that ended under a request. Returns false where that is known.
    fn add_life(
        &mut self,
        digest: RequestDigest,
        life: &TargetLife,
        source: EndSource,
        now: Tick,
    ) -> bool {
        self.expire(now);
        let is_new = if self.holds.lives_of(&digest).is_some() {
            self.holds.add_life(&digest, life, MOST_LIVES, source, now)
        } else {
            self.add_suspect_life(digest, life, source, now)
        };
        if is_new {
            self.decide_at.get_or_insert(now + JOIN_SPAN);
        }
        is_new
    }

    fn add_suspect_life(
        &mut self,
        digest: RequestDigest,
        life: &TargetLife,
        source: EndSource,
        now: Tick,
    ) -> bool {
        let state = self.suspects.entry(digest).or_insert_with(|| SuspectState {
            lives: Vec::new(),
            noted_at: now,
            source,
        });
        if state.lives.contains(life) || state.lives.len() >= MOST_LIVES {
            return false;
        }
        state.lives.push(life.clone());
        (state.noted_at, state.source) = (now, source);
        self.bound_suspects();
        true
    }

    /// Returns true where a suspect is the best explanation of the ends under it.
    fn is_cause(&self, digest: &RequestDigest) -> bool {
        let Some(state) = self.suspects.get(digest) else { return false };
        let own: Vec<_> = state.lives.iter().filter(|life| !self.holds.explains(life)).collect();
        let is_shared = || {
            let mut others = self.suspects.iter().filter(|(other, _)| *other != digest);
            others.any(|(_, other)| own.iter().all(|life| other.lives.contains(life)))
        };
        own.len() >= SHARED_ENDS || (own.len() >= HELD_ENDS && !is_shared())
    }

    fn bound_suspects(&mut self) {
        while self.suspects.len() > MOST_SUSPECTS {
            let oldest =
                self.suspects.iter().min_by_key(|(digest, state)| (state.noted_at, **digest));
            let Some(oldest) = oldest.map(|(digest, _)| *digest) else { return };
            self.suspects.remove(&oldest);
        }
    }

    /// Forgets what is too old to mean anything.
    fn expire(&mut self, now: Tick) {
        self.suspects.retain(|_, state| now.since(state.noted_at) <= SUSPECT_SPAN);
        self.holds.expire(now);
    }
}

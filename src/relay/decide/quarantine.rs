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
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::request_digest::RequestDigest;
use super::targets::TargetLife;
use crate::time::Tick;

/// Ends of targets under a request from which on it is held back: a bystander shares one
/// end with the cause, and by chance a second one.
const HELD_ENDS: usize = 3;

/// Ends from which on a request is held back though another one explains them as well.
const SHARED_ENDS: usize = 5;

/// Time between the end of an attempt and the word that its target has ended: four
/// heartbeats of a target, and an answer of a slow store.
const CONFIRM_SPAN: Duration = Duration::from_secs(10);

/// Time for which an attempt's events came after which its target ended by something
/// else: a cause ends its target soon after it begins there, within 0.11 s where it was
/// seen.
const SETTLED_SPAN: Duration = Duration::from_secs(2);

/// Time after which a suspect is forgotten that ended nothing more.
const SUSPECT_SPAN: Duration = Duration::from_secs(600);

/// Time for which a request is held back at first, doubled each time that it ends a target
/// after that: long against the repair of a target, short against a working day.
const HOLD_SPAN: Duration = Duration::from_secs(600);

/// Most times that the hold is doubled: it stays under a day.
const MOST_RENEWALS: u32 = 7;

/// Suspects that are kept, the newest ones: 16 requests for each of 64 targets.
const MOST_SUSPECTS: usize = 1_024;

/// Requests that are held back, the newest ones; each is 80 bytes in the store.
const MOST_HELD: usize = 64;

/// Lives of targets that are kept for a request.
const MOST_LIVES: usize = 8;

/// Lives that ended lately: a few times as many as a failure domain has targets.
const MOST_ENDED: usize = 512;

/// Time after an end in which all tell of the requests that were there: a report of an
/// agent's, and some round trips.
const JOIN_SPAN: Duration = Duration::from_millis(100);

/// Ends under a request from which on all are told of it, and it is kept apart.
const TOLD_ENDS: usize = 2;

/// Requests that a process is told of when it starts: some kilobytes.
const MOST_NEWS: usize = 32;

/// Least time after which one who has heard of a hold puts it into the store, where the
/// one who found it has not.
const HEARD_WRITE_WAIT: Duration = Duration::from_secs(1);

/// Time over which the writes of those who have heard of it are spread.
const SPREAD_WRITE_WAIT: Duration = Duration::from_secs(2);

/// Time after which a write that did not show in the store is tried again, doubled each time.
const WRITE_STEP: Duration = Duration::from_millis(500);

/// Most times that it is doubled: to eight seconds.
const MOST_DOUBLED_STEPS: u32 = 4;

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

/// A request that is held back, as the store keeps it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineRecord {
    /// The request.
    pub digest: RequestDigest,
    /// Since when, in Unix milliseconds.
    pub since_ms: u64,
    /// How often it ended a target after its hold.
    pub renewals: u32,
}

impl QuarantineRecord {
    fn hold_span(&self) -> Duration {
        HOLD_SPAN * (1 << self.renewals.min(MOST_RENEWALS))
    }

    /// Time for which it is still held at a Unix time.
    fn left_at(&self, unix_ms: u64) -> Duration {
        let age = Duration::from_millis(unix_ms.saturating_sub(self.since_ms));
        self.hold_span().saturating_sub(age)
    }
}

/// An attempt that broke, at a target that is not known to have ended.
#[derive(Debug)]
struct BrokenAttempt {
    digest: RequestDigest,
    life: TargetLife,
    at: Tick,
}

/// A request under which targets ended.
#[derive(Debug)]
struct SuspectState {
    lives: Vec<TargetLife>,
    noted_at: Tick,
    /// Who saw the last end.
    source: EndSource,
}

/// A request that is held back, or was until a while ago.
#[derive(Debug)]
struct HeldState {
    record: QuarantineRecord,
    /// Since when; the record says so once the store has it.
    since: Tick,
    lapses_at: Tick,
    /// The lives that it explains.
    lives: Vec<TargetLife>,
    /// Who saw the last end.
    source: EndSource,
    /// Whether a target ended under it after its hold.
    is_renewed: bool,
    /// When it is to be put into the store, none once it is there.
    write_at: Option<Tick>,
}

impl HeldState {
    fn new(record: QuarantineRecord, lives: Vec<TargetLife>, now: Tick) -> Self {
        HeldState {
            record,
            since: now,
            lapses_at: now + record.hold_span(),
            lives,
            source: EndSource::Heard,
            is_renewed: false,
            write_at: None,
        }
    }
}

/// What this process knows of requests that end targets.
#[derive(Debug, Default)]
pub struct QuarantineLedger {
    broken: VecDeque<BrokenAttempt>,
    ended: VecDeque<(TargetLife, Tick)>,
    suspects: HashMap<RequestDigest, SuspectState>,
    held: BTreeMap<RequestDigest, HeldState>,
    /// Where attempts of suspects are, by their target.
    open: HashMap<TargetLife, usize>,
    /// This process's place, from 0 to 1, among those who write the same.
    place: f64,
    /// When it is decided what the ends under suspects mean.
    decide_at: Option<Tick>,
    /// Requests that are held back and were not told of here.
    found: Vec<RequestDigest>,
    /// Writes in a row that did not show in the store.
    failed_writes: u32,
}

impl QuarantineLedger {
    /// A ledger of which nothing is known yet. `place`, from 0 to 1, is at random, and
    /// spreads the writes of processes that have heard of the same.
    #[must_use]
    pub fn new(place: f64) -> Self {
        QuarantineLedger { place, ..QuarantineLedger::default() }
    }

    /// Time after which this process writes what another one should have written.
    fn heard_wait(&self) -> Duration {
        HEARD_WRITE_WAIT + SPREAD_WRITE_WAIT.mul_f64(self.place)
    }

    /// Notes that the connection of an attempt broke. `settled` is the time for which its
    /// events had come. Returns what others are to be told.
    pub fn note_broken(
        &mut self,
        digest: RequestDigest,
        life: &TargetLife,
        settled: Duration,
        now: Tick,
    ) -> Option<SuspectNews> {
        if settled >= SETTLED_SPAN {
            return None;
        }
        if self.has_ended(life) {
            return self.note_end(digest, life, now);
        }
        self.expire(now);
        self.broken.push_back(BrokenAttempt { digest, life: life.clone(), at: now });
        None
    }

    /// Notes that a life of a target has ended without having said that it would. Returns
    /// what others are to be told of the requests that it was at.
    pub fn note_ended(&mut self, life: &TargetLife, now: Tick) -> Vec<SuspectNews> {
        self.expire(now);
        if !self.has_ended(life) {
            self.ended.push_back((life.clone(), now));
            if self.ended.len() > MOST_ENDED {
                self.ended.pop_front();
            }
        }
        let mut struck = Vec::new();
        self.broken.retain(|attempt| {
            let is_there = attempt.life == *life;
            if is_there {
                struck.push(attempt.digest);
            }
            !is_there
        });
        struck.into_iter().filter_map(|digest| self.note_end(digest, life, now)).collect()
    }

    /// Returns true where a life of a target is known to have ended lately.
    #[must_use]
    pub fn has_ended(&self, life: &TargetLife) -> bool {
        self.ended.iter().any(|(ended, _)| ended == life)
    }

    /// Takes what another process tells.
    pub fn take_news(&mut self, news: &SuspectNews, now: Tick) {
        self.expire(now);
        for life in news.lives.iter().take(MOST_LIVES) {
            self.add_life(news.digest, life, EndSource::Heard, now);
        }
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
        let mut suspects: Vec<_> =
            self.suspects.iter().filter(|(_, state)| is_joined(state)).collect();
        suspects.sort_by_key(|(digest, state)| (Reverse(state.lives.len()), **digest));
        let digests: Vec<_> = suspects.into_iter().map(|(digest, _)| *digest).collect();
        for digest in digests {
            if self.is_cause(&digest) {
                self.hold(digest, 0, now);
            }
        }
        let lapsed = self.held.values().filter(|held| held.is_renewed);
        let lapsed: Vec<_> = lapsed.map(|held| held.record).collect();
        for record in lapsed {
            self.hold(record.digest, record.renewals + 1, now);
        }
    }

    /// Notes that a target answered a request, so that it does not end those that run it.
    /// Returns true where it was a suspect, so that others are to be told.
    pub fn note_served(&mut self, digest: &RequestDigest) -> bool {
        self.broken.retain(|attempt| attempt.digest != *digest);
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
        self.suspects.is_empty() && self.broken.is_empty() && self.held.is_empty()
    }

    /// Time for which a request is still held back, none where it may be sent.
    #[must_use]
    pub fn held_for(&self, digest: &RequestDigest, now: Tick) -> Option<Duration> {
        let left = self.held.get(digest)?.lapses_at.since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Requests that are held back.
    #[must_use]
    pub fn held_count(&self, now: Tick) -> usize {
        self.held.values().filter(|held| held.lapses_at > now).count()
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

    /// Takes what the store keeps, read at a Unix time.
    pub fn take_records(&mut self, records: &[QuarantineRecord], unix_ms: u64, now: Tick) {
        for record in records {
            self.take_record(*record, unix_ms, now);
        }
        let missing_at = now + self.heard_wait();
        let is_kept = |held: &HeldState| {
            let mut kept = records.iter().filter(|record| record.digest == held.record.digest);
            kept.any(|record| record.renewals >= held.record.renewals)
        };
        for held in self.held.values_mut().filter(|held| held.lapses_at > now) {
            if !is_kept(held) {
                held.write_at.get_or_insert(missing_at);
            }
        }
        if self.write_due().is_none() {
            self.failed_writes = 0;
        }
        self.bound_held();
    }

    fn take_record(&mut self, record: QuarantineRecord, unix_ms: u64, now: Tick) {
        let known = self.held.get(&record.digest);
        if known.is_some_and(|held| held.record.renewals > record.renewals) {
            return;
        }
        if known.is_none() {
            self.found.push(record.digest);
        }
        let lives = self.take_lives(&record.digest);
        let lapses_at = now + record.left_at(unix_ms);
        let held = HeldState { lapses_at, ..HeldState::new(record, lives, now) };
        self.held.insert(record.digest, held);
    }

    /// Takes the lives that are known to have ended under a request.
    fn take_lives(&mut self, digest: &RequestDigest) -> Vec<TargetLife> {
        let suspect = self.suspects.remove(digest).map(|state| state.lives);
        let held = self.held.remove(digest).map(|held| held.lives);
        suspect.or(held).unwrap_or_default()
    }

    /// Requests that are held back since the last call.
    pub fn take_found(&mut self) -> Vec<RequestDigest> {
        std::mem::take(&mut self.found)
    }

    /// When something is to be put into the store next, none where all of it is there.
    #[must_use]
    pub fn write_due(&self) -> Option<Tick> {
        self.held.values().filter_map(|held| held.write_at).min()
    }

    /// What the store is to keep, where something is due; tried again later unless
    /// [`QuarantineLedger::take_records`] shows that it is there.
    pub fn to_write(&mut self, unix_ms: u64, now: Tick) -> Option<Vec<QuarantineRecord>> {
        self.write_due().filter(|due| *due <= now)?;
        self.expire(now);
        let step = WRITE_STEP * (1 << self.failed_writes.min(MOST_DOUBLED_STEPS));
        self.failed_writes += 1;
        for held in self.held.values_mut() {
            if held.record.since_ms == 0 {
                held.record.since_ms = unix_ms - now.since(held.since).as_millis() as u64;
            }
            held.write_at = held.write_at.map(|_| now + step);
        }
        Some(self.held.values().map(|held| held.record).collect())
    }

    /// What is known of a request, none where no target ended under it.
    #[must_use]
    pub fn news_of(&self, digest: RequestDigest) -> Option<SuspectNews> {
        let held = || self.held.get(&digest).map(|held| &held.lives);
        let lives = self.suspects.get(&digest).map(|state| &state.lives).or_else(held)?;
        Some(SuspectNews { digest, lives: lives.clone() })
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
        let new_suspect = || SuspectState { lives: Vec::new(), noted_at: now, source };
        let held = self.held.get_mut(&digest);
        let is_lapsed = held.as_ref().is_some_and(|held| held.lapses_at <= now);
        let lives = match held {
            Some(held) => {
                held.is_renewed |= is_lapsed && !held.lives.contains(life);
                held.source = source;
                &mut held.lives
            }
            None => &mut self.suspects.entry(digest).or_insert_with(new_suspect).lives,
        };
        if lives.contains(life) || lives.len() >= MOST_LIVES {
            return false;
        }
        lives.push(life.clone());
        if let Some(state) = self.suspects.get_mut(&digest) {
            (state.noted_at, state.source) = (now, source);
        }
        self.decide_at.get_or_insert(now + JOIN_SPAN);
        self.bound_suspects();
        true
    }

    /// Returns true where a suspect is the best explanation of the ends under it.
    fn is_cause(&self, digest: &RequestDigest) -> bool {
        let Some(state) = self.suspects.get(digest) else { return false };
        let held = || self.held.values().flat_map(|held| &held.lives);
        let is_explained = |life: &&TargetLife| held().any(|known| known == *life);
        let own: Vec<_> = state.lives.iter().filter(|life| !is_explained(life)).collect();
        let is_shared = || {
            let mut others = self.suspects.iter().filter(|(other, _)| *other != digest);
            others.any(|(_, other)| own.iter().all(|life| other.lives.contains(life)))
        };
        own.len() >= SHARED_ENDS || (own.len() >= HELD_ENDS && !is_shared())
    }

    fn hold(&mut self, digest: RequestDigest, renewals: u32, now: Tick) {
        let source = self.suspects.get(&digest).map(|state| state.source);
        let source = source.or_else(|| self.held.get(&digest).map(|held| held.source));
        let wait = match source {
            Some(EndSource::Heard) => self.heard_wait(),
            Some(EndSource::Own) | None => Duration::ZERO,
        };
        let lives = self.take_lives(&digest);
        // The Unix time is set where it is written.
        let record = QuarantineRecord { digest, since_ms: 0, renewals };
        let held = HeldState { write_at: Some(now + wait), ..HeldState::new(record, lives, now) };
        self.held.insert(digest, held);
        self.found.push(digest);
        self.bound_held();
    }

    fn bound_suspects(&mut self) {
        while self.suspects.len() > MOST_SUSPECTS {
            let oldest =
                self.suspects.iter().min_by_key(|(digest, state)| (state.noted_at, **digest));
            let Some(oldest) = oldest.map(|(digest, _)| *digest) else { return };
            self.suspects.remove(&oldest);
        }
    }

    fn bound_held(&mut self) {
        while self.held.len() > MOST_HELD {
            let first = self.held.iter().min_by_key(|(_, held)| held.lapses_at);
            let Some(first) = first.map(|(digest, _)| *digest) else { return };
            self.held.remove(&first);
        }
    }

    /// Forgets what is too old to mean anything.
    fn expire(&mut self, now: Tick) {
        self.broken.retain(|attempt| now.since(attempt.at) <= CONFIRM_SPAN);
        self.ended.retain(|(_, at)| now.since(*at) <= CONFIRM_SPAN);
        self.suspects.retain(|_, state| now.since(state.noted_at) <= SUSPECT_SPAN);
        // One that lapsed is remembered for as long again.
        self.held.retain(|_, held| now.since(held.lapses_at) <= held.record.hold_span());
    }
}

/// Who saw that a target ended under a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EndSource {
    /// This process: the request was its own.
    Own,
    /// Another one.
    Heard,
}

//! Requests that are held back: for how long, and whether the store knows it.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::request_digest::RequestDigest;
use super::targets::TargetLife;
use crate::time::Tick;

/// Time for which a request is held back at first, doubled each time that it ends a target
/// after that: long against the repair of a target, short against a working day.
const HOLD_SPAN: Duration = Duration::from_secs(600);

/// Most times that the hold is doubled: it stays under a day.
const MOST_RENEWALS: u32 = 7;

/// Requests that are held back, those that lapse last; each is 80 bytes in the store.
const MOST_HELD: usize = 64;

/// Least time after which one who has heard of a hold puts it into the store, where the
/// one who found it has not.
const HEARD_WRITE_WAIT: Duration = Duration::from_secs(1);

/// Time over which the writes of those who have heard of it are spread.
const SPREAD_WRITE_WAIT: Duration = Duration::from_secs(2);

/// Time after which a write that did not show in the store is tried again, doubled each time.
const WRITE_STEP: Duration = Duration::from_millis(500);

/// Most times that it is doubled: to eight seconds.
const MOST_DOUBLED_STEPS: u32 = 4;

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

/// Who saw that a target ended under a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndSource {
    /// This process: the request was its own.
    Own,
    /// Another one.
    Heard,
}

/// A request that is held back, or was until a while ago.
#[derive(Debug)]
struct HeldState {
    record: QuarantineRecord,
    /// Since when; the record says so once it was written.
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

/// The requests that are held back.
#[derive(Debug, Default)]
pub struct HoldList {
    held: BTreeMap<RequestDigest, HeldState>,
    /// Requests that are held back and were not told of here.
    found: Vec<RequestDigest>,
    /// This process's place, from 0 to 1, among those who write the same.
    place: f64,
    /// Writes in a row that did not show in the store.
    failed_writes: u32,
}

impl HoldList {
    /// A list that is empty. `place`, from 0 to 1, is at random, and spreads the writes of
    /// processes that have heard of the same.
    #[must_use]
    pub fn new(place: f64) -> Self {
        HoldList { place, ..HoldList::default() }
    }

    /// Returns true where nothing is held back, or was a while ago.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
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

    /// The lives that ended under a request, none where it was never held back.
    #[must_use]
    pub fn lives_of(&self, digest: &RequestDigest) -> Option<&[TargetLife]> {
        self.held.get(digest).map(|held| &*held.lives)
    }

    /// Returns true where a request that is held back explains the end of a life.
    #[must_use]
    pub fn explains(&self, life: &TargetLife) -> bool {
        self.held.values().any(|held| held.lives.contains(life))
    }

    /// Adds a life that ended under a request of the list. Returns false where that is
    /// known, or `most` lives are.
    pub fn add_life(
        &mut self,
        digest: &RequestDigest,
        life: &TargetLife,
        most: usize,
        source: EndSource,
        now: Tick,
    ) -> bool {
        let Some(held) = self.held.get_mut(digest) else { return false };
        if held.lives.contains(life) || held.lives.len() >= most {
            return false;
        }
        held.lives.push(life.clone());
        held.source = source;
        held.is_renewed |= held.lapses_at <= now;
        true
    }

    /// Holds a request back under which these lives ended.
    pub fn hold(
        &mut self,
        digest: RequestDigest,
        lives: Vec<TargetLife>,
        source: EndSource,
        now: Tick,
    ) {
        self.insert(digest, 0, lives, source, now);
    }

    /// Holds back again what ended a target after its hold.
    pub fn renew(&mut self, now: Tick) {
        let renewed = self.held.values().filter(|held| held.is_renewed);
        let digests: Vec<_> = renewed.map(|held| held.record.digest).collect();
        for digest in digests {
            if let Some(held) = self.held.remove(&digest) {
                let renewals = held.record.renewals + 1;
                self.insert(digest, renewals, held.lives, held.source, now);
            }
        }
    }

    fn insert(
        &mut self,
        digest: RequestDigest,
        renewals: u32,
        lives: Vec<TargetLife>,
        source: EndSource,
        now: Tick,
    ) {
        let wait = match source {
            EndSource::Own => Duration::ZERO,
            EndSource::Heard => self.heard_wait(),
        };
        // The Unix time is set where it is written.
        let record = QuarantineRecord { digest, since_ms: 0, renewals };
        let held = HeldState::new(record, lives, now);
        self.held.insert(digest, HeldState { source, write_at: Some(now + wait), ..held });
        self.found.push(digest);
        self.bound();
    }

    /// Requests that are held back since the last call.
    pub fn take_found(&mut self) -> Vec<RequestDigest> {
        std::mem::take(&mut self.found)
    }

    /// Takes what the store keeps, read at a Unix time; `lives_of` takes the lives that
    /// were known of a request that was not held back here.
    pub fn take_records(
        &mut self,
        records: &[QuarantineRecord],
        unix_ms: u64,
        now: Tick,
        mut lives_of: impl FnMut(&RequestDigest) -> Vec<TargetLife>,
    ) {
        for record in records {
            self.take_record(*record, unix_ms, now, &mut lives_of);
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
        self.bound();
    }

    fn take_record(
        &mut self,
        record: QuarantineRecord,
        unix_ms: u64,
        now: Tick,
        lives_of: &mut impl FnMut(&RequestDigest) -> Vec<TargetLife>,
    ) {
        let known = self.held.get(&record.digest);
        if known.is_some_and(|held| held.record.renewals > record.renewals) {
            return;
        }
        if known.is_none() {
            self.found.push(record.digest);
        }
        let lives = self.held.remove(&record.digest).map(|held| held.lives);
        let lives = lives.unwrap_or_else(|| lives_of(&record.digest));
        let lapses_at = now + record.left_at(unix_ms);
        let held = HeldState { lapses_at, ..HeldState::new(record, lives, now) };
        self.held.insert(record.digest, held);
    }

    /// When something is to be put into the store next, none where all of it is there.
    #[must_use]
    pub fn write_due(&self) -> Option<Tick> {
        self.held.values().filter_map(|held| held.write_at).min()
    }

    /// What the store is to keep, where something is due; tried again later unless
    /// [`HoldList::take_records`] shows that it is there.
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

    /// Forgets what lapsed long ago: as long as it was held back.
    pub fn expire(&mut self, now: Tick) {
        self.held.retain(|_, held| now.since(held.lapses_at) <= held.record.hold_span());
    }

    /// Time after which this process writes what another one should have written.
    fn heard_wait(&self) -> Duration {
        HEARD_WRITE_WAIT + SPREAD_WRITE_WAIT.mul_f64(self.place)
    }

    fn bound(&mut self) {
        while self.held.len() > MOST_HELD {
            let first = self.held.iter().min_by_key(|(_, held)| held.lapses_at);
            let Some(first) = first.map(|(digest, _)| *digest) else { return };
            self.held.remove(&first);
        }
    }
}

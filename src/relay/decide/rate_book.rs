//! Which targets take a bounded rate, as far as it is known here.
//!
//! Entries and agents tell one another of it beside the notes that they send anyway, so that
//! an entry that was idle knows a rate before it sends its first request there.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::rate_limit::RateLimit;
use super::target_state::TargetLife;
use crate::time::Tick;

/// Most targets of which a rate is known.
const MOST_KNOWN: usize = 1_024;

/// Most targets that one note tells of: it has to fit into a datagram.
const MOST_TOLD: usize = 4;

/// Times that a change is told of: a datagram may be lost.
const CHANGE_NOTES: u32 = 3;

/// Occasions of which one is used to tell of what has not changed.
const QUIET_OCCASIONS: u32 = 8;

/// Part of a rate by which another one differs that is told at once.
const NOTABLE_PART: f64 = 0.25;

/// Age up to which word of the same rate is nothing new. What is passed on grows younger by
/// the time that it is under way, and would go round for ever.
const SAME_SPAN: Duration = Duration::from_millis(500);

/// Least time for which a rate is believed of which nothing more is heard; some of that more
/// by the process, so that not all try the target at the same moment.
const KEPT_SPAN: Duration = Duration::from_secs(600);

/// What one process tells another of a target's rate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RateNews {
    /// The target.
    #[serde(rename = "l")]
    pub life: TargetLife,
    /// The rate that it takes, none where it names none any more.
    #[serde(rename = "r")]
    pub rate: Option<RateLimit>,
    /// How long that is known, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u32,
}

#[derive(Clone, Copy, Debug)]
struct KnownRate {
    rate: Option<RateLimit>,
    at: Tick,
}

/// What another process was told of rates.
#[derive(Clone, Copy, Debug, Default)]
pub struct RateTold {
    change: u64,
    notes: u32,
}

/// The newest word of each target's rate.
#[derive(Debug, Default)]
pub struct RateBook {
    known: HashMap<TargetLife, KnownRate>,
    /// Counts changes that are worth telling at once.
    change: u64,
    /// Where the next note begins, where not all fit into one.
    cursor: usize,
}

impl RateBook {
    /// Takes a rate that an answer names. Returns true where it was not known.
    pub fn note_named(&mut self, life: &TargetLife, rate: RateLimit, now: Tick) -> bool {
        self.put(life, KnownRate { rate: Some(rate), at: now })
    }

    /// Takes an answer that names no rate, to a request that was sent at `sent_at`. Returns
    /// true where that ends one: answers may overtake one another, so the request has to be
    /// later than all that is known.
    pub fn note_silent(&mut self, life: &TargetLife, sent_at: Tick) -> bool {
        let known = self.known.get_mut(life);
        let ended = known.filter(|known| known.rate.is_some() && known.at < sent_at);
        let Some(ended) = ended else { return false };
        *ended = KnownRate { rate: None, at: sent_at };
        self.change += 1;
        true
    }

    /// Takes what another process tells. Returns true where it changes anything.
    pub fn take(&mut self, news: &RateNews, now: Tick) -> bool {
        let at = now - Duration::from_millis(news.age_ms.into());
        let told = KnownRate { rate: news.rate, at };
        match self.known.get(&news.life) {
            Some(known) if known.at >= at => false,
            Some(known) if known.rate == told.rate && at.since(known.at) < SAME_SPAN => false,
            // That there is none is what everybody takes to be so.
            None if told.rate.is_none() => false,
            _ => self.put(&news.life, told),
        }
    }

    /// The rate that a target takes, none where it takes any.
    #[must_use]
    pub fn rate_of(&self, life: &TargetLife) -> Option<RateLimit> {
        self.known.get(life)?.rate
    }

    /// Returns true where a target of that name takes a bounded rate.
    #[must_use]
    pub fn is_scarce(&self, name: &str) -> bool {
        let known = self.known.iter().filter(|(life, _)| &*life.incarnation == name);
        known.into_iter().any(|(_, known)| known.rate.is_some())
    }

    /// What is known of one target.
    #[must_use]
    pub fn to_news_of(&self, life: &TargetLife, now: Tick) -> Option<RateNews> {
        let known = self.known.get(life)?;
        let age_ms = now.since(known.at).as_millis().try_into().unwrap_or(u32::MAX);
        Some(RateNews { life: life.clone(), rate: known.rate, age_ms })
    }

    /// What is told now to a process that was told before as `told` says: of changes at
    /// once, and of all from time to time. What does not fit into one note is in the next.
    pub fn to_news(&mut self, told: &mut RateTold, now: Tick) -> Vec<RateNews> {
        if told.change != self.change {
            *told = RateTold { change: self.change, notes: 0 };
        }
        told.notes += 1;
        let notes = told.notes;
        if notes > CHANGE_NOTES && !notes.is_multiple_of(QUIET_OCCASIONS) {
            return Vec::new();
        }
        let mut lives: Vec<_> = self.known.keys().cloned().collect();
        lives.sort_unstable();
        let first = self.cursor.checked_rem(lives.len()).unwrap_or(0);
        self.cursor = first + MOST_TOLD;
        lives.rotate_left(first);
        lives.truncate(MOST_TOLD);
        lives.iter().filter_map(|life| self.to_news_of(life, now)).collect()
    }

    /// Forgets what is too old to be believed. `spread`, from 0 to 1, is the process's own.
    /// Returns true where anything was.
    pub fn expire(&mut self, spread: f64, now: Tick) -> bool {
        let before = self.known.len();
        let kept = KEPT_SPAN.mul_f64(1.0 + spread);
        self.known.retain(|_, known| now.since(known.at) < kept);
        self.known.len() < before
    }

    /// Targets of which something is known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Returns true where nothing is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    fn put(&mut self, life: &TargetLife, word: KnownRate) -> bool {
        if self.known.len() >= MOST_KNOWN && !self.known.contains_key(life) {
            let oldest = self.known.iter().min_by_key(|(_, known)| known.at);
            if let Some(oldest) = oldest.map(|(life, _)| life.clone()) {
                self.known.remove(&oldest);
            }
        }
        let former = self.known.insert(life.clone(), word).and_then(|former| former.rate);
        if is_notable(former, word.rate) {
            self.change += 1;
        }
        former != word.rate
    }
}

/// Returns true where others are to be told of a change at once.
fn is_notable(former: Option<RateLimit>, rate: Option<RateLimit>) -> bool {
    match (former, rate) {
        (Some(former), Some(rate)) => {
            let (former, rate) = (former.per_second(), rate.per_second());
            (former - rate).abs() > NOTABLE_PART * former.max(rate)
        }
        (former, rate) => former.is_some() != rate.is_some(),
    }
}

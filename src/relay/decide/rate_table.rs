//! Known rate limits of targets.
//!
//! Entries and agents exchange them along with the peer messages that they send anyway, so an
//! entry that was idle knows the limit of a target before it sends its first request there.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::rate_limit::RateLimit;
use super::target_state::TargetInstance;
use crate::time::Tick;

/// Maximum number of targets in the table.
const MAX_KNOWN: usize = 1_024;

/// Maximum number of targets in one peer message, which has to fit into a datagram.
const MAX_UPDATES: usize = 4;

/// Number of rounds in which a change is announced, as a datagram may be lost.
const CHANGE_ROUNDS: u32 = 3;

/// Rounds between two announcements of limits that have not changed.
const REFRESH_INTERVAL: u32 = 8;

/// Relative difference between two rates above which a change is announced at once.
const NOTABLE_CHANGE: f64 = 0.25;

/// Age difference up to which an update with the same limit is a duplicate. A forwarded update
/// appears younger by its time in transit, and without this it would circulate forever.
const SAME_WINDOW: Duration = Duration::from_millis(500);

/// Minimum time for which a limit applies without further updates. Each process adds a part of
/// it, so that they do not all try the target at the same moment.
const RATE_TTL: Duration = Duration::from_secs(600);

/// Update of a target's rate limit, as exchanged between processes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RateUpdate {
    /// The target.
    #[serde(rename = "l")]
    pub instance: TargetInstance,
    /// The limit; `None` if the target states none any more.
    #[serde(rename = "r")]
    pub rate: Option<RateLimit>,
    /// Age of the information, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u32,
}

#[derive(Clone, Copy, Debug)]
struct KnownRate {
    rate: Option<RateLimit>,
    at: Tick,
}

/// Which change of a [`RateTable`] was announced to another process, and in how many rounds.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnnouncedRates {
    change: u64,
    rounds: u32,
}

/// The latest known rate limit of each target.
#[derive(Debug, Default)]
pub struct RateTable {
    known: HashMap<TargetInstance, KnownRate>,
    /// Number of changes that had to be announced at once.
    change: u64,
    /// Position of the first target in the next message, as not all may fit into one.
    cursor: usize,
}

impl RateTable {
    /// Records a limit that an answer states.
    ///
    /// Returns `true` if the limit is new.
    pub fn record_limit(&mut self, instance: &TargetInstance, rate: RateLimit, now: Tick) -> bool {
        self.put(instance, KnownRate { rate: Some(rate), at: now })
    }

    /// Records an answer that states no limit, to a request that was sent at `sent_at`.
    ///
    /// Returns `true` if that ends a known limit. Answers may overtake one another, so only a
    /// request that was sent later than the limit was learned ends it.
    pub fn record_no_limit(&mut self, instance: &TargetInstance, sent_at: Tick) -> bool {
        let known = self.known.get_mut(instance);
        let ended = known.filter(|known| known.rate.is_some() && known.at < sent_at);
        let Some(ended) = ended else { return false };
        *ended = KnownRate { rate: None, at: sent_at };
        self.change += 1;
        true
    }

    /// Applies an update of another process.
    ///
    /// Returns `true` if it changes the limit of the target.
    pub fn apply_update(&mut self, update: &RateUpdate, now: Tick) -> bool {
        let at = now - Duration::from_millis(update.age_ms.into());
        let new = KnownRate { rate: update.rate, at };
        match self.known.get(&update.instance) {
            Some(known) if known.at >= at => false,
            Some(known) if known.rate == new.rate && at.since(known.at) < SAME_WINDOW => false,
            // A target that is not in the table has no limit.
            None if new.rate.is_none() => false,
            _ => self.put(&update.instance, new),
        }
    }

    /// Returns the limit of a target; `None` if it has none.
    #[must_use]
    pub fn rate_of(&self, instance: &TargetInstance) -> Option<RateLimit> {
        self.known.get(instance)?.rate
    }

    /// Returns `true` if any instance of the named target has a limit.
    #[must_use]
    pub fn is_rate_limited(&self, name: &str) -> bool {
        let known = self.known.iter().filter(|(instance, _)| &*instance.incarnation == name);
        known.into_iter().any(|(_, known)| known.rate.is_some())
    }

    /// Returns what is known about one target, as an update; `None` if nothing is.
    #[must_use]
    pub fn to_update(&self, instance: &TargetInstance, now: Tick) -> Option<RateUpdate> {
        let known = self.known.get(instance)?;
        let age_ms = now.since(known.at).as_millis().try_into().unwrap_or(u32::MAX);
        Some(RateUpdate { instance: instance.clone(), rate: known.rate, age_ms })
    }

    /// Returns the updates for the next message to a process, and records them in `announced`.
    ///
    /// Changes are announced at once, and all known limits from time to time. Targets that do not
    /// fit into one message are in the next.
    pub fn to_updates(&mut self, announced: &mut AnnouncedRates, now: Tick) -> Vec<RateUpdate> {
        if announced.change != self.change {
            *announced = AnnouncedRates { change: self.change, rounds: 0 };
        }
        announced.rounds += 1;
        let rounds = announced.rounds;
        if rounds > CHANGE_ROUNDS && !rounds.is_multiple_of(REFRESH_INTERVAL) {
            return Vec::new();
        }
        let mut instances: Vec<_> = self.known.keys().cloned().collect();
        instances.sort_unstable();
        let first = self.cursor.checked_rem(instances.len()).unwrap_or(0);
        self.cursor = first + MAX_UPDATES;
        instances.rotate_left(first);
        instances.truncate(MAX_UPDATES);
        instances.iter().filter_map(|instance| self.to_update(instance, now)).collect()
    }

    /// Removes outdated limits. `jitter`, from 0 to 1, differs between processes.
    ///
    /// Returns `true` if any was removed.
    pub fn expire(&mut self, jitter: f64, now: Tick) -> bool {
        let before = self.known.len();
        let ttl = RATE_TTL.mul_f64(1.0 + jitter);
        self.known.retain(|_, known| now.since(known.at) < ttl);
        self.known.len() < before
    }

    /// Returns the number of targets in the table.
    #[must_use]
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Returns `true` if the table has no target.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    fn put(&mut self, instance: &TargetInstance, new: KnownRate) -> bool {
        if self.known.len() >= MAX_KNOWN && !self.known.contains_key(instance) {
            let oldest = self.known.iter().min_by_key(|(_, known)| known.at);
            if let Some(oldest) = oldest.map(|(instance, _)| instance.clone()) {
                self.known.remove(&oldest);
            }
        }
        let former = self.known.insert(instance.clone(), new).and_then(|former| former.rate);
        if is_notable(former, new.rate) {
            self.change += 1;
        }
        former != new.rate
    }
}

/// Returns `true` if a change has to be announced at once.
fn is_notable(former: Option<RateLimit>, rate: Option<RateLimit>) -> bool {
    match (former, rate) {
        (Some(former), Some(rate)) => {
            let (former, rate) = (former.per_second(), rate.per_second());
            (former - rate).abs() > NOTABLE_CHANGE * former.max(rate)
        }
        (former, rate) => former.is_some() != rate.is_some(),
    }
}

//! What a target states about itself in its answers, besides their content.
//!
//! It is kept per instance of the target: it does not bind the next instance, but still binds
//! one that the target list drops and shows again.

use std::collections::HashMap;
use std::time::Duration;

use super::rate_limit::RateNotice;
use super::target_state::{TargetInstance, TargetRecord};
use crate::relay::discovery::store_revision::StoreRevision;
use crate::time::Tick;

/// Time for which the notices of a removed target are kept: a target that leaves may keep
/// serving for many seconds, and its list entry may reappear meanwhile.
const REMOVED_TTL: Duration = Duration::from_secs(60);

/// Time after its removal for which a target that reappears in a store restored from a backup is
/// not used. Targets write their entries again meanwhile, and a target that has ended is
/// dropped after three heartbeats.
const REWRITE_WINDOW: Duration = Duration::from_secs(5);

/// Maximum number of removed targets whose notices are kept.
const MAX_REMOVED: usize = 1_024;

/// What an answer states about the target that gave it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TargetNotice {
    /// Whether the target is leaving: it accepts no new requests from now on.
    pub is_leaving: bool,
    /// Time for which this process must not send it further requests.
    pub backoff: Option<Duration>,
    /// The rate limit that it applies to all entries together.
    pub rate: RateNotice,
    /// Time for which it is cold, zero if it states that it is warm.
    pub warmup: Option<Duration>,
}

impl TargetNotice {
    /// Returns `true` if the answer states nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self == TargetNotice::default()
    }
}

/// What a target has stated in all its answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NoticeState {
    /// Whether the target is leaving.
    pub is_leaving: bool,
    /// When the target accepts requests again.
    pub backoff_until: Tick,
}

impl NoticeState {
    /// Merges the notice of one more answer. Nothing is withdrawn, as answers may overtake one
    /// another.
    pub fn merge(&mut self, notice: &TargetNotice, now: Tick) {
        self.is_leaving |= notice.is_leaving;
        if let Some(backoff) = notice.backoff {
            self.backoff_until = self.backoff_until.max(now + backoff);
        }
    }
}

/// A target that is no longer listed.
#[derive(Debug)]
struct RemovedTarget {
    notice: NoticeState,
    listed_at: StoreRevision,
    removed_at: Tick,
}

/// The notices of targets that are no longer listed.
#[derive(Debug, Default)]
pub struct NoticeCache {
    removed: HashMap<TargetInstance, RemovedTarget>,
}

impl NoticeCache {
    /// Stores the notice of a target that is no longer listed.
    pub fn insert(&mut self, record: &TargetRecord, notice: NoticeState, now: Tick) {
        self.expire(now);
        if self.removed.len() >= MAX_REMOVED {
            let oldest = self.removed.iter().min_by_key(|(_, removed)| removed.removed_at);
            if let Some(oldest) = oldest.map(|(instance, _)| instance.clone()) {
                self.removed.remove(&oldest);
            }
        }
        let listed_at = record.listed_at;
        let removed = RemovedTarget { notice, listed_at, removed_at: now };
        self.removed.insert(record.to_instance(), removed);
    }

    /// Removes and returns the stored notice of a target that is listed again.
    pub fn restore(&mut self, record: &TargetRecord, now: Tick) -> NoticeState {
        self.expire(now);
        let Some(removed) = self.removed.remove(&record.to_instance()) else {
            return NoticeState::default();
        };
        let mut notice = removed.notice;
        if record.listed_at.is_copy_of(removed.listed_at) {
            notice.backoff_until = notice.backoff_until.max(removed.removed_at + REWRITE_WINDOW);
        }
        notice
    }

    /// Returns the number of stored notices.
    #[must_use]
    pub fn len(&self) -> usize {
        self.removed.len()
    }

    /// Returns `true` if no notice is stored.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.removed.is_empty()
    }

    fn expire(&mut self, now: Tick) {
        self.removed.retain(|_, removed| now.since(removed.removed_at) < REMOVED_TTL);
    }
}

//! What a target says of itself in its answers, beside what it answers.
//!
//! It is kept by the target's life: a new life owes nothing of it, and one that the list has
//! dropped and shows again is still bound by it.

use std::collections::HashMap;
use std::time::Duration;

use super::rate_limit::RateWord;
use super::target_state::{TargetLife, TargetRecord};
use crate::relay::discovery::store_revision::StoreRevision;
use crate::time::Tick;

/// Time for which it is remembered what a target said that is not listed any more: a target
/// that leaves may serve on for many seconds, and its entry may come back meanwhile.
const KEPT_SPAN: Duration = Duration::from_secs(60);

/// Time after its removal for which a target is left alone that a store shows again which is
/// back from a copy: what targets wrote since is written again, and a target that has ended
/// is dropped after three heartbeats.
const REWRITTEN_SPAN: Duration = Duration::from_secs(5);

/// Most targets of which that is remembered.
const MOST_KEPT: usize = 1_024;

/// What an answer says of the target that gave it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TargetNotice {
    /// True where the target is leaving: it takes nothing new from now on.
    pub is_leaving: bool,
    /// Time for which it wants nothing more from this process.
    pub backoff: Option<Duration>,
    /// The rate that it takes from all entries together.
    pub rate: RateWord,
    /// For how long it is cold, zero where it says that it is warm.
    pub warmup: Option<Duration>,
}

impl TargetNotice {
    /// Returns true where it says nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self == TargetNotice::default()
    }
}

/// What a target has said in all its answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KeptNotice {
    /// True where it is leaving.
    pub is_leaving: bool,
    /// When it wants requests again.
    pub backoff_until: Tick,
}

impl KeptNotice {
    /// Adds what one more answer says. Nothing is taken back: answers may overtake one
    /// another.
    pub fn take(&mut self, notice: &TargetNotice, now: Tick) {
        self.is_leaving |= notice.is_leaving;
        if let Some(span) = notice.backoff {
            self.backoff_until = self.backoff_until.max(now + span);
        }
    }
}

/// A target that is not listed any more.
#[derive(Debug)]
struct FormerTarget {
    said: KeptNotice,
    listed_at: StoreRevision,
    removed_at: Tick,
}

/// What targets said that are not listed any more.
#[derive(Debug, Default)]
pub struct NoticeMemory {
    former: HashMap<TargetLife, FormerTarget>,
}

impl NoticeMemory {
    /// Keeps what a target has said that is not listed any more.
    pub fn keep(&mut self, record: &TargetRecord, said: KeptNotice, now: Tick) {
        self.expire(now);
        if self.former.len() >= MOST_KEPT {
            let oldest = self.former.iter().min_by_key(|(_, former)| former.removed_at);
            if let Some(oldest) = oldest.map(|(life, _)| life.clone()) {
                self.former.remove(&oldest);
            }
        }
        let listed_at = record.listed_at;
        let former = FormerTarget { said, listed_at, removed_at: now };
        self.former.insert(record.to_life(), former);
    }

    /// What a target has said before that is listed anew.
    pub fn recall(&mut self, record: &TargetRecord, now: Tick) -> KeptNotice {
        self.expire(now);
        let Some(former) = self.former.remove(&record.to_life()) else {
            return KeptNotice::default();
        };
        let mut said = former.said;
        if record.listed_at.is_copy_of(former.listed_at) {
            said.backoff_until = said.backoff_until.max(former.removed_at + REWRITTEN_SPAN);
        }
        said
    }

    /// How many targets are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.former.len()
    }

    /// Returns true where none is.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.former.is_empty()
    }

    fn expire(&mut self, now: Tick) {
        self.former.retain(|_, former| now.since(former.removed_at) < KEPT_SPAN);
    }
}

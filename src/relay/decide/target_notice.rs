//! What a target says of itself in its answers, beside what it answers.
//!
//! It is kept by the target's life: a new life owes nothing of it, and one that the list has
//! dropped and shows again is still bound by it.

use std::collections::HashMap;
use std::time::Duration;

use super::target_state::TargetLife;
use crate::time::Tick;

/// Time for which it is remembered what a target said that is not listed any more: a target
/// that leaves may serve on for many seconds, and its entry may come back meanwhile.
const KEPT_SPAN: Duration = Duration::from_secs(60);

/// Most targets of which that is remembered.
const MOST_KEPT: usize = 1_024;

/// What an answer says of the target that gave it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetNotice {
    /// True where the target is leaving: it takes nothing new from now on.
    pub is_leaving: bool,
    /// Time for which it wants nothing more from this process.
    pub backoff: Option<Duration>,
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

    fn binds(&self, now: Tick) -> bool {
        self.is_leaving || self.backoff_until > now
    }
}

/// What targets said that are not listed any more, and when each was listed last.
#[derive(Debug, Default)]
pub struct NoticeMemory {
    kept: HashMap<TargetLife, (KeptNotice, Tick)>,
}

impl NoticeMemory {
    /// Keeps what a life has said that is not listed any more.
    pub fn keep(&mut self, life: TargetLife, notice: KeptNotice, now: Tick) {
        if !notice.binds(now) {
            return;
        }
        self.expire(now);
        if self.kept.len() >= MOST_KEPT {
            let oldest = self.kept.iter().min_by_key(|(_, (_, at))| *at);
            if let Some(oldest) = oldest.map(|(life, _)| life.clone()) {
                self.kept.remove(&oldest);
            }
        }
        self.kept.insert(life, (notice, now));
    }

    /// What a life has said before, where it is listed anew.
    pub fn recall(&mut self, life: &TargetLife, now: Tick) -> KeptNotice {
        self.expire(now);
        self.kept.remove(life).map(|(notice, _)| notice).unwrap_or_default()
    }

    /// How many targets are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.kept.len()
    }

    /// Returns true where none is.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.kept.is_empty()
    }

    fn expire(&mut self, now: Tick) {
        self.kept.retain(|_, (_, at)| now.since(*at) < KEPT_SPAN);
    }
}

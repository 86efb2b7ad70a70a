//! Which lives of targets have ended, and which attempts were there.
//!
//! A connection that breaks may mean that its target has ended, or nothing of it. The
//! word of the end comes from elsewhere, before or after.

use std::collections::VecDeque;
use std::time::Duration;

use super::request_digest::RequestDigest;
use super::targets::TargetLife;
use crate::time::Tick;

/// Time between the end of an attempt and the word that its target has ended: four
/// heartbeats of a target, and an answer of a slow store.
const CONFIRM_SPAN: Duration = Duration::from_secs(10);

/// Time for which an attempt's events came after which its target ended by something
/// else: a cause ends its target soon after it begins there, within 0.11 s where it was
/// seen.
const SETTLED_SPAN: Duration = Duration::from_secs(2);

/// Lives that ended lately: a few times as many as a failure domain has targets.
const MOST_ENDED: usize = 512;

/// Attempts that broke, at targets that are not known to have ended: 16 at each of 64.
const MOST_BROKEN: usize = 1_024;

/// An attempt that broke, at a target that is not known to have ended.
#[derive(Debug)]
struct BrokenAttempt {
    digest: RequestDigest,
    life: TargetLife,
    at: Tick,
}

/// Joins attempts that broke with the ends of their targets.
#[derive(Debug, Default)]
pub struct EndTracker {
    broken: VecDeque<BrokenAttempt>,
    ended: VecDeque<(TargetLife, Tick)>,
}

impl EndTracker {
    /// Notes that the connection of an attempt broke, whose events had come for `settled`.
    /// Returns true where its target is known to have ended by that time.
    pub fn note_broken(
        &mut self,
        digest: RequestDigest,
        life: &TargetLife,
        settled: Duration,
        now: Tick,
    ) -> bool {
        if settled >= SETTLED_SPAN {
            return false;
        }
        self.expire(now);
        if self.has_ended(life) {
            return true;
        }
        self.broken.push_back(BrokenAttempt { digest, life: life.clone(), at: now });
        if self.broken.len() > MOST_BROKEN {
            self.broken.pop_front();
        }
        false
    }

    /// Notes that a life has ended without having said that it would. Returns the requests
    /// whose attempts broke there.
    pub fn note_ended(&mut self, life: &TargetLife, now: Tick) -> Vec<RequestDigest> {
        self.expire(now);
        if !self.has_ended(life) {
            self.ended.push_back((life.clone(), now));
        }
        if self.ended.len() > MOST_ENDED {
            self.ended.pop_front();
        }
        let there = self.broken.iter().filter(|attempt| attempt.life == *life);
        let digests = there.map(|attempt| attempt.digest).collect();
        self.broken.retain(|attempt| attempt.life != *life);
        digests
    }

    /// Returns true where a life is known to have ended lately.
    #[must_use]
    pub fn has_ended(&self, life: &TargetLife) -> bool {
        self.ended.iter().any(|(ended, _)| ended == life)
    }

    /// Notes that a target answered a request.
    pub fn note_served(&mut self, digest: &RequestDigest) {
        self.broken.retain(|attempt| attempt.digest != *digest);
    }

    /// Returns true where no attempt waits for word of its target.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.broken.is_empty()
    }

    /// Forgets what is too old to mean anything.
    fn expire(&mut self, now: Tick) {
        self.broken.retain(|attempt| now.since(attempt.at) <= CONFIRM_SPAN);
        self.ended.retain(|(_, at)| now.since(*at) <= CONFIRM_SPAN);
    }
}

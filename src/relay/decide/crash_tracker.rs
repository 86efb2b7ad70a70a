//! Matches broken attempts with the target instances that crashed.
//!
//! A broken connection may or may not mean that its target has crashed. The confirmation
//! of the crash comes from another source, before or after the connection breaks.

use std::collections::VecDeque;
use std::time::Duration;

use super::request_digest::RequestDigest;
use super::targets::TargetInstance;
use crate::time::Tick;

/// Maximum time between a broken attempt and the confirmation that its target crashed:
/// four heartbeats of a target, plus the response of a slow store.
const CONFIRM_WINDOW: Duration = Duration::from_secs(10);

/// Maximum time for which an attempt that crashes its target receives events. A request
/// that causes a crash does so soon after it begins, within 0.11 s in the observed cases;
/// an attempt that ran for longer than this was not the cause.
const MAX_TIME_TO_CRASH: Duration = Duration::from_secs(2);

/// Recently crashed instances to remember: a few times the targets of a failure domain.
const MAX_CRASHED: usize = 512;

/// Broken attempts to remember at targets without a confirmed crash: 16 at each of 64.
const MAX_BROKEN: usize = 1_024;

/// A broken attempt at a target without a confirmed crash.
#[derive(Debug)]
struct BrokenAttempt {
    digest: RequestDigest,
    instance: TargetInstance,
    at: Tick,
}

/// Matches broken attempts with crashes of their targets.
#[derive(Debug, Default)]
pub struct CrashTracker {
    broken: VecDeque<BrokenAttempt>,
    crashed: VecDeque<(TargetInstance, Tick)>,
}

impl CrashTracker {
    /// Records that the connection of an attempt broke after it had received events for
    /// `streamed_for`.
    ///
    /// Returns `true` if the crash of its target is confirmed already.
    pub fn record_broken(
        &mut self,
        digest: RequestDigest,
        instance: &TargetInstance,
        streamed_for: Duration,
        now: Tick,
    ) -> bool {
        if streamed_for >= MAX_TIME_TO_CRASH {
            return false;
        }
        self.expire(now);
        if self.has_crashed(instance) {
            return true;
        }
        self.broken.push_back(BrokenAttempt { digest, instance: instance.clone(), at: now });
        if self.broken.len() > MAX_BROKEN {
            self.broken.pop_front();
        }
        false
    }

    /// Records that an instance ended without announcing its shutdown.
    ///
    /// Returns the requests whose attempts broke there.
    pub fn record_crash(&mut self, instance: &TargetInstance, now: Tick) -> Vec<RequestDigest> {
        self.expire(now);
        if !self.has_crashed(instance) {
            self.crashed.push_back((instance.clone(), now));
        }
        if self.crashed.len() > MAX_CRASHED {
            self.crashed.pop_front();
        }
        let affected = self.broken.iter().filter(|attempt| attempt.instance == *instance);
        let digests = affected.map(|attempt| attempt.digest).collect();
        self.broken.retain(|attempt| attempt.instance != *instance);
        digests
    }

    /// Returns `true` if the instance is known to have crashed recently.
    #[must_use]
    pub fn has_crashed(&self, instance: &TargetInstance) -> bool {
        self.crashed.iter().any(|(crashed, _)| crashed == instance)
    }

    /// Records that a target answered a request.
    pub fn record_served(&mut self, digest: &RequestDigest) {
        self.broken.retain(|attempt| attempt.digest != *digest);
    }

    /// Returns `true` if no broken attempt awaits the confirmation of a crash.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.broken.is_empty()
    }

    /// Removes attempts and crashes older than [`CONFIRM_WINDOW`].
    fn expire(&mut self, now: Tick) {
        self.broken.retain(|attempt| now.since(attempt.at) <= CONFIRM_WINDOW);
        self.crashed.retain(|(_, at)| now.since(*at) <= CONFIRM_WINDOW);
    }
}

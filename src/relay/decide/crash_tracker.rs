//! Matches broken attempts with the target instances that crashed.
//!
//! A broken connection may or may not mean that its target has crashed. The confirmation
//! of the crash comes from another source, before or after the connection breaks.

use std::collections::VecDeque;
use std::time::Duration;

use super::targets::TargetInstance;
use crate::time::Tick;

/// Maximum time between a broken attempt and the confirmation that its target crashed:
/// four heartbeats of a target, plus the response of a slow store.
const CONFIRM_WINDOW: Duration = Duration::from_secs(10);

/// Recently crashed instances to remember: a few times the targets of a failure domain.
const MAX_CRASHED: usize = 512;

/// Broken attempts to remember at targets without a confirmed crash: 16 at each of 64.
const MAX_BROKEN: usize = 1_024;

/// A broken attempt at a target without a confirmed crash.
#[derive(Debug)]
struct BrokenAttempt<A> {
    attempt: A,
    instance: TargetInstance,
    at: Tick,
}

/// Matches broken attempts with crashes of their targets. `A` describes an attempt.
#[derive(Debug)]
pub struct CrashTracker<A> {
    broken: VecDeque<BrokenAttempt<A>>,
    crashed: VecDeque<(TargetInstance, Tick)>,
}

impl<A> Default for CrashTracker<A> {
    fn default() -> Self {
        CrashTracker { broken: VecDeque::new(), crashed: VecDeque::new() }
    }
}

impl<A> CrashTracker<A> {
    /// Records that the connection of an attempt broke.
    ///
    /// Returns the attempt if the crash of its target is confirmed already.
    pub fn record_broken(&mut self, attempt: A, instance: &TargetInstance, now: Tick) -> Option<A> {
        self.expire(now);
        if self.has_crashed(instance) {
            return Some(attempt);
        }
        self.broken.push_back(BrokenAttempt { attempt, instance: instance.clone(), at: now });
        if self.broken.len() > MAX_BROKEN {
            self.broken.pop_front();
        }
        None
    }

    /// Records that an instance ended without announcing its shutdown.
    ///
    /// Returns the attempts that broke there.
    pub fn record_crash(&mut self, instance: &TargetInstance, now: Tick) -> Vec<A> {
        self.expire(now);
        if !self.has_crashed(instance) {
            self.crashed.push_back((instance.clone(), now));
        }
        if self.crashed.len() > MAX_CRASHED {
            self.crashed.pop_front();
        }
        let broken = std::mem::take(&mut self.broken);
        let (affected, others) = broken.into_iter().partition(|known| known.instance == *instance);
        self.broken = others;
        let affected: VecDeque<BrokenAttempt<A>> = affected;
        affected.into_iter().map(|known| known.attempt).collect()
    }

    /// Returns `true` if the instance is known to have crashed recently.
    #[must_use]
    pub fn has_crashed(&self, instance: &TargetInstance) -> bool {
        self.crashed_at(instance).is_some()
    }

    /// Returns when the crash of an instance was confirmed, if it crashed recently.
    #[must_use]
    pub fn crashed_at(&self, instance: &TargetInstance) -> Option<Tick> {
        let mut crashed = self.crashed.iter();
        crashed.find(|(crashed, _)| crashed == instance).map(|(_, at)| *at)
    }

    /// Keeps only the broken attempts that satisfy a condition.
    pub fn retain(&mut self, keep: impl Fn(&A) -> bool) {
        self.broken.retain(|known| keep(&known.attempt));
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

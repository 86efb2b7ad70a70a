//! Proof that the configuration of this process is the one in force.
//!
//! The proof is a linearizable read: it counts from the moment at which the
//! read was sent, not from its answer. While it is missing, a process goes by
//! its [`StalePolicy`].

use std::time::Duration;

use crate::time::Tick;

/// Part of the bound that is kept back: the two steady clocks may run apart,
/// and a request is older than the moment at which it was read.
const MARGIN: Duration = Duration::from_millis(250);

/// How much older than that of others a lapsed proof is where only this process
/// is cut off. In an outage for all, proofs differ by the time between two
/// reads, which is shorter.
const BEHIND: Duration = Duration::from_millis(3_500);

/// What a process does while it can not prove its configuration current.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StalePolicy {
    /// Lets in nobody who needs a key: a key that was taken away must not open
    /// anything some time later, also at a process that can not know.
    FailClosed,
    /// Serves on by the last configuration that was proven. A process that never
    /// had one lets nobody in.
    FailOpen,
}

/// Lease on the configuration, renewed by each read that proves it current.
#[derive(Debug)]
pub struct FreshnessLease {
    span: Duration,
    policy: StalePolicy,
    proven_at: Option<Tick>,
    /// The newest proof that other entries are known to have.
    others_at: Option<Tick>,
}

impl FreshnessLease {
    /// A lease that is not held yet, and lasts a little less than `bound`.
    #[must_use]
    pub fn new(bound: Duration, policy: StalePolicy) -> Self {
        FreshnessLease {
            span: bound.saturating_sub(MARGIN),
            policy,
            proven_at: None,
            others_at: None,
        }
    }

    /// Takes a changed bound and policy.
    pub fn set_bound(&mut self, bound: Duration, policy: StalePolicy) {
        self.span = bound.saturating_sub(MARGIN);
        self.policy = policy;
    }

    /// Renews the lease by a read that was sent at `sent_at`.
    pub fn renew(&mut self, sent_at: Tick) {
        self.proven_at = self.proven_at.max(Some(sent_at));
    }

    /// Notes that another entry proved its configuration at `at`.
    pub fn note_other(&mut self, at: Tick) {
        self.others_at = self.others_at.max(Some(at));
    }

    /// Returns true while the lease holds.
    #[must_use]
    pub fn is_held(&self, now: Tick) -> bool {
        self.is_current(self.proven_at, now)
    }

    /// Returns true where requests that need a key may be let in.
    #[must_use]
    pub fn permits_keys(&self, now: Tick) -> bool {
        self.is_held(now) || (self.policy == StalePolicy::FailOpen && self.permits_public())
    }

    /// Returns true where requests that need no key may be let in: a
    /// configuration was in force at some time.
    #[must_use]
    pub fn permits_public(&self) -> bool {
        self.proven_at.is_some()
    }

    /// Returns true where others hold a proof and this one's lapsed before: only
    /// this process is cut off, and callers are served better by the others.
    #[must_use]
    pub fn is_behind(&self, now: Tick) -> bool {
        self.others_hold(now)
            && !self.is_held(now)
            && self.others_at > self.proven_at.map(|at| at + BEHIND)
    }

    /// Returns true where another entry is known to hold a proof.
    fn others_hold(&self, now: Tick) -> bool {
        self.is_current(self.others_at, now)
    }

    /// How long a proof lasts.
    #[must_use]
    pub fn span(&self) -> Duration {
        self.span
    }

    /// When the configuration was proven current last.
    #[must_use]
    pub fn proven_at(&self) -> Option<Tick> {
        self.proven_at
    }

    /// Age of the newest proof, none where there was none.
    #[must_use]
    pub fn age(&self, now: Tick) -> Option<Duration> {
        self.proven_at.map(|at| now.since(at))
    }

    fn is_current(&self, proof: Option<Tick>, now: Tick) -> bool {
        proof.is_some_and(|at| now.since(at) < self.span)
    }
}

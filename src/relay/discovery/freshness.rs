//! Proof that the configuration of this process is the one in force.
//!
//! The proof is a linearizable read: it counts from the moment the read was sent, not from its
//! answer. Without a valid proof, a process follows its [`StalePolicy`].

use std::time::Duration;

use crate::time::Tick;

/// Part of the bound that is held in reserve: the two monotonic clocks may drift apart, and a
/// request is older than the moment at which it was read.
const MARGIN: Duration = Duration::from_millis(250);

/// How much older than the proofs of others a lapsed proof has to be for this process to count as
/// the only one cut off. In a common outage, proofs differ by less: by the interval between two
/// reads.
const ISOLATED_LAG: Duration = Duration::from_millis(3_500);

/// What a process does while it cannot prove its configuration current.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StalePolicy {
    /// Rejects requests that need a key: a revoked key must stop working within the bound, even at
    /// a process that cannot learn of the revocation.
    FailClosed,
    /// Keeps serving by the last proven configuration. A process that never had one admits no
    /// request.
    FailOpen,
}

/// Lease on the configuration, renewed by each read that proves it current.
#[derive(Debug)]
pub struct FreshnessLease {
    duration: Duration,
    policy: StalePolicy,
    proven_at: Option<Tick>,
    /// The newest proof that other entries are known to have.
    others_proven_at: Option<Tick>,
}

impl FreshnessLease {
    /// Creates a lease that is not held yet, and lasts a little less than `bound`.
    #[must_use]
    pub fn new(bound: Duration, policy: StalePolicy) -> Self {
        FreshnessLease {
            duration: bound.saturating_sub(MARGIN),
            policy,
            proven_at: None,
            others_proven_at: None,
        }
    }

    /// Applies a changed bound and policy.
    pub fn set_bound(&mut self, bound: Duration, policy: StalePolicy) {
        self.duration = bound.saturating_sub(MARGIN);
        self.policy = policy;
    }

    /// Renews the lease by a read that was sent at `sent_at`.
    pub fn renew(&mut self, sent_at: Tick) {
        self.proven_at = self.proven_at.max(Some(sent_at));
    }

    /// Records that another entry proved its configuration at `at`.
    pub fn record_other_proof(&mut self, at: Tick) {
        self.others_proven_at = self.others_proven_at.max(Some(at));
    }

    /// Returns `true` while the lease is held.
    #[must_use]
    pub fn is_held(&self, now: Tick) -> bool {
        self.is_current(self.proven_at, now)
    }

    /// Returns `true` if requests that need a key may be admitted.
    #[must_use]
    pub fn permits_keys(&self, now: Tick) -> bool {
        self.is_held(now) || (self.policy == StalePolicy::FailOpen && self.permits_public())
    }

    /// Returns `true` if requests that need no key may be admitted: some configuration has been
    /// proven.
    #[must_use]
    pub fn permits_public(&self) -> bool {
        self.proven_at.is_some()
    }

    /// Returns `true` if only this process is cut off: others hold a proof and this process's
    /// lapsed earlier, so that the others serve callers better.
    #[must_use]
    pub fn is_isolated(&self, now: Tick) -> bool {
        self.others_hold(now)
            && !self.is_held(now)
            && self.others_proven_at > self.proven_at.map(|at| at + ISOLATED_LAG)
    }

    /// Returns `true` if another entry is known to hold a proof.
    fn others_hold(&self, now: Tick) -> bool {
        self.is_current(self.others_proven_at, now)
    }

    /// Returns how long a proof lasts.
    #[must_use]
    pub fn duration(&self) -> Duration {
        self.duration
    }

    /// Returns when the configuration was last proven current.
    #[must_use]
    pub fn proven_at(&self) -> Option<Tick> {
        self.proven_at
    }

    /// Returns the age of the newest proof, `None` if there was none.
    #[must_use]
    pub fn age(&self, now: Tick) -> Option<Duration> {
        self.proven_at.map(|at| now.since(at))
    }

    fn is_current(&self, proof: Option<Tick>, now: Tick) -> bool {
        proof.is_some_and(|at| now.since(at) < self.duration)
    }
}

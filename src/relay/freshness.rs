//! Proof that the configuration of this process is the one in force.
//!
//! A key that was taken away must not open anything some time later, also at a
//! process that is cut off and can not know. So a process lets requests in
//! only while it can prove that its configuration was current a short while
//! ago. The proof is a linearizable read: it counts from the moment at which
//! the read was sent, not from its answer.

use std::time::Duration;

use crate::time::Tick;

/// Part of the bound that is kept back: the two steady clocks may run apart,
/// and a request is older than the moment at which it was read.
const MARGIN: Duration = Duration::from_millis(250);

/// Lease on the configuration, renewed by each read that proves it current.
#[derive(Debug)]
pub struct FreshnessLease {
    span: Duration,
    proven_at: Option<Tick>,
}

impl FreshnessLease {
    /// A lease that is not held yet, and lasts a little less than `bound`.
    #[must_use]
    pub fn new(bound: Duration) -> Self {
        FreshnessLease { span: bound.saturating_sub(MARGIN), proven_at: None }
    }

    /// Takes a changed bound.
    pub fn set_bound(&mut self, bound: Duration) {
        self.span = bound.saturating_sub(MARGIN);
    }

    /// Renews the lease by a read that was sent at `sent_at`.
    pub fn renew(&mut self, sent_at: Tick) {
        self.proven_at = self.proven_at.max(Some(sent_at));
    }

    /// Returns true while the lease holds.
    #[must_use]
    pub fn is_held(&self, now: Tick) -> bool {
        self.proven_at.is_some_and(|at| now.since(at) < self.span)
    }

    /// Age of the newest proof, none where there was none.
    #[must_use]
    pub fn age(&self, now: Tick) -> Option<Duration> {
        self.proven_at.map(|at| now.since(at))
    }
}

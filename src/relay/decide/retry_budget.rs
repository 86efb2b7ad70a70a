//! Bounds the retries of this process.
//!
//! All entries together may retry a ratio of a service's requests, plus a fixed number in each
//! window, the slack. Both are paid with credit that comes into being at the entries: each request
//! brings a part of a retry, and each entry has an equal part of the slack, which it deposits with
//! agents ([`super::slack_share`], [`super::shared_retry_budget`]). Nobody else creates credit, so
//! it does not matter which agent grants a retry, how often processes restart, or what is cut off.
//!
//! A retry arrives at its target at most [`MAX_ARRIVAL_DELAY`] after it was paid, with credit no
//! older than [`RetryBound::credit_lifetime`]. The retries that arrive in a window were therefore
//! paid with credit of a span that is longer than the window by these two, and
//! [`RetryBound::credit_share`] of what a window allows is handed out in each window's length.

use std::time::Duration;

use super::expiring_credit::ExpiringCredit;
use crate::silence::UNACKED_TIMEOUT;
use crate::time::Tick;

/// Time after its payment begins after which a retry that has not been sent lapses. Its request
/// acquires another.
pub const RETRY_SEND_WINDOW: Duration = Duration::from_millis(500);

/// Longest time from the acquisition of a retry to its arrival: a network that loses packets holds
/// it until the connection is closed.
pub const MAX_ARRIVAL_DELAY: Duration = RETRY_SEND_WINDOW.saturating_add(UNACKED_TIMEOUT);

/// Fraction of the window that credit lasts at least, in windows not much longer than the delay.
const MIN_LIFETIME_FRACTION: u32 = 4;

/// Credit units of one retry.
pub const RETRY_COST: u64 = 1_000_000;

/// The bound on the retries of all entries.
#[derive(Clone, Copy, Debug)]
pub struct RetryBound {
    /// Retries per request.
    pub ratio: f64,
    /// Retries in each window beyond the ratio.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

impl RetryBound {
    /// Returns the time for which credit can be spent.
    #[must_use]
    pub fn credit_lifetime(&self) -> Duration {
        let lifetime = self.window.saturating_sub(MAX_ARRIVAL_DELAY);
        lifetime.max(self.window / MIN_LIFETIME_FRACTION)
    }

    /// Returns the share of a window's retries for which credit is handed out in that time.
    #[must_use]
    pub fn credit_share(&self) -> f64 {
        let span = self.window + MAX_ARRIVAL_DELAY + self.credit_lifetime();
        self.window.as_secs_f64() / span.as_secs_f64()
    }
}

/// The retries of one service that this entry pays itself.
#[derive(Debug)]
pub struct RetryBudget {
    bound: RetryBound,
    credit: ExpiringCredit,
    /// When agents may be asked for a grant again.
    request_at: Tick,
}

impl RetryBudget {
    /// Creates a budget without credit.
    #[must_use]
    pub fn new(bound: RetryBound) -> Self {
        RetryBudget { bound, credit: ExpiringCredit::default(), request_at: Tick::default() }
    }

    /// Sets the bound, when the configuration changes.
    pub fn set_bound(&mut self, bound: RetryBound) {
        self.bound = bound;
    }

    /// Returns the bound on the retries of all entries.
    #[must_use]
    pub fn bound(&self) -> RetryBound {
        self.bound
    }

    /// Adds the credit of a caller's request.
    pub fn record_request(&mut self, now: Tick) {
        let retries = self.bound.ratio * self.bound.credit_share();
        self.credit.add((retries * RETRY_COST as f64) as u64, now);
    }

    /// Returns `true` if this entry's credit pays for a retry.
    pub fn has_retry(&mut self, now: Tick) -> bool {
        self.credit.balance(self.bound.credit_lifetime(), now) >= RETRY_COST
    }

    /// Pays for a retry; returns `false` if the credit does not suffice.
    pub fn take(&mut self, now: Tick) -> bool {
        self.credit.take(RETRY_COST, self.bound.credit_lifetime(), now)
    }

    /// Removes the credit that this entry adds to a grant, so that parts of retries are not lost.
    #[must_use]
    pub fn withdraw(&mut self, now: Tick) -> ExpiringCredit {
        self.credit.withdraw(RETRY_COST, self.bound.credit_lifetime(), now)
    }

    /// Returns the credit for a grant that was refused.
    pub fn put_back(&mut self, withdrawn: ExpiringCredit) {
        self.credit.put_back(withdrawn);
    }

    /// Returns `true` if agents may be asked for a grant.
    #[must_use]
    pub fn may_request(&self, now: Tick) -> bool {
        now >= self.request_at
    }

    /// Records that agents grant no retry until the given time.
    pub fn record_refusal(&mut self, until: Tick) {
        self.request_at = until;
    }
}

//! Bounds the retries of this process.
//!
//! All entries together may retry a ratio of a service's requests, plus a fixed number in each
//! window. Each request brings its entry a part of a retry. The fixed number is granted by one agent
//! for all entries ([`super::shared_retry_budget`]).
//!
//! A retry arrives at its target at most [`MAX_ARRIVAL_DELAY`] after it was paid, with credit no
//! older than [`RetryBound::credit_lifetime`]. The retries that arrive in a window were therefore
//! paid with credit of a span that is longer than the window by these two, and
//! [`RetryBound::credit_share`] of what a window allows is handed out in each window's length.

use std::time::Duration;

use super::expiring_credit::ExpiringCredit;
use crate::silence::UNACKED_TIMEOUT;
use crate::time::Tick;

/// Time after which an acquired retry that has not been sent lapses. Its request acquires another.
pub const RETRY_SEND_WINDOW: Duration = Duration::from_millis(300);

/// Longest time from the acquisition of a retry to its arrival: a network that loses packets holds
/// it until the connection is closed.
pub const MAX_ARRIVAL_DELAY: Duration = RETRY_SEND_WINDOW.saturating_add(UNACKED_TIMEOUT);

/// Fraction of the window that credit lasts at least, in windows not much longer than the delay.
const MIN_LIFETIME_FRACTION: u32 = 4;

/// Credit units of one retry.
const RETRY_COST: u64 = 1_000_000;

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
    /// When the last retry was made without a grant because no agent answered.
    ungranted_at: Option<Tick>,
    /// When agents may be asked for a grant again.
    request_at: Tick,
}

impl RetryBudget {
    /// Creates a budget without credit.
    #[must_use]
    pub fn new(bound: RetryBound) -> Self {
        RetryBudget {
            bound,
            credit: ExpiringCredit::default(),
            ungranted_at: None,
            request_at: Tick::default(),
        }
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

    /// Returns `true` if agents may be asked for a grant.
    #[must_use]
    pub fn may_request(&self, now: Tick) -> bool {
        now >= self.request_at
    }

    /// Records that agents grant no retry until the given time.
    pub fn record_refusal(&mut self, until: Tick) {
        self.request_at = until;
    }

    /// Spends a retry if no agent answers: one in each window, so that a fleet without agents
    /// can retry at all. Returns `false` if none is left.
    pub fn take_without_agent(&mut self, now: Tick) -> bool {
        let has_retry = self.ungranted_at.is_none_or(|at| now.since(at) > self.bound.window);
        if has_retry {
            self.ungranted_at = Some(now);
        }
        has_retry
    }
}

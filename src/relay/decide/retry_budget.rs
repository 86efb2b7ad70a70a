//! Bounds the retries of this process.
//!
//! All entries together may retry a ratio of a service's requests, plus a fixed number in each
//! window. Each entry applies the ratio to its own requests: the sum holds for any number of
//! entries, as long as none rounds its share up. The fixed number is granted by one agent for
//! all entries ([`super::shared_retry_budget`]): if it were divided among entries, each entry's
//! part would depend on their number, and on what restarted entries had spent before.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Tick;

/// Part of the ratio that an entry uses, as entries do not count their windows at the same
/// moment.
const USED_SHARE: f64 = 0.7;

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

/// Counts the requests and retries of one service.
#[derive(Debug)]
pub struct RetryBudget {
    bound: RetryBound,
    requests: VecDeque<Tick>,
    retries: VecDeque<Tick>,
    /// When the last retry was made without a grant because no agent answered.
    ungranted_at: Option<Tick>,
    /// When an agent may be asked for a grant again.
    request_at: Tick,
}

impl RetryBudget {
    /// Creates a budget of which nothing is spent.
    #[must_use]
    pub fn new(bound: RetryBound) -> Self {
        RetryBudget {
            bound,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
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

    /// Counts a request of a caller.
    pub fn record_request(&mut self, now: Tick) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Returns `true` if this entry's ratio leaves a retry.
    pub fn has_retry(&mut self, now: Tick) -> bool {
        self.expire(now);
        let allowed = self.bound.ratio * self.requests.len() as f64 * USED_SHARE;
        (self.retries.len() + 1) as f64 <= allowed
    }

    /// Spends a retry of this entry's ratio; returns `false` if none is left.
    pub fn take(&mut self, now: Tick) -> bool {
        let has_retry = self.has_retry(now);
        if has_retry {
            self.retries.push_back(now);
        }
        has_retry
    }

    /// Returns `true` if an agent may be asked for a grant.
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

    fn expire(&mut self, now: Tick) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|at| now.since(*at) > self.bound.window) {
                times.pop_front();
            }
        }
    }
}

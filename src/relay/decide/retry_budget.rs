//! How many second attempts this process may make.
//!
//! All entries together may send a service a share of its requests again, and some more in
//! each window. The share is each entry's own: the sum over all holds for any number of them,
//! as long as none rounds it up. What is allowed beside it is given by one agent for all
//! ([`super::slack_gate`]): divided among entries, it would depend on how many there are, and
//! on what those had spent that have just started again.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Tick;

/// Part of the share that is used: other entries count at other moments.
const USED_PART: f64 = 0.7;

/// The bound on second attempts over all entries.
#[derive(Clone, Copy, Debug)]
pub struct RetryBound {
    /// Second attempts for each request.
    pub ratio: f64,
    /// Second attempts in each window beside that.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Counts requests and second attempts of one service.
#[derive(Debug)]
pub struct RetryBudget {
    bound: RetryBound,
    requests: VecDeque<Tick>,
    retries: VecDeque<Tick>,
    /// When a second attempt was made of which no agent knows.
    alone_at: Option<Tick>,
    /// When an agent may give one again.
    slack_at: Tick,
}

impl RetryBudget {
    /// A budget of which nothing is spent.
    #[must_use]
    pub fn new(bound: RetryBound) -> Self {
        RetryBudget {
            bound,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
            alone_at: None,
            slack_at: Tick::default(),
        }
    }

    /// Takes a changed bound.
    pub fn set_bound(&mut self, bound: RetryBound) {
        self.bound = bound;
    }

    /// The bound over all entries.
    #[must_use]
    pub fn bound(&self) -> RetryBound {
        self.bound
    }

    /// Counts a request of a caller.
    pub fn note_request(&mut self, now: Tick) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Returns true where a second attempt of the own share is left.
    pub fn is_left(&mut self, now: Tick) -> bool {
        self.expire(now);
        let allowed = self.bound.ratio * self.requests.len() as f64 * USED_PART;
        (self.retries.len() + 1) as f64 <= allowed
    }

    /// Takes one of the own share, false where none is left.
    pub fn take(&mut self, now: Tick) -> bool {
        let is_left = self.is_left(now);
        if is_left {
            self.retries.push_back(now);
        }
        is_left
    }

    /// Returns true where an agent may give a second attempt.
    #[must_use]
    pub fn may_ask(&self, now: Tick) -> bool {
        now >= self.slack_at
    }

    /// Notes that no agent gives one until then.
    pub fn note_refused(&mut self, until: Tick) {
        self.slack_at = until;
    }

    /// Takes one where no agent answers: one in each window, so that a fleet without agents
    /// makes any at all.
    pub fn take_alone(&mut self, now: Tick) -> bool {
        let is_left = self.alone_at.is_none_or(|at| now.since(at) > self.bound.window);
        if is_left {
            self.alone_at = Some(now);
        }
        is_left
    }

    fn expire(&mut self, now: Tick) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|at| now.since(*at) > self.bound.window) {
                times.pop_front();
            }
        }
    }
}

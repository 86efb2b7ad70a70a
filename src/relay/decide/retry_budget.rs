//! How many second attempts this process may make.
//!
//! All entries together may send a service a share of its requests again, and
//! some more. Each entry takes its part by the entries that it knows of.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Tick;

/// Part of the bound that is used: other entries count at other moments.
const USED_PART: f64 = 0.7;

/// Entries that are assumed while none is known.
const ASSUMED_ENTRIES: usize = 8;

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
}

impl RetryBudget {
    /// A budget of which nothing is spent.
    #[must_use]
    pub fn new(bound: RetryBound) -> Self {
        RetryBudget { bound, requests: VecDeque::new(), retries: VecDeque::new() }
    }

    /// Takes a changed bound.
    pub fn set_bound(&mut self, bound: RetryBound) {
        self.bound = bound;
    }

    /// Counts a request of a caller.
    pub fn note_request(&mut self, now: Tick) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Returns true where a second attempt is left.
    pub fn is_left(&mut self, now: Tick, entries: Option<usize>) -> bool {
        self.expire(now);
        let entries = entries.unwrap_or(ASSUMED_ENTRIES).max(1) as f64;
        let allowed = self.bound.ratio * self.requests.len() as f64 + self.bound.slack / entries;
        (self.retries.len() as f64) < allowed * USED_PART
    }

    /// Takes one second attempt, false where none is left.
    pub fn take(&mut self, now: Tick, entries: Option<usize>) -> bool {
        let is_left = self.is_left(now, entries);
        if is_left {
            self.retries.push_back(now);
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

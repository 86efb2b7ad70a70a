//! Decides which new connections of callers an entry takes.
//!
//! For some seconds a balancer may hand most new connections to one entry. What that entry cannot
//! read in time is better read by another one: a caller whose connection is closed unread tries
//! again at once, while one that waits gives up only after a second.
//!
//! The gate bounds how many connections are taken between two measurements of the event loop's
//! delay. The bound shrinks while the loop is late and grows while it is in time, so that no turn of
//! the loop takes long. Connections that were taken before the loop turned out to be late are closed
//! when it comes to them.
//!
//! A delay shrinks the bound only if connections that the loop had not yet gone through may have caused
//! it. Any other has another cause, such as a process that stood still or that read a large
//! configuration, and says nothing about how many connections the loop can serve.

use std::time::Duration;

/// Delay of the event loop from which fewer connections are taken. A request takes some four turns
/// of the loop.
pub const LATE_DELAY: Duration = Duration::from_millis(250);

/// Delay of the event loop below which more connections are taken. A process with a small share of a
/// core may be late by a tenth of a second while it has little to do.
const PROMPT_DELAY: Duration = Duration::from_millis(125);

/// Smallest number of connections to take between two measurements.
const MIN_QUOTA: usize = 4;

/// Largest number of connections to take between two measurements.
const MAX_QUOTA: usize = 512;

/// Time from taking a connection to serving it after which it is closed.
const MAX_UNREAD_AGE: Duration = Duration::from_millis(400);

/// Share of the descriptors that connections of callers may use, beside those to targets, to the
/// store, and of the balancer.
const CALLER_SHARE: f64 = 0.6;

/// State of the entry that decides about new connections.
#[derive(Debug)]
pub struct ConnectionGate {
    max_open: Option<usize>,
    /// Number of connections to take between two measurements.
    quota: usize,
    /// Number of connections taken since the last measurement.
    taken: usize,
    /// Number of connections taken that the loop may not have gone through yet.
    unsettled: usize,
}

impl ConnectionGate {
    /// Creates a gate of a process that may use `max_descriptors`, `None` if that is unknown.
    #[must_use]
    pub fn new(max_descriptors: Option<usize>) -> Self {
        let mut gate = ConnectionGate { max_open: None, quota: MAX_QUOTA, taken: 0, unsettled: 0 };
        gate.set_max_descriptors(max_descriptors);
        gate
    }

    /// Sets how many descriptors the process may use, `None` if that is unknown.
    pub fn set_max_descriptors(&mut self, max_descriptors: Option<usize>) {
        self.max_open = max_descriptors.map(|max| (max as f64 * CALLER_SHARE) as usize);
    }

    /// Records by how much the event loop is late.
    pub fn record_delay(&mut self, delay: Duration) {
        if delay >= LATE_DELAY && self.unsettled > MIN_QUOTA {
            self.quota = (self.taken / 2).max(MIN_QUOTA);
        } else if delay < PROMPT_DELAY {
            self.quota = (self.quota + self.quota / 8 + 1).min(MAX_QUOTA);
            self.unsettled = self.unsettled.min(self.taken);
        }
        self.taken = 0;
    }

    /// Returns the number of connections taken that the loop may not have gone through yet.
    #[must_use]
    pub fn unsettled(&self) -> usize {
        self.unsettled
    }

    /// Records that the loop has gone through `count` connections, within `duration`.
    pub fn record_settled(&mut self, count: usize, duration: Duration) {
        if duration < PROMPT_DELAY {
            self.unsettled = self.unsettled.saturating_sub(count);
        }
    }

    /// Returns the number of connections to take until the next measurement.
    #[must_use]
    pub fn quota(&self) -> usize {
        self.quota
    }

    /// Returns `true` if no place for a connection is left beside `open` others.
    #[must_use]
    pub fn is_full(&self, open: usize) -> bool {
        self.max_open.is_some_and(|max| open >= max)
    }

    /// Returns `true` if a new connection is taken beside `open` others.
    pub fn admit(&mut self, open: usize) -> bool {
        let is_admitted = self.taken < self.quota && !self.is_full(open);
        self.taken += usize::from(is_admitted);
        self.unsettled += usize::from(is_admitted);
        is_admitted
    }

    /// Returns `true` if a connection that was taken this long ago is still to be read.
    #[must_use]
    pub fn is_timely(age: Duration) -> bool {
        age <= MAX_UNREAD_AGE
    }
}

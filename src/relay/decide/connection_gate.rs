//! Decides whether an entry takes new connections of callers.
//!
//! For some seconds a balancer may hand most new connections to one entry. What that entry cannot
//! read in time is better read by another one: a caller whose connection is closed unread tries
//! again at once, while one that waits gives up only after a second.

use std::time::Duration;

/// Delay of the event loop from which new connections are closed. Reading a request takes two turns
/// of the loop, and callers wait for one second.
const CLOSE_DELAY: Duration = Duration::from_millis(400);

/// Delay of the event loop below which new connections are taken again.
const REOPEN_DELAY: Duration = Duration::from_millis(150);

/// Share of the descriptors that connections of callers may use, beside those to targets, to the
/// store, and of the balancer.
const CALLER_SHARE: f64 = 0.6;

/// State of the entry that decides about new connections.
#[derive(Debug, Default)]
pub struct ConnectionGate {
    max_open: Option<usize>,
    is_delayed: bool,
}

impl ConnectionGate {
    /// Creates a gate of a process that may use `max_descriptors`, `None` if that is unknown.
    #[must_use]
    pub fn new(max_descriptors: Option<usize>) -> Self {
        let max_open = max_descriptors.map(|max| (max as f64 * CALLER_SHARE) as usize);
        ConnectionGate { max_open, is_delayed: false }
    }

    /// Records by how much the event loop is late.
    pub fn record_delay(&mut self, delay: Duration) {
        self.is_delayed = delay >= if self.is_delayed { REOPEN_DELAY } else { CLOSE_DELAY };
    }

    /// Returns `true` if a connection is taken beside `open` others.
    #[must_use]
    pub fn admits(&self, open: usize) -> bool {
        !self.is_delayed && self.max_open.is_none_or(|max| open < max)
    }
}

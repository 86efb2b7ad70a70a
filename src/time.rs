//! Time in the cores, and their queue of timers.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::ops::{Add, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Microseconds since the start of the process, or since the start of a run in virtual time.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Tick(pub u64);

impl Tick {
    /// A time that is never reached.
    pub const NEVER: Tick = Tick(u64::MAX);

    /// Returns the time from `earlier` to `self`, zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Tick) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Tick {
    type Output = Tick;

    fn add(self, span: Duration) -> Tick {
        Tick(self.0.saturating_add(to_micros(span)))
    }
}

impl Sub<Duration> for Tick {
    type Output = Tick;

    fn sub(self, span: Duration) -> Tick {
        Tick(self.0.saturating_sub(to_micros(span)))
    }
}

fn to_micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

/// Queue of timers, ordered by their time.
///
/// A timer is a plain value and can not be cancelled: when it is due, its
/// owner checks whether the value is still relevant.
#[derive(Debug)]
pub struct TimerService<K> {
    heap: BinaryHeap<Reverse<(Tick, K)>>,
}

impl<K: Ord> TimerService<K> {
    /// Creates a service without timers.
    #[must_use]
    pub fn new() -> Self {
        TimerService { heap: BinaryHeap::new() }
    }

    /// Adds a timer that is due at `at` and then yields `key`.
    pub fn subscribe(&mut self, at: Tick, key: K) {
        self.heap.push(Reverse((at, key)));
    }

    /// Returns the time of the earliest timer, `None` if there is no timer.
    #[must_use]
    pub fn peek_next(&self) -> Option<Tick> {
        self.heap.peek().map(|Reverse((at, _))| *at)
    }

    /// Removes one timer that is due at `now` and returns its key, `None` if no timer is due.
    pub fn pop_due(&mut self, now: Tick) -> Option<K> {
        if self.peek_next()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse((_, key))| key)
    }
}

impl<K: Ord> Default for TimerService<K> {
    fn default() -> Self {
        TimerService::new()
    }
}

//! Time as the cores see it, and the timer service.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::ops::{Add, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Microseconds since the process started, or since a run in virtual time did.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Tick(pub u64);

impl Tick {
    /// A time that never comes.
    pub const NEVER: Tick = Tick(u64::MAX);

    /// Time from `earlier` to this, zero where `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Tick) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Tick {
    type Output = Tick;

    fn add(self, span: Duration) -> Tick {
        Tick(self.0.saturating_add(span.as_micros() as u64))
    }
}

impl Sub<Duration> for Tick {
    type Output = Tick;

    fn sub(self, span: Duration) -> Tick {
        Tick(self.0.saturating_sub(span.as_micros() as u64))
    }
}

/// Wakes subscribers at the times they asked for.
///
/// A subscription is a plain value. It can not be withdrawn: a subscriber
/// checks on waking whether the value still means anything to it.
#[derive(Debug)]
pub struct TimerService<K> {
    heap: BinaryHeap<Reverse<(Tick, K)>>,
}

impl<K: Ord> TimerService<K> {
    /// Makes a service without subscriptions.
    #[must_use]
    pub fn new() -> Self {
        TimerService { heap: BinaryHeap::new() }
    }

    /// Asks to be woken with `key` at `at`.
    pub fn subscribe(&mut self, at: Tick, key: K) {
        self.heap.push(Reverse((at, key)));
    }

    /// The next time at which somebody wants to be woken.
    #[must_use]
    pub fn peek_next(&self) -> Option<Tick> {
        self.heap.peek().map(|Reverse((at, _))| *at)
    }

    /// Takes one subscription that is due at `now`.
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

//! The real clocks behind the cores' time.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::id::Incarnation;
use crate::time::Tick;

/// Monotonic time of a process, and the wall time for its time line.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    start: Instant,
}

impl ProcessClock {
    /// Starts the clock.
    #[must_use]
    pub fn new() -> Self {
        ProcessClock { start: Instant::now() }
    }

    /// Time since the start.
    #[must_use]
    pub fn now(&self) -> Tick {
        Tick(self.start.elapsed().as_micros() as u64)
    }

    /// The instant of a tick, for a timer.
    #[must_use]
    pub fn to_instant(&self, tick: Tick) -> Instant {
        self.start + Duration::from_micros(tick.0)
    }
}

impl Default for ProcessClock {
    fn default() -> Self {
        ProcessClock::new()
    }
}

/// Wall time in microseconds since 1970.
#[must_use]
pub fn wall_micros() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |span| span.as_micros() as u64)
}

/// A number for this life of a process: later lives have higher ones while
/// the host's clock does not step back, and random low bits keep two apart
/// where it does.
#[must_use]
pub fn new_incarnation() -> Incarnation {
    const RANDOM_BITS: u32 = 10;
    let random = u64::from(rand::random::<u32>() % (1 << RANDOM_BITS));
    Incarnation((wall_micros() << RANDOM_BITS) | random)
}

/// Sleeps until a tick of `clock`, for ever where it never comes.
pub async fn sleep_until(clock: &ProcessClock, wake: Tick) {
    if wake == Tick::NEVER {
        std::future::pending::<()>().await;
    }
    tokio::time::sleep_until(clock.to_instant(wake).into()).await;
}

//! The real clocks behind the cores' time.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};

use crate::id::Incarnation;
use crate::time::Tick;

/// Longest sleep without a look at the clock: timers stand still while the host is
/// suspended, and what is due then is due when it goes on.
const LONGEST_SLEEP: Duration = Duration::from_millis(500);

/// Least time between two looks that counts as a suspension.
const LEAST_SUSPENSION: Duration = Duration::from_millis(100);

/// Reads a clock: the time since a moment that stays the same while the host runs.
pub type ClockReader = fn() -> Duration;

/// Monotonic time of a process, which counts the time for which its host was suspended.
///
/// # Example
///
/// ```
/// use shalelane::clock::ProcessClock;
///
/// let clock = ProcessClock::new();
/// assert!(clock.now() <= clock.now());
/// ```
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    reader: ClockReader,
    start: Duration,
}

impl ProcessClock {
    /// Starts the clock.
    #[must_use]
    pub fn new() -> Self {
        ProcessClock::from_reader(boot_time)
    }

    /// Starts a clock that goes by another one.
    #[must_use]
    pub fn from_reader(reader: ClockReader) -> Self {
        ProcessClock { reader, start: reader() }
    }

    /// Time since the start.
    #[must_use]
    pub fn now(&self) -> Tick {
        Tick((self.reader)().saturating_sub(self.start).as_micros() as u64)
    }
}

impl Default for ProcessClock {
    fn default() -> Self {
        ProcessClock::new()
    }
}

/// Finds out that the host was suspended, by two clocks of which one stood still.
#[derive(Debug)]
pub struct SuspensionWatch {
    all: ClockReader,
    awake: ClockReader,
    lead: Duration,
}

impl SuspensionWatch {
    /// A watch from now on.
    #[must_use]
    pub fn new() -> Self {
        SuspensionWatch::from_readers(boot_time, awake_time)
    }

    /// A watch of other clocks: one that counts all time, and one that stands still.
    #[must_use]
    pub fn from_readers(all: ClockReader, awake: ClockReader) -> Self {
        let mut watch = SuspensionWatch { all, awake, lead: Duration::ZERO };
        watch.lead = watch.read();
        watch
    }

    /// How long the host was suspended since the last look, none where it was not.
    pub fn look(&mut self) -> Option<Duration> {
        let lead = self.read();
        let span = lead.saturating_sub(self.lead);
        self.lead = lead;
        (span >= LEAST_SUSPENSION).then_some(span)
    }

    fn read(&self) -> Duration {
        // A pause between the two readings makes the lead smaller, and is no suspension.
        let all = (self.all)();
        all.saturating_sub((self.awake)())
    }
}

impl Default for SuspensionWatch {
    fn default() -> Self {
        SuspensionWatch::new()
    }
}

/// Time since the host started, suspensions included.
fn boot_time() -> Duration {
    read_clock(ClockId::CLOCK_BOOTTIME)
}

/// Time since the host started, without suspensions.
fn awake_time() -> Duration {
    read_clock(ClockId::CLOCK_MONOTONIC)
}

fn read_clock(clock: ClockId) -> Duration {
    // Both clocks are there on every host that the programs run on.
    clock_gettime(clock).map_or(Duration::ZERO, Duration::from)
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
    loop {
        let left = wake.since(clock.now());
        if left.is_zero() {
            return;
        }
        tokio::time::sleep(left.min(LONGEST_SLEEP)).await;
    }
}

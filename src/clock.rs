//! System clocks that supply the time of the cores.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};

use crate::id::Incarnation;
use crate::time::Tick;

/// Maximum sleep before the clock is read again. Timers stop while the host is suspended, and
/// deadlines that pass meanwhile have to fire when the host resumes.
const MAX_SLEEP: Duration = Duration::from_millis(500);

/// Minimum suspended time between two checks that is reported as a suspension.
const MIN_SUSPENSION: Duration = Duration::from_millis(100);

/// Reads a clock: the time since an instant that stays fixed while the host runs.
pub type ClockReader = fn() -> Duration;

/// Monotonic clock of a process that includes the time for which its host was suspended.
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

    /// Starts a clock on top of another clock.
    #[must_use]
    pub fn from_reader(reader: ClockReader) -> Self {
        ProcessClock { reader, start: reader() }
    }

    /// Returns the time since the start.
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

/// Detects suspensions of the host by comparing a clock that counts them with one that does not.
#[derive(Debug)]
pub struct SuspensionWatch {
    boot: ClockReader,
    monotonic: ClockReader,
    /// Lead of the boot clock at the last check.
    suspended: Duration,
}

impl SuspensionWatch {
    /// Creates a watch that starts now.
    #[must_use]
    pub fn new() -> Self {
        SuspensionWatch::from_readers(boot_time, monotonic_time)
    }

    /// Creates a watch on other clocks: `boot` counts suspensions, `monotonic` does not.
    #[must_use]
    pub fn from_readers(boot: ClockReader, monotonic: ClockReader) -> Self {
        let mut watch = SuspensionWatch { boot, monotonic, suspended: Duration::ZERO };
        watch.suspended = watch.read();
        watch
    }

    /// Returns how long the host was suspended since the last check; `None` if it was not.
    pub fn take_suspension(&mut self) -> Option<Duration> {
        let suspended = self.read();
        let span = suspended.saturating_sub(self.suspended);
        self.suspended = suspended;
        (span >= MIN_SUSPENSION).then_some(span)
    }

    /// Returns the lead of the boot clock over the monotonic clock.
    fn read(&self) -> Duration {
        // The boot clock is read first: a pause between the two reads then makes the lead
        // smaller and is not taken for a suspension.
        let boot = (self.boot)();
        boot.saturating_sub((self.monotonic)())
    }
}

impl Default for SuspensionWatch {
    fn default() -> Self {
        SuspensionWatch::new()
    }
}

/// Returns the time since the host started, including suspensions.
fn boot_time() -> Duration {
    read_clock(ClockId::CLOCK_BOOTTIME)
}

/// Returns the time since the host started, excluding suspensions.
fn monotonic_time() -> Duration {
    read_clock(ClockId::CLOCK_MONOTONIC)
}

fn read_clock(clock: ClockId) -> Duration {
    // Both clocks exist on every supported host.
    clock_gettime(clock).map_or(Duration::ZERO, Duration::from)
}

/// Returns the wall time in microseconds since 1970.
#[must_use]
pub fn wall_micros() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |span| span.as_micros() as u64)
}

/// Returns a new incarnation for this process.
///
/// Incarnations increase from one start of a process to the next as long as the host's clock
/// does not step back. Random low bits keep two incarnations apart if it does.
#[must_use]
pub fn new_incarnation() -> Incarnation {
    const RANDOM_BITS: u32 = 10;
    let random = u64::from(rand::random::<u32>() % (1 << RANDOM_BITS));
    Incarnation((wall_micros() << RANDOM_BITS) | random)
}

/// Sleeps until `wake` on `clock`, forever if `wake` is [`Tick::NEVER`].
pub async fn sleep_until(clock: &ProcessClock, wake: Tick) {
    if wake == Tick::NEVER {
        std::future::pending::<()>().await;
    }
    loop {
        let left = wake.since(clock.now());
        if left.is_zero() {
            return;
        }
        tokio::time::sleep(left.min(MAX_SLEEP)).await;
    }
}

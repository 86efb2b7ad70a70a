//! How long a watch of the store waits, and when the next one starts.
//!
//! A store remembers only some seconds of history. A watch that waits longer than that fails when a
//! change comes after a quiet time, because its position is forgotten. With 30 entries such changes
//! were seen 300 ms late, with two calls of each entry instead of one, and the whole list was read
//! again.

use std::time::Duration;

/// Longest wait of one watch: each is billed as a call.
pub const MAX_WATCH_TIMEOUT: Duration = Duration::from_secs(25);

/// Fraction of the store's history that a watch waits. The remainder covers the answer's
/// transmission, the delay between two watches, and a store that forgets a little sooner.
const HISTORY_FRACTION: f64 = 0.75;

/// Delay between two answers of a frequently changing watch: each call is billed, and the last
/// answer includes the changes before it.
pub const MIN_WATCH_INTERVAL: Duration = Duration::from_millis(300);

/// Fraction of the bound for leaving targets that passes between two answers of a watch of the
/// target list: changes come in groups, and each answer is billed. The remainder of the bound is
/// for a slow store and for requests under way.
const BOUND_FRACTION: f64 = 0.4;

/// Shortest delay between two of these answers: targets that start together with a process are
/// listed some hundred milliseconds apart, and each target that is seen late is costly for
/// requests.
const MIN_LIST_DELAY: Duration = Duration::from_millis(200);

/// Fraction of the process's age that passes between two of these answers in its first seconds.
/// With a fixed 200 ms for five seconds instead, 30 entries that started together made 726 calls to
/// the store in a quiet run of 48 s; with this fraction they made 497.
const AGE_FRACTION: f64 = 0.4;

/// Why a watch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchEnd {
    /// The store has forgotten the changes since its start position.
    Forgotten,
    /// There was no answer.
    Failed,
}

/// Returns the longest wait of a watch of a store that remembers `history`.
#[must_use]
pub fn watch_timeout(history: Duration) -> Duration {
    MAX_WATCH_TIMEOUT.min(history.mul_f64(HISTORY_FRACTION))
}

/// Returns the delay before the store is read, after a watch that lasted for `lasted`. Without it,
/// a watch that keeps ending would call the store in a tight loop.
#[must_use]
pub fn delay_after(end: WatchEnd, lasted: Duration) -> Duration {
    match end {
        WatchEnd::Forgotten if lasted >= MIN_WATCH_INTERVAL => Duration::ZERO,
        WatchEnd::Forgotten | WatchEnd::Failed => MIN_WATCH_INTERVAL,
    }
}

/// Returns the delay between two answers of a watch of the list, for a process of this age.
#[must_use]
pub fn list_watch_delay(age: Duration, drain_bound: Duration) -> Duration {
    let max_delay = drain_bound.mul_f64(BOUND_FRACTION);
    age.mul_f64(AGE_FRACTION).max(MIN_LIST_DELAY).min(max_delay)
}

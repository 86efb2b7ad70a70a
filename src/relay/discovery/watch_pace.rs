//! How long a watch of the store waits, and when the next one begins.
//!
//! The load that it answers: a store that changes after a quiet time. It remembers some
//! seconds of history only, so a watch that had waited longer was told that its position
//! is forgotten when the change came: the change was heard of 300 ms late, with two calls
//! of each entry in place of one (30 entries, logged), and the whole list was read anew.

use std::time::Duration;

/// Longest wait of one watch: each is priced as a call.
pub const LONGEST_WAIT: Duration = Duration::from_secs(25);

/// Part of the store's history that a watch waits for. What is left of it is for an answer
/// on its way, the rest between two watches, and a store that forgets a little sooner.
const HISTORY_PART: f64 = 0.75;

/// Time between two answers of a watch, when it changes often: each is priced, and the
/// last one brings the others with it.
pub const NEWS_STEP: Duration = Duration::from_millis(300);

/// Part of the bound for leaving targets that passes between two answers of a watch of
/// their list: changes come in groups, and each answer is priced. What is left of the
/// bound is for a slow store and for requests on their way.
const BOUND_PART: f64 = 0.4;

/// Shortest time between two of these answers: targets that start together with a process
/// are listed some hundred milliseconds apart, and each that is missed is missed dearly.
const FIRST_LIST_STEP: Duration = Duration::from_millis(200);

/// Part of a process's age that passes between two of these answers in its first seconds.
/// With 200 ms for five seconds, 30 entries that started together made 726 calls to the
/// store in a quiet day of 48 s, and 497 with this part (one run each).
const AGE_PART: f64 = 0.4;

/// Why a watch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchEnd {
    /// The store has forgotten what happened since it began.
    Forgotten,
    /// There was no answer.
    Failed,
}

/// The longest wait of a watch of a store that remembers `history`.
#[must_use]
pub fn watch_wait(history: Duration) -> Duration {
    LONGEST_WAIT.min(history.mul_f64(HISTORY_PART))
}

/// Time to rest before the store is read, after a watch that lasted for `lasted`. One that
/// ends again and again would have the store asked in a loop.
#[must_use]
pub fn rest_after(end: WatchEnd, lasted: Duration) -> Duration {
    match end {
        WatchEnd::Forgotten if lasted >= NEWS_STEP => Duration::ZERO,
        WatchEnd::Forgotten | WatchEnd::Failed => NEWS_STEP,
    }
}

/// Time to rest between two answers of a watch of the list, in a process of such an age.
#[must_use]
pub fn list_rest(age: Duration, drain_bound: Duration) -> Duration {
    let longest = drain_bound.mul_f64(BOUND_PART);
    age.mul_f64(AGE_PART).max(FIRST_LIST_STEP).min(longest)
}

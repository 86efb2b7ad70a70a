//! How long a connection to a target may take to come up.
//!
//! The load that it answers: targets whose host is gone without a word, or is cut off,
//! while the list still has them. A packet to them gets no answer at all, and nothing
//! has been sent yet, so every request may go elsewhere, also one that may run once.

use std::time::Duration;

/// Longest time for a connection to come up: a few round trips between failure domains,
/// and less than a lost first packet costs.
const LONGEST: Duration = Duration::from_millis(600);

/// Shortest time: some thirty round trips of a few milliseconds, or a target that accepts
/// a hundred other connections first.
const SHORTEST: Duration = Duration::from_millis(100);

/// Part of a request's objective, as its divisor, that one connection may use up where
/// there are other targets: the next one still answers in time. With 600 ms for all, 60
/// plain calls with objectives of 150 and 200 ms were late at one target that was gone.
const OBJECTIVE_PARTS: u32 = 3;

/// The longest time for a connection on behalf of a request with such an objective.
/// `has_other` is true where it could go to another target.
#[must_use]
pub fn connect_limit(objective: Duration, has_other: bool) -> Duration {
    if !has_other {
        return LONGEST;
    }
    (objective / OBJECTIVE_PARTS).clamp(SHORTEST, LONGEST)
}

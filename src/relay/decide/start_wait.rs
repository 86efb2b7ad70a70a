//! Whether a caller waits for a process that has just started.
//!
//! The load that it answers: all processes start at the same moment, and the balancer has
//! nobody else to send callers to. Each process has its configuration and its targets some
//! ten to a hundred milliseconds after it listens. Callers that were refused meanwhile came
//! back once and late: 124 of a day's in the 0.2 s between the starts of 30 processes and
//! their first configurations.

use std::time::Duration;

/// Age up to which a process without configuration has callers wait for it: some times
/// what a start takes. One that is still without it is cut off, and refuses at once.
const START_SPAN: Duration = Duration::from_millis(500);

/// Longest wait of a request that comes to a process of such an age, zero where it is
/// decided on at once. `has_started` is true once it has a configuration and targets.
#[must_use]
pub fn start_wait(has_started: bool, age: Duration) -> Duration {
    if has_started { Duration::ZERO } else { START_SPAN.saturating_sub(age) }
}

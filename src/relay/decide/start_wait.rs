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

/// How far the start of a process is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartPhase {
    /// The store was asked, and has not answered yet.
    Reading,
    /// Configuration and targets are there, or the store turned the process away: then
    /// others serve its callers sooner.
    Over,
}

impl StartPhase {
    /// Returns true where nobody waits for the start any more.
    #[must_use]
    pub fn is_over(self) -> bool {
        self == StartPhase::Over
    }
}

/// Longest wait of a request that comes to a process of such an age, zero where it is
/// decided on at once.
#[must_use]
pub fn start_wait(phase: StartPhase, age: Duration) -> Duration {
    match phase {
        StartPhase::Reading => START_SPAN.saturating_sub(age),
        StartPhase::Over => Duration::ZERO,
    }
}

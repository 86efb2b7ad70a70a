//! Decides how long callers wait for a process that has just started.
//!
//! If all processes start at the same moment, the load balancer has no other process for its
//! callers. Each process gets its configuration and its targets about ten to a hundred
//! milliseconds after it starts to listen. Callers that were refused in that time retried only
//! once and late: 124 of a day's requests were refused in the 0.2 s between the starts of 30
//! processes and their first configurations.

use std::time::Duration;

/// Age up to which callers wait for a process without configuration: several times the usual
/// start-up time. An older process without configuration is cut off and refuses at once.
const START_WINDOW: Duration = Duration::from_millis(500);

/// Progress of the start of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartPhase {
    /// The store was queried and has not answered yet.
    Loading,
    /// Configuration and targets are known, or the store refused the process. In the latter
    /// case other processes serve its callers sooner.
    Done,
}

impl StartPhase {
    /// Returns `true` if no caller waits for the start any more.
    #[must_use]
    pub fn is_done(self) -> bool {
        self == StartPhase::Done
    }
}

/// Maximum time that a request waits at a process of this age; zero if it is decided at once.
#[must_use]
pub fn start_wait(phase: StartPhase, age: Duration) -> Duration {
    match phase {
        StartPhase::Loading => START_WINDOW.saturating_sub(age),
        StartPhase::Done => Duration::ZERO,
    }
}

//! Evidence that the target is alive or lost, from polls of its load report and from its runs.

use std::time::Duration;

use crate::time::Tick;

/// Consecutive failed polls after which the target may count as lost.
const MAX_FAILED_POLLS: u32 = 3;

/// Time without a sign of life after which a target that accepts connections counts as lost.
const MAX_SILENCE: Duration = Duration::from_secs(3);

/// Outcome of a poll of the load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollOutcome {
    /// The target sent its report.
    Reported,
    /// No connection could be established.
    NotConnected,
    /// The target sent an error, closed the connection or did not answer in time.
    NoReport,
}

/// Signs of life of a target since it became ready.
#[derive(Debug)]
pub struct TargetHealth {
    failed_polls: u32,
    alive_at: Tick,
}

impl TargetHealth {
    /// Creates the state of a target that is alive now.
    #[must_use]
    pub fn new(now: Tick) -> Self {
        TargetHealth { failed_polls: 0, alive_at: now }
    }

    /// Records that a run has progressed.
    pub fn record_progress(&mut self, now: Tick) {
        self.failed_polls = 0;
        self.alive_at = now;
    }

    /// Records a poll. Returns `true` if the target counts as lost.
    pub fn record_poll(&mut self, outcome: PollOutcome, now: Tick) -> bool {
        if outcome == PollOutcome::Reported {
            self.record_progress(now);
            return false;
        }
        self.failed_polls += 1;
        if self.failed_polls < MAX_FAILED_POLLS {
            return false;
        }
        // An overloaded target may refuse reports; a refused connection shows that it has ended.
        outcome == PollOutcome::NotConnected || now.since(self.alive_at) >= MAX_SILENCE
    }
}

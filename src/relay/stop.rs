//! The phases of a planned stop.

use std::time::Duration;

/// Time from the beginning of a stop in which new requests are served: the
/// balancer needs two seconds to send callers elsewhere, and a request that
/// comes later than three must not be taken and then cut by the stop's end.
const SERVES: Duration = Duration::from_millis(2_800);

/// Time within which the balancer has certainly sent callers elsewhere.
const BALANCER_LAG: Duration = Duration::from_millis(2_600);

/// Time of a stop that is kept back from the platform's limit.
const MARGIN: Duration = Duration::from_millis(700);

/// What a stopping process does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopPhase {
    /// Serves what still comes.
    Serving,
    /// Refuses what comes, and finishes what it has.
    Finishing,
    /// Ends.
    Ended,
}

/// How a stop goes on, by the platform's limit on it.
#[derive(Clone, Copy, Debug)]
pub struct StopPlan {
    limit: Duration,
}

impl StopPlan {
    /// A stop that is cut by the platform after `limit`.
    #[must_use]
    pub fn new(limit: Duration) -> Self {
        StopPlan { limit }
    }

    /// The phase at `spent` after its beginning, with so many open requests.
    #[must_use]
    pub fn phase(&self, spent: Duration, open: usize) -> StopPhase {
        let is_idle = open == 0 && spent >= BALANCER_LAG;
        if is_idle || spent + MARGIN >= self.limit {
            StopPhase::Ended
        } else if spent >= SERVES {
            StopPhase::Finishing
        } else {
            StopPhase::Serving
        }
    }
}

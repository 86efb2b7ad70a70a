//! The phases of a planned stop.

use std::time::Duration;

/// Time from the start of a stop during which new requests are served. The balancer needs two
/// seconds to direct callers to other entries. A request that arrives after three seconds must
/// not be accepted, since the end of the stop would cut it off.
const SERVE_DURATION: Duration = Duration::from_millis(2_800);

/// Time after which the balancer directs all callers to other entries, with a margin.
const BALANCER_DELAY: Duration = Duration::from_millis(2_600);

/// Margin by which a stop ends before the platform's limit.
const STOP_MARGIN: Duration = Duration::from_millis(700);

/// Margin by which the process exits before that limit.
const EXIT_MARGIN: Duration = Duration::from_millis(400);

/// Phase of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// New requests are served.
    Serving,
    /// New requests are refused, and open requests are finished.
    Finishing,
    /// Connections are closed, and the process exits.
    Ended,
}

/// A send of a request to a target, by what the request has lost if the stop cuts it off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendKind {
    /// The first send. Another entry can serve the request instead.
    First,
    /// A retry of a request that may have run.
    Retry,
    /// The continuation of a stream, which is broken without it.
    Continuation,
}

/// Schedule of a planned stop within the platform's time limit.
#[derive(Clone, Copy, Debug)]
pub struct StopPlan {
    limit: Duration,
}

impl StopPlan {
    /// Creates the schedule of a stop that the platform cuts off after `limit`.
    #[must_use]
    pub fn new(limit: Duration) -> Self {
        StopPlan { limit }
    }

    /// Returns the phase at `elapsed` after the start, with `open` requests still
    /// unanswered.
    #[must_use]
    pub fn phase(&self, elapsed: Duration, open: usize) -> StopPhase {
        let is_idle = open == 0 && elapsed >= BALANCER_DELAY;
        if is_idle || elapsed + STOP_MARGIN >= self.limit {
            StopPhase::Ended
        } else if elapsed >= SERVE_DURATION {
            StopPhase::Finishing
        } else {
            StopPhase::Serving
        }
    }

    /// Returns `true` if a request whose answer takes `expected` may be sent at `elapsed` after the
    /// start: it ends before the stop cuts it off.
    #[must_use]
    pub fn allows_send(&self, kind: SendKind, expected: Duration, elapsed: Duration) -> bool {
        let ends_in_time = elapsed + expected + STOP_MARGIN <= self.limit;
        match kind {
            SendKind::First => ends_in_time && elapsed < SERVE_DURATION,
            SendKind::Retry => ends_in_time,
            SendKind::Continuation => elapsed + STOP_MARGIN < self.limit,
        }
    }

    /// Returns `true` if the process exits at `elapsed` whatever is still open.
    #[must_use]
    pub fn must_exit(&self, elapsed: Duration) -> bool {
        elapsed + EXIT_MARGIN >= self.limit
    }
}

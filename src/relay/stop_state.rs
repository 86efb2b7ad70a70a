//! How far the planned stop of this process is, and what may still be sent because of it.

use std::cell::Cell;
use std::time::Duration;

use tokio::sync::watch;

use super::stop::{SendKind, StopPhase, StopPlan};
use crate::time::Tick;

/// State of the planned stop.
#[derive(Debug)]
pub(crate) struct StopState {
    began_at: Cell<Option<Tick>>,
    /// Longest planned stop, which may change during the stop.
    limit: Cell<Duration>,
    phase: watch::Sender<StopPhase>,
}

impl StopState {
    /// Creates the state of a process that serves.
    pub(crate) fn new(limit: Duration) -> Self {
        let phase = watch::Sender::new(StopPhase::Serving);
        StopState { began_at: Cell::new(None), limit: Cell::new(limit), phase }
    }

    pub(crate) fn set_limit(&self, limit: Duration) {
        self.limit.set(limit);
    }

    /// Begins the stop.
    pub(crate) fn begin(&self, now: Tick) {
        self.began_at.set(Some(now));
    }

    /// Returns `true` if a planned stop has begun.
    pub(crate) fn is_begun(&self) -> bool {
        self.began_at.get().is_some()
    }

    /// Returns `true` if new requests are refused.
    pub(crate) fn is_closed_to_new(&self) -> bool {
        *self.phase.borrow() >= StopPhase::Finishing
    }

    /// Returns `true` if the requests that are still open fail.
    pub(crate) fn has_ended(&self) -> bool {
        *self.phase.borrow() == StopPhase::Ended
    }

    /// Enters the phase of the stop with `open` requests still unanswered, and returns it.
    pub(crate) fn advance(&self, open: usize, now: Tick) -> StopPhase {
        let Some((plan, elapsed)) = self.plan(now) else { return StopPhase::Serving };
        let phase = plan.phase(elapsed, open);
        self.phase.send_if_modified(|known| std::mem::replace(known, phase) != phase);
        phase
    }

    /// Returns `true` if the process exits whatever is still open.
    pub(crate) fn must_exit(&self, now: Tick) -> bool {
        self.plan(now).is_some_and(|(plan, elapsed)| plan.must_exit(elapsed))
    }

    /// Returns `true` if a request whose answer takes `expected` may be sent at `now`.
    pub(crate) fn allows_send(&self, kind: SendKind, expected: Duration, now: Tick) -> bool {
        self.plan(now).is_none_or(|(plan, elapsed)| plan.allows_send(kind, expected, elapsed))
    }

    fn plan(&self, now: Tick) -> Option<(StopPlan, Duration)> {
        let began_at = self.began_at.get()?;
        Some((StopPlan::new(self.limit.get()), now.since(began_at)))
    }

    /// Runs `work` until the stop enters `phase`, `None` if that comes first.
    pub(crate) async fn run_until<T>(
        &self,
        phase: StopPhase,
        work: impl Future<Output = T>,
    ) -> Option<T> {
        let mut phases = self.phase.subscribe();
        tokio::select! {
            biased;
            output = work => Some(output),
            // The sender lives as long as this process.
            _ = phases.wait_for(|current| *current >= phase) => None,
        }
    }
}

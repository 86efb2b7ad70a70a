//! Notices that a target has been silent for longer than expected.
//!
//! Silence does not end an attempt: a sound target may be silent for a while. It is a reason to
//! look for another target that may yield sooner (see [`super::attempt_race`]).

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use super::job::RelayJob;
use crate::relay::core::PlacedAttempt;
use crate::relay::shared::RelayShared;
use crate::time::Tick;

/// Minimum silence of a busy target after which a prompt is sent to another target. The request
/// also waits for the predicted time to its first event. Callers of short prompts wait for two
/// seconds.
const MIN_SILENCE_TIMEOUT: Duration = Duration::from_millis(1_300);

/// Silence of a target, beyond the predicted time to the first event, after which its host is
/// checked.
const OVERDUE_TIME: Duration = Duration::from_millis(100);

/// Multiple of the predicted time to the first event that a request waits in any case.
const PREDICTION_FACTOR: f64 = 1.5;

/// Fraction of the objective of a plain call after which another target is tried.
const HEDGE_FRACTION: f64 = 0.8;

/// Interval at which a waiting request checks whether its target is silent.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Silence within a stream after which another target may continue it, in multiples of the longest
/// pause that the route allows.
const SILENCE_PAUSES: u32 = 4;

/// Minimum of that silence.
const MIN_STREAM_SILENCE: Duration = Duration::from_millis(1_400);

/// Minimum objective for which a stream stays at its target during a long forward pass. Callers
/// wait for an event for four objectives or two seconds, whichever is longer; from this objective
/// on, they wait longer than a forward pass takes.
const LONG_PASS_OBJECTIVE: Duration = Duration::from_secs(1);

/// Observes how long a target has been silent during one attempt.
pub(crate) struct SilenceWatch {
    attempt: PlacedAttempt,
    predicted_first: Duration,
    /// When the request was sent.
    sent_at: Rc<Cell<Option<Tick>>>,
    /// Silence that was noticed and has not ended.
    noticed: Option<&'static str>,
    /// When the wait for the next part of a stream counts as silence.
    stream_due: Option<Tick>,
}

impl SilenceWatch {
    pub(crate) fn new(
        attempt: PlacedAttempt,
        predicted_first: Duration,
        sent_at: Rc<Cell<Option<Tick>>>,
    ) -> Self {
        SilenceWatch { attempt, predicted_first, sent_at, noticed: None, stream_due: None }
    }

    /// Returns the silence that was noticed and has not ended.
    pub(crate) fn noticed(&self) -> Option<&'static str> {
        self.noticed
    }

    /// Records that the target has sent something.
    pub(crate) fn record_received(&mut self) {
        self.noticed = None;
        self.stream_due = None;
    }

    /// Waits until the target has been silent for too long before the head of its answer. Never
    /// completes while a silence that was noticed goes on.
    pub(crate) async fn wait_for_answer(&mut self, shared: &RelayShared, job: &RelayJob) {
        if self.noticed.is_some() {
            return std::future::pending().await;
        }
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            let sent_at = self.sent_at.get();
            self.noticed = sent_at.and_then(|sent_at| self.check_answer(shared, job, sent_at));
            if self.noticed.is_some() {
                return;
            }
        }
    }

    fn check_answer(
        &self,
        shared: &RelayShared,
        job: &RelayJob,
        sent_at: Tick,
    ) -> Option<&'static str> {
        let waited = shared.now().since(sent_at);
        if job.need.is_none() {
            let is_late = waited >= job.route.objective.mul_f64(HEDGE_FRACTION);
            return is_late.then_some("no answer within the objective");
        }
        let predicted = self.predicted_first.mul_f64(PREDICTION_FACTOR);
        // Waiting costs less until it has taken as long as another attempt would.
        let overdue = OVERDUE_TIME.max(self.predicted_first);
        if waited >= predicted + overdue && self.is_host_silent(shared) {
            return Some("the host of the target answers nothing");
        }
        // Prefilling a long prompt again is expensive, and its caller waits longer.
        let silence = MIN_SILENCE_TIMEOUT.max(job.route.objective);
        let is_silent = waited >= predicted + silence
            && shared.silence_of(&self.attempt.target) >= silence
            && !self.is_queued(shared);
        is_silent.then_some("the target has sent nothing for too long")
    }

    /// Checks the host of an overdue target. Returns `true` if it answers nothing.
    fn is_host_silent(&self, shared: &RelayShared) -> bool {
        let target = &self.attempt.target;
        if shared.silence_of(target) < OVERDUE_TIME || self.is_queued(shared) {
            return false;
        }
        let now = shared.now();
        let mut core = shared.core.borrow_mut();
        if shared.link.check_host(&mut core, target, now) {
            slog::info!(shared.log.logger(), "host silent"; "target" => %target);
        }
        core.is_host_silent(target, now)
    }

    /// Returns `true` if the engine is expected to prefill other prompts first, which is no fault
    /// of the target.
    fn is_queued(&self, shared: &RelayShared) -> bool {
        !shared.core.borrow_mut().time_to_prefill(&self.attempt, shared.now()).is_zero()
    }

    /// Waits until the target has been silent for too long within a stream. Never completes while
    /// a silence that was noticed goes on.
    pub(crate) async fn wait_for_event(&mut self, shared: &RelayShared, job: &RelayJob) {
        if self.noticed.is_some() {
            return std::future::pending().await;
        }
        let silence = (job.route.longest_pause * SILENCE_PAUSES).max(MIN_STREAM_SILENCE);
        let mut due = *self.stream_due.get_or_insert_with(|| shared.now() + silence);
        loop {
            let _ = shared.run_until(due, std::future::pending::<()>()).await;
            // A long forward pass is no fault of the target, but callers of short prompts do not
            // wait for its end.
            let now = shared.now();
            let pass_left = shared.core.borrow_mut().time_to_pass_end(&self.attempt.target, now);
            if pass_left.is_zero() || job.route.objective < LONG_PASS_OBJECTIVE {
                self.noticed = Some("the stream stands still");
                return;
            }
            due = now + pass_left;
            self.stream_due = Some(due);
        }
    }
}

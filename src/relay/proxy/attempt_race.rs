//! Attempts of one request at the same time: those whose targets are silent, and the latest
//! replacement.
//!
//! An attempt is ended only once another one has yielded something, since a silent target may still
//! go on, and a replacement may be refused, fail or be silent as well.
//!
//! If a stream could not be sent once more, the first events of a replacement are held for a while: it
//! may break off, and the caller can not go back to the earlier attempt once it has events of another
//! run.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::future::select_all;
use hyper::{Response, StatusCode};

use super::forward::AttemptFault;
use super::job::RelayJob;
use super::ledger::RequestLedger;
use super::running_attempt::{AttemptYield, RunningAttempt, StreamPosition};
use super::series::AttemptSeries;
use crate::relay::decide::placement::Placement;
use crate::relay::shared::RelayShared;
use crate::time::Tick;

/// Time for which the events of a replacement are held that can not be replaced itself.
const HOLD_TIME: Duration = Duration::from_millis(400);

/// Number of bytes of events that are held at most.
const MAX_HELD_BYTES: usize = 64 * 1024;

/// Events of a replacement that the caller has not received.
struct HeldEvents {
    /// Target of the replacement.
    target: Arc<str>,
    events: BytesMut,
    until: Tick,
}

/// What an attempt has yielded, and its index.
type RaceStep = (usize, Result<AttemptYield, AttemptFault>);

/// The attempts of a request that are in progress.
pub(crate) struct AttemptRace<'a> {
    shared: &'a Rc<RelayShared>,
    job: &'a RelayJob,
    /// In the order in which they were sent; never empty.
    attempts: Vec<RunningAttempt<'a>>,
    held: Option<HeldEvents>,
    /// The end of a stream whose held events were yielded before.
    stream_end: Option<StatusCode>,
}

impl<'a> AttemptRace<'a> {
    /// Begins the first attempt of the race after the earlier ones have failed.
    pub(crate) fn start(
        shared: &'a Rc<RelayShared>,
        job: &'a RelayJob,
        placement: Placement,
        series: &AttemptSeries,
        position: &StreamPosition,
    ) -> Self {
        let first = start_attempt(shared, job, placement, series, position);
        AttemptRace { shared, job, attempts: vec![first], held: None, stream_end: None }
    }

    /// Returns the attempt that yielded last, or the one that failed.
    pub(crate) fn current(&mut self) -> &mut RunningAttempt<'a> {
        &mut self.attempts[0]
    }

    /// Returns what the attempts yield next, without silence.
    ///
    /// # Errors
    ///
    /// The last attempt in progress has failed. It is not recorded yet.
    pub(crate) async fn next(
        &mut self,
        series: &mut AttemptSeries,
        ledger: &mut RequestLedger,
    ) -> Result<AttemptYield, AttemptFault> {
        if let Some(status) = self.stream_end.take() {
            return Ok(AttemptYield::StreamEnd(status));
        }
        loop {
            let hold_end = self.held.as_ref().map_or(Tick::NEVER, |held| held.until);
            if self.shared.now() >= hold_end
                && let Some(events) = self.take_held(series)
            {
                return Ok(AttemptYield::Events(events));
            }
            let shared = self.shared;
            let step = if self.held.is_some() {
                shared.run_until(hold_end, next_step(&mut self.attempts)).await
            } else if self.may_seek() {
                self.next_or_replace(series, ledger).await
            } else {
                Some(next_step(&mut self.attempts).await)
            };
            let Some((index, result)) = step else { continue };
            if let Some(progress) = self.handle(series, index, result) {
                return progress;
            }
        }
    }

    /// Returns `true` if all targets are silent, and another one could continue the answer.
    fn may_seek(&self) -> bool {
        let are_silent = self.attempts.iter().all(|attempt| attempt.silence().is_some());
        are_silent && self.attempts[0].position().may_continue()
    }

    /// Waits for the silent attempts until one yields something, or until a replacement is sent,
    /// for which `None` is returned.
    async fn next_or_replace(
        &mut self,
        series: &mut AttemptSeries,
        ledger: &mut RequestLedger,
    ) -> Option<RaceStep> {
        let silent: Vec<_> =
            self.attempts.iter().map(|attempt| attempt.attempt.target.clone()).collect();
        let search = async {
            // After a stall, silence may be noticed before what has arrived meanwhile is read.
            tokio::task::yield_now().await;
            series.find_replacement(self.shared, self.job, &silent).await
        };
        let placement = tokio::select! {
            biased;
            step = next_step(&mut self.attempts) => return Some(step),
            placement = search => placement,
        };
        ledger.record_send(&placement.target);
        let position = self.attempts[0].position();
        let replacement = start_attempt(self.shared, self.job, placement, series, &position);
        self.attempts.push(replacement);
        None
    }

    /// Handles what an attempt has yielded. Returns `None` if the others go on.
    fn handle(
        &mut self,
        series: &mut AttemptSeries,
        index: usize,
        result: Result<AttemptYield, AttemptFault>,
    ) -> Option<Result<AttemptYield, AttemptFault>> {
        let is_last = self.attempts.len() == 1;
        match result {
            Ok(AttemptYield::Silence) => None,
            Err(fault) if is_last || fault.is_timeout => {
                self.end_others(series, index);
                Some(Err(fault))
            }
            Err(fault) => {
                self.held.take_if(|held| held.target == self.attempts[index].attempt.target);
                let mut failed = self.attempts.remove(index);
                series.record_fault(self.shared, self.job, &mut failed, fault);
                None
            }
            Ok(AttemptYield::Answer(answer)) if index > 0 && !answer.status().is_success() => {
                self.set_answer_aside(series, index, answer);
                None
            }
            Ok(AttemptYield::Events(events)) if self.must_hold(series, index) => {
                self.hold(index, &events);
                None
            }
            Ok(AttemptYield::StreamEnd(status)) if self.is_held(index) => {
                self.stream_end = Some(status);
                self.take_held(series).map(|events| Ok(AttemptYield::Events(events)))
            }
            Ok(progress) => {
                self.end_others(series, index);
                Some(Ok(progress))
            }
        }
    }

    fn is_held(&self, index: usize) -> bool {
        self.held.as_ref().is_some_and(|held| held.target == self.attempts[index].attempt.target)
    }

    /// Returns `true` if the caller must not have the events of an attempt yet.
    fn must_hold(&self, series: &AttemptSeries, index: usize) -> bool {
        let is_replacement = index > 0 && self.held.is_none();
        let in_progress = self.attempts.len();
        self.is_held(index)
            || (is_replacement && !series.may_send_again(self.shared, self.job, in_progress))
    }

    fn hold(&mut self, index: usize, events: &[u8]) {
        let now = self.shared.now();
        let target = &self.attempts[index].attempt.target;
        let held = self.held.get_or_insert_with(|| HeldEvents {
            target: target.clone(),
            events: BytesMut::new(),
            until: now + HOLD_TIME,
        });
        held.events.extend_from_slice(events);
        if held.events.len() > MAX_HELD_BYTES {
            held.until = now;
        }
    }

    /// Ends all attempts but the one whose events are held, and returns these; `None` if it has failed
    /// meanwhile.
    fn take_held(&mut self, series: &mut AttemptSeries) -> Option<Bytes> {
        let held = self.held.take()?;
        let is_held = |attempt: &RunningAttempt<'_>| attempt.attempt.target == held.target;
        let index = self.attempts.iter().position(is_held)?;
        self.end_others(series, index);
        Some(held.events.freeze())
    }

    /// Ends a replacement that answered with a failure, since the target before it may succeed.
    fn set_answer_aside(
        &mut self,
        series: &mut AttemptSeries,
        index: usize,
        answer: Response<Bytes>,
    ) {
        let ended = self.attempts.remove(index);
        series.record_superseded(&ended);
        if !self.job.route.is_stream {
            series.keep_answer(answer);
        }
    }

    /// Ends all attempts but one.
    fn end_others(&mut self, series: &mut AttemptSeries, index: usize) {
        self.held = None;
        let winner = self.attempts.swap_remove(index);
        for mut ended in std::mem::replace(&mut self.attempts, vec![winner]) {
            match ended.silence().map(AttemptFault::silent) {
                Some(fault) => {
                    series.record_fault(self.shared, self.job, &mut ended, fault);
                }
                None => series.record_superseded(&ended),
            }
        }
    }
}

/// Waits until one of the attempts yields something. The one that was sent first comes first.
async fn next_step(attempts: &mut [RunningAttempt<'_>]) -> RaceStep {
    if let [only] = attempts {
        return (0, only.next().await);
    }
    let steps = attempts.iter_mut().map(|attempt| Box::pin(attempt.next()));
    let (result, index, _) = select_all(steps).await;
    (index, result)
}

fn start_attempt<'a>(
    shared: &'a Rc<RelayShared>,
    job: &'a RelayJob,
    placement: Placement,
    series: &AttemptSeries,
    position: &StreamPosition,
) -> RunningAttempt<'a> {
    let order = series.to_order(job, placement, position);
    RunningAttempt::start(shared, job, order, position)
}

//! Attempts of one request at the same time: those whose targets are silent, and the latest
//! replacement.
//!
//! An attempt is ended only once another one has yielded something, since a silent target may still
//! go on, and a replacement may be refused, fail or be silent as well.

use std::rc::Rc;

use bytes::Bytes;
use futures_util::future::select_all;
use hyper::Response;

use super::forward::{AttemptFault, SendOrder};
use super::job::RelayJob;
use super::ledger::RequestLedger;
use super::running_attempt::{AttemptYield, RunningAttempt, StreamPosition};
use super::series::AttemptSeries;
use crate::relay::decide::placement::Placement;
use crate::relay::shared::RelayShared;

/// What an attempt has yielded, and its index.
type RaceStep = (usize, Result<AttemptYield, AttemptFault>);

/// The attempts of a request that are in progress.
pub(crate) struct AttemptRace<'a> {
    shared: &'a Rc<RelayShared>,
    job: &'a RelayJob,
    /// In the order in which they were sent; never empty.
    attempts: Vec<RunningAttempt<'a>>,
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
        AttemptRace { shared, job, attempts: vec![first] }
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
        loop {
            let step = if self.may_seek() {
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
                let mut failed = self.attempts.remove(index);
                series.record_fault(self.shared, self.job, &mut failed, fault);
                None
            }
            Ok(AttemptYield::Answer(answer)) if index > 0 && !answer.status().is_success() => {
                self.set_answer_aside(series, index, answer);
                None
            }
            Ok(progress) => {
                self.end_others(series, index);
                Some(Ok(progress))
            }
        }
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
    let resume_after = position.splitter.last_id().or(job.head.resume_after);
    let order = SendOrder { placement, resume_after, send_before: series.send_before() };
    RunningAttempt::start(shared, job, order, position)
}

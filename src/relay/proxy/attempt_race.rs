//! Two attempts of one request at the same time: one whose target is silent, and its replacement.
//!
//! An attempt is ended only once another one has yielded something, since a silent target may still
//! go on, and a replacement may be refused, fail or be silent as well.

use std::rc::Rc;

use super::forward::{AttemptFault, SendOrder};
use super::job::RelayJob;
use super::ledger::RequestLedger;
use super::running_attempt::{AttemptYield, RunningAttempt, StreamPosition};
use super::series::AttemptSeries;
use crate::relay::decide::placement::Placement;
use crate::relay::shared::RelayShared;

/// The attempts of a request that are in progress.
pub(crate) struct AttemptRace<'a> {
    shared: &'a Rc<RelayShared>,
    job: &'a RelayJob,
    current: RunningAttempt<'a>,
    replacement: Option<RunningAttempt<'a>>,
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
        let current = start_attempt(shared, job, placement, series, position);
        AttemptRace { shared, job, current, replacement: None }
    }

    /// Returns the attempt that yielded last, or the one that failed.
    pub(crate) fn current(&mut self) -> &mut RunningAttempt<'a> {
        &mut self.current
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
            let step = if self.replacement.is_some() {
                self.race(series).await
            } else if self.current.silence().is_some() {
                self.seek_replacement(series, ledger).await
            } else {
                self.current.next().await
            };
            match step? {
                AttemptYield::Silence => {}
                progress => return Ok(progress),
            }
        }
    }

    /// Waits for the silent attempt until it yields something or a replacement can be sent.
    async fn seek_replacement(
        &mut self,
        series: &mut AttemptSeries,
        ledger: &mut RequestLedger,
    ) -> Result<AttemptYield, AttemptFault> {
        let silent = self.current.attempt.clone();
        let placement = tokio::select! {
            biased;
            step = self.current.next() => return step,
            placement = series.find_replacement(self.shared, self.job, &silent) => placement,
        };
        ledger.record_send(&placement.target);
        let position = self.current.position();
        let replacement = start_attempt(self.shared, self.job, placement, series, &position);
        self.replacement = Some(replacement);
        Ok(AttemptYield::Silence)
    }

    /// Waits for both attempts. The first one that yields something goes on, the other one ends.
    async fn race(&mut self, series: &mut AttemptSeries) -> Result<AttemptYield, AttemptFault> {
        let Some(replacement) = &mut self.replacement else { return Ok(AttemptYield::Silence) };
        tokio::select! {
            biased;
            step = self.current.next() => self.end_race(series, step),
            step = replacement.next() => self.continue_race(series, step),
        }
    }

    /// Handles what the silent attempt has yielded.
    fn end_race(
        &mut self,
        series: &mut AttemptSeries,
        step: Result<AttemptYield, AttemptFault>,
    ) -> Result<AttemptYield, AttemptFault> {
        if matches!(step, Ok(AttemptYield::Silence)) {
            return step;
        }
        let Some(replacement) = self.replacement.take() else { return step };
        match step {
            Err(fault) if !fault.is_timeout => {
                series.record_fault(self.shared, self.job, &mut self.current, fault);
                self.current = replacement;
                Ok(AttemptYield::Silence)
            }
            step => {
                series.record_superseded(&replacement);
                step
            }
        }
    }

    /// Handles what the replacement has yielded.
    fn continue_race(
        &mut self,
        series: &mut AttemptSeries,
        step: Result<AttemptYield, AttemptFault>,
    ) -> Result<AttemptYield, AttemptFault> {
        match step {
            Ok(AttemptYield::Silence) => return step,
            Err(fault) => {
                if let Some(mut replacement) = self.replacement.take() {
                    series.record_fault(self.shared, self.job, &mut replacement, fault);
                }
                return Ok(AttemptYield::Silence);
            }
            Ok(_) => {}
        }
        if let Some(replacement) = self.replacement.take() {
            match self.current.silence().map(AttemptFault::silent) {
                Some(fault) => {
                    series.record_fault(self.shared, self.job, &mut self.current, fault);
                }
                None => series.record_superseded(&self.current),
            }
            self.current = replacement;
        }
        step
    }
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

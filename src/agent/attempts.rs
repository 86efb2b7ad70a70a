//! Handling of attempts: accepting, refusing, resuming and ending them.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use super::core::{AgentCore, Timer};
use super::event::{ConnId, Effect};
use super::ledger::{NOT_KEPT, Outcome};
use super::output::bytes_from;
use super::run::{Run, RunState, local_tokens};
use crate::id::{AttemptId, AttemptKey};
use crate::mutant::{Mutant, is_on};
use crate::time::Tick;
use crate::verdict::Verdict;
use crate::wire::{BODY_FRAME_BYTES, Call, Dispatch, Refusal, Resume, ToEntry};

/// Minimum delay before a retry that a refusal asks of the entry.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);

impl AgentCore {
    pub(super) fn on_dispatch(
        &mut self,
        conn: ConnId,
        id: AttemptId,
        dispatch: Dispatch,
        now: Tick,
    ) {
        if dispatch.incarnation != self.id.incarnation {
            self.refuse(conn, id.key, Refusal::OtherIncarnation, Duration::ZERO);
            return;
        }
        if self.runs.contains_key(&id) {
            return;
        }
        if self.ledger.get(&id).is_some() {
            self.replay(conn, &id, 0);
            return;
        }
        if let Some((refusal, retry_delay)) = self.refuse_dispatch(&id, &dispatch, now) {
            self.refuse(conn, id.key, refusal, retry_delay);
            // A duplicate of this dispatch must not run after the refusal.
            let until = now + Duration::from_micros(dispatch.remaining_us);
            self.store_outcome(id, not_run("refused"), until + self.tuning.ledger_margin);
            return;
        }
        let cached = self.cache.cached_tokens(&dispatch.prefix_hashes, dispatch.need.prompt);
        let run = Run::new(dispatch, conn, now, cached);
        self.timers.subscribe(run.deadline, Timer::Deadline(id.clone()));
        self.runs.insert(id, run);
    }

    /// Returns the reason for which a dispatch is refused, and the retry delay to ask for; `None`
    /// if it is accepted.
    pub(super) fn refuse_dispatch(
        &self,
        id: &AttemptId,
        dispatch: &Dispatch,
        now: Tick,
    ) -> Option<(Refusal, Duration)> {
        let model = match &dispatch.call {
            Call::Model { model, .. } => &**model,
            Call::Plain { .. } => "",
        };
        if let Some(refusal) = self.refuse_new(model) {
            return Some((refusal, Duration::ZERO));
        }
        let backoff = self.backoff(now);
        if !backoff.is_zero() {
            return Some((Refusal::Busy, backoff));
        }
        let queued = self.runs.values().filter(|run| !run.is_at_target()).count();
        if queued >= self.tuning.max_queue {
            return Some((Refusal::QueueFull, MIN_RETRY_DELAY));
        }
        if model.is_empty() {
            return None;
        }
        let needs_hold = !dispatch.shards.is_empty();
        let has_hold = self.leases.is_held(id) && !self.releasing.contains(id);
        if needs_hold && !has_hold {
            return Some((Refusal::NoMemory, Duration::ZERO));
        }
        if local_tokens(dispatch) > self.leases.capacity() {
            return Some((Refusal::NoMemory, Duration::ZERO));
        }
        let local = local_tokens(dispatch);
        let wait = self.predict_wait(local, dispatch.urgency, &dispatch.account, now);
        let prefill = self.rates.prefill(dispatch.need.prompt);
        let answer = self.rates.answer(dispatch.need.answer);
        if wait + prefill + answer > Duration::from_micros(dispatch.remaining_us) {
            return Some((Refusal::TooLate, wait.max(MIN_RETRY_DELAY)));
        }
        let is_busy = wait > Duration::from_micros(dispatch.max_wait_us);
        is_busy.then_some((Refusal::Busy, wait))
    }

    pub(super) fn refuse(
        &mut self,
        conn: ConnId,
        attempt: AttemptKey,
        refusal: Refusal,
        retry_delay: Duration,
    ) {
        self.counts.refused += 1;
        let retry_us = retry_delay.as_micros() as u64;
        self.send(Some(conn), ToEntry::Refused { attempt, refusal, retry_us });
    }

    pub(super) fn on_body(&mut self, id: &AttemptId, text: Bytes, now: Tick) {
        let Some(run) = self.runs.get_mut(id) else {
            return;
        };
        if run.state != RunState::Receiving {
            return;
        }
        run.received += text.len() as u64;
        run.body.push(text);
        if run.received > run.dispatch.body_len {
            self.abort_queued(id, "body longer than announced", now);
        } else if run.received == run.dispatch.body_len {
            run.state = RunState::Queued;
        }
    }

    pub(super) fn on_cancel(&mut self, id: &AttemptId, now: Tick) {
        if is_on(Mutant::CancelOff) {
            return;
        }
        self.undelivered.remove(id);
        if self.runs.contains_key(id) {
            self.counts.cancelled += 1;
            self.abort(id, "cancelled by the caller", now);
        } else if self.ledger.get(id).is_none() {
            // The dispatch may still arrive: this tombstone makes it refused.
            self.store_outcome(id.clone(), not_run("cancelled"), now + self.tuning.ledger_margin);
        }
    }

    pub(super) fn on_resume(&mut self, conn: ConnId, id: &AttemptId, resume: Resume, now: Tick) {
        if resume.incarnation != self.id.incarnation {
            let outcome = may_have_run("the agent has restarted");
            self.send_outcome(Some(conn), id.key, &outcome, 0);
            return;
        }
        if self.ledger.get(id).is_some() {
            self.replay(conn, id, resume.offset);
            return;
        }
        let Some(run) = self.runs.get_mut(id) else {
            self.store_outcome(id.clone(), not_run("given up"), now + self.tuning.ledger_margin);
            self.refuse(conn, id.key, Refusal::GivenUp, Duration::ZERO);
            return;
        };
        match run.state {
            RunState::Receiving => {
                run.conn = Some(conn);
                self.abort_queued(id, "the body did not arrive", now);
            }
            RunState::Cancelling => {
                let outcome = may_have_run("cancelled");
                self.send_outcome(Some(conn), id.key, &outcome, 0);
            }
            _ => {
                run.conn = Some(conn);
                run.disconnected_at = None;
                let head = run.head.clone();
                let Some(rest) = run.output.starting_at(resume.offset) else {
                    self.abort(id, NOT_KEPT, now);
                    return;
                };
                self.send(Some(conn), ToEntry::Accepted(id.key));
                self.send_output(conn, id.key, head, resume.offset, rest);
            }
        }
    }

    /// Sends the stored outcome of an attempt again, from `offset` bytes of the answer on.
    pub(super) fn replay(&mut self, conn: ConnId, id: &AttemptId, offset: u64) {
        self.undelivered.remove(id);
        let Some(outcome) = self.ledger.get(id).cloned() else {
            return;
        };
        self.send_outcome(Some(conn), id.key, &outcome, offset);
    }

    pub(super) fn send_outcome(
        &mut self,
        conn: Option<ConnId>,
        attempt: AttemptKey,
        outcome: &Outcome,
        offset: u64,
    ) {
        let Some(conn) = conn else { return };
        match outcome {
            Outcome::Done { head, output, completion } => {
                let rest = bytes_from(output, offset);
                self.send_output(conn, attempt, head.clone(), offset, rest);
                self.send(Some(conn), ToEntry::Done(attempt, completion.clone()));
            }
            Outcome::Failed { verdict: Verdict::NotRun, .. } => {
                self.refuse(conn, attempt, Refusal::GivenUp, Duration::ZERO);
            }
            Outcome::Failed { verdict, reason } => {
                let reason = reason.clone();
                self.send(Some(conn), ToEntry::Failed { attempt, verdict: *verdict, reason });
            }
        }
    }

    pub(super) fn send_output(
        &mut self,
        conn: ConnId,
        attempt: AttemptKey,
        head: Option<(u16, Arc<str>)>,
        offset: u64,
        rest: Bytes,
    ) {
        if let Some((status, content_type)) = head {
            self.send(Some(conn), ToEntry::Head { attempt, status, content_type });
        }
        self.send_text(Some(conn), attempt, offset, rest);
    }

    /// Sends a part of an answer in frames that the entry accepts.
    pub(super) fn send_text(
        &mut self,
        conn: Option<ConnId>,
        attempt: AttemptKey,
        mut offset: u64,
        mut text: Bytes,
    ) {
        while !text.is_empty() {
            let part = text.split_to(text.len().min(BODY_FRAME_BYTES));
            let length = part.len() as u64;
            self.send(conn, ToEntry::Chunk { attempt, offset, text: part });
            offset += length;
        }
    }

    /// Ends an attempt in any state, with the verdict that holds for that state.
    pub(super) fn abort(&mut self, id: &AttemptId, reason: &str, now: Tick) {
        let Some(run) = self.runs.get(id) else { return };
        if !run.is_at_target() {
            self.abort_queued(id, reason, now);
        } else if run.state != RunState::Cancelling {
            self.report_failure(id, Verdict::MayHaveRun, reason, now);
            self.cancel_at_target(id);
        }
    }

    /// Ends an attempt that has not been sent to the target.
    pub(super) fn abort_queued(&mut self, id: &AttemptId, reason: &str, now: Tick) {
        let is_late = self.runs.get(id).is_some_and(|run| run.deadline <= now);
        let refusal = if is_late { Refusal::TooLate } else { Refusal::GivenUp };
        self.abort_queued_as(id, refusal, reason, now);
    }

    /// Ends an attempt that has not been sent to the target, with the given refusal.
    pub(super) fn abort_queued_as(
        &mut self,
        id: &AttemptId,
        refusal: Refusal,
        reason: &str,
        now: Tick,
    ) {
        let Some(run) = self.runs.remove(id) else {
            return;
        };
        let until = run.deadline.max(now) + self.tuning.ledger_margin;
        self.store_outcome(id.clone(), not_run(reason), until);
        if let Some(conn) = run.conn {
            self.refuse(conn, id.key, refusal, Duration::ZERO);
        }
    }

    /// Reports a failure to the entry and stores it. The run itself stays until the target
    /// has released it.
    pub(super) fn report_failure(
        &mut self,
        id: &AttemptId,
        verdict: Verdict,
        reason: &str,
        now: Tick,
    ) {
        let Some(run) = self.runs.get(id) else { return };
        let outcome = Outcome::Failed { verdict, reason: reason.into() };
        let (conn, until) = (run.conn, run.deadline.max(now) + self.tuning.ledger_margin);
        let disconnected_at = run.disconnected_at;
        self.send_outcome(conn, id.key, &outcome, 0);
        if conn.is_none() {
            self.keep_for_entry(id, disconnected_at, now);
        }
        self.store_outcome(id.clone(), outcome, until);
        self.record(id, "failed", format!("{reason}, {verdict}"));
        self.counts.failed += 1;
    }

    /// Lets a drain wait until the entry has asked for an outcome that could not be sent.
    pub(super) fn keep_for_entry(
        &mut self,
        id: &AttemptId,
        disconnected_at: Option<Tick>,
        now: Tick,
    ) {
        let until = disconnected_at.unwrap_or(now) + self.tuning.disconnect_grace;
        if until > now {
            self.undelivered.insert(id.clone());
            self.timers.subscribe(until, Timer::Undelivered(id.clone()));
        }
    }

    pub(super) fn cancel_at_target(&mut self, id: &AttemptId) {
        let Some(run) = self.runs.get_mut(id) else {
            return;
        };
        run.state = RunState::Cancelling;
        run.conn = None;
        run.output.drop_bytes();
        self.effects.push(Effect::Cancel(id.clone()));
    }

    pub(super) fn store_outcome(&mut self, id: AttemptId, outcome: Outcome, until: Tick) {
        let is_tombstone = matches!(outcome, Outcome::Failed { verdict: Verdict::NotRun, .. });
        let mutant = if is_tombstone { Mutant::TombstoneOff } else { Mutant::LedgerOff };
        if is_on(mutant) {
            return;
        }
        self.ledger.insert(id, outcome, until);
    }
}

pub(super) fn not_run(reason: &str) -> Outcome {
    Outcome::Failed { verdict: Verdict::NotRun, reason: reason.into() }
}

pub(super) fn may_have_run(reason: &str) -> Outcome {
    Outcome::Failed { verdict: Verdict::MayHaveRun, reason: reason.into() }
}

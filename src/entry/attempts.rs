//! Attempts at targets: dispatch, answers and failures.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use super::core::EntryCore;
use super::decision_log::DecisionStep;
use super::direct::MAX_DIRECT_WAIT;
use super::event::{Effect, FailureCode, Reply};
use super::request::Phase;
use crate::id::{AttemptKey, Incarnation};
use crate::mutant::{Mutant, is_on};
use crate::time::Tick;
use crate::verdict::Verdict;
use crate::wire::{
    BODY_FRAME_BYTES, Call, Completion, Dispatch, Refusal, Resume, Shard, ToAgent, ToEntry,
};

/// Fraction of the remaining time that is subtracted from the agent's deadline, so that its
/// verdict arrives before the caller's time limit.
const DEADLINE_MARGIN_FRACTION: f64 = 0.01;

/// Minimum time that is subtracted from the agent's deadline.
const MIN_DEADLINE_MARGIN: Duration = Duration::from_millis(20);

impl EntryCore {
    pub(super) fn dispatch(&mut self, number: u64, target: &Arc<str>, reason: String, now: Tick) {
        let incarnation = self.links.get(target).copied().unwrap_or(Incarnation(0));
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let left = request.deadline.since(now);
        let margin = left.mul_f64(DEADLINE_MARGIN_FRACTION).max(MIN_DEADLINE_MARGIN);
        let key = request.key();
        let arrival = &request.arrival;
        let others = request.members.iter().filter(|member| member.target != *target);
        let shards = others.filter_map(|member| {
            let engine = member.engine.clone()?;
            Some(Shard { engine, tokens: member.tokens })
        });
        let dispatch = Dispatch {
            attempt: key,
            incarnation,
            call: arrival.call.clone(),
            account: arrival.policy.name.clone(),
            weight: arrival.policy.weight,
            urgency: arrival.policy.urgency,
            need: request.need,
            prefix_hashes: arrival.prefix_hashes.clone(),
            body_len: arrival.body.len() as u64,
            remaining_us: left.saturating_sub(margin).as_micros() as u64,
            shards: shards.collect(),
            max_wait_us: if request.is_direct {
                MAX_DIRECT_WAIT.as_micros() as u64
            } else {
                u64::MAX
            },
        };
        let body = arrival.body.clone();
        let repeats_run = request.verdict != Verdict::NotRun && !arrival.repeatable;
        request.phase = Phase::Running { target: target.clone(), incarnation };
        request.dispatches += 1;
        let attempt = request.attempt;
        request.log.push(now, DecisionStep::Chosen { target: target.clone(), attempt, reason });
        self.invariant.expect(!repeats_run, "a request that may have run is not tried again");
        self.counts.dispatched += 1;
        self.effects.push(Effect::Send(target.clone(), ToAgent::Dispatch(dispatch)));
        self.send_body(target, key, &body);
    }

    pub(super) fn send_body(&mut self, target: &Arc<str>, key: AttemptKey, body: &Bytes) {
        let mut start = 0;
        while start < body.len() {
            let end = (start + BODY_FRAME_BYTES).min(body.len());
            let part = ToAgent::Body(key, body.slice(start..end));
            self.effects.push(Effect::Send(target.clone(), part));
            start = end;
        }
    }

    pub(super) fn on_message(&mut self, target: &Arc<str>, message: ToEntry, now: Tick) {
        match message {
            ToEntry::ProbeAnswer(answer) => self.on_probe_answer(target, answer, now),
            ToEntry::Accepted(key) => self.on_accepted(target, key),
            ToEntry::Refused { attempt, refusal, retry_us } => {
                self.on_refused(target, attempt, refusal, Duration::from_micros(retry_us), now);
            }
            ToEntry::Head { attempt, status, content_type } => {
                self.on_head(target, attempt, status, content_type, now);
            }
            ToEntry::Chunk { attempt, offset, text } => {
                self.on_chunk(target, attempt, offset, &text, now);
            }
            ToEntry::Done(attempt, completion) => self.on_done(target, attempt, completion, now),
            ToEntry::Failed { attempt, verdict, reason } => {
                if self.is_live(target, attempt) {
                    self.on_attempt_failed(attempt.0, verdict, &reason, now);
                }
            }
            ToEntry::Held { attempt, engine } => self.on_held(target, attempt, engine, now),
            ToEntry::NotHeld(attempt) => self.on_not_held(target, attempt, now),
            ToEntry::TargetLost => self.on_target_crash(target, now),
            ToEntry::AccountAnswer { number, wait_us } => {
                let wait = wait_us.map(Duration::from_micros);
                self.on_account_answer(target, number, wait, now);
            }
            ToEntry::Leaving => self.table.mark_closed(target, now + super::probing::CLOSED_TTL),
        }
    }

    /// Returns `true` if `key` is the live attempt of its request and runs at `target`.
    pub(super) fn is_live(&self, target: &Arc<str>, key: AttemptKey) -> bool {
        let Some(request) = self.requests.get(&key.0) else {
            return false;
        };
        request.key() == key && request.attempt_target().is_some_and(|(name, _)| name == target)
    }

    pub(super) fn on_accepted(&mut self, target: &Arc<str>, key: AttemptKey) {
        if !self.is_live(target, key) {
            return;
        }
        let Some(request) = self.requests.get_mut(&key.0) else {
            return;
        };
        if let Phase::Resuming { target, incarnation, .. } = &request.phase {
            request.phase = Phase::Running { target: target.clone(), incarnation: *incarnation };
            self.counts.resumed += 1;
        }
    }

    pub(super) fn on_refused(
        &mut self,
        target: &Arc<str>,
        key: AttemptKey,
        refusal: Refusal,
        retry: Duration,
        now: Tick,
    ) {
        if !self.is_live(target, key) {
            return;
        }
        self.counts.refused += 1;
        if refusal == Refusal::Busy {
            self.history.set_wait(target, retry, now);
        }
        if refusal == Refusal::Leaving {
            self.table.mark_closed(target, now + super::probing::CLOSED_TTL);
        }
        self.release_members(key.0);
        let Some(request) = self.requests.get_mut(&key.0) else {
            return;
        };
        request.log.push(now, DecisionStep::Refused { target: target.clone(), refusal });
        request.refusal = Some((refusal, retry));
        request.tried.push(target.clone());
        request.phase = Phase::Backoff { until: now };
        let was_direct = std::mem::take(&mut request.is_direct);
        if was_direct && refusal == Refusal::Busy {
            self.on_direct_refused(key.0, now);
            return;
        }
        if request.has_answer_started() {
            self.fail(key.0, FailureCode::TargetFailed, "the answer was cut off", now);
            return;
        }
        self.dispatch_next(key.0, now);
    }

    /// Handles an attempt that ended without a whole answer: retries the request or fails it.
    pub(super) fn on_attempt_failed(
        &mut self,
        number: u64,
        verdict: Verdict,
        reason: &str,
        now: Tick,
    ) {
        self.release_members(number);
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let target =
            request.attempt_target().map_or_else(|| "".into(), |(target, _)| target.clone());
        if verdict == Verdict::MayHaveRun {
            self.record_interrupted(number, &target, now);
        }
        let is_quarantined = self.is_quarantined(number, now);
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        request.verdict = request.verdict.join(verdict);
        request.log.push(
            now,
            DecisionStep::Failed {
                target: target.clone(),
                attempt: request.attempt,
                reason: reason.to_owned(),
                verdict,
            },
        );
        request.tried.push(target);
        request.phase = Phase::Backoff { until: now };
        let is_retryable =
            verdict.may_retry(request.arrival.repeatable) || is_on(Mutant::VerdictOff);
        let may_retry = is_retryable && !request.has_answer_started() && !is_quarantined;
        let has_attempts_left = request.dispatches < self.tuning.max_attempts;
        if !may_retry || !has_attempts_left || !self.budget.withdraw() {
            self.fail(number, FailureCode::TargetFailed, reason, now);
            return;
        }
        self.counts.retried += 1;
        self.back_off(number, "another attempt after a failure", now);
    }

    pub(super) fn on_head(
        &mut self,
        target: &Arc<str>,
        key: AttemptKey,
        status: u16,
        content_type: Arc<str>,
        now: Tick,
    ) {
        if !self.is_live(target, key) {
            return;
        }
        let Some(request) = self.requests.get_mut(&key.0) else {
            return;
        };
        if request.has_head {
            return;
        }
        request.has_head = true;
        request.first_part_at = Some(now);
        self.effects.push(Effect::Reply(key.0, Reply::Head(status, content_type)));
    }

    pub(super) fn on_chunk(
        &mut self,
        target: &Arc<str>,
        key: AttemptKey,
        offset: u64,
        text: &Bytes,
        now: Tick,
    ) {
        if !self.is_live(target, key) {
            return;
        }
        self.on_accepted(target, key);
        let Some(request) = self.requests.get_mut(&key.0) else {
            return;
        };
        let sent_bytes = request.sent_bytes;
        let offset = if is_on(Mutant::OffsetOff) { sent_bytes } else { offset };
        if offset > sent_bytes {
            self.send_resume(key.0);
            return;
        }
        let received = (sent_bytes - offset) as usize;
        if received >= text.len() {
            return;
        }
        if request.first_part_at.is_none() {
            request.first_part_at = Some(now);
            request.log.push(now, DecisionStep::First { target: target.clone() });
        }
        let new_part = text.slice(received..);
        request.sent_bytes += new_part.len() as u64;
        self.effects.push(Effect::Reply(key.0, Reply::Text(new_part)));
    }

    /// Asks the target for the answer from the byte on that the caller does not have yet.
    pub(super) fn send_resume(&mut self, number: u64) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let Some((target, incarnation)) = request.attempt_target() else {
            return;
        };
        let resume = Resume { attempt: request.key(), incarnation, offset: request.sent_bytes };
        self.effects.push(Effect::Send(target.clone(), ToAgent::Resume(resume)));
    }

    pub(super) fn on_done(
        &mut self,
        target: &Arc<str>,
        key: AttemptKey,
        completion: Completion,
        now: Tick,
    ) {
        if !self.is_live(target, key) {
            return;
        }
        let Some(request) = self.requests.get(&key.0) else {
            return;
        };
        if request.sent_bytes < completion.length {
            self.send_resume(key.0);
            return;
        }
        let is_whole = request.sent_bytes == completion.length;
        self.invariant.expect(is_whole, "an answer is as long as its target said");
        if let Call::Model { model, .. } = &request.arrival.call {
            let bytes = request.arrival.prompt_bytes;
            self.estimator.learn(model, bytes, completion.prompt_tokens);
        }
        let outcome = format!(
            "whole answer of {} bytes, {} tokens, waited {} ms at {target}",
            completion.length,
            completion.answer_tokens,
            completion.waited_us / 1000
        );
        let wait = Duration::from_micros(completion.wait_us);
        self.record_answered(key.0);
        self.history.set_wait(target, wait, now);
        self.counts.finished += 1;
        self.release_members(key.0);
        self.effects.push(Effect::Reply(key.0, Reply::Done(completion)));
        self.close(key.0, &outcome, now);
    }
}

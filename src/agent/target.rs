//! Events of the target: it becomes ready or is lost, and its runs progress.

use std::collections::BTreeSet;
use std::time::Duration;

use bytes::Bytes;

use super::core::{AgentCore, Timer};
use super::event::{Effect, EngineFacts, EngineHolding, RunEvent, RunUsage};
use super::lease::LeaseTable;
use super::ledger::Outcome;
use super::run::RunState;
use crate::config::Urgency;
use crate::id::AttemptId;
use crate::mutant::{Mutant, is_on};
use crate::time::Tick;
use crate::verdict::Verdict;
use crate::wire::{Completion, ToEntry};

/// Fraction of the engine's memory that may be leased. The rest absorbs
/// estimates of token counts that turn out too low.
const LEASABLE_FRACTION: f64 = 0.95;

/// Total size of the answers that are kept for entries which may ask for them again, in bytes.
const MAX_OUTPUT_BYTES: usize = 32 * 1024 * 1024;

impl AgentCore {
    pub(super) fn on_target_ready(&mut self, facts: EngineFacts) {
        let lease_count = self.leases.len();
        self.invariant
            .expect(lease_count == 0, "a target becomes ready only while no lease is held");
        self.leases = LeaseTable::new((facts.capacity as f64 * LEASABLE_FRACTION) as u64);
        self.cache.clear();
        self.facts = Some(facts);
        // The back-off was asked for by the previous instance of the target.
        self.backoff_until = Tick::default();
    }

    pub(super) fn on_target_lost(&mut self, now: Tick) {
        if self.facts.take().is_none() {
            return;
        }
        let ids: Vec<_> = self.runs.keys().cloned().collect();
        for id in ids {
            self.lose_run(&id, now);
        }
        for id in self.leases.all() {
            self.leases.release(&id);
            if let Some(conn) = self.holders.remove(&id) {
                self.send(Some(conn), ToEntry::NotHeld(id.key));
            }
        }
        self.releasing.clear();
        for hold in std::mem::take(&mut self.pending_holds) {
            self.send(Some(hold.conn), ToEntry::NotHeld(hold.id.key));
        }
        let conns: Vec<_> = self.peers.keys().copied().collect();
        for conn in conns {
            self.send(Some(conn), ToEntry::TargetLost);
        }
        self.effects.push(Effect::Reset);
    }

    pub(super) fn lose_run(&mut self, id: &AttemptId, now: Tick) {
        let Some(run) = self.runs.get(id) else { return };
        if !run.is_at_target() {
            self.abort_queued(id, "the target was lost", now);
            return;
        }
        let is_cancelled = run.state == RunState::Cancelling;
        let is_on_its_way = !is_cancelled && !run.has_arrived();
        if !is_cancelled {
            self.report_failure(id, Verdict::MayHaveRun, "the target was lost", now);
        }
        if is_on_its_way {
            // The call may reach the target after its reset.
            self.cancel_at_target(id);
            self.mark_lost(id);
        } else {
            self.runs.remove(id);
        }
    }

    fn mark_lost(&mut self, id: &AttemptId) {
        if let Some(run) = self.runs.get_mut(id) {
            run.is_lost = true;
        }
    }

    pub(super) fn on_run(&mut self, id: &AttemptId, event: RunEvent, now: Tick) {
        let Some(run) = self.runs.get_mut(id) else {
            return;
        };
        if let RunEvent::BackOff(duration) = event {
            self.on_backoff(duration, now);
            return;
        }
        if run.state == RunState::Cancelling {
            // A run that completed before the cancel, or was never started, holds nothing either.
            let has_ended = matches!(
                event,
                RunEvent::Cancelled | RunEvent::Done(_) | RunEvent::Failed(Verdict::NotRun, _)
            );
            if has_ended {
                self.drop_run(id);
            }
            return;
        }
        if !run.is_at_target() {
            return;
        }
        match event {
            RunEvent::Head(status, content_type) => {
                run.head = Some((status, content_type.clone()));
                let conn = run.conn;
                self.send(conn, ToEntry::Head { attempt: id.key, status, content_type });
            }
            RunEvent::BackOff(_) => {}
            RunEvent::Text(text) => self.on_text(id, text, now),
            RunEvent::Paused(tokens) => self.on_paused(id, tokens, now),
            RunEvent::Done(usage) => self.on_done(id, usage, now),
            RunEvent::Failed(Verdict::NotRun, reason) => {
                self.report_failure(id, Verdict::NotRun, &reason, now);
                self.drop_run(id);
            }
            RunEvent::Failed(verdict, reason) => {
                self.report_failure(id, verdict, &reason, now);
                self.cancel_at_target(id);
            }
            RunEvent::Cancelled => {
                self.report_failure(id, Verdict::MayHaveRun, "the target ended it", now);
                self.drop_run(id);
            }
        }
    }

    /// Starts a back-off: no run is started at the target until it ends.
    fn on_backoff(&mut self, duration: Duration, now: Tick) {
        self.backoff_until = self.backoff_until.max(now + duration);
        self.timers.subscribe(self.backoff_until, Timer::BackOff);
    }

    pub(super) fn on_text(&mut self, id: &AttemptId, text: Bytes, now: Tick) {
        let Some(run) = self.runs.get_mut(id) else {
            return;
        };
        if run.first_output.is_none() {
            let tokens = run.left_to_prefill();
            if run.prefills_alone && run.prefilled > run.cached {
                self.rates.observe_prefill(tokens, now.since(run.phase_start));
            }
            run.first_output = Some(now);
            run.prefilled = run.dispatch.need.prompt;
            run.state = RunState::Decoding;
        }
        if run.output.is_kept() {
            self.make_room(text.len());
        }
        let Some(run) = self.runs.get_mut(id) else {
            return;
        };
        let offset = run.output.length();
        run.answer_chunks += 1;
        run.output.push(&text);
        let conn = run.conn;
        self.send_text(conn, id.key, offset, text);
    }

    /// Makes room for more bytes of an answer. Complete answers give way first, then those in
    /// progress, which go on and can not be sent again.
    fn make_room(&mut self, length: usize) {
        loop {
            let in_progress: usize = self.runs.values().map(|run| run.output.kept_bytes()).sum();
            if in_progress + self.ledger.output_bytes() + length <= MAX_OUTPUT_BYTES {
                return;
            }
            if self.ledger.drop_largest_output() {
                continue;
            }
            let outputs = self.runs.values_mut().map(|run| &mut run.output);
            let Some(largest) = outputs.max_by_key(|output| output.kept_bytes()) else { return };
            if largest.kept_bytes() == 0 {
                return;
            }
            largest.drop_bytes();
        }
    }

    pub(super) fn on_paused(&mut self, id: &AttemptId, tokens: u64, now: Tick) {
        let Some(run) = self.runs.get_mut(id) else {
            return;
        };
        let prefilled = tokens.saturating_sub(run.prefilled);
        if run.prefills_alone {
            self.rates.observe_prefill(prefilled, now.since(run.phase_start));
        }
        run.prefilled = tokens.min(run.dispatch.need.prompt);
        run.state = RunState::Paused;
        run.phase_start = now;
    }

    pub(super) fn on_done(&mut self, id: &AttemptId, usage: RunUsage, now: Tick) {
        let Some(run) = self.runs.get_mut(id) else {
            return;
        };
        let first = run.first_output.unwrap_or(now);
        let wait = self.predict_wait(0, Urgency::Interactive, "", now);
        let Some(run) = self.runs.get_mut(id) else {
            return;
        };
        self.rates.observe_decode(usage.answer_tokens, now.since(first));
        self.rates.observe_answer_length(usage.answer_tokens);
        let output = run.output.take();
        let waited = run.started.unwrap_or(now).since(run.arrived);
        let completion = Completion {
            length: run.output.length(),
            prompt_tokens: usage.prompt_tokens,
            cached_tokens: usage.cached_tokens,
            answer_tokens: usage.answer_tokens,
            finish_reason: usage.finish_reason,
            waited_us: waited.as_micros() as u64,
            wait_us: wait.as_micros() as u64,
        };
        let conn = run.conn;
        let until = run.deadline.max(now) + self.tuning.ledger_margin;
        let head = run.head.take();
        let disconnected_at = run.disconnected_at;
        self.send(conn, ToEntry::Done(id.key, completion.clone()));
        if conn.is_none() {
            self.keep_for_entry(id, disconnected_at, now);
        }
        let outcome = match output {
            Some(output) => Outcome::Done { head, output, completion },
            None => Outcome::not_kept(),
        };
        self.store_outcome(id.clone(), outcome, until);
        self.record(id, "done", String::new());
        self.counts.done += 1;
        self.drop_run(id);
    }

    pub(super) fn drop_run(&mut self, id: &AttemptId) {
        self.runs.remove(id);
        self.leases.release(id);
    }

    /// Cancels orphaned runs and reservations at the engine. They arise because
    /// calls of an earlier incarnation of this agent can reach the engine after
    /// it was reset.
    pub(super) fn on_holdings(&mut self, holdings: &[EngineHolding]) {
        let leased = self.leases.all();
        let known: BTreeSet<String> =
            self.runs.keys().chain(&leased).map(AttemptId::to_string).collect();
        for orphan in holdings.iter().filter(|holding| !known.contains(&holding.id)) {
            if is_on(Mutant::OrphansOff) {
                return;
            }
            self.counts.orphans += 1;
            self.effects.push(Effect::CancelOrphan(orphan.id.clone()));
        }
    }
}

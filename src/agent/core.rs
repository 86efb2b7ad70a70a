//! The agent's decisions.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use super::cache::PrefixIndex;
use super::event::{
    AgentTuning, ConnId, Effect, EngineFacts, EngineHolding, Event, RunEvent, RunUsage,
};
use super::lease::{LeaseBook, LeaseUse, MemoryLease};
use super::ledger::{Outcome, OutcomeLedger};
use super::predict::RatePredictor;
use super::queue::FairShare;
use super::run::{Run, RunState, local_tokens};
use crate::config::{ConfigVersion, Urgency};
use crate::id::{AttemptId, AttemptKey, ProcessId, RequestId};
use crate::invariant::InvariantCheck;
use crate::mutant::{Mutant, is_on};
use crate::prefix::BLOCK_BYTES;
use crate::time::{Tick, TimerService};
use crate::verdict::Verdict;
use crate::wire::{
    Call, Completion, Dispatch, Hold, Probe, ProbeAnswer, Refusal, Resume, ToAgent, ToEntry,
};

/// Bytes of text that one cached token is taken to stand for.
const BYTES_PER_TOKEN: u64 = 4;

/// Share of the engine's memory that is leased. The rest is for estimates of
/// token counts that turn out too low.
const LEASED_SHARE: f64 = 0.95;

/// What an entry is told to wait before it asks again, at least.
const MIN_RETRY: Duration = Duration::from_millis(50);

/// Counts of an agent's life.
#[derive(Clone, Copy, Debug, Default)]
pub struct AgentCounts {
    /// Runs given to the target.
    pub started: u64,
    /// Whole answers.
    pub done: u64,
    /// Runs that ended otherwise.
    pub failed: u64,
    /// Attempts refused as not run.
    pub refused: u64,
    /// Runs ended because nobody wanted them any more.
    pub cancelled: u64,
    /// Runs found at the engine that no attempt stood for.
    pub strays: u64,
    /// Probes answered.
    pub probes: u64,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Deadline(AttemptId),
    Orphan(AttemptId),
    Lease(AttemptId),
}

/// A group's wish for memory that is not free yet.
#[derive(Debug)]
pub(super) struct HoldClaim {
    pub(super) id: AttemptId,
    conn: ConnId,
    pub(super) tokens: u64,
    pub(super) since: Tick,
    expires: Tick,
}

/// The deciding part of an agent.
#[derive(Debug)]
pub struct AgentCore {
    id: ProcessId,
    pub(super) tuning: AgentTuning,
    facts: Option<EngineFacts>,
    no_facts: EngineFacts,
    peers: BTreeMap<ConnId, ProcessId>,
    pub(super) runs: BTreeMap<AttemptId, Run>,
    ledger: OutcomeLedger,
    pub(super) leases: LeaseBook,
    unreserving: BTreeSet<AttemptId>,
    pub(super) holders: BTreeMap<AttemptId, ConnId>,
    pub(super) claims: Vec<HoldClaim>,
    pub(super) share: FairShare,
    pub(super) cache: PrefixIndex,
    pub(super) rates: RatePredictor,
    timers: TimerService<Timer>,
    leaving: bool,
    stopped: bool,
    config_version: ConfigVersion,
    invariant: InvariantCheck,
    pub(super) counts: AgentCounts,
    pub(super) out: Vec<Effect>,
}

impl AgentCore {
    /// Makes the core of an agent that knows nothing of its target yet.
    #[must_use]
    pub fn new(id: ProcessId, tuning: AgentTuning) -> Self {
        let invariant = InvariantCheck::new(tuning.strict);
        AgentCore {
            id,
            tuning,
            facts: None,
            no_facts: EngineFacts::default(),
            peers: BTreeMap::new(),
            runs: BTreeMap::new(),
            ledger: OutcomeLedger::default(),
            leases: LeaseBook::default(),
            unreserving: BTreeSet::new(),
            holders: BTreeMap::new(),
            claims: Vec::new(),
            share: FairShare::default(),
            cache: PrefixIndex::default(),
            rates: RatePredictor::default(),
            timers: TimerService::new(),
            leaving: false,
            stopped: false,
            config_version: ConfigVersion::default(),
            invariant,
            counts: AgentCounts::default(),
            out: vec![Effect::Reset],
        }
    }

    /// Takes an event and returns what is to be done.
    pub fn on_event(&mut self, now: Tick, event: Event) -> Vec<Effect> {
        match event {
            Event::PeerUp(conn, owner) => self.on_peer_up(conn, owner, now),
            Event::PeerGone(conn) => self.on_peer_gone(conn, now),
            Event::Peer(conn, message) => self.on_message(conn, message, now),
            Event::TargetReady(facts) => self.on_target_ready(facts),
            Event::TargetLost => self.on_target_lost(now),
            Event::Run(id, event) => self.on_run(&id, event, now),
            Event::Reserved(id, is_held) => self.on_reserved(&id, is_held),
            Event::Unreserved(id) => self.on_unreserved(&id),
            Event::Cache(event) => self.cache.on_event(&event),
            Event::EngineHoldings(holdings) => self.on_holdings(&holdings),
            Event::Drain => self.on_drain(now),
            Event::Wake => {}
        }
        self.expire(now);
        self.schedule(now);
        self.check_stopped();
        self.check_invariants();
        std::mem::take(&mut self.out)
    }

    /// The next time at which [`Event::Wake`] is wanted.
    #[must_use]
    pub fn next_wake(&self) -> Option<Tick> {
        [self.timers.peek_next(), self.ledger.peek_next()].into_iter().flatten().min()
    }

    /// Counts of this life.
    #[must_use]
    pub fn counts(&self) -> AgentCounts {
        self.counts
    }

    /// Attempts that have not ended.
    #[must_use]
    pub fn open_runs(&self) -> usize {
        self.runs.len()
    }

    /// Tokens under lease.
    #[must_use]
    pub fn leased_tokens(&self) -> u64 {
        self.leases.capacity() - self.leases.free()
    }

    /// How many invariants were broken.
    #[must_use]
    pub fn broken_invariants(&self) -> u64 {
        self.invariant.broken()
    }

    /// How many gaps the engine's cache events had.
    #[must_use]
    pub fn cache_gaps(&self) -> u64 {
        self.cache.gaps()
    }

    pub(super) fn facts(&self) -> &EngineFacts {
        self.facts.as_ref().unwrap_or(&self.no_facts)
    }

    pub(super) fn is_ready(&self) -> bool {
        self.facts.is_some()
    }

    pub(super) fn record(&mut self, id: &AttemptId, kind: &'static str, detail: String) {
        let request = RequestId { owner: id.owner.clone(), number: id.key.0 };
        self.out.push(Effect::Record { request: request.to_string(), kind, detail });
    }

    fn send(&mut self, conn: Option<ConnId>, message: ToEntry) {
        if let Some(conn) = conn {
            self.out.push(Effect::Send(conn, message));
        }
    }

    // Peers.

    fn on_peer_up(&mut self, conn: ConnId, owner: ProcessId, now: Tick) {
        // A dispatch that is still under way on an older connection of the
        // same entry must not count after the entry asked on a newer one.
        let older: Vec<_> =
            self.peers.iter().filter(|(_, peer)| **peer == owner).map(|(conn, _)| *conn).collect();
        for conn in older {
            self.on_peer_gone(conn, now);
        }
        self.peers.insert(conn, owner);
        if self.leaving {
            self.send(Some(conn), ToEntry::Leaving);
        }
    }

    fn on_peer_gone(&mut self, conn: ConnId, now: Tick) {
        if self.peers.remove(&conn).is_none() {
            return;
        }
        let lost: Vec<_> = self
            .runs
            .iter()
            .filter(|(_, run)| run.conn == Some(conn))
            .map(|(id, _)| id.clone())
            .collect();
        for id in lost {
            self.on_run_orphaned(&id, now);
        }
        self.holders.retain(|_, holder| *holder != conn);
        self.claims.retain(|claim| claim.conn != conn);
    }

    fn on_run_orphaned(&mut self, id: &AttemptId, now: Tick) {
        let Some(run) = self.runs.get_mut(id) else {
            return;
        };
        run.conn = None;
        if run.state == RunState::Receiving {
            self.give_up(id, "connection lost before the body was whole", now);
            return;
        }
        run.orphaned = Some(now);
        self.timers.subscribe(now + self.tuning.orphan_grace, Timer::Orphan(id.clone()));
    }

    fn on_message(&mut self, conn: ConnId, message: ToAgent, now: Tick) {
        let Some(owner) = self.peers.get(&conn).cloned() else {
            return;
        };
        let named = |key: AttemptKey| AttemptId { owner: owner.clone(), key };
        match message {
            ToAgent::Probe(probe) => self.on_probe(conn, &probe, now),
            ToAgent::Dispatch(dispatch) => {
                self.on_dispatch(conn, named(dispatch.attempt), dispatch, now);
            }
            ToAgent::Body(key, text) => self.on_body(&named(key), text, now),
            ToAgent::Cancel(key) => self.on_cancel(&named(key), now),
            ToAgent::Resume(resume) => self.on_resume(conn, &named(resume.attempt), resume, now),
            ToAgent::Hold(hold) => self.on_hold(conn, named(hold.attempt), hold, now),
            ToAgent::Release(key) => self.on_release(&named(key), now),
            ToAgent::ConfigVersion(version) => {
                self.config_version = self.config_version.max(version);
            }
        }
    }

    fn on_probe(&mut self, conn: ConnId, probe: &Probe, now: Tick) {
        self.counts.probes += 1;
        let blocks = u64::from(self.cache.cached_blocks(&probe.marks));
        let cached = (blocks * BLOCK_BYTES as u64 / BYTES_PER_TOKEN).min(probe.need.prompt);
        let wait = self.predict_wait(probe.need.total(), probe.urgency, "", now);
        let answer = ProbeAnswer {
            number: probe.number,
            open: self.refuse_new(&probe.model).is_none(),
            wait_us: wait.as_micros() as u64,
            prefill_us: self.rates.prefill(probe.need.prompt - cached).as_micros() as u64,
            cached_tokens: cached,
            free_tokens: self.leases.free(),
            capacity_tokens: self.leases.capacity(),
            config_version: self.config_version,
        };
        self.send(Some(conn), ToEntry::ProbeAnswer(answer));
    }

    /// Why no new work for `model` is taken at all, if so. A plain service
    /// goes by no model.
    fn refuse_new(&self, model: &str) -> Option<Refusal> {
        if self.leaving && !is_on(Mutant::LeavingOff) {
            return Some(Refusal::Leaving);
        }
        let Some(facts) = &self.facts else {
            return Some(Refusal::NotReady);
        };
        let has_model = model.is_empty() || facts.models.iter().any(|loaded| &**loaded == model);
        (!has_model).then_some(Refusal::NotReady)
    }

    // Attempts.

    fn on_dispatch(&mut self, conn: ConnId, id: AttemptId, dispatch: Dispatch, now: Tick) {
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
        if let Some((refusal, retry)) = self.refuse_dispatch(&id, &dispatch, now) {
            self.refuse(conn, id.key, refusal, retry);
            // A second copy of this dispatch must not run after this answer.
            let until = now + Duration::from_micros(dispatch.remaining_us);
            self.settle(id, not_run("refused"), until + self.tuning.ledger_margin);
            return;
        }
        let blocks = u64::from(self.cache.cached_blocks(&dispatch.marks));
        let cached = (blocks * BLOCK_BYTES as u64 / BYTES_PER_TOKEN).min(dispatch.need.prompt);
        let run = Run::new(dispatch, conn, now, cached);
        self.timers.subscribe(run.deadline, Timer::Deadline(id.clone()));
        self.runs.insert(id, run);
    }

    fn refuse_dispatch(
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
        let waiting = self.runs.values().filter(|run| !run.is_at_target()).count();
        if waiting >= self.tuning.max_queue {
            return Some((Refusal::QueueFull, MIN_RETRY));
        }
        if model.is_empty() {
            return None;
        }
        let needs_hold = !dispatch.shards.is_empty();
        let has_hold = self.leases.is_held(id) && !self.unreserving.contains(id);
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
            return Some((Refusal::TooLate, wait.max(MIN_RETRY)));
        }
        let is_busy = wait > Duration::from_micros(dispatch.max_wait_us);
        is_busy.then_some((Refusal::Busy, wait))
    }

    fn refuse(&mut self, conn: ConnId, attempt: AttemptKey, refusal: Refusal, retry: Duration) {
        self.counts.refused += 1;
        let retry_us = retry.as_micros() as u64;
        self.send(Some(conn), ToEntry::Refused { attempt, refusal, retry_us });
    }

    fn on_body(&mut self, id: &AttemptId, text: Bytes, now: Tick) {
        let Some(run) = self.runs.get_mut(id) else {
            return;
        };
        if run.state != RunState::Receiving {
            return;
        }
        run.received += text.len() as u64;
        run.body.push(text);
        if run.received > run.dispatch.body_len {
            self.give_up(id, "body longer than announced", now);
        } else if run.received == run.dispatch.body_len {
            run.state = RunState::Queued;
        }
    }

    fn on_cancel(&mut self, id: &AttemptId, now: Tick) {
        if is_on(Mutant::CancelOff) {
            return;
        }
        if self.runs.contains_key(id) {
            self.counts.cancelled += 1;
            self.end_early(id, "cancelled by the caller", now);
        } else if self.ledger.get(id).is_none() {
            // The dispatch may come yet: let it find this.
            self.settle(id.clone(), not_run("cancelled"), now + self.tuning.ledger_margin);
        }
    }

    fn on_resume(&mut self, conn: ConnId, id: &AttemptId, resume: Resume, now: Tick) {
        if resume.incarnation != self.id.incarnation {
            let failed = may_have_run("the agent has restarted");
            self.send_outcome(Some(conn), id.key, &failed, 0);
            return;
        }
        if self.ledger.get(id).is_some() {
            self.replay(conn, id, resume.offset);
            return;
        }
        let Some(run) = self.runs.get_mut(id) else {
            self.settle(id.clone(), not_run("given up"), now + self.tuning.ledger_margin);
            self.refuse(conn, id.key, Refusal::GivenUp, Duration::ZERO);
            return;
        };
        match run.state {
            RunState::Receiving => {
                run.conn = Some(conn);
                self.give_up(id, "the body did not arrive", now);
            }
            RunState::Cancelling => {
                let failed = may_have_run("cancelled");
                self.send_outcome(Some(conn), id.key, &failed, 0);
            }
            _ => {
                run.conn = Some(conn);
                run.orphaned = None;
                let head = run.head.clone();
                let rest = rest_of(&run.output, resume.offset);
                self.send(Some(conn), ToEntry::Accepted(id.key));
                self.send_rest(conn, id.key, head, resume.offset, rest);
            }
        }
    }

    fn replay(&mut self, conn: ConnId, id: &AttemptId, offset: u64) {
        let Some(outcome) = self.ledger.get(id).cloned() else {
            return;
        };
        self.send_outcome(Some(conn), id.key, &outcome, offset);
    }

    fn send_outcome(
        &mut self,
        conn: Option<ConnId>,
        attempt: AttemptKey,
        outcome: &Outcome,
        offset: u64,
    ) {
        let Some(conn) = conn else { return };
        match outcome {
            Outcome::Done { head, output, completion } => {
                let rest = rest_of(output, offset);
                self.send_rest(conn, attempt, head.clone(), offset, rest);
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

    fn send_rest(
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
        if !rest.is_empty() {
            self.send(Some(conn), ToEntry::Chunk { attempt, offset, text: rest });
        }
    }

    /// Ends an attempt wherever it stands, with the verdict that is true there.
    fn end_early(&mut self, id: &AttemptId, reason: &str, now: Tick) {
        let Some(run) = self.runs.get(id) else { return };
        if !run.is_at_target() {
            self.give_up(id, reason, now);
        } else if run.state != RunState::Cancelling {
            self.fail(id, Verdict::MayHaveRun, reason, now);
            self.let_go(id);
        }
    }

    /// Ends an attempt that the target has not seen.
    pub(super) fn give_up(&mut self, id: &AttemptId, reason: &str, now: Tick) {
        let is_late = self.runs.get(id).is_some_and(|run| run.deadline <= now);
        let refusal = if is_late { Refusal::TooLate } else { Refusal::GivenUp };
        self.give_up_as(id, refusal, reason, now);
    }

    /// Ends an attempt that the target has not seen, for a stated cause.
    pub(super) fn give_up_as(&mut self, id: &AttemptId, refusal: Refusal, reason: &str, now: Tick) {
        let Some(run) = self.runs.remove(id) else {
            return;
        };
        let until = run.deadline.max(now) + self.tuning.ledger_margin;
        self.settle(id.clone(), not_run(reason), until);
        if let Some(conn) = run.conn {
            self.refuse(conn, id.key, refusal, Duration::ZERO);
        }
    }

    /// Tells of a failure. The run itself stays until the target let it go.
    fn fail(&mut self, id: &AttemptId, verdict: Verdict, reason: &str, now: Tick) {
        let Some(run) = self.runs.get(id) else { return };
        let outcome = Outcome::Failed { verdict, reason: reason.into() };
        let (conn, until) = (run.conn, run.deadline.max(now) + self.tuning.ledger_margin);
        self.send_outcome(conn, id.key, &outcome, 0);
        self.settle(id.clone(), outcome, until);
        self.record(id, "failed", format!("{reason}, {verdict}"));
        self.counts.failed += 1;
    }

    fn let_go(&mut self, id: &AttemptId) {
        let Some(run) = self.runs.get_mut(id) else {
            return;
        };
        run.state = RunState::Cancelling;
        run.conn = None;
        run.output = bytes::BytesMut::new();
        self.out.push(Effect::Cancel(id.clone()));
    }

    fn settle(&mut self, id: AttemptId, outcome: Outcome, until: Tick) {
        let is_tombstone = matches!(outcome, Outcome::Failed { verdict: Verdict::NotRun, .. });
        let mutant = if is_tombstone { Mutant::TombstoneOff } else { Mutant::LedgerOff };
        if is_on(mutant) {
            return;
        }
        self.ledger.insert(id, outcome, until);
    }

    // The target.

    fn on_target_ready(&mut self, facts: EngineFacts) {
        let held = self.leases.len();
        self.invariant.expect(held == 0, "a target is reset only when no lease is held");
        self.leases = LeaseBook::new((facts.capacity as f64 * LEASED_SHARE) as u64);
        self.cache.clear();
        self.facts = Some(facts);
    }

    fn on_target_lost(&mut self, now: Tick) {
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
        self.unreserving.clear();
        for claim in std::mem::take(&mut self.claims) {
            self.send(Some(claim.conn), ToEntry::NotHeld(claim.id.key));
        }
        self.out.push(Effect::Reset);
    }

    fn lose_run(&mut self, id: &AttemptId, now: Tick) {
        let Some(run) = self.runs.get(id) else { return };
        if !run.is_at_target() {
            self.give_up(id, "the target was lost", now);
            return;
        }
        if run.state != RunState::Cancelling {
            self.fail(id, Verdict::MayHaveRun, "the target was lost", now);
        }
        self.runs.remove(id);
    }

    fn on_run(&mut self, id: &AttemptId, event: RunEvent, now: Tick) {
        let Some(run) = self.runs.get_mut(id) else {
            return;
        };
        if run.state == RunState::Cancelling {
            // A run that came to its end by itself holds nothing either.
            if matches!(event, RunEvent::Cancelled | RunEvent::Done(_)) {
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
            RunEvent::Text(text) => self.on_text(id, text, now),
            RunEvent::Paused(tokens) => self.on_paused(id, tokens, now),
            RunEvent::Done(usage) => self.on_done(id, usage, now),
            RunEvent::Failed(Verdict::NotRun, reason) => {
                self.fail(id, Verdict::NotRun, &reason, now);
                self.drop_run(id);
            }
            RunEvent::Failed(verdict, reason) => {
                self.fail(id, verdict, &reason, now);
                self.let_go(id);
            }
            RunEvent::Cancelled => {
                self.fail(id, Verdict::MayHaveRun, "the target ended it", now);
                self.drop_run(id);
            }
        }
    }

    fn on_text(&mut self, id: &AttemptId, text: Bytes, now: Tick) {
        let Some(run) = self.runs.get_mut(id) else {
            return;
        };
        if run.first.is_none() {
            let tokens = run.left_to_prefill();
            if run.alone && run.prefilled > run.cached {
                self.rates.learn_prefill(tokens, now.since(run.since));
            }
            run.first = Some(now);
            run.prefilled = run.dispatch.need.prompt;
            run.state = RunState::Decoding;
        }
        let offset = run.output.len() as u64;
        run.parts += 1;
        run.output.extend_from_slice(&text);
        let conn = run.conn;
        self.send(conn, ToEntry::Chunk { attempt: id.key, offset, text });
    }

    fn on_paused(&mut self, id: &AttemptId, tokens: u64, now: Tick) {
        let Some(run) = self.runs.get_mut(id) else {
            return;
        };
        let done = tokens.saturating_sub(run.prefilled);
        if run.alone {
            self.rates.learn_prefill(done, now.since(run.since));
        }
        run.prefilled = tokens.min(run.dispatch.need.prompt);
        run.state = RunState::Paused;
        run.since = now;
    }

    fn on_done(&mut self, id: &AttemptId, usage: RunUsage, now: Tick) {
        let Some(run) = self.runs.get_mut(id) else {
            return;
        };
        let first = run.first.unwrap_or(now);
        let wait = self.predict_wait(0, Urgency::Interactive, "", now);
        let Some(run) = self.runs.get_mut(id) else {
            return;
        };
        self.rates.learn_decode(usage.answer_tokens, now.since(first));
        self.rates.learn_answer(usage.answer_tokens);
        let output = std::mem::take(&mut run.output).freeze();
        let waited = run.started.unwrap_or(now).since(run.arrived);
        let completion = Completion {
            length: output.len() as u64,
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
        self.send(conn, ToEntry::Done(id.key, completion.clone()));
        self.settle(id.clone(), Outcome::Done { head, output, completion }, until);
        self.record(id, "done", String::new());
        self.counts.done += 1;
        self.drop_run(id);
    }

    fn drop_run(&mut self, id: &AttemptId) {
        self.runs.remove(id);
        self.leases.release(id);
    }

    /// Ends what the engine holds for nobody: calls of an earlier life of this
    /// agent can reach the engine after it was reset.
    fn on_holdings(&mut self, holdings: &[EngineHolding]) {
        let leased = self.leases.all();
        let known: BTreeSet<String> =
            self.runs.keys().chain(&leased).map(AttemptId::to_string).collect();
        for run in holdings.iter().filter(|run| !known.contains(&run.id)) {
            if is_on(Mutant::StraysOff) {
                return;
            }
            self.counts.strays += 1;
            self.out.push(Effect::CancelStray(run.id.clone()));
        }
    }

    // Memory for groups.

    fn on_hold(&mut self, conn: ConnId, id: AttemptId, hold: Hold, now: Tick) {
        let expires = now + Duration::from_micros(hold.expires_us);
        if hold.is_renewal {
            self.on_renewal(conn, &id, expires);
            return;
        }
        let is_open = !self.leaving && self.is_ready() && !self.unreserving.contains(&id);
        if !is_open || hold.tokens > self.leases.capacity() || self.leases.get(&id).is_some() {
            self.send(Some(conn), ToEntry::NotHeld(id.key));
            return;
        }
        self.timers.subscribe(expires, Timer::Lease(id.clone()));
        self.claims.push(HoldClaim { id, conn, tokens: hold.tokens, since: now, expires });
    }

    fn on_renewal(&mut self, conn: ConnId, id: &AttemptId, expires: Tick) {
        let is_known = !self.unreserving.contains(id) && self.leases.renew(id, expires);
        if !is_known {
            self.send(Some(conn), ToEntry::NotHeld(id.key));
            return;
        }
        self.timers.subscribe(expires, Timer::Lease(id.clone()));
        self.holders.insert(id.clone(), conn);
        let engine = self.facts().address.clone();
        self.send(Some(conn), ToEntry::Held { attempt: id.key, engine });
    }

    /// Takes leases for the claims that fit, the oldest first.
    pub(super) fn serve_claims(&mut self) {
        while let Some(claim) = self.claims.first() {
            let usage = LeaseUse::Hold;
            let lease = MemoryLease { tokens: claim.tokens, expires: claim.expires, usage };
            if !self.leases.reserve(claim.id.clone(), lease) {
                return;
            }
            let claim = self.claims.remove(0);
            self.holders.insert(claim.id.clone(), claim.conn);
            self.out.push(Effect::Reserve(claim.id, claim.tokens));
        }
    }

    fn on_reserved(&mut self, id: &AttemptId, is_held: bool) {
        if self.unreserving.contains(id) {
            return;
        }
        let conn = self.holders.get(id).copied();
        if is_held {
            let engine = self.facts().address.clone();
            self.send(conn, ToEntry::Held { attempt: id.key, engine });
            return;
        }
        self.leases.release(id);
        self.holders.remove(id);
        self.send(conn, ToEntry::NotHeld(id.key));
    }

    fn on_release(&mut self, id: &AttemptId, now: Tick) {
        self.claims.retain(|claim| claim.id != *id);
        if self.leases.is_held(id) && self.unreserving.insert(id.clone()) {
            self.holders.remove(id);
            self.out.push(Effect::Unreserve(id.clone()));
            // A run that waits to use what is given back can not have it.
            if self.runs.get(id).is_some_and(|run| !run.is_at_target()) {
                self.give_up(id, "its memory lease has ended", now);
            }
        }
    }

    fn on_unreserved(&mut self, id: &AttemptId) {
        if self.unreserving.remove(id) {
            self.leases.release(id);
        }
    }

    // Time and stops.

    fn expire(&mut self, now: Tick) {
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::Deadline(id) => self.end_early(&id, "time limit", now),
                Timer::Orphan(id) => self.on_orphan_due(&id, now),
                Timer::Lease(id) => self.on_lease_due(&id, now),
            }
        }
        self.ledger.expire(now);
    }

    fn on_orphan_due(&mut self, id: &AttemptId, now: Tick) {
        let Some(run) = self.runs.get(id) else { return };
        let is_due = run.orphaned.is_some_and(|at| at + self.tuning.orphan_grace <= now);
        if is_due && !run.is_plain() && !is_on(Mutant::CancelOff) {
            self.counts.cancelled += 1;
            self.end_early(id, "nobody waits for the answer", now);
        }
    }

    fn on_lease_due(&mut self, id: &AttemptId, now: Tick) {
        if is_on(Mutant::ExpiryOff) {
            return;
        }
        let is_lease_due = self.leases.get(id).is_some_and(|lease| lease.expires <= now);
        let claim = self.claims.iter().find(|claim| claim.id == *id && claim.expires <= now);
        let conn = claim.map(|claim| claim.conn).or_else(|| self.holders.get(id).copied());
        if is_lease_due || claim.is_some() {
            self.send(conn, ToEntry::NotHeld(id.key));
            self.on_release(id, now);
        }
    }

    fn on_drain(&mut self, now: Tick) {
        if self.leaving {
            return;
        }
        self.leaving = true;
        let conns: Vec<_> = self.peers.keys().copied().collect();
        for conn in conns {
            self.send(Some(conn), ToEntry::Leaving);
        }
        for claim in std::mem::take(&mut self.claims) {
            self.send(Some(claim.conn), ToEntry::NotHeld(claim.id.key));
        }
        let queued = self.runs.iter().filter(|(_, run)| !run.is_at_target());
        let queued: Vec<_> = queued.map(|(id, _)| id.clone()).collect();
        for id in queued {
            self.give_up(&id, "the target is leaving", now);
        }
    }

    fn check_stopped(&mut self) {
        let is_empty = self.runs.is_empty() && self.leases.is_empty();
        if self.leaving && is_empty && !self.stopped {
            self.stopped = true;
            self.out.push(Effect::Stopped);
        }
    }

    fn check_invariants(&mut self) {
        if !self.tuning.strict {
            return;
        }
        let is_balanced = self.leases.is_balanced();
        self.invariant.expect(is_balanced, "the leases add up to the memory in use");
        let mut unleased = self.runs.iter().filter(|(id, run)| {
            run.is_at_target() && !run.is_plain() && self.leases.get(id).is_none()
        });
        let all_leased = unleased.next().is_none();
        self.invariant.expect(all_leased, "every run at the engine has a lease");
        let mut stale = self.leases.runs().filter(|id| !self.runs.contains_key(*id));
        let all_run = stale.next().is_none();
        self.invariant.expect(all_run, "every lease of a run belongs to one");
    }
}

fn rest_of(output: &[u8], offset: u64) -> Bytes {
    let start = (offset as usize).min(output.len());
    Bytes::copy_from_slice(&output[start..])
}

fn not_run(reason: &str) -> Outcome {
    Outcome::Failed { verdict: Verdict::NotRun, reason: reason.into() }
}

fn may_have_run(reason: &str) -> Outcome {
    Outcome::Failed { verdict: Verdict::MayHaveRun, reason: reason.into() }
}

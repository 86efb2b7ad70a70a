//! The agent's decisions.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::cache::PrefixIndex;
use super::event::{AgentTuning, ConnId, Effect, EngineFacts, Event};
use super::holds::HoldClaim;
use super::lease::LeaseBook;
use super::ledger::OutcomeLedger;
use super::predict::RatePredictor;
use super::queue::FairShare;
use super::run::{Run, RunState};
use crate::account_gate::AccountGate;
use crate::config::ConfigVersion;
use crate::id::{AttemptId, AttemptKey, ProcessId, RequestId};
use crate::invariant::InvariantCheck;
use crate::mutant::{Mutant, is_on};
use crate::time::{Tick, TimerService};
use crate::wire::{AccountAsk, Probe, ProbeAnswer, Refusal, ToAgent, ToEntry};

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
pub(super) enum Timer {
    Deadline(AttemptId),
    Orphan(AttemptId),
    Lease(AttemptId),
    /// The target takes something again.
    BackOff,
}

/// The deciding part of an agent.
#[derive(Debug)]
pub struct AgentCore {
    pub(super) id: ProcessId,
    pub(super) tuning: AgentTuning,
    pub(super) facts: Option<EngineFacts>,
    pub(super) no_facts: EngineFacts,
    /// Until when the target wants nothing more.
    pub(super) backoff_until: Tick,
    pub(super) peers: BTreeMap<ConnId, ProcessId>,
    pub(super) runs: BTreeMap<AttemptId, Run>,
    pub(super) ledger: OutcomeLedger,
    pub(super) leases: LeaseBook,
    pub(super) unreserving: BTreeSet<AttemptId>,
    pub(super) holders: BTreeMap<AttemptId, ConnId>,
    pub(super) claims: Vec<HoldClaim>,
    pub(super) share: FairShare,
    pub(super) cache: PrefixIndex,
    pub(super) rates: RatePredictor,
    pub(super) timers: TimerService<Timer>,
    pub(super) leaving: bool,
    pub(super) stopped: bool,
    pub(super) config_version: ConfigVersion,
    /// What it gives of the limits of client accounts.
    pub(super) gate: AccountGate<(ConnId, u64)>,
    pub(super) invariant: InvariantCheck,
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
            backoff_until: Tick::default(),
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
            gate: AccountGate::default(),
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

    pub(super) fn send(&mut self, conn: Option<ConnId>, message: ToEntry) {
        if let Some(conn) = conn {
            self.out.push(Effect::Send(conn, message));
        }
    }

    // Peers.

    pub(super) fn on_peer_up(&mut self, conn: ConnId, owner: ProcessId, now: Tick) {
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

    pub(super) fn on_peer_gone(&mut self, conn: ConnId, now: Tick) {
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
        self.gate.retain(|(holder, _)| *holder != conn);
        self.claims.retain(|claim| claim.conn != conn);
    }

    pub(super) fn on_run_orphaned(&mut self, id: &AttemptId, now: Tick) {
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

    pub(super) fn on_message(&mut self, conn: ConnId, message: ToAgent, now: Tick) {
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
            ToAgent::AskAccount(ask) => self.on_ask_account(conn, &ask, now),
            ToAgent::ReleaseAccount(number) => self.gate.release(&(conn, number)),
        }
    }

    pub(super) fn on_probe(&mut self, conn: ConnId, probe: &Probe, now: Tick) {
        self.counts.probes += 1;
        let cached = self.cache.cached_tokens(&probe.marks, probe.need.prompt);
        let wait = self.predict_wait(probe.need.total(), probe.urgency, "", now);
        let backoff = self.backoff(now);
        let wait = wait.max(backoff);
        let answer = ProbeAnswer {
            number: probe.number,
            open: self.refuse_new(&probe.model).is_none() && backoff.is_zero(),
            wait_us: wait.as_micros() as u64,
            prefill_us: self.rates.prefill(probe.need.prompt - cached).as_micros() as u64,
            cached_tokens: cached,
            free_tokens: self.leases.free(),
            capacity_tokens: self.leases.capacity(),
            config_version: self.config_version,
        };
        self.send(Some(conn), ToEntry::ProbeAnswer(answer));
    }

    fn on_ask_account(&mut self, conn: ConnId, ask: &AccountAsk, now: Tick) {
        let AccountAsk { number, account, rest, is_held } = ask;
        let holder = (conn, *number);
        if *is_held {
            return self.gate.note_held(account, holder, now);
        }
        let wait = self.gate.ask(account, *rest, holder, now).err();
        let wait_us = wait.map(|wait| wait.as_micros() as u64);
        self.send(Some(conn), ToEntry::AccountAnswer { number: *number, wait_us });
    }

    /// Time for which the target wants nothing more.
    pub(super) fn backoff(&self, now: Tick) -> Duration {
        self.backoff_until.since(now)
    }

    /// Why no new work for `model` is taken at all, if so. A plain service
    /// goes by no model.
    pub(super) fn refuse_new(&self, model: &str) -> Option<Refusal> {
        if self.leaving && !is_on(Mutant::LeavingOff) {
            return Some(Refusal::Leaving);
        }
        let Some(facts) = &self.facts else {
            return Some(Refusal::NotReady);
        };
        let has_model = model.is_empty() || facts.models.iter().any(|loaded| &**loaded == model);
        (!has_model).then_some(Refusal::NotReady)
    }

    // Time and stops.

    pub(super) fn expire(&mut self, now: Tick) {
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::Deadline(id) => self.end_early(&id, "time limit", now),
                Timer::Orphan(id) => self.on_orphan_due(&id, now),
                Timer::Lease(id) => self.on_lease_due(&id, now),
                // What waits is looked at after each event.
                Timer::BackOff => {}
            }
        }
        self.ledger.expire(now);
    }

    pub(super) fn on_orphan_due(&mut self, id: &AttemptId, now: Tick) {
        let Some(run) = self.runs.get(id) else { return };
        let is_due = run.orphaned.is_some_and(|at| at + self.tuning.orphan_grace <= now);
        if is_due && !run.is_plain() && !is_on(Mutant::CancelOff) {
            self.counts.cancelled += 1;
            self.end_early(id, "nobody waits for the answer", now);
        }
    }

    pub(super) fn on_lease_due(&mut self, id: &AttemptId, now: Tick) {
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

    pub(super) fn on_drain(&mut self, now: Tick) {
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

    pub(super) fn check_stopped(&mut self) {
        let is_empty = self.runs.is_empty() && self.leases.is_empty();
        if self.leaving && is_empty && !self.stopped {
            self.stopped = true;
            self.out.push(Effect::Stopped);
        }
    }

    pub(super) fn check_invariants(&mut self) {
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

//! The agent's core: connections, probes, timers and invariants.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::cache::PrefixIndex;
use super::event::{AgentTuning, ConnId, Effect, EngineFacts, Event};
use super::holds::PendingHold;
use super::lease::LeaseTable;
use super::ledger::OutcomeLedger;
use super::predict::RatePredictor;
use super::queue::FairShare;
use super::run::{Run, RunState};
use crate::account_quota::AccountQuota;
use crate::config::ConfigVersion;
use crate::id::{AttemptId, AttemptKey, ProcessId, RequestId};
use crate::invariant::InvariantCheck;
use crate::mutant::{Mutant, is_on};
use crate::time::{Tick, TimerService};
use crate::wire::{AccountQuery, Probe, ProbeAnswer, Refusal, ToAgent, ToEntry};

/// Event counts since the agent started.
#[derive(Clone, Copy, Debug, Default)]
pub struct AgentCounts {
    /// Runs started at the target.
    pub started: u64,
    /// Runs that completed their answer.
    pub done: u64,
    /// Runs that failed.
    pub failed: u64,
    /// Attempts refused without having run.
    pub refused: u64,
    /// Attempts cancelled by their entry, or because it did not reconnect in time.
    pub cancelled: u64,
    /// Runs and reservations found at the engine that belong to no known attempt.
    pub orphans: u64,
    /// Probes answered.
    pub probes: u64,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    Deadline(AttemptId),
    Disconnect(AttemptId),
    Lease(AttemptId),
    Undelivered(AttemptId),
    /// The back-off that the target asked for has ended.
    BackOff,
}

/// The decision logic of an agent, without I/O.
#[derive(Debug)]
pub struct AgentCore {
    pub(super) id: ProcessId,
    pub(super) tuning: AgentTuning,
    pub(super) facts: Option<EngineFacts>,
    pub(super) empty_facts: EngineFacts,
    /// End of the back-off that the target asked for.
    pub(super) backoff_until: Tick,
    pub(super) peers: BTreeMap<ConnId, ProcessId>,
    pub(super) runs: BTreeMap<AttemptId, Run>,
    pub(super) ledger: OutcomeLedger,
    /// Attempts that ended without a connection, and whose entries may ask for the outcome.
    pub(super) undelivered: BTreeSet<AttemptId>,
    pub(super) leases: LeaseTable,
    /// Holds whose reservations the engine has yet to release.
    pub(super) releasing: BTreeSet<AttemptId>,
    /// Connections of the entries for whose attempts memory is held.
    pub(super) holders: BTreeMap<AttemptId, ConnId>,
    pub(super) pending_holds: Vec<PendingHold>,
    pub(super) share: FairShare,
    pub(super) cache: PrefixIndex,
    pub(super) rates: RatePredictor,
    pub(super) timers: TimerService<Timer>,
    pub(super) leaving: bool,
    pub(super) stopped: bool,
    pub(super) config_version: ConfigVersion,
    /// Quotas of client accounts that this agent grants.
    pub(super) quota: AccountQuota<(ConnId, u64)>,
    pub(super) invariant: InvariantCheck,
    pub(super) counts: AgentCounts,
    pub(super) effects: Vec<Effect>,
}

impl AgentCore {
    /// Creates the core of an agent whose target has not reported yet.
    #[must_use]
    pub fn new(id: ProcessId, tuning: AgentTuning) -> Self {
        let invariant = InvariantCheck::new(tuning.strict);
        AgentCore {
            id,
            tuning,
            facts: None,
            empty_facts: EngineFacts::default(),
            backoff_until: Tick::default(),
            peers: BTreeMap::new(),
            runs: BTreeMap::new(),
            ledger: OutcomeLedger::default(),
            undelivered: BTreeSet::new(),
            leases: LeaseTable::default(),
            releasing: BTreeSet::new(),
            holders: BTreeMap::new(),
            pending_holds: Vec::new(),
            share: FairShare::default(),
            cache: PrefixIndex::default(),
            rates: RatePredictor::default(),
            timers: TimerService::new(),
            leaving: false,
            stopped: false,
            config_version: ConfigVersion::default(),
            quota: AccountQuota::default(),
            invariant,
            counts: AgentCounts::default(),
            effects: vec![Effect::Reset],
        }
    }

    /// Processes an event and returns the effects to carry out.
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
            Event::DrainTimedOut => self.on_drain_timed_out(now),
            Event::Wake => {}
        }
        self.expire(now);
        self.schedule(now);
        self.check_stopped();
        self.check_invariants();
        std::mem::take(&mut self.effects)
    }

    /// Returns the time at which the next [`Event::Wake`] is due.
    #[must_use]
    pub fn next_wake(&self) -> Option<Tick> {
        [self.timers.peek_next(), self.ledger.peek_next()].into_iter().flatten().min()
    }

    /// Returns the event counts since the agent started.
    #[must_use]
    pub fn counts(&self) -> AgentCounts {
        self.counts
    }

    /// Returns the number of attempts that have not ended.
    #[must_use]
    pub fn open_runs(&self) -> usize {
        self.runs.len()
    }

    /// Returns the leased memory, in tokens.
    #[must_use]
    pub fn leased_tokens(&self) -> u64 {
        self.leases.capacity() - self.leases.free()
    }

    /// Returns the number of broken invariants.
    #[must_use]
    pub fn broken_invariants(&self) -> u64 {
        self.invariant.broken()
    }

    /// Returns the number of gaps in the sequence of the engine's cache events.
    #[must_use]
    pub fn cache_gaps(&self) -> u64 {
        self.cache.gaps()
    }

    pub(super) fn facts(&self) -> &EngineFacts {
        self.facts.as_ref().unwrap_or(&self.empty_facts)
    }

    pub(super) fn is_ready(&self) -> bool {
        self.facts.is_some()
    }

    pub(super) fn record(&mut self, id: &AttemptId, kind: &'static str, detail: String) {
        let request = RequestId { owner: id.owner.clone(), number: id.key.0 };
        self.effects.push(Effect::Record { request: request.to_string(), kind, detail });
    }

    pub(super) fn send(&mut self, conn: Option<ConnId>, message: ToEntry) {
        if let Some(conn) = conn {
            self.effects.push(Effect::Send(conn, message));
        }
    }

    // Connections and messages.

    pub(super) fn on_peer_up(&mut self, conn: ConnId, owner: ProcessId, now: Tick) {
        // A dispatch still in flight on an older connection of the same entry
        // must not take effect after the entry has resumed it on a newer one.
        let older_conns: Vec<_> =
            self.peers.iter().filter(|(_, peer)| **peer == owner).map(|(conn, _)| *conn).collect();
        for conn in older_conns {
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
        let disconnected: Vec<_> = self
            .runs
            .iter()
            .filter(|(_, run)| run.conn == Some(conn))
            .map(|(id, _)| id.clone())
            .collect();
        for id in disconnected {
            self.on_run_disconnected(&id, now);
        }
        self.holders.retain(|_, holder| *holder != conn);
        self.quota.retain(|(holder, _)| *holder != conn);
        self.pending_holds.retain(|hold| hold.conn != conn);
    }

    pub(super) fn on_run_disconnected(&mut self, id: &AttemptId, now: Tick) {
        let Some(run) = self.runs.get_mut(id) else {
            return;
        };
        run.conn = None;
        if run.state == RunState::Receiving {
            self.abort_queued(id, "connection lost before the body was complete", now);
            return;
        }
        run.disconnected_at = Some(now);
        self.timers.subscribe(now + self.tuning.disconnect_grace, Timer::Disconnect(id.clone()));
    }

    pub(super) fn on_message(&mut self, conn: ConnId, message: ToAgent, now: Tick) {
        let Some(owner) = self.peers.get(&conn).cloned() else {
            return;
        };
        let to_id = |key: AttemptKey| AttemptId { owner: owner.clone(), key };
        match message {
            ToAgent::Probe(probe) => self.on_probe(conn, &probe, now),
            ToAgent::Dispatch(dispatch) => {
                self.on_dispatch(conn, to_id(dispatch.attempt), dispatch, now);
            }
            ToAgent::Body(key, text) => self.on_body(&to_id(key), text, now),
            ToAgent::Cancel(key) => self.on_cancel(&to_id(key), now),
            ToAgent::Resume(resume) => self.on_resume(conn, &to_id(resume.attempt), resume, now),
            ToAgent::Hold(hold) => self.on_hold(conn, to_id(hold.attempt), hold, now),
            ToAgent::Release(key) => self.on_release(&to_id(key), now),
            ToAgent::ConfigVersion(version) => {
                self.config_version = self.config_version.max(version);
            }
            ToAgent::QueryAccount(query) => self.on_account_query(conn, &query, now),
            ToAgent::ReleaseAccount(number) => self.quota.release(&(conn, number)),
        }
    }

    pub(super) fn on_probe(&mut self, conn: ConnId, probe: &Probe, now: Tick) {
        self.counts.probes += 1;
        let cached = self.cache.cached_tokens(&probe.prefix_hashes, probe.need.prompt);
        let wait = self.predict_wait(probe.need.total(), probe.urgency, "", now);
        let backoff = self.backoff(now);
        let wait = wait.max(backoff);
        let answer = ProbeAnswer {
            number: probe.number,
            is_available: self.refuse_new(&probe.model).is_none() && backoff.is_zero(),
            wait_us: wait.as_micros() as u64,
            prefill_us: self.rates.prefill(probe.need.prompt - cached).as_micros() as u64,
            cached_tokens: cached,
            free_tokens: self.leases.free(),
            capacity_tokens: self.leases.capacity(),
            config_version: self.config_version,
        };
        self.send(Some(conn), ToEntry::ProbeAnswer(answer));
    }

    fn on_account_query(&mut self, conn: ConnId, query: &AccountQuery, now: Tick) {
        let AccountQuery { number, account, remainder, was_admitted } = query;
        let holder = (conn, *number);
        if *was_admitted {
            return self.quota.record_admitted(account, holder, now);
        }
        let wait = self.quota.admit(account, *remainder, holder, now).err();
        let wait_us = wait.map(|wait| wait.as_micros() as u64);
        self.send(Some(conn), ToEntry::AccountAnswer { number: *number, wait_us });
    }

    /// Returns the remaining back-off that the target asked for.
    pub(super) fn backoff(&self, now: Tick) -> Duration {
        self.backoff_until.since(now)
    }

    /// Returns the reason for which all new work for `model` is refused, if any.
    /// `model` is empty for a plain service.
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

    // Timers and draining.

    pub(super) fn expire(&mut self, now: Tick) {
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::Deadline(id) => self.abort(&id, "time limit", now),
                Timer::Disconnect(id) => self.on_disconnect_due(&id, now),
                Timer::Lease(id) => self.on_lease_due(&id, now),
                Timer::Undelivered(id) => {
                    self.undelivered.remove(&id);
                }
                // `schedule` runs after each event and reconsiders the queue.
                Timer::BackOff => {}
            }
        }
        self.ledger.expire(now);
    }

    pub(super) fn on_disconnect_due(&mut self, id: &AttemptId, now: Tick) {
        let Some(run) = self.runs.get(id) else { return };
        let is_due = run.disconnected_at.is_some_and(|at| at + self.tuning.disconnect_grace <= now);
        if is_due && !run.is_plain() && !is_on(Mutant::CancelOff) {
            self.counts.cancelled += 1;
            self.abort(id, "nobody waits for the answer", now);
        }
    }

    pub(super) fn on_lease_due(&mut self, id: &AttemptId, now: Tick) {
        if is_on(Mutant::ExpiryOff) {
            return;
        }
        let is_lease_due = self.leases.get(id).is_some_and(|lease| lease.expires <= now);
        let hold = self.pending_holds.iter().find(|hold| hold.id == *id && hold.expires <= now);
        let conn = hold.map(|hold| hold.conn).or_else(|| self.holders.get(id).copied());
        if is_lease_due || hold.is_some() {
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
        for hold in std::mem::take(&mut self.pending_holds) {
            self.send(Some(hold.conn), ToEntry::NotHeld(hold.id.key));
        }
        let queued = self.runs.iter().filter(|(_, run)| !run.is_at_target());
        let queued: Vec<_> = queued.map(|(id, _)| id.clone()).collect();
        for id in queued {
            self.abort_queued(&id, "the target is leaving", now);
        }
    }

    /// Fails the open runs, so that their entries do not wait for an agent that has stopped.
    pub(super) fn on_drain_timed_out(&mut self, now: Tick) {
        let ids: Vec<_> = self.runs.keys().cloned().collect();
        for id in ids {
            self.abort(&id, "the agent is stopping", now);
        }
    }

    pub(super) fn check_stopped(&mut self) {
        let is_empty =
            self.runs.is_empty() && self.leases.is_empty() && self.undelivered.is_empty();
        if self.leaving && is_empty && !self.stopped {
            self.stopped = true;
            self.effects.push(Effect::Stopped);
        }
    }

    pub(super) fn check_invariants(&mut self) {
        if !self.tuning.strict {
            return;
        }
        let is_balanced = self.leases.is_balanced();
        self.invariant.expect(is_balanced, "the leases sum up to the memory in use");
        let mut unleased = self.runs.iter().filter(|(id, run)| {
            run.is_at_target() && !run.is_plain() && !run.is_lost && self.leases.get(id).is_none()
        });
        let all_leased = unleased.next().is_none();
        self.invariant.expect(all_leased, "every run at the engine has a lease");
        let mut stale = self.leases.runs().filter(|id| !self.runs.contains_key(*id));
        let all_run = stale.next().is_none();
        self.invariant.expect(all_run, "every run lease belongs to an open run");
    }
}

//! The entry's decisions.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;

use super::account::AccountLimits;
use super::admission::{AgentShare, PendingArrival};
use super::direct::DirectHistory;
use super::event::{Arrival, Effect, EntryTuning, Event, Failure, FailureCode, Reply};
use super::request::{Phase, Request};
use super::retry::RetryBudget;
use super::route::RouteTable;
use super::why::{DecisionArchive, DecisionLog, DecisionStep};
use crate::config::{Config, ConfigVersion};
use crate::id::{Incarnation, ProcessId};
use crate::invariant::InvariantCheck;
use crate::mutant::{Mutant, is_on};
use crate::relay::decide::quarantine::QuarantineLedger;
use crate::time::{Tick, TimerService};
use crate::tokens::TokenEstimator;
use crate::verdict::Verdict;
use crate::wire::{Call, ToAgent, TokenNeed};

/// When to come back where nobody said.
const DEFAULT_RETRY: Duration = Duration::from_secs(1);

/// Counts of an entry's life.
#[derive(Clone, Copy, Debug, Default)]
pub struct EntryCounts {
    /// Requests let in.
    pub admitted: u64,
    /// Whole answers.
    pub finished: u64,
    /// Final failures.
    pub failed: u64,
    /// Refused over a limit of the account.
    pub limited: u64,
    /// Callers that went away.
    pub gone: u64,
    /// Attempts given to agents.
    pub dispatched: u64,
    /// Attempts given out without asking.
    pub direct: u64,
    /// Attempts refused by agents.
    pub refused: u64,
    /// Attempts after a failure.
    pub retried: u64,
    /// Probes sent.
    pub probes: u64,
    /// Groups formed.
    pub groups: u64,
    /// Answers joined again after a lost connection.
    pub resumed: u64,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    Deadline(u64),
    Probe(u64, u16),
    Backoff(u64),
    Settle(u64),
    Renew(u64, u16),
    Claim(u64, u16),
    Gate(u64),
}

/// The deciding part of an entry.
#[derive(Debug)]
pub struct EntryCore {
    pub(super) id: ProcessId,
    pub(super) failure_domain: Arc<str>,
    pub(super) tuning: EntryTuning,
    pub(super) config: Option<Arc<Config>>,
    pub(super) heard_version: ConfigVersion,
    pub(super) table: RouteTable,
    pub(super) limits: AccountLimits,
    pub(super) estimator: TokenEstimator,
    pub(super) links: HashMap<Arc<str>, Incarnation>,
    pub(super) requests: BTreeMap<u64, Request>,
    /// Requests that wait for an agent to let them in.
    pub(super) pending: BTreeMap<u64, PendingArrival>,
    pub(super) probes: HashMap<u64, u64>,
    pub(super) next_probe: u64,
    pub(super) timers: TimerService<Timer>,
    pub(super) history: DirectHistory,
    pub(super) budget: RetryBudget,
    /// Requests that end the engines that run them.
    pub(super) quarantine: QuarantineLedger,
    /// How often the engine of a target has ended.
    pub(super) lives: HashMap<Arc<str>, u64>,
    pub(super) rng: StdRng,
    pub(super) archive: DecisionArchive,
    pub(super) draining: bool,
    pub(super) stopped: bool,
    pub(super) invariant: InvariantCheck,
    pub(super) counts: EntryCounts,
    pub(super) out: Vec<Effect>,
}

impl EntryCore {
    /// Makes the core of an entry that knows no configuration and no target.
    #[must_use]
    pub fn new(id: ProcessId, failure_domain: Arc<str>, tuning: EntryTuning, seed: u64) -> Self {
        EntryCore {
            id,
            failure_domain,
            config: None,
            heard_version: ConfigVersion::default(),
            table: RouteTable::default(),
            limits: AccountLimits::default(),
            estimator: TokenEstimator::default(),
            links: HashMap::new(),
            requests: BTreeMap::new(),
            pending: BTreeMap::new(),
            probes: HashMap::new(),
            next_probe: 0,
            timers: TimerService::new(),
            history: DirectHistory::default(),
            budget: RetryBudget::new(tuning.retry_ratio),
            quarantine: QuarantineLedger::default(),
            lives: HashMap::new(),
            rng: StdRng::seed_from_u64(seed),
            archive: DecisionArchive::new(tuning.decision_capacity),
            draining: false,
            stopped: false,
            invariant: InvariantCheck::new(tuning.strict),
            counts: EntryCounts::default(),
            out: Vec::new(),
            tuning,
        }
    }

    /// Takes an event and returns what is to be done.
    pub fn on_event(&mut self, now: Tick, event: Event) -> Vec<Effect> {
        match event {
            Event::Arrive(arrival) => self.on_arrive(arrival, now),
            Event::CallerGone(number) => self.on_caller_gone(number, now),
            Event::AgentUp(target, incarnation) => self.on_agent_up(target, incarnation),
            Event::AgentDown(target) => self.on_agent_down(&target, now),
            Event::Agent(target, message) => self.on_message(&target, message, now),
            Event::Hosts(delta) => self.table.on_hosts(&delta),
            Event::Config(config) => self.on_config(config),
            Event::Drain => self.draining = true,
            Event::Wake => {}
        }
        self.expire(now);
        self.check_stopped();
        std::mem::take(&mut self.out)
    }

    /// The next time at which [`Event::Wake`] is wanted.
    #[must_use]
    pub fn next_wake(&self) -> Option<Tick> {
        self.timers.peek_next()
    }

    /// The process that this core decides for.
    #[must_use]
    pub fn process(&self) -> &ProcessId {
        &self.id
    }

    /// Counts of this life.
    #[must_use]
    pub fn counts(&self) -> EntryCounts {
        self.counts
    }

    /// Requests without a final answer.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.requests.len() + self.pending.len()
    }

    /// How many invariants were broken.
    #[must_use]
    pub fn broken_invariants(&self) -> u64 {
        self.invariant.broken()
    }

    /// The configuration in force.
    #[must_use]
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.config.as_ref()
    }

    /// Targets that the platform lists.
    #[must_use]
    pub fn known_targets(&self) -> usize {
        self.table.len()
    }

    /// Targets and entries that the platform lists.
    #[must_use]
    pub fn table(&self) -> &RouteTable {
        &self.table
    }

    /// What was decided about a request, where it is still remembered.
    #[must_use]
    pub fn decision_log(&self, number: u64) -> Option<&DecisionLog> {
        let open = self.requests.get(&number).map(|request| &request.log);
        open.or_else(|| self.archive.get(number))
    }

    pub(super) fn on_config(&mut self, config: Arc<Config>) {
        let current = self.config.as_ref().map_or(ConfigVersion::default(), |one| one.version);
        if config.version > current || self.config.is_none() || is_on(Mutant::RevertOn) {
            self.heard_version = self.heard_version.max(config.version);
            self.config = Some(config);
        }
    }

    pub(super) fn hear_version(&mut self, version: ConfigVersion) {
        if version > self.heard_version {
            self.heard_version = version;
            self.out.push(Effect::PullConfig);
        }
    }

    // Callers.

    pub(super) fn on_arrive(&mut self, arrival: Box<Arrival>, now: Tick) {
        let number = arrival.number;
        if self.draining {
            let failure = refused(FailureCode::Stopping, "this entry is stopping", DEFAULT_RETRY);
            self.out.push(Effect::Reply(number, Reply::Failed(failure)));
            return;
        }
        if let Some(span) = self.held_for(&arrival, now) {
            let text = "targets ended under this request";
            let failure = refused(FailureCode::HeldBack, text, span);
            self.out.push(Effect::Reply(number, Reply::Failed(failure)));
            return;
        }
        let prompt = match &arrival.call {
            Call::Model { model, .. } => self.estimator.estimate(model, arrival.prompt_bytes),
            Call::Plain { .. } => 0,
        };
        let need = TokenNeed { prompt, answer: arrival.answer_tokens };
        let Some(limit) = arrival.policy.time_limit(prompt) else {
            let text = format!("no time limit covers a prompt of {prompt} tokens");
            let failure = Failure {
                retry_after: None,
                ..refused(FailureCode::PromptTooLong, &text, DEFAULT_RETRY)
            };
            self.out.push(Effect::Reply(number, Reply::Failed(failure)));
            return;
        };
        self.admit(arrival, need, limit, now);
    }

    /// Begins the work on a request that its account may have.
    pub(super) fn let_in(
        &mut self,
        arrival: Box<Arrival>,
        need: TokenNeed,
        limit: Duration,
        agent_share: Option<AgentShare>,
        now: Tick,
    ) {
        let number = arrival.number;
        self.counts.admitted += 1;
        self.budget.deposit();
        let first = arrival.marks.peek_first();
        let mut request = Request::new(arrival, need, now, limit);
        request.agent_share = agent_share;
        request.prefix = first.filter(|hash| self.history.insert_prefix(*hash));
        self.timers.subscribe(request.deadline, Timer::Deadline(number));
        self.requests.insert(number, request);
        if !self.try_direct(number, now) {
            self.ask(number, now);
        }
    }

    pub(super) fn on_caller_gone(&mut self, number: u64, now: Tick) {
        if let Some(pending) = self.pending.remove(&number) {
            self.counts.gone += 1;
            let share = Some(pending.into_share());
            return self.give_back(number, "", share);
        }
        if !self.requests.contains_key(&number) {
            return;
        }
        self.counts.gone += 1;
        self.abandon(number);
        self.close(number, "the caller went away", now);
    }

    /// Tells targets that nobody wants the live attempt any more.
    pub(super) fn abandon(&mut self, number: u64) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let key = request.key();
        if let Some((target, _)) = request.holder() {
            self.out.push(Effect::Send(target.clone(), ToAgent::Cancel(key)));
        }
        self.release_members(number);
    }

    /// Takes a request out of the books.
    pub(super) fn close(&mut self, number: u64, outcome: &str, now: Tick) {
        let Some(mut request) = self.requests.remove(&number) else {
            return;
        };
        request.log.push(now, DecisionStep::Ended { outcome: outcome.to_owned() });
        let share = request.agent_share.take();
        self.give_back(number, &request.arrival.policy.name, share);
        self.forget_probes(&request.phase);
        self.archive.insert(number, request.log);
    }

    pub(super) fn forget_probes(&mut self, phase: &Phase) {
        if let Phase::Probing { asked, .. } = phase {
            for (probe, _) in asked {
                self.probes.remove(probe);
            }
        }
    }

    pub(super) fn fail(&mut self, number: u64, code: FailureCode, message: &str, now: Tick) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let retry = request.refusal.map(|(_, retry)| retry).filter(|retry| !retry.is_zero());
        let can_come_back = code != FailureCode::TargetFailed;
        let failure = Failure {
            code,
            message: message.to_owned(),
            verdict: request.verdict,
            retry_after: can_come_back.then_some(retry.unwrap_or(DEFAULT_RETRY)),
        };
        self.counts.failed += 1;
        let outcome = format!("{code}: {message}; {}", failure.verdict);
        self.out.push(Effect::Record { number, kind: "failed", detail: outcome.clone() });
        self.out.push(Effect::Reply(number, Reply::Failed(failure)));
        self.close(number, &outcome, now);
    }

    // Time and stops.

    pub(super) fn expire(&mut self, now: Tick) {
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::Deadline(number) => self.on_deadline(number, now),
                Timer::Probe(number, wave) => self.on_probe_due(number, wave, now),
                Timer::Backoff(number) => self.on_backoff_due(number, now),
                Timer::Settle(number) => self.on_settle_due(number, now),
                Timer::Renew(number, attempt) => self.on_renew_due(number, attempt, now),
                Timer::Claim(number, attempt) => self.on_claim_due(number, attempt, now),
                Timer::Gate(number) => self.on_gate_due(number),
            }
        }
    }

    pub(super) fn on_deadline(&mut self, number: u64, now: Tick) {
        if is_on(Mutant::DeadlineOff) {
            return;
        }
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        if request.holder().is_some() {
            request.verdict = request.verdict.join(Verdict::MayHaveRun);
        }
        self.abandon(number);
        self.fail(number, FailureCode::TimeLimit, "the time limit passed", now);
    }

    pub(super) fn on_backoff_due(&mut self, number: u64, now: Tick) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        if matches!(request.phase, Phase::Backoff { until } if until <= now) {
            self.ask(number, now);
        }
    }

    pub(super) fn check_stopped(&mut self) {
        if self.draining && self.open_requests() == 0 && !self.stopped {
            self.stopped = true;
            self.out.push(Effect::Stopped);
        }
    }
}

pub(super) fn refused(code: FailureCode, text: &str, retry: Duration) -> Failure {
    Failure { code, message: text.to_owned(), verdict: Verdict::NotRun, retry_after: Some(retry) }
}

//! State and event handling of the entry's core.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;

use super::account::AccountLimits;
use super::admission::{AgentGrant, PendingAdmission};
use super::decision_log::{DecisionArchive, DecisionLog, DecisionStep};
use super::direct::DirectHistory;
use super::event::{Arrival, Effect, EntryTuning, Event, Failure, FailureCode, Reply};
use super::request::{Phase, Request};
use super::retry::RetryBudget;
use super::route::RouteTable;
use crate::config::{Config, ConfigVersion};
use crate::id::{Incarnation, ProcessId};
use crate::invariant::InvariantCheck;
use crate::mutant::{Mutant, is_on};
use crate::relay::decide::quarantine::QuarantineLedger;
use crate::time::{Tick, TimerService};
use crate::tokens::TokenEstimator;
use crate::verdict::Verdict;
use crate::wire::{Call, ToAgent, TokenNeed};

/// Retry-after time of a failure for which no target reported one.
const DEFAULT_RETRY: Duration = Duration::from_secs(1);

/// Counters since the start of an entry.
#[derive(Clone, Copy, Debug, Default)]
pub struct EntryCounts {
    /// Requests admitted.
    pub admitted: u64,
    /// Requests answered completely.
    pub finished: u64,
    /// Requests that failed after they were admitted.
    pub failed: u64,
    /// Requests refused because their account exceeded its limits.
    pub over_limit: u64,
    /// Requests whose caller disconnected.
    pub callers_gone: u64,
    /// Attempts dispatched to agents.
    pub dispatched: u64,
    /// Attempts dispatched without probing.
    pub direct: u64,
    /// Attempts refused by agents.
    pub refused: u64,
    /// Attempts made after a failed one.
    pub retried: u64,
    /// Probes sent.
    pub probes: u64,
    /// Groups of engines formed.
    pub groups: u64,
    /// Answers resumed after a lost connection.
    pub resumed: u64,
}

/// Timers of an entry's core: each names a request, and its probe round or attempt if needed.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    Deadline(u64),
    Probe(u64, u16),
    Backoff(u64),
    Resume(u64),
    Renew(u64, u16),
    Hold(u64, u16),
    AccountQuery(u64),
}

/// The part of an entry that makes all decisions and does no input or output.
#[derive(Debug)]
pub struct EntryCore {
    pub(super) id: ProcessId,
    pub(super) failure_domain: Arc<str>,
    pub(super) tuning: EntryTuning,
    pub(super) config: Option<Arc<Config>>,
    /// Newest configuration version that an agent has announced.
    pub(super) newest_version: ConfigVersion,
    pub(super) table: RouteTable,
    pub(super) limits: AccountLimits,
    pub(super) estimator: TokenEstimator,
    /// Incarnations of the agents that are connected, by target.
    pub(super) links: HashMap<Arc<str>, Incarnation>,
    pub(super) requests: BTreeMap<u64, Request>,
    /// Requests that wait for an agent to admit them.
    pub(super) pending: BTreeMap<u64, PendingAdmission>,
    /// Request of each unanswered probe, by the number of the probe.
    pub(super) probes: HashMap<u64, u64>,
    pub(super) next_probe: u64,
    pub(super) timers: TimerService<Timer>,
    pub(super) history: DirectHistory,
    pub(super) budget: RetryBudget,
    /// Crashes of engines under requests, and the requests that are quarantined for them.
    pub(super) quarantine: QuarantineLedger,
    /// Number of reported crashes of each target's engine.
    pub(super) crash_counts: HashMap<Arc<str>, u64>,
    pub(super) rng: StdRng,
    pub(super) archive: DecisionArchive,
    /// When the drain of this entry ends; `None` while it serves.
    pub(super) drain_end: Option<Tick>,
    pub(super) stopped: bool,
    pub(super) invariant: InvariantCheck,
    pub(super) counts: EntryCounts,
    /// Effects that the current event has caused so far.
    pub(super) effects: Vec<Effect>,
}

impl EntryCore {
    /// Makes the core of an entry that has no configuration and knows no target.
    #[must_use]
    pub fn new(id: ProcessId, failure_domain: Arc<str>, tuning: EntryTuning, seed: u64) -> Self {
        EntryCore {
            id,
            failure_domain,
            config: None,
            newest_version: ConfigVersion::default(),
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
            crash_counts: HashMap::new(),
            rng: StdRng::seed_from_u64(seed),
            archive: DecisionArchive::new(tuning.decision_capacity),
            drain_end: None,
            stopped: false,
            invariant: InvariantCheck::new(tuning.strict),
            counts: EntryCounts::default(),
            effects: Vec::new(),
            tuning,
        }
    }

    /// Handles an event, then all timers that are due, and returns the effects to carry out.
    pub fn on_event(&mut self, now: Tick, event: Event) -> Vec<Effect> {
        match event {
            Event::Arrive(arrival) => self.on_arrive(arrival, now),
            Event::CallerDisconnected(number) => self.on_caller_disconnected(number, now),
            Event::AgentUp(target, incarnation) => self.on_agent_up(&target, incarnation, now),
            Event::AgentDown(target) => self.on_agent_down(&target, now),
            Event::AgentMessage(target, message) => self.on_message(&target, message, now),
            Event::Hosts(delta) => self.table.on_hosts(&delta),
            Event::Config(config) => self.on_config(config),
            Event::Drain(limit) => self.on_drain(limit, now),
            Event::DrainTimedOut => self.on_drain_timed_out(now),
            Event::Wake => {}
        }
        self.fire_timers(now);
        self.check_stopped();
        std::mem::take(&mut self.effects)
    }

    /// The time of the next timer, at which [`Event::Wake`] is to be sent.
    #[must_use]
    pub fn next_wake(&self) -> Option<Tick> {
        self.timers.peek_next()
    }

    /// Identity of the entry's process.
    #[must_use]
    pub fn process(&self) -> &ProcessId {
        &self.id
    }

    /// Counters since the start of this entry.
    #[must_use]
    pub fn counts(&self) -> EntryCounts {
        self.counts
    }

    /// Number of requests without a final answer.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.requests.len() + self.pending.len()
    }

    /// Number of broken invariants.
    #[must_use]
    pub fn broken_invariants(&self) -> u64 {
        self.invariant.broken()
    }

    /// The configuration in force.
    #[must_use]
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.config.as_ref()
    }

    /// Number of targets that the platform lists.
    #[must_use]
    pub fn known_targets(&self) -> usize {
        self.table.len()
    }

    /// Routing table: the targets and entries that the platform lists.
    #[must_use]
    pub fn table(&self) -> &RouteTable {
        &self.table
    }

    /// Decisions about a request, if it is open or still in the archive.
    #[must_use]
    pub fn decision_log(&self, number: u64) -> Option<&DecisionLog> {
        let open = self.requests.get(&number).map(|request| &request.log);
        open.or_else(|| self.archive.get(number))
    }

    pub(super) fn on_config(&mut self, config: Arc<Config>) {
        let current =
            self.config.as_ref().map_or(ConfigVersion::default(), |current| current.version);
        if config.version > current || self.config.is_none() || is_on(Mutant::RevertOn) {
            self.newest_version = self.newest_version.max(config.version);
            self.config = Some(config);
        }
    }

    pub(super) fn learn_version(&mut self, version: ConfigVersion) {
        if version > self.newest_version {
            self.newest_version = version;
            self.effects.push(Effect::PullConfig);
        }
    }

    // Requests of callers.

    pub(super) fn on_arrive(&mut self, arrival: Box<Arrival>, now: Tick) {
        let number = arrival.number;
        if self.drain_end.is_some() {
            let failure =
                not_run_failure(FailureCode::Stopping, "this entry is stopping", DEFAULT_RETRY);
            self.effects.push(Effect::Reply(number, Reply::Failed(failure)));
            return;
        }
        if let Some(wait) = self.quarantine_time(&arrival, now) {
            let text = "targets ended under this request";
            let failure = not_run_failure(FailureCode::Quarantined, text, wait);
            self.effects.push(Effect::Reply(number, Reply::Failed(failure)));
            return;
        }
        let prompt = match &arrival.call {
            Call::Model { model, .. } => self.estimator.estimate(model, arrival.prompt_bytes),
            Call::Plain { .. } => 0,
        };
        let need = TokenNeed { prompt, answer: arrival.max_answer_tokens };
        let Some(time_limit) = arrival.policy.time_limit(prompt) else {
            let text = format!("no time limit covers a prompt of {prompt} tokens");
            let failure = Failure {
                retry_after: None,
                ..not_run_failure(FailureCode::PromptTooLong, &text, DEFAULT_RETRY)
            };
            self.effects.push(Effect::Reply(number, Reply::Failed(failure)));
            return;
        };
        self.admit(arrival, need, time_limit, now);
    }

    /// Starts an admitted request: dispatches it directly or probes targets.
    pub(super) fn start_request(
        &mut self,
        arrival: Box<Arrival>,
        need: TokenNeed,
        time_limit: Duration,
        agent_grant: Option<AgentGrant>,
        now: Tick,
    ) {
        let number = arrival.number;
        self.counts.admitted += 1;
        self.budget.deposit();
        let first = arrival.prefix_hashes.peek_first();
        let mut request = Request::new(arrival, need, now, time_limit);
        request.agent_grant = agent_grant;
        request.prefix = first.filter(|hash| self.history.insert_prefix(*hash));
        self.timers.subscribe(request.deadline, Timer::Deadline(number));
        self.requests.insert(number, request);
        if self.refuse_if_cut_off(number, now) {
            return;
        }
        if !self.try_direct(number, now) {
            self.probe_targets(number, now);
        }
    }

    pub(super) fn on_caller_disconnected(&mut self, number: u64, now: Tick) {
        if let Some(pending) = self.pending.remove(&number) {
            self.counts.callers_gone += 1;
            let grant = Some(pending.into_grant());
            return self.release_admission(number, "", grant);
        }
        if !self.requests.contains_key(&number) {
            return;
        }
        self.counts.callers_gone += 1;
        self.cancel_attempt(number);
        self.close(number, "the caller went away", now);
    }

    /// Cancels the live attempt at its target and releases the memory of group members.
    pub(super) fn cancel_attempt(&mut self, number: u64) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let key = request.key();
        if let Some((target, _)) = request.attempt_target() {
            self.effects.push(Effect::Send(target.clone(), ToAgent::Cancel(key)));
        }
        if let Some(silent) = &request.silent {
            let cancel = ToAgent::Cancel(silent.key);
            self.effects.push(Effect::Send(silent.target.clone(), cancel));
        }
        self.release_members(number);
    }

    /// Removes a request and archives its decisions.
    pub(super) fn close(&mut self, number: u64, outcome: &str, now: Tick) {
        let Some(mut request) = self.requests.remove(&number) else {
            return;
        };
        request.log.push(now, DecisionStep::Ended { outcome: outcome.to_owned() });
        let grant = request.agent_grant.take();
        self.release_admission(number, &request.arrival.policy.name, grant);
        self.forget_probes(&request.phase);
        self.archive.insert(number, request.log);
    }

    pub(super) fn forget_probes(&mut self, phase: &Phase) {
        if let Phase::Probing { unanswered, .. } = phase {
            for (probe, _) in unanswered {
                self.probes.remove(probe);
            }
        }
    }

    pub(super) fn fail(&mut self, number: u64, code: FailureCode, message: &str, now: Tick) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let retry = request.refusal.map(|(_, retry)| retry).filter(|retry| !retry.is_zero());
        let may_retry = code != FailureCode::TargetFailed;
        let failure = Failure {
            code,
            message: message.to_owned(),
            verdict: request.verdict,
            retry_after: may_retry.then_some(retry.unwrap_or(DEFAULT_RETRY)),
        };
        self.counts.failed += 1;
        let outcome = format!("{code}: {message}; {}", failure.verdict);
        self.effects.push(Effect::Record { number, kind: "failed", detail: outcome.clone() });
        self.effects.push(Effect::Reply(number, Reply::Failed(failure)));
        self.close(number, &outcome, now);
    }

    // Timers and draining.

    pub(super) fn fire_timers(&mut self, now: Tick) {
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::Deadline(number) => self.on_deadline(number, now),
                Timer::Probe(number, round) => self.on_probe_due(number, round, now),
                Timer::Backoff(number) => self.on_backoff_due(number, now),
                Timer::Resume(number) => self.on_resume_due(number, now),
                Timer::Renew(number, attempt) => self.on_renew_due(number, attempt, now),
                Timer::Hold(number, attempt) => self.on_hold_due(number, attempt, now),
                Timer::AccountQuery(number) => self.on_account_query_due(number),
            }
        }
    }

    pub(super) fn on_deadline(&mut self, number: u64, now: Tick) {
        if is_on(Mutant::DeadlineOff) {
            return;
        }
        self.end_attempt(number);
        self.fail(number, FailureCode::TimeLimit, "the time limit passed", now);
    }

    pub(super) fn on_backoff_due(&mut self, number: u64, now: Tick) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        if matches!(request.phase, Phase::Backoff { until } if until <= now) {
            self.probe_targets(number, now);
        }
    }

    fn on_drain(&mut self, limit: Duration, now: Tick) {
        self.drain_end = Some(now + limit);
        let numbers: Vec<u64> = self.requests.keys().copied().collect();
        for number in numbers {
            self.refuse_if_cut_off(number, now);
        }
    }

    /// Refuses a request that no target has, if its time limit is later than the end of the drain.
    /// Returns `true` if it does. Another entry can serve such a request from the beginning.
    pub(super) fn refuse_if_cut_off(&mut self, number: u64, now: Tick) -> bool {
        let (Some(end), Some(request)) = (self.drain_end, self.requests.get(&number)) else {
            return false;
        };
        let is_at_target = request.attempt_target().is_some() || request.silent.is_some();
        let has_not_run = request.verdict == Verdict::NotRun && !is_at_target;
        if !has_not_run || request.deadline <= end {
            return false;
        }
        self.release_members(number);
        self.fail(number, FailureCode::Stopping, "this entry is stopping", now);
        true
    }

    pub(super) fn on_drain_timed_out(&mut self, now: Tick) {
        self.drain_end = Some(now);
        self.refuse_pending();
        let numbers: Vec<u64> = self.requests.keys().copied().collect();
        for number in numbers {
            self.end_attempt(number);
            self.fail(number, FailureCode::Stopping, "this entry is stopping", now);
        }
    }

    /// Cancels the live attempt of a request whose outcome is no longer waited for.
    fn end_attempt(&mut self, number: u64) {
        if let Some(request) = self.requests.get_mut(&number)
            && (request.attempt_target().is_some() || request.silent.is_some())
        {
            request.verdict = request.verdict.join(Verdict::MayHaveRun);
        }
        self.cancel_attempt(number);
    }

    pub(super) fn check_stopped(&mut self) {
        if self.drain_end.is_some() && self.open_requests() == 0 && !self.stopped {
            self.stopped = true;
            self.effects.push(Effect::Stopped);
        }
    }
}

/// A failure of a request that was not run.
pub(super) fn not_run_failure(code: FailureCode, text: &str, retry: Duration) -> Failure {
    Failure { code, message: text.to_owned(), verdict: Verdict::NotRun, retry_after: Some(retry) }
}

//! The entry's decisions.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::account::AccountLimits;
use super::event::{Arrival, Effect, EntryTuning, Event, Failure, FailureCode, Reply};
use super::request::{Offer, Phase, Request};
use super::retry::{RetryBudget, to_backoff};
use super::route::{RouteQuery, RouteTable};
use super::why::{DecisionLog, DecisionStep, WhyBook};
use crate::config::{Config, ConfigVersion};
use crate::id::{AttemptKey, Incarnation, ProcessId};
use crate::invariant::InvariantCheck;
use crate::mutant::{Mutant, is_on};
use crate::time::{Tick, TimerService};
use crate::tokens::TokenEstimator;
use crate::verdict::Verdict;
use crate::wire::{
    BODY_FRAME, Call, Completion, Dispatch, Probe, ProbeAnswer, Refusal, Resume, Shard, ToAgent,
    ToEntry, TokenNeed,
};

/// Part of the time left that an agent is not given, so that its verdict is
/// here before the caller's time is up.
const MARGIN_SHARE: f64 = 0.01;

/// Least time that an agent is not given.
const MARGIN: Duration = Duration::from_millis(20);

/// How long a target that said it is closed is not asked again.
const CLOSED_SPAN: Duration = Duration::from_secs(5);

/// Time from one question after a lost attempt to the next.
const SETTLE_STEP: Duration = Duration::from_millis(200);

/// How long a target is asked after an attempt that may run elsewhere as well.
const SHORT_SETTLE: Duration = Duration::from_millis(600);

/// Waves of questions after which a lack of time or room is believed.
const BUSY_WAVES: u16 = 2;

/// Waves of questions after which any other refusal is believed.
const MAX_WAVES: u16 = 8;

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
}

/// The deciding part of an entry.
#[derive(Debug)]
pub struct EntryCore {
    id: ProcessId,
    failure_domain: Arc<str>,
    pub(super) tuning: EntryTuning,
    config: Option<Arc<Config>>,
    heard_version: ConfigVersion,
    pub(super) table: RouteTable,
    limits: AccountLimits,
    estimator: TokenEstimator,
    links: HashMap<Arc<str>, Incarnation>,
    pub(super) requests: BTreeMap<u64, Request>,
    probes: HashMap<u64, u64>,
    next_probe: u64,
    pub(super) timers: TimerService<Timer>,
    budget: RetryBudget,
    pub(super) rng: StdRng,
    why: WhyBook,
    draining: bool,
    stopped: bool,
    invariant: InvariantCheck,
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
            probes: HashMap::new(),
            next_probe: 0,
            timers: TimerService::new(),
            budget: RetryBudget::new(tuning.retry_share),
            rng: StdRng::seed_from_u64(seed),
            why: WhyBook::new(tuning.why_capacity),
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
        self.requests.len()
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
    pub fn why(&self, number: u64) -> Option<&DecisionLog> {
        let open = self.requests.get(&number).map(|request| &request.log);
        open.or_else(|| self.why.get(number))
    }

    fn on_config(&mut self, config: Arc<Config>) {
        let current = self.config.as_ref().map_or(ConfigVersion::default(), |one| one.version);
        if config.version > current || self.config.is_none() || is_on(Mutant::RevertOn) {
            self.heard_version = self.heard_version.max(config.version);
            self.config = Some(config);
        }
    }

    fn hear_version(&mut self, version: ConfigVersion) {
        if version > self.heard_version {
            self.heard_version = version;
            self.out.push(Effect::PullConfig);
        }
    }

    // Callers.

    fn on_arrive(&mut self, arrival: Box<Arrival>, now: Tick) {
        let number = arrival.number;
        if self.draining {
            let failure = refused(FailureCode::Stopping, "this entry is stopping", DEFAULT_RETRY);
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
        let entries = self.table.live_entries();
        if let Err(retry) = self.limits.admit(&arrival.policy, entries, now) {
            self.counts.limited += 1;
            let text = "the client account is over its limit";
            let failure = refused(FailureCode::LimitExceeded, text, retry);
            self.out.push(Effect::Reply(number, Reply::Failed(failure)));
            return;
        }
        self.counts.admitted += 1;
        self.budget.earn();
        let request = Request::new(arrival, need, now, limit);
        self.timers.subscribe(request.deadline, Timer::Deadline(number));
        self.requests.insert(number, request);
        self.ask(number, now);
    }

    fn on_caller_gone(&mut self, number: u64, now: Tick) {
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
    fn close(&mut self, number: u64, outcome: &str, now: Tick) {
        let Some(mut request) = self.requests.remove(&number) else {
            return;
        };
        request.log.push(now, DecisionStep::Ended { outcome: outcome.to_owned() });
        self.limits.release(&request.arrival.policy.name);
        self.forget_probes(&request.phase);
        self.why.insert(number, request.log);
    }

    fn forget_probes(&mut self, phase: &Phase) {
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

    // Asking targets.

    pub(super) fn ask(&mut self, number: u64, now: Tick) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        request.waves += 1;
        let is_wide = request.need.prompt >= self.tuning.wide_tokens;
        let count = if is_wide { self.tuning.wide_candidates } else { self.tuning.candidates };
        let query = RouteQuery {
            service: &request.arrival.service,
            prefix: request.arrival.marks.peek_first(),
            failure_domain: &self.failure_domain,
            tried: &request.tried,
            count,
        };
        let targets = self.table.candidates(&query, now, &mut self.rng);
        if targets.is_empty() {
            self.fail(number, FailureCode::NoTarget, "no target of the service is known", now);
            return;
        }
        let model = match &request.arrival.call {
            Call::Model { model, .. } => model.clone(),
            Call::Plain { .. } => "".into(),
        };
        let mut asked = Vec::with_capacity(targets.len());
        for target in &targets {
            let probe = Probe {
                number: self.next_probe,
                model: model.clone(),
                need: request.need,
                urgency: request.arrival.policy.urgency,
                marks: request.arrival.marks.clone(),
            };
            asked.push((probe.number, target.clone()));
            self.probes.insert(probe.number, number);
            self.next_probe += 1;
            self.counts.probes += 1;
            self.out.push(Effect::Send(target.clone(), ToAgent::Probe(probe)));
        }
        request.log.push(now, DecisionStep::Asked { targets });
        request.phase = Phase::Probing { asked, offers: Vec::new(), since: now };
        let wave = request.waves;
        self.timers.subscribe(now + self.tuning.probe_patience, Timer::Probe(number, wave));
        self.timers.subscribe(now + self.tuning.probe_limit, Timer::Probe(number, wave));
    }

    fn on_probe_answer(&mut self, target: &Arc<str>, answer: ProbeAnswer, now: Tick) {
        self.hear_version(answer.config_version);
        if !answer.open {
            self.table.close(target, now + CLOSED_SPAN);
        }
        let Some(number) = self.probes.remove(&answer.number) else {
            return;
        };
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let Phase::Probing { asked, offers, since } = &mut request.phase else {
            return;
        };
        asked.retain(|(probe, _)| *probe != answer.number);
        let step = DecisionStep::Offered { target: target.clone(), answer: answer.clone() };
        request.log.push(now, step);
        let is_open = answer.open;
        if is_open {
            offers.push(Offer { target: target.clone(), answer });
        }
        let is_late = now.since(*since) >= self.tuning.probe_patience;
        if asked.is_empty() || (is_late && is_open) {
            self.choose(number, now);
        }
    }

    fn on_probe_due(&mut self, number: u64, wave: u16, now: Tick) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let Phase::Probing { asked, offers, since } = &mut request.phase else {
            return;
        };
        if request.waves != wave {
            return;
        }
        let is_over = now.since(*since) >= self.tuning.probe_limit;
        if is_over {
            let until = now + self.tuning.suspicion;
            for (_, target) in asked.iter() {
                self.table.suspect(target, until);
            }
        }
        if is_over || !offers.is_empty() {
            self.choose(number, now);
        }
    }

    /// Takes the best of the offers.
    fn choose(&mut self, number: u64, now: Tick) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let Phase::Probing { offers, .. } = &mut request.phase else {
            return;
        };
        let mut offers = std::mem::take(offers);
        let phase = std::mem::replace(&mut request.phase, Phase::Backoff { until: now });
        offers.sort_by_key(|offer| std::cmp::Reverse(predicted_us(&offer.answer)));
        let capacity = offers.iter().map(|offer| offer.answer.capacity_tokens).max();
        let is_model = matches!(request.arrival.call, Call::Model { .. });
        let is_too_large = is_model && capacity.is_some_and(|most| request.need.total() > most);
        self.forget_probes(&phase);
        if is_too_large {
            self.form_group(number, &offers, now);
            return;
        }
        if let Some(request) = self.requests.get_mut(&number) {
            request.spare = offers;
        }
        self.try_next(number, now);
    }

    /// Gives the request to the next best target, or asks again.
    pub(super) fn try_next(&mut self, number: u64, now: Tick) {
        loop {
            let Some(request) = self.requests.get_mut(&number) else {
                return;
            };
            if request.dispatches >= self.tuning.max_attempts {
                self.give_up(number, now);
                return;
            }
            let Some(offer) = request.spare.pop() else {
                break;
            };
            if !self.links.contains_key(&offer.target) {
                continue;
            }
            request.attempt += 1;
            let reason = format!(
                "least predicted time to first token, {} ms",
                predicted_us(&offer.answer) / 1000
            );
            self.dispatch(number, &offer.target, reason, now);
            return;
        }
        self.ask_later(number, now);
    }

    fn ask_later(&mut self, number: u64, now: Tick) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let is_busy = matches!(request.refusal, Some((Refusal::TooLate | Refusal::QueueFull, _)));
        let most = if is_busy { BUSY_WAVES } else { MAX_WAVES };
        if request.waves >= most {
            self.give_up(number, now);
            return;
        }
        self.back_off(number, "all targets that were asked refused or were silent", now);
    }

    /// Ends a request that nobody takes, at once, with when to come back.
    fn give_up(&mut self, number: u64, now: Tick) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let text = match request.refusal {
            Some((refusal, _)) => format!("no target could take it: {refusal}"),
            None => "no target answered".to_owned(),
        };
        self.fail(number, FailureCode::Overloaded, &text, now);
    }

    pub(super) fn back_off(&mut self, number: u64, cause: &str, now: Tick) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let span = to_backoff(self.tuning.backoff, request.waves, &mut self.rng);
        let until = now + span;
        request.phase = Phase::Backoff { until };
        let span_ms = span.as_millis() as u64;
        request.log.push(now, DecisionStep::Waited { cause: cause.to_owned(), span_ms });
        self.timers.subscribe(until, Timer::Backoff(number));
    }

    // Attempts.

    pub(super) fn dispatch(&mut self, number: u64, target: &Arc<str>, reason: String, now: Tick) {
        let incarnation = self.links.get(target).copied().unwrap_or(Incarnation(0));
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let left = request.deadline.since(now);
        let margin = left.mul_f64(MARGIN_SHARE).max(MARGIN);
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
            marks: arrival.marks.clone(),
            body_len: arrival.body.len() as u64,
            remaining_us: left.saturating_sub(margin).as_micros() as u64,
            shards: shards.collect(),
        };
        let body = arrival.body.clone();
        let is_second = request.verdict != Verdict::NotRun && !arrival.repeatable;
        request.phase = Phase::Running { target: target.clone(), incarnation };
        request.dispatches += 1;
        let attempt = request.attempt;
        request.log.push(now, DecisionStep::Chosen { target: target.clone(), attempt, reason });
        self.invariant.expect(!is_second, "a request that may have run is not tried again");
        self.counts.dispatched += 1;
        self.out.push(Effect::Send(target.clone(), ToAgent::Dispatch(dispatch)));
        self.send_body(target, key, &body);
    }

    fn send_body(&mut self, target: &Arc<str>, key: AttemptKey, body: &Bytes) {
        let mut start = 0;
        while start < body.len() {
            let end = (start + BODY_FRAME).min(body.len());
            let part = ToAgent::Body(key, body.slice(start..end));
            self.out.push(Effect::Send(target.clone(), part));
            start = end;
        }
    }

    fn on_message(&mut self, target: &Arc<str>, message: ToEntry, now: Tick) {
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
            ToEntry::Leaving => self.table.close(target, now + CLOSED_SPAN),
        }
    }

    /// Returns true where `key` is the live attempt of its request and
    /// `target` has it.
    fn is_live(&self, target: &Arc<str>, key: AttemptKey) -> bool {
        let Some(request) = self.requests.get(&key.0) else {
            return false;
        };
        request.key() == key && request.holder().is_some_and(|(holder, _)| holder == target)
    }

    fn on_accepted(&mut self, target: &Arc<str>, key: AttemptKey) {
        if !self.is_live(target, key) {
            return;
        }
        let Some(request) = self.requests.get_mut(&key.0) else {
            return;
        };
        if let Phase::Settling { target, incarnation, .. } = &request.phase {
            request.phase = Phase::Running { target: target.clone(), incarnation: *incarnation };
            self.counts.resumed += 1;
        }
    }

    fn on_refused(
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
        if refusal == Refusal::Leaving {
            self.table.close(target, now + CLOSED_SPAN);
        }
        self.release_members(key.0);
        let Some(request) = self.requests.get_mut(&key.0) else {
            return;
        };
        request.log.push(now, DecisionStep::Refused { target: target.clone(), refusal });
        request.refusal = Some((refusal, retry));
        request.tried.push(target.clone());
        request.phase = Phase::Backoff { until: now };
        if request.has_begun() {
            self.fail(key.0, FailureCode::TargetFailed, "the answer was cut off", now);
            return;
        }
        self.try_next(key.0, now);
    }

    /// Goes on after an attempt that ended without a whole answer.
    pub(super) fn on_attempt_failed(
        &mut self,
        number: u64,
        verdict: Verdict,
        reason: &str,
        now: Tick,
    ) {
        self.release_members(number);
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let target = request.holder().map_or_else(|| "".into(), |(target, _)| target.clone());
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
        let bears_retry =
            verdict.may_retry(request.arrival.repeatable) || is_on(Mutant::VerdictOff);
        let may_retry = bears_retry && !request.has_begun();
        let has_attempts = request.dispatches < self.tuning.max_attempts;
        if !may_retry || !has_attempts || !self.budget.spend() {
            self.fail(number, FailureCode::TargetFailed, reason, now);
            return;
        }
        self.counts.retried += 1;
        self.back_off(number, "another attempt after a failure", now);
    }

    fn on_head(
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
        request.first = Some(now);
        self.out.push(Effect::Reply(key.0, Reply::Head(status, content_type)));
    }

    fn on_chunk(
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
        let sent = request.sent;
        let offset = if is_on(Mutant::OffsetOff) { sent } else { offset };
        if offset > sent {
            self.ask_rest(key.0);
            return;
        }
        let known = (sent - offset) as usize;
        if known >= text.len() {
            return;
        }
        if request.first.is_none() {
            request.first = Some(now);
            request.log.push(now, DecisionStep::First { target: target.clone() });
        }
        let fresh = text.slice(known..);
        request.sent += fresh.len() as u64;
        self.out.push(Effect::Reply(key.0, Reply::Text(fresh)));
    }

    /// Asks for the answer from the offset on that the caller has.
    fn ask_rest(&mut self, number: u64) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let Some((target, incarnation)) = request.holder() else {
            return;
        };
        let resume = Resume { attempt: request.key(), incarnation, offset: request.sent };
        self.out.push(Effect::Send(target.clone(), ToAgent::Resume(resume)));
    }

    fn on_done(&mut self, target: &Arc<str>, key: AttemptKey, completion: Completion, now: Tick) {
        if !self.is_live(target, key) {
            return;
        }
        let Some(request) = self.requests.get(&key.0) else {
            return;
        };
        if request.sent < completion.length {
            self.ask_rest(key.0);
            return;
        }
        let is_whole = request.sent == completion.length;
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
        self.counts.finished += 1;
        self.release_members(key.0);
        self.out.push(Effect::Reply(key.0, Reply::Done(completion)));
        self.close(key.0, &outcome, now);
    }

    // Connections.

    fn on_agent_up(&mut self, target: Arc<str>, incarnation: Incarnation) {
        if let Some(config) = &self.config {
            let version = ToAgent::ConfigVersion(config.version);
            self.out.push(Effect::Send(target.clone(), version));
        }
        self.links.insert(target, incarnation);
    }

    fn on_agent_down(&mut self, target: &Arc<str>, now: Tick) {
        let was_up = self.links.remove(target).is_some();
        if !was_up {
            self.table.suspect(target, now + self.tuning.suspicion);
        }
        let numbers: Vec<u64> = self.requests.keys().copied().collect();
        for number in numbers {
            self.on_link_lost(number, target, now);
        }
    }

    fn on_link_lost(&mut self, number: u64, target: &Arc<str>, now: Tick) {
        self.on_member_lost(number, target, now);
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let may_run_elsewhere = request.arrival.repeatable && !request.has_begun();
        match &mut request.phase {
            Phase::Probing { asked, .. } => {
                let before = asked.len();
                let (lost, rest): (Vec<_>, Vec<_>) =
                    std::mem::take(asked).into_iter().partition(|(_, name)| name == target);
                *asked = rest;
                let is_last = asked.is_empty() && before > 0;
                for (probe, _) in lost {
                    self.probes.remove(&probe);
                }
                if is_last {
                    self.choose(number, now);
                }
            }
            Phase::Running { target: holder, incarnation } if holder == target => {
                let limit = if may_run_elsewhere { SHORT_SETTLE } else { self.tuning.settle_limit };
                let incarnation = *incarnation;
                request.phase = Phase::Settling {
                    target: target.clone(),
                    incarnation,
                    until: now + limit,
                    next: now + SETTLE_STEP,
                };
                self.timers.subscribe(now + SETTLE_STEP, Timer::Settle(number));
                self.ask_rest(number);
            }
            _ => {}
        }
    }

    fn on_settle_due(&mut self, number: u64, now: Tick) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let Phase::Settling { until, next, .. } = &mut request.phase else {
            return;
        };
        if now >= *until {
            self.abandon(number);
            let reason = "the target was lost, and what became of the attempt with it";
            self.on_attempt_failed(number, Verdict::MayHaveRun, reason, now);
            return;
        }
        if now >= *next {
            *next = now + SETTLE_STEP;
            self.timers.subscribe(*next, Timer::Settle(number));
            self.ask_rest(number);
        }
    }

    // Time and stops.

    fn expire(&mut self, now: Tick) {
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::Deadline(number) => self.on_deadline(number, now),
                Timer::Probe(number, wave) => self.on_probe_due(number, wave, now),
                Timer::Backoff(number) => self.on_backoff_due(number, now),
                Timer::Settle(number) => self.on_settle_due(number, now),
                Timer::Renew(number, attempt) => self.on_renew_due(number, attempt, now),
                Timer::Claim(number, attempt) => self.on_claim_due(number, attempt, now),
            }
        }
    }

    fn on_deadline(&mut self, number: u64, now: Tick) {
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

    fn on_backoff_due(&mut self, number: u64, now: Tick) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        if matches!(request.phase, Phase::Backoff { until } if until <= now) {
            self.ask(number, now);
        }
    }

    fn check_stopped(&mut self) {
        if self.draining && self.requests.is_empty() && !self.stopped {
            self.stopped = true;
            self.out.push(Effect::Stopped);
        }
    }
}

/// Predicted time to the first token, in microseconds.
fn predicted_us(answer: &ProbeAnswer) -> u64 {
    answer.wait_us + answer.prefill_us
}

fn refused(code: FailureCode, text: &str, retry: Duration) -> Failure {
    Failure { code, message: text.to_owned(), verdict: Verdict::NotRun, retry_after: Some(retry) }
}

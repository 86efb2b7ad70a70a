//! Fixture: an entry's core with simulated agents, in virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rand::Rng;
use rand::rngs::StdRng;
use shalelane::config::{AccountPolicy, Config, ConfigVersion};
use shalelane::entry::{Arrival, Effect, EntryCore, EntryTuning, Event, FailureCode, Reply};
use shalelane::hosts::{HostDelta, HostRecord, HostRole, HostState};
use shalelane::prefix::PrefixHashes;
use shalelane::time::Tick;
use shalelane::wire::{Call, Completion, Dispatch, ProbeAnswer, Refusal, Resume, ToAgent, ToEntry};
use shalelane::{AttemptKey, Incarnation, ProcessId, Verdict};

/// Time within which a simulated run ends if its link stays up.
pub const RUN_LIMIT: Duration = Duration::from_secs(4);

/// Step of virtual time.
const STEP: Duration = Duration::from_millis(10);

/// Time after the loss of a link for which a run may still deliver its answer.
const RESUME_LIMIT: Duration = Duration::from_secs(5);

/// The answer of every run.
const ANSWER: &[u8] = b"a whole answer";

/// A run at a simulated agent.
#[derive(Clone, Debug)]
struct SimRun {
    sent: usize,
    ends_at: Tick,
    is_done: bool,
}

#[derive(Debug, Default)]
struct SimAgent {
    incarnation: u64,
    is_up: bool,
    is_connected: bool,
    down_since: Tick,
    is_closed: bool,
    runs: BTreeMap<AttemptKey, SimRun>,
}

pub struct EntryFixture {
    pub core: EntryCore,
    pub violations: Vec<String>,
    pub is_stopped: bool,
    now: Tick,
    policy: Rc<AccountPolicy>,
    config: Arc<Config>,
    agents: Vec<SimAgent>,
    /// Messages from agents in flight: arrival time, target, incarnation and message.
    in_flight: Vec<(Tick, usize, u64, ToEntry)>,
    replies: BTreeMap<u64, Vec<Reply>>,
    cancelled: BTreeSet<AttemptKey>,
    /// Cancelled runs that could still have delivered their answers.
    ended_sound: BTreeSet<AttemptKey>,
    /// Newest dispatched attempt of each request.
    latest: BTreeMap<u64, AttemptKey>,
    left: BTreeSet<u64>,
    next_number: u64,
    revision: u64,
    fails_all: bool,
}

/// Name of a target.
pub fn target(index: usize) -> Arc<str> {
    format!("runner-{index}").into()
}

fn index_of(target: &str) -> usize {
    target.trim_start_matches("runner-").parse().expect("the name of a target")
}

impl EntryFixture {
    pub fn new(targets: usize, tuning: EntryTuning) -> Self {
        EntryFixture::with_seed(targets, tuning, 1)
    }

    pub fn with_seed(targets: usize, tuning: EntryTuning, seed: u64) -> Self {
        let process = ProcessId { name: "entry".into(), incarnation: Incarnation(1) };
        let core = EntryCore::new(process, "here".into(), tuning, seed);
        let config = Config::from_toml(include_str!("../../examples/valdivia.toml")).unwrap();
        let config = Arc::new(Config { version: ConfigVersion(1), ..config });
        let policy = config.policy(&config.client_accounts[0]).expect("an account");
        let policy = AccountPolicy { requests_per_second: 1e6, concurrent: 1 << 20, ..policy };
        let new_agent = || SimAgent { incarnation: 1, is_up: true, ..SimAgent::default() };
        let mut fixture = EntryFixture {
            core,
            violations: Vec::new(),
            is_stopped: false,
            now: Tick(1),
            policy: Rc::new(policy),
            config: config.clone(),
            agents: std::iter::repeat_with(new_agent).take(targets).collect(),
            in_flight: Vec::new(),
            replies: BTreeMap::new(),
            cancelled: BTreeSet::new(),
            ended_sound: BTreeSet::new(),
            latest: BTreeMap::new(),
            left: BTreeSet::new(),
            next_number: 0,
            revision: 0,
            fails_all: false,
        };
        for index in 0..targets {
            fixture.set_host(index, HostState::Live);
        }
        fixture.feed(Event::Config(config));
        for index in 0..targets {
            fixture.link_up(index);
        }
        fixture
    }

    pub fn time_limit(&self) -> Duration {
        self.policy.time_limit(100).expect("a time limit")
    }

    /// Handles an event and all effects that follow from it.
    pub fn feed(&mut self, event: Event) {
        let effects = self.core.on_event(self.now, event);
        for effect in effects {
            match effect {
                Effect::Send(target, message) => self.on_send(&target, message),
                Effect::Reply(number, reply) => self.on_reply(number, reply),
                Effect::Stopped => self.is_stopped = true,
                Effect::Record { .. } | Effect::PullConfig => {}
            }
        }
    }

    /// Advances the time in steps and delivers what is due.
    pub fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + STEP;
            self.feed(Event::Wake);
            self.step_runs();
            self.deliver();
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.in_flight).into_iter().partition(|(at, ..)| *at <= now);
        self.in_flight = later;
        for (_, index, incarnation, message) in due {
            let agent = &self.agents[index];
            if agent.is_connected && agent.incarnation == incarnation {
                self.feed(Event::AgentMessage(target(index), message));
            }
        }
    }

    fn send_to_entry(&mut self, index: usize, message: ToEntry) {
        let agent = &self.agents[index];
        if agent.is_connected {
            self.in_flight.push((self.now + STEP, index, agent.incarnation, message));
        }
    }

    fn step_runs(&mut self) {
        for index in 0..self.agents.len() {
            let keys: Vec<_> = self.agents[index].runs.keys().copied().collect();
            for key in keys {
                self.step_run(index, key);
            }
        }
    }

    fn step_run(&mut self, index: usize, key: AttemptKey) {
        let now = self.now;
        let Some(run) = self.agents[index].runs.get_mut(&key) else { return };
        if run.is_done || run.ends_at > now {
            return;
        }
        run.is_done = true;
        let offset = run.sent;
        run.sent = ANSWER.len();
        self.send_answer(index, key, offset);
    }

    fn send_answer(&mut self, index: usize, key: AttemptKey, offset: usize) {
        let text = Bytes::from_static(&ANSWER[offset..]);
        let chunk = ToEntry::Chunk { attempt: key, offset: offset as u64, text };
        self.send_to_entry(index, chunk);
        let completion = Completion { length: ANSWER.len() as u64, ..Completion::default() };
        self.send_to_entry(index, ToEntry::Done(key, completion));
    }

    fn on_send(&mut self, target: &Arc<str>, message: ToAgent) {
        let index = index_of(target);
        if let ToAgent::Cancel(key) = &message {
            if self.is_sound(*key) {
                self.ended_sound.insert(*key);
            }
            self.cancelled.insert(*key);
        }
        if !self.agents[index].is_up {
            self.feed(Event::AgentDown(target.clone()));
            return;
        }
        if !self.agents[index].is_connected {
            self.connect(index);
        }
        match message {
            ToAgent::Probe(probe) => {
                let answer = ProbeAnswer {
                    number: probe.number,
                    is_available: !self.agents[index].is_closed,
                    wait_us: 0,
                    prefill_us: 0,
                    cached_tokens: 0,
                    free_tokens: 1_000_000,
                    capacity_tokens: 1_000_000,
                    config_version: ConfigVersion(1),
                };
                self.send_to_entry(index, ToEntry::ProbeAnswer(answer));
            }
            ToAgent::Dispatch(dispatch) => self.on_dispatch(index, &dispatch),
            ToAgent::Resume(resume) => self.on_resume(index, resume),
            ToAgent::Cancel(key) => {
                self.agents[index].runs.remove(&key);
            }
            _ => {}
        }
    }

    fn on_dispatch(&mut self, index: usize, dispatch: &Dispatch) {
        let attempt = dispatch.attempt;
        self.latest.insert(attempt.0, attempt);
        if self.fails_all {
            let failed = ToEntry::Failed {
                attempt,
                verdict: Verdict::MayHaveRun,
                reason: "broken off".into(),
            };
            self.send_to_entry(index, failed);
            return;
        }
        let agent = &mut self.agents[index];
        if dispatch.incarnation != Incarnation(agent.incarnation) {
            let refusal = Refusal::OtherIncarnation;
            self.send_to_entry(index, ToEntry::Refused { attempt, refusal, retry_us: 0 });
            return;
        }
        let span = Duration::from_millis(500 + attempt.0 * 37 % 3_000);
        let run = SimRun { sent: 0, ends_at: self.now + span, is_done: false };
        agent.runs.insert(attempt, run);
        self.send_to_entry(index, ToEntry::Accepted(attempt));
    }

    fn on_resume(&mut self, index: usize, resume: Resume) {
        let agent = &self.agents[index];
        let attempt = resume.attempt;
        if resume.incarnation != Incarnation(agent.incarnation) {
            let reason = "the agent has restarted".into();
            let verdict = Verdict::MayHaveRun;
            self.send_to_entry(index, ToEntry::Failed { attempt, verdict, reason });
            return;
        }
        match agent.runs.get(&attempt).map(|run| run.is_done) {
            Some(true) => self.send_answer(index, attempt, resume.offset as usize),
            Some(false) => self.send_to_entry(index, ToEntry::Accepted(attempt)),
            None => {
                let refusal = Refusal::GivenUp;
                self.send_to_entry(index, ToEntry::Refused { attempt, refusal, retry_us: 0 });
            }
        }
    }

    fn on_reply(&mut self, number: u64, reply: Reply) {
        if let Reply::Failed(failure) = &reply
            && !matches!(failure.code, FailureCode::TimeLimit | FailureCode::Stopping)
        {
            self.check_no_sound_attempt(number, &failure.message);
        }
        let replies = self.replies.entry(number).or_default();
        if replies.last().is_some_and(is_final) {
            self.violations.push(format!("request {number}: {reply:?} after the final reply"));
        }
        replies.push(reply);
        if matches!(replies.last(), Some(Reply::Done(_))) {
            let text: Vec<u8> = replies.iter().filter_map(to_text).flatten().copied().collect();
            if text != ANSWER {
                self.violations.push(format!("request {number}: {text:?} is not the answer"));
            }
        }
    }

    /// Records a violation if a failed request had a run that could still deliver.
    fn check_no_sound_attempt(&mut self, number: u64, reason: &str) {
        let Some(key) = self.latest.get(&number).copied() else { return };
        let is_open = !self.cancelled.contains(&key) && self.is_sound(key);
        if is_open || self.ended_sound.contains(&key) {
            self.violations.push(format!("request {number} failed while {key:?} ran: {reason}"));
        }
    }

    /// Returns `true` if a run can still deliver its answer.
    fn is_sound(&self, key: AttemptKey) -> bool {
        self.agents.iter().any(|agent| {
            let outage = self.now.since(agent.down_since);
            agent.runs.contains_key(&key) && (agent.is_connected || outage < RESUME_LIMIT)
        })
    }

    fn connect(&mut self, index: usize) {
        self.agents[index].is_connected = true;
        let incarnation = Incarnation(self.agents[index].incarnation);
        self.feed(Event::AgentUp(target(index), incarnation));
    }

    pub fn link_up(&mut self, index: usize) {
        let agent = &mut self.agents[index];
        agent.is_up = true;
        if !agent.is_connected {
            self.connect(index);
        }
    }

    pub fn link_down(&mut self, index: usize) {
        let now = self.now;
        let agent = &mut self.agents[index];
        agent.is_up = false;
        if std::mem::take(&mut agent.is_connected) {
            agent.down_since = now;
            self.feed(Event::AgentDown(target(index)));
        }
    }

    /// Restarts an agent: its runs are lost.
    pub fn crash(&mut self, index: usize) {
        self.link_down(index);
        let agent = &mut self.agents[index];
        agent.runs.clear();
        agent.incarnation += 1;
        agent.is_up = true;
    }

    pub fn set_closed(&mut self, index: usize, is_closed: bool) {
        self.agents[index].is_closed = is_closed;
    }

    pub fn set_all_closed(&mut self, is_closed: bool) {
        for index in 0..self.agents.len() {
            self.set_closed(index, is_closed);
        }
    }

    /// Removes, returns or drains a host.
    pub fn change_host(&mut self, index: usize, rng: &mut StdRng) {
        let states = [HostState::Live, HostState::Leaving, HostState::Gone];
        self.set_host(index, states[rng.random_range(0..states.len())]);
    }

    fn set_host(&mut self, index: usize, state: HostState) {
        self.revision += 1;
        let host = HostRecord {
            name: target(index),
            role: HostRole::Target { service: "canal-assistant".into() },
            address: format!("10.0.0.{index}:80").into(),
            failure_domain: "here".into(),
            state,
        };
        let delta = HostDelta { revision: self.revision, hosts: vec![host] };
        self.feed(Event::Hosts(delta));
    }

    /// Puts a configuration into force that may lack accounts, models and services.
    pub fn change_config(&mut self, rng: &mut StdRng) {
        let mut config = (*self.config).clone();
        config.version = ConfigVersion(config.version.0 + 1);
        self.config = Arc::new(Config { version: config.version, ..(*self.config).clone() });
        if rng.random_bool(0.5) {
            config.client_accounts.clear();
        }
        if rng.random_bool(0.5) {
            config.models.clear();
        }
        self.feed(Event::Config(Arc::new(config)));
    }

    /// Sends a request.
    pub fn arrive(&mut self, repeatable: bool) -> u64 {
        self.next_number += 1;
        let number = self.next_number;
        self.feed(Event::Arrive(Box::new(Arrival {
            number,
            policy: self.policy.clone(),
            service: "canal-assistant".into(),
            call: Call::Model { model: "canal-8b".into(), path: "/v1/completions".into() },
            prompt_bytes: 400,
            max_answer_tokens: 10,
            prefix_hashes: PrefixHashes::default(),
            body: Bytes::from(format!("request {number}")),
            repeatable,
        })));
        self.feed(Event::Wake);
        number
    }

    pub fn disconnect_caller(&mut self, number: u64) {
        self.left.insert(number);
        self.feed(Event::CallerDisconnected(number));
    }

    pub fn has_left(&self, number: u64) -> bool {
        self.left.contains(&number)
    }

    /// Uses up the retries that an entry has at its start.
    pub fn spend_retries(&mut self) {
        self.fails_all = true;
        for _ in 0..20 {
            self.arrive(true);
            self.advance(Duration::from_secs(3));
        }
        self.fails_all = false;
        self.violations.clear();
    }

    /// Returns the newest open run of a request and the number of its target.
    pub fn live_attempt(&mut self, number: u64) -> Option<(AttemptKey, usize)> {
        self.advance(Duration::from_millis(100));
        let keys = AttemptKey(number, 0)..=AttemptKey(number, u16::MAX);
        let runs = self.agents.iter().enumerate().flat_map(|(index, agent)| {
            agent.runs.range(keys.clone()).map(move |(key, _)| (*key, index))
        });
        runs.max()
    }

    pub fn is_cancelled(&self, key: AttemptKey) -> bool {
        self.cancelled.contains(&key)
    }

    pub fn last_reply(&self, number: u64) -> Option<&Reply> {
        self.replies.get(&number)?.last()
    }

    pub fn final_replies(&self, number: u64) -> usize {
        self.replies
            .get(&number)
            .map_or(0, |replies| replies.iter().filter(|reply| is_final(reply)).count())
    }
}

fn is_final(reply: &Reply) -> bool {
    matches!(reply, Reply::Done(_) | Reply::Failed(_))
}

fn to_text(reply: &Reply) -> Option<&Bytes> {
    match reply {
        Reply::Text(text) => Some(text),
        _ => None,
    }
}

//! The real cores of entries and agents, and models of everything round them,
//! in virtual time.

use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use shalelane::agent::{self, AgentCore, AgentTuning, StartRun};
use shalelane::config::{Config, ConfigVersion};
use shalelane::entry::account::{AccountTable, to_key_hash};
use shalelane::entry::{self, EntryCore, EntryTuning};
use shalelane::time::Tick;
use shalelane::wire::{ToAgent, ToEntry};
use shalelane::{AttemptId, Incarnation, ProcessId, RequestId};

use super::callers::{CallerBook, plan_requests};
use super::plan::{BUSY_MS, ChaosPlan, ENGINES, ENTRIES, FaultKind};
use crate::engine_model::{EngineEvent, EngineModel, EngineSpec};

/// Virtual time after which everything must have come to rest.
pub(super) const END: Tick = Tick(BUSY_MS * 1_000 + 150_000_000);

/// Longest time that a message takes.
pub(super) const DELAY_US: u64 = 4_000;

/// Time after which a half-open link is found out.
pub(super) const SILENT: Duration = Duration::from_secs(3);

/// Time until an agent notices that its engine is gone.
pub(super) const LOST: Duration = Duration::from_millis(750);

/// Time from one look at an engine's runs to the next.
pub(super) const LOOK: Duration = Duration::from_secs(2);

/// Time after the beginning of a planned stop from which nothing may start.
pub(super) const LEAVE_BOUND: Duration = Duration::from_secs(2);

/// One attempt in so many arrives twice, body and all.
pub(super) const DOUBLED_EVERY: u64 = 12;

/// Share of an answer's parts that arrive twice.
pub(super) const DOUBLED_PARTS: f64 = 0.02;

/// Time by which a run has ended whose caller went away, where nothing failed.
pub(super) const GONE_BOUND: Duration = Duration::from_secs(2);

/// Lines of the log of a failing run.
pub(super) const LOG_LINES: usize = 400;

/// Index of the agent beside the plain service.
pub(super) const PLAIN: usize = ENGINES;

/// The last events of a run, which outlive a core that stops the program.
pub type SharedLog = Rc<RefCell<VecDeque<String>>>;

#[derive(Debug)]
pub(super) enum EngineCall {
    Reset,
    Start(Box<StartRun>),
    Resume(AttemptId, Option<u64>),
    Cancel(AttemptId),
    CancelStray(String),
    Reserve(AttemptId, u64),
    Unreserve(AttemptId),
}

#[derive(Debug)]
pub(super) enum Action {
    Arrive(usize),
    CallerGone(usize),
    CheckGone(RequestId),
    Entry { entry: usize, life: u64, event: Box<entry::Event> },
    Agent { agent: usize, life: u64, event: Box<agent::Event> },
    OverLink { link: u64, message: Box<ToAgent> },
    BackLink { link: u64, message: Box<ToEntry> },
    Open { link: u64 },
    AgentSideGone { link: u64 },
    EntrySideGone { link: u64 },
    Engine { agent: usize, life: u64, call: EngineCall },
    Step { agent: usize, engine_life: u64, events: Vec<(String, EngineEvent)> },
    PlainRun { life: u64, id: AttemptId },
    Look { agent: usize },
    StartAgent(usize),
    StartEntry(usize),
    Fault(FaultKind),
}

#[derive(Debug)]
struct Timed {
    at: Tick,
    order: u64,
    action: Action,
}

impl PartialEq for Timed {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}

impl Eq for Timed {}

impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Timed {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// Which sides still take the link for standing.
#[derive(Debug)]
pub(super) struct LinkSeen {
    pub(super) by_entry: bool,
    pub(super) by_agent: bool,
}

#[derive(Debug)]
pub(super) struct Link {
    pub(super) entry: usize,
    pub(super) agent: usize,
    pub(super) entry_life: u64,
    pub(super) agent_life: u64,
    pub(super) is_open: bool,
    pub(super) swallows: bool,
    pub(super) seen: LinkSeen,
    pub(super) agent_next: Tick,
    pub(super) entry_next: Tick,
}

#[derive(Debug)]
pub(super) struct AgentNode {
    pub(super) core: Option<AgentCore>,
    pub(super) life: u64,
    pub(super) paused_until: Tick,
    pub(super) engine: EngineModel,
    pub(super) engine_life: u64,
    pub(super) engine_down: Tick,
    pub(super) is_stepping: bool,
    pub(super) draining_since: Option<Tick>,
    pub(super) names: BTreeMap<String, (u64, AttemptId)>,
}

#[derive(Debug)]
pub(super) struct EntryNode {
    pub(super) core: Option<EntryCore>,
    pub(super) life: u64,
    pub(super) paused_until: Tick,
    pub(super) numbers: u64,
    pub(super) version: ConfigVersion,
}

/// One run.
#[derive(Debug)]
pub struct World {
    pub(super) now: Tick,
    pub(super) order: u64,
    queue: BinaryHeap<Reverse<Timed>>,
    pub(super) rng: StdRng,
    pub(super) entries: Vec<EntryNode>,
    pub(super) agents: Vec<AgentNode>,
    pub(super) links: BTreeMap<u64, Link>,
    pub(super) current: BTreeMap<(usize, usize), u64>,
    pub(super) next_link: u64,
    pub(super) callers: CallerBook,
    pub(super) accounts: AccountTable,
    pub(super) starts: BTreeMap<String, u64>,
    pub(super) log: SharedLog,
    pub(super) is_calm: bool,
    pub(super) broken: Vec<String>,
}

/// What came of a run.
#[derive(Clone, Debug, Default)]
pub struct ChaosOutcome {
    /// Promises found broken.
    pub broken: Vec<String>,
    /// The last events.
    pub log: Vec<String>,
    /// Requests that were answered whole.
    pub finished: usize,
    /// Requests that failed.
    pub failed: usize,
}

pub(super) const CONFIG: &str = r#"
[[services]]
name = "engines"
kind = "engine"
[[services]]
name = "plain"
kind = "plain"
not_repeatable = ["/order"]
[[models]]
name = "model"
service = "engines"
max_prompt_tokens = 100000
[[templates]]
name = "short"
models = ["model"]
services = ["plain"]
urgency = "interactive"
time_limits = [{ up_to_tokens = 100000, seconds = 12 }]
[[templates]]
name = "long"
models = ["model"]
services = ["plain"]
urgency = "batch"
time_limits = [{ up_to_tokens = 100000, seconds = 60 }]
[[client_accounts]]
name = "short"
template = "short"
key_sha256 = ["SHORT"]
[[client_accounts]]
name = "long"
template = "long"
key_sha256 = ["LONG"]
"#;

pub(super) fn chaos_config(version: u64) -> Config {
    let text = CONFIG.replace("SHORT", &to_key_hash("short")).replace("LONG", &to_key_hash("long"));
    let config = Config::from_toml(&text).expect("a good configuration");
    Config { version: ConfigVersion(version), ..config }
}

pub(super) fn engine_spec() -> EngineSpec {
    EngineSpec {
        capacity: 4_000,
        prefill_rate: 8_000.0,
        step_base: Duration::from_millis(8),
        step_per_run: Duration::from_micros(500),
        step_prefill: 256,
        max_batch: 16,
        bytes_per_token: 4.0,
        ..EngineSpec::default()
    }
}

pub(super) fn agent_tuning() -> AgentTuning {
    AgentTuning {
        piece_tokens: 512,
        prefill_tokens: 1_024,
        max_queue: 6,
        strict: true,
        ..AgentTuning::default()
    }
}

pub(super) fn entry_tuning() -> EntryTuning {
    EntryTuning { wide_tokens: 3_000, strict: true, ..EntryTuning::default() }
}

pub(super) fn agent_name(agent: usize) -> Arc<str> {
    format!("agent-{agent}").into()
}

impl World {
    /// Sets a run up.
    #[must_use]
    pub fn new(plan: &ChaosPlan, log: SharedLog) -> Self {
        let mut rng = StdRng::seed_from_u64(plan.seed);
        let callers = CallerBook::new(plan_requests(&mut rng, ENTRIES));
        let accounts = AccountTable::from_config(&Arc::new(chaos_config(5)));
        let mut world = World {
            now: Tick(0),
            order: 0,
            queue: BinaryHeap::new(),
            rng,
            entries: (0..ENTRIES).map(|_| EntryNode::new()).collect(),
            agents: (0..=ENGINES).map(|_| AgentNode::new()).collect(),
            links: BTreeMap::new(),
            current: BTreeMap::new(),
            next_link: 0,
            callers,
            accounts,
            starts: BTreeMap::new(),
            log,
            is_calm: plan.faults.is_empty(),
            broken: Vec::new(),
        };
        for agent in 0..=ENGINES {
            world.at(Tick(0), Action::StartAgent(agent));
            world.at(Tick(0) + LOOK, Action::Look { agent });
        }
        for entry in 0..ENTRIES {
            world.at(Tick(0), Action::StartEntry(entry));
        }
        for index in 0..world.callers.requests.len() {
            let request = world.callers.requests[index].clone();
            world.at(request.at + Duration::from_millis(50), Action::Arrive(index));
            if let Some(gone) = request.gone {
                world.at(gone + Duration::from_millis(50), Action::CallerGone(index));
            }
        }
        for fault in &plan.faults {
            world.at(Tick(fault.at_ms * 1_000), Action::Fault(fault.kind));
        }
        world
    }

    /// Runs to the end and checks every promise.
    #[must_use]
    pub fn run(mut self) -> ChaosOutcome {
        while let Some(Reverse(next)) = self.queue.pop() {
            if next.at > END {
                break;
            }
            self.now = next.at;
            self.act(next);
            if !self.broken.is_empty() || !self.callers.broken.is_empty() {
                break;
            }
        }
        if self.broken.is_empty() && self.callers.broken.is_empty() {
            self.check_end();
        }
        self.into_outcome()
    }

    pub(super) fn into_outcome(self) -> ChaosOutcome {
        let ends = |wanted: bool| {
            let views = self.callers.views.iter();
            views.filter(|view| view.end.is_some_and(|end| end.is_ok() == wanted)).count()
        };
        let (finished, failed) = (ends(true), ends(false));
        let mut broken = self.broken;
        broken.extend(self.callers.broken);
        ChaosOutcome { broken, log: Vec::new(), finished, failed }
    }

    pub(super) fn at(&mut self, at: Tick, action: Action) {
        self.order += 1;
        let order = self.order;
        self.queue.push(Reverse(Timed { at, order, action }));
    }

    pub(super) fn soon(&mut self, action: Action) {
        let delay = self.delay();
        self.at(self.now + delay, action);
    }

    pub(super) fn delay(&mut self) -> Duration {
        Duration::from_micros(self.rng.random_range(100..DELAY_US))
    }

    pub(super) fn note(&mut self, line: &str) {
        let mut log = self.log.borrow_mut();
        if log.len() == LOG_LINES {
            log.pop_front();
        }
        log.push_back(format!("{:>10.3} ms  {line}", self.now.0 as f64 / 1e3));
    }

    fn act(&mut self, timed: Timed) {
        match timed.action {
            Action::Arrive(index) => self.on_arrive(index),
            Action::CallerGone(index) => self.on_caller_gone(index),
            Action::CheckGone(id) => self.check_gone(&id),
            Action::Entry { entry, life, event } => {
                let node = &self.entries[entry];
                if node.life == life && node.paused_until > self.now {
                    let action = Action::Entry { entry, life, event };
                    let again = Timed { at: node.paused_until, order: timed.order, action };
                    self.queue.push(Reverse(again));
                } else if node.life == life {
                    self.feed_entry(entry, *event);
                }
            }
            Action::Agent { agent, life, event } => {
                let node = &self.agents[agent];
                if node.life == life && node.paused_until > self.now {
                    let action = Action::Agent { agent, life, event };
                    let again = Timed { at: node.paused_until, order: timed.order, action };
                    self.queue.push(Reverse(again));
                } else if node.life == life {
                    if matches!(*event, agent::Event::Drain) {
                        // One that stands still hears of it when it goes on.
                        self.agents[agent].draining_since.get_or_insert(self.now);
                    }
                    self.feed_agent(agent, *event);
                }
            }
            Action::OverLink { link, message } => self.on_over_link(link, *message),
            Action::BackLink { link, message } => self.on_back_link(link, *message),
            Action::Open { link } => self.on_open(link),
            Action::AgentSideGone { link } => self.on_agent_side_gone(link),
            Action::EntrySideGone { link } => self.on_entry_side_gone(link),
            Action::Engine { agent, life, call } => self.on_engine_call(agent, life, call),
            Action::Step { agent, engine_life, events } => self.on_step(agent, engine_life, events),
            Action::PlainRun { life, id } => self.on_plain_run(life, &id),
            Action::Look { agent } => self.on_look(agent),
            Action::StartAgent(agent) => self.start_agent(agent),
            Action::StartEntry(entry) => self.start_entry(entry),
            Action::Fault(kind) => self.on_fault(kind),
        }
    }
}

impl AgentNode {
    pub(super) fn new() -> Self {
        AgentNode {
            core: None,
            life: 1,
            paused_until: Tick(0),
            engine: EngineModel::new(engine_spec()),
            engine_life: 1,
            engine_down: Tick(0),
            is_stepping: false,
            draining_since: None,
            names: BTreeMap::new(),
        }
    }
}

impl EntryNode {
    pub(super) fn new() -> Self {
        EntryNode {
            core: None,
            life: 1,
            paused_until: Tick(0),
            numbers: 0,
            version: ConfigVersion(0),
        }
    }
}

/// How much later a second copy of a message arrives, if one does.
pub(super) fn to_doubling(message: &ToAgent) -> Option<Duration> {
    let key = match message {
        ToAgent::Dispatch(dispatch) => dispatch.attempt,
        ToAgent::Body(key, _) => *key,
        _ => return None,
    };
    let mixed = key.0 * 7 + u64::from(key.1);
    (mixed % DOUBLED_EVERY == 0).then(|| Duration::from_millis(mixed * 37 % 4_000))
}

pub(super) fn entry_process(entry: usize, life: u64) -> ProcessId {
    ProcessId { name: format!("entry-{entry}").into(), incarnation: Incarnation(life) }
}

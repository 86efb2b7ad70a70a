//! The product's entry and agent cores in a simulated environment, in virtual time.

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

use super::callers::{CallerTable, generate_requests};
use super::plan::{ARRIVAL_PERIOD_MS, ChaosPlan, ENGINES, ENTRIES, FaultKind};
use crate::engine_model::{EngineEvent, EngineModel, EngineSpec};

/// Virtual time at which all requests must have ended and all memory must be free.
pub(super) const END_TIME: Tick = Tick(ARRIVAL_PERIOD_MS * 1_000 + 150_000_000);

/// Maximum latency of a message, in microseconds.
pub(super) const MAX_DELAY_US: u64 = 4_000;

/// Time after which an entry detects a half-open link.
pub(super) const HALF_OPEN_TIMEOUT: Duration = Duration::from_secs(3);

/// Time until an agent detects the crash of its engine.
pub(super) const CRASH_DETECTION_DELAY: Duration = Duration::from_millis(750);

/// Interval between two polls of the runs and reservations of an engine.
pub(super) const ENGINE_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Time after the start of a drain from which the agent must not start runs.
pub(super) const DRAIN_BOUND: Duration = Duration::from_secs(2);

/// One in this number of attempts arrives twice, including its body.
pub(super) const DUPLICATE_EVERY: u64 = 12;

/// Fraction of answer chunks that arrive twice.
pub(super) const DUPLICATE_CHUNK_RATE: f64 = 0.02;

/// Time within which a run ends after its caller disconnects, in a run without faults.
pub(super) const CANCEL_BOUND: Duration = Duration::from_secs(2);

/// Maximum number of log lines that are stored.
pub(super) const MAX_LOG_LINES: usize = 400;

/// Index of the agent beside the plain service.
pub(super) const PLAIN_AGENT: usize = ENGINES;

/// Last log lines of a run, shared so that they survive a panic of a core.
pub type SharedLog = Rc<RefCell<VecDeque<String>>>;

#[derive(Debug)]
pub(super) enum EngineCall {
    Reset,
    Start(Box<StartRun>),
    Resume(AttemptId, Option<u64>),
    Cancel(AttemptId),
    CancelOrphan(String),
    Reserve(AttemptId, u64),
    Unreserve(AttemptId),
}

#[derive(Debug)]
pub(super) enum Action {
    Arrive(usize),
    CallerGone(usize),
    CheckCancelled(RequestId),
    Entry { entry: usize, incarnation: u64, event: Box<entry::Event> },
    Agent { agent: usize, incarnation: u64, event: Box<agent::Event> },
    DeliverToAgent { link: u64, message: Box<ToAgent> },
    DeliverToEntry { link: u64, message: Box<ToEntry> },
    OpenLink { link: u64 },
    CloseAgentSide { link: u64 },
    CloseEntrySide { link: u64 },
    Call { agent: usize, incarnation: u64, call: EngineCall },
    Step { agent: usize, engine_boot: u64, events: Vec<(String, EngineEvent)> },
    PlainRun { incarnation: u64, id: AttemptId },
    PollEngine { agent: usize },
    StartAgent(usize),
    StartEntry(usize),
    Fault(FaultKind),
}

#[derive(Debug)]
struct ScheduledAction {
    at: Tick,
    order: u64,
    action: Action,
}

impl PartialEq for ScheduledAction {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}

impl Eq for ScheduledAction {}

impl PartialOrd for ScheduledAction {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledAction {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// Which sides consider the link open.
#[derive(Debug)]
pub(super) struct LinkSides {
    pub(super) entry: bool,
    pub(super) agent: bool,
}

#[derive(Debug)]
pub(super) struct Link {
    pub(super) entry: usize,
    pub(super) agent: usize,
    pub(super) entry_incarnation: u64,
    pub(super) agent_incarnation: u64,
    pub(super) is_open: bool,
    pub(super) drops_messages: bool,
    pub(super) open_sides: LinkSides,
    /// Earliest time of the next delivery, so that messages to the agent keep their order.
    pub(super) next_agent_delivery: Tick,
    /// Earliest time of the next delivery, so that messages to the entry keep their order.
    pub(super) next_entry_delivery: Tick,
}

#[derive(Debug)]
pub(super) struct AgentNode {
    pub(super) core: Option<AgentCore>,
    pub(super) incarnation: u64,
    pub(super) paused_until: Tick,
    pub(super) engine: EngineModel,
    pub(super) engine_boot: u64,
    pub(super) engine_down_until: Tick,
    pub(super) is_stepping: bool,
    pub(super) draining_since: Option<Tick>,
    /// Attempts by the name of their run, each with the agent incarnation that started it.
    pub(super) attempts: BTreeMap<String, (u64, AttemptId)>,
}

#[derive(Debug)]
pub(super) struct EntryNode {
    pub(super) core: Option<EntryCore>,
    pub(super) incarnation: u64,
    pub(super) paused_until: Tick,
    pub(super) last_number: u64,
    pub(super) version: ConfigVersion,
}

/// State of a run.
#[derive(Debug)]
pub struct World {
    pub(super) now: Tick,
    pub(super) order: u64,
    queue: BinaryHeap<Reverse<ScheduledAction>>,
    pub(super) rng: StdRng,
    pub(super) entries: Vec<EntryNode>,
    pub(super) agents: Vec<AgentNode>,
    pub(super) links: BTreeMap<u64, Link>,
    pub(super) current_links: BTreeMap<(usize, usize), u64>,
    pub(super) next_link: u64,
    pub(super) callers: CallerTable,
    pub(super) accounts: AccountTable,
    pub(super) start_counts: BTreeMap<String, u64>,
    pub(super) log: SharedLog,
    pub(super) is_fault_free: bool,
    pub(super) violations: Vec<String>,
}

/// Results of a run.
#[derive(Clone, Debug, Default)]
pub struct ChaosOutcome {
    /// Descriptions of violated guarantees.
    pub violations: Vec<String>,
    /// Last lines of the log.
    pub log: Vec<String>,
    /// Number of requests with a complete answer.
    pub finished: usize,
    /// Number of failed requests.
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
    let config = Config::from_toml(&text).expect("the configuration is valid");
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
    /// Creates the initial state of a run.
    #[must_use]
    pub fn new(plan: &ChaosPlan, log: SharedLog) -> Self {
        let mut rng = StdRng::seed_from_u64(plan.seed);
        let callers = CallerTable::new(generate_requests(&mut rng, ENTRIES));
        let accounts = AccountTable::from_config(&Arc::new(chaos_config(5)));
        let mut world = World {
            now: Tick(0),
            order: 0,
            queue: BinaryHeap::new(),
            rng,
            entries: (0..ENTRIES).map(|_| EntryNode::new()).collect(),
            agents: (0..=ENGINES).map(|_| AgentNode::new()).collect(),
            links: BTreeMap::new(),
            current_links: BTreeMap::new(),
            next_link: 0,
            callers,
            accounts,
            start_counts: BTreeMap::new(),
            log,
            is_fault_free: plan.faults.is_empty(),
            violations: Vec::new(),
        };
        for agent in 0..=ENGINES {
            world.schedule_at(Tick(0), Action::StartAgent(agent));
            world.schedule_at(Tick(0) + ENGINE_POLL_INTERVAL, Action::PollEngine { agent });
        }
        for entry in 0..ENTRIES {
            world.schedule_at(Tick(0), Action::StartEntry(entry));
        }
        for index in 0..world.callers.requests.len() {
            let request = world.callers.requests[index].clone();
            world.schedule_at(request.at + Duration::from_millis(50), Action::Arrive(index));
            if let Some(leaves_at) = request.leaves_at {
                world.schedule_at(leaves_at + Duration::from_millis(50), Action::CallerGone(index));
            }
        }
        for fault in &plan.faults {
            world.schedule_at(Tick(fault.at_ms * 1_000), Action::Fault(fault.kind));
        }
        world
    }

    /// Executes the run up to its end or the first violation, and checks all guarantees.
    #[must_use]
    pub fn run(mut self) -> ChaosOutcome {
        while let Some(Reverse(next)) = self.queue.pop() {
            if next.at > END_TIME {
                break;
            }
            self.now = next.at;
            self.act(next);
            if !self.violations.is_empty() || !self.callers.violations.is_empty() {
                break;
            }
        }
        if self.violations.is_empty() && self.callers.violations.is_empty() {
            self.check_end();
        }
        self.into_outcome()
    }

    pub(super) fn into_outcome(self) -> ChaosOutcome {
        let count_results = |is_ok: bool| {
            let views = self.callers.views.iter();
            views.filter(|view| view.result.is_some_and(|result| result.is_ok() == is_ok)).count()
        };
        let (finished, failed) = (count_results(true), count_results(false));
        let mut violations = self.violations;
        violations.extend(self.callers.violations);
        ChaosOutcome { violations, log: Vec::new(), finished, failed }
    }

    pub(super) fn schedule_at(&mut self, at: Tick, action: Action) {
        self.order += 1;
        let order = self.order;
        self.queue.push(Reverse(ScheduledAction { at, order, action }));
    }

    pub(super) fn schedule_with_delay(&mut self, action: Action) {
        let delay = self.delay();
        self.schedule_at(self.now + delay, action);
    }

    pub(super) fn delay(&mut self) -> Duration {
        Duration::from_micros(self.rng.random_range(100..MAX_DELAY_US))
    }

    pub(super) fn log_line(&mut self, line: &str) {
        let mut log = self.log.borrow_mut();
        if log.len() == MAX_LOG_LINES {
            log.pop_front();
        }
        log.push_back(format!("{:>10.3} ms  {line}", self.now.0 as f64 / 1e3));
    }

    fn act(&mut self, scheduled: ScheduledAction) {
        match scheduled.action {
            Action::Arrive(index) => self.on_arrive(index),
            Action::CallerGone(index) => self.on_caller_gone(index),
            Action::CheckCancelled(id) => self.check_cancelled(&id),
            Action::Entry { entry, incarnation, event } => {
                let node = &self.entries[entry];
                if node.incarnation == incarnation && node.paused_until > self.now {
                    let action = Action::Entry { entry, incarnation, event };
                    let again =
                        ScheduledAction { at: node.paused_until, order: scheduled.order, action };
                    self.queue.push(Reverse(again));
                } else if node.incarnation == incarnation {
                    self.on_entry_event(entry, *event);
                }
            }
            Action::Agent { agent, incarnation, event } => {
                let node = &self.agents[agent];
                if node.incarnation == incarnation && node.paused_until > self.now {
                    let action = Action::Agent { agent, incarnation, event };
                    let again =
                        ScheduledAction { at: node.paused_until, order: scheduled.order, action };
                    self.queue.push(Reverse(again));
                } else if node.incarnation == incarnation {
                    if matches!(*event, agent::Event::Drain) {
                        // A paused agent receives the drain only after its pause.
                        self.agents[agent].draining_since.get_or_insert(self.now);
                    }
                    self.on_agent_event(agent, *event);
                }
            }
            Action::DeliverToAgent { link, message } => self.deliver_to_agent(link, *message),
            Action::DeliverToEntry { link, message } => self.deliver_to_entry(link, *message),
            Action::OpenLink { link } => self.on_open_link(link),
            Action::CloseAgentSide { link } => self.on_close_agent_side(link),
            Action::CloseEntrySide { link } => self.on_close_entry_side(link),
            Action::Call { agent, incarnation, call } => self.call_engine(agent, incarnation, call),
            Action::Step { agent, engine_boot, events } => self.on_step(agent, engine_boot, events),
            Action::PlainRun { incarnation, id } => self.on_plain_run(incarnation, &id),
            Action::PollEngine { agent } => self.on_poll_engine(agent),
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
            incarnation: 1,
            paused_until: Tick(0),
            engine: EngineModel::new(engine_spec()),
            engine_boot: 1,
            engine_down_until: Tick(0),
            is_stepping: false,
            draining_since: None,
            attempts: BTreeMap::new(),
        }
    }
}

impl EntryNode {
    pub(super) fn new() -> Self {
        EntryNode {
            core: None,
            incarnation: 1,
            paused_until: Tick(0),
            last_number: 0,
            version: ConfigVersion(0),
        }
    }
}

/// Returns the delay of the second copy of a message, or `None` if it arrives only once.
pub(super) fn duplicate_delay(message: &ToAgent) -> Option<Duration> {
    let key = match message {
        ToAgent::Dispatch(dispatch) => dispatch.attempt,
        ToAgent::Body(key, _) => *key,
        _ => return None,
    };
    let mixed = key.0 * 7 + u64::from(key.1);
    (mixed % DUPLICATE_EVERY == 0).then(|| Duration::from_millis(mixed * 37 % 4_000))
}

pub(super) fn entry_process(entry: usize, incarnation: u64) -> ProcessId {
    ProcessId { name: format!("entry-{entry}").into(), incarnation: Incarnation(incarnation) }
}

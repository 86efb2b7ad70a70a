//! Measures how the cost of a request, target, account or change grows with the size of the system.
//!
//! CPU time and memory are measured on the cores without sockets, and bytes on encoded frames. The
//! CPU time of whole daemons is measured on a small fleet over sockets.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::Serialize;
use shalelane::agent::{self, AgentCore, AgentTuning, ConnId, EngineFacts, RunEvent, RunUsage};
use shalelane::config::manifest::Manifest;
use shalelane::config::{AccountPolicy, Config, ConfigVersion, Urgency};
use shalelane::entry::account::{AccountTable, to_key_hash};
use shalelane::entry::{self, Arrival, EntryCore, EntryTuning};
use shalelane::hosts::{HostDelta, HostRecord, HostRole, HostState};
use shalelane::prefix::{PrefixHasher, PrefixHashes};
use shalelane::time::Tick;
use shalelane::wire::{Call, Completion, Framed, ProbeAnswer, ToAgent, ToEntry};
use shalelane::{AttemptKey, Incarnation, ProcessId};

use crate::demo::{DemoSpec, apply_config, demo_fleet, wait_ready};
use crate::engine_model::EngineSpec;
use crate::fleet::{Fleet, FleetSpec};
use crate::load::{LoadCaller, PlannedCall, PlannedRequest};

/// Bytes that TCP and IP add to a segment without options.
const SEGMENT_OVERHEAD: usize = 52;

/// Bytes that WebSocket adds to a small frame, including the mask.
const FRAME_OVERHEAD: usize = 6;

/// Returns the number of bytes that the process has allocated on its heap.
pub type HeapBytes = fn() -> usize;

/// Cost at one size.
#[derive(Clone, Debug, Serialize)]
pub struct SlopePoint {
    /// Size with its unit, or kind of the measured message.
    pub size: String,
    /// Measured cost, in the unit of the slope.
    pub value: f64,
}

/// Cost at several sizes.
#[derive(Clone, Debug, Serialize)]
pub struct Slope {
    /// Description of the cost.
    pub name: &'static str,
    /// Unit of the values, empty for counts.
    pub unit: &'static str,
    /// Measured points.
    pub points: Vec<SlopePoint>,
}

/// Measures every slope.
#[must_use]
pub fn measure(heap: HeapBytes) -> Vec<Slope> {
    let mut slopes = vec![
        slope("entry: core time of a request", "us", [240, 1_200, 2_400], "targets", |targets| {
            entry_request_cost(targets).0.as_secs_f64() * 1e6
        }),
        slope("entry: probes of a short request", "", [240, 1_200, 2_400], "targets", |targets| {
            entry_request_cost(targets).1
        }),
        slope(
            "entry: memory of the route table",
            "KiB",
            [240, 1_200, 2_400],
            "targets",
            |targets| heap_growth(heap, || new_entry(targets, 21)) / 1024.0,
        ),
        slope("entry: memory of the accounts", "KiB", [21, 105, 210], "accounts", |accounts| {
            heap_growth(heap, || AccountTable::from_config(&Arc::new(new_config(accounts))))
                / 1024.0
        }),
        slope("entry: time to adopt a change", "us", [21, 105, 210], "accounts", |accounts| {
            config_apply_time(accounts).as_secs_f64() * 1e6
        }),
        slope(
            "entry: bytes read for a change",
            "",
            [21, 105, 210],
            "accounts",
            config_change_bytes,
        ),
        slope(
            "entry: memory of a remembered request",
            "bytes",
            [256, 1_024, 2_048],
            "requests",
            |requests| memory_per_request(heap, requests),
        ),
        slope("agent: core time of a probe", "us", [0, 16, 64], "runs open", |runs| {
            agent_probe_time(runs).as_secs_f64() * 1e6
        }),
        slope("agent: core time of a run of 64 parts", "us", [0, 16, 64], "runs open", |runs| {
            agent_run_time(runs).as_secs_f64() * 1e6
        }),
    ];
    slopes.push(frame_sizes());
    slopes.extend(daemon_times());
    slopes
}

fn slope<const N: usize>(
    name: &'static str,
    unit: &'static str,
    sizes: [usize; N],
    size_unit: &str,
    measure_at: impl Fn(usize) -> f64,
) -> Slope {
    let point = |size| SlopePoint { size: format!("{size} {size_unit}"), value: measure_at(size) };
    Slope { name, unit, points: sizes.into_iter().map(point).collect() }
}

fn heap_growth<T>(heap: HeapBytes, build: impl FnOnce() -> T) -> f64 {
    let before = heap();
    let value = build();
    let after = heap();
    drop(black_box(value));
    after.saturating_sub(before) as f64
}

/// Formats slopes as text.
#[must_use]
pub fn to_table(slopes: &[Slope]) -> String {
    use std::fmt::Write;
    let mut text = String::new();
    for slope in slopes {
        let unit = if slope.unit.is_empty() { "" } else { slope.unit };
        let _ = writeln!(text, "{} {unit}", slope.name);
        for point in &slope.points {
            let _ = writeln!(text, "    {:<40} {:>12.1}", point.size, point.value);
        }
    }
    text
}

fn new_config(accounts: usize) -> Config {
    let base = Config::from_toml(include_str!("../../examples/valdivia.toml")).expect("an example");
    let template = base.client_accounts[0].clone();
    let client_accounts = (0..accounts).map(|number| {
        let mut account = template.clone();
        account.name = format!("account-{number:04}").into();
        account.key_sha256 = vec![to_key_hash(&format!("key-{number}")).into()];
        account
    });
    Config { version: ConfigVersion(1), client_accounts: client_accounts.collect(), ..base }
}

fn config_change_bytes(accounts: usize) -> f64 {
    let (manifest, objects) = Manifest::from_config(&new_config(accounts), "0".repeat(16));
    let manifest = serde_json::to_vec(&manifest).unwrap_or_default().len();
    let object = objects.last().map_or(0, |object| object.content.len());
    (manifest + object) as f64
}

fn config_apply_time(accounts: usize) -> Duration {
    const ROUNDS: u32 = 50;
    let config = new_config(accounts);
    let (manifest, objects) = Manifest::from_config(&config, String::new());
    let objects: BTreeMap<_, _> =
        objects.into_iter().map(|object| (object.hash, object.content)).collect();
    let start = Instant::now();
    for _ in 0..ROUNDS {
        let find = |hash: &str| objects.get(hash).cloned();
        let config = manifest.clone().into_config(ConfigVersion(2), find).expect("a configuration");
        black_box(AccountTable::from_config(&Arc::new(config)));
    }
    start.elapsed() / ROUNDS
}

fn new_entry(targets: usize, accounts: usize) -> EntryCore {
    let process = ProcessId { name: "entry".into(), incarnation: Incarnation(1) };
    let tuning = EntryTuning { strict: false, ..EntryTuning::default() };
    let mut core = EntryCore::new(process, "domain-0".into(), tuning, 1);
    let hosts = (0..targets).map(|number| HostRecord {
        name: format!("runner-{number:05}").into(),
        role: HostRole::Target { service: format!("service-{}", number % 18).into() },
        address: format!("10.0.{}.{}:8090", number / 250, number % 250).into(),
        failure_domain: format!("domain-{}", number % 7).into(),
        state: HostState::Live,
    });
    let delta = HostDelta { revision: 1, hosts: hosts.collect() };
    core.on_event(Tick(0), entry::Event::Hosts(delta));
    core.on_event(Tick(0), entry::Event::Config(Arc::new(new_config(accounts))));
    core
}

fn sample_policy() -> Rc<AccountPolicy> {
    let table = AccountTable::from_config(&Arc::new(new_config(1)));
    table.find("key-0").expect("an account")
}

fn new_arrival(number: u64, policy: &Rc<AccountPolicy>) -> Arrival {
    let prompt = crate::prompt::make_prompt(2_000, number % 4, 1_000, number);
    let mut hasher = PrefixHasher::new(&policy.name);
    hasher.update(prompt.as_bytes());
    Arrival {
        number,
        policy: policy.clone(),
        service: "service-3".into(),
        call: Call::Model { model: "canal-8b".into(), path: "/v1/completions".into() },
        prompt_bytes: prompt.len() as u64,
        max_answer_tokens: 64,
        prefix_hashes: hasher.into_hashes(),
        body: prompt.into(),
        repeatable: true,
    }
}

/// Agents that accept every probe and answer every dispatch at once, to drive an entry's core.
struct StubAgents {
    core: EntryCore,
    now: Tick,
    probes: u64,
    connected: std::collections::HashSet<Arc<str>>,
}

impl StubAgents {
    fn handle_event(&mut self, event: entry::Event) {
        self.now = self.now + Duration::from_micros(50);
        for effect in self.core.on_event(self.now, event) {
            if let entry::Effect::Send(target, message) = effect {
                self.respond(target, message);
            }
        }
    }

    fn respond(&mut self, target: Arc<str>, message: ToAgent) {
        if self.connected.insert(target.clone()) {
            self.handle_event(entry::Event::AgentUp(target.clone(), Incarnation(1)));
        }
        match message {
            ToAgent::Probe(probe) => {
                self.probes += 1;
                let answer = ProbeAnswer { number: probe.number, ..sample_probe_answer() };
                self.handle_event(entry::Event::AgentMessage(target, ToEntry::ProbeAnswer(answer)));
            }
            ToAgent::Dispatch(dispatch) => {
                let key = dispatch.attempt;
                self.handle_event(entry::Event::AgentMessage(
                    target.clone(),
                    ToEntry::Accepted(key),
                ));
                let text = "an answer of some length";
                let chunk = ToEntry::Chunk { attempt: key, offset: 0, text: text.into() };
                self.handle_event(entry::Event::AgentMessage(target.clone(), chunk));
                let done = Completion { length: text.len() as u64, ..Completion::default() };
                self.handle_event(entry::Event::AgentMessage(target, ToEntry::Done(key, done)));
            }
            _ => {}
        }
    }
}

fn new_stub_agents(targets: usize) -> StubAgents {
    let core = new_entry(targets, 21);
    StubAgents { core, now: Tick(1), probes: 0, connected: std::collections::HashSet::new() }
}

/// Returns the core's time per short request, and the probes per short request.
fn entry_request_cost(targets: usize) -> (Duration, f64) {
    const ROUNDS: u64 = 2_000;
    let policy = sample_policy();
    let arrivals: Vec<_> = (1..=ROUNDS).map(|number| new_arrival(number, &policy)).collect();
    let mut agents = new_stub_agents(targets);
    let start = Instant::now();
    for arrival in arrivals {
        // Requests run one after the other, 100 ms apart.
        agents.now = agents.now + Duration::from_millis(100);
        agents.handle_event(entry::Event::Arrive(Box::new(arrival)));
    }
    assert_eq!(agents.core.counts().finished, ROUNDS);
    (start.elapsed() / ROUNDS as u32, agents.probes as f64 / ROUNDS as f64)
}

fn memory_per_request(heap: HeapBytes, requests: usize) -> f64 {
    let policy = sample_policy();
    let mut agents = new_stub_agents(240);
    let before = heap();
    for number in 1..=requests as u64 {
        agents.now = agents.now + Duration::from_millis(100);
        agents.handle_event(entry::Event::Arrive(Box::new(new_arrival(number, &policy))));
    }
    heap().saturating_sub(before) as f64 / requests as f64
}

fn sample_probe_answer() -> ProbeAnswer {
    ProbeAnswer {
        number: 1_000_000,
        is_available: true,
        wait_us: 20_000,
        prefill_us: 30_000,
        cached_tokens: 1_024,
        free_tokens: 300_000,
        capacity_tokens: 380_000,
        config_version: ConfigVersion(40_000),
    }
}

fn new_agent() -> AgentCore {
    let id = ProcessId { name: "agent".into(), incarnation: Incarnation(1) };
    let tuning = AgentTuning { strict: false, ..AgentTuning::default() };
    let mut core = AgentCore::new(id, tuning);
    let owner = ProcessId { name: "entry".into(), incarnation: Incarnation(1) };
    core.on_event(Tick(0), agent::Event::PeerUp(ConnId(1), owner));
    let facts = EngineFacts {
        address: "127.0.0.1:1".into(),
        capacity: 4_000_000,
        max_batch: 256,
        models: vec!["canal-8b".into()],
    };
    core.on_event(Tick(0), agent::Event::TargetReady(facts));
    core
}

fn sample_dispatch(number: u64) -> shalelane::wire::Dispatch {
    shalelane::wire::Dispatch {
        attempt: AttemptKey(number, 1),
        incarnation: Incarnation(1),
        call: Call::Model { model: "canal-8b".into(), path: "/v1/completions".into() },
        account: "account-0001".into(),
        weight: 1,
        urgency: Urgency::Interactive,
        need: shalelane::wire::TokenNeed { prompt: 2_000, answer: 64 },
        prefix_hashes: sample_hashes(2_000),
        body_len: 0,
        remaining_us: 20_000_000,
        shards: Vec::new(),
        max_wait_us: 50_000,
    }
}

fn sample_hashes(tokens: u64) -> PrefixHashes {
    let mut hasher = PrefixHasher::new("account-0001");
    hasher.update(crate::prompt::make_prompt(tokens, 1, 100, 1).as_bytes());
    hasher.into_hashes()
}

fn open_runs(core: &mut AgentCore, runs: usize) {
    let owner = ProcessId { name: "entry".into(), incarnation: Incarnation(1) };
    for number in 0..runs as u64 {
        let key = AttemptKey(1_000_000 + number, 1);
        let dispatch = sample_dispatch(key.0);
        core.on_event(Tick(1), agent::Event::Peer(ConnId(1), ToAgent::Dispatch(dispatch)));
        let id = shalelane::AttemptId { owner: owner.clone(), key };
        core.on_event(Tick(1), agent::Event::Run(id, RunEvent::Text("x".into())));
    }
}

fn agent_probe_time(runs: usize) -> Duration {
    const ROUNDS: u32 = 20_000;
    let mut core = new_agent();
    open_runs(&mut core, runs);
    let probe = sample_probe(2_000);
    let start = Instant::now();
    for _ in 0..ROUNDS {
        let message = ToAgent::Probe(probe.clone());
        black_box(core.on_event(Tick(2), agent::Event::Peer(ConnId(1), message)));
    }
    start.elapsed() / ROUNDS
}

fn sample_probe(tokens: u64) -> shalelane::wire::Probe {
    shalelane::wire::Probe {
        number: 1_000_000,
        model: "canal-8b".into(),
        need: shalelane::wire::TokenNeed { prompt: tokens, answer: 64 },
        urgency: Urgency::Interactive,
        prefix_hashes: sample_hashes(tokens),
    }
}

fn agent_run_time(runs: usize) -> Duration {
    const ROUNDS: u64 = 2_000;
    const CHUNKS: usize = 64;
    let mut core = new_agent();
    open_runs(&mut core, runs);
    let owner = ProcessId { name: "entry".into(), incarnation: Incarnation(1) };
    let start = Instant::now();
    for number in 0..ROUNDS {
        let key = AttemptKey(number, 1);
        let id = shalelane::AttemptId { owner: owner.clone(), key };
        let dispatch = ToAgent::Dispatch(sample_dispatch(number));
        core.on_event(Tick(2), agent::Event::Peer(ConnId(1), dispatch));
        for _ in 0..CHUNKS {
            let text = RunEvent::Text("a part ".into());
            black_box(core.on_event(Tick(3), agent::Event::Run(id.clone(), text)));
        }
        let done = RunEvent::Done(RunUsage::default());
        core.on_event(Tick(4), agent::Event::Run(id, done));
    }
    start.elapsed() / ROUNDS as u32
}

/// Measures messages in bytes on the wire, including the overhead of WebSocket, TCP and IP.
fn frame_sizes() -> Slope {
    let on_wire = |frame: usize| (frame + FRAME_OVERHEAD + SEGMENT_OVERHEAD) as f64;
    let point = |size: &str, frame: usize| SlopePoint { size: size.into(), value: on_wire(frame) };
    let probe = |tokens| ToAgent::Probe(sample_probe(tokens)).to_frame().len();
    let answer = ToEntry::ProbeAnswer(sample_probe_answer()).to_frame().len();
    let dispatch = ToAgent::Dispatch(sample_dispatch(1_000_000)).to_frame().len();
    let accepted = ToEntry::Accepted(AttemptKey(1_000_000, 1)).to_frame().len();
    let completion =
        Completion { length: 512, finish_reason: "length".into(), ..Completion::default() };
    let done = ToEntry::Done(AttemptKey(1_000_000, 1), completion).to_frame().len();
    Slope {
        name: "wire: a message with its frames, without acknowledgement",
        unit: "bytes",
        points: vec![
            point("probe of 2,000 tokens", probe(2_000)),
            point("probe of 20,000 tokens", probe(20_000)),
            point("probe of 1,000,000 tokens", probe(1_000_000)),
            point("answer to a probe", answer),
            point("dispatch of 2,000 tokens, without body", dispatch),
            point("accepted", accepted),
            point("done", done),
        ],
    }
}

/// Measures the CPU time of whole daemons over sockets, by thread.
fn daemon_times() -> Vec<Slope> {
    let mut entry_points = Vec::new();
    let mut agent_points = Vec::new();
    for requests in [100_u64, 200, 400] {
        let (entry_time, agent_time) = measure_fleet(requests);
        let size = format!("{requests} requests of 2,000 tokens");
        let point = |cpu_time: Duration| SlopePoint {
            size: size.clone(),
            value: cpu_time.as_secs_f64() * 1e6 / requests as f64,
        };
        entry_points.push(point(entry_time));
        agent_points.push(point(agent_time));
    }
    vec![
        Slope {
            name: "entry: processor time of a request over sockets",
            unit: "us",
            points: entry_points,
        },
        Slope {
            name: "agents: processor time of a request over sockets",
            unit: "us",
            points: agent_points,
        },
    ]
}

fn measure_fleet(requests: u64) -> (Duration, Duration) {
    let engine = EngineSpec { time_scale: 50.0, ..EngineSpec::default() };
    let spec = FleetSpec { engine, ..demo_fleet(&DemoSpec { engines: 4, ..DemoSpec::default() }) };
    let mut fleet = Fleet::start(&spec);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let cpu_times =
        runtime.expect("runtime").block_on(tokio::task::LocalSet::new().run_until(async {
            apply_config(&fleet, include_str!("../../examples/valdivia.toml")).await;
            wait_ready(&fleet, Duration::from_secs(10)).await;
            let before = (thread_time("entry-"), thread_time("runner-"));
            send_load(&fleet, requests).await;
            (
                thread_time("entry-").saturating_sub(before.0),
                thread_time("runner-").saturating_sub(before.1),
            )
        }));
    fleet.stop();
    cpu_times
}

async fn send_load(fleet: &Fleet, requests: u64) {
    let addresses = fleet.entries.iter().map(|entry| entry.caller_address).collect();
    let caller = LoadCaller::new(addresses, "booking-app", "canal-8b", Duration::from_secs(30));
    for seed in 0..requests {
        let call = PlannedCall::Model {
            prompt_tokens: 2_000,
            answer_tokens: 32,
            family: seed % 4,
            is_stream: true,
            is_repeatable: true,
        };
        let account = "quay-kiosks".to_owned();
        let planned = PlannedRequest { at: Duration::ZERO, account, call, seed, phase: 0 };
        black_box(caller.call(planned, Instant::now()).await);
    }
}

/// Returns the CPU time of all threads of this process whose name begins with `prefix`.
///
/// Returns zero on systems without `/proc`.
fn thread_time(prefix: &str) -> Duration {
    let Ok(tasks) = std::fs::read_dir("/proc/self/task") else { return Duration::ZERO };
    let cpu_times = tasks.flatten().filter_map(|task| {
        let name = std::fs::read_to_string(task.path().join("comm")).ok()?;
        let stat = std::fs::read_to_string(task.path().join("schedstat")).ok()?;
        let nanos = stat.split_whitespace().next()?.parse().ok()?;
        name.starts_with(prefix).then(|| Duration::from_nanos(nanos))
    });
    cpu_times.sum()
}

//! Entries that decide with the product's core, and the engines that serve them.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use shalelane::relay::core::{PlacedAttempt, RelayCore, RelayLimits};
use shalelane::relay::decide::engine_rates::EngineRates;
use shalelane::relay::decide::loss::PAUSE_RISK_FROM;
use shalelane::relay::decide::placement::{Placement, PlacementAction, PromptNeed, TargetScope};
use shalelane::relay::decide::policy::RelayPolicy;
use shalelane::relay::decide::retry_budget::RetryBound;
use shalelane::relay::decide::retry_delay::after_overload;
use shalelane::relay::decide::targets::TargetRecord;
use shalelane::relay::decide::warmup::WarmupBound;
use shalelane::relay::discovery::freshness::StalePolicy;
use shalelane::relay::discovery::rules::{RelayConfig, ServiceRule};
use shalelane::relay::discovery::store_revision::StoreRevision;
use shalelane::relay::peers::peer_message::PeerMessage;
use shalelane::time::{Tick, TimerService};

use super::engine::{EnginePrefill, ReplayEngine, RequestNumber};
use super::load::{LoadKind, LoadRequest, ReplayLoad};
use super::outcome::{ReplayEnd, RequestOutcome};

/// Delay of a datagram or a chunk of an answer between two hosts.
const LINK_DELAY: Duration = Duration::from_micros(900);

/// Divisor of the first-event limit that gives the delay after which a waiting prompt is
/// placed again, as in the relay.
const PLACE_DELAY_DIVISOR: u32 = 30;

/// Number of times a caller retries after a refusal.
const MAX_RETRIES: u32 = 1;

/// Maximum time that a replay continues after the last arrival.
const MAX_OVERRUN: Duration = Duration::from_secs(15);

/// Name of the service of all engines.
const SERVICE: &str = "engines";

/// A fleet and the policy of its entries.
#[derive(Clone, Debug)]
pub struct ReplayFleet {
    /// Number of entries.
    pub entries: u64,
    /// Number of engines.
    pub engines: u16,
    /// Speeds and sizes of the engines.
    pub rates: EngineRates,
    /// Policy of the entries.
    pub policy: RelayPolicy,
}

impl ReplayFleet {
    /// Creates a fleet of thirty entries and sixty engines.
    #[must_use]
    pub fn new(policy: RelayPolicy) -> Self {
        let rates = EngineRates {
            capacity: 12,
            memory_tokens: 344_250,
            step_tokens: 2_048,
            stride: 38,
            step_ms: 1.31,
            per_stream_ms: 0.000_917,
            context_ms_per_k: 0.002_13,
            prefill_per_s: 154_000.0,
            pairs_ms_per_m: 0.162,
        };
        ReplayFleet { entries: 30, engines: 60, rates, policy }
    }
}

enum WorldEvent {
    Arrive(RequestNumber),
    /// Places the request if this is still the number of its attempt.
    Place(RequestNumber, u32),
    Receive(RequestNumber, usize, EnginePrefill),
    UnitEnd(usize),
    /// An event of a stream reaches the entry, with the number of its attempt.
    Event(RequestNumber, u32),
    Message(usize, PeerMessage),
    TimeUp(RequestNumber),
}

struct RequestState {
    load: LoadRequest,
    entry: usize,
    /// When the caller sent the attempt with the number `attempt`.
    arrived: Tick,
    attempt: u32,
    placed: Option<PlacedAttempt>,
    target: usize,
    /// Shards that are not prefilled yet.
    pending_shards: usize,
    context: u64,
    events_left: u32,
    last_event: Option<Tick>,
    is_ended: bool,
    outcome: RequestOutcome,
}

/// State of a running replay.
struct ReplayWorld {
    now: Tick,
    timers: TimerService<u64>,
    events: HashMap<u64, WorldEvent>,
    next_event: u64,
    kinds: Vec<LoadKind>,
    rates: Rc<EngineRates>,
    policy: RelayPolicy,
    entries: Vec<RelayCore>,
    engines: Vec<ReplayEngine>,
    engine_numbers: HashMap<Arc<str>, usize>,
    requests: Vec<RequestState>,
    random: StdRng,
}

/// Simulates a load. Returns the outcome of each request, in the order of arrival, and
/// the utilization of the engines.
#[must_use]
pub fn replay(fleet: &ReplayFleet, load: &ReplayLoad, seed: u64) -> (Vec<RequestOutcome>, f64) {
    let mut world = ReplayWorld::new(fleet, load, seed);
    let deadline = Tick::default() + load.duration + MAX_OVERRUN;
    while let Some(at) = world.timers.peek_next().filter(|at| *at <= deadline) {
        world.now = at;
        while let Some(number) = world.timers.pop_due(at) {
            if let Some(event) = world.events.remove(&number) {
                world.handle(event);
            }
        }
    }
    let busy: f64 = world.engines.iter().map(|engine| engine.busy().as_secs_f64()).sum();
    let total = load.duration.as_secs_f64() * world.engines.len() as f64;
    let outcomes = world.requests.iter().map(|request| request.outcome).collect();
    (outcomes, busy / total)
}

fn engine_name(number: usize) -> Arc<str> {
    format!("engine-{number}").into()
}

fn new_entry(fleet: &ReplayFleet, rates: &Rc<EngineRates>, number: u64) -> RelayCore {
    let limits = RelayLimits {
        failure_domain: "here".into(),
        regions: BTreeMap::new(),
        revoke_bound: Duration::from_secs(5),
        evacuate_bound: None,
        warmup_bound: WarmupBound::default(),
        stale_policy: StalePolicy::FailOpen,
        drain_bound: Duration::from_secs(3),
        store_history: Duration::from_secs(20),
        retry_bound: RetryBound { ratio: 0.2, slack: 100.0, window: Duration::from_secs(10) },
        policy: fleet.policy,
    };
    let mut core = RelayCore::new(limits, number + 1);
    let services =
        vec![ServiceRule { name: SERVICE.into(), engine: Some(rates.clone()), warmup: None }];
    let config = RelayConfig { version: 1, services, ..RelayConfig::default() };
    core.apply_config(Some(config), Tick::default());
    let records = (0..fleet.engines).map(|number| TargetRecord {
        incarnation: engine_name(number.into()),
        started_ms: 0,
        service: SERVICE.into(),
        address: ([10, 0, (number >> 8) as u8, number as u8], 80).into(),
        failure_domain: "here".into(),
        capacity: rates.capacity,
        is_leaving: false,
        listed_at: StoreRevision { epoch: 0, number: number.into() },
        warmup_ms: None,
    });
    core.apply_list(records.collect(), false, Tick::default());
    core
}

impl ReplayWorld {
    fn new(fleet: &ReplayFleet, load: &ReplayLoad, seed: u64) -> Self {
        let rates = Rc::new(fleet.rates);
        let entries = (0..fleet.entries).map(|number| new_entry(fleet, &rates, number));
        let engines = (0..fleet.engines).map(|_| ReplayEngine::new(rates.clone()));
        let engine_numbers = (0..usize::from(fleet.engines)).map(|at| (engine_name(at), at));
        let mut world = ReplayWorld {
            now: Tick::default(),
            timers: TimerService::new(),
            events: HashMap::new(),
            next_event: 0,
            kinds: load.kinds.clone(),
            entries: entries.collect(),
            engines: engines.collect(),
            engine_numbers: engine_numbers.collect(),
            rates,
            policy: fleet.policy,
            requests: Vec::new(),
            random: StdRng::seed_from_u64(seed),
        };
        for request in load.to_requests(seed) {
            world.add_request(request);
        }
        world
    }

    fn add_request(&mut self, load: LoadRequest) {
        let number = self.requests.len();
        let arrived = Tick::default() + load.at;
        let events_left = self.kinds[load.kind].events;
        self.requests.push(RequestState {
            load,
            entry: number % self.entries.len(),
            arrived,
            attempt: 0,
            placed: None,
            target: 0,
            pending_shards: 0,
            context: 0,
            events_left,
            last_event: None,
            is_ended: false,
            outcome: RequestOutcome {
                kind: load.kind,
                prompt: load.prompt,
                ..RequestOutcome::default()
            },
        });
        self.schedule_at(arrived, WorldEvent::Arrive(number));
        self.schedule_at(arrived + self.kinds[load.kind].time_limit, WorldEvent::TimeUp(number));
    }

    fn schedule_at(&mut self, at: Tick, event: WorldEvent) {
        self.next_event += 1;
        self.timers.subscribe(at, self.next_event);
        self.events.insert(self.next_event, event);
    }

    fn schedule_after(&mut self, delay: Duration, event: WorldEvent) {
        self.schedule_at(self.now + delay, event);
    }

    fn handle(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::Arrive(number) => {
                let request = &mut self.requests[number];
                request.arrived = self.now;
                request.attempt += 1;
                let attempt = request.attempt;
                self.place(number, attempt);
            }
            WorldEvent::Place(number, attempt) => self.place(number, attempt),
            WorldEvent::Receive(number, engine, prefill) => self.receive(number, engine, prefill),
            WorldEvent::UnitEnd(engine) => self.end_unit(engine),
            WorldEvent::Event(number, attempt) => self.receive_event(number, attempt),
            WorldEvent::Message(to, message) => self.entries[to].apply_message(message, self.now),
            WorldEvent::TimeUp(number) => self.end(number, ReplayEnd::TimedOut),
        }
    }

    fn need(&self, number: RequestNumber) -> PromptNeed {
        let request = &self.requests[number];
        let kind = &self.kinds[request.load.kind];
        let since = self.now.since(Tick::default() + request.load.at);
        let waited = self.now.since(request.arrived);
        PromptNeed {
            value_factor: 1.0,
            pause_risk_from: PAUSE_RISK_FROM,
            prompt_tokens: request.load.prompt,
            answer_tokens: u64::from(kind.events) * u64::from(self.rates.stride),
            first_event_limit: kind.max_first_event,
            waited,
            time_left: kind.time_limit.saturating_sub(since),
            longest_pause: kind.max_pause,
            // A waiting request was admitted on arrival.
            is_admitted: !waited.is_zero(),
        }
    }

    fn place(&mut self, number: RequestNumber, attempt: u32) {
        let request = &self.requests[number];
        if request.is_ended || request.attempt != attempt || request.placed.is_some() {
            return;
        }
        let need = self.need(number);
        let delay = need.first_event_limit / PLACE_DELAY_DIVISOR;
        let core = &mut self.entries[request.entry];
        let scope = TargetScope::Untried(&[]);
        let Some(placement) = core.place(SERVICE, Some(&need), scope, self.now) else {
            return self.refuse(number, delay);
        };
        match placement.decide(&need, delay, &self.policy) {
            PlacementAction::Send => self.send(number, &placement, &need),
            PlacementAction::Wait => self.schedule_after(delay, WorldEvent::Place(number, attempt)),
            PlacementAction::Refuse => {
                let retry_after = after_overload(&placement, &need, &mut self.random);
                self.refuse(number, retry_after);
            }
        }
    }

    fn refuse(&mut self, number: RequestNumber, retry_after: Duration) {
        let waited = self.need(number).waited;
        let request = &mut self.requests[number];
        request.outcome.refusals += 1;
        request.outcome.waited = request.outcome.waited.max(waited);
        if request.outcome.refusals > MAX_RETRIES {
            return self.end(number, ReplayEnd::Refused);
        }
        self.schedule_after(retry_after, WorldEvent::Arrive(number));
    }

    fn send(&mut self, number: RequestNumber, placement: &Placement, need: &PromptNeed) {
        let entry = self.requests[number].entry;
        let placed = self.entries[entry].begin_attempt(placement, Some(need), self.now);
        self.send_messages(entry);
        let shards = placement.helpers.len() as u32 + 1;
        let prefill = EnginePrefill {
            request: number,
            tokens: need.prompt_tokens / u64::from(shards),
            time: self.rates.prefill_time(need.prompt_tokens) / shards,
            is_shard: shards > 1,
            is_helper: false,
        };
        let target = self.engine_numbers[&placement.target];
        self.schedule_after(LINK_DELAY, WorldEvent::Receive(number, target, prefill));
        for helper in &placement.helpers {
            let helper = self.engine_numbers[helper];
            let prefill = EnginePrefill { is_helper: true, ..prefill };
            self.schedule_after(LINK_DELAY * 2, WorldEvent::Receive(number, helper, prefill));
        }
        let request = &mut self.requests[number];
        request.outcome.waited = request.outcome.waited.max(need.waited);
        request.placed = Some(placed);
        request.target = target;
        request.pending_shards = shards as usize;
        request.context = (need.prompt_tokens + need.answer_tokens / 2)
            / (placement.reservations.len() as u64 + 1);
    }

    /// Delivers the pending peer messages of an entry to all other entries.
    fn send_messages(&mut self, from: usize) {
        let messages = self.entries[from].take_messages();
        for to in (0..self.entries.len()).filter(|to| *to != from) {
            for message in &messages {
                self.schedule_after(LINK_DELAY * 2, WorldEvent::Message(to, message.clone()));
            }
        }
    }

    fn receive(&mut self, number: RequestNumber, engine: usize, prefill: EnginePrefill) {
        if self.requests[number].is_ended {
            return;
        }
        self.engines[engine].enqueue(prefill);
        self.start_unit(engine);
    }

    fn start_unit(&mut self, engine: usize) {
        if let Some(duration) = self.engines[engine].start_unit() {
            self.schedule_after(duration, WorldEvent::UnitEnd(engine));
        }
    }

    fn end_unit(&mut self, engine: usize) {
        let result = self.engines[engine].end_unit();
        for number in result.decoded {
            let attempt = self.requests[number].attempt;
            self.schedule_after(LINK_DELAY, WorldEvent::Event(number, attempt));
        }
        for number in result.prefilled {
            self.record_prefilled(number);
        }
        self.start_unit(engine);
    }

    /// Records that a prompt or a shard of it is prefilled, and starts decoding after the last one.
    fn record_prefilled(&mut self, number: RequestNumber) {
        let request = &mut self.requests[number];
        request.pending_shards -= 1;
        if request.pending_shards > 0 {
            return;
        }
        let (target, context, attempt) = (request.target, request.context, request.attempt);
        self.engines[target].start_stream(number, context);
        self.schedule_after(LINK_DELAY, WorldEvent::Event(number, attempt));
        self.start_unit(target);
    }

    fn receive_event(&mut self, number: RequestNumber, attempt: u32) {
        let request = &mut self.requests[number];
        if request.is_ended || request.attempt != attempt {
            return;
        }
        let Some(placed) = request.placed.clone() else { return };
        let core = &mut self.entries[request.entry];
        match request.last_event.replace(self.now) {
            None => {
                let arrived = Tick::default() + request.load.at;
                request.outcome.time_to_first_event = Some(self.now.since(arrived));
                core.record_first_event(&placed, self.now);
            }
            Some(last) => {
                let pause = self.now.since(last);
                request.outcome.longest_pause = request.outcome.longest_pause.max(pause);
                core.record_pass_end(&placed.target, self.now);
            }
        }
        request.events_left -= 1;
        if request.events_left == 0 {
            self.end(number, ReplayEnd::Answered);
        }
    }

    fn end(&mut self, number: RequestNumber, end: ReplayEnd) {
        let request = &mut self.requests[number];
        if request.is_ended {
            return;
        }
        request.is_ended = true;
        request.outcome.end = end;
        let entry = request.entry;
        let Some(placed) = request.placed.take() else { return };
        self.entries[entry].end_attempt(&placed);
        self.send_messages(entry);
        for name in std::iter::once(&placed.target).chain(&placed.helpers) {
            let engine = self.engine_numbers[name];
            self.engines[engine].remove(number);
            self.start_unit(engine);
        }
    }
}

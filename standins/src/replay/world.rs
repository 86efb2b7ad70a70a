//! Entries that decide with the product's core, and the engines that they use.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use shalelane::relay::core::{PlacedAttempt, RelayCore, RelayLimits};
use shalelane::relay::decide::engine_rates::EngineRates;
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

use super::engine::{EngineRead, ReplayEngine, RequestNumber};
use super::load::{LoadKind, LoadRequest, ReplayLoad};
use super::outcome::{ReplayEnd, RequestOutcome};

/// Time of a datagram or a part of an answer from host to host.
const LINK_DELAY: Duration = Duration::from_micros(900);

/// Part of the time for a first event after which a prompt that waits is placed
/// anew, as its divisor, as the relay does.
const PLACE_WAITS: u32 = 30;

/// How often a caller comes again after a refusal.
const RETURNS: u32 = 1;

/// Most that a replay goes on after the last arrival.
const AFTER_SPAN: Duration = Duration::from_secs(15);

/// The service of all engines.
const SERVICE: &str = "engines";

/// A fleet, and what its entries weigh.
#[derive(Clone, Debug)]
pub struct ReplayFleet {
    /// Entries.
    pub entries: u64,
    /// Engines.
    pub engines: u16,
    /// How the engines work.
    pub rates: EngineRates,
    /// What is weighed.
    pub policy: RelayPolicy,
}

impl ReplayFleet {
    /// A fleet of sixty engines before thirty entries.
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
    /// It is placed, where this is still its attempt of that number.
    Place(RequestNumber, u32),
    Receive(RequestNumber, usize, EngineRead),
    UnitEnd(usize),
    /// An event of a stream reaches its entry.
    Event(RequestNumber, u32),
    Note(usize, PeerMessage),
    TimeUp(RequestNumber),
}

struct RequestState {
    load: LoadRequest,
    entry: usize,
    /// When its caller sent this attempt, and the number of it.
    arrived: Tick,
    attempt: u32,
    share: Option<PlacedAttempt>,
    target: usize,
    /// Parts that are not read yet.
    unread: usize,
    context: u64,
    events_left: u32,
    last_event: Option<Tick>,
    is_over: bool,
    outcome: RequestOutcome,
}

/// A replay under way.
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
    numbers: HashMap<Arc<str>, usize>,
    requests: Vec<RequestState>,
    random: StdRng,
}

/// Plays a load. Returns what became of each request, in the order of arrival, and
/// the part of the engines' time in which they worked.
#[must_use]
pub fn replay(fleet: &ReplayFleet, load: &ReplayLoad, seed: u64) -> (Vec<RequestOutcome>, f64) {
    let mut world = ReplayWorld::new(fleet, load, seed);
    let until = Tick::default() + load.span + AFTER_SPAN;
    while let Some(at) = world.timers.peek_next().filter(|at| *at <= until) {
        world.now = at;
        while let Some(number) = world.timers.pop_due(at) {
            if let Some(event) = world.events.remove(&number) {
                world.play(event);
            }
        }
    }
    let busy: f64 = world.engines.iter().map(|engine| engine.busy().as_secs_f64()).sum();
    let all = load.span.as_secs_f64() * world.engines.len() as f64;
    let outcomes = world.requests.iter().map(|request| request.outcome).collect();
    (outcomes, busy / all)
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
        let numbers = (0..usize::from(fleet.engines)).map(|at| (engine_name(at), at));
        let mut world = ReplayWorld {
            now: Tick::default(),
            timers: TimerService::new(),
            events: HashMap::new(),
            next_event: 0,
            kinds: load.kinds.clone(),
            entries: entries.collect(),
            engines: engines.collect(),
            numbers: numbers.collect(),
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
            share: None,
            target: 0,
            unread: 0,
            context: 0,
            events_left,
            last_event: None,
            is_over: false,
            outcome: RequestOutcome {
                kind: load.kind,
                prompt: load.prompt,
                ..RequestOutcome::default()
            },
        });
        self.at(arrived, WorldEvent::Arrive(number));
        self.at(arrived + self.kinds[load.kind].time_limit, WorldEvent::TimeUp(number));
    }

    fn at(&mut self, at: Tick, event: WorldEvent) {
        self.next_event += 1;
        self.timers.subscribe(at, self.next_event);
        self.events.insert(self.next_event, event);
    }

    fn after(&mut self, delay: Duration, event: WorldEvent) {
        self.at(self.now + delay, event);
    }

    fn play(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::Arrive(number) => {
                let request = &mut self.requests[number];
                request.arrived = self.now;
                request.attempt += 1;
                let attempt = request.attempt;
                self.place(number, attempt);
            }
            WorldEvent::Place(number, attempt) => self.place(number, attempt),
            WorldEvent::Receive(number, engine, read) => self.receive(number, engine, read),
            WorldEvent::UnitEnd(engine) => self.end_unit(engine),
            WorldEvent::Event(number, attempt) => self.hear_event(number, attempt),
            WorldEvent::Note(entry, note) => self.entries[entry].apply_message(note, self.now),
            WorldEvent::TimeUp(number) => self.end(number, ReplayEnd::TimedOut),
        }
    }

    fn need(&self, number: RequestNumber) -> PromptNeed {
        let request = &self.requests[number];
        let kind = &self.kinds[request.load.kind];
        let since = self.now.since(Tick::default() + request.load.at);
        let waited = self.now.since(request.arrived);
        PromptNeed {
            prompt_tokens: request.load.prompt,
            answer_tokens: u64::from(kind.events) * u64::from(self.rates.stride),
            first_event_limit: kind.first_limit,
            waited,
            time_left: kind.time_limit.saturating_sub(since),
            longest_pause: kind.longest_pause,
            // What waits was let in when it arrived.
            is_admitted: !waited.is_zero(),
        }
    }

    fn place(&mut self, number: RequestNumber, attempt: u32) {
        let request = &self.requests[number];
        if request.is_over || request.attempt != attempt || request.share.is_some() {
            return;
        }
        let need = self.need(number);
        let step = need.first_event_limit / PLACE_WAITS;
        let core = &mut self.entries[request.entry];
        let scope = TargetScope::Untried(&[]);
        let Some(placement) = core.place(SERVICE, Some(&need), scope, self.now) else {
            return self.refuse(number, step);
        };
        match placement.decide(&need, step, &self.policy) {
            PlacementAction::Send => self.send(number, &placement, &need),
            PlacementAction::Wait => self.after(step, WorldEvent::Place(number, attempt)),
            PlacementAction::Refuse => {
                let back = after_overload(&placement, &need, &mut self.random);
                self.refuse(number, back);
            }
        }
    }

    fn refuse(&mut self, number: RequestNumber, back: Duration) {
        let waited = self.need(number).waited;
        let request = &mut self.requests[number];
        request.outcome.refusals += 1;
        request.outcome.waited = request.outcome.waited.max(waited);
        if request.outcome.refusals > RETURNS {
            return self.end(number, ReplayEnd::Refused);
        }
        self.after(back, WorldEvent::Arrive(number));
    }

    fn send(&mut self, number: RequestNumber, placement: &Placement, need: &PromptNeed) {
        let entry = self.requests[number].entry;
        let share = self.entries[entry].begin_attempt(placement, Some(need), self.now);
        self.tell(entry);
        let parts = placement.helpers.len() as u32 + 1;
        let read = EngineRead {
            request: number,
            tokens: need.prompt_tokens / u64::from(parts),
            time: self.rates.prefill_time(need.prompt_tokens) / parts,
            is_part: parts > 1,
            is_helper: false,
        };
        let target = self.numbers[&placement.target];
        self.after(LINK_DELAY, WorldEvent::Receive(number, target, read));
        for helper in &placement.helpers {
            let helper = self.numbers[helper];
            let read = EngineRead { is_helper: true, ..read };
            self.after(LINK_DELAY * 2, WorldEvent::Receive(number, helper, read));
        }
        let request = &mut self.requests[number];
        request.outcome.waited = request.outcome.waited.max(need.waited);
        request.share = Some(share);
        request.target = target;
        request.unread = parts as usize;
        request.context = (need.prompt_tokens + need.answer_tokens / 2)
            / (placement.reservations.len() as u64 + 1);
    }

    /// Passes on what an entry has to tell the others.
    fn tell(&mut self, from: usize) {
        let notes = self.entries[from].take_messages();
        for to in (0..self.entries.len()).filter(|to| *to != from) {
            for note in &notes {
                self.after(LINK_DELAY * 2, WorldEvent::Note(to, note.clone()));
            }
        }
    }

    fn receive(&mut self, number: RequestNumber, engine: usize, read: EngineRead) {
        if self.requests[number].is_over {
            return;
        }
        self.engines[engine].take(read);
        self.start_unit(engine);
    }

    fn start_unit(&mut self, engine: usize) {
        if let Some(span) = self.engines[engine].start_unit() {
            self.after(span, WorldEvent::UnitEnd(engine));
        }
    }

    fn end_unit(&mut self, engine: usize) {
        let end = self.engines[engine].end_unit();
        for number in end.wrote {
            let attempt = self.requests[number].attempt;
            self.after(LINK_DELAY, WorldEvent::Event(number, attempt));
        }
        for number in end.read {
            self.note_read(number);
        }
        self.start_unit(engine);
    }

    /// Notes that a prompt or a part of it has been read.
    fn note_read(&mut self, number: RequestNumber) {
        let request = &mut self.requests[number];
        request.unread -= 1;
        if request.unread > 0 {
            return;
        }
        let (target, context, attempt) = (request.target, request.context, request.attempt);
        self.engines[target].start_writer(number, context);
        self.after(LINK_DELAY, WorldEvent::Event(number, attempt));
        self.start_unit(target);
    }

    fn hear_event(&mut self, number: RequestNumber, attempt: u32) {
        let request = &mut self.requests[number];
        if request.is_over || request.attempt != attempt {
            return;
        }
        let Some(share) = request.share.clone() else { return };
        let core = &mut self.entries[request.entry];
        match request.last_event.replace(self.now) {
            None => {
                let arrived = Tick::default() + request.load.at;
                request.outcome.first = Some(self.now.since(arrived));
                core.record_first_event(&share, self.now);
            }
            Some(last) => {
                let pause = self.now.since(last);
                request.outcome.pause = request.outcome.pause.max(pause);
                core.record_pass(&share.target, self.now);
            }
        }
        request.events_left -= 1;
        if request.events_left == 0 {
            self.end(number, ReplayEnd::Answered);
        }
    }

    fn end(&mut self, number: RequestNumber, end: ReplayEnd) {
        let request = &mut self.requests[number];
        if request.is_over {
            return;
        }
        request.is_over = true;
        request.outcome.end = end;
        let entry = request.entry;
        let Some(share) = request.share.take() else { return };
        self.entries[entry].end_attempt(&share);
        self.tell(entry);
        for name in std::iter::once(&share.target).chain(&share.helpers) {
            let engine = self.numbers[name];
            self.engines[engine].end(number);
            self.start_unit(engine);
        }
    }
}

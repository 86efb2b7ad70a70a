//! Entries, agents and engines in virtual time, for the quarantine of parts of prompts.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use shalelane::relay::decide::part_board::PartBoard;
use shalelane::relay::decide::part_evidence::PartSet;
use shalelane::relay::decide::part_ledger::{
    MAX_TIME_TO_CRASH, PartAttempt, PartLedger, PartRecord, PartVerdict,
};
use shalelane::relay::decide::part_message::PartMessage;
use shalelane::relay::decide::prompt_part::PromptPart;
use shalelane::relay::decide::request_digest::RequestDigest;
use shalelane::relay::decide::targets::TargetInstance;
use shalelane::time::Tick;

use crate::fixture::{ms, name};
use crate::part_events::{FleetArrival, FleetEngine, FleetEvent, FleetRequest};
use crate::part_setup::FleetSetup;

/// Unix time of tick zero, in milliseconds.
const UNIX_ORIGIN_MS: u64 = 1_700_000_000_000;

/// Engines whose agents relay the reports about parts.
const HOLDERS: std::ops::Range<usize> = 0..3;

/// Number of engines that an entry of a large fleet uses.
const MAX_USED: usize = 64;

/// Time of one datagram, and of a change from the store to an entry.
const DATAGRAM_DELAY: Duration = Duration::from_millis(2);
const STORE_DELAY: Duration = Duration::from_millis(100);

/// Time for which a crashed engine is away.
const DOWNTIME: Duration = Duration::from_secs(3);

/// Time from the beginning of an answer to its end.
const ANSWER_TIME: Duration = Duration::from_millis(1_700);

/// Interval at which entries decide without an occasion.
const SWEEP: Duration = Duration::from_millis(250);

/// A running fleet.
pub struct PartFleet {
    pub setup: FleetSetup,
    random: StdRng,
    now: Tick,
    order: u64,
    queue: BinaryHeap<Reverse<(Tick, u64)>>,
    events: BTreeMap<u64, FleetEvent>,
    entries: Vec<PartLedger>,
    used: Vec<Vec<usize>>,
    users: Vec<Vec<usize>>,
    engines: Vec<FleetEngine>,
    requests: Vec<FleetRequest>,
    pub arrivals: Vec<FleetArrival>,
    /// Crashes under each culprit.
    pub crashes: BTreeMap<&'static str, Vec<Tick>>,
    stored: Vec<PartRecord>,
    store_revision: u64,
    seen_revision: Vec<u64>,
    pub messages: u64,
}

impl PartFleet {
    pub fn new(setup: FleetSetup) -> Self {
        let mut random = StdRng::seed_from_u64(setup.seed);
        let used: Vec<Vec<usize>> = (0..setup.entries)
            .map(|_| (0..setup.engines).choose_multiple(&mut random, MAX_USED))
            .collect();
        let mut users = vec![Vec::new(); setup.engines];
        for (entry, engines) in used.iter().enumerate() {
            for engine in engines {
                users[*engine].push(entry);
            }
        }
        let engine = |_| FleetEngine {
            incarnation: 0,
            is_up: true,
            open: BTreeSet::new(),
            agent: PartBoard::default(),
        };
        let mut fleet = PartFleet {
            random,
            now: Tick::default(),
            order: 0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            entries: used.iter().enumerate().map(|(entry, used)| new_ledger(entry, used)).collect(),
            used,
            users,
            engines: (0..setup.engines).map(engine).collect(),
            requests: Vec::new(),
            arrivals: Vec::new(),
            crashes: BTreeMap::new(),
            stored: Vec::new(),
            store_revision: 0,
            seen_revision: vec![0; setup.entries],
            messages: 0,
            setup,
        };
        fleet.schedule_setup();
        fleet
    }

    fn schedule_setup(&mut self) {
        let setup = self.setup.clone();
        for (kind, traffic) in setup.traffic.iter().enumerate() {
            self.at(Tick::default() + ms(traffic.from), FleetEvent::Arrive { kind });
        }
        for at in setup.agent_restarts {
            self.at(Tick::default() + ms(at), FleetEvent::RestartAgents);
        }
        for (at, entry) in setup.entry_restarts {
            self.at(Tick::default() + ms(at), FleetEvent::RestartEntry(entry));
        }
        for (at, share) in setup.unrelated_crashes {
            self.at(Tick::default() + ms(at), FleetEvent::Crash { share });
        }
        self.at(Tick::default() + SWEEP, FleetEvent::Sweep);
    }

    fn at(&mut self, at: Tick, event: FleetEvent) {
        self.order += 1;
        self.queue.push(Reverse((at, self.order)));
        self.events.insert(self.order, event);
    }

    /// Runs until a time.
    pub fn run_until(&mut self, end: Tick) {
        while let Some(Reverse((at, order))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            let event = self.events.remove(&order).unwrap();
            self.on_event(event);
        }
        self.now = end;
    }

    fn thawed_at(&self, entry: usize) -> Option<Tick> {
        let frozen = self.setup.freezes.iter().find(|(from, until, frozen)| {
            *frozen == entry
                && self.now >= Tick::default() + ms(*from)
                && self.now < Tick::default() + ms(*until)
        });
        frozen.map(|(_, until, _)| Tick::default() + ms(*until))
    }

    fn on_event(&mut self, event: FleetEvent) {
        match event {
            FleetEvent::Arrive { kind } => self.arrive(kind),
            FleetEvent::Begin(number) => self.begin(number),
            FleetEvent::Serve(number) => self.serve(number),
            FleetEvent::Finish(number) => {
                let engine = self.requests[number].engine;
                self.engines[engine].open.remove(&number);
            }
            FleetEvent::Confirm { engine, incarnation } => {
                for entry in self.users[engine].clone() {
                    if let Some(thaw) = self.thawed_at(entry) {
                        self.at(thaw, FleetEvent::Confirm { engine, incarnation });
                        continue;
                    }
                    let now = self.now;
                    self.entries[entry].record_crash(&instance(engine, incarnation), now);
                    self.flush(entry);
                }
            }
            FleetEvent::Return(engine) => {
                self.engines[engine].is_up = true;
                self.engines[engine].incarnation += 1;
            }
            FleetEvent::ToAgent { agent, from, message } => {
                let now = self.now;
                let relayed = self.engines[agent].agent.on_message(message, now);
                let Some(relayed) = relayed else { return };
                for entry in self.users[agent].clone() {
                    if entry != from {
                        let message = relayed.clone();
                        self.send(FleetEvent::ToEntry { entry, message });
                    }
                }
            }
            FleetEvent::ToEntry { entry, message } => self.on_message(entry, message),
            FleetEvent::StoreChanged { entry } => self.read_store(entry),
            FleetEvent::Sweep => {
                for entry in 0..self.entries.len() {
                    if self.thawed_at(entry).is_none() {
                        self.flush(entry);
                    }
                }
                self.at(self.now + SWEEP, FleetEvent::Sweep);
            }
            FleetEvent::RestartAgents => {
                for engine in &mut self.engines {
                    engine.agent = PartBoard::default();
                }
            }
            FleetEvent::RestartEntry(entry) => self.restart_entry(entry),
            FleetEvent::Crash { share } => {
                let count = (self.engines.len() as f64 * share).round() as usize;
                for engine in (0..self.engines.len()).choose_multiple(&mut self.random, count) {
                    self.crash(engine);
                }
            }
        }
    }

    fn restart_entry(&mut self, entry: usize) {
        self.entries[entry] = new_ledger(entry, &self.used[entry]);
        self.seen_revision[entry] = 0;
        if self.setup.has_store {
            self.read_store(entry);
        }
        for agent in self.used[entry].clone() {
            for message in self.engines[agent].agent.to_messages(self.now) {
                self.send(FleetEvent::ToEntry { entry, message });
            }
        }
    }

    fn arrive(&mut self, kind: usize) {
        let traffic = self.setup.traffic[kind].clone();
        let next = self.now
            + Duration::from_secs_f64(self.random.random_range(0.5..1.5) / traffic.per_second);
        if next < Tick::default() + ms(traffic.until) {
            self.at(next, FleetEvent::Arrive { kind });
        }
        let entry = self.random.random_range(0..self.entries.len());
        let has_thawed = self.thawed_at(entry).is_none();
        let random = &mut self.random;
        let names: Vec<String> = traffic
            .parts
            .iter()
            .map(|name| match name.strip_suffix('*') {
                Some(stem) => format!("{stem}{}", random.random_range(0..24)),
                None => (*name).to_owned(),
            })
            .collect();
        let parts = PromptPart::shared_of(names.iter().map(String::as_str).chain(["own"]));
        let mut arrival = FleetArrival {
            at: self.now,
            kind,
            entry,
            has_begun: false,
            was_refused: false,
            reached_engine: false,
        };
        if has_thawed && self.is_allowed(entry, &parts) {
            let up = self.used[entry].iter().copied().filter(|engine| self.engines[*engine].is_up);
            if let Some(engine) = up.choose(&mut self.random) {
                arrival.reached_engine = true;
                let number = self.requests.len();
                let incarnation = self.engines[engine].incarnation;
                let sent_at = self.now;
                let began_at = None;
                self.requests.push(FleetRequest {
                    entry,
                    engine,
                    incarnation,
                    parts,
                    arrival: self.arrivals.len(),
                    sent_at,
                    began_at,
                });
                self.engines[engine].open.insert(number);
                let prefill = self.random.random_range(50..300);
                self.at(self.now + ms(prefill), FleetEvent::Begin(number));
            }
        } else {
            arrival.was_refused = has_thawed;
        }
        self.arrivals.push(arrival);
    }

    fn is_allowed(&mut self, entry: usize, parts: &PartSet) -> bool {
        if entry < self.setup.old_entries {
            return true;
        }
        self.flush(entry);
        let verdict = self.entries[entry].verdict(parts, self.now);
        if verdict == PartVerdict::Probe {
            self.entries[entry].record_probe(parts);
        }
        self.flush(entry);
        !matches!(verdict, PartVerdict::Quarantined(_))
    }

    fn begin(&mut self, number: usize) {
        let request = self.requests[number].clone();
        let engine = &self.engines[request.engine];
        if !engine.is_up || engine.incarnation != request.incarnation {
            return;
        }
        self.requests[number].began_at = Some(self.now);
        let mended_at = self.setup.mended_at.map_or(Tick::NEVER, |at| Tick::default() + ms(at));
        let mut culprits = self.setup.culprits.clone();
        culprits.retain(|_| self.now < mended_at);
        for (part, share, from) in culprits {
            let is_in = request.parts.binary_search(&PromptPart::from_name(part)).is_ok();
            if is_in && self.now >= Tick::default() + ms(from) && self.random.random_bool(share) {
                self.crashes.entry(part).or_default().push(self.now);
                return self.crash(request.engine);
            }
        }
        self.arrivals[request.arrival].has_begun = true;
        self.at(self.now + MAX_TIME_TO_CRASH, FleetEvent::Serve(number));
        self.at(self.now + ANSWER_TIME, FleetEvent::Finish(number));
    }

    fn serve(&mut self, number: usize) {
        let request = self.requests[number].clone();
        if !self.engines[request.engine].open.contains(&number) {
            return;
        }
        if self.thawed_at(request.entry).is_none() && request.entry >= self.setup.old_entries {
            let now = self.now;
            self.entries[request.entry].record_served(&request.parts, request.sent_at, now);
            self.flush(request.entry);
        }
    }

    fn crash(&mut self, engine: usize) {
        if !self.engines[engine].is_up {
            return;
        }
        let now = self.now;
        self.engines[engine].is_up = false;
        let incarnation = self.engines[engine].incarnation;
        for number in std::mem::take(&mut self.engines[engine].open) {
            let request = self.requests[number].clone();
            if request.entry < self.setup.old_entries || self.thawed_at(request.entry).is_some() {
                continue;
            }
            let streamed_for = request.began_at.map_or(Duration::ZERO, |at| now.since(at));
            let digest = RequestDigest::of(None, "h", "/x", number.to_string().as_bytes());
            let attempt = PartAttempt {
                digest,
                parts: request.parts.clone(),
                sent_at: request.sent_at,
                broke_at: now,
            };
            let crashed = instance(engine, incarnation);
            self.entries[request.entry].record_broken(attempt, &crashed, streamed_for, now);
        }
        let detection = self.random.random_range(0..=self.setup.detection_ms);
        self.at(now + ms(detection), FleetEvent::Confirm { engine, incarnation });
        self.at(now + DOWNTIME, FleetEvent::Return(engine));
    }

    fn on_message(&mut self, entry: usize, message: PartMessage) {
        if entry < self.setup.old_entries {
            return;
        }
        if let Some(thaw) = self.thawed_at(entry) {
            return self.at(thaw, FleetEvent::ToEntry { entry, message });
        }
        let (unix_ms, now) = (self.unix_ms(), self.now);
        let ledger = &mut self.entries[entry];
        match message {
            PartMessage::Crashed(report) => ledger.apply_crash(&report, now),
            PartMessage::Served(report) => ledger.apply_served(&report),
            PartMessage::Cleared(part) => ledger.apply_cleared(&part),
            PartMessage::Quarantined(notice) => ledger.apply_notice(&notice, unix_ms, now),
        }
        self.flush(entry);
    }

    fn unix_ms(&self) -> u64 {
        UNIX_ORIGIN_MS + self.now.since(Tick::default()).as_millis() as u64
    }

    /// Lets an entry decide, and sends what it has to send.
    fn flush(&mut self, entry: usize) {
        let now = self.now;
        self.entries[entry].decide(now);
        for message in self.entries[entry].take_messages() {
            for agent in self.receivers(&message) {
                let message = message.clone();
                self.send(FleetEvent::ToAgent { agent, from: entry, message });
            }
        }
        self.write_store(entry);
    }

    fn receivers(&mut self, message: &PartMessage) -> BTreeSet<usize> {
        let engines = 0..self.engines.len();
        match message {
            PartMessage::Crashed(_) | PartMessage::Served(_) | PartMessage::Cleared(_) => {
                HOLDERS.collect()
            }
            PartMessage::Quarantined(_) => {
                engines.choose_multiple(&mut self.random, HOLDERS.len()).into_iter().collect()
            }
        }
    }

    fn send(&mut self, event: FleetEvent) {
        self.messages += 1;
        if !self.random.random_bool(self.setup.loss) {
            self.at(self.now + DATAGRAM_DELAY, event);
        }
    }

    fn write_store(&mut self, entry: usize) {
        if !self.setup.has_store {
            return;
        }
        let (unix_ms, now) = (self.unix_ms(), self.now);
        let Some(records) = self.entries[entry].due_records(unix_ms, now) else { return };
        if self.seen_revision[entry] < self.store_revision {
            return self.read_store(entry);
        }
        if self.stored != records {
            self.stored.clone_from(&records);
            self.store_revision += 1;
            for other in 0..self.entries.len() {
                self.at(now + STORE_DELAY, FleetEvent::StoreChanged { entry: other });
            }
        }
        self.seen_revision[entry] = self.store_revision;
        self.entries[entry].record_written(&records);
        self.entries[entry].apply_records(&records, unix_ms, now);
    }

    fn read_store(&mut self, entry: usize) {
        if let Some(thaw) = self.thawed_at(entry) {
            return self.at(thaw, FleetEvent::StoreChanged { entry });
        }
        if entry >= self.setup.old_entries && self.seen_revision[entry] < self.store_revision {
            self.seen_revision[entry] = self.store_revision;
            let (unix_ms, now) = (self.unix_ms(), self.now);
            let records = self.stored.clone();
            self.entries[entry].apply_records(&records, unix_ms, now);
        }
    }

    /// Returns the parts that any entry has quarantined.
    pub fn quarantined(&self) -> BTreeSet<String> {
        let sets = self.entries.iter().flat_map(|ledger| {
            ledger.quarantined().unlifted(self.now).map(|(set, _)| join(set)).collect::<Vec<_>>()
        });
        sets.collect()
    }

    /// Returns when an engine crashed under a culprit for the fifth time, or the last time.
    pub fn fifth_crash(&self, part: &str) -> Tick {
        let crashes = self.crashes.get(part).expect("engines crashed under the part");
        *crashes.get(4).or(crashes.last()).unwrap()
    }

    /// Returns how many requests of a kind reached engines after a time.
    pub fn sends_after(&self, kind: usize, after: Tick) -> usize {
        let later = self.arrivals.iter().filter(|arrival| arrival.at > after);
        later.filter(|arrival| arrival.kind == kind && arrival.reached_engine).count()
    }

    /// Returns the share of requests of a kind that began at their first attempt.
    pub fn begun_share(&self, kind: usize, from: Tick, until: Tick) -> f64 {
        let in_time = |arrival: &&FleetArrival| {
            arrival.kind == kind && arrival.at >= from && arrival.at < until
        };
        let asked = self.arrivals.iter().filter(in_time).count();
        let begun =
            self.arrivals.iter().filter(in_time).filter(|arrival| arrival.has_begun).count();
        begun as f64 / asked.max(1) as f64
    }
}

fn new_ledger(entry: usize, used: &[usize]) -> PartLedger {
    let mut ledger = PartLedger::new(entry as u64 + 1, 0.5);
    ledger.set_informed(used.iter().any(|engine| HOLDERS.contains(engine)));
    ledger
}

fn instance(engine: usize, incarnation: u64) -> TargetInstance {
    TargetInstance { incarnation: name(&format!("e{engine}")), started_ms: incarnation }
}

fn join(set: &PartSet) -> String {
    set.iter().map(PromptPart::as_str).collect::<Vec<_>>().join("+")
}

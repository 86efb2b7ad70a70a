//! What entries cost the platform's store, by the size of the fleet: how a few of them watch
//! the list of targets and the configuration for all, played in virtual time.
//!
//! Entries share by the product's own parts ([`TargetListSync`], [`ConfigSync`]) through its own
//! agents ([`SubscriberSet`]). Modelled are the store, datagrams that are lost, and the pace of
//! watches; proofs are left out.

use std::collections::HashMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use shalelane::relay::discovery::config_sync::ConfigSync;
use shalelane::relay::discovery::store_revision::StoreRevision;
use shalelane::relay::discovery::target_list_sync::{
    TargetListSync, TargetListUpdate, UpdateAnnouncer,
};
use shalelane::relay::discovery::watch_timing::{MIN_WATCH_INTERVAL, list_watch_delay};
use shalelane::relay::peers::peer_message::{MAX_DATAGRAM_BYTES, PeerMessage};
use shalelane::relay::peers::subscriber_set::SubscriberSet;
use shalelane::time::Tick;

/// Step of virtual time.
const STEP: Duration = Duration::from_millis(50);

/// Time between two subscriptions of an entry.
const SUBSCRIBE_STEPS: u64 = 15;

/// Steps between two decisions on who watches.
const DECIDE_STEPS: u64 = 5;

/// Most engines that an entry uses.
const MOST_ENGINES: usize = 64;

/// Part of all datagrams that is lost.
const LOSS: f64 = 0.01;

/// Bytes of a changed target in a note (assumed).
const CHANGE_BYTES: usize = 160;

/// Targets in a page of the list.
const PAGE: usize = 200;

/// Longest time in which a target that leaves may get requests.
const DRAIN_BOUND: Duration = Duration::from_secs(5);

/// How many entries and engines, and what befalls them.
#[derive(Clone, Copy, Debug)]
pub struct ControlPlan {
    /// Entries.
    pub entries: usize,
    /// Engines, each with an agent.
    pub engines: usize,
    /// Part of the engines that is replaced.
    pub replaced: f64,
    /// Seed of what is by chance.
    pub seed: u64,
}

impl ControlPlan {
    /// A fleet of so many entries, and half as many engines again.
    #[must_use]
    pub fn of(entries: usize, seed: u64) -> Self {
        ControlPlan { entries, engines: entries * 3 / 2, replaced: 0.04, seed }
    }
}

/// Calls to the store by kind, and how soon changes were known.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct ControlFigures {
    /// Entries.
    pub entries: usize,
    /// Calls in the first seconds, while the fleet starts.
    pub start_calls: u64,
    /// Answers of watches of the list after that.
    pub list_watches: u64,
    /// Questions for changes of the list that were missed.
    pub catch_ups: u64,
    /// Answers of watches of the configuration.
    pub config_watches: u64,
    /// Reads of the configuration for changes that were missed.
    pub config_reads: u64,
    /// Datagrams, in thousands.
    pub kilo_datagrams: u64,
    /// Longest time until half of the entries had a change of the configuration, in ms.
    pub middle_ms: u64,
    /// Longest time until all had it, in ms.
    pub last_ms: u64,
}

impl ControlFigures {
    /// Calls to the store after the start.
    #[must_use]
    pub fn later_calls(&self) -> u64 {
        self.list_watches + self.catch_ups + self.config_watches + self.config_reads
    }
}

/// When the fleet has started, and what is counted apart from that.
const STARTED: Duration = Duration::from_secs(8);

/// When the last change was made, and the world ends.
const ENDS: Duration = Duration::from_secs(30);

struct ControlEntry {
    address: SocketAddr,
    list: TargetListSync,
    config: ConfigSync,
    config_revision: u64,
    has_started: bool,
    /// From where its own watch goes on, and when.
    watched: u64,
    config_watched: u64,
    list_rests_until: Tick,
    config_rests_until: Tick,
    agents: Vec<usize>,
}

struct ControlWorld {
    plan: ControlPlan,
    random: StdRng,
    now: Tick,
    entries: Vec<ControlEntry>,
    agents: Vec<SubscriberSet>,
    numbers: HashMap<SocketAddr, usize>,
    /// Revisions of the store: of the list and of the configuration.
    list_revision: u64,
    config_revision: u64,
    listed: usize,
    /// When each revision of the configuration was written.
    written: Vec<(u64, Tick)>,
    datagrams: u64,
    figures: ControlFigures,
}

fn revision(number: u64) -> StoreRevision {
    StoreRevision { epoch: 0, number }
}

/// Plays a fleet: it starts, a part of its engines is replaced, and the configuration changes,
/// twice by itself and then in a storm.
#[must_use]
pub fn play(plan: ControlPlan) -> ControlFigures {
    let mut world = ControlWorld::new(plan);
    let steps = ENDS.as_millis() / STEP.as_millis();
    for step in 0..steps as u64 {
        world.now = Tick::default() + STEP * step as u32;
        world.change(step);
        for entry in 0..world.entries.len() {
            world.step_entry(entry, step);
        }
        world.note_spread();
    }
    ControlFigures { kilo_datagrams: world.datagrams / 1_000, ..world.figures }
}

impl ControlWorld {
    fn new(plan: ControlPlan) -> Self {
        let mut random = StdRng::seed_from_u64(plan.seed);
        let mut order: Vec<usize> = (0..plan.engines).collect();
        let entries: Vec<_> = (0..plan.entries)
            .map(|number| {
                order.shuffle(&mut random);
                ControlEntry {
                    address: ([10, 1, (number >> 8) as u8, number as u8], 7_000).into(),
                    list: TargetListSync::default(),
                    config: ConfigSync::default(),
                    config_revision: 0,
                    has_started: false,
                    watched: 0,
                    config_watched: 0,
                    list_rests_until: Tick::default(),
                    config_rests_until: Tick::default(),
                    agents: order.iter().take(MOST_ENGINES).copied().collect(),
                }
            })
            .collect();
        let numbers = entries.iter().enumerate().map(|(number, entry)| (entry.address, number));
        ControlWorld {
            numbers: numbers.collect(),
            agents: (0..plan.engines).map(|_| SubscriberSet::default()).collect(),
            random,
            now: Tick::default(),
            entries,
            list_revision: 1,
            config_revision: 1,
            listed: 0,
            written: Vec::new(),
            datagrams: 0,
            figures: ControlFigures { entries: plan.entries, ..ControlFigures::default() },
            plan,
        }
    }

    /// What the operator and the engines write to the store.
    fn change(&mut self, step: u64) {
        const SECOND: u64 = 20;
        // Engines list themselves in the first second and a half.
        let due = (step as usize * self.plan.engines / 30).min(self.plan.engines);
        self.list_revision += (due - self.listed) as u64;
        self.listed = due;
        // A release: each engine that is replaced is listed as leaving, gone, and listed anew.
        let (from, to) = (9 * SECOND, 19 * SECOND);
        if (from..to).contains(&step) {
            let all = 3.0 * self.plan.replaced * self.plan.engines as f64;
            let before = (all * (step - from) as f64 / (to - from) as f64) as u64;
            let after = (all * (step + 1 - from) as f64 / (to - from) as f64) as u64;
            self.list_revision += after - before;
        }
        let is_storm = (22 * SECOND..24 * SECOND).contains(&step) && step.is_multiple_of(7);
        if step == 12 * SECOND || step == 16 * SECOND || is_storm {
            self.config_revision += 1;
            self.written.push((self.config_revision, self.now));
        }
    }

    fn is_started(&self) -> bool {
        self.now >= Tick::default() + STARTED
    }

    fn count(&mut self, calls: u64, kind: fn(&mut ControlFigures) -> &mut u64) {
        if self.is_started() {
            *kind(&mut self.figures) += calls;
        } else {
            self.figures.start_calls += calls;
        }
    }

    fn step_entry(&mut self, number: usize, step: u64) {
        if !self.entries[number].has_started {
            // All start within 0.3 s.
            if self.random.random_range(0..6) == 0 || step >= 6 {
                self.start(number);
            }
            return;
        }
        if (step + number as u64).is_multiple_of(SUBSCRIBE_STEPS) {
            self.subscribe(number);
        }
        if (step + number as u64).is_multiple_of(DECIDE_STEPS) {
            self.decide(number);
        }
        self.follow_list(number);
        self.follow_config(number);
    }

    fn start(&mut self, number: usize) {
        let pages = self.listed.div_ceil(PAGE).max(1) as u64;
        self.count(pages + 1, |figures| &mut figures.start_calls);
        let list = revision(self.list_revision);
        let entry = &mut self.entries[number];
        entry.has_started = true;
        entry.list.record_list(list, list);
        entry.watched = self.list_revision;
        entry.config_revision = self.config_revision;
        entry.config_watched = self.config_revision;
    }

    fn subscribe(&mut self, number: usize) {
        let entry = &self.entries[number];
        let watched_revision = entry.list.is_watching().then_some(entry.list.announced());
        let confirmed_revision = Some(revision(entry.config_revision));
        let entry_id = number as u64;
        let note = PeerMessage::Subscribe {
            entry: entry_id,
            proof_age_ms: None,
            watched_revision,
            confirmed_revision,
        };
        let from = entry.address;
        let mut agents = entry.agents.clone();
        agents.retain(|agent| *agent < self.listed);
        for agent in agents {
            if self.is_lost() {
                continue;
            }
            for out in self.agents[agent].on_message(&note, from, 100, self.now) {
                self.deliver(out.to, &out.message, 1);
            }
        }
    }

    /// Gives an entry a note that takes so many datagrams.
    fn deliver(&mut self, to: SocketAddr, note: &PeerMessage, datagrams: usize) {
        let is_lost = (0..datagrams).any(|_| self.is_lost());
        let Some(number) = self.numbers.get(&to).copied().filter(|_| !is_lost) else { return };
        let now = self.now;
        let entry = &mut self.entries[number];
        match note {
            PeerMessage::SubscriptionAck {
                watchers, watched_revision, confirmed_revision, ..
            } => {
                entry.list.record_agent_report(*watchers, *watched_revision, now);
                if let Some(mark) = confirmed_revision {
                    entry.config.record_announced(*mark, revision(entry.config_revision), now);
                }
            }
            PeerMessage::TargetListChanged(news) => {
                entry.list.apply_update(news, now);
            }
            _ => {}
        }
    }

    fn is_lost(&mut self) -> bool {
        self.datagrams += 1;
        self.random.random_bool(LOSS)
    }

    fn decide(&mut self, number: usize) {
        let part = MOST_ENGINES.min(self.listed) as f64 / self.listed.max(1) as f64;
        let throws: [f64; 2] = [self.random.random(), self.random.random()];
        let entries = self.plan.entries;
        let entry = &mut self.entries[number];
        let is_changed = entry.list.choose_initial_watchers(self.listed, throws[0], self.now)
            || entry.list.decide_watching(part, entries, throws[1], self.now);
        if is_changed && entry.list.is_watching() {
            entry.watched = entry.watched.max(entry.list.known_up_to().number);
            self.count(1, |figures| &mut figures.config_reads);
        }
    }

    fn follow_list(&mut self, number: usize) {
        let now = self.now;
        let entry = &self.entries[number];
        if now < entry.list_rests_until {
            return;
        }
        let is_watching = entry.list.is_watching();
        let has_news = is_watching && self.list_revision > entry.watched;
        let is_behind = !is_watching && entry.list.is_behind(now);
        if !has_news && !is_behind {
            return;
        }
        if has_news {
            self.count(1, |figures| &mut figures.list_watches);
            self.tell_list(number);
        } else {
            self.count(1, |figures| &mut figures.catch_ups);
        }
        let entry = &mut self.entries[number];
        entry.watched = self.list_revision;
        entry.list_rests_until = now + list_watch_delay(now.since(Tick::default()), DRAIN_BOUND);
        if is_watching {
            entry.list.record_watched(revision(self.list_revision));
        } else {
            entry.list.record_caught_up(revision(self.list_revision));
        }
    }

    fn tell_list(&mut self, number: usize) {
        let entry = &self.entries[number];
        let since = entry.list.known_up_to().number.max(entry.watched);
        if since >= self.list_revision || !entry.list.should_announce(self.random.random()) {
            return;
        }
        let changes = (self.list_revision - since) as usize;
        let news = TargetListUpdate {
            since: revision(since),
            revision: revision(self.list_revision),
            age_ms: 0,
            changes: Vec::new(),
        };
        let mark = news.revision;
        self.tell(number, &PeerMessage::TargetListChanged(news), changes * CHANGE_BYTES);
        self.entries[number].list.record_announced(mark);
    }

    /// Has a few agents tell the others something of so many bytes.
    fn tell(&mut self, number: usize, note: &PeerMessage, bytes: usize) {
        let datagrams = bytes.div_ceil(MAX_DATAGRAM_BYTES).max(1);
        let from = self.entries[number].address;
        for agent in self.tellers(UpdateAnnouncer::OneEntry) {
            for out in self.agents[agent].on_message(note, from, 100, self.now) {
                self.deliver(out.to, &out.message, datagrams);
            }
        }
    }

    /// Agents that pass on what an entry tells.
    fn tellers(&mut self, teller: UpdateAnnouncer) -> Vec<usize> {
        let count = teller.relay_agents(MOST_ENGINES.min(self.listed), self.listed);
        let mut agents: Vec<usize> = (0..self.listed).collect();
        agents.shuffle(&mut self.random);
        agents.truncate(count);
        agents
    }

    fn follow_config(&mut self, number: usize) {
        let now = self.now;
        let entry = &self.entries[number];
        if now < entry.config_rests_until {
            return;
        }
        let is_watching = entry.list.is_watching();
        if is_watching && self.config_revision > entry.config_watched {
            self.count(1, |figures| &mut figures.config_watches);
            self.tell_config(number);
        } else if entry.config.is_behind(is_watching, now) {
            self.count(1, |figures| &mut figures.config_reads);
        } else {
            return;
        }
        let newest = self.config_revision;
        let entry = &mut self.entries[number];
        entry.config_watched = newest;
        entry.config_revision = newest;
        entry.config_rests_until = now + MIN_WATCH_INTERVAL;
        entry.config.record_read(revision(newest));
    }

    fn tell_config(&mut self, number: usize) {
        if !self.entries[number].list.should_announce(self.random.random()) {
            return;
        }
        let (since, mark) = (self.entries[number].config_watched, self.config_revision);
        // What an agent passes on reaches those that use its engine.
        for agent in self.tellers(UpdateAnnouncer::AllWatchers) {
            for other in 0..self.entries.len() {
                if !self.entries[other].agents.contains(&agent) || self.is_lost() {
                    continue;
                }
                let (now, entry) = (self.now, &mut self.entries[other]);
                if since <= entry.config_revision {
                    entry.config_revision = entry.config_revision.max(mark);
                    entry.config.record_own(revision(entry.config_revision));
                } else {
                    entry.config.record_announced(
                        revision(mark),
                        revision(entry.config_revision),
                        now,
                    );
                }
            }
        }
    }

    /// Notes how soon the entries have a change of the configuration.
    fn note_spread(&mut self) {
        let entries = &self.entries;
        let figures = &mut self.figures;
        let now = self.now;
        self.written.retain(|(written, at)| {
            let has = entries.iter().filter(|entry| entry.config_revision >= *written).count();
            let span = now.since(*at).as_millis() as u64;
            if has * 2 < entries.len() {
                figures.middle_ms = figures.middle_ms.max(span + STEP.as_millis() as u64);
            }
            if has < entries.len() {
                figures.last_ms = figures.last_ms.max(span + STEP.as_millis() as u64);
            }
            has < entries.len()
        });
    }
}

/// Figures of fleets of several sizes.
#[must_use]
pub fn measure(sizes: &[usize], seed: u64) -> Vec<ControlFigures> {
    sizes.iter().map(|size| play(ControlPlan::of(*size, seed))).collect()
}

/// A table of them.
#[must_use]
pub fn to_table(figures: &[ControlFigures]) -> String {
    let mut table = String::from(
        "| entries | at the start | list watches | caught up | configuration watches | \
         configuration reads | 1,000 datagrams | half have it, ms | all, ms |\n\
         |---|---|---|---|---|---|---|---|---|\n",
    );
    for row in figures {
        let ControlFigures { entries, start_calls, list_watches, catch_ups, .. } = row;
        let ControlFigures { config_watches, config_reads, kilo_datagrams, .. } = row;
        let ControlFigures { middle_ms, last_ms, .. } = row;
        // A text takes all that is written to it.
        let _ = writeln!(
            table,
            "| {entries} | {start_calls} | {list_watches} | {catch_ups} | {config_watches} | \
             {config_reads} | {kilo_datagrams} | {middle_ms} | {last_ms} |"
        );
    }
    table
}

//! Simulates the load of entries on the platform's store by fleet size, in virtual time.
//!
//! A few entries watch the target list and the configuration for all others. Entries exchange
//! updates with the product's own types ([`TargetListSync`], [`ConfigSync`]) through its agents
//! ([`SubscriberSet`]). The store, the loss of datagrams and the intervals between watches are
//! modelled; freshness proofs are not simulated.

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

/// Steps between two subscriptions of an entry.
const SUBSCRIBE_INTERVAL_STEPS: u64 = 15;

/// Steps between two decisions of an entry on whether it watches.
const DECIDE_INTERVAL_STEPS: u64 = 5;

/// Maximum number of engines that an entry uses.
const MAX_ENGINES_PER_ENTRY: usize = 64;

/// Fraction of datagrams that are lost.
const DATAGRAM_LOSS_RATE: f64 = 0.01;

/// Bytes of a changed target in a peer message (an assumption).
const CHANGE_BYTES: usize = 160;

/// Number of targets in a page of the list.
const LIST_PAGE_TARGETS: usize = 200;

/// Longest time for which a leaving target may receive requests.
const DRAIN_BOUND: Duration = Duration::from_secs(5);

/// Size of a simulated fleet and the changes made to it.
#[derive(Clone, Copy, Debug)]
pub struct ControlPlan {
    /// Number of entries.
    pub entries: usize,
    /// Number of engines, each with an agent.
    pub engines: usize,
    /// Fraction of the engines that is replaced.
    pub replaced: f64,
    /// Seed of the random numbers.
    pub seed: u64,
}

impl ControlPlan {
    /// Creates a fleet with `entries` entries and 1.5 times as many engines.
    #[must_use]
    pub fn with_entries(entries: usize, seed: u64) -> Self {
        ControlPlan { entries, engines: entries * 3 / 2, replaced: 0.04, seed }
    }
}

/// Calls to the store by kind, and the delays until entries receive changes.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct ControlFigures {
    /// Number of entries.
    pub entries: usize,
    /// Calls in the first 8 s, while the fleet starts.
    pub start_calls: u64,
    /// Answered watches of the target list after the start.
    pub list_watches: u64,
    /// Queries for missed changes of the target list.
    pub catch_ups: u64,
    /// Answered watches of the configuration.
    pub config_watches: u64,
    /// Reads of the configuration for missed changes.
    pub config_reads: u64,
    /// Datagrams sent, in thousands.
    pub kilo_datagrams: u64,
    /// Longest time until half of the entries had a configuration change, in ms.
    pub middle_ms: u64,
    /// Longest time until all entries had a configuration change, in ms.
    pub last_ms: u64,
}

impl ControlFigures {
    /// Returns the number of calls to the store after the start.
    #[must_use]
    pub fn later_calls(&self) -> u64 {
        self.list_watches + self.catch_ups + self.config_watches + self.config_reads
    }
}

/// End of the start phase, whose calls are counted separately.
const START_DURATION: Duration = Duration::from_secs(8);

/// Duration of the simulation; the last change is made before its end.
const DURATION: Duration = Duration::from_secs(30);

struct ControlEntry {
    address: SocketAddr,
    list: TargetListSync,
    config: ConfigSync,
    config_revision: u64,
    has_started: bool,
    /// Revisions from which its watches of the list and the configuration continue.
    watched: u64,
    config_watched: u64,
    next_list_call: Tick,
    next_config_call: Tick,
    agents: Vec<usize>,
}

struct ControlWorld {
    plan: ControlPlan,
    random: StdRng,
    now: Tick,
    entries: Vec<ControlEntry>,
    agents: Vec<SubscriberSet>,
    entry_numbers: HashMap<SocketAddr, usize>,
    /// Latest revisions in the store.
    list_revision: u64,
    config_revision: u64,
    listed: usize,
    /// Revisions of the configuration that not all entries have, with their time of writing.
    written: Vec<(u64, Tick)>,
    datagrams: u64,
    figures: ControlFigures,
}

fn revision(number: u64) -> StoreRevision {
    StoreRevision { epoch: 0, number }
}

/// Simulates a fleet.
///
/// The fleet starts, a fraction of its engines is replaced, and the configuration changes: twice
/// singly and then in a burst.
#[must_use]
pub fn simulate(plan: ControlPlan) -> ControlFigures {
    let mut world = ControlWorld::new(plan);
    let steps = DURATION.as_millis() / STEP.as_millis();
    for step in 0..steps as u64 {
        world.now = Tick::default() + STEP * step as u32;
        world.apply_changes(step);
        for entry in 0..world.entries.len() {
            world.step_entry(entry, step);
        }
        world.record_delays();
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
                    next_list_call: Tick::default(),
                    next_config_call: Tick::default(),
                    agents: order.iter().take(MAX_ENGINES_PER_ENTRY).copied().collect(),
                }
            })
            .collect();
        let entry_numbers =
            entries.iter().enumerate().map(|(number, entry)| (entry.address, number));
        ControlWorld {
            entry_numbers: entry_numbers.collect(),
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

    /// Applies the writes of the operator and the engines to the store.
    fn apply_changes(&mut self, step: u64) {
        const SECOND: u64 = 20;
        // All engines register in the first 1.5 s.
        let due = (step as usize * self.plan.engines / 30).min(self.plan.engines);
        self.list_revision += (due - self.listed) as u64;
        self.listed = due;
        // A rollout: each replaced engine is listed as leaving, removed, and listed again.
        let (from, to) = (9 * SECOND, 19 * SECOND);
        if (from..to).contains(&step) {
            let changes = 3.0 * self.plan.replaced * self.plan.engines as f64;
            let made_before = (changes * (step - from) as f64 / (to - from) as f64) as u64;
            let made_after = (changes * (step + 1 - from) as f64 / (to - from) as f64) as u64;
            self.list_revision += made_after - made_before;
        }
        let is_burst = (22 * SECOND..24 * SECOND).contains(&step) && step.is_multiple_of(7);
        if step == 12 * SECOND || step == 16 * SECOND || is_burst {
            self.config_revision += 1;
            self.written.push((self.config_revision, self.now));
        }
    }

    fn is_started(&self) -> bool {
        self.now >= Tick::default() + START_DURATION
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
            // All entries start within 0.3 s.
            if self.random.random_range(0..6) == 0 || step >= 6 {
                self.start(number);
            }
            return;
        }
        if (step + number as u64).is_multiple_of(SUBSCRIBE_INTERVAL_STEPS) {
            self.subscribe(number);
        }
        if (step + number as u64).is_multiple_of(DECIDE_INTERVAL_STEPS) {
            self.decide_watch(number);
        }
        self.follow_list(number);
        self.follow_config(number);
    }

    fn start(&mut self, number: usize) {
        let pages = self.listed.div_ceil(LIST_PAGE_TARGETS).max(1) as u64;
        self.count(pages + 1, |figures| &mut figures.start_calls);
        let list = revision(self.list_revision);
        let entry = &mut self.entries[number];
        entry.has_started = true;
        entry.list.record_list(list, list, self.now);
        entry.watched = self.list_revision;
        entry.config_revision = self.config_revision;
        entry.config_watched = self.config_revision;
    }

    fn subscribe(&mut self, number: usize) {
        let entry = &self.entries[number];
        let watched_revision = entry.list.is_watching().then_some(entry.list.announced());
        let confirmed_revision = Some(revision(entry.config_revision));
        let entry_id = number as u64;
        let message = PeerMessage::Subscribe {
            entry: entry_id,
            proof_age_ms: None,
            watched_revision,
            confirmed_revision,
            version_in_force: None,
        };
        let from = entry.address;
        let mut agents = entry.agents.clone();
        agents.retain(|agent| *agent < self.listed);
        for agent in agents {
            if self.is_datagram_lost() {
                continue;
            }
            for out in self.agents[agent].on_message(&message, from, 100, self.now) {
                self.deliver(out.to, &out.message, 1);
            }
        }
    }

    /// Delivers a peer message of the given number of datagrams to an entry, unless one is lost.
    fn deliver(&mut self, to: SocketAddr, message: &PeerMessage, datagrams: usize) {
        let is_lost = (0..datagrams).any(|_| self.is_datagram_lost());
        let Some(number) = self.entry_numbers.get(&to).copied().filter(|_| !is_lost) else {
            return;
        };
        let now = self.now;
        let entry = &mut self.entries[number];
        match message {
            PeerMessage::SubscriptionAck {
                watchers, watched_revision, confirmed_revision, ..
            } => {
                entry.list.record_agent_report(*watchers, *watched_revision, now);
                if let Some(confirmed) = confirmed_revision {
                    entry.config.record_announced(*confirmed, revision(entry.config_revision), now);
                }
            }
            PeerMessage::TargetListChanged(update) => {
                entry.list.apply_update(update, now);
            }
            _ => {}
        }
    }

    fn is_datagram_lost(&mut self) -> bool {
        self.datagrams += 1;
        self.random.random_bool(DATAGRAM_LOSS_RATE)
    }

    fn decide_watch(&mut self, number: usize) {
        let reached_fraction =
            MAX_ENGINES_PER_ENTRY.min(self.listed) as f64 / self.listed.max(1) as f64;
        let jitters: [f64; 2] = [self.random.random(), self.random.random()];
        let entries = self.plan.entries;
        let entry = &mut self.entries[number];
        let is_changed = entry.list.choose_initial_watchers(self.listed, jitters[0], self.now)
            || entry.list.decide_watching(reached_fraction, entries, jitters[1], self.now);
        if is_changed && entry.list.is_watching() {
            entry.watched = entry.watched.max(entry.list.known_up_to().number);
            self.count(1, |figures| &mut figures.config_reads);
        }
    }

    fn follow_list(&mut self, number: usize) {
        let now = self.now;
        let entry = &self.entries[number];
        if now < entry.next_list_call {
            return;
        }
        let is_watching = entry.list.is_watching();
        let has_update = is_watching && self.list_revision > entry.watched;
        let is_behind = !is_watching && entry.list.is_behind(now);
        if !has_update && !is_behind {
            return;
        }
        if has_update {
            self.count(1, |figures| &mut figures.list_watches);
            self.announce_list(number);
        } else {
            self.count(1, |figures| &mut figures.catch_ups);
        }
        let entry = &mut self.entries[number];
        entry.watched = self.list_revision;
        entry.next_list_call = now + list_watch_delay(now.since(Tick::default()), DRAIN_BOUND);
        if is_watching {
            entry.list.record_watched(revision(self.list_revision));
        } else {
            entry.list.record_caught_up(revision(self.list_revision));
        }
    }

    fn announce_list(&mut self, number: usize) {
        let entry = &self.entries[number];
        let since = entry.list.known_up_to().number.max(entry.watched);
        if since >= self.list_revision || !entry.list.should_announce(self.random.random()) {
            return;
        }
        let changes = (self.list_revision - since) as usize;
        let update = TargetListUpdate {
            since: revision(since),
            revision: revision(self.list_revision),
            age_ms: 0,
            changes: Vec::new(),
            is_difference: false,
        };
        let announced = update.revision;
        self.send_update(number, &PeerMessage::TargetListChanged(update), changes * CHANGE_BYTES);
        self.entries[number].list.record_announced(announced);
    }

    /// Sends a peer message of `bytes` bytes to the other entries through a few relay agents.
    fn send_update(&mut self, number: usize, message: &PeerMessage, bytes: usize) {
        let datagrams = bytes.div_ceil(MAX_DATAGRAM_BYTES).max(1);
        let from = self.entries[number].address;
        for agent in self.choose_relay_agents(UpdateAnnouncer::OneEntry) {
            for out in self.agents[agent].on_message(message, from, 100, self.now) {
                self.deliver(out.to, &out.message, datagrams);
            }
        }
    }

    /// Picks the relay agents for the updates of an entry.
    fn choose_relay_agents(&mut self, announcer: UpdateAnnouncer) -> Vec<usize> {
        let count = announcer.relay_agents(MAX_ENGINES_PER_ENTRY.min(self.listed), self.listed);
        let mut agents: Vec<usize> = (0..self.listed).collect();
        agents.shuffle(&mut self.random);
        agents.truncate(count);
        agents
    }

    fn follow_config(&mut self, number: usize) {
        let now = self.now;
        let entry = &self.entries[number];
        if now < entry.next_config_call {
            return;
        }
        let is_watching = entry.list.is_watching();
        if is_watching && self.config_revision > entry.config_watched {
            self.count(1, |figures| &mut figures.config_watches);
            self.announce_config(number);
        } else if entry.config.is_behind(is_watching, now) {
            self.count(1, |figures| &mut figures.config_reads);
        } else {
            return;
        }
        let newest = self.config_revision;
        let entry = &mut self.entries[number];
        entry.config_watched = newest;
        entry.config_revision = newest;
        entry.next_config_call = now + MIN_WATCH_INTERVAL;
        entry.config.record_read(revision(newest));
    }

    fn announce_config(&mut self, number: usize) {
        if !self.entries[number].list.should_announce(self.random.random()) {
            return;
        }
        let (since, newest) = (self.entries[number].config_watched, self.config_revision);
        // An agent relays updates to the entries that use its engine.
        for agent in self.choose_relay_agents(UpdateAnnouncer::AllWatchers) {
            for other in 0..self.entries.len() {
                if !self.entries[other].agents.contains(&agent) || self.is_datagram_lost() {
                    continue;
                }
                let (now, entry) = (self.now, &mut self.entries[other]);
                if since <= entry.config_revision {
                    entry.config_revision = entry.config_revision.max(newest);
                    entry.config.record_own(revision(entry.config_revision));
                } else {
                    entry.config.record_announced(
                        revision(newest),
                        revision(entry.config_revision),
                        now,
                    );
                }
            }
        }
    }

    /// Records the delays until entries have configuration changes.
    fn record_delays(&mut self) {
        let entries = &self.entries;
        let figures = &mut self.figures;
        let now = self.now;
        self.written.retain(|(written, at)| {
            let updated = entries.iter().filter(|entry| entry.config_revision >= *written).count();
            let delay = now.since(*at).as_millis() as u64;
            if updated * 2 < entries.len() {
                figures.middle_ms = figures.middle_ms.max(delay + STEP.as_millis() as u64);
            }
            if updated < entries.len() {
                figures.last_ms = figures.last_ms.max(delay + STEP.as_millis() as u64);
            }
            updated < entries.len()
        });
    }
}

/// Simulates fleets of several sizes.
#[must_use]
pub fn measure(sizes: &[usize], seed: u64) -> Vec<ControlFigures> {
    sizes.iter().map(|size| simulate(ControlPlan::with_entries(*size, seed))).collect()
}

/// Formats the figures as a Markdown table.
#[must_use]
pub fn to_table(figures: &[ControlFigures]) -> String {
    let mut table = String::from(
        "| entries | start calls | list watches | catch-ups | configuration watches | \
         configuration reads | 1,000 datagrams | half updated, ms | all updated, ms |\n\
         |---|---|---|---|---|---|---|---|---|\n",
    );
    for row in figures {
        let ControlFigures { entries, start_calls, list_watches, catch_ups, .. } = row;
        let ControlFigures { config_watches, config_reads, kilo_datagrams, .. } = row;
        let ControlFigures { middle_ms, last_ms, .. } = row;
        // Writing to a `String` is infallible.
        let _ = writeln!(
            table,
            "| {entries} | {start_calls} | {list_watches} | {catch_ups} | {config_watches} | \
             {config_reads} | {kilo_datagrams} | {middle_ms} | {last_ms} |"
        );
    }
    table
}

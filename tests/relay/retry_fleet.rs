//! Retries of a fleet in virtual time: the bound over all entries holds in every window.

use std::collections::VecDeque;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use shalelane::relay::decide::permit_issuer::PermitReply;
use shalelane::relay::decide::retry_budget::{MAX_ARRIVAL_DELAY, RetryBound, RetryBudget};
use shalelane::relay::decide::shared_retry_budget::{
    RetryDeposit, RetryGrantRequest, SharedRetryBudget,
};
use shalelane::relay::decide::slack_share::SlackShare;
use shalelane::time::Tick;

use crate::fixture::{at, check, name};

const BOUND: RetryBound = RetryBound { ratio: 0.2, slack: 100.0, window: Duration::from_secs(10) };

/// Length of the bound's window, in milliseconds.
const WINDOW: u64 = 10_000;

/// Interval of deposits, in milliseconds.
const DEPOSIT_INTERVAL: u64 = 500;

fn request(paid: u64) -> RetryGrantRequest {
    let service = name("plain");
    RetryGrantRequest { service, slack: BOUND.slack, window_ms: WINDOW as u32, paid }
}

fn is_granted(reply: PermitReply) -> bool {
    matches!(reply, PermitReply::Granted { .. })
}

/// Times of the requests of a fleet and of the arrivals of its retries, in milliseconds.
#[derive(Default)]
struct FleetCount {
    requests: Vec<u64>,
    arrivals: Vec<u64>,
}

impl FleetCount {
    /// Asserts the bound in every window. The requests are counted in the window, in the one
    /// before it and in the one half a window before it, and the largest count holds.
    fn assert_within(mut self, bound: RetryBound, what: &str) {
        self.requests.sort_unstable();
        self.arrivals.sort_unstable();
        let count = |times: &[u64], from: u64| {
            times.partition_point(|time| *time < from + WINDOW)
                - times.partition_point(|time| *time < from)
        };
        let mut nearest = 0.0_f64;
        for from in &self.arrivals {
            let references = [*from, from - WINDOW, from - WINDOW / 2];
            let requests = references.map(|from| count(&self.requests, from));
            let allowed = bound.ratio * *requests.iter().max().unwrap() as f64 + bound.slack;
            let arrivals = count(&self.arrivals, *from);
            nearest = nearest.max(arrivals as f64 / allowed);
            assert!(arrivals as f64 <= allowed, "{what}: {arrivals} of {allowed} from {from} ms");
        }
        println!("{what}: {nearest:.2} of the bound");
    }
}

/// An entry with its own view of the agents.
struct EntryModel {
    incarnation: u64,
    started_at: u64,
    budget: RetryBudget,
    share: SlackShare,
    next_deposit: u64,
    agents: Vec<usize>,
}

impl EntryModel {
    fn start(incarnation: u64, agents: Vec<usize>, now: u64) -> Self {
        EntryModel {
            incarnation,
            started_at: now,
            budget: RetryBudget::new(BOUND),
            share: SlackShare::default(),
            next_deposit: now,
            agents,
        }
    }

    /// The clock of a process starts with it.
    fn clock(&self, now: u64) -> Tick {
        at(now - self.started_at)
    }
}

struct AgentModel {
    started_at: u64,
    frozen_until: u64,
    budget: SharedRetryBudget,
    /// Deposits that arrived while it was frozen.
    inbox: VecDeque<RetryDeposit>,
}

impl AgentModel {
    fn start(now: u64) -> Self {
        let budget = SharedRetryBudget::default();
        AgentModel { started_at: now, frozen_until: now, budget, inbox: VecDeque::new() }
    }

    fn clock(&self, now: u64) -> Tick {
        at(now - self.started_at)
    }

    fn wake(&mut self, now: u64) {
        let clock = self.clock(now);
        for deposit in self.inbox.drain(..) {
            self.budget.on_deposit(&deposit, clock);
        }
        self.budget.expire(clock);
    }
}

/// What happens to a fleet, as probabilities for each process in each step.
#[derive(Clone, Copy, Debug, Default)]
struct Disruptions {
    entry_restarts: f64,
    agent_restarts: f64,
    agent_freezes: f64,
    view_changes: f64,
    lost_deposits: f64,
    duplicate_deposits: f64,
}

/// Length of a step, in milliseconds.
const STEP: u64 = 50;

/// A fleet of entries and agents in virtual time.
struct FleetModel {
    random: StdRng,
    entries: Vec<EntryModel>,
    agents: Vec<AgentModel>,
    incarnations: u64,
    now: u64,
    count: FleetCount,
}

impl FleetModel {
    fn start(entries: usize, agents: usize, seed: u64) -> Self {
        let mut model = FleetModel {
            random: StdRng::seed_from_u64(seed),
            entries: Vec::new(),
            agents: (0..agents).map(|_| AgentModel::start(0)).collect(),
            incarnations: 0,
            now: 2 * WINDOW,
            count: FleetCount::default(),
        };
        for _ in 0..entries {
            let entry = model.new_entry();
            model.entries.push(entry);
        }
        model
    }

    fn new_entry(&mut self) -> EntryModel {
        self.incarnations += 1;
        EntryModel::start(self.incarnations, self.new_view(), self.now)
    }

    /// Four of the agents, in any order.
    fn new_view(&mut self) -> Vec<usize> {
        (0..self.agents.len()).choose_multiple(&mut self.random, 4)
    }

    fn disrupt(&mut self, disruptions: &Disruptions) {
        let now = self.now;
        for index in 0..self.entries.len() {
            if self.random.random_bool(disruptions.entry_restarts) {
                self.entries[index] = self.new_entry();
            }
            if self.random.random_bool(disruptions.view_changes) {
                self.entries[index].agents = self.new_view();
            }
        }
        for agent in &mut self.agents {
            if self.random.random_bool(disruptions.agent_restarts) {
                *agent = AgentModel::start(now);
            }
            if self.random.random_bool(disruptions.agent_freezes) {
                agent.frozen_until = now + self.random.random_range(500..12_000);
            }
        }
    }

    fn deposit(&mut self, disruptions: &Disruptions) {
        let (now, entries) = (self.now, self.entries.len());
        for entry in self.entries.iter_mut().filter(|entry| entry.next_deposit <= now) {
            entry.next_deposit = now + DEPOSIT_INTERVAL;
            let clock = entry.clock(now);
            entry.share.record_entries(entries, clock);
            let Some(deposit) = entry.share.take_deposit(entry.incarnation, clock) else {
                continue;
            };
            let agent = entry.agents.iter().choose(&mut self.random).unwrap();
            if self.random.random_bool(disruptions.lost_deposits) {
                continue;
            }
            let inbox = &mut self.agents[*agent].inbox;
            inbox.push_back(deposit.clone());
            if self.random.random_bool(disruptions.duplicate_deposits) {
                inbox.push_back(deposit);
            }
        }
        for agent in self.agents.iter_mut().filter(|agent| agent.frozen_until <= now) {
            agent.wake(now);
        }
    }

    /// Acquires a retry at an entry; it arrives some time later.
    fn retry(&mut self, entry: usize) -> bool {
        let now = self.now;
        let entry = &mut self.entries[entry];
        let is_own = entry.budget.take(entry.clock(now));
        let own_credit = entry.budget.withdraw(entry.clock(now));
        let request = request(own_credit.amount());
        let is_acquired = is_own
            || entry.agents.iter().any(|agent| {
                let agent = &mut self.agents[*agent];
                let clock = agent.clock(now);
                agent.frozen_until <= now && is_granted(agent.budget.on_request(&request, clock))
            });
        if is_own || !is_acquired {
            entry.budget.put_back(own_credit);
        }
        if is_acquired {
            let delay = self.random.random_range(0..=MAX_ARRIVAL_DELAY.as_millis() as u64 / STEP);
            self.count.arrivals.push(now + delay * STEP);
        }
        is_acquired
    }

    /// Lets each of some entries read a request that fails again and again.
    fn fail_requests(&mut self, requests: usize) {
        for _ in 0..requests {
            let entry = self.random.random_range(0..self.entries.len());
            let clock = self.entries[entry].clock(self.now);
            self.entries[entry].budget.record_request(clock);
            self.count.requests.push(self.now);
            for _ in 0..4 {
                self.retry(entry);
            }
        }
    }

    fn run(&mut self, seconds: u64, disruptions: &Disruptions, mut load: impl FnMut(u64) -> usize) {
        let end = self.now + seconds * 1_000;
        while self.now < end {
            self.disrupt(disruptions);
            self.deposit(disruptions);
            self.fail_requests(load(self.now));
            self.now += STEP;
        }
    }
}

const ALL_DISRUPTIONS: Disruptions = Disruptions {
    entry_restarts: 0.01,
    agent_restarts: 0.01,
    agent_freezes: 0.005,
    view_changes: 0.02,
    lost_deposits: 0.1,
    duplicate_deposits: 0.3,
};

#[test]
fn all_entries_together_stay_within_the_bound() {
    fn property(steps: Vec<(u8, u8, bool)>) -> bool {
        let mut model = FleetModel::start(5, 1, 1);
        model.run(30, &Disruptions::default(), |_| 0);
        for (entry, wait, is_request) in steps {
            model.now += u64::from(wait);
            model.deposit(&Disruptions::default());
            let entry = usize::from(entry) % model.entries.len();
            if is_request {
                let clock = model.entries[entry].clock(model.now);
                model.entries[entry].budget.record_request(clock);
                model.count.requests.push(model.now);
            } else {
                model.retry(entry);
            }
        }
        model.count.assert_within(BOUND, "any steps");
        true
    }
    check(property as fn(Vec<(u8, u8, bool)>) -> bool);
}

/// Processes restart, agents freeze, entries see different agents, and deposits are lost or arrive
/// twice: each of these alone, and all together.
#[test]
fn any_mix_of_disruptions_stays_within_the_bound() {
    let none = Disruptions::default();
    let mixes = [
        none,
        Disruptions { entry_restarts: 0.05, ..none },
        Disruptions { agent_restarts: 0.05, ..none },
        Disruptions { agent_freezes: 0.02, ..none },
        Disruptions { view_changes: 0.1, ..none },
        Disruptions { duplicate_deposits: 1.0, ..none },
        ALL_DISRUPTIONS,
    ];
    for (entries, agents) in [(1, 4), (5, 4), (30, 60), (402, 585)] {
        for (seed, disruptions) in mixes.iter().enumerate() {
            let mut model = FleetModel::start(entries, agents, seed as u64);
            model.run(20, disruptions, |_| 0);
            model.run(15, disruptions, |_| 4);
            // Idle, then a burst that ends after a part of a window.
            model.run(8, disruptions, |_| 0);
            model.run(6, disruptions, |_| 20);
            model.run(10, disruptions, |_| 1);
            let what = format!("{entries} entries, seed {seed}, {disruptions:?}");
            model.count.assert_within(BOUND, &what);
        }
    }
}

/// Processes restart at the same moment, again and again.
#[test]
fn restarts_in_series_stay_within_the_bound() {
    for (restarts_entries, restarts_agents) in [(true, false), (false, true), (true, true)] {
        for interval in [300, 700, 1_400, 5_000] {
            let mut model = FleetModel::start(30, 60, interval);
            model.run(20, &Disruptions::default(), |_| 0);
            for step in 0..400 {
                if (step * STEP).is_multiple_of(interval) && restarts_agents {
                    let now = model.now;
                    model.agents.fill_with(|| AgentModel::start(now));
                }
                if (step * STEP).is_multiple_of(interval) && restarts_entries {
                    let entries = model.entries.len();
                    model.entries = (0..entries).map(|_| model.new_entry()).collect();
                }
                model.deposit(&Disruptions::default());
                model.fail_requests(5);
                model.now += STEP;
            }
            model.count.assert_within(BOUND, &format!("restarts each {interval} ms"));
        }
    }
}

/// The bound must not be kept by refusing what it allows: a fleet without disruptions makes three
/// quarters of the retries of a window, and three tenths of the slack at once.
#[test]
fn callers_get_most_of_what_the_bound_allows() {
    for (entries, agents) in [(5, 4), (30, 4), (402, 4)] {
        let mut model = FleetModel::start(entries, agents, 7);
        for entry in &mut model.entries {
            entry.agents = vec![0, 1, 2, 3];
        }
        model.run(20, &Disruptions::default(), |_| 0);
        model.fail_requests(100);
        let at_once = model.count.arrivals.len();
        assert!(at_once as f64 >= BOUND.slack * 0.3, "{entries} entries: {at_once} at once");
        model.run(10, &Disruptions::default(), |_| 1);
        let all = model.count.arrivals.len();
        assert!(all as f64 >= BOUND.slack * 0.75, "{entries} entries: {all} in a window");
        model.count.assert_within(BOUND, &format!("{entries} entries"));
    }
}

/// The whole bound is not spent before a retry arrives: one that is held up for the longest time
/// counts in a later window.
#[test]
fn retries_that_arrive_late_stay_within_the_bound() {
    let mut budget = RetryBudget::new(BOUND);
    let mut count = FleetCount::default();
    let delay = MAX_ARRIVAL_DELAY.as_millis() as u64;
    for step in 0..800 {
        let now = 100_000 + step * STEP;
        for _ in 0..10 {
            budget.record_request(at(now));
            count.requests.push(now);
        }
        while budget.take(at(now)) {
            // All that is acquired within the longest delay arrives at its end.
            let held_until = now.next_multiple_of(delay);
            count.arrivals.push(held_until);
        }
    }
    count.assert_within(RetryBound { slack: 0.0, ..BOUND }, "late arrivals");
}

/// Half of the entries fail at the start of a window with the requests of the one before, and
/// half at its end.
#[test]
fn entries_that_spend_at_both_ends_of_a_window_stay_within_the_bound() {
    let mut count = FleetCount::default();
    for (half, from) in [(0, 100_000), (1, 109_900)] {
        let mut budgets: Vec<_> = (0..15).map(|_| RetryBudget::new(BOUND)).collect();
        for step in 0..99 {
            let now = from + step * 100;
            for budget in &mut budgets {
                for _ in 0..3 {
                    budget.record_request(at(now));
                    count.requests.push(now);
                }
            }
        }
        let now = from + 9_900;
        for budget in &mut budgets {
            while budget.take(at(now)) {
                count.arrivals.push(now);
            }
        }
        assert!(!count.arrivals.is_empty(), "half {half}");
    }
    count.assert_within(RetryBound { slack: 0.0, ..BOUND }, "both ends");
}

//! Which engines read a prompt together, and which of them writes its answer.
//!
//! The load that it answers: prompts of a thousand to a million tokens at the same
//! engines. A prompt goes where it costs least: what its own answer loses by coming
//! late, what writers and prompts in line lose by it, and what its engines' time is
//! worth to requests to come. Long prompts are read jointly by several engines, so
//! that no pass grows long.

use std::collections::BTreeMap;
use std::time::Duration;

use super::engine_rates::EngineRates;
use super::loss::{FIRST_PART, LATE_LOSS, pause_loss};
use super::pass_outlook::{JointRead, PassForecast, PassOutlook};
use super::placement::{
    MemorySeat, Placement, PlacementQuery, PromptNeed, SHORT_TOKENS, candidates, scarce_cost,
};
use super::policy::RelayPolicy;
use super::stream_load::{StreamKey, StreamLoad};
use super::targets::{TargetSet, TargetState};
use crate::time::Tick;

/// Numbers of engines that are tried for a prompt.
const GROUP_SIZES: [usize; 11] = [1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 17];

/// Part of an engine's free memory that a prompt may be given: what others
/// take at the same moment is not known yet.
const MEMORY_PART: f64 = 0.9;

/// A target, and what is known of its passes.
struct EngineOutlook<'a> {
    target: &'a TargetState,
    outlook: PassOutlook<'a>,
}

/// An engine that was weighed for a prompt or a part of one.
#[derive(Clone)]
struct Candidate<'a> {
    target: &'a TargetState,
    forecast: PassForecast,
    /// What its reading costs the prompt and others.
    cost: f32,
}

impl Candidate<'_> {
    fn free_memory(&self, all: u64) -> u64 {
        (all.saturating_sub(self.forecast.memory) as f64 * MEMORY_PART) as u64
    }
}

/// Chooses engines for a prompt, none where no engine can take it.
#[must_use]
pub fn place_prompt(
    set: &TargetSet,
    query: &PlacementQuery<'_>,
    need: &PromptNeed,
    now: Tick,
) -> Option<Placement> {
    let search = GroupSearch::new(set, query, need, now)?;
    let mut best: Option<Placement> = None;
    for size in GROUP_SIZES {
        if !search.permits(size) {
            break;
        }
        let Some(placement) = search.best_of_size(size) else { continue };
        if best.as_ref().is_none_or(|best| placement.cost < best.cost) {
            best = Some(placement);
        }
    }
    let read_cost = search.price * search.read.as_secs_f32();
    best.map(|best| Placement { claim: best.claim + read_cost, ..best })
}

/// When prompts that are read jointly could start: when the last of their parts is
/// read, as far as engines are known here.
#[derive(Debug, Default)]
struct JointStarts(BTreeMap<StreamKey, Duration>);

impl JointStarts {
    fn from_engines(engines: &[EngineOutlook<'_>]) -> Self {
        let mut starts = JointStarts::default();
        for joint in engines.iter().flat_map(|engine| engine.outlook.joint_reads()) {
            let start = starts.0.entry(joint.key).or_default();
            *start = joint.first.max(*start);
        }
        starts
    }

    /// What a joint prompt loses by a part that is read later.
    fn harm(&self, joint: &JointRead) -> f32 {
        joint.harm(self.0.get(&joint.key).copied().unwrap_or_default())
    }

    /// What others lose where one engine takes a load.
    fn engine_harm(&self, forecast: &PassForecast) -> f32 {
        forecast.harm + forecast.joint.iter().map(|joint| self.harm(joint)).sum::<f32>()
    }

    /// What others lose where a group of engines takes a prompt. A joint prompt that
    /// has parts at several of them is late once, by the engine that makes it latest:
    /// 0.939 instead of 0.926 of all worth in replayed turns of 15 s, mean of 12 seeds.
    fn group_harm<'a>(&self, group: impl Iterator<Item = &'a PassForecast>) -> f32 {
        let mut latest: BTreeMap<StreamKey, f32> = BTreeMap::new();
        let mut harm = 0.0;
        for forecast in group {
            harm += forecast.harm;
            for joint in &forecast.joint {
                let known = latest.entry(joint.key).or_default();
                *known = known.max(self.harm(joint));
            }
        }
        harm + latest.values().sum::<f32>()
    }
}

/// A search for the engines of one prompt.
struct GroupSearch<'a> {
    query: &'a PlacementQuery<'a>,
    need: &'a PromptNeed,
    engines: Vec<EngineOutlook<'a>>,
    rates: &'a EngineRates,
    starts: JointStarts,
    /// Time to read the whole prompt at one engine.
    read: Duration,
    /// What a second of an engine's time is worth.
    price: f32,
}

impl<'a> GroupSearch<'a> {
    fn new(
        set: &'a TargetSet,
        query: &'a PlacementQuery<'a>,
        need: &'a PromptNeed,
        now: Tick,
    ) -> Option<Self> {
        let mut targets = candidates(set, query, now);
        // Among engines that cost the same, each entry takes others first.
        targets.sort_by_key(|target| query.rank(&target.record.incarnation));
        let engines: Vec<_> = targets
            .into_iter()
            .filter_map(|target| {
                let model = target.model.as_ref()?;
                Some(EngineOutlook { target, outlook: model.outlook(now) })
            })
            .collect();
        let rates = engines.first()?.outlook.rates;
        Some(GroupSearch {
            query,
            need,
            rates,
            starts: JointStarts::from_engines(&engines),
            read: rates.read_time(need.prompt),
            price: engine_price(&engines, query.policy),
            engines,
        })
    }

    /// Returns true where so many engines may read the prompt.
    fn permits(&self, size: usize) -> bool {
        let policy = self.query.policy;
        let shortest = Duration::from_millis(policy.min_part_ms);
        let is_worth_it = size == 1 || self.read / size as u32 >= shortest;
        size <= self.engines.len() && size <= policy.most_helpers + 1 && is_worth_it
    }

    /// The best group of `size` engines: the one that writes, and helpers.
    fn best_of_size(&self, size: usize) -> Option<Placement> {
        let GroupSearch { need, rates, .. } = self;
        let policy = self.query.policy;
        let load = need.to_load(self.read, size, 1, rates.passes(need.answer));
        let writer = self.best_writer(&load, size)?;
        let mut helpers = self.best_helpers(size, &writer)?;
        let seats = plan_memory(need, rates.memory_tokens, &writer, &mut helpers)?;
        let group = || helpers.iter().chain([&writer]).map(|member| &member.forecast);
        let start = group().map(|forecast| forecast.read).max()?;
        let harm = self.starts.group_harm(group()) * policy.harm_weight;
        let group_cost = need.value() * policy.helper_cost * helpers.len() as f32;
        let own = self.writer_cost(&writer) + need.time_cost(start);
        let claim = self.claim(&writer, &load);
        let names = helpers.iter().map(|helper| helper.target.record.incarnation.clone());
        Some(Placement {
            target: writer.target.record.incarnation.clone(),
            helpers: names.collect(),
            seats,
            first: start,
            cost: own + claim + harm + group_cost,
            harm,
            own: own.min(need.value() * LATE_LOSS),
            claim,
            candidates: self.engines.len(),
            turn_until: None,
        })
    }

    /// The engine that writes best, among those that have memory for the least that
    /// one of `size` engines may hold: 0 instead of 267 refusals of 2,442 short prompts
    /// in replayed turns of 3 s.
    fn best_writer(&self, load: &StreamLoad, size: usize) -> Option<Candidate<'a>> {
        let least = (self.need.prompt + self.need.answer).div_ceil(size as u64);
        let has_room =
            |member: &Candidate<'_>| member.free_memory(self.rates.memory_tokens) >= least;
        let cost = |member: &Candidate<'_>| {
            self.writer_cost(member) + self.claim(member, load) + member.cost
        };
        let writers = self.weigh(load).into_iter().filter(has_room);
        writers.min_by(|a, b| cost(a).total_cmp(&cost(b)))
    }

    fn best_helpers(&self, size: usize, writer: &Candidate<'_>) -> Option<Vec<Candidate<'a>>> {
        if size == 1 {
            return Some(Vec::new());
        }
        let mut helpers = self.weigh(&self.need.to_helper_load(self.read, size));
        // Its part would reach one that takes few requests without a permit.
        let may_help = |helper: &Candidate<'_>| helper.target.rate.is_none();
        helpers.retain(|helper| !std::ptr::eq(helper.target, writer.target) && may_help(helper));
        helpers.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        helpers.truncate(size - 1);
        (helpers.len() == size - 1).then_some(helpers)
    }

    /// What a load would come to at each engine.
    fn weigh(&self, load: &StreamLoad) -> Vec<Candidate<'a>> {
        let weighed = self.engines.iter().map(|engine| {
            let forecast = engine.outlook.forecast(load);
            let harm = self.starts.engine_harm(&forecast) * self.query.policy.harm_weight;
            let cost = harm + self.need.time_cost(forecast.read);
            Candidate { target: engine.target, forecast, cost }
        });
        weighed.collect()
    }

    /// What requests to come lose by the place and the time of the engine that
    /// writes. Where others write already, one more takes hardly any time: 0.830
    /// instead of 0.810 of all worth in a replayed burst of long prompts, mean of 12
    /// seeds.
    fn claim(&self, writer: &Candidate<'_>, load: &StreamLoad) -> f32 {
        let policy = self.query.policy;
        let capacity = writer.target.record.capacity;
        let active = writer.forecast.active;
        let queue = policy.queue_cost * (active + 1).saturating_sub(capacity) as f32;
        if active > 0 {
            return queue;
        }
        let write_ms = self.rates.write_ms(1, load.context) * f64::from(load.passes);
        let share = policy.writer_share / capacity.max(1) as f32;
        queue + self.price * share * write_ms as f32 / 1e3
    }

    /// What it costs that a member writes, beside the reading.
    fn writer_cost(&self, writer: &Candidate<'_>) -> f32 {
        let PlacementQuery { policy, failure_domain, .. } = self.query;
        let need = self.need;
        let record = &writer.target.record;
        let &PassForecast { active, steady, pause, .. } = &writer.forecast;
        let capacity = record.capacity;
        let mut cost = pause_loss(need.value(), pause, need.longest_pause);
        cost += scarce_cost(writer.target, policy);
        if steady.as_secs_f64() > need.longest_pause.as_secs_f64() * FIRST_PART {
            cost += need.value() * LATE_LOSS;
        }
        if *record.failure_domain != **failure_domain {
            cost += policy.distance_cost;
        }
        if active < capacity {
            let more_free = (capacity - active) as i32 - 1;
            cost += policy.near_full_cost * policy.near_full_decay.powi(more_free);
        }
        if active < capacity && need.prompt <= SHORT_TOKENS && writer.target.rate.is_none() {
            let packed = active.min(capacity - capacity / policy.kept_free_divisor);
            cost -= policy.packing_gain * packed as f32;
            cost += policy.spread * self.query.preference(&record.incarnation);
        }
        cost
    }
}

/// What requests to come lose by a second of an engine's time: nothing while
/// engines have nothing to read, and more the longer their lines are.
fn engine_price(engines: &[EngineOutlook<'_>], policy: &RelayPolicy) -> f32 {
    let lines = engines.iter().map(|engine| engine.outlook.time_in_line().as_secs_f32());
    let backlog = lines.sum::<f32>() / engines.len() as f32;
    let half = Duration::from_millis(policy.half_price_backlog_ms).as_secs_f32();
    policy.engine_price * backlog / (backlog + half)
}

/// Spreads the memory of a prompt that is larger than the writer's over as few
/// helpers as can hold it, and puts these first. None where they can not.
fn plan_memory(
    need: &PromptNeed,
    all: u64,
    writer: &Candidate<'_>,
    helpers: &mut [Candidate<'_>],
) -> Option<Vec<MemorySeat>> {
    let memory = need.prompt + need.answer;
    let own = writer.free_memory(all);
    if memory <= own {
        return Some(Vec::new());
    }
    helpers.sort_by_key(|helper| std::cmp::Reverse(helper.free_memory(all)));
    for count in 1..=helpers.len() {
        let share = memory.div_ceil(count as u64 + 1);
        if share <= own && share <= helpers[count - 1].free_memory(all) {
            let holders = helpers[..count].iter();
            let seats = holders.map(|helper| MemorySeat {
                target: helper.target.record.incarnation.clone(),
                tokens: share,
            });
            return Some(seats.collect());
        }
    }
    None
}

//! Which targets get a request.
//!
//! A plain call goes to the least busy target, nearby ones first. A prompt goes
//! where it costs least: what its own answer loses by coming late, and what the
//! writers there lose by the pass that reads it. Long prompts are read jointly
//! by several engines, so that no pass grows long.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::loss::{FIRST_PART, LATE_LOSS, first_event_loss, pause_loss};
use super::pass_model::{StreamKey, StreamLoad};
use super::pass_outlook::{PassForecast, PassOutlook};
use super::policy::RelayPolicy;
use super::targets::{TargetSet, TargetState};
use crate::time::Tick;

/// Numbers of engines that are tried for a prompt.
const GROUP_SIZES: [usize; 11] = [1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 17];

/// Tokens that make a request count for as much as one more short one.
const TOKENS_PER_VALUE: f32 = 10_000.0;

/// Prompts up to this length count as short ones.
const SHORT_TOKENS: u64 = 24_000;

/// What a prompt asks for.
#[derive(Clone, Copy, Debug)]
pub struct PromptNeed {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Tokens of the answer, as far as known.
    pub answer: u64,
    /// Time from its arrival for a first event in time.
    pub first_limit: Duration,
    /// Time since its arrival.
    pub waited: Duration,
    /// Time until its caller wants no answer any more.
    pub time_left: Duration,
    /// Longest pause between events.
    pub longest_pause: Duration,
}

impl PromptNeed {
    /// What the request is worth, in short requests.
    #[must_use]
    pub fn value(&self) -> f32 {
        1.0 + self.prompt as f32 / TOKENS_PER_VALUE
    }

    /// What it costs an engine that holds its memory, where `parts` engines
    /// read the prompt and `holders` hold it.
    #[must_use]
    pub fn to_load(&self, read: Duration, parts: usize, holders: usize, passes: u32) -> StreamLoad {
        StreamLoad {
            read_us: (read / parts as u32).as_micros() as u64,
            tokens: self.prompt / parts as u64,
            is_part: parts > 1,
            waited_us: self.waited.as_micros() as u64,
            start_us: 0,
            limit_us: self.first_limit.as_micros() as u64,
            context: (self.prompt + self.answer / 2) / holders as u64,
            memory: (self.prompt + self.answer) / holders as u64,
            passes,
            pause_us: self.longest_pause.as_micros() as u64,
            value: self.value(),
        }
    }

    /// What it costs an engine that only reads a part.
    #[must_use]
    pub fn to_helper_load(&self, read: Duration, parts: usize) -> StreamLoad {
        StreamLoad { context: 0, memory: 0, passes: 0, ..self.to_load(read, parts, 1, 0) }
    }
}

/// Memory that has to be reserved at a helper.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemorySeat {
    /// The helper.
    pub target: Arc<str>,
    /// How many tokens it holds.
    pub tokens: u64,
}

/// Where a request goes, and why there.
#[derive(Clone, Debug)]
pub struct Placement {
    /// The target that answers.
    pub target: Arc<str>,
    /// Targets that help to read the prompt, those with memory first.
    pub helpers: Vec<Arc<str>>,
    /// Memory to be reserved at the first of the helpers, where the prompt is
    /// larger than the target's own.
    pub seats: Vec<MemorySeat>,
    /// Foretold time to the first event.
    pub first: Duration,
    /// Foretold cost, in short requests.
    pub cost: f32,
    /// What others lose by it, part of `cost`.
    pub harm: f32,
    /// What the request itself loses, at most what it does by coming late.
    pub own: f32,
    /// What requests to come lose by the places and the time of engines that it
    /// takes.
    pub claim: f32,
    /// Targets that were weighed.
    pub candidates: usize,
}

/// Which targets a request may go to.
#[derive(Clone, Copy, Debug)]
pub enum TargetScope<'a> {
    /// Others than those that have had it.
    Untried(&'a [Arc<str>]),
    /// Those that have run it: a bound on their number is reached.
    Only(&'a [Arc<str>]),
}

impl TargetScope<'_> {
    fn holds(self, target: &TargetState) -> bool {
        let name = &target.record.incarnation;
        match self {
            TargetScope::Untried(tried) => target.is_used && !tried.contains(name),
            TargetScope::Only(allowed) => allowed.contains(name),
        }
    }
}

/// What a request may use, and where it comes from.
#[derive(Clone, Copy, Debug)]
pub struct PlacementQuery<'a> {
    /// The service.
    pub service: &'a str,
    /// Failure domain of this process.
    pub failure_domain: &'a str,
    /// Where it may go.
    pub scope: TargetScope<'a>,
    /// Incarnation of this entry.
    pub entry: u64,
    /// What is weighed, and how much.
    pub policy: &'a RelayPolicy,
}

impl PlacementQuery<'_> {
    /// How little this entry likes a target, from 0 to 1, at random but always
    /// the same.
    fn preference(&self, target: &str) -> f32 {
        const STEPS: u64 = 1 << 16;
        (self.rank(target) % STEPS) as f32 / STEPS as f32
    }

    /// A target's place in the order of this entry, at random but always the same.
    fn rank(&self, target: &str) -> u64 {
        xxhash_rust::xxh3::xxh3_64_with_seed(target.as_bytes(), self.entry)
    }
}

/// What to do with a prompt that was placed and not sent yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementAction {
    /// Send it as it was placed.
    Send,
    /// Place it anew a little later.
    Wait,
    /// Refuse it.
    Refuse,
}

impl Placement {
    /// Decides what to do with a prompt, which would be placed anew after `step`.
    #[must_use]
    pub fn decide(
        &self,
        need: &PromptNeed,
        step: Duration,
        policy: &RelayPolicy,
    ) -> PlacementAction {
        if self.is_worse_than_refusal(need) {
            PlacementAction::Refuse
        } else if self.is_worth_waiting(need, step, policy) {
            PlacementAction::Wait
        } else {
            PlacementAction::Send
        }
    }

    /// Returns true where others are spared more by a wait of `step` than the
    /// prompt loses by coming later.
    fn is_worth_waiting(&self, need: &PromptNeed, step: Duration, policy: &RelayPolicy) -> bool {
        if need.prompt <= SHORT_TOKENS || self.first + step >= need.time_left {
            return false;
        }
        let later = time_cost(need, self.first + step) - time_cost(need, self.first);
        let fade = Duration::from_millis(policy.harm_fade_ms).as_secs_f32();
        self.harm * step.as_secs_f32() > later * fade
    }

    /// Returns true where refusing a request loses less than serving it so, or
    /// where it can not be served in the time that it has.
    fn is_worse_than_refusal(&self, need: &PromptNeed) -> bool {
        if self.first >= need.time_left {
            return true;
        }
        self.own + self.harm + self.claim > need.value()
    }
}

/// Chooses a target for a plain call, none where there is none.
#[must_use]
pub fn place_call(set: &TargetSet, query: &PlacementQuery<'_>, now: Tick) -> Option<Placement> {
    let targets = candidates(set, query, now);
    let count = targets.len();
    let best = targets.into_iter().min_by(|a, b| {
        call_cost(a, query)
            .total_cmp(&call_cost(b, query))
            .then_with(|| a.record.incarnation.cmp(&b.record.incarnation))
    })?;
    Some(Placement {
        target: best.record.incarnation.clone(),
        helpers: Vec::new(),
        seats: Vec::new(),
        first: Duration::ZERO,
        cost: call_cost(best, query),
        harm: 0.0,
        own: 0.0,
        claim: 0.0,
        candidates: count,
    })
}

fn call_cost(target: &TargetState, query: &PlacementQuery<'_>) -> f32 {
    let busy = target.in_flight as f32 / target.record.capacity.max(1) as f32;
    let is_far = *target.record.failure_domain != *query.failure_domain;
    busy + if is_far { query.policy.call_distance } else { 0.0 }
}

/// The usable targets in a request's scope; those that are left alone only where
/// there are no others.
fn candidates<'a>(
    set: &'a TargetSet,
    query: &PlacementQuery<'a>,
    now: Tick,
) -> Vec<&'a TargetState> {
    let fresh: Vec<_> =
        set.usable(query.service).filter(|target| query.scope.holds(target)).collect();
    let is_well = |target: &&TargetState| !(query.policy.ejects && target.is_ejected(now));
    let well: Vec<_> = fresh.iter().copied().filter(is_well).collect();
    if well.is_empty() { fresh } else { well }
}

/// A target, and what is known of its passes.
struct EngineOutlook<'a> {
    target: &'a TargetState,
    outlook: PassOutlook<'a>,
}

#[derive(Clone)]
struct Candidate<'a> {
    target: &'a TargetState,
    forecast: PassForecast,
    cost: f32,
}

/// Chooses engines for a prompt, none where no engine can take it.
#[must_use]
pub fn place_prompt(
    set: &TargetSet,
    query: &PlacementQuery<'_>,
    need: &PromptNeed,
    now: Tick,
) -> Option<Placement> {
    let mut targets = candidates(set, query, now);
    // Among engines that cost the same, each entry takes others first.
    targets.sort_by_key(|target| query.rank(&target.record.incarnation));
    let engines: Vec<_> = targets
        .into_iter()
        .filter_map(|target| {
            let outlook = target.model.as_ref()?.outlook(now);
            Some(EngineOutlook { target, outlook })
        })
        .collect();
    let read = engines.first()?.outlook.rates.read_time(need.prompt);
    let mut best: Option<Placement> = None;
    for size in GROUP_SIZES {
        if size > engines.len() || size > query.policy.most_helpers + 1 {
            break;
        }
        if size > 1 && read / (size as u32) < Duration::from_millis(query.policy.min_part_ms) {
            break;
        }
        let Some(placement) = place_group(&engines, query, need, read, size) else {
            continue;
        };
        if best.as_ref().is_none_or(|best| placement.cost < best.cost) {
            best = Some(placement);
        }
    }
    let engine_cost = engine_cost(&engines, read, query.policy);
    best.map(|best| Placement { claim: best.claim + engine_cost, ..best })
}

/// What requests to come lose by the time that engines read a prompt: nothing
/// while engines have nothing to read, and more the longer their lines are.
fn engine_cost(engines: &[EngineOutlook<'_>], read: Duration, policy: &RelayPolicy) -> f32 {
    let lines = engines.iter().map(|engine| engine.outlook.time_in_line().as_secs_f32());
    let backlog = lines.sum::<f32>() / engines.len() as f32;
    let half = Duration::from_millis(policy.half_price_backlog_ms).as_secs_f32();
    policy.engine_price * read.as_secs_f32() * backlog / (backlog + half)
}

/// The best group of `size` engines: the one that writes, and helpers.
fn place_group(
    engines: &[EngineOutlook<'_>],
    query: &PlacementQuery<'_>,
    need: &PromptNeed,
    read: Duration,
    size: usize,
) -> Option<Placement> {
    let rates = engines.first()?.outlook.rates;
    let load = need.to_load(read, size, 1, rates.passes(need.answer));
    let writers = weigh(engines, need, &load, query.policy);
    let cost = |member: &Candidate<'_>| {
        let own = writer_cost(member, query, need) + queue_cost(member, query.policy);
        own + member.cost
    };
    let first = writers.into_iter().min_by(|a, b| cost(a).total_cmp(&cost(b)))?;
    let mut members = Vec::new();
    if size > 1 {
        members = weigh(engines, need, &need.to_helper_load(read, size), query.policy);
        members.retain(|member| !std::ptr::eq(member.target, first.target));
        members.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        members.truncate(size - 1);
        if members.len() < size - 1 {
            return None;
        }
    }
    let seats = plan_memory(need, rates.memory_tokens, &first, &mut members)?;
    let group = || members.iter().chain([&first]).map(|member| &member.forecast);
    let start = group().map(|forecast| forecast.read).max()?;
    let harm = group_harm(group()) * query.policy.harm_weight;
    let group_cost = need.value() * query.policy.helper_cost * members.len() as f32;
    let own = writer_cost(&first, query, need) + time_cost(need, start);
    let queue = queue_cost(&first, query.policy);
    Some(Placement {
        target: first.target.record.incarnation.clone(),
        helpers: members.iter().map(|helper| helper.target.record.incarnation.clone()).collect(),
        seats,
        first: start,
        cost: own + queue + harm + group_cost,
        harm,
        own: own.min(need.value() * LATE_LOSS),
        claim: queue,
        candidates: engines.len(),
    })
}

/// What others lose where a prompt is read jointly. One that is read jointly
/// itself, and has parts at several of the engines, starts when the last of them
/// is read: it is late once, by the engine that makes it latest.
fn group_harm<'a>(group: impl Iterator<Item = &'a PassForecast>) -> f32 {
    let mut latest: BTreeMap<StreamKey, f32> = BTreeMap::new();
    let mut harm = 0.0;
    for forecast in group {
        harm += forecast.harm;
        for joint in &forecast.joint {
            let known = latest.entry(joint.key).or_default();
            *known = known.max(joint.harm);
        }
    }
    harm + latest.values().sum::<f32>()
}

/// What a load would come to at each engine.
fn weigh<'a>(
    engines: &[EngineOutlook<'a>],
    need: &PromptNeed,
    load: &StreamLoad,
    policy: &RelayPolicy,
) -> Vec<Candidate<'a>> {
    let weighed = engines.iter().map(|engine| {
        let forecast = engine.outlook.forecast(load);
        let cost = forecast.total_harm() * policy.harm_weight + time_cost(need, forecast.read);
        Candidate { target: engine.target, forecast, cost }
    });
    weighed.collect()
}

/// Part of an engine's free memory that a prompt may be given: what others
/// take at the same moment is not known yet.
const MEMORY_PART: f64 = 0.9;

fn free_memory(all: u64, candidate: &Candidate<'_>) -> u64 {
    (all.saturating_sub(candidate.forecast.memory) as f64 * MEMORY_PART) as u64
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
    let own = free_memory(all, writer);
    if memory <= own {
        return Some(Vec::new());
    }
    helpers.sort_by_key(|helper| std::cmp::Reverse(free_memory(all, helper)));
    for count in 1..=helpers.len() {
        let share = memory.div_ceil(count as u64 + 1);
        if share <= own && share <= free_memory(all, &helpers[count - 1]) {
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

/// What it costs that a member has no place free: the request waits there for an
/// end, and so do those that come after it.
fn queue_cost(writer: &Candidate<'_>, policy: &RelayPolicy) -> f32 {
    let capacity = writer.target.record.capacity;
    policy.queue_cost * (writer.forecast.active + 1).saturating_sub(capacity) as f32
}

/// What it costs that a member writes, beside the reading.
fn writer_cost(writer: &Candidate<'_>, query: &PlacementQuery<'_>, need: &PromptNeed) -> f32 {
    let policy = query.policy;
    let record = &writer.target.record;
    let &PassForecast { active, steady, pause, .. } = &writer.forecast;
    let capacity = record.capacity;
    let mut cost = pause_loss(need.value(), pause, need.longest_pause);
    if steady.as_secs_f64() > need.longest_pause.as_secs_f64() * FIRST_PART {
        cost += need.value() * LATE_LOSS;
    }
    if *record.failure_domain != *query.failure_domain {
        cost += policy.distance_cost;
    }
    if active < capacity {
        cost += policy.near_full_cost * policy.near_full_decay.powi((capacity - active) as i32 - 1);
    }
    if active < capacity && need.prompt <= SHORT_TOKENS {
        let packed = active.min(capacity - capacity / policy.kept_free_divisor);
        cost -= policy.packing_gain * packed as f32;
        cost += policy.spread * query.preference(&record.incarnation);
    }
    cost
}

/// What the request itself loses where its first event comes after `first`.
fn time_cost(need: &PromptNeed, first: Duration) -> f32 {
    first_event_loss(need.value(), need.waited + first, need.first_limit)
}

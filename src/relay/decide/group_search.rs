//! Chooses the engines that prefill a prompt together, and the one that decodes its answer.
//!
//! This serves prompts of a thousand to a million tokens on the same engines. A prompt goes
//! where its cost is lowest: the loss of its own answer by coming late, the loss of decoding
//! streams and queued prompts, and the value of the engines' time to future requests. Long
//! prompts are sharded over several engines, which keeps passes short.

use std::collections::BTreeMap;
use std::time::Duration;

use super::engine_rates::EngineRates;
use super::engine_snapshot::{EngineSnapshot, PassForecast, PrefillShard};
use super::loss::{FIRST_EVENT_FRACTION, LATE_LOSS, pause_loss};
use super::placement::{
    MemoryReservation, Placement, PlacementQuery, PromptNeed, SHORT_TOKENS, candidates, permit_cost,
};
use super::policy::RelayPolicy;
use super::stream_load::{StreamKey, StreamLoad};
use super::targets::{TargetSet, TargetState};
use crate::time::Tick;

/// Numbers of engines that are tried for a prompt.
const GROUP_SIZES: [usize; 11] = [1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 17];

/// Fraction of an engine's free memory that a prompt may use. Memory that other entries take at
/// the same moment is not known yet.
const MEMORY_FRACTION: f64 = 0.9;

/// A target and a snapshot of its engine.
struct CandidateEngine<'a> {
    target: &'a TargetState,
    snapshot: EngineSnapshot<'a>,
}

/// An engine evaluated for a prompt or a shard of one.
#[derive(Clone)]
struct Candidate<'a> {
    target: &'a TargetState,
    forecast: PassForecast,
    /// Cost of the prefill on this engine, for the prompt and for others.
    cost: f32,
}

impl Candidate<'_> {
    fn free_memory(&self, memory_tokens: u64) -> u64 {
        (memory_tokens.saturating_sub(self.forecast.memory) as f64 * MEMORY_FRACTION) as u64
    }
}

/// Chooses engines for a prompt; `None` if no engine can take it.
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
        if !search.allows(size) {
            break;
        }
        let Some(placement) = search.best_of_size(size) else { continue };
        if best.as_ref().is_none_or(|best| placement.cost < best.cost) {
            best = Some(placement);
        }
    }
    let prefill_cost = search.price * search.prefill_time.as_secs_f32();
    best.map(|best| Placement { opportunity_cost: best.opportunity_cost + prefill_cost, ..best })
}

/// Time from the arrival of each sharded prompt until its last shard is prefilled, as far as
/// its engines are known here.
#[derive(Debug, Default)]
struct PromptStarts(BTreeMap<StreamKey, Duration>);

impl PromptStarts {
    fn from_engines(engines: &[CandidateEngine<'_>]) -> Self {
        let mut starts = PromptStarts::default();
        for shard in engines.iter().flat_map(|engine| engine.snapshot.prefill_shards()) {
            let start = starts.0.entry(shard.key).or_default();
            *start = shard.first_event.max(*start);
        }
        starts
    }

    /// Loss of a sharded prompt by one delayed shard.
    fn delay_cost(&self, shard: &PrefillShard) -> f32 {
        shard.delay_cost(self.0.get(&shard.key).copied().unwrap_or_default())
    }

    /// Loss of other requests if one engine takes a load.
    fn engine_delay_cost(&self, forecast: &PassForecast) -> f32 {
        forecast.delay_cost
            + forecast.delayed_shards.iter().map(|shard| self.delay_cost(shard)).sum::<f32>()
    }

    /// Loss of other requests if a group of engines takes a prompt. A sharded prompt that has
    /// shards on several of these engines is late only once, by the engine that delays it most.
    /// This raises the share of the total value earned from 0.926 to 0.939, in replayed load
    /// with alternating phases of short and long prompts of 15 s (mean of 12 seeds).
    fn group_delay_cost<'a>(&self, group: impl Iterator<Item = &'a PassForecast>) -> f32 {
        let mut latest: BTreeMap<StreamKey, f32> = BTreeMap::new();
        let mut delay_cost = 0.0;
        for forecast in group {
            delay_cost += forecast.delay_cost;
            for shard in &forecast.delayed_shards {
                let known = latest.entry(shard.key).or_default();
                *known = known.max(self.delay_cost(shard));
            }
        }
        delay_cost + latest.values().sum::<f32>()
    }
}

/// The search for the engines of one prompt.
struct GroupSearch<'a> {
    query: &'a PlacementQuery<'a>,
    need: &'a PromptNeed,
    engines: Vec<CandidateEngine<'a>>,
    rates: &'a EngineRates,
    starts: PromptStarts,
    /// Time to prefill the whole prompt on one engine.
    prefill_time: Duration,
    /// Value of a second of an engine's time.
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
        // Each entry has its own order among engines of equal cost.
        targets.sort_by_key(|target| query.rank(&target.record.incarnation));
        let engines: Vec<_> = targets
            .into_iter()
            .filter_map(|target| {
                let model = target.model.as_ref()?;
                Some(CandidateEngine { target, snapshot: model.snapshot(now) })
            })
            .collect();
        let rates = engines.first()?.snapshot.rates;
        Some(GroupSearch {
            query,
            need,
            rates,
            starts: PromptStarts::from_engines(&engines),
            prefill_time: rates.prefill_time(need.prompt_tokens),
            price: engine_price(&engines, query.policy),
            engines,
        })
    }

    /// Returns `true` if `size` engines may prefill the prompt.
    fn allows(&self, size: usize) -> bool {
        let policy = self.query.policy;
        let min_shard = Duration::from_millis(policy.min_part_ms);
        let is_worth_it = size == 1 || self.prefill_time / size as u32 >= min_shard;
        size <= self.engines.len() && size <= policy.most_helpers + 1 && is_worth_it
    }

    /// The best group of `size` engines: one that decodes, and helpers.
    fn best_of_size(&self, size: usize) -> Option<Placement> {
        let GroupSearch { need, rates, .. } = self;
        let policy = self.query.policy;
        let load = need.to_load(self.prefill_time, size, 1, rates.passes(need.answer_tokens));
        let decoder = self.best_decoder(&load, size)?;
        let mut helpers = self.best_helpers(size, &decoder)?;
        let reservations = plan_reservations(need, rates.memory_tokens, &decoder, &mut helpers)?;
        let group = || helpers.iter().chain([&decoder]).map(|member| &member.forecast);
        let start = group().map(|forecast| forecast.time_to_prefill).max()?;
        let delay_cost = self.starts.group_delay_cost(group()) * policy.harm_weight;
        let group_cost = need.value() * policy.helper_cost * helpers.len() as f32;
        let own_cost = self.decoder_cost(&decoder) + need.loss_at(start);
        let opportunity_cost = self.opportunity_cost(&decoder, &load);
        let names = helpers.iter().map(|helper| helper.target.record.incarnation.clone());
        Some(Placement {
            target: decoder.target.record.incarnation.clone(),
            helpers: names.collect(),
            reservations,
            first_event: start,
            cost: own_cost + opportunity_cost + delay_cost + group_cost,
            delay_cost,
            own_loss: own_cost.min(need.value() * LATE_LOSS),
            opportunity_cost,
            candidates: self.engines.len(),
            send_before: None,
        })
    }

    /// The best engine to decode, among those with memory for the smallest share that one of
    /// `size` engines can hold. The memory check lowers the number of refused short prompts from
    /// 267 to 0 of 2,442, in replayed load with alternating phases of 3 s.
    fn best_decoder(&self, load: &StreamLoad, size: usize) -> Option<Candidate<'a>> {
        let min_memory = (self.need.prompt_tokens + self.need.answer_tokens).div_ceil(size as u64);
        let has_memory =
            |member: &Candidate<'_>| member.free_memory(self.rates.memory_tokens) >= min_memory;
        let cost = |member: &Candidate<'_>| {
            self.decoder_cost(member) + self.opportunity_cost(member, load) + member.cost
        };
        let decoders = self.evaluate(load).into_iter().filter(has_memory);
        decoders.min_by(|a, b| cost(a).total_cmp(&cost(b)))
    }

    fn best_helpers(&self, size: usize, decoder: &Candidate<'_>) -> Option<Vec<Candidate<'a>>> {
        if size == 1 {
            return Some(Vec::new());
        }
        let mut helpers = self.evaluate(&self.need.to_helper_load(self.prefill_time, size));
        // A shard would reach a rate-limited target without a permit.
        let may_help = |helper: &Candidate<'_>| helper.target.rate.is_none();
        helpers.retain(|helper| !std::ptr::eq(helper.target, decoder.target) && may_help(helper));
        helpers.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        helpers.truncate(size - 1);
        (helpers.len() == size - 1).then_some(helpers)
    }

    /// Evaluates a load on each engine.
    fn evaluate(&self, load: &StreamLoad) -> Vec<Candidate<'a>> {
        let evaluated = self.engines.iter().map(|engine| {
            let forecast = engine.snapshot.forecast(load);
            let delay_cost =
                self.starts.engine_delay_cost(&forecast) * self.query.policy.harm_weight;
            let cost = delay_cost + self.need.loss_at(forecast.time_to_prefill);
            Candidate { target: engine.target, forecast, cost }
        });
        evaluated.collect()
    }

    /// Loss of future requests by the slot and the time of the engine that decodes. If other
    /// streams decode there already, one more takes hardly any time. Counting this raises the
    /// share of the total value earned from 0.810 to 0.830 in a replayed burst of long prompts
    /// (mean of 12 seeds).
    fn opportunity_cost(&self, decoder: &Candidate<'_>, load: &StreamLoad) -> f32 {
        let policy = self.query.policy;
        let capacity = decoder.target.record.capacity;
        let active = decoder.forecast.active;
        let queue = policy.queue_cost * (active + 1).saturating_sub(capacity) as f32;
        if active > 0 {
            return queue;
        }
        let decode_ms = self.rates.decode_ms(1, load.context) * f64::from(load.passes);
        let share = policy.writer_share / capacity.max(1) as f32;
        queue + self.price * share * decode_ms as f32 / 1e3
    }

    /// Cost of decoding on an engine, besides the prefill.
    fn decoder_cost(&self, decoder: &Candidate<'_>) -> f32 {
        let PlacementQuery { policy, failure_domain, .. } = self.query;
        let need = self.need;
        let record = &decoder.target.record;
        let &PassForecast { active, steady_pass, longest_pause, .. } = &decoder.forecast;
        let capacity = record.capacity;
        let mut cost =
            pause_loss(need.value(), longest_pause, need.longest_pause, need.pause_risk_from);
        cost += permit_cost(decoder.target, policy);
        if steady_pass.as_secs_f64() > need.longest_pause.as_secs_f64() * FIRST_EVENT_FRACTION {
            cost += need.value() * LATE_LOSS;
        }
        if *record.failure_domain != **failure_domain {
            cost += policy.distance_cost;
        }
        if active < capacity {
            let more_free = (capacity - active) as i32 - 1;
            cost += policy.near_full_cost * policy.near_full_decay.powi(more_free);
        }
        if active < capacity && need.prompt_tokens <= SHORT_TOKENS && decoder.target.rate.is_none()
        {
            let packed = active.min(capacity - capacity / policy.kept_free_divisor);
            cost -= policy.packing_gain * packed as f32;
            cost += policy.spread * self.query.preference(&record.incarnation);
        }
        cost
    }
}

/// Loss of future requests by a second of an engine's time: zero while the prefill queues are
/// empty, and higher the longer they are.
fn engine_price(engines: &[CandidateEngine<'_>], policy: &RelayPolicy) -> f32 {
    let queues = engines.iter().map(|engine| engine.snapshot.queue_time().as_secs_f32());
    let backlog = queues.sum::<f32>() / engines.len() as f32;
    let half = Duration::from_millis(policy.half_price_backlog_ms).as_secs_f32();
    policy.engine_price * backlog / (backlog + half)
}

/// Spreads the memory of a prompt that exceeds the free memory of the decoding engine over as
/// few helpers as can hold it, and moves these to the front. Returns `None` if the helpers can
/// not hold it.
fn plan_reservations(
    need: &PromptNeed,
    memory_tokens: u64,
    decoder: &Candidate<'_>,
    helpers: &mut [Candidate<'_>],
) -> Option<Vec<MemoryReservation>> {
    let memory = need.prompt_tokens + need.answer_tokens;
    let own_memory = decoder.free_memory(memory_tokens);
    if memory <= own_memory {
        return Some(Vec::new());
    }
    helpers.sort_by_key(|helper| std::cmp::Reverse(helper.free_memory(memory_tokens)));
    for count in 1..=helpers.len() {
        let share = memory.div_ceil(count as u64 + 1);
        if share <= own_memory && share <= helpers[count - 1].free_memory(memory_tokens) {
            let holders = helpers[..count].iter();
            let reservations = holders.map(|helper| MemoryReservation {
                target: helper.target.record.incarnation.clone(),
                tokens: share,
            });
            return Some(reservations.collect());
        }
    }
    None
}

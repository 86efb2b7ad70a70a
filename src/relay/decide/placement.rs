//! Which targets get a request.
//!
//! A plain call goes to the least busy target, nearby ones first. For a prompt,
//! [`super::group_search`] looks for the engines where it costs least. Whether it
//! is sent there, placed anew a little later, or refused is decided here.

use std::sync::Arc;
use std::time::Duration;

use super::loss::first_event_loss;
use super::policy::RelayPolicy;
use super::service_scope::ServiceScope;
use super::stream_load::StreamLoad;
use super::targets::{TargetSet, TargetState};
use crate::time::Tick;

/// Tokens that make a request count for as much as one more short one.
const TOKENS_PER_VALUE: f32 = 10_000.0;

/// Prompts up to this length count as short ones.
pub(super) const SHORT_TOKENS: u64 = 24_000;

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
    /// Whether it was found worth its price before, and has waited since.
    pub is_admitted: bool,
}

impl PromptNeed {
    /// What the request is worth, in short requests.
    #[must_use]
    pub fn value(&self) -> f32 {
        1.0 + self.prompt as f32 / TOKENS_PER_VALUE
    }

    /// What the request itself loses where its first event comes after `first`.
    #[must_use]
    pub fn time_cost(&self, first: Duration) -> f32 {
        first_event_loss(self.value(), self.waited + first, self.first_limit)
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
    /// Latest time at which it is sent, none where its target takes any number.
    pub turn_until: Option<Tick>,
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

/// Whether a request waits for its turn at a target that takes few.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TurnPolicy {
    /// It goes only where there may be a turn now.
    AtOnce,
    /// It waits, since nobody else takes it.
    Waits,
}

/// What a request may use, and where it comes from.
#[derive(Clone, Copy, Debug)]
pub struct PlacementQuery<'a> {
    /// The service, and where its targets may be.
    pub service: ServiceScope<'a>,
    /// Failure domain of this process.
    pub failure_domain: &'a str,
    /// Where it may go.
    pub scope: TargetScope<'a>,
    /// Whether it waits for its turn.
    pub turn: TurnPolicy,
    /// Incarnation of this entry.
    pub entry: u64,
    /// What is weighed, and how much.
    pub policy: &'a RelayPolicy,
}

impl PlacementQuery<'_> {
    /// How little this entry likes a target, from 0 to 1, at random but always
    /// the same.
    pub(super) fn preference(&self, target: &str) -> f32 {
        const STEPS: u64 = 1 << 16;
        (self.rank(target) % STEPS) as f32 / STEPS as f32
    }

    /// A target's place in the order of this entry, at random but always the same.
    pub(super) fn rank(&self, target: &str) -> u64 {
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
        if self.is_worse_than_refusal(need, policy) {
            PlacementAction::Refuse
        } else if self.is_worth_waiting(need, step, policy) {
            PlacementAction::Wait
        } else {
            PlacementAction::Send
        }
    }

    /// Returns true where others are spared more by a wait of `step` than the
    /// prompt loses by coming later. Nobody waits longer than for an objective: what a late
    /// prompt loses by each further step is little, and it would be held to the end.
    fn is_worth_waiting(&self, need: &PromptNeed, step: Duration, policy: &RelayPolicy) -> bool {
        let has_time = self.first + step < need.time_left && need.waited < need.first_limit;
        if need.prompt <= SHORT_TOKENS || !has_time {
            return false;
        }
        let later = need.time_cost(self.first + step) - need.time_cost(self.first);
        let fade = Duration::from_millis(policy.harm_fade_ms).as_secs_f32();
        self.harm * step.as_secs_f32() > later * fade
    }

    /// Returns true where refusing a request loses less than serving it so, or
    /// where it can not be served in the time that it has.
    ///
    /// What requests to come lose is weighed once, when a prompt arrives: one that was
    /// let in and waits for the sake of others is not refused for those who came later.
    fn is_worse_than_refusal(&self, need: &PromptNeed, policy: &RelayPolicy) -> bool {
        if self.first >= need.time_left {
            return true;
        }
        let is_weighed = policy.reprices || !need.is_admitted;
        let claim = if is_weighed { self.claim } else { 0.0 };
        self.own + self.harm + claim > need.value()
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
        turn_until: None,
    })
}

fn call_cost(target: &TargetState, query: &PlacementQuery<'_>) -> f32 {
    let busy = target.in_flight as f32 / target.record.capacity.max(1) as f32;
    let is_far = *target.record.failure_domain != *query.failure_domain;
    let far = if is_far { query.policy.call_distance } else { 0.0 };
    busy + far + scarce_cost(target, query.policy)
}

/// What it costs to take a turn of a target that gives few: others may have nowhere else to
/// go.
pub(super) fn scarce_cost(target: &TargetState, policy: &RelayPolicy) -> f32 {
    target.rate.map_or(0.0, |_| policy.scarce_cost)
}

/// The usable targets in a request's scope; those that are left alone only where
/// there are no others.
pub(super) fn candidates<'a>(
    set: &'a TargetSet,
    query: &PlacementQuery<'a>,
    now: Tick,
) -> Vec<&'a TargetState> {
    let is_open = |target: &&TargetState| match query.turn {
        TurnPolicy::AtOnce => target.is_usable(now),
        TurnPolicy::Waits => target.is_willing(now),
    };
    let open = query.service.targets(set).filter(is_open);
    let fresh: Vec<_> = open.filter(|target| query.scope.holds(target)).collect();
    let is_well = |target: &&TargetState| !(query.policy.ejects && target.is_ejected(now));
    let well: Vec<_> = fresh.iter().copied().filter(is_well).collect();
    if well.is_empty() { fresh } else { well }
}

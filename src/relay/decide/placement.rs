//! Chooses the targets of a request.
//!
//! A plain call goes to the least busy target, preferring nearby ones. For a prompt,
//! [`super::group_search`] finds the engines with the lowest cost. This module then decides
//! whether the prompt is sent, placed again a little later, or refused.

use std::sync::Arc;
use std::time::Duration;

use super::loss::first_event_loss;
use super::policy::RelayPolicy;
use super::service_scope::ServiceScope;
use super::stream_load::StreamLoad;
use super::targets::{TargetSet, TargetState};
use crate::time::Tick;

/// Prompt tokens that add the value of one short request.
const TOKENS_PER_VALUE: f32 = 10_000.0;

/// Maximum length of a short prompt.
pub(super) const SHORT_TOKENS: u64 = 24_000;

/// Size and deadlines of a prompt.
#[derive(Clone, Copy, Debug)]
pub struct PromptNeed {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Expected tokens of the answer.
    pub answer_tokens: u64,
    /// Time from arrival within which the first event is in time.
    pub first_event_limit: Duration,
    /// Time since arrival.
    pub waited: Duration,
    /// Time until the caller's deadline.
    pub time_left: Duration,
    /// Longest pause between events that is in time.
    pub longest_pause: Duration,
    /// Whether the prompt was admitted by an earlier decision and has waited since.
    pub is_admitted: bool,
    /// Factor on the value of the request by its urgency, see [`super::urgency`].
    pub value_factor: f32,
    /// Fraction of its longest pause from which a pass counts as a risk, see [`super::urgency`].
    pub pause_risk_from: f32,
}

impl PromptNeed {
    /// Value of the request, in short requests of the most urgent rank.
    #[must_use]
    pub fn value(&self) -> f32 {
        self.value_factor * (1.0 + self.prompt_tokens as f32 / TOKENS_PER_VALUE)
    }

    /// Loss of the request if its first event comes after `first`.
    #[must_use]
    pub fn loss_at(&self, first: Duration) -> f32 {
        first_event_loss(self.value(), self.waited + first, self.first_event_limit)
    }

    /// Load on an engine that holds a share of the memory, if `shards` engines prefill the
    /// prompt and `holders` of them hold it.
    #[must_use]
    pub fn to_load(
        &self,
        prefill_time: Duration,
        shards: usize,
        holders: usize,
        passes: u32,
    ) -> StreamLoad {
        StreamLoad {
            prefill_us: (prefill_time / shards as u32).as_micros() as u64,
            tokens: self.prompt_tokens / shards as u64,
            is_shard: shards > 1,
            waited_us: self.waited.as_micros() as u64,
            first_event_us: 0,
            first_event_limit_us: self.first_event_limit.as_micros() as u64,
            context: (self.prompt_tokens + self.answer_tokens / 2) / holders as u64,
            memory: (self.prompt_tokens + self.answer_tokens) / holders as u64,
            passes,
            longest_pause_us: self.longest_pause.as_micros() as u64,
            value: self.value(),
            pause_risk_from: self.pause_risk_from,
        }
    }

    /// Load on an engine that only prefills a shard.
    #[must_use]
    pub fn to_helper_load(&self, prefill_time: Duration, shards: usize) -> StreamLoad {
        StreamLoad { context: 0, memory: 0, passes: 0, ..self.to_load(prefill_time, shards, 1, 0) }
    }
}

/// Memory to reserve on a helper.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemoryReservation {
    /// The helper.
    pub target: Arc<str>,
    /// Number of tokens to reserve.
    pub tokens: u64,
}

/// The targets of a request, and the cost of sending it there.
#[derive(Clone, Debug)]
pub struct Placement {
    /// The target that answers.
    pub target: Arc<str>,
    /// Targets that prefill shards of the prompt. Helpers that also hold memory come first.
    pub helpers: Vec<Arc<str>>,
    /// Memory to reserve on the first helpers, if the prompt exceeds the memory of `target`.
    pub reservations: Vec<MemoryReservation>,
    /// Predicted time to the first event.
    pub first_event: Duration,
    /// Predicted cost, in short requests.
    pub cost: f32,
    /// Delay cost: predicted loss of other requests. It is part of `cost`.
    pub delay_cost: f32,
    /// Loss of the request itself, at most the loss of a late answer.
    pub own_loss: f32,
    /// Opportunity cost: loss of future requests by the slots and the engine time that the
    /// request takes.
    pub opportunity_cost: f32,
    /// Number of candidate targets.
    pub candidates: usize,
    /// Latest time to send the request; `None` if the target is not rate-limited.
    pub send_before: Option<Tick>,
}

/// The targets that a request may go to.
#[derive(Clone, Copy, Debug)]
pub enum TargetScope<'a> {
    /// Targets other than these, which have already received the request.
    Untried(&'a [Arc<str>]),
    /// Only these targets, which have already run the request. They apply once the maximum
    /// number of targets is reached.
    Only(&'a [Arc<str>]),
}

impl TargetScope<'_> {
    fn contains(self, target: &TargetState) -> bool {
        let name = &target.record.incarnation;
        match self {
            TargetScope::Untried(tried) => target.is_used && !tried.contains(name),
            TargetScope::Only(allowed) => allowed.contains(name),
        }
    }
}

/// Whether a request may wait for a permit at a rate-limited target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitPolicy {
    /// The request goes only to targets that may have a permit now.
    Immediate,
    /// The request waits for a permit, since no other target takes it.
    MayWait,
}

/// Constraints on a placement, and where the request comes from.
#[derive(Clone, Copy, Debug)]
pub struct PlacementQuery<'a> {
    /// The service, and the failure domains that its targets may be in.
    pub service: ServiceScope<'a>,
    /// Failure domain of this process.
    pub failure_domain: &'a str,
    /// Targets that the request may go to.
    pub scope: TargetScope<'a>,
    /// Whether the request may wait for a permit.
    pub permit: PermitPolicy,
    /// Incarnation of this entry.
    pub entry: u64,
    /// Weights and switches of the decision.
    pub policy: &'a RelayPolicy,
}

impl PlacementQuery<'_> {
    /// Bias of this entry against a target, from 0 to 1. It is pseudo-random, but the same at
    /// each call.
    pub(super) fn preference(&self, target: &str) -> f32 {
        const STEPS: u64 = 1 << 16;
        (self.rank(target) % STEPS) as f32 / STEPS as f32
    }

    /// Rank of a target in this entry's own order of targets. The order is pseudo-random, but
    /// the same at each call.
    pub(super) fn rank(&self, target: &str) -> u64 {
        xxhash_rust::xxh3::xxh3_64_with_seed(target.as_bytes(), self.entry)
    }
}

/// Decision about a prompt that is placed but not sent yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementAction {
    /// Send it as placed.
    Send,
    /// Place it again a little later.
    Wait,
    /// Refuse it.
    Refuse,
}

impl Placement {
    /// Decides whether to send, delay or refuse a prompt. A delayed prompt is placed again
    /// after `step`.
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

    /// Returns `true` if waiting for `step` saves others more than the prompt loses by it. A
    /// prompt waits no longer than its limit for the first event: a late prompt loses little by
    /// each further step, and would be delayed until its deadline.
    fn is_worth_waiting(&self, need: &PromptNeed, step: Duration, policy: &RelayPolicy) -> bool {
        let has_time =
            self.first_event + step < need.time_left && need.waited < need.first_event_limit;
        if need.prompt_tokens <= SHORT_TOKENS || !has_time {
            return false;
        }
        let delay_loss = need.loss_at(self.first_event + step) - need.loss_at(self.first_event);
        let fade_time = Duration::from_millis(policy.harm_fade_ms).as_secs_f32();
        self.delay_cost * step.as_secs_f32() > delay_loss * fade_time
    }

    /// Returns `true` if refusing the prompt loses less than serving it, or if it cannot be
    /// served before its deadline.
    ///
    /// Unless the policy reprices, the opportunity cost counts only when a prompt arrives: an
    /// admitted prompt that waits for the sake of others is not refused in favour of later
    /// arrivals.
    fn is_worse_than_refusal(&self, need: &PromptNeed, policy: &RelayPolicy) -> bool {
        if self.first_event >= need.time_left {
            return true;
        }
        let is_counted = policy.reprices || !need.is_admitted;
        let opportunity_cost = if is_counted { self.opportunity_cost } else { 0.0 };
        self.own_loss + self.delay_cost + opportunity_cost > need.value()
    }
}

/// Chooses a target for a plain call; `None` if there is none.
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
        reservations: Vec::new(),
        first_event: Duration::ZERO,
        cost: call_cost(best, query),
        delay_cost: 0.0,
        own_loss: 0.0,
        opportunity_cost: 0.0,
        candidates: count,
        send_before: None,
    })
}

fn call_cost(target: &TargetState, query: &PlacementQuery<'_>) -> f32 {
    let busy = target.in_flight as f32 / target.record.capacity.max(1) as f32;
    let is_far = *target.record.failure_domain != *query.failure_domain;
    let far = if is_far { query.policy.call_distance } else { 0.0 };
    busy + far + permit_cost(target, query.policy)
}

/// Cost of using a permit of a rate-limited target, which other requests may depend on.
pub(super) fn permit_cost(target: &TargetState, policy: &RelayPolicy) -> f32 {
    target.rate.map_or(0.0, |_| policy.scarce_cost)
}

/// The usable targets in the scope of a request. Ejected targets and those on silent hosts are
/// included only if there are no others.
pub(super) fn candidates<'a>(
    set: &'a TargetSet,
    query: &PlacementQuery<'a>,
    now: Tick,
) -> Vec<&'a TargetState> {
    let is_accepting = |target: &&TargetState| match query.permit {
        PermitPolicy::Immediate => target.is_usable(now),
        PermitPolicy::MayWait => target.is_accepting(now),
    };
    let accepting = query.service.targets(set).filter(is_accepting);
    let in_scope: Vec<_> = accepting.filter(|target| query.scope.contains(target)).collect();
    let is_unhealthy =
        |target: &TargetState| target.is_ejected(now) || target.contact.is_silent(now);
    let is_healthy = |target: &&TargetState| !(query.policy.ejects && is_unhealthy(target));
    let healthy: Vec<_> = in_scope.iter().copied().filter(is_healthy).collect();
    if healthy.is_empty() { in_scope } else { healthy }
}

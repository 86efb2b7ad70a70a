//! State of a request at an entry, from its admission to its final answer.

use std::sync::Arc;
use std::time::Duration;

use super::admission::AgentGrant;
use super::decision_log::{DecisionLog, DecisionStep};
use super::event::Arrival;
use crate::id::{AttemptKey, Incarnation};
use crate::time::Tick;
use crate::verdict::Verdict;
use crate::wire::{ProbeAnswer, Refusal, TokenNeed};

/// A target's answer to a probe.
#[derive(Clone, Debug)]
pub(super) struct Offer {
    pub(super) target: Arc<str>,
    pub(super) answer: ProbeAnswer,
}

/// A member of an engine group: a target that holds memory for a request.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub(super) target: Arc<str>,
    pub(super) tokens: u64,
    /// Address of its engine; `None` until memory is held there.
    pub(super) engine: Option<Arc<str>>,
    /// Time at which the target last confirmed the hold.
    pub(super) held_at: Tick,
}

/// An attempt whose target is silent. It is not ended before another target takes the request.
#[derive(Clone, Debug)]
pub(super) struct SilentAttempt {
    pub(super) key: AttemptKey,
    pub(super) target: Arc<str>,
    pub(super) incarnation: Incarnation,
    /// Time at which the attempt is given up even if no other target takes the request.
    pub(super) until: Tick,
}

/// Progress of a request.
#[derive(Clone, Debug)]
pub(super) enum Phase {
    /// Targets are being probed.
    Probing { unanswered: Vec<(u64, Arc<str>)>, offers: Vec<Offer>, since: Tick },
    /// Memory is being reserved on several engines, one after the other.
    Holding { next: usize, since: Tick },
    /// A target has the live attempt.
    Running { target: Arc<str>, incarnation: Incarnation },
    /// The connection to the target was lost, and the entry tries to resume the attempt.
    Resuming {
        target: Arc<str>,
        incarnation: Incarnation,
        until: Tick,
        next: Tick,
        /// Time from which another target is looked for.
        search_at: Tick,
    },
    /// The request waits before targets are probed again.
    Backoff { until: Tick },
}

#[derive(Debug)]
pub(super) struct Request {
    pub(super) arrival: Box<Arrival>,
    pub(super) need: TokenNeed,
    /// The agent that admitted the request; `None` if the entry's own share of the limits did.
    pub(super) agent_grant: Option<AgentGrant>,
    pub(super) deadline: Tick,
    pub(super) phase: Phase,
    /// Number of the live attempt.
    pub(super) attempt: u16,
    /// Number of dispatched attempts.
    pub(super) dispatches: u16,
    /// Offers that were not taken, with the best one last.
    pub(super) spare_offers: Vec<Offer>,
    /// Targets that refused the request or failed an attempt.
    pub(super) tried: Vec<Arc<str>>,
    /// The live attempt while another target is looked for because its target is silent.
    pub(super) silent: Option<SilentAttempt>,
    /// Members of the engine group, if the request needs one.
    pub(super) members: Vec<Member>,
    /// Hash of the prompt's first prefix, if that has been seen before.
    pub(super) prefix: Option<u64>,
    /// Whether the live attempt was dispatched without probing.
    pub(super) is_direct: bool,
    /// Number of probe rounds so far.
    pub(super) rounds: u16,
    /// Bytes of the answer that were sent to the caller.
    pub(super) sent_bytes: u64,
    pub(super) has_head: bool,
    /// Time at which the first part of the answer arrived.
    pub(super) first_part_at: Option<Tick>,
    /// Verdict over all attempts that have ended.
    pub(super) verdict: Verdict,
    /// The last refusal and its retry-after time.
    pub(super) refusal: Option<(Refusal, Duration)>,
    pub(super) log: DecisionLog,
}

impl Request {
    pub(super) fn new(
        arrival: Box<Arrival>,
        need: TokenNeed,
        now: Tick,
        time_limit: Duration,
    ) -> Self {
        let mut log = DecisionLog::new(now);
        let account = arrival.policy.name.clone();
        let limit_ms = time_limit.as_millis() as u64;
        log.push(now, DecisionStep::Admitted { account, tokens: need.prompt, limit_ms });
        Request {
            arrival,
            need,
            agent_grant: None,
            deadline: now + time_limit,
            phase: Phase::Backoff { until: now },
            attempt: 0,
            dispatches: 0,
            spare_offers: Vec::new(),
            tried: Vec::new(),
            silent: None,
            members: Vec::new(),
            prefix: None,
            is_direct: false,
            rounds: 0,
            sent_bytes: 0,
            has_head: false,
            first_part_at: None,
            verdict: Verdict::NotRun,
            refusal: None,
            log,
        }
    }

    /// Key of the live attempt.
    pub(super) fn key(&self) -> AttemptKey {
        AttemptKey(self.arrival.number, self.attempt)
    }

    /// Returns `true` if a part of the answer was sent to the caller.
    pub(super) fn has_answer_started(&self) -> bool {
        self.sent_bytes > 0 || self.has_head
    }

    /// The target that has the live attempt, and the incarnation to which it was dispatched.
    pub(super) fn attempt_target(&self) -> Option<(&Arc<str>, Incarnation)> {
        match &self.phase {
            Phase::Running { target, incarnation }
            | Phase::Resuming { target, incarnation, .. } => Some((target, *incarnation)),
            _ => None,
        }
    }
}

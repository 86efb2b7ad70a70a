//! One caller's request at an entry, from its arrival to its final answer.

use std::sync::Arc;
use std::time::Duration;

use super::admission::AgentShare;
use super::event::Arrival;
use super::why::{DecisionLog, DecisionStep};
use crate::id::{AttemptKey, Incarnation};
use crate::time::Tick;
use crate::verdict::Verdict;
use crate::wire::{ProbeAnswer, Refusal, TokenNeed};

/// What a target said when it was asked.
#[derive(Clone, Debug)]
pub(super) struct Offer {
    pub(super) target: Arc<str>,
    pub(super) answer: ProbeAnswer,
}

/// A target that holds memory for a request.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub(super) target: Arc<str>,
    pub(super) tokens: u64,
    /// Address of its engine, once memory is held there.
    pub(super) engine: Option<Arc<str>>,
    /// When it last said so.
    pub(super) held: Tick,
}

/// Where a request stands.
#[derive(Clone, Debug)]
pub(super) enum Phase {
    /// Targets are being asked.
    Probing { asked: Vec<(u64, Arc<str>)>, offers: Vec<Offer>, since: Tick },
    /// Memory on several engines is being asked for, one after the other.
    Holding { next: usize, since: Tick },
    /// A target has it.
    Running { target: Arc<str>, incarnation: Incarnation },
    /// The connection to its target was lost and its fate is being asked for.
    Settling { target: Arc<str>, incarnation: Incarnation, until: Tick, next: Tick },
    /// It waits before targets are asked again.
    Backoff { until: Tick },
}

#[derive(Debug)]
pub(super) struct Request {
    pub(super) arrival: Box<Arrival>,
    pub(super) need: TokenNeed,
    /// The agent that let it in, none where the own share did.
    pub(super) agent_share: Option<AgentShare>,
    pub(super) deadline: Tick,
    pub(super) phase: Phase,
    /// Number of the live attempt.
    pub(super) attempt: u16,
    /// Attempts that went to a target.
    pub(super) dispatches: u16,
    /// Offers that were not taken, the best one last.
    pub(super) spare: Vec<Offer>,
    pub(super) tried: Vec<Arc<str>>,
    pub(super) members: Vec<Member>,
    /// Hash of the prompt's beginning, where that has come before.
    pub(super) prefix: Option<u64>,
    /// The live attempt was given out without asking.
    pub(super) is_direct: bool,
    /// Waves of questions so far.
    pub(super) waves: u16,
    /// Bytes of the answer that the caller has.
    pub(super) sent: u64,
    pub(super) has_head: bool,
    pub(super) first: Option<Tick>,
    /// What is known over all attempts that have ended.
    pub(super) verdict: Verdict,
    /// The last refusal and the wait it asked for.
    pub(super) refusal: Option<(Refusal, Duration)>,
    pub(super) log: DecisionLog,
}

impl Request {
    pub(super) fn new(arrival: Box<Arrival>, need: TokenNeed, now: Tick, limit: Duration) -> Self {
        let mut log = DecisionLog::new(now);
        let account = arrival.policy.name.clone();
        let limit_ms = limit.as_millis() as u64;
        log.push(now, DecisionStep::Admitted { account, tokens: need.prompt, limit_ms });
        Request {
            arrival,
            need,
            agent_share: None,
            deadline: now + limit,
            phase: Phase::Backoff { until: now },
            attempt: 0,
            dispatches: 0,
            spare: Vec::new(),
            tried: Vec::new(),
            members: Vec::new(),
            prefix: None,
            is_direct: false,
            waves: 0,
            sent: 0,
            has_head: false,
            first: None,
            verdict: Verdict::NotRun,
            refusal: None,
            log,
        }
    }

    /// Key of the live attempt.
    pub(super) fn key(&self) -> AttemptKey {
        AttemptKey(self.arrival.number, self.attempt)
    }

    /// Returns true once a part of the answer went to the caller.
    pub(super) fn has_begun(&self) -> bool {
        self.sent > 0 || self.has_head
    }

    /// The target that has the live attempt, and the life it was meant for.
    pub(super) fn holder(&self) -> Option<(&Arc<str>, Incarnation)> {
        match &self.phase {
            Phase::Running { target, incarnation }
            | Phase::Settling { target, incarnation, .. } => Some((target, *incarnation)),
            _ => None,
        }
    }
}

//! Records of the decisions about each request: why it went to a target, waited or was refused.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::time::Tick;
use crate::verdict::Verdict;
use crate::wire::{ProbeAnswer, Refusal};

/// One decision or observation about a request.
#[derive(Clone, Debug, Display, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "step")]
pub enum DecisionStep {
    /// The request was admitted.
    #[display("let in for {account}: {tokens} prompt tokens estimated, {limit_ms} ms to finish")]
    Admitted {
        /// The client account.
        account: Arc<str>,
        /// Estimated number of prompt tokens.
        tokens: u64,
        /// Time limit of the request, in milliseconds.
        limit_ms: u64,
    },
    /// Targets were probed.
    #[display("asked {}", targets.join(", "))]
    Asked {
        /// The targets.
        targets: Vec<Arc<str>>,
    },
    /// A target answered a probe.
    #[display(
        "{target} offered: open {}, wait {} ms, prefill {} ms, {} tokens cached, {} tokens free",
        answer.is_available, answer.wait_us / 1000, answer.prefill_us / 1000,
        answer.cached_tokens, answer.free_tokens
    )]
    Offered {
        /// The target.
        target: Arc<str>,
        /// Its answer.
        answer: ProbeAnswer,
    },
    /// An attempt was dispatched to a target.
    #[display("attempt {attempt} given to {target}: {reason}")]
    Chosen {
        /// The target.
        target: Arc<str>,
        /// The attempt.
        attempt: u16,
        /// Reason for this choice.
        reason: String,
    },
    /// The prompt needs the memory of several engines, which were chosen as a group.
    #[display("too large for one engine: {} engines, {}", targets.len(), targets.join(", "))]
    Grouped {
        /// The members, in the order in which memory is reserved.
        targets: Vec<Arc<str>>,
    },
    /// A target refused the attempt.
    #[display("{target} refused it: {refusal}; not run")]
    Refused {
        /// The target.
        target: Arc<str>,
        /// Reason of the refusal.
        refusal: Refusal,
    },
    /// The request waits before it is tried again.
    #[display("waited {span_ms} ms: {cause}")]
    Waited {
        /// Reason of the wait.
        cause: String,
        /// Duration of the wait, in milliseconds.
        span_ms: u64,
    },
    /// An attempt failed.
    #[display("attempt {attempt} at {target} ended: {reason}; {verdict}")]
    Failed {
        /// The target.
        target: Arc<str>,
        /// The attempt.
        attempt: u16,
        /// Description for human readers.
        reason: String,
        /// Whether the attempt may have run.
        verdict: Verdict,
    },
    /// The first part of the answer arrived.
    #[display("first part of the answer from {target}")]
    First {
        /// The target.
        target: Arc<str>,
    },
    /// The request ended.
    #[display("ended: {outcome}")]
    Ended {
        /// Outcome of the request.
        outcome: String,
    },
}

/// A step and its time.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TimedStep {
    /// Milliseconds since the request arrived.
    pub at_ms: f64,
    /// The step.
    #[serde(flatten)]
    pub step: DecisionStep,
}

/// All decisions about one request.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct DecisionLog {
    #[serde(skip)]
    arrived: Tick,
    /// The steps, in order.
    pub steps: Vec<TimedStep>,
}

/// Maximum number of steps kept for one request; bounds the log of a request that is retried
/// for a long time. The final step is always kept.
const MAX_STEPS: usize = 96;

impl DecisionLog {
    pub(super) fn new(arrived: Tick) -> Self {
        DecisionLog { arrived, steps: Vec::new() }
    }

    pub(super) fn push(&mut self, now: Tick, step: DecisionStep) {
        let is_end = matches!(step, DecisionStep::Ended { .. });
        if self.steps.len() < MAX_STEPS || is_end {
            let at_ms = now.since(self.arrived).as_secs_f64() * 1e3;
            self.steps.push(TimedStep { at_ms, step });
        }
    }
}

/// Decision logs of the most recently finished requests.
#[derive(Debug)]
pub struct DecisionArchive {
    logs: HashMap<u64, DecisionLog>,
    order: VecDeque<u64>,
    capacity: usize,
}

impl DecisionArchive {
    /// Makes an empty archive that holds up to `capacity` logs.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        DecisionArchive { logs: HashMap::new(), order: VecDeque::new(), capacity }
    }

    /// Adds a log, and evicts the oldest one if the archive is full.
    pub fn insert(&mut self, number: u64, log: DecisionLog) {
        if self.order.len() >= self.capacity
            && let Some(oldest) = self.order.pop_front()
        {
            self.logs.remove(&oldest);
        }
        self.order.push_back(number);
        self.logs.insert(number, log);
    }

    /// Returns the log of a request, if it is still kept.
    #[must_use]
    pub fn get(&self, number: u64) -> Option<&DecisionLog> {
        self.logs.get(&number)
    }
}

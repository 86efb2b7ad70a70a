//! Why a request went where it did, waited, or was refused.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::time::Tick;
use crate::verdict::Verdict;
use crate::wire::{ProbeAnswer, Refusal};

/// One thing that was decided or learned about a request.
#[derive(Clone, Debug, Display, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "step")]
pub enum DecisionStep {
    /// It was let in.
    #[display("let in for {account}: {tokens} prompt tokens estimated, {limit_ms} ms to finish")]
    Admitted {
        /// The account.
        account: Arc<str>,
        /// Estimated tokens of its prompt.
        tokens: u64,
        /// Its time limit.
        limit_ms: u64,
    },
    /// Targets were asked about it.
    #[display("asked {}", targets.join(", "))]
    Asked {
        /// The targets.
        targets: Vec<Arc<str>>,
    },
    /// A target said what it would do.
    #[display(
        "{target} offered: open {}, wait {} ms, prefill {} ms, {} tokens cached, {} tokens free",
        answer.open, answer.wait_us / 1000, answer.prefill_us / 1000,
        answer.cached_tokens, answer.free_tokens
    )]
    Offered {
        /// The target.
        target: Arc<str>,
        /// What it said.
        answer: ProbeAnswer,
    },
    /// A target was chosen.
    #[display("attempt {attempt} given to {target}: {reason}")]
    Chosen {
        /// The target.
        target: Arc<str>,
        /// The attempt.
        attempt: u16,
        /// Why that one.
        reason: String,
    },
    /// Memory on several engines was asked for.
    #[display("too large for one engine: {} engines, {}", targets.len(), targets.join(", "))]
    Grouped {
        /// The members, in the order they are asked in.
        targets: Vec<Arc<str>>,
    },
    /// A target refused it.
    #[display("{target} refused it: {refusal}; not run")]
    Refused {
        /// The target.
        target: Arc<str>,
        /// Why.
        refusal: Refusal,
    },
    /// It waited.
    #[display("waited {span_ms} ms: {cause}")]
    Waited {
        /// For what.
        cause: String,
        /// How long.
        span_ms: u64,
    },
    /// An attempt ended badly.
    #[display("attempt {attempt} at {target} ended: {reason}; {verdict}")]
    Failed {
        /// The target.
        target: Arc<str>,
        /// The attempt.
        attempt: u16,
        /// For a reader.
        reason: String,
        /// Whether it may have run.
        verdict: Verdict,
    },
    /// The first part of the answer came.
    #[display("first part of the answer from {target}")]
    First {
        /// The target.
        target: Arc<str>,
    },
    /// The request ended.
    #[display("ended: {outcome}")]
    Ended {
        /// How.
        outcome: String,
    },
}

/// A step and when it was taken.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TimedStep {
    /// Milliseconds since the request arrived.
    pub at_ms: f64,
    /// The step.
    #[serde(flatten)]
    pub step: DecisionStep,
}

/// All steps of one request.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct DecisionLog {
    #[serde(skip)]
    arrived: Tick,
    /// The steps in order.
    pub steps: Vec<TimedStep>,
}

/// Steps kept of one request, so that one that is retried for long stays small.
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

/// Logs of the newest finished requests.
#[derive(Debug)]
pub struct WhyBook {
    logs: HashMap<u64, DecisionLog>,
    order: VecDeque<u64>,
    capacity: usize,
}

impl WhyBook {
    /// An empty book of so many requests.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        WhyBook { logs: HashMap::new(), order: VecDeque::new(), capacity }
    }

    /// Keeps a log and forgets the oldest where the book is full.
    pub fn insert(&mut self, number: u64, log: DecisionLog) {
        if self.order.len() >= self.capacity
            && let Some(oldest) = self.order.pop_front()
        {
            self.logs.remove(&oldest);
        }
        self.order.push_back(number);
        self.logs.insert(number, log);
    }

    /// Looks up a log.
    #[must_use]
    pub fn get(&self, number: u64) -> Option<&DecisionLog> {
        self.logs.get(&number)
    }
}

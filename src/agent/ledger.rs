//! Outcomes of attempts, kept for as long as an entry may ask for them.

use std::collections::HashMap;
use std::sync::Arc;

use bytes::Bytes;

use crate::id::AttemptId;
use crate::time::{Tick, TimerService};
use crate::verdict::Verdict;
use crate::wire::Completion;

/// Outcome of an attempt.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// The answer is complete.
    Done {
        /// Status and content type of a plain service's answer.
        head: Option<(u16, Arc<str>)>,
        /// The answer.
        output: Bytes,
        /// Length and token counts of the answer.
        completion: Completion,
    },
    /// The attempt failed.
    Failed {
        /// Whether the attempt may have run.
        verdict: Verdict,
        /// Human-readable reason.
        reason: Arc<str>,
    },
}

/// Reason why an answer can not be sent again.
pub(super) const NOT_KEPT: &str = "the answer is no longer kept";

impl Outcome {
    /// The outcome of an attempt whose answer is complete and no longer kept.
    pub(super) fn not_kept() -> Self {
        Outcome::Failed { verdict: Verdict::Ran, reason: NOT_KEPT.into() }
    }

    fn output_bytes(&self) -> usize {
        match self {
            Outcome::Done { output, .. } => output.len(),
            Outcome::Failed { .. } => 0,
        }
    }
}

/// Outcomes of attempts, each kept until a given time.
///
/// That time is the attempt's deadline plus a margin: by then its entry has
/// given the caller a final answer and does not ask again.
#[derive(Debug, Default)]
pub struct OutcomeLedger {
    outcomes: HashMap<AttemptId, Outcome>,
    /// Total size of the complete answers, in bytes.
    output_bytes: usize,
    timers: TimerService<AttemptId>,
}

impl OutcomeLedger {
    /// Stores an outcome until `until`.
    pub fn insert(&mut self, id: AttemptId, outcome: Outcome, until: Tick) {
        self.timers.subscribe(until, id.clone());
        self.output_bytes += outcome.output_bytes();
        let replaced = self.outcomes.insert(id, outcome);
        self.output_bytes -= replaced.map_or(0, |replaced| replaced.output_bytes());
    }

    /// Returns the total size of the complete answers that are kept, in bytes.
    #[must_use]
    pub fn output_bytes(&self) -> usize {
        self.output_bytes
    }

    /// Drops the largest complete answer, but not the fact that its attempt ran. Returns `false` if
    /// none is kept.
    pub fn drop_largest_output(&mut self) -> bool {
        let largest = self.outcomes.values_mut().max_by_key(|outcome| outcome.output_bytes());
        let Some(largest) = largest.filter(|outcome| outcome.output_bytes() > 0) else {
            return false;
        };
        self.output_bytes -= largest.output_bytes();
        *largest = Outcome::not_kept();
        true
    }

    /// Returns the outcome of an attempt.
    #[must_use]
    pub fn get(&self, id: &AttemptId) -> Option<&Outcome> {
        self.outcomes.get(id)
    }

    /// Removes the outcomes whose time is over.
    pub fn expire(&mut self, now: Tick) {
        while let Some(id) = self.timers.pop_due(now) {
            let expired = self.outcomes.remove(&id);
            self.output_bytes -= expired.map_or(0, |expired| expired.output_bytes());
        }
    }

    /// Returns the time at which the next outcome expires.
    #[must_use]
    pub fn peek_next(&self) -> Option<Tick> {
        self.timers.peek_next()
    }

    /// Returns the number of stored outcomes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.outcomes.len()
    }

    /// Returns `true` if no outcome is stored.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.outcomes.is_empty()
    }
}

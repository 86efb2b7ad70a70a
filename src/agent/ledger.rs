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

/// Outcomes of attempts, each kept until a given time.
///
/// That time is the attempt's deadline plus a margin: by then its entry has
/// given the caller a final answer and does not ask again.
#[derive(Debug, Default)]
pub struct OutcomeLedger {
    outcomes: HashMap<AttemptId, Outcome>,
    timers: TimerService<AttemptId>,
}

impl OutcomeLedger {
    /// Stores an outcome until `until`.
    pub fn insert(&mut self, id: AttemptId, outcome: Outcome, until: Tick) {
        self.timers.subscribe(until, id.clone());
        self.outcomes.insert(id, outcome);
    }

    /// Returns the outcome of an attempt.
    #[must_use]
    pub fn get(&self, id: &AttemptId) -> Option<&Outcome> {
        self.outcomes.get(id)
    }

    /// Removes the outcomes whose time is over.
    pub fn expire(&mut self, now: Tick) {
        while let Some(id) = self.timers.pop_due(now) {
            self.outcomes.remove(&id);
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

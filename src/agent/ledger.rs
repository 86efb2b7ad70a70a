//! What became of attempts, kept until nobody can ask any more.

use std::collections::HashMap;
use std::sync::Arc;

use bytes::Bytes;

use crate::id::AttemptId;
use crate::time::{Tick, TimerService};
use crate::verdict::Verdict;
use crate::wire::Completion;

/// The end of an attempt.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// It came to a whole answer.
    Done {
        /// Status and content type of a plain service's answer.
        head: Option<(u16, Arc<str>)>,
        /// The answer.
        output: Bytes,
        /// Counts.
        completion: Completion,
    },
    /// It failed.
    Failed {
        /// Whether it may have run.
        verdict: Verdict,
        /// For a reader.
        reason: Arc<str>,
    },
}

/// Outcomes of attempts, each kept until a stated time.
///
/// The bound is the attempt's own time limit and a margin: its entry has
/// given the caller a final answer by then, and does not ask again.
#[derive(Debug, Default)]
pub struct OutcomeLedger {
    outcomes: HashMap<AttemptId, Outcome>,
    timers: TimerService<AttemptId>,
}

impl OutcomeLedger {
    /// Notes an outcome until `until`.
    pub fn insert(&mut self, id: AttemptId, outcome: Outcome, until: Tick) {
        self.timers.subscribe(until, id.clone());
        self.outcomes.insert(id, outcome);
    }

    /// Looks up an outcome.
    #[must_use]
    pub fn get(&self, id: &AttemptId) -> Option<&Outcome> {
        self.outcomes.get(id)
    }

    /// Forgets what is due.
    pub fn expire(&mut self, now: Tick) {
        while let Some(id) = self.timers.pop_due(now) {
            self.outcomes.remove(&id);
        }
    }

    /// The next time at which something is to be forgotten.
    #[must_use]
    pub fn peek_next(&self) -> Option<Tick> {
        self.timers.peek_next()
    }

    /// How many outcomes are kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.outcomes.len()
    }

    /// Returns true where none is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.outcomes.is_empty()
    }
}

//! What the engine's prefix cache holds, from events that come late and with gaps.

use std::collections::{HashMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::id::AttemptId;
use crate::prefix::{BLOCK_BYTES, PrefixMark, PrefixMarks};

/// Bytes of text that a token is taken to stand for.
const BYTES_PER_TOKEN: u64 = 4;

/// Runs whose marks are remembered, to make sense of late events.
const REMEMBERED_RUNS: usize = 512;

/// Marks in the index at most.
const MAX_MARKS: usize = 16_384;

/// A change of the engine's prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Counts the engine's events.
    pub sequence: u64,
    /// The run whose prompt the entry came from.
    pub run: String,
    /// Tokens of that prompt that are cached from now on, zero when evicted.
    pub tokens: u64,
}

/// Prefixes believed to be cached, by their marks.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    last: u64,
    marks: HashMap<u64, u32>,
    runs: HashMap<String, PrefixMarks>,
    order: VecDeque<String>,
    gaps: u64,
}

impl PrefixIndex {
    /// Remembers the marks of a run that the engine was given.
    pub fn note_run(&mut self, id: &AttemptId, marks: &PrefixMarks) {
        if marks.0.is_empty() {
            return;
        }
        if self.order.len() == REMEMBERED_RUNS
            && let Some(oldest) = self.order.pop_front()
        {
            self.forget_run(&oldest);
        }
        let name = id.to_string();
        self.order.push_back(name.clone());
        self.runs.insert(name, marks.clone());
    }

    fn forget_run(&mut self, run: &str) {
        let Some(marks) = self.runs.remove(run) else {
            return;
        };
        for PrefixMark(_, hash) in marks.0 {
            self.marks.remove(&hash);
        }
    }

    /// Takes an event. A gap empties the index: to believe in a prefix that
    /// was evicted costs more than to miss one that is there.
    pub fn on_event(&mut self, event: &CacheEvent) {
        if event.sequence <= self.last {
            return;
        }
        if event.sequence > self.last + 1 && self.last > 0 {
            self.gaps += 1;
            self.marks.clear();
        }
        self.last = event.sequence;
        let Some(marks) = self.runs.get(&event.run) else {
            return;
        };
        let cached_blocks = event.tokens * BYTES_PER_TOKEN / BLOCK_BYTES as u64;
        for PrefixMark(blocks, hash) in &marks.0 {
            if u64::from(*blocks) > cached_blocks {
                self.marks.remove(hash);
            } else if self.marks.len() < MAX_MARKS {
                self.marks.insert(*hash, *blocks);
            }
        }
    }

    /// Tokens of a prompt that are believed to be cached.
    #[must_use]
    pub fn cached_tokens(&self, marks: &PrefixMarks, prompt: u64) -> u64 {
        let known = marks.0.iter().rev().find(|mark| self.marks.contains_key(&mark.1));
        let blocks = known.map_or(0, |mark| u64::from(mark.0));
        (blocks * BLOCK_BYTES as u64 / BYTES_PER_TOKEN).min(prompt)
    }

    /// Forgets everything, as after an engine's restart.
    pub fn clear(&mut self) {
        *self = PrefixIndex { gaps: self.gaps, ..PrefixIndex::default() };
    }

    /// How many gaps there were.
    #[must_use]
    pub fn gaps(&self) -> u64 {
        self.gaps
    }
}

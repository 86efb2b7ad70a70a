//! Index of the engine's prefix cache, built from events that arrive late and with gaps.

use std::collections::{HashMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::id::AttemptId;
use crate::prefix::{BLOCK_BYTES, PrefixHash, PrefixHashes};

/// Assumed bytes of text per token.
const BYTES_PER_TOKEN: u64 = 4;

/// Maximum number of runs whose prefix hashes are kept to interpret late events.
const MAX_TRACKED_RUNS: usize = 512;

/// Maximum number of prefix hashes in the index.
const MAX_HASHES: usize = 16_384;

/// A change of the engine's prefix cache, as the engine reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number of the event.
    pub sequence: u64,
    /// Run whose prompt the cache entry came from.
    pub run: String,
    /// Tokens of that prompt that are cached from now on; zero after an eviction.
    pub tokens: u64,
}

/// Prompt prefixes assumed to be cached, by their hashes.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    last_sequence: u64,
    blocks_by_hash: HashMap<u64, u32>,
    runs: HashMap<String, PrefixHashes>,
    /// Number of tracked runs with each hash.
    runs_by_hash: HashMap<u64, u32>,
    run_order: VecDeque<String>,
    gaps: u64,
}

impl PrefixIndex {
    /// Stores the prefix hashes of a run that was started at the engine.
    pub fn track_run(&mut self, id: &AttemptId, hashes: &PrefixHashes) {
        if hashes.0.is_empty() {
            return;
        }
        if self.run_order.len() == MAX_TRACKED_RUNS
            && let Some(oldest) = self.run_order.pop_front()
        {
            self.untrack_run(&oldest);
        }
        for PrefixHash(_, hash) in &hashes.0 {
            *self.runs_by_hash.entry(*hash).or_default() += 1;
        }
        let name = id.to_string();
        self.run_order.push_back(name.clone());
        self.runs.insert(name, hashes.clone());
    }

    fn untrack_run(&mut self, run: &str) {
        let Some(hashes) = self.runs.remove(run) else {
            return;
        };
        for PrefixHash(_, hash) in hashes.0 {
            let Some(count) = self.runs_by_hash.get_mut(&hash) else { continue };
            *count -= 1;
            if *count == 0 {
                self.runs_by_hash.remove(&hash);
                self.blocks_by_hash.remove(&hash);
            }
        }
    }

    /// Applies an event. A gap in the sequence empties the index: to assume a
    /// prefix that was evicted costs more than to miss one that is cached.
    pub fn on_event(&mut self, event: &CacheEvent) {
        if event.sequence <= self.last_sequence {
            return;
        }
        if event.sequence > self.last_sequence + 1 && self.last_sequence > 0 {
            self.gaps += 1;
            self.blocks_by_hash.clear();
        }
        self.last_sequence = event.sequence;
        let Some(hashes) = self.runs.get(&event.run) else {
            return;
        };
        let cached_blocks = event.tokens * BYTES_PER_TOKEN / BLOCK_BYTES as u64;
        for PrefixHash(blocks, hash) in &hashes.0 {
            if u64::from(*blocks) > cached_blocks {
                self.blocks_by_hash.remove(hash);
            } else if self.blocks_by_hash.len() < MAX_HASHES {
                self.blocks_by_hash.insert(*hash, *blocks);
            }
        }
    }

    /// Returns the tokens of a prompt that are assumed to be cached.
    #[must_use]
    pub fn cached_tokens(&self, hashes: &PrefixHashes, prompt_tokens: u64) -> u64 {
        let known =
            hashes.0.iter().rev().find(|prefix| self.blocks_by_hash.contains_key(&prefix.1));
        let blocks = known.map_or(0, |prefix| u64::from(prefix.0));
        (blocks * BLOCK_BYTES as u64 / BYTES_PER_TOKEN).min(prompt_tokens)
    }

    /// Empties the index, as needed after a restart of the engine.
    pub fn clear(&mut self) {
        *self = PrefixIndex { gaps: self.gaps, ..PrefixIndex::default() };
    }

    /// Returns the number of gaps in the event sequence.
    #[must_use]
    pub fn gaps(&self) -> u64 {
        self.gaps
    }
}

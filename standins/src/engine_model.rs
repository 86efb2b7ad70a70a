//! Model of an inference engine with continuous batching, without I/O and in virtual time.
//!
//! The engine works in steps. In each step, every run whose prompt is prefilled
//! decodes one token, and the other runs of the batch are prefilled in the order of
//! their admission, up to a token budget. A step takes
//!
//! `step_base + step_per_run × decoding runs + prefilled tokens ÷ prefill_rate`
//!
//! so a long prompt slows every stream of its engine and delays the first token of
//! the runs queued behind it. Waiting runs are admitted by priority, then in order
//! of arrival, as memory allows.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::prompt::push_answer_token;

/// Size of a prefix cache block in bytes of prompt.
const CACHE_BLOCK_BYTES: usize = 4096;

/// Speeds and sizes of an engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EngineSpec {
    /// KV memory in tokens.
    pub capacity: u64,
    /// Prefill rate in tokens per second.
    pub prefill_rate: f64,
    /// Duration of a step without prefill and decode.
    pub step_base: Duration,
    /// Time that each decoding run adds to a step.
    pub step_per_run: Duration,
    /// Maximum number of tokens prefilled in a step.
    pub step_prefill: u64,
    /// Maximum number of runs in the batch.
    pub max_batch: usize,
    /// Bytes of prompt per token.
    pub bytes_per_token: f64,
    /// Maximum number of prefix cache entries.
    pub cache_entries: usize,
    /// Factor by which all durations are divided.
    pub time_scale: f64,
    /// Whether orders with a fence below the highest one received are refused.
    pub checks_fence: bool,
}

impl Default for EngineSpec {
    fn default() -> Self {
        EngineSpec {
            capacity: 400_000,
            prefill_rate: 50_000.0,
            step_base: Duration::from_millis(8),
            step_per_run: Duration::from_micros(300),
            step_prefill: 4_096,
            max_batch: 64,
            bytes_per_token: 3.9,
            cache_entries: 64,
            time_scale: 1.0,
            checks_fence: true,
        }
    }
}

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct EngineRunSpec {
    /// Name of the run.
    pub id: String,
    /// Salt of the prefix cache.
    pub salt: String,
    /// Text of the prompt.
    pub prompt: String,
    /// Hash of the prompt, from which the answer is derived.
    pub hash: u64,
    /// Length of the answer in tokens.
    pub answer_tokens: u64,
    /// Priority; runs with the lowest value are admitted first.
    pub priority: u8,
    /// Number of tokens to prefill before the run pauses, or `None` for no pause.
    pub prefill_limit: Option<u64>,
    /// Tokens of the prompt whose KV entries other engines hold.
    pub remote_tokens: u64,
}

/// An event of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// One token of the answer.
    Text(String),
    /// The given number of tokens is prefilled, and the run waits to be resumed.
    Paused(u64),
    /// The answer is complete.
    Done {
        /// Tokens of the prompt.
        prompt_tokens: u64,
        /// Tokens of the prompt that were found in the prefix cache.
        cached_tokens: u64,
        /// Tokens of the answer.
        answer_tokens: u64,
    },
    /// The run exceeds the memory of the engine and is dropped, for the given reason.
    Failed(String),
}

/// Duration and events of one step of an engine.
#[derive(Debug, Default)]
pub struct EngineStep {
    /// Time that the step takes.
    pub duration: Duration,
    /// Events at the end of the step, each with the name of its run.
    pub events: Vec<(String, EngineEvent)>,
}

/// An insertion into or eviction from the prefix cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheChange {
    /// The run whose prompt is cached in the entry.
    pub run: String,
    /// Number of cached tokens, zero after an eviction.
    pub tokens: u64,
}

#[derive(Debug)]
struct ModelRun {
    spec: EngineRunSpec,
    prompt_tokens: u64,
    cached: u64,
    prefilled: u64,
    limit: Option<u64>,
    paused: bool,
    generated: u64,
    local_tokens: u64,
}

impl ModelRun {
    fn is_decoding(&self) -> bool {
        self.prefilled >= self.prompt_tokens
    }

    fn prefill_end(&self) -> u64 {
        self.limit.map_or(self.prompt_tokens, |limit| limit.min(self.prompt_tokens))
    }
}

#[derive(Debug)]
struct CacheEntry {
    run: String,
    block_hashes: Vec<u64>,
    tokens: u64,
}

/// An engine in virtual time, driven by calls of [`step`](EngineModel::step).
#[derive(Debug)]
pub struct EngineModel {
    spec: EngineSpec,
    waiting: VecDeque<ModelRun>,
    batch: Vec<ModelRun>,
    reservations: BTreeMap<String, u64>,
    cache: VecDeque<CacheEntry>,
    changes: Vec<CacheChange>,
    started: BTreeMap<String, u64>,
}

impl EngineModel {
    /// Creates an idle engine.
    #[must_use]
    pub fn new(spec: EngineSpec) -> Self {
        EngineModel {
            spec,
            waiting: VecDeque::new(),
            batch: Vec::new(),
            reservations: BTreeMap::new(),
            cache: VecDeque::new(),
            changes: Vec::new(),
            started: BTreeMap::new(),
        }
    }

    /// Returns the speeds and sizes of the engine.
    #[must_use]
    pub fn spec(&self) -> &EngineSpec {
        &self.spec
    }

    /// Returns the number of tokens held by runs and reservations.
    ///
    /// Cached prefixes are not counted, since they are evicted in favor of both.
    #[must_use]
    pub fn used(&self) -> u64 {
        let runs: u64 = self.batch.iter().map(|run| run.local_tokens).sum();
        runs + self.reservations.values().sum::<u64>()
    }

    /// Returns the names of all runs, admitted and waiting.
    #[must_use]
    pub fn runs(&self) -> Vec<String> {
        let runs = self.batch.iter().chain(&self.waiting);
        runs.map(|run| run.spec.id.clone()).collect()
    }

    /// Returns the names of all reservations.
    #[must_use]
    pub fn reservations(&self) -> Vec<String> {
        self.reservations.keys().cloned().collect()
    }

    /// Returns how often a run with this name was started.
    #[must_use]
    pub fn times_started(&self, id: &str) -> u64 {
        self.started.get(id).copied().unwrap_or(0)
    }

    /// Queues a run for admission.
    pub fn start(&mut self, spec: EngineRunSpec) {
        *self.started.entry(spec.id.clone()).or_default() += 1;
        let prompt_tokens = (spec.prompt.len() as f64 / self.spec.bytes_per_token).ceil() as u64;
        let local_tokens = (prompt_tokens + spec.answer_tokens).saturating_sub(spec.remote_tokens);
        let limit = spec.prefill_limit;
        let run = ModelRun {
            prompt_tokens: prompt_tokens.max(1),
            cached: 0,
            prefilled: 0,
            limit,
            paused: false,
            generated: 0,
            local_tokens,
            spec,
        };
        self.waiting.push_back(run);
    }

    /// Resumes a paused run up to a new prefill limit. Returns `false` if the run is unknown.
    pub fn resume(&mut self, id: &str, limit: Option<u64>) -> bool {
        let Some(run) = self.batch.iter_mut().find(|run| run.spec.id == id) else {
            return false;
        };
        run.limit = limit;
        run.paused = false;
        true
    }

    /// Cancels a run and frees its memory. Returns `false` if the run is unknown.
    pub fn cancel(&mut self, id: &str) -> bool {
        let before = self.batch.len() + self.waiting.len();
        self.batch.retain(|run| run.spec.id != id);
        self.waiting.retain(|run| run.spec.id != id);
        before != self.batch.len() + self.waiting.len()
    }

    /// Cancels all runs and drops all reservations.
    pub fn cancel_all(&mut self) {
        self.batch.clear();
        self.waiting.clear();
        self.reservations.clear();
    }

    /// Reserves memory under a name.
    ///
    /// Returns `false` if the memory does not suffice or the name is already in use.
    pub fn reserve(&mut self, id: &str, tokens: u64) -> bool {
        if self.reservations.contains_key(id) || self.used() + tokens > self.spec.capacity {
            return false;
        }
        self.reservations.insert(id.to_owned(), tokens);
        true
    }

    /// Releases a reservation. Returns `false` if it is unknown.
    pub fn unreserve(&mut self, id: &str) -> bool {
        self.reservations.remove(id).is_some()
    }

    /// Returns `true` if a step would make progress.
    #[must_use]
    pub fn has_work(&self) -> bool {
        !self.waiting.is_empty() || self.batch.iter().any(|run| !run.paused)
    }

    /// Drains the changes of the prefix cache since the last call.
    pub fn take_changes(&mut self) -> Vec<CacheChange> {
        std::mem::take(&mut self.changes)
    }

    /// Executes one step.
    pub fn step(&mut self) -> EngineStep {
        let mut step = EngineStep::default();
        self.admit(&mut step);
        let decoding = self.batch.iter().filter(|run| run.is_decoding()).count();
        let prefilled = self.prefill(&mut step);
        self.decode(&mut step);
        self.retire(&mut step);
        let prefill = Duration::from_secs_f64(prefilled as f64 / self.spec.prefill_rate);
        let duration = self.spec.step_base + self.spec.step_per_run * decoding as u32 + prefill;
        step.duration = duration.div_f64(self.spec.time_scale);
        step
    }

    fn admit(&mut self, step: &mut EngineStep) {
        self.waiting.make_contiguous().sort_by_key(|run| run.spec.priority);
        while self.batch.len() < self.spec.max_batch {
            let Some(run) = self.waiting.front() else {
                return;
            };
            if run.local_tokens > self.spec.capacity {
                let id = run.spec.id.clone();
                let reason = format!("{} tokens do not fit this engine", run.local_tokens);
                step.events.push((id, EngineEvent::Failed(reason)));
                self.waiting.pop_front();
                continue;
            }
            let reserved = self.reservations.get(&run.spec.id).copied().unwrap_or(0);
            if self.used() - reserved + run.local_tokens > self.spec.capacity {
                return;
            }
            let Some(mut run) = self.waiting.pop_front() else {
                return;
            };
            self.reservations.remove(&run.spec.id);
            run.cached = self.find_cached_tokens(&run);
            run.prefilled = run.cached.min(run.prompt_tokens - 1);
            run.cached = run.prefilled;
            self.batch.push(run);
        }
    }

    fn prefill(&mut self, step: &mut EngineStep) -> u64 {
        let mut budget = self.spec.step_prefill;
        for run in &mut self.batch {
            if run.paused || run.is_decoding() || budget == 0 {
                continue;
            }
            let tokens = budget.min(run.prefill_end().saturating_sub(run.prefilled));
            run.prefilled += tokens;
            budget -= tokens;
            if run.prefilled >= run.prefill_end() && !run.is_decoding() {
                run.paused = true;
                step.events.push((run.spec.id.clone(), EngineEvent::Paused(run.prefilled)));
            }
        }
        self.spec.step_prefill - budget
    }

    fn decode(&mut self, step: &mut EngineStep) {
        for run in &mut self.batch {
            if !run.is_decoding() || run.generated >= run.spec.answer_tokens {
                continue;
            }
            let mut text = String::new();
            push_answer_token(&mut text, run.spec.hash, run.generated);
            run.generated += 1;
            step.events.push((run.spec.id.clone(), EngineEvent::Text(text)));
        }
    }

    fn retire(&mut self, step: &mut EngineStep) {
        let is_finished =
            |run: &ModelRun| run.is_decoding() && run.generated >= run.spec.answer_tokens;
        let (finished, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.batch).into_iter().partition(is_finished);
        self.batch = rest;
        for run in finished {
            let done = EngineEvent::Done {
                prompt_tokens: run.prompt_tokens,
                cached_tokens: run.cached,
                answer_tokens: run.generated,
            };
            step.events.push((run.spec.id.clone(), done));
            self.cache_prefix(run);
        }
    }

    fn find_cached_tokens(&mut self, run: &ModelRun) -> u64 {
        let block_hashes = hash_blocks(&run.spec.salt, &run.spec.prompt);
        let common = |entry: &CacheEntry| {
            entry.block_hashes.iter().zip(&block_hashes).take_while(|(a, b)| a == b).count()
        };
        let common_blocks = self.cache.iter().map(common).max().unwrap_or(0);
        ((common_blocks * CACHE_BLOCK_BYTES) as f64 / self.spec.bytes_per_token) as u64
    }

    fn cache_prefix(&mut self, run: ModelRun) {
        let block_hashes = hash_blocks(&run.spec.salt, &run.spec.prompt);
        if block_hashes.is_empty() || run.spec.remote_tokens > 0 {
            return;
        }
        let tokens = run.prompt_tokens;
        self.changes.push(CacheChange { run: run.spec.id.clone(), tokens });
        self.cache.push_back(CacheEntry { run: run.spec.id, block_hashes, tokens });
        self.evict();
    }

    fn evict(&mut self) {
        let free_tokens = self.spec.capacity.saturating_sub(self.used());
        let mut cached: u64 = self.cache.iter().map(|entry| entry.tokens).sum();
        while cached > free_tokens || self.cache.len() > self.spec.cache_entries {
            let Some(entry) = self.cache.pop_front() else {
                return;
            };
            cached -= entry.tokens;
            self.changes.push(CacheChange { run: entry.run, tokens: 0 });
        }
    }
}

/// Hashes the blocks of a prompt, each seeded with the hash of the block before it.
fn hash_blocks(salt: &str, prompt: &str) -> Vec<u64> {
    let mut chain = xxh3_64_with_seed(salt.as_bytes(), 0);
    let blocks = prompt.as_bytes().chunks_exact(CACHE_BLOCK_BYTES);
    blocks
        .map(|block| {
            chain = xxh3_64_with_seed(block, chain);
            chain
        })
        .collect()
}

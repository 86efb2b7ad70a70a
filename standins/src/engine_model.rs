//! A model engine without input or output, in virtual time.
//!
//! The engine works in steps. In each step every run that has its prompt
//! done makes one token, and runs whose prompt is not done are prefilled,
//! the one that was let in first before the others, up to a budget of tokens.
//! A step takes
//!
//! `step_base + step_per_run × decoding runs + prefilled tokens ÷ prefill_rate`
//!
//! so a long prompt slows every stream of its engine, and holds up the first
//! token of whoever came after it. Runs that wait are let in by priority,
//! then in the order they came, as memory allows.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::prompt::push_answer_token;

/// Bytes of one block of the prefix cache.
const CACHE_BLOCK: usize = 4096;

/// Speeds and sizes of an engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Memory in tokens.
    pub capacity: u64,
    /// Prefill in tokens a second.
    pub prefill_rate: f64,
    /// Time of an empty step.
    pub step_base: Duration,
    /// Time that each decoding run adds to a step.
    pub step_per_run: Duration,
    /// Most tokens of prefill in a step.
    pub step_prefill: u64,
    /// Most runs at a time.
    pub max_batch: usize,
    /// Bytes of prompt that make a token.
    pub bytes_per_token: f64,
    /// Entries of the prefix cache at most.
    pub cache_entries: usize,
    /// Divides all times.
    pub time_scale: f64,
    /// Whether orders with an old fence are refused.
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

/// A run as it is given to the engine.
#[derive(Clone, Debug)]
pub struct EngineRunSpec {
    /// Name.
    pub id: String,
    /// Salt of the prefix cache.
    pub salt: String,
    /// The prompt.
    pub prompt: String,
    /// Hash of the prompt, by which the answer is made.
    pub hash: u64,
    /// Tokens of the answer.
    pub answer_tokens: u64,
    /// The lowest goes first.
    pub priority: u8,
    /// Tokens to prefill before the run pauses.
    pub prefill_limit: Option<u64>,
    /// Tokens of the prompt that further engines hold.
    pub tokens_elsewhere: u64,
}

/// What happens to a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// A token of the answer.
    Text(String),
    /// So many tokens are prefilled, and the run waits to be resumed.
    Paused(u64),
    /// The answer is whole.
    Done {
        /// Tokens of the prompt.
        prompt_tokens: u64,
        /// Tokens of it that were cached.
        cached_tokens: u64,
        /// Tokens of the answer.
        answer_tokens: u64,
    },
    /// It can never run.
    Failed(String),
}

/// One step of an engine: how long it takes, and what it brings.
#[derive(Debug, Default)]
pub struct EngineStep {
    /// Time of the step.
    pub span: Duration,
    /// Events at its end, by run.
    pub events: Vec<(String, EngineEvent)>,
}

/// A change of the prefix cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheChange {
    /// The run whose prompt the entry came from.
    pub run: String,
    /// Tokens cached from now on, zero when evicted.
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
    made: u64,
    local: u64,
}

impl ModelRun {
    fn is_decoding(&self) -> bool {
        self.prefilled >= self.prompt_tokens
    }

    fn target(&self) -> u64 {
        self.limit.map_or(self.prompt_tokens, |limit| limit.min(self.prompt_tokens))
    }
}

#[derive(Debug)]
struct CacheEntry {
    run: String,
    chain: Vec<u64>,
    tokens: u64,
}

/// The engine.
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
    /// Makes an idle engine.
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

    /// Speeds and sizes.
    #[must_use]
    pub fn spec(&self) -> &EngineSpec {
        &self.spec
    }

    /// Tokens held by runs and reservations; the cache gives way to both.
    #[must_use]
    pub fn used(&self) -> u64 {
        let runs: u64 = self.batch.iter().map(|run| run.local).sum();
        runs + self.reservations.values().sum::<u64>()
    }

    /// Names of all runs.
    #[must_use]
    pub fn runs(&self) -> Vec<String> {
        let runs = self.batch.iter().chain(&self.waiting);
        runs.map(|run| run.spec.id.clone()).collect()
    }

    /// Names of all reservations.
    #[must_use]
    pub fn reservations(&self) -> Vec<String> {
        self.reservations.keys().cloned().collect()
    }

    /// How often a run with this name was started.
    #[must_use]
    pub fn times_started(&self, id: &str) -> u64 {
        self.started.get(id).copied().unwrap_or(0)
    }

    /// Takes a run.
    pub fn start(&mut self, spec: EngineRunSpec) {
        *self.started.entry(spec.id.clone()).or_default() += 1;
        let prompt_tokens = (spec.prompt.len() as f64 / self.spec.bytes_per_token).ceil() as u64;
        let local = (prompt_tokens + spec.answer_tokens).saturating_sub(spec.tokens_elsewhere);
        let limit = spec.prefill_limit;
        let run = ModelRun {
            prompt_tokens: prompt_tokens.max(1),
            cached: 0,
            prefilled: 0,
            limit,
            paused: false,
            made: 0,
            local,
            spec,
        };
        self.waiting.push_back(run);
    }

    /// Lets a paused run go on up to a limit.
    pub fn resume(&mut self, id: &str, limit: Option<u64>) -> bool {
        let Some(run) = self.batch.iter_mut().find(|run| run.spec.id == id) else {
            return false;
        };
        run.limit = limit;
        run.paused = false;
        true
    }

    /// Ends a run and frees what it holds, false where there is none.
    pub fn cancel(&mut self, id: &str) -> bool {
        let before = self.batch.len() + self.waiting.len();
        self.batch.retain(|run| run.spec.id != id);
        self.waiting.retain(|run| run.spec.id != id);
        before != self.batch.len() + self.waiting.len()
    }

    /// Ends everything.
    pub fn cancel_all(&mut self) {
        self.batch.clear();
        self.waiting.clear();
        self.reservations.clear();
    }

    /// Holds memory under a name, false where it is short.
    pub fn reserve(&mut self, id: &str, tokens: u64) -> bool {
        if self.reservations.contains_key(id) || self.used() + tokens > self.spec.capacity {
            return false;
        }
        self.reservations.insert(id.to_owned(), tokens);
        true
    }

    /// Gives held memory back.
    pub fn unreserve(&mut self, id: &str) -> bool {
        self.reservations.remove(id).is_some()
    }

    /// Returns true where a step would do something.
    #[must_use]
    pub fn has_work(&self) -> bool {
        !self.waiting.is_empty() || self.batch.iter().any(|run| !run.paused)
    }

    /// Takes the changes of the prefix cache since the last call.
    pub fn take_changes(&mut self) -> Vec<CacheChange> {
        std::mem::take(&mut self.changes)
    }

    /// Does one step.
    pub fn step(&mut self) -> EngineStep {
        let mut step = EngineStep::default();
        self.admit(&mut step);
        let decoding = self.batch.iter().filter(|run| run.is_decoding()).count();
        let prefilled = self.prefill(&mut step);
        self.decode(&mut step);
        self.retire(&mut step);
        let prefill = Duration::from_secs_f64(prefilled as f64 / self.spec.prefill_rate);
        let span = self.spec.step_base + self.spec.step_per_run * decoding as u32 + prefill;
        step.span = span.div_f64(self.spec.time_scale);
        step
    }

    fn admit(&mut self, step: &mut EngineStep) {
        self.waiting.make_contiguous().sort_by_key(|run| run.spec.priority);
        while self.batch.len() < self.spec.max_batch {
            let Some(run) = self.waiting.front() else {
                return;
            };
            if run.local > self.spec.capacity {
                let id = run.spec.id.clone();
                let reason = format!("{} tokens do not fit this engine", run.local);
                step.events.push((id, EngineEvent::Failed(reason)));
                self.waiting.pop_front();
                continue;
            }
            let held = self.reservations.get(&run.spec.id).copied().unwrap_or(0);
            if self.used() - held + run.local > self.spec.capacity {
                return;
            }
            let Some(mut run) = self.waiting.pop_front() else {
                return;
            };
            self.reservations.remove(&run.spec.id);
            run.cached = self.find_cached(&run);
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
            let tokens = budget.min(run.target().saturating_sub(run.prefilled));
            run.prefilled += tokens;
            budget -= tokens;
            if run.prefilled >= run.target() && !run.is_decoding() {
                run.paused = true;
                step.events.push((run.spec.id.clone(), EngineEvent::Paused(run.prefilled)));
            }
        }
        self.spec.step_prefill - budget
    }

    fn decode(&mut self, step: &mut EngineStep) {
        for run in &mut self.batch {
            if !run.is_decoding() || run.made >= run.spec.answer_tokens {
                continue;
            }
            let mut text = String::new();
            push_answer_token(&mut text, run.spec.hash, run.made);
            run.made += 1;
            step.events.push((run.spec.id.clone(), EngineEvent::Text(text)));
        }
    }

    fn retire(&mut self, step: &mut EngineStep) {
        let is_over = |run: &ModelRun| run.is_decoding() && run.made >= run.spec.answer_tokens;
        let (over, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.batch).into_iter().partition(is_over);
        self.batch = rest;
        for run in over {
            let done = EngineEvent::Done {
                prompt_tokens: run.prompt_tokens,
                cached_tokens: run.cached,
                answer_tokens: run.made,
            };
            step.events.push((run.spec.id.clone(), done));
            self.keep_prefix(run);
        }
    }

    fn find_cached(&mut self, run: &ModelRun) -> u64 {
        let chain = to_chain(&run.spec.salt, &run.spec.prompt);
        let common =
            |entry: &CacheEntry| entry.chain.iter().zip(&chain).take_while(|(a, b)| a == b).count();
        let best = self.cache.iter().map(common).max().unwrap_or(0);
        ((best * CACHE_BLOCK) as f64 / self.spec.bytes_per_token) as u64
    }

    fn keep_prefix(&mut self, run: ModelRun) {
        let chain = to_chain(&run.spec.salt, &run.spec.prompt);
        if chain.is_empty() || run.spec.tokens_elsewhere > 0 {
            return;
        }
        let tokens = run.prompt_tokens;
        self.changes.push(CacheChange { run: run.spec.id.clone(), tokens });
        self.cache.push_back(CacheEntry { run: run.spec.id, chain, tokens });
        self.evict();
    }

    fn evict(&mut self) {
        let room = self.spec.capacity.saturating_sub(self.used());
        let mut held: u64 = self.cache.iter().map(|entry| entry.tokens).sum();
        while held > room || self.cache.len() > self.spec.cache_entries {
            let Some(entry) = self.cache.pop_front() else {
                return;
            };
            held -= entry.tokens;
            self.changes.push(CacheChange { run: entry.run, tokens: 0 });
        }
    }
}

/// Hashes of a prompt's blocks, each chained to the one before.
fn to_chain(salt: &str, prompt: &str) -> Vec<u64> {
    let mut chain = xxh3_64_with_seed(salt.as_bytes(), 0);
    let blocks = prompt.as_bytes().chunks_exact(CACHE_BLOCK);
    blocks
        .map(|block| {
            chain = xxh3_64_with_seed(block, chain);
            chain
        })
        .collect()
}

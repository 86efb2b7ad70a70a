//! Prompts and shards in the prefill queue of an engine, and their progress.

use super::engine_rates::EngineRates;
use super::stream_load::{StreamKey, StreamLoad};
use crate::time::Tick;

/// A prompt, or a shard of one, that is not completely prefilled.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingPrefill {
    pub(super) key: StreamKey,
    pub(super) load: StreamLoad,
    pub(super) placed_at: Tick,
    /// Fraction of its tokens that is prefilled, from 0 to 1.
    pub(super) done: f64,
}

impl PendingPrefill {
    pub(super) fn new(key: StreamKey, load: StreamLoad, placed_at: Tick) -> Self {
        PendingPrefill { key, load, placed_at, done: 0.0 }
    }

    fn tokens(&self) -> f64 {
        self.load.tokens as f64 * (1.0 - self.done)
    }

    /// Time to prefill a fraction of the tokens from the first one on, in milliseconds. Later
    /// tokens take longer, since each attends to all tokens before it.
    fn time_to_ms(&self, fraction: f64, rates: &EngineRates) -> f64 {
        let (linear, pairs) = self.split_ms(rates);
        linear * fraction + pairs * fraction * fraction
    }

    /// Splits the total time into the part that is linear in the tokens and the part for the
    /// pairs of tokens, in milliseconds.
    fn split_ms(&self, rates: &EngineRates) -> (f64, f64) {
        let all = self.load.prefill_us as f64 / 1e3;
        let linear = rates.linear_prefill_ms(self.load.tokens).min(all);
        (linear, all - linear)
    }

    /// Time to prefill the rest while other streams decode, in milliseconds.
    pub(super) fn remaining_ms(&self, rates: &EngineRates) -> f64 {
        self.time_to_ms(1.0, rates) - self.time_to_ms(self.done, rates)
    }

    /// Time to prefill the rest while no stream decodes, in milliseconds. Each chunk takes a
    /// token step.
    pub(super) fn solo_ms(&self, rates: &EngineRates) -> f64 {
        self.remaining_ms(rates) + rates.step_overhead_ms(self.tokens())
    }

    /// Prefills for `spent_ms` while no stream decodes.
    pub(super) fn run_solo(&mut self, spent_ms: f64, rates: &EngineRates) {
        let (linear, pairs) = self.split_ms(rates);
        let linear = linear + rates.step_overhead_ms(self.load.tokens as f64);
        let target = linear * self.done + pairs * self.done * self.done + spent_ms;
        // The positive root of pairs * x * x + linear * x = target.
        let root = (linear * linear + 4.0 * pairs * target).sqrt();
        self.done = (2.0 * target / (linear + root).max(1e-9)).min(1.0);
    }

    /// Prefills up to `budget` tokens. Returns the number of tokens and the time for them, in
    /// milliseconds.
    pub(super) fn prefill(&mut self, budget: f64, rates: &EngineRates) -> (f64, f64) {
        let before = self.time_to_ms(self.done, rates);
        let tokens = self.tokens();
        let (taken, fraction) = if tokens <= budget {
            (tokens, 1.0)
        } else {
            (budget, self.done + budget / self.load.tokens as f64)
        };
        self.done = fraction;
        (taken, self.time_to_ms(fraction, rates) - before)
    }

    pub(super) fn is_done(&self) -> bool {
        self.done >= 1.0
    }
}

/// Adds a prefill to the queue: shards at its head, whole prompts at its end.
pub(super) fn enqueue(queue: &mut Vec<PendingPrefill>, prefill: PendingPrefill) {
    if prefill.load.is_shard {
        queue.insert(0, prefill);
    } else {
        queue.push(prefill);
    }
}

/// Puts a prefill back to its former position in the queue.
pub(super) fn reinsert(queue: &mut Vec<PendingPrefill>, prefill: PendingPrefill) {
    let is_before = |other: &PendingPrefill| match (other.load.is_shard, prefill.load.is_shard) {
        (true, true) => other.placed_at > prefill.placed_at,
        (false, false) => other.placed_at < prefill.placed_at,
        (is_shard, _) => is_shard,
    };
    let index = queue.iter().position(|other| !is_before(other)).unwrap_or(queue.len());
    queue.insert(index, prefill);
}

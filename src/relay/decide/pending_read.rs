//! Prompts and parts that wait to be read by an engine, and how far they are.

use super::engine_rates::EngineRates;
use super::stream_load::{StreamKey, StreamLoad};
use crate::time::Tick;

/// A prompt, or a part of one, that is not read yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingRead {
    pub(super) key: StreamKey,
    pub(super) load: StreamLoad,
    pub(super) placed_at: Tick,
    /// Part of its tokens that has been read, from 0 to 1.
    pub(super) read: f64,
}

impl PendingRead {
    pub(super) fn new(key: StreamKey, load: StreamLoad, placed_at: Tick) -> Self {
        PendingRead { key, load, placed_at, read: 0.0 }
    }

    fn tokens(&self) -> f64 {
        self.load.tokens as f64 * (1.0 - self.read)
    }

    /// Time from the first token to a part of all, in milliseconds. Later
    /// tokens take longer, since each is compared with all before it.
    fn time_to(&self, part: f64, rates: &EngineRates) -> f64 {
        let (linear, pairs) = self.shares(rates);
        linear * part + pairs * part * part
    }

    /// Time for its tokens one by one, and for their pairs, in milliseconds.
    fn shares(&self, rates: &EngineRates) -> (f64, f64) {
        let all = self.load.read_us as f64 / 1e3;
        let linear = rates.linear_ms(self.load.tokens).min(all);
        (linear, all - linear)
    }

    /// Time to read the rest while others write, in milliseconds.
    pub(super) fn read_ms(&self, rates: &EngineRates) -> f64 {
        self.time_to(1.0, rates) - self.time_to(self.read, rates)
    }

    /// Time to read the rest while nobody writes, in milliseconds: each piece
    /// is a step.
    pub(super) fn solo_ms(&self, rates: &EngineRates) -> f64 {
        self.read_ms(rates) + rates.steps_ms(self.tokens())
    }

    /// Reads for so many milliseconds while nobody writes.
    pub(super) fn spend_solo(&mut self, spent_ms: f64, rates: &EngineRates) {
        let (linear, pairs) = self.shares(rates);
        let linear = linear + rates.steps_ms(self.load.tokens as f64);
        let goal = linear * self.read + pairs * self.read * self.read + spent_ms;
        // The positive root of pairs * x * x + linear * x = goal.
        let root = (linear * linear + 4.0 * pairs * goal).sqrt();
        self.read = (2.0 * goal / (linear + root).max(1e-9)).min(1.0);
    }

    /// Reads up to `budget` tokens. Returns the tokens and the time for them,
    /// in milliseconds.
    pub(super) fn take(&mut self, budget: f64, rates: &EngineRates) -> (f64, f64) {
        let before = self.time_to(self.read, rates);
        let tokens = self.tokens();
        let (taken, part) = if tokens <= budget {
            (tokens, 1.0)
        } else {
            (budget, self.read + budget / self.load.tokens as f64)
        };
        self.read = part;
        (taken, self.time_to(part, rates) - before)
    }

    pub(super) fn is_read(&self) -> bool {
        self.read >= 1.0
    }
}

/// Puts a read in line: parts of joint reads first, the newest before others.
pub(super) fn put_in_line(line: &mut Vec<PendingRead>, read: PendingRead) {
    if read.load.is_part {
        line.insert(0, read);
    } else {
        line.push(read);
    }
}

/// Puts a read back where it stood in line.
pub(super) fn put_back(line: &mut Vec<PendingRead>, read: PendingRead) {
    let is_before = |other: &PendingRead| match (other.load.is_part, read.load.is_part) {
        (true, true) => other.placed_at > read.placed_at,
        (false, false) => other.placed_at < read.placed_at,
        (is_part, _) => is_part,
    };
    let place = line.iter().position(|other| !is_before(other)).unwrap_or(line.len());
    line.insert(place, read);
}

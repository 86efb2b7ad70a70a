//! How fast the engines of a service work, as its operator declares it.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Rates of an engine that runs its requests in passes.
///
/// A pass covers all that waits: it reads new prompts, and where some request
/// is writing, it plays `stride` token steps for all of them.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineRates {
    /// Requests that run at the same time.
    pub capacity: usize,
    /// Tokens that its memory holds.
    pub memory_tokens: u64,
    /// Most prompt tokens that are read in a token step.
    pub step_tokens: u64,
    /// Token steps of a pass that has writers.
    pub stride: u32,
    /// Time of a token step, in milliseconds.
    pub step_ms: f64,
    /// More time of a step for each writer, in milliseconds.
    pub per_writer_ms: f64,
    /// More time of a step for each thousand tokens of context, in milliseconds.
    pub context_ms_per_k: f64,
    /// Prompt tokens that are read in a second.
    pub read_per_s: f64,
    /// Time for a million pairs of a token and one before it, in milliseconds.
    pub pairs_ms_per_m: f64,
}

impl EngineRates {
    /// Time to read a whole prompt in one place.
    #[must_use]
    pub fn read_time(&self, tokens: u64) -> Duration {
        let pairs = tokens as f64 * tokens as f64 / 2.0 / 1e6 * self.pairs_ms_per_m;
        from_ms(self.linear_ms(tokens) + pairs)
    }

    /// Time to read so many tokens without what each adds by those before it,
    /// in milliseconds.
    #[must_use]
    pub fn linear_ms(&self, tokens: u64) -> f64 {
        tokens as f64 / self.read_per_s * 1e3
    }

    /// Time that a pass takes to write for `writers` requests with so many
    /// tokens of context together, in milliseconds.
    #[must_use]
    pub fn write_ms(&self, writers: usize, context: u64) -> f64 {
        if writers == 0 {
            return 0.0;
        }
        let context = context as f64 / 1e3 * self.context_ms_per_k;
        let step = self.step_ms + writers as f64 * self.per_writer_ms + context;
        step * f64::from(self.stride)
    }

    /// Most prompt tokens that are read in a pass that has writers.
    #[must_use]
    pub fn pass_tokens(&self) -> f64 {
        (self.step_tokens * u64::from(self.stride)) as f64
    }

    /// Time of the token steps in which so many prompt tokens are read while
    /// nobody writes, beside the reading itself, in milliseconds.
    #[must_use]
    pub fn steps_ms(&self, tokens: f64) -> f64 {
        self.step_ms * tokens / self.step_tokens.max(1) as f64
    }

    /// Passes that an answer of so many tokens is written in.
    #[must_use]
    pub fn passes(&self, answer_tokens: u64) -> u32 {
        answer_tokens.div_ceil(u64::from(self.stride.max(1))).max(1) as u32
    }
}

/// A span of so many milliseconds.
pub(super) fn from_ms(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.max(0.0) / 1e3)
}

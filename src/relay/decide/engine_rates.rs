//! Rates of the engines of a service, as declared by the operator.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Longest predicted time of one step. Sums of such times do not overflow.
const MAX_PREDICTION: Duration = Duration::from_secs(366 * 24 * 3_600);

/// Rates of an engine that runs its requests in scheduling passes.
///
/// A pass covers all requests on the engine. It prefills new prompts and, if some request is
/// decoding, runs `stride` token steps for all decoding streams.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineRates {
    /// Requests that run at the same time.
    pub capacity: usize,
    /// Memory of the engine, in tokens.
    pub memory_tokens: u64,
    /// Maximum number of prompt tokens that are prefilled in a token step.
    pub step_tokens: u64,
    /// Token steps of a pass with decoding streams.
    pub stride: u32,
    /// Time of a token step, in milliseconds.
    pub step_ms: f64,
    /// Additional time of a step for each decoding stream, in milliseconds.
    #[serde(rename = "per_writer_ms")]
    pub per_stream_ms: f64,
    /// Additional time of a step for each thousand tokens of context, in milliseconds.
    pub context_ms_per_k: f64,
    /// Prompt tokens that are prefilled in a second.
    #[serde(rename = "read_per_s")]
    pub prefill_per_s: f64,
    /// Time for a million pairs of a token and an earlier token that it attends to, in
    /// milliseconds.
    pub pairs_ms_per_m: f64,
}

impl EngineRates {
    /// Time to prefill a whole prompt on one engine.
    #[must_use]
    pub fn prefill_time(&self, tokens: u64) -> Duration {
        let pairs = tokens as f64 * tokens as f64 / 2.0 / 1e6 * self.pairs_ms_per_m;
        from_ms(self.linear_prefill_ms(tokens) + pairs)
    }

    /// Time to prefill a number of tokens without the time for pairs with earlier tokens, in
    /// milliseconds.
    #[must_use]
    pub fn linear_prefill_ms(&self, tokens: u64) -> f64 {
        tokens as f64 / self.prefill_per_s * 1e3
    }

    /// Decoding time of a pass for `streams` streams with `context` tokens together, in
    /// milliseconds.
    #[must_use]
    pub fn decode_ms(&self, streams: usize, context: u64) -> f64 {
        if streams == 0 {
            return 0.0;
        }
        let context = context as f64 / 1e3 * self.context_ms_per_k;
        let step = self.step_ms + streams as f64 * self.per_stream_ms + context;
        step * f64::from(self.stride)
    }

    /// Maximum number of prompt tokens that are prefilled in a pass with decoding streams.
    #[must_use]
    pub fn pass_prefill_tokens(&self) -> f64 {
        self.step_tokens as f64 * f64::from(self.stride)
    }

    /// Time of the token steps in which a number of prompt tokens are prefilled without
    /// decoding streams, besides the prefill itself, in milliseconds.
    #[must_use]
    pub fn step_overhead_ms(&self, tokens: f64) -> f64 {
        self.step_ms * tokens / self.step_tokens.max(1) as f64
    }

    /// Number of passes that decode an answer.
    #[must_use]
    pub fn passes(&self, answer_tokens: u64) -> u32 {
        answer_tokens.div_ceil(u64::from(self.stride.max(1))).max(1) as u32
    }
}

/// Converts milliseconds to a duration of at most [`MAX_PREDICTION`].
pub(super) fn from_ms(ms: f64) -> Duration {
    let duration = Duration::try_from_secs_f64(ms.max(0.0) / 1e3);
    duration.map_or(MAX_PREDICTION, |duration| duration.min(MAX_PREDICTION))
}

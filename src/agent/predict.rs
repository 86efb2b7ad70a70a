//! Prefill and decode rates of an engine, estimated from its runs.

use std::time::Duration;

/// Weight of a new observation in the moving average.
const EWMA_WEIGHT: f64 = 0.1;

/// Minimum prefilled tokens for an observation of the prefill rate.
const MIN_PREFILL_SAMPLE: u64 = 512;

/// Moving averages of one engine's prefill and decode rates, in tokens per second.
#[derive(Clone, Copy, Debug)]
pub struct RatePredictor {
    prefill: f64,
    decode: f64,
    /// Average tokens of an answer. Callers request a far higher maximum than
    /// they get, so that maximum is a poor estimate.
    answer: f64,
}

impl Default for RatePredictor {
    fn default() -> Self {
        RatePredictor { prefill: 20_000.0, decode: 30.0, answer: 16.0 }
    }
}

impl RatePredictor {
    /// Records a prefill of `tokens` that ran alone at the engine.
    pub fn observe_prefill(&mut self, tokens: u64, elapsed: Duration) {
        if tokens < MIN_PREFILL_SAMPLE || elapsed.is_zero() {
            return;
        }
        let rate = tokens as f64 / elapsed.as_secs_f64();
        self.prefill += EWMA_WEIGHT * (rate - self.prefill);
    }

    /// Records the decoding of one answer of `tokens`.
    pub fn observe_decode(&mut self, tokens: u64, elapsed: Duration) {
        if tokens < 2 || elapsed.is_zero() {
            return;
        }
        let rate = tokens as f64 / elapsed.as_secs_f64();
        self.decode += EWMA_WEIGHT * (rate - self.decode);
    }

    /// Records the length of an answer.
    pub fn observe_answer_length(&mut self, tokens: u64) {
        self.answer += EWMA_WEIGHT * (tokens as f64 - self.answer);
    }

    /// Predicts the time to decode an answer of at most `max_tokens`.
    #[must_use]
    pub fn answer(&self, max_tokens: u64) -> Duration {
        self.decode(max_tokens.min(self.answer.ceil() as u64))
    }

    /// Predicts the time to prefill `tokens`.
    #[must_use]
    pub fn prefill(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(tokens as f64 / self.prefill.max(1.0))
    }

    /// Predicts the time to decode `tokens` of one answer.
    #[must_use]
    pub fn decode(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(tokens as f64 / self.decode.max(0.1))
    }
}

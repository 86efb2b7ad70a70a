//! Rates of an engine, learned from its runs.

use std::time::Duration;

/// Weight of one more observation.
const GAIN: f64 = 0.1;

/// Least uncached tokens of a run that teaches a prefill rate.
const SHORTEST_LESSON: u64 = 512;

/// Prefill and decode rates of one engine, in tokens a second.
#[derive(Clone, Copy, Debug)]
pub struct RatePredictor {
    prefill: f64,
    decode: f64,
    /// Tokens of an answer. Callers state far more than they get, so what
    /// they state says little.
    answer: f64,
}

impl Default for RatePredictor {
    fn default() -> Self {
        RatePredictor { prefill: 20_000.0, decode: 30.0, answer: 16.0 }
    }
}

impl RatePredictor {
    /// Learns from a prefill of `tokens` that had the engine to itself.
    pub fn learn_prefill(&mut self, tokens: u64, span: Duration) {
        if tokens < SHORTEST_LESSON || span.is_zero() {
            return;
        }
        let seen = tokens as f64 / span.as_secs_f64();
        self.prefill += GAIN * (seen - self.prefill);
    }

    /// Learns from one stream's answer of `tokens`.
    pub fn learn_decode(&mut self, tokens: u64, span: Duration) {
        if tokens < 2 || span.is_zero() {
            return;
        }
        let seen = tokens as f64 / span.as_secs_f64();
        self.decode += GAIN * (seen - self.decode);
    }

    /// Learns how long answers are.
    pub fn learn_answer(&mut self, tokens: u64) {
        self.answer += GAIN * (tokens as f64 - self.answer);
    }

    /// Time of one stream to decode an answer of which `most` were asked for.
    #[must_use]
    pub fn answer(&self, most: u64) -> Duration {
        self.decode(most.min(self.answer.ceil() as u64))
    }

    /// Time to prefill `tokens`.
    #[must_use]
    pub fn prefill(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(tokens as f64 / self.prefill.max(1.0))
    }

    /// Time of one stream to decode `tokens`.
    #[must_use]
    pub fn decode(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(tokens as f64 / self.decode.max(0.1))
    }
}
